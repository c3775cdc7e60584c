// The outlier detection of EngineBook: ejects failing engines for a limited time.
#include <algorithm>

#include "engines/engine_book.h"

namespace peppergate {
namespace {

constexpr Duration kFirstUnreachableRest = seconds(0.3);
constexpr Duration kFirstStrikeRest = seconds(0.5);
// The first ejection after failures that several routers saw.
constexpr Duration kSharedRest = seconds(2);
constexpr Duration kLongestRest = seconds(5);
constexpr Duration kStrikesInARow = seconds(5);
constexpr Duration kOtherRest = seconds(5);   // unless a newer list arrives sooner
constexpr Duration kTrialLasts = seconds(2);  // after which another request may be tried
constexpr Duration kAccused = seconds(2);
constexpr int kStrikesToRest = 2;

/// A pseudo-random fraction in [0, 1) that depends on the engine and the time.
double spreadOf(const EngineId& engine, MonotonicTime now) {
  std::uint64_t mixed = std::hash<std::string>{}(engine.value) ^
                        static_cast<std::uint64_t>(now.microseconds) * 0x9e3779b97f4a7c15ULL;
  return static_cast<double>(mixed >> 48) / 0x10000;
}

}  // namespace

bool EngineBook::offered(const EngineState& engine) const {
  return !engine.listed.draining && !engine.loading && engine.otherAt == kNever;
}

bool EngineBook::usable(const EngineState& engine, MonotonicTime now) const {
  if (engine.listed.draining || engine.loading || now < engine.fullUntil) return false;
  if (now < engine.lastResortUntil) return true;
  if (now < engine.restUntil) return false;
  return !engine.trial || now - engine.trialSince > kTrialLasts;
}

bool EngineBook::mayStrikeOut(const EngineState& engine, MonotonicTime now) const {
  const auto& engines = of(engine.listed.service);
  auto resting = std::ranges::count_if(engines, [&](const EngineState* other) {
    return other != &engine && other->restsByStrikes && now < other->restUntil;
  });
  return 2 * (static_cast<std::size_t>(resting) + 1) <= engines.size();
}

void EngineBook::rest(EngineState& engine, Duration& length, Duration first, MonotonicTime now) {
  length = std::clamp(length * 2, first, kLongestRest);
  engine.restUntil = std::max(engine.restUntil, now + length);
  engine.trial = true;
  engine.trialSince = kNever;
}

void EngineBook::strike(EngineState& engine, bool certain, MonotonicTime now) {
  if (now < engine.restUntil) return;  // many attempts that fail at once count as one failure
  engine.strikes = now - engine.struckAt <= kStrikesInARow ? engine.strikes + 1 : 1;
  engine.struckAt = now;
  if (!certain && !engine.trial && engine.strikes < kStrikesToRest) return;
  if (!mayStrikeOut(engine, now)) return;
  rest(engine, engine.strikeRest, kFirstStrikeRest, now);
  engine.restsByStrikes = true;
}

void EngineBook::ended(const EngineId& id, AttemptEnd how, std::int64_t prefillTokens,
                       bool hadFirst, MonotonicTime now) {
  EngineState* engine = find(id);
  if (!engine) return;
  engine->ownRunning = std::max<std::int64_t>(0, engine->ownRunning - 1);
  ++engine->endedSinceTold;
  if (!hadFirst) {
    engine->ownPrefillTokens = std::max<std::int64_t>(0, engine->ownPrefillTokens - prefillTokens);
    engine->tokensSinceTold = std::max<std::int64_t>(0, engine->tokensSinceTold - prefillTokens);
  }
  bool failed = false;
  switch (how) {
    case AttemptEnd::kGood:
      engine->strikes = 0;
      engine->trial = false;
      engine->unreachableRest = {};
      engine->strikeRest = engine->strikeRest * 0.5;
      engine->accusers.clear();
      ++engine->answersToTell;
      break;
    case AttemptEnd::kUnreachable:
      failed = engine->unreachableToTell = true;
      if (now < engine->restUntil && (!engine->restsByStrikes || engine->otherAt != kNever)) break;
      rest(*engine, engine->unreachableRest, kFirstUnreachableRest, now);
      engine->restsByStrikes = false;
      break;
    case AttemptEnd::kBroken:
    case AttemptEnd::kGarbled:
    case AttemptEnd::kSilent:
      failed = true;
      strike(*engine, false, now);
      break;
    case AttemptEnd::kFull:
      // Jitter: engines that are full at the same time become usable again at different times.
      engine->fullUntil = now + milliseconds(50) + milliseconds(100) * spreadOf(id, now);
      engine->trial = false;  // it responds
      break;
    case AttemptEnd::kOtherEngine:
      engine->otherAt = now;
      engine->restUntil = now + kOtherRest;
      engine->trial = true;
      engine->trialSince = kNever;
      chooseLastResort(*engine, now);
      break;
    case AttemptEnd::kClientGone:
      engine->trialSince = kNever;  // inconclusive: another request may be tried
      break;
  }
  if (!failed) return;
  engine->failedAt = now;
  // Timeouts aren't reported to others: queues and slow links cause them too, and if all routers
  // avoided such engines, the queues of the other engines would grow further.
  if (how != AttemptEnd::kSilent) {
    ++engine->failuresToTell;
    troubled_.insert(id);
  }
  chooseLastResort(*engine, now);
}

void EngineBook::hear(const Address& from, const EngineTrouble& trouble, MonotonicTime now) {
  EngineState* engine = find(trouble.engine);
  if (!engine || (!trouble.unreachable && trouble.failures == 0)) return;
  std::erase_if(engine->accusers, [&](const auto& entry) { return now - entry.second > kAccused; });
  engine->accusers[from] = now;
  bool own = engine->strikes > 0 && now - engine->struckAt <= kStrikesInARow;
  if (!own && engine->accusers.size() < 2) return;
  engine->failedAt = std::max(engine->failedAt, now);
  // Several routers saw the failure: the retries of all of them would add up.
  if (!trouble.unreachable) engine->strikeRest = std::max(engine->strikeRest, kSharedRest * 0.5);
  strike(*engine, true, now);
  chooseLastResort(*engine, now);
}

void EngineBook::chooseLastResort(const EngineState& engine, MonotonicTime now) {
  auto found = byService_.find(engine.listed.service);
  if (found != byService_.end()) chooseLastResort(found->second, now);
}

void EngineBook::chooseLastResort(Service& service, MonotonicTime now) {
  if (service.lastResort) service.lastResort->lastResortUntil = kNever;
  service.lastResort = nullptr;
  EngineState* chosen = nullptr;
  MonotonicTime firstBack = kForever;
  for (EngineState* engine : service.engines) {
    if (!offered(*engine)) continue;
    if (now >= engine->restUntil) return;  // one is usable
    firstBack = std::min(firstBack, engine->restUntil);
    if (!chosen || engine->failedAt < chosen->failedAt) chosen = engine;
  }
  if (!chosen) return;
  chosen->lastResortUntil = firstBack;
  service.lastResort = chosen;
}

}  // namespace peppergate
