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

Message useOf(std::uint64_t front) { return EngineUse{{front}, {}, {}, {}}; }

}  // namespace

TEST_GROUP(SpreadBroadcasts) {
  SpreadBroadcast spread;
  Outbox outbox;
  std::map<Address, std::vector<std::uint64_t>> got;  // by receiver, in order of arrival
  /// Runs one tick and returns the largest number of receivers of one broadcast.
  std::size_t tick(MonotonicTime now) {
    std::size_t most = 0;
    spread.tick(now, outbox);
    for (const auto& told : taken<Broadcast>(outbox.take())) {
      most = std::max(most, told.to.size());
      for (const auto& to : told.to)
        got[to].push_back(std::get<EngineUse>(*told.message).front.value);
    }
    return most;
  }
  std::size_t run(double from, double to) {
    std::size_t most = 0;
    for (int step = 0; from + 0.05 * step <= to; ++step)
      most = std::max(most, tick(at(from + 0.05 * step)));
    return most;
  }
};

TEST(SpreadBroadcasts, ReachEachReceiverOnceWithinTheSpan) {
  spread.begin(receivers(80), {useOf(1), useOf(2)}, seconds(0.8), at(1));
  CHECK(run(1, 1.81) <= 16);
  CHECK(spread.idle());
  LONGS_EQUAL(80, got.size());
  for (const auto& [to, fronts] : got) CHECK(fronts == (std::vector<std::uint64_t>{1, 2}));
}

TEST(SpreadBroadcasts, OnePortionIsSentAtOnce) {
  spread.begin(receivers(8), {useOf(1)}, seconds(0.5), at(1));
  LONGS_EQUAL(8, tick(at(1)));
  CHECK(spread.idle());
}

TEST(SpreadBroadcasts, RoundsArriveInOrder) {
  spread.begin(receivers(60), {useOf(1)}, seconds(0.5), at(1));
  run(1, 1.2);
  spread.begin(receivers(60), {useOf(2)}, seconds(0.5), at(1.2));
  run(1.2, 2);
  CHECK(spread.idle());
  LONGS_EQUAL(60, got.size());
  for (const auto& [to, fronts] : got) CHECK(fronts == (std::vector<std::uint64_t>{1, 2}));
}

TEST(SpreadBroadcasts, ALateTickSendsAllThatIsOverdue) {
  spread.begin(receivers(60), {useOf(1)}, seconds(0.5), at(1));
  tick(at(1));
  tick(at(3));
  CHECK(spread.idle());
  LONGS_EQUAL(60, got.size());
}

TEST(SpreadBroadcasts, ARoundWithoutReceiversOrMessagesIsDropped) {
  spread.begin({}, {useOf(1)}, seconds(0.5), at(1));
  spread.begin(receivers(3), {}, seconds(0.5), at(1));
  CHECK(spread.idle());
}
