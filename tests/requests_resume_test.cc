// What ends a stream in progress and what doesn't: one test per row of docs/design-requests.md.
#include "tests/requests_fakes.h"

using namespace peppergate;

namespace {

/// Just above the longest wait of a suspended stream.
constexpr Duration kAboveMaxWait = milliseconds(260);

/// Starts a resumable stream and forwards its first events.
AttemptId startStream(FakeRouter& router, std::uint64_t events = 3) {
  AttemptId id = only<OpenAttempt>(router.sendRequest("resumed")).attempt;
  router.sendEvent(id, AttemptEventKind::kWritten);
  router.sendHead(id, 200);
  for (std::uint64_t event = 1; event <= events; ++event) router.sendBody(id, "e", event);
  return id;
}

/// Starts a stream and suspends it: its engine closes the connection while no other is available.
void startSuspendedStream(FakeRouter& router) {
  AttemptId id = startStream(router);
  router.placer.engineCount = 0;
  CHECK_EQUAL(0U, router.sendEvent(id, AttemptEventKind::kBroken).size());
  router.placer.engineCount = 5;
}

bool truncated(const std::vector<Command>& commands) {
  auto ends = commandsOf<FinishResponse>(commands);
  return ends.size() == 1 && !ends.front().complete;
}

/// Completes a stream that continues after its third event.
void completeStream(FakeRouter& router, const OpenAttempt& open) {
  CHECK_EQUAL(3U, open.resumeAfterEventId.value_or(0));
  router.sendEvent(open.attempt, AttemptEventKind::kWritten);
  router.sendHead(open.attempt, 200);
  CHECK_EQUAL(1U, commandsOf<ForwardResponseBody>(router.sendBody(open.attempt, "e", 4)).size());
  CHECK(only<FinishResponse>(router.sendEvent(open.attempt, AttemptEventKind::kComplete)).complete);
}

}  // namespace

TEST_GROUP(StreamResumption){};

TEST(StreamResumption, AStreamDeclinedByItsSecondEngineTriesAThird) {
  FakeRouter router;
  router.fleet.routeByHost["resumed"].attempts = 2;
  AttemptId id =
      only<OpenAttempt>(router.sendEvent(startStream(router), AttemptEventKind::kBroken)).attempt;
  auto open = only<OpenAttempt>(router.sendHead(id, 503, true));
  STRCMP_EQUAL("e3", open.engine.value.c_str());
  completeStream(router, open);
}

TEST(StreamResumption, BeforeTheHeadADeclineCountsAsAnAttempt) {
  FakeRouter router;
  router.fleet.routeByHost["resumed"].attempts = 2;
  AttemptId id = only<OpenAttempt>(router.sendRequest("resumed")).attempt;
  id = only<OpenAttempt>(router.sendHead(id, 503, true)).attempt;
  CHECK_EQUAL(503, only<RejectRequest>(router.sendHead(id, 503, true)).status);
}

TEST(StreamResumption, BrokenRunsUseUpTheRoutesAttempts) {
  FakeRouter router;
  router.fleet.routeByHost["resumed"].attempts = 2;
  AttemptId id =
      only<OpenAttempt>(router.sendEvent(startStream(router), AttemptEventKind::kBroken)).attempt;
  router.sendHead(id, 200);
  router.sendBody(id, "e", 4);
  CHECK(truncated(router.sendEvent(id, AttemptEventKind::kBroken)));
}

TEST(StreamResumption, WithoutAnEngineTheStreamIsSuspended) {
  for (auto fault : {PlacementFailure::kNoEngine, PlacementFailure::kFull}) {
    FakeRouter router;
    router.placer.refusal.reason = fault;
    startSuspendedStream(router);
    router.placer.engineCount = 0;
    for (int look = 0; look < 4; ++look) CHECK_EQUAL(0U, router.advance(kAboveMaxWait).size());
    router.placer.engineCount = 1;  // the engine that it started on may be used again
    completeStream(router, only<OpenAttempt>(router.advance(kAboveMaxWait)));
  }
}

TEST(StreamResumption, ASuspendedStreamIsTruncatedAtItsDeadline) {
  FakeRouter router;
  startSuspendedStream(router);
  router.placer.engineCount = 0;
  CHECK_EQUAL(0U, router.advance(seconds(8.9)).size());
  CHECK(truncated(router.advance(seconds(0.1))));
  CHECK_EQUAL(0U, router.requests.activeRequests());
}

