#include "core/fetch_desk.h"

#include <algorithm>

namespace peppergate {
namespace {

LinkId engineLink(const EngineId& engine) { return {"engine:" + engine.value}; }
LinkId rackLink(const std::string& rack) { return {"rack:" + rack}; }

}  // namespace

void FetchDesk::links(const EngineList& list) {
  std::map<LinkId, double> told;
  for (const auto& [id, engine] : list.engines) told[engineLink(id)] = engine.link;
  for (const auto& [rack, uplink] : list.racks) told[rackLink(rack)] = uplink;
  std::erase_if(books_, [&](const auto& entry) { return !told.contains(entry.first); });
  for (const auto& [link, size] : told) {
    auto [book, fresh] = books_.try_emplace(link);
    book->second.told = size;
    if (fresh) book->second.fraction = props_.capacityStart;
  }
  touched_ = true;
}

std::vector<LinkId> FetchDesk::pathOf(const EngineList& list, const EngineId& source,
                                      const EngineId& engine) {
  std::vector<LinkId> path{engineLink(source), engineLink(engine)};
  auto from = list.engines.find(source);
  auto to = list.engines.find(engine);
  if (from == list.engines.end() || to == list.engines.end()) return path;
  if (from->second.rack == to->second.rack) return path;
  for (const auto* end : {&from->second, &to->second})
    if (list.racks.contains(end->rack)) path.push_back(rackLink(end->rack));
  return path;
}

double FetchDesk::capacity(const LinkId& link, MonotonicTime now) const {
  auto found = books_.find(link);
  if (found == books_.end()) return 0;
  const LinkBook& book = found->second;
  double eased = 1 - std::clamp(inSeconds(now - book.cutAt) / inSeconds(props_.cutEase), 0.0, 1.0);
  return book.told * book.fraction * (1 - book.cut * eased);
}

double FetchDesk::ownDemand(const LinkId& link, const Setup& setup) const {
  double demand = 0;
  for (const auto& [stream, fetch] : fetches_)
    if (std::ranges::find(fetch.want.links, link) != fetch.want.links.end())
      demand += setup.rungs.at(static_cast<std::size_t>(fetch.want.topRung)).rate;
  return demand;
}

double FetchDesk::othersUse(const LinkId& link, double room, double own,
                            MonotonicTime now) const {
  double rate = 0, demand = 0;
  for (const auto& [member, others] : others_) {
    if (now - others.heard > seconds(3)) continue;
    auto usage = others.links.find(link);
    if (usage == others.links.end()) continue;
    rate += usage->second.rate;
    demand += usage->second.demand;
  }
  // On a crowded link everybody counts on the same share of it, so that fronts with unequal
  // pictures come to one level; elsewhere the others' noted rates are theirs.
  if (own + demand > room && demand > 0) return room * demand / (own + demand);
  return std::min(rate, room);
}

std::optional<EngineId> FetchDesk::roomiest(std::span<const EngineId> holders,
                                            const EngineList& list, const EngineId& engine,
                                            const Setup& setup, MonotonicTime now) {
  std::optional<EngineId> best;
  double bestRoom = 0;
  for (const auto& holder : holders) {
    if (holder == engine || !list.engines.contains(holder)) continue;
    double room = 1e18;
    for (const auto& link : pathOf(list, holder, engine)) {
      double size = capacity(link, now);
      double own = ownDemand(link, setup);
      room = std::min(room, size - own - othersUse(link, size, own, now));
    }
    // The store is the last choice among equals: peers are nearer.
    if (holder == storeId()) room -= 1e-3;
    if (!best || room > bestRoom) {
      best = holder;
      bestRoom = room;
    }
  }
  return best;
}

std::int64_t FetchDesk::paced(const Fetch& fetch, std::int64_t rung, const LinkId& bottleneck,
                              MonotonicTime now, Outbox& outbox) {
  auto [entry, fresh] = rungs_.try_emplace({fetch.tenant, bottleneck}, Paced{rung, now});
  Paced& pace = entry->second;
  if (!fresh && pace.rung != rung && now - pace.changed >= props_.rungPace) {
    pace = {rung, now};
    ++rungChanges_;
    outbox.count("fetch.rungChanges");
  }
  return std::clamp(pace.rung, fetch.want.floorRung, fetch.want.topRung);
}

std::int64_t FetchDesk::begin(Fetch fetch, const Setup& setup, MonotonicTime now,
                              Outbox& outbox) {
  std::int64_t rung = props_.planMode == 1 ? fetch.want.floorRung : fetch.want.topRung;
  StreamId stream = fetch.want.stream;
  fetch.sent = now;
  for (const auto& link : fetch.want.links) books_[link].usedSinceRun = true;
  Fetch& kept = fetches_[stream] = std::move(fetch);
  if (props_.planMode == 0) {
    // The new stream joins the group of its most congested link, with all that runs now.
    plan_ = settleNow(setup, now);
    const PlanShare& share = plan_.shares.at(stream);
    rung = paced(kept, share.rung, share.bottleneck, now, outbox);
  }
  kept.rung = rung;
  kept.rate = setup.rungs.at(static_cast<std::size_t>(rung)).rate;
  outbox.count("fetch.begun");
  outbox.count("fetch.rung." + std::to_string(rung));
  return rung;
}

Plan FetchDesk::settleNow(const Setup& setup, MonotonicTime now) const {
  std::vector<PlanStream> streams;
  for (const auto& [stream, fetch] : fetches_) streams.push_back(fetch.want);
  std::map<LinkId, double> capacities;
  for (const auto& [link, book] : books_) {
    double room = capacity(link, now);
    double own = ownDemand(link, setup);
    capacities[link] = std::max(0.0, room - othersUse(link, room, own, now));
  }
  return settle(streams, setup.rungs, capacities, props_);
}

void FetchDesk::firstEvent(StreamId stream, Duration base, MonotonicTime now, Outbox& outbox) {
  auto found = fetches_.find(stream);
  if (found == fetches_.end()) return;
  const Fetch& fetch = found->second;
  double expected = fetch.rate > 0 ? fetch.megabytes / fetch.rate : 0;
  double seen = inSeconds(now - fetch.sent) - inSeconds(base);
  bool shortDelivery = expected > 0 && seen > expected * 1.25 + 0.05;
  if (shortDelivery) {
    double missing = std::clamp(1 - expected / seen, 0.0, 0.9);
    auto share = plan_.shares.find(stream);
    LinkId link = share != plan_.shares.end() ? share->second.bottleneck : fetch.want.links.front();
    LinkBook& book = books_[link];
    double eased = 1 - std::clamp(inSeconds(now - book.cutAt) / inSeconds(props_.cutEase), 0.0, 1.0);
    book.cut = std::max(book.cut * eased, missing);
    book.cutAt = now;
    book.shortSinceRun = true;
    book.missing = missing;
    touched_ = true;
    outbox.count("fetch.short");
  }
  fetches_.erase(found);
}

void FetchDesk::drop(StreamId stream) { fetches_.erase(stream); }

void FetchDesk::hear(const UsageNote& note, MonotonicTime now) {
  Others& others = others_[note.front];
  others.heard = now;
  others.links.clear();
  for (const auto& usage : note.links) {
    others.links[usage.link] = usage;
    auto book = books_.find(usage.link);
    if (book == books_.end() || usage.missing <= 0) continue;
    book->second.cut = std::max(book->second.cut, usage.missing);
    book->second.cutAt = now;
    book->second.shortSinceRun = true;
  }
  touched_ = true;
}

void FetchDesk::tick(const Setup& setup, MonotonicTime now, Outbox& outbox) {
  std::erase_if(others_, [&](const auto& entry) { return now - entry.second.heard > seconds(6); });
  // Reruns come on notes, reports and the timer; notes of many fronts share one rerun.
  bool due = now >= nextRun_ || (touched_ && now - lastRun_ >= milliseconds(250));
  if (due && !setup.rungs.empty()) rerun(setup, now, outbox);
}

void FetchDesk::rerun(const Setup& setup, MonotonicTime now, Outbox& outbox) {
  nextRun_ = now + props_.planEvery;
  lastRun_ = now;
  touched_ = false;
  for (auto& [link, book] : books_) {  // a clean rerun lets the plan use a little more
    if (book.usedSinceRun && !book.shortSinceRun)
      book.fraction = std::min(book.fraction + props_.capacityRise, props_.capacityTop);
    book.usedSinceRun = book.shortSinceRun = false;
  }
  plan_ = settleNow(setup, now);
  outbox.count("fetch.reruns");
}

UsageNote FetchDesk::note(MemberId self, const Setup& setup) {
  std::map<LinkId, LinkUsage> usages;
  for (const auto& [stream, fetch] : fetches_)
    for (const auto& link : fetch.want.links) {
      LinkUsage& usage = usages[link];
      usage.link = link;
      usage.rate += setup.rungs.at(static_cast<std::size_t>(fetch.rung)).rate;
      usage.demand += setup.rungs.at(static_cast<std::size_t>(fetch.want.topRung)).rate;
      ++usage.streams;
    }
  for (auto& [link, book] : books_)
    if (book.missing > 0) {  // told once
      usages[link].link = link;
      usages[link].missing = std::exchange(book.missing, 0);
    }
  UsageNote note{self, {}};
  for (auto& [link, usage] : usages) note.links.push_back(usage);
  return note;
}

}  // namespace peppergate
