// Outlier detection and load estimates of the engine registry: which engines are ejected, how many
// at once, and how they return.
#include "engines/engine_registry.h"

#include <algorithm>
#include <cmath>

#include "tests/testing.h"

using namespace peppergate;

namespace {

std::vector<Engine> makeEngines(int count) {
  std::vector<Engine> engines;
  for (int index = 0; index < count; ++index) {
    Engine engine;
    engine.id = {"e" + std::to_string(100 + index)};
    engine.service = {"s"};
    engine.address = {"a" + std::to_string(index)};
    engine.slots = 8;
    engine.models[{"m"}] = {1};
    engines.push_back(engine);
  }
  return engines;
}

struct RegistryFixture {
  explicit RegistryFixture(int count = 6) {
    registry.tick(at(0));
    registry.update(makeEngines(count), {1}, at(0));
  }
  void end(const std::string& id, AttemptOutcome outcome, double when) {
    registry.tick(at(when));
    registry.recordAttemptSent({id}, 100);
    registry.recordAttemptEnded({id}, outcome, 100, outcome == AttemptOutcome::kSuccess, at(when));
  }
  bool isUsable(const std::string& id, double when) {
    return registry.usable(*registry.find({id}), at(when));
  }
  std::size_t usableCount(double when) {
    return static_cast<std::size_t>(std::ranges::count_if(
        registry.enginesOf({"s"}),
        [&](const EngineState* engine) { return registry.usable(*engine, at(when)); }));
  }
  Options options;
  EngineRegistry registry{options};
};

/// Ends of attempts at one engine, "e100" of six, and whether it is usable at a time after them.
struct AttemptEnding {
  AttemptOutcome outcome;
  double when;
};
struct Row {
  const char* name;
  std::vector<AttemptEnding> endings;
  double when;
  bool usable;
};

}  // namespace

TEST_GROUP(EnginesBook){};

TEST(EnginesBook, EjectsEnginesByTheOutcomeOfAttempts) {
  using enum AttemptOutcome;
  const std::vector<Row> rows{
      {"no attempts", {}, 1, true},
      {"one connection failure ejects", {{kUnreachable, 1}}, 1.2, false},
      {"usable again after 0.3 s", {{kUnreachable, 1}}, 1.35, true},
      {"a second connection failure ejects for 0.6 s",
       {{kUnreachable, 1}, {kUnreachable, 1.4}},
       1.9,
       false},
      {"usable again after the second ejection",
       {{kUnreachable, 1}, {kUnreachable, 1.4}},
       2.05,
       true},
      {"a success resets the ejection time",
       {{kUnreachable, 1}, {kSuccess, 1.4}, {kUnreachable, 1.5}},
       1.85,
       true},
      {"simultaneous failures count once",
       {{kUnreachable, 1}, {kUnreachable, 1.01}, {kUnreachable, 1.02}},
       1.35,
       true},
      {"one broken response does not eject", {{kConnectionBroken, 1}}, 1.01, true},
      {"two consecutive failures eject",
       {{kConnectionBroken, 1}, {kInvalidResponse, 1.5}},
       1.6,
       false},
      {"usable again after two consecutive failures",
       {{kConnectionBroken, 1}, {kTimeout, 1.5}},
       2.05,
       true},
      {"a success between two failures",
       {{kConnectionBroken, 1}, {kSuccess, 1.2}, {kConnectionBroken, 1.5}},
       1.6,
       true},
      {"two failures too far apart", {{kConnectionBroken, 1}, {kConnectionBroken, 6.5}}, 6.6, true},
      {"a failure after the return ejects for 1 s",
       {{kConnectionBroken, 1}, {kConnectionBroken, 1.1}, {kConnectionBroken, 1.7}},
       2.6,
       false},
      {"usable again after 1 s",
       {{kConnectionBroken, 1}, {kConnectionBroken, 1.1}, {kConnectionBroken, 1.7}},
       2.75,
       true},
      {"a full engine is skipped briefly", {{kAtCapacity, 1}}, 1.04, false},
      {"a full engine is usable again soon", {{kAtCapacity, 1}}, 1.16, true},
      {"a full engine counts as no failure",
       {{kConnectionBroken, 1}, {kAtCapacity, 1.1}, {kAtCapacity, 1.3}, {kAtCapacity, 1.5}},
       1.7,
       true},
      {"client disconnects count as no failure",
       {{kClientDisconnected, 1}, {kClientDisconnected, 1}},
       1.01,
       true},
      {"another engine at the address", {{kWrongEngine, 1}}, 4, false},
  };
  for (const auto& row : rows) {
    RegistryFixture scene;
    for (const auto& end : row.endings) scene.end("e100", end.outcome, end.when);
    CHECK_TEXT(scene.isUsable("e100", row.when) == row.usable, row.name);
  }
}

