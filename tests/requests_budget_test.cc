// Attempts beyond the first, within any window and over all fronts.
#include "requests/attempt_budget.h"
#include "tests/requests_fakes.h"

using namespace peppergate;

namespace {

constexpr BudgetTerms kTerms{0.15, seconds(10), 0};

/// How many of the times lie in a window that ends there.
std::size_t within(const std::vector<MonotonicTime>& times, MonotonicTime end) {
  return static_cast<std::size_t>(std::ranges::count_if(
      times, [&](MonotonicTime time) { return time <= end && end - time < kTerms.window; }));
}

}  // namespace

TEST_GROUP(RequestBudget){};

TEST(RequestBudget, KeepsItsShareInEveryWindow) {
  Random random(3);
  AttemptBudget budget;
  std::vector<MonotonicTime> firsts, furthers;
  MonotonicTime now = at(50);
  for (int step = 0; step < 20'000; ++step) {
    // Busy and idle spells of some seconds each.
    bool busy = (now.microseconds / 7'000'000) % 3 != 0;
    now = now + Duration{static_cast<std::int64_t>(random.below(busy ? 20'000 : 900'000))};
    budget.first(kTerms, now);
    firsts.push_back(now);
    if (random.below(2) == 0 && budget.allows(kTerms, now)) {
      budget.take(now);
      furthers.push_back(now);
      CHECK(static_cast<double>(within(furthers, now)) <=
            kTerms.share * static_cast<double>(within(firsts, now)));
    }
    if (firsts.size() > 4000) {
      firsts.erase(firsts.begin(), firsts.begin() + 2000);
      std::erase_if(furthers, [&](MonotonicTime time) { return time < firsts.front(); });
    }
  }
  CHECK(furthers.size() > 100);
}

TEST(RequestBudget, StartsFromNothingAndForgets) {
  AttemptBudget budget;
  CHECK(!budget.allows(kTerms, at(1)));
  for (int number = 0; number < 7; ++number) budget.first(kTerms, at(1));
  CHECK(budget.allows(kTerms, at(1)));
  budget.take(at(1));
  CHECK(!budget.allows(kTerms, at(2)));
  budget.giveBack(at(1));
  CHECK(budget.allows(kTerms, at(2)));
  CHECK(!budget.allows(kTerms, at(11)));
  budget.giveBack(at(1));  // forgotten since; nothing is given twice
  CHECK(!budget.allows(kTerms, at(11)));
}

TEST(RequestBudget, SlackIsSharedByAllFronts) {
  CHECK_EQUAL(1, slackPart(20, 9));
  CHECK_EQUAL(0, slackPart(20, 11));
  CHECK_EQUAL(10, slackPart(20, 0));
  AttemptBudget budget;
  CHECK(budget.allows({0.15, seconds(10), 1}, at(1)));
  budget.take(at(1));
  CHECK(!budget.allows({0.15, seconds(10), 1}, at(1)));
}

TEST(RequestBudget, FrontsAreForgottenOnlyAfterAMinute) {
  FrontCount fronts;
  CHECK_EQUAL(1U, fronts.most());
  fronts.see(9, at(1));
  for (int second = 2; second <= 60; ++second) fronts.see(2, at(second));
  CHECK_EQUAL(9U, fronts.most());
  for (int second = 61; second <= 122; ++second) fronts.see(2, at(second));
  CHECK_EQUAL(2U, fronts.most());
}

TEST(RequestBudget, OnlyWhatFollowsAnArrivalIsPaidFor) {
  FakeFront front;
  front.options.budgetShare = 0.5;
  // Two first attempts pay for one further one.
  AttemptId first = only<OpenAttempt>(front.ask("unsafe", 1)).attempt;
  AttemptId other = only<OpenAttempt>(front.ask("unsafe", 2)).attempt;
  first = only<OpenAttempt>(front.turn(first, AttemptTurn::kNotWritten)).attempt;  // free
  first = only<OpenAttempt>(front.head(first, 503, true)).attempt;                 // paid
  CHECK_EQUAL(503, only<RefuseRequest>(front.head(other, 503, true)).status);
  CHECK_EQUAL(1U, front.counter("attempts.over_budget"));
  // It never left: what was paid is there for another.
  first = only<OpenAttempt>(front.turn(first, AttemptTurn::kNotWritten)).attempt;
  CHECK_EQUAL(503, only<RefuseRequest>(front.head(first, 503, true)).status);
}

TEST(RequestBudget, EachServiceHasItsOwn) {
  FakeFront front;
  front.options.budgetShare = 1;
  front.facts.byHost["safe"].services = {{ServiceName{"other"}, 1}};
  AttemptId unsafe = only<OpenAttempt>(front.ask("unsafe", 1)).attempt;
  AttemptId safe = only<OpenAttempt>(front.ask("safe", 2)).attempt;
  unsafe = only<OpenAttempt>(front.head(unsafe, 503, true)).attempt;
  safe = only<OpenAttempt>(front.turn(safe, AttemptTurn::kBroken)).attempt;
  CHECK_EQUAL(503, only<RefuseRequest>(front.head(unsafe, 503, true)).status);
  CHECK_EQUAL(502, only<RefuseRequest>(front.turn(safe, AttemptTurn::kBroken)).status);
}
