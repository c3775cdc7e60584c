#pragma once
// Leaves out of a failing schedule what it doesn't need to fail.
#include <functional>
#include <string>
#include <vector>

namespace peppergate {

/// Leaves out runs of lines, long ones first, as long as `fails` holds for the rest. Calls it up to
/// `mostRuns` times.
std::vector<std::string> shrinkLines(
    std::vector<std::string> lines,
    const std::function<bool(const std::vector<std::string>&)>& fails, int mostRuns);

}  // namespace peppergate
