// Streams under way that have no engine for the moment: they are suspended, not cut.
#include <algorithm>

#include "requests/request_state.h"

namespace peppergate {
namespace {
/// How soon an engine is looked for again, at the earliest and at the latest.
constexpr Duration kLeastWait = milliseconds(50);
constexpr Duration kLongestWait = milliseconds(250);
}  // namespace

/// Whether a hurdle may pass while the client still waits. Only an answer that another engine can
/// go on with is suspended: all else is refused or ended at once.
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

/// The stream stays open without an attempt; engines that were asked before may be asked again.
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
