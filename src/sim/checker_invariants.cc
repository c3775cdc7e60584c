// The invariants that the checker enforces in every scenario.
#include <algorithm>

#include "core/digest.h"
#include "sim/checker.h"
#include "sim/world.h"

namespace peppergate {
namespace {

// The required bounds. Where the requirement says "about", only an attempt in flight and one tick
// are added.
constexpr Duration kMaxKeyRevocationTime = seconds(5);
constexpr Duration kMaxSetupInstallTime = seconds(2.1);
constexpr Duration kRecoveryTime = seconds(12);
constexpr Duration kRetryWindow = seconds(10);

const FrontNode* runningRouter(const SimProcess& process) {
  bool runs = process.alive && !process.frozen && process.role == Role::kRouter;
  return runs ? &static_cast<const FrontNode&>(*process.node) : nullptr;
}

}  // namespace

void Checker::checkKeyAtStart(const CallerStream& stream) {
  for (const auto& change : world_.changes()) {
    if (change.key != stream.key || change.outcome != "done" ||
        stream.requestedAt <= change.acknowledgedAt)
      continue;
    recordMaximum("withdrawn-key-allowed", inSeconds(stream.requestedAt - change.acknowledgedAt));
    if (stream.requestedAt > change.acknowledgedAt + kMaxKeyRevocationTime)
      fail("withdrawn-key-served");
  }
}

void Checker::checkKeyAtPiece(const CallerStream& stream) {
  for (const auto& change : world_.changes()) {
    if (change.key != stream.key || change.outcome != "done" ||
        world_.now() <= change.acknowledgedAt)
      continue;
    recordMaximum("withdrawn-key-piece", inSeconds(world_.now() - change.acknowledgedAt));
    if (world_.now() > change.acknowledgedAt + kMaxKeyRevocationTime) fail("withdrawn-key-piece");
  }
}

void Checker::checkReadOnlyLeaders(int leaders) {
  bool hasReadOnlyLeader = false;
  for (auto& process : world_.processes()) {
    if (!process->alive || process->frozen || process->role != Role::kCore) continue;
    auto& core = static_cast<CoreNode&>(*process->node);
    hasReadOnlyLeader =
        hasReadOnlyLeader || core.readOnlyLeader().hasReadLease(process->localTime(world_.now()));
  }
  if (hasReadOnlyLeader && leaders > 0) fail("caretaker-beside-a-primary");
  if (hasReadOnlyLeader) figures_["vouched-seconds"] += 0.05;
  readOnlyLeaderSamples_.emplace_back(world_.now(), hasReadOnlyLeader);
}

void Checker::sampleFetchLevels() {
  // Routers that share an overloaded link should use a common level of it.
  std::map<LinkId, std::pair<double, double>> range;
  std::map<LinkId, int> routers;
  for (auto& process : world_.processes()) {
    const FrontNode* router = runningRouter(*process);
    if (router == nullptr || router->fetchPlanner().activeFetches() == 0) continue;
    for (const auto& group : router->fetchPlanner().plan().groups) {
      if (group.ratio <= 1) continue;  // without contention, each router uses its own maximum
      auto [entry, fresh] = range.try_emplace(group.link, group.level, group.level);
      entry->second.first = std::min(entry->second.first, group.level);
      entry->second.second = std::max(entry->second.second, group.level);
      ++routers[group.link];
    }
  }
  for (const auto& [link, levels] : range) {
    if (routers[link] < 2) continue;
    levelSpread_ += levels.second - levels.first;
    ++levelPairs_;
  }
}

void Checker::checkVersions() {
  for (auto& process : world_.processes()) {
    if (!process->alive || process->role != Role::kRouter) continue;
    const Follower& follower = static_cast<FrontNode&>(*process->node).follower();
    const SectionVersions& versions = follower.installedVersions();
    for (auto [name, version] :
         {std::pair{"/setup", versions.setup}, std::pair{"/keys", versions.keys},
          std::pair{"/weights", versions.weights}}) {
      if (version.epoch.value == 0) continue;
      SectionVersion& highest = highestVersions_[process->host + name];
      if (version < highest) fail("machine-went-back-to-older-setup");
      highest = std::max(highest, version);
    }
    // A router that admits new streams, partitioned or not, must not admit them under an older
    // state. After a restart it has to have the state again only once it gets its first proof.
    bool admits = !process->frozen && follower.isFresh(process->localTime(world_.now()));
    SectionVersion newest = std::max({versions.setup, versions.keys, versions.weights});
    for (const auto& change : world_.changes()) {
      if (change.outcome != "done") continue;
      Duration elapsed = world_.now() - change.acknowledgedAt;
      if (newest >= change.version) {
        bool isNew = installedChanges_.insert({process->host, change.id}).second;
        if (isNew && admits && admittingRouters_.contains(process->host))
          recordMaximum("setup-in-force", inSeconds(elapsed));
        continue;
      }
      if (admits && elapsed > kMaxSetupInstallTime) fail("setup-not-in-force");
    }
    if (admits) admittingRouters_.insert(process->host);
    else admittingRouters_.erase(process->host);
  }
}

double Checker::largestSecondAttemptShare() const {
  // For any window, compares the second attempts in it with the first attempts that may fund them.
  double worst = 0;
  for (bool desk : {false, true}) {
    std::vector<MonotonicTime> firstAttempts, secondAttempts;
    for (const auto& engine : world_.engines()) {
      if ((engine->entry.service == Service::kDesk) != desk) continue;
      const EngineModel& model = *engine->model;
      firstAttempts.insert(firstAttempts.end(), model.firstAttemptTimes().begin(),
                           model.firstAttemptTimes().end());
      secondAttempts.insert(secondAttempts.end(), model.secondAttemptTimes().begin(),
                            model.secondAttemptTimes().end());
    }
    std::ranges::sort(firstAttempts);
    std::ranges::sort(secondAttempts);
    auto countWithin = [](const std::vector<MonotonicTime>& times, MonotonicTime from,
                          MonotonicTime to) {
      return std::ranges::upper_bound(times, to) - std::ranges::lower_bound(times, from);
    };
    for (MonotonicTime end : secondAttempts) {
      auto second = static_cast<double>(countWithin(secondAttempts, end - kRetryWindow, end));
      auto first = static_cast<double>(countWithin(firstAttempts, end - kRetryWindow * 2, end));
      worst = std::max(worst, second / std::max(1.0, first));
    }
  }
  return worst;
}

bool Checker::hasLiveKey(const CallerStream& stream) const {
  return std::ranges::none_of(world_.changes(), [&](const SimChange& change) {
    return change.key == stream.key && change.requestedAt < stream.requestedAt + seconds(10);
  });
}

double Checker::lowestRouterShare(MonotonicTime from, MonotonicTime to) const {
  std::map<std::string, std::pair<double, double>> routers;  // completed, requested
  for (const auto& [id, stream] : world_.callers().streams()) {
    if (stream.requestedAt < from || stream.requestedAt >= to || stream.unary ||
        !hasLiveKey(stream))
      continue;
    auto& [completed, requested] = routers[stream.firstHost];
    ++requested;
    if (stream.end == CallerEnd::kComplete) ++completed;
  }
  double lowest = routers.empty() ? 0 : 1;
  for (const auto& [host, counts] : routers)
    lowest = std::min(lowest, counts.first / counts.second);
  return lowest;
}

void Checker::checkServedAfterFaults() {
  // From 12 s after the last fault on, whatever it was, nearly all streams must complete.
  const Scenario& scenario = world_.scenario();
  if (scenario.actions.empty()) return;
  MonotonicTime from = scenario.actions.back().at + kRecoveryTime;
  MonotonicTime to = MonotonicTime{} + scenario.run;
  if (to < from + seconds(3)) return;
  double share =
      servedShareOf(from, to, [this](const CallerStream& stream) { return hasLiveKey(stream); });
  figures_["settled"] = share;
  if (share < scenario.servedAfterFaults)
    failures_.push_back("never: little served 12 s after the last fault, got " +
                        std::to_string(share));
}

}  // namespace peppergate
