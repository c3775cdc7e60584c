// New weights over simulated engines: how long, how many at once, and what failures do to it.
#include "engines/rollout.h"

#include <algorithm>
#include <cmath>

#include "tests/testing.h"

using namespace peppergate;

namespace {

const ModelName kModel{"m"};

/// An engine that loads as told; its report and its place in the list lag.
struct FakeEngine {
  Engine listed;
  WeightsVersion version{1};
  std::uint64_t fence = 0, calls = 0;
  MonotonicTime busyUntil = kNever, lastOrder = kNever;
  WeightsVersion coming;
  std::string lastHolder;
  bool silent = false;      // its answers are lost; orders arrive
  bool deaf = false;        // orders don't arrive either
  OrderOutcome forced = OrderOutcome::kTaken;  // anything else is answered at once
  MonotonicTime runsUntil = kNever;            // its requests, that a load has to wait for
  std::vector<LoadMode> modes;
};

struct Answer {
  MonotonicTime due;
  Event event;
};

/// A primary, its lister, and the engines. Example: `World world(18); world.run(9);`
struct World {
  explicit World(int count, int zones = 4) {
    for (int index = 0; index < count; ++index) add("e" + std::to_string(100 + index), index % zones);
  }
  void add(const std::string& id, int zone, std::uint64_t version = 1) {
    FakeEngine engine;
    engine.listed.id = {id};
    engine.listed.service = {"s"};
    engine.listed.address = {id + ":1"};
    engine.listed.zone = {"z" + std::to_string(zone)};
    engine.listed.models[kModel] = engine.version = {version};
    engines[engine.listed.id] = engine;
  }
  static MemberRecord record() {
    MemberRecord record;
    record.member = {1};
    record.address = {"core:1"};
    record.role = Role::kCore;
    return record;
  }
  FakeEngine* at(const Address& address) {
    for (auto& [id, engine] : engines)
      if (engine.listed.address == address) return &engine;
    return nullptr;
  }
  /// Engines that load now; those whose requests have to end first don't yet.
  std::size_t loadingNow() const {
    return static_cast<std::size_t>(std::ranges::count_if(engines, [&](const auto& entry) {
      return entry.second.coming.value != 0 && now >= entry.second.runsUntil;
    }));
  }
  OrderOutcome take(FakeEngine& engine, const OrderWeights& order) {
    if (engine.lastHolder != order.holder && !engine.lastHolder.empty())
      leastGap = std::min(leastGap, now - engine.lastOrder);
    engine.lastHolder = order.holder;
    engine.lastOrder = now;
    engine.modes.push_back(order.mode);
    ++orders;
    if (engine.forced != OrderOutcome::kTaken) return engine.forced;
    if (order.fence < engine.fence) return OrderOutcome::kFenced;
    engine.fence = order.fence;
    if (order.expectedCalls && *order.expectedCalls != engine.calls) return OrderOutcome::kBusy;
    if (engine.coming.value != 0) return OrderOutcome::kBusy;
    if (engine.version >= order.version) return OrderOutcome::kHolds;
    ++engine.calls;
    engine.coming = order.version;
    MonotonicTime from = order.mode == LoadMode::kWait ? std::max(now, engine.runsUntil) : now;
    double slower = std::pow(std::max(1.0, static_cast<double>(loadingNow()) / 3), slowing);
    engine.busyUntil = from + loadTime * slower;
    return OrderOutcome::kTaken;
  }
  void run(const ListEngines& list) {
    EnginesListed page{list.ticket, 200, {}, {}};
    for (const auto& [id, engine] : engines) {
      page.engines.push_back(engine.listed);
      if (now - engine.busyUntil > seconds(0.8) && engine.busyUntil != kNever)
        page.engines.back().models[kModel] = engine.version;
    }
    later.push_back({now + milliseconds(5), page});
  }
  void run(const AskReport& ask) {
    FakeEngine* engine = at(ask.address);
    ReportAnswered answer{ask.ticket, 0, {}};
    if (!engine || engine->silent || engine->deaf) {
      later.push_back({now + ask.timeout, answer});
      return;
    }
    answer.status = 200;
    answer.report.models[kModel] = engine->version;
    answer.report.busy = engine->coming.value != 0;
    answer.report.callCount = engine->calls;
    later.push_back({now + milliseconds(5), answer});
  }
  void run(const OrderWeights& order) {
    CHECK(now < order.writeBefore);
    FakeEngine* engine = at(order.address);
    OrderAnswered answer{order.ticket, OrderOutcome::kUnknown};
    bool arrives = engine && !engine->deaf;
    OrderOutcome outcome = OrderOutcome::kUnknown;
    if (arrives) outcome = engine->listed.id == order.engine ? take(*engine, order)
                                                             : OrderOutcome::kOtherEngine;
    bool lost = !arrives || engine->silent;
    if (!lost) answer.outcome = outcome;
    later.push_back({now + (lost ? order.timeout : milliseconds(5)), answer});
  }
  void step(Lister& lister, Rollout& rollout) {
    for (auto& [id, engine] : engines)
      if (engine.coming.value != 0 && now >= engine.busyUntil) engine.version = std::exchange(engine.coming, {});
    std::vector<Answer> due;
    std::erase_if(later, [&](const Answer& answer) {
      if (answer.due > now) return false;
      due.push_back(answer);
      return true;
    });
    for (const auto& answer : due) {
      if (auto* page = std::get_if<EnginesListed>(&answer.event)) lister.listed(*page, now, outbox);
      if (auto* report = std::get_if<ReportAnswered>(&answer.event)) rollout.answered(*report, now, outbox);
      if (auto* order = std::get_if<OrderAnswered>(&answer.event)) rollout.answered(*order, now, outbox);
    }
    lister.tick(leads, epoch, now, outbox);
    rollout.tick(leads, epoch, now + seconds(0.9), weights, holder, now, outbox);
    for (const auto& command : outbox.take()) {
      if (auto* list = std::get_if<ListEngines>(&command)) run(*list);
      if (auto* ask = std::get_if<AskReport>(&command)) run(*ask);
      if (auto* order = std::get_if<OrderWeights>(&command)) run(*order);
    }
    mostAtOnce = std::max(mostAtOnce, loadingNow());
    now = now + milliseconds(20);
  }
  /// Until all is done, or the time is over. Example: `world.run(12)`.
  void run(double until) { run(until, lister, rollout); }
  void run(double until, Lister& withLister, Rollout& withRollout) {
    while (now < ::at(until)) {
      step(withLister, withRollout);
      if (stopWhenDone && withRollout.done()) return;
    }
  }
  bool all(std::uint64_t version) const {
    return std::ranges::all_of(engines, [&](const auto& entry) {
      return entry.second.version.value == version;
    });
  }

