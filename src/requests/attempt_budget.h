#pragma once
// The retry budget: limits retries to a share of the first attempts that this router sent.
//
// The limit applies to the sum over all routers, within any span of one window: retries may be at
// most `share` times the requests of that span, of the span before it or of the span half a window
// before it, whichever has the most requests. The largest of the three is at least the mean of the
// first two, and means add up over routers. So each router on its own maintains
//
//     retries of one window <= share / 2 * first attempts of two windows + its slack
//
// at every moment until its newest retry has left the window, even if it sends no further first
// attempts. The sum then holds without any coordination between routers.
#include <algorithm>
#include <cstdint>
#include <deque>

#include "core/types.h"

namespace peppergate {

/// Parameters of the budget.
struct BudgetTerms {
  double share = 0.15;  // of the first attempts
  Duration window = seconds(10);
  std::int64_t slack = 0;  // this router's share, in attempts
};

/// The retry budget of one service at one router. Counts in buckets of 100 ms, so that memory
/// depends on the window and not on the rate of requests.
class AttemptBudget {
 public:
  /// Counts a request's first attempt.
  void first(const BudgetTerms& terms, MonotonicTime now) {
    forget(terms, now);
    firsts_.add(bucketOf(now));
  }
  /// Whether the budget allows one retry now.
  bool allows(const BudgetTerms& terms, MonotonicTime now);
  /// Counts a retry.
  void take(MonotonicTime now) { furthers_.add(bucketOf(now)); }
  /// Takes back a retry that was counted at this time and never reached an engine.
  void giveBack(MonotonicTime taken) { furthers_.remove(bucketOf(taken)); }

 private:
  struct Bucket {
    std::int64_t number = 0, count = 0;
  };
  struct Counts {
    std::deque<Bucket> buckets;  // oldest first
    std::int64_t sum = 0;
    void add(std::int64_t number);
    void remove(std::int64_t number);
    void forget(std::int64_t before);
  };
  void forget(const BudgetTerms& terms, MonotonicTime now);
  static std::int64_t bucketOf(MonotonicTime time);
  Counts firsts_, furthers_;
};

/// The largest number of routers seen within the last one to two minutes.
class FrontCount {
 public:
  void see(std::size_t fronts, MonotonicTime now);
  std::size_t most() const { return std::max<std::size_t>({1, former_, current_}); }

 private:
  std::size_t former_ = 0, current_ = 0;
  MonotonicTime since_ = kNever;
};

/// A router's share of the slack, in attempts. Half of the slack is reserved for routers that don't
/// know of each other yet.
inline std::int64_t slackPart(double slack, std::size_t fronts) {
  double shared = static_cast<double>(std::max<std::size_t>(1, fronts));
  return static_cast<std::int64_t>(0.5 * slack / shared);
}

}  // namespace peppergate
