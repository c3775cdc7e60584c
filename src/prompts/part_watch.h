#pragma once
// Long polls of what engines keep: each engine has one watcher on the ring, who tells the others.
#include <map>
#include <vector>

#include "core/membership.h"
#include "core/outbox.h"
#include "core/ring.h"
#include "core/spread_broadcast.h"
#include "engines/engine_book.h"
#include "prompts/part_index.h"

namespace peppergate {

/// Example: `watch.tick(book, config, now, outbox); watch.polled(answer, now, outbox);`
class PartWatch {
 public:
  PartWatch(const Options& options, Membership& membership, PartIndex& index);
  /// Keeps one poll open at each engine and store that this front watches. Example: each tick.
  void tick(EngineBook& book, const FleetConfig& config, MonotonicTime now, Outbox& outbox);
  /// The same for a list of what keeps parts. Example: in tests.
  void tick(const std::vector<std::pair<EngineId, Address>>& keepers, MonotonicTime now,
            Outbox& outbox);
  /// True if the ticket was its own. Example: on PartsPolled, PartsListed.
  bool polled(const PartsPolled& answer, MonotonicTime now, Outbox& outbox);
  bool listed(const PartsListed& answer, MonotonicTime now, Outbox& outbox);
  /// Another watcher's word. Example: on a PrefixBlockUpdate.
  void hear(const Address& from, const PrefixBlockUpdate& news, MonotonicTime now, Outbox& outbox);
  /// Another front lacks changes. Example: on a PrefixBlockRequest.
  void hear(const Address& from, const PrefixBlockRequest& ask, MonotonicTime now, Outbox& outbox);
  /// Whether this front watches an engine. Example: for the status page.
  bool mine(const EngineId& engine) const { return watched_.contains(engine); }

 private:
  struct Watched {
    Address address;
    TicketId ticket;  // of the call under way; 0: none
    bool wantsList = false;
    std::uint64_t since = 0;
    std::uint64_t told = 0;           // up to where others were told
    MonotonicTime next = kNever;      // no call before it
    MonotonicTime listedAt = kNever;  // the last dear call
    int failures = 0;
  };
  /// News that waits a moment for more of the same engine.
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
  /// Tells the routers of this zone what one of another zone told. Example: for a marked update.
  void passOn(PrefixBlockUpdate news, MonotonicTime now, Outbox& outbox);
  static PrefixBlockUpdate newsOf(const EngineId& engine, const std::vector<PartChange>& changes);

  Options options_;
  Membership& membership_;
  PartIndex& index_;
  Ring ring_;
  MonotonicTime nextScan_{};
  Duration coalesce_ = milliseconds(100);  // by the number of fronts
  std::map<EngineId, Watched> watched_;
  std::map<TicketId, EngineId> open_;
  std::map<EngineId, Pending> pending_;
  SpreadBroadcast told_;  // what others are told of engines that this front watches
  SpreadBroadcast relayed_{kRelayPortion};   // what routers of other zones told
  std::map<EngineId, MonotonicTime> asked_;  // others, for what is missing here
};

}  // namespace peppergate
