// The faults and operators' deeds of router scenarios, carried out.
#include <algorithm>
#include <cstdlib>

#include "sim/router_checker.h"
#include "sim/router_clients.h"
#include "sim/router_operators.h"
#include "sim/router_world.h"

namespace peppergate {
namespace {

constexpr Duration kGrace = seconds(8);        // a leaving engine's, from its draining on
constexpr Duration kCrashListed = seconds(3);  // so long a crashed one stays on the list

int numberOf(const std::string& word) { return std::atoi(word.c_str()); }

}  // namespace

void RouterWorld::kill(RouterProcess& process, bool planned) {
  if (!process.alive) return;
  if (!planned || process.frozen) process.disturbed = now_;
  process.alive = process.frozen = false;
  process.held.clear();
  process.node.reset();
  ++process.life;
  if (process.role == Role::kCore) {
    coreDisturbed_ = now_;
    return;
  }
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
  // Engines see their connections end.
  for (auto& run : gone) {
    run->over = true;
    after(latency(), [this, run] { leaveEngine(run); });
  }
}

void RouterWorld::stop(RouterProcess& process) {
  if (!process.alive || process.frozen) return;
  process.stopping = true;
  process.stoppedAt = now_;
  deliver(process, DrainRequest{});
  if (process.role == Role::kCore) process.disturbed = coreDisturbed_ = now_;
  after(options_.graceTime, [this, &process, life = process.life] {
    if (process.life == life) kill(process, true);  // its time is up
  });
}

void RouterWorld::reload(RouterProcess& process) {
  if (!process.alive || process.frozen) return;
  process.reloadedAt = now_;
  process.node->reload(options_);
}

void RouterWorld::reborn(RouterEngine& engine) {
  if (engine.alive) return;
  ++engine.life;
  engine.alive = engine.listed = true;
  engine.draining = engine.dark = false;
  engine.drainingSince = kForever;
  engine.since = now_;
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

std::vector<RouterProcess*> RouterWorld::targets(const std::vector<std::string>& words) {
  std::vector<RouterProcess*> found;
  const std::string& word = words.at(0);
  if (RouterProcess* primary = leader()) {
    // Where nobody leads, roles are those when one last did.
    const View& view = primary->core().leadership().view();
    for (auto& process : processes_) {
      if (!process->alive || process->role != Role::kCore) continue;
      CoreId core = process->core().acceptor().record().identity;
      if (core == view.primary) roles_["primary"] = process.get();
      else if (isMember(view, core)) roles_["backup"] = process.get();
    }
  }
  std::string host = words.size() > 1 ? word + words[1] : word;
  int routers = 0;
  for (auto& process : processes_) {
    bool router = process->role == Role::kFront;
    if (process->host == host || word == "all" || (word == "routers" && router) ||
        (word == "half" && router && routers % 2 == 0))
      found.push_back(process.get());
    if (router) ++routers;
  }
  if (auto role = roles_.find(word); role != roles_.end()) found.push_back(role->second);
  return found;
}

void RouterWorld::act(const RouterAction& action) {
  const auto& words = action.words;
  const std::string& verb = action.verb;
  auto engineOf = [&](std::size_t index) -> RouterEngine& {
    auto number = static_cast<std::size_t>(std::max(1, numberOf(words.at(index))));
    return *engines_[std::min(number, engines_.size() - 1) - 1];
  };
  auto touch = [this](RouterProcess& process) {
    process.disturbed = now_;
    if (process.role == Role::kCore) coreDisturbed_ = now_;
  };
  if (verb == "kill") {
    for (auto* process : targets(words)) kill(*process);
  } else if (verb == "start") {
    for (auto* process : targets(words)) start(*process);
  } else if (verb == "stop") {
    for (auto* process : targets(words)) stop(*process);
  } else if (verb == "hup") {
    for (auto* process : targets(words)) reload(*process);
  } else if (verb == "wipe" || verb == "replace") {
    for (auto* process : targets(words)) {
      kill(*process);
      process->disk.clear();
      process->bootstraps = false;
      if (verb == "wipe") continue;
      process->address = {process->address.value + std::to_string(process->life)};
      start(*process);
    }
  } else if (verb == "freeze") {
    for (auto* process : targets(words)) {
      process->frozen = process->alive;
      touch(*process);
    }
  } else if (verb == "thaw") {
    for (auto* process : targets(words)) {
      if (!process->alive || !process->frozen) continue;
      process->frozen = false;
      touch(*process);
      for (const auto& what : std::exchange(process->held, {})) what();
    }
  } else if (verb == "cut") {
    ++lastGroup_;
    for (std::size_t index = 0; index < words.size(); ++index) {
      std::vector<std::string> named{words[index]};
      bool numbered = named[0] == "core" || named[0] == "router" || named[0] == "engine";
      if (numbered && index + 1 < words.size()) named.push_back(words[++index]);
      groups_[named.size() > 1 ? named[0] + named[1] : named[0]] = lastGroup_;
      for (auto* process : targets(named)) {
        groups_[process->host] = lastGroup_;
        touch(*process);
      }
    }
  } else if (verb == "heal") {
    for (auto& process : processes_)
      if (groups_.contains(process->host)) touch(*process);
    groups_.clear();
  } else if (verb == "crash") {
    crash(engineOf(0), seconds(words.size() > 1 ? std::atof(words[1].c_str()) : 6));
  } else if (verb == "dark") {
    RouterEngine& engine = engineOf(0);
    engine.dark = true;
    after(seconds(std::atof(words[1].c_str())), [&engine] { engine.dark = false; });
  } else if (verb == "light") {
    engineOf(0).dark = false;
  } else if (verb == "leave") {
    release(engineOf(0));
  } else if (verb == "release") {  // every engine, one after the other
    Duration gap = seconds(std::atof(words[0].c_str())), wait{};
    for (auto& engine : engines_) {
      if (engine->store) continue;
      after(wait, [this, &engine = *engine] { release(engine); });
      wait = wait + gap;
    }
  } else if (verb == "garble") {
    engineOf(0).garble = words[1] == "off" ? "" : words[1];
  } else if (verb == "slow") {
    engineOf(0).slow = std::atof(words[1].c_str());
  } else if (verb == "link") {
    for (auto& engine : engines_)
      engine->model->options().linkMbps = BatchOptions{}.linkMbps * std::atof(words[0].c_str());
  } else if (verb == "events") {
    for (auto& engine : engines_) engine->model->options().eventsLost = std::atof(words[0].c_str());
  } else if (verb == "store") {
    RouterEngine& store = *engines_.back();
    if (words[0] == "lost") store.alive = false;
    else reborn(store);
  } else if (verb == "list") {
    listDown_ = words[0] == "off";
    listedSince_ = now_;
  } else if (verb == "loss") {
    loss_ = std::atof(words[0].c_str());
  } else if (verb == "late") {
    late_ = std::atof(words[0].c_str());
  } else if (verb == "traffic") {
    clients_->traffic(std::atof(words[0].c_str()));
  } else if (verb == "amend" || verb == "storm") {
    int count = verb == "storm" ? numberOf(words[0]) : 1;
    for (int index = 0; index < count; ++index) operators_->amend();
  } else if (verb == "swap") {
    operators_->swap();
  } else if (verb == "race") {
    operators_->race();
  } else if (verb == "invalid") {
    operators_->invalid();
  } else if (verb == "version") {
    operators_->nameVersion(words[0]);
  } else if (verb == "withdraw") {
    operators_->withdraw(words[0]);
  }
}

}  // namespace peppergate
