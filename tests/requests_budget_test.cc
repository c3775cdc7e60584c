// The retry budget bounds retries within any window, summed over all routers.
#include "requests/attempt_budget.h"
#include "tests/requests_fakes.h"

using namespace peppergate;

namespace {

constexpr BudgetTerms kTerms{0.2, seconds(10), 0};

/// The number of times within the window that ends at `end`. Times are sorted.
std::size_t within(const std::vector<MonotonicTime>& times, MonotonicTime end) {
  auto after = [&](MonotonicTime time) { return std::ranges::upper_bound(times, time); };
  return static_cast<std::size_t>(after(end) - after(end - kTerms.window));
}

/// The most requests of the window that ends at `end` and of those that end half a window and a
/// whole window earlier.
std::size_t maxWithin(const std::vector<MonotonicTime>& firstAttempts, MonotonicTime end) {
  return std::max({within(firstAttempts, end), within(firstAttempts, end - kTerms.window * 0.5),
                   within(firstAttempts, end - kTerms.window)});
}

/// Several routers with traffic of their own that don't know of each other.
struct BudgetFleet {
  std::vector<AttemptBudget> routers;
  std::vector<MonotonicTime> firstAttempts, arrivals;  // of the whole fleet; arrivals of retries
  Random random;

  BudgetFleet(std::size_t size, std::uint64_t seed) : routers(size), random(seed) {}

