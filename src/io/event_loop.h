#pragma once
// The event loop: clock, timers, signals, and a queue for callbacks posted by other threads.
#include <event2/event.h>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "core/types.h"

namespace peppergate {

/// The time on the machine's boot clock, which runs on during suspend and is never adjusted.
MonotonicTime bootNow();

/// A libevent loop. All callbacks run on the thread that runs the loop.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* base() const { return base_; }
  /// Priority of events of fleet members. They are handled before all other ready events, so a loop
  /// that is behind with clients' requests still receives messages from its leader.
  static constexpr int kMemberPriority = 0;
  /// Calls the callback periodically.
  void runEvery(Duration interval, std::function<void()> callback);
  /// Calls the callback once, after a delay.
  void runAfter(Duration delay, std::function<void()> callback);
  /// Calls the callback once the current event has been handled, for instance to free a connection
  /// that is still in use.
  void runSoon(std::function<void()> callback) { runAfter(Duration{}, std::move(callback)); }
  /// Runs the callback on the loop's thread; may be called from any thread.
  void post(std::function<void()> callback);
  /// Calls the callback on each signal of this number.
  void onSignal(int signal, std::function<void()> callback);
  void run();
  void stop();

 private:
  struct RepeatingEvent {
    std::function<void()> callback;
    event* timer = nullptr;
  };
  void runPosted();

  event_base* base_;
  std::vector<std::unique_ptr<RepeatingEvent>> repeatingEvents_;
  std::mutex mutex_;
  std::deque<std::function<void()>> posted_;
  event* postedEvent_ = nullptr;
};

}  // namespace peppergate
