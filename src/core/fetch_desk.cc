#include "core/fetch_desk.h"

#include <algorithm>
#include <cmath>

namespace peppergate {
namespace {

constexpr double kLeastNoted = 0.02;  // smoothed streams of a kind; lower counts are not reported

constexpr std::uint64_t kNotedStreams = 1ULL << 62;  // ids from here on represent reported streams

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
  const LinkTotal* total = notes_.total(link, now);
  if (total == nullptr) return 0;
  double rate = total->othersRate, demand = total->othersDemand;
  // An overloaded link is divided in proportion to demand, so that routers with different
  // information arrive at the same level; otherwise the others use what they reported.
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
    // Among equals the store comes last: other engines are nearer.
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
    // The new stream joins the group of its most congested link, with all running streams.
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
  std::erase_if(mixes_, [](const auto& entry) { return entry.second < kLeastNoted; });
}

// Uses the reports of all routers, so that each computes the same capacity: the mean of the
// reported fractions, and the largest reported cut.
double FetchDesk::capacityOf(const LinkBook& book, const LinkTotal* total) const {
  if (total == nullptr) return book.told * options_.capacityStart;
  return book.told * total->meanFraction(options_.capacityStart) * (1 - total->cut);
}

double FetchDesk::commonCapacity(const LinkId& link, MonotonicTime now) const {
  auto book = books_.find(link);
  return book == books_.end() ? 0 : capacityOf(book->second, notes_.total(link, now));
}

FetchDesk::NumberedLinks FetchDesk::numberedLinks(MonotonicTime now) const {
  NumberedLinks links;
  links.books.resize(notes_.linkCount());
  links.capacities.resize(notes_.linkCount());
  for (std::uint32_t number = 0; number < notes_.linkCount(); ++number) {
    auto book = books_.find({notes_.linkName(number)});
    if (book == books_.end()) continue;
    links.books[number] = &book->second;
    links.capacities[number] = capacityOf(book->second, &notes_.total(number, now));
  }
  return links;
}

double FetchDesk::crossingOf(const NumberedLinks& links, const MixNumbers& mix) const {
  if (mix.linkCount < 2) return 1;
  const LinkBook* source = links.books[mix.links[0]];
  const LinkBook* engine = links.books[mix.links[1]];
  return source == nullptr || engine == nullptr ? 1 : crossing(source->zone, engine->zone);
}

// Reported counts are means over time, and a new stream adds to them. Each count is therefore
// raised as if its most loaded link carried one more stream, and by a margin of the square root of
// its load.
std::vector<NotedMix> FetchDesk::raisedMixes(MonotonicTime now) const {
  std::vector<NotedMix> mixes = notes_.mixes(now);
  std::vector<double> crowd(notes_.linkCount());
  for (const auto& mix : mixes)
    for (std::uint32_t link : mix.numbers.path()) crowd[link] += mix.count;
  for (auto& mix : mixes) {
    double most = 0;
    for (std::uint32_t link : mix.numbers.path()) most = std::max(most, crowd[link]);
    if (most > 0) mix.count *= (most + 1 + std::sqrt(most)) / most;
  }
  return mixes;
}

PlanStream FetchDesk::streamOf(const Setup& setup, const std::string& className,
                               std::int64_t floorRung, std::int64_t topRung) const {
  auto last = static_cast<std::int64_t>(setup.rungs.size()) - 1;
  PlanStream stream;
  if (auto found = setup.classes.find(className); found != setup.classes.end())
    stream.tenantClass = found->second;
  stream.topRung = std::clamp<std::int64_t>(topRung, 0, last);
  stream.floorRung = std::clamp<std::int64_t>(floorRung, 0, stream.topRung);
  return stream;
}

// Plans the reported streams of all routers at once: equal reports give equal levels.
Plan FetchDesk::settleNow(const Setup& setup, const Fetch* joining, MonotonicTime now) const {
  NumberedLinks links = numberedLinks(now);
  std::optional<MixNumbers> joiningMix;
  if (joining != nullptr)
    joiningMix = notes_.find(joining->want.links, joining->className, joining->want.floorRung,
                             joining->want.topRung);
  std::vector<PlanStream> streams;
  std::map<LinkId, double> capacities;
  bool joined = false;
  for (const auto& mix : raisedMixes(now)) {
    const MixNumbers& numbers = mix.numbers;
    PlanStream stream =
        streamOf(setup, notes_.className(numbers.className), numbers.floorRung, numbers.topRung);
    bool joins = joiningMix == numbers;
    joined = joined || joins;
    stream.stream = joins ? joining->want.stream : StreamId{kNotedStreams + streams.size()};
    for (std::uint32_t link : numbers.path()) stream.links.push_back({notes_.linkName(link)});
    stream.count = mix.count * crossingOf(links, numbers);  // times the weight of its transfers
    streams.push_back(std::move(stream));
  }
  for (std::uint32_t number = 0; number < links.books.size(); ++number)
    if (links.books[number] != nullptr)
      capacities[{notes_.linkName(number)}] = links.capacities[number];
  if (joining != nullptr && !joined) {
    const PlanStream& want = joining->want;
    PlanStream stream = streamOf(setup, joining->className, want.floorRung, want.topRung);
    stream.stream = want.stream;
    stream.links = want.links;
    stream.count = pathCrossing(want.links);
    for (const auto& link : want.links) capacities[link] = commonCapacity(link, now);
    streams.push_back(std::move(stream));
  }
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
    // If the fetch was planned under the last cut and was slow all the same, both cuts multiply.
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
  notes_.hear(note, now);
  for (const auto& usage : note.links) {
    if (usage.missing <= 0) continue;
    if (auto book = books_.find(usage.link); book != books_.end())
      book->second.shortSinceRun = true;
  }
  touched_ = true;
}

void FetchDesk::tick(const Setup& setup, MonotonicTime now, Outbox& outbox) {
  notes_.expire(now);
  smooth(now);
  // Besides the timer, notifications and snapshots cause reruns; those of many routers share one.
  bool due = now >= nextRun_ || (touched_ && now - lastRun_ >= milliseconds(250));
  if (due && !setup.rungs.empty()) rerun(setup, now, outbox);
}

void FetchDesk::rerun(const Setup& setup, MonotonicTime now, Outbox& outbox) {
  nextRun_ = now + options_.planEvery;
  lastRun_ = now;
  touched_ = false;
  for (auto& [link, book] : books_) {  // use more of a link without slow deliveries
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
  for (auto& [link, book] : books_) book.missing = 0;  // reported once
  notes_.setSelf(self);
  hear(note, now);  // this router plans with exactly what it reported
  return note;
}

}  // namespace peppergate
