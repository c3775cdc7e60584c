// Streams: sends attempts to engines and handles their events.
#include <algorithm>

#include "core/streams.h"

namespace peppergate {

void Streams::planFetch(Stream& stream, const Assignment& assignment,
                        const std::vector<PrefixBlockName>& names, OpenStreamAttempt& attempt,
                        MonotonicTime now, Outbox& outbox) {
  const Setup& setup = front_.follower.setup();
  WeightsVersion weights = assignment.view.snapshot.weights;
  const CacheDomain& wall = stream.options.cacheDomain;
  std::map<EngineId, std::vector<std::size_t>> partsByHolder;
  std::size_t firstMissing = names.size();
  for (std::size_t part = 0; part < names.size(); ++part) {
    if (front_.index.isCached(assignment.engine, names[part], wall, weights)) {
      outbox.count("parts.kept");
      continue;
    }
    if (!stream.parts[part].shared) continue;
    firstMissing = std::min(firstMissing, part);
    for (const auto& holder : front_.index.holders(names[part], wall, weights)) {
      const EngineView* view = front_.watch.usable(holder, now);
      if (view != nullptr && front_.list.engines.contains(holder))
        partsByHolder[holder].push_back(part);
    }
  }
  std::vector<EngineId> holders;
  std::size_t mostParts = 0;
  for (const auto& [holder, parts] : partsByHolder) mostParts = std::max(mostParts, parts.size());
  for (const auto& [holder, parts] : partsByHolder)
    if (parts.size() == mostParts) holders.push_back(holder);
  auto source =
      front_.fetchPlanner.selectSource(holders, front_.list, assignment.engine, setup, now);
  auto storeEntry = front_.list.engines.find(storeId());
  bool anyComputed = false;
  for (std::size_t part = firstMissing; part < names.size(); ++part) {
    bool fetched =
        source && std::ranges::find(partsByHolder[*source], part) != partsByHolder[*source].end();
    bool cached = front_.index.isCached(assignment.engine, names[part], wall, weights);
    if (!stream.parts[part].shared || cached) continue;
    outbox.count(fetched ? "parts.fetched" : "parts.anew");
    anyComputed = anyComputed || !fetched;
  }
  // Shared parts that the engine computes anew are deposited in the store, so that they are
  // computed only once.
  if (anyComputed && storeEntry != front_.list.engines.end() && front_.watch.usable(storeId(), now))
    attempt.headers["X-Deposit-At"] = storeEntry->second.address.value;
  stream.fetchesParts = source.has_value();
  if (!source) return;
  auto tenantClass = setup.classes.find(stream.options.className);
  Fetch fetch;
  fetch.planStream.stream = stream.id;
  fetch.planStream.links = FetchPlanner::pathOf(front_.list, *source, assignment.engine);
  if (tenantClass != setup.classes.end()) fetch.planStream.tenantClass = tenantClass->second;
  std::int64_t lastRung = static_cast<std::int64_t>(setup.rungs.size()) - 1;
  fetch.planStream.topRung = std::clamp<std::int64_t>(stream.topRung, 0, lastRung);
  fetch.planStream.floorRung =
      std::clamp<std::int64_t>(fetch.planStream.tenantClass.floor, 0, fetch.planStream.topRung);
  fetch.tenant = stream.tenant;
  fetch.className = stream.options.className;
  fetch.source = *source;
  std::string partList;
  for (std::size_t part : partsByHolder[*source]) {
    fetch.megabytes += static_cast<double>(stream.parts[part].text.size()) *
                       setup.partBytesPerCharacter / front_.options.rateUnit;
    partList += (partList.empty() ? "" : ",") + names[part].value;
  }
  std::int64_t rung = front_.fetchPlanner.start(std::move(fetch), setup, now, outbox);
  attempt.headers["X-Collect-From"] =
      front_.list.engines.at(*source).address.value + ";rung=" + std::to_string(rung) +
      ";rate=" + std::to_string(setup.rungs.at(static_cast<std::size_t>(rung)).rate) +
      ";parts=" + partList;
}

void Streams::sendAttempt(Stream& stream, const Assignment& assignment, MonotonicTime now,
                          Outbox& outbox) {
  // Check freshness again right before sending: a process that was suspended after the request
  // was admitted must not send on a stale control state.
  if (!front_.follower.isFresh(now) || front_.follower.tenantOf(stream.key) == nullptr) {
    giveUp(stream, 503, "stale", outbox);
    return;
  }
  WeightsVersion weights = assignment.view.snapshot.weights;
  std::vector<PrefixBlockName> partNames = partNamesOf(stream, weights);
  OpenStreamAttempt attempt;
  attempt.attempt = {++lastAttempt_};
  attempt.address = front_.list.engines.at(assignment.engine).address;
  attempt.path = "/run";
  attempt.writeDeadline = std::min(stream.deadline, now + milliseconds(500));
  attempt.headers = {{"X-Request-Id", stream.requestId},
                     {"X-Shot", std::to_string(++stream.attemptCount)},
                     {"X-Tenant", stream.tenant.value},
                     {"X-Wall", stream.options.cacheDomain.value},
                     {"X-Weights", std::to_string(weights.value)},
                     {"If-Match", front_.options.isGuardEnabled(SafetyGuard::kEngineLife)
                                      ? std::to_string(assignment.view.snapshot.life.value)
                                      : "*"},
                     {"X-Resumable", stream.resumable ? "1" : "0"},
                     {"X-Resume-From", std::to_string(stream.nextPiece.value)},
                     {"X-Deadline-Ms", std::to_string(inMilliseconds(stream.deadline - now))},
                     {"Content-Type", "application/json"}};
  planFetch(stream, assignment, partNames, attempt, now, outbox);
  Json parts = Json::array();
  for (std::size_t part = 0; part < stream.parts.size(); ++part)
    parts.push_back({{"name", partNames[part].value},
                     {"text", stream.parts[part].text},
                     {"shared", stream.parts[part].shared}});
  attempt.body = Json{{"parts", parts}, {"pieces", stream.pieces}}.dump();
  stream.engine = assignment.engine;
  stream.weights = weights;
  stream.requiredWeights = weights;  // later attempts must use the same weights
  stream.attempt = attempt.attempt;
  stream.sentAt = now;
  stream.firstPieceReceived = false;
  attempts_[attempt.attempt] = stream.id;
  ++runningByEngine_[stream.engine];
  front_.watch.countAttempt(stream.engine);
  outbox.count("shots.sent");
  outbox.push(std::move(attempt));
}

void Streams::handleAttemptEvent(const StreamAttemptEvent& event, MonotonicTime now,
                                 Outbox& outbox) {
  auto attempt = attempts_.find(event.attempt);
  if (attempt == attempts_.end()) {  // late event of an abandoned attempt
    outbox.count("shots.late");
    return;
  }
  Stream& stream = streams_.at(attempt->second);
  switch (event.kind) {
    case StreamAttemptEventKind::kWritten:
      stream.mayHaveRun = true;
      break;
    case StreamAttemptEventKind::kPiece:
      handlePiece(stream, event, now, outbox);
      break;
    case StreamAttemptEventKind::kEnded:
      if (stream.nextPiece.value == static_cast<std::uint64_t>(stream.pieces))
        finish(stream, outbox);
      else retryStream(stream, "ended-early", now, outbox);
      break;
    case StreamAttemptEventKind::kBroken:
      stream.mayHaveRun = true;
      front_.watch.backOff(stream.engine, now);
      retryStream(stream, "broken", now, outbox);
      break;
    case StreamAttemptEventKind::kDeclined:  // the engine reports that it did not run the request
    case StreamAttemptEventKind::kNotWritten:
      if (event.kind == StreamAttemptEventKind::kNotWritten || event.status == 412)
        front_.watch.backOff(stream.engine, now);
      if (stream.attemptCount == 1) stream.mayHaveRun = false;
      retryStream(
          stream,
          event.kind == StreamAttemptEventKind::kDeclined ? "engine-declined" : "not-written", now,
          outbox);
      break;
  }
}

void Streams::handlePiece(Stream& stream, const StreamAttemptEvent& event, MonotonicTime now,
                          Outbox& outbox) {
  stream.mayHaveRun = true;
  if (!front_.follower.mayContinueStreams(
          now)) {  // no pieces on an expired proof after a suspension
    giveUp(stream, 503, "stale", outbox);
    return;
  }
  bool foreign = !event.echoedRequestId.empty() && event.echoedRequestId != stream.requestId;
  if (!front_.options.isGuardEnabled(SafetyGuard::kPieceOrder)) stream.nextPiece = event.piece;
  if (foreign || event.piece != stream.nextPiece) {  // lost, repeated or of another request
    outbox.count(foreign ? "shots.foreign" : "shots.outOfOrder");
    stream.resumable = stream.resumable && !foreign;
    retryStream(stream, foreign ? "foreign-answer" : "out-of-order", now, outbox);
    return;
  }
  if (!stream.firstPieceReceived) {
    stream.firstPieceReceived = true;
    if (stream.fetchesParts) {
      front_.fetchPlanner.handleFirstEvent(stream.id, meanFirstPieceTime_, now, outbox);
    } else {
      Duration elapsed = now - stream.sentAt;
      meanFirstPieceTime_ = meanFirstPieceTime_ * 0.9 + std::min(elapsed, seconds(1)) * 0.1;
    }
  }
  ++stream.nextPiece.value;
  if (stream.unary) {
    stream.unaryText += event.text;
    return;
  }
  if (!stream.headSent) {
    stream.headSent = true;
    outbox.push(StartStreamAnswer{stream.id, stream.requestId, stream.weights});
  }
  outbox.count("pieces.sent");
  outbox.push(SendPiece{stream.id, event.piece, event.text});
}

void Streams::retryStream(Stream& stream, std::string_view reason, MonotonicTime now,
                          Outbox& outbox) {
  outbox.count("shots.failed." + std::string(reason));
  if (stream.attempt) {
    outbox.push(CancelStreamAttempt{*stream.attempt});
    attempts_.erase(*stream.attempt);
    stream.attempt.reset();
    --runningByEngine_[stream.engine];
  }
  front_.fetchPlanner.remove(stream.id);
  // A request that may have reached an engine is retried only if the stream can resume at the
  // exact piece.
  bool allowed = !stream.mayHaveRun || stream.resumable ||
                 !front_.options.isGuardEnabled(SafetyGuard::kNoRepeat);
  if (stream.mayHaveRun == false && stream.nextPiece.value == 0) stream.requiredWeights.reset();
  if (!allowed) {
    giveUp(stream, 502, "broken", outbox);
    return;
  }
  if (now + milliseconds(100) >= stream.deadline) {
    giveUp(stream, 504, "deadline", outbox);
    return;
  }
  auto assignment = chooseEngine(stream, now);
  if (!assignment) {
    giveUp(stream, 503, "no-engine", outbox);
    return;
  }
  if (!retryBudget(stream.service).takeRetry(now) &&
      front_.options.isGuardEnabled(SafetyGuard::kBudget)) {
    outbox.count("shots.overBudget");
    giveUp(stream, 503, "budget", outbox);
    return;
  }
  outbox.count("shots.second");
  sendAttempt(stream, *assignment, now, outbox);
}

void Streams::finish(Stream& stream, Outbox& outbox) {
  outbox.count("streams.whole");
  if (stream.unary) {
    outbox.push(StartStreamAnswer{stream.id, stream.requestId, stream.weights});
    outbox.push(SendPiece{stream.id, {0}, stream.unaryText});
  }
  outbox.push(
      EndStreamAnswer{stream.id, StreamAnswerEnd::kComplete, "end", true, stream.nextPiece});
  if (stream.attempt) {  // the attempt ended by itself: nothing to cancel
    attempts_.erase(*stream.attempt);
    stream.attempt.reset();
    --runningByEngine_[stream.engine];
  }
  removeStream(stream.id, outbox);
}

void Streams::giveUp(Stream& stream, int status, std::string_view kind, Outbox& outbox) {
  outbox.count("streams.givenUp." + std::string(kind));
  if (stream.headSent) {
    outbox.push(EndStreamAnswer{stream.id, StreamAnswerEnd::kTruncated, std::string(kind), true,
                                stream.nextPiece});
  } else {
    bool retry = status == 503 || status == 504 || status == 502;
    Duration after = retry ? AdmissionController::retryAfter(front_.random, 0.5) : Duration{};
    bool mayHaveRun =
        stream.mayHaveRun && front_.options.isGuardEnabled(SafetyGuard::kMayHaveRunReported);
    outbox.push(DeclineStream{
        stream.id, status, std::string(kind), mayHaveRun, after, {}, stream.requestId});
  }
  removeStream(stream.id, outbox);
}

}  // namespace peppergate
