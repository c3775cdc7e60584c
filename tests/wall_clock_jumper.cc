// Preloaded into daemons (LD_PRELOAD) during fault rehearsals: the wall clock alternates each
// second between an hour ahead and an hour behind. The boot and monotonic clocks are unchanged.
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

namespace {

/// The current error of the wall clock, in seconds.
long jumped() {
  timespec now{};
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return now.tv_sec % 2 == 0 ? 3600 : -3600;
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept {
  int result = static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  if (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE) now->tv_sec += jumped();
  return result;
}

extern "C" int gettimeofday(timeval* now, void*) noexcept {
  timespec real{};
  clock_gettime(CLOCK_REALTIME, &real);
  now->tv_sec = real.tv_sec;
  now->tv_usec = real.tv_nsec / 1000;
  return 0;
}

extern "C" time_t time(time_t* out) noexcept {
  timespec real{};
  clock_gettime(CLOCK_REALTIME, &real);
  if (out != nullptr) *out = real.tv_sec;
  return real.tv_sec;
}
