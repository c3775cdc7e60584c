#include "sim/schedule_shrinker.h"

#include <algorithm>
#include <utility>

namespace peppergate {

std::vector<std::string> shrinkLines(
    std::vector<std::string> lines,
    const std::function<bool(const std::vector<std::string>&)>& stillFails, int maxRuns) {
  for (std::size_t step = std::max<std::size_t>(1, lines.size() / 2); step >= 1; step /= 2) {
    for (std::size_t at = 0; at < lines.size() && maxRuns > 0; --maxRuns) {
      auto shorter = lines;
      auto from = shorter.begin() + static_cast<std::ptrdiff_t>(at);
      auto to = shorter.begin() + static_cast<std::ptrdiff_t>(std::min(at + step, shorter.size()));
      shorter.erase(from, to);
      if (stillFails(shorter)) lines = std::move(shorter);
      else at += step;
    }
    if (step == 1) break;
  }
  return lines;
}

}  // namespace peppergate
