// Frames between members at every byte boundary: truncated, split, damaged, of another fleet, and
// on connections that are reset.
#include <errno.h>

#include <cstdio>

#include "io/member_transport.h"
#include "tests/http_testing.h"
#include "tests/socket_fault_injector.h"

using namespace peppergate;

namespace {

constexpr std::size_t kSenderFieldBytes = 32;  // each frame is preceded by its sender's address

/// A frame as it is on the wire, preceded by its sender's address.
std::string wireFrame(std::string_view fleet, std::uint64_t number) {
  std::string sender = "127.0.0.1:9";
  sender.resize(kSenderFieldBytes, '\0');
  return sender + encodeFrame(fleetMark(fleet), Message{DiscoveredEnginesRequest{{number}}});
}

std::uint64_t numberOf(const Message& message) {
  auto* request = std::get_if<DiscoveredEnginesRequest>(&message);
  return request == nullptr ? 0 : request->have.value;
}

/// The numbers of the frames on one connection; sets `torn` if there is anything but frames.
std::vector<std::uint64_t> framesOn(std::string_view bytes, bool& torn) {
  std::vector<std::uint64_t> numbers;
  torn = false;
  while (bytes.size() >= kSenderFieldBytes + kFrameHeadBytes) {
    FrameHead head = readFrameHead(fleetMark("one"), bytes.substr(kSenderFieldBytes));
    torn = torn || head.fault != FrameFault::kNone;
    if (torn || bytes.size() < kSenderFieldBytes + kFrameHeadBytes + head.length) return numbers;
    std::string_view body = bytes.substr(kSenderFieldBytes + kFrameHeadBytes, head.length);
    auto message = decodeBody(head.kind, body);
    torn = torn || !bodyMatchesHead(head, body) || !message.ok();
    if (torn) return numbers;
    numbers.push_back(numberOf(*message));
    bytes.remove_prefix(kSenderFieldBytes + kFrameHeadBytes + head.length);
  }
  return numbers;
}

}  // namespace

TEST_GROUP(MemberSchedules) {
  TestLoop loop;
  Address address = freeAddress();
  std::vector<std::uint64_t> received;
  MemberTransport transport{loop.loop(), address, "one", [this](const Address&, Message message) {
                              received.push_back(numberOf(message));
                            }};
  std::size_t runs = 0;

  void setup() override { CHECK(transport.listen().ok()); }
  void teardown() override {
    failNextConnects(0, 0);
    std::printf("\n%s: %zu runs\n", UtestShell::getCurrent()->getName().asCharString(), runs);
  }
  /// A valid frame on a new connection is accepted, and is the only one accepted since `before`.
  void checkNext(std::uint64_t number, std::size_t before) {
    TestPeer peer(loop, address);
    peer.send(wireFrame("one", number));
    CHECK(loop.runUntil([&] { return !received.empty() && received.back() == number; }));
    CHECK_EQUAL(before + 1, received.size());
    peer.disconnect(true);
  }
};

TEST(MemberSchedules, FramesTruncatedAtEveryByteAreDropped) {
  std::uint64_t number = 0;
  enum class TornBy { kReset, kClose, kHalfClose, kNextFrame };
  for (TornBy how : {TornBy::kReset, TornBy::kClose, TornBy::kHalfClose, TornBy::kNextFrame})
    for (std::size_t size = 0; size < wireFrame("one", 1).size(); ++size, ++runs) {
      std::size_t before = received.size();
      TestPeer peer(loop, address);
      peer.send(std::string_view(wireFrame("one", ++number)).substr(0, size));
      if (how == TornBy::kNextFrame && size > 0) peer.send(wireFrame("one", ++number));
      loop.runPending();
      if (how == TornBy::kHalfClose) peer.shutdownWrite();
      else peer.disconnect(how == TornBy::kReset);
      loop.runPending();
      CHECK_EQUAL(before, received.size());
      checkNext(++number, before);
    }
}

