// Broadcast rounds to many receivers, sent in portions.
#include "core/spread_broadcast.h"

#include <map>

#include "tests/testing.h"

using namespace peppergate;

namespace {

std::vector<Address> receivers(int count) {
  std::vector<Address> addresses;
  for (int number = 0; number < count; ++number)
    addresses.push_back({"10.0.0." + std::to_string(number) + ":1"});
  return addresses;
}

Message usageOf(std::uint64_t front) { return EngineUsageNotification{{front}, {}, {}, {}}; }

}  // namespace

TEST_GROUP(SpreadBroadcasts) {
  SpreadBroadcast broadcasts;
  Outbox outbox;
  std::map<Address, std::vector<std::uint64_t>> received;  // by receiver, in order of arrival
  /// Runs one tick and returns the largest number of receivers of one broadcast.
  std::size_t tick(MonotonicTime now) {
    std::size_t largest = 0;
    broadcasts.tick(now, outbox);
    for (const auto& broadcast : commandsOf<Broadcast>(outbox.takeCommands())) {
      largest = std::max(largest, broadcast.to.size());
      for (const auto& to : broadcast.to)
        received[to].push_back(std::get<EngineUsageNotification>(*broadcast.message).router.value);
    }
    return largest;
  }
  std::size_t run(double from, double to) {
    std::size_t largest = 0;
    for (int step = 0; from + 0.05 * step <= to; ++step)
      largest = std::max(largest, tick(at(from + 0.05 * step)));
    return largest;
  }
};

TEST(SpreadBroadcasts, ReachEachReceiverOnceWithinTheSpan) {
  broadcasts.begin(receivers(80), {usageOf(1), usageOf(2)}, seconds(0.8), at(1));
  CHECK(run(1, 1.81) <= 16);
  CHECK(broadcasts.idle());
  LONGS_EQUAL(80, received.size());
  for (const auto& [to, fronts] : received) CHECK(fronts == (std::vector<std::uint64_t>{1, 2}));
}

TEST(SpreadBroadcasts, OnePortionIsSentAtOnce) {
  broadcasts.begin(receivers(8), {usageOf(1)}, seconds(0.5), at(1));
  LONGS_EQUAL(8, tick(at(1)));
  CHECK(broadcasts.idle());
}

TEST(SpreadBroadcasts, RoundsArriveInOrder) {
  broadcasts.begin(receivers(60), {usageOf(1)}, seconds(0.5), at(1));
  run(1, 1.2);
  broadcasts.begin(receivers(60), {usageOf(2)}, seconds(0.5), at(1.2));
  run(1.2, 2);
  CHECK(broadcasts.idle());
  LONGS_EQUAL(60, received.size());
  for (const auto& [to, fronts] : received) CHECK(fronts == (std::vector<std::uint64_t>{1, 2}));
}

TEST(SpreadBroadcasts, ALateTickSendsAllThatIsOverdue) {
  broadcasts.begin(receivers(60), {usageOf(1)}, seconds(0.5), at(1));
  tick(at(1));
  tick(at(3));
  CHECK(broadcasts.idle());
  LONGS_EQUAL(60, received.size());
}

TEST(SpreadBroadcasts, ARoundWithoutReceiversOrMessagesIsDropped) {
  broadcasts.begin({}, {usageOf(1)}, seconds(0.5), at(1));
  broadcasts.begin(receivers(3), {}, seconds(0.5), at(1));
  CHECK(broadcasts.idle());
}
