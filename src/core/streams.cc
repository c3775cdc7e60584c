// Streams: request parsing, admission and the choice of an engine.
#include "core/streams.h"

#include <algorithm>
#include <charconv>

#include "core/schemas.h"

namespace peppergate {
namespace {

std::string headerOf(const StreamRequest& asked, const std::string& name) {
  auto found = asked.headers.find(name);
  return found == asked.headers.end() ? std::string() : found->second;
}

constexpr std::int64_t kDefaultPieces = 8;

}  // namespace

Streams::Streams(FrontParts parts)
    : front_(parts),
      budgets_{Budget(parts.options.secondShotShare, parts.options.budgetWindow),
               Budget(parts.options.secondShotShare, parts.options.budgetWindow)} {}

void Streams::decline(const StreamRequest& asked, int status, std::string_view kind, Outbox& outbox,
                      bool retry, std::string field, std::string requestId) {
  outbox.count("declined." + std::string(kind));
  Duration after = retry ? Gate::retryAfter(front_.random, 0.5) : Duration{};
  outbox.push(DeclineStream{asked.stream, status, std::string(kind), false, after, std::move(field),
                            std::move(requestId)});
}

bool Streams::readBody(const StreamRequest& asked, Stream& stream, Outbox& outbox) {
  if (asked.body.size() > static_cast<std::size_t>(front_.options.largestBody)) {
    decline(asked, 413, "body-too-large", outbox);
    return false;
  }
  Json body = Json::parse(asked.body, nullptr, false);
  if (body.is_discarded()) {
    decline(asked, 400, "malformed-json", outbox, false, "<root>");
    return false;
  }
  if (auto wrong = checkSchema(SchemaName::kStream, body)) {
    decline(asked, 400, "invalid-field", outbox, false, wrong->field + ": " + wrong->detail);
    return false;
  }
  for (const auto& part : body["parts"])
    stream.parts.push_back({part["text"].get<std::string>(), part.value("shared", false)});
  stream.pieces = body.value("pieces", kDefaultPieces);
  stream.resumable = body.value("resumable", false);
  stream.next = {body.value("resumeFrom", std::uint64_t{0})};
  if (body.contains("resumeWeights")) stream.bound = {body["resumeWeights"].get<std::uint64_t>()};
  if (stream.next.value > 0 && (!stream.resumable || !stream.bound)) {
    decline(asked, 400, "invalid-field", outbox, false,
            "[resumeFrom]: needs resumable and resumeWeights");
    return false;
  }
  std::int64_t rungs = static_cast<std::int64_t>(front_.follower.setup().rungs.size());
  stream.topRung = std::min({body.value("topRung", rungs - 1), stream.options.topRung, rungs - 1});
  return true;
}

bool Streams::readAsk(const StreamRequest& asked, Stream& stream, MonotonicTime now,
                      Outbox& outbox) {
  if (draining_) return decline(asked, 503, "draining", outbox, true), false;
  if (!front_.follower.installed()) return decline(asked, 503, "no-setup", outbox, true), false;
  if (!front_.follower.fresh(now)) return decline(asked, 503, "stale", outbox, true), false;
  std::string key = headerOf(asked, "x-api-key");
  if (key.empty()) return decline(asked, 401, "no-key", outbox), false;
  stream.key = keyDigest(key);
  const TenantId* tenant = front_.follower.tenantOf(stream.key);
  if (tenant == nullptr) return decline(asked, 403, "unknown-key", outbox), false;
  auto options = front_.follower.setup().tenants.find(*tenant);
  if (options == front_.follower.setup().tenants.end())
    return decline(asked, 403, "unknown-tenant", outbox), false;
  stream.tenant = *tenant;
  stream.options = options->second;
  std::string deadline = headerOf(asked, "x-deadline-ms");
  std::int64_t length = 0;
  auto [end, fault] = std::from_chars(deadline.data(), deadline.data() + deadline.size(), length);
  if (deadline.empty()) return decline(asked, 400, "missing-deadline", outbox), false;
  if (fault != std::errc{} || end != deadline.data() + deadline.size() || length <= 0 ||
      milliseconds(length) > front_.options.largestDeadline)
    return decline(asked, 400, "invalid-deadline", outbox), false;
  stream.deadline = now + milliseconds(length);
  return readBody(asked, stream, outbox);
}

GateUsage Streams::usage(Service service, MonotonicTime now) const {
  GateUsage usage;
  for (const auto& [id, engine] : front_.list.engines) {
    if (engine.service != service || engine.draining) continue;
    const EngineView* view = front_.watch.usable(id, now);
    if (view == nullptr) continue;
    auto own = running_.find(id);
    double mine = own == running_.end() ? 0 : static_cast<double>(own->second);
    usage.running += std::max(static_cast<double>(view->picture.usage), mine);
    usage.places += static_cast<double>(front_.options.engineStreams);
    usage.ownRunning += mine;
  }
  usage.fronts = static_cast<double>(front_.membership.liveFronts().size());
  return usage;
}

void Streams::ask(const StreamRequest& asked, MonotonicTime now, Outbox& outbox) {
  outbox.count("streams.asked");
  Stream stream;
  stream.id = asked.stream;
  stream.unary = asked.unary;
  stream.service = asked.unary ? Service::kDesk : Service::kModel;
  if (!readAsk(asked, stream, now, outbox)) return;
  GateUsage current = usage(stream.service, now);
  GateVerdict verdict = front_.gate.allow(stream.tenant, stream.options, current);
  if (verdict != GateVerdict::kAllowed) {
    outbox.count("declined." + std::string(verdictName(verdict)));
    double pressure = current.places > 0 ? current.running / current.places : 1;
    outbox.push(DeclineStream{asked.stream,
                              503,
                              std::string(verdictName(verdict)),
                              false,
                              Gate::retryAfter(front_.random, pressure),
                              {},
                              {}});
    return;
  }
  auto assigned = assign(stream, now);
  if (!assigned) {
    bool cannotResume = stream.bound && !front_.follower.weightsAllowed(*stream.bound, now);
    if (cannotResume) decline(asked, 409, "cannot-resume", outbox);
    else decline(asked, 503, "no-engine", outbox, true);
    return;
  }
  stream.requestId =
      std::to_string(front_.membership.self().member.value) + "-" + std::to_string(++lastRequest_);
  outbox.count("streams.allowed");
  front_.gate.enter(stream.tenant, stream.options.rank);
  Stream& kept = streams_[stream.id] = std::move(stream);
  budget(kept.service).first(now);
  shoot(kept, *assigned, now, outbox);
}

std::vector<PartName> Streams::names(const Stream& stream, WeightsVersion weights) const {
  std::vector<PartName> names;
  PartName previous;
  Wall wall = front_.options.guards(Guard::kWall) ? stream.options.wall : Wall{};
  for (const auto& part : stream.parts) {
    previous = partName(wall, weights, previous, part.text);
    names.push_back(previous);
  }
  return names;
}

std::optional<Streams::Assigned> Streams::assign(const Stream& stream, MonotonicTime now) {
  std::optional<Assigned> best;
  double bestCost = 0;
  std::map<WeightsVersion, std::vector<PartName>> named;
  double places = static_cast<double>(front_.options.engineStreams);
  for (const auto& [id, engine] : front_.list.engines) {
    bool draining = engine.draining && front_.options.guards(Guard::kDrainList);
    if (engine.service != stream.service || draining || id == stream.engine) continue;
    const EngineView* view = front_.watch.usable(id, now);
    if (view == nullptr) continue;
    WeightsVersion weights = view->picture.weights;
    if (!front_.follower.weightsAllowed(weights, now) || weights < stream.options.weights) continue;
    if (stream.bound && weights != *stream.bound) continue;
    auto own = running_.find(id);
    double mine = own == running_.end() ? 0 : static_cast<double>(own->second);
    double busy = std::max(
        static_cast<double>(view->picture.usage) + static_cast<double>(view->sentSince), mine);
    if (busy >= places) continue;
    auto [entry, fresh] = named.try_emplace(weights);
    if (fresh) entry->second = names(stream, weights);
    double missing = 0, whole = 0;
    for (std::size_t part = 0; part < stream.parts.size(); ++part) {
      double size = static_cast<double>(stream.parts[part].text.size());
      whole += size;
      if (!front_.index.keeps(id, entry->second[part], stream.options.wall, weights))
        missing += size;
    }
    // A fully cached prefix offsets a load difference of up to half the engine's slots; a larger
    // difference outweighs it. The random term spreads requests over engines of similar cost.
    double cost =
        busy / places + 0.5 * missing / std::max(1.0, whole) + 0.05 * front_.random.fraction();
    if (!best || cost < bestCost) {
      best = Assigned{id, *view};
      bestCost = cost;
    }
  }
  return best;
}

void Streams::gone(StreamId id, Outbox& outbox) {
  auto found = streams_.find(id);
  if (found == streams_.end()) return;
  outbox.count("streams.callerGone");
  end(id, outbox);
}

void Streams::end(StreamId id, Outbox& outbox) {
  auto found = streams_.find(id);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  if (stream.shot) {
    outbox.push(CancelShot{*stream.shot});
    shots_.erase(*stream.shot);
    --running_[stream.engine];
  }
  front_.fetches.drop(id);
  front_.gate.leave(stream.tenant);
  streams_.erase(found);
}

void Streams::tick(MonotonicTime now, Outbox& outbox) {
  bool keysChanged = changesSeen_ != front_.follower.changesSeen();
  changesSeen_ = front_.follower.changesSeen();
  std::vector<StreamId> late, cut, silent, stale;
  bool mayGoOn = front_.follower.mayGoOn(now);
  for (const auto& [id, stream] : streams_) {
    if (now >= stream.deadline) late.push_back(id);
    else if (keysChanged && front_.follower.tenantOf(stream.key) == nullptr) cut.push_back(id);
    else if (!mayGoOn) stale.push_back(id);
    else if (stream.shot && !stream.firstCame &&
             now - stream.sent > front_.options.firstPieceTimeout)
      silent.push_back(id);
  }
  for (StreamId id : late) giveUp(streams_.at(id), 504, "deadline", outbox);
  for (StreamId id : cut) giveUp(streams_.at(id), 403, "key-withdrawn", outbox);
  for (StreamId id : stale) giveUp(streams_.at(id), 503, "stale", outbox);
  for (StreamId id : silent) again(streams_.at(id), "silent", now, outbox);
}

}  // namespace peppergate