  static MonotonicTime start() { return ::at(0); }
  Props props = quick();
  static Props quick() {
    Props props;
    props.listRate = 47;
    return props;
  }
  Random random{7};
  Membership membership{props, record(), {}, random};
  Lister lister{props, membership, random};
  Rollout rollout{props, lister};
  Outbox outbox;
  std::map<EngineId, FakeEngine> engines;
  std::vector<Answer> later;
  Weights weights{{}, {}, {{kModel, {2}}}};
  MonotonicTime now = ::at(0);
  bool leads = true, stopWhenDone = true;
  Epoch epoch{1};
  std::string holder = "core-1";
  Duration loadTime = seconds(1.1);
  double slowing = 1;  // how much more than three at once slow each other
  Duration leastGap = seconds(1000);
  std::size_t mostAtOnce = 0;
  int orders = 0;
};

}  // namespace

TEST_GROUP(EnginesRollout){};

TEST(EnginesRollout, EighteenEnginesThreeAtOnceUnderNineSeconds) {
  World world(18);
  world.run(12);
  CHECK(world.all(2));
  CHECK(world.rollout.done());
  CHECK(world.now < at(9));
  LONGS_EQUAL(3, world.mostAtOnce);
  LONGS_EQUAL(18, world.orders);
  for (const auto& [id, engine] : world.engines) CHECK(engine.modes[0] == LoadMode::kWait);
}

