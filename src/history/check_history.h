#pragma once
// Decides whether a history of operators' calls is linearizable, register by register.
#include <vector>

#include "history/history.h"
#include "history/verdict.h"

namespace peppergate::history {

/// Checks all registers of a history. Registers don't share state, so each is decided alone.
Verdict checkHistory(const std::vector<OperatorCall>& calls);

}  // namespace peppergate::history
