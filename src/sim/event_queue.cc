#include "sim/event_queue.h"

#include <algorithm>
#include <utility>

namespace peppergate {

void EventQueue::scheduleEvery(Duration period, std::function<void()> action) {
  scheduleAfter(period, [this, period, action = std::move(action)]() mutable {
    action();
    scheduleEvery(period, std::move(action));
  });
}

bool EventQueue::runNext() {
  if (queue_.empty()) return false;
  Item item = queue_.top();
  queue_.pop();
  now_ = std::max(now_, item.at);
  item.action();
  return true;
}

void EventQueue::runUntil(MonotonicTime end) {
  while (now_ < end && runNext()) {
  }
}

}  // namespace peppergate
