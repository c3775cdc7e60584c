// What ends a stream in progress and what doesn't: one test per row of docs/design-requests.md.
#include "tests/requests_fakes.h"

using namespace peppergate;

namespace {

/// Just above the longest wait of a suspended stream.
constexpr Duration kLookAgain = milliseconds(260);

/// Starts a resumable stream and forwards its first events.
AttemptId streaming(FakeFront& front, std::uint64_t events = 3) {
  AttemptId id = only<OpenAttempt>(front.ask("resumed")).attempt;
  front.turn(id, AttemptTurn::kWritten);
  front.head(id, 200);
  for (std::uint64_t event = 1; event <= events; ++event) front.body(id, "e", event);
  return id;
}

/// Starts a stream and suspends it: its engine closes the connection while no other is available.
void suspend(FakeFront& front) {
  AttemptId id = streaming(front);
  front.placer.engines = 0;
  CHECK_EQUAL(0U, front.turn(id, AttemptTurn::kBroken).size());
  front.placer.engines = 5;
}

bool cutIn(const std::vector<Command>& commands) {
  auto ends = taken<AnswerDone>(commands);
  return ends.size() == 1 && !ends.front().whole;
}

/// Completes a stream that continues after its third event.
void endsWhole(FakeFront& front, const OpenAttempt& open) {
  CHECK_EQUAL(3U, open.resumeAfter.value_or(0));
  front.turn(open.attempt, AttemptTurn::kWritten);
  front.head(open.attempt, 200);
  CHECK_EQUAL(1U, taken<AnswerBody>(front.body(open.attempt, "e", 4)).size());
  CHECK(only<AnswerDone>(front.turn(open.attempt, AttemptTurn::kEnded)).whole);
}

}  // namespace

TEST_GROUP(StreamResumption){};

TEST(StreamResumption, AStreamDeclinedByItsSecondEngineTriesAThird) {
  FakeFront front;
  front.facts.byHost["resumed"].attempts = 2;
  AttemptId id = only<OpenAttempt>(front.turn(streaming(front), AttemptTurn::kBroken)).attempt;
  auto open = only<OpenAttempt>(front.head(id, 503, true));
  STRCMP_EQUAL("e3", open.engine.value.c_str());
  endsWhole(front, open);
}

TEST(StreamResumption, BeforeTheHeadADeclineCountsAsAnAttempt) {
  FakeFront front;
  front.facts.byHost["resumed"].attempts = 2;
  AttemptId id = only<OpenAttempt>(front.ask("resumed")).attempt;
  id = only<OpenAttempt>(front.head(id, 503, true)).attempt;
  CHECK_EQUAL(503, only<RefuseRequest>(front.head(id, 503, true)).status);
}

TEST(StreamResumption, BrokenRunsUseUpTheRoutesAttempts) {
  FakeFront front;
  front.facts.byHost["resumed"].attempts = 2;
  AttemptId id = only<OpenAttempt>(front.turn(streaming(front), AttemptTurn::kBroken)).attempt;
  front.head(id, 200);
  front.body(id, "e", 4);
  CHECK(cutIn(front.turn(id, AttemptTurn::kBroken)));
}

TEST(StreamResumption, WithoutAnEngineTheStreamIsSuspended) {
  for (auto fault : {PlaceFault::kNoEngine, PlaceFault::kFull}) {
    FakeFront front;
    front.placer.refusal.fault = fault;
    suspend(front);
    front.placer.engines = 0;
    for (int look = 0; look < 4; ++look) CHECK_EQUAL(0U, front.pass(kLookAgain).size());
    front.placer.engines = 1;  // the engine that it started on may be used again
    endsWhole(front, only<OpenAttempt>(front.pass(kLookAgain)));
  }
}

TEST(StreamResumption, ASuspendedStreamIsTruncatedAtItsDeadline) {
  FakeFront front;
  suspend(front);
  front.placer.engines = 0;
  CHECK_EQUAL(0U, front.pass(seconds(8.9)).size());
  CHECK(cutIn(front.pass(seconds(0.1))));
  CHECK_EQUAL(0U, front.requests.live());
}

