#include "io/loop.h"

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

struct Once {
  std::function<void()> what;
};

void runOnce(evutil_socket_t, short, void* argument) {
  std::unique_ptr<Once> once(static_cast<Once*>(argument));
  once->what();
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

Loop::Loop() {
  evthread_use_pthreads();
  base_ = event_base_new();
  if (base_ == nullptr) throw std::runtime_error("cannot create the libevent base");
  event_base_priority_init(base_, kPriorities);  // the default is the middle one: the second
  static constexpr auto kTakeMail = [](evutil_socket_t, short, void* loop) {
    static_cast<Loop*>(loop)->takeMail();
  };
  mailEvent_ = event_new(base_, -1, EV_PERSIST, kTakeMail, this);
  event_add(mailEvent_, nullptr);
}

Loop::~Loop() {
  event_free(mailEvent_);
  for (auto& entry : repeating_) event_free(entry->timer);
  event_base_free(base_);
}

void Loop::every(Duration pace, std::function<void()> what) {
  auto entry = std::make_unique<Repeating>();
  entry->what = std::move(what);
  entry->timer = event_new(base_, -1, EV_PERSIST, &runFunction, &entry->what);
  event_priority_set(entry->timer, kMembers);  // must not wait for clients' requests
  timeval time = toTimeval(pace);
  event_add(entry->timer, &time);
  repeating_.push_back(std::move(entry));
}

void Loop::after(Duration delay, std::function<void()> what) {
  timeval time = toTimeval(delay);
  event_base_once(base_, -1, EV_TIMEOUT, &runOnce, new Once{std::move(what)}, &time);
}

void Loop::post(std::function<void()> what) {
  {
    std::lock_guard lock(mutex_);
    mail_.push_back(std::move(what));
  }
  event_active(mailEvent_, EV_TIMEOUT, 0);
}

void Loop::takeMail() {
  std::deque<std::function<void()>> mail;
  {
    std::lock_guard lock(mutex_);
    mail.swap(mail_);
  }
  for (auto& what : mail) what();
}

void Loop::onSignal(int signal, std::function<void()> what) {
  auto entry = std::make_unique<Repeating>();
  entry->what = std::move(what);
  entry->timer = event_new(base_, signal, EV_SIGNAL | EV_PERSIST, &runFunction, &entry->what);
  event_add(entry->timer, nullptr);
  repeating_.push_back(std::move(entry));
}

void Loop::run() { event_base_dispatch(base_); }
void Loop::stop() { event_base_loopbreak(base_); }

}  // namespace peppergate
