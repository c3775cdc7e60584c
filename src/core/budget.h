#pragma once
// Limits retries to a share of the first attempts that this front sent, without a free allowance.
#include <deque>

#include "core/types.h"

namespace peppergate {

/// A budget of retries over a sliding window of time.
class Budget {
 public:
  Budget(double share, Duration window) : share_(share), window_(window) {}
  /// Records a first attempt.
  void first(MonotonicTime now) {
    forget(now);
    firsts_.push_back(now);
  }
  /// Takes one retry out of the budget; false if the first attempts in the window do not allow it.
  bool takeSecond(MonotonicTime now) {
    forget(now);
    double allowed = share_ * static_cast<double>(firsts_.size());
    if (static_cast<double>(seconds_.size() + 1) > allowed) return false;
    seconds_.push_back(now);
    return true;
  }

 private:
  void forget(MonotonicTime now) {
    while (!firsts_.empty() && now - firsts_.front() > window_) firsts_.pop_front();
    // A retry comes after the first attempts that allow it and is remembered as long as they are.
    // So no first attempt is counted for two retries, and the share holds over any span from the
    // start.
    while (!seconds_.empty() && now - seconds_.front() > window_) seconds_.pop_front();
  }
  double share_;
  Duration window_;
  std::deque<MonotonicTime> firsts_, seconds_;
};

}  // namespace peppergate
