// Handling of a request before its first attempt: immediate rejections, the weighted choice of a
// service, urgency, and the contents of the attempt.
#include "requests/request_rules.h"
#include "tests/requests_fakes.h"

using namespace peppergate;

namespace {

struct RefusalRow {
  const char* kind;
  int status;
  void (*change)(FakeFront&, RequestArrived&);
};
constexpr std::array<RefusalRow, 11> kRefusals{{
    {"not_installed", 503,
     [](FakeFront& front, RequestArrived&) { front.facts.isInstalled = false; }},
    {"stale", 503, [](FakeFront& front, RequestArrived&) { front.facts.proofEnd = front.now; }},
    {"no_route", 404, [](FakeFront&, RequestArrived& asked) { asked.host = "elsewhere"; }},
    {"no_route", 404, [](FakeFront&, RequestArrived& asked) { asked.path = "/b/"; }},
    {"unknown_key", 401, [](FakeFront&, RequestArrived& asked) { asked.key = "other"; }},
    {"unknown_key", 401, [](FakeFront&, RequestArrived& asked) { asked.key.clear(); }},
    {"unknown_key", 401, [](FakeFront& front, RequestArrived&) { front.facts.byKey.clear(); }},
    {"too_late", 503, [](FakeFront&, RequestArrived& asked) { asked.timeLeft = milliseconds(40); }},
    {"no_engine", 503, [](FakeFront& front, RequestArrived&) { front.placer.engines = 0; }},
    {"full", 503,
     [](FakeFront& front, RequestArrived&) {
       front.placer.engines = 0;
       front.placer.refusal = {PlaceFault::kFull, milliseconds(700)};
     }},
    {"full", 503,
     [](FakeFront& front, RequestArrived&) {
       front.placer.engines = 0;
       front.placer.refusal = {PlaceFault::kFull, seconds(60)};
     }},
}};

}  // namespace

TEST_GROUP(RequestAdmission){};

TEST(RequestAdmission, RejectionsAreTypedAndImmediate) {
  for (const auto& row : kRefusals)
    for (auto host : kHosts) {
      FakeFront front;
      auto asked = FakeFront::arrived(host, 1);
      row.change(front, asked);
      auto commands = front.ask(std::move(asked));
      CHECK_EQUAL(1U, commands.size());
      auto refuse = only<RefuseRequest>(commands);
      CHECK_EQUAL(row.status, refuse.status);
      STRCMP_EQUAL(row.kind, std::string(refuse.kind).c_str());
      CHECK_EQUAL(row.status == 503, refuse.retryAfter.has_value());
      CHECK_EQUAL(0U, front.requests.live());
      CHECK_EQUAL(1U, front.counter(std::string("requests.refused.") + row.kind));
    }
}

TEST(RequestAdmission, RetryAfterIsTheForecastOrRandomAndBounded) {
  FakeFront front;
  front.facts.proofEnd = front.now;
  std::set<std::int64_t> seen;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    auto wait = *only<RefuseRequest>(front.ask("unsafe", id)).retryAfter;
    CHECK(wait >= seconds(0.2) && wait <= seconds(0.6));
    seen.insert(wait.microseconds);
  }
  CHECK(seen.size() > 40);
  front.facts.proofEnd = kForever;
  front.placer.engines = 0;
  front.placer.refusal = {PlaceFault::kFull, milliseconds(700)};
  CHECK(*only<RefuseRequest>(front.ask("unsafe", 60)).retryAfter == milliseconds(700));
  front.placer.refusal = {PlaceFault::kFull, seconds(60)};
  CHECK(*only<RefuseRequest>(front.ask("unsafe", 61)).retryAfter <= seconds(3));
}

TEST(RequestAdmission, AnAttemptCarriesAllThatTheEngineNeeds) {
  FakeFront front;
  front.facts.proofEnd = front.now + seconds(2);
  auto asked = FakeFront::arrived("resumed", 4);
  asked.resumeAfter = 12;
  auto open = only<OpenAttempt>(front.ask(std::move(asked)));
  CHECK(open.request == RequestId{4});
  STRCMP_EQUAL("client-4", open.clientId.c_str());
  STRCMP_EQUAL("e1:80", open.address.value.c_str());
  STRCMP_EQUAL("e1", open.engine.value.c_str());
  CHECK(open.wire != nullptr);
  CHECK(open.stream);
  CHECK(open.timeLeft == seconds(9));
  CHECK_EQUAL(12U, *open.resumeAfter);
  STRCMP_EQUAL("red", open.tenant.value.c_str());
  STRCMP_EQUAL("salt", open.salt.c_str());
  CHECK(*open.expect == WeightsVersion{3});
  STRCMP_EQUAL("store:1", open.collectFrom->value.c_str());
  STRCMP_EQUAL("store:2", open.depositAt->value.c_str());
  CHECK(open.writeBefore == front.now + seconds(2));
  CHECK_EQUAL(1, front.ledger.under);
  front.facts.proofEnd = kForever;
  CHECK(only<OpenAttempt>(front.ask("unsafe", 5)).writeBefore == front.now + seconds(9));
  CHECK(!only<OpenAttempt>(front.ask("safe", 6)).stream);
}

TEST(RequestAdmission, TheRoutesTimeoutBoundsTheTimeLeft) {
  FakeFront front;
  front.facts.byHost["safe"].timeout = seconds(4);
  CHECK(only<OpenAttempt>(front.ask("safe", 1)).timeLeft == seconds(4));
  auto asked = FakeFront::arrived("safe", 2);
  asked.timeLeft.reset();
  CHECK(only<OpenAttempt>(front.ask(std::move(asked))).timeLeft == seconds(4));
}

TEST(RequestAdmission, OpenRoutesNeedNoKeyAndHaveNoTenant) {
  FakeFront front;
  front.facts.byHost["safe"].open = true;
  CHECK(only<OpenAttempt>(front.ask("safe", 1)).tenant.value.empty());
  front.facts.fleet.tenants.clear();
  auto asked = FakeFront::arrived("unsafe", 2);
  asked.key.clear();
  CHECK(only<OpenAttempt>(front.ask(std::move(asked))).tenant.value.empty());
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
      int rank = table.of(tenant, route);
      CHECK(rank >= last && rank <= 9);
      last = rank;
    }
  CHECK_EQUAL(0, table.of(0, 0));
  CHECK(table.of(0, 9) < table.of(2, 9));
  CHECK_EQUAL(9, table.of(7, 9));
}

TEST(RequestAdmission, UrgencyFollowsTheCurrentConfiguration) {
  FakeFront front;
  CHECK_EQUAL(0, only<OpenAttempt>(front.ask("safe", 1)).urgency);
  front.facts.fleet.tenants[{"gold"}] = TenantConfig{{"gold"}, 0, false};
  ++front.facts.change;
  CHECK_EQUAL(1, only<OpenAttempt>(front.ask("safe", 2)).urgency);
}

TEST(RequestAdmission, ARequestIdInProgressIsNotAcceptedTwice) {
  FakeFront front;
  CHECK_EQUAL(1U, front.ask("unsafe", 1).size());
  CHECK_EQUAL(0U, front.ask("unsafe", 1).size());
  CHECK_EQUAL(1U, front.requests.live());
}
