#include "model/action.h"

#include <algorithm>
#include <charconv>

namespace peppergate::model {
namespace {

constexpr std::array<std::string_view, kActionKinds> kNames{
    "continue",     "drop",       "hold",    "release",           "duplicate",  "delay",
    "advance-time", "fail-sync",  "crash",   "crash-after-write", "restart",    "bounce",
    "wipe",         "replace",    "cut-off", "reconnect",         "leave",      "lose-answer",
    "redirect",     "call-early", "join",    "stall-disk",        "resume-disk"};

}  // namespace

std::string_view actionName(ActionKind kind) { return kNames.at(static_cast<std::size_t>(kind)); }

absl::StatusOr<ActionKind> actionKind(std::string_view name) {
  auto found = std::ranges::find(kNames, name);
  if (found == kNames.end())
    return absl::NotFoundError("unknown action '" + std::string(name) + "'");
  return static_cast<ActionKind>(found - kNames.begin());
}

std::string actionText(const Action& action) {
  return std::string(actionName(action.kind)) + " " + std::to_string(action.target);
}

absl::StatusOr<Action> parseAction(std::string_view text) {
  auto space = text.find(' ');
  auto kind = actionKind(text.substr(0, space));
  if (!kind.ok()) return kind.status();
  Action action{*kind, 0};
  if (space == std::string_view::npos) return action;
  std::string_view number = text.substr(space + 1);
  const char* end = number.data() + number.size();
  auto [stop, fault] = std::from_chars(number.data(), end, action.target);
  if (fault != std::errc{} || stop != end || action.target < 0)
    return absl::InvalidArgumentError("'" + std::string(number) +
                                      "' is not a valid target of an action");
  return action;
}

}  // namespace peppergate::model
