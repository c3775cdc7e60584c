#include "core/hash_ring.h"

#include <algorithm>

#include "core/random.h"

namespace peppergate {
namespace {

std::uint64_t pointOf(const EngineId& engine) {
  std::uint64_t point = 1469598103934665603ULL;
  for (char letter : engine.value)
    point = (point ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
  return Random(point).next();
}

}  // namespace

HashRing::HashRing(std::span<const MemberRecord> members) {
  for (const auto& record : members) {
    members_.push_back(record.member);
    Random random(record.member.value);
    for (int index = 0; index < kVirtualNodesPerMember; ++index)
      virtualNodes_.push_back({random.next(), record.member});
  }
  std::ranges::sort(virtualNodes_, {}, &VirtualNode::point);
}

std::vector<MemberId> HashRing::owners(const EngineId& engine, std::size_t count) const {
  std::vector<MemberId> owners;
  if (virtualNodes_.empty()) return owners;
  auto node = std::ranges::lower_bound(virtualNodes_, pointOf(engine), {}, &VirtualNode::point);
  for (std::size_t step = 0; step < virtualNodes_.size() && owners.size() < count; ++step, ++node) {
    if (node == virtualNodes_.end()) node = virtualNodes_.begin();
    if (std::ranges::find(owners, node->member) == owners.end()) owners.push_back(node->member);
  }
  return owners;
}

bool HashRing::isBuiltFrom(std::span<const MemberRecord> members) const {
  return std::ranges::equal(members_, members, {}, {}, &MemberRecord::member);
}

}  // namespace peppergate
