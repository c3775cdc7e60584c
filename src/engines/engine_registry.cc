// The registry's entries, its load estimates, and the reports that routers exchange.
#include "engines/engine_registry.h"

#include <algorithm>
#include <cmath>

namespace peppergate {
namespace {

constexpr Duration kReportedLoadLifetime = seconds(2);
constexpr Duration kPeerLoadLifetime = seconds(2);
constexpr Duration kAddressReuseSettles = seconds(1);  // an earlier list may contain the old engine
constexpr double kSmoothing = 0.2;
constexpr double kShortestDrainMs = 50;  // shortest decay time of the prefill that others reported

void smooth(double& mean, double value) {
  mean = mean == 0 ? value : mean + kSmoothing * (value - mean);
}

void subtractToZero(std::int64_t& count, std::int64_t by) {
  count = std::max<std::int64_t>(0, count - by);
}

}  // namespace

void EngineRegistry::update(const std::vector<Engine>& engines, ListVersion version,
                            MonotonicTime now) {
  std::set<EngineId> listed;
  for (const auto& engine : engines) {
    listed.insert(engine.id);
    auto [entry, added] = engines_.try_emplace(engine.id);
    EngineState& state = entry->second;
    if (added || engine.warmupLeft == Duration{}) state.warmUntil = now + engine.warmupLeft;
    state.listed = engine;
    for (const auto& [model, weights] : engine.models)
      state.models[model] = std::max(state.models[model], weights);
    if (now - state.addressReusedAt > kAddressReuseSettles && state.addressReusedAt != kNever) {
      state.addressReusedAt = kNever;  // a later list contains it again
      state.ejectedUntil = now;
    }
  }
  std::erase_if(engines_, [&](const auto& entry) { return !listed.contains(entry.first); });
  version_ = version;
  listedAt_ = now;
  byService_.clear();
  for (auto& [id, state] : engines_) byService_[state.listed.service].engines.push_back(&state);
  for (auto& [id, state] : engines_) {
    state.peerLoads.clear();
    state.lastResortUntil = kNever;
  }
  for (const auto& [front, noted] : peerReports_) addPeerLoads(noted.use, noted.heard);
  setLoading(loadingEngines_, now);
}

void EngineRegistry::setLoading(const std::vector<EngineId>& engines, MonotonicTime now) {
  loadingEngines_ = engines;
  for (auto& [id, state] : engines_)
    state.loading = std::ranges::find(engines, id) != engines.end();
  for (auto& [name, service] : byService_) chooseLastResort(service, now);
}

void EngineRegistry::confirm(MonotonicTime when) { listedAt_ = std::max(listedAt_, when); }

const std::vector<EngineState*>& EngineRegistry::enginesOf(const ServiceName& service) const {
  static const std::vector<EngineState*> kNone;
  auto found = byService_.find(service);
  return found == byService_.end() ? kNone : found->second.engines;
}

EngineState* EngineRegistry::find(const EngineId& engine) {
  auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second;
}

const EngineState* EngineRegistry::find(const EngineId& engine) const {
  auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second;
}

double EngineRegistry::queuedPrefillTokens(const EngineState& engine, MonotonicTime now) const {
  auto fromRouters = static_cast<double>(engine.ownPrefillTokens);
  double drainMs = std::max(kShortestDrainMs, meanFirstEventMs_);
  for (const auto& [front, use] : engine.peerLoads)
    fromRouters += static_cast<double>(use.prefillTokens) *
                   std::exp(-inSeconds(now - use.receivedAt) * 1e3 / drainMs);
  if (!engine.reportedLoad) return fromRouters;
  // Waiting requests are assumed to have the mean prompt size that this router has seen. The
  // estimate is at least what this router itself sent there and that has no first event yet.
  double fromEngine = static_cast<double>(engine.reportedLoad->waiting) * meanPrefillTokens_ +
                      static_cast<double>(engine.prefillTokensSinceReport);
  return std::max(fromRouters, fromEngine);
}

double EngineRegistry::runningRequests(const EngineState& engine, MonotonicTime now) const {
  auto fromRouters = static_cast<double>(engine.ownRunning);
  for (const auto& [front, use] : engine.peerLoads) fromRouters += static_cast<double>(use.running);
  if (!engine.reportedLoad) return fromRouters;
  double weight = 1 - inSeconds(now - engine.reportedLoadAt) / inSeconds(kReportedLoadLifetime);
  if (weight <= 0) return fromRouters;
  auto fromEngine =
      static_cast<double>(engine.reportedLoad->running + engine.reportedLoad->waiting +
                          engine.sentSinceReport - engine.endedSinceReport);
  return std::max(static_cast<double>(engine.ownRunning),
                  weight * fromEngine + (1 - weight) * fromRouters);
}

void EngineRegistry::recordFirstEvent(const EngineId& engine, std::int64_t prefillTokens,
                                      Duration elapsed) {
  EngineState* state = find(engine);
  if (!state) return;
  subtractToZero(state->ownPrefillTokens, prefillTokens);
  subtractToZero(state->prefillTokensSinceReport, prefillTokens);
  smooth(state->firstEventMs, inSeconds(elapsed) * 1e3);
  if (prefillTokens > 0) smooth(meanFirstEventMs_, inSeconds(elapsed) * 1e3);
  state->onTrial = false;  // failures are only reset by a complete response
}

void EngineRegistry::recordEventGap(const EngineId& engine, Duration gap) {
  if (EngineState* state = find(engine)) smooth(state->eventGapMs, inSeconds(gap) * 1e3);
}

void EngineRegistry::recordAttemptSent(const EngineId& engine, std::int64_t prefillTokens) {
  smooth(meanPrefillTokens_, static_cast<double>(prefillTokens));
  EngineState* state = find(engine);
  if (!state) return;
  ++state->ownRunning;
  ++state->sentSinceReport;
  state->ownPrefillTokens += prefillTokens;
  state->prefillTokensSinceReport += prefillTokens;
  if (state->onTrial && now_ >= state->ejectedUntil) state->trialStartedAt = now_;
}

void EngineRegistry::recordLoad(const EngineId& engine, const EngineLoad& load, MonotonicTime now) {
  EngineState* state = find(engine);
  if (!state) return;
  state->reportedLoad = load;
  state->reportedLoadAt = now;
  state->sentSinceReport = state->endedSinceReport = state->prefillTokensSinceReport = 0;
}

void EngineRegistry::recordVersion(const EngineId& engine, const ModelName& model,
                                   WeightsVersion version) {
  if (EngineState* state = find(engine))
    state->models[model] = std::max(state->models[model], version);
}

void EngineRegistry::recordConnectionClose(const EngineId& engine, bool closed) {
  if (EngineState* state = find(engine))
    state->consecutiveCloses = closed ? state->consecutiveCloses + 1 : 0;
}

void EngineRegistry::addPeerLoads(const EngineUsageNotification& use, MonotonicTime heard) {
  std::size_t count = std::min({use.engines.size(), use.running.size(), use.prefillTokens.size()});
  for (std::size_t index = 0; index < count; ++index)
    if (EngineState* state = find(use.engines[index]))
      state->peerLoads[use.router] = {use.running[index], use.prefillTokens[index], heard};
}

void EngineRegistry::removePeerLoads(const EngineUsageNotification& use) {
  for (const auto& engine : use.engines)
    if (EngineState* state = find(engine)) state->peerLoads.erase(use.router);
}

void EngineRegistry::handle(const EngineUsageNotification& use, MonotonicTime now) {
  auto [entry, added] = peerReports_.try_emplace(use.router);
  if (!added) removePeerLoads(entry->second.use);
  entry->second = {now, use};
  addPeerLoads(use, now);
}

void EngineRegistry::tick(MonotonicTime now) {
  now_ = now;
  std::erase_if(peerReports_, [&](const auto& entry) {
    if (now - entry.second.heard <= kPeerLoadLifetime) return false;
    removePeerLoads(entry.second.use);
    return true;
  });
}

std::optional<EngineUsageNotification> EngineRegistry::loadReport(MemberId self) {
  EngineUsageNotification report;
  report.router = self;
  for (const auto& [id, state] : engines_) {
    if (state.ownRunning == 0) continue;
    report.engines.push_back(id);
    report.running.push_back(state.ownRunning);
    report.prefillTokens.push_back(state.ownPrefillTokens);
  }
  bool same = report.engines == lastLoadReport_.engines &&
              report.running == lastLoadReport_.running &&
              report.prefillTokens == lastLoadReport_.prefillTokens;
  // Receivers drop reports after a while, so an unchanged one is repeated every second time.
  repeatLoadReport_ = same && !repeatLoadReport_;
  if (same && (report.engines.empty() || repeatLoadReport_)) return std::nullopt;
  lastLoadReport_ = report;
  return report;
}

std::vector<EngineFailureReport> EngineRegistry::takeFailureReports() {
  std::vector<EngineFailureReport> reports;
  for (const auto& id : enginesWithFailures_) {
    EngineState* state = find(id);
    if (!state) continue;
    reports.push_back(
        {id, state->failuresToReport, state->answersToReport, state->unreachableToReport});
    state->failuresToReport = state->answersToReport = 0;
    state->unreachableToReport = false;
  }
  enginesWithFailures_.clear();
  return reports;
}

}  // namespace peppergate
