// Handling of a request before its first attempt: immediate rejections, the weighted choice of a
// service, urgency, and the contents of the attempt.
#include "requests/request_rules.h"
#include "tests/requests_fakes.h"

using namespace peppergate;

namespace {

struct RefusalRow {
  const char* kind;
  int status;
  void (*change)(FakeRouter&, RequestArrived&);
};
constexpr std::array<RefusalRow, 11> kRefusals{{
    {"not_installed", 503,
     [](FakeRouter& router, RequestArrived&) { router.fleet.isInstalled = false; }},
    {"stale", 503,
     [](FakeRouter& router, RequestArrived&) { router.fleet.proofExpiry = router.now; }},
    {"no_route", 404, [](FakeRouter&, RequestArrived& request) { request.host = "elsewhere"; }},
    {"no_route", 404, [](FakeRouter&, RequestArrived& request) { request.path = "/b/"; }},
    {"unknown_key", 401, [](FakeRouter&, RequestArrived& request) { request.key = "other"; }},
    {"unknown_key", 401, [](FakeRouter&, RequestArrived& request) { request.key.clear(); }},
    {"unknown_key", 401,
     [](FakeRouter& router, RequestArrived&) { router.fleet.tenantByKey.clear(); }},
    {"too_late", 503,
     [](FakeRouter&, RequestArrived& request) { request.timeLeft = milliseconds(40); }},
    {"no_engine", 503, [](FakeRouter& router, RequestArrived&) { router.placer.engineCount = 0; }},
    {"full", 503,
     [](FakeRouter& router, RequestArrived&) {
       router.placer.engineCount = 0;
       router.placer.refusal = {PlacementFailure::kFull, milliseconds(700)};
     }},
    {"full", 503,
     [](FakeRouter& router, RequestArrived&) {
       router.placer.engineCount = 0;
       router.placer.refusal = {PlacementFailure::kFull, seconds(60)};
     }},
}};

}  // namespace

TEST_GROUP(RequestAdmission){};

TEST(RequestAdmission, RejectionsAreTypedAndImmediate) {
  for (const auto& row : kRefusals)
    for (auto host : kHosts) {
      FakeRouter router;
      auto request = FakeRouter::makeRequest(host, 1);
      row.change(router, request);
      auto commands = router.sendRequest(std::move(request));
      CHECK_EQUAL(1U, commands.size());
      auto refuse = only<RejectRequest>(commands);
      CHECK_EQUAL(row.status, refuse.status);
      STRCMP_EQUAL(row.kind, std::string(refuse.kind).c_str());
      CHECK_EQUAL(row.status == 503, refuse.retryAfter.has_value());
      CHECK_EQUAL(0U, router.requests.activeRequests());
      CHECK_EQUAL(1U, router.counter(std::string("requests.refused.") + row.kind));
    }
}

TEST(RequestAdmission, RetryAfterIsTheForecastOrRandomAndBounded) {
  FakeRouter router;
  router.fleet.proofExpiry = router.now;
  std::set<std::int64_t> seen;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    auto wait = *only<RejectRequest>(router.sendRequest("unsafe", id)).retryAfter;
    CHECK(wait >= seconds(0.2) && wait <= seconds(0.6));
    seen.insert(wait.microseconds);
  }
  CHECK(seen.size() > 40);
  router.fleet.proofExpiry = kForever;
  router.placer.engineCount = 0;
  router.placer.refusal = {PlacementFailure::kFull, milliseconds(700)};
  CHECK(*only<RejectRequest>(router.sendRequest("unsafe", 60)).retryAfter == milliseconds(700));
  router.placer.refusal = {PlacementFailure::kFull, seconds(60)};
  CHECK(*only<RejectRequest>(router.sendRequest("unsafe", 61)).retryAfter <= seconds(3));
}

TEST(RequestAdmission, AnAttemptCarriesAllThatTheEngineNeeds) {
  FakeRouter router;
  router.fleet.proofExpiry = router.now + seconds(2);
  auto request = FakeRouter::makeRequest("resumed", 4);
  request.resumeAfterEventId = 12;
  auto open = only<OpenAttempt>(router.sendRequest(std::move(request)));
  CHECK(open.request == RequestId{4});
  STRCMP_EQUAL("client-4", open.clientId.c_str());
  STRCMP_EQUAL("e1:80", open.address.value.c_str());
  STRCMP_EQUAL("e1", open.engine.value.c_str());
  CHECK(open.wire != nullptr);
  CHECK(open.stream);
  CHECK(open.timeLeft == seconds(9));
  CHECK_EQUAL(12U, *open.resumeAfterEventId);
  STRCMP_EQUAL("red", open.tenant.value.c_str());
  STRCMP_EQUAL("salt", open.salt.c_str());
  CHECK(*open.expectedVersion == WeightsVersion{3});
  STRCMP_EQUAL("store:1", open.collectFrom->value.c_str());
  STRCMP_EQUAL("store:2", open.depositAt->value.c_str());
  CHECK(open.writeBefore == router.now + seconds(2));
  CHECK_EQUAL(1, router.engineTraffic.openAttempts);
  router.fleet.proofExpiry = kForever;
  CHECK(only<OpenAttempt>(router.sendRequest("unsafe", 5)).writeBefore == router.now + seconds(9));
  CHECK(!only<OpenAttempt>(router.sendRequest("safe", 6)).stream);
}

