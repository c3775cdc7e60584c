#pragma once
// The history of operators' calls: the request of each call, its time and its answer. A history
// holds only what callers observed, and nothing from inside a daemon.
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace peppergate::history {

/// Microseconds on the single clock that timed all calls of a history.
using Microseconds = std::int64_t;
/// The end of a call that has not ended.
inline constexpr Microseconds kNoEnd = INT64_MAX;

/// The version of a register's contents. A version that the operator chose has epoch 0; {0, 0} is
/// the register before its first change.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Version&) const = default;
};

/// Contents as callers can distinguish them: by version, and by digest for the same version.
struct Contents {
  Version version;
  std::string digest;
  auto operator<=>(const Contents&) const = default;
};

enum class CallKind : std::uint8_t { kChange, kRead };

enum class CallOutcome : std::uint8_t {
  kDone,     // a change was acknowledged, or a read was answered
  kRefused,  // a change was finally refused
  kUnknown,  // no answer, or one that leaves the outcome open
};

/// One call of one operator to one machine. A change that is sent again is a separate call with the
/// same change id.
struct OperatorCall {
  std::string registerName;  // registers are independent of each other
  std::string operatorName;
  std::string machine;    // that it was sent to
  std::string changeKey;  // id of a change, the same for every attempt
  CallKind kind = CallKind::kChange;
  CallOutcome outcome = CallOutcome::kUnknown;
  Microseconds start = 0;
  Microseconds end = kNoEnd;       // kNoEnd if the outcome is unknown
  std::optional<Version> base;     // of a change: the version it is based on; none: any
  std::optional<Version> version;  // of a change: the one it creates; of a read: as returned
  std::string digest;              // of the contents that a change creates or a read returned
  bool versionIsAssigned = false;  // the system assigns the version; known from the acknowledgement
  bool valid = true;               // a valid change; an invalid one must be refused
  bool finalRead = false;          // a read of the final state at the end of the run
};

/// Why a line of a history cannot be parsed. The field is "<root>" if the line is not a JSON
/// object.
struct ReadError {
  std::size_t line = 0;  // starting at 1
  std::string field;
  std::string detail;
};

using ReadResult = std::variant<std::vector<OperatorCall>, ReadError>;

/// Parses a history: one JSON object per line; empty lines are skipped.
ReadResult readHistory(std::string_view text);
/// Writes one call as a line of JSON, without the line break.
std::string writeCall(const OperatorCall& call);
/// Writes a version in the format of histories: "7", or "3.12" with an epoch.
std::string versionText(const Version& version);
/// Parses the output of `versionText`; nullopt if the text is not a version.
std::optional<Version> parseVersion(std::string_view text);

}  // namespace peppergate::history
