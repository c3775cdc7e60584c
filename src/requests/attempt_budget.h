#pragma once
// Attempts beyond a request's first are paid out of the first ones that this front sent.
#include <algorithm>
#include <deque>

#include "core/types.h"

namespace peppergate {

/// What the budget allows now: a share of the window's first attempts, and this front's part of
/// the fleet's slack.
struct BudgetTerms {
  double share = 0.15;
  Duration window = seconds(10);
  std::int64_t slack = 0;
};

/// Counts in buckets of 100 ms, so that an hour's traffic needs no more room than a second's.
/// Example: `budget.first(terms, now); if (budget.allows(terms, now)) budget.take(now);`
class AttemptBudget {
 public:
  /// Counts a request's first attempt. Example: see the class.
  void first(const BudgetTerms& terms, MonotonicTime now) {
    forget(terms, now);
    firsts_.add(bucketOf(now));
  }
  /// Whether one further attempt is paid for now. Example: see the class.
  bool allows(const BudgetTerms& terms, MonotonicTime now);
  /// Counts a further attempt. Example: see the class.
  void take(MonotonicTime now) { furthers_.add(bucketOf(now)); }
  /// A further attempt, taken then, never reached an engine. Example: on kNotWritten.
  void giveBack(MonotonicTime taken) { furthers_.remove(bucketOf(taken)); }

 private:
  struct Bucket {
    std::int64_t number = 0, count = 0;
  };
  struct Counts {
    std::deque<Bucket> buckets;
    std::int64_t sum = 0;
    void add(std::int64_t number);
    void remove(std::int64_t number);
    void forget(std::int64_t before);
  };
  void forget(const BudgetTerms& terms, MonotonicTime now);
  static std::int64_t bucketOf(MonotonicTime time);
  Counts firsts_, furthers_;
};

/// The largest number of fronts seen within the last one to two minutes.
/// Example: `fronts.see(9, now); fronts.most() == 9`.
class FrontCount {
 public:
  /// Example: see the class.
  void see(std::size_t fronts, MonotonicTime now);
  std::size_t most() const { return std::max<std::size_t>({1, former_, current_}); }

 private:
  std::size_t former_ = 0, current_ = 0;
  MonotonicTime since_ = kNever;
};

/// A front's part of the slack: half of it is never used, for fronts that don't know each other.
/// Example: `slackPart(20, 9) == 1`.
inline std::int64_t slackPart(double slack, std::size_t fronts) {
  double shared = static_cast<double>(std::max<std::size_t>(1, fronts));
  return static_cast<std::int64_t>(0.5 * slack / shared);
}

}  // namespace peppergate
