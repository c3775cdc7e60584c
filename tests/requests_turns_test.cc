// Effect of engine responses, silence, deadlines and clients on a request, case by case.
#include "tests/requests_fakes.h"

using namespace peppergate;

namespace {

/// The reaction to the head of the first attempt's response, by host.
enum class Told : std::uint8_t { kPassed, kAgain, kRefused502, kNothingYet };
struct HeadRow {
  const char* host;
  int status;
  bool notRun, success;
  Told told;
};
constexpr std::array<HeadRow, 26> kHeads{{
    // The head of a success is forwarded with the first bytes.
    {"unsafe", 200, false, true, Told::kNothingYet},
    {"unsafe", 200, false, false, Told::kRefused502},
    {"unsafe", 200, true, true, Told::kRefused502},
    {"unsafe", 302, false, false, Told::kPassed},
    {"unsafe", 400, false, false, Told::kPassed},
    {"unsafe", 400, true, false, Told::kAgain},
    {"unsafe", 408, false, false, Told::kRefused502},
    {"unsafe", 421, false, false, Told::kAgain},
    {"unsafe", 429, false, false, Told::kRefused502},
    {"unsafe", 429, true, false, Told::kAgain},
    {"unsafe", 500, false, false, Told::kPassed},
    {"unsafe", 503, false, false, Told::kRefused502},
    {"unsafe", 503, true, false, Told::kAgain},
    {"unsafe", 504, false, false, Told::kPassed},
    {"plain", 500, false, false, Told::kPassed},
    {"plain", 503, false, false, Told::kRefused502},
    {"plain", 503, true, false, Told::kAgain},
    {"safe", 200, false, true, Told::kNothingYet},
    {"safe", 200, false, false, Told::kAgain},
    {"safe", 404, false, false, Told::kPassed},
    {"safe", 429, false, false, Told::kAgain},
    {"safe", 500, false, false, Told::kAgain},
    {"safe", 503, true, false, Told::kAgain},
    {"resumed", 500, false, false, Told::kAgain},
    {"resumed", 503, false, false, Told::kAgain},
    {"resumed", 421, true, false, Told::kAgain},
}};

AttemptId first(FakeFront& front, std::string_view host) {
  AttemptId id = only<OpenAttempt>(front.ask(host)).attempt;
  front.turn(id, AttemptTurn::kWritten);
  return id;
}

AttemptId streaming(FakeFront& front, std::string_view host, std::uint64_t events) {
  AttemptId id = first(front, host);
  front.head(id, 200);
  for (std::uint64_t event = 1; event <= events; ++event) front.body(id, "e", event);
  return id;
}

}  // namespace

TEST_GROUP(RequestAttempts){};

TEST(RequestAttempts, EachKindOfHeadIsForwardedRetriedOrRejected) {
  for (const auto& row : kHeads) {
    FakeFront front;
    auto turned = FakeFront::headOf(first(front, row.host), row.status, row.notRun);
    turned.success = row.success;
    auto commands = front.turn(turned);
    CHECK_EQUAL(row.told == Told::kPassed, taken<AnswerHead>(commands).size() == 1);
    CHECK_EQUAL(row.told == Told::kAgain, taken<OpenAttempt>(commands).size() == 1);
    auto refused = taken<RefuseRequest>(commands);
    CHECK_EQUAL(row.told == Told::kRefused502, refused.size() == 1);
    if (!refused.empty()) CHECK_EQUAL(502, refused.front().status);
    CHECK_EQUAL(row.told == Told::kNothingYet, commands.empty());
    CHECK_EQUAL(0U, taken<CancelAttempt>(commands).size());  // its connection may be reused
  }
}