TEST(StreamResumption, WithTooLittleTimeForAnAttemptItIsTruncatedAtItsDeadline) {
  FakeFront front;
  AttemptId id = streaming(front);
  front.pass(seconds(0.9));
  for (int event = 4; event < 12; ++event) {
    front.body(id, "e", static_cast<std::uint64_t>(event));
    CHECK_EQUAL(0U, front.pass(seconds(1)).size());
  }
  front.pass(seconds(0.08));  // 20 ms are left, less than a tenth of the target
  CHECK_EQUAL(0U, front.turn(id, AttemptTurn::kBroken).size());
  CHECK(cutIn(front.pass(seconds(0.02))));
}

TEST(StreamResumption, AStreamOverTheRetryBudgetWaitsForBudget) {
  FakeFront front;
  front.options.budgetShare = 0.5;  // four first attempts allow one retry
  CHECK_EQUAL(0U, front.turn(streaming(front), AttemptTurn::kBroken).size());
  CHECK_EQUAL(0U, front.pass(kLookAgain).size());
  for (std::uint64_t other = 2; other <= 4; ++other) front.ask("plain", other);
  endsWhole(front, only<OpenAttempt>(front.pass(kLookAgain)));
}

TEST(StreamResumption, PartOfTheBudgetIsReservedForStreamsInProgress) {
  FakeFront front;
  front.options.budgetShare = 0.5;
  AttemptId stream = streaming(front);
  AttemptId safe = only<OpenAttempt>(front.ask("safe", 2)).attempt;
  front.turn(safe, AttemptTurn::kWritten);
  front.ask("plain", 3);
  front.ask("plain", 4);
  CHECK_EQUAL(502, only<RefuseRequest>(front.turn(safe, AttemptTurn::kBroken)).status);
  CHECK_EQUAL(1U, taken<OpenAttempt>(front.turn(stream, AttemptTurn::kBroken)).size());
}

TEST(StreamResumption, WithoutAProofOfFreshnessAStreamWaitsForOne) {
  FakeFront front;
  AttemptId id = streaming(front);
  front.facts.proofEnd = front.now;
  CHECK_EQUAL(0U, front.turn(id, AttemptTurn::kBroken).size());
  CHECK_EQUAL(0U, front.pass(kLookAgain).size());
  front.facts.proofEnd = kForever;
  endsWhole(front, only<OpenAttempt>(front.pass(kLookAgain)));
}

TEST(StreamResumption, AFailureOfTheNextEngineSuspendsAStream) {
  for (int status : {404, 500, 503}) {
    FakeFront front;
    AttemptId id = only<OpenAttempt>(front.turn(streaming(front), AttemptTurn::kBroken)).attempt;
    front.placer.engines = 0;
    CHECK_EQUAL(0U, front.head(id, status).size());
    front.placer.engines = 5;
    endsWhole(front, only<OpenAttempt>(front.pass(kLookAgain)));
  }
}

TEST(StreamResumption, UnreachableEnginesSuspendAStream) {
  FakeFront front;
  front.placer.engines = 20;
  auto commands = front.turn(streaming(front), AttemptTurn::kBroken);
  for (int number = 0; number < 6; ++number)
    commands = front.turn(only<OpenAttempt>(commands).attempt, AttemptTurn::kNotWritten);
  CHECK_EQUAL(0U, commands.size());
  endsWhole(front, only<OpenAttempt>(front.pass(kLookAgain)));
}

TEST(StreamResumption, AStreamDeclinedByAllEnginesRetriesAtALimitedRate) {
  FakeFront front;
  front.options.budgetShare = 1000;
  auto commands = front.turn(streaming(front), AttemptTurn::kBroken);
  int asked = 0;
  for (int step = 0; step < 100; ++step) {  // a second
    while (!taken<OpenAttempt>(commands).empty()) {
      ++asked;
      auto turned = FakeFront::headOf(only<OpenAttempt>(commands).attempt, 503, true);
      turned.retryAfter = milliseconds(1);
      commands = front.turn(turned);
      CHECK(!cutIn(commands));
    }
    commands = front.pass(milliseconds(10));
  }
  CHECK(asked >= 10);
  CHECK(asked <= 25);
}

