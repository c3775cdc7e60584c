// The faults and operators' deeds of scenarios, carried out.
#include <algorithm>

#include "core/digest.h"
#include "sim/callers.h"
#include "sim/checker.h"
#include "sim/world.h"

namespace peppergate {
namespace {

int numberOf(const std::string& word) { return std::atoi(word.c_str()); }

}  // namespace

SimProcess* World::inRole(const std::string& word) {
  // Who has the role now or, where nobody leads or it is gone, who had it when last named.
  SimProcess* primary = leader();
  std::vector<SimProcess*> backups, witnesses;
  if (primary != nullptr) {
    const View& view = static_cast<CoreNode&>(*primary->node).leadership().view();
    for (auto& process : processes_) {
      if (!process->alive || process->role != Role::kCore) continue;
      CoreId core = static_cast<CoreNode&>(*process->node).acceptor().record().identity;
      if (core == view.primary) roles_["primary"] = process.get();
      else if (isMember(view, core)) backups.push_back(process.get());
      else if (std::ranges::find(view.voters, core) != view.voters.end())
        witnesses.push_back(process.get());
    }
  }
  if (!backups.empty()) roles_["backup"] = backups[0];
  if (backups.size() >= 2) roles_["other-backup"] = backups[1];
  if (witnesses.size() >= 2) {
    roles_["witness"] = witnesses[0];
    roles_["other-witness"] = witnesses[1];
  }
  auto found = roles_.find(word);
  return found == roles_.end() ? nullptr : found->second;
}

std::vector<SimProcess*> World::targets(const std::vector<std::string>& words) {
  std::vector<SimProcess*> found;
  const std::string& word = words.at(0);
  if (word == "core") found.push_back(core(numberOf(words.at(1))));
  else if (word == "front") found.push_back(front(numberOf(words.at(1))));
  else if (word == "all")
    for (auto& process : processes_) found.push_back(process.get());
  else if (SimProcess* process = inRole(word)) found.push_back(process);
  return found;
}

std::vector<std::string> World::hostsIn(const std::vector<std::string>& words) {
  std::vector<std::string> hosts;
  for (std::size_t index = 0; index < words.size(); ++index) {
    const std::string& word = words[index];
    bool numbered = word == "core" || word == "front" || word == "engine";
    if (numbered && index + 1 < words.size()) hosts.push_back(word + words[++index]);
    else if (word == "primary" || word.ends_with("backup") || word.ends_with("witness"))
      for (SimProcess* process : targets({word})) hosts.push_back(process->host);
    else hosts.push_back(word);
  }
  return hosts;
}

void World::act(const Action& action) {
  const auto& words = action.words;
  auto number = [&](std::size_t index) { return numberOf(words.at(index)); };
  auto engineOf = [&]() -> SimEngine& {
    return *engines_.at(static_cast<std::size_t>(number(1) - 1));
  };
  bool engineTarget = !words.empty() && words[0] == "engine";
  bool storeTarget = !words.empty() && words[0] == "store";
  switch (action.verb) {
    case Verb::kKill:
      if (engineTarget) killEngine(engineOf());
      else if (storeTarget) killEngine(store());
      else
        for (SimProcess* process : targets(words)) kill(*process);
      break;
    case Verb::kStart:
      if (engineTarget || storeTarget) {
        SimEngine& engine = storeTarget ? store() : engineOf();
        engine.alive = true;
        engine.model->restart(engine.model->weights(), now_);
      } else {
        for (SimProcess* process : targets(words)) start(*process);
      }
      break;
    case Verb::kWipe:
      for (SimProcess* process : targets(words)) {
        kill(*process);
        process->disk.clear();
        process->bootstraps = false;
      }
      break;
    case Verb::kReplace: {  // back empty, at a new address
      SimProcess& process = *targets(words).at(0);
      kill(process);
      process.disk.clear();
      process.bootstraps = false;
      process.address = {"10.0.9." + words.at(1) + ":" + std::to_string(7200 + process.life)};
      start(process);
      break;
    }
    case Verb::kLeave:
      for (SimProcess* process : targets(words)) {
        if (!process->alive) continue;
        process->leaving = true;
        process->disturbed = now_;
        deliver(*process, DrainRequest{});
      }
      break;
    case Verb::kFreeze:
      for (SimProcess* process : targets(words)) {
        process->frozen = true;
        process->disturbed = now_;
      }
      break;
    case Verb::kThaw:
      for (SimProcess* process : targets(words)) {
        if (!process->alive || !process->frozen) continue;
        process->frozen = false;
        process->disturbed = now_;
        auto held = std::exchange(process->held, {});
        for (const auto& event : held) deliver(*process, event);
      }
      break;
    case Verb::kCut: {
      ++lastGroup_;
      auto hosts = hostsIn(words);
      for (const auto& host : hosts) groups_[host] = lastGroup_;
      for (auto& process : processes_)
        if (std::ranges::find(hosts, process->host) != hosts.end()) process->disturbed = now_;
      break;
    }
    case Verb::kPart: {  // only these don't hear each other; all others hear them
      auto hosts = hostsIn(words);
      for (const auto& one : hosts)
        for (const auto& other : hosts)
          if (one != other) parted_.insert({one, other});
      break;
    }
    case Verb::kOneWay: {  // what the first say never reaches the second
      auto middle = std::ranges::find(words, "to");
      auto senders = hostsIn({words.begin(), middle});
      auto hearers = hostsIn({middle == words.end() ? middle : middle + 1, words.end()});
      for (const auto& sender : senders)
        for (const auto& hearer : hearers) parted_.insert({sender, hearer});
      break;
    }
    case Verb::kLeap:  // its boot clock goes on as if that time had passed
      for (SimProcess* process : targets(words))
        process->clock = process->clock + seconds(std::atof(words.back().c_str()));
      break;
    case Verb::kLoss:
      loss_ = std::atof(words.at(0).c_str());
      break;
    case Verb::kLate:
      late_ = std::atof(words.at(0).c_str());
      break;
    case Verb::kHeal:
      for (auto& process : processes_)
        if (groups_.contains(process->host)) process->disturbed = now_;
      groups_.clear();
      parted_.clear();
      break;
    case Verb::kDisk: {
      DiskMode mode = words.back() == "slow"    ? DiskMode::kSlow
                      : words.back() == "stall" ? DiskMode::kStalled
                      : words.back() == "fail"  ? DiskMode::kFailing
                      : words.back() == "full"  ? DiskMode::kFull
                                                : DiskMode::kGood;
      for (SimProcess* process : targets(words)) {
        process->diskMode = mode;
        process->disturbed = now_;
      }
      break;
    }
    case Verb::kDrain:
    case Verb::kUndrain:
      engineOf().entry.draining = action.verb == Verb::kDrain;
      engineOf().model->marked(action.verb == Verb::kDrain, now_);
      raiseList();
      break;
    case Verb::kGone:
    case Verb::kReturn:
      engineOf().listed = action.verb == Verb::kReturn;
      raiseList();
      break;
    case Verb::kWeights:
      change({{"kind", "weights"}, {"label", words.at(0)}});
      break;
    case Verb::kWithdraw:
      change({{"kind", "key-withdraw"}, {"digest", keyDigest(Callers::keyOf(words.at(0))).value}},
             true, {}, Callers::keyOf(words.at(0)));
      break;
    case Verb::kStamp:
    case Verb::kNewWall: {
      std::string name =
          action.verb == Verb::kStamp ? "stamped" + std::to_string(++stamps_) : words.at(0);
      Json parameters{{"rank", 2}, {"wall", "wall-" + name + std::to_string(now_.microseconds)}};
      change(
          {{"kind", "stamp"}, {"template", "plain"}, {"tenant", name}, {"parameters", parameters}},
          true, name);
      break;
    }
    case Verb::kRace:
      for (int racer = 0; racer < 2; ++racer) {
        std::string name = "racer" + std::to_string(++stamps_);
        change({{"kind", "stamp"},
                {"template", "plain"},
                {"tenant", name},
                {"parameters", {{"rank", 2}, {"wall", name}}}},
               false, name);
      }
      break;
    case Verb::kStorm:
      for (int index = 0; index < number(0); ++index) {
        std::string tenant(tenantRows(scenario_.profile)[0].name);
        std::string key = "extra-" + std::to_string(++stamps_);
        change({{"kind", "key-add"}, {"tenant", tenant}, {"digest", keyDigest(key).value}});
      }
      break;
    case Verb::kLarge: {
      // A whole setup of about so many bytes: thousands of tenants beside the day's own.
      std::string name = "large" + std::to_string(++stamps_);
      Json body = Json::parse(firstSetupBody(scenario_.profile, "1.1"));
      body.erase("basedOn");
      std::size_t size = body.dump().size();
      for (int index = 0; size < static_cast<std::size_t>(number(0)); ++index) {
        std::string tenant = name + "-" + std::to_string(index);
        Json entry{{"template", "plain"},
                   {"parameters",
                    {{"rank", 3},
                     {"wall", "wall-" + tenant},
                     {"keys", Json::array({keyDigest(tenant).value})}}}};
        size += entry.dump().size() + tenant.size() + 4;
        body["setup"]["tenants"][tenant] = std::move(entry);
      }
      change(std::move(body), true, name + "-0");
      break;
    }
    case Verb::kTraffic:
      callers_->traffic(std::atof(words.at(0).c_str()));
      break;
    case Verb::kFlood:
      callers_->flood(words.at(0), std::atof(words.at(1).c_str()));
      break;
    case Verb::kLink:
      engineOf().linkFactor = std::atof(words.at(2).c_str());
      break;
    case Verb::kReports:
      engineOf().reportsOff = words.at(2) == "off";
      engineOf().reportDelay = words.at(2) == "late" ? seconds(1.2) : Duration{};
      break;
    case Verb::kSeeds:
      seeds_ = {core(std::min(number(0), scenario_.cores))->address};
      break;
    case Verb::kRestart: {  // a crash and a start at once, perhaps under older weights
      SimEngine& engine = engineOf();
      killEngine(engine);
      engine.alive = true;
      WeightsVersion weights = words.size() > 2
                                   ? WeightsVersion{std::strtoull(words[2].c_str(), nullptr, 10)}
                                   : engine.model->weights();
      engine.model->restart(weights, now_);
      break;
    }
    case Verb::kReset: {
      std::size_t index = static_cast<std::size_t>(number(1) - 1);
      breakRuns([index](std::size_t engine, const SimProcess&) { return engine == index; });
      break;
    }
    case Verb::kGarble:
      engineOf().garble = words.at(2) == "off" ? "" : words.at(2);
      break;
  }
}

}  // namespace peppergate
