#pragma once
// The findings of the history checkers.
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peppergate::history {

/// Why a history is not linearizable. All kinds but the last name a specific cause.
enum class ViolationKind : std::uint8_t {
  kUnknownContents,      // a read returned contents that no operator sent
  kTwoContents,          // one version was acknowledged or read with two contents
  kTwoChangesOnOneBase,  // two changes on one base were both acknowledged
  kInvalidAcknowledged,  // an invalid change was acknowledged or read back
  kRefusedContents,      // a change that was refused on every attempt was read back
  kRefusedAfterApplied,  // a change was refused after it had been acknowledged or read back
  kRefusedOnNewest,      // a valid change on the newest version was refused
  kStaleRead,            // a read returned an older version than was known before it began
  kLostChange,           // the end state lacks an acknowledged change
  kVersionOrder,         // assigned versions contradict the order of the calls in time
  kNotLinearizable,      // no order of the calls explains all answers
};

/// The name of a kind in reports, such as "stale-read".
std::string_view violationKindName(ViolationKind kind);

struct Violation {
  ViolationKind kind = ViolationKind::kNotLinearizable;
  std::string registerName;
  std::string detail;
};

/// Empty when the history is linearizable.
using Violations = std::vector<Violation>;

}  // namespace peppergate::history
