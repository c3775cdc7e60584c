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
  void scheduleAfter(Duration delay, std::function<void()> action) {
    scheduleAt(now_ + delay, std::move(action));
  }
  /// Schedules an action at a time. If that time has passed, it runs next, after the current
  /// action.
  void scheduleAt(MonotonicTime time, std::function<void()> action) {
    queue_.push({time, ++scheduledCount_, std::move(action)});
  }
  /// Schedules a periodic action; it runs for the first time after one period.
  void scheduleEvery(Duration period, std::function<void()> action);
  /// Runs the next action; returns false if there is none.
  bool runNext();
  /// Runs actions until the time is `end` or later.
  void runUntil(MonotonicTime end);

 private:
  struct Item {
    MonotonicTime at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Item& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  MonotonicTime now_;
  std::uint64_t scheduledCount_ = 0;
  std::priority_queue<Item> queue_;
};

}  // namespace peppergate
