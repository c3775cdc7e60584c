#include "core/prefix_index.h"

#include <algorithm>

namespace peppergate {

bool PrefixIndex::report(PrefixIndexUpdate put) {
  // Lives have no order among them: only the life in the engine's newest snapshot is valid.
  auto found = engines_.find(put.engine);
  if (found == engines_.end() || put.life != found->second.life) return false;
  CacheEntry& entry = found->second;
  if (put.revision <= entry.revision) return false;
  entry.revision = put.revision;
  entry.newestRevision = std::max(entry.newestRevision, put.revision);
  entry.parts.clear();
  for (auto& part : put.blocks) entry.parts[part.name] = part;
  return true;
}

PrefixIndexUpdate PrefixIndex::makePut(const EngineId& engine, const CacheEntry& entry) const {
  PrefixIndexUpdate put{engine, entry.life, entry.revision, {}};
  for (const auto& [name, part] : entry.parts) put.blocks.push_back(part);
  return put;
}

void PrefixIndex::handle(const Address& from, const PrefixIndexUpdate& put, Outbox& outbox) {
  auto found = engines_.find(put.engine);
  if (found == engines_.end() || found->second.life != put.life) {
    outbox.count("index.otherLife");
    return;
  }
  if (found->second.revision > put.revision) {
    outbox.count("index.mended");
    outbox.send(from, makePut(put.engine, found->second));
  } else if (report(put)) {
    outbox.count("index.copied");
  }
}

void PrefixIndex::handle(const Address& from, const PrefixIndexRequest& request, Outbox& outbox) {
  auto found = engines_.find(request.engine);
  if (found == engines_.end()) return;
  const CacheEntry& entry = found->second;
  if (entry.life != request.life || entry.revision > request.revision)
    outbox.send(from, makePut(request.engine, entry));
  else if (entry.revision < request.revision)
    outbox.send(from, PrefixIndexRequest{request.engine, entry.life, entry.revision});
}

void PrefixIndex::noteLife(const EngineId& engine, EngineLife life, std::uint64_t revision) {
  CacheEntry& entry = engines_[engine];
  if (life != entry.life) {
    entry = CacheEntry{};
    entry.life = life;
  }
  entry.newestRevision = std::max(entry.newestRevision, revision);
}

void PrefixIndex::tick(const HashRing& ring, MonotonicTime now, Random& random, Outbox& outbox) {
  for (auto& [engine, entry] : engines_) {
    bool outdated = entry.newestRevision > entry.revision;
    Duration pace = outdated ? milliseconds(500) : options_.sweepEvery;
    if (now - entry.requestedAt < pace) continue;
    entry.requestedAt = now;
    auto owners = ring.owners(engine, 3);
    if (owners.empty()) continue;
    bool isReplica = std::ranges::find(owners, membership_.self().member) != owners.end();
    if (owners[0] == membership_.self().member) {
      replicate(ring, engine, outbox);  // periodic sweep: replicas compare their entries
      continue;
    }
    if (!outdated && !isReplica) continue;
    MemberId peer = isReplica ? owners[0] : owners[random.below(owners.size())];
    outbox.count("index.asked");
    outbox.send(membership_.addressOf(peer),
                PrefixIndexRequest{engine, entry.life, entry.revision});
  }
}

void PrefixIndex::replicate(const HashRing& ring, const EngineId& engine, Outbox& outbox) {
  auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  for (MemberId member : ring.owners(engine, 3))
    if (member != membership_.self().member)
      outbox.send(membership_.addressOf(member), makePut(engine, found->second));
}

void PrefixIndex::removeEngine(const EngineId& engine) { engines_.erase(engine); }

void PrefixIndex::removePart(const EngineId& engine, const PrefixBlockName& name) {
  auto found = engines_.find(engine);
  if (found != engines_.end()) found->second.parts.erase(name);
}

bool PrefixIndex::isCached(const EngineId& engine, const PrefixBlockName& name,
                           const CacheDomain& wall, WeightsVersion weights) const {
  auto found = engines_.find(engine);
  if (found == engines_.end()) return false;
  auto part = found->second.parts.find(name);
  if (part == found->second.parts.end()) return false;
  if (!options_.isGuardEnabled(SafetyGuard::kCacheDomain)) return true;
  return part->second.cacheDomain == wall && part->second.weights == weights;
}

std::vector<EngineId> PrefixIndex::holders(const PrefixBlockName& name, const CacheDomain& wall,
                                           WeightsVersion weights) const {
  std::vector<EngineId> holders;
  for (const auto& [engine, entry] : engines_)
    if (isCached(engine, name, wall, weights)) holders.push_back(engine);
  return holders;
}

std::size_t PrefixIndex::size() const {
  std::size_t parts = 0;
  for (const auto& [engine, entry] : engines_) parts += entry.parts.size();
  return parts;
}

}  // namespace peppergate
