// Carries out the faults and the operators' actions of scenarios.
#include <algorithm>

#include "core/digest.h"
#include "sim/callers.h"
#include "sim/checker.h"
#include "sim/world.h"

namespace peppergate {
namespace {

int numberOf(const std::string& word) { return std::atoi(word.c_str()); }

}  // namespace

SimEngine& World::engineByWords(const std::vector<std::string>& words) {
  if (words.at(0) == "store") return store();
  return *engines_.at(static_cast<std::size_t>(numberOf(words.at(1)) - 1));
}

bool World::runEngineAction(const Action& action) {
  const auto& words = action.words;
  bool isEngineAction = !words.empty() && (words[0] == "engine" || words[0] == "store");
  if (!isEngineAction) return false;
  SimEngine& engine = engineByWords(words);
  switch (action.verb) {
    case Verb::kKill:
      killEngine(engine);
      return true;
    case Verb::kStart:
      engine.alive = true;
      engine.model->restart(engine.model->weights(), now());
      return true;
    case Verb::kDrain:
    case Verb::kUndrain:
      engine.entry.draining = action.verb == Verb::kDrain;
      engine.model->setDraining(action.verb == Verb::kDrain, now());
      incrementListVersion();
      return true;
    case Verb::kGone:
    case Verb::kReturn:
      engine.listed = action.verb == Verb::kReturn;
      incrementListVersion();
      return true;
    case Verb::kEngineLink:
      engine.linkFactor = std::atof(words.at(2).c_str());
      return true;
    case Verb::kReports:
      engine.reportsDisabled = words.at(2) == "off";
      engine.reportDelay = words.at(2) == "late" ? seconds(1.2) : Duration{};
      return true;
    case Verb::kRestart: {  // a crash and an immediate start, optionally with older weights
      killEngine(engine);
      engine.alive = true;
      WeightsVersion weights = words.size() > 2
                                   ? WeightsVersion{std::strtoull(words[2].c_str(), nullptr, 10)}
                                   : engine.model->weights();
      engine.model->restart(weights, now());
      return true;
    }
    case Verb::kReset:
      breakRuns(
          [&](std::size_t index, const SimProcess&) { return engines_[index].get() == &engine; });
      return true;
    case Verb::kGarble:
      engine.responseFault = words.at(2) == "off" ? "" : words.at(2);
      return true;
    default:
      return false;
  }
}

void World::requestTenantChange(const std::string& tenant) {
  Json parameters{{"rank", 2}, {"wall", "wall-" + tenant + std::to_string(now().microseconds)}};
  requestChange(
      {{"kind", "stamp"}, {"template", "plain"}, {"tenant", tenant}, {"parameters", parameters}},
      true, tenant);
}

void World::requestRacingChanges() {
  for (int racer = 0; racer < 2; ++racer) {
    std::string name = "racer" + std::to_string(++lastNameNumber_);
    requestChange({{"kind", "stamp"},
                   {"template", "plain"},
                   {"tenant", name},
                   {"parameters", {{"rank", 2}, {"wall", name}}}},
                  false, name);
  }
}

void World::requestKeyChanges(int changes) {
  for (int index = 0; index < changes; ++index) {
    std::string tenant(exampleTenants(scenario_.profile)[0].name);
    std::string key = "extra-" + std::to_string(++lastNameNumber_);
    requestChange({{"kind", "key-add"}, {"tenant", tenant}, {"digest", keyDigest(key).value}});
  }
}

void World::requestLargeSetup(std::size_t bytes) {
  // A complete setup of about this size: thousands of tenants besides those of the profile.
  std::string name = "large" + std::to_string(++lastNameNumber_);
  Json body = Json::parse(initialSetupChange(scenario_.profile, "1.1"));
  body.erase("basedOn");
  std::size_t size = body.dump().size();
  for (int index = 0; size < bytes; ++index) {
    std::string tenant = name + "-" + std::to_string(index);
    Json entry{{"template", "plain"},
               {"parameters",
                {{"rank", 3},
                 {"wall", "wall-" + tenant},
                 {"keys", Json::array({keyDigest(tenant).value})}}}};
    size += entry.dump().size() + tenant.size() + 4;
    body["setup"]["tenants"][tenant] = std::move(entry);
  }
  requestChange(std::move(body), true, name + "-0");
}

bool World::runOperatorAction(const Action& action) {
  const auto& words = action.words;
  switch (action.verb) {
    case Verb::kWeights:
      requestChange({{"kind", "weights"}, {"label", words.at(0)}});
      return true;
    case Verb::kWithdraw: {
      std::string key = Callers::keyOf(words.at(0));
      requestChange({{"kind", "key-withdraw"}, {"digest", keyDigest(key).value}}, true, {}, key);
      return true;
    }
    case Verb::kStamp:
      requestTenantChange("stamped" + std::to_string(++lastNameNumber_));
      return true;
    case Verb::kNewWall:
      requestTenantChange(words.at(0));
      return true;
    case Verb::kRace:
      requestRacingChanges();
      return true;
    case Verb::kStorm:
      requestKeyChanges(numberOf(words.at(0)));
      return true;
    case Verb::kLarge:
      requestLargeSetup(static_cast<std::size_t>(numberOf(words.at(0))));
      return true;
    default:
      return false;
  }
}

void World::runAction(const Action& action) {
  if (runEngineAction(action) || runOperatorAction(action)) return;
  if (action.verb == Verb::kTraffic)
    callers_->setTrafficFactor(std::atof(action.words.at(0).c_str()));
  else if (action.verb == Verb::kFlood)
    callers_->flood(action.words.at(0), std::atof(action.words.at(1).c_str()));
  else runMachineAction(action.verb, action.words);
}

}  // namespace peppergate
