// Placement of requests: the cost model, separation by cache domain and weights version, and
// planned fetches of prefix blocks.
#include "prompts/placement.h"

#include <set>

#include "core/engine_list.h"
#include "prompts/cost.h"
#include "prompts/fetch_setup.h"
#include "prompts/salt.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

const ServiceName kService{"model"};
const ModelName kModel{"llm"};
const std::vector<PartSize> kPrompt{{"rules", 8000}, {"own", 2000}};
constexpr double kNamedAt = 2;
constexpr double kOldServe = 11;  // seconds: the bound of 12, less 1 within which a request starts
constexpr double kMoment = 0.001;

FleetConfig makeConfig(bool withStore, double linkMbps = 80000) {
  FleetConfig config;
  config.version = {1};
  EngineShape shape;
  shape.slots = 16;
  shape.kvTokens = 200000;
  shape.kvTokenBytes = 20000;
  shape.linkMbps = linkMbps;
  shape.models = {kModel};
  ServiceConfig service;
  service.name = kService;
  service.engine = shape;
  config.services[kService] = service;
  if (!withStore) return config;
  ServiceConfig store;
  store.name = {"shelf"};
  store.store = StoreShape{{"10.9.0.1:80"}, {"north"}, 4000000, linkMbps, 4};
  config.services[store.name] = store;
  return config;
}

Engine makeEngine(int number, std::uint64_t version = 1, const char* zone = "north") {
  Engine engine;
  engine.id = {"e" + std::to_string(number)};
  engine.service = kService;
  engine.address = {"10.1.0." + std::to_string(number) + ":80"};
  engine.zone = {zone};
  engine.slots = 16;
  engine.models[kModel] = {version};
  return engine;
}

/// One router with its own engine registry, prefix index and fetches.
struct Front {
  Options options;
  Random random;
  EngineBook book{options};
  PartIndex index;
  FetchDesk fetches{options};
  Placement placement;
  FleetConfig config;
  Weights weights;
  Outbox outbox;
  Route route;
  std::vector<EngineId> tried;
  int urgency = 0;
  std::uint64_t last = 0, listVersion = 100;

  explicit Front(std::uint64_t seed, int engines = 4, bool withStore = false,
                 const Options& its = {})
      : options(its),
        random(seed),
        placement(options, book, index, fetches, random),
        config(makeConfig(withStore)) {
    route.target = milliseconds(400);
    std::vector<Engine> list;
    for (int number = 1; number <= engines; ++number) list.push_back(makeEngine(number));
    book.take(list, {1}, at(0));
  }
  void keeps(const EngineId& engine, std::span<const PartSize> parts, std::uint64_t version = 1,
             const char* wall = "") {
    index.expect(engine, saltOf({wall}, kModel, {version}), parts);
  }
  std::variant<Placed, PlaceRefusal> ask(std::span<const PartSize> parts, double time = 1,
                                         const char* tenant = "", bool isolated = false) {
    PlacementAsk ask;
    ask.request = {++last};
    ask.route = &route;
    ask.service = kService;
    ask.model = kModel;
    ask.tenant = {tenant};
    ask.isolated = isolated;
    ask.urgency = urgency;
    ask.parts = parts;
    for (const auto& part : parts) ask.tokensIn += part.tokens;
    ask.tokensOut = 20;
    ask.timeLeft = seconds(5);
    ask.tried = tried;
    return placement.place(ask, config, weights, at(time), outbox);
  }
  Placed place(std::span<const PartSize> parts, double time = 1, const char* tenant = "",
               bool isolated = false) {
    auto placed = ask(parts, time, tenant, isolated);
    CHECK(std::holds_alternative<Placed>(placed));
    return std::get<Placed>(placed);
  }
  /// Checks that an engine with old weights is chosen just before this time and not from it on.
  void servesUntil(double edge) {
    STRCMP_EQUAL("/llm.1", place(kPrompt, edge - kMoment).salt.c_str());
    auto refused = ask(kPrompt, edge);
    CHECK(std::holds_alternative<PlaceRefusal>(refused));
    CHECK(std::get<PlaceRefusal>(refused).fault == PlaceFault::kNoEngine);
  }
  /// Sets the target version of the weights, which this router learns at the same time.
  void name(std::uint64_t version, double time) {
    weights.models[kModel] = {version};
    placement.named(weights, at(time), at(time));
  }
  /// Whether a request is placed if the only engine has these weights.
  bool servesAlone(std::uint64_t version, double time) {
    book.take({makeEngine(1, version)}, {++listVersion}, at(time));
    return std::holds_alternative<Placed>(ask(kPrompt, time));
  }
  void busy(const EngineId& engine, std::int64_t tokens, int requests = 1) {
    for (int one = 0; one < requests; ++one) book.sent(engine, tokens / requests);
  }
};

