#pragma once
// Which members a router tells itself, and which of them pass it on: traffic between zones is dear,
// so every other zone is told through one of its routers.
#include <span>
#include <string>
#include <vector>

#include "core/messages.h"

namespace peppergate {

/// Receivers of one round. No address stands in both lists.
struct RelayTargets {
  std::vector<Address> direct;  // told by the sender itself, and nobody else by them
  std::vector<Address> relays;  // one router of each other zone that is large enough
};

/// The receivers of what `self` tells all routers. Zones with few routers are told directly. `turn`
/// chooses between the routers of a zone: rounds that use several turns outlive a dead relay.
RelayTargets relayTargets(std::span<const MemberRecord> routers, const MemberRecord& self,
                          std::uint64_t turn);

/// The other routers of the zone of `self`: the receivers of what a relay passes on.
std::vector<Address> zonePeers(std::span<const MemberRecord> routers, const MemberRecord& self);

}  // namespace peppergate
