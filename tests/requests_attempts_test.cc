// Effect of engine responses, silence, deadlines and clients on a request, case by case.
#include "tests/requests_fakes.h"

using namespace peppergate;

namespace {

/// The reaction to the head of the first attempt's response, by host.
enum class Reaction : std::uint8_t { kForwarded, kRetried, kRejected502, kNoCommand };
struct HeadRow {
  const char* host;
  int status;
  bool notRun, success;
  Reaction reaction;
};
constexpr std::array<HeadRow, 26> kHeads{{
    // The head of a success is forwarded with the first bytes.
    {"unsafe", 200, false, true, Reaction::kNoCommand},
    {"unsafe", 200, false, false, Reaction::kRejected502},
    {"unsafe", 200, true, true, Reaction::kRejected502},
    {"unsafe", 302, false, false, Reaction::kForwarded},
    {"unsafe", 400, false, false, Reaction::kForwarded},
    {"unsafe", 400, true, false, Reaction::kRetried},
    {"unsafe", 408, false, false, Reaction::kRejected502},
    {"unsafe", 421, false, false, Reaction::kRetried},
    {"unsafe", 429, false, false, Reaction::kRejected502},
    {"unsafe", 429, true, false, Reaction::kRetried},
    {"unsafe", 500, false, false, Reaction::kForwarded},
    {"unsafe", 503, false, false, Reaction::kRejected502},
    {"unsafe", 503, true, false, Reaction::kRetried},
    {"unsafe", 504, false, false, Reaction::kForwarded},
    {"plain", 500, false, false, Reaction::kForwarded},
    {"plain", 503, false, false, Reaction::kRejected502},
    {"plain", 503, true, false, Reaction::kRetried},
    {"safe", 200, false, true, Reaction::kNoCommand},
    {"safe", 200, false, false, Reaction::kRetried},
    {"safe", 404, false, false, Reaction::kForwarded},
    {"safe", 429, false, false, Reaction::kRetried},
    {"safe", 500, false, false, Reaction::kRetried},
    {"safe", 503, true, false, Reaction::kRetried},
    {"resumed", 500, false, false, Reaction::kRetried},
    {"resumed", 503, false, false, Reaction::kRetried},
    {"resumed", 421, true, false, Reaction::kRetried},
}};

AttemptId startAttempt(FakeRouter& router, std::string_view host) {
  AttemptId id = only<OpenAttempt>(router.sendRequest(host)).attempt;
  router.sendEvent(id, AttemptEventKind::kWritten);
  return id;
}

AttemptId startStream(FakeRouter& router, std::string_view host, std::uint64_t events) {
  AttemptId id = startAttempt(router, host);
  router.sendHead(id, 200);
  for (std::uint64_t event = 1; event <= events; ++event) router.sendBody(id, "e", event);
  return id;
}

}  // namespace

TEST_GROUP(RequestAttempts){};

TEST(RequestAttempts, EachKindOfHeadIsForwardedRetriedOrRejected) {
  for (const auto& row : kHeads) {
    FakeRouter router;
    auto event = FakeRouter::makeHead(startAttempt(router, row.host), row.status, row.notRun);
    event.success = row.success;
    auto commands = router.sendEvent(event);
    CHECK_EQUAL(row.reaction == Reaction::kForwarded,
                commandsOf<ForwardResponseHead>(commands).size() == 1);
    CHECK_EQUAL(row.reaction == Reaction::kRetried, commandsOf<OpenAttempt>(commands).size() == 1);
    auto refused = commandsOf<RejectRequest>(commands);
    CHECK_EQUAL(row.reaction == Reaction::kRejected502, refused.size() == 1);
    if (!refused.empty()) CHECK_EQUAL(502, refused.front().status);
    CHECK_EQUAL(row.reaction == Reaction::kNoCommand, commands.empty());
    CHECK_EQUAL(0U, commandsOf<CancelAttempt>(commands).size());  // its connection may be reused
  }
}