CandidateNumbers idle() {
  CandidateNumbers numbers;
  numbers.slots = 16;
  numbers.prompt = 10000;
  numbers.shared = 8000;
  numbers.tokenMegabytes = 0.02;
  numbers.linkMegabytes = 10000;
  return numbers;
}

}  // namespace

// ---- cost model ----
TEST_GROUP(PlacementCost){};

TEST(PlacementCost, LatenessCostRisesSteeplyTowardsTheTarget) {
  DOUBLES_EQUAL(100, latenessCost(100, 400), 1e-9);
  DOUBLES_EQUAL(400 + 4 * 160, latenessCost(400, 400), 1e-9);
  DOUBLES_EQUAL(1000 + 4 * 160, latenessCost(1000, 400), 1e-9);
}

TEST(PlacementCost, CandidatesAreRankedByCost) {
  CostWeights weights;
  weights.targetMs = 400;
  struct Case {
    const char* name;
    CandidateNumbers cheaper, dearer;
  };
  std::vector<Case> cases;
  auto holder = idle(), collects = idle(), reads = idle(), far = idle();
  holder.kept = holder.reach = 8000;
  collects.reach = reads.reach = far.reach = 8000;
  collects.collects = far.collects = true;
  far.crossing = 10;
  cases.push_back({"an idle engine with the blocks before a fetch", holder, collects});
  cases.push_back({"a fetch before recomputation", collects, reads});
  cases.push_back({"a near source before a remote one", collects, far});
  auto crowded = holder;
  crowded.queueTokens = 40000;  // 400 ms of prefill
  cases.push_back({"a fetch before an overloaded engine with the blocks", collects, crowded});
  cases.push_back({"an overloaded engine with the blocks before recomputation", crowded, reads});
  auto clogged = collects;
  clogged.linkWait = 2500;  // such a fetch is never started, so the blocks are recomputed
  cases.push_back({"an overloaded engine with the blocks before a fetch that is not started",
                   crowded, clogged});
  auto home = idle(), second = idle(), other = idle();
  second.away = 0.5;
  other.away = 1;
  cases.push_back({"the home engine first", home, second});
  cases.push_back({"then the second choice", second, other});
  auto older = holder;
  older.olderWeights = true;
  cases.push_back({"target weights first", holder, older});
  auto crammed = holder;
  crammed.room = 20000;
  crammed.used = 30000;
  cases.push_back({"free memory first", holder, crammed});
  for (const auto& one : cases)
    CHECK_TEXT(costOf(one.cheaper, weights).total < costOf(one.dearer, weights).total, one.name);
}

TEST(PlacementCost, TimeToFirstEventMatchesAManualCalculation) {
  auto numbers = idle();
  numbers.kept = 2000;
  numbers.reach = 8000;
  numbers.collects = true;
  numbers.queueTokens = 500;
  numbers.crossing = 2;
  auto cost = costOf(numbers, CostWeights{});
  DOUBLES_EQUAL(6000, cost.moved, 1e-9);
  DOUBLES_EQUAL(2000, cost.toRead, 1e-9);
  // Queue 5 ms, prefill 20 ms, fetch 2 ms plus 120 MB at 10 MB per ms, counted twice for the
  // distance.
  DOUBLES_EQUAL(5 + 20 + 2 + 24, cost.firstEventMs, 1e-9);
}

