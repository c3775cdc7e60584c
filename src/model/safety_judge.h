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
struct LeaderClaim {
  int machine = 0;
  bool leads = false;    ///< it holds the leader lease, so it may acknowledge changes
  bool names = false;    ///< it may present its state to others as the newest
  bool attests = false;  ///< it serves reads in a partition without a leader
  Epoch epoch;
  const ControlState* state = nullptr;  ///< the state it published; set if it leads
};

/// A change as its operator first sent it.
struct SentOrder {
  std::string changeId;
  std::uint64_t base = 0;    ///< the configuration version that it is based on
  std::uint64_t number = 0;  ///< the configuration version that it creates
  bool acknowledged = false;
  bool refused = false;
  std::string version;  ///< the state version in the first acknowledgement
};

/// The newest versions known when a read was sent; the read may not return an older one.
struct ReadFloor {
  std::uint64_t acknowledged = 0;  ///< the newest acknowledged version
  std::uint64_t told = 0;          ///< the newest version reported to any operator
};

/// Records the first rule that is broken; copied with the modelled fleet.
class SafetyJudge {
 public:
  SafetyJudge() = default;
  explicit SafetyJudge(RuleSet rules) : rules_(rules) {}
  /// Records a change that was sent; a repeat with the same id has no effect.
  void sent(const std::string& changeId, std::uint64_t base, std::uint64_t number);
  /// Records that a change was acknowledged to its operator with this state version.
  void acknowledged(const std::string& changeId, const std::string& version);
  /// Records that a change was finally refused, and the newest version that the refusal reported;
  /// 0: none.
  void refused(const std::string& changeId, std::uint64_t newest);
  /// Records that a read sent when the floor was `floor` returned this version, created by this
  /// change.
  void readAnswered(const ReadFloor& floor, std::uint64_t number, const std::string& changeId);
  /// The floor for a read sent now: its answer may not show an older version.
  ReadFloor floor() const { return {acknowledgedFloor_, floor_}; }
  /// Checks the claims of all running machines; called after each step.
  void watch(const std::vector<LeaderClaim>& claims);
  /// Checks that the other machines' disks, whose states are `others`, hold every acknowledged
  /// change when a machine leaves with its disk.
  void left(int machine, const std::vector<const ControlState*>& others);
  /// Records whether there is a leader after the recovery time.
  void recovered(bool hasLeader);

  const std::vector<SentOrder>& orders() const { return orders_; }
  /// The first broken rule; empty if none is broken.
  const std::string& violation() const { return violation_; }
  /// Appends everything that later checks depend on.
  void hashInto(std::vector<std::uint64_t>& words) const;

 private:
  SentOrder* find(const std::string& changeId);
  void fail(Rule rule, const std::string& what);
  void checkState(const LeaderClaim& claim);

  RuleSet rules_;
  std::vector<SentOrder> orders_;
  std::map<Epoch, int> leaderOf_;
  std::uint64_t acknowledgedFloor_ = 0;  ///< the newest acknowledged version
  std::uint64_t floor_ = 0;              ///< the newest version reported to any operator
  std::string violation_;
};

}  // namespace peppergate::model
