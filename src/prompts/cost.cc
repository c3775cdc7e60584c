#include "prompts/cost.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr double kSafePart = 0.6;          // fraction of the target below which an estimate is safe
constexpr double kSteep = 4;               // slope from there to the target
constexpr double kMoveMs = 2;              // fixed overhead of a fetch
constexpr double kLongestMoveWait = 2000;  // engines start no fetch that would wait longer

int priceOf(int crossing) { return crossing >= 10 ? 3 : crossing; }

}  // namespace

double latenessCost(double firstEventMs, double targetMs) {
  double safe = kSafePart * targetMs;
  double risk = std::clamp(firstEventMs - safe, 0.0, targetMs - safe);
  return firstEventMs + kSteep * risk;
}

CandidateCost costOf(const CandidateNumbers& is, const CostWeights& weights) {
  CandidateCost cost;
  double linkMs = is.linkMegabytes > 0 ? 1000 / is.linkMegabytes : 0;
  bool collects =
      is.collects && is.reach > is.kept && linkMs > 0 && is.linkWait <= kLongestMoveWait;
  double begin = collects ? is.reach : is.kept;
  cost.moved = collects ? is.reach - is.kept : 0;
  cost.toRead = std::max(0.0, is.prompt - begin);
  double megabytes = cost.moved * is.tokenMegabytes;
  double moveMs = collects ? kMoveMs + is.linkWait + megabytes * linkMs * is.crossing : 0;
  double full = std::clamp(is.running / std::max(1.0, is.slots), 0.0, 1.0);
  cost.waitMs = is.queueTokens / is.speed + full * full * weights.fullBatchMs;
  cost.firstEventMs = cost.waitMs + moveMs + cost.toRead / is.speed;
  cost.total = latenessCost(cost.firstEventMs, weights.targetMs);
  // Shared blocks: computed again though cached elsewhere, or first computed away from their home.
  double known = std::min(std::max(is.reach, is.kept), is.shared);
  cost.total += std::max(0.0, known - begin) * weights.rereadToken;
  cost.total +=
      std::max(0.0, is.shared - std::max(known, begin)) * weights.firstReadToken * is.away;
  cost.total += std::max(0.0, known - std::min(is.kept, known)) * weights.copiedToken;
  cost.total += megabytes / 1000 * weights.movedGigabyte * priceOf(is.crossing);
  if (is.otherZone) cost.total += weights.otherZone;
  if (is.olderWeights) cost.total += weights.olderWeights;
  if (is.room > 0) {
    double over = is.used + (is.prompt - std::min(begin, is.shared)) + is.answerOut - is.room;
    cost.total += std::clamp(over / is.room, 0.0, 1.0) * weights.memoryOver;
  }
  return cost;
}

double roomForecastMs(double running, double slots, double waiting) {
  double ahead = std::max(0.0, running + waiting - slots + 1);
  return 50 + 450 * std::clamp(ahead / std::max(1.0, slots) * 4, 0.0, 1.0);
}

}  // namespace peppergate
