// Builds the simulated fleet of routers and runs its ticks.
#include "sim/router_world.h"

#include <algorithm>

#include "sim/router_checker.h"
#include "sim/router_clients.h"
#include "sim/router_operators.h"

namespace peppergate {
namespace {

constexpr Duration kTick = milliseconds(50);
constexpr Duration kClientTick = milliseconds(10);
constexpr Duration kTimeAfterTraffic = seconds(14);  // for the last deadlines and recovery

Zone zoneOf(int number) { return {"zone" + std::to_string(number % 3 + 1)}; }

}  // namespace

RouterWorld::RouterWorld(const RouterScenario& scenario, std::uint64_t seed)
    : SimCluster(seed, MonotonicTime{} - kRouterWarmUp), scenario_(scenario) {
  options_.budgetSlack = 0;  // the checker tests the share alone
  for (const auto& [name, value] : scenario_.options) (void)setOption(options_, name, value);
  options_.disabledGuards = scenario_.disabledGuards;
  for (int number = 1; number <= scenario_.cores + scenario_.spares; ++number)
    addCore(number, zoneOf(number), number > scenario_.cores);
  for (int number = 1; number <= scenario_.fronts; ++number)
    addProcess(Role::kRouter, number, zoneOf(number));
  for (int number = 1; number <= std::min(3, scenario_.cores); ++number)
    seeds_.push_back(processOf(Role::kCore, number)->address);
  for (int number = 1; number <= scenario_.engines + 1; ++number) {
    auto engine = std::make_unique<RouterEngine>();
    engine->isStore = number > scenario_.engines;
    bool small = number % 3 == 0;
    engine->host = engine->isStore ? "store" : "engine" + std::to_string(number);
    engine->address = {"10.0.2." + std::to_string(number) + ":8000"};
    engine->service = {small ? "small" : "large"};
    engine->modelName = {small ? "brief" : "deep"};
    engine->zone = zoneOf(number);
    BatchOptions options;
    options.eventLossRate = scenario_.eventLossRate;
    if (engine->isStore) options.kvTokens *= 8;
    EngineId id = engine->isStore ? storeId() : EngineId{engine->host + "-1"};
    engine->batchEngine = std::make_unique<BatchEngine>(options, id, random_.next());
    if (!engine->isStore) engine->batchEngine->setVersion(engine->modelName, WeightsVersion{1});
    engine->batchEngine->setIsolatedTenants({"walled1", "walled2"});
    engines_.push_back(std::move(engine));
  }
  checker_ = std::make_unique<RouterChecker>(*this);
  clients_ = std::make_unique<RouterClients>(*this);
  operators_ = std::make_unique<RouterOperators>(*this);
}

RouterWorld::~RouterWorld() = default;

Json RouterWorld::initialConfig() const {
  Json routes = Json::array();
  for (std::string service : {"large", "small"})
    for (const auto& route : kClientRoutes) {
      constexpr std::array kKinds{"safe", "unsafe", "stream"};
      routes.push_back({{"name", service + "-" + std::string(route.name)},
                        {"host", service + ".example"},
                        {"prefix", route.prefix},
                        {"kind", kKinds[static_cast<std::size_t>(route.kind)]},
                        {"timeoutMs", inMilliseconds(kClientTimeout)},
                        {"targetMs", 400},
                        {"gapTargetMs", 150},
                        {"urgency", 5},
                        {"attempts", 3},
                        {"open", route.open},
                        {"resumable", route.resumable},
                        {"service", service}});
    }
  Json services = Json::array();
  for (std::string service : {"large", "small"}) {
    BatchOptions options;
    Json model{{"name", service == "small" ? "brief" : "deep"}};
    services.push_back({{"name", service},
                        {"engine",
                         {{"slots", options.slots},
                          {"kvTokens", options.kvTokens},
                          {"kvTokenBytes", options.kvBytesPerToken},
                          {"linkMbps", options.linkMbps},
                          {"stride", options.stride},
                          {"largestPolls", 4},
                          {"models", Json::array({model})}}}});
  }
  const RouterEngine& store = *engines_.back();
  services.push_back({{"name", "kept"},
                      {"store", store.address.value},
                      {"zone", store.zone.value},
                      {"kvTokens", store.batchEngine->options().kvTokens},
                      {"linkMbps", store.batchEngine->options().linkMbps},
                      {"largestPolls", 4}});
  Json tenants = Json::array();
  for (std::string name : {"first", "second", "third", "walled1", "walled2"})
    tenants.push_back({{"name", name},
                       {"urgency", 5},
                       {"isolated", name.starts_with("walled")},
                       {"keys", {"key-" + name + "-1", "key-" + name + "-2"}}});
  tenants.push_back({{"name", "mark-0"}, {"urgency", 5}, {"keys", {"key-mark"}}});
  return {{"version", 1}, {"routes", routes}, {"services", services}, {"tenants", tenants}};
}

bool RouterWorld::isUndisturbed(const RouterProcess& process, Duration duration) {
  RouterProcess* primary = leader();
  return process.alive && !process.frozen && primary != nullptr &&
         reachable(process.host, primary->host) && reachable(primary->host, process.host) &&
         !network_.isStalled(process.host, primary->host) && process.eventCostMilliseconds == 0 &&
         now() - process.disturbedAt > duration && now() - coreDisturbedAt() > duration;
}

std::unique_ptr<Node> RouterWorld::makeNode(SimProcess& process, const MemberRecord& self,
                                            const DiskContents& found, const Bootstrap& bootstrap) {
  if (process.role == Role::kCore) {
    auto core = std::make_unique<CoreNode>(options_, self, seeds_, found, random_.next(),
                                           process.localTime(now()), bootstrap);
    core->enableEngineDuties();
    return core;
  }
  std::map<Zone, std::string> regions;
  for (int number = 0; number < 3; ++number) regions[zoneOf(number)] = "region";
  return std::make_unique<RouterNode>(options_, self, seeds_, regions, random_.next());
}

bool RouterWorld::hasClosedListener(const RouterProcess& process) const {
  return process.stopping && process.node->drained(process.localTime(now()));
}

bool RouterWorld::mayExit(const SimProcess& process) const {
  // A router's process ends after its last open request, as the daemon does; a core's at once.
  bool drained = process.node->drained(process.localTime(now()));
  return drained && (process.role != Role::kRouter || process.router().activeRequests() == 0);
}

void RouterWorld::handleUnreadableFrame(const std::string& host) {
  checker_->fail("frame-unreadable", host);
}

void RouterWorld::tickAll() {
  tickProcesses();
  for (auto& engine : engines_) {
    engine->batchEngine->tick(now());
    if (engine->batchEngine->loadAbortsRuns())
      breakAttempts([&](const RouterAttempt& attempt) { return attempt.engine == engine.get(); });
  }
  recordEngineList();
  operators_->tick();
}

void RouterWorld::run() {
  startAll(scenario_.startSpread);
  for (const auto& action : scenario_.actions)
    queue_.scheduleAt(action.at, [this, &action] { runAction(action); });
  queue_.scheduleEvery(kTick, [this] { tickAll(); });
  queue_.scheduleEvery(kClientTick, [this] { clients_->tick(); });
  queue_.runUntil(MonotonicTime{} + scenario_.run + kTimeAfterTraffic);
  checker_->finish();
}

RouterReport runRouterScenario(const RouterScenario& scenario, std::uint64_t seed) {
  RouterWorld world(scenario, seed);
  world.run();
  return {scenario.name, seed, world.checker().failures(), world.checker().figures()};
}

}  // namespace peppergate
