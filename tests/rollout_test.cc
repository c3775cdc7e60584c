// Weights rollouts over simulated engines: duration, concurrency and the handling of failures.
#include "tests/rollout_simulation.h"

using namespace peppergate;

TEST_GROUP(EnginesRollout){};

TEST(EnginesRollout, EighteenEnginesLoadThreeAtOnceWithinNineSeconds) {
  RolloutSimulation world(18);
  world.run(12);
  CHECK(world.allOnVersion(2));
  CHECK(world.rollout.done());
  CHECK(world.now < at(9));
  LONGS_EQUAL(3, world.maxConcurrentLoads);
  LONGS_EQUAL(18, world.orders);
  for (const auto& [id, engine] : world.engines) CHECK(engine.modes[0] == LoadMode::kDrainRequests);
}

TEST(EnginesRollout, DelayedReportsCauseNoDuplicateOrders) {
  RolloutSimulation world(18);
  world.reportDelay = milliseconds(300);
  world.run(12);
  CHECK(world.allOnVersion(2));
  CHECK(world.rollout.done());
  LONGS_EQUAL(18, world.orders);  // an outdated report causes no duplicate order
  LONGS_EQUAL(3, world.maxConcurrentLoads);
}

TEST(EnginesRollout, ConcurrencyGrowsWhenTimeIsShort) {
  struct Row {
    int engines;
    double load, within;
    double slowing;           // 0: loads don't slow each other; 1: throughput is capped at three
    std::size_t least, most;  // concurrent loads
    double end;               // time by which all have loaded
  };
  constexpr std::array<Row, 6> kRows{{{18, 1.1, 12, 1, 3, 3, 9},
                                      {18, 1.8, 15, 1, 3, 4, 15},
                                      {18, 1.8, 12, 0.5, 4, 6, 12},
                                      {36, 1.1, 12, 0.5, 5, 12, 12},
                                      {18, 1.1, 6, 0.5, 5, 6, 6},
                                      {36, 1.1, 12, 1, 5, 36, 18}}};
  for (const auto& row : kRows) {
    RolloutSimulation world(row.engines);
    std::string name = std::to_string(row.engines) + " of " + std::to_string(row.load) + " in " +
                       std::to_string(row.within) + " s: ";
    world.loadTime = seconds(row.load);
    world.slowdownExponent = row.slowing;
    world.options.weightsWithin = seconds(row.within);
    world.rollout.reload(world.options);
    world.run(40);
    CHECK(world.allOnVersion(2));
    name += std::to_string(world.maxConcurrentLoads) + " concurrent, " +
            std::to_string(inSeconds(world.now - at(0)));
    CHECK_TEXT(world.maxConcurrentLoads >= row.least && world.maxConcurrentLoads <= row.most,
               name.c_str());
    CHECK_TEXT(world.now < at(row.end), name.c_str());
    // An ordered engine starts no request on its old weights.
    for (const auto& [id, engine] : world.engines)
      CHECK_TEXT(engine.lastOrder < at(row.within), name.c_str());
  }
}

TEST(EnginesRollout, RoutersAreNotifiedBeforeAnEngineIsOrdered) {
  RolloutSimulation world(3);
  world.stopWhenDone = false;
  MonotonicTime announced = kNever, ordered = kNever;
  while (ordered == kNever && world.now < at(5)) {
    world.step(world.discovery, world.rollout);
    if (announced == kNever && !world.discovery.loadingEngines().empty()) announced = world.now;
    if (world.orders > 0) ordered = world.now;
  }
  CHECK(ordered - announced >= milliseconds(100));
  LONGS_EQUAL(1, world.maxConcurrentLoads);  // a third of the three engines
}

TEST(EnginesRollout, ConcurrentLoadsAreSpreadOverZones) {
  RolloutSimulation world(16);
  world.options.loadsAtOnce = 4;
  world.rollout.reload(world.options);
  while (world.now < at(10)) {
    world.step(world.discovery, world.rollout);
    std::map<Zone, int> zones;
    for (const auto& [id, engine] : world.engines)
      if (engine.coming.value != 0) ++zones[engine.listed.zone];
    for (const auto& [zone, count] : zones) CHECK(count <= 2);
  }
  CHECK(world.allOnVersion(2));
}

TEST(EnginesRollout, ALostAnswerIsResolvedByAReportBeforeAnotherOrder) {
  RolloutSimulation world(6);
  FakeEngine& quiet = world.engines.at({"e100"});
  quiet.losesAnswers = true;
  world.stopWhenDone = false;
  world.run(6);
  LONGS_EQUAL(1, quiet.calls);  // accepted once, though its answer was lost
  LONGS_EQUAL(1, quiet.modes.size());
  CHECK(!world.rollout.done());
  quiet.losesAnswers = false;
  world.run(9);
  CHECK(world.allOnVersion(2));
  CHECK(world.rollout.done());
  LONGS_EQUAL(1, quiet.calls);
}

