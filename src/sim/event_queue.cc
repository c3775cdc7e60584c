#include "sim/event_queue.h"

#include <algorithm>
#include <utility>

namespace peppergate {

void EventQueue::every(Duration period, std::function<void()> what) {
  after(period, [this, period, what = std::move(what)]() mutable {
    what();
    every(period, std::move(what));
  });
}

bool EventQueue::runNext() {
  if (queue_.empty()) return false;
  Item item = queue_.top();
  queue_.pop();
  now_ = std::max(now_, item.at);
  item.what();
  return true;
}

void EventQueue::runUntil(MonotonicTime end) {
  while (now_ < end && runNext()) {
  }
}

}  // namespace peppergate