TEST(RequestAttempts, AResponseIsForwardedWholeWithItsHeadAtTheFirstBytes) {
  for (auto host : kHosts) {
    FakeFront front;
    AttemptId id = first(front, host);
    front.head(id, 200);
    auto commands = front.body(id, "abc", 1);
    CHECK_EQUAL(200, only<AnswerHead>(commands).head->status);
    STRCMP_EQUAL("abc", only<AnswerBody>(commands).bytes.c_str());
    commands = front.body(id, "d", 2);
    CHECK_EQUAL(1U, commands.size());
    CHECK(only<AnswerDone>(front.turn(id, AttemptTurn::kEnded)).whole);
    CHECK_EQUAL(0U, front.requests.live());
    CHECK_EQUAL(1U, front.counter("requests.passed"));
    CHECK(front.ledger.ends.front().how == AttemptEnd::kGood && front.ledger.ends.front().hadFirst);
    CHECK_EQUAL(1, front.ledger.firsts);
    CHECK_EQUAL(1, front.placer.firstEvents);
    CHECK_EQUAL(0, front.placer.droppedCount);
    CHECK_EQUAL(1U, front.kept.expected.size());
  }
}

TEST(RequestAttempts, AnEmptyResponseIsComplete) {
  FakeFront front;
  AttemptId id = first(front, "unsafe");
  front.head(id, 200);
  auto commands = front.turn(id, AttemptTurn::kEnded);
  CHECK_EQUAL(2U, commands.size());
  CHECK(std::holds_alternative<AnswerHead>(commands[0]));
  CHECK(only<AnswerDone>(commands).whole);
}

TEST(RequestAttempts, BrokenUnsafeRequestsGet502OrAreTruncated) {
  for (auto host : {"unsafe", "plain"}) {
    FakeFront front;
    auto commands = front.turn(first(front, host), AttemptTurn::kBroken);
    CHECK_EQUAL(502, only<RefuseRequest>(commands).status);
    FakeFront begun;
    AttemptId id = streaming(begun, host, 2);
    CHECK(!only<AnswerDone>(begun.turn(id, AttemptTurn::kBroken)).whole);
  }
}

TEST(RequestAttempts, BrokenSafeRequestsAreRetriedUntilTheClientHasBytes) {
  FakeFront front;
  AttemptId id = first(front, "safe");
  front.head(id, 200);
  auto open = only<OpenAttempt>(front.turn(id, AttemptTurn::kBroken));
  STRCMP_EQUAL("e2", open.engine.value.c_str());
  front.head(open.attempt, 200);
  front.body(open.attempt, "ab");
  CHECK(!only<AnswerDone>(front.turn(open.attempt, AttemptTurn::kBroken)).whole);
}

TEST(RequestAttempts, AttemptLimitCountsEnginesSentToButNotUnreachedOnes) {
  FakeFront front;
  front.facts.byHost["unsafe"].attempts = 2;
  AttemptId id = only<OpenAttempt>(front.ask("unsafe")).attempt;
  for (int number = 0; number < 3; ++number)
    id = only<OpenAttempt>(front.turn(id, AttemptTurn::kNotWritten)).attempt;
  id = only<OpenAttempt>(front.head(id, 503, true)).attempt;
  auto turned = FakeFront::headOf(id, 503, true);
  turned.retryAfter = milliseconds(900);
  auto refuse = only<RefuseRequest>(front.turn(turned));
  CHECK_EQUAL(503, refuse.status);
  CHECK(*refuse.retryAfter == milliseconds(900));
}

TEST(RequestAttempts, NeverReachingAnyEngineGets503) {
  FakeFront front;
  front.placer.engines = 2;
  AttemptId id = only<OpenAttempt>(front.ask("unsafe")).attempt;
  id = only<OpenAttempt>(front.turn(id, AttemptTurn::kNotWritten)).attempt;
  CHECK_EQUAL(503, only<RefuseRequest>(front.turn(id, AttemptTurn::kNotWritten)).status);
  CHECK(front.ledger.ends.front().how == AttemptEnd::kUnreachable);
  CHECK_EQUAL(2, front.placer.droppedCount);
}

