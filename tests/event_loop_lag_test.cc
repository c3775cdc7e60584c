#include "io/event_loop_lag.h"

#include "core/broadcast_interval.h"
#include "tests/testing.h"

using namespace peppergate;

TEST_GROUP(LoopLags){};

TEST(LoopLags, ATickOnTimeHasNoDelay) {
  LoopLag lag(milliseconds(50));
  LONGS_EQUAL(0, lag.tick(at(10)).microseconds);
  LONGS_EQUAL(0, lag.tick(at(10.05)).microseconds);
  LONGS_EQUAL(0, lag.tick(at(10.09)).microseconds);
}

TEST(LoopLags, ALateTickReportsItsDelay) {
  LoopLag lag(milliseconds(50));
  lag.tick(at(10));
  LONGS_EQUAL(1'200'000, lag.tick(at(11.25)).microseconds);
  LONGS_EQUAL(0, lag.tick(at(11.3)).microseconds);
}

TEST_GROUP(FleetPaces){};

TEST(FleetPaces, TheRateAtWhichOneMemberReceivesIsBoundedBetweenBothLimits) {
  constexpr BroadcastInterval kPace{milliseconds(100), milliseconds(5), milliseconds(500)};
  auto receivedPerSecond = [&](std::size_t members) {
    return static_cast<double>(members) / inSeconds(kPace.forMembers(members));
  };
  LONGS_EQUAL(100'000, kPace.forMembers(9).microseconds);
  LONGS_EQUAL(405'000, kPace.forMembers(81).microseconds);
  LONGS_EQUAL(500'000, kPace.forMembers(340).microseconds);
  DOUBLES_EQUAL(receivedPerSecond(20), receivedPerSecond(80), 1e-6);
  CHECK(receivedPerSecond(9) < receivedPerSecond(20));
}
