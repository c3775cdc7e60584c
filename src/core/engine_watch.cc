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

bool EngineWatch::mine(const EngineId& engine) const { return mine_.contains(engine); }

bool EngineWatch::holds(const EngineId& engine, MonotonicTime now) const {
  auto lease = holds_.find(engine);
  return lease != holds_.end() && now < lease->second.until;
}

const EngineView* EngineWatch::usable(const EngineId& engine, MonotonicTime now) const {
  auto view = views_.find(engine);
  if (view == views_.end() || !view->second.picture.ready) return nullptr;
  if (now - view->second.seen > options_.pictureLimit) return nullptr;
  auto rest = resting_.find(engine);
  if (rest != resting_.end() && now < rest->second) return nullptr;
  return &view->second;
}

void EngineWatch::noteSent(const EngineId& engine) { ++views_[engine].sentSince; }

void EngineWatch::rest(const EngineId& engine, MonotonicTime now) {
  resting_[engine] = now + seconds(1);
}

void EngineWatch::tick(const EngineList& list, MonotonicTime now, Outbox& outbox) {
  auto fronts = membership_.liveFronts();
  bool newRing = !ring_.isFor(fronts);
  if (newRing) {
    ring_ = Ring(fronts);
    outbox.count("ring.rebuilt");
  }
  mine_.clear();
  for (const auto& [id, engine] : list.engines) {
    auto owners = ring_.owners(id, 1);
    if (!owners.empty() && owners[0] == membership_.self().member) mine_.insert(id);
  }
  std::erase_if(watched_, [&](const auto& entry) { return !mine_.contains(entry.first); });
  for (auto view = views_.begin(); view != views_.end();) {
    bool listed = list.engines.contains(view->first);
    if (!listed && list.version.value != 0) index_.forget(view->first);
    view = listed || list.version.value == 0 ? std::next(view) : views_.erase(view);
  }
  askHolds(list, now, outbox);
  for (const auto& id : mine_) {
    const EngineEntry& engine = list.engines.at(id);
    Watched& watched = watched_[id];
    if (now >= watched.nextProbe) probe(engine, now, outbox);
    if (engine.service != Service::kStore) order(list, engine, now, outbox);
  }
  if (now >= nextTell_) {
    nextTell_ = now + options_.probeEvery;
    tellOthers(now, outbox);
  }
  index_.tick(ring_, now, random_, outbox);
}

void EngineWatch::probe(const EngineEntry& engine, MonotonicTime now, Outbox& outbox) {
  watched_[engine.id].nextProbe = now + options_.probeEvery;
  for (const auto& [ticket, call] : calls_)
    if (call.engine == engine.id && call.kind == CallKind::kHealth) return;  // one probe at a time
  TicketId ticket = outbox.ticket();
  calls_[ticket] = {CallKind::kHealth, engine.id, now};
  outbox.push(CallWeb{ticket, engine.address, "GET", "/health", {}, "", options_.probeTimeout});
}

bool EngineWatch::answered(const WebAnswered& answer, const EngineList& list, MonotonicTime now,
                           Outbox& outbox) {
  auto found = calls_.find(answer.ticket);
  if (found == calls_.end()) return false;
  Call call = found->second;
  calls_.erase(found);
  auto engine = list.engines.find(call.engine);
  if (engine == list.engines.end() || !mine_.contains(call.engine)) return true;
  switch (call.kind) {
    case CallKind::kHealth:
      // The engine's state is from some time after the request was sent; the time of the request
      // never makes it look more recent than it is.
      healthCame(engine->second, answer, call.since, outbox);
      break;
    case CallKind::kKept:
      keptCame(engine->second, answer, now, outbox);
      break;
    case CallKind::kOrder:
      outbox.count(answer.status == 200 ? "orders.taken" : "orders.failed");
      if (answer.status != 200)
        watched_[call.engine].ordered = now - options_.orderTimeout + seconds(1);
      break;
  }
  return true;
}

