#include "core/fetch_desk.h"

#include <algorithm>
#include <cmath>

namespace peppergate {
namespace {

constexpr std::uint64_t kNotedStreams = 1ULL << 62;  // ids above it stand for many streams

LinkId rackLink(const std::string& rack) { return {"rack:" + rack}; }

}  // namespace

void FetchDesk::links(const EngineList& list) {
  std::map<LinkId, LinkTold> told;
  for (const auto& [id, engine] : list.engines) told[linkOf(id)] = {engine.link, {}};
  for (const auto& [rack, uplink] : list.racks) told[rackLink(rack)] = {uplink, {}};
  links(told);
}

void FetchDesk::links(const std::map<LinkId, LinkTold>& told) {
  std::erase_if(books_, [&](const auto& entry) { return !told.contains(entry.first); });
  std::erase_if(rungs_, [&](const auto& entry) { return !told.contains(entry.first.second); });
  for (const auto& [link, is] : told) {
    auto [book, fresh] = books_.try_emplace(link);
    book->second.told = is.size;
    book->second.zone = is.zone;
    if (!fresh) continue;
    book->second.fraction = options_.capacityStart;
    book->second.common = is.size * options_.capacityStart;
  }
  touched_ = true;
}

std::vector<LinkId> FetchDesk::pathOf(const EngineList& list, const EngineId& source,
                                      const EngineId& engine) {
  std::vector<LinkId> path{linkOf(source), linkOf(engine)};
  auto from = list.engines.find(source);
  auto to = list.engines.find(engine);
  if (from == list.engines.end() || to == list.engines.end()) return path;
  if (from->second.rack == to->second.rack) return path;
  for (const auto* end : {&from->second, &to->second})
    if (list.racks.contains(end->rack)) path.push_back(rackLink(end->rack));
  return path;
}

double FetchDesk::easedCut(const LinkBook& book, MonotonicTime now) const {
  double eased =
      1 - std::clamp(inSeconds(now - book.cutAt) / inSeconds(options_.cutEase), 0.0, 1.0);
  return book.cut * eased;
}

double FetchDesk::capacity(const LinkId& link, MonotonicTime now) const {
  auto found = books_.find(link);
  if (found == books_.end()) return 0;
  return found->second.told * found->second.fraction * (1 - easedCut(found->second, now));
}

double FetchDesk::ownDemand(const LinkId& link) const {
  double demand = 0;
  for (const auto& [stream, fetch] : fetches_)
    if (std::ranges::find(fetch.want.links, link) != fetch.want.links.end())
      demand += fetch.topRate * pathCrossing(fetch.want.links);
  return demand;
}

double FetchDesk::othersUse(const LinkId& link, double room, double own, MonotonicTime now) const {
  double rate = 0, demand = 0;
  for (const auto& [member, others] : noted_) {
    if (member == self_ || now - others.heard > seconds(3)) continue;
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
                                            const Setup&, MonotonicTime now) {
  std::optional<EngineId> best;
  double bestRoom = 0;
  for (const auto& holder : holders) {
    if (holder == engine || !list.engines.contains(holder)) continue;
    double room = 1e18;
    for (const auto& link : pathOf(list, holder, engine)) {
      double size = commonCapacity(link, now);
      double own = ownDemand(link);
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
  if (!fresh && pace.rung != rung && now - pace.changed >= options_.rungPace) {
    pace = {rung, now};
    ++rungChanges_;
    outbox.count("fetch.rungChanges");
  }
  return std::clamp(pace.rung, fetch.want.floorRung, fetch.want.topRung);
}

std::int64_t FetchDesk::begin(Fetch fetch, const Setup& setup, MonotonicTime now, Outbox& outbox) {
  std::int64_t rung = options_.planMode == 1 ? fetch.want.floorRung : fetch.want.topRung;
  StreamId stream = fetch.want.stream;
  fetch.sent = now;
  fetch.bottleneck = fetch.want.links.front();
  for (const auto& link : fetch.want.links) books_[link].usedSinceRun = true;
  Fetch& kept = fetches_[stream] = std::move(fetch);
  if (options_.planMode == 0) {
    // The new stream joins the group of its most congested link, with all that runs now.
    plan_ = settleNow(setup, &kept, now);
    const PlanShare& share = plan_.shares.at(stream);
    kept.bottleneck = share.bottleneck;
    rung = paced(kept, share.rung, share.bottleneck, now, outbox);
  }
  kept.rung = rung;
  kept.rate = setup.rungs.at(static_cast<std::size_t>(rung)).rate;
  kept.topRate = setup.rungs.at(static_cast<std::size_t>(kept.want.topRung)).rate;
  outbox.count("fetch.begun");
  outbox.count("fetch.rung." + std::to_string(rung));
  return rung;
}

FetchDesk::MixKey FetchDesk::keyOf(const Fetch& fetch) {
  return {fetch.want.links, fetch.className, fetch.want.floorRung, fetch.want.topRung};
}

void FetchDesk::smooth(MonotonicTime now) {
  double span = smoothedAt_ == kNever ? 0 : inSeconds(now - smoothedAt_);
  smoothedAt_ = now;
  double keep = std::exp(-span / inSeconds(options_.mixSmoothing));
  for (auto& [key, count] : mixes_) count *= keep;
  for (const auto& [stream, fetch] : fetches_) mixes_[keyOf(fetch)] += 1 - keep;
  std::erase_if(mixes_, [](const auto& entry) { return entry.second < 0.002; });
}

double FetchDesk::commonCapacity(const LinkId& link, MonotonicTime now) const {
  // What everybody noted of the link, so that all come to the same: the mean of the fractions, and
  // the deepest cut that anybody saw.
  auto book = books_.find(link);
  if (book == books_.end()) return 0;
  double fractions = 0, count = 0, cut = 0;
  for (const auto& [member, noted] : noted_) {
    auto usage = noted.links.find(link);
    if (usage == noted.links.end() || now - noted.heard > seconds(3)) continue;
    if (usage->second.fraction > 0) {
      fractions += usage->second.fraction;
      ++count;
    }
    cut = std::max(cut, usage->second.cut);
  }
  double fraction = count > 0 ? fractions / count : options_.capacityStart;
  return book->second.told * fraction * (1 - cut);
}

Plan FetchDesk::settleNow(const Setup& setup, const Fetch* joining, MonotonicTime now) const {
  // One search over the streams of all fronts, as they were noted: equal notes give equal levels.
  std::map<MixKey, double> counts;
  for (const auto& [member, noted] : noted_) {
    if (now - noted.heard > seconds(3)) continue;
    for (const auto& mix : noted.mixes)
      counts[{mix.path, mix.className, mix.floorRung, mix.topRung}] += mix.count;
  }
  // Noted counts are means over time. Whoever joins finds them there and comes on top, so each
  // count is raised as if one more stream were on its most crowded link.
  std::map<LinkId, double> crowd;
  for (const auto& [key, count] : counts)
    for (const auto& link : std::get<0>(key)) crowd[link] += count;
  for (auto& [key, count] : counts) {
    double most = 0;
    for (const auto& link : std::get<0>(key)) most = std::max(most, crowd[link]);
    count *= (most + 1 + std::sqrt(most)) / most;
  }
  std::vector<PlanStream> streams;
  std::map<LinkId, double> capacities;
  auto last = static_cast<std::int64_t>(setup.rungs.size()) - 1;
  auto push = [&](const MixKey& key, double count, StreamId id) {
    const auto& [path, className, floor, top] = key;
    auto tenantClass = setup.classes.find(className);
    PlanStream stream;
    stream.stream = id;
    stream.links = path;
    if (tenantClass != setup.classes.end()) stream.tenantClass = tenantClass->second;
    stream.topRung = std::clamp<std::int64_t>(top, 0, last);
    stream.floorRung = std::clamp<std::int64_t>(floor, 0, stream.topRung);
    stream.count = count * pathCrossing(path);  // as often as its moves count
    for (const auto& link : path) capacities[link] = commonCapacity(link, now);
    streams.push_back(std::move(stream));
  };
  std::uint64_t number = 0;
  StreamId joiningId = joining != nullptr ? joining->want.stream : StreamId{};
  for (const auto& [key, count] : counts) {
    bool joins = joining != nullptr && key == keyOf(*joining);
    push(key, count, joins ? joiningId : StreamId{kNotedStreams + ++number});
  }
  if (joining != nullptr && !counts.contains(keyOf(*joining))) push(keyOf(*joining), 1, joiningId);
  return settle(streams, setup.rungs, capacities, options_);
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
    LinkBook& book = books_[fetch.bottleneck];
    // A fetch that was planned under the last cut and came short all the same cuts further.
    double before = easedCut(book, now);
    book.cut = fetch.sent > book.cutAt ? std::min(0.9, 1 - (1 - before) * (1 - missing))
                                       : std::max(before, missing);
    book.cutAt = now;
    book.shortSinceRun = true;
    book.missing = missing;
    touched_ = true;
    outbox.count("fetch.short");
  }
  drop(stream);
}

void FetchDesk::drop(StreamId stream) {
  auto found = fetches_.find(stream);
  if (found == fetches_.end()) return;
  if (found->second.joined) book(found->second, -1);
  fetches_.erase(found);
}

void FetchDesk::hear(const UsageNotification& note, MonotonicTime now) {
  Others& others = noted_[note.front];
  others.heard = now;
  others.links.clear();
  others.mixes = note.mixes;
  for (const auto& usage : note.links) {
    others.links[usage.link] = usage;
    auto book = books_.find(usage.link);
    if (book != books_.end() && usage.missing > 0) book->second.shortSinceRun = true;
  }
  touched_ = true;
}

void FetchDesk::tick(const Setup& setup, MonotonicTime now, Outbox& outbox) {
  std::erase_if(noted_, [&](const auto& entry) { return now - entry.second.heard > seconds(6); });
  smooth(now);
  // Reruns come on notes, reports and the timer; notes of many fronts share one rerun.
  bool due = now >= nextRun_ || (touched_ && now - lastRun_ >= milliseconds(250));
  if (due && !setup.rungs.empty()) rerun(setup, now, outbox);
}

void FetchDesk::rerun(const Setup& setup, MonotonicTime now, Outbox& outbox) {
  nextRun_ = now + options_.planEvery;
  lastRun_ = now;
  touched_ = false;
  for (auto& [link, book] : books_) {  // a clean rerun lets the plan use a little more
    if (book.usedSinceRun && !book.shortSinceRun)
      book.fraction = std::min(book.fraction + options_.capacityRise, options_.capacityTop);
    book.usedSinceRun = book.shortSinceRun = false;
  }
  plan_ = settleNow(setup, nullptr, now);
  refreshBooks(now);
  outbox.count("fetch.reruns");
}

UsageNotification FetchDesk::makeNote(MemberId self, MonotonicTime now) const {
  std::map<LinkId, LinkUsage> usages;
  for (const auto& [stream, fetch] : fetches_) {
    double crossing = pathCrossing(fetch.want.links);
    for (const auto& link : fetch.want.links) {
      LinkUsage& usage = usages[link];
      usage.rate += fetch.rate * crossing;
      usage.demand += fetch.topRate * crossing;
      ++usage.streams;
    }
  }
  UsageNotification note{self, {}, {}};
  for (const auto& [key, count] : mixes_) {
    const auto& [path, className, floor, top] = key;
    note.mixes.push_back({className, floor, top, path, count});
    for (const auto& link : path) usages.try_emplace(link);
  }
  for (const auto& [link, book] : books_) {
    double eased = easedCut(book, now);
    if (book.missing > 0 || eased > 0.01) usages.try_emplace(link);
    auto usage = usages.find(link);
    if (usage == usages.end()) continue;
    usage->second.missing = book.missing;
    usage->second.fraction = book.fraction;
    usage->second.cut = eased;
  }
  for (auto& [link, usage] : usages) {
    usage.link = link;
    note.links.push_back(usage);
  }
  return note;
}

UsageNotification FetchDesk::note(MemberId self, const Setup&, MonotonicTime now) {
  UsageNotification note = makeNote(self, now);
  for (auto& [link, book] : books_) book.missing = 0;  // told once
  self_ = self;
  hear(note, now);  // this front plans with just what it told the others
  return note;
}

}  // namespace peppergate
