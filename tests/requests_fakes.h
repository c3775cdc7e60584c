#pragma once
// Test doubles for request handling: a fleet of numbered engines, one route per host, and recorded
// calls.
#include <algorithm>
#include <set>

#include "engines/engine_registry.h"
#include "prompts/placement.h"
#include "requests/request_router.h"
#include "tests/testing.h"

namespace peppergate {

struct FakeFleetState final : FleetStateView {
  FleetConfig fleetConfig;
  Weights namedWeights;
  std::map<std::string, Route> routeByHost;  // one route per host suffices
  std::map<std::string, TenantConfig, std::less<>> tenantByKey;
  MonotonicTime proofExpiry = kForever;
  bool isInstalled = true;
  std::uint64_t installs = 1;
  std::size_t routers = 1;

  const FleetConfig& config() const override { return fleetConfig; }
  const Weights& weights() const override { return namedWeights; }
  const Route* route(std::string_view host, std::string_view path) const override {
    auto found = routeByHost.find(std::string(host));
    return found != routeByHost.end() && path.starts_with(found->second.prefix) ? &found->second
                                                                                : nullptr;
  }
  const TenantConfig* tenantOfKey(std::string_view key) const override {
    auto found = tenantByKey.find(key);
    return found == tenantByKey.end() ? nullptr : &found->second;
  }
  bool installed() const override { return isInstalled; }
  MonotonicTime freshUntil(MonotonicTime) const override { return proofExpiry; }
  std::uint64_t installCount() const override { return installs; }
  std::size_t liveRouters() const override { return routers; }
};

/// Selects the first engine that was not tried; refuses if there is none left.
struct FakePlacer final : Placer {
  int engineCount = 5;
  PlacementRejection refusal{PlacementFailure::kNoEngine, {}};
  int endsWithoutEvent = 0, firstEvents = 0;
  std::vector<ServiceName> services;
  PlacementDecision placedTemplate{
      {}, {}, WeightsVersion{3}, "salt", Address{"store:1"}, Address{"store:2"}, 70, {}};

  std::variant<PlacementDecision, PlacementRejection> place(const PlacementRequest& ask,
                                                            const FleetConfig&, const Weights&,
                                                            MonotonicTime, Outbox&) override {
    services.push_back(ask.service);
    for (int number = 1; number <= engineCount; ++number) {
      EngineId engine{"e" + std::to_string(number)};
      if (std::ranges::find(ask.triedEngines, engine) != ask.triedEngines.end()) continue;
      PlacementDecision placed = placedTemplate;
      placed.engine = engine;
      placed.address = {engine.value + ":80"};
      return placed;
    }
    return refusal;
  }
  void recordFirstEvent(RequestId, Duration, MonotonicTime, Outbox&) override { ++firstEvents; }
  void endedWithoutEvent(RequestId) override { ++endsWithoutEvent; }
};

struct FakeEngineTraffic final : EngineTrafficRecorder {
  struct EndedAttempt {
    EngineId engine;
    AttemptOutcome outcome;
    bool hadFirst;
  };
  std::vector<EndedAttempt> ends;
  int openAttempts = 0;  // attempts sent and not ended
  int firstEvents = 0;
  std::vector<std::int64_t> reportedRunning;
  std::map<ModelName, WeightsVersion> versions;

  void recordAttemptSent(const EngineId&, std::int64_t) override { ++openAttempts; }
  void recordFirstEvent(const EngineId&, std::int64_t, Duration) override { ++firstEvents; }
  void recordAttemptEnded(const EngineId& engine, AttemptOutcome outcome, std::int64_t,
                          bool hadFirst, MonotonicTime) override {
    --openAttempts;
    ends.push_back({engine, outcome, hadFirst});
  }
  void recordLoad(const EngineId&, const EngineLoad& load, MonotonicTime) override {
    reportedRunning.push_back(load.running);
  }
  void recordVersion(const EngineId&, const ModelName& model, WeightsVersion version) override {
    versions[model] = version;
  }
};

struct FakePrefixBlocks final : PrefixBlockRecorder {
  std::vector<EngineId> recorded;
  void recordExpected(const EngineId& engine, const std::string&,
                      std::span<const PromptBlock>) override {
    recorded.push_back(engine);
  }
};

inline Route routeOf(RouteKind kind, bool resumable = false) {
  Route route;
  route.name = "r";
  route.prefix = "/a/";
  route.kind = kind;
  route.timeout = seconds(20);
  route.responseTarget = milliseconds(500);
  route.eventGapTarget = milliseconds(200);
  route.urgency = 1;
  route.attempts = 3;
  route.resumable = resumable;
  route.services = {{ServiceName{"model"}, 1}};
  return route;
}

/// One host for each kind of request.
inline constexpr std::array<std::string_view, 4> kHosts{"safe", "unsafe", "plain", "resumed"};

/// Request handling of one router, with test doubles for all that it depends on.
struct FakeRouter {
  Options options;
  FakeFleetState fleet;
  FakePlacer placer;
  FakeEngineTraffic engineTraffic;
  FakePrefixBlocks prefixBlocks;
  Random random{7};
  Outbox outbox;
  MonotonicTime now = at(100);
  RequestRouter requests{{options, fleet, engineTraffic, prefixBlocks, placer, random}};