TEST(StreamResumption, WithTooLittleTimeForAnAttemptItIsTruncatedAtItsDeadline) {
  FakeRouter router;
  AttemptId id = startStream(router);
  router.advance(seconds(0.9));
  for (int event = 4; event < 12; ++event) {
    router.sendBody(id, "e", static_cast<std::uint64_t>(event));
    CHECK_EQUAL(0U, router.advance(seconds(1)).size());
  }
  router.advance(seconds(0.08));  // 20 ms are left, less than a tenth of the target
  CHECK_EQUAL(0U, router.sendEvent(id, AttemptEventKind::kBroken).size());
  CHECK(truncated(router.advance(seconds(0.02))));
}

TEST(StreamResumption, AStreamOverTheRetryBudgetWaitsForBudget) {
  FakeRouter router;
  router.options.budgetShare = 0.5;  // four first attempts allow one retry
  CHECK_EQUAL(0U, router.sendEvent(startStream(router), AttemptEventKind::kBroken).size());
  CHECK_EQUAL(0U, router.advance(kAboveMaxWait).size());
  for (std::uint64_t other = 2; other <= 4; ++other) router.sendRequest("plain", other);
  completeStream(router, only<OpenAttempt>(router.advance(kAboveMaxWait)));
}

TEST(StreamResumption, PartOfTheBudgetIsReservedForStreamsInProgress) {
  FakeRouter router;
  router.options.budgetShare = 0.5;
  AttemptId stream = startStream(router);
  AttemptId safe = only<OpenAttempt>(router.sendRequest("safe", 2)).attempt;
  router.sendEvent(safe, AttemptEventKind::kWritten);
  router.sendRequest("plain", 3);
  router.sendRequest("plain", 4);
  CHECK_EQUAL(502, only<RejectRequest>(router.sendEvent(safe, AttemptEventKind::kBroken)).status);
  CHECK_EQUAL(1U,
              commandsOf<OpenAttempt>(router.sendEvent(stream, AttemptEventKind::kBroken)).size());
}

TEST(StreamResumption, WithoutAProofOfFreshnessAStreamWaitsForOne) {
  FakeRouter router;
  AttemptId id = startStream(router);
  router.fleet.proofExpiry = router.now;
  CHECK_EQUAL(0U, router.sendEvent(id, AttemptEventKind::kBroken).size());
  CHECK_EQUAL(0U, router.advance(kAboveMaxWait).size());
  router.fleet.proofExpiry = kForever;
  completeStream(router, only<OpenAttempt>(router.advance(kAboveMaxWait)));
}

TEST(StreamResumption, AFailureOfTheNextEngineSuspendsAStream) {
  for (int status : {404, 500, 503}) {
    FakeRouter router;
    AttemptId id =
        only<OpenAttempt>(router.sendEvent(startStream(router), AttemptEventKind::kBroken)).attempt;
    router.placer.engineCount = 0;
    CHECK_EQUAL(0U, router.sendHead(id, status).size());
    router.placer.engineCount = 5;
    completeStream(router, only<OpenAttempt>(router.advance(kAboveMaxWait)));
  }
}

TEST(StreamResumption, UnreachableEnginesSuspendAStream) {
  FakeRouter router;
  router.placer.engineCount = 20;
  auto commands = router.sendEvent(startStream(router), AttemptEventKind::kBroken);
  for (int number = 0; number < 6; ++number)
    commands = router.sendEvent(only<OpenAttempt>(commands).attempt, AttemptEventKind::kNotWritten);
  CHECK_EQUAL(0U, commands.size());
  completeStream(router, only<OpenAttempt>(router.advance(kAboveMaxWait)));
}

TEST(StreamResumption, AStreamDeclinedByAllEnginesRetriesAtALimitedRate) {
  FakeRouter router;
  router.options.budgetShare = 1000;
  auto commands = router.sendEvent(startStream(router), AttemptEventKind::kBroken);
  int attempts = 0;
  for (int step = 0; step < 100; ++step) {  // a second
    while (!commandsOf<OpenAttempt>(commands).empty()) {
      ++attempts;
      auto event = FakeRouter::makeHead(only<OpenAttempt>(commands).attempt, 503, true);
      event.retryAfter = milliseconds(1);
      commands = router.sendEvent(event);
      CHECK(!truncated(commands));
    }
    commands = router.advance(milliseconds(10));
  }
  CHECK(attempts >= 10);
  CHECK(attempts <= 25);
}

