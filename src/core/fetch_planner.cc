#include "core/fetch_planner.h"

#include <algorithm>
#include <cmath>

namespace peppergate {
namespace {

constexpr double kMinReportedStreams =
    0.02;  // smoothed streams of a kind; lower counts are not reported

constexpr std::uint64_t kFirstReportedStreamId =
    1ULL << 62;  // ids from here on represent reported streams

LinkId rackLink(const std::string& rack) { return {"rack:" + rack}; }

}  // namespace

void FetchPlanner::updateLinks(const EngineList& list) {
  std::map<LinkId, LinkConfig> configured;
  for (const auto& [id, engine] : list.engines) configured[linkOf(id)] = {engine.linkCapacity, {}};
  for (const auto& [rack, uplink] : list.racks) configured[rackLink(rack)] = {uplink, {}};
  updateLinks(configured);
}

void FetchPlanner::updateLinks(const std::map<LinkId, LinkConfig>& configured) {
  std::erase_if(links_, [&](const auto& entry) { return !configured.contains(entry.first); });
  std::erase_if(rungStates_,
                [&](const auto& entry) { return !configured.contains(entry.first.second); });
  for (const auto& [link, config] : configured) {
    auto [state, inserted] = links_.try_emplace(link);
    state->second.listedCapacity = config.capacity;
    state->second.zone = config.zone;
    if (!inserted) continue;
    state->second.usableFraction = options_.capacityStart;
    state->second.sharedCapacity = config.capacity * options_.capacityStart;
  }
  rerunRequested_ = true;
}

std::vector<LinkId> FetchPlanner::pathOf(const EngineList& list, const EngineId& source,
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

double FetchPlanner::easedCut(const LinkState& state, MonotonicTime now) const {
  double eased =
      1 - std::clamp(inSeconds(now - state.capacityCutAt) / inSeconds(options_.cutEase), 0.0, 1.0);
  return state.capacityCut * eased;
}

double FetchPlanner::capacity(const LinkId& link, MonotonicTime now) const {
  auto found = links_.find(link);
  if (found == links_.end()) return 0;
  return found->second.listedCapacity * found->second.usableFraction *
         (1 - easedCut(found->second, now));
}

double FetchPlanner::ownDemand(const LinkId& link) const {
  double demand = 0;
  for (const auto& [stream, fetch] : fetches_)
    if (std::ranges::find(fetch.planStream.links, link) != fetch.planStream.links.end())
      demand += fetch.topRate * pathWeight(fetch.planStream.links);
  return demand;
}

double FetchPlanner::othersUse(const LinkId& link, double linkCapacity, double own,
                               MonotonicTime now) const {
  const LinkTotal* total = usageTable_.total(link, now);
  if (total == nullptr) return 0;
  double rate = total->othersRate, demand = total->othersDemand;
  // An overloaded link is divided in proportion to demand, so that routers with different
  // information arrive at the same level; otherwise the others use what they reported.
  if (own + demand > linkCapacity && demand > 0) return linkCapacity * demand / (own + demand);
  return std::min(rate, linkCapacity);
}

std::optional<EngineId> FetchPlanner::selectSource(std::span<const EngineId> holders,
                                                   const EngineList& list, const EngineId& engine,
                                                   const Setup&, MonotonicTime now) {
  std::optional<EngineId> best;
  double bestAvailable = 0;
  for (const auto& holder : holders) {
    if (holder == engine || !list.engines.contains(holder)) continue;
    double available = 1e18;
    for (const auto& link : pathOf(list, holder, engine)) {
      double linkCapacity = capacityForAll(link, now);
      double own = ownDemand(link);
      available = std::min(available, linkCapacity - own - othersUse(link, linkCapacity, own, now));
    }
    // Among equals the store comes last: other engines are nearer.
    if (holder == storeId()) available -= 1e-3;
    if (!best || available > bestAvailable) {
      best = holder;
      bestAvailable = available;
    }
  }
  return best;
}

std::int64_t FetchPlanner::limitRungChanges(const Fetch& fetch, std::int64_t rung,
                                            const LinkId& bottleneck, MonotonicTime now,
                                            Outbox& outbox) {
  auto [entry, inserted] =
      rungStates_.try_emplace({fetch.tenant, bottleneck}, RungState{rung, now});
  RungState& state = entry->second;
  if (!inserted && state.rung != rung && now - state.changedAt >= options_.rungPace) {
    state = {rung, now};
    ++rungChanges_;
    outbox.count("fetch.rungChanges");
  }
  return std::clamp(state.rung, fetch.planStream.floorRung, fetch.planStream.topRung);
}

std::int64_t FetchPlanner::start(Fetch fetch, const Setup& setup, MonotonicTime now,
                                 Outbox& outbox) {
  std::int64_t rung =
      options_.planMode == 1 ? fetch.planStream.floorRung : fetch.planStream.topRung;
  StreamId stream = fetch.planStream.stream;
  fetch.sentAt = now;
  fetch.bottleneck = fetch.planStream.links.front();
  for (const auto& link : fetch.planStream.links) links_[link].usedSinceRun = true;
  Fetch& started = fetches_[stream] = std::move(fetch);
  if (options_.planMode == 0) {
    // The new stream joins the group of its most congested link, with all running streams.
    plan_ = planAllStreams(setup, &started, now);
    const PlanShare& share = plan_.shares.at(stream);
    started.bottleneck = share.bottleneck;
    rung = limitRungChanges(started, share.rung, share.bottleneck, now, outbox);
  }
  started.rung = rung;
  started.rate = setup.rungs.at(static_cast<std::size_t>(rung)).rate;
  started.topRate = setup.rungs.at(static_cast<std::size_t>(started.planStream.topRung)).rate;
  outbox.count("fetch.begun");
  outbox.count("fetch.rung." + std::to_string(rung));
  return rung;
}

FetchPlanner::StreamKindKey FetchPlanner::kindOf(const Fetch& fetch) {
  return {fetch.planStream.links, fetch.className, fetch.planStream.floorRung,
          fetch.planStream.topRung};
}

void FetchPlanner::updateStreamCounts(MonotonicTime now) {
  double span = smoothedAt_ == kNever ? 0 : inSeconds(now - smoothedAt_);
  smoothedAt_ = now;
  double decay = std::exp(-span / inSeconds(options_.mixSmoothing));
  for (auto& [key, count] : streamCounts_) count *= decay;
  for (const auto& [stream, fetch] : fetches_) streamCounts_[kindOf(fetch)] += 1 - decay;
  std::erase_if(streamCounts_,
                [](const auto& entry) { return entry.second < kMinReportedStreams; });
}

// Uses the reports of all routers, so that each computes the same capacity: the mean of the
// reported fractions, and the largest reported cut.
double FetchPlanner::capacityOf(const LinkState& state, const LinkTotal* total) const {
  if (total == nullptr) return state.listedCapacity * options_.capacityStart;
  return state.listedCapacity * total->meanFraction(options_.capacityStart) * (1 - total->cut);
}

double FetchPlanner::capacityForAll(const LinkId& link, MonotonicTime now) const {
  auto state = links_.find(link);
  return state == links_.end() ? 0 : capacityOf(state->second, usageTable_.total(link, now));
}

FetchPlanner::NumberedLinks FetchPlanner::numberedLinks(MonotonicTime now) const {
  NumberedLinks links;
  links.states.resize(usageTable_.linkCount());
  links.capacities.resize(usageTable_.linkCount());
  for (std::uint32_t number = 0; number < usageTable_.linkCount(); ++number) {
    auto state = links_.find({usageTable_.linkName(number)});
    if (state == links_.end()) continue;
    links.states[number] = &state->second;
    links.capacities[number] = capacityOf(state->second, &usageTable_.total(number, now));
  }
  return links;
}

double FetchPlanner::streamWeight(const NumberedLinks& links, const StreamKind& kind) const {
  if (kind.linkCount < 2) return 1;
  const LinkState* source = links.states[kind.links[0]];
  const LinkState* engine = links.states[kind.links[1]];
  return source == nullptr || engine == nullptr ? 1 : transferWeight(source->zone, engine->zone);
}

// Reported counts are means over time, and a new stream adds to them. Each count is therefore
// raised as if its most loaded link carried one more stream, and by a margin of the square root of
// its load.
std::vector<StreamKindCount> FetchPlanner::raisedStreamCounts(MonotonicTime now) const {
  std::vector<StreamKindCount> counts = usageTable_.streamCounts(now);
  std::vector<double> linkLoads(usageTable_.linkCount());
  for (const auto& kindCount : counts)
    for (std::uint32_t link : kindCount.kind.path()) linkLoads[link] += kindCount.count;
  for (auto& kindCount : counts) {
    double highestLoad = 0;
    for (std::uint32_t link : kindCount.kind.path())
      highestLoad = std::max(highestLoad, linkLoads[link]);
    if (highestLoad > 0)
      kindCount.count *= (highestLoad + 1 + std::sqrt(highestLoad)) / highestLoad;
  }
  return counts;
}

PlanStream FetchPlanner::makePlanStream(const Setup& setup, const std::string& className,
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
FetchPlan FetchPlanner::planAllStreams(const Setup& setup, const Fetch* joining,
                                       MonotonicTime now) const {
  NumberedLinks links = numberedLinks(now);
  std::optional<StreamKind> joiningKind;
  if (joining != nullptr)
    joiningKind = usageTable_.find(joining->planStream.links, joining->className,
                                   joining->planStream.floorRung, joining->planStream.topRung);
  std::vector<PlanStream> streams;
  std::map<LinkId, double> capacities;
  bool joiningCounted = false;
  for (const auto& kindCount : raisedStreamCounts(now)) {
    const StreamKind& kind = kindCount.kind;
    PlanStream stream =
        makePlanStream(setup, usageTable_.className(kind.className), kind.floorRung, kind.topRung);
    bool joins = joiningKind == kind;
    joiningCounted = joiningCounted || joins;
    stream.stream =
        joins ? joining->planStream.stream : StreamId{kFirstReportedStreamId + streams.size()};
    for (std::uint32_t link : kind.path()) stream.links.push_back({usageTable_.linkName(link)});
    stream.count =
        kindCount.count * streamWeight(links, kind);  // times the weight of its transfers
    streams.push_back(std::move(stream));
  }
  for (std::uint32_t number = 0; number < links.states.size(); ++number)
    if (links.states[number] != nullptr)
      capacities[{usageTable_.linkName(number)}] = links.capacities[number];
  if (joining != nullptr && !joiningCounted) {
    const PlanStream& planStream = joining->planStream;
    PlanStream stream =
        makePlanStream(setup, joining->className, planStream.floorRung, planStream.topRung);
    stream.stream = planStream.stream;
    stream.links = planStream.links;
    stream.count = pathWeight(planStream.links);
    for (const auto& link : planStream.links) capacities[link] = capacityForAll(link, now);
    streams.push_back(std::move(stream));
  }
  return computeFetchPlan(streams, setup.rungs, capacities, options_);
}

void FetchPlanner::handleFirstEvent(StreamId stream, Duration baseline, MonotonicTime now,
                                    Outbox& outbox) {
  auto found = fetches_.find(stream);
  if (found == fetches_.end()) return;
  const Fetch& fetch = found->second;
  double expected = fetch.rate > 0 ? fetch.megabytes / fetch.rate : 0;
  double measured = inSeconds(now - fetch.sentAt) - inSeconds(baseline);
  bool slowDelivery = expected > 0 && measured > expected * 1.25 + 0.05;
  if (slowDelivery) {
    double shortfall = std::clamp(1 - expected / measured, 0.0, 0.9);
    LinkState& state = links_[fetch.bottleneck];
    // If the fetch was planned under the last cut and was slow all the same, both cuts multiply.
    double previousCut = easedCut(state, now);
    state.capacityCut = fetch.sentAt > state.capacityCutAt
                            ? std::min(0.9, 1 - (1 - previousCut) * (1 - shortfall))
                            : std::max(previousCut, shortfall);
    state.capacityCutAt = now;
    state.slowSinceRun = true;
    state.unreportedShortfall = shortfall;
    rerunRequested_ = true;
    outbox.count("fetch.short");
  }
  remove(stream);
}

void FetchPlanner::remove(StreamId stream) {
  auto found = fetches_.find(stream);
  if (found == fetches_.end()) return;
  if (found->second.reserved) updateReservations(found->second, -1);
  fetches_.erase(found);
}

void FetchPlanner::record(const LinkUsageNotification& notification, MonotonicTime now) {
  usageTable_.record(notification, now);
  for (const auto& usage : notification.links) {
    if (usage.undeliveredFraction <= 0) continue;
    if (auto state = links_.find(usage.link); state != links_.end())
      state->second.slowSinceRun = true;
  }
  rerunRequested_ = true;
}

void FetchPlanner::tick(const Setup& setup, MonotonicTime now, Outbox& outbox) {
  usageTable_.expire(now);
  updateStreamCounts(now);
  // Besides the timer, notifications and snapshots cause reruns; those of many routers share one.
  bool due = now >= nextRun_ || (rerunRequested_ && now - lastRun_ >= milliseconds(250));
  if (due && !setup.rungs.empty()) rerun(setup, now, outbox);
}

void FetchPlanner::rerun(const Setup& setup, MonotonicTime now, Outbox& outbox) {
  nextRun_ = now + options_.planEvery;
  lastRun_ = now;
  rerunRequested_ = false;
  for (auto& [link, state] : links_) {  // use more of a link without slow deliveries
    if (state.usedSinceRun && !state.slowSinceRun)
      state.usableFraction =
          std::min(state.usableFraction + options_.capacityRise, options_.capacityTop);
    state.usedSinceRun = state.slowSinceRun = false;
  }
  plan_ = planAllStreams(setup, nullptr, now);
  refreshLinks(now);
  outbox.count("fetch.reruns");
}

LinkUsageNotification FetchPlanner::buildNotification(MemberId self, MonotonicTime now) const {
  std::map<LinkId, LinkUsage> usages;
  for (const auto& [stream, fetch] : fetches_) {
    double weight = pathWeight(fetch.planStream.links);
    for (const auto& link : fetch.planStream.links) {
      LinkUsage& usage = usages[link];
      usage.rate += fetch.rate * weight;
      usage.demand += fetch.topRate * weight;
      ++usage.streams;
    }
  }
  LinkUsageNotification notification{self, {}, {}};
  for (const auto& [key, count] : streamCounts_) {
    const auto& [path, className, floor, top] = key;
    notification.streamMixes.push_back({className, floor, top, path, count});
    for (const auto& link : path) usages.try_emplace(link);
  }
  for (const auto& [link, state] : links_) {
    double cut = easedCut(state, now);
    if (state.unreportedShortfall > 0 || cut > 0.01) usages.try_emplace(link);
    auto usage = usages.find(link);
    if (usage == usages.end()) continue;
    usage->second.undeliveredFraction = state.unreportedShortfall;
    usage->second.usableFraction = state.usableFraction;
    usage->second.capacityReduction = cut;
  }
  for (auto& [link, usage] : usages) {
    usage.link = link;
    notification.links.push_back(usage);
  }
  return notification;
}

LinkUsageNotification FetchPlanner::makeNotification(MemberId self, const Setup&,
                                                     MonotonicTime now) {
  LinkUsageNotification notification = buildNotification(self, now);
  for (auto& [link, state] : links_) state.unreportedShortfall = 0;  // reported once
  usageTable_.setSelf(self);
  record(notification, now);  // this router plans with exactly what it reported
  return notification;
}

}  // namespace peppergate