TEST(RequestAttempts, AResumedStreamContinuesAfterTheClientsLastEvent) {
  FakeFront front;
  AttemptId id = streaming(front, "resumed", 3);
  auto open = only<OpenAttempt>(front.turn(id, AttemptTurn::kBroken));
  CHECK_EQUAL(3U, *open.resumeAfter);
  CHECK(open.timeLeft == seconds(9));
  front.head(open.attempt, 200);
  CHECK_EQUAL(0U, front.body(open.attempt, "known", 2, 3).size());
  auto commands = front.body(open.attempt, "e4", 4);
  CHECK_EQUAL(1U, commands.size());  // no second head
  STRCMP_EQUAL("e4", only<AnswerBody>(commands).bytes.c_str());
  CHECK(only<AnswerDone>(front.turn(open.attempt, AttemptTurn::kEnded)).whole);
  CHECK_EQUAL(1U, front.counter("streams.resumed"));
}

TEST(RequestAttempts, AGapWhereRunsJoinIsRetriedOrTruncated) {
  FakeFront front;
  AttemptId id = streaming(front, "resumed", 3);
  id = only<OpenAttempt>(front.turn(id, AttemptTurn::kBroken)).attempt;
  front.head(id, 200);
  auto commands = front.body(id, "e6", 6);
  CHECK_EQUAL(1U, taken<CancelAttempt>(commands).size());
  id = only<OpenAttempt>(commands).attempt;
  front.head(id, 200);
  CHECK(!only<AnswerDone>(front.body(id, "e6", 6)).whole);
}

TEST(RequestAttempts, EventIdsMayRiseByTheStride) {
  FakeFront front;
  ServiceConfig service;
  service.engine = EngineShape{};
  service.engine->stride = 5;
  front.facts.fleet.services[{"model"}] = service;
  AttemptId id = streaming(front, "resumed", 3);
  id = only<OpenAttempt>(front.turn(id, AttemptTurn::kBroken)).attempt;
  front.head(id, 200);
  CHECK_EQUAL(1U, taken<AnswerBody>(front.body(id, "e8", 8)).size());
  id = only<OpenAttempt>(front.turn(id, AttemptTurn::kBroken)).attempt;
  front.head(id, 200);
  CHECK(!only<AnswerDone>(front.body(id, "e14", 14)).whole);
}

TEST(RequestAttempts, ARunThatEndsBeforeTheClientsLastEventIsNotAnEnd) {
  FakeFront front;
  front.facts.byHost["resumed"].attempts = 2;
  AttemptId id = streaming(front, "resumed", 5);
  id = only<OpenAttempt>(front.turn(id, AttemptTurn::kBroken)).attempt;
  front.head(id, 200);
  front.body(id, "e2", 2);
  CHECK(!only<AnswerDone>(front.turn(id, AttemptTurn::kEnded)).whole);
}

TEST(RequestAttempts, AResponseWithALengthIsNotContinued) {
  FakeFront front;
  AttemptId id = first(front, "resumed");
  auto turned = FakeFront::headOf(id, 200);
  auto head = std::make_shared<WireHead>(*turned.head);
  head->length = 100;
  turned.head = head;
  front.turn(turned);
  front.body(id, "e1", 1);
  CHECK(!only<AnswerDone>(front.turn(id, AttemptTurn::kBroken)).whole);
}

TEST(RequestAttempts, AFailureWhileResumingIsRetriedOrTruncated) {
  FakeFront front;
  AttemptId id = streaming(front, "resumed", 2);
  id = only<OpenAttempt>(front.turn(id, AttemptTurn::kBroken)).attempt;
  id = only<OpenAttempt>(front.head(id, 404)).attempt;
  auto commands = front.head(id, 500);
  CHECK_EQUAL(0U, taken<AnswerHead>(commands).size());
  CHECK(!only<AnswerDone>(commands).whole);
}

