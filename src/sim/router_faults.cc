// Applies the faults and operators' actions of router scenarios.
#include <algorithm>
#include <cstdlib>

#include "sim/router_checker.h"
#include "sim/router_clients.h"
#include "sim/router_operators.h"
#include "sim/router_world.h"

namespace peppergate {
namespace {

constexpr Duration kGrace = seconds(8);        // from an engine's draining until it is stopped
constexpr Duration kCrashListed = seconds(3);  // how long a crashed engine stays listed

int numberOf(const std::string& word) { return std::atoi(word.c_str()); }

}  // namespace

void RouterWorld::processEnded(SimProcess& process, bool planned) {
  (void)planned;
  if (process.role == Role::kCore) return;
  clients_->lost(process);
  std::vector<RunPointer> gone;
  for (auto entry = runs_.begin(); entry != runs_.end();) {
    if (entry->first.first != &process) {
      ++entry;
      continue;
    }
    gone.push_back(entry->second);
    entry = runs_.erase(entry);
  }
  // Engines notice the closed connections one network delay later.
  for (auto& run : gone) {
    run->over = true;
    after(latency(), [this, run] { leaveEngine(run); });
  }
}

void RouterWorld::reborn(RouterEngine& engine) {
  if (engine.alive) return;
  ++engine.life;
  engine.alive = engine.listed = true;
  engine.draining = engine.dark = false;
  engine.drainingSince = kForever;
  engine.since = now();
  EngineId id =
      engine.store ? storeId() : EngineId{engine.host + "-" + std::to_string(engine.life)};
  engine.model->restart(id, engine.life);
}

void RouterWorld::crash(RouterEngine& engine, Duration until) {
  if (!engine.alive) return;
  engine.alive = false;
  ++engine.life;
  endRuns([&](const RouterRun& run) { return run.engine == &engine; });
  after(std::min(kCrashListed, until * 0.9), [&engine] { engine.listed = engine.alive; });
  after(until, [this, &engine] { reborn(engine); });
}

void RouterWorld::release(RouterEngine& engine) {
  if (!engine.alive || engine.draining) return;
  engine.draining = true;
  after(kGrace, [this, &engine, life = engine.life] {
    if (engine.life != life) return;
    engine.listed = false;
    engine.alive = false;
    ++engine.life;
    endRuns([&](const RouterRun& run) { return run.engine == &engine; });
    after(seconds(1), [this, &engine] { reborn(engine); });
  });
}

RouterEngine& RouterWorld::engineOf(const std::string& number) {
  auto wanted = static_cast<std::size_t>(std::max(1, numberOf(number)));
  return *engines_[std::min(wanted, engines_.size() - 1) - 1];
}

void RouterWorld::releaseAll(Duration gap) {
  Duration wait{};
  for (auto& engine : engines_) {
    if (engine->store) continue;
    after(wait, [this, &engine = *engine] { release(engine); });
    wait = wait + gap;
  }
}

bool RouterWorld::actOnEngine(const Action& action) {
  const auto& words = action.words;
  switch (action.verb) {
    case Verb::kCrash:
      crash(engineOf(words[0]), seconds(words.size() > 1 ? std::atof(words[1].c_str()) : 6));
      return true;
    case Verb::kDark: {
      RouterEngine& engine = engineOf(words[0]);
      engine.dark = true;
      after(seconds(std::atof(words[1].c_str())), [&engine] { engine.dark = false; });
      return true;
    }
    case Verb::kLight:
      engineOf(words[0]).dark = false;
      return true;
    case Verb::kReleaseOne:
      release(engineOf(words[0]));
      return true;
    case Verb::kGarble:
      engineOf(words[0]).garble = words[1] == "off" ? "" : words[1];
      return true;
    case Verb::kSlow:
      engineOf(words[0]).slow = std::atof(words[1].c_str());
      return true;
    default:
      return false;
  }
}

bool RouterWorld::actOnAllEngines(const Action& action) {
  const auto& words = action.words;
  switch (action.verb) {
    case Verb::kRelease:
      releaseAll(seconds(std::atof(words[0].c_str())));
      return true;
    case Verb::kLinks:
      for (auto& engine : engines_)
        engine->model->options().linkMbps = BatchOptions{}.linkMbps * std::atof(words[0].c_str());
      return true;
    case Verb::kEvents:
      for (auto& engine : engines_)
        engine->model->options().eventsLost = std::atof(words[0].c_str());
      return true;
    case Verb::kStore:
      if (words[0] == "lost") engines_.back()->alive = false;
      else reborn(*engines_.back());
      return true;
    case Verb::kList:
      listDown_ = words[0] == "off";
      listedSince_ = now();
      return true;
    default:
      return false;
  }
}

bool RouterWorld::actAsOperator(const Action& action) {
  const auto& words = action.words;
  switch (action.verb) {
    case Verb::kAmend:
      operators_->amend();
      return true;
    case Verb::kStorm:
      for (int index = 0; index < numberOf(words[0]); ++index) operators_->amend();
      return true;
    case Verb::kSwap:
      operators_->swap();
      return true;
    case Verb::kRace:
      operators_->race();
      return true;
    case Verb::kInvalid:
      operators_->invalid();
      return true;
    case Verb::kVersion:
      operators_->nameVersion(words[0]);
      return true;
    case Verb::kWithdraw:
      operators_->withdraw(words[0]);
      return true;
    default:
      return false;
  }
}

void RouterWorld::act(const Action& action) {
  if (actOnEngine(action) || actOnAllEngines(action) || actAsOperator(action)) return;
  if (action.verb == Verb::kTraffic) clients_->traffic(std::atof(action.words[0].c_str()));
  else actOnMachines(action.verb, action.words);
}

}  // namespace peppergate
