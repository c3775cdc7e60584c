// The simulated deployment: its processes, engines and main loop.
#include "sim/world.h"

#include <algorithm>

#include "sim/callers.h"
#include "sim/checker.h"

namespace peppergate {
namespace {

constexpr Duration kTick = milliseconds(50);
const Address kListAddress{"10.0.3.1:80"};   // of the platform
constexpr Duration kAfterRun = seconds(14);  // for the last deadlines and the fleet to settle

std::string zoneOf(int number) { return "district" + std::to_string(number % 4 + 1); }

}  // namespace

World::World(const Scenario& scenario, std::uint64_t seed)
    : SimCluster(seed, kWarmUp), scenario_(scenario) {
  for (const auto& [name, value] : scenario_.options) (void)setOption(options_, name, value);
  options_.guardsOff = scenario_.guardsOff;
  network_.setLate(scenario_.late);
  for (int number = 1; number <= scenario_.cores + scenario_.spares; ++number)
    addCore(number, {zoneOf(number)}, number > scenario_.cores);
  for (int number = 1; number <= scenario_.fronts; ++number)
    addProcess(Role::kFront, number, {zoneOf(number)});
  seeds_ = {processes_[0]->address, processes_[1 % processes_.size()]->address,
            processOf(Role::kFront, 1)->address};
  if (scenario_.foundedBySeeds) {
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
    engine->entry.link = scenario_.link;
    EngineOptions options;
    options.cacheParts = store ? 4000 : scenario_.cache;
    engine->model =
        std::make_unique<EngineModel>(options, engine->entry.id, WeightsVersion{1}, random_.next());
    engines_.push_back(std::move(engine));
  }
  checker_ = std::make_unique<Checker>(*this);
  callers_ = std::make_unique<Callers>(*this);
}

World::~World() = default;

SimEngine* World::engineAt(const Address& address) {
  for (auto& engine : engines_)
    if (engine->address == address) return engine.get();
  return nullptr;
}

Bootstrap World::bootstrapOf(const SimProcess& process) const {
  if (scenario_.foundedBySeeds) return {true, seeds_, 0};
  Bootstrap bootstrap;
  if (process.host == "core1") bootstrap.cores = static_cast<std::size_t>(scenario_.cores);
  return bootstrap;
}

std::unique_ptr<Node> World::makeNode(SimProcess& process, const MemberRecord& self,
                                      const DiskFound& found, const Bootstrap& bootstrap) {
  if (process.role == Role::kCore)
    return std::make_unique<CoreNode>(options_, self, seeds_, found, random_.next(),
                                      process.local(now()), bootstrap);
  return std::make_unique<FrontNode>(options_, self, seeds_, kListAddress, random_.next());
}

void World::processEnded(SimProcess& process, bool) {
  if (process.role != Role::kFront) return;
  for (auto& run : runs_)
    if (run->process == &process && !run->ended) endRun(run, ShotTurn::kBroken);
  callers_->lost(process.host);
}

void World::frameUnreadable(const std::string&) { checker_->fail("frame-unreadable"); }

void World::findWaysToList() {
  // Finds the routers that get the platform's list, directly or through other routers.
  if (!network_.hasCuts()) return;
  std::set<const SimProcess*> hears;
  for (bool more = true; more;) {
    more = false;
    for (auto& process : processes_) {
      if (!process->alive || process->frozen || process->role != Role::kFront) continue;
      if (hears.contains(process.get())) continue;
      bool way = reachable(process->host, "platform") && reachable("platform", process->host);
      for (const SimProcess* other : hears)
        way =
            way || (reachable(process->host, other->host) && reachable(other->host, process->host));
      if (way) more = hears.insert(process.get()).second || more;
    }
  }
  for (auto& process : processes_)
    if (!hears.contains(process.get())) process->withoutList = now();
}

void World::tickAll() {
  findWaysToList();
  tickProcesses();
  for (auto& engine : engines_) engine->model->tick(now());
  callers_->tick();
  askOperators();
  checker_->watch();
}

void World::firstSetup() {
  // The operator waits for a leader, then applies the complete initial setup.
  if (leader() == nullptr) {
    after(milliseconds(100), [this] { firstSetup(); });
    return;
  }
  Json body = Json::parse(firstSetupBody(scenario_.profile, "1.1"));
  change(std::move(body));
}

void World::run() {
  startAll(scenario_.startSpread);
  after(milliseconds(500), [this] { firstSetup(); });
  for (const auto& action : scenario_.actions)
    queue_.at(action.at, [this, &action] { act(action); });
  queue_.every(kTick, [this] { tickAll(); });
  queue_.runUntil(MonotonicTime{} + scenario_.run + kAfterRun);
  checker_->finish();
}

std::string World::listText() const {
  Json engines = Json::array();
  for (const auto& engine : engines_) {
    if (!engine->listed || engine->entry.service == Service::kStore) continue;
    engines.push_back({{"id", engine->entry.id.value},
                       {"address", engine->address.value},
                       {"service", engine->entry.service == Service::kDesk ? "desk" : "model"},
                       {"rack", engine->entry.rack},
                       {"district", engine->entry.zone.value},
                       {"link", engine->entry.link},
                       {"draining", engine->entry.draining}});
  }
  Json racks = Json::array();
  for (int rack = 1; rack <= scenario_.racks; ++rack)
    racks.push_back({{"id", "rack" + std::to_string(rack)}, {"uplink", scenario_.uplink}});
  return Json{{"version", listVersion_},
              {"engines", engines},
              {"racks", racks},
              {"store", {{"address", engines_.back()->address.value}, {"link", scenario_.uplink}}}}
      .dump();
}

}  // namespace peppergate
