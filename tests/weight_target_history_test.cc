// The history of target versions of weights, and what extends the grace time of older ones: leader
// outages and restarts of control nodes.
#include "engines/weight_target_history.h"

#include "requests/control_restart_detector.h"
#include "requests/leader_outage.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

const ModelName kModel{"llm"};

/// The target versions of one model, recorded when they were set.
struct TargetHistoryFixture {
  WeightTargetHistory history{seconds(12)};
  void setTarget(std::uint64_t version, double time) { record(version, at(time), time); }
  void record(std::uint64_t version, MonotonicTime since, double now) {
    history.record({{kModel, {version}}}, since, at(now));
  }
  MonotonicTime since(std::uint64_t version) const {
    return history.outdatedSince(kModel, {version});
  }
};

}  // namespace

TEST_GROUP(WeightTargetHistory){};

TEST(WeightTargetHistory, AVersionIsOutdatedFromTheFirstNewerTarget) {
  TargetHistoryFixture namings;
  namings.setTarget(2, 1);
  namings.setTarget(3, 5);
  namings.setTarget(7, 9);
  namings.setTarget(7, 11);  // repeated
  CHECK(namings.since(1) == at(1));
  CHECK(namings.since(2) == at(5));
  CHECK(namings.since(3) == at(9));
  CHECK(namings.since(5) == at(9));
  CHECK(namings.since(7) == kForever);
  CHECK(namings.history.outdatedSince({"other"}, {1}) == kForever);
}

TEST(WeightTargetHistory, AnUnknownTimeCountsAsTheEarliest) {
  TargetHistoryFixture namings;
  namings.record(4, kNever, 3);
  CHECK(namings.since(1) == kNever);
  CHECK(namings.since(3) == kNever);
  CHECK(namings.since(4) == kForever);
  // Recorded late, with a time before that of the previous target: times never decrease.
  namings.setTarget(5, 20);
  namings.record(6, at(15), 21);
  CHECK(namings.since(5) == at(20));
}

TEST(WeightTargetHistory, HundredsOfTargetsAreMergedWithoutExtendingTheGraceTime) {
  TargetHistoryFixture namings;
  for (std::uint64_t version = 2; version <= 500; ++version) {
    double now = 0.01 * static_cast<double>(version);
    namings.setTarget(version, now);
    CHECK(namings.history.retainedCount(kModel) <= 64);
    CHECK(namings.since(1) <= at(0.02));
    CHECK(namings.since(version - 1) == at(now));
  }
  for (std::uint64_t version = 1; version < 500; ++version)
    CHECK(namings.since(version) <= at(0.01 * static_cast<double>(version + 1)));
}

TEST(WeightTargetHistory, ExpiredTargetsAreDroppedButStillApply) {
  TargetHistoryFixture namings;
  for (std::uint64_t version = 2; version <= 100; ++version)
    namings.setTarget(version, 10.0 * static_cast<double>(version));
  CHECK(namings.history.retainedCount(kModel) <= 4);
  CHECK(namings.since(1) <= at(1000 - 12));
  CHECK(namings.since(98) == at(990));
  CHECK(namings.since(99) == at(1000));
}

TEST(WeightTargetHistory, PostponingShiftsTheTimesOfAllTargets) {
  TargetHistoryFixture namings;
  namings.record(2, kNever, 1);
  namings.setTarget(3, 4);
  namings.history.postpone(seconds(5));
  CHECK(namings.since(1) == kNever);
  CHECK(namings.since(2) == at(9));
}

TEST(WeightTargetHistory, RestartingMovesEarlierTargetsToTheMoment) {
  TargetHistoryFixture namings;
  namings.record(2, kNever, 1);
  namings.setTarget(3, 4);
  namings.setTarget(4, 30);
  namings.history.restartBefore(at(20));
  CHECK(namings.since(1) == at(20));
  CHECK(namings.since(2) == at(20));
  CHECK(namings.since(3) == at(30));
  namings.history.restartBefore(at(10));  // an earlier failure changes nothing
  CHECK(namings.since(2) == at(20));
}

TEST_GROUP(CoresLives){};

TEST(CoresLives, ANewMemberIdAtAKnownAddressIsARestart) {
  ControlRestartDetector lives;
  MemberRecord first, second;
  first.address = {"10.0.0.1:1"};
  second.address = {"10.0.0.2:1"};
  first.member = {11};
  second.member = {21};
  CHECK_FALSE(lives.detectRestart({}));
  CHECK_FALSE(lives.detectRestart({first}));
  CHECK_FALSE(lives.detectRestart({first, second}));  // discovered later, not restarted
  CHECK_FALSE(lives.detectRestart({second}));         // not reported for a while
  CHECK_FALSE(lives.detectRestart({first, second}));
  MemberRecord again = first;
  again.member = {12};
  CHECK_TRUE(lives.detectRestart({again, second}));
  CHECK_FALSE(lives.detectRestart({first, again, second}));  // the former one is still reported
}

TEST_GROUP(LeaderSilences) {
  LeaderOutage silence;
  /// Ticks every 50 ms with one leader's lease proofs. Returns the total of the periods without a
  /// leader that a new leader ended.
  Duration run(double from, double to, double lastProof, std::uint64_t epoch) {
    Duration ended{};
    for (int tick = 0; from + 0.05 * tick < to; ++tick) {
      double now = from + 0.05 * tick;
      ended = ended + silence.tick(at(lastProof < 0 ? now : lastProof), {epoch}, at(now));
    }
    return ended;
  }
  static constexpr double kProofsCome = -1;
};

TEST(LeaderSilences, ANewLeaderEndsAnOutage) {
  CHECK(run(0, 5, kProofsCome, 1) == Duration{});
  CHECK(run(5, 11, 5, 1) == Duration{});
  Duration ended = run(11, 12, kProofsCome, 2);
  CHECK(ended > seconds(3.8));
  CHECK(ended < seconds(4.2));
}

TEST(LeaderSilences, AChangeOfLeaderWithoutAnOutageAddsNothing) {
  run(0, 5, kProofsCome, 1);
  CHECK(run(5, 20, kProofsCome, 2) == Duration{});
}

TEST(LeaderSilences, TheReturnOfTheSameLeaderAddsNothing) {
  run(0, 5, kProofsCome, 1);
  run(5, 30, 5, 1);
  CHECK(run(30, 31, kProofsCome, 1) == Duration{});
  CHECK(run(31, 40, kProofsCome, 2) == Duration{});
}

TEST(LeaderSilences, PausesOfTheProcessAreNotCounted) {
  run(0, 5, kProofsCome, 1);
  CHECK(silence.tick(at(5), {1}, at(25)) == Duration{});
  CHECK(run(25.05, 25.5, kProofsCome, 2) <= seconds(0.3));
}

TEST(LeaderSilences, TheFirstLeaderEndsNoOutage) {
  run(0, 8, 0, 0);
  CHECK(run(8, 9, kProofsCome, 3) == Duration{});
}
