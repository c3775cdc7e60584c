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
#include "engines/engine_discovery.h"
#include "engines/weight_target_history.h"

namespace peppergate {

/// Orders carry a fencing token: the leader's epoch at an engine's first order. It stays valid
/// across a change of leader, and no two leaders use the same one.
class Rollout {
 public:
  Rollout(const Options& options, EngineDiscovery& discovery);
  /// Starts and advances loads. `leaseUntil` is the end of the leader's lease: no order is written
  /// after it. A new leader waits for a whole lease before its first order. Called on each tick,
  /// after discovery.
  void tick(bool isLeader, Epoch epoch, MonotonicTime leaseUntil, const Weights& weights,
            const std::string& holder, MonotonicTime now, Outbox& outbox);
  /// Handles the answer to an order or a report request; false if the ticket isn't this object's.
  bool handle(const WeightsLoadAnswered& answer, MonotonicTime now, Outbox& outbox);
  bool handle(const EngineReportAnswered& answer, MonotonicTime now, Outbox& outbox);
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
  struct LoadStep {
    Phase phase = Phase::kAnnounced;
    ServiceName service;
    Address address;
    ModelName model;
    WeightsVersion target;
    MonotonicTime since;  // start of this phase
    MonotonicTime announcedAt;
    MonotonicTime deadline = kForever;
    MonotonicTime orderSentAt = kNever;
    MonotonicTime nextReportAt = kNever;
    std::optional<TicketId> ticket;
    MonotonicTime ticketSince = kNever;
    std::optional<std::uint64_t> expectedCallCount;
    int unansweredReports = 0;
    // The same for all its orders, so that the engine doesn't reject a delayed one.
    std::uint64_t fencingToken = 0;
    bool stuck = false;      // its running requests take long; it doesn't count towards the limit
    bool inherited = false;  // announced by an earlier leader
  };
  struct PendingLoad {
    EngineId engine;
    ServiceName service;
    ModelName model;
    WeightsVersion target;
    MonotonicTime deadline;
  };
  using Models = std::map<ModelName, WeightsVersion>;

  void startTerm(Epoch epoch, MonotonicTime now);
  /// Whether a new epoch is only a view change by this same leader, whose previous lease has not
  /// expired. Nobody else can have given an order in between: another leader, if this one had
  /// released its lease, waits for `orderLease` before its first order, which is longer.
  bool continuesLeadership(MonotonicTime now) const;
  void recordTargets(const Models& targets, MonotonicTime now);
  void findPendingLoads();
  const Engine* findListed(const EngineId& engine) const;
  WeightsVersion versionOf(const Engine& engine, const ModelName& model) const;
  MonotonicTime deadlineOf(const ModelName& model, WeightsVersion version) const;
  Duration loadTime(const ServiceName& service) const;
  std::size_t loadsInService(const ServiceName& service) const;
  std::size_t loadsAllowed(MonotonicTime now) const;
  void startNext(MonotonicTime now, Outbox& outbox);
  void advance(const EngineId& engine, LoadStep& step, MonotonicTime now, Outbox& outbox);
  void sendOrder(const EngineId& engine, LoadStep& step, MonotonicTime now, Outbox& outbox);
  void handleOrderOutcome(const EngineId& engine, LoadOrderOutcome outcome, MonotonicTime now,
                          Outbox& outbox);
  void handleReport(const EngineId& engine, const EngineReportAnswered& answer, MonotonicTime now);
  void handleMissingReport(const EngineId& engine, MonotonicTime now);
  void enterPhase(LoadStep& step, Phase phase, MonotonicTime now);
  void finish(const EngineId& engine, bool loaded, MonotonicTime now);
  void deferLoad(const EngineId& engine, Duration delay, MonotonicTime now);

  Options options_;
  EngineDiscovery& discovery_;
  Epoch epoch_;
  std::optional<Epoch> fencedEpoch_;
  MonotonicTime firstOrderAllowedAt_ = kForever, leaseUntil_ = kNever;
  MonotonicTime lastLeaseEnd_ = kNever;  // end of the lease at the last tick as the leader
  std::string holder_;
  Models targets_;
  WeightTargetHistory targetHistory_;
  std::map<EngineId, Models> knownVersions_;  // from reports and order answers; newer than the list
  std::map<EngineId, LoadStep> steps_;
  struct Deferral {
    MonotonicTime until;           // no order before this time
    bool mayBeInProgress = false;  // the last order may have been accepted
  };
  std::map<EngineId, Deferral> deferred_;
  std::vector<PendingLoad> pendingLoads_;            // in the order in which they load
  std::map<ServiceName, std::size_t> serviceSizes_;  // engines of a service that aren't draining
  std::map<ServiceName, Duration> loadTimes_;
  std::map<TicketId, EngineId> openOrders_, openReports_;
  ListVersion searchedVersion_;
  bool needsSearch_ = true, done_ = false;
};

}  // namespace peppergate
