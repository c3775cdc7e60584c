#pragma once
// Measures how late an event loop runs. Everything that the process reads is delayed by as much:
// frames, requests, closed connections.
#include <algorithm>

#include "core/types.h"

namespace peppergate {

/// Measures the delay of a periodic timer that runs on the loop.
class LoopLag {
 public:
  /// Takes the time between two ticks of a loop that is on time.
  explicit LoopLag(Duration interval) : interval_(interval) {}

  /// Called on each tick; returns how late the tick is.
  Duration tick(MonotonicTime now) {
    Duration late =
        lastTickAt_ == kNever ? Duration{} : std::max(Duration{}, now - lastTickAt_ - interval_);
    lastTickAt_ = now;
    return late;
  }

 private:
  Duration interval_;
  MonotonicTime lastTickAt_ = kNever;
};

}  // namespace peppergate
