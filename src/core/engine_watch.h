#pragma once
// Each front watches its share of the engines: it probes their health, reads which prompt parts
// they cache, and gives them orders while it holds their leases.
#include <map>
#include <optional>
#include <set>

#include "core/engine_list.h"
#include "core/follower.h"
#include "core/membership.h"
#include "core/prefix_index.h"
#include "core/ring.h"

namespace peppergate {

/// What this front knows of an engine, from its watcher's newest snapshot.
struct EngineView {
  EngineSnapshot picture;
  MonotonicTime seen = kNever;  // when the engine was in this state
  std::uint64_t sentSince = 0;  // attempts sent by this front since then
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
  bool answered(const WebAnswered& answer, const EngineList& list, MonotonicTime now,
                Outbox& outbox);
  /// Handles the snapshots that another front sends of its engines.
  void hear(const EngineSnapshotNotification& note, MonotonicTime now, Outbox& outbox);
  /// Handles a voter's grants of engine leases.
  void hear(const EngineLeaseReply& answer, Outbox& outbox);

  /// The view of an engine that is ready, not in backoff, and whose snapshot is recent; else null.
  const EngineView* usable(const EngineId& engine, MonotonicTime now) const;
  /// Counts an attempt sent to an engine, until the engine's next snapshot.
  void noteSent(const EngineId& engine);
  /// Takes an engine that was seen to fail out of use for a short backoff.
  void rest(const EngineId& engine, MonotonicTime now);
  /// Whether this front watches an engine now.
  bool mine(const EngineId& engine) const;
  /// Whether this front's lease on an engine is valid now; checked before each order.
  bool holds(const EngineId& engine, MonotonicTime now) const;
  const Ring& ring() const { return ring_; }
  const std::map<EngineId, EngineView>& views() const { return views_; }
  void reload(const Options& options) { options_ = options; }

 private:
  enum class CallKind : std::uint8_t { kHealth, kKept, kOrder };
  struct Call {
    CallKind kind;
    EngineId engine;
    MonotonicTime since;
  };
  struct Watched {
    MonotonicTime nextProbe{};
    int failures = 0;
    std::uint64_t keptRevision = 0;
    EngineLife keptLife;
    MonotonicTime ordered = kNever;
    bool drainOrdered = false;
  };
  struct Hold {
    MonotonicTime until = kNever;
    std::map<std::int64_t, std::set<CoreId>> rounds;  // voters by the time of the request
  };
  void probe(const EngineEntry& engine, MonotonicTime now, Outbox& outbox);
  void healthCame(const EngineEntry& engine, const WebAnswered& answer, MonotonicTime now,
                  Outbox& outbox);
  void keptCame(const EngineEntry& engine, const WebAnswered& answer, MonotonicTime now,
                Outbox& outbox);
  void askHolds(const EngineList& list, MonotonicTime now, Outbox& outbox);
  void order(const EngineList& list, const EngineEntry& engine, MonotonicTime now, Outbox& outbox);
  Duration waveDelay(const EngineList& list, const EngineId& engine) const;
  void tellOthers(MonotonicTime now, Outbox& outbox);
  void take(const EngineSnapshot& picture, MonotonicTime seen);

  Options options_;
  Membership& membership_;
  Follower& follower_;
  PrefixIndex& index_;
  Random& random_;
  Ring ring_;
  std::set<EngineId> mine_;
  std::map<EngineId, EngineView> views_;
  std::map<EngineId, Watched> watched_;
  std::map<EngineId, Hold> holds_;
  std::map<EngineId, MonotonicTime> resting_;
  std::map<TicketId, Call> calls_;
  MonotonicTime nextTell_{}, nextHolds_{};
};

}  // namespace peppergate
