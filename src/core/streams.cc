// Streams: request parsing, admission and the choice of an engine.
#include "core/streams.h"

#include <algorithm>
#include <charconv>

#include "core/schemas.h"

namespace peppergate {
namespace {

std::string headerOf(const StreamRequest& request, const std::string& name) {
  auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

constexpr std::int64_t kDefaultPieces = 8;

}  // namespace

Streams::Streams(FrontComponents components)
    : front_(components),
      retryBudgets_{
          RetryBudget(components.options.secondShotShare, components.options.budgetWindow),
          RetryBudget(components.options.secondShotShare, components.options.budgetWindow)} {}

void Streams::decline(const StreamRequest& request, int status, std::string_view kind,
                      Outbox& outbox, bool retry, std::string field, std::string requestId) {
  outbox.count("declined." + std::string(kind));
  Duration after = retry ? AdmissionController::retryAfter(front_.random, 0.5) : Duration{};
  outbox.push(DeclineStream{request.stream, status, std::string(kind), false, after,
                            std::move(field), std::move(requestId)});
}

bool Streams::parseBody(const StreamRequest& request, Stream& stream, Outbox& outbox) {
  if (request.body.size() > static_cast<std::size_t>(front_.options.largestBody)) {
    decline(request, 413, "body-too-large", outbox);
    return false;
  }
  Json body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded()) {
    decline(request, 400, "malformed-json", outbox, false, "<root>");
    return false;
  }
  if (auto schemaError = checkSchema(SchemaName::kStream, body)) {
    decline(request, 400, "invalid-field", outbox, false,
            schemaError->field + ": " + schemaError->detail);
    return false;
  }
  for (const auto& part : body["parts"])
    stream.parts.push_back({part["text"].get<std::string>(), part.value("shared", false)});
  stream.pieces = body.value("pieces", kDefaultPieces);
  stream.resumable = body.value("resumable", false);
  stream.nextPiece = {body.value("resumeFrom", std::uint64_t{0})};
  if (body.contains("resumeWeights"))
    stream.requiredWeights = {body["resumeWeights"].get<std::uint64_t>()};
  if (stream.nextPiece.value > 0 && (!stream.resumable || !stream.requiredWeights)) {
    decline(request, 400, "invalid-field", outbox, false,
            "[resumeFrom]: needs resumable and resumeWeights");
    return false;
  }
  std::int64_t rungCount = static_cast<std::int64_t>(front_.follower.setup().rungs.size());
  stream.topRung =
      std::min({body.value("topRung", rungCount - 1), stream.options.topRung, rungCount - 1});
  return true;
}

bool Streams::parseRequest(const StreamRequest& request, Stream& stream, MonotonicTime now,
                           Outbox& outbox) {
  if (draining_) return decline(request, 503, "draining", outbox, true), false;
  if (!front_.follower.hasConfiguration())
    return decline(request, 503, "no-setup", outbox, true), false;
  if (!front_.follower.isFresh(now)) return decline(request, 503, "stale", outbox, true), false;
  std::string key = headerOf(request, "x-api-key");
  if (key.empty()) return decline(request, 401, "no-key", outbox), false;
  stream.key = keyDigest(key);
  const TenantId* tenant = front_.follower.tenantOf(stream.key);
  if (tenant == nullptr) return decline(request, 403, "unknown-key", outbox), false;
  auto options = front_.follower.setup().tenants.find(*tenant);
  if (options == front_.follower.setup().tenants.end())
    return decline(request, 403, "unknown-tenant", outbox), false;
  stream.tenant = *tenant;
  stream.options = options->second;
  std::string deadline = headerOf(request, "x-deadline-ms");
  std::int64_t length = 0;
  auto [end, error] = std::from_chars(deadline.data(), deadline.data() + deadline.size(), length);
  if (deadline.empty()) return decline(request, 400, "missing-deadline", outbox), false;
  if (error != std::errc{} || end != deadline.data() + deadline.size() || length <= 0 ||
      milliseconds(length) > front_.options.largestDeadline)
    return decline(request, 400, "invalid-deadline", outbox), false;
  stream.deadline = now + milliseconds(length);
  return parseBody(request, stream, outbox);
}

ServiceLoad Streams::serviceLoad(Service service, MonotonicTime now) const {
  ServiceLoad load;
  for (const auto& [id, engine] : front_.list.engines) {
    if (engine.service != service || engine.draining) continue;
    const EngineView* view = front_.watch.usable(id, now);
    if (view == nullptr) continue;
    auto own = runningByEngine_.find(id);
    double ownStreams = own == runningByEngine_.end() ? 0 : static_cast<double>(own->second);
    load.running += std::max(static_cast<double>(view->snapshot.runningStreams), ownStreams);
    load.slots += static_cast<double>(front_.options.engineStreams);
    load.ownRunning += ownStreams;
  }
  load.fronts = static_cast<double>(front_.membership.liveRouters().size());
  return load;
}

void Streams::handleRequest(const StreamRequest& request, MonotonicTime now, Outbox& outbox) {
  outbox.count("streams.asked");
  Stream stream;
  stream.id = request.stream;
  stream.unary = request.isUnary;
  stream.service = request.isUnary ? Service::kDesk : Service::kModel;
  if (!parseRequest(request, stream, now, outbox)) return;
  ServiceLoad current = serviceLoad(stream.service, now);
  AdmissionVerdict verdict = front_.admission.allow(stream.tenant, stream.options, current);
  if (verdict != AdmissionVerdict::kAllowed) {
    outbox.count("declined." + std::string(verdictName(verdict)));
    double load = current.slots > 0 ? current.running / current.slots : 1;
    outbox.push(DeclineStream{request.stream,
                              503,
                              std::string(verdictName(verdict)),
                              false,
                              AdmissionController::retryAfter(front_.random, load),
                              {},
                              {}});
    return;
  }
  auto assignment = chooseEngine(stream, now);
  if (!assignment) {
    bool cannotResume =
        stream.requiredWeights && !front_.follower.weightsAllowed(*stream.requiredWeights, now);
    if (cannotResume) decline(request, 409, "cannot-resume", outbox);
    else decline(request, 503, "no-engine", outbox, true);
    return;
  }
  stream.requestId =
      std::to_string(front_.membership.self().member.value) + "-" + std::to_string(++lastRequest_);
  outbox.count("streams.allowed");
  front_.admission.enter(stream.tenant, stream.options.rank);
  Stream& admitted = streams_[stream.id] = std::move(stream);
  retryBudget(admitted.service).recordFirstAttempt(now);
  sendAttempt(admitted, *assignment, now, outbox);
}

std::vector<PrefixBlockName> Streams::partNamesOf(const Stream& stream,
                                                  WeightsVersion weights) const {
  std::vector<PrefixBlockName> names;
  PrefixBlockName previous;
  CacheDomain wall = front_.options.isGuardEnabled(SafetyGuard::kCacheDomain)
                         ? stream.options.cacheDomain
                         : CacheDomain{};
  for (const auto& part : stream.parts) {
    previous = prefixBlockName(wall, weights, previous, part.text);
    names.push_back(previous);
  }
  return names;
}

std::optional<Streams::Assignment> Streams::chooseEngine(const Stream& stream, MonotonicTime now) {
  std::optional<Assignment> best;
  double bestCost = 0;
  std::map<WeightsVersion, std::vector<PrefixBlockName>> partNamesByWeights;
  double slots = static_cast<double>(front_.options.engineStreams);
  for (const auto& [id, engine] : front_.list.engines) {
    bool draining = engine.draining && front_.options.isGuardEnabled(SafetyGuard::kDrainList);
    if (engine.service != stream.service || draining || id == stream.engine) continue;
    const EngineView* view = front_.watch.usable(id, now);
    if (view == nullptr) continue;
    WeightsVersion weights = view->snapshot.weights;
    if (!front_.follower.weightsAllowed(weights, now) || weights < stream.options.minWeightsVersion)
      continue;
    if (stream.requiredWeights && weights != *stream.requiredWeights) continue;
    auto own = runningByEngine_.find(id);
    double ownStreams = own == runningByEngine_.end() ? 0 : static_cast<double>(own->second);
    double load = std::max(static_cast<double>(view->snapshot.runningStreams) +
                               static_cast<double>(view->sentSinceSnapshot),
                           ownStreams);
    if (load >= slots) continue;
    auto [entry, inserted] = partNamesByWeights.try_emplace(weights);
    if (inserted) entry->second = partNamesOf(stream, weights);
    double uncachedSize = 0, totalSize = 0;
    for (std::size_t part = 0; part < stream.parts.size(); ++part) {
      double size = static_cast<double>(stream.parts[part].text.size());
      totalSize += size;
      if (!front_.index.isCached(id, entry->second[part], stream.options.cacheDomain, weights))
        uncachedSize += size;
    }
    // A fully cached prefix offsets a load difference of up to half the engine's slots; a larger
    // difference outweighs it. The random term spreads requests over engines of similar cost.
    double cost = load / slots + 0.5 * uncachedSize / std::max(1.0, totalSize) +
                  0.05 * front_.random.fraction();
    if (!best || cost < bestCost) {
      best = Assignment{id, *view};
      bestCost = cost;
    }
  }
  return best;
}

void Streams::handleCallerGone(StreamId id, Outbox& outbox) {
  auto found = streams_.find(id);
  if (found == streams_.end()) return;
  outbox.count("streams.callerGone");
  removeStream(id, outbox);
}

void Streams::removeStream(StreamId id, Outbox& outbox) {
  auto found = streams_.find(id);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  if (stream.attempt) {
    outbox.push(CancelStreamAttempt{*stream.attempt});
    attempts_.erase(*stream.attempt);
    --runningByEngine_[stream.engine];
  }
  front_.fetchPlanner.remove(id);
  front_.admission.leave(stream.tenant);
  streams_.erase(found);
}

void Streams::tick(MonotonicTime now, Outbox& outbox) {
  bool keysChanged = changesSeen_ != front_.follower.changeCount();
  changesSeen_ = front_.follower.changeCount();
  std::vector<StreamId> expired, revoked, overdue, stale;
  bool mayGoOn = front_.follower.mayContinueStreams(now);
  for (const auto& [id, stream] : streams_) {
    if (now >= stream.deadline) expired.push_back(id);
    else if (keysChanged && front_.follower.tenantOf(stream.key) == nullptr) revoked.push_back(id);
    else if (!mayGoOn) stale.push_back(id);
    else if (stream.attempt && !stream.firstPieceReceived &&
             now - stream.sentAt > front_.options.firstPieceTimeout)
      overdue.push_back(id);
  }
  for (StreamId id : expired) giveUp(streams_.at(id), 504, "deadline", outbox);
  for (StreamId id : revoked) giveUp(streams_.at(id), 403, "key-withdrawn", outbox);
  for (StreamId id : stale) giveUp(streams_.at(id), 503, "stale", outbox);
  for (StreamId id : overdue) retryStream(streams_.at(id), "silent", now, outbox);
}

}  // namespace peppergate