TEST(RequestAdmission, TheRoutesTimeoutBoundsTheTimeLeft) {
  FakeRouter router;
  router.fleet.routeByHost["safe"].timeout = seconds(4);
  CHECK(only<OpenAttempt>(router.sendRequest("safe", 1)).timeLeft == seconds(4));
  auto request = FakeRouter::makeRequest("safe", 2);
  request.timeLeft.reset();
  CHECK(only<OpenAttempt>(router.sendRequest(std::move(request))).timeLeft == seconds(4));
}

TEST(RequestAdmission, OpenRoutesNeedNoKeyAndHaveNoTenant) {
  FakeRouter router;
  router.fleet.routeByHost["safe"].allowsAnonymous = true;
  CHECK(only<OpenAttempt>(router.sendRequest("safe", 1)).tenant.value.empty());
  router.fleet.fleetConfig.tenants.clear();
  router.fleet.fleetConfig.requiresKeys = false;  // the configuration has no list of tenants
  auto request = FakeRouter::makeRequest("unsafe", 2);
  request.key.clear();
  CHECK(only<OpenAttempt>(router.sendRequest(std::move(request))).tenant.value.empty());
}

// Guards against keys that work again: once no tenant is left, no key is known and none is needed
// only if the configuration has no list of tenants at all.
TEST(RequestAdmission, UnknownKeysAreRejectedWithoutAnyTenant) {
  for (bool requiresKeys : {true, false})
    for (const char* key : {"key", "made-up", ""}) {
      FakeRouter router;
      router.fleet.fleetConfig.tenants.clear();
      router.fleet.tenantByKey.clear();
      router.fleet.fleetConfig.requiresKeys = requiresKeys;
      auto request = FakeRouter::makeRequest("unsafe", 1);
      request.key = key;
      auto commands = router.sendRequest(std::move(request));
      bool isAdmitted = !requiresKeys && *key == '\0';
      CHECK_EQUAL(isAdmitted ? 1U : 0U, commandsOf<OpenAttempt>(commands).size());
      if (!isAdmitted) CHECK_EQUAL(401, only<RejectRequest>(commands).status);
    }
}

// Guards against a run between attempts: the last tenant is removed while its request is retried.
TEST(RequestAdmission, TheRemovalOfTheLastTenantEndsRetries) {
  FakeRouter router;
  AttemptId id = only<OpenAttempt>(router.sendRequest("safe", 1)).attempt;
  router.fleet.fleetConfig.tenants.clear();
  router.fleet.tenantByKey.clear();
  ++router.fleet.installs;
  auto commands = router.sendHead(id, 503, true);
  CHECK_EQUAL(0U, commandsOf<OpenAttempt>(commands).size());
  CHECK_EQUAL(401, only<RejectRequest>(commands).status);
}

TEST(RequestAdmission, ServicesAreChosenByWeightAndEachClientIdKeepsItsService) {
  Route route = routeOf(RouteKind::kSafe);
  route.services = {{ServiceName{"a"}, 90}, {ServiceName{"none"}, 0}, {ServiceName{"b"}, 10}};
  int toB = 0;
  for (int number = 0; number < 10'000; ++number) {
    std::string id = "id-" + std::to_string(number);
    auto* chosen = chooseService(route, id);
    CHECK(chosen == chooseService(route, id));
    CHECK(chosen->service != ServiceName{"none"});
    toB += chosen->service == ServiceName{"b"};
  }
  CHECK(toB > 900 && toB < 1100);
  route.services.clear();
  CHECK(chooseService(route, "id") == nullptr);
}

TEST(RequestAdmission, UrgencyRanksByTenantFirstAndRouteSecond) {
  FleetConfig config;
  for (int urgency : {0, 2, 7}) {
    std::string name = "t" + std::to_string(urgency);
    config.tenants[{name}] = TenantConfig{{name}, urgency, false};
  }
  for (int urgency : {0, 1, 2, 9}) {
    Route route;
    route.urgency = urgency;
    config.routes.push_back(route);
  }
  UrgencyTable table(config);
  int last = 0;
  for (int tenant : {0, 2, 7})
    for (int route : {0, 1, 2, 9}) {
      int rank = table.rankOf(tenant, route);
      CHECK(rank >= last && rank <= 9);
      last = rank;
    }
  CHECK_EQUAL(0, table.rankOf(0, 0));
  CHECK(table.rankOf(0, 9) < table.rankOf(2, 9));
  CHECK_EQUAL(9, table.rankOf(7, 9));
}

TEST(RequestAdmission, UrgencyFollowsTheCurrentConfiguration) {
  FakeRouter router;
  CHECK_EQUAL(0, only<OpenAttempt>(router.sendRequest("safe", 1)).urgency);
  router.fleet.fleetConfig.tenants[{"gold"}] = TenantConfig{{"gold"}, 0, false};
  ++router.fleet.installs;
  CHECK_EQUAL(1, only<OpenAttempt>(router.sendRequest("safe", 2)).urgency);
}

TEST(RequestAdmission, ARequestIdInProgressIsNotAcceptedTwice) {
  FakeRouter router;
  CHECK_EQUAL(1U, router.sendRequest("unsafe", 1).size());
  CHECK_EQUAL(0U, router.sendRequest("unsafe", 1).size());
  CHECK_EQUAL(1U, router.requests.activeRequests());
}