TEST(PlacementCost, FreeSlotForecastsAreBounded) {
  for (double running : {1.0, 16.0, 20.0, 300.0}) {
    CHECK(roomForecastMs(running, 16, 3) >= 50);
    CHECK(roomForecastMs(running, 16, 3) <= 500);
  }
  CHECK(roomForecastMs(16, 16, 0) < roomForecastMs(16, 16, 8));
}

// ---- choice of an engine ----
TEST_GROUP(Placement){};

TEST(Placement, AnIdleEngineWithTheBlocksGetsTheRequest) {
  Front front(1);
  front.keeps({"e3"}, kPrompt);
  for (int turn = 0; turn < 10; ++turn) {
    Placed placed = front.place(kPrompt);
    STRCMP_EQUAL("e3", placed.engine.value.c_str());
    STRCMP_EQUAL("/llm.1", placed.salt.c_str());
    CHECK_EQUAL(1, placed.version->value);
    CHECK_FALSE(placed.collectFrom.has_value());
    LONGS_EQUAL(0, placed.toRead);
  }
}

TEST(Placement, BlocksAreFetchedFromAnOverloadedEngine) {
  Front front(1);
  front.keeps({"e3"}, std::span(kPrompt).first(1));
  front.busy({"e3"}, 40000);
  Placed placed = front.place(kPrompt);
  CHECK(placed.engine != EngineId{"e3"});
  STRCMP_EQUAL("10.1.0.3:80", placed.collectFrom->value.c_str());
  LONGS_EQUAL(2000, placed.toRead);
  LONGS_EQUAL(1, front.fetches.live());
  front.placement.firstEvent({front.last}, milliseconds(60), at(1.06), front.outbox);
  LONGS_EQUAL(0, front.fetches.live());
}

TEST(Placement, WithoutLinkCapacityTheEngineWithTheBlocksIsChosen) {
  Front front(1);
  front.config = makeConfig(false, 0);  // engines without link capacity
  front.keeps({"e3"}, std::span(kPrompt).first(1));
  front.busy({"e3"}, 30000);
  Placed placed = front.place(kPrompt);
  STRCMP_EQUAL("e3", placed.engine.value.c_str());
  CHECK_FALSE(placed.collectFrom.has_value());
}

TEST(Placement, BlocksThatNoEngineCachesAreFetchedFromTheStore) {
  Front front(1, 4, true);
  front.keeps(storeId(), std::span(kPrompt).first(1));
  Placed placed = front.place(kPrompt);
  STRCMP_EQUAL("10.9.0.1:80", placed.collectFrom->value.c_str());
  CHECK_FALSE(placed.depositAt.has_value());
  LONGS_EQUAL(2000, placed.toRead);
}

TEST(Placement, NewlyComputedBlocksAreDepositedInTheStoreOnce) {
  Front front(1, 4, true);
  Placed placed = front.place(kPrompt);
  CHECK_FALSE(placed.collectFrom.has_value());
  STRCMP_EQUAL("10.9.0.1:80", placed.depositAt->value.c_str());
  front.keeps(placed.engine, kPrompt);
  CHECK_FALSE(front.place(kPrompt).depositAt.has_value());
}

TEST(Placement, AllRoutersChooseTheSameHomeForUncachedBlocks) {
  Front one(1, 18), two(2, 18);
  std::set<EngineId> homes;
  for (int part = 0; part < 60; ++part) {
    std::vector<PartSize> prompt{{"rules" + std::to_string(part), 8000}, {"own", 2000}};
    Placed first = one.place(prompt), second = two.place(prompt);
    CHECK(first.engine == second.engine);
    homes.insert(first.engine);
  }
  CHECK(homes.size() >= 12);  // the homes are spread over the engines
}

TEST(Placement, AllRoutersChooseTheSameHomeAmongHundredsOfEngines) {
  Front one(1, 400), two(2, 400);
  std::set<EngineId> homes;
  for (int part = 0; part < 60; ++part) {
    std::vector<PartSize> prompt{{"rules" + std::to_string(part), 8000}, {"own", 2000}};
    Placed first = one.place(prompt);
    CHECK(first.engine == two.place(prompt).engine);
    homes.insert(first.engine);
  }
  CHECK(homes.size() >= 40);
  one.keeps({"e77"}, kPrompt);
  STRCMP_EQUAL("e77", one.place(kPrompt).engine.value.c_str());
}

