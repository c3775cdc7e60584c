// Streams in progress that have no engine for now: they are suspended instead of truncated.
#include <algorithm>

#include "requests/request_state.h"

namespace peppergate {
namespace {
/// The shortest and the longest wait before a suspended stream is retried.
constexpr Duration kLeastWait = milliseconds(50);
constexpr Duration kLongestWait = milliseconds(250);
}  // namespace

/// Whether the reason for the failure may be temporary and the request may wait for it to pass.
/// Only a response that another engine can continue is suspended; all others are rejected or ended
/// at once.
bool Requests::State::maySuspend(const LiveRequest& request, Hurdle hurdle) const {
  bool resumable = request.answering && request.stream() && request.route->resumable &&
                   !request.lengthPassed && (request.lastEvent || !request.bytesPassed);
  if (!resumable || !repeatable(*request.route)) return false;
  switch (hurdle) {
    case Hurdle::kStale:
    case Hurdle::kTooLate:
    case Hurdle::kOverBudget:
    case Hurdle::kNoEngine:
    case Hurdle::kFull:
    case Hurdle::kDeclined:
      return true;
    default:
      return false;
  }
}

/// Keeps the stream open without an attempt. Engines that were already tried may be tried again.
void Requests::State::suspend(LiveRequest& request, std::optional<Duration> wait, MonotonicTime now,
                              Outbox& outbox) {
  outbox.count("streams.suspended");
  request.unwritten = 0;
  request.tried.clear();
  request.resumeAt = now + std::clamp(wait.value_or(kLongestWait), kLeastWait, kLongestWait);
  arm(request);
}

void Requests::State::resume(LiveRequest& request, MonotonicTime now, Outbox& outbox) {
  request.resumeAt = kForever;
  again(request, "attempts.again.suspended", {Hurdle::kBroken}, now, outbox);
}

}  // namespace peppergate
