// Outlier detection and load estimates of the engine registry: which engines are ejected, how many
// at once, and how they return.
#include "engines/engine_book.h"

#include <algorithm>
#include <cmath>

#include "tests/testing.h"

using namespace peppergate;

namespace {

std::vector<Engine> some(int count) {
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

struct Scene {
  explicit Scene(int count = 6) {
    book.tick(at(0));
    book.take(some(count), {1}, at(0));
  }
  void end(const std::string& id, AttemptEnd how, double when) {
    book.tick(at(when));
    book.sent({id}, 100);
    book.ended({id}, how, 100, how == AttemptEnd::kGood, at(when));
  }
  bool up(const std::string& id, double when) { return book.usable(*book.find({id}), at(when)); }
  std::size_t upCount(double when) {
    return static_cast<std::size_t>(std::ranges::count_if(
        book.of({"s"}), [&](const EngineState* engine) { return book.usable(*engine, at(when)); }));
  }
  Options options;
  EngineBook book{options};
};

/// Ends of attempts at one engine, "e100" of six, and whether it is usable at a time after them.
struct Ended {
  AttemptEnd how;
  double when;
};
struct Row {
  const char* name;
  std::vector<Ended> ends;
  double when;
  bool up;
};

}  // namespace

TEST_GROUP(EnginesBook){};

TEST(EnginesBook, EjectsEnginesByTheOutcomeOfAttempts) {
  using enum AttemptEnd;
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
       {{kUnreachable, 1}, {kGood, 1.4}, {kUnreachable, 1.5}},
       1.85,
       true},
      {"simultaneous failures count once",
       {{kUnreachable, 1}, {kUnreachable, 1.01}, {kUnreachable, 1.02}},
       1.35,
       true},
      {"one broken response does not eject", {{kBroken, 1}}, 1.01, true},
      {"two consecutive failures eject", {{kBroken, 1}, {kGarbled, 1.5}}, 1.6, false},
      {"usable again after two consecutive failures", {{kBroken, 1}, {kSilent, 1.5}}, 2.05, true},
      {"a success between two failures", {{kBroken, 1}, {kGood, 1.2}, {kBroken, 1.5}}, 1.6, true},
      {"two failures too far apart", {{kBroken, 1}, {kBroken, 6.5}}, 6.6, true},
      {"a failure after the return ejects for 1 s",
       {{kBroken, 1}, {kBroken, 1.1}, {kBroken, 1.7}},
       2.6,
       false},
      {"usable again after 1 s", {{kBroken, 1}, {kBroken, 1.1}, {kBroken, 1.7}}, 2.75, true},
      {"a full engine is skipped briefly", {{kFull, 1}}, 1.04, false},
      {"a full engine is usable again soon", {{kFull, 1}}, 1.16, true},
      {"a full engine counts as no failure",
       {{kBroken, 1}, {kFull, 1.1}, {kFull, 1.3}, {kFull, 1.5}},
       1.7,
       true},
      {"client disconnects count as no failure", {{kClientGone, 1}, {kClientGone, 1}}, 1.01, true},
      {"another engine at the address", {{kOtherEngine, 1}}, 4, false},
  };
  for (const auto& row : rows) {
    Scene scene;
    for (const auto& end : row.ends) scene.end("e100", end.how, end.when);
    CHECK_TEXT(scene.up("e100", row.when) == row.up, row.name);
  }
}

TEST(EnginesBook, EjectionTimesGrowToAtMostFiveSeconds) {
  for (AttemptEnd how : {AttemptEnd::kUnreachable, AttemptEnd::kBroken}) {
    Scene scene;
    double when = 1;
    for (int turn = 0; turn < 12; ++turn) {
      scene.end("e100", how, when);
      while (!scene.up("e100", when)) when += 0.01;
    }
    double before = when;
    scene.end("e100", how, when);
    while (!scene.up("e100", when)) when += 0.01;
    CHECK(when - before > 4.5 && when - before < 5.1);
  }
}