TEST(RequestAttempts, AFailureIsForwardedUnchangedOnceNoAttemptIsLeft) {
  FakeFront front;
  front.facts.byHost["safe"].attempts = 1;
  AttemptId id = first(front, "safe");
  CHECK_EQUAL(503, only<AnswerHead>(front.head(id, 503)).head->status);
  STRCMP_EQUAL("why", only<AnswerBody>(front.body(id, "why")).bytes.c_str());
  CHECK(only<AnswerDone>(front.turn(id, AttemptTurn::kEnded)).whole);
  CHECK_EQUAL(1U, front.counter("requests.failed"));
}

TEST(RequestAttempts, AtTheDeadlineRequestsGet504OrAreTruncated) {
  for (auto host : {"unsafe", "plain"}) {
    FakeFront front;
    AttemptId id = first(front, host);
    CHECK_EQUAL(0U, front.pass(seconds(8.9)).size());
    auto commands = front.pass(seconds(0.2));
    CHECK(only<CancelAttempt>(commands).attempt == id);
    CHECK_EQUAL(504, only<RefuseRequest>(commands).status);
    FakeFront begun;
    streaming(begun, host, 1);
    CHECK(!only<AnswerDone>(begun.pass(seconds(9))).whole);
  }
}

TEST(RequestAttempts, SilenceBeforeTheFirstEventIsRetriedIfRepeatable) {
  for (auto host : {"safe", "resumed"}) {
    FakeFront front;
    AttemptId id = first(front, host);
    CHECK_EQUAL(0U, front.pass(seconds(1.9)).size());
    auto commands = front.pass(seconds(0.2));  // the target is half a second
    CHECK(only<CancelAttempt>(commands).attempt == id);
    STRCMP_EQUAL("e2", only<OpenAttempt>(commands).engine.value.c_str());
    CHECK(front.ledger.ends.front().how == AttemptEnd::kSilent);
  }
}

TEST(RequestAttempts, SilenceWithinAStreamResumesIt) {
  FakeFront front;
  AttemptId id = streaming(front, "resumed", 2);
  CHECK_EQUAL(0U, front.pass(seconds(1.1)).size());  // 0.6 of two seconds
  front.body(id, "e", 3);
  CHECK_EQUAL(0U, front.pass(seconds(1.1)).size());
  auto open = only<OpenAttempt>(front.pass(seconds(0.2)));
  CHECK_EQUAL(3U, *open.resumeAfter);
}

TEST(RequestAttempts, ASilentEngineKeepsItsRequestWhileNoOtherIsAvailable) {
  FakeFront front;
  front.placer.engines = 1;
  AttemptId id = first(front, "safe");
  CHECK_EQUAL(0U, front.pass(seconds(2.1)).size());
  front.placer.engines = 2;
  CHECK_EQUAL(0U, front.pass(seconds(0.1)).size());
  CHECK(only<CancelAttempt>(front.pass(seconds(0.2))).attempt == id);
}

TEST(RequestAttempts, ASlowClientPausesOnlyItsOwnAttempt) {
  FakeFront front;
  AttemptId id = streaming(front, "resumed", 2);
  front.requests.slow({{1}, true}, front.now, front.outbox);
  auto pause = only<PauseAttempt>(front.outbox.take());
  CHECK(pause.attempt == id && pause.paused);
  CHECK_EQUAL(0U, front.pass(seconds(5)).size());  // not counted as silence of the engine
  front.requests.slow({{1}, false}, front.now, front.outbox);
  CHECK(!only<PauseAttempt>(front.outbox.take()).paused);
  CHECK_EQUAL(1U, taken<OpenAttempt>(front.pass(seconds(1.3))).size());
}

TEST(RequestAttempts, AClientDisconnectCancelsTheAttempt) {
  FakeFront front;
  AttemptId id = first(front, "safe");
  front.requests.gone({1}, front.now, front.outbox);
  auto commands = front.outbox.take();
  CHECK_EQUAL(1U, commands.size());
  CHECK(only<CancelAttempt>(commands).attempt == id);
  CHECK(front.ledger.ends.front().how == AttemptEnd::kClientGone);
  CHECK_EQUAL(0U, front.turn(id, AttemptTurn::kBroken).size());
  CHECK_EQUAL(0U, front.requests.live());
}

