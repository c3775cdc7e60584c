#pragma once
// Linearizability of a register whose versions the system assigns.
//
// Each acknowledged change has the version that it was assigned. The order of the versions must fit
// the times of the calls; each version belongs to one change; a change keeps its version when it is
// acknowledged again; and a change that names a base directly follows that base among the
// acknowledged changes. Changes of unknown outcome are not constrained.
#include <vector>

#include "history/history.h"
#include "history/violation.h"

namespace peppergate::history {

/// Checks the calls of one register.
Violations checkAssignedVersions(const std::vector<OperatorCall>& calls);

}  // namespace peppergate::history
