// FetchPlanner: reserves the transfers of single requests at the levels of the last rerun.
#include <algorithm>
#include <limits>

#include "core/fetch_planner.h"

namespace peppergate {
namespace {

constexpr Duration kMaxDeliveryTime = milliseconds(100);  // upper bound over a link without load

}  // namespace

int FetchPlanner::transferWeight(const Zone& from, const Zone& to) const {
  if (from == to || from.value.empty() || to.value.empty()) return 1;
  auto one = regions_.find(from), other = regions_.find(to);
  bool apart = one != regions_.end() && other != regions_.end() && one->second != other->second;
  return apart ? 10 : 2;
}

double FetchPlanner::pathWeight(const std::vector<LinkId>& path) const {
  // The first two links are those of the source and the engine; their zones give the weight.
  if (path.size() < 2) return 1;
  auto source = links_.find(path[0]), engine = links_.find(path[1]);
  if (source == links_.end() || engine == links_.end()) return 1;
  return transferWeight(source->second.zone, engine->second.zone);
}

double FetchPlanner::freeCapacity(const LinkId& link) const {
  auto found = links_.find(link);
  if (found == links_.end()) return 0;
  return found->second.sharedCapacity - found->second.othersRate - found->second.reservedRate;
}

std::optional<EngineId> FetchPlanner::selectSource(std::span<const EngineId> holders,
                                                   const EngineId& engine) const {
  std::optional<EngineId> best;
  double bestAvailable = 0;
  for (const auto& holder : holders) {
    auto link = linkOf(holder);
    if (holder == engine || !links_.contains(link)) continue;
    // The free capacity of a remote holder is divided by the weight of its transfers.
    double available = freeCapacity(link) / pathWeight({link, linkOf(engine)});
    if (holder == storeId()) available -= 1e-3;
    if (!best || available > bestAvailable) {
      best = holder;
      bestAvailable = available;
    }
  }
  return best;
}

double FetchPlanner::waitSeconds(const EngineId& engine) const {
  auto found = links_.find(linkOf(engine));
  if (found == links_.end() || found->second.listedCapacity <= 0) return 0;
  return found->second.pendingMegabytes / found->second.listedCapacity;
}

const GroupResult* FetchPlanner::groupOf(const std::vector<LinkId>& path) const {
  const GroupResult* group = nullptr;
  for (const auto& link : path) {
    auto found = groups_.find(link);
    if (found == groups_.end()) continue;
    const GroupResult& one = plan_.groups[found->second];
    if (group == nullptr || one.ratio > group->ratio) group = &one;
  }
  return group;
}

std::optional<std::int64_t> FetchPlanner::reserve(Fetch fetch, const Setup& setup,
                                                  MonotonicTime now, Outbox& outbox) {
  if (setup.rungs.empty()) return std::nullopt;
  auto last = static_cast<std::int64_t>(setup.rungs.size()) - 1;
  PlanStream& planStream = fetch.planStream;
  planStream.topRung = std::clamp<std::int64_t>(planStream.topRung, 0, last);
  planStream.floorRung = std::clamp<std::int64_t>(planStream.floorRung, 0, planStream.topRung);
  auto rateOfRung = [&](std::int64_t rung) {
    return setup.rungs[static_cast<std::size_t>(rung)].rate;
  };
  double weight = pathWeight(planStream.links);
  bool fits = std::ranges::all_of(planStream.links, [&](const LinkId& link) {
    return rateOfRung(planStream.floorRung) * weight <= freeCapacity(link);
  });
  std::int64_t rung = options_.planMode == 1 ? planStream.floorRung : planStream.topRung;
  fetch.bottleneck = planStream.links.front();
  if (const GroupResult* group = groupOf(planStream.links); group != nullptr) {
    fetch.bottleneck = group->link;
    fits = fits && (group->fits || group->total <= group->capacity);
    if (options_.planMode == 0) rung = highestRungWithin(setup.rungs, planStream, group->level);
  } else if (options_.planMode == 0) {  // no stream crosses these links yet: a group of its own
    std::map<LinkId, double> capacities;
    for (const auto& link : planStream.links) capacities[link] = std::max(0.0, freeCapacity(link));
    PlanStream alone = planStream;
    alone.count = weight;
    FetchPlan plan = computeFetchPlan({&alone, 1}, setup.rungs, capacities, options_);
    fits = fits && plan.groups.front().fits;
    fetch.bottleneck = plan.groups.front().link;
    rung = plan.shares.at(planStream.stream).rung;
  }
  if (!fits && options_.planMode == 0) {
    outbox.count("fetch.noRoom");
    return std::nullopt;
  }
  if (options_.planMode == 0) rung = limitRungChanges(fetch, rung, fetch.bottleneck, now, outbox);
  fetch.rung = rung;
  fetch.rate = rateOfRung(rung);
  fetch.topRate = rateOfRung(planStream.topRung);
  fetch.sentAt = now;
  fetch.reserved = true;
  for (const auto& link : planStream.links)
    if (auto found = links_.find(link); found != links_.end()) found->second.usedSinceRun = true;
  StreamId stream = planStream.stream;
  remove(stream);
  updateReservations(fetch, 1);
  fetches_[stream] = std::move(fetch);
  outbox.count("fetch.begun");
  outbox.count("fetch.rung." + std::to_string(rung));
  return rung;
}

void FetchPlanner::updateReservations(const Fetch& fetch, double sign) {
  double weight = pathWeight(fetch.planStream.links);
  for (const auto& link : fetch.planStream.links) {
    auto found = links_.find(link);
    if (found == links_.end()) continue;
    found->second.reservedRate =
        std::max(0.0, found->second.reservedRate + sign * fetch.rate * weight);
    found->second.pendingMegabytes =
        std::max(0.0, found->second.pendingMegabytes +
                          (fetch.assumedDelivered ? 0 : sign * fetch.megabytes * weight));
  }
}

void FetchPlanner::refreshLinks(MonotonicTime now) {
  groups_.clear();
  for (std::size_t index = 0; index < plan_.groups.size(); ++index)
    groups_[plan_.groups[index].link] = index;
  for (auto& [link, state] : links_) {
    const LinkTotal* total = usageTable_.total(link, now);
    state.sharedCapacity = capacityOf(state, total);
    state.othersRate = total == nullptr ? 0 : total->othersRate;
    state.reservedRate = state.pendingMegabytes = 0;
  }
  for (auto& [stream, fetch] : fetches_) {
    if (!fetch.reserved) continue;
    fetch.assumedDelivered = fetch.assumedDelivered || now - fetch.sentAt > kMaxDeliveryTime;
    updateReservations(fetch, 1);
  }
}

}  // namespace peppergate
