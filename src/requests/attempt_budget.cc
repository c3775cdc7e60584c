#include "requests/attempt_budget.h"

namespace peppergate {
namespace {
constexpr Duration kBucketWidth = milliseconds(100);
constexpr Duration kRouterCountPeriod = seconds(60);
/// The longest delay between counting an attempt here and its arrival at the engine: the time to
/// open a new connection.
constexpr Duration kMaxArrivalDelay = milliseconds(600);
constexpr double kRoundingTolerance = 1e-9;

/// The number of buckets for which a retry counts: the window, the delay until it reaches the
/// engine, and the bucket that the window covers only in part.
std::int64_t retrySpanBuckets(const BudgetTerms& terms) {
  return (terms.window + kMaxArrivalDelay).microseconds / kBucketWidth.microseconds + 1;
}

/// The number of buckets for which a first attempt counts: two windows, less the delay until it
/// reaches the engine and the buckets that the windows cover only in part.
std::int64_t firstAttemptSpanBuckets(const BudgetTerms& terms) {
  return (terms.window * 2 - kMaxArrivalDelay).microseconds / kBucketWidth.microseconds - 1;
}
}  // namespace

std::int64_t AttemptBudget::bucketOf(MonotonicTime time) {
  std::int64_t width = kBucketWidth.microseconds;
  std::int64_t number = time.microseconds / width;
  return time.microseconds % width < 0 ? number - 1 : number;
}

void AttemptBudget::Counts::add(std::int64_t number) {
  if (buckets.empty() || buckets.back().number < number) buckets.push_back({number, 0});
  ++buckets.back().count;
  ++sum;
}

void AttemptBudget::Counts::remove(std::int64_t number) {
  auto found = std::ranges::lower_bound(buckets, number, {}, &Bucket::number);
  if (found == buckets.end() || found->number != number || found->count == 0) return;
  --found->count;
  --sum;
}

void AttemptBudget::Counts::expire(std::int64_t before) {
  while (!buckets.empty() && buckets.front().number < before) {
    sum -= buckets.front().count;
    buckets.pop_front();
  }
}

void AttemptBudget::expire(const BudgetTerms& terms, MonotonicTime now) {
  firstAttempts_.expire(bucketOf(now) - firstAttemptSpanBuckets(terms) + 1);
  retries_.expire(bucketOf(now) - retrySpanBuckets(terms) + 1);
}

bool AttemptBudget::allowsRetry(const BudgetTerms& terms, MonotonicTime now) {
  expire(terms, now);
  const std::int64_t currentBucket = bucketOf(now);
  std::int64_t firstAttempts = firstAttempts_.sum;
  std::int64_t retries = retries_.sum + 1;
  auto fits = [&] {
    double allowed =
        0.5 * terms.share * static_cast<double>(firstAttempts) + static_cast<double>(terms.slack);
    return static_cast<double>(retries) <= allowed + kRoundingTolerance;
  };
  if (!fits()) return false;
  // No further first attempts may follow, while those counted now leave their two windows one by
  // one. The limit has to hold at each such moment until this retry has left its own window.
  auto oldestRetry = retries_.buckets.begin();
  for (const Bucket& firstBucket : firstAttempts_.buckets) {
    std::int64_t expiresAt = firstBucket.number + firstAttemptSpanBuckets(terms);
    if (expiresAt >= currentBucket + retrySpanBuckets(terms)) break;
    for (; oldestRetry != retries_.buckets.end() &&
           oldestRetry->number + retrySpanBuckets(terms) <= expiresAt;
         ++oldestRetry)
      retries -= oldestRetry->count;
    firstAttempts -= firstBucket.count;
    if (!fits()) return false;
  }
  return true;
}

void RouterCount::record(std::size_t routers, MonotonicTime now) {
  if (now - periodStart_ >= kRouterCountPeriod) {
    previousPeriodMax_ = now - periodStart_ < kRouterCountPeriod * 2 ? currentPeriodMax_ : 0;
    currentPeriodMax_ = 0;
    periodStart_ = now;
  }
  currentPeriodMax_ = std::max(currentPeriodMax_, routers);
}

}  // namespace peppergate