TEST(EnginesBook, EjectionTimesGrowToAtMostFiveSeconds) {
  for (AttemptOutcome how : {AttemptOutcome::kUnreachable, AttemptOutcome::kConnectionBroken}) {
    RegistryFixture scene;
    double when = 1;
    for (int turn = 0; turn < 12; ++turn) {
      scene.end("e100", how, when);
      while (!scene.isUsable("e100", when)) when += 0.01;
    }
    double before = when;
    scene.end("e100", how, when);
    while (!scene.isUsable("e100", when)) when += 0.01;
    CHECK(when - before > 4.5 && when - before < 5.1);
  }
}

TEST(EnginesBook, AnEjectedEngineReturnsWithOneTrialRequest) {
  struct Turn {
    const char* name;
    void (*then)(EngineRegistry&);
    bool up;
  };
  const EngineId id{"e100"};
  constexpr std::array<Turn, 4> kTurns{{
      {"in progress", [](EngineRegistry&) {}, false},
      {"first event",
       [](EngineRegistry& book) { book.recordFirstEvent({"e100"}, 10, milliseconds(50)); }, true},
      {"complete",
       [](EngineRegistry& book) {
         book.recordAttemptEnded({"e100"}, AttemptOutcome::kSuccess, 10, true, at(1.6));
       },
       true},
      {"broken",
       [](EngineRegistry& book) {
         book.recordAttemptEnded({"e100"}, AttemptOutcome::kConnectionBroken, 10, false, at(1.6));
       },
       false},
  }};
  for (const auto& turn : kTurns) {
    RegistryFixture scene;
    scene.end("e100", AttemptOutcome::kConnectionBroken, 1);
    scene.end("e100", AttemptOutcome::kConnectionBroken, 1);
    CHECK(scene.isUsable("e100", 1.55));
    scene.registry.tick(at(1.55));
    scene.registry.recordAttemptSent(id, 10);
    CHECK(!scene.isUsable("e100", 1.56));  // only one request at a time
    turn.then(scene.registry);
    CHECK_TEXT(scene.isUsable("e100", 1.65) == turn.up, turn.name);
  }
  RegistryFixture scene;  // a trial without any outcome allows another one after a while
  scene.end("e100", AttemptOutcome::kUnreachable, 1);
  scene.registry.tick(at(1.5));
  scene.registry.recordAttemptSent(id, 10);
  CHECK(!scene.isUsable("e100", 3.4));
  CHECK(scene.isUsable("e100", 3.6));
}

TEST(EnginesBook, RequestFailuresEjectAtMostHalfOfTheEngines) {
  struct Case {
    int engines;
    std::size_t up;
  };
  for (const auto& one : {Case{1, 1}, Case{2, 1}, Case{3, 2}, Case{6, 3}, Case{18, 9}}) {
    RegistryFixture scene(one.engines);
    for (int turn = 0; turn < 5; ++turn)
      for (int index = 0; index < one.engines; ++index)
        scene.end("e" + std::to_string(100 + index), AttemptOutcome::kConnectionBroken, 1);
    LONGS_EQUAL(one.up, scene.usableCount(1.01));
  }
}

