#include "prompts/cost.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr double kSafeFraction = 0.6;   // fraction of the target below which an estimate is safe
constexpr double kRiskSlope = 4;        // slope from there to the target
constexpr double kFetchOverheadMs = 2;  // fixed overhead of a fetch
constexpr double kLongestFetchWaitMs = 2000;  // engines start no fetch that would wait longer

int distancePrice(int distanceFactor) { return distanceFactor >= 10 ? 3 : distanceFactor; }

}  // namespace

double latenessCost(double firstEventMs, double targetMs) {
  double safe = kSafeFraction * targetMs;
  double risk = std::clamp(firstEventMs - safe, 0.0, targetMs - safe);
  return firstEventMs + kRiskSlope * risk;
}

CandidateCost costOf(const CandidateInputs& inputs, const CostWeights& weights) {
  CandidateCost cost;
  double linkMs = inputs.linkMegabytesPerSecond > 0 ? 1000 / inputs.linkMegabytesPerSecond : 0;
  bool fetches = inputs.mayFetch && inputs.sourceTokens > inputs.cachedTokens && linkMs > 0 &&
                 inputs.linkWaitMs <= kLongestFetchWaitMs;
  double prefixTokens = fetches ? inputs.sourceTokens : inputs.cachedTokens;
  cost.fetchedTokens = fetches ? inputs.sourceTokens - inputs.cachedTokens : 0;
  cost.prefillTokens = std::max(0.0, inputs.promptTokens - prefixTokens);
  double megabytes = cost.fetchedTokens * inputs.megabytesPerToken;
  double fetchMs =
      fetches ? kFetchOverheadMs + inputs.linkWaitMs + megabytes * linkMs * inputs.distanceFactor
              : 0;
  double batchShare = std::clamp(inputs.running / std::max(1.0, inputs.slots), 0.0, 1.0);
  cost.waitMs =
      inputs.queuedTokens / inputs.prefillSpeed + batchShare * batchShare * weights.fullBatchMs;
  cost.firstEventMs = cost.waitMs + fetchMs + cost.prefillTokens / inputs.prefillSpeed;
  cost.total = latenessCost(cost.firstEventMs, weights.targetMs);
  // Shared blocks: computed again though cached elsewhere, or first computed away from their home.
  double cachedSharedTokens =
      std::min(std::max(inputs.sourceTokens, inputs.cachedTokens), inputs.sharedTokens);
  cost.total += std::max(0.0, cachedSharedTokens - prefixTokens) * weights.recomputedToken;
  cost.total += std::max(0.0, inputs.sharedTokens - std::max(cachedSharedTokens, prefixTokens)) *
                weights.misplacedToken * inputs.homeDistance;
  cost.total +=
      std::max(0.0, cachedSharedTokens - std::min(inputs.cachedTokens, cachedSharedTokens)) *
      weights.duplicatedToken;
  cost.total += megabytes / 1000 * weights.fetchedGigabyte * distancePrice(inputs.distanceFactor);
  if (inputs.otherZone) cost.total += weights.otherZone;
  if (inputs.olderWeights) cost.total += weights.olderWeights;
  if (inputs.capacityTokens > 0) {
    double excessTokens = inputs.usedTokens +
                          (inputs.promptTokens - std::min(prefixTokens, inputs.sharedTokens)) +
                          inputs.outputTokens - inputs.capacityTokens;
    cost.total +=
        std::clamp(excessTokens / inputs.capacityTokens, 0.0, 1.0) * weights.memoryOvercommit;
  }
  return cost;
}

double freeSlotForecastMs(double running, double slots, double waiting) {
  double ahead = std::max(0.0, running + waiting - slots + 1);
  return 50 + 450 * std::clamp(ahead / std::max(1.0, slots) * 4, 0.0, 1.0);
}

}  // namespace peppergate