TEST(EnginesRollout, AnOrderThatNeverArrivedIsRetried) {
  RolloutSimulation world(6);
  FakeEngine& deaf = world.engines.at({"e100"});
  deaf.unreachable = true;
  world.stopWhenDone = false;
  world.run(2);
  CHECK(deaf.calls == 0);
  deaf.unreachable = false;
  world.stopWhenDone = true;
  world.run(12);
  CHECK(world.allOnVersion(2));
  LONGS_EQUAL(1, deaf.calls);
}

TEST(EnginesRollout, ANewLeaderWaitsForTheLeaseAndCompletesTheRollout) {
  RolloutSimulation world(18);
  world.run(4);
  CHECK(!world.rollout.done());
  int before = world.orders;
  MonotonicTime lastWrite = kNever;
  for (const auto& [id, engine] : world.engines) lastWrite = std::max(lastWrite, engine.lastOrder);
  // The new leader has received the list with its loading engines as an update.
  EngineDiscovery secondDiscovery(world.options, world.membership, world.random);
  Rollout second(world.options, secondDiscovery);
  secondDiscovery.handle(
      {"core:1"},
      {world.discovery.version(),
       {},
       encodeList({world.discovery.engines(), world.discovery.loadingEngines()})},
      world.now, world.outbox);
  CHECK(!secondDiscovery.loadingEngines().empty());
  world.epoch = {2};
  world.holder = "core-2";
  world.stopWhenDone = false;
  MonotonicTime began = world.now;
  while (world.orders == before && world.now < at(20)) world.step(secondDiscovery, second);
  CHECK(world.now - began >= world.options.orderLease);
  CHECK(world.now - began < world.options.orderLease + seconds(0.4));
  CHECK(world.now - lastWrite >= world.options.orderLease);
  world.stopWhenDone = true;
  world.run(25, secondDiscovery, second);
  CHECK(world.allOnVersion(2));
  CHECK(second.done());
  CHECK(world.shortestHolderGap >= world.options.orderLease);
}

// A leader whose view changes because machines join or leave still holds its lease: the rollout
// continues, and its grace time doesn't restart.
TEST(EnginesRollout, AViewChangeOfTheSameLeaderContinuesTheRollout) {
  RolloutSimulation world(18);
  for (std::uint64_t view = 2; view <= 6; ++view) {
    world.run(static_cast<double>(view) * 0.7);
    world.isLeader = false;  // while the view change is in progress
    world.run(static_cast<double>(view) * 0.7 + 0.2);
    world.isLeader = true;
    world.epoch = {view};
  }
  world.run(12);
  CHECK(world.allOnVersion(2));
  CHECK(world.rollout.done());
  CHECK(world.now < at(11));
  LONGS_EQUAL(18, world.orders);  // no duplicate orders
}

TEST(EnginesRollout, ALeaderWhoseLeaseExpiredWaitsForALease) {
  RolloutSimulation world(18);
  world.run(4);
  int before = world.orders;
  world.isLeader = false;
  world.stopWhenDone = false;
  world.run(5.2);  // its lease expired 0.9 s after its last tick as the leader
  world.isLeader = true;
  world.epoch = {2};
  MonotonicTime began = world.now;
  while (world.orders == before && world.now < at(20)) world.step(world.discovery, world.rollout);
  CHECK(world.now - began >= world.options.orderLease);
}

TEST(EnginesRollout, InheritedLoadsAreReleasedWhenDone) {
  RolloutSimulation world(6);
  FakeEngine& busy = world.engines.at({"e100"});
  busy.coming = {2};
  busy.busyUntil = at(1.5);
  world.epoch = {2};
  std::vector<Engine> listed;
  for (const auto& [id, engine] : world.engines) listed.push_back(engine.listed);
  std::string text = encodeList({listed, {{"e100"}, {"e101"}}});
  world.discovery.handle({"core:9"}, {{(1ULL << 32) | 256}, {}, text}, world.now, world.outbox);
  world.run(1.2);
  LONGS_EQUAL(
      1, world.discovery.loadingEngines().size());  // e101 had no order: it takes requests again
  world.run(2.2);
  CHECK(world.discovery.loadingEngines().empty());
  LONGS_EQUAL(0, world.orders);
  world.run(12);
  CHECK(world.allOnVersion(2));
  LONGS_EQUAL(5, world.orders);
}

