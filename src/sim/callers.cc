#include "sim/callers.h"

#include <algorithm>

#include "sim/checker.h"
#include "sim/world.h"

namespace peppergate {

Callers::Callers(World& world) : world_(world), random_(world.random().next()) {}

void Callers::flood(const std::string& tenant, double rate) {
  floodTenant_ = tenant;
  floodRate_ = rate;
}

void Callers::tick() {
  MonotonicTime now = world_.now();
  double span = inSeconds(now - lastTickAt_);
  lastTickAt_ = now;
  if (now < MonotonicTime{} || span <= 0) return;
  bool over = now > MonotonicTime{} + world_.scenario().run;
  dueStreams_ += over ? 0 : span * world_.scenario().requestsPerSecond * trafficFactor_;
  dueFloodStreams_ += over ? 0 : span * floodRate_;
  for (; dueStreams_ >= 1; dueStreams_ -= 1) startStream({});
  for (; dueFloodStreams_ >= 1; dueFloodStreams_ -= 1) startStream(floodTenant_);
  for (auto& [id, stream] : streams_) {  // a client gives up 1 s after the deadline
    if (stream.end != CallerEnd::kOpen || now < stream.deadline + seconds(1)) continue;
    stream.end = CallerEnd::kLost;
    stream.endKind = "no-answer";
    stream.endedAt = now;
  }
}

void Callers::startStream(const std::string& onlyTenant) {
  CallerStream stream;
  stream.id = streams_.size() + 1;
  double roll = random_.fraction();
  auto rows = exampleTenants(world_.scenario().profile);
  const ExampleTenant* row = &rows.back();
  for (const auto& candidate : rows) {
    if (!onlyTenant.empty() ? candidate.name == onlyTenant : roll < candidate.trafficShare) {
      row = &candidate;
      break;
    }
    roll -= candidate.trafficShare;
  }
  stream.tenant = row->name;
  stream.key = keyOf(stream.tenant);
  stream.unary = onlyTenant.empty() && random_.below(12) == 0;
  stream.resumable = !stream.unary && random_.below(2) == 0;
  stream.pieces = stream.unary ? 1 : 4 + random_.below(world_.scenario().maxPieces - 3);
  if (!stream.unary)
    stream.promptTexts = sharedPrefix(row->name, row->prefixSizeClass,
                                      pickDocument(random_, world_.scenario().documentsPerTenant));
  stream.promptTexts.push_back("question " + std::to_string(random_.next()));
  stream.requestedAt = world_.now();
  stream.deadline =
      world_.now() + seconds(5 + (world_.scenario().maxDeadlineSeconds - 5) * random_.fraction());
  send(streams_[stream.id] = stream);
}

void Callers::send(CallerStream& stream) {
  // The platform's load balancer selects only live routers.
  std::vector<SimProcess*> routers;
  for (auto& process : world_.processes())
    if (process->role == Role::kRouter && process->alive) routers.push_back(process.get());
  if (routers.empty()) {
    stream.end = CallerEnd::kLost;
    stream.endKind = "no-front";
    stream.endedAt = world_.now();
    return;
  }
  SimProcess& router = *routers[random_.below(routers.size())];
  stream.host = router.host;
  if (stream.firstHost.empty()) stream.firstHost = router.host;
  StreamId attemptId{++lastAttemptId_};
  streamIdsByAttempt_[attemptId] = stream.id;
  StreamRequest request;
  request.stream = attemptId;
  request.isUnary = stream.unary;
  auto remaining = inMilliseconds(stream.deadline - world_.now());
  request.headers = {{"x-api-key", stream.key}, {"x-deadline-ms", std::to_string(remaining)}};
  Json parts = Json::array();
  for (std::size_t part = 0; part < stream.promptTexts.size(); ++part)
    parts.push_back(
        {{"text", stream.promptTexts[part]}, {"shared", part + 1 < stream.promptTexts.size()}});
  Json body{{"parts", parts}, {"pieces", stream.pieces}, {"resumable", stream.resumable}};
  if (stream.nextPiece > 0)
    body.update({{"resumeFrom", stream.nextPiece}, {"resumeWeights", stream.weights}});
  request.body = body.dump();
  std::uint64_t incarnation = router.incarnation;
  world_.scheduleAfter(milliseconds(1), [this, &router, incarnation, request] {
    if (router.alive && router.incarnation == incarnation) world_.deliver(router, request);
    else if (CallerStream* mine = find(request.stream)) resume(*mine);
  });
}

CallerStream* Callers::find(StreamId attemptId) {
  auto found = streamIdsByAttempt_.find(attemptId);
  return found == streamIdsByAttempt_.end() ? nullptr : &streams_.at(found->second);
}

void Callers::handleStart(const StartStreamAnswer& answer) {
  CallerStream* stream = find(answer.stream);
  if (stream == nullptr) return;
  if (stream->firstEventAt == kForever) stream->firstEventAt = world_.now();
  stream->requestId = answer.requestId;
  if (stream->weights != 0 && stream->weights != answer.weights.value)
    world_.checker().fail("resumed-under-other-weights");
  stream->weights = answer.weights.value;
  world_.checker().checkKeyAtStart(*stream);
}

void Callers::handlePiece(const SendPiece& piece) {
  CallerStream* stream = find(piece.stream);
  if (stream == nullptr || stream->end != CallerEnd::kOpen) return;
  std::string expected =
      expectedPieceText(promptDigest(stream->promptTexts), {stream->weights}, piece.piece);
  std::string runId(runIdOf(piece.text));
  std::string received = piece.text.substr(0, piece.text.find('#'));
  if (piece.piece.value != stream->nextPiece) world_.checker().fail("piece-lost-or-repeated");
  else if (received != expected) world_.checker().fail("piece-of-another-answer");
  if (!stream->resumable && !stream->runId.empty() && stream->runId != runId)
    world_.checker().fail("two-runs-glued");
  stream->runId = runId;
  world_.checker().checkKeyAtPiece(*stream);
  ++stream->nextPiece;
}

void Callers::handleEnd(const EndStreamAnswer& answer) {
  CallerStream* stream = find(answer.stream);
  if (stream == nullptr || stream->end != CallerEnd::kOpen) return;
  stream->endKind = answer.kind;
  if (answer.end == StreamAnswerEnd::kComplete) {
    if (stream->nextPiece != stream->pieces) world_.checker().fail("cut-answer-looks-whole");
    stream->end = CallerEnd::kComplete;
    stream->endedAt = world_.now();
    return;
  }
  streamIdsByAttempt_.erase(answer.stream);
  resume(*stream);
}

void Callers::handleDecline(const DeclineStream& answer) {
  CallerStream* stream = find(answer.stream);
  if (stream == nullptr || stream->end != CallerEnd::kOpen) return;
  streamIdsByAttempt_.erase(answer.stream);
  stream->endKind = answer.kind;
  if (!answer.mayHaveRun && !answer.requestId.empty())
    stream->reportedNotRun.push_back(answer.requestId);
  if (answer.status == 503 && answer.retryAfter.microseconds == 0)
    world_.checker().fail("decline-without-retry-after");
  stream->end = CallerEnd::kDeclined;
  stream->endedAt = world_.now();
}

void Callers::resume(CallerStream& stream) {
  stream.endedAt = world_.now();
  stream.end = CallerEnd::kTruncated;
  if (!stream.resumable || stream.resumed || stream.nextPiece == 0) return;
  if (stream.endKind == "deadline" || stream.endKind == "key-withdrawn") return;
  stream.resumed = true;  // once, at any router that the platform selects
  stream.end = CallerEnd::kOpen;
  ++stream.attempts;
  std::uint64_t id = stream.id;
  world_.scheduleAfter(milliseconds(300), [this, id] { send(streams_.at(id)); });
}

void Callers::handleRouterExit(const std::string& host) {
  for (auto entry = streamIdsByAttempt_.begin(); entry != streamIdsByAttempt_.end();) {
    CallerStream& stream = streams_.at(entry->second);
    bool isAffected = stream.host == host && stream.end == CallerEnd::kOpen;
    if (!isAffected) {
      ++entry;
      continue;
    }
    entry = streamIdsByAttempt_.erase(entry);
    stream.endKind = "front-lost";
    resume(stream);
  }
}

}  // namespace peppergate
