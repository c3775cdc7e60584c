#pragma once
// Second shots are paid out of the first shots that this front sent; nothing is given free.
#include <deque>

#include "core/types.h"

namespace peppergate {

/// Example: `budget.first(now); if (budget.takeSecond(now)) sendAgain();`
class Budget {
 public:
  Budget(double share, Duration window) : share_(share), window_(window) {}
  /// Counts a first shot. Example: see the class.
  void first(MonotonicTime now) {
    forget(now);
    firsts_.push_back(now);
  }
  /// Takes leave for one second shot, if the window pays for it. Example: see the class.
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
    // A second shot comes after the first ones that pay for it and is remembered as long as they
    // are, so that none of them pays twice and the share holds over any span from the start.
    while (!seconds_.empty() && now - seconds_.front() > window_) seconds_.pop_front();
  }
  double share_;
  Duration window_;
  std::deque<MonotonicTime> firsts_, seconds_;
};

}  // namespace peppergate
