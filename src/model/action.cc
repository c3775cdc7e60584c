#include "model/action.h"

#include <algorithm>
#include <charconv>

namespace peppergate::model {
namespace {

constexpr std::array<std::string_view, kActionKindCount> kActionNames{
    "continue",     "drop",       "hold",    "release",           "duplicate",  "delay",
    "advance-time", "fail-sync",  "crash",   "crash-after-write", "restart",    "bounce",
    "wipe",         "replace",    "cut-off", "reconnect",         "leave",      "lose-answer",
    "redirect",     "call-early", "join",    "stall-disk",        "resume-disk"};

}  // namespace

std::string_view actionName(ActionKind kind) {
  return kActionNames.at(static_cast<std::size_t>(kind));
}

absl::StatusOr<ActionKind> parseActionKind(std::string_view name) {
  auto found = std::ranges::find(kActionNames, name);
  if (found == kActionNames.end())
    return absl::NotFoundError("unknown action '" + std::string(name) + "'");
  return static_cast<ActionKind>(found - kActionNames.begin());
}

std::string actionText(const Action& action) {
  return std::string(actionName(action.kind)) + " " + std::to_string(action.target);
}

absl::StatusOr<Action> parseAction(std::string_view text) {
  auto space = text.find(' ');
  auto kind = parseActionKind(text.substr(0, space));
  if (!kind.ok()) return kind.status();
  Action action{*kind, 0};
  if (space == std::string_view::npos) return action;
  std::string_view targetText = text.substr(space + 1);
  const char* end = targetText.data() + targetText.size();
  auto [parsedEnd, error] = std::from_chars(targetText.data(), end, action.target);
  if (error != std::errc{} || parsedEnd != end || action.target < 0)
    return absl::InvalidArgumentError("'" + std::string(targetText) +
                                      "' is not a valid target of an action");
  return action;
}

}  // namespace peppergate::model
