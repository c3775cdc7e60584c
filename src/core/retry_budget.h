#pragma once
// Limits retries to a share of the first attempts that this front sent, without a free allowance.
#include <deque>

#include "core/types.h"

namespace peppergate {

/// A budget of retries over a sliding window of time.
class RetryBudget {
 public:
  RetryBudget(double share, Duration window) : share_(share), window_(window) {}
  /// Records a first attempt.
  void recordFirstAttempt(MonotonicTime now) {
    expire(now);
    firstAttempts_.push_back(now);
  }
  /// Takes one retry out of the budget; false if the first attempts in the window do not allow it.
  bool takeRetry(MonotonicTime now) {
    expire(now);
    double allowed = share_ * static_cast<double>(firstAttempts_.size());
    if (static_cast<double>(retries_.size() + 1) > allowed) return false;
    retries_.push_back(now);
    return true;
  }

 private:
  void expire(MonotonicTime now) {
    while (!firstAttempts_.empty() && now - firstAttempts_.front() > window_)
      firstAttempts_.pop_front();
    // A retry comes after the first attempts that allow it and is remembered as long as they are.
    // So no first attempt is counted for two retries, and the share holds over any span from the
    // start.
    while (!retries_.empty() && now - retries_.front() > window_) retries_.pop_front();
  }
  double share_;
  Duration window_;
  std::deque<MonotonicTime> firstAttempts_, retries_;
};

}  // namespace peppergate
