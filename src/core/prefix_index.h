#pragma once
// Which engine caches which prompt parts. Entries are valid for one life of an engine (from start
// to restart) and are replicated to several fronts, with read repair of stale replicas.
#include <map>
#include <set>
#include <vector>

#include "core/membership.h"
#include "core/ring.h"

namespace peppergate {

/// The cached prompt parts of all engines, as far as this front knows them.
class PrefixIndex {
 public:
  PrefixIndex(const Options& options, Membership& membership)
      : options_(options), membership_(membership) {}

  /// Takes an engine's report of its cache; returns whether it was newer than the entry here.
  bool report(IndexPut put);
  /// Handles a replicated entry; one older than this front's is answered with the newer one (read
  /// repair).
  void hear(const Address& from, const IndexPut& put, Outbox& outbox);
  /// Handles a request for a newer entry; asks for the sender's entry in turn if that is newer.
  void hear(const Address& from, const IndexRequest& ask, Outbox& outbox);
  /// Notes an engine's current life and newest revision; an entry of another life is dropped.
  void noteLife(const EngineId& engine, EngineLife life, std::uint64_t revision);
  /// Requests entries that are out of date here, spread over their replicas, and sends out those of
  /// this front's engines. Called on each tick.
  void tick(const Ring& ring, MonotonicTime now, Random& random, Outbox& outbox);
  /// Sends an engine's entry to the fronts that replicate it; called after a report.
  void spread(const Ring& ring, const EngineId& engine, Outbox& outbox);
  /// Drops the entry of an engine that left the list.
  void forget(const EngineId& engine);
  /// Drops a part that an engine turned out not to have, until its next report.
  void missing(const EngineId& engine, const PartName& name);

  /// The engines that cache a part. Its isolation domain and weights are compared besides the name.
  std::vector<EngineId> holders(const PartName& name, const Wall& wall,
                                WeightsVersion weights) const;
  /// Whether one engine caches a part.
  bool keeps(const EngineId& engine, const PartName& name, const Wall& wall,
             WeightsVersion weights) const;
  std::size_t size() const;

 private:
  struct Kept {
    EngineLife life;  // of the engine's newest snapshot
    std::uint64_t revision = 0;
    std::uint64_t newestRevision = 0;
    std::map<PartName, KeptPart> parts;
    MonotonicTime asked = kNever;
  };
  IndexPut makePut(const EngineId& engine, const Kept& kept) const;

  Options options_;
  Membership& membership_;
  std::map<EngineId, Kept> engines_;
};

}  // namespace peppergate
