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
std::size_t mostWithin(const std::vector<MonotonicTime>& firsts, MonotonicTime end) {
  return std::max({within(firsts, end), within(firsts, end - kTerms.window * 0.5),
                   within(firsts, end - kTerms.window)});
}

/// Several routers with traffic of their own that don't know of each other.
struct BudgetFleet {
  std::vector<AttemptBudget> routers;
  std::vector<MonotonicTime> firsts, arrivals;  // of the whole fleet; arrivals of retries
  Random random;

  BudgetFleet(std::size_t size, std::uint64_t seed) : routers(size), random(seed) {}

  /// Simulates traffic: each router has busy, idle and failing periods of its own.
  void play(Duration length) {
    for (MonotonicTime now = at(50); now - at(50) < length; now = now + milliseconds(20))
      for (std::size_t index = 0; index < routers.size(); ++index) {
        auto spell = static_cast<std::uint64_t>(now.microseconds / 3'700'000) + index * 5;
        bool busy = Random(spell * 977).below(3) != 0;
        if (random.fraction() < (busy ? 0.5 : 0.01)) first(index, now);
        bool troubled = Random(spell * 31 + 1).below(3) == 0;
        for (int tries = troubled ? 3 : 0; tries > 0; --tries) further(index, now);
      }
    std::ranges::sort(arrivals);
  }
  void first(std::size_t index, MonotonicTime now) {
    routers[index].first(kTerms, now);
    firsts.push_back(now);
  }
  void further(std::size_t index, MonotonicTime now) {
    if (!routers[index].allows(kTerms, now)) return;
    routers[index].take(now);
    // It reaches its engine once its connection is established.
    arrivals.push_back(now + Duration{static_cast<std::int64_t>(random.below(500'000))});
  }
  /// By how much the window with the most retries exceeds its limit.
  double worst() const {
    double worst = -1e9;
    for (MonotonicTime end : arrivals)
      worst = std::max(worst, static_cast<double>(within(arrivals, end)) -
                                  kTerms.share * static_cast<double>(mostWithin(firsts, end)));
    return worst;
  }
};

}  // namespace

TEST_GROUP(RequestBudget){};

TEST(RequestBudget, FleetStaysWithinShareInEveryWindowWithoutSlack) {
  for (std::size_t size : {1U, 2U, 3U, 9U})
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      BudgetFleet fleet(size, seed);
      fleet.play(seconds(120));
      CHECK(fleet.arrivals.size() > 50 * size);
      CHECK(fleet.worst() <= 1e-9);
    }
}

TEST(RequestBudget, RetriesAfterABurstOfFirstAttemptsAreBounded) {
  // The worst case: first attempts just before a window, retries within it, and nothing afterwards.
  for (int offset = 0; offset <= 200; ++offset) {
    AttemptBudget budget;
    std::vector<MonotonicTime> firsts, furthers;
    for (int number = 0; number < 100; ++number) {
      budget.first(kTerms, at(50));
      firsts.push_back(at(50));
    }
    MonotonicTime now = at(50) + milliseconds(100) * offset;
    while (budget.allows(kTerms, now)) {
      budget.take(now);
      furthers.push_back(now);
    }
    CHECK(furthers.size() <= 10U);
    for (int step = 0; step < 100 && !furthers.empty(); ++step) {
      MonotonicTime end = now + milliseconds(100) * step;
      CHECK(static_cast<double>(within(furthers, end)) <=
            kTerms.share * static_cast<double>(mostWithin(firsts, end)));
    }
  }
}

TEST(RequestBudget, SteadyTrafficGetsItsFullShare) {
  AttemptBudget budget;
  std::size_t furthers = 0;
  for (int step = 0; step < 4000; ++step) {
    MonotonicTime now = at(50) + milliseconds(10) * step;
    budget.first(kTerms, now);
    if (!budget.allows(kTerms, now)) continue;
    budget.take(now);
    if (step >= 2000) ++furthers;
  }
  CHECK(furthers >= 2000 * kTerms.share * 0.85);
}

TEST(RequestBudget, StartsEmptyAndExpiresOldAttempts) {
  AttemptBudget budget;
  CHECK(!budget.allows(kTerms, at(1)));
  for (int number = 0; number < 10; ++number) budget.first(kTerms, at(1));
  CHECK(budget.allows(kTerms, at(1)));
  budget.take(at(1));
  CHECK(!budget.allows(kTerms, at(2)));
  budget.giveBack(at(1));
  CHECK(budget.allows(kTerms, at(2)));
  CHECK(!budget.allows(kTerms, at(21)));
  budget.giveBack(at(1));  // expired since; a retry is not refunded twice
  CHECK(!budget.allows(kTerms, at(21)));
}

TEST(RequestBudget, SlackIsSharedByAllRouters) {
  CHECK_EQUAL(1, slackPart(20, 9));
  CHECK_EQUAL(0, slackPart(20, 11));
  CHECK_EQUAL(10, slackPart(20, 0));
  AttemptBudget budget;
  CHECK(budget.allows({0.2, seconds(10), 1}, at(1)));
  budget.take(at(1));
  CHECK(!budget.allows({0.2, seconds(10), 1}, at(1)));
}

TEST(RequestBudget, LargestRouterCountIsKeptForAtLeastAMinute) {
  FrontCount fronts;
  CHECK_EQUAL(1U, fronts.most());
  fronts.see(9, at(1));
  for (int second = 2; second <= 60; ++second) fronts.see(2, at(second));
  CHECK_EQUAL(9U, fronts.most());
  for (int second = 61; second <= 122; ++second) fronts.see(2, at(second));
  CHECK_EQUAL(2U, fronts.most());
}

TEST(RequestBudget, OnlyRetriesThatMayHaveReachedAnEngineAreCharged) {
  FakeFront front;
  front.options.budgetShare = 1.25;
  // Two first attempts allow one retry; a fifth of the budget is reserved for streams in progress.
  AttemptId first = only<OpenAttempt>(front.ask("unsafe", 1)).attempt;
  AttemptId other = only<OpenAttempt>(front.ask("unsafe", 2)).attempt;
  first = only<OpenAttempt>(front.turn(first, AttemptTurn::kNotWritten)).attempt;  // not charged
  first = only<OpenAttempt>(front.head(first, 503, true)).attempt;                 // charged
  CHECK_EQUAL(503, only<RefuseRequest>(front.head(other, 503, true)).status);
  CHECK_EQUAL(1U, front.counter("attempts.over_budget"));
  // No byte was written: the charge is returned and allows another retry.
  first = only<OpenAttempt>(front.turn(first, AttemptTurn::kNotWritten)).attempt;
  CHECK_EQUAL(503, only<RefuseRequest>(front.head(first, 503, true)).status);
}

TEST(RequestBudget, EachServiceHasItsOwnBudget) {
  FakeFront front;
  front.options.budgetShare = 2.5;
  front.facts.byHost["safe"].services = {{ServiceName{"other"}, 1}};
  AttemptId unsafe = only<OpenAttempt>(front.ask("unsafe", 1)).attempt;
  AttemptId safe = only<OpenAttempt>(front.ask("safe", 2)).attempt;
  unsafe = only<OpenAttempt>(front.head(unsafe, 503, true)).attempt;
  safe = only<OpenAttempt>(front.turn(safe, AttemptTurn::kBroken)).attempt;
  CHECK_EQUAL(503, only<RefuseRequest>(front.head(unsafe, 503, true)).status);
  CHECK_EQUAL(502, only<RefuseRequest>(front.turn(safe, AttemptTurn::kBroken)).status);
}
