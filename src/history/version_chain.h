#pragma once
// Linearizability of a compare-and-set register whose versions the operators choose.
//
// A change names the version that it builds on and the higher version that it makes. So the changes
// that took effect form a chain, and an order of all calls exists exactly when a chain exists that
// contains all changes that were acknowledged or read, with a point in time for each of its links
// that fits the answers of all calls:
//  - a change takes effect after the start of its first attempt that was not refused, and before
//    the end of each attempt that was acknowledged;
//  - a read returns a version while it is the newest;
//  - a refusal needs a moment of its call at which another version was the newest.
// The search builds the chain link by link, each at its earliest possible time, and remembers which
// ends of a chain lead nowhere. Changes without a clear answer may be left out or taken.
#include <vector>

#include "history/history.h"
#include "history/verdict.h"

namespace peppergate::history {

/// Checks the calls of one register. The time is linear in the calls where answers decide the
/// chain; it grows with the changes of unknown outcome that name the same base.
Verdict checkVersionChain(const std::vector<OperatorCall>& calls);

}  // namespace peppergate::history
