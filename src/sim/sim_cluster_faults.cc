// Injects the faults of machines, disks, clocks and the network that both interfaces' worlds share.
#include <algorithm>
#include <cstdlib>

#include "sim/sim_cluster.h"

namespace peppergate {
namespace {

double numberOf(const std::string& word) { return std::atof(word.c_str()); }

DiskMode diskModeOf(const std::string& word) {
  if (word == "slow") return DiskMode::kSlow;
  if (word == "stall") return DiskMode::kStalled;
  if (word == "fail") return DiskMode::kFailingSync;
  if (word == "full") return DiskMode::kFull;
  return DiskMode::kGood;
}

}  // namespace

void SimCluster::updateRoles() {
  // Without a leader, the roles under the last leader still apply.
  SimProcess* leaderProcess = leader();
  if (leaderProcess == nullptr) return;
  const View view = leaderProcess->core().leadership().view();
  std::vector<SimProcess*> backups, witnesses;
  for (auto& process : processes_) {
    if (!process->alive || process->role != Role::kCore) continue;
    CoreId core = process->core().acceptor().record().identity;
    if (core == view.primary) roles_["primary"] = process.get();
    else if (isMember(view, core)) backups.push_back(process.get());
    else if (std::ranges::find(view.voters, core) != view.voters.end())
      witnesses.push_back(process.get());
  }
  if (!backups.empty()) roles_["backup"] = backups[0];
  if (backups.size() >= 2) roles_["other-backup"] = backups[1];
  if (witnesses.size() < 2) return;
  roles_["witness"] = witnesses[0];
  roles_["other-witness"] = witnesses[1];
}

std::vector<SimProcess*> SimCluster::processesNamed(const std::vector<std::string>& words) {
  updateRoles();
  const std::string& word = words.at(0);
  if (auto role = roles_.find(word); role != roles_.end()) return {role->second};
  std::string host = words.size() > 1 ? word + words[1] : word;
  std::vector<SimProcess*> found;
  int routerCount = 0;
  for (auto& process : processes_) {
    bool isRouter = process->role == Role::kRouter;
    bool isInGroup = word == "all" || (word == "cores" && !isRouter) ||
                     (word == routerWord() + "s" && isRouter) ||
                     (word == "half" && isRouter && routerCount % 2 == 0);
    if (process->host == host || (isInGroup && !process->spare)) found.push_back(process.get());
    if (isRouter) ++routerCount;
  }
  return found;
}

std::vector<std::string> SimCluster::hostsNamed(const std::vector<std::string>& words) {
  std::vector<std::string> hosts;
  for (std::size_t index = 0; index < words.size(); ++index) {
    std::vector<std::string> named{words[index]};
    bool numbered = named[0] == "core" || named[0] == routerWord() || named[0] == "engine";
    if (numbered && index + 1 < words.size()) named.push_back(words[++index]);
    std::vector<SimProcess*> processes = processesNamed(named);
    for (SimProcess* process : processes) hosts.push_back(process->host);
    if (processes.empty()) hosts.push_back(named.size() > 1 ? named[0] + named[1] : named[0]);
  }
  return hosts;
}

void SimCluster::noteDisturbances(const std::vector<std::string>& hosts) {
  for (auto& process : processes_)
    if (std::ranges::find(hosts, process->host) != hosts.end()) noteDisturbance(*process);
}

void SimCluster::setDisk(const std::vector<std::string>& words) {
  // "disk core 1 slow 30": the factor is optional.
  bool hasFactor = words.size() > 2 && words[words.size() - 2] == "slow";
  const std::string& mode = hasFactor ? words[words.size() - 2] : words.back();
  for (SimProcess* process : processesNamed(words)) {
    process->drive.mode = diskModeOf(mode);
    process->drive.slowdownFactor = hasFactor ? numberOf(words.back()) : 0;
    noteDisturbance(*process);
  }
}

void SimCluster::cutOneWay(const std::vector<std::string>& words) {
  auto separator = std::ranges::find(words, "to");
  auto senders = hostsNamed({words.begin(), separator});
  auto receivers = hostsNamed({separator == words.end() ? separator : separator + 1, words.end()});
  network_.cutOneWay(senders, receivers);
  noteDisturbances(senders);
  noteDisturbances(receivers);
}

bool SimCluster::runNetworkAction(Verb verb, const std::vector<std::string>& words) {
  switch (verb) {
    case Verb::kCut:
      network_.cut(hostsNamed(words));
      noteDisturbances(hostsNamed(words));
      return true;
    case Verb::kPart:
      network_.separate(hostsNamed(words));
      noteDisturbances(hostsNamed(words));
      return true;
    case Verb::kHang:
      network_.stall(hostsNamed(words));
      noteDisturbances(hostsNamed(words));
      return true;
    case Verb::kOneWay:
      cutOneWay(words);
      return true;
    case Verb::kHeal:
      for (auto& process : processes_)
        if (network_.isDisturbed(process->host)) noteDisturbance(*process);
      network_.heal();
      return true;
    case Verb::kDrop:
      for (SimProcess* process : processesNamed(words)) network_.reset(process->host, now());
      return true;
    case Verb::kLoss:
      network_.setLossShare(numberOf(words.at(0)));
      return true;
    case Verb::kLate:
      network_.setLateShare(numberOf(words.at(0)));
      return true;
    default:
      return false;
  }
}

bool SimCluster::runProcessAction(Verb verb, SimProcess& process,
                                  const std::vector<std::string>& words) {
  switch (verb) {
    case Verb::kKill:
      kill(process);
      return true;
    case Verb::kPower:
      losePower(process);
      return true;
    case Verb::kStart:
      start(process);
      return true;
    case Verb::kStop:
      stop(process);
      return true;
    case Verb::kReload:
      if (!process.alive || process.frozen) return true;
      process.reloadedAt = now();
      reload(process);
      return true;
    case Verb::kRetire:
      stop(process);
      process.retired = true;
      return true;
    case Verb::kWipe:
      wipe(process);
      return true;
    case Verb::kReplace:
      replace(process);
      return true;
    case Verb::kFreeze:
      process.frozen = process.alive;
      noteDisturbance(process);
      return true;
    case Verb::kThaw:
      thaw(process);
      return true;
    case Verb::kThrottle:
      process.eventCostMilliseconds = numberOf(words.back());
      noteDisturbance(process);
      return true;
    case Verb::kLeap:  // its boot clock jumps by that time
      process.clock = process.clock + seconds(numberOf(words.back()));
      return true;
    default:
      return false;
  }
}

void SimCluster::setSeeds(const std::vector<std::string>& words) {
  seeds_.clear();
  for (const auto& word : words)
    if (SimProcess* seed = processOf(Role::kCore, std::atoi(word.c_str())))
      seeds_.push_back(seed->address);
}

bool SimCluster::runMachineAction(Verb verb, const std::vector<std::string>& words) {
  if (runNetworkAction(verb, words)) return true;
  if (verb == Verb::kDisk) {
    setDisk(words);
    return true;
  }
  if (verb == Verb::kSeeds) {
    setSeeds(words);
    return true;
  }
  bool known = false;
  if (words.empty()) return known;
  for (SimProcess* process : processesNamed(words))
    known = runProcessAction(verb, *process, words) || known;
  return known;
}

}  // namespace peppergate
