// The simulated fleet of routers: its parts, its clock, its network.
#include "sim/router_world.h"

#include <algorithm>

#include "sim/router_checker.h"
#include "sim/router_clients.h"
#include "sim/router_operators.h"
#include "wire/frame.h"

namespace peppergate {
namespace {

constexpr Duration kTick = milliseconds(50);
constexpr Duration kClientTick = milliseconds(10);
constexpr Duration kAfterRun = seconds(14);  // for the last deadlines and settling

Zone zoneOf(int number) { return {"zone" + std::to_string(number % 3 + 1)}; }

}  // namespace

RouterWorld::RouterWorld(const RouterScenario& scenario, std::uint64_t seed)
    : scenario_(scenario), random_(seed), now_(MonotonicTime{} - kRouterWarmUp) {
  options_.budgetSlack = 0;  // the share alone has to hold
  for (const auto& [name, value] : scenario_.options) (void)setOption(options_, name, value);
  options_.guardsOff = scenario_.guardsOff;
  for (int number = 1; number <= scenario_.cores + scenario_.routers; ++number) {
    bool core = number <= scenario_.cores;
    int place = core ? number : number - scenario_.cores;
    auto process = std::make_unique<RouterProcess>();
    process->host = (core ? "core" : "router") + std::to_string(place);
    process->address = {(core ? "10.0.0." : "10.0.1.") + std::to_string(place) + ":7100"};
    process->role = core ? Role::kCore : Role::kFront;
    process->zone = zoneOf(place);
    processes_.push_back(std::move(process));
  }
  for (int number = 1; number <= std::min(3, scenario_.cores); ++number)
    seeds_.push_back(processes_[static_cast<std::size_t>(number - 1)]->address);
  for (int number = 1; number <= scenario_.engines + 1; ++number) {
    auto engine = std::make_unique<RouterEngine>();
    engine->store = number > scenario_.engines;
    bool small = number % 3 == 0;
    engine->host = engine->store ? "store" : "engine" + std::to_string(number);
    engine->address = {"10.0.2." + std::to_string(number) + ":8000"};
    engine->service = {small ? "small" : "large"};
    engine->modelName = {small ? "brief" : "deep"};
    engine->zone = zoneOf(number);
    BatchOptions options;
    options.eventsLost = scenario_.eventsLost;
    if (engine->store) options.kvTokens *= 8;
    EngineId id = engine->store ? storeId() : EngineId{engine->host + "-1"};
    engine->model = std::make_unique<BatchEngine>(options, id, random_.next());
    if (!engine->store) engine->model->setVersion(engine->modelName, WeightsVersion{1});
    engine->model->isolate({"walled1", "walled2"});
    engines_.push_back(std::move(engine));
  }
  checker_ = std::make_unique<RouterChecker>(*this);
  clients_ = std::make_unique<RouterClients>(*this);
  operators_ = std::make_unique<RouterOperators>(*this);
}

RouterWorld::~RouterWorld() = default;

Json RouterWorld::firstConfig() const {
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
                          {"kvTokenBytes", options.tokenBytes},
                          {"linkMbps", options.linkMbps},
                          {"stride", options.stride},
                          {"largestPolls", 4},
                          {"models", Json::array({model})}}}});
  }
  const RouterEngine& store = *engines_.back();
  services.push_back({{"name", "kept"},
                      {"store", store.address.value},
                      {"zone", store.zone.value},
                      {"kvTokens", store.model->options().kvTokens},
                      {"linkMbps", store.model->options().linkMbps},
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

void RouterWorld::after(Duration delay, std::function<void()> what) {
  queue_.push({now_ + delay, ++orders_, std::move(what)});
}

Duration RouterWorld::latency() {
  return Duration{300 + static_cast<std::int64_t>(random_.below(1500))};
}

bool RouterWorld::reachable(const std::string& one, const std::string& other) const {
  auto groupOf = [&](const std::string& host) {
    auto found = groups_.find(host);
    return found == groups_.end() ? 0 : found->second;
  };
  return groupOf(one) == groupOf(other);
}

bool RouterWorld::inTouch(const RouterProcess& process, Duration since) const {
  RouterProcess* primary = const_cast<RouterWorld*>(this)->leader();
  return process.alive && !process.frozen && primary != nullptr &&
         reachable(process.host, primary->host) && now_ - process.disturbed > since &&
         now_ - coreDisturbed_ > since;
}

RouterProcess* RouterWorld::leader() {
  for (auto& process : processes_)
    if (process->alive && !process->frozen && process->role == Role::kCore &&
        process->core().leadership().leads(process->local(now_)))
      return process.get();
  return nullptr;
}

void RouterWorld::start(RouterProcess& process) {
  if (process.alive) return;
  process.alive = true;
  process.frozen = process.stopping = false;
  process.stoppedAt = kForever;
  ++process.life;
  process.disturbed = now_;
  if (process.role == Role::kCore) coreDisturbed_ = now_;
  // Each machine's boot clock stands somewhere else; only its own differences count.
  process.clock = seconds(1000 + 100000 * random_.fraction());
  process.rate = 0.995 + 0.01 * random_.fraction();
  MemberRecord self;
  self.member = {random_.next() >> 1};
  self.address = self.pages = process.address;
  self.role = process.role;
  self.zone = process.zone;
  if (process.role == Role::kCore) {
    Bootstrap bootstrap{process.bootstraps, seeds_, 0};
    if (!process.bootstraps) bootstrap = {};
    DiskFound found{process.disk};
    if (identityOn(found).value == 0) {
      // Only its first disk is told that the fleet is new.
      process.disk["identity"] =
          identityFile({random_.next() >> 1}, process.born ? Bootstrap{} : bootstrap);
      process.born = true;
      found.files = process.disk;
    }
    process.node = std::make_unique<CoreNode>(options_, self, seeds_, found, random_.next(),
                                              process.local(now_), bootstrap);
    process.core().takeEngineDuties();
    return;
  }
  std::map<Zone, std::string> regions;
  for (int number = 0; number < 3; ++number) regions[zoneOf(number)] = "region";
  process.node = std::make_unique<RouterNode>(options_, self, seeds_, regions, random_.next());
}

bool RouterWorld::closed(const RouterProcess& process) const {
  return process.stopping && process.node->drained(process.local(now_));
}

void RouterWorld::deliver(RouterProcess& process, const Event& event) {
  if (!process.alive) return;
  if (process.frozen) {
    if (std::holds_alternative<Ticked>(event) || process.held.size() > 20000) return;
    process.held.push_back([this, &process, event] { deliver(process, event); });
    return;
  }
  process.node->step(event, process.local(now_));
  runCommands(process);
}

void RouterWorld::tickAll() {
  for (auto& process : processes_) {
    deliver(*process, Ticked{});
    // A router's process goes after its last open request, as the daemon does; a core's at once.
    bool leaves = process->alive && process->stopping && !process->frozen &&
                  process->node->drained(process->local(now_));
    bool empty = process->role != Role::kFront || (leaves && process->router().live() == 0);
    if (leaves && empty) kill(*process, true);
  }
  for (auto& engine : engines_) {
    engine->model->tick(now_);
    if (engine->model->cuts())
      endRuns([&](const RouterRun& run) { return run.engine == engine.get(); });
  }
  noteList();
  operators_->tick();
}

void RouterWorld::run() {
  for (auto& process : processes_) start(*process);
  for (const auto& action : scenario_.actions)
    queue_.push({action.at, ++orders_, [this, &action] { act(action); }});
  MonotonicTime end = MonotonicTime{} + scenario_.run + kAfterRun;
  std::function<void()> ticker = [this, &ticker] {
    tickAll();
    after(kTick, ticker);
  };
  after(kTick, ticker);
  std::function<void()> clientTicker = [this, &clientTicker] {
    clients_->tick();
    after(kClientTick, clientTicker);
  };
  after(kClientTick, clientTicker);
  while (!queue_.empty() && now_ < end) {
    Item item = queue_.top();
    queue_.pop();
    now_ = std::max(now_, item.at);
    item.what();
  }
  checker_->finish();
}

RouterReport runRouters(const RouterScenario& scenario, std::uint64_t seed) {
  RouterWorld world(scenario, seed);
  world.run();
  return {scenario.name, seed, world.checker().failures(), world.checker().figures()};
}

}  // namespace peppergate