TEST(RequestAttempts, WithdrawnKeysAndExpiredProofsStopOnlyNewAttempts) {
  for (bool key : {true, false}) {
    FakeFront front;
    AttemptId id = streaming(front, "resumed", 2);
    if (key) front.facts.byKey.clear();
    else front.facts.proofEnd = front.now;
    ++front.facts.change;
    CHECK_EQUAL(1U, taken<AnswerBody>(front.body(id, "e", 3)).size());
    auto commands = front.turn(id, AttemptTurn::kBroken);
    CHECK_EQUAL(0U, taken<OpenAttempt>(commands).size());
    // A withdrawn key is never restored. A proof may be renewed: the stream waits for one until its
    // deadline.
    if (!key) {
      CHECK_EQUAL(0U, front.pass(seconds(8.9)).size());
      commands = front.pass(seconds(0.1));
    }
    CHECK(!only<AnswerDone>(commands).whole);
    FakeFront unsent;
    id = only<OpenAttempt>(unsent.ask("unsafe")).attempt;
    if (key) unsent.facts.byKey.clear();
    else unsent.facts.proofEnd = unsent.now;
    auto refuse = only<RefuseRequest>(unsent.turn(id, AttemptTurn::kNotWritten));
    CHECK_EQUAL(key ? 401 : 503, refuse.status);
  }
}

TEST(RequestAttempts, ARemovedRouteGetsNoRetry) {
  FakeFront front;
  AttemptId id = first(front, "safe");
  front.facts.byHost.erase("safe");
  ++front.facts.change;
  CHECK_EQUAL(502, only<RefuseRequest>(front.turn(id, AttemptTurn::kBroken)).status);
}

TEST(RequestAttempts, ARouteThatBecameUnsafeIsNotRetried) {
  FakeFront front;
  AttemptId id = first(front, "safe");
  front.facts.byHost["safe"].kind = RouteKind::kUnsafe;
  ++front.facts.change;
  CHECK_EQUAL(502, only<RefuseRequest>(front.turn(id, AttemptTurn::kBroken)).status);
}

TEST(RequestAttempts, LoadAndVersionsAreRecorded) {
  FakeFront front;
  auto turned = FakeFront::headOf(first(front, "resumed"), 200);
  turned.load = EngineLoad{4, 1, 8};
  turned.versions[{"m"}] = {3};
  front.turn(turned);
  CHECK_EQUAL(4, front.ledger.running.front());
  CHECK(front.ledger.versions[{"m"}] == WeightsVersion{3});
  AttemptTurned event;
  event.attempt = turned.attempt;
  event.turn = AttemptTurn::kBody;
  event.bytes = "e";
  event.lastEvent = 1;
  event.newVersion = WeightsVersion{4};
  front.turn(event);
  CHECK(front.ledger.versions[{"m"}] == WeightsVersion{4});
}

TEST(RequestAttempts, AttemptsEndWithTheFaultOfTheEngine) {
  struct Row {
    int status;
    bool notRun;
    std::optional<WeightsVersion> tells;
    AttemptEnd how;
  };
  for (const Row& row :
       {Row{503, true, {}, AttemptEnd::kFull}, Row{421, true, {}, AttemptEnd::kOtherEngine},
        Row{421, true, WeightsVersion{2}, AttemptEnd::kGood},
        Row{500, false, {}, AttemptEnd::kBroken}, Row{200, false, {}, AttemptEnd::kGarbled}}) {
    FakeFront front;
    auto turned = FakeFront::headOf(first(front, "safe"), row.status, row.notRun);
    turned.success = false;
    if (row.tells) turned.versions[{"m"}] = *row.tells;
    front.turn(turned);
    CHECK(front.ledger.ends.front().how == row.how);
  }
}