TEST(RequestAttempts, AResponseIsForwardedWholeWithItsHeadAtTheFirstBytes) {
  for (auto host : kHosts) {
    FakeRouter router;
    AttemptId id = startAttempt(router, host);
    router.sendHead(id, 200);
    auto commands = router.sendBody(id, "abc", 1);
    CHECK_EQUAL(200, only<ForwardResponseHead>(commands).head->status);
    STRCMP_EQUAL("abc", only<ForwardResponseBody>(commands).bytes.c_str());
    commands = router.sendBody(id, "d", 2);
    CHECK_EQUAL(1U, commands.size());
    CHECK(only<FinishResponse>(router.sendEvent(id, AttemptEventKind::kComplete)).complete);
    CHECK_EQUAL(0U, router.requests.activeRequests());
    CHECK_EQUAL(1U, router.counter("requests.passed"));
    CHECK(router.engineTraffic.ends.front().outcome == AttemptOutcome::kSuccess &&
          router.engineTraffic.ends.front().hadFirst);
    CHECK_EQUAL(1, router.engineTraffic.firstEvents);
    CHECK_EQUAL(1, router.placer.firstEvents);
    CHECK_EQUAL(0, router.placer.endsWithoutEvent);
    CHECK_EQUAL(1U, router.prefixBlocks.recorded.size());
  }
}

TEST(RequestAttempts, AnEmptyResponseIsComplete) {
  FakeRouter router;
  AttemptId id = startAttempt(router, "unsafe");
  router.sendHead(id, 200);
  auto commands = router.sendEvent(id, AttemptEventKind::kComplete);
  CHECK_EQUAL(2U, commands.size());
  CHECK(std::holds_alternative<ForwardResponseHead>(commands[0]));
  CHECK(only<FinishResponse>(commands).complete);
}

TEST(RequestAttempts, BrokenUnsafeRequestsGet502OrAreTruncated) {
  for (auto host : {"unsafe", "plain"}) {
    FakeRouter router;
    auto commands = router.sendEvent(startAttempt(router, host), AttemptEventKind::kBroken);
    CHECK_EQUAL(502, only<RejectRequest>(commands).status);
    FakeRouter started;
    AttemptId id = startStream(started, host, 2);
    CHECK(!only<FinishResponse>(started.sendEvent(id, AttemptEventKind::kBroken)).complete);
  }
}

TEST(RequestAttempts, BrokenSafeRequestsAreRetriedUntilTheClientHasBytes) {
  FakeRouter router;
  AttemptId id = startAttempt(router, "safe");
  router.sendHead(id, 200);
  auto open = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kBroken));
  STRCMP_EQUAL("e2", open.engine.value.c_str());
  router.sendHead(open.attempt, 200);
  router.sendBody(open.attempt, "ab");
  CHECK(!only<FinishResponse>(router.sendEvent(open.attempt, AttemptEventKind::kBroken)).complete);
}

TEST(RequestAttempts, AttemptLimitCountsEnginesSentToButNotUnreachedOnes) {
  FakeRouter router;
  router.fleet.routeByHost["unsafe"].attempts = 2;
  AttemptId id = only<OpenAttempt>(router.sendRequest("unsafe")).attempt;
  for (int number = 0; number < 3; ++number)
    id = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kNotWritten)).attempt;
  id = only<OpenAttempt>(router.sendHead(id, 503, true)).attempt;
  auto event = FakeRouter::makeHead(id, 503, true);
  event.retryAfter = milliseconds(900);
  auto refuse = only<RejectRequest>(router.sendEvent(event));
  CHECK_EQUAL(503, refuse.status);
  CHECK(*refuse.retryAfter == milliseconds(900));
}

TEST(RequestAttempts, NeverReachingAnyEngineGets503) {
  FakeRouter router;
  router.placer.engineCount = 2;
  AttemptId id = only<OpenAttempt>(router.sendRequest("unsafe")).attempt;
  id = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kNotWritten)).attempt;
  CHECK_EQUAL(503, only<RejectRequest>(router.sendEvent(id, AttemptEventKind::kNotWritten)).status);
  CHECK(router.engineTraffic.ends.front().outcome == AttemptOutcome::kUnreachable);
  CHECK_EQUAL(2, router.placer.endsWithoutEvent);
}