void EngineWatch::healthCame(const EngineEntry& engine, const WebAnswered& answer,
                             MonotonicTime now, Outbox& outbox) {
  Watched& watched = watched_[engine.id];
  Json body = answer.status == 200 ? Json::parse(answer.body, nullptr, false) : Json();
  EngineSnapshot picture;
  picture.engine = engine.id;
  bool good = body.is_object() && body.contains("life") && body["life"].is_number_unsigned();
  if (good) {
    try {
      picture.life = {body["life"].get<std::uint64_t>()};
      picture.weights = {body.value("weights", std::uint64_t{0})};
      picture.revision = body.value("revision", std::uint64_t{0});
      picture.usage = body.value("running", std::uint64_t{0});
      picture.ready = body.value("ready", false);
    } catch (const Json::exception&) {
      good = false;
    }
  }
  if (!good) {
    outbox.count("probes.failed");
    // One failed probe may be a network loss; the second in a row takes the engine out of use.
    if (++watched.failures >= 2 && views_.contains(engine.id)) {
      picture = views_[engine.id].picture;
      picture.ready = false;
      take(picture, now);
    }
    return;
  }
  watched.failures = 0;
  outbox.count("probes.good");
  take(picture, now);
  bool news = picture.life != watched.keptLife || picture.revision > watched.keptRevision;
  if (!news) return;
  TicketId ticket = outbox.ticket();
  calls_[ticket] = {CallKind::kKept, engine.id, now};
  outbox.push(CallWeb{ticket, engine.address, "GET", "/kept", {}, "", options_.probeTimeout});
}

void EngineWatch::keptCame(const EngineEntry& engine, const WebAnswered& answer, MonotonicTime now,
                           Outbox& outbox) {
  Json body = answer.status == 200 ? Json::parse(answer.body, nullptr, false) : Json();
  if (!body.is_object()) return;
  IndexPut put;
  put.engine = engine.id;
  try {
    put.life = {body.at("life").get<std::uint64_t>()};
    put.revision = body.at("revision");
    for (const auto& part : body.at("parts"))
      put.parts.push_back({{part.at("name").get<std::string>()},
                           {part.at("wall").get<std::string>()},
                           {part.at("weights").get<std::uint64_t>()}});
  } catch (const Json::exception&) {
    outbox.count("reports.unreadable");
    return;
  }
  const EngineView& view = views_[engine.id];
  if (put.life != view.picture.life) {
    outbox.count("reports.otherLife");
    return;
  }
  Watched& watched = watched_[engine.id];
  watched.keptLife = put.life;
  watched.keptRevision = put.revision;
  outbox.count("reports.taken");
  if (index_.report(std::move(put))) index_.spread(ring_, engine.id, outbox);
  (void)now;
}

void EngineWatch::take(const EngineSnapshot& picture, MonotonicTime seen) {
  EngineView& view = views_[picture.engine];
  if (seen < view.seen) return;  // an older snapshot that arrived late
  view.picture = picture;
  view.seen = seen;
  view.sentSince = 0;
  index_.noteLife(picture.engine, picture.life, picture.revision);
}

void EngineWatch::hear(const EngineSnapshotNotification& note, MonotonicTime now, Outbox& outbox) {
  outbox.count("pictures.heard");
  for (const auto& picture : note.pictures)
    if (!mine_.contains(picture.engine)) take(picture, now - picture.age);
}

void EngineWatch::tellOthers(MonotonicTime now, Outbox& outbox) {
  EngineSnapshotNotification note{membership_.self().member, {}};
  for (const auto& id : mine_) {
    auto view = views_.find(id);
    if (view == views_.end() || view->second.seen == kNever) continue;
    EngineSnapshot picture = view->second.picture;
    picture.age = now - view->second.seen;
    note.pictures.push_back(picture);
  }
  if (note.pictures.empty()) return;
  outbox.broadcast(membership_.otherFronts(), std::move(note));
}

}  // namespace peppergate
