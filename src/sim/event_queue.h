#pragma once
// Simulated time: scheduled actions, ordered by time and then by insertion.
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "core/types.h"

namespace peppergate {

/// The clock and the scheduled actions of one simulation. Not thread-safe.
class EventQueue {
 public:
  explicit EventQueue(MonotonicTime begin) : now_(begin) {}

  MonotonicTime now() const { return now_; }
  /// Schedules an action after a delay.
  void after(Duration delay, std::function<void()> what) { at(now_ + delay, std::move(what)); }
  /// Schedules an action at a time. If that time has passed, it runs next, after the current
  /// action.
  void at(MonotonicTime time, std::function<void()> what) {
    queue_.push({time, ++arranged_, std::move(what)});
  }
  /// Schedules a periodic action; it runs for the first time after one period.
  void every(Duration period, std::function<void()> what);
  /// Runs the next action; returns false if there is none.
  bool runNext();
  /// Runs actions until the time is `end` or later.
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
