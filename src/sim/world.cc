// The simulated deployment: its processes, engines and main loop.
#include "sim/world.h"

#include <algorithm>

#include "sim/callers.h"
#include "sim/checker.h"

namespace peppergate {
namespace {

constexpr Duration kTick = milliseconds(50);
const Address kListAddress{"10.0.3.1:80"};     // of the platform
constexpr Duration kSettleTime = seconds(14);  // for the last deadlines and the fleet to settle

std::string zoneOf(int number) { return "district" + std::to_string(number % 4 + 1); }

}  // namespace

World::World(const Scenario& scenario, std::uint64_t seed)
    : SimCluster(seed, kWarmUpStart), scenario_(scenario) {
  for (const auto& [name, value] : scenario_.options) (void)setOption(options_, name, value);
  options_.disabledGuards = scenario_.disabledGuards;
  network_.setLateShare(scenario_.delayedShare);
  for (int number = 1; number <= scenario_.cores + scenario_.spares; ++number)
    addCore(number, {zoneOf(number)}, number > scenario_.cores);
  for (int number = 1; number <= scenario_.fronts; ++number)
    addProcess(Role::kRouter, number, {zoneOf(number)});
  seeds_ = {processes_[0]->address, processes_[1 % processes_.size()]->address,
            processOf(Role::kRouter, 1)->address};
  if (scenario_.createdBySeeds) {
    seeds_.clear();
    for (int number = 1; number <= std::min(3, scenario_.cores); ++number)
      seeds_.push_back(processOf(Role::kCore, number)->address);
  }
  for (int number = 1; number <= scenario_.engines + 2; ++number) {
    auto engine = std::make_unique<SimEngine>();
    bool desk = number == scenario_.engines + 1;
    bool store = number == scenario_.engines + 2;
    engine->host = store ? "store" : desk ? "desk" : "engine" + std::to_string(number);
    engine->address = {"10.0.2." + std::to_string(number) + ":8000"};
    engine->entry.id = store ? storeId() : EngineId{engine->host};
    engine->entry.address = engine->address;
    engine->entry.service = store ? Service::kStore : desk ? Service::kDesk : Service::kModel;
    engine->entry.rack = store ? "" : "rack" + std::to_string(number % scenario_.racks + 1);
    engine->entry.zone = {zoneOf(number)};
    engine->entry.linkCapacity = scenario_.linkMegabytesPerSecond;
    EngineModelOptions options;
    options.cacheBlocks = store ? 4000 : scenario_.cachedBlocks;
    engine->model =
        std::make_unique<EngineModel>(options, engine->entry.id, WeightsVersion{1}, random_.next());
    engines_.push_back(std::move(engine));
  }
  checker_ = std::make_unique<Checker>(*this);
  callers_ = std::make_unique<Callers>(*this);
}

World::~World() = default;

SimEngine* World::engineByAddress(const Address& address) {
  for (auto& engine : engines_)
    if (engine->address == address) return engine.get();
  return nullptr;
}

Bootstrap World::bootstrapOf(const SimProcess& process) const {
  if (scenario_.createdBySeeds) return {true, seeds_, 0};
  Bootstrap bootstrap;
  if (process.host == "core1") bootstrap.expectedCores = static_cast<std::size_t>(scenario_.cores);
  return bootstrap;
}

std::unique_ptr<Node> World::makeNode(SimProcess& process, const MemberRecord& self,
                                      const DiskContents& found, const Bootstrap& bootstrap) {
  if (process.role == Role::kCore)
    return std::make_unique<CoreNode>(options_, self, seeds_, found, random_.next(),
                                      process.localTime(now()), bootstrap);
  return std::make_unique<FrontNode>(options_, self, seeds_, kListAddress, random_.next());
}

void World::handleProcessEnd(SimProcess& process, bool) {
  if (process.role != Role::kRouter) return;
  for (auto& run : runs_)
    if (run->process == &process && !run->ended) endRun(run, StreamAttemptEventKind::kBroken);
  callers_->handleRouterExit(process.host);
}

void World::handleUnreadableFrame(const std::string&) { checker_->fail("frame-unreadable"); }

void World::updateListReachability() {
  // Finds the routers that get the platform's list, directly or through other routers.
  if (!network_.hasCuts()) return;
  std::set<const SimProcess*> reachesList;
  for (bool foundMore = true; foundMore;) {
    foundMore = false;
    for (auto& process : processes_) {
      if (!process->alive || process->frozen || process->role != Role::kRouter) continue;
      if (reachesList.contains(process.get())) continue;
      bool hasPath = reachable(process->host, "platform") && reachable("platform", process->host);
      for (const SimProcess* other : reachesList)
        hasPath = hasPath ||
                  (reachable(process->host, other->host) && reachable(other->host, process->host));
      if (hasPath) foundMore = reachesList.insert(process.get()).second || foundMore;
    }
  }
  for (auto& process : processes_)
    if (!reachesList.contains(process.get())) process->listUnreachableAt = now();
}

void World::tickAll() {
  updateListReachability();
  tickProcesses();
  for (auto& engine : engines_) engine->model->tick(now());
  callers_->tick();
  sendDueChanges();
  checker_->checkState();
}

void World::requestInitialSetup() {
  // The operator waits for a leader, then applies the complete initial setup.
  if (leader() == nullptr) {
    scheduleAfter(milliseconds(100), [this] { requestInitialSetup(); });
    return;
  }
  Json body = Json::parse(initialSetupChange(scenario_.profile, "1.1"));
  requestChange(std::move(body));
}

void World::run() {
  startAll(scenario_.startSpread);
  scheduleAfter(milliseconds(500), [this] { requestInitialSetup(); });
  for (const auto& action : scenario_.actions)
    queue_.scheduleAt(action.at, [this, &action] { runAction(action); });
  queue_.scheduleEvery(kTick, [this] { tickAll(); });
  queue_.runUntil(MonotonicTime{} + scenario_.run + kSettleTime);
  checker_->finish();
}

std::string World::engineListJson() const {
  Json engines = Json::array();
  for (const auto& engine : engines_) {
    if (!engine->listed || engine->entry.service == Service::kStore) continue;
    engines.push_back({{"id", engine->entry.id.value},
                       {"address", engine->address.value},
                       {"service", engine->entry.service == Service::kDesk ? "desk" : "model"},
                       {"rack", engine->entry.rack},
                       {"district", engine->entry.zone.value},
                       {"link", engine->entry.linkCapacity},
                       {"draining", engine->entry.draining}});
  }
  Json racks = Json::array();
  for (int rack = 1; rack <= scenario_.racks; ++rack)
    racks.push_back(
        {{"id", "rack" + std::to_string(rack)}, {"uplink", scenario_.uplinkMegabytesPerSecond}});
  return Json{
      {"version", listVersion_},
      {"engines", engines},
      {"racks", racks},
      {"store",
       {{"address", engines_.back()->address.value}, {"link", scenario_.uplinkMegabytesPerSecond}}}}
      .dump();
}

}  // namespace peppergate