TEST(StreamResumption, AStreamContinuesAfterItsRouteIsRemoved) {
  FakeRouter router;
  AttemptId id = startStream(router);
  router.fleet.routeByHost.erase("resumed");
  ++router.fleet.installs;
  auto open = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kBroken));
  STRCMP_EQUAL("red", open.tenant.value.c_str());
  completeStream(router, open);
}

// Guards against taking the events of a removed service for a gap: its ids rise as before.
TEST(StreamResumption, EventIdsOfARemovedServiceMayRiseByItsStride) {
  FakeRouter router;
  ServiceConfig service;
  service.engine = EngineConfig{};
  service.engine->maxTokensPerEvent = 5;
  router.fleet.fleetConfig.services[{"model"}] = service;
  AttemptId id = startStream(router);
  router.fleet.routeByHost.erase("resumed");
  router.fleet.fleetConfig.services.clear();
  ++router.fleet.installs;
  id = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kBroken)).attempt;
  router.sendHead(id, 200);
  CHECK_EQUAL(1U, commandsOf<ForwardResponseBody>(router.sendBody(id, "e", 8)).size());
}

TEST(StreamResumption, AStreamWhoseServiceIsRemovedIsSuspendedUntilItsDeadline) {
  FakeRouter router;
  AttemptId id = startStream(router);
  router.fleet.routeByHost.erase("resumed");
  ++router.fleet.installs;
  router.placer.engineCount = 0;
  CHECK_EQUAL(0U, router.sendEvent(id, AttemptEventKind::kBroken).size());
  CHECK(truncated(router.advance(seconds(9))));
}

TEST(StreamResumption, AWithdrawnKeyTruncatesAStreamThatNeedsAnAttempt) {
  FakeRouter router;
  AttemptId id = startStream(router);
  router.fleet.tenantByKey.clear();
  ++router.fleet.installs;
  CHECK_EQUAL(1U, commandsOf<ForwardResponseBody>(router.sendBody(id, "e", 4)).size());
  CHECK(truncated(router.sendEvent(id, AttemptEventKind::kBroken)));
  FakeRouter waiting;
  startSuspendedStream(waiting);
  waiting.fleet.tenantByKey.clear();
  ++waiting.fleet.installs;
  auto commands = waiting.advance(kAboveMaxWait);
  CHECK(truncated(commands));
  CHECK_EQUAL(0U, commandsOf<OpenAttempt>(commands).size());
}

TEST(StreamResumption, AKeyMovedToAnotherTenantTruncatesTheStream) {
  FakeRouter router;
  AttemptId id = startStream(router);
  router.fleet.tenantByKey["key"].name = {"blue"};
  ++router.fleet.installs;
  CHECK(truncated(router.sendEvent(id, AttemptEventKind::kBroken)));
}

TEST(StreamResumption, ARouteThatIsNoLongerResumableTruncatesTheStream) {
  FakeRouter router;
  AttemptId id = startStream(router);
  router.fleet.routeByHost["resumed"].resumable = false;
  ++router.fleet.installs;
  CHECK(truncated(router.sendEvent(id, AttemptEventKind::kBroken)));
}

TEST(StreamResumption, OtherConfigurationChangesDontAffectAStream) {
  FakeRouter router;
  AttemptId id = startStream(router);
  router.fleet.fleetConfig.version = {2};
  router.fleet.routeByHost.erase("safe");
  router.fleet.routeByHost["resumed"].responseTarget = milliseconds(700);
  ++router.fleet.installs;
  CHECK_EQUAL(1U, commandsOf<ForwardResponseBody>(router.sendBody(id, "e", 4)).size());
  CHECK(only<FinishResponse>(router.sendEvent(id, AttemptEventKind::kComplete)).complete);
}

TEST(StreamResumption, SilenceEndsNothingWhileNoOtherEngineIsAvailable) {
  FakeRouter router;
  AttemptId id = startStream(router);
  router.placer.engineCount = 0;
  for (int second = 0; second < 8; ++second) CHECK_EQUAL(0U, router.advance(seconds(1)).size());
  CHECK_EQUAL(1U, commandsOf<ForwardResponseBody>(router.sendBody(id, "e", 4)).size());
  CHECK(only<FinishResponse>(router.sendEvent(id, AttemptEventKind::kComplete)).complete);
}