TEST(MemberSchedules, FramesSplitAtEveryByteAreDeliveredOnce) {
  std::uint64_t number = 0;
  for (std::size_t size = 0; size <= wireFrame("one", 1).size(); ++size, ++runs) {
    std::string frame = wireFrame("one", number + 1) + wireFrame("one", number + 2);
    number += 2;
    TestPeer peer(loop, address);
    peer.send(std::string_view(frame).substr(0, size));
    loop.runPending();
    peer.send(std::string_view(frame).substr(size));
    CHECK(loop.runUntil([&] { return !received.empty() && received.back() == number; }));
    CHECK_EQUAL(number, received.size());
    peer.disconnect(true);
  }
}

TEST(MemberSchedules, FramesOfAnotherFleetCloseTheConnection) {
  TestPeer peer(loop, address);
  peer.send(wireFrame("other", 1) + wireFrame("one", 2));
  CHECK(loop.runUntil([&] { return peer.ended || peer.failed; }));
  CHECK_EQUAL(0U, received.size());
  CHECK_EQUAL(1U, transport.faultCounts().at("other fleet"));
  checkNext(3, 0);
  runs = 2;
}

TEST(MemberSchedules, AFrameWithAnyDamagedByteIsDropped) {
  const std::string good = wireFrame("one", 7);
  for (std::size_t offset = kSenderFieldBytes; offset < good.size(); ++offset, ++runs) {
    std::string bad = good;
    bad[offset] = static_cast<char>(bad[offset] ^ 0x40);
    std::size_t before = received.size();
    TestPeer peer(loop, address);
    peer.send(bad + good);
    loop.runPending();
    CHECK_EQUAL(before, received.size());
    peer.disconnect(true);
  }
  checkNext(8, 0);
}

TEST(MemberSchedules, AReconnectAfterAResetAtEveryByteStartsWithAWholeFrame) {
  // The receiver resets the connection after this many bytes. Later frames arrive on a new
  // connection, whole from its first byte on and each at most once.
  std::size_t largest = wireFrame("one", 1).size() * 2;
  for (std::size_t size = 0; size < largest; size += 7, ++runs) {
    TestListener other(loop);
    std::uint64_t number = 0;
    auto send = [&] {
      transport.send(other.address(), Message{DiscoveredEnginesRequest{{++number}}});
    };
    send();
    send();
    send();
    CHECK(loop.runUntil(
        [&] { return !other.peers.empty() && other.peers[0]->received.size() >= size; }));
    other.peers[0]->disconnect(true);
    std::uint64_t before = number;
    CHECK(loop.runUntil([&] {
      send();
      loop.runPending();
      return other.peers.size() > 1 && other.peers[1]->received.size() >= largest;
    }));
    std::vector<std::uint64_t> all;
    for (auto& peer : other.peers) {
      bool torn = false;
      auto numbers = framesOn(peer->received, torn);
      CHECK_FALSE(torn);
      all.insert(all.end(), numbers.begin(), numbers.end());
    }
    for (std::size_t at = 1; at < all.size(); ++at) CHECK(all[at - 1] < all[at]);
    CHECK(all.back() > before);
  }
}

TEST(MemberSchedules, AnUnreachableMemberIsRetriedWithinASecond) {
  // Without a route, connect fails immediately and no connection attempt remains pending.
  for (int error : {ENETUNREACH, EHOSTUNREACH, EADDRNOTAVAIL, ECONNREFUSED}) {
    TestListener other(loop);
    failNextConnects(1, error);
    transport.send(other.address(), Message{DiscoveredEnginesRequest{{1}}});
    failNextConnects(0, 0);
    MonotonicTime failed = bootNow();
    CHECK(loop.runUntil([&] {
      transport.send(other.address(), Message{DiscoveredEnginesRequest{{2}}});
      loop.runPending();
      return !other.peers.empty() && !other.peers[0]->received.empty();
    }));
    // The bound matches the length of a lease: a member must not stay unreachable long after the
    // route has returned.
    CHECK(bootNow() - failed < seconds(1));
    ++runs;
  }
}
