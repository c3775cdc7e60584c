#pragma once
/// Judges a modelled fleet by what goes in and out of it, and by who claims to lead.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/control_state.h"
#include "model/rule.h"

namespace peppergate::model {

/// What the judge is told of a machine that runs.
struct LeaderClaim {
  int machine = 0;
  bool leads = false;    ///< under its lease, so that it may acknowledge
  bool names = false;    ///< it tells others that its state is the newest
  bool attests = false;  ///< it answers for a part without a primary
  Epoch epoch;
  const ControlState* state = nullptr;  ///< what it published; set where it leads
};

/// An operator's order, as it was sent first.
struct SentOrder {
  std::string changeId;
  std::uint64_t base = 0;    ///< the configuration version that it builds on
  std::uint64_t number = 0;  ///< the version that it makes
  bool acknowledged = false;
  bool refused = false;
  std::string version;  ///< of the first acknowledgement
};

/// What was known when a read was sent.
struct ReadFloor {
  std::uint64_t acknowledged = 0;  ///< the newest version that was acknowledged
  std::uint64_t told = 0;          ///< the newest version that any operator was told
};

/// A value, copied with the modelled fleet. The first broken rule stays.
class SafetyJudge {
 public:
  SafetyJudge() = default;
  explicit SafetyJudge(RuleSet rules) : rules_(rules) {}
  /// An order is sent; again with the same id changes nothing.
  void sent(const std::string& changeId, std::uint64_t base, std::uint64_t number);
  /// An order was confirmed to its operator under this state version.
  void acknowledged(const std::string& changeId, const std::string& version);
  /// An order was refused for good; `newest` is the version that the refusal named, 0: none.
  void refused(const std::string& changeId, std::uint64_t newest);
  /// A read that was sent when the floor stood at `floor` gave this version, made by this order.
  void readAnswered(const ReadFloor& floor, std::uint64_t number, const std::string& changeId);
  /// No answer to a read that is sent now may show an older version than this.
  ReadFloor floor() const { return {acknowledgedFloor_, floor_}; }
  /// All running machines, after each step.
  void watch(const std::vector<LeaderClaim>& claims);
  /// A machine that left goes with its disk; `held` tells which orders the others' disks hold.
  void left(int machine, const std::vector<const ControlState*>& others);
  /// Whether there is a leader some time after all trouble has ended.
  void recovered(bool hasLeader);

  const std::vector<SentOrder>& orders() const { return orders_; }
  /// The first broken rule, empty while none is.
  const std::string& violation() const { return violation_; }
  /// Adds what future verdicts depend on.
  void hashInto(std::vector<std::uint64_t>& words) const;

 private:
  SentOrder* find(const std::string& changeId);
  void fail(Rule rule, const std::string& what);
  void checkState(const LeaderClaim& claim);

  RuleSet rules_;
  std::vector<SentOrder> orders_;
  std::map<Epoch, int> leaderOf_;
  std::uint64_t acknowledgedFloor_ = 0;  ///< the newest version that was acknowledged
  std::uint64_t floor_ = 0;              ///< the newest version that any operator was told
  std::string violation_;
};

}  // namespace peppergate::model
