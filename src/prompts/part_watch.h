#pragma once
// Long polls of the engines' prefix caches: consistent hashing assigns each engine to one router,
// which polls it and sends the changes to the others.
#include <map>
#include <vector>

#include "core/membership.h"
#include "core/outbox.h"
#include "core/ring.h"
#include "core/spread_broadcast.h"
#include "engines/engine_book.h"
#include "prompts/part_index.h"

namespace peppergate {

/// Feeds the prefix block index: polls the engines assigned to this router, and exchanges updates
/// with the other routers.
class PartWatch {
 public:
  PartWatch(const Options& options, Membership& membership, PartIndex& index);
  /// Keeps one poll open to each engine and store assigned to this router. Called on each tick.
  void tick(EngineBook& book, const FleetConfig& config, MonotonicTime now, Outbox& outbox);
  /// The same for an explicit list of engines and stores that cache blocks.
  void tick(const std::vector<std::pair<EngineId, Address>>& keepers, MonotonicTime now,
            Outbox& outbox);
  /// Handles the answer to a poll or a listing; false if the ticket isn't this object's.
  bool polled(const PartsPolled& answer, MonotonicTime now, Outbox& outbox);
  bool listed(const PartsListed& answer, MonotonicTime now, Outbox& outbox);
  /// Handles an update from another router.
  void hear(const Address& from, const PrefixBlockUpdate& news, MonotonicTime now, Outbox& outbox);
  /// Answers another router that lacks changes.
  void hear(const Address& from, const PrefixBlockRequest& ask, MonotonicTime now, Outbox& outbox);
  /// Whether this router polls an engine.
  bool mine(const EngineId& engine) const { return watched_.contains(engine); }

 private:
  struct Watched {
    Address address;
    TicketId ticket;  // of the call in progress; 0: none
    bool wantsList = false;
    std::uint64_t since = 0;
    std::uint64_t told = 0;           // position up to which updates were sent to others
    MonotonicTime next = kNever;      // no call before this time
    MonotonicTime listedAt = kNever;  // time of the last complete listing, an expensive call
    int failures = 0;
  };
  /// An update that is delayed so that further changes of the same engine can be merged into it.
  struct Pending {
    MonotonicTime since;
    PrefixBlockUpdate news;
  };
  Watched* answered(TicketId ticket, EngineId& engine);
  void assign(const std::vector<std::pair<EngineId, Address>>& keepers, MonotonicTime now,
              Outbox& outbox);
  void call(const EngineId& engine, Watched& watched, MonotonicTime now, Outbox& outbox);
  void failed(const EngineId& engine, Watched& watched, int status, MonotonicTime now,
              Outbox& outbox);
  void ask(const Address& whom, const EngineId& engine, MonotonicTime now, Outbox& outbox);
  void tell(PrefixBlockUpdate news, MonotonicTime now);
  void flush(MonotonicTime now, Outbox& outbox);
  /// Relays an update from a router of another zone to the routers of this zone.
  void passOn(PrefixBlockUpdate news, MonotonicTime now, Outbox& outbox);
  static PrefixBlockUpdate newsOf(const EngineId& engine, const std::vector<PartChange>& changes);

  Options options_;
  Membership& membership_;
  PartIndex& index_;
  Ring ring_;
  MonotonicTime nextScan_{};
  Duration coalesce_ = milliseconds(100);  // scales with the number of routers
  std::map<EngineId, Watched> watched_;
  std::map<TicketId, EngineId> open_;
  std::map<EngineId, Pending> pending_;
  SpreadBroadcast told_;                     // updates on the engines that this router polls
  SpreadBroadcast relayed_{kRelayPortion};   // updates from routers of other zones
  std::map<EngineId, MonotonicTime> asked_;  // time of the last request for missing changes
};

}  // namespace peppergate
