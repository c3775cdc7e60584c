#pragma once
// Simulated time: what is to be done when, in order of time and then of arrangement.
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "core/types.h"

namespace peppergate {

/// The clock and the agenda of one simulation. Not thread-safe.
class EventQueue {
 public:
  explicit EventQueue(MonotonicTime begin) : now_(begin) {}

  MonotonicTime now() const { return now_; }
  /// Does something after a delay.
  void after(Duration delay, std::function<void()> what) { at(now_ + delay, std::move(what)); }
  /// Does something at a time; at once, but later than what is under way, if that time has passed.
  void at(MonotonicTime time, std::function<void()> what) {
    queue_.push({time, ++arranged_, std::move(what)});
  }
  /// Does something again and again, for the first time after one period.
  void every(Duration period, std::function<void()> what);
  /// Does the next thing; false if there is none.
  bool runNext();
  /// Does one thing after the other until the time is `end` or later.
  void runUntil(MonotonicTime end);

 private:
  struct Item {
    MonotonicTime at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Item& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  MonotonicTime now_;
  std::uint64_t arranged_ = 0;
  std::priority_queue<Item> queue_;
};

}  // namespace peppergate