TEST(Placement, TinyAndUbiquitousBlocksHaveNoHome) {
  Front front(1, 8);
  std::vector<PartSize> tiny{{"hello", 60}, {"own", 900}};
  std::set<EngineId> engines;
  for (int turn = 0; turn < 60; ++turn) engines.insert(front.place(tiny).engine);
  CHECK(engines.size() >= 6);
  // A block that most engines cache no longer determines the home; the next block does.
  for (int number = 1; number <= 8; ++number)
    front.keeps({"e" + std::to_string(number)}, std::vector<PartSize>{{"all", 9000}});
  engines.clear();
  for (int turn = 0; turn < 20; ++turn)
    engines.insert(
        front.place(std::vector<PartSize>{{"all", 9000}, {"rules", 3000}, {"own", 900}}).engine);
  LONGS_EQUAL(1, engines.size());
}

TEST(Placement, IsolatedTenantsNeverShareCachedBlocks) {
  Front front(1, 4, true);
  front.keeps({"e1"}, kPrompt);
  front.keeps({"e2"}, kPrompt, 1, "desk");
  Placed desk = front.place(kPrompt, 1, "desk", true);
  Placed trail = front.place(kPrompt, 1, "trail", true);
  Placed open = front.place(kPrompt, 1, "other", false);
  std::set<std::string> salts{desk.salt, trail.salt, open.salt};
  LONGS_EQUAL(3, salts.size());
  STRCMP_EQUAL("e2", desk.engine.value.c_str());
  STRCMP_EQUAL("e1", open.engine.value.c_str());
  LONGS_EQUAL(10000, trail.toRead);  // the blocks of other tenants are not usable
  CHECK_FALSE(trail.collectFrom.has_value());
  // Different domains and models never yield the same salt.
  CHECK(saltOf({"a"}, {"m"}, {1}) != saltOf({""}, {"a/m"}, {1}));
  CHECK(saltOf({"a"}, {"b/m"}, {1}) != saltOf({"a/b"}, {"m"}, {1}));
}

TEST(Placement, NewWeightsChangeTheSalt) {
  Front front(1);
  front.keeps({"e1"}, kPrompt);
  front.place(kPrompt);  // the router has seen the initial weights
  std::vector<Engine> list;
  for (int number = 1; number <= 4; ++number)
    list.push_back(makeEngine(number, number == 1 ? 1 : 2));
  front.book.take(list, {2}, at(kNamedAt));
  front.name(2, kNamedAt);
  Placed soon = front.place(kPrompt, kNamedAt);
  if (soon.engine != EngineId{"e1"}) {
    STRCMP_EQUAL("/llm.2", soon.salt.c_str());
    CHECK_FALSE(soon.collectFrom.has_value());
  }
  // Just before the limit, an engine with old weights still serves a request that has no other
  // left.
  front.tried = {{"e2"}, {"e3"}, {"e4"}};
  Placed last = front.place(kPrompt, kNamedAt + kOldServe - kMoment);
  STRCMP_EQUAL("e1", last.engine.value.c_str());
  STRCMP_EQUAL("/llm.1", last.salt.c_str());
  CHECK(std::get<PlaceRefusal>(front.ask(kPrompt, kNamedAt + kOldServe)).fault ==
        PlaceFault::kNoEngine);
  front.tried.clear();
  for (int turn = 0; turn < 20; ++turn) {
    Placed late = front.place(kPrompt, kNamedAt + kOldServe);  // no request starts on old weights
    CHECK(late.engine != EngineId{"e1"});
    CHECK_EQUAL(2, late.version->value);
    STRCMP_EQUAL("/llm.2", late.salt.c_str());
    LONGS_EQUAL(10000, late.toRead);
  }
}

