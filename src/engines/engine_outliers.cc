// The outlier detection of EngineRegistry: ejects failing engines for a limited time.
#include <algorithm>

#include "engines/engine_registry.h"

namespace peppergate {
namespace {

constexpr Duration kFirstUnreachableEjection = seconds(0.3);
constexpr Duration kFirstFailureEjection = seconds(0.5);
// The first ejection after failures that several routers saw.
constexpr Duration kSharedFailureEjection = seconds(2);
constexpr Duration kLongestEjection = seconds(5);
constexpr Duration kFailureWindow = seconds(5);
constexpr Duration kAddressReuseEjection = seconds(5);  // unless a newer list arrives sooner
constexpr Duration kTrialTimeout = seconds(2);          // after which another request may be tried
constexpr Duration kFailureReportLifetime = seconds(2);
constexpr int kFailuresToEject = 2;

/// A pseudo-random fraction in [0, 1) that depends on the engine and the time.
double jitterFraction(const EngineId& engine, MonotonicTime now) {
  std::uint64_t mixed = std::hash<std::string>{}(engine.value) ^
                        static_cast<std::uint64_t>(now.microseconds) * 0x9e3779b97f4a7c15ULL;
  return static_cast<double>(mixed >> 48) / 0x10000;
}

}  // namespace

bool EngineRegistry::isEligible(const EngineState& engine) const {
  return !engine.listed.draining && !engine.loading && engine.addressReusedAt == kNever;
}

bool EngineRegistry::usable(const EngineState& engine, MonotonicTime now) const {
  if (engine.listed.draining || engine.loading || now < engine.fullUntil) return false;
  if (now < engine.lastResortUntil) return true;
  if (now < engine.ejectedUntil) return false;
  return !engine.onTrial || now - engine.trialStartedAt > kTrialTimeout;
}

bool EngineRegistry::mayEject(const EngineState& engine, MonotonicTime now) const {
  const auto& engines = enginesOf(engine.listed.service);
  auto ejected = std::ranges::count_if(engines, [&](const EngineState* other) {
    return other != &engine && other->ejectedByFailures && now < other->ejectedUntil;
  });
  return 2 * (static_cast<std::size_t>(ejected) + 1) <= engines.size();
}

void EngineRegistry::eject(EngineState& engine, Duration& length, Duration first,
                           MonotonicTime now) {
  length = std::clamp(length * 2, first, kLongestEjection);
  engine.ejectedUntil = std::max(engine.ejectedUntil, now + length);
  engine.onTrial = true;
  engine.trialStartedAt = kNever;
}

void EngineRegistry::countFailure(EngineState& engine, bool confirmed, MonotonicTime now) {
  if (now < engine.ejectedUntil) return;  // many attempts that fail at once count as one failure
  engine.consecutiveFailures =
      now - engine.lastCountedFailureAt <= kFailureWindow ? engine.consecutiveFailures + 1 : 1;
  engine.lastCountedFailureAt = now;
  if (!confirmed && !engine.onTrial && engine.consecutiveFailures < kFailuresToEject) return;
  if (!mayEject(engine, now)) return;
  eject(engine, engine.failureEjection, kFirstFailureEjection, now);
  engine.ejectedByFailures = true;
}

void EngineRegistry::recordAttemptEnded(const EngineId& id, AttemptOutcome outcome,
                                        std::int64_t prefillTokens, bool hadFirst,
                                        MonotonicTime now) {
  EngineState* engine = find(id);
  if (!engine) return;
  engine->ownRunning = std::max<std::int64_t>(0, engine->ownRunning - 1);
  ++engine->endedSinceReport;
  if (!hadFirst) {
    engine->ownPrefillTokens = std::max<std::int64_t>(0, engine->ownPrefillTokens - prefillTokens);
    engine->prefillTokensSinceReport =
        std::max<std::int64_t>(0, engine->prefillTokensSinceReport - prefillTokens);
  }
  bool failed = false;
  switch (outcome) {
    case AttemptOutcome::kSuccess:
      engine->consecutiveFailures = 0;
      engine->onTrial = false;
      engine->unreachableEjection = {};
      engine->failureEjection = engine->failureEjection * 0.5;
      engine->failureReporters.clear();
      ++engine->answersToReport;
      break;
    case AttemptOutcome::kUnreachable:
      failed = engine->unreachableToReport = true;
      if (now < engine->ejectedUntil &&
          (!engine->ejectedByFailures || engine->addressReusedAt != kNever))
        break;
      eject(*engine, engine->unreachableEjection, kFirstUnreachableEjection, now);
      engine->ejectedByFailures = false;
      break;
    case AttemptOutcome::kConnectionBroken:
    case AttemptOutcome::kInvalidResponse:
    case AttemptOutcome::kTimeout:
      failed = true;
      countFailure(*engine, false, now);
      break;
    case AttemptOutcome::kAtCapacity:
      // Jitter: engines that are full at the same time become usable again at different times.
      engine->fullUntil = now + milliseconds(50) + milliseconds(100) * jitterFraction(id, now);
      engine->onTrial = false;  // it responds
      break;
    case AttemptOutcome::kWrongEngine:
      engine->addressReusedAt = now;
      engine->ejectedUntil = now + kAddressReuseEjection;
      engine->onTrial = true;
      engine->trialStartedAt = kNever;
      chooseLastResort(*engine, now);
      break;
    case AttemptOutcome::kClientDisconnected:
      engine->trialStartedAt = kNever;  // inconclusive: another request may be tried
      break;
  }
  if (!failed) return;
  engine->lastFailureAt = now;
  // Timeouts aren't reported to others: queues and slow links cause them too, and if all routers
  // avoided such engines, the queues of the other engines would grow further.
  if (outcome != AttemptOutcome::kTimeout) {
    ++engine->failuresToReport;
    enginesWithFailures_.insert(id);
  }
  chooseLastResort(*engine, now);
}

void EngineRegistry::handle(const Address& from, const EngineFailureReport& trouble,
                            MonotonicTime now) {
  EngineState* engine = find(trouble.engine);
  if (!engine || (!trouble.unreachable && trouble.failures == 0)) return;
  std::erase_if(engine->failureReporters,
                [&](const auto& entry) { return now - entry.second > kFailureReportLifetime; });
  engine->failureReporters[from] = now;
  bool hasOwnFailure =
      engine->consecutiveFailures > 0 && now - engine->lastCountedFailureAt <= kFailureWindow;
  if (!hasOwnFailure && engine->failureReporters.size() < 2) return;
  engine->lastFailureAt = std::max(engine->lastFailureAt, now);
  // Several routers saw the failure: the retries of all of them would add up.
  if (!trouble.unreachable)
    engine->failureEjection = std::max(engine->failureEjection, kSharedFailureEjection * 0.5);
  countFailure(*engine, true, now);
  chooseLastResort(*engine, now);
}

void EngineRegistry::chooseLastResort(const EngineState& engine, MonotonicTime now) {
  auto found = byService_.find(engine.listed.service);
  if (found != byService_.end()) chooseLastResort(found->second, now);
}

void EngineRegistry::chooseLastResort(Service& service, MonotonicTime now) {
  if (service.lastResort) service.lastResort->lastResortUntil = kNever;
  service.lastResort = nullptr;
  EngineState* chosen = nullptr;
  MonotonicTime earliestReturn = kForever;
  for (EngineState* engine : service.engines) {
    if (!isEligible(*engine)) continue;
    if (now >= engine->ejectedUntil) return;  // one is usable
    earliestReturn = std::min(earliestReturn, engine->ejectedUntil);
    if (!chosen || engine->lastFailureAt < chosen->lastFailureAt) chosen = engine;
  }
  if (!chosen) return;
  chosen->lastResortUntil = earliestReturn;
  service.lastResort = chosen;
}

}  // namespace peppergate
