#include "requests/attempt_budget.h"

namespace peppergate {
namespace {
constexpr Duration kBucket = milliseconds(100);
constexpr Duration kFrontMemory = seconds(60);
/// The longest delay between counting an attempt here and its arrival at the engine: the time to
/// open a new connection.
constexpr Duration kArrivesWithin = milliseconds(600);
constexpr double kRounding = 1e-9;

/// The number of buckets for which a retry counts: the window, the delay until it reaches the
/// engine, and the bucket that the window covers only in part.
std::int64_t furtherSpan(const BudgetTerms& terms) {
  return (terms.window + kArrivesWithin).microseconds / kBucket.microseconds + 1;
}

/// The number of buckets for which a first attempt counts: two windows, less the delay until it
/// reaches the engine and the buckets that the windows cover only in part.
std::int64_t firstSpan(const BudgetTerms& terms) {
  return (terms.window * 2 - kArrivesWithin).microseconds / kBucket.microseconds - 1;
}
}  // namespace

std::int64_t AttemptBudget::bucketOf(MonotonicTime time) {
  std::int64_t width = kBucket.microseconds;
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

void AttemptBudget::Counts::forget(std::int64_t before) {
  while (!buckets.empty() && buckets.front().number < before) {
    sum -= buckets.front().count;
    buckets.pop_front();
  }
}

void AttemptBudget::forget(const BudgetTerms& terms, MonotonicTime now) {
  firsts_.forget(bucketOf(now) - firstSpan(terms) + 1);
  furthers_.forget(bucketOf(now) - furtherSpan(terms) + 1);
}

bool AttemptBudget::allows(const BudgetTerms& terms, MonotonicTime now) {
  forget(terms, now);
  const std::int64_t current = bucketOf(now);
  std::int64_t firsts = firsts_.sum;
  std::int64_t furthers = furthers_.sum + 1;
  auto fits = [&] {
    double allowed =
        0.5 * terms.share * static_cast<double>(firsts) + static_cast<double>(terms.slack);
    return static_cast<double>(furthers) <= allowed + kRounding;
  };
  if (!fits()) return false;
  // No further first attempts may follow, while those counted now leave their two windows one by
  // one. The limit has to hold at each such moment until this retry has left its own window.
  auto oldest = furthers_.buckets.begin();
  for (const Bucket& paying : firsts_.buckets) {
    std::int64_t leaves = paying.number + firstSpan(terms);
    if (leaves >= current + furtherSpan(terms)) break;
    for (; oldest != furthers_.buckets.end() && oldest->number + furtherSpan(terms) <= leaves;
         ++oldest)
      furthers -= oldest->count;
    firsts -= paying.count;
    if (!fits()) return false;
  }
  return true;
}

void FrontCount::see(std::size_t fronts, MonotonicTime now) {
  if (now - since_ >= kFrontMemory) {
    former_ = now - since_ < kFrontMemory * 2 ? current_ : 0;
    current_ = 0;
    since_ = now;
  }
  current_ = std::max(current_, fronts);
}

}  // namespace peppergate
