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
  void recordFirstAttempt(const BudgetTerms& terms, MonotonicTime now) {
    expire(terms, now);
    firstAttempts_.add(bucketOf(now));
  }
  /// Whether the budget allows one retry now.
  bool allowsRetry(const BudgetTerms& terms, MonotonicTime now);
  /// Counts a retry.
  void recordRetry(MonotonicTime now) { retries_.add(bucketOf(now)); }
  /// Takes back a retry that was counted at this time and never reached an engine.
  void refundRetry(MonotonicTime recordedAt) { retries_.remove(bucketOf(recordedAt)); }

 private:
  struct Bucket {
    std::int64_t number = 0, count = 0;
  };
  struct Counts {
    std::deque<Bucket> buckets;  // oldest first
    std::int64_t sum = 0;
    void add(std::int64_t number);
    void remove(std::int64_t number);
    void expire(std::int64_t before);
  };
  void expire(const BudgetTerms& terms, MonotonicTime now);
  static std::int64_t bucketOf(MonotonicTime time);
  Counts firstAttempts_, retries_;
};

/// The largest number of routers seen within the last one to two minutes.
class RouterCount {
 public:
  void record(std::size_t routers, MonotonicTime now);
  std::size_t largest() const {
    return std::max<std::size_t>({1, previousPeriodMax_, currentPeriodMax_});
  }

 private:
  std::size_t previousPeriodMax_ = 0, currentPeriodMax_ = 0;
  MonotonicTime periodStart_ = kNever;
};

/// A router's share of the slack, in attempts. Half of the slack is reserved for routers that don't
/// know of each other yet.
inline std::int64_t slackShare(double slack, std::size_t routers) {
  double sharers = static_cast<double>(std::max<std::size_t>(1, routers));
  return static_cast<std::int64_t>(0.5 * slack / sharers);
}

}  // namespace peppergate
