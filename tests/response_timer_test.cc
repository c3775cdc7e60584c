// Classification of responses as in time or late, and by the target that a late one missed.
#include "requests/response_timer.h"

#include "tests/testing.h"

using namespace peppergate;

namespace {

Route routeWith(Duration target, Duration gapTarget) {
  Route route;
  route.responseTarget = target;
  route.eventGapTarget = gapTarget;
  return route;
}

/// The timing of a request that arrives at 1 s and has events at these times, in seconds.
ResponseTiming timingOf(const Route& route, const std::vector<double>& events) {
  ResponseTimer times;
  times.start(at(1));
  for (double moment : events) times.recordEvent(route, at(moment));
  return times.timing();
}

}  // namespace

TEST_GROUP(ResponseTimings){};

TEST(ResponseTimings, AFirstEventAfterTheTargetIsLate) {
  Route route = routeWith(seconds(1), seconds(0.5));
  CHECK(timingOf(route, {2}) == ResponseTiming::kInTime);
  CHECK(timingOf(route, {2.01}) == ResponseTiming::kLateFirst);
}

TEST(ResponseTimings, ALongPauseIsLateButALateFirstEventTakesPrecedence) {
  Route route = routeWith(seconds(1), seconds(0.5));
  CHECK(timingOf(route, {1.5, 2, 2.5}) == ResponseTiming::kInTime);
  CHECK(timingOf(route, {1.5, 2.1, 2.2}) == ResponseTiming::kLatePause);
  CHECK(timingOf(route, {2.5, 3.5}) == ResponseTiming::kLateFirst);
}

TEST(ResponseTimings, RoutesWithoutTargetsHaveNoLateResponses) {
  CHECK(timingOf(routeWith({}, {}), {9, 20}) == ResponseTiming::kInTime);
}

TEST(ResponseTimings, CounterNamesContainUrgencyAndReason) {
  STRCMP_EQUAL("answers.2.late_pause", responseCounter(ResponseTiming::kLatePause, 2).c_str());
  STRCMP_EQUAL("answers.0.in_time", responseCounter(ResponseTiming::kInTime, 0).c_str());
}
