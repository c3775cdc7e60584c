#include "history/history.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace peppergate::history {
namespace {

using Json = nlohmann::json;

struct CallKindRow {
  std::string_view name;
  CallKind kind;
};
constexpr std::array kCallKindRows{CallKindRow{"change", CallKind::kChange},
                                   CallKindRow{"read", CallKind::kRead}};

struct OutcomeRow {
  std::string_view name;
  CallOutcome outcome;
};
constexpr std::array kOutcomeRows{OutcomeRow{"done", CallOutcome::kDone},
                                  OutcomeRow{"refused", CallOutcome::kRefused},
                                  OutcomeRow{"unknown", CallOutcome::kUnknown}};

/// Thrown within this file only; `readHistory` converts it to a ReadError.
struct FieldError {
  std::string field;
  std::string detail;
};

std::string textField(const Json& object, const char* field, bool required) {
  auto found = object.find(field);
  if (found == object.end()) {
    if (required) throw FieldError{field, "is missing"};
    return {};
  }
  if (!found->is_string()) throw FieldError{field, "must be a string"};
  return found->get<std::string>();
}

bool flagField(const Json& object, const char* field, bool defaultValue) {
  auto found = object.find(field);
  if (found == object.end()) return defaultValue;
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
  for (const auto& row : kCallKindRows)
    if (row.name == name) return row.kind;
  throw FieldError{"call", "must be change or read"};
}

CallOutcome outcomeField(const Json& object) {
  const std::string name = textField(object, "outcome", true);
  for (const auto& row : kOutcomeRows)
    if (row.name == name) return row.outcome;
  throw FieldError{"outcome", "must be done, refused or unknown"};
}

void checkChange(const OperatorCall& call) {
  if (call.changeKey.empty()) throw FieldError{"order", "is required for a change"};
  if (call.versionIsAssigned) {
    if (call.outcome == CallOutcome::kDone && !call.version)
      throw FieldError{"version", "is required for an acknowledged change"};
    return;
  }
  if (!call.base) throw FieldError{"base", "is required unless the version is assigned"};
  if (!call.version) throw FieldError{"version", "is required unless it is assigned"};
}

void checkRead(const OperatorCall& call) {
  if (call.outcome == CallOutcome::kRefused)
    throw FieldError{"outcome", "a read cannot be refused"};
  if (call.outcome == CallOutcome::kDone && !call.version)
    throw FieldError{"version", "is required for an answered read"};
}

OperatorCall parseCall(const Json& object) {
  OperatorCall call;
  call.registerName = textField(object, "register", true);
  call.operatorName = textField(object, "operator", true);
  call.machine = textField(object, "machine", false);
  call.changeKey = textField(object, "order", false);
  call.kind = kindField(object);
  call.outcome = outcomeField(object);
  auto start = timeField(object, "start");
  if (!start) throw FieldError{"start", "is missing"};
  call.start = *start;
  auto end = timeField(object, "end");
  if (!end && call.outcome != CallOutcome::kUnknown)
    throw FieldError{"end", "is required for an answered call"};
  if (end && *end < call.start) throw FieldError{"end", "is before the start"};
  // A call of unknown outcome may still take effect after its caller gave up, so it has no end.
  if (end && call.outcome != CallOutcome::kUnknown) call.end = *end;
  call.base = versionField(object, "base");
  call.version = versionField(object, "version");
  call.digest = textField(object, "digest", false);
  call.versionIsAssigned = flagField(object, "assigned", false);
  call.valid = flagField(object, "proper", true);
  call.finalRead = flagField(object, "final", false);
  if (call.kind == CallKind::kChange) checkChange(call);
  else checkRead(call);
  return call;
}

Json versionJson(const Version& version) {
  if (version.epoch == 0) return version.number;
  return versionText(version);
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  auto [parsedEnd, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || parsedEnd != end || text.empty()) return std::nullopt;
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
  const auto epoch =
      hasEpoch ? parseUnsigned(text.substr(0, dot)) : std::optional<std::uint64_t>(0);
  const auto number = parseUnsigned(hasEpoch ? text.substr(dot + 1) : text);
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
      calls.push_back(parseCall(object));
    } catch (const FieldError& error) {
      return ReadError{line, error.field, error.detail};
    }
  }
  return calls;
}

std::string writeCall(const OperatorCall& call) {
  Json object{{"register", call.registerName},
              {"operator", call.operatorName},
              {"call", kCallKindRows.at(static_cast<std::size_t>(call.kind)).name},
              {"outcome", kOutcomeRows.at(static_cast<std::size_t>(call.outcome)).name},
              {"start", call.start}};
  if (call.end != kNoEnd) object["end"] = call.end;
  if (!call.machine.empty()) object["machine"] = call.machine;
  if (!call.changeKey.empty()) object["order"] = call.changeKey;
  if (call.base) object["base"] = versionJson(*call.base);
  if (call.version) object["version"] = versionJson(*call.version);
  if (!call.digest.empty()) object["digest"] = call.digest;
  if (call.versionIsAssigned) object["assigned"] = true;
  if (!call.valid) object["proper"] = false;
  if (call.finalRead) object["final"] = true;
  return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace peppergate::history