TEST(Placement, OldWeightsServeOnlyUntilTheTimeLimit) {
  Front front(1);
  front.place(kPrompt);
  front.name(2, kNamedAt);
  STRCMP_EQUAL("/llm.1", front.place(kPrompt, kNamedAt).salt.c_str());
  front.servesUntil(kNamedAt + kOldServe);
  // A router that started after the target was set can't know when that was.
  Front later(2);
  later.weights.models[kModel] = {2};
  later.placement.named(later.weights, kNever, at(0));
  CHECK(std::holds_alternative<PlaceRefusal>(later.ask(kPrompt, 1)));
}

// An engine's time limit starts at the first target above its version; later targets don't extend
// it.
TEST(Placement, TheTimeLimitStartsAtTheFirstTargetAboveTheEnginesVersion) {
  for (std::uint64_t version : {1, 2, 3}) {
    Front front(version);
    front.place(kPrompt);
    front.name(2, 2);
    front.name(3, 9);
    front.name(4, 12);
    const double namedAt[] = {2, 9, 12};
    double edge = namedAt[version - 1] + kOldServe;
    CHECK_TRUE(front.servesAlone(version, edge - kMoment));
    CHECK_FALSE(front.servesAlone(version, edge));
    CHECK_TRUE(front.servesAlone(4, 60));
  }
}

TEST(Placement, TheTimeLimitOfOldWeightsFollowsTheConfiguredBound) {
  Options options;
  options.weightsWithin = seconds(7);
  Front front(1, 4, false, options);
  front.place(kPrompt);
  front.name(2, kNamedAt);
  front.place(kPrompt, kNamedAt);
  front.servesUntil(kNamedAt + 6);
}

// A change of leader doesn't extend the time limit; only time without any leader is added to it.
TEST(Placement, TimeWithoutALeaderExtendsTheLimitOfOldWeights) {
  Front front(1);
  front.place(kPrompt);
  front.name(2, kNamedAt);
  front.placement.withoutLeader(seconds(3));
  front.servesUntil(kNamedAt + kOldServe + 3);
  // A later target does not extend the limit that the first one started.
  front.name(3, 12);
  CHECK(std::holds_alternative<PlaceRefusal>(front.ask(kPrompt, kNamedAt + kOldServe + 3)));
  // A target set before this process started counts as expired; the outage doesn't extend it.
  Front later(2);
  later.weights.models[kModel] = {2};
  later.placement.named(later.weights, kNever, at(0));
  later.placement.withoutLeader(seconds(3));
  CHECK(std::holds_alternative<PlaceRefusal>(later.ask(kPrompt, 1)));
}

TEST(Placement, ALongQueueShortensTheTimeLimitOfOldWeights) {
  Front front(1, 1);
  front.place(kPrompt);
  front.name(2, kNamedAt);
  double nearEnd = kNamedAt + kOldServe - 0.5;
  CHECK(std::holds_alternative<Placed>(front.ask(kPrompt, nearEnd)));
  front.busy({"e1"}, 400000, 4);  // seconds of prefill, even on a fast engine
  CHECK(std::holds_alternative<PlaceRefusal>(front.ask(kPrompt, nearEnd)));
  CHECK(std::holds_alternative<Placed>(front.ask(kPrompt, kNamedAt)));
}

TEST(Placement, FullEnginesRejectWithARetryForecast) {
  Front front(1, 2);
  front.busy({"e1"}, 1600, 16);
  CHECK(front.place(kPrompt).engine == EngineId{"e2"});
  front.busy({"e2"}, 1600, 20);
  auto refused = std::get<PlaceRefusal>(front.ask(kPrompt));
  CHECK(refused.fault == PlaceFault::kFull);
  CHECK(refused.comeBack >= milliseconds(50) && refused.comeBack <= milliseconds(500));
}

