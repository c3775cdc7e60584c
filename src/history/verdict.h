#pragma once
// What the history checkers find.
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peppergate::history {

/// Why a history is not linearizable. All but the last name a cause that is plain by itself.
enum class ViolationKind : std::uint8_t {
  kUnknownContents,       // a read returned contents that nobody sent
  kTwoContents,           // one version was confirmed or read with two contents
  kTwoOnOneBase,          // two changes of one base were both confirmed
  kImproperAcknowledged,  // an invalid change was acknowledged or read back
  kRefusedContents,       // a change that was refused at each attempt was read back
  kRefusedRepeat,         // an order was refused after it had been acknowledged or read back
  kRefusedOnNewest,       // a valid change on the newest version was refused
  kStaleRead,             // a read returned less than was known before it began
  kLostChange,            // the end state lacks an acknowledged change
  kOrder,                 // versions were given against the order in which the calls ended
  kNotLinearizable,       // no order of the calls explains all answers
};

/// The name of a kind as reports print it, such as "stale-read".
std::string_view kindName(ViolationKind kind);

struct Violation {
  ViolationKind kind = ViolationKind::kNotLinearizable;
  std::string registerName;
  std::string detail;
};

/// Empty when the history is linearizable.
using Verdict = std::vector<Violation>;

}  // namespace peppergate::history
