#pragma once
// Brings engines to the weights that were named: a few at a time, under the primary's hold.
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

/// Orders carry the view's epoch, as of an engine's first order, as their fence: it outlives a
/// change of primary, and no two primaries share one. Example: `rollout.tick(leads, epoch,
/// leaseUntil, weights, now, outbox);`
class Rollout {
 public:
  Rollout(const Options& options, Lister& lister);
  /// `leaseUntil` is the end of the primary's hold: no order is written after it. A new primary
  /// waits a whole lease before its first order. Example: each tick, after the lister's.
  void tick(bool leads, Epoch epoch, MonotonicTime leaseUntil, const Weights& weights,
            const std::string& holder, MonotonicTime now, Outbox& outbox);
  /// True if the ticket was its own. Example: on OrderAnswered, ReportAnswered.
  bool answered(const OrderAnswered& answer, MonotonicTime now, Outbox& outbox);
  bool answered(const ReportAnswered& answer, MonotonicTime now, Outbox& outbox);
  /// Whether all engines have what was named. Example: for the status page.
  bool done() const { return done_; }
  /// What is under way. Example: `status(now)["pending"]`.
  Json status(MonotonicTime now) const;
  void reload(const Options& options) { options_ = options; }

 private:
  /// How far one engine is.
  enum class Phase : std::uint8_t {
    kAnnounced,  // fronts are told to stop sending
    kOrdering,   // the order is out
    kLoading,    // taken: reports tell when it is through
    kChecking,   // an order may be under way: a report comes before any other
  };
  struct Step {
    Phase phase = Phase::kAnnounced;
    ServiceName service;
    Address address;
    ModelName model;
    WeightsVersion target;
    MonotonicTime since;  // in this phase
    MonotonicTime announcedAt;
    MonotonicTime deadline = kForever;
    MonotonicTime orderedAt = kNever;
    MonotonicTime nextReport = kNever;
    std::optional<TicketId> ticket;
    MonotonicTime ticketSince = kNever;
    std::optional<std::uint64_t> expectedCalls;
    int unanswered = 0;
    std::uint64_t fence = 0;  // of all its orders, so that a late one is never below another
    bool stuck = false;       // its running requests take long: it holds up no other
    bool inherited = false;   // an earlier primary had announced it
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
  /// Whether a new epoch is only a change of this leader's own view: the lease under which it led
  /// last still runs. Another leader, where this one gave its lease back, waits for `orderLease`
  /// before its first order, which is longer: nobody else can have given one in between.
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
  MonotonicTime heldUntil_ = kNever;  // the lease's end as of the last tick that led
  std::string holder_;
  Models named_;
  WeightNamings namings_;
  std::map<EngineId, Models> known_;  // newer than the list, by reports and orders' answers
  std::map<EngineId, Step> steps_;
  struct Aside {
    MonotonicTime until;     // no order before then
    bool unsettled = false;  // the last one may have been taken
  };
  std::map<EngineId, Aside> aside_;
  std::vector<Wanted> wanted_;                // in the order in which they are to load
  std::map<ServiceName, std::size_t> sizes_;  // engines of a service that stay
  std::map<ServiceName, Duration> loadTimes_;
  std::map<TicketId, EngineId> orders_, reports_;
  ListVersion foundAt_;
  bool dirty_ = true, done_ = false;
};

}  // namespace peppergate
