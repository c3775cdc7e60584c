#pragma once
// Checks whether a history of operators' calls is linearizable, register by register.
#include <vector>

#include "history/history.h"
#include "history/violation.h"

namespace peppergate::history {

/// Checks all registers of a history. Registers share no state, so each is checked on its own.
Violations checkHistory(const std::vector<OperatorCall>& calls);

}  // namespace peppergate::history
