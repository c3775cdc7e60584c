#pragma once
// Each front watches its share of engines: probes, reports, holds, and the only orders.
#include <map>
#include <optional>
#include <set>

#include "core/engine_list.h"
#include "core/follower.h"
#include "core/membership.h"
#include "core/prefix_index.h"
#include "core/ring.h"

namespace peppergate {

/// What this front believes of an engine, by its watcher's newest word.
struct EngineView {
  EngineSnapshot picture;
  MonotonicTime seen = kNever;  // when the engine was so
  std::uint64_t sentSince = 0;  // shots sent by this front since then
};

/// Example: `watch.tick(list, now, outbox); watch.usable({"e1"}, now)`.
class EngineWatch {
 public:
  EngineWatch(const Options& options, Membership& membership, Follower& follower,
              PrefixIndex& index, Random& random);

  /// Probes, asks for holds, gives orders, tells the others. Example: each tick.
  void tick(const EngineList& list, MonotonicTime now, Outbox& outbox);
  /// Ends a probe, a report or an order; true if the ticket was its own.
  bool answered(const WebAnswered& answer, const EngineList& list, MonotonicTime now,
                Outbox& outbox);
  /// A watcher's word. Example: on a EngineSnapshotNotification.
  void hear(const EngineSnapshotNotification& note, MonotonicTime now, Outbox& outbox);
  /// A voter's grants. Example: on a EngineLeaseReply.
  void hear(const EngineLeaseReply& answer, Outbox& outbox);

  /// The engine's picture while it is young enough and the engine ready; else nothing.
  const EngineView* usable(const EngineId& engine, MonotonicTime now) const;
  /// A shot went out. Example: counts until the next picture.
  void noteSent(const EngineId& engine);
  /// An engine was seen to fail; it rests for a moment. Example: `watch.rest({"e1"}, now)`.
  void rest(const EngineId& engine, MonotonicTime now);
  /// Whether this front watches an engine now. Example: `watch.mine({"e1"})`.
  bool mine(const EngineId& engine) const;
  /// Whether this front holds an engine, by the clock. Example: before each order.
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
    std::map<std::int64_t, std::set<CoreId>> rounds;
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
