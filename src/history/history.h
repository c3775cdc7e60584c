#pragma once
// The history of operators' calls: what each call asked for, when, and what its caller was told.
// A history holds only what callers saw; nothing in it comes from inside a daemon.
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace peppergate::history {

/// Microseconds on the one clock that all calls of a history were timed by.
using Microseconds = std::int64_t;
/// The end of a call that has none yet.
inline constexpr Microseconds kNoEnd = INT64_MAX;

/// The version of a register's contents. A number that the operator chose has epoch 0; {0, 0} is
/// the register before its first change.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Version&) const = default;
};

/// Contents as callers can tell them apart: two with one version and different digests differ.
struct Contents {
  Version version;
  std::string digest;
  auto operator<=>(const Contents&) const = default;
};

enum class CallKind : std::uint8_t { kChange, kRead };

enum class Outcome : std::uint8_t {
  kDone,     // a change was acknowledged, or a read was answered
  kRefused,  // a change was declined for good
  kUnknown,  // no answer, or one that promises nothing
};

/// One call of one operator at one machine. An order that is sent again is a call of its own with
/// the same order id.
struct OperatorCall {
  std::string registerName;  // registers are independent of one another
  std::string operatorName;
  std::string machine;  // where it was sent
  std::string order;    // of a change: the same for each attempt
  CallKind kind = CallKind::kChange;
  Outcome outcome = Outcome::kUnknown;
  Microseconds start = 0;
  Microseconds end = kNoEnd;       // kNoEnd unless the outcome is known
  std::optional<Version> base;     // of a change: the version that it builds on; none: on any
  std::optional<Version> version;  // of a change: what it makes; of a read: what was returned
  std::string digest;              // of the contents after a change, or as read
  bool assigned = false;           // the system gives the version; known once it is acknowledged
  bool proper = true;              // a valid change; one that is not has to be refused
  bool final = false;              // the end state of the day, read back
};

/// Why a line of a history cannot be read. The field is "<root>" when the line is no JSON object.
struct ReadError {
  std::size_t line = 0;  // the first is 1
  std::string field;
  std::string detail;
};

using ReadResult = std::variant<std::vector<OperatorCall>, ReadError>;

/// Reads a history: one JSON object a line, empty lines are skipped.
ReadResult readHistory(std::string_view text);
/// Writes one call as a line of JSON without its end of line.
std::string writeCall(const OperatorCall& call);
/// Writes a version as histories hold it: "7", or "3.12" with an epoch.
std::string versionText(const Version& version);
/// Reads what `versionText` wrote; nothing if it is no version.
std::optional<Version> parseVersion(std::string_view text);

}  // namespace peppergate::history
