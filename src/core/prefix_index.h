#pragma once
// Which engine caches which prompt parts. Entries are valid for one life of an engine (from start
// to restart) and are replicated to several fronts, with read repair of stale replicas.
#include <map>
#include <set>
#include <vector>

#include "core/hash_ring.h"
#include "core/membership.h"

namespace peppergate {

/// The cached prompt parts of all engines, as far as this front knows them.
class PrefixIndex {
 public:
  PrefixIndex(const Options& options, Membership& membership)
      : options_(options), membership_(membership) {}

  /// Takes an engine's report of its cache; returns whether it was newer than the entry here.
  bool report(PrefixIndexUpdate put);
  /// Handles a replicated entry; one older than this front's is answered with the newer one (read
  /// repair).
  void handle(const Address& from, const PrefixIndexUpdate& put, Outbox& outbox);
  /// Handles a request for a newer entry; asks for the sender's entry in turn if that is newer.
  void handle(const Address& from, const PrefixIndexRequest& request, Outbox& outbox);
  /// Notes an engine's current life and newest revision; an entry of another life is dropped.
  void noteLife(const EngineId& engine, EngineLife life, std::uint64_t revision);
  /// Requests entries that are out of date here, spread over their replicas, and sends out those of
  /// this front's engines. Called on each tick.
  void tick(const HashRing& ring, MonotonicTime now, Random& random, Outbox& outbox);
  /// Sends an engine's entry to the fronts that replicate it; called after a report.
  void replicate(const HashRing& ring, const EngineId& engine, Outbox& outbox);
  /// Drops the entry of an engine that left the list.
  void removeEngine(const EngineId& engine);
  /// Drops a part that an engine turned out not to have, until its next report.
  void removePart(const EngineId& engine, const PrefixBlockName& name);

  /// The engines that cache a part. Its isolation domain and weights are compared besides the name.
  std::vector<EngineId> holders(const PrefixBlockName& name, const CacheDomain& wall,
                                WeightsVersion weights) const;
  /// Whether one engine caches a part.
  bool isCached(const EngineId& engine, const PrefixBlockName& name, const CacheDomain& wall,
                WeightsVersion weights) const;
  std::size_t size() const;

 private:
  struct CacheEntry {
    EngineLife life;  // of the engine's newest snapshot
    std::uint64_t revision = 0;
    std::uint64_t newestRevision = 0;
    std::map<PrefixBlockName, CachedPrefixBlock> parts;
    MonotonicTime requestedAt = kNever;
  };
  PrefixIndexUpdate makePut(const EngineId& engine, const CacheEntry& entry) const;

  Options options_;
  Membership& membership_;
  std::map<EngineId, CacheEntry> engines_;
};

}  // namespace peppergate
