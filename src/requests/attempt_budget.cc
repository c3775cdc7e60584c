#include "requests/attempt_budget.h"

namespace peppergate {
namespace {
constexpr Duration kBucket = milliseconds(100);
constexpr Duration kFrontMemory = seconds(60);
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
  // Whole buckets: first attempts are forgotten up to one early, further ones up to one late. So
  // no first attempt pays twice, and the share holds over any span as long as the window.
  firsts_.forget(bucketOf(now - terms.window) + 1);
  furthers_.forget(bucketOf(now - terms.window));
}

bool AttemptBudget::allows(const BudgetTerms& terms, MonotonicTime now) {
  forget(terms, now);
  double allowed =
      terms.share * static_cast<double>(firsts_.sum) + static_cast<double>(terms.slack);
  return static_cast<double>(furthers_.sum + 1) <= allowed + 1e-9;
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