TEST(EnginesBook, ConnectionFailuresEjectAllEnginesButOne) {
  RegistryFixture scene(4);
  for (int index = 0; index < 4; ++index)
    scene.end("e" + std::to_string(100 + index), AttemptOutcome::kUnreachable, 1 + 0.01 * index);
  LONGS_EQUAL(1, scene.usableCount(1.05));
  CHECK(scene.isUsable("e100", 1.05));  // the least recently failed engine
  scene.end("e100", AttemptOutcome::kUnreachable, 1.06);
  LONGS_EQUAL(1, scene.usableCount(1.07));
  CHECK(scene.isUsable("e101", 1.07));
  LONGS_EQUAL(4, scene.usableCount(1.4));
}

TEST(EnginesBook, FullEnginesAreNotUsedAsALastResort) {
  RegistryFixture scene(2);
  scene.end("e100", AttemptOutcome::kAtCapacity, 1);
  scene.end("e101", AttemptOutcome::kAtCapacity, 1);
  LONGS_EQUAL(0, scene.usableCount(1.03));
  LONGS_EQUAL(2, scene.usableCount(1.16));
}

TEST(EnginesBook, OneRoutersReportsAloneDoNotEject) {
  const Address first{"f1"}, second{"f2"};
  const EngineFailureReport note{{"e100"}, 3, 0, true};
  RegistryFixture alone;
  for (int turn = 0; turn < 5; ++turn) alone.registry.handle(first, note, at(1 + 0.1 * turn));
  CHECK(alone.isUsable("e100", 1.6));
  RegistryFixture two;
  two.registry.handle(first, note, at(1));
  two.registry.handle(second, note, at(1.5));
  CHECK(!two.isUsable("e100", 1.6));
  CHECK(two.isUsable("e100", 2.1));
  RegistryFixture late;
  late.registry.handle(first, note, at(1));
  late.registry.handle(second, note, at(3.5));
  CHECK(late.isUsable("e100", 3.6));
  RegistryFixture own;
  own.end("e100", AttemptOutcome::kConnectionBroken, 1);
  own.registry.handle(first, note, at(1.2));
  CHECK(!own.isUsable("e100", 1.3));
  RegistryFixture reachable;  // request failures at a reachable engine follow the same rule
  for (int turn = 0; turn < 5; ++turn)
    reachable.registry.handle(first, {{"e100"}, 3, 0, false}, at(1 + 0.1 * turn));
  CHECK(reachable.isUsable("e100", 1.6));
  reachable.registry.handle(second, {{"e100"}, 3, 0, false}, at(1.6));
  CHECK(!reachable.isUsable("e100", 1.7));
}

TEST(EnginesBook, DrainingLoadingAndUnlistedEnginesAreNotUsed) {
  RegistryFixture scene(3);
  auto engines = makeEngines(3);
  engines[0].draining = true;
  engines.pop_back();
  scene.registry.update(engines, {2}, at(1));
  CHECK(!scene.isUsable("e100", 1));
  CHECK(scene.isUsable("e101", 1));
  CHECK(scene.registry.find({"e102"}) == nullptr);
  LONGS_EQUAL(2, scene.registry.enginesOf({"s"}).size());
  CHECK(scene.registry.enginesOf({"other"}).empty());
  scene.registry.setLoading({{"e101"}}, at(1));
  CHECK(!scene.isUsable("e101", 1));
  scene.registry.update(engines, {3}, at(1.1));
  CHECK(!scene.isUsable("e101", 1.1));  // until the loading set changes
  scene.registry.setLoading({}, at(1.2));
  CHECK(scene.isUsable("e101", 1.2));
}

TEST(EnginesBook, AnEngineWithAReusedAddressReturnsWithALaterList) {
  RegistryFixture scene(3);
  scene.end("e100", AttemptOutcome::kWrongEngine, 1);
  scene.registry.update(makeEngines(3), {2}, at(1.2));  // may be as outdated as the address
  CHECK(!scene.isUsable("e100", 1.3));
  scene.registry.update(makeEngines(3), {3}, at(2.5));
  CHECK(scene.isUsable("e100", 2.6));
}