TEST(EnginesRollout, MoreAtOnceWhereTheTimeIsShort) {
  struct Row {
    int engines;
    double load, within;
    double slowing;             // 0: more at once slow nobody; 1: no more get through than by three
    std::size_t least, most;    // at once
    double end;                 // by when all are through
  };
  constexpr std::array<Row, 6> kRows{{{18, 1.1, 12, 1, 3, 3, 9},
                                      {18, 1.8, 15, 1, 3, 4, 15},
                                      {18, 1.8, 12, 0.5, 4, 6, 12},
                                      {36, 1.1, 12, 0.5, 5, 12, 12},
                                      {18, 1.1, 6, 0.5, 5, 6, 6},
                                      {36, 1.1, 12, 1, 5, 36, 18}}};
  for (const auto& row : kRows) {
    World world(row.engines);
    std::string name = std::to_string(row.engines) + " of " + std::to_string(row.load) + " in " +
                       std::to_string(row.within) + " s: ";
    world.loadTime = seconds(row.load);
    world.slowing = row.slowing;
    world.props.weightsWithin = seconds(row.within);
    world.rollout.reload(world.props);
    world.run(40);
    CHECK(world.all(2));
    name += std::to_string(world.mostAtOnce) + " at once, " + std::to_string(inSeconds(world.now - at(0)));
    CHECK_TEXT(world.mostAtOnce >= row.least && world.mostAtOnce <= row.most, name.c_str());
    CHECK_TEXT(world.now < at(row.end), name.c_str());
    // An engine with an order starts nothing on its old weights.
    for (const auto& [id, engine] : world.engines)
      CHECK_TEXT(engine.lastOrder < at(row.within), name.c_str());
  }
}

TEST(EnginesRollout, TheFrontsHearOfAnEngineBeforeItsOrder) {
  World world(3);
  world.stopWhenDone = false;
  MonotonicTime announced = kNever, ordered = kNever;
  while (ordered == kNever && world.now < at(5)) {
    world.step(world.lister, world.rollout);
    if (announced == kNever && !world.lister.loadingNow().empty()) announced = world.now;
    if (world.orders > 0) ordered = world.now;
  }
  CHECK(ordered - announced >= milliseconds(100));
  LONGS_EQUAL(1, world.mostAtOnce);  // a third of three
}

TEST(EnginesRollout, NeighboursInTheOrderAreOfOtherZones) {
  World world(16);
  world.props.loadsAtOnce = 4;
  world.rollout.reload(world.props);
  while (world.now < at(10)) {
    world.step(world.lister, world.rollout);
    std::map<District, int> zones;
    for (const auto& [id, engine] : world.engines)
      if (engine.coming.value != 0) ++zones[engine.listed.zone];
    for (const auto& [zone, count] : zones) CHECK(count <= 2);
  }
  CHECK(world.all(2));
}

TEST(EnginesRollout, LostAnswersAreFollowedByReportsNotByBlindOrders) {
  World world(6);
  FakeEngine& quiet = world.engines.at({"e100"});
  quiet.silent = true;
  world.stopWhenDone = false;
  world.run(6);
  LONGS_EQUAL(1, quiet.calls);  // taken once, unknown here
  LONGS_EQUAL(1, quiet.modes.size());
  CHECK(!world.rollout.done());
  quiet.silent = false;
  world.run(9);
  CHECK(world.all(2));
  CHECK(world.rollout.done());
  LONGS_EQUAL(1, quiet.calls);
}

TEST(EnginesRollout, AnOrderThatNeverArrivedIsGivenAgain) {
  World world(6);
  FakeEngine& deaf = world.engines.at({"e100"});
  deaf.deaf = true;
  world.stopWhenDone = false;
  world.run(2);
  CHECK(deaf.calls == 0);
  deaf.deaf = false;
  world.stopWhenDone = true;
  world.run(12);
  CHECK(world.all(2));
  LONGS_EQUAL(1, deaf.calls);
}

TEST(EnginesRollout, ASecondPrimaryWaitsALeaseAndFinishes) {
  World world(18);
  world.run(4);
  CHECK(!world.rollout.done());
  int before = world.orders;
  MonotonicTime lastWrite = kNever;
  for (const auto& [id, engine] : world.engines) lastWrite = std::max(lastWrite, engine.lastOrder);
  // The new primary heard the list with its loading engines as news.
  Lister secondLister(world.props, world.membership, world.random);
  Rollout second(world.props, secondLister);
  secondLister.hear({"core:1"}, {world.lister.version(), {},
                                 wholeText({world.lister.engines(), world.lister.loadingNow()})},
                    world.now, world.outbox);
  CHECK(!secondLister.loadingNow().empty());
  world.epoch = {2};
  world.holder = "core-2";
  world.stopWhenDone = false;
  MonotonicTime began = world.now;
  while (world.orders == before && world.now < at(20)) world.step(secondLister, second);
  CHECK(world.now - began >= world.props.leaseLength);
  CHECK(world.now - began < world.props.leaseLength + seconds(0.4));
  CHECK(world.now - lastWrite >= world.props.leaseLength);
  world.stopWhenDone = true;
  world.run(25, secondLister, second);
  CHECK(world.all(2));
  CHECK(second.done());
  CHECK(world.leastGap >= world.props.leaseLength);
}

