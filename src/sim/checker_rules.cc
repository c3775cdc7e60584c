// The invariants that the checker enforces in every scenario.
#include <algorithm>

#include "core/digest.h"
#include "sim/checker.h"
#include "sim/world.h"

namespace peppergate {
namespace {

// The required bounds. Where the requirement says "about", only an attempt in flight and one tick
// are added.
constexpr Duration kKeyBound = seconds(5);
constexpr Duration kSetupBound = seconds(2.1);
constexpr Duration kBackAfter = seconds(12);
constexpr Duration kWindow = seconds(10);

const FrontNode* frontOf(const SimProcess& process) {
  bool runs = process.alive && !process.frozen && process.role == Role::kFront;
  return runs ? &static_cast<const FrontNode&>(*process.node) : nullptr;
}

}  // namespace

void Checker::startedWith(const CallerStream& stream) {
  for (const auto& change : world_.changes()) {
    if (change.key != stream.key || change.outcome != "done" || stream.asked <= change.done)
      continue;
    bound("withdrawn-key-allowed", inSeconds(stream.asked - change.done));
    if (stream.asked > change.done + kKeyBound) fail("withdrawn-key-served");
  }
}

void Checker::pieceOf(const CallerStream& stream) {
  for (const auto& change : world_.changes()) {
    if (change.key != stream.key || change.outcome != "done" || world_.now() <= change.done)
      continue;
    bound("withdrawn-key-piece", inSeconds(world_.now() - change.done));
    if (world_.now() > change.done + kKeyBound) fail("withdrawn-key-piece");
  }
}

void Checker::watchVouchers(int leaders) {
  bool attested = false;
  for (auto& process : world_.processes()) {
    if (!process->alive || process->frozen || process->role != Role::kCore) continue;
    auto& core = static_cast<CoreNode&>(*process->node);
    attested = attested || core.readOnlyLeader().attests(process->local(world_.now()));
  }
  if (attested && leaders > 0) fail("caretaker-beside-a-primary");
  if (attested) figures_["vouched-seconds"] += 0.05;
  vouchedAt_.emplace_back(world_.now(), attested);
}

void Checker::watchLevels() {
  // Routers that share an overloaded link should use a common level of it.
  std::map<LinkId, std::pair<double, double>> range;
  std::map<LinkId, int> fronts;
  for (auto& process : world_.processes()) {
    const FrontNode* front = frontOf(*process);
    if (front == nullptr || front->fetches().live() == 0) continue;
    for (const auto& group : front->fetches().plan().groups) {
      if (group.ratio <= 1) continue;  // without contention, each router uses its own maximum
      auto [entry, fresh] = range.try_emplace(group.link, group.level, group.level);
      entry->second.first = std::min(entry->second.first, group.level);
      entry->second.second = std::max(entry->second.second, group.level);
      ++fronts[group.link];
    }
  }
  for (const auto& [link, levels] : range) {
    if (fronts[link] < 2) continue;
    levelSpread_ += levels.second - levels.first;
    ++levelPairs_;
  }
}

void Checker::watchVersions() {
  for (auto& process : world_.processes()) {
    if (!process->alive || process->role != Role::kFront) continue;
    const Follower& follower = static_cast<FrontNode&>(*process->node).follower();
    const SectionVersions& have = follower.have();
    for (auto [name, version] : {std::pair{"/setup", have.setup}, std::pair{"/keys", have.keys},
                                 std::pair{"/weights", have.weights}}) {
      if (version.epoch.value == 0) continue;
      SectionVersion& highest = highest_[process->host + name];
      if (version < highest) fail("machine-went-back-to-older-setup");
      highest = std::max(highest, version);
    }
    // A router that admits new streams, partitioned or not, must not admit them under an older
    // state. After a restart it has to have the state again only once it gets its first proof.
    bool allows = !process->frozen && follower.fresh(process->local(world_.now()));
    SectionVersion newest = std::max({have.setup, have.keys, have.weights});
    for (const auto& change : world_.changes()) {
      if (change.outcome != "done") continue;
      Duration since = world_.now() - change.done;
      if (newest >= change.version) {
        bool first = inForce_.insert({process->host, change.id}).second;
        if (first && allows && allowed_.contains(process->host))
          bound("setup-in-force", inSeconds(since));
        continue;
      }
      if (allows && since > kSetupBound) fail("setup-not-in-force");
    }
    if (allows) allowed_.insert(process->host);
    else allowed_.erase(process->host);
  }
}

double Checker::slidingShare() const {
  // For any window, compares the second attempts in it with the first attempts that may fund them.
  double worst = 0;
  for (bool desk : {false, true}) {
    std::vector<MonotonicTime> firsts, seconds_;
    for (const auto& engine : world_.engines()) {
      if ((engine->entry.service == Service::kDesk) != desk) continue;
      const EngineModel& model = *engine->model;
      firsts.insert(firsts.end(), model.firstTimes().begin(), model.firstTimes().end());
      seconds_.insert(seconds_.end(), model.secondTimes().begin(), model.secondTimes().end());
    }
    std::ranges::sort(firsts);
    std::ranges::sort(seconds_);
    auto within = [](const std::vector<MonotonicTime>& times, MonotonicTime from,
                     MonotonicTime to) {
      return std::ranges::upper_bound(times, to) - std::ranges::lower_bound(times, from);
    };
    for (MonotonicTime end : seconds_) {
      auto second = static_cast<double>(within(seconds_, end - kWindow, end));
      auto first = static_cast<double>(within(firsts, end - kWindow * 2, end));
      worst = std::max(worst, second / std::max(1.0, first));
    }
  }
  return worst;
}

bool Checker::liveKey(const CallerStream& stream) const {
  return std::ranges::none_of(world_.changes(), [&](const SimChange& change) {
    return change.key == stream.key && change.asked < stream.asked + seconds(10);
  });
}

double Checker::leastFront(MonotonicTime from, MonotonicTime to) const {
  std::map<std::string, std::pair<double, double>> fronts;  // completed, requested
  for (const auto& [id, stream] : world_.callers().streams()) {
    if (stream.asked < from || stream.asked >= to || stream.unary || !liveKey(stream)) continue;
    auto& [whole, asked] = fronts[stream.firstHost];
    ++asked;
    if (stream.end == CallerEnd::kWhole) ++whole;
  }
  double least = fronts.empty() ? 0 : 1;
  for (const auto& [host, counts] : fronts) least = std::min(least, counts.first / counts.second);
  return least;
}

void Checker::settles() {
  // From 12 s after the last fault on, whatever it was, nearly all streams must complete.
  const Scenario& scenario = world_.scenario();
  if (scenario.actions.empty()) return;
  MonotonicTime from = scenario.actions.back().at + kBackAfter;
  MonotonicTime to = MonotonicTime{} + scenario.run;
  if (to < from + seconds(3)) return;
  double got = servedOf(from, to, [this](const CallerStream& stream) { return liveKey(stream); });
  figures_["settled"] = got;
  if (got < scenario.settles)
    failures_.push_back("never: little served 12 s after the last fault, got " +
                        std::to_string(got));
}

}  // namespace peppergate
