#pragma once
// Each front watches its share of the engines: it probes their health, reads which prompt parts
// they cache, and gives them orders while it holds their leases.
#include <map>
#include <optional>
#include <set>

#include "core/engine_list.h"
#include "core/follower.h"
#include "core/hash_ring.h"
#include "core/membership.h"
#include "core/prefix_index.h"

namespace peppergate {

/// What this front knows of an engine, from its watcher's newest snapshot.
struct EngineView {
  EngineSnapshot snapshot;
  MonotonicTime seenAt = kNever;        // when the engine was in this state
  std::uint64_t sentSinceSnapshot = 0;  // attempts sent by this front since then
};

/// Watches this front's share of the engines, and has the newest snapshots of all engines.
class EngineWatch {
 public:
  EngineWatch(const Options& options, Membership& membership, Follower& follower,
              PrefixIndex& index, Random& random);

  /// Probes engines, requests their leases, gives orders, and sends snapshots to the other fronts.
  /// Called on each tick.
  void tick(const EngineList& list, MonotonicTime now, Outbox& outbox);
  /// Handles the answer to a probe, a cache report or an order; false if the ticket is not its own.
  bool handleAnswer(const HttpCallAnswered& answer, const EngineList& list, MonotonicTime now,
                    Outbox& outbox);
  /// Handles the snapshots that another front sends of its engines.
  void handle(const EngineSnapshotNotification& notification, MonotonicTime now, Outbox& outbox);
  /// Handles a voter's grants of engine leases.
  void handle(const EngineLeaseReply& answer, Outbox& outbox);

  /// The view of an engine that is ready, not in backoff, and whose snapshot is recent; else null.
  const EngineView* usable(const EngineId& engine, MonotonicTime now) const;
  /// Counts an attempt sent to an engine, until the engine's next snapshot.
  void countAttempt(const EngineId& engine);
  /// Takes an engine that was seen to fail out of use for a short backoff.
  void backOff(const EngineId& engine, MonotonicTime now);
  /// Whether this front watches an engine now.
  bool watches(const EngineId& engine) const;
  /// Whether this front's lease on an engine is valid now; checked before each order.
  bool holdsLease(const EngineId& engine, MonotonicTime now) const;
  const HashRing& ring() const { return ring_; }
  const std::map<EngineId, EngineView>& views() const { return views_; }
  void reload(const Options& options) { options_ = options; }

 private:
  enum class CallKind : std::uint8_t { kHealth, kCacheReport, kOrder };
  struct PendingCall {
    CallKind kind;
    EngineId engine;
    MonotonicTime sentAt;
  };
  struct WatchState {
    MonotonicTime nextProbe{};
    int failures = 0;
    std::uint64_t reportedRevision = 0;
    EngineLife reportedLife;
    MonotonicTime orderedAt = kNever;
    bool drainOrdered = false;
  };
  struct Lease {
    MonotonicTime until = kNever;
    std::map<std::int64_t, std::set<CoreId>> grants;  // voters by the time of the request
  };
  void probe(const EngineEntry& engine, MonotonicTime now, Outbox& outbox);
  void handleHealth(const EngineEntry& engine, const HttpCallAnswered& answer, MonotonicTime now,
                    Outbox& outbox);
  void handleCacheReport(const EngineEntry& engine, const HttpCallAnswered& answer,
                         MonotonicTime now, Outbox& outbox);
  void requestLeases(const EngineList& list, MonotonicTime now, Outbox& outbox);
  void orderIfDue(const EngineList& list, const EngineEntry& engine, MonotonicTime now,
                  Outbox& outbox);
  Duration waveDelay(const EngineList& list, const EngineId& engine) const;
  void broadcastSnapshots(MonotonicTime now, Outbox& outbox);
  void updateView(const EngineSnapshot& snapshot, MonotonicTime seenAt);

  Options options_;
  Membership& membership_;
  Follower& follower_;
  PrefixIndex& index_;
  Random& random_;
  HashRing ring_;
  std::set<EngineId> ownEngines_;
  std::map<EngineId, EngineView> views_;
  std::map<EngineId, WatchState> watched_;
  std::map<EngineId, Lease> leases_;
  std::map<EngineId, MonotonicTime> backoffUntil_;
  std::map<TicketId, PendingCall> calls_;
  MonotonicTime nextBroadcast_{}, nextLeaseRequest_{};
};

}  // namespace peppergate
