#pragma once
// Test doubles for request handling: a fleet of numbered engines, one route per host, and recorded
// calls.
#include <algorithm>
#include <set>

#include "engines/engine_book.h"
#include "prompts/placement.h"
#include "requests/requests.h"
#include "tests/testing.h"

namespace peppergate {

struct FakeFacts final : FleetFacts {
  FleetConfig fleet;
  Weights named;
  std::map<std::string, Route> byHost;  // one route per host suffices
  std::map<std::string, TenantConfig, std::less<>> byKey;
  MonotonicTime proofEnd = kForever;
  bool isInstalled = true;
  std::uint64_t change = 1;
  std::size_t fronts = 1;

  const FleetConfig& config() const override { return fleet; }
  const Weights& weights() const override { return named; }
  const Route* route(std::string_view host, std::string_view path) const override {
    auto found = byHost.find(std::string(host));
    return found != byHost.end() && path.starts_with(found->second.prefix) ? &found->second
                                                                           : nullptr;
  }
  const TenantConfig* tenantOfKey(std::string_view key) const override {
    auto found = byKey.find(key);
    return found == byKey.end() ? nullptr : &found->second;
  }
  bool installed() const override { return isInstalled; }
  MonotonicTime freshUntil(MonotonicTime) const override { return proofEnd; }
  std::uint64_t changes() const override { return change; }
  std::size_t liveFronts() const override { return fronts; }
};

/// Selects the first engine that was not tried; refuses if there is none left.
struct FakePlacer final : Placer {
  int engines = 5;
  PlaceRefusal refusal{PlaceFault::kNoEngine, {}};
  int droppedCount = 0, firstEvents = 0;
  std::vector<ServiceName> services;
  Placed like{{}, {}, WeightsVersion{3}, "salt", Address{"store:1"}, Address{"store:2"}, 70, {}};

  std::variant<Placed, PlaceRefusal> place(const PlacementAsk& ask, const FleetConfig&,
                                           const Weights&, MonotonicTime, Outbox&) override {
    services.push_back(ask.service);
    for (int number = 1; number <= engines; ++number) {
      EngineId engine{"e" + std::to_string(number)};
      if (std::ranges::find(ask.tried, engine) != ask.tried.end()) continue;
      Placed placed = like;
      placed.engine = engine;
      placed.address = {engine.value + ":80"};
      return placed;
    }
    return refusal;
  }
  void firstEvent(RequestId, Duration, MonotonicTime, Outbox&) override { ++firstEvents; }
  void dropped(RequestId) override { ++droppedCount; }
};

struct FakeLedger final : EngineLedger {
  struct Ended {
    EngineId engine;
    AttemptEnd how;
    bool hadFirst;
  };
  std::vector<Ended> ends;
  int under = 0;  // attempts sent and not ended
  int firsts = 0;
  std::vector<std::int64_t> running;
  std::map<ModelName, WeightsVersion> versions;

  void sent(const EngineId&, std::int64_t) override { ++under; }
  void firstEvent(const EngineId&, std::int64_t, Duration) override { ++firsts; }
  void ended(const EngineId& engine, AttemptEnd how, std::int64_t, bool hadFirst,
             MonotonicTime) override {
    --under;
    ends.push_back({engine, how, hadFirst});
  }
  void told(const EngineId&, const EngineLoad& load, MonotonicTime) override {
    running.push_back(load.running);
  }
  void toldVersion(const EngineId&, const ModelName& model, WeightsVersion version) override {
    versions[model] = version;
  }
};

struct FakeKept final : KeptParts {
  std::vector<EngineId> expected;
  void expect(const EngineId& engine, const std::string&, std::span<const PartSize>) override {
    expected.push_back(engine);
  }
};

inline Route routeOf(RouteKind kind, bool resumable = false) {
  Route route;
  route.name = "r";
  route.prefix = "/a/";
  route.kind = kind;
  route.timeout = seconds(20);
  route.target = milliseconds(500);
  route.gapTarget = milliseconds(200);
  route.urgency = 1;
  route.attempts = 3;
  route.resumable = resumable;
  route.services = {{ServiceName{"model"}, 1}};
  return route;
}

/// One host for each kind of request.
inline constexpr std::array<std::string_view, 4> kHosts{"safe", "unsafe", "plain", "resumed"};

/// Request handling of one router, with test doubles for all that it depends on.
struct FakeFront {
  Options options;
  FakeFacts facts;
  FakePlacer placer;
  FakeLedger ledger;
  FakeKept kept;
  Random random{7};
  Outbox outbox;
  MonotonicTime now = at(100);
  Requests requests{{options, facts, ledger, kept, placer, random}};

