#include "model/safety_checker.h"

#include <algorithm>

namespace peppergate::model {

void SafetyChecker::recordViolation(Rule rule, const std::string& detail) {
  if (violation_.empty() && rules_.has(rule))
    violation_ = std::string(kRuleNames.at(static_cast<std::size_t>(rule))) + ": " + detail;
}

SentChange* SafetyChecker::findChange(const std::string& changeId) {
  auto found = std::ranges::find(changes_, changeId, &SentChange::changeId);
  return found == changes_.end() ? nullptr : &*found;
}

void SafetyChecker::recordSent(const std::string& changeId, std::uint64_t baseVersion,
                               std::uint64_t configVersion) {
  if (findChange(changeId) == nullptr)
    changes_.push_back({changeId, baseVersion, configVersion, false, false, {}});
}

void SafetyChecker::recordAcknowledged(const std::string& changeId,
                                       const std::string& stateVersion) {
  SentChange* change = findChange(changeId);
  if (change == nullptr) return;
  if (change->refused)
    recordViolation(Rule::kAppliedNotRefused,
                    "an order was refused and then acknowledged: " + changeId);
  if (change->acknowledged) {
    if (change->stateVersion != stateVersion)
      recordViolation(Rule::kUniqueAcknowledgements,
                      "an order was acknowledged under two state versions: " + changeId);
    return;
  }
  for (const auto& other : changes_) {
    if (!other.acknowledged) continue;
    if (other.configVersion == change->configVersion)
      recordViolation(Rule::kUniqueAcknowledgements,
                      "two orders were acknowledged under one version number: " + other.changeId +
                          ", " + changeId);
    if (other.baseVersion == change->baseVersion)
      recordViolation(Rule::kUniqueAcknowledgements, "two orders on one base were acknowledged: " +
                                                         other.changeId + ", " + changeId);
    if (other.stateVersion == stateVersion)
      recordViolation(Rule::kUniqueAcknowledgements,
                      "two orders were acknowledged under one state version: " + other.changeId +
                          ", " + changeId);
  }
  change->acknowledged = true;
  change->stateVersion = stateVersion;
  acknowledgedFloor_ = std::max(acknowledgedFloor_, change->configVersion);
  reportedFloor_ = std::max(reportedFloor_, change->configVersion);
}

void SafetyChecker::recordRefused(const std::string& changeId, std::uint64_t newestVersion) {
  SentChange* change = findChange(changeId);
  if (change == nullptr) return;
  if (change->acknowledged)
    recordViolation(Rule::kAppliedNotRefused,
                    "an order that was taken was refused when repeated: " + changeId);
  change->refused = true;
  // A refusal reports a version to its operator, as a read does.
  reportedFloor_ = std::max(reportedFloor_, newestVersion);
}

void SafetyChecker::recordRead(const ReadFloor& floor, std::uint64_t version,
                               const std::string& changeId) {
  std::string description = "a read gave version " + std::to_string(version) + " after ";
  if (version < floor.acknowledged)
    recordViolation(Rule::kFreshReads,
                    description + std::to_string(floor.acknowledged) + " was acknowledged");
  if (version < floor.reported)
    recordViolation(Rule::kReportedVersionsPersist,
                    description + std::to_string(floor.reported) + " was told");
  for (const auto& change : changes_) {
    if (change.configVersion != version || change.changeId == changeId) continue;
    if (change.acknowledged)
      recordViolation(Rule::kUniqueAcknowledgements,
                      "a read gave another order's content: " + changeId);
  }
  if (SentChange* change = findChange(changeId); change != nullptr && change->refused)
    recordViolation(Rule::kAppliedNotRefused,
                    "a read gave the content of a refused order: " + changeId);
  reportedFloor_ = std::max(reportedFloor_, version);
}

void SafetyChecker::checkLeaderState(const LeadershipClaim& claim) {
  std::string machineName = "machine " + std::to_string(claim.machine + 1);
  for (const auto& change : changes_) {
    bool isApplied = claim.state->acknowledgedVersion(change.changeId) != nullptr;
    if (change.acknowledged && !isApplied)
      recordViolation(Rule::kAcknowledgedChangesPersist,
                      "an acknowledged order is not in the state of a leader: " + change.changeId +
                          ", " + machineName);
    if (change.refused && isApplied)
      recordViolation(Rule::kAppliedNotRefused, "an order that was taken was refused: " +
                                                    change.changeId + ", " + machineName);
  }
  if (claim.mayShowState && claim.state->configVersion().value < reportedFloor_)
    recordViolation(Rule::kReportedVersionsPersist,
                    "a leader names version " + std::to_string(claim.state->configVersion().value) +
                        " after " + std::to_string(reportedFloor_) +
                        " was told to an operator: " + machineName);
}

void SafetyChecker::checkClaims(const std::vector<LeadershipClaim>& claims) {
  int leaders = 0;
  bool readLeaseHeld = false;
  for (const auto& claim : claims) {
    readLeaseHeld = readLeaseHeld || claim.hasReadLease;
    if (!claim.hasLeaderLease) continue;
    ++leaders;
    auto [entry, isNewEpoch] = leaderByEpoch_.emplace(claim.epoch, claim.machine);
    if (!isNewEpoch && entry->second != claim.machine)
      recordViolation(Rule::kOneLeader,
                      "two machines lead in epoch " + std::to_string(claim.epoch.value));
    checkLeaderState(claim);
  }
  if (leaders > 1)
    recordViolation(Rule::kOneLeader, "two machines lead under a lease at one moment");
  if (leaders > 0 && readLeaseHeld)
    recordViolation(Rule::kOneLeader, "a machine answers for a part beside a leader");
}

void SafetyChecker::checkRemoval(int machine, const std::vector<const ControlState*>& others) {
  for (const auto& change : changes_) {
    if (!change.acknowledged) continue;
    bool isReplicated = std::ranges::any_of(others, [&](const ControlState* state) {
      return state != nullptr && state->acknowledgedVersion(change.changeId) != nullptr;
    });
    if (!isReplicated)
      recordViolation(Rule::kLeaverNotOnlyReplica,
                      "a machine that left was the only holder: " + change.changeId + ", machine " +
                          std::to_string(machine + 1));
  }
}

void SafetyChecker::recordRecovery(bool hasLeader) {
  if (!hasLeader)
    recordViolation(Rule::kRecovery, "there is no leader after all trouble has ended");
}

void SafetyChecker::hashInto(std::vector<std::uint64_t>& words) const {
  words.push_back(reportedFloor_);
  words.push_back(acknowledgedFloor_);
  words.push_back(changes_.size());
  for (const auto& change : changes_) {
    words.push_back(std::hash<std::string>{}(change.changeId));
    words.push_back(change.acknowledged ? 1 : change.refused ? 2 : 0);
    words.push_back(std::hash<std::string>{}(change.stateVersion));
  }
  for (const auto& [epoch, machine] : leaderByEpoch_) {
    words.push_back(epoch.value);
    words.push_back(static_cast<std::uint64_t>(machine));
  }
}

}  // namespace peppergate::model
