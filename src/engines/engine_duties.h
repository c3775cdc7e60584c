#pragma once
// Engine management on a control node: the leader discovers engines and rolls out target weights.
#include "core/control_state.h"
#include "engines/lister.h"
#include "engines/rollout.h"

namespace peppergate {

/// The current leadership status of this control node.
struct CoreCharge {
  bool leads = false;    // under its lease, with the control state agreed
  bool attests = false;  // as the read-only leader of its partition
  Epoch term;            // the view's epoch
  MonotonicTime leaseUntil = kNever;
  const Weights* weights = nullptr;
};

/// Runs engine discovery and the weights rollout of one control node.
class EngineDuties {
 public:
  EngineDuties(const Options& options, Membership& membership, Random& random, std::string holder)
      : lister_(options, membership, random),
        rollout_(options, lister_),
        holder_(std::move(holder)) {}
  /// Polls the platform and orders loads when due. Called on each tick.
  void tick(const CoreCharge& charge, MonotonicTime now, Outbox& outbox) {
    lister_.tick(charge.leads || charge.attests, charge.term, now, outbox);
    rollout_.tick(charge.leads, charge.term, charge.leaseUntil, *charge.weights, holder_, now,
                  outbox);
  }
  /// Handles an answer of the platform or an engine; false for other events.
  bool take(const Event& event, MonotonicTime now, Outbox& outbox) {
    if (auto* page = std::get_if<EnginesListed>(&event)) return lister_.listed(*page, now, outbox);
    if (auto* order = std::get_if<OrderAnswered>(&event))
      return rollout_.answered(*order, now, outbox);
    if (auto* report = std::get_if<ReportAnswered>(&event))
      return rollout_.answered(*report, now, outbox);
    return false;
  }
  /// Handles another member's message about the engine list; false for other messages.
  bool hear(const Address& from, const Message& message, MonotonicTime now, Outbox& outbox) {
    if (auto* news = std::get_if<DiscoveredEnginesUpdate>(&message))
      lister_.hear(from, *news, now, outbox);
    else if (auto* ask = std::get_if<DiscoveredEnginesRequest>(&message))
      lister_.hear(from, *ask, now, outbox);
    else return false;
    return true;
  }
  const Lister& lister() const { return lister_; }
  const Rollout& rollout() const { return rollout_; }

 private:
  Lister lister_;
  Rollout rollout_;
  std::string holder_;
};

}  // namespace peppergate