TEST(Placement, TheLastSlotsAreReservedForMoreUrgentRequests) {
  Front front(1, 1);
  front.busy({"e1"}, 1500, 15);
  front.urgency = 9;
  CHECK(std::get<PlaceRefusal>(front.ask(kPrompt)).fault == PlaceFault::kFull);
  front.urgency = 0;
  CHECK(front.place(kPrompt).engine == EngineId{"e1"});
  // A load that admits one urgency admits every more urgent one.
  for (int running = 0; running <= 16; ++running) {
    Front loaded(1, 1);
    if (running > 0) loaded.busy({"e1"}, 100, running);
    bool admitted = true;
    for (loaded.urgency = 0; loaded.urgency <= 9; ++loaded.urgency) {
      bool now = std::holds_alternative<Placed>(loaded.ask(kPrompt));
      CHECK(admitted || !now);
      admitted = now;
    }
    CHECK_EQUAL(running < 15, admitted);
  }
}

TEST(Placement, RejectionsWithoutEnginesNameARetryTime) {
  Front front(1, 2);
  front.tried = {{"e1"}, {"e2"}};
  auto refused = std::get<PlaceRefusal>(front.ask(kPrompt));
  CHECK(refused.fault == PlaceFault::kNoEngine);
  CHECK(refused.comeBack >= milliseconds(300) && refused.comeBack <= milliseconds(600));
  std::vector<PartSize> huge{{"rules", 190000}, {"own", 20000}};
  front.tried.clear();
  CHECK(std::get<PlaceRefusal>(front.ask(huge)).comeBack == seconds(5));
}

TEST(Placement, PrefillSpeedIsLearnedFromFirstEvents) {
  Front front(1, 1);
  DOUBLES_EQUAL(100, front.placement.speed().of({"e1"}, kService), 1e-9);
  for (int turn = 0; turn < 60; ++turn) {
    std::vector<PartSize> prompt{{"p" + std::to_string(turn), 8000}, {"own", 2000}};
    front.place(prompt, 1 + turn);
    front.placement.firstEvent({front.last}, milliseconds(60), at(1.06 + turn), front.outbox);
  }
  DOUBLES_EQUAL(200, front.placement.speed().of({"e1"}, kService), 10);  // 10 ms are latency
  LONGS_EQUAL(0, front.fetches.live());
}

// ---- fetch rate levels ----
TEST_GROUP(PlacementRungs){};

TEST(PlacementRungs, DefaultRatesDeriveFromTheSmallestLink) {
  FleetConfig config = makeConfig(true, 80000);
  config.services[{"shelf"}].store->linkMbps = 40000;
  Setup founded;
  founded.rungs = {{"whole", 8}};
  Setup setup = fetchSetup(founded, config);
  LONGS_EQUAL(4, setup.rungs.size());
  DOUBLES_EQUAL(5000.0 / 256, setup.rungs[0].rate, 1e-9);
  DOUBLES_EQUAL(5000.0 / 4, setup.rungs[3].rate, 1e-9);
  for (int urgency : {0, 4, 9}) CHECK(setup.classes.contains(std::string(className(urgency))));
  Setup own;
  own.rungs = {{"a", 1}, {"b", 2}};
  LONGS_EQUAL(2, fetchSetup(own, config).rungs.size());
}

TEST(PlacementRungs, FetchesBetweenZonesCountTwiceAndBetweenRegionsTenTimes) {
  FetchDesk desk{Options{}};
  desk.regions({{{"north"}, "west"}, {{"south"}, "west"}, {{"far"}, "east"}});
  LONGS_EQUAL(1, desk.crossing({"north"}, {"north"}));
  LONGS_EQUAL(2, desk.crossing({"north"}, {"south"}));
  LONGS_EQUAL(10, desk.crossing({"north"}, {"far"}));
}

