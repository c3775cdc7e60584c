#include "history/history.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace peppergate::history {
namespace {

using Json = nlohmann::json;

struct KindRow {
  std::string_view name;
  CallKind kind;
};
constexpr std::array kKinds{KindRow{"change", CallKind::kChange}, KindRow{"read", CallKind::kRead}};

struct OutcomeRow {
  std::string_view name;
  Outcome outcome;
};
constexpr std::array kOutcomes{OutcomeRow{"done", Outcome::kDone},
                               OutcomeRow{"refused", Outcome::kRefused},
                               OutcomeRow{"unknown", Outcome::kUnknown}};

/// Thrown within this file only; `readHistory` converts it to a ReadError.
struct FieldError {
  std::string field;
  std::string detail;
};

std::string textField(const Json& object, const char* field, bool needed) {
  auto found = object.find(field);
  if (found == object.end()) {
    if (needed) throw FieldError{field, "is missing"};
    return {};
  }
  if (!found->is_string()) throw FieldError{field, "must be a string"};
  return found->get<std::string>();
}

bool flagField(const Json& object, const char* field, bool absent) {
  auto found = object.find(field);
  if (found == object.end()) return absent;
  if (!found->is_boolean()) throw FieldError{field, "must be true or false"};
  return found->get<bool>();
}

std::optional<Microseconds> timeField(const Json& object, const char* field) {
  auto found = object.find(field);
  if (found == object.end() || found->is_null()) return std::nullopt;
  if (!found->is_number_integer())
    throw FieldError{field, "must be an integer number of microseconds"};
  return found->get<Microseconds>();
}

std::optional<Version> versionField(const Json& object, const char* field) {
  auto found = object.find(field);
  if (found == object.end() || found->is_null()) return std::nullopt;
  if (found->is_number_unsigned()) return Version{0, found->get<std::uint64_t>()};
  if (found->is_string())
    if (auto version = parseVersion(found->get_ref<const std::string&>())) return version;
  throw FieldError{field, "must be an unsigned integer or a string EPOCH.NUMBER"};
}

CallKind kindField(const Json& object) {
  const std::string name = textField(object, "call", true);
  for (const auto& row : kKinds)
    if (row.name == name) return row.kind;
  throw FieldError{"call", "must be change or read"};
}

Outcome outcomeField(const Json& object) {
  const std::string name = textField(object, "outcome", true);
  for (const auto& row : kOutcomes)
    if (row.name == name) return row.outcome;
  throw FieldError{"outcome", "must be done, refused or unknown"};
}

void checkChange(const OperatorCall& call) {
  if (call.order.empty()) throw FieldError{"order", "is required for a change"};
  if (call.assigned) {
    if (call.outcome == Outcome::kDone && !call.version)
      throw FieldError{"version", "is required for an acknowledged change"};
    return;
  }
  if (!call.base) throw FieldError{"base", "is required unless the version is assigned"};
  if (!call.version) throw FieldError{"version", "is required unless it is assigned"};
}

void checkRead(const OperatorCall& call) {
  if (call.outcome == Outcome::kRefused) throw FieldError{"outcome", "a read cannot be refused"};
  if (call.outcome == Outcome::kDone && !call.version)
    throw FieldError{"version", "is required for an answered read"};
}

OperatorCall readCall(const Json& object) {
  OperatorCall call;
  call.registerName = textField(object, "register", true);
  call.operatorName = textField(object, "operator", true);
  call.machine = textField(object, "machine", false);
  call.order = textField(object, "order", false);
  call.kind = kindField(object);
  call.outcome = outcomeField(object);
  auto start = timeField(object, "start");
  if (!start) throw FieldError{"start", "is missing"};
  call.start = *start;
  auto end = timeField(object, "end");
  if (!end && call.outcome != Outcome::kUnknown)
    throw FieldError{"end", "is required for an answered call"};
  if (end && *end < call.start) throw FieldError{"end", "is before the start"};
  // A call of unknown outcome may still take effect after its caller gave up, so it has no end.
  if (end && call.outcome != Outcome::kUnknown) call.end = *end;
  call.base = versionField(object, "base");
  call.version = versionField(object, "version");
  call.digest = textField(object, "digest", false);
  call.assigned = flagField(object, "assigned", false);
  call.proper = flagField(object, "proper", true);
  call.final = flagField(object, "final", false);
  if (call.kind == CallKind::kChange) checkChange(call);
  else checkRead(call);
  return call;
}

Json versionJson(const Version& version) {
  if (version.epoch == 0) return version.number;
  return versionText(version);
}

std::optional<std::uint64_t> wholeNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  auto [stopped, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || stopped != end || text.empty()) return std::nullopt;
  return number;
}

}  // namespace

std::string versionText(const Version& version) {
  if (version.epoch == 0) return std::to_string(version.number);
  return std::to_string(version.epoch) + "." + std::to_string(version.number);
}

std::optional<Version> parseVersion(std::string_view text) {
  const auto dot = text.find('.');
  const bool hasEpoch = dot != std::string_view::npos;
  const auto epoch = hasEpoch ? wholeNumber(text.substr(0, dot)) : std::optional<std::uint64_t>(0);
  const auto number = wholeNumber(hasEpoch ? text.substr(dot + 1) : text);
  if (!epoch || !number) return std::nullopt;
  return Version{*epoch, *number};
}

ReadResult readHistory(std::string_view text) {
  std::vector<OperatorCall> calls;
  std::size_t line = 0;
  while (!text.empty()) {
    ++line;
    const auto length = text.find('\n');
    const std::string_view content = text.substr(0, length);
    text.remove_prefix(length == std::string_view::npos ? text.size() : length + 1);
    if (content.find_first_not_of(" \t\r") == std::string_view::npos) continue;
    const Json object = Json::parse(content, nullptr, false);
    if (!object.is_object()) return ReadError{line, "<root>", "is not a JSON object"};
    try {
      calls.push_back(readCall(object));
    } catch (const FieldError& wrong) {
      return ReadError{line, wrong.field, wrong.detail};
    }
  }
  return calls;
}

std::string writeCall(const OperatorCall& call) {
  Json object{{"register", call.registerName},
              {"operator", call.operatorName},
              {"call", kKinds.at(static_cast<std::size_t>(call.kind)).name},
              {"outcome", kOutcomes.at(static_cast<std::size_t>(call.outcome)).name},
              {"start", call.start}};
  if (call.end != kNoEnd) object["end"] = call.end;
  if (!call.machine.empty()) object["machine"] = call.machine;
  if (!call.order.empty()) object["order"] = call.order;
  if (call.base) object["base"] = versionJson(*call.base);
  if (call.version) object["version"] = versionJson(*call.version);
  if (!call.digest.empty()) object["digest"] = call.digest;
  if (call.assigned) object["assigned"] = true;
  if (!call.proper) object["proper"] = false;
  if (call.final) object["final"] = true;
  return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace peppergate::history
