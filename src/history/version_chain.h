#pragma once
// Linearizability of a compare-and-set register whose versions the operators choose.
//
// A change names the version that it is based on and the higher version that it creates, so the
// changes that took effect form a chain. A linear order of all calls exists if and only if there is
// a chain that contains all changes that were acknowledged or read, with a point in time for each
// of its links that is consistent with the answers of all calls:
//  - a change takes effect after the start of its first attempt that was not refused, and before
//    the end of each attempt that was acknowledged;
//  - a read returns a version while it is the newest;
//  - a refusal requires a moment during its call at which another version was the newest.
// The search builds the chain link by link, each at its earliest possible time, and remembers the
// chain ends that cannot be completed. Changes of unknown outcome may be included or left out.
#include <vector>

#include "history/history.h"
#include "history/violation.h"

namespace peppergate::history {

/// Checks the calls of one register. The running time is linear in the number of calls where the
/// answers determine the chain; it grows with the changes of unknown outcome on the same base.
Violations checkVersionChain(const std::vector<OperatorCall>& calls);

}  // namespace peppergate::history
