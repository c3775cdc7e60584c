#pragma once
// Rolls out target weights to the engines, a few at a time, under the leader's lease.
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/control_state.h"
#include "core/outbox.h"
#include "engines/lister.h"
#include "engines/weight_namings.h"

namespace peppergate {

/// Orders carry a fencing token: the leader's epoch at an engine's first order. It stays valid
/// across a change of leader, and no two leaders use the same one.
class Rollout {
 public:
  Rollout(const Options& options, Lister& lister);
  /// Starts and advances loads. `leaseUntil` is the end of the leader's lease: no order is written
  /// after it. A new leader waits for a whole lease before its first order. Called on each tick,
  /// after discovery.
  void tick(bool leads, Epoch epoch, MonotonicTime leaseUntil, const Weights& weights,
            const std::string& holder, MonotonicTime now, Outbox& outbox);
  /// Handles the answer to an order or a report request; false if the ticket isn't this object's.
  bool answered(const OrderAnswered& answer, MonotonicTime now, Outbox& outbox);
  bool answered(const ReportAnswered& answer, MonotonicTime now, Outbox& outbox);
  /// Whether all engines run the target weights.
  bool done() const { return done_; }
  /// The state of the rollout for the status page.
  Json status(MonotonicTime now) const;
  void reload(const Options& options) { options_ = options; }

 private:
  /// The progress of one engine.
  enum class Phase : std::uint8_t {
    kAnnounced,  // routers are told to stop sending requests
    kOrdering,   // the order was sent
    kLoading,    // the order was accepted; reports show when it is done
    kChecking,   // an earlier order may be in progress; a report is needed before a new order
  };
  struct Step {
    Phase phase = Phase::kAnnounced;
    ServiceName service;
    Address address;
    ModelName model;
    WeightsVersion target;
    MonotonicTime since;  // start of this phase
    MonotonicTime announcedAt;
    MonotonicTime deadline = kForever;
    MonotonicTime orderedAt = kNever;
    MonotonicTime nextReport = kNever;
    std::optional<TicketId> ticket;
    MonotonicTime ticketSince = kNever;
    std::optional<std::uint64_t> expectedCalls;
    int unanswered = 0;
    // The same for all its orders, so that the engine doesn't reject a delayed one.
    std::uint64_t fence = 0;
    bool stuck = false;      // its running requests take long; it doesn't count towards the limit
    bool inherited = false;  // announced by an earlier leader
  };
  struct Wanted {
    EngineId engine;
    ServiceName service;
    ModelName model;
    WeightsVersion target;
    MonotonicTime deadline;
  };
  using Models = std::map<ModelName, WeightsVersion>;

  void begin(Epoch epoch, MonotonicTime now);
  /// Whether a new epoch is only a view change by this same leader, whose previous lease has not
  /// expired. Nobody else can have given an order in between: another leader, if this one had
  /// released its lease, waits for `orderLease` before its first order, which is longer.
  bool leadsOn(MonotonicTime now) const;
  void noteNamings(const Models& named, MonotonicTime now);
  void findWanted();
  const Engine* listed(const EngineId& engine) const;
  WeightsVersion versionOf(const Engine& engine, const ModelName& model) const;
  MonotonicTime deadlineOf(const ModelName& model, WeightsVersion version) const;
  Duration loadTime(const ServiceName& service) const;
  std::size_t countAt(const ServiceName& service) const;
  std::size_t loadsAllowed(MonotonicTime now) const;
  void startNext(MonotonicTime now, Outbox& outbox);
  void advance(const EngineId& engine, Step& step, MonotonicTime now, Outbox& outbox);
  void order(const EngineId& engine, Step& step, MonotonicTime now, Outbox& outbox);
  void orderTurned(const EngineId& engine, OrderOutcome outcome, MonotonicTime now, Outbox& outbox);
  void reportCame(const EngineId& engine, const ReportAnswered& answer, MonotonicTime now);
  void noReport(const EngineId& engine, MonotonicTime now);
  void enter(Step& step, Phase phase, MonotonicTime now);
  void finish(const EngineId& engine, bool loaded, MonotonicTime now);
  void setAside(const EngineId& engine, Duration wait, MonotonicTime now);

  Options options_;
  Lister& lister_;
  Epoch epoch_;
  std::optional<Epoch> fencedAt_;
  MonotonicTime firstOrderAt_ = kForever, leaseUntil_ = kNever;
  MonotonicTime heldUntil_ = kNever;  // end of the lease at the last tick as the leader
  std::string holder_;
  Models named_;
  WeightNamings namings_;
  std::map<EngineId, Models> known_;  // from reports and order answers; newer than the list
  std::map<EngineId, Step> steps_;
  struct Aside {
    MonotonicTime until;     // no order before this time
    bool unsettled = false;  // the last order may have been accepted
  };
  std::map<EngineId, Aside> aside_;
  std::vector<Wanted> wanted_;                // in the order in which they load
  std::map<ServiceName, std::size_t> sizes_;  // engines of a service that aren't draining
  std::map<ServiceName, Duration> loadTimes_;
  std::map<TicketId, EngineId> orders_, reports_;
  ListVersion foundAt_;
  bool dirty_ = true, done_ = false;
};

}  // namespace peppergate
