#include "sim/loss_ledger.h"

#include <algorithm>

namespace peppergate {

int LossLedger::mostLost(double from, double to) const {
  // The number rises only where a loss begins, so it is enough to check those moments and `from`.
  std::vector<double> moments{from};
  for (const Loss& loss : losses_)
    if (loss.from > from && loss.from < to) moments.push_back(loss.from);
  int most = 0;
  for (double moment : moments) {
    int lost = 0;
    for (const Loss& loss : losses_)
      if (loss.from <= moment && moment < loss.to) lost += loss.machines;
    most = std::max(most, lost);
  }
  return most;
}

bool LossLedger::lose(int machines, double from, double back) {
  double to = back + catchUp_;
  if (mostLost(from, to) + machines > tolerate_) return false;
  losses_.push_back({machines, from, to});
  return true;
}

bool LossLedger::loseAll(double from, double back) {
  double to = back + catchUp_;
  if (mostLost(from, to) > 0) return false;
  losses_.push_back({tolerate_, from, to});
  return true;
}

}  // namespace peppergate
