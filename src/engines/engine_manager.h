#pragma once
// Engine management on a control node: the leader discovers engines and rolls out target weights.
#include "core/control_state.h"
#include "engines/engine_discovery.h"
#include "engines/rollout.h"

namespace peppergate {

/// The current leadership status of this control node.
struct LeadershipStatus {
  bool isLeader = false;          // under its lease, with the control state agreed
  bool isReadOnlyLeader = false;  // as the read-only leader of its partition
  Epoch term;                     // the view's epoch
  MonotonicTime leaseUntil = kNever;
  const Weights* weights = nullptr;
};

/// Runs engine discovery and the weights rollout of one control node.
class EngineManager {
 public:
  EngineManager(const Options& options, Membership& membership, Random& random, std::string holder)
      : discovery_(options, membership, random),
        rollout_(options, discovery_),
        holder_(std::move(holder)) {}
  /// Polls the platform and orders loads when due. Called on each tick.
  void tick(const LeadershipStatus& leadership, MonotonicTime now, Outbox& outbox) {
    discovery_.tick(leadership.isLeader || leadership.isReadOnlyLeader, leadership.term, now,
                    outbox);
    rollout_.tick(leadership.isLeader, leadership.term, leadership.leaseUntil, *leadership.weights,
                  holder_, now, outbox);
  }
  /// Handles an answer of the platform or an engine; false for other events.
  bool handle(const Event& event, MonotonicTime now, Outbox& outbox) {
    if (auto* page = std::get_if<EnginesListed>(&event))
      return discovery_.handlePage(*page, now, outbox);
    if (auto* order = std::get_if<WeightsLoadAnswered>(&event))
      return rollout_.handle(*order, now, outbox);
    if (auto* report = std::get_if<EngineReportAnswered>(&event))
      return rollout_.handle(*report, now, outbox);
    return false;
  }
  /// Handles another member's message about the engine list; false for other messages.
  bool handleMessage(const Address& from, const Message& message, MonotonicTime now,
                     Outbox& outbox) {
    if (auto* update = std::get_if<DiscoveredEnginesUpdate>(&message))
      discovery_.handle(from, *update, now, outbox);
    else if (auto* request = std::get_if<DiscoveredEnginesRequest>(&message))
      discovery_.handle(from, *request, now, outbox);
    else return false;
    return true;
  }
  const EngineDiscovery& discovery() const { return discovery_; }
  const Rollout& rollout() const { return rollout_; }

 private:
  EngineDiscovery discovery_;
  Rollout rollout_;
  std::string holder_;
};

}  // namespace peppergate