TEST(EnginesBook, ReportedLoadIsCorrectedByAttemptsAndAges) {
  RegistryFixture scene;
  const EngineId id{"e100"};
  const EngineState& engine = *scene.registry.find(id);
  scene.registry.recordAttemptSent(id, 1000);
  DOUBLES_EQUAL(1, scene.registry.runningRequests(engine, at(1)), 0.01);
  scene.registry.recordLoad(id, {10, 2, 8}, at(1));
  DOUBLES_EQUAL(12, scene.registry.runningRequests(engine, at(1)), 0.01);
  scene.registry.recordAttemptSent(id, 1000);
  DOUBLES_EQUAL(13, scene.registry.runningRequests(engine, at(1)), 0.01);
  scene.registry.recordAttemptEnded(id, AttemptOutcome::kSuccess, 1000, true, at(1));
  DOUBLES_EQUAL(12, scene.registry.runningRequests(engine, at(1)), 0.01);
  double half = scene.registry.runningRequests(engine, at(2));
  CHECK(half > 1 && half < 12);
  DOUBLES_EQUAL(1, scene.registry.runningRequests(engine, at(4)), 0.01);
}

TEST(EnginesBook, LoadReportsOfOtherRoutersAddUpAndExpire) {
  RegistryFixture scene;
  const EngineState& engine = *scene.registry.find({"e100"});
  scene.registry.handle(EngineUsageNotification{{7}, {{"e100"}, {"e101"}}, {4, 1}, {2000, 0}},
                        at(1));
  scene.registry.handle(EngineUsageNotification{{8}, {{"e100"}}, {1}, {300}}, at(1.5));
  DOUBLES_EQUAL(5, scene.registry.runningRequests(engine, at(2)), 0.01);
  // Reported at 1 s and at 1.5 s; the reported prefill decays from then on.
  scene.registry.recordAttemptSent({"e105"}, 100);
  scene.registry.recordFirstEvent({"e105"}, 100, seconds(0.5));
  DOUBLES_EQUAL(2000 * std::exp(-1.0) + 300, scene.registry.queuedPrefillTokens(engine, at(1.5)),
                0.01);
  DOUBLES_EQUAL(2000 * std::exp(-2.0) + 300 * std::exp(-1.0),
                scene.registry.queuedPrefillTokens(engine, at(2)), 0.01);
  scene.registry.handle(EngineUsageNotification{{7}, {{"e100"}}, {2}, {0}}, at(2));
  DOUBLES_EQUAL(3, scene.registry.runningRequests(engine, at(2)), 0.01);
  scene.registry.update(makeEngines(6), {2}, at(2.1));
  DOUBLES_EQUAL(3, scene.registry.runningRequests(engine, at(2.2)), 0.01);
  scene.registry.tick(at(3.7));
  DOUBLES_EQUAL(2, scene.registry.runningRequests(engine, at(3.7)), 0.01);
  scene.registry.tick(at(4.2));
  DOUBLES_EQUAL(0, scene.registry.runningRequests(engine, at(4.2)), 0.01);
  scene.registry.handle(EngineUsageNotification{{7}, {{"e100"}, {"e101"}}, {1}, {}},
                        at(5));  // unequal lengths
  DOUBLES_EQUAL(0, scene.registry.runningRequests(engine, at(5)), 0.01);
}

TEST(EnginesBook, OwnPrefillCountsUntilTheFirstEvent) {
  RegistryFixture scene;
  const EngineState& engine = *scene.registry.find({"e100"});
  scene.registry.recordAttemptSent({"e100"}, 700);
  DOUBLES_EQUAL(700, scene.registry.queuedPrefillTokens(engine, at(5)), 0.01);
  scene.registry.recordFirstEvent({"e100"}, 700, seconds(0.2));
  DOUBLES_EQUAL(0, scene.registry.queuedPrefillTokens(engine, at(5)), 0.01);
}

