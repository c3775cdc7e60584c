#pragma once
// Shrinks a failing schedule to the lines that it needs to fail.
#include <functional>
#include <string>
#include <vector>

namespace peppergate {

/// Removes ranges of lines, long ones first, as long as the remaining lines still fail. Each
/// check is a run; their number is limited.
std::vector<std::string> shrinkLines(
    std::vector<std::string> lines,
    const std::function<bool(const std::vector<std::string>&)>& stillFails, int maxRuns);

}  // namespace peppergate
