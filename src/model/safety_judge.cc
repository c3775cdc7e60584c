#include "model/safety_judge.h"

#include <algorithm>

namespace peppergate::model {

void SafetyJudge::fail(Rule rule, const std::string& what) {
  if (violation_.empty() && rules_.has(rule))
    violation_ = std::string(kRuleNames.at(static_cast<std::size_t>(rule))) + ": " + what;
}

SentOrder* SafetyJudge::find(const std::string& changeId) {
  auto found = std::ranges::find(orders_, changeId, &SentOrder::changeId);
  return found == orders_.end() ? nullptr : &*found;
}

void SafetyJudge::sent(const std::string& changeId, std::uint64_t base, std::uint64_t number) {
  if (find(changeId) == nullptr) orders_.push_back({changeId, base, number, false, false, {}});
}

void SafetyJudge::acknowledged(const std::string& changeId, const std::string& version) {
  SentOrder* order = find(changeId);
  if (order == nullptr) return;
  if (order->refused)
    fail(Rule::kTakenNotRefused, "an order was refused and then acknowledged: " + changeId);
  if (order->acknowledged) {
    if (order->version != version)
      fail(Rule::kOneAcknowledgement,
           "an order was acknowledged under two state versions: " + changeId);
    return;
  }
  for (const auto& other : orders_) {
    if (!other.acknowledged) continue;
    if (other.number == order->number)
      fail(Rule::kOneAcknowledgement, "two orders were acknowledged under one version number: " +
                                          other.changeId + ", " + changeId);
    if (other.base == order->base)
      fail(Rule::kOneAcknowledgement,
           "two orders on one base were acknowledged: " + other.changeId + ", " + changeId);
    if (other.version == version)
      fail(Rule::kOneAcknowledgement, "two orders were acknowledged under one state version: " +
                                          other.changeId + ", " + changeId);
  }
  order->acknowledged = true;
  order->version = version;
  acknowledgedFloor_ = std::max(acknowledgedFloor_, order->number);
  floor_ = std::max(floor_, order->number);
}

void SafetyJudge::refused(const std::string& changeId, std::uint64_t newest) {
  SentOrder* order = find(changeId);
  if (order == nullptr) return;
  if (order->acknowledged)
    fail(Rule::kTakenNotRefused, "an order that was taken was refused when repeated: " + changeId);
  order->refused = true;
  // A refusal reports a version to its operator, as a read does.
  floor_ = std::max(floor_, newest);
}

void SafetyJudge::readAnswered(const ReadFloor& floor, std::uint64_t number,
                               const std::string& changeId) {
  std::string gave = "a read gave version " + std::to_string(number) + " after ";
  if (number < floor.acknowledged)
    fail(Rule::kFreshReads, gave + std::to_string(floor.acknowledged) + " was acknowledged");
  if (number < floor.told) fail(Rule::kToldLasts, gave + std::to_string(floor.told) + " was told");
  for (const auto& order : orders_) {
    if (order.number != number || order.changeId == changeId) continue;
    if (order.acknowledged)
      fail(Rule::kOneAcknowledgement, "a read gave another order's content: " + changeId);
  }
  if (SentOrder* order = find(changeId); order != nullptr && order->refused)
    fail(Rule::kTakenNotRefused, "a read gave the content of a refused order: " + changeId);
  floor_ = std::max(floor_, number);
}

void SafetyJudge::checkState(const LeaderClaim& claim) {
  std::string who = "machine " + std::to_string(claim.machine + 1);
  for (const auto& order : orders_) {
    bool has = claim.state->takenVersion(order.changeId) != nullptr;
    if (order.acknowledged && !has)
      fail(Rule::kAcknowledgedLasts,
           "an acknowledged order is not in the state of a leader: " + order.changeId + ", " + who);
    if (order.refused && has)
      fail(Rule::kTakenNotRefused,
           "an order that was taken was refused: " + order.changeId + ", " + who);
  }
  if (claim.names && claim.state->configVersion().value < floor_)
    fail(Rule::kToldLasts, "a leader names version " +
                               std::to_string(claim.state->configVersion().value) + " after " +
                               std::to_string(floor_) + " was told to an operator: " + who);
}

void SafetyJudge::watch(const std::vector<LeaderClaim>& claims) {
  int leaders = 0;
  bool attested = false;
  for (const auto& claim : claims) {
    attested = attested || claim.attests;
    if (!claim.leads) continue;
    ++leaders;
    auto [entry, first] = leaderOf_.emplace(claim.epoch, claim.machine);
    if (!first && entry->second != claim.machine)
      fail(Rule::kOneLeader, "two machines lead in epoch " + std::to_string(claim.epoch.value));
    checkState(claim);
  }
  if (leaders > 1) fail(Rule::kOneLeader, "two machines lead under a lease at one moment");
  if (leaders > 0 && attested)
    fail(Rule::kOneLeader, "a machine answers for a part beside a leader");
}

void SafetyJudge::left(int machine, const std::vector<const ControlState*>& others) {
  for (const auto& order : orders_) {
    if (!order.acknowledged) continue;
    bool held = std::ranges::any_of(others, [&](const ControlState* state) {
      return state != nullptr && state->takenVersion(order.changeId) != nullptr;
    });
    if (!held)
      fail(Rule::kLeaverNotOnlyHolder,
           "a machine that left was the only holder: " + order.changeId + ", machine " +
               std::to_string(machine + 1));
  }
}

void SafetyJudge::recovered(bool hasLeader) {
  if (!hasLeader) fail(Rule::kRecovery, "there is no leader after all trouble has ended");
}

void SafetyJudge::hashInto(std::vector<std::uint64_t>& words) const {
  words.push_back(floor_);
  words.push_back(acknowledgedFloor_);
  words.push_back(orders_.size());
  for (const auto& order : orders_) {
    words.push_back(std::hash<std::string>{}(order.changeId));
    words.push_back(order.acknowledged ? 1 : order.refused ? 2 : 0);
    words.push_back(std::hash<std::string>{}(order.version));
  }
  for (const auto& [epoch, machine] : leaderOf_) {
    words.push_back(epoch.value);
    words.push_back(static_cast<std::uint64_t>(machine));
  }
}

}  // namespace peppergate::model
