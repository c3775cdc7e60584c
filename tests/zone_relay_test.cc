// Selection of relays between zones, and the marking of messages for forwarding.
#include "core/zone_relay.h"

#include <algorithm>
#include <set>

#include "core/spread_broadcast.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

MemberRecord router(std::uint64_t number, const char* zone) {
  MemberRecord record;
  record.member = {number};
  record.address = {"10.0.0." + std::to_string(number) + ":1"};
  record.zone = {zone};
  return record;
}

/// Ten routers in zone north, six in south, two in east.
std::vector<MemberRecord> fleet() {
  std::vector<MemberRecord> routers;
  for (std::uint64_t number = 1; number <= 18; ++number)
    routers.push_back(router(number, number <= 10 ? "north" : number <= 16 ? "south" : "east"));
  return routers;
}

bool contains(const std::vector<Address>& addresses, const MemberRecord& record) {
  return std::ranges::find(addresses, record.address) != addresses.end();
}

}  // namespace

TEST_GROUP(ZoneRelays){};

TEST(ZoneRelays, OwnZoneAndSmallZonesAreServedDirectly) {
  auto routers = fleet();
  RelayTargets targets = relayTargets(routers, routers[0], 0);
  LONGS_EQUAL(9 + 2, targets.direct.size());
  LONGS_EQUAL(1, targets.relays.size());
  CHECK(!contains(targets.direct, routers[0]) && !contains(targets.relays, routers[0]));
  for (std::size_t index : {1, 9, 16, 17}) CHECK(contains(targets.direct, routers[index]));
}

TEST(ZoneRelays, DirectReceiversAndRelayedOnesCoverEachRouterOnce) {
  auto routers = fleet();
  for (const auto& sender : routers) {
    RelayTargets targets = relayTargets(routers, sender, 3);
    std::vector<Address> receivers = targets.direct;
    for (const auto& relay : targets.relays) {
      auto relayRouter = std::ranges::find(routers, relay, &MemberRecord::address);
      auto peers = zonePeers(routers, *relayRouter);
      receivers.push_back(relay);
      receivers.insert(receivers.end(), peers.begin(), peers.end());
    }
    LONGS_EQUAL(routers.size() - 1, receivers.size());
    LONGS_EQUAL(routers.size() - 1, std::set<Address>(receivers.begin(), receivers.end()).size());
    CHECK(!contains(receivers, sender));
  }
}

TEST(ZoneRelays, RelaysAlternateByTurnAndDifferBySender) {
  auto routers = fleet();
  std::set<Address> byTurn, bySender;
  for (std::uint64_t turn = 0; turn < 6; ++turn)
    byTurn.insert(relayTargets(routers, routers[0], turn).relays.at(0));
  LONGS_EQUAL(6, byTurn.size());
  for (std::size_t index = 0; index < 10; ++index)
    bySender.insert(relayTargets(routers, routers[index], 0).relays.at(0));
  CHECK(bySender.size() > 2);
}

TEST(ZoneRelays, RoutersWithoutZonesAreServedDirectly) {
  std::vector<MemberRecord> routers;
  for (std::uint64_t number = 1; number <= 9; ++number) routers.push_back(router(number, ""));
  RelayTargets targets = relayTargets(routers, routers[4], 0);
  LONGS_EQUAL(8, targets.direct.size());
  CHECK(targets.relays.empty());
}

TEST(ZoneRelays, OnlyCopiesForRelaysAreMarked) {
  SpreadBroadcast broadcasts;
  Outbox outbox;
  RelayTargets targets{{{"10.0.0.1:1"}}, {{"10.0.0.2:1"}}};
  std::vector<Message> messages;
  messages.emplace_back(EngineUsageNotification{{7}, {}, {}, {}});
  messages.emplace_back(LinkUsageNotification{{7}, {}, {}});
  messages.emplace_back(PrefixBlockUpdate{});
  broadcasts.beginRelayed(targets, std::move(messages), seconds(0.1), at(1));
  broadcasts.tick(at(1), outbox);
  int marked = 0, plain = 0;
  for (const auto& broadcast : commandsOf<Broadcast>(outbox.takeCommands())) {
    bool relay = false;
    if (auto* use = std::get_if<EngineUsageNotification>(&*broadcast.message)) relay = use->relay;
    else if (auto* usage = std::get_if<LinkUsageNotification>(&*broadcast.message))
      relay = usage->relay;
    else relay = std::get<PrefixBlockUpdate>(*broadcast.message).relay;
    CHECK(broadcast.to == (relay ? targets.relays : targets.direct));
    ++(relay ? marked : plain);
  }
  LONGS_EQUAL(3, marked);
  LONGS_EQUAL(3, plain);
}
