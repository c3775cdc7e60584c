// The registry's entries, its load estimates, and the reports that routers exchange.
#include "engines/engine_book.h"

#include <algorithm>
#include <cmath>

namespace peppergate {
namespace {

constexpr Duration kToldLasts = seconds(2);
constexpr Duration kNotedLasts = seconds(2);
constexpr Duration kOtherSettles = seconds(1);  // an earlier list may contain the old engine
constexpr double kSmoothing = 0.2;
constexpr double kShortestDrainMs = 50;  // shortest decay time of the prefill that others reported

void smooth(double& mean, double value) {
  mean = mean == 0 ? value : mean + kSmoothing * (value - mean);
}

void lower(std::int64_t& count, std::int64_t by) { count = std::max<std::int64_t>(0, count - by); }

}  // namespace

void EngineBook::take(const std::vector<Engine>& engines, ListVersion version, MonotonicTime now) {
  std::set<EngineId> listed;
  for (const auto& engine : engines) {
    listed.insert(engine.id);
    auto [entry, added] = engines_.try_emplace(engine.id);
    EngineState& state = entry->second;
    if (added || engine.warmupLeft == Duration{}) state.warmUntil = now + engine.warmupLeft;
    state.listed = engine;
    for (const auto& [model, weights] : engine.models)
      state.models[model] = std::max(state.models[model], weights);
    if (now - state.otherAt > kOtherSettles && state.otherAt != kNever) {
      state.otherAt = kNever;  // a later list contains it again
      state.restUntil = now;
    }
  }
  std::erase_if(engines_, [&](const auto& entry) { return !listed.contains(entry.first); });
  version_ = version;
  listedAt_ = now;
  byService_.clear();
  for (auto& [id, state] : engines_) byService_[state.listed.service].engines.push_back(&state);
  for (auto& [id, state] : engines_) {
    state.noted.clear();
    state.lastResortUntil = kNever;
  }
  for (const auto& [front, noted] : noted_) addNoted(noted.use, noted.heard);
  loading(loading_, now);
}

void EngineBook::loading(const std::vector<EngineId>& engines, MonotonicTime now) {
  loading_ = engines;
  for (auto& [id, state] : engines_)
    state.loading = std::ranges::find(engines, id) != engines.end();
  for (auto& [name, service] : byService_) chooseLastResort(service, now);
}

void EngineBook::confirmed(MonotonicTime when) { listedAt_ = std::max(listedAt_, when); }

const std::vector<EngineState*>& EngineBook::of(const ServiceName& service) const {
  static const std::vector<EngineState*> kNone;
  auto found = byService_.find(service);
  return found == byService_.end() ? kNone : found->second.engines;
}

EngineState* EngineBook::find(const EngineId& engine) {
  auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second;
}

const EngineState* EngineBook::find(const EngineId& engine) const {
  auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second;
}

double EngineBook::queueTokens(const EngineState& engine, MonotonicTime now) const {
  auto noted = static_cast<double>(engine.ownPrefillTokens);
  double drainMs = std::max(kShortestDrainMs, firstEventMean_);
  for (const auto& [front, use] : engine.noted)
    noted += static_cast<double>(use.prefillTokens) *
             std::exp(-inSeconds(now - use.heard) * 1e3 / drainMs);
  if (!engine.told) return noted;
  // Waiting requests are assumed to have the mean prompt size that this router has seen. The
  // estimate is at least what this router itself sent there and that has no first event yet.
  double told = static_cast<double>(engine.told->waiting) * prefillMean_ +
                static_cast<double>(engine.tokensSinceTold);
  return std::max(noted, told);
}

double EngineBook::running(const EngineState& engine, MonotonicTime now) const {
  auto noted = static_cast<double>(engine.ownRunning);
  for (const auto& [front, use] : engine.noted) noted += static_cast<double>(use.running);
  if (!engine.told) return noted;
  double weight = 1 - inSeconds(now - engine.toldAt) / inSeconds(kToldLasts);
  if (weight <= 0) return noted;
  auto told = static_cast<double>(engine.told->running + engine.told->waiting +
                                  engine.sentSinceTold - engine.endedSinceTold);
  return std::max(static_cast<double>(engine.ownRunning), weight * told + (1 - weight) * noted);
}

void EngineBook::firstEvent(const EngineId& engine, std::int64_t prefillTokens, Duration took) {
  EngineState* state = find(engine);
  if (!state) return;
  lower(state->ownPrefillTokens, prefillTokens);
  lower(state->tokensSinceTold, prefillTokens);
  smooth(state->firstEventMs, inSeconds(took) * 1e3);
  if (prefillTokens > 0) smooth(firstEventMean_, inSeconds(took) * 1e3);
  state->trial = false;  // failures are only reset by a complete response
}

void EngineBook::eventGap(const EngineId& engine, Duration gap) {
  if (EngineState* state = find(engine)) smooth(state->eventGapMs, inSeconds(gap) * 1e3);
}

void EngineBook::sent(const EngineId& engine, std::int64_t prefillTokens) {
  smooth(prefillMean_, static_cast<double>(prefillTokens));
  EngineState* state = find(engine);
  if (!state) return;
  ++state->ownRunning;
  ++state->sentSinceTold;
  state->ownPrefillTokens += prefillTokens;
  state->tokensSinceTold += prefillTokens;
  if (state->trial && now_ >= state->restUntil) state->trialSince = now_;
}

void EngineBook::told(const EngineId& engine, const EngineLoad& load, MonotonicTime now) {
  EngineState* state = find(engine);
  if (!state) return;
  state->told = load;
  state->toldAt = now;
  state->sentSinceTold = state->endedSinceTold = state->tokensSinceTold = 0;
}

void EngineBook::toldVersion(const EngineId& engine, const ModelName& model,
                             WeightsVersion version) {
  if (EngineState* state = find(engine))
    state->models[model] = std::max(state->models[model], version);
}

void EngineBook::closes(const EngineId& engine, bool leaving) {
  if (EngineState* state = find(engine))
    state->closesInARow = leaving ? state->closesInARow + 1 : 0;
}

void EngineBook::addNoted(const EngineUse& use, MonotonicTime heard) {
  std::size_t count = std::min({use.engines.size(), use.running.size(), use.prefillTokens.size()});
  for (std::size_t index = 0; index < count; ++index)
    if (EngineState* state = find(use.engines[index]))
      state->noted[use.front] = {use.running[index], use.prefillTokens[index], heard};
}

void EngineBook::removeNoted(const EngineUse& use) {
  for (const auto& engine : use.engines)
    if (EngineState* state = find(engine)) state->noted.erase(use.front);
}

void EngineBook::hear(const EngineUse& use, MonotonicTime now) {
  auto [entry, added] = noted_.try_emplace(use.front);
  if (!added) removeNoted(entry->second.use);
  entry->second = {now, use};
  addNoted(use, now);
}

void EngineBook::tick(MonotonicTime now) {
  now_ = now;
  std::erase_if(noted_, [&](const auto& entry) {
    if (now - entry.second.heard <= kNotedLasts) return false;
    removeNoted(entry.second.use);
    return true;
  });
}

std::optional<EngineUse> EngineBook::use(MemberId self) {
  EngineUse use;
  use.front = self;
  for (const auto& [id, state] : engines_) {
    if (state.ownRunning == 0) continue;
    use.engines.push_back(id);
    use.running.push_back(state.ownRunning);
    use.prefillTokens.push_back(state.ownPrefillTokens);
  }
  bool same = use.engines == lastUse_.engines && use.running == lastUse_.running &&
              use.prefillTokens == lastUse_.prefillTokens;
  // Receivers drop reports after a while, so an unchanged one is repeated every second time.
  repeatUse_ = same && !repeatUse_;
  if (same && (use.engines.empty() || repeatUse_)) return std::nullopt;
  lastUse_ = use;
  return use;
}

std::vector<EngineTrouble> EngineBook::troubles() {
  std::vector<EngineTrouble> notes;
  for (const auto& id : troubled_) {
    EngineState* state = find(id);
    if (!state) continue;
    notes.push_back({id, state->failuresToTell, state->answersToTell, state->unreachableToTell});
    state->failuresToTell = state->answersToTell = 0;
    state->unreachableToTell = false;
  }
  troubled_.clear();
  return notes;
}

}  // namespace peppergate