  FakeFront() {
    facts.byHost["safe"] = routeOf(RouteKind::kSafe);
    facts.byHost["unsafe"] = routeOf(RouteKind::kUnsafe);
    facts.byHost["plain"] = routeOf(RouteKind::kStream);
    facts.byHost["resumed"] = routeOf(RouteKind::kStream, true);
    facts.fleet.version = {1};
    facts.fleet.tenants[{"red"}] = TenantConfig{{"red"}, 1, false};
    for (const auto& [host, route] : facts.byHost) facts.fleet.routes.push_back(route);
    facts.byKey["key"] = facts.fleet.tenants[{"red"}];
    options.budgetShare = 10;  // large enough for all tests that don't test the budget
  }
  static RequestArrived arrived(std::string_view host, std::uint64_t id) {
    RequestArrived asked;
    asked.request = {id};
    asked.clientId = "client-" + std::to_string(id);
    asked.host = host;
    asked.path = "/a/b";
    asked.key = "key";
    asked.timeLeft = seconds(9);
    asked.model = {"m"};
    asked.parts = {{"p1", 100}};
    asked.wire = std::make_shared<WireRequest>();
    return asked;
  }
  std::vector<Command> ask(RequestArrived asked) {
    requests.ask(std::move(asked), now, outbox);
    return outbox.take();
  }
  std::vector<Command> ask(std::string_view host, std::uint64_t id = 1) {
    return ask(arrived(host, id));
  }
  std::vector<Command> turn(AttemptTurned turned) {
    requests.turn(std::move(turned), now, outbox);
    return outbox.take();
  }
  std::vector<Command> turn(AttemptId attempt, AttemptTurn turn) {
    AttemptTurned turned;
    turned.attempt = attempt;
    turned.turn = turn;
    return this->turn(std::move(turned));
  }
  std::vector<Command> head(AttemptId attempt, int status, bool notRun = false) {
    return turn(headOf(attempt, status, notRun));
  }
  static AttemptTurned headOf(AttemptId attempt, int status, bool notRun = false) {
    AttemptTurned turned;
    turned.attempt = attempt;
    turned.turn = AttemptTurn::kHead;
    auto wire = std::make_shared<WireHead>();
    wire->status = status;
    turned.head = wire;
    turned.notRun = notRun;
    turned.success = status == 200;
    return turned;
  }
  std::vector<Command> body(AttemptId attempt, std::string bytes,
                            std::optional<std::uint64_t> first = std::nullopt,
                            std::optional<std::uint64_t> last = std::nullopt) {
    AttemptTurned turned;
    turned.attempt = attempt;
    turned.turn = AttemptTurn::kBody;
    turned.bytes = std::move(bytes);
    turned.firstEvent = first;
    turned.lastEvent = last ? last : first;
    return turn(std::move(turned));
  }
  std::vector<Command> pass(Duration time) {
    now = now + time;
    requests.tick(now, outbox);
    return outbox.take();
  }
  std::uint64_t counter(std::string_view name) const {
    auto found = outbox.counters().find(name);
    return found == outbox.counters().end() ? 0 : found->second;
  }
};

/// The only command of its kind; the test fails if there is none or more than one.
template <class T>
T only(const std::vector<Command>& commands) {
  auto found = taken<T>(commands);
  CHECK_EQUAL_TEXT(1U, found.size(), "number of commands of this type");
  return found.empty() ? T{} : found.front();
}

}  // namespace peppergate
