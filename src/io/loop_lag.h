#pragma once
// How far an event loop is behind. All that a process reads waits as long: frames, requests,
// closes.
#include <algorithm>

#include "core/types.h"

namespace peppergate {

/// Measures by a timer that runs on the loop. Example: `Duration late = lag.tick(bootNow());`
class LoopLag {
 public:
  /// `pace`: the time between two ticks where nothing holds the loop up.
  explicit LoopLag(Duration pace) : pace_(pace) {}

  /// Called by each tick; returns how much later than its time it came.
  Duration tick(MonotonicTime now) {
    Duration late = last_ == kNever ? Duration{} : std::max(Duration{}, now - last_ - pace_);
    last_ = now;
    return late;
  }

 private:
  Duration pace_;
  MonotonicTime last_ = kNever;
};

}  // namespace peppergate
