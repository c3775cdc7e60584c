#pragma once
// Long polls of the engines' prefix caches: consistent hashing assigns each engine to one router,
// which polls it and sends the changes to the others.
#include <map>
#include <vector>

#include "core/hash_ring.h"
#include "core/membership.h"
#include "core/outbox.h"
#include "core/spread_broadcast.h"
#include "engines/engine_registry.h"
#include "prompts/prefix_block_index.h"

namespace peppergate {

/// Feeds the prefix block index: polls the engines assigned to this router, and exchanges updates
/// with the other routers.
class PrefixCacheWatcher {
 public:
  PrefixCacheWatcher(const Options& options, Membership& membership, PrefixBlockIndex& index);
  /// Keeps one poll open to each engine and store assigned to this router. Called on each tick.
  void tick(EngineRegistry& registry, const FleetConfig& config, MonotonicTime now, Outbox& outbox);
  /// The same for an explicit list of engines and stores that cache blocks.
  void tick(const std::vector<std::pair<EngineId, Address>>& caches, MonotonicTime now,
            Outbox& outbox);
  /// Handles the answer to a poll or a listing; false if the ticket isn't this object's.
  bool handlePoll(const PrefixBlocksPolled& answer, MonotonicTime now, Outbox& outbox);
  bool handleListing(const PrefixBlocksListed& answer, MonotonicTime now, Outbox& outbox);
  /// Handles an update from another router.
  void handle(const Address& from, const PrefixBlockUpdate& update, MonotonicTime now,
              Outbox& outbox);
  /// Answers another router that lacks changes.
  void handle(const Address& from, const PrefixBlockRequest& request, MonotonicTime now,
              Outbox& outbox);
  /// Whether this router polls an engine.
  bool watches(const EngineId& engine) const { return watched_.contains(engine); }

 private:
  struct WatchedEngine {
    Address address;
    TicketId ticket;  // of the call in progress; 0: none
    bool needsListing = false;
    std::uint64_t polledUpTo = 0;
    std::uint64_t sentUpTo = 0;         // position up to which updates were sent to others
    MonotonicTime nextCallAt = kNever;  // no call before this time
    MonotonicTime listedAt = kNever;    // time of the last complete listing, an expensive call
    int failures = 0;
  };
  /// An update that is delayed so that further changes of the same engine can be merged into it.
  struct PendingUpdate {
    MonotonicTime since;
    PrefixBlockUpdate update;
  };
  WatchedEngine* takeAnswered(TicketId ticket, EngineId& engine);
  void assignEngines(const std::vector<std::pair<EngineId, Address>>& caches, MonotonicTime now,
                     Outbox& outbox);
  void sendCall(const EngineId& engine, WatchedEngine& watched, MonotonicTime now, Outbox& outbox);
  void handleFailure(const EngineId& engine, WatchedEngine& watched, int status, MonotonicTime now,
                     Outbox& outbox);
  void requestUpdate(const Address& receiver, const EngineId& engine, MonotonicTime now,
                     Outbox& outbox);
  void queueUpdate(PrefixBlockUpdate update, MonotonicTime now);
  void flush(MonotonicTime now, Outbox& outbox);
  /// Relays an update from a router of another zone to the routers of this zone.
  void relay(PrefixBlockUpdate update, MonotonicTime now, Outbox& outbox);
  static PrefixBlockUpdate updateFrom(const EngineId& engine,
                                      const std::vector<PrefixBlockChange>& changes);

  Options options_;
  Membership& membership_;
  PrefixBlockIndex& index_;
  HashRing ring_;
  MonotonicTime nextScanAt_{};
  Duration coalesceDelay_ = milliseconds(100);  // scales with the number of routers
  std::map<EngineId, WatchedEngine> watched_;
  std::map<TicketId, EngineId> openCalls_;
  std::map<EngineId, PendingUpdate> pendingUpdates_;
  SpreadBroadcast updateBroadcast_;                // updates on the engines that this router polls
  SpreadBroadcast relayBroadcast_{kRelayPortion};  // updates from routers of other zones
  std::map<EngineId, MonotonicTime> requestedAt_;  // time of the last request for missing changes
};

}  // namespace peppergate
