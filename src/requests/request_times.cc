// Time-driven request handling: deadlines, silent engines, slow clients, and draining.
#include <algorithm>

#include "requests/request_state.h"

namespace peppergate {
namespace {
/// When a silent attempt is checked again after no other engine was available.
constexpr Duration kLookAgain = milliseconds(250);
constexpr Duration kFrontsEvery = seconds(1);
/// How long before the end of the grace time the remaining requests are rejected.
constexpr Duration kLastAnswers = milliseconds(850);
/// An engine that has responded to any request within this time counts as alive.
constexpr Duration kAnswersOthers = seconds(1);
}  // namespace

/// When the current attempt will have been silent for too long. Nothing if silence is tolerated:
/// the request must not be repeated, the response can't be continued by another engine, or the
/// client itself reads slowly.
std::optional<MonotonicTime> Requests::State::silentAt(const LiveRequest& request) const {
  if (!request.attempt || request.slow || !repeatable(*request.route)) return std::nullopt;
  const LiveAttempt& attempt = *request.attempt;
  if (attempt.failure || !attemptsLeft(request, *request.route)) return std::nullopt;
  if (!attempt.first) return request.heard + firstSilence(*request.route);
  bool joinable =
      request.stream() && !request.lengthPassed && (request.lastEvent || !request.bytesPassed);
  if (!joinable) return std::nullopt;
  return request.heard + eventSilence(*request.route);
}

/// When the request has to be checked next: at its deadline at the latest.
MonotonicTime Requests::State::dueAt(const LiveRequest& request) const {
  auto silent = silentAt(request);
  return std::min({request.deadline, request.resumeAt, silent.value_or(kForever)});
}

/// Schedules the request's next check. Events of a stream don't reschedule it: they only move the
/// check to a later time, which is recomputed when the scheduled check runs.
void Requests::State::arm(LiveRequest& request) {
  MonotonicTime due = dueAt(request);
  std::uint64_t id = request.asked.request.value;
  if (due == request.due) return;
  dues.erase({request.due, id});
  request.due = due;
  dues.emplace(due, id);
}

void Requests::State::slow(const ClientSlow& slow, MonotonicTime now, Outbox& outbox) {
  auto found = requests.find(slow.request.value);
  if (found == requests.end() || found->second.slow == slow.slow) return;
  LiveRequest& request = found->second;
  request.slow = slow.slow;
  request.heard = now;
  if (request.attempt) outbox.push(PauseAttempt{request.attempt->id, slow.slow});
  arm(request);
}

void Requests::State::tick(MonotonicTime now, Outbox& outbox) {
  if (now - frontsSeen >= kFrontsEvery) {
    frontsSeen = now;
    fronts.see(parts.facts.liveFronts(), now);
    std::erase_if(heardOf, [&](const auto& entry) { return now - entry.second > seconds(10); });
  }
  if (leavingSince != kForever) answerBeforeEnd(now, outbox);
  while (!dues.empty() && dues.begin()->first <= now) {
    LiveRequest& request = requests.at(dues.begin()->second);
    dues.erase(dues.begin());
    request.due = {};
    due(request, now, outbox);
  }
}

void Requests::State::leave(MonotonicTime now) { leavingSince = std::min(leavingSince, now); }

/// Rejects the requests without a response shortly before the process exits, as otherwise their
/// clients would only see a closed connection.
void Requests::State::answerBeforeEnd(MonotonicTime now, Outbox& outbox) {
  if (lastAnswersGiven || now - leavingSince < parts.options.graceTime - kLastAnswers) return;
  lastAnswersGiven = true;
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, request] : requests)
    if (!request.answering) waiting.push_back(id);
  std::ranges::sort(waiting);
  for (std::uint64_t id : waiting) {
    LiveRequest& request = requests.at(id);
    outbox.count("requests.last_answers");
    dropAttempt(request, now, outbox);
    giveUp(request, {Hurdle::kLeaving}, now, outbox);
  }
}

void Requests::State::due(LiveRequest& request, MonotonicTime now, Outbox& outbox) {
  if (now >= request.deadline) return overdue(request, now, outbox);
  if (request.resumeAt <= now) return resume(request, now, outbox);
  auto at = silentAt(request);
  if (at && *at <= now) return silent(request, now, outbox);
  arm(request);
}

/// Retries at another engine. The silent attempt is cancelled only once another engine is found;
/// until then it may still respond.
void Requests::State::silent(LiveRequest& request, MonotonicTime now, Outbox& outbox) {
  LiveAttempt& attempt = *request.attempt;
  bool hadFirst = attempt.first;
  // An engine that responds to other requests is alive: its queue is long, and another engine would
  // have to prefill the prompt again.
  auto heard = heardOf.find(attempt.engine);
  if (heard != heardOf.end() && now - heard->second < kAnswersOthers) {
    outbox.count("attempts.slow_kept");
    Duration limit = hadFirst ? eventSilence(*request.route) : firstSilence(*request.route);
    request.heard = now + kLookAgain - limit;
    return arm(request);
  }
  if (!hadFirst) parts.placer.dropped(request.asked.request);
  auto planned = plan(request, now, outbox);
  if (auto* next = std::get_if<AttemptPlan>(&planned)) {
    outbox.count("attempts.again.silent");
    outbox.push(CancelAttempt{attempt.id});
    parts.ledger.ended(attempt.engine, AttemptEnd::kSilent, attempt.toRead, hadFirst, now);
    attempts.erase(attempt.id.value);
    request.attempt.reset();
    ++request.sent;
    ++request.runs;
    request.mayHaveRun = true;
    return send(request, std::move(*next), now, outbox);
  }
  outbox.count("attempts.silent_kept");
  Duration limit = hadFirst ? eventSilence(*request.route) : firstSilence(*request.route);
  request.heard = now + kLookAgain - limit;
  arm(request);
}

void Requests::State::overdue(LiveRequest& request, MonotonicTime now, Outbox& outbox) {
  outbox.count("requests.overdue");
  if (request.attempt) {
    bool silent = !request.attempt->head && request.attempt->written &&
                  now - request.attempt->opened > firstSilence(*request.route);
    outbox.push(CancelAttempt{request.attempt->id});
    release(request, silent ? AttemptEnd::kSilent : AttemptEnd::kClientGone, now);
    request.mayHaveRun = true;
  }
  giveUp(request, {Hurdle::kDeadline}, now, outbox);
}

}  // namespace peppergate
