#pragma once
// Selects the receivers of a router's broadcasts. Traffic between zones is expensive, so every
// other zone gets one copy, which one of its routers relays.
#include <span>
#include <string>
#include <vector>

#include "core/messages.h"

namespace peppergate {

/// The receivers of one round. The lists have no address in common.
struct RelayTargets {
  std::vector<Address> direct;  // served by the sender; they forward nothing
  std::vector<Address> relays;  // one router of each other zone with enough routers
};

/// The receivers of a broadcast from `self` to all routers. Zones with few routers are served
/// directly. `turn` selects the relay among the routers of a zone; alternating it between rounds
/// keeps a dead relay from cutting off its zone.
RelayTargets relayTargets(std::span<const MemberRecord> routers, const MemberRecord& self,
                          std::uint64_t turn);

/// The other routers in the zone of `self`, to which a relay forwards messages.
std::vector<Address> zonePeers(std::span<const MemberRecord> routers, const MemberRecord& self);

}  // namespace peppergate
