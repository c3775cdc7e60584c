#pragma once
// Order of the changes of a register whose versions the system assigns.
//
// Each acknowledged change names the version that it was given. The changes in the order of their
// versions have to fit the times of their calls, each version belongs to one order, an order keeps
// its version when it is acknowledged again, and a change that named a base follows it directly
// among those that were acknowledged. Changes without a clear answer constrain nothing here.
#include <vector>

#include "history/history.h"
#include "history/verdict.h"

namespace peppergate::history {

/// Checks the calls of one register.
Verdict checkAssignedVersions(const std::vector<OperatorCall>& calls);

}  // namespace peppergate::history
