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
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  event_base* base() const { return base_; }
  /// Priority of events of fleet members. They are handled before all other ready events, so a loop
  /// that is behind with clients' requests still receives messages from its leader.
  static constexpr int kMembers = 0;
  /// Calls the callback periodically.
  void every(Duration pace, std::function<void()> what);
  /// Calls the callback once, after a delay.
  void after(Duration delay, std::function<void()> what);
  /// Calls the callback once the current event has been handled, for instance to free a connection
  /// that is still in use.
  void soon(std::function<void()> what) { after(Duration{}, std::move(what)); }
  /// Runs the callback on the loop's thread; may be called from any thread.
  void post(std::function<void()> what);
  /// Calls the callback on each signal of this number.
  void onSignal(int signal, std::function<void()> what);
  void run();
  void stop();

 private:
  struct Repeating {
    std::function<void()> what;
    event* timer = nullptr;
  };
  void takeMail();

  event_base* base_;
  std::vector<std::unique_ptr<Repeating>> repeating_;
  std::mutex mutex_;
  std::deque<std::function<void()>> mail_;
  event* mailEvent_ = nullptr;
};

}  // namespace peppergate
