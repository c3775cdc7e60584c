#pragma once
// Which engine keeps which part, tied to the engine's life; copies are mended by reads.
#include <map>
#include <set>
#include <vector>

#include "core/membership.h"
#include "core/ring.h"

namespace peppergate {

/// Example: `index.holders(name, wall, weights)` gives the engines that may be collected from.
class PrefixIndex {
 public:
  PrefixIndex(const Options& options, Membership& membership)
      : options_(options), membership_(membership) {}

  /// The watcher's own report; true if it was news. Example: `index.report(put)`.
  bool report(IndexPut put);
  /// A copy that came; an older one is answered with the newer (read repair).
  void hear(const Address& from, const IndexPut& put, Outbox& outbox);
  /// A question for what is newer. Example: on an IndexRequest.
  void hear(const Address& from, const IndexRequest& ask, Outbox& outbox);
  /// The newest life and revision heard of; entries of other lives end.
  void noteLife(const EngineId& engine, EngineLife life, std::uint64_t revision);
  /// Asks for what is old here, spread over the copies. Example: each tick.
  void tick(const Ring& ring, MonotonicTime now, Random& random, Outbox& outbox);
  /// Sends the watcher's entries to its copies. Example: after a report.
  void spread(const Ring& ring, const EngineId& engine, Outbox& outbox);
  /// An engine that left the list. Example: `index.forget({"e1"})`.
  void forget(const EngineId& engine);
  /// A source turned out empty: the entry goes until the next report.
  void missing(const EngineId& engine, const PartName& name);

  /// Engines that keep a part; wall and weights are compared besides the name.
  std::vector<EngineId> holders(const PartName& name, const Wall& wall,
                                WeightsVersion weights) const;
  /// Whether one engine keeps a part. Example: `index.keeps({"e1"}, name, wall, weights)`.
  bool keeps(const EngineId& engine, const PartName& name, const Wall& wall,
             WeightsVersion weights) const;
  std::size_t size() const;

 private:
  struct Kept {
    EngineLife life;  // as the newest picture names it
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
