#include "core/zone_relay.h"

#include <map>

#include "core/random.h"

namespace peppergate {
namespace {

constexpr std::size_t kMinRoutersForRelay = 4;  // in a zone; smaller zones are served directly

}  // namespace

RelayTargets relayTargets(std::span<const MemberRecord> routers, const MemberRecord& self,
                          std::uint64_t turn) {
  std::map<Zone, std::vector<const MemberRecord*>> zones;
  for (const auto& router : routers)
    if (router.member != self.member) zones[router.zone].push_back(&router);
  RelayTargets targets;
  for (const auto& [zone, members] : zones) {
    if (zone != self.zone && members.size() >= kMinRoutersForRelay) {
      // Each sender starts at a different index, so that a zone's routers share the forwarding.
      std::size_t index = (Random(self.member.value).next() + turn) % members.size();
      targets.relays.push_back(members[index]->address);
      continue;
    }
    for (const MemberRecord* member : members) targets.direct.push_back(member->address);
  }
  return targets;
}

std::vector<Address> zonePeers(std::span<const MemberRecord> routers, const MemberRecord& self) {
  std::vector<Address> peers;
  for (const auto& router : routers)
    if (router.zone == self.zone && router.member != self.member) peers.push_back(router.address);
  return peers;
}

}  // namespace peppergate
