// Selects which engines load next and how many at once, and reports the status.
#include "engines/rollout.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace peppergate {
namespace {

constexpr Duration kFirstLoadTime = seconds(1.5);  // assumed until one was measured
constexpr Duration kLastResort = seconds(1.5);  // before the deadline: running requests are cut off
constexpr double kLoadSmoothing = 0.4;
constexpr std::array<std::string_view, 4> kPhaseNames{"announced", "ordering", "loading",
                                                      "checking"};

}  // namespace

Rollout::Rollout(const Options& options, Lister& lister)
    : options_(options), lister_(lister), namings_(options.weightsWithin) {}

void Rollout::begin(Epoch epoch, MonotonicTime now) {
  epoch_ = epoch;
  steps_.clear();
  orders_.clear();
  reports_.clear();
  aside_.clear();
  // A new term mostly follows a control failure, so the full grace time is granted again.
  namings_.restart(now);
  named_.clear();
  dirty_ = true;
  done_ = false;
  // Nobody can have given an order before the fleet's first epoch.
  firstOrderAt_ = epoch.value <= 1 ? now : now + options_.orderLease;
  for (const auto& id : lister_.loadingNow()) {
    const Engine* engine = listed(id);
    if (!engine) continue;
    Step step;
    step.phase = Phase::kChecking;
    step.service = engine->service;
    step.address = engine->address;
    step.since = step.announcedAt = now;
    step.inherited = true;
    step.nextReport = now + seconds(0.5);
    steps_.emplace(id, step);
  }
}

bool Rollout::leadsOn(MonotonicTime now) const {
  return epoch_.value != 0 && fencedAt_ != epoch_ && now < heldUntil_;
}

void Rollout::noteNamings(const Models& named, MonotonicTime now) {
  if (named == named_) return;
  named_ = named;
  dirty_ = true;
  namings_.note(named, now, now);
}

const Engine* Rollout::listed(const EngineId& engine) const {
  const auto& engines = lister_.engines();
  auto found = std::ranges::lower_bound(engines, engine, {}, &Engine::id);
  return found != engines.end() && found->id == engine ? &*found : nullptr;
}

WeightsVersion Rollout::versionOf(const Engine& engine, const ModelName& model) const {
  auto told = engine.models.find(model);
  WeightsVersion version = told == engine.models.end() ? WeightsVersion{1} : told->second;
  auto known = known_.find(engine.id);
  if (known == known_.end()) return version;
  auto newer = known->second.find(model);
  return newer == known->second.end() ? version : std::max(version, newer->second);
}

MonotonicTime Rollout::deadlineOf(const ModelName& model, WeightsVersion version) const {
  MonotonicTime since = namings_.outdatedSince(model, version);
  return since == kForever ? kForever : since + options_.weightsWithin;
}

void Rollout::findWanted() {
  dirty_ = false;
  foundAt_ = lister_.version();
  wanted_.clear();
  sizes_.clear();
  std::map<std::pair<ServiceName, Zone>, std::size_t> places;
  std::vector<std::pair<std::size_t, Wanted>> placed;
  for (const auto& engine : lister_.engines()) {
    if (engine.draining) continue;
    ++sizes_[engine.service];
    std::size_t place = places[{engine.service, engine.zone}]++;
    for (const auto& [model, told] : engine.models) {
      auto target = named_.find(model);
      if (target == named_.end()) continue;
      WeightsVersion version = versionOf(engine, model);
      if (version >= target->second) continue;
      placed.push_back(
          {place, {engine.id, engine.service, model, target->second, deadlineOf(model, version)}});
      break;  // an engine loads one model at a time
    }
  }
  // The first engine of each zone, then the second of each, so that no zone is taken out at once.
  std::ranges::stable_sort(placed, {}, [](const auto& entry) { return entry.first; });
  for (auto& [place, wanted] : placed) wanted_.push_back(std::move(wanted));
  std::erase_if(known_, [&](const auto& entry) { return !listed(entry.first); });
  std::erase_if(aside_, [&](const auto& entry) { return !listed(entry.first); });
  std::erase_if(steps_, [&](const auto& entry) {
    const Engine* engine = listed(entry.first);
    return !engine || engine->address != entry.second.address;
  });
}

Duration Rollout::loadTime(const ServiceName& service) const {
  auto found = loadTimes_.find(service);
  return found == loadTimes_.end() ? kFirstLoadTime : found->second;
}

std::size_t Rollout::countAt(const ServiceName& service) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      steps_, [&](const auto& entry) { return entry.second.service == service; }));
}

