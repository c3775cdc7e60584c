// Selects which engines load next and how many at once, and reports the status.
#include "engines/rollout.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace peppergate {
namespace {

constexpr Duration kDefaultLoadTime = seconds(1.5);  // assumed until one was measured
constexpr Duration kLastResortMargin =
    seconds(1.5);  // before the deadline: running requests are cut off
constexpr double kLoadSmoothing = 0.4;
constexpr std::array<std::string_view, 4> kPhaseNames{"announced", "ordering", "loading",
                                                      "checking"};

}  // namespace

Rollout::Rollout(const Options& options, EngineDiscovery& discovery)
    : options_(options), discovery_(discovery), targetHistory_(options.weightsWithin) {}

void Rollout::startTerm(Epoch epoch, MonotonicTime now) {
  epoch_ = epoch;
  steps_.clear();
  openOrders_.clear();
  openReports_.clear();
  deferred_.clear();
  // A new term mostly follows a control failure, so the full grace time is granted again.
  targetHistory_.restartBefore(now);
  targets_.clear();
  needsSearch_ = true;
  done_ = false;
  // Nobody can have given an order before the fleet's first epoch.
  firstOrderAllowedAt_ = epoch.value <= 1 ? now : now + options_.orderLease;
  for (const auto& id : discovery_.loadingEngines()) {
    const Engine* engine = findListed(id);
    if (!engine) continue;
    LoadStep step;
    step.phase = Phase::kChecking;
    step.service = engine->service;
    step.address = engine->address;
    step.since = step.announcedAt = now;
    step.inherited = true;
    step.nextReportAt = now + seconds(0.5);
    steps_.emplace(id, step);
  }
}

bool Rollout::continuesLeadership(MonotonicTime now) const {
  return epoch_.value != 0 && fencedEpoch_ != epoch_ && now < lastLeaseEnd_;
}

void Rollout::recordTargets(const Models& targets, MonotonicTime now) {
  if (targets == targets_) return;
  targets_ = targets;
  needsSearch_ = true;
  targetHistory_.record(targets, now, now);
}

const Engine* Rollout::findListed(const EngineId& engine) const {
  const auto& engines = discovery_.engines();
  auto found = std::ranges::lower_bound(engines, engine, {}, &Engine::id);
  return found != engines.end() && found->id == engine ? &*found : nullptr;
}

WeightsVersion Rollout::versionOf(const Engine& engine, const ModelName& model) const {
  auto listedVersion = engine.models.find(model);
  WeightsVersion version =
      listedVersion == engine.models.end() ? WeightsVersion{1} : listedVersion->second;
  auto knownModels = knownVersions_.find(engine.id);
  if (knownModels == knownVersions_.end()) return version;
  auto newer = knownModels->second.find(model);
  return newer == knownModels->second.end() ? version : std::max(version, newer->second);
}

MonotonicTime Rollout::deadlineOf(const ModelName& model, WeightsVersion version) const {
  MonotonicTime since = targetHistory_.outdatedSince(model, version);
  return since == kForever ? kForever : since + options_.weightsWithin;
}

void Rollout::findPendingLoads() {
  needsSearch_ = false;
  searchedVersion_ = discovery_.version();
  pendingLoads_.clear();
  serviceSizes_.clear();
  std::map<std::pair<ServiceName, Zone>, std::size_t> zonePositions;
  std::vector<std::pair<std::size_t, PendingLoad>> ordered;
  for (const auto& engine : discovery_.engines()) {
    if (engine.draining) continue;
    ++serviceSizes_[engine.service];
    std::size_t position = zonePositions[{engine.service, engine.zone}]++;
    for (const auto& [model, listedVersion] : engine.models) {
      auto target = targets_.find(model);
      if (target == targets_.end()) continue;
      WeightsVersion version = versionOf(engine, model);
      if (version >= target->second) continue;
      ordered.push_back(
          {position,
           {engine.id, engine.service, model, target->second, deadlineOf(model, version)}});
      break;  // an engine loads one model at a time
    }
  }
  // The first engine of each zone, then the second of each, so that no zone is taken out at once.
  std::ranges::stable_sort(ordered, {}, [](const auto& entry) { return entry.first; });
  for (auto& [position, pending] : ordered) pendingLoads_.push_back(std::move(pending));
  std::erase_if(knownVersions_, [&](const auto& entry) { return !findListed(entry.first); });
  std::erase_if(deferred_, [&](const auto& entry) { return !findListed(entry.first); });
  std::erase_if(steps_, [&](const auto& entry) {
    const Engine* engine = findListed(entry.first);
    return !engine || engine->address != entry.second.address;
  });
}

Duration Rollout::loadTime(const ServiceName& service) const {
  auto found = loadTimes_.find(service);
  return found == loadTimes_.end() ? kDefaultLoadTime : found->second;
}

std::size_t Rollout::loadsInService(const ServiceName& service) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      steps_, [&](const auto& entry) { return entry.second.service == service; }));
}

std::size_t Rollout::loadsAllowed(MonotonicTime now) const {
  // The remaining work, in engine seconds, over the remaining time. Engines past their deadline
  // serve no requests until they have loaded, so they don't count.
  struct RemainingWork {
    double work = 0;
    MonotonicTime deadline = kForever;
  };
  std::map<ServiceName, RemainingWork> remaining;
  for (const auto& pending : pendingLoads_) {
    if (pending.deadline < now || steps_.contains(pending.engine)) continue;
    RemainingWork& service = remaining[pending.service];
    service.work += inSeconds(loadTime(pending.service));
    service.deadline = std::min(service.deadline, pending.deadline);
  }
  for (const auto& [engine, step] : steps_) {
    auto service = remaining.find(step.service);
    if (service == remaining.end()) continue;
    double length = inSeconds(loadTime(step.service));
    service->second.work += std::max(0.1 * length, length - inSeconds(now - step.since));
  }
  double needed = 0;
  for (const auto& [name, service] : remaining) {
    double time = inSeconds(service.deadline - now - kLastResortMargin);
    needed +=
        time <= 0 ? static_cast<double>(pendingLoads_.size()) : std::ceil(service.work / time);
  }
  return std::max(static_cast<std::size_t>(options_.loadsAtOnce), static_cast<std::size_t>(needed));
}