TEST(EnginesBook, AnEjectedEngineReturnsWithOneTrialRequest) {
  struct Turn {
    const char* name;
    void (*then)(EngineBook&);
    bool up;
  };
  const EngineId id{"e100"};
  constexpr std::array<Turn, 4> kTurns{{
      {"in progress", [](EngineBook&) {}, false},
      {"first event", [](EngineBook& book) { book.firstEvent({"e100"}, 10, milliseconds(50)); },
       true},
      {"complete",
       [](EngineBook& book) { book.ended({"e100"}, AttemptEnd::kGood, 10, true, at(1.6)); }, true},
      {"broken",
       [](EngineBook& book) { book.ended({"e100"}, AttemptEnd::kBroken, 10, false, at(1.6)); },
       false},
  }};
  for (const auto& turn : kTurns) {
    Scene scene;
    scene.end("e100", AttemptEnd::kBroken, 1);
    scene.end("e100", AttemptEnd::kBroken, 1);
    CHECK(scene.up("e100", 1.55));
    scene.book.tick(at(1.55));
    scene.book.sent(id, 10);
    CHECK(!scene.up("e100", 1.56));  // only one request at a time
    turn.then(scene.book);
    CHECK_TEXT(scene.up("e100", 1.65) == turn.up, turn.name);
  }
  Scene scene;  // a trial without any outcome allows another one after a while
  scene.end("e100", AttemptEnd::kUnreachable, 1);
  scene.book.tick(at(1.5));
  scene.book.sent(id, 10);
  CHECK(!scene.up("e100", 3.4));
  CHECK(scene.up("e100", 3.6));
}

TEST(EnginesBook, RequestFailuresEjectAtMostHalfOfTheEngines) {
  struct Case {
    int engines;
    std::size_t up;
  };
  for (const auto& one : {Case{1, 1}, Case{2, 1}, Case{3, 2}, Case{6, 3}, Case{18, 9}}) {
    Scene scene(one.engines);
    for (int turn = 0; turn < 5; ++turn)
      for (int index = 0; index < one.engines; ++index)
        scene.end("e" + std::to_string(100 + index), AttemptEnd::kBroken, 1);
    LONGS_EQUAL(one.up, scene.upCount(1.01));
  }
}

TEST(EnginesBook, ConnectionFailuresEjectAllEnginesButOne) {
  Scene scene(4);
  for (int index = 0; index < 4; ++index)
    scene.end("e" + std::to_string(100 + index), AttemptEnd::kUnreachable, 1 + 0.01 * index);
  LONGS_EQUAL(1, scene.upCount(1.05));
  CHECK(scene.up("e100", 1.05));  // the least recently failed engine
  scene.end("e100", AttemptEnd::kUnreachable, 1.06);
  LONGS_EQUAL(1, scene.upCount(1.07));
  CHECK(scene.up("e101", 1.07));
  LONGS_EQUAL(4, scene.upCount(1.4));
}

TEST(EnginesBook, FullEnginesAreNotUsedAsALastResort) {
  Scene scene(2);
  scene.end("e100", AttemptEnd::kFull, 1);
  scene.end("e101", AttemptEnd::kFull, 1);
  LONGS_EQUAL(0, scene.upCount(1.03));
  LONGS_EQUAL(2, scene.upCount(1.16));
}

TEST(EnginesBook, OneRoutersReportsAloneDoNotEject) {
  const Address first{"f1"}, second{"f2"};
  const EngineTrouble note{{"e100"}, 3, 0, true};
  Scene alone;
  for (int turn = 0; turn < 5; ++turn) alone.book.hear(first, note, at(1 + 0.1 * turn));
  CHECK(alone.up("e100", 1.6));
  Scene two;
  two.book.hear(first, note, at(1));
  two.book.hear(second, note, at(1.5));
  CHECK(!two.up("e100", 1.6));
  CHECK(two.up("e100", 2.1));
  Scene late;
  late.book.hear(first, note, at(1));
  late.book.hear(second, note, at(3.5));
  CHECK(late.up("e100", 3.6));
  Scene own;
  own.end("e100", AttemptEnd::kBroken, 1);
  own.book.hear(first, note, at(1.2));
  CHECK(!own.up("e100", 1.3));
  Scene reachable;  // request failures at a reachable engine follow the same rule
  for (int turn = 0; turn < 5; ++turn)
    reachable.book.hear(first, {{"e100"}, 3, 0, false}, at(1 + 0.1 * turn));
  CHECK(reachable.up("e100", 1.6));
  reachable.book.hear(second, {{"e100"}, 3, 0, false}, at(1.6));
  CHECK(!reachable.up("e100", 1.7));
}

