// Applies the faults and operators' actions of router scenarios.
#include <algorithm>
#include <cstdlib>

#include "sim/router_checker.h"
#include "sim/router_clients.h"
#include "sim/router_operators.h"
#include "sim/router_world.h"

namespace peppergate {
namespace {

constexpr Duration kDrainGrace = seconds(8);    // from an engine's draining until it is stopped
constexpr Duration kCrashListLag = seconds(3);  // how long a crashed engine stays listed

int numberOf(const std::string& word) { return std::atoi(word.c_str()); }

}  // namespace

void RouterWorld::handleProcessEnd(SimProcess& process, bool planned) {
  (void)planned;
  if (process.role == Role::kCore) return;
  clients_->handleRouterExit(process);
  std::vector<AttemptPointer> lostAttempts;
  for (auto entry = attempts_.begin(); entry != attempts_.end();) {
    if (entry->first.first != &process) {
      ++entry;
      continue;
    }
    lostAttempts.push_back(entry->second);
    entry = attempts_.erase(entry);
  }
  // Engines notice the closed connections one network delay later.
  for (auto& attempt : lostAttempts) {
    attempt->closed = true;
    scheduleAfter(drawLatency(), [this, attempt] { endRun(attempt); });
  }
}

void RouterWorld::restartEngine(RouterEngine& engine) {
  if (engine.alive) return;
  ++engine.incarnation;
  engine.alive = engine.listed = true;
  engine.draining = engine.unreachable = false;
  engine.drainingSince = kForever;
  engine.startedAt = now();
  EngineId id =
      engine.isStore ? storeId() : EngineId{engine.host + "-" + std::to_string(engine.incarnation)};
  engine.batchEngine->restart(id, engine.incarnation);
}

void RouterWorld::crashEngine(RouterEngine& engine, Duration downtime) {
  if (!engine.alive) return;
  engine.alive = false;
  ++engine.incarnation;
  breakAttempts([&](const RouterAttempt& attempt) { return attempt.engine == &engine; });
  scheduleAfter(std::min(kCrashListLag, downtime * 0.9),
                [&engine] { engine.listed = engine.alive; });
  scheduleAfter(downtime, [this, &engine] { restartEngine(engine); });
}

void RouterWorld::replaceEngine(RouterEngine& engine) {
  if (!engine.alive || engine.draining) return;
  engine.draining = true;
  scheduleAfter(kDrainGrace, [this, &engine, incarnation = engine.incarnation] {
    if (engine.incarnation != incarnation) return;
    engine.listed = false;
    engine.alive = false;
    ++engine.incarnation;
    breakAttempts([&](const RouterAttempt& attempt) { return attempt.engine == &engine; });
    scheduleAfter(seconds(1), [this, &engine] { restartEngine(engine); });
  });
}

RouterEngine& RouterWorld::engineByNumber(const std::string& number) {
  auto position = static_cast<std::size_t>(std::max(1, numberOf(number)));
  return *engines_[std::min(position, engines_.size() - 1) - 1];
}

void RouterWorld::replaceAllEngines(Duration gap) {
  Duration wait{};
  for (auto& engine : engines_) {
    if (engine->isStore) continue;
    scheduleAfter(wait, [this, &engine = *engine] { replaceEngine(engine); });
    wait = wait + gap;
  }
}

bool RouterWorld::runEngineAction(const Action& action) {
  const auto& words = action.words;
  switch (action.verb) {
    case Verb::kCrash:
      crashEngine(engineByNumber(words[0]),
                  seconds(words.size() > 1 ? std::atof(words[1].c_str()) : 6));
      return true;
    case Verb::kDark: {
      RouterEngine& engine = engineByNumber(words[0]);
      engine.unreachable = true;
      scheduleAfter(seconds(std::atof(words[1].c_str())),
                    [&engine] { engine.unreachable = false; });
      return true;
    }
    case Verb::kLight:
      engineByNumber(words[0]).unreachable = false;
      return true;
    case Verb::kReleaseOne:
      replaceEngine(engineByNumber(words[0]));
      return true;
    case Verb::kGarble:
      engineByNumber(words[0]).responseFault = words[1] == "off" ? "" : words[1];
      return true;
    case Verb::kSlow:
      engineByNumber(words[0]).slowdown = std::atof(words[1].c_str());
      return true;
    default:
      return false;
  }
}

bool RouterWorld::runAllEnginesAction(const Action& action) {
  const auto& words = action.words;
  switch (action.verb) {
    case Verb::kRelease:
      replaceAllEngines(seconds(std::atof(words[0].c_str())));
      return true;
    case Verb::kLinks:
      for (auto& engine : engines_)
        engine->batchEngine->options().linkMbps =
            BatchOptions{}.linkMbps * std::atof(words[0].c_str());
      return true;
    case Verb::kEvents:
      for (auto& engine : engines_)
        engine->batchEngine->options().eventLossRate = std::atof(words[0].c_str());
      return true;
    case Verb::kStore:
      if (words[0] == "lost") engines_.back()->alive = false;
      else restartEngine(*engines_.back());
      return true;
    case Verb::kList:
      listUnavailable_ = words[0] == "off";
      listAvailableSince_ = now();
      return true;
    default:
      return false;
  }
}

bool RouterWorld::runOperatorAction(const Action& action) {
  const auto& words = action.words;
  switch (action.verb) {
    case Verb::kAmend:
      operators_->queueAmendment();
      return true;
    case Verb::kStorm:
      for (int index = 0; index < numberOf(words[0]); ++index) operators_->queueAmendment();
      return true;
    case Verb::kSwap:
      operators_->queueReplacement();
      return true;
    case Verb::kRace:
      operators_->queueRace();
      return true;
    case Verb::kInvalid:
      operators_->queueInvalidChange();
      return true;
    case Verb::kVersion:
      operators_->queueModelVersion(words[0]);
      return true;
    case Verb::kWithdraw:
      operators_->queueKeyWithdrawal(words[0]);
      return true;
    default:
      return false;
  }
}

void RouterWorld::runAction(const Action& action) {
  if (runEngineAction(action) || runAllEnginesAction(action) || runOperatorAction(action)) return;
  if (action.verb == Verb::kTraffic) clients_->setTrafficFactor(std::atof(action.words[0].c_str()));
  else runMachineAction(action.verb, action.words);
}

}  // namespace peppergate
