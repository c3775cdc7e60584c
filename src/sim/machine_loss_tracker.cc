#include "sim/machine_loss_tracker.h"

#include <algorithm>

namespace peppergate {

int MachineLossTracker::maxLost(double from, double to) const {
  // The number rises only where a loss begins, so it is enough to check those moments and `from`.
  std::vector<double> moments{from};
  for (const Loss& loss : losses_)
    if (loss.from > from && loss.from < to) moments.push_back(loss.from);
  int maximum = 0;
  for (double moment : moments) {
    int lost = 0;
    for (const Loss& loss : losses_)
      if (loss.from <= moment && moment < loss.to) lost += loss.machines;
    maximum = std::max(maximum, lost);
  }
  return maximum;
}

bool MachineLossTracker::recordLoss(int machines, double from, double returnTime) {
  double to = returnTime + catchUp_;
  if (maxLost(from, to) + machines > tolerate_) return false;
  losses_.push_back({machines, from, to});
  return true;
}

bool MachineLossTracker::recordTotalLoss(double from, double returnTime) {
  double to = returnTime + catchUp_;
  if (maxLost(from, to) > 0) return false;
  losses_.push_back({tolerate_, from, to});
  return true;
}

}  // namespace peppergate
