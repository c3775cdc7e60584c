// How the events of an attempt affect its request.
#include <algorithm>

#include "requests/request_state.h"

namespace peppergate {
namespace {

/// The outcome recorded for an engine whose response was not a success. A 5xx counts against the
/// engine, but a 504 at a deadline or a 4xx doesn't.
AttemptEnd blameOf(int status) {
  if (status >= 200 && status < 300) return AttemptEnd::kGarbled;
  return status >= 500 && status != 504 ? AttemptEnd::kBroken : AttemptEnd::kGood;
}

/// Whether the engine declined because it has other weights than expected. This means that the
/// engine itself is the right one, not that another engine has taken over its address.
bool tellsOtherWeights(const AttemptTurned& turned, const ModelName& model,
                       const std::optional<WeightsVersion>& expect) {
  auto told = turned.versions.find(model);
  return expect && told != turned.versions.end() && told->second != *expect;
}

/// The largest step between event ids: ids rise by one for each event, or for each token of an
/// event.
std::uint64_t strideOf(const FleetConfig& config, const ServiceName& service) {
  auto found = config.services.find(service);
  if (found == config.services.end() || !found->second.engine) return 1;
  return static_cast<std::uint64_t>(std::max<std::int64_t>(1, found->second.engine->stride));
}

}  // namespace

void Requests::State::turn(AttemptTurned turned, MonotonicTime now, Outbox& outbox) {
  auto owner = attempts.find(turned.attempt.value);
  if (owner == attempts.end()) return;  // it no longer belongs to a request
  LiveRequest& request = requests.at(owner->second);
  LiveAttempt& attempt = *request.attempt;
  if (turned.turn == AttemptTurn::kNotWritten && !attempt.written)
    return notWritten(request, now, outbox);
  attempt.written = true;
  if (turned.turn == AttemptTurn::kHead || turned.turn == AttemptTurn::kBody)
    heardOf[attempt.engine] = now;
  switch (turned.turn) {
    case AttemptTurn::kWritten:
      return;
    case AttemptTurn::kHead:
      return head(request, turned, now, outbox);
    case AttemptTurn::kBody:
      return body(request, turned, now, outbox);
    case AttemptTurn::kEnded:
      return ended(request, now, outbox);
    case AttemptTurn::kBroken:
    case AttemptTurn::kNotWritten:
      return broken(request, AttemptEnd::kBroken, now, outbox);
  }
}

void Requests::State::head(LiveRequest& request, const AttemptTurned& turned, MonotonicTime now,
                           Outbox& outbox) {
  LiveAttempt& attempt = *request.attempt;
  if (attempt.head || !turned.head) return garbled(request, now, outbox);
  if (turned.load) parts.ledger.told(attempt.engine, *turned.load, now);
  for (const auto& [model, version] : turned.versions)
    parts.ledger.toldVersion(attempt.engine, model, version);
  if (turned.retryAfter) request.retryAfter = turned.retryAfter;
  attempt.head = turned.head;
  switch (judgeHead(turned, repeatable(*request.route))) {
    case HeadVerdict::kSuccess:
      request.heard = now;
      if (!request.stream()) {
        request.times.event(*request.route, now);
        firstCame(request, now, outbox);
      }
      if (!repeatable(*request.route)) request.asked.wire.reset();  // there will be no retry
      return arm(request);
    case HeadVerdict::kNotRun:
      return declined(request, turned, now, outbox);
    case HeadVerdict::kNoAnswer:
      outbox.count("attempts.no_answer");
      release(request, blameOf(turned.head->status), now);
      request.mayHaveRun = true;
      return giveUp(request, {Hurdle::kUnclear}, now, outbox);
    case HeadVerdict::kFailed:
    case HeadVerdict::kFinal:
      return failed(request, turned, now, outbox);
  }
}

/// The engine did not run the request and never will. The attempt is not cancelled but ends by
/// itself, so that its connection can be reused.
void Requests::State::declined(LiveRequest& request, const AttemptTurned& turned, MonotonicTime now,
                               Outbox& outbox) {
  outbox.count("attempts.declined");
  bool other = turned.head->status == 421;
  bool otherWeights = tellsOtherWeights(turned, request.asked.model, request.attempt->expect);
  AttemptEnd how =
      otherWeights ? AttemptEnd::kGood : (other ? AttemptEnd::kOtherEngine : AttemptEnd::kFull);
  if (request.slow) outbox.push(PauseAttempt{request.attempt->id, false});
  release(request, how, now);
  ++request.sent;
  // A stream in progress waits before its next attempt once as many engines have declined it as the
  // route allows attempts.
  if (request.sent - request.runs >= request.route->attempts &&
      maySuspend(request, Hurdle::kDeclined))
    return suspend(request, turned.retryAfter, now, outbox);
  again(request, "attempts.again.declined", {Hurdle::kDeclined}, now, outbox);
}

/// The engine responded with an error after the request may have run. Retries at another engine
/// where the request may be repeated; else forwards the error.
void Requests::State::failed(LiveRequest& request, const AttemptTurned& turned, MonotonicTime now,
                             Outbox& outbox) {
  outbox.count("attempts.failed");
  int status = turned.head->status;
  bool passable = status >= 300 && !request.answering;
  if (judgeHead(turned, repeatable(*request.route)) == HeadVerdict::kFailed || request.answering) {
    parts.placer.dropped(request.asked.request);
    auto planned = plan(request, now, outbox);
    auto* next = std::get_if<AttemptPlan>(&planned);
    if (next || !passable) {
      if (request.slow) outbox.push(PauseAttempt{request.attempt->id, false});
      const LiveAttempt& attempt = *request.attempt;
      parts.ledger.ended(attempt.engine, blameOf(status), attempt.toRead, attempt.first, now);
      attempts.erase(attempt.id.value);
      request.attempt.reset();
      ++request.sent;
      ++request.runs;
      request.mayHaveRun = true;
      if (!next && maySuspend(request, std::get<AttemptFault>(planned).hurdle))
        return suspend(request, std::get<AttemptFault>(planned).comeBack, now, outbox);
      if (!next) return giveUp(request, {Hurdle::kUnclear}, now, outbox);
      outbox.count("attempts.again.failed");
      return send(request, std::move(*next), now, outbox);
    }
  }
  outbox.count("requests.failure_passed");
  request.attempt->failure = true;
  request.answering = true;
  outbox.push(AnswerHead{request.asked.request, request.attempt->head});
  arm(request);
}

void Requests::State::body(LiveRequest& request, AttemptTurned& turned, MonotonicTime now,
                           Outbox& outbox) {
  LiveAttempt& attempt = *request.attempt;
  if (!attempt.head) return garbled(request, now, outbox);
  if (turned.newVersion)
    parts.ledger.toldVersion(attempt.engine, request.asked.model, *turned.newVersion);
  request.heard = now;
  if (attempt.failure) {
    outbox.push(AnswerBody{request.asked.request, std::move(turned.bytes)});
    return;
  }
  if (request.stream()) {
    Order found = order(request, turned);
    if (found == Order::kWrong) return garbled(request, now, outbox);
    firstCame(request, now, outbox);
    if (found == Order::kNext) request.times.event(*request.route, now);
    if (turned.lastEvent) attempt.lastEvent = turned.lastEvent;
    if (found == Order::kKnown) return outbox.count("streams.known_events");
    if (turned.lastEvent) {
      std::uint64_t before = request.lastEvent.value_or(request.asked.resumeAfter.value_or(0));
      std::uint64_t first = turned.firstEvent.value_or(*turned.lastEvent);
      request.largestStep = std::max(request.largestStep, first > before ? first - before : 0);
      request.lastEvent = turned.lastEvent;
    }
  }
  if (!request.answering) {
    request.answering = true;
    request.lengthPassed = attempt.head->length.has_value();
    outbox.push(AnswerHead{request.asked.request, attempt.head});
  }
  if (turned.bytes.empty()) return;
  request.bytesPassed = true;
  outbox.push(AnswerBody{request.asked.request, std::move(turned.bytes)});
}

/// Compares the ids of a stream's events with what the client has: the next events, events that it
/// already has, or ids that are out of order.
Requests::State::Order Requests::State::order(const LiveRequest& request,
                                              const AttemptTurned& turned) const {
  if (!turned.lastEvent || !parts.options.guards(Guard::kPieceOrder)) return Order::kNext;
  const LiveAttempt& attempt = *request.attempt;
  std::uint64_t last = *turned.lastEvent, first = turned.firstEvent.value_or(last);
  if (first > last || (attempt.lastEvent && first <= *attempt.lastEvent)) return Order::kWrong;
  auto has = request.lastEvent ? request.lastEvent : request.asked.resumeAfter;
  if (!has) return Order::kNext;
  if (last <= *has) return Order::kKnown;
  if (first <= *has) return Order::kWrong;  // can't be split here
  // Within one attempt the engine's ids are trusted. Where one attempt continues another, no event
  // may be skipped.
  bool joins =
      attempt.resumed && (!attempt.lastEvent || *attempt.lastEvent <= *has) && request.lastEvent;
  if (!joins) return Order::kNext;
  std::uint64_t largest =
      std::max(request.largestStep, strideOf(parts.facts.config(), request.service));
  return first - *has > largest ? Order::kWrong : Order::kNext;
}

void Requests::State::firstCame(LiveRequest& request, MonotonicTime now, Outbox& outbox) {
  LiveAttempt& attempt = *request.attempt;
  if (attempt.first) return;
  attempt.first = true;
  Duration took = now - attempt.opened;
  parts.ledger.firstEvent(attempt.engine, attempt.toRead, took);
  parts.placer.firstEvent(request.asked.request, took, now, outbox);
  parts.kept.expect(attempt.engine, attempt.salt, request.asked.parts);
  arm(request);
}

void Requests::State::ended(LiveRequest& request, MonotonicTime now, Outbox& outbox) {
  LiveAttempt& attempt = *request.attempt;
  if (!attempt.head) return garbled(request, now, outbox);
  // A run that ends before the last event that the client has is not the run that the client saw.
  bool shorter = attempt.resumed && attempt.lastEvent && request.lastEvent &&
                 *attempt.lastEvent < *request.lastEvent;
  if (shorter && parts.options.guards(Guard::kPieceOrder))
    return broken(request, AttemptEnd::kGarbled, now, outbox);
  if (!attempt.failure) firstCame(request, now, outbox);
  if (!request.answering) outbox.push(AnswerHead{request.asked.request, attempt.head});
  outbox.push(AnswerDone{request.asked.request, true});
  outbox.count(attempt.failure ? "requests.failed" : "requests.passed");
  if (!attempt.failure) outbox.count(answerCounter(request.times.timing(), request.route->urgency));
  release(request, attempt.failure ? blameOf(attempt.head->status) : AttemptEnd::kGood, now);
  finish(request);
}

/// The engine sent data that can't belong to the response: ends the attempt and ignores the rest.
void Requests::State::garbled(LiveRequest& request, MonotonicTime now, Outbox& outbox) {
  outbox.push(CancelAttempt{request.attempt->id});
  broken(request, AttemptEnd::kGarbled, now, outbox);
}

void Requests::State::broken(LiveRequest& request, AttemptEnd how, MonotonicTime now,
                             Outbox& outbox) {
  outbox.count("attempts.broken");
  bool failure = request.attempt->failure;
  release(request, how, now);
  ++request.sent;
  ++request.runs;
  request.mayHaveRun = true;
  if (failure) return cut(request, outbox);
  if (!repeatable(*request.route)) return giveUp(request, {Hurdle::kBroken}, now, outbox);
  // Only event ids tell another engine where to continue a partly forwarded response.
  bool joinable =
      request.stream() && !request.lengthPassed && (request.lastEvent || !request.bytesPassed);
  if (request.answering && !joinable) return cut(request, outbox);
  again(request, "attempts.again.broken", {Hurdle::kBroken}, now, outbox);
}

/// No byte was written: the attempt counts as never sent, and its budget charge is returned.
void Requests::State::notWritten(LiveRequest& request, MonotonicTime now, Outbox& outbox) {
  outbox.count("attempts.not_written");
  const LiveAttempt& attempt = *request.attempt;
  if (attempt.paid) budgets[request.service].giveBack(attempt.opened);
  bool tooLate = now >= attempt.writeBefore;
  release(request, tooLate ? AttemptEnd::kClientGone : AttemptEnd::kUnreachable, now);
  ++request.unwritten;
  again(request, "attempts.again.not_written", {Hurdle::kNoEngine}, now, outbox);
}

/// Retries at another engine if possible. Else the request is suspended or fails, for the reason
/// that prevented the retry, or with `otherwise` where the attempts or the budget are used up.
void Requests::State::again(LiveRequest& request, std::string_view counter, AttemptFault otherwise,
                            MonotonicTime now, Outbox& outbox) {
  auto planned = plan(request, now, outbox);
  if (auto* next = std::get_if<AttemptPlan>(&planned)) {
    outbox.count(counter);
    return send(request, std::move(*next), now, outbox);
  }
  AttemptFault fault = std::get<AttemptFault>(planned);
  if (fault.hurdle == Hurdle::kOverBudget) outbox.count("attempts.over_budget");
  if (maySuspend(request, fault.hurdle)) return suspend(request, fault.comeBack, now, outbox);
  bool spent = fault.hurdle == Hurdle::kOverBudget || fault.hurdle == Hurdle::kNoAttemptsLeft;
  giveUp(request, spent ? otherwise : fault, now, outbox);
}

}  // namespace peppergate