TEST(StreamResumption, AStreamContinuesAfterItsRouteIsRemoved) {
  FakeFront front;
  AttemptId id = streaming(front);
  front.facts.byHost.erase("resumed");
  ++front.facts.change;
  auto open = only<OpenAttempt>(front.turn(id, AttemptTurn::kBroken));
  STRCMP_EQUAL("red", open.tenant.value.c_str());
  endsWhole(front, open);
}

TEST(StreamResumption, AStreamWhoseServiceIsRemovedIsSuspendedUntilItsDeadline) {
  FakeFront front;
  AttemptId id = streaming(front);
  front.facts.byHost.erase("resumed");
  ++front.facts.change;
  front.placer.engines = 0;
  CHECK_EQUAL(0U, front.turn(id, AttemptTurn::kBroken).size());
  CHECK(cutIn(front.pass(seconds(9))));
}

TEST(StreamResumption, AWithdrawnKeyTruncatesAStreamThatNeedsAnAttempt) {
  FakeFront front;
  AttemptId id = streaming(front);
  front.facts.byKey.clear();
  ++front.facts.change;
  CHECK_EQUAL(1U, taken<AnswerBody>(front.body(id, "e", 4)).size());
  CHECK(cutIn(front.turn(id, AttemptTurn::kBroken)));
  FakeFront waiting;
  suspend(waiting);
  waiting.facts.byKey.clear();
  ++waiting.facts.change;
  auto commands = waiting.pass(kLookAgain);
  CHECK(cutIn(commands));
  CHECK_EQUAL(0U, taken<OpenAttempt>(commands).size());
}

TEST(StreamResumption, AKeyMovedToAnotherTenantTruncatesTheStream) {
  FakeFront front;
  AttemptId id = streaming(front);
  front.facts.byKey["key"].name = {"blue"};
  ++front.facts.change;
  CHECK(cutIn(front.turn(id, AttemptTurn::kBroken)));
}

TEST(StreamResumption, ARouteThatIsNoLongerResumableTruncatesTheStream) {
  FakeFront front;
  AttemptId id = streaming(front);
  front.facts.byHost["resumed"].resumable = false;
  ++front.facts.change;
  CHECK(cutIn(front.turn(id, AttemptTurn::kBroken)));
}

TEST(StreamResumption, OtherConfigurationChangesDontAffectAStream) {
  FakeFront front;
  AttemptId id = streaming(front);
  front.facts.fleet.version = {2};
  front.facts.byHost.erase("safe");
  front.facts.byHost["resumed"].target = milliseconds(700);
  ++front.facts.change;
  CHECK_EQUAL(1U, taken<AnswerBody>(front.body(id, "e", 4)).size());
  CHECK(only<AnswerDone>(front.turn(id, AttemptTurn::kEnded)).whole);
}

TEST(StreamResumption, SilenceEndsNothingWhileNoOtherEngineIsAvailable) {
  FakeFront front;
  AttemptId id = streaming(front);
  front.placer.engines = 0;
  for (int second = 0; second < 8; ++second) CHECK_EQUAL(0U, front.pass(seconds(1)).size());
  CHECK_EQUAL(1U, taken<AnswerBody>(front.body(id, "e", 4)).size());
  CHECK(only<AnswerDone>(front.turn(id, AttemptTurn::kEnded)).whole);
}

TEST(StreamResumption, AResponseThatCantBeContinuedIsTruncatedAtOnce) {
  for (auto host : {"plain", "safe", "unsafe"}) {
    FakeFront front;
    AttemptId id = only<OpenAttempt>(front.ask(host)).attempt;
    front.turn(id, AttemptTurn::kWritten);
    front.head(id, 200);
    front.body(id, "e", 1);
    CHECK(cutIn(front.turn(id, AttemptTurn::kBroken)));
  }
}