void Rollout::startNext(MonotonicTime now, Outbox& outbox) {
  if (now < firstOrderAllowedAt_) return;
  auto active = static_cast<std::size_t>(
      std::ranges::count_if(steps_, [](const auto& entry) { return !entry.second.stuck; }));
  std::size_t allowed = loadsAllowed(now);
  for (const auto& pending : pendingLoads_) {
    if (steps_.contains(pending.engine)) continue;
    auto deferral = deferred_.find(pending.engine);
    if (deferral != deferred_.end() && now < deferral->second.until) continue;
    bool lastResort = now >= pending.deadline - kLastResortMargin && now < pending.deadline;
    bool hasCapacity =
        active < allowed && loadsInService(pending.service) <
                                std::max<std::size_t>(1, serviceSizes_[pending.service] / 3);
    if (!hasCapacity && !lastResort) continue;
    const Engine* engine = findListed(pending.engine);
    if (!engine) continue;
    LoadStep step;
    step.service = pending.service;
    step.address = engine->address;
    step.model = pending.model;
    step.target = pending.target;
    step.fencingToken = epoch_.value;
    step.deadline = pending.deadline;
    step.since = step.announcedAt = step.nextReportAt = now;
    if (deferral != deferred_.end() && deferral->second.mayBeInProgress)
      step.phase = Phase::kChecking;
    steps_.emplace(pending.engine, step);
    ++active;
    outbox.count("rollout.started");
  }
}

void Rollout::tick(bool isLeader, Epoch epoch, MonotonicTime leaseUntil, const Weights& weights,
                   const std::string& holder, MonotonicTime now, Outbox& outbox) {
  if (!isLeader) {
    leaseUntil_ = kNever;
    targetHistory_.record(weights.models, now, now);
    return;
  }
  leaseUntil_ = leaseUntil;
  holder_ = holder;
  if (epoch != epoch_) {
    if (continuesLeadership(now)) epoch_ = epoch;
    else startTerm(epoch, now);
  }
  lastLeaseEnd_ = leaseUntil;
  if (fencedEpoch_ == epoch_) {  // a newer leader exists and runs the rollout
    discovery_.setLoading({}, now, outbox);
    return;
  }
  recordTargets(weights.models, now);
  if (needsSearch_ || discovery_.version() != searchedVersion_) findPendingLoads();
  for (auto entry = steps_.begin(); entry != steps_.end();) {
    auto next = std::next(entry);  // a step may remove itself
    advance(entry->first, entry->second, now, outbox);
    entry = next;
  }
  if (needsSearch_) findPendingLoads();
  startNext(now, outbox);
  std::vector<EngineId> loading;
  for (const auto& [engine, step] : steps_) loading.push_back(engine);
  discovery_.setLoading(std::move(loading), now, outbox);
  // The change just made needs no new search.
  if (discovery_.version() != searchedVersion_) searchedVersion_ = discovery_.version();
  bool wasDone = done_;
  done_ = pendingLoads_.empty() && steps_.empty() && discovery_.version().value != 0;
  if (done_ && !wasDone && !targets_.empty())
    outbox.push(LogState{"all engines run the target weights"});
}

void Rollout::finish(const EngineId& engine, bool loaded, MonotonicTime now) {
  auto found = steps_.find(engine);
  if (found == steps_.end()) return;
  LoadStep step = found->second;
  steps_.erase(found);
  deferred_.erase(engine);
  needsSearch_ = true;
  if (!loaded || step.inherited) return;
  knownVersions_[engine][step.model] = std::max(knownVersions_[engine][step.model], step.target);
  if (step.orderSentAt == kNever) return;
  Duration took = now - step.orderSentAt + seconds(0.12);
  auto [entry, added] = loadTimes_.try_emplace(step.service, took);
  if (!added) entry->second = entry->second * (1 - kLoadSmoothing) + took * kLoadSmoothing;
}

void Rollout::deferLoad(const EngineId& engine, Duration delay, MonotonicTime now) {
  auto found = steps_.find(engine);
  if (found == steps_.end()) return;
  Phase phase = found->second.phase;
  deferred_[engine] = {now + delay, phase == Phase::kLoading || phase == Phase::kChecking};
  steps_.erase(found);
  needsSearch_ = true;
}

Json Rollout::status(MonotonicTime now) const {
  Json loading = Json::array();
  for (const auto& [engine, step] : steps_)
    loading.push_back({{"engine", engine.value},
                       {"model", step.model.value},
                       {"version", step.target.value},
                       {"phase", kPhaseNames[static_cast<std::size_t>(step.phase)]},
                       {"seconds", inSeconds(now - step.since)}});
  Json times = Json::object();
  for (const auto& [service, time] : loadTimes_) times[service.value] = inSeconds(time);
  return {{"done", done_},
          {"epoch", epoch_.value},
          {"fenced", fencedEpoch_ == epoch_},
          {"pending", pendingLoads_.size()},
          {"loading", std::move(loading)},
          {"loadSeconds", std::move(times)},
          {"firstOrderIn", std::max(0.0, inSeconds(firstOrderAllowedAt_ - now))}};
}

}  // namespace peppergate