TEST(RequestAttempts, AResumedStreamContinuesAfterTheClientsLastEvent) {
  FakeRouter router;
  AttemptId id = startStream(router, "resumed", 3);
  auto open = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kBroken));
  CHECK_EQUAL(3U, *open.resumeAfterEventId);
  CHECK(open.timeLeft == seconds(9));
  router.sendHead(open.attempt, 200);
  CHECK_EQUAL(0U, router.sendBody(open.attempt, "known", 2, 3).size());
  auto commands = router.sendBody(open.attempt, "e4", 4);
  CHECK_EQUAL(1U, commands.size());  // no second head
  STRCMP_EQUAL("e4", only<ForwardResponseBody>(commands).bytes.c_str());
  CHECK(only<FinishResponse>(router.sendEvent(open.attempt, AttemptEventKind::kComplete)).complete);
  CHECK_EQUAL(1U, router.counter("streams.resumed"));
}

TEST(RequestAttempts, AGapWhereRunsJoinIsRetriedOrTruncated) {
  FakeRouter router;
  AttemptId id = startStream(router, "resumed", 3);
  id = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kBroken)).attempt;
  router.sendHead(id, 200);
  auto commands = router.sendBody(id, "e6", 6);
  CHECK_EQUAL(1U, commandsOf<CancelAttempt>(commands).size());
  id = only<OpenAttempt>(commands).attempt;
  router.sendHead(id, 200);
  CHECK(!only<FinishResponse>(router.sendBody(id, "e6", 6)).complete);
}

TEST(RequestAttempts, EventIdsMayRiseByTheStride) {
  FakeRouter router;
  ServiceConfig service;
  service.engine = EngineConfig{};
  service.engine->maxTokensPerEvent = 5;
  router.fleet.fleetConfig.services[{"model"}] = service;
  AttemptId id = startStream(router, "resumed", 3);
  id = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kBroken)).attempt;
  router.sendHead(id, 200);
  CHECK_EQUAL(1U, commandsOf<ForwardResponseBody>(router.sendBody(id, "e8", 8)).size());
  id = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kBroken)).attempt;
  router.sendHead(id, 200);
  CHECK(!only<FinishResponse>(router.sendBody(id, "e14", 14)).complete);
}

TEST(RequestAttempts, ARunThatEndsBeforeTheClientsLastEventIsNotAnEnd) {
  FakeRouter router;
  router.fleet.routeByHost["resumed"].attempts = 2;
  AttemptId id = startStream(router, "resumed", 5);
  id = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kBroken)).attempt;
  router.sendHead(id, 200);
  router.sendBody(id, "e2", 2);
  CHECK(!only<FinishResponse>(router.sendEvent(id, AttemptEventKind::kComplete)).complete);
}

TEST(RequestAttempts, AResponseWithALengthIsNotContinued) {
  FakeRouter router;
  AttemptId id = startAttempt(router, "resumed");
  auto event = FakeRouter::makeHead(id, 200);
  auto head = std::make_shared<WireHead>(*event.head);
  head->bodyLength = 100;
  event.head = head;
  router.sendEvent(event);
  router.sendBody(id, "e1", 1);
  CHECK(!only<FinishResponse>(router.sendEvent(id, AttemptEventKind::kBroken)).complete);
}

TEST(RequestAttempts, AFailureWhileResumingIsRetriedOrTruncated) {
  FakeRouter router;
  AttemptId id = startStream(router, "resumed", 2);
  id = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kBroken)).attempt;
  id = only<OpenAttempt>(router.sendHead(id, 404)).attempt;
  auto commands = router.sendHead(id, 500);
  CHECK_EQUAL(0U, commandsOf<ForwardResponseHead>(commands).size());
  CHECK(!only<FinishResponse>(commands).complete);
}

TEST(RequestAttempts, AFailureIsForwardedUnchangedOnceNoAttemptIsLeft) {
  FakeRouter router;
  router.fleet.routeByHost["safe"].attempts = 1;
  AttemptId id = startAttempt(router, "safe");
  CHECK_EQUAL(503, only<ForwardResponseHead>(router.sendHead(id, 503)).head->status);
  STRCMP_EQUAL("why", only<ForwardResponseBody>(router.sendBody(id, "why")).bytes.c_str());
  CHECK(only<FinishResponse>(router.sendEvent(id, AttemptEventKind::kComplete)).complete);
  CHECK_EQUAL(1U, router.counter("requests.failed"));
}