TEST(StreamResumption, BeforeTheHeadNothingIsSuspended) {
  for (auto host : kHosts) {
    FakeFront front;
    AttemptId id = only<OpenAttempt>(front.ask(host)).attempt;
    front.turn(id, AttemptTurn::kWritten);
    front.placer.engines = 0;
    CHECK_EQUAL(502, only<RefuseRequest>(front.turn(id, AttemptTurn::kBroken)).status);
    FakeFront unrun;
    id = only<OpenAttempt>(unrun.ask(host)).attempt;
    unrun.placer.engines = 0;
    auto refuse = only<RefuseRequest>(unrun.head(id, 503, true));
    CHECK_EQUAL(503, refuse.status);
    CHECK(refuse.retryAfter.has_value());
  }
}

TEST(StreamResumption, ADisconnectDuringSuspensionRemovesTheRequest) {
  FakeFront front;
  suspend(front);
  front.requests.gone({1}, front.now, front.outbox);
  CHECK_EQUAL(0U, front.outbox.take().size());
  CHECK_EQUAL(0U, front.requests.live());
  CHECK_EQUAL(0U, front.pass(seconds(10)).size());
}

TEST(StreamResumption, AStreamOfASlowClientIsResumed) {
  FakeFront front;
  suspend(front);
  front.requests.slow({{1}, true}, front.now, front.outbox);
  CHECK_EQUAL(0U, front.outbox.take().size());
  auto commands = front.pass(kLookAgain);
  CHECK(only<PauseAttempt>(commands).paused);
  CHECK_EQUAL(1U, taken<OpenAttempt>(commands).size());
}

TEST(StreamResumption, ADrainingRouterContinuesItsStreams) {
  FakeFront front;
  AttemptId id = streaming(front);
  front.requests.leave(front.now);
  front.pass(seconds(1));
  front.body(id, "e", 4);
  front.placer.engines = 0;
  CHECK_EQUAL(0U, front.turn(id, AttemptTurn::kBroken).size());
  front.pass(seconds(2));
  front.placer.engines = 5;
  auto open = only<OpenAttempt>(front.pass(kLookAgain));
  CHECK_EQUAL(4U, *open.resumeAfter);
}

TEST(StreamResumption, ADrainingRouterRejectsLateRequests) {
  FakeFront front;
  front.requests.leave(front.now);
  front.pass(seconds(2.7));
  CHECK_EQUAL(1U, taken<OpenAttempt>(front.ask("safe", 1)).size());
  front.pass(seconds(0.2));
  front.requests.leave(front.now);  // a repeated call has no effect
  for (std::uint64_t id = 2; id <= 5; ++id) {
    auto refuse = only<RefuseRequest>(front.ask(kHosts[id - 2], id));
    CHECK_EQUAL(503, refuse.status);
    CHECK(refuse.retryAfter.has_value());
  }
}

TEST(StreamResumption, ADrainingRouterRejectsWaitingRequestsBeforeItExits) {
  FakeFront front;
  front.options.graceTime = seconds(8);
  front.requests.leave(front.now);
  AttemptId written = only<OpenAttempt>(front.ask("unsafe", 1)).attempt;
  front.turn(written, AttemptTurn::kWritten);
  AttemptId stream = only<OpenAttempt>(front.ask("plain", 2)).attempt;
  front.head(stream, 200);
  front.body(stream, "e", 1);
  CHECK_EQUAL(0U, front.pass(seconds(7.1)).size());
  auto commands = front.pass(seconds(0.1));
  CHECK(only<CancelAttempt>(commands).attempt == written);
  CHECK_EQUAL(502, only<RefuseRequest>(commands).status);
  CHECK_EQUAL(0U, taken<AnswerDone>(commands).size());  // the stream may still complete
  CHECK(only<AnswerDone>(front.turn(stream, AttemptTurn::kEnded)).whole);
}
