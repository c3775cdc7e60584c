// The simulated deployment: its parts, its clock and its network.
#include "sim/world.h"

#include <algorithm>

#include "sim/callers.h"
#include "sim/checker.h"
#include "wire/frame.h"

namespace peppergate {
namespace {

constexpr Duration kTick = milliseconds(50);
constexpr Duration kAfterRun = seconds(14);  // for the last deadlines and settling

std::string zoneOf(int number) { return "district" + std::to_string(number % 4 + 1); }

}  // namespace

World::World(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario), random_(seed), now_(kWarmUp) {
  for (const auto& [name, value] : scenario_.options) (void)setOption(options_, name, value);
  options_.guardsOff = scenario_.guardsOff;
  late_ = scenario_.late;
  for (int number = 1; number <= scenario_.cores + scenario_.spares; ++number) {
    auto process = std::make_unique<SimProcess>();
    process->host = "core" + std::to_string(number);
    process->address = {"10.0.0." + std::to_string(number) + ":7100"};
    process->role = Role::kCore;
    process->zone = {zoneOf(number)};
    process->spare = number > scenario_.cores;
    processes_.push_back(std::move(process));
  }
  for (int number = 1; number <= scenario_.fronts; ++number) {
    auto process = std::make_unique<SimProcess>();
    process->host = "front" + std::to_string(number);
    process->address = {"10.0.1." + std::to_string(number) + ":7100"};
    process->zone = {zoneOf(number)};
    processes_.push_back(std::move(process));
  }
  seeds_ = {processes_[0]->address, processes_[1 % processes_.size()]->address, front(1)->address};
  if (scenario_.foundedBySeeds) {
    seeds_.clear();
    for (int number = 1; number <= std::min(3, scenario_.cores); ++number)
      seeds_.push_back(core(number)->address);
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

void World::after(Duration delay, std::function<void()> what) {
  queue_.push({now_ + delay, ++orders_, std::move(what)});
}

Duration World::latency() { return Duration{300 + static_cast<std::int64_t>(random_.below(1500))}; }

bool World::reachable(const std::string& one, const std::string& other) const {
  auto groupOf = [&](const std::string& host) {
    auto found = groups_.find(host);
    return found == groups_.end() ? 0 : found->second;
  };
  return groupOf(one) == groupOf(other) && !parted_.contains({one, other});
}

SimProcess* World::processAt(const Address& address) {
  for (auto& process : processes_)
    if (process->address == address) return process.get();
  return nullptr;
}

SimEngine* World::engineAt(const Address& address) {
  for (auto& engine : engines_)
    if (engine->address == address) return engine.get();
  return nullptr;
}

SimProcess* World::core(int number) {
  return processes_.at(static_cast<std::size_t>(number - 1)).get();
}

SimProcess* World::front(int number) {
  return processes_.at(static_cast<std::size_t>(scenario_.cores + scenario_.spares + number - 1))
      .get();
}

SimProcess* World::leader() {
  for (auto& process : processes_) {
    if (!process->alive || process->role != Role::kCore) continue;
    auto& node = static_cast<CoreNode&>(*process->node);
    if (node.leadership().leads(process->local(now_))) return process.get();
  }
  return nullptr;
}

Bootstrap World::bootstrapOf(const SimProcess& process) const {
  if (scenario_.foundedBySeeds) return {!process.spare, seeds_, 0};
  Bootstrap bootstrap;
  if (process.host == "core1") bootstrap.cores = static_cast<std::size_t>(scenario_.cores);
  return bootstrap;
}

void World::start(SimProcess& process) {
  if (process.alive) return;
  process.leaving = false;
  process.alive = true;
  process.frozen = false;
  ++process.life;
  process.disturbed = now_;
  // Each machine's boot clock stands somewhere else; only its own differences count.
  process.clock = seconds(1000 + 100000 * random_.fraction());
  process.rate = 0.995 + 0.01 * random_.fraction();  // cheap clocks differ by about 1 %
  MemberRecord self;
  self.member = {random_.next() >> 1};
  self.address = process.address;
  self.pages = process.address;
  self.role = process.role;
  self.zone = process.zone;
  if (process.role == Role::kCore) {
    DiskFound found{process.disk};
    if (identityOn(found).value == 0) {
      // Only its first disk is told that the fleet is new.
      Bootstrap born = process.born ? Bootstrap{} : bootstrapOf(process);
      process.born = true;
      process.disk["identity"] = identityFile({random_.next() >> 1}, born);
      found.files = process.disk;
    }
    Bootstrap bootstrap = process.bootstraps ? bootstrapOf(process) : Bootstrap{};
    process.node = std::make_unique<CoreNode>(options_, self, seeds_, found, random_.next(),
                                              process.local(now_), bootstrap);
  } else {
    process.node =
        std::make_unique<FrontNode>(options_, self, seeds_, Address{"10.0.3.1:80"}, random_.next());
  }
}

void World::kill(SimProcess& process) {
  if (!process.alive) return;
  process.alive = false;
  process.frozen = false;
  process.held.clear();
  process.disturbed = now_;
  process.node.reset();
  ++process.life;
  if (process.role == Role::kFront) {
    for (auto& run : runs_)
      if (run->process == &process) run->ended || (endRun(run, ShotTurn::kBroken), true);
    callers_->lost(process.host);
  }
}

void World::deliver(SimProcess& process, const Event& event) {
  if (!process.alive) return;
  if (process.frozen) {
    if (!std::holds_alternative<Ticked>(event) && process.held.size() < 20000)
      process.held.push_back(event);
    return;
  }
  process.node->step(event, process.local(now_));
  runCommands(process);
}

void World::findWaysToList() {
  // Who hears the platform's list, itself or from a member that does.
  if (groups_.empty() && parted_.empty()) return;
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
    if (!hears.contains(process.get())) process->withoutList = now_;
}

void World::tickAll() {
  findWaysToList();
  for (auto& process : processes_) {
    if (process->alive) deliver(*process, Ticked{});
    bool gone = process->alive && process->leaving && !process->frozen;
    if (gone && process->node->drained(process->local(now_))) kill(*process);
  }
  for (auto& engine : engines_) engine->model->tick(now_);
  callers_->tick();
  askOperators();
  checker_->watch();
}

void World::firstSetup() {
  // The operator waits for a primary, then applies the whole first setup.
  if (leader() == nullptr) {
    after(milliseconds(100), [this] { firstSetup(); });
    return;
  }
  Json body = Json::parse(firstSetupBody(scenario_.profile, "1.1"));
  change(std::move(body));
}

void World::run() {
  for (auto& process : processes_)
    if (!process->spare) start(*process);
  after(milliseconds(500), [this] { firstSetup(); });
  for (const auto& action : scenario_.actions)
    queue_.push({action.at, ++orders_, [this, &action] { act(action); }});
  MonotonicTime end = MonotonicTime{} + scenario_.run + kAfterRun;
  std::function<void()> ticker = [this, &ticker] {
    tickAll();
    after(kTick, ticker);
  };
  after(kTick, ticker);
  while (!queue_.empty() && now_ < end) {
    Item item = queue_.top();
    queue_.pop();
    now_ = std::max(now_, item.at);
    item.what();
  }
  checker_->finish();
}

void World::send(SimProcess& from, const Send& command) {
  ++messages_;
  if (command.to == from.address) {  // to itself: no network between
    std::uint64_t life = from.life;
    after(Duration{1}, [this, &from, life, message = command.message] {
      if (from.life == life) deliver(from, Arrived{from.address, message});
    });
    return;
  }
  // Every message goes through its wire form, as between real processes.
  std::string frame = encodeFrame(1, command.message);
  messageBytes_ += frame.size();
  auto second = static_cast<std::size_t>((now_ - kWarmUp).microseconds / 1'000'000);
  if (bytesBySecond_.size() <= second) bytesBySecond_.resize(second + 1);
  bytesBySecond_[second] += frame.size();
  SimProcess* to = processAt(command.to);
  if (to == nullptr || !reachable(from.host, to->host)) return;
  if (random_.fraction() < loss_) return;  // lost with a broken connection
  std::uint64_t life = to->life;
  Address sender = from.address;
  // Now and then a connection stands still for a while and its messages come late.
  Duration delay = latency();
  if (random_.fraction() < late_) delay = delay + seconds(2.5 * random_.fraction());
  after(delay, [this, to, life, sender, frame = std::move(frame), host = from.host] {
    if (!to->alive || to->life != life || !reachable(host, to->host)) return;
    std::span<const char> bytes(frame);
    FrameHead head = readFrameHead(1, bytes);
    auto message = decodeBody(head.kind, bytes.subspan(kFrameHeadSize));
    if (message.ok() && bodyIsWhole(head, bytes.subspan(kFrameHeadSize)))
      deliver(*to, Arrived{sender, std::move(*message)});
    else checker_->fail("frame-unreadable");
  });
}

std::uint64_t World::bytesAt(MonotonicTime from, MonotonicTime to) const {
  std::uint64_t bytes = 0;
  for (std::size_t second = 0; second < bytesBySecond_.size(); ++second) {
    MonotonicTime at = kWarmUp + seconds(static_cast<double>(second));
    if (at >= from && at < to) bytes += bytesBySecond_[second];
  }
  return bytes;
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