TEST(PlacementRungs, RoutersWithEqualUsageReportsChooseTheSameRates) {
  Front one(1, 6, true), two(2, 6, true);
  std::vector<Front*> fronts{&one, &two};
  for (Front* front : fronts) {
    // Few fetches fit a link, so that the plan has to limit them.
    front->config = makeConfig(true, 800);
    front->route.target = seconds(3);
    front->keeps(storeId(), std::span(kPrompt).first(1));
    front->placement.tick(front->config, at(0.5), front->outbox);
  }
  for (int turn = 0; turn < 6; ++turn) {
    one.place(kPrompt, 1 + 0.01 * turn);
    if (turn % 2 == 0) two.place(kPrompt, 1 + 0.01 * turn);
  }
  for (int turn = 0; turn <= 40; ++turn)
    for (Front* front : fronts)
      front->placement.tick(front->config, at(1.1 + 0.05 * turn), front->outbox);
  CHECK(one.fetches.live() > 0);
  auto first = one.placement.note({1}, at(3.2)), second = two.placement.note({2}, at(3.2));
  one.placement.hear(second, at(3.25));
  two.placement.hear(first, at(3.25));
  for (Front* front : fronts) front->placement.tick(front->config, at(6), front->outbox);
  const auto &groups = one.fetches.plan().groups, &others = two.fetches.plan().groups;
  CHECK(!groups.empty());
  CHECK_EQUAL(groups.size(), others.size());
  for (std::size_t index = 0; index < groups.size(); ++index) {
    CHECK(groups[index].link == others[index].link);
    DOUBLES_EQUAL(groups[index].level, others[index].level, 1e-12);
  }
  // New fetches of both get the highest rate whose value doesn't exceed the common level.
  Fetch fetch;
  fetch.want.stream = {1000};
  fetch.want.links = {FetchDesk::linkOf(storeId()), FetchDesk::linkOf({"e1"})};
  fetch.className = "usual";
  fetch.want.tenantClass = one.placement.plan().classes.at("usual");
  fetch.want.topRung = 3;
  fetch.tenant = {"new"};
  auto rung = one.fetches.join(fetch, one.placement.plan(), at(6), one.outbox);
  auto other = two.fetches.join(fetch, two.placement.plan(), at(6), two.outbox);
  CHECK(rung == other);
  if (rung) CHECK_EQUAL(rungUnder(one.placement.plan().rungs, fetch.want, groups[0].level), *rung);
}

TEST(PlacementRungs, FetchesAreAdmittedWhileTheLowestRateFits) {
  Front front(1, 2, true);
  front.config = makeConfig(true, 800);  // 100 MB per second, of which 75 may be planned
  front.placement.tick(front.config, at(0.5), front.outbox);
  int booked = 0;
  for (std::uint64_t stream = 1; stream <= 300; ++stream) {
    Fetch fetch;
    fetch.want.stream = {stream};
    fetch.want.links = {FetchDesk::linkOf(storeId()), FetchDesk::linkOf({"e1"})};
    fetch.className = "usual";
    fetch.want.tenantClass = front.placement.plan().classes.at("usual");
    fetch.tenant = {"one"};  // limited to the lowest rate, 100 / 256 MB per second
    booked += front.fetches.join(fetch, front.placement.plan(), at(1), front.outbox) ? 1 : 0;
  }
  LONGS_EQUAL(192, booked);  // fill 75 MB per second
  front.fetches.drop({7});
  Fetch again;
  again.want.stream = {400};
  again.want.links = {FetchDesk::linkOf(storeId()), FetchDesk::linkOf({"e1"})};
  again.want.tenantClass = front.placement.plan().classes.at("usual");
  CHECK(front.fetches.join(again, front.placement.plan(), at(1), front.outbox).has_value());
}

TEST(PlacementRungs, NoFetchUsesALinkThatOtherRoutersFill) {
  for (double others : {0.0, 8000.0}) {
    Front front(1, 4, true);
    front.keeps(storeId(), std::span(kPrompt).first(1));
    UsageNotification note{{9}, {}, {}};
    LinkUsage usage;
    usage.link = FetchDesk::linkOf(storeId());
    usage.rate = others;
    usage.fraction = 0.75;
    note.links.push_back(usage);
    front.placement.hear(note, at(0.4));
    front.placement.tick(front.config, at(0.5), front.outbox);
    Placed placed = front.place(kPrompt);
    CHECK_EQUAL(others == 0, placed.collectFrom.has_value());
    LONGS_EQUAL(others == 0 ? 2000 : 10000, placed.toRead);
    LONGS_EQUAL(others == 0 ? 1 : 0, front.fetches.live());
    CHECK_EQUAL(others == 0,
                front.outbox.counters().find("fetch.noRoom") == front.outbox.counters().end());
  }
}
