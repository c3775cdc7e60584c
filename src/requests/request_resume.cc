// Streams in progress that have no engine for now: they are suspended instead of truncated.
#include <algorithm>

#include "requests/request_state.h"

namespace peppergate {
namespace {
/// The shortest and the longest wait before a suspended stream is retried.
constexpr Duration kMinWait = milliseconds(50);
constexpr Duration kMaxWait = milliseconds(250);
}  // namespace

/// Whether the reason for the failure may be temporary and the request may wait for it to pass.
/// Only a response that another engine can continue is suspended; all others are rejected or ended
/// at once.
bool RequestRouter::State::maySuspend(const ActiveRequest& request, RequestFailure reason) const {
  bool resumable = request.responseStarted && request.isStream() && request.route->resumable &&
                   !request.bodyLengthForwarded &&
                   (request.lastForwardedEventId || !request.bodyForwarded);
  if (!resumable || !repeatable(*request.route)) return false;
  switch (reason) {
    case RequestFailure::kStale:
    case RequestFailure::kTooLate:
    case RequestFailure::kOverBudget:
    case RequestFailure::kNoEngine:
    case RequestFailure::kFull:
    case RequestFailure::kDeclined:
      return true;
    default:
      return false;
  }
}

/// Keeps the stream open without an attempt. Engines that were already tried may be tried again.
void RequestRouter::State::suspend(ActiveRequest& request, std::optional<Duration> wait,
                                   MonotonicTime now, Outbox& outbox) {
  outbox.count("streams.suspended");
  request.unwrittenAttempts = 0;
  request.triedEngines.clear();
  request.retryAt = now + std::clamp(wait.value_or(kMaxWait), kMinWait, kMaxWait);
  scheduleCheck(request);
}

void RequestRouter::State::resume(ActiveRequest& request, MonotonicTime now, Outbox& outbox) {
  request.retryAt = kForever;
  retry(request, "attempts.again.suspended", {RequestFailure::kBroken}, now, outbox);
}

}  // namespace peppergate