TEST(EnginesRollout, InheritedLoadsAreReleasedOnceThrough) {
  World world(6);
  FakeEngine& busy = world.engines.at({"e100"});
  busy.coming = {2};
  busy.busyUntil = at(1.5);
  world.epoch = {2};
  std::vector<Engine> listed;
  for (const auto& [id, engine] : world.engines) listed.push_back(engine.listed);
  world.lister.hear({"core:9"}, {{(1ULL << 32) | 256}, {}, wholeText({listed, {{"e100"}, {"e101"}}})},
                    world.now, world.outbox);
  world.run(1.2);
  LONGS_EQUAL(1, world.lister.loadingNow().size());  // e101 had no order: it serves again
  world.run(2.2);
  CHECK(world.lister.loadingNow().empty());
  LONGS_EQUAL(0, world.orders);
  world.run(12);
  CHECK(world.all(2));
  LONGS_EQUAL(5, world.orders);
}

TEST(EnginesRollout, FencedMeansThatANewerPrimaryExists) {
  World world(6);
  for (auto& [id, engine] : world.engines) engine.fence = 9;
  world.stopWhenDone = false;
  world.run(5);
  CHECK(world.orders <= 2);
  CHECK(world.lister.loadingNow().empty());
  CHECK(world.rollout.status(world.now)["fenced"].get<bool>());
  CHECK(world.all(1));
  world.epoch = {10};  // it leads again, later
  world.run(20);
  CHECK(world.all(2));
}

TEST(EnginesRollout, NoOrderWithoutAHold) {
  World world(6);
  world.run(0.08);
  world.leads = false;
  world.stopWhenDone = false;
  world.run(3);
  LONGS_EQUAL(0, world.orders);
}

TEST(EnginesRollout, ReplacedEnginesAndLateOldOnesAreFound) {
  World world(6);
  world.run(1);
  FakeEngine replaced = world.engines.at({"e105"});
  world.engines.erase({"e105"});
  replaced.listed.id = {"e205"};  // same address, new life, old weights
  world.engines[replaced.listed.id] = replaced;
  world.run(12);
  CHECK(world.all(2));
  CHECK(world.rollout.done());
  world.now = at(30);
  world.add("e300", 0);  // long after the bound
  world.stopWhenDone = false;
  world.run(33);
  CHECK(world.all(2));
  CHECK(world.engines.at({"e300"}).modes[0] == LoadMode::kWait);
}

TEST(EnginesRollout, OtherEngineAtTheAddressWaitsForTheList) {
  World world(6);
  world.engines.at({"e100"}).forced = OrderOutcome::kOtherEngine;
  world.stopWhenDone = false;
  world.run(7);
  CHECK(world.engines.at({"e100"}).modes.size() <= 3);
  world.engines.erase({"e100"});
  world.run(8);
  CHECK(world.rollout.done());
}

TEST(EnginesRollout, LongRequestsHoldUpNoOthers) {
  World world(18);
  for (const auto* id : {"e100", "e101", "e102"}) world.engines.at({id}).runsUntil = at(9);
  world.run(14);
  CHECK(world.all(2));
  CHECK(world.now < at(13));
}

TEST(EnginesRollout, WhatWasNotOrderedInTimeIsCutAtTheLast) {
  World world(4);
  for (auto& [id, engine] : world.engines) engine.forced = OrderOutcome::kInvalid;
  world.stopWhenDone = false;
  world.run(11);
  FakeEngine& last = world.engines.at({"e100"});
  last.modes.clear();
  last.forced = OrderOutcome::kTaken;
  world.run(12);
  CHECK(!last.modes.empty());
  if (!last.modes.empty()) CHECK(last.modes.back() == LoadMode::kCut);
}

TEST(EnginesRollout, ANewerNamingDuringTheRollOutEndsAtTheNewest) {
  World world(9);
  world.run(2);
  world.weights.models[kModel] = {5};
  world.run(20);
  CHECK(world.all(5));
  CHECK(world.now < at(12));
}

TEST(EnginesRollout, DrainingEnginesAreLeftAlone) {
  World world(4);
  world.engines.at({"e102"}).listed.draining = true;
  world.run(8);
  CHECK(world.rollout.done());
  LONGS_EQUAL(3, world.orders);
}
