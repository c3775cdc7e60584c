#pragma once
// A consistent hash ring that assigns each engine to a front that watches it, and to further fronts
// that replicate its index entries.
#include <span>
#include <vector>

#include "core/messages.h"

namespace peppergate {

/// A hash ring with several virtual nodes for each member. The first owner of an engine watches it.
class HashRing {
 public:
  static constexpr int kVirtualNodesPerMember = 64;
  HashRing() = default;
  explicit HashRing(std::span<const MemberRecord> members);
  /// The first different members clockwise from the engine's point, at most `count` of them.
  std::vector<MemberId> owners(const EngineId& engine, std::size_t count) const;
  /// Whether the ring was built from exactly these members.
  bool isBuiltFrom(std::span<const MemberRecord> members) const;

 private:
  struct VirtualNode {
    std::uint64_t point;
    MemberId member;
  };
  std::vector<VirtualNode> virtualNodes_;
  std::vector<MemberId> members_;
};

}  // namespace peppergate
