#pragma once
// What the core does about engines: whoever leads lists them and brings them to the named weights.
#include "core/control_state.h"
#include "engines/lister.h"
#include "engines/rollout.h"

namespace peppergate {

/// In what charge this core machine is at the moment.
struct CoreCharge {
  bool leads = false;    // under its hold, with its state named
  bool attests = false;  // as a read-only leader of its part
  Epoch term;            // the view's epoch
  MonotonicTime leaseUntil = kNever;
  const Weights* weights = nullptr;
};

/// Example: `duties.tick(charge, now, outbox)`, then `duties.take(event, now, outbox)`.
class EngineDuties {
 public:
  EngineDuties(const Options& options, Membership& membership, Random& random, std::string holder)
      : lister_(options, membership, random),
        rollout_(options, lister_),
        holder_(std::move(holder)) {}
  /// Lists and orders as due. Example: each tick of a core machine.
  void tick(const CoreCharge& charge, MonotonicTime now, Outbox& outbox) {
    lister_.tick(charge.leads || charge.attests, charge.term, now, outbox);
    rollout_.tick(charge.leads, charge.term, charge.leaseUntil, *charge.weights, holder_, now,
                  outbox);
  }
  /// Takes an answer of the platform or an engine; false if it is none. Example: in `step`.
  bool take(const Event& event, MonotonicTime now, Outbox& outbox) {
    if (auto* page = std::get_if<EnginesListed>(&event)) return lister_.listed(*page, now, outbox);
    if (auto* order = std::get_if<OrderAnswered>(&event))
      return rollout_.answered(*order, now, outbox);
    if (auto* report = std::get_if<ReportAnswered>(&event))
      return rollout_.answered(*report, now, outbox);
    return false;
  }
  /// Another member's word on the list; false if it is none. Example: on a DiscoveredEnginesUpdate.
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