TEST(EnginesRollout, AFencedOrderStopsTheRollout) {
  RolloutSimulation world(6);
  for (auto& [id, engine] : world.engines) engine.fence = 9;
  world.stopWhenDone = false;
  world.run(5);
  CHECK(world.orders <= 2);
  CHECK(world.discovery.loadingEngines().empty());
  CHECK(world.rollout.status(world.now)["fenced"].get<bool>());
  CHECK(world.allOnVersion(1));
  world.epoch = {10};  // leads again under a later epoch
  world.run(20);
  CHECK(world.allOnVersion(2));
}

TEST(EnginesRollout, NoOrderWithoutALease) {
  RolloutSimulation world(6);
  world.run(0.08);
  world.isLeader = false;
  world.stopWhenDone = false;
  world.run(3);
  LONGS_EQUAL(0, world.orders);
}

TEST(EnginesRollout, ReplacedAndLateEnginesAreLoaded) {
  RolloutSimulation world(6);
  world.run(1);
  FakeEngine replaced = world.engines.at({"e105"});
  world.engines.erase({"e105"});
  replaced.listed.id = {"e205"};  // same address, restarted, old weights
  world.engines[replaced.listed.id] = replaced;
  world.run(12);
  CHECK(world.allOnVersion(2));
  CHECK(world.rollout.done());
  world.now = at(30);
  world.add("e300", 0);  // long after the deadline
  world.stopWhenDone = false;
  world.run(33);
  CHECK(world.allOnVersion(2));
  CHECK(world.engines.at({"e300"}).modes[0] == LoadMode::kDrainRequests);
}

TEST(EnginesRollout, AnotherEngineAtTheAddressIsRetriedSlowly) {
  RolloutSimulation world(6);
  world.engines.at({"e100"}).forcedOutcome = LoadOrderOutcome::kWrongEngine;
  world.stopWhenDone = false;
  world.run(7);
  CHECK(world.engines.at({"e100"}).modes.size() <= 3);
  world.engines.erase({"e100"});
  world.run(8);
  CHECK(world.rollout.done());
}

TEST(EnginesRollout, LongRequestsDoNotBlockOtherEngines) {
  RolloutSimulation world(18);
  for (const auto* id : {"e100", "e101", "e102"}) world.engines.at({id}).requestsEndAt = at(9);
  world.run(14);
  CHECK(world.allOnVersion(2));
  CHECK(world.now < at(13));
}

TEST(EnginesRollout, LastResortOrdersCutOffRunningRequests) {
  RolloutSimulation world(4);
  for (auto& [id, engine] : world.engines) engine.forcedOutcome = LoadOrderOutcome::kInvalid;
  world.stopWhenDone = false;
  world.run(11);
  FakeEngine& last = world.engines.at({"e100"});
  last.modes.clear();
  last.forcedOutcome = LoadOrderOutcome::kAccepted;
  world.run(12);
  CHECK(!last.modes.empty());
  if (!last.modes.empty()) CHECK(last.modes.back() == LoadMode::kAbortRequests);
}

TEST(EnginesRollout, ANewTargetDuringTheRolloutReplacesTheOldOne) {
  RolloutSimulation world(9);
  world.run(2);
  world.weights.models[kModel] = {5};
  world.run(20);
  CHECK(world.allOnVersion(5));
  CHECK(world.now < at(12));
}

// A new term grants the full time to target versions set before it, so no running request is cut
// off because of a change of leader.
TEST(EnginesRollout, ANewTermGrantsTheFullTimeToEarlierTargets) {
  RolloutSimulation world(4);
  for (auto& [id, engine] : world.engines) engine.forcedOutcome = LoadOrderOutcome::kInvalid;
  world.stopWhenDone = false;
  EngineDiscovery secondDiscovery(world.options, world.membership, world.random);
  Rollout second(world.options, secondDiscovery);
  second.tick(false, world.epoch, kNever, world.weights, "core-2", world.now, world.outbox);
  world.run(8);
  world.epoch = {2};
  world.holder = "core-2";
  FakeEngine& last = world.engines.at({"e100"});
  last.modes.clear();
  world.run(18, secondDiscovery, second);
  CHECK(!last.modes.empty());
  for (LoadMode mode : last.modes) CHECK(mode == LoadMode::kDrainRequests);
  world.run(19.9, secondDiscovery, second);  // just under 12 s after its start: the last resort
  CHECK(last.modes.back() == LoadMode::kAbortRequests);
}

TEST(EnginesRollout, DrainingEnginesAreNotLoaded) {
  RolloutSimulation world(4);
  world.engines.at({"e102"}).listed.draining = true;
  world.run(8);
  CHECK(world.rollout.done());
  LONGS_EQUAL(3, world.orders);
}
