#pragma once
/// Checks the rules on a modelled fleet, from the operators' calls and the claims to leadership.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/control_state.h"
#include "model/rule.h"

namespace peppergate::model {

/// What a running machine claims about its leadership.
struct LeadershipClaim {
  int machine = 0;
  bool hasLeaderLease = false;  ///< it holds the leader lease, so it may acknowledge changes
  bool mayShowState = false;    ///< it may present its state to others as the newest
  bool hasReadLease = false;    ///< it serves reads in a partition without a leader
  Epoch epoch;
  const ControlState* state = nullptr;  ///< the state it published; set if it leads
};

/// A change as its operator first sent it.
struct SentChange {
  std::string changeId;
  std::uint64_t baseVersion = 0;    ///< the configuration version that it is based on
  std::uint64_t configVersion = 0;  ///< the configuration version that it creates
  bool acknowledged = false;
  bool refused = false;
  std::string stateVersion;  ///< the state version in the first acknowledgement
};

/// The newest versions known when a read was sent; the read may not return an older one.
struct ReadFloor {
  std::uint64_t acknowledged = 0;  ///< the newest acknowledged version
  std::uint64_t reported = 0;      ///< the newest version reported to any operator
};

/// Records the first rule that is broken; copied with the modelled fleet.
class SafetyChecker {
 public:
  SafetyChecker() = default;
  explicit SafetyChecker(RuleSet rules) : rules_(rules) {}
  /// Records a change that was sent; a repeat with the same id has no effect.
  void recordSent(const std::string& changeId, std::uint64_t baseVersion,
                  std::uint64_t configVersion);
  /// Records that a change was acknowledged to its operator with this state version.
  void recordAcknowledged(const std::string& changeId, const std::string& stateVersion);
  /// Records that a change was finally refused, and the newest version that the refusal reported;
  /// 0: none.
  void recordRefused(const std::string& changeId, std::uint64_t newestVersion);
  /// Records that a read sent when the floor was `floor` returned this version, created by this
  /// change.
  void recordRead(const ReadFloor& floor, std::uint64_t version, const std::string& changeId);
  /// The floor for a read sent now: its answer may not show an older version.
  ReadFloor readFloor() const { return {acknowledgedFloor_, reportedFloor_}; }
  /// Checks the claims of all running machines; called after each step.
  void checkClaims(const std::vector<LeadershipClaim>& claims);
  /// Checks that the other machines' disks, whose states are `others`, hold every acknowledged
  /// change when a machine leaves with its disk.
  void checkRemoval(int machine, const std::vector<const ControlState*>& others);
  /// Records whether there is a leader after the recovery time.
  void recordRecovery(bool hasLeader);

  const std::vector<SentChange>& changes() const { return changes_; }
  /// The first broken rule; empty if none is broken.
  const std::string& violation() const { return violation_; }
  /// Appends everything that later checks depend on.
  void hashInto(std::vector<std::uint64_t>& words) const;

 private:
  SentChange* findChange(const std::string& changeId);
  void recordViolation(Rule rule, const std::string& detail);
  void checkLeaderState(const LeadershipClaim& claim);

  RuleSet rules_;
  std::vector<SentChange> changes_;
  std::map<Epoch, int> leaderByEpoch_;
  std::uint64_t acknowledgedFloor_ = 0;  ///< the newest acknowledged version
  std::uint64_t reportedFloor_ = 0;      ///< the newest version reported to any operator
  std::string violation_;
};

}  // namespace peppergate::model
