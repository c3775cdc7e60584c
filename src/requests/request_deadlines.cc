// Time-driven request handling: deadlines, silent engines, slow clients, and draining.
#include <algorithm>

#include "requests/request_state.h"

namespace peppergate {
namespace {
/// When a silent attempt is checked again after no other engine was available.
constexpr Duration kSilenceRecheckDelay = milliseconds(250);
constexpr Duration kRouterCountInterval = seconds(1);
/// How long before the end of the grace time the remaining requests are rejected.
constexpr Duration kRejectBeforeExit = milliseconds(850);
/// An engine that has responded to any request within this time counts as alive.
constexpr Duration kEngineAliveFor = seconds(1);
}  // namespace

/// When the current attempt will have been silent for too long. Nothing if silence is tolerated:
/// the request must not be repeated, the response can't be continued by another engine, or the
/// client itself reads slowly.
std::optional<MonotonicTime> RequestRouter::State::silenceDeadline(
    const ActiveRequest& request) const {
  if (!request.attempt || request.clientSlow || !repeatable(*request.route)) return std::nullopt;
  const ActiveAttempt& attempt = *request.attempt;
  if (attempt.forwardsError || !attemptsLeft(request, *request.route)) return std::nullopt;
  if (!attempt.firstEventSeen) return request.lastActivity + firstEventTimeout(*request.route);
  bool continuable = request.isStream() && !request.bodyLengthForwarded &&
                     (request.lastForwardedEventId || !request.bodyForwarded);
  if (!continuable) return std::nullopt;
  return request.lastActivity + eventGapTimeout(*request.route);
}

/// When the request has to be checked next: at its deadline at the latest.
MonotonicTime RequestRouter::State::nextCheckTime(const ActiveRequest& request) const {
  auto silenceAt = silenceDeadline(request);
  return std::min({request.deadline, request.retryAt, silenceAt.value_or(kForever)});
}

/// Schedules the request's next check. Events of a stream don't reschedule it: they only move the
/// check to a later time, which is recomputed when the scheduled check runs.
void RequestRouter::State::scheduleCheck(ActiveRequest& request) {
  MonotonicTime due = nextCheckTime(request);
  std::uint64_t id = request.arrival.request.value;
  if (due == request.scheduledCheck) return;
  checkSchedule.erase({request.scheduledCheck, id});
  request.scheduledCheck = due;
  checkSchedule.emplace(due, id);
}

void RequestRouter::State::handleBackpressure(const RequestBackpressure& backpressure,
                                              MonotonicTime now, Outbox& outbox) {
  auto found = requests.find(backpressure.request.value);
  if (found == requests.end() || found->second.clientSlow == backpressure.slow) return;
  ActiveRequest& request = found->second;
  request.clientSlow = backpressure.slow;
  request.lastActivity = now;
  if (request.attempt) outbox.push(PauseAttempt{request.attempt->id, backpressure.slow});
  scheduleCheck(request);
}

void RequestRouter::State::tick(MonotonicTime now, Outbox& outbox) {
  if (now - routersCountedAt >= kRouterCountInterval) {
    routersCountedAt = now;
    routerCount.record(dependencies.fleet.liveRouters(), now);
    std::erase_if(lastEngineResponse,
                  [&](const auto& entry) { return now - entry.second > seconds(10); });
  }
  if (drainingSince != kForever) rejectBeforeExit(now, outbox);
  while (!checkSchedule.empty() && checkSchedule.begin()->first <= now) {
    ActiveRequest& request = requests.at(checkSchedule.begin()->second);
    checkSchedule.erase(checkSchedule.begin());
    request.scheduledCheck = {};
    runCheck(request, now, outbox);
  }
}

void RequestRouter::State::startDraining(MonotonicTime now) {
  drainingSince = std::min(drainingSince, now);
}

/// Rejects the requests without a response shortly before the process exits, as otherwise their
/// clients would only see a closed connection.
void RequestRouter::State::rejectBeforeExit(MonotonicTime now, Outbox& outbox) {
  if (rejectedBeforeExit ||
      now - drainingSince < dependencies.options.graceTime - kRejectBeforeExit)
    return;
  rejectedBeforeExit = true;
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, request] : requests)
    if (!request.responseStarted) waiting.push_back(id);
  std::ranges::sort(waiting);
  for (std::uint64_t id : waiting) {
    ActiveRequest& request = requests.at(id);
    outbox.count("requests.last_answers");
    cancelAttempt(request, now, outbox);
    failRequest(request, {RequestFailure::kDraining}, now, outbox);
  }
}

void RequestRouter::State::runCheck(ActiveRequest& request, MonotonicTime now, Outbox& outbox) {
  if (now >= request.deadline) return handleDeadline(request, now, outbox);
  if (request.retryAt <= now) return resume(request, now, outbox);
  auto silenceAt = silenceDeadline(request);
  if (silenceAt && *silenceAt <= now) return handleSilence(request, now, outbox);
  scheduleCheck(request);
}

/// Retries at another engine. The silent attempt is cancelled only once another engine is found;
/// until then it may still respond.
void RequestRouter::State::handleSilence(ActiveRequest& request, MonotonicTime now,
                                         Outbox& outbox) {
  ActiveAttempt& attempt = *request.attempt;
  bool hadFirstEvent = attempt.firstEventSeen;
  // An engine that responds to other requests is alive: its queue is long, and another engine would
  // have to prefill the prompt again.
  auto response = lastEngineResponse.find(attempt.engine);
  if (response != lastEngineResponse.end() && now - response->second < kEngineAliveFor) {
    outbox.count("attempts.slow_kept");
    Duration timeout =
        hadFirstEvent ? eventGapTimeout(*request.route) : firstEventTimeout(*request.route);
    request.lastActivity = now + kSilenceRecheckDelay - timeout;
    return scheduleCheck(request);
  }
  if (!hadFirstEvent) dependencies.placer.endedWithoutEvent(request.arrival.request);
  auto planned = planAttempt(request, now, outbox);
  if (auto* next = std::get_if<AttemptPlan>(&planned)) {
    outbox.count("attempts.again.silent");
    outbox.push(CancelAttempt{attempt.id});
    dependencies.engineTraffic.recordAttemptEnded(attempt.engine, AttemptOutcome::kTimeout,
                                                  attempt.prefillTokens, hadFirstEvent, now);
    requestByAttempt.erase(attempt.id.value);
    request.attempt.reset();
    ++request.sentAttempts;
    ++request.possibleRuns;
    request.mayHaveRun = true;
    return sendAttempt(request, std::move(*next), now, outbox);
  }
  outbox.count("attempts.silent_kept");
  Duration timeout =
      hadFirstEvent ? eventGapTimeout(*request.route) : firstEventTimeout(*request.route);
  request.lastActivity = now + kSilenceRecheckDelay - timeout;
  scheduleCheck(request);
}

void RequestRouter::State::handleDeadline(ActiveRequest& request, MonotonicTime now,
                                          Outbox& outbox) {
  outbox.count("requests.overdue");
  if (request.attempt) {
    bool silent = !request.attempt->head && request.attempt->written &&
                  now - request.attempt->openedAt > firstEventTimeout(*request.route);
    outbox.push(CancelAttempt{request.attempt->id});
    endAttempt(request, silent ? AttemptOutcome::kTimeout : AttemptOutcome::kClientDisconnected,
               now);
    request.mayHaveRun = true;
  }
  failRequest(request, {RequestFailure::kDeadline}, now, outbox);
}

}  // namespace peppergate
