#include "core/prefix_index.h"

#include <algorithm>

namespace peppergate {

bool PrefixIndex::report(IndexPut put) {
  // Lives have no order among them: only the life in the engine's newest snapshot is valid.
  auto found = engines_.find(put.engine);
  if (found == engines_.end() || put.life != found->second.life) return false;
  Kept& kept = found->second;
  if (put.revision <= kept.revision) return false;
  kept.revision = put.revision;
  kept.newestRevision = std::max(kept.newestRevision, put.revision);
  kept.parts.clear();
  for (auto& part : put.parts) kept.parts[part.name] = part;
  return true;
}

IndexPut PrefixIndex::makePut(const EngineId& engine, const Kept& kept) const {
  IndexPut put{engine, kept.life, kept.revision, {}};
  for (const auto& [name, part] : kept.parts) put.parts.push_back(part);
  return put;
}

void PrefixIndex::hear(const Address& from, const IndexPut& put, Outbox& outbox) {
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

void PrefixIndex::hear(const Address& from, const IndexRequest& ask, Outbox& outbox) {
  auto found = engines_.find(ask.engine);
  if (found == engines_.end()) return;
  const Kept& kept = found->second;
  if (kept.life != ask.life || kept.revision > ask.revision)
    outbox.send(from, makePut(ask.engine, kept));
  else if (kept.revision < ask.revision)
    outbox.send(from, IndexRequest{ask.engine, kept.life, kept.revision});
}

void PrefixIndex::noteLife(const EngineId& engine, EngineLife life, std::uint64_t revision) {
  Kept& kept = engines_[engine];
  if (life != kept.life) {
    kept = Kept{};
    kept.life = life;
  }
  kept.newestRevision = std::max(kept.newestRevision, revision);
}

void PrefixIndex::tick(const Ring& ring, MonotonicTime now, Random& random, Outbox& outbox) {
  for (auto& [engine, kept] : engines_) {
    bool behind = kept.newestRevision > kept.revision;
    Duration pace = behind ? milliseconds(500) : options_.sweepEvery;
    if (now - kept.asked < pace) continue;
    kept.asked = now;
    auto owners = ring.owners(engine, 3);
    if (owners.empty()) continue;
    bool copies = std::ranges::find(owners, membership_.self().member) != owners.end();
    if (owners[0] == membership_.self().member) {
      spread(ring, engine, outbox);  // periodic sweep: replicas compare their entries
      continue;
    }
    if (!behind && !copies) continue;
    MemberId whom = copies ? owners[0] : owners[random.below(owners.size())];
    outbox.count("index.asked");
    outbox.send(membership_.addressOf(whom), IndexRequest{engine, kept.life, kept.revision});
  }
}

void PrefixIndex::spread(const Ring& ring, const EngineId& engine, Outbox& outbox) {
  auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  for (MemberId member : ring.owners(engine, 3))
    if (member != membership_.self().member)
      outbox.send(membership_.addressOf(member), makePut(engine, found->second));
}

void PrefixIndex::forget(const EngineId& engine) { engines_.erase(engine); }

void PrefixIndex::missing(const EngineId& engine, const PartName& name) {
  auto found = engines_.find(engine);
  if (found != engines_.end()) found->second.parts.erase(name);
}

bool PrefixIndex::keeps(const EngineId& engine, const PartName& name, const Wall& wall,
                        WeightsVersion weights) const {
  auto found = engines_.find(engine);
  if (found == engines_.end()) return false;
  auto part = found->second.parts.find(name);
  if (part == found->second.parts.end()) return false;
  if (!options_.guards(Guard::kWall)) return true;
  return part->second.wall == wall && part->second.weights == weights;
}

std::vector<EngineId> PrefixIndex::holders(const PartName& name, const Wall& wall,
                                           WeightsVersion weights) const {
  std::vector<EngineId> holders;
  for (const auto& [engine, kept] : engines_)
    if (keeps(engine, name, wall, weights)) holders.push_back(engine);
  return holders;
}

std::size_t PrefixIndex::size() const {
  std::size_t parts = 0;
  for (const auto& [engine, kept] : engines_) parts += kept.parts.size();
  return parts;
}

}  // namespace peppergate