TEST(StreamResumption, AResponseThatCantBeContinuedIsTruncatedAtOnce) {
  for (auto host : {"plain", "safe", "unsafe"}) {
    FakeRouter router;
    AttemptId id = only<OpenAttempt>(router.sendRequest(host)).attempt;
    router.sendEvent(id, AttemptEventKind::kWritten);
    router.sendHead(id, 200);
    router.sendBody(id, "e", 1);
    CHECK(truncated(router.sendEvent(id, AttemptEventKind::kBroken)));
  }
}

TEST(StreamResumption, BeforeTheHeadNothingIsSuspended) {
  for (auto host : kHosts) {
    FakeRouter router;
    AttemptId id = only<OpenAttempt>(router.sendRequest(host)).attempt;
    router.sendEvent(id, AttemptEventKind::kWritten);
    router.placer.engineCount = 0;
    CHECK_EQUAL(502, only<RejectRequest>(router.sendEvent(id, AttemptEventKind::kBroken)).status);
    FakeRouter unrun;
    id = only<OpenAttempt>(unrun.sendRequest(host)).attempt;
    unrun.placer.engineCount = 0;
    auto refuse = only<RejectRequest>(unrun.sendHead(id, 503, true));
    CHECK_EQUAL(503, refuse.status);
    CHECK(refuse.retryAfter.has_value());
  }
}

TEST(StreamResumption, ADisconnectDuringSuspensionRemovesTheRequest) {
  FakeRouter router;
  startSuspendedStream(router);
  router.requests.handleCancelled({1}, router.now, router.outbox);
  CHECK_EQUAL(0U, router.outbox.takeCommands().size());
  CHECK_EQUAL(0U, router.requests.activeRequests());
  CHECK_EQUAL(0U, router.advance(seconds(10)).size());
}

TEST(StreamResumption, AStreamOfASlowClientIsResumed) {
  FakeRouter router;
  startSuspendedStream(router);
  router.requests.handleBackpressure({{1}, true}, router.now, router.outbox);
  CHECK_EQUAL(0U, router.outbox.takeCommands().size());
  auto commands = router.advance(kAboveMaxWait);
  CHECK(only<PauseAttempt>(commands).paused);
  CHECK_EQUAL(1U, commandsOf<OpenAttempt>(commands).size());
}

TEST(StreamResumption, ADrainingRouterContinuesItsStreams) {
  FakeRouter router;
  AttemptId id = startStream(router);
  router.requests.startDraining(router.now);
  router.advance(seconds(1));
  router.sendBody(id, "e", 4);
  router.placer.engineCount = 0;
  CHECK_EQUAL(0U, router.sendEvent(id, AttemptEventKind::kBroken).size());
  router.advance(seconds(2));
  router.placer.engineCount = 5;
  auto open = only<OpenAttempt>(router.advance(kAboveMaxWait));
  CHECK_EQUAL(4U, *open.resumeAfterEventId);
}

TEST(StreamResumption, ADrainingRouterRejectsLateRequests) {
  FakeRouter router;
  router.requests.startDraining(router.now);
  router.advance(seconds(2.7));
  CHECK_EQUAL(1U, commandsOf<OpenAttempt>(router.sendRequest("safe", 1)).size());
  router.advance(seconds(0.2));
  router.requests.startDraining(router.now);  // a repeated call has no effect
  for (std::uint64_t id = 2; id <= 5; ++id) {
    auto refuse = only<RejectRequest>(router.sendRequest(kHosts[id - 2], id));
    CHECK_EQUAL(503, refuse.status);
    CHECK(refuse.retryAfter.has_value());
  }
}

TEST(StreamResumption, ADrainingRouterRejectsWaitingRequestsBeforeItExits) {
  FakeRouter router;
  router.options.graceTime = seconds(8);
  router.requests.startDraining(router.now);
  AttemptId written = only<OpenAttempt>(router.sendRequest("unsafe", 1)).attempt;
  router.sendEvent(written, AttemptEventKind::kWritten);
  AttemptId stream = only<OpenAttempt>(router.sendRequest("plain", 2)).attempt;
  router.sendHead(stream, 200);
  router.sendBody(stream, "e", 1);
  CHECK_EQUAL(0U, router.advance(seconds(7.1)).size());
  auto commands = router.advance(seconds(0.1));
  CHECK(only<CancelAttempt>(commands).attempt == written);
  CHECK_EQUAL(502, only<RejectRequest>(commands).status);
  CHECK_EQUAL(0U, commandsOf<FinishResponse>(commands).size());  // the stream may still complete
  CHECK(only<FinishResponse>(router.sendEvent(stream, AttemptEventKind::kComplete)).complete);
}