  /// Simulates traffic: each router has busy, idle and failing periods of its own.
  void simulate(Duration length) {
    for (MonotonicTime now = at(50); now - at(50) < length; now = now + milliseconds(20))
      for (std::size_t index = 0; index < routers.size(); ++index) {
        auto period = static_cast<std::uint64_t>(now.microseconds / 3'700'000) + index * 5;
        bool busy = Random(period * 977).below(3) != 0;
        if (random.fraction() < (busy ? 0.5 : 0.01)) firstAttempt(index, now);
        bool troubled = Random(period * 31 + 1).below(3) == 0;
        for (int tries = troubled ? 3 : 0; tries > 0; --tries) retry(index, now);
      }
    std::ranges::sort(arrivals);
  }
  void firstAttempt(std::size_t index, MonotonicTime now) {
    routers[index].recordFirstAttempt(kTerms, now);
    firstAttempts.push_back(now);
  }
  void retry(std::size_t index, MonotonicTime now) {
    if (!routers[index].allowsRetry(kTerms, now)) return;
    routers[index].recordRetry(now);
    // It reaches its engine once its connection is established.
    arrivals.push_back(now + Duration{static_cast<std::int64_t>(random.below(500'000))});
  }
  /// By how much the window with the most retries exceeds its limit.
  double largestExcess() const {
    double largest = -1e9;
    for (MonotonicTime end : arrivals)
      largest =
          std::max(largest, static_cast<double>(within(arrivals, end)) -
                                kTerms.share * static_cast<double>(maxWithin(firstAttempts, end)));
    return largest;
  }
};

}  // namespace

TEST_GROUP(RequestBudget){};

TEST(RequestBudget, FleetStaysWithinShareInEveryWindowWithoutSlack) {
  for (std::size_t size : {1U, 2U, 3U, 9U})
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      BudgetFleet fleet(size, seed);
      fleet.simulate(seconds(120));
      CHECK(fleet.arrivals.size() > 50 * size);
      CHECK(fleet.largestExcess() <= 1e-9);
    }
}

TEST(RequestBudget, RetriesAfterABurstOfFirstAttemptsAreBounded) {
  // The worst case: first attempts just before a window, retries within it, and nothing afterwards.
  for (int offset = 0; offset <= 200; ++offset) {
    AttemptBudget budget;
    std::vector<MonotonicTime> firstAttempts, retries;
    for (int number = 0; number < 100; ++number) {
      budget.recordFirstAttempt(kTerms, at(50));
      firstAttempts.push_back(at(50));
    }
    MonotonicTime now = at(50) + milliseconds(100) * offset;
    while (budget.allowsRetry(kTerms, now)) {
      budget.recordRetry(now);
      retries.push_back(now);
    }
    CHECK(retries.size() <= 10U);
    for (int step = 0; step < 100 && !retries.empty(); ++step) {
      MonotonicTime end = now + milliseconds(100) * step;
      CHECK(static_cast<double>(within(retries, end)) <=
            kTerms.share * static_cast<double>(maxWithin(firstAttempts, end)));
    }
  }
}

TEST(RequestBudget, SteadyTrafficGetsItsFullShare) {
  AttemptBudget budget;
  std::size_t retries = 0;
  for (int step = 0; step < 4000; ++step) {
    MonotonicTime now = at(50) + milliseconds(10) * step;
    budget.recordFirstAttempt(kTerms, now);
    if (!budget.allowsRetry(kTerms, now)) continue;
    budget.recordRetry(now);
    if (step >= 2000) ++retries;
  }
  CHECK(retries >= 2000 * kTerms.share * 0.85);
}

TEST(RequestBudget, StartsEmptyAndExpiresOldAttempts) {
  AttemptBudget budget;
  CHECK(!budget.allowsRetry(kTerms, at(1)));
  for (int number = 0; number < 10; ++number) budget.recordFirstAttempt(kTerms, at(1));
  CHECK(budget.allowsRetry(kTerms, at(1)));
  budget.recordRetry(at(1));
  CHECK(!budget.allowsRetry(kTerms, at(2)));
  budget.refundRetry(at(1));
  CHECK(budget.allowsRetry(kTerms, at(2)));
  CHECK(!budget.allowsRetry(kTerms, at(21)));
  budget.refundRetry(at(1));  // expired since; a retry is not refunded twice
  CHECK(!budget.allowsRetry(kTerms, at(21)));
}

TEST(RequestBudget, SlackIsSharedByAllRouters) {
  CHECK_EQUAL(1, slackShare(20, 9));
  CHECK_EQUAL(0, slackShare(20, 11));
  CHECK_EQUAL(10, slackShare(20, 0));
  AttemptBudget budget;
  CHECK(budget.allowsRetry({0.2, seconds(10), 1}, at(1)));
  budget.recordRetry(at(1));
  CHECK(!budget.allowsRetry({0.2, seconds(10), 1}, at(1)));
}

TEST(RequestBudget, LargestRouterCountIsKeptForAtLeastAMinute) {
  RouterCount routers;
  CHECK_EQUAL(1U, routers.largest());
  routers.record(9, at(1));
  for (int second = 2; second <= 60; ++second) routers.record(2, at(second));
  CHECK_EQUAL(9U, routers.largest());
  for (int second = 61; second <= 122; ++second) routers.record(2, at(second));
  CHECK_EQUAL(2U, routers.largest());
}

TEST(RequestBudget, OnlyRetriesThatMayHaveReachedAnEngineAreCharged) {
  FakeRouter router;
  router.options.budgetShare = 1.25;
  // Two first attempts allow one retry; a fifth of the budget is reserved for streams in progress.
  AttemptId first = only<OpenAttempt>(router.sendRequest("unsafe", 1)).attempt;
  AttemptId other = only<OpenAttempt>(router.sendRequest("unsafe", 2)).attempt;
  first = only<OpenAttempt>(router.sendEvent(first, AttemptEventKind::kNotWritten))
              .attempt;                                                  // not charged
  first = only<OpenAttempt>(router.sendHead(first, 503, true)).attempt;  // charged
  CHECK_EQUAL(503, only<RejectRequest>(router.sendHead(other, 503, true)).status);
  CHECK_EQUAL(1U, router.counter("attempts.over_budget"));
  // No byte was written: the charge is returned and allows another retry.
  first = only<OpenAttempt>(router.sendEvent(first, AttemptEventKind::kNotWritten)).attempt;
  CHECK_EQUAL(503, only<RejectRequest>(router.sendHead(first, 503, true)).status);
}

TEST(RequestBudget, EachServiceHasItsOwnBudget) {
  FakeRouter router;
  router.options.budgetShare = 2.5;
  router.fleet.routeByHost["safe"].services = {{ServiceName{"other"}, 1}};
  AttemptId unsafe = only<OpenAttempt>(router.sendRequest("unsafe", 1)).attempt;
  AttemptId safe = only<OpenAttempt>(router.sendRequest("safe", 2)).attempt;
  unsafe = only<OpenAttempt>(router.sendHead(unsafe, 503, true)).attempt;
  safe = only<OpenAttempt>(router.sendEvent(safe, AttemptEventKind::kBroken)).attempt;
  CHECK_EQUAL(503, only<RejectRequest>(router.sendHead(unsafe, 503, true)).status);
  CHECK_EQUAL(502, only<RejectRequest>(router.sendEvent(safe, AttemptEventKind::kBroken)).status);
}
