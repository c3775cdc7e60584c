#include "io/event_loop.h"

#include <event2/thread.h>
#include <time.h>

#include <stdexcept>

namespace peppergate {
namespace {

timeval toTimeval(Duration duration) {
  return {static_cast<time_t>(duration.microseconds / 1'000'000),
          static_cast<suseconds_t>(duration.microseconds % 1'000'000)};
}

constexpr int kPriorities = 2;

struct OneTimeCallback {
  std::function<void()> callback;
};

void runOnce(evutil_socket_t, short, void* argument) {
  std::unique_ptr<OneTimeCallback> once(static_cast<OneTimeCallback*>(argument));
  once->callback();
}

void runFunction(evutil_socket_t, short, void* argument) {
  (*static_cast<std::function<void()>*>(argument))();
}

}  // namespace

MonotonicTime bootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return {static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000};
}

EventLoop::EventLoop() {
  evthread_use_pthreads();
  base_ = event_base_new();
  if (base_ == nullptr) throw std::runtime_error("cannot create the libevent base");
  event_base_priority_init(base_, kPriorities);  // the default is the middle one: the second
  static constexpr auto kRunPosted = [](evutil_socket_t, short, void* loop) {
    static_cast<EventLoop*>(loop)->runPosted();
  };
  postedEvent_ = event_new(base_, -1, EV_PERSIST, kRunPosted, this);
  event_add(postedEvent_, nullptr);
}

EventLoop::~EventLoop() {
  event_free(postedEvent_);
  for (auto& entry : repeatingEvents_) event_free(entry->timer);
  event_base_free(base_);
}

void EventLoop::runEvery(Duration interval, std::function<void()> callback) {
  auto entry = std::make_unique<RepeatingEvent>();
  entry->callback = std::move(callback);
  entry->timer = event_new(base_, -1, EV_PERSIST, &runFunction, &entry->callback);
  event_priority_set(entry->timer, kMemberPriority);  // must not wait for clients' requests
  timeval time = toTimeval(interval);
  event_add(entry->timer, &time);
  repeatingEvents_.push_back(std::move(entry));
}

void EventLoop::runAfter(Duration delay, std::function<void()> callback) {
  timeval time = toTimeval(delay);
  event_base_once(base_, -1, EV_TIMEOUT, &runOnce, new OneTimeCallback{std::move(callback)}, &time);
}

void EventLoop::post(std::function<void()> callback) {
  {
    std::lock_guard lock(mutex_);
    posted_.push_back(std::move(callback));
  }
  event_active(postedEvent_, EV_TIMEOUT, 0);
}

void EventLoop::runPosted() {
  std::deque<std::function<void()>> posted;
  {
    std::lock_guard lock(mutex_);
    posted.swap(posted_);
  }
  for (auto& callback : posted) callback();
}

void EventLoop::onSignal(int signal, std::function<void()> callback) {
  auto entry = std::make_unique<RepeatingEvent>();
  entry->callback = std::move(callback);
  entry->timer = event_new(base_, signal, EV_SIGNAL | EV_PERSIST, &runFunction, &entry->callback);
  event_add(entry->timer, nullptr);
  repeatingEvents_.push_back(std::move(entry));
}

void EventLoop::run() { event_base_dispatch(base_); }
void EventLoop::stop() { event_base_loopbreak(base_); }

}  // namespace peppergate
