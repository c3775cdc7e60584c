#pragma once
// The retry budget: attempts beyond a request's first are paid for by first attempts that this
// router sent.
//
// The bound binds the sum over all routers, within any span of one window: further attempts may be
// at most `share` times the requests of that span, of the one before it or of the one half a window
// before it, whichever holds the most. The largest of the three is at least the mean of the first
// two, and a mean can be added up over routers. So each router by itself keeps
//
//     further attempts of one window <= share / 2 * first attempts of two windows + its slack
//
// at every moment until its newest further attempt has left the window, also if it sends no first
// attempt any more. No router has to know of another for the sum to hold.
#include <algorithm>
#include <cstdint>
#include <deque>

#include "core/types.h"

namespace peppergate {

/// What the budget allows now.
struct BudgetTerms {
  double share = 0.15;  // of the first attempts
  Duration window = seconds(10);
  std::int64_t slack = 0;  // this router's part, in attempts
};

/// One service's budget at one router. Counts in buckets of 100 ms, so that an hour's traffic needs
/// no more room than a second's.
class AttemptBudget {
 public:
  /// Counts a request's first attempt.
  void first(const BudgetTerms& terms, MonotonicTime now) {
    forget(terms, now);
    firsts_.add(bucketOf(now));
  }
  /// Whether one further attempt is paid for now.
  bool allows(const BudgetTerms& terms, MonotonicTime now);
  /// Counts a further attempt.
  void take(MonotonicTime now) { furthers_.add(bucketOf(now)); }
  /// A further attempt, taken at `taken`, never reached an engine.
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

/// A router's part of the slack, in attempts. Half of the slack is never used: it is there for
/// routers that don't know of each other yet.
inline std::int64_t slackPart(double slack, std::size_t fronts) {
  double shared = static_cast<double>(std::max<std::size_t>(1, fronts));
  return static_cast<std::int64_t>(0.5 * slack / shared);
}

}  // namespace peppergate