std::size_t Rollout::loadsAllowed(MonotonicTime now) const {
  // The remaining work, in engine seconds, over the remaining time. Engines past their deadline
  // serve no requests until they have loaded, so they don't count.
  struct Left {
    double work = 0;
    MonotonicTime deadline = kForever;
  };
  std::map<ServiceName, Left> left;
  for (const auto& wanted : wanted_) {
    if (wanted.deadline < now || steps_.contains(wanted.engine)) continue;
    Left& service = left[wanted.service];
    service.work += inSeconds(loadTime(wanted.service));
    service.deadline = std::min(service.deadline, wanted.deadline);
  }
  for (const auto& [engine, step] : steps_) {
    auto service = left.find(step.service);
    if (service == left.end()) continue;
    double length = inSeconds(loadTime(step.service));
    service->second.work += std::max(0.1 * length, length - inSeconds(now - step.since));
  }
  double needed = 0;
  for (const auto& [name, service] : left) {
    double time = inSeconds(service.deadline - now - kLastResort);
    needed += time <= 0 ? static_cast<double>(wanted_.size()) : std::ceil(service.work / time);
  }
  return std::max(static_cast<std::size_t>(options_.loadsAtOnce), static_cast<std::size_t>(needed));
}

void Rollout::startNext(MonotonicTime now, Outbox& outbox) {
  if (now < firstOrderAt_) return;
  auto busy = static_cast<std::size_t>(
      std::ranges::count_if(steps_, [](const auto& entry) { return !entry.second.stuck; }));
  std::size_t allowed = loadsAllowed(now);
  for (const auto& wanted : wanted_) {
    if (steps_.contains(wanted.engine)) continue;
    auto aside = aside_.find(wanted.engine);
    if (aside != aside_.end() && now < aside->second.until) continue;
    bool lastResort = now >= wanted.deadline - kLastResort && now < wanted.deadline;
    bool room = busy < allowed &&
                countAt(wanted.service) < std::max<std::size_t>(1, sizes_[wanted.service] / 3);
    if (!room && !lastResort) continue;
    const Engine* engine = listed(wanted.engine);
    if (!engine) continue;
    Step step;
    step.service = wanted.service;
    step.address = engine->address;
    step.model = wanted.model;
    step.target = wanted.target;
    step.fence = epoch_.value;
    step.deadline = wanted.deadline;
    step.since = step.announcedAt = step.nextReport = now;
    if (aside != aside_.end() && aside->second.unsettled) step.phase = Phase::kChecking;
    steps_.emplace(wanted.engine, step);
    ++busy;
    outbox.count("rollout.started");
  }
}

void Rollout::tick(bool leads, Epoch epoch, MonotonicTime leaseUntil, const Weights& weights,
                   const std::string& holder, MonotonicTime now, Outbox& outbox) {
  if (!leads) {
    leaseUntil_ = kNever;
    namings_.note(weights.models, now, now);
    return;
  }
  leaseUntil_ = leaseUntil;
  holder_ = holder;
  if (epoch != epoch_) {
    if (leadsOn(now)) epoch_ = epoch;
    else begin(epoch, now);
  }
  heldUntil_ = leaseUntil;
  if (fencedAt_ == epoch_) {  // a newer leader exists and runs the rollout
    lister_.loading({}, now, outbox);
    return;
  }
  noteNamings(weights.models, now);
  if (dirty_ || lister_.version() != foundAt_) findWanted();
  for (auto entry = steps_.begin(); entry != steps_.end();) {
    auto next = std::next(entry);  // a step may remove itself
    advance(entry->first, entry->second, now, outbox);
    entry = next;
  }
  if (dirty_) findWanted();
  startNext(now, outbox);
  std::vector<EngineId> loading;
  for (const auto& [engine, step] : steps_) loading.push_back(engine);
  lister_.loading(std::move(loading), now, outbox);
  // The change just made needs no new search.
  if (lister_.version() != foundAt_) foundAt_ = lister_.version();
  bool was = done_;
  done_ = wanted_.empty() && steps_.empty() && lister_.version().value != 0;
  if (done_ && !was && !named_.empty())
    outbox.push(NoteState{"all engines run the target weights"});
}

void Rollout::finish(const EngineId& engine, bool loaded, MonotonicTime now) {
  auto found = steps_.find(engine);
  if (found == steps_.end()) return;
  Step step = found->second;
  steps_.erase(found);
  aside_.erase(engine);
  dirty_ = true;
  if (!loaded || step.inherited) return;
  known_[engine][step.model] = std::max(known_[engine][step.model], step.target);
  if (step.orderedAt == kNever) return;
  Duration took = now - step.orderedAt + seconds(0.12);
  auto [mean, first] = loadTimes_.try_emplace(step.service, took);
  if (!first) mean->second = mean->second * (1 - kLoadSmoothing) + took * kLoadSmoothing;
}

void Rollout::setAside(const EngineId& engine, Duration wait, MonotonicTime now) {
  auto found = steps_.find(engine);
  if (found == steps_.end()) return;
  Phase phase = found->second.phase;
  aside_[engine] = {now + wait, phase == Phase::kLoading || phase == Phase::kChecking};
  steps_.erase(found);
  dirty_ = true;
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
          {"fenced", fencedAt_ == epoch_},
          {"pending", wanted_.size()},
          {"loading", std::move(loading)},
          {"loadSeconds", std::move(times)},
          {"firstOrderIn", std::max(0.0, inSeconds(firstOrderAt_ - now))}};
}

}  // namespace peppergate