  FakeRouter() {
    fleet.routeByHost["safe"] = routeOf(RouteKind::kSafe);
    fleet.routeByHost["unsafe"] = routeOf(RouteKind::kUnsafe);
    fleet.routeByHost["plain"] = routeOf(RouteKind::kStream);
    fleet.routeByHost["resumed"] = routeOf(RouteKind::kStream, true);
    fleet.fleetConfig.version = {1};
    fleet.fleetConfig.tenants[{"red"}] = TenantConfig{{"red"}, 1, false};
    fleet.fleetConfig.requiresKeys = true;
    for (const auto& [host, route] : fleet.routeByHost) fleet.fleetConfig.routes.push_back(route);
    fleet.tenantByKey["key"] = fleet.fleetConfig.tenants[{"red"}];
    options.budgetShare = 10;  // large enough for all tests that don't test the budget
  }
  static RequestArrived makeRequest(std::string_view host, std::uint64_t id) {
    RequestArrived request;
    request.request = {id};
    request.clientId = "client-" + std::to_string(id);
    request.host = host;
    request.path = "/a/b";
    request.key = "key";
    request.timeLeft = seconds(9);
    request.model = {"m"};
    request.promptBlocks = {{"p1", 100}};
    request.wire = std::make_shared<WireRequest>();
    return request;
  }
  std::vector<Command> sendRequest(RequestArrived request) {
    requests.handleRequest(std::move(request), now, outbox);
    return outbox.takeCommands();
  }
  std::vector<Command> sendRequest(std::string_view host, std::uint64_t id = 1) {
    return sendRequest(makeRequest(host, id));
  }
  std::vector<Command> sendEvent(AttemptEvent event) {
    requests.handleAttemptEvent(std::move(event), now, outbox);
    return outbox.takeCommands();
  }
  std::vector<Command> sendEvent(AttemptId attempt, AttemptEventKind kind) {
    AttemptEvent event;
    event.attempt = attempt;
    event.kind = kind;
    return this->sendEvent(std::move(event));
  }
  std::vector<Command> sendHead(AttemptId attempt, int status, bool notRun = false) {
    return sendEvent(makeHead(attempt, status, notRun));
  }
  static AttemptEvent makeHead(AttemptId attempt, int status, bool notRun = false) {
    AttemptEvent event;
    event.attempt = attempt;
    event.kind = AttemptEventKind::kHead;
    auto wire = std::make_shared<WireHead>();
    wire->status = status;
    event.head = wire;
    event.notRun = notRun;
    event.success = status == 200;
    return event;
  }
  std::vector<Command> sendBody(AttemptId attempt, std::string bytes,
                                std::optional<std::uint64_t> first = std::nullopt,
                                std::optional<std::uint64_t> last = std::nullopt) {
    AttemptEvent event;
    event.attempt = attempt;
    event.kind = AttemptEventKind::kBody;
    event.bytes = std::move(bytes);
    event.firstEventId = first;
    event.lastEventId = last ? last : first;
    return sendEvent(std::move(event));
  }
  std::vector<Command> advance(Duration time) {
    now = now + time;
    requests.tick(now, outbox);
    return outbox.takeCommands();
  }
  std::uint64_t counter(std::string_view name) const {
    auto found = outbox.counters().find(name);
    return found == outbox.counters().end() ? 0 : found->second;
  }
};

/// The only command of its kind; the test fails if there is none or more than one.
template <class T>
T only(const std::vector<Command>& commands) {
  auto found = commandsOf<T>(commands);
  CHECK_EQUAL_TEXT(1U, found.size(), "number of commands of this type");
  return found.empty() ? T{} : found.front();
}

}  // namespace peppergate