TEST(RequestAttempts, AtTheDeadlineRequestsGet504OrAreTruncated) {
  for (auto host : {"unsafe", "plain"}) {
    FakeRouter router;
    AttemptId id = startAttempt(router, host);
    CHECK_EQUAL(0U, router.advance(seconds(8.9)).size());
    auto commands = router.advance(seconds(0.2));
    CHECK(only<CancelAttempt>(commands).attempt == id);
    CHECK_EQUAL(504, only<RejectRequest>(commands).status);
    FakeRouter started;
    startStream(started, host, 1);
    CHECK(!only<FinishResponse>(started.advance(seconds(9))).complete);
  }
}

TEST(RequestAttempts, SilenceBeforeTheFirstEventIsRetriedIfRepeatable) {
  for (auto host : {"safe", "resumed"}) {
    FakeRouter router;
    AttemptId id = startAttempt(router, host);
    CHECK_EQUAL(0U, router.advance(seconds(1.9)).size());
    auto commands = router.advance(seconds(0.2));  // the target is half a second
    CHECK(only<CancelAttempt>(commands).attempt == id);
    STRCMP_EQUAL("e2", only<OpenAttempt>(commands).engine.value.c_str());
    CHECK(router.engineTraffic.ends.front().outcome == AttemptOutcome::kTimeout);
  }
}

TEST(RequestAttempts, SilenceWithinAStreamResumesIt) {
  FakeRouter router;
  AttemptId id = startStream(router, "resumed", 2);
  CHECK_EQUAL(0U, router.advance(seconds(1.1)).size());  // 0.6 of two seconds
  router.sendBody(id, "e", 3);
  CHECK_EQUAL(0U, router.advance(seconds(1.1)).size());
  auto open = only<OpenAttempt>(router.advance(seconds(0.2)));
  CHECK_EQUAL(3U, *open.resumeAfterEventId);
}

TEST(RequestAttempts, ASilentEngineKeepsItsRequestWhileNoOtherIsAvailable) {
  FakeRouter router;
  router.placer.engineCount = 1;
  AttemptId id = startAttempt(router, "safe");
  CHECK_EQUAL(0U, router.advance(seconds(2.1)).size());
  router.placer.engineCount = 2;
  CHECK_EQUAL(0U, router.advance(seconds(0.1)).size());
  CHECK(only<CancelAttempt>(router.advance(seconds(0.2))).attempt == id);
}

TEST(RequestAttempts, ASlowClientPausesOnlyItsOwnAttempt) {
  FakeRouter router;
  AttemptId id = startStream(router, "resumed", 2);
  router.requests.handleBackpressure({{1}, true}, router.now, router.outbox);
  auto pause = only<PauseAttempt>(router.outbox.takeCommands());
  CHECK(pause.attempt == id && pause.paused);
  CHECK_EQUAL(0U, router.advance(seconds(5)).size());  // not counted as silence of the engine
  router.requests.handleBackpressure({{1}, false}, router.now, router.outbox);
  CHECK(!only<PauseAttempt>(router.outbox.takeCommands()).paused);
  CHECK_EQUAL(1U, commandsOf<OpenAttempt>(router.advance(seconds(1.3))).size());
}

TEST(RequestAttempts, AClientDisconnectCancelsTheAttempt) {
  FakeRouter router;
  AttemptId id = startAttempt(router, "safe");
  router.requests.handleCancelled({1}, router.now, router.outbox);
  auto commands = router.outbox.takeCommands();
  CHECK_EQUAL(1U, commands.size());
  CHECK(only<CancelAttempt>(commands).attempt == id);
  CHECK(router.engineTraffic.ends.front().outcome == AttemptOutcome::kClientDisconnected);
  CHECK_EQUAL(0U, router.sendEvent(id, AttemptEventKind::kBroken).size());
  CHECK_EQUAL(0U, router.requests.activeRequests());
}

