#include "core/engine_watch.h"

#include <algorithm>

namespace peppergate {

EngineWatch::EngineWatch(const Options& options, Membership& membership, Follower& follower,
                         PrefixIndex& index, Random& random)
    : options_(options),
      membership_(membership),
      follower_(follower),
      index_(index),
      random_(random) {}

bool EngineWatch::watches(const EngineId& engine) const { return ownEngines_.contains(engine); }

bool EngineWatch::holdsLease(const EngineId& engine, MonotonicTime now) const {
  auto lease = leases_.find(engine);
  return lease != leases_.end() && now < lease->second.until;
}

const EngineView* EngineWatch::usable(const EngineId& engine, MonotonicTime now) const {
  auto view = views_.find(engine);
  if (view == views_.end() || !view->second.snapshot.ready) return nullptr;
  if (now - view->second.seenAt > options_.pictureLimit) return nullptr;
  auto backoff = backoffUntil_.find(engine);
  if (backoff != backoffUntil_.end() && now < backoff->second) return nullptr;
  return &view->second;
}

void EngineWatch::countAttempt(const EngineId& engine) { ++views_[engine].sentSinceSnapshot; }

void EngineWatch::backOff(const EngineId& engine, MonotonicTime now) {
  backoffUntil_[engine] = now + seconds(1);
}

void EngineWatch::tick(const EngineList& list, MonotonicTime now, Outbox& outbox) {
  auto fronts = membership_.liveRouters();
  bool newRing = !ring_.isBuiltFrom(fronts);
  if (newRing) {
    ring_ = HashRing(fronts);
    outbox.count("ring.rebuilt");
  }
  ownEngines_.clear();
  for (const auto& [id, engine] : list.engines) {
    auto owners = ring_.owners(id, 1);
    if (!owners.empty() && owners[0] == membership_.self().member) ownEngines_.insert(id);
  }
  std::erase_if(watched_, [&](const auto& entry) { return !ownEngines_.contains(entry.first); });
  for (auto view = views_.begin(); view != views_.end();) {
    bool listed = list.engines.contains(view->first);
    if (!listed && list.version.value != 0) index_.removeEngine(view->first);
    view = listed || list.version.value == 0 ? std::next(view) : views_.erase(view);
  }
  requestLeases(list, now, outbox);
  for (const auto& id : ownEngines_) {
    const EngineEntry& engine = list.engines.at(id);
    WatchState& watched = watched_[id];
    if (now >= watched.nextProbe) probe(engine, now, outbox);
    if (engine.service != Service::kStore) orderIfDue(list, engine, now, outbox);
  }
  if (now >= nextBroadcast_) {
    nextBroadcast_ = now + options_.probeEvery;
    broadcastSnapshots(now, outbox);
  }
  index_.tick(ring_, now, random_, outbox);
}

void EngineWatch::probe(const EngineEntry& engine, MonotonicTime now, Outbox& outbox) {
  watched_[engine.id].nextProbe = now + options_.probeEvery;
  for (const auto& [ticket, call] : calls_)
    if (call.engine == engine.id && call.kind == CallKind::kHealth) return;  // one probe at a time
  TicketId ticket = outbox.newTicket();
  calls_[ticket] = {CallKind::kHealth, engine.id, now};
  outbox.push(CallHttp{ticket, engine.address, "GET", "/health", {}, "", options_.probeTimeout});
}

bool EngineWatch::handleAnswer(const HttpCallAnswered& answer, const EngineList& list,
                               MonotonicTime now, Outbox& outbox) {
  auto found = calls_.find(answer.ticket);
  if (found == calls_.end()) return false;
  PendingCall call = found->second;
  calls_.erase(found);
  auto engine = list.engines.find(call.engine);
  if (engine == list.engines.end() || !ownEngines_.contains(call.engine)) return true;
  switch (call.kind) {
    case CallKind::kHealth:
      // The engine's state is from some time after the request was sent; the time of the request
      // never makes it look more recent than it is.
      handleHealth(engine->second, answer, call.sentAt, outbox);
      break;
    case CallKind::kCacheReport:
      handleCacheReport(engine->second, answer, now, outbox);
      break;
    case CallKind::kOrder:
      outbox.count(answer.status == 200 ? "orders.taken" : "orders.failed");
      if (answer.status != 200)
        watched_[call.engine].orderedAt = now - options_.orderTimeout + seconds(1);
      break;
  }
  return true;
}

void EngineWatch::handleHealth(const EngineEntry& engine, const HttpCallAnswered& answer,
                               MonotonicTime now, Outbox& outbox) {
  WatchState& watched = watched_[engine.id];
  Json body = answer.status == 200 ? Json::parse(answer.body, nullptr, false) : Json();
  EngineSnapshot snapshot;
  snapshot.engine = engine.id;
  bool good = body.is_object() && body.contains("life") && body["life"].is_number_unsigned();
  if (good) {
    try {
      snapshot.life = {body["life"].get<std::uint64_t>()};
      snapshot.weights = {body.value("weights", std::uint64_t{0})};
      snapshot.revision = body.value("revision", std::uint64_t{0});
      snapshot.runningStreams = body.value("running", std::uint64_t{0});
      snapshot.ready = body.value("ready", false);
    } catch (const Json::exception&) {
      good = false;
    }
  }
  if (!good) {
    outbox.count("probes.failed");
    // One failed probe may be a network loss; the second in a row takes the engine out of use.
    if (++watched.failures >= 2 && views_.contains(engine.id)) {
      snapshot = views_[engine.id].snapshot;
      snapshot.ready = false;
      updateView(snapshot, now);
    }
    return;
  }
  watched.failures = 0;
  outbox.count("probes.good");
  updateView(snapshot, now);
  bool changed =
      snapshot.life != watched.reportedLife || snapshot.revision > watched.reportedRevision;
  if (!changed) return;
  TicketId ticket = outbox.newTicket();
  calls_[ticket] = {CallKind::kCacheReport, engine.id, now};
  outbox.push(CallHttp{ticket, engine.address, "GET", "/kept", {}, "", options_.probeTimeout});
}

void EngineWatch::handleCacheReport(const EngineEntry& engine, const HttpCallAnswered& answer,
                                    MonotonicTime now, Outbox& outbox) {
  Json body = answer.status == 200 ? Json::parse(answer.body, nullptr, false) : Json();
  if (!body.is_object()) return;
  PrefixIndexUpdate put;
  put.engine = engine.id;
  try {
    put.life = {body.at("life").get<std::uint64_t>()};
    put.revision = body.at("revision");
    for (const auto& part : body.at("parts"))
      put.blocks.push_back({{part.at("name").get<std::string>()},
                            {part.at("wall").get<std::string>()},
                            {part.at("weights").get<std::uint64_t>()}});
  } catch (const Json::exception&) {
    outbox.count("reports.unreadable");
    return;
  }
  const EngineView& view = views_[engine.id];
  if (put.life != view.snapshot.life) {
    outbox.count("reports.otherLife");
    return;
  }
  WatchState& watched = watched_[engine.id];
  watched.reportedLife = put.life;
  watched.reportedRevision = put.revision;
  outbox.count("reports.taken");
  if (index_.report(std::move(put))) index_.replicate(ring_, engine.id, outbox);
  (void)now;
}

void EngineWatch::updateView(const EngineSnapshot& snapshot, MonotonicTime seenAt) {
  EngineView& view = views_[snapshot.engine];
  if (seenAt < view.seenAt) return;  // an older snapshot that arrived late
  view.snapshot = snapshot;
  view.seenAt = seenAt;
  view.sentSinceSnapshot = 0;
  index_.noteLife(snapshot.engine, snapshot.life, snapshot.revision);
}

void EngineWatch::handle(const EngineSnapshotNotification& notification, MonotonicTime now,
                         Outbox& outbox) {
  outbox.count("pictures.heard");
  for (const auto& snapshot : notification.snapshots)
    if (!ownEngines_.contains(snapshot.engine)) updateView(snapshot, now - snapshot.age);
}

void EngineWatch::broadcastSnapshots(MonotonicTime now, Outbox& outbox) {
  EngineSnapshotNotification notification{membership_.self().member, {}};
  for (const auto& id : ownEngines_) {
    auto view = views_.find(id);
    if (view == views_.end() || view->second.seenAt == kNever) continue;
    EngineSnapshot snapshot = view->second.snapshot;
    snapshot.age = now - view->second.seenAt;
    notification.snapshots.push_back(snapshot);
  }
  if (notification.snapshots.empty()) return;
  outbox.broadcast(membership_.otherRouterAddresses(), std::move(notification));
}

}  // namespace peppergate