TEST(EnginesBook, DrainingLoadingAndUnlistedEnginesAreNotUsed) {
  Scene scene(3);
  auto engines = some(3);
  engines[0].draining = true;
  engines.pop_back();
  scene.book.take(engines, {2}, at(1));
  CHECK(!scene.up("e100", 1));
  CHECK(scene.up("e101", 1));
  CHECK(scene.book.find({"e102"}) == nullptr);
  LONGS_EQUAL(2, scene.book.of({"s"}).size());
  CHECK(scene.book.of({"other"}).empty());
  scene.book.loading({{"e101"}}, at(1));
  CHECK(!scene.up("e101", 1));
  scene.book.take(engines, {3}, at(1.1));
  CHECK(!scene.up("e101", 1.1));  // until the loading set changes
  scene.book.loading({}, at(1.2));
  CHECK(scene.up("e101", 1.2));
}

TEST(EnginesBook, AnEngineWithAReusedAddressReturnsWithALaterList) {
  Scene scene(3);
  scene.end("e100", AttemptEnd::kOtherEngine, 1);
  scene.book.take(some(3), {2}, at(1.2));  // may be as outdated as the address
  CHECK(!scene.up("e100", 1.3));
  scene.book.take(some(3), {3}, at(2.5));
  CHECK(scene.up("e100", 2.6));
}

TEST(EnginesBook, ReportedLoadIsCorrectedByAttemptsAndAges) {
  Scene scene;
  const EngineId id{"e100"};
  const EngineState& engine = *scene.book.find(id);
  scene.book.sent(id, 1000);
  DOUBLES_EQUAL(1, scene.book.running(engine, at(1)), 0.01);
  scene.book.told(id, {10, 2, 8}, at(1));
  DOUBLES_EQUAL(12, scene.book.running(engine, at(1)), 0.01);
  scene.book.sent(id, 1000);
  DOUBLES_EQUAL(13, scene.book.running(engine, at(1)), 0.01);
  scene.book.ended(id, AttemptEnd::kGood, 1000, true, at(1));
  DOUBLES_EQUAL(12, scene.book.running(engine, at(1)), 0.01);
  double half = scene.book.running(engine, at(2));
  CHECK(half > 1 && half < 12);
  DOUBLES_EQUAL(1, scene.book.running(engine, at(4)), 0.01);
}

TEST(EnginesBook, LoadReportsOfOtherRoutersAddUpAndExpire) {
  Scene scene;
  const EngineState& engine = *scene.book.find({"e100"});
  scene.book.hear(EngineUse{{7}, {{"e100"}, {"e101"}}, {4, 1}, {2000, 0}}, at(1));
  scene.book.hear(EngineUse{{8}, {{"e100"}}, {1}, {300}}, at(1.5));
  DOUBLES_EQUAL(5, scene.book.running(engine, at(2)), 0.01);
  // Reported at 1 s and at 1.5 s; the reported prefill decays from then on.
  scene.book.sent({"e105"}, 100);
  scene.book.firstEvent({"e105"}, 100, seconds(0.5));
  DOUBLES_EQUAL(2000 * std::exp(-1.0) + 300, scene.book.queueTokens(engine, at(1.5)), 0.01);
  DOUBLES_EQUAL(2000 * std::exp(-2.0) + 300 * std::exp(-1.0), scene.book.queueTokens(engine, at(2)),
                0.01);
  scene.book.hear(EngineUse{{7}, {{"e100"}}, {2}, {0}}, at(2));
  DOUBLES_EQUAL(3, scene.book.running(engine, at(2)), 0.01);
  scene.book.take(some(6), {2}, at(2.1));
  DOUBLES_EQUAL(3, scene.book.running(engine, at(2.2)), 0.01);
  scene.book.tick(at(3.7));
  DOUBLES_EQUAL(2, scene.book.running(engine, at(3.7)), 0.01);
  scene.book.tick(at(4.2));
  DOUBLES_EQUAL(0, scene.book.running(engine, at(4.2)), 0.01);
  scene.book.hear(EngineUse{{7}, {{"e100"}, {"e101"}}, {1}, {}}, at(5));  // unequal lengths
  DOUBLES_EQUAL(0, scene.book.running(engine, at(5)), 0.01);
}