TEST(RequestAttempts, WithdrawnKeysAndExpiredProofsStopOnlyNewAttempts) {
  for (bool key : {true, false}) {
    FakeRouter router;
    AttemptId id = startStream(router, "resumed", 2);
    if (key) router.fleet.tenantByKey.clear();
    else router.fleet.proofExpiry = router.now;
    ++router.fleet.installs;
    CHECK_EQUAL(1U, commandsOf<ForwardResponseBody>(router.sendBody(id, "e", 3)).size());
    auto commands = router.sendEvent(id, AttemptEventKind::kBroken);
    CHECK_EQUAL(0U, commandsOf<OpenAttempt>(commands).size());
    // A withdrawn key is never restored. A proof may be renewed: the stream waits for one until its
    // deadline.
    if (!key) {
      CHECK_EQUAL(0U, router.advance(seconds(8.9)).size());
      commands = router.advance(seconds(0.1));
    }
    CHECK(!only<FinishResponse>(commands).complete);
    FakeRouter unsent;
    id = only<OpenAttempt>(unsent.sendRequest("unsafe")).attempt;
    if (key) unsent.fleet.tenantByKey.clear();
    else unsent.fleet.proofExpiry = unsent.now;
    auto refuse = only<RejectRequest>(unsent.sendEvent(id, AttemptEventKind::kNotWritten));
    CHECK_EQUAL(key ? 401 : 503, refuse.status);
  }
}

TEST(RequestAttempts, ARemovedRouteGetsNoRetry) {
  FakeRouter router;
  AttemptId id = startAttempt(router, "safe");
  router.fleet.routeByHost.erase("safe");
  ++router.fleet.installs;
  CHECK_EQUAL(502, only<RejectRequest>(router.sendEvent(id, AttemptEventKind::kBroken)).status);
}

TEST(RequestAttempts, ARouteThatBecameUnsafeIsNotRetried) {
  FakeRouter router;
  AttemptId id = startAttempt(router, "safe");
  router.fleet.routeByHost["safe"].kind = RouteKind::kUnsafe;
  ++router.fleet.installs;
  CHECK_EQUAL(502, only<RejectRequest>(router.sendEvent(id, AttemptEventKind::kBroken)).status);
}

TEST(RequestAttempts, LoadAndVersionsAreRecorded) {
  FakeRouter router;
  auto event = FakeRouter::makeHead(startAttempt(router, "resumed"), 200);
  event.load = EngineLoad{4, 1, 8};
  event.versions[{"m"}] = {3};
  router.sendEvent(event);
  CHECK_EQUAL(4, router.engineTraffic.reportedRunning.front());
  CHECK(router.engineTraffic.versions[{"m"}] == WeightsVersion{3});
  AttemptEvent bodyEvent;
  bodyEvent.attempt = event.attempt;
  bodyEvent.kind = AttemptEventKind::kBody;
  bodyEvent.bytes = "e";
  bodyEvent.lastEventId = 1;
  bodyEvent.newVersion = WeightsVersion{4};
  router.sendEvent(bodyEvent);
  CHECK(router.engineTraffic.versions[{"m"}] == WeightsVersion{4});
}

TEST(RequestAttempts, AttemptsEndWithTheFaultOfTheEngine) {
  struct Row {
    int status;
    bool notRun;
    std::optional<WeightsVersion> tells;
    AttemptOutcome outcome;
  };
  for (const Row& row : {Row{503, true, {}, AttemptOutcome::kAtCapacity},
                         Row{421, true, {}, AttemptOutcome::kWrongEngine},
                         Row{421, true, WeightsVersion{2}, AttemptOutcome::kSuccess},
                         Row{500, false, {}, AttemptOutcome::kConnectionBroken},
                         Row{200, false, {}, AttemptOutcome::kInvalidResponse}}) {
    FakeRouter router;
    auto event = FakeRouter::makeHead(startAttempt(router, "safe"), row.status, row.notRun);
    event.success = false;
    if (row.tells) event.versions[{"m"}] = *row.tells;
    router.sendEvent(event);
    CHECK(router.engineTraffic.ends.front().outcome == row.outcome);
  }
}
