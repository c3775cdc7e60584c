// How the events of an attempt affect its request.
#include <algorithm>

#include "requests/request_state.h"

namespace peppergate {
namespace {

/// The outcome recorded for an engine whose response was not a success. A 5xx counts against the
/// engine, but a 504 at a deadline or a 4xx doesn't.
AttemptOutcome outcomeOf(int status) {
  if (status >= 200 && status < 300) return AttemptOutcome::kInvalidResponse;
  return status >= 500 && status != 504 ? AttemptOutcome::kConnectionBroken
                                        : AttemptOutcome::kSuccess;
}

/// Whether the engine declined because it has other weights than expected. This means that the
/// engine itself is the right one, not that another engine has taken over its address.
bool hasOtherWeights(const AttemptEvent& event, const ModelName& model,
                     const std::optional<WeightsVersion>& expected) {
  auto reported = event.versions.find(model);
  return expected && reported != event.versions.end() && reported->second != *expected;
}

}  // namespace

void RequestRouter::State::handleAttemptEvent(AttemptEvent event, MonotonicTime now,
                                              Outbox& outbox) {
  auto found = requestByAttempt.find(event.attempt.value);
  if (found == requestByAttempt.end()) return;  // it no longer belongs to a request
  ActiveRequest& request = requests.at(found->second);
  ActiveAttempt& attempt = *request.attempt;
  if (event.kind == AttemptEventKind::kNotWritten && !attempt.written)
    return handleNotWritten(request, now, outbox);
  attempt.written = true;
  if (event.kind == AttemptEventKind::kHead || event.kind == AttemptEventKind::kBody)
    lastEngineResponse[attempt.engine] = now;
  switch (event.kind) {
    case AttemptEventKind::kWritten:
      return;
    case AttemptEventKind::kHead:
      return handleHead(request, event, now, outbox);
    case AttemptEventKind::kBody:
      return handleBody(request, event, now, outbox);
    case AttemptEventKind::kComplete:
      return handleComplete(request, now, outbox);
    case AttemptEventKind::kBroken:
    case AttemptEventKind::kNotWritten:
      return handleBroken(request, AttemptOutcome::kConnectionBroken, now, outbox);
  }
}

void RequestRouter::State::handleHead(ActiveRequest& request, const AttemptEvent& event,
                                      MonotonicTime now, Outbox& outbox) {
  ActiveAttempt& attempt = *request.attempt;
  if (attempt.head || !event.head) return handleInvalidResponse(request, now, outbox);
  if (event.load) dependencies.engineTraffic.recordLoad(attempt.engine, *event.load, now);
  for (const auto& [model, version] : event.versions)
    dependencies.engineTraffic.recordVersion(attempt.engine, model, version);
  if (event.retryAfter) request.retryAfter = event.retryAfter;
  attempt.head = event.head;
  switch (classifyHead(event, repeatable(*request.route))) {
    case HeadVerdict::kSuccess:
      request.lastActivity = now;
      if (!request.isStream()) {
        request.timer.recordEvent(*request.route, now);
        recordFirstEvent(request, now, outbox);
      }
      if (!repeatable(*request.route)) request.arrival.wire.reset();  // there will be no retry
      return scheduleCheck(request);
    case HeadVerdict::kNotRun:
      return handleDeclined(request, event, now, outbox);
    case HeadVerdict::kUnusable:
      outbox.count("attempts.no_answer");
      endAttempt(request, outcomeOf(event.head->status), now);
      request.mayHaveRun = true;
      return failRequest(request, {RequestFailure::kUnclear}, now, outbox);
    case HeadVerdict::kFailed:
    case HeadVerdict::kFinal:
      return handleErrorStatus(request, event, now, outbox);
  }
}

/// The engine did not run the request and never will. The attempt is not cancelled but ends by
/// itself, so that its connection can be reused.
void RequestRouter::State::handleDeclined(ActiveRequest& request, const AttemptEvent& event,
                                          MonotonicTime now, Outbox& outbox) {
  outbox.count("attempts.declined");
  bool otherEngine = event.head->status == 421;
  bool otherWeights =
      hasOtherWeights(event, request.arrival.model, request.attempt->expectedVersion);
  AttemptOutcome outcome =
      otherWeights ? AttemptOutcome::kSuccess
                   : (otherEngine ? AttemptOutcome::kWrongEngine : AttemptOutcome::kAtCapacity);
  if (request.clientSlow) outbox.push(PauseAttempt{request.attempt->id, false});
  endAttempt(request, outcome, now);
  ++request.sentAttempts;
  // A stream in progress waits before its next attempt once as many engines have declined it as the
  // route allows attempts.
  if (request.sentAttempts - request.possibleRuns >= request.route->attempts &&
      maySuspend(request, RequestFailure::kDeclined))
    return suspend(request, event.retryAfter, now, outbox);
  retry(request, "attempts.again.declined", {RequestFailure::kDeclined}, now, outbox);
}

/// The engine responded with an error after the request may have run. Retries at another engine
/// where the request may be repeated; else forwards the error.
void RequestRouter::State::handleErrorStatus(ActiveRequest& request, const AttemptEvent& event,
                                             MonotonicTime now, Outbox& outbox) {
  outbox.count("attempts.failed");
  int status = event.head->status;
  bool forwardable = status >= 300 && !request.responseStarted;
  if (classifyHead(event, repeatable(*request.route)) == HeadVerdict::kFailed ||
      request.responseStarted) {
    dependencies.placer.endedWithoutEvent(request.arrival.request);
    auto planned = planAttempt(request, now, outbox);
    auto* next = std::get_if<AttemptPlan>(&planned);
    if (next || !forwardable) {
      if (request.clientSlow) outbox.push(PauseAttempt{request.attempt->id, false});
      const ActiveAttempt& attempt = *request.attempt;
      dependencies.engineTraffic.recordAttemptEnded(
          attempt.engine, outcomeOf(status), attempt.prefillTokens, attempt.firstEventSeen, now);
      requestByAttempt.erase(attempt.id.value);
      request.attempt.reset();
      ++request.sentAttempts;
      ++request.possibleRuns;
      request.mayHaveRun = true;
      if (!next && maySuspend(request, std::get<PlanFailure>(planned).reason))
        return suspend(request, std::get<PlanFailure>(planned).retryAfter, now, outbox);
      if (!next) return failRequest(request, {RequestFailure::kUnclear}, now, outbox);
      outbox.count("attempts.again.failed");
      return sendAttempt(request, std::move(*next), now, outbox);
    }
  }
  outbox.count("requests.failure_passed");
  request.attempt->forwardsError = true;
  request.responseStarted = true;
  outbox.push(ForwardResponseHead{request.arrival.request, request.attempt->head});
  scheduleCheck(request);
}

void RequestRouter::State::handleBody(ActiveRequest& request, AttemptEvent& event,
                                      MonotonicTime now, Outbox& outbox) {
  ActiveAttempt& attempt = *request.attempt;
  if (!attempt.head) return handleInvalidResponse(request, now, outbox);
  if (event.newVersion)
    dependencies.engineTraffic.recordVersion(attempt.engine, request.arrival.model,
                                             *event.newVersion);
  request.lastActivity = now;
  if (attempt.forwardsError) {
    outbox.push(ForwardResponseBody{request.arrival.request, std::move(event.bytes)});
    return;
  }
  if (request.isStream()) {
    EventOrder found = checkEventOrder(request, event);
    if (found == EventOrder::kInvalid) return handleInvalidResponse(request, now, outbox);
    recordFirstEvent(request, now, outbox);
    if (found == EventOrder::kNext) request.timer.recordEvent(*request.route, now);
    if (event.lastEventId) attempt.lastEventId = event.lastEventId;
    if (found == EventOrder::kAlreadyForwarded) return outbox.count("streams.known_events");
    if (event.lastEventId) {
      std::uint64_t previousId =
          request.lastForwardedEventId.value_or(request.arrival.resumeAfterEventId.value_or(0));
      std::uint64_t firstId = event.firstEventId.value_or(*event.lastEventId);
      request.largestEventIdStep =
          std::max(request.largestEventIdStep, firstId > previousId ? firstId - previousId : 0);
      request.lastForwardedEventId = event.lastEventId;
    }
  }
  if (!request.responseStarted) {
    request.responseStarted = true;
    request.bodyLengthForwarded = attempt.head->bodyLength.has_value();
    outbox.push(ForwardResponseHead{request.arrival.request, attempt.head});
  }
  if (event.bytes.empty()) return;
  request.bodyForwarded = true;
  outbox.push(ForwardResponseBody{request.arrival.request, std::move(event.bytes)});
}

/// Compares the ids of a stream's events with what the client has: the next events, events that it
/// already has, or ids that are out of order.
RequestRouter::State::EventOrder RequestRouter::State::checkEventOrder(
    const ActiveRequest& request, const AttemptEvent& event) const {
  if (!event.lastEventId || !dependencies.options.isGuardEnabled(SafetyGuard::kPieceOrder))
    return EventOrder::kNext;
  const ActiveAttempt& attempt = *request.attempt;
  std::uint64_t lastId = *event.lastEventId, firstId = event.firstEventId.value_or(lastId);
  if (firstId > lastId || (attempt.lastEventId && firstId <= *attempt.lastEventId))
    return EventOrder::kInvalid;
  auto clientHas = request.lastForwardedEventId ? request.lastForwardedEventId
                                                : request.arrival.resumeAfterEventId;
  if (!clientHas) return EventOrder::kNext;
  if (lastId <= *clientHas) return EventOrder::kAlreadyForwarded;
  if (firstId <= *clientHas) return EventOrder::kInvalid;  // can't be split here
  // Within one attempt the engine's ids are trusted. Where one attempt continues another, no event
  // may be skipped.
  bool continuesAttempt = attempt.resumesResponse &&
                          (!attempt.lastEventId || *attempt.lastEventId <= *clientHas) &&
                          request.lastForwardedEventId;
  if (!continuesAttempt) return EventOrder::kNext;
  std::uint64_t largestStep = std::max(request.largestEventIdStep, request.configuredEventIdStep);
  return firstId - *clientHas > largestStep ? EventOrder::kInvalid : EventOrder::kNext;
}

void RequestRouter::State::recordFirstEvent(ActiveRequest& request, MonotonicTime now,
                                            Outbox& outbox) {
  ActiveAttempt& attempt = *request.attempt;
  if (attempt.firstEventSeen) return;
  attempt.firstEventSeen = true;
  Duration took = now - attempt.openedAt;
  dependencies.engineTraffic.recordFirstEvent(attempt.engine, attempt.prefillTokens, took);
  dependencies.placer.recordFirstEvent(request.arrival.request, took, now, outbox);
  dependencies.prefixBlocks.recordExpected(attempt.engine, attempt.salt,
                                           request.arrival.promptBlocks);
  scheduleCheck(request);
}

void RequestRouter::State::handleComplete(ActiveRequest& request, MonotonicTime now,
                                          Outbox& outbox) {
  ActiveAttempt& attempt = *request.attempt;
  if (!attempt.head) return handleInvalidResponse(request, now, outbox);
  // A run that ends before the last event that the client has is not the run that the client saw.
  bool endsEarly = attempt.resumesResponse && attempt.lastEventId && request.lastForwardedEventId &&
                   *attempt.lastEventId < *request.lastForwardedEventId;
  if (endsEarly && dependencies.options.isGuardEnabled(SafetyGuard::kPieceOrder))
    return handleBroken(request, AttemptOutcome::kInvalidResponse, now, outbox);
  if (!attempt.forwardsError) recordFirstEvent(request, now, outbox);
  if (!request.responseStarted)
    outbox.push(ForwardResponseHead{request.arrival.request, attempt.head});
  outbox.push(FinishResponse{request.arrival.request, true});
  outbox.count(attempt.forwardsError ? "requests.failed" : "requests.passed");
  if (!attempt.forwardsError)
    outbox.count(responseCounter(request.timer.timing(), request.route->urgency));
  endAttempt(request,
             attempt.forwardsError ? outcomeOf(attempt.head->status) : AttemptOutcome::kSuccess,
             now);
  removeRequest(request);
}

/// The engine sent data that can't belong to the response: ends the attempt and ignores the rest.
void RequestRouter::State::handleInvalidResponse(ActiveRequest& request, MonotonicTime now,
                                                 Outbox& outbox) {
  outbox.push(CancelAttempt{request.attempt->id});
  handleBroken(request, AttemptOutcome::kInvalidResponse, now, outbox);
}

void RequestRouter::State::handleBroken(ActiveRequest& request, AttemptOutcome outcome,
                                        MonotonicTime now, Outbox& outbox) {
  outbox.count("attempts.broken");
  bool failure = request.attempt->forwardsError;
  endAttempt(request, outcome, now);
  ++request.sentAttempts;
  ++request.possibleRuns;
  request.mayHaveRun = true;
  if (failure) return truncateResponse(request, outbox);
  if (!repeatable(*request.route))
    return failRequest(request, {RequestFailure::kBroken}, now, outbox);
  // Only event ids tell another engine where to continue a partly forwarded response.
  bool continuable = request.isStream() && !request.bodyLengthForwarded &&
                     (request.lastForwardedEventId || !request.bodyForwarded);
  if (request.responseStarted && !continuable) return truncateResponse(request, outbox);
  retry(request, "attempts.again.broken", {RequestFailure::kBroken}, now, outbox);
}

/// No byte was written: the attempt counts as never sent, and its budget charge is returned.
void RequestRouter::State::handleNotWritten(ActiveRequest& request, MonotonicTime now,
                                            Outbox& outbox) {
  outbox.count("attempts.not_written");
  const ActiveAttempt& attempt = *request.attempt;
  if (attempt.chargedToBudget) budgets[request.service].refundRetry(attempt.openedAt);
  bool tooLate = now >= attempt.writeBefore;
  endAttempt(request, tooLate ? AttemptOutcome::kClientDisconnected : AttemptOutcome::kUnreachable,
             now);
  ++request.unwrittenAttempts;
  retry(request, "attempts.again.not_written", {RequestFailure::kNoEngine}, now, outbox);
}

/// Retries at another engine if possible. Else the request is suspended or fails, for the reason
/// that prevented the retry, or with `otherwise` where the attempts or the budget are used up.
void RequestRouter::State::retry(ActiveRequest& request, std::string_view counter,
                                 PlanFailure otherwise, MonotonicTime now, Outbox& outbox) {
  auto planned = planAttempt(request, now, outbox);
  if (auto* next = std::get_if<AttemptPlan>(&planned)) {
    outbox.count(counter);
    return sendAttempt(request, std::move(*next), now, outbox);
  }
  PlanFailure failure = std::get<PlanFailure>(planned);
  if (failure.reason == RequestFailure::kOverBudget) outbox.count("attempts.over_budget");
  if (maySuspend(request, failure.reason)) return suspend(request, failure.retryAfter, now, outbox);
  bool exhausted = failure.reason == RequestFailure::kOverBudget ||
                   failure.reason == RequestFailure::kNoAttemptsLeft;
  failRequest(request, exhausted ? otherwise : failure, now, outbox);
}

}  // namespace peppergate