TEST(EnginesBook, FailuresReportedByTwoRoutersEjectAnEngine) {
  RegistryFixture scene;
  const EngineFailureReport failed{{"e100"}, 1, 4, false};
  scene.registry.handle({"router1"}, failed, at(1));
  CHECK(scene.isUsable("e100", 1));
  scene.registry.handle({"router1"}, failed, at(1.5));  // a repeat by the same router
  CHECK(scene.isUsable("e100", 1.5));
  scene.registry.handle({"router2"}, failed, at(2));
  CHECK(!scene.isUsable("e100", 2) && !scene.isUsable("e100", 3.9));
  CHECK(scene.isUsable("e100", 4.1));
}

TEST(EnginesBook, OneReportAndOneOwnFailureEjectAnEngine) {
  RegistryFixture scene;
  scene.end("e100", AttemptOutcome::kConnectionBroken, 1);
  CHECK(scene.isUsable("e100", 1));
  scene.registry.handle({"router1"}, EngineFailureReport{{"e100"}, 1, 4, false}, at(1.5));
  CHECK(!scene.isUsable("e100", 1.5));
}

TEST(EnginesBook, TimeoutsAreNotReportedToOtherRouters) {
  RegistryFixture scene;
  scene.end("e100", AttemptOutcome::kTimeout, 1);
  CHECK(scene.registry.takeFailureReports().empty());
  scene.end("e100", AttemptOutcome::kConnectionBroken, 1.1);
  auto troubles = scene.registry.takeFailureReports();
  LONGS_EQUAL(1, troubles.size());
  LONGS_EQUAL(1, troubles[0].failures);
}

TEST(EnginesBook, ReportsWithoutFailuresDoNotEject) {
  RegistryFixture scene;
  for (const char* from : {"router1", "router2", "router3"})
    scene.registry.handle({from}, EngineFailureReport{{"e100"}, 0, 9, false}, at(1));
  CHECK(scene.isUsable("e100", 1));
}

TEST(EnginesBook, ReportsAreSentOnChangeAndRepeated) {
  RegistryFixture scene;
  CHECK(!scene.registry.loadReport({1}));
  scene.registry.recordAttemptSent({"e100"}, 50);
  CHECK(scene.registry.loadReport({1}).has_value());
  CHECK(!scene.registry.loadReport({1}));
  CHECK(scene.registry.loadReport({1}).has_value());  // repeated before others drop it
  scene.registry.recordAttemptEnded({"e100"}, AttemptOutcome::kSuccess, 50, false, at(1));
  CHECK(scene.registry.loadReport({1}).has_value());  // reports that nothing is left
  for (int turn = 0; turn < 5; ++turn) CHECK(!scene.registry.loadReport({1}));
  scene.end("e101", AttemptOutcome::kUnreachable, 1);
  auto troubles = scene.registry.takeFailureReports();
  LONGS_EQUAL(1, troubles.size());
  CHECK(troubles[0].engine == EngineId{"e101"} && troubles[0].unreachable);
  CHECK(scene.registry.takeFailureReports().empty());
}

TEST(EnginesBook, WeightsVersionsNeverDecrease) {
  RegistryFixture scene;
  scene.registry.recordVersion({"e100"}, {"m"}, {3});
  scene.registry.recordVersion({"e100"}, {"m"}, {2});
  CHECK(scene.registry.find({"e100"})->models.at({"m"}) == WeightsVersion{3});
  scene.registry.update(makeEngines(6), {2}, at(1));  // the list is outdated
  CHECK(scene.registry.find({"e100"})->models.at({"m"}) == WeightsVersion{3});
}

TEST(EnginesBook, RemovedEnginesAreIgnored) {
  RegistryFixture scene;
  scene.registry.recordAttemptSent({"e100"}, 10);
  scene.registry.update({}, {2}, at(1));
  scene.registry.recordAttemptEnded({"e100"}, AttemptOutcome::kConnectionBroken, 10, false, at(1));
  scene.registry.recordFirstEvent({"e100"}, 10, milliseconds(3));
  scene.registry.recordLoad({"e100"}, {}, at(1));
  CHECK(scene.registry.loadReport({1}) == std::nullopt);
  scene.registry.update(makeEngines(1), {3}, at(2));
  DOUBLES_EQUAL(0, scene.registry.runningRequests(*scene.registry.find({"e100"}), at(2)), 0.01);
}