TEST(EnginesBook, OwnPrefillCountsUntilTheFirstEvent) {
  Scene scene;
  const EngineState& engine = *scene.book.find({"e100"});
  scene.book.sent({"e100"}, 700);
  DOUBLES_EQUAL(700, scene.book.queueTokens(engine, at(5)), 0.01);
  scene.book.firstEvent({"e100"}, 700, seconds(0.2));
  DOUBLES_EQUAL(0, scene.book.queueTokens(engine, at(5)), 0.01);
}

TEST(EnginesBook, FailuresReportedByTwoRoutersEjectAnEngine) {
  Scene scene;
  const EngineTrouble failed{{"e100"}, 1, 4, false};
  scene.book.hear({"router1"}, failed, at(1));
  CHECK(scene.up("e100", 1));
  scene.book.hear({"router1"}, failed, at(1.5));  // a repeat by the same router
  CHECK(scene.up("e100", 1.5));
  scene.book.hear({"router2"}, failed, at(2));
  CHECK(!scene.up("e100", 2) && !scene.up("e100", 3.9));
  CHECK(scene.up("e100", 4.1));
}

TEST(EnginesBook, OneReportAndOneOwnFailureEjectAnEngine) {
  Scene scene;
  scene.end("e100", AttemptEnd::kBroken, 1);
  CHECK(scene.up("e100", 1));
  scene.book.hear({"router1"}, EngineTrouble{{"e100"}, 1, 4, false}, at(1.5));
  CHECK(!scene.up("e100", 1.5));
}

TEST(EnginesBook, TimeoutsAreNotReportedToOtherRouters) {
  Scene scene;
  scene.end("e100", AttemptEnd::kSilent, 1);
  CHECK(scene.book.troubles().empty());
  scene.end("e100", AttemptEnd::kBroken, 1.1);
  auto troubles = scene.book.troubles();
  LONGS_EQUAL(1, troubles.size());
  LONGS_EQUAL(1, troubles[0].failures);
}

TEST(EnginesBook, ReportsWithoutFailuresDoNotEject) {
  Scene scene;
  for (const char* from : {"router1", "router2", "router3"})
    scene.book.hear({from}, EngineTrouble{{"e100"}, 0, 9, false}, at(1));
  CHECK(scene.up("e100", 1));
}

TEST(EnginesBook, ReportsAreSentOnChangeAndRepeated) {
  Scene scene;
  CHECK(!scene.book.use({1}));
  scene.book.sent({"e100"}, 50);
  CHECK(scene.book.use({1}).has_value());
  CHECK(!scene.book.use({1}));
  CHECK(scene.book.use({1}).has_value());  // repeated before others drop it
  scene.book.ended({"e100"}, AttemptEnd::kGood, 50, false, at(1));
  CHECK(scene.book.use({1}).has_value());  // reports that nothing is left
  for (int turn = 0; turn < 5; ++turn) CHECK(!scene.book.use({1}));
  scene.end("e101", AttemptEnd::kUnreachable, 1);
  auto troubles = scene.book.troubles();
  LONGS_EQUAL(1, troubles.size());
  CHECK(troubles[0].engine == EngineId{"e101"} && troubles[0].unreachable);
  CHECK(scene.book.troubles().empty());
}

TEST(EnginesBook, WeightsVersionsNeverDecrease) {
  Scene scene;
  scene.book.toldVersion({"e100"}, {"m"}, {3});
  scene.book.toldVersion({"e100"}, {"m"}, {2});
  CHECK(scene.book.find({"e100"})->models.at({"m"}) == WeightsVersion{3});
  scene.book.take(some(6), {2}, at(1));  // the list is outdated
  CHECK(scene.book.find({"e100"})->models.at({"m"}) == WeightsVersion{3});
}

TEST(EnginesBook, RemovedEnginesAreIgnored) {
  Scene scene;
  scene.book.sent({"e100"}, 10);
  scene.book.take({}, {2}, at(1));
  scene.book.ended({"e100"}, AttemptEnd::kBroken, 10, false, at(1));
  scene.book.firstEvent({"e100"}, 10, milliseconds(3));
  scene.book.told({"e100"}, {}, at(1));
  CHECK(scene.book.use({1}) == std::nullopt);
  scene.book.take(some(1), {3}, at(2));
  DOUBLES_EQUAL(0, scene.book.running(*scene.book.find({"e100"}), at(2)), 0.01);
}
