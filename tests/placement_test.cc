// Placement of requests: the cost model, separation by cache domain and weights version, and
// planned fetches of prefix blocks.
#include "prompts/placement.h"

#include <set>

#include "core/engine_list.h"
#include "prompts/cache_salt.h"
#include "prompts/cost.h"
#include "prompts/fetch_setup.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

const ServiceName kService{"model"};
const ModelName kModel{"llm"};
const std::vector<PromptBlock> kPrompt{{"rules", 8000}, {"own", 2000}};
constexpr double kTargetSetAtSeconds = 2;
constexpr double kOldWeightsSeconds =
    11;  // seconds: the bound of 12, less 1 within which a request starts
constexpr double kEpsilonSeconds = 0.001;

FleetConfig makeConfig(bool withStore, double linkMbps = 80000) {
  FleetConfig config;
  config.version = {1};
  EngineConfig shape;
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
  store.store = StoreConfig{{"10.9.0.1:80"}, {"north"}, 4000000, linkMbps, 4};
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
struct TestRouter {
  Options options;
  Random random;
  EngineRegistry registry{options};
  PrefixBlockIndex index;
  FetchPlanner fetches{options};
  Placement placement;
  FleetConfig config;
  Weights weights;
  Outbox outbox;
  Route route;
  std::vector<EngineId> triedEngines;
  int urgency = 0;
  std::uint64_t lastRequestId = 0, listVersion = 100;

  explicit TestRouter(std::uint64_t seed, int engines = 4, bool withStore = false,
                      const Options& overrides = {})
      : options(overrides),
        random(seed),
        placement(options, registry, index, fetches, random),
        config(makeConfig(withStore)) {
    route.responseTarget = milliseconds(400);
    std::vector<Engine> list;
    for (int number = 1; number <= engines; ++number) list.push_back(makeEngine(number));
    registry.update(list, {1}, at(0));
  }
  void expectBlocks(const EngineId& engine, std::span<const PromptBlock> parts,
                    std::uint64_t version = 1, const char* domain = "") {
    CacheScope scope = cacheScopeOf({domain}, *domain != '\0', {});
    index.recordExpected(engine, cacheSalt(scope, kModel, {version}), parts);
  }
  std::variant<PlacementDecision, PlacementRejection> tryPlace(std::span<const PromptBlock> parts,
                                                               double time = 1,
                                                               const char* tenant = "",
                                                               bool isolated = false) {
    PlacementRequest placementRequest;
    placementRequest.request = {++lastRequestId};
    placementRequest.route = &route;
    placementRequest.service = kService;
    placementRequest.model = kModel;
    placementRequest.tenant = {tenant};
    placementRequest.isolated = isolated;
    placementRequest.urgency = urgency;
    placementRequest.promptBlocks = parts;
    for (const auto& part : parts) placementRequest.promptTokens += part.tokens;
    placementRequest.outputTokens = 20;
    placementRequest.timeLeft = seconds(5);
    placementRequest.triedEngines = triedEngines;
    return placement.place(placementRequest, config, weights, at(time), outbox);
  }
  PlacementDecision place(std::span<const PromptBlock> parts, double time = 1,
                          const char* tenant = "", bool isolated = false) {
    auto placed = tryPlace(parts, time, tenant, isolated);
    CHECK(std::holds_alternative<PlacementDecision>(placed));
    return std::get<PlacementDecision>(placed);
  }
  /// Checks that an engine with old weights is chosen just before this time and not from it on.
  void checkOldWeightsServeUntil(double limit) {
    STRCMP_EQUAL("/llm.1", place(kPrompt, limit - kEpsilonSeconds).salt.c_str());
    auto refused = tryPlace(kPrompt, limit);
    CHECK(std::holds_alternative<PlacementRejection>(refused));
    CHECK(std::get<PlacementRejection>(refused).reason == PlacementFailure::kNoEngine);
  }
  /// Sets the target version of the weights, which this router learns at the same time.
  void setTargetWeights(std::uint64_t version, double time) {
    weights.models[kModel] = {version};
    placement.setTargetWeights(weights, at(time), at(time));
  }
  /// Whether a request is placed if the only engine has these weights.
  bool servesAlone(std::uint64_t version, double time) {
    registry.update({makeEngine(1, version)}, {++listVersion}, at(time));
    return std::holds_alternative<PlacementDecision>(tryPlace(kPrompt, time));
  }
  void addLoad(const EngineId& engine, std::int64_t tokens, int requests = 1) {
    for (int one = 0; one < requests; ++one) registry.recordAttemptSent(engine, tokens / requests);
  }
};

CandidateInputs idleCandidate() {
  CandidateInputs numbers;
  numbers.slots = 16;
  numbers.promptTokens = 10000;
  numbers.sharedTokens = 8000;
  numbers.megabytesPerToken = 0.02;
  numbers.linkMegabytesPerSecond = 10000;
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
    CandidateInputs cheaper, moreExpensive;
  };
  std::vector<Case> cases;
  auto holder = idleCandidate(), collects = idleCandidate(), reads = idleCandidate(),
       far = idleCandidate();
  holder.cachedTokens = holder.sourceTokens = 8000;
  collects.sourceTokens = reads.sourceTokens = far.sourceTokens = 8000;
  collects.mayFetch = far.mayFetch = true;
  far.distanceFactor = 10;
  cases.push_back({"an idle engine with the blocks before a fetch", holder, collects});
  cases.push_back({"a fetch before recomputation", collects, reads});
  cases.push_back({"a near source before a remote one", collects, far});
  auto overloaded = holder;
  overloaded.queuedTokens = 40000;  // 400 ms of prefill
  cases.push_back({"a fetch before an overloaded engine with the blocks", collects, overloaded});
  cases.push_back({"an overloaded engine with the blocks before recomputation", overloaded, reads});
  auto blocked = collects;
  blocked.linkWaitMs = 2500;  // such a fetch is never started, so the blocks are recomputed
  cases.push_back({"an overloaded engine with the blocks before a fetch that is not started",
                   overloaded, blocked});
  auto home = idleCandidate(), second = idleCandidate(), other = idleCandidate();
  second.homeDistance = 0.5;
  other.homeDistance = 1;
  cases.push_back({"the home engine first", home, second});
  cases.push_back({"then the second choice", second, other});
  auto older = holder;
  older.olderWeights = true;
  cases.push_back({"target weights first", holder, older});
  auto overcommitted = holder;
  overcommitted.capacityTokens = 20000;
  overcommitted.usedTokens = 30000;
  cases.push_back({"free memory first", holder, overcommitted});
  for (const auto& one : cases)
    CHECK_TEXT(costOf(one.cheaper, weights).total < costOf(one.moreExpensive, weights).total,
               one.name);
}

TEST(PlacementCost, TimeToFirstEventMatchesAManualCalculation) {
  auto numbers = idleCandidate();
  numbers.cachedTokens = 2000;
  numbers.sourceTokens = 8000;
  numbers.mayFetch = true;
  numbers.queuedTokens = 500;
  numbers.distanceFactor = 2;
  auto cost = costOf(numbers, CostWeights{});
  DOUBLES_EQUAL(6000, cost.fetchedTokens, 1e-9);
  DOUBLES_EQUAL(2000, cost.prefillTokens, 1e-9);
  // Queue 5 ms, prefill 20 ms, fetch 2 ms plus 120 MB at 10 MB per ms, counted twice for the
  // distance.
  DOUBLES_EQUAL(5 + 20 + 2 + 24, cost.firstEventMs, 1e-9);
}

TEST(PlacementCost, FreeSlotForecastsAreBounded) {
  for (double running : {1.0, 16.0, 20.0, 300.0}) {
    CHECK(freeSlotForecastMs(running, 16, 3) >= 50);
    CHECK(freeSlotForecastMs(running, 16, 3) <= 500);
  }
  CHECK(freeSlotForecastMs(16, 16, 0) < freeSlotForecastMs(16, 16, 8));
}

// ---- choice of an engine ----
TEST_GROUP(Placement){};

TEST(Placement, AnIdleEngineWithTheBlocksGetsTheRequest) {
  TestRouter router(1);
  router.expectBlocks({"e3"}, kPrompt);
  for (int turn = 0; turn < 10; ++turn) {
    PlacementDecision placed = router.place(kPrompt);
    STRCMP_EQUAL("e3", placed.engine.value.c_str());
    STRCMP_EQUAL("/llm.1", placed.salt.c_str());
    CHECK_EQUAL(1, placed.version->value);
    CHECK_FALSE(placed.collectFrom.has_value());
    LONGS_EQUAL(0, placed.prefillTokens);
  }
}

TEST(Placement, BlocksAreFetchedFromAnOverloadedEngine) {
  TestRouter router(1);
  router.expectBlocks({"e3"}, std::span(kPrompt).first(1));
  router.addLoad({"e3"}, 40000);
  PlacementDecision placed = router.place(kPrompt);
  CHECK(placed.engine != EngineId{"e3"});
  STRCMP_EQUAL("10.1.0.3:80", placed.collectFrom->value.c_str());
  LONGS_EQUAL(2000, placed.prefillTokens);
  LONGS_EQUAL(1, router.fetches.activeFetches());
  router.placement.recordFirstEvent({router.lastRequestId}, milliseconds(60), at(1.06),
                                    router.outbox);
  LONGS_EQUAL(0, router.fetches.activeFetches());
}

TEST(Placement, WithoutLinkCapacityTheEngineWithTheBlocksIsChosen) {
  TestRouter router(1);
  router.config = makeConfig(false, 0);  // engines without link capacity
  router.expectBlocks({"e3"}, std::span(kPrompt).first(1));
  router.addLoad({"e3"}, 30000);
  PlacementDecision placed = router.place(kPrompt);
  STRCMP_EQUAL("e3", placed.engine.value.c_str());
  CHECK_FALSE(placed.collectFrom.has_value());
}

TEST(Placement, BlocksThatNoEngineCachesAreFetchedFromTheStore) {
  TestRouter router(1, 4, true);
  router.expectBlocks(storeId(), std::span(kPrompt).first(1));
  PlacementDecision placed = router.place(kPrompt);
  STRCMP_EQUAL("10.9.0.1:80", placed.collectFrom->value.c_str());
  CHECK_FALSE(placed.depositAt.has_value());
  LONGS_EQUAL(2000, placed.prefillTokens);
}

TEST(Placement, NewlyComputedBlocksAreDepositedInTheStoreOnce) {
  TestRouter router(1, 4, true);
  PlacementDecision placed = router.place(kPrompt);
  CHECK_FALSE(placed.collectFrom.has_value());
  STRCMP_EQUAL("10.9.0.1:80", placed.depositAt->value.c_str());
  router.expectBlocks(placed.engine, kPrompt);
  CHECK_FALSE(router.place(kPrompt).depositAt.has_value());
}

TEST(Placement, AllRoutersChooseTheSameHomeForUncachedBlocks) {
  TestRouter one(1, 18), two(2, 18);
  std::set<EngineId> homes;
  for (int part = 0; part < 60; ++part) {
    std::vector<PromptBlock> prompt{{"rules" + std::to_string(part), 8000}, {"own", 2000}};
    PlacementDecision first = one.place(prompt), second = two.place(prompt);
    CHECK(first.engine == second.engine);
    homes.insert(first.engine);
  }
  CHECK(homes.size() >= 12);  // the homes are spread over the engines
}

TEST(Placement, AllRoutersChooseTheSameHomeAmongHundredsOfEngines) {
  TestRouter one(1, 400), two(2, 400);
  std::set<EngineId> homes;
  for (int part = 0; part < 60; ++part) {
    std::vector<PromptBlock> prompt{{"rules" + std::to_string(part), 8000}, {"own", 2000}};
    PlacementDecision first = one.place(prompt);
    CHECK(first.engine == two.place(prompt).engine);
    homes.insert(first.engine);
  }
  CHECK(homes.size() >= 40);
  one.expectBlocks({"e77"}, kPrompt);
  STRCMP_EQUAL("e77", one.place(kPrompt).engine.value.c_str());
}

TEST(Placement, TinyAndUbiquitousBlocksHaveNoHome) {
  TestRouter router(1, 8);
  std::vector<PromptBlock> tiny{{"hello", 60}, {"own", 900}};
  std::set<EngineId> engines;
  for (int turn = 0; turn < 60; ++turn) engines.insert(router.place(tiny).engine);
  CHECK(engines.size() >= 6);
  // A block that most engines cache no longer determines the home; the next block does.
  for (int number = 1; number <= 8; ++number)
    router.expectBlocks({"e" + std::to_string(number)}, std::vector<PromptBlock>{{"all", 9000}});
  engines.clear();
  for (int turn = 0; turn < 20; ++turn)
    engines.insert(
        router.place(std::vector<PromptBlock>{{"all", 9000}, {"rules", 3000}, {"own", 900}})
            .engine);
  LONGS_EQUAL(1, engines.size());
}

TEST(Placement, IsolatedTenantsNeverShareCachedBlocks) {
  TestRouter router(1, 4, true);
  router.expectBlocks({"e1"}, kPrompt);
  router.expectBlocks({"e2"}, kPrompt, 1, "desk");
  PlacementDecision desk = router.place(kPrompt, 1, "desk", true);
  PlacementDecision trail = router.place(kPrompt, 1, "trail", true);
  PlacementDecision open = router.place(kPrompt, 1, "other", false);
  std::set<std::string> salts{desk.salt, trail.salt, open.salt};
  LONGS_EQUAL(3, salts.size());
  STRCMP_EQUAL("e2", desk.engine.value.c_str());
  STRCMP_EQUAL("e1", open.engine.value.c_str());
  LONGS_EQUAL(10000, trail.prefillTokens);  // the blocks of other tenants are not usable
  CHECK_FALSE(trail.collectFrom.has_value());
  // Different domains and models never yield the same salt.
  auto isolatedSalt = [](const char* tenant, const char* model) {
    return cacheSalt(cacheScopeOf({tenant}, true, {}), {model}, {1});
  };
  auto sharedSalt = [](std::uint64_t generation, const char* model) {
    return cacheSalt(cacheScopeOf({"any"}, false, {generation}), {model}, {1});
  };
  CHECK(isolatedSalt("a", "m") != sharedSalt(0, "a/m"));
  CHECK(isolatedSalt("a", "b/m") != isolatedSalt("a/b", "m"));
  CHECK(isolatedSalt("a", "m") != sharedSalt(1, ":a/m"));
  CHECK(isolatedSalt("", "m") != sharedSalt(0, "m"));
  CHECK(sharedSalt(1, "m") != sharedSalt(0, "m"));
  CHECK(sharedSalt(1, "1/m") != sharedSalt(11, "m"));
}

TEST(Placement, NewWeightsChangeTheSalt) {
  TestRouter router(1);
  router.expectBlocks({"e1"}, kPrompt);
  router.place(kPrompt);  // the router has seen the initial weights
  std::vector<Engine> list;
  for (int number = 1; number <= 4; ++number)
    list.push_back(makeEngine(number, number == 1 ? 1 : 2));
  router.registry.update(list, {2}, at(kTargetSetAtSeconds));
  router.setTargetWeights(2, kTargetSetAtSeconds);
  PlacementDecision soon = router.place(kPrompt, kTargetSetAtSeconds);
  if (soon.engine != EngineId{"e1"}) {
    STRCMP_EQUAL("/llm.2", soon.salt.c_str());
    CHECK_FALSE(soon.collectFrom.has_value());
  }
  // Just before the limit, an engine with old weights still serves a request that has no other
  // left.
  router.triedEngines = {{"e2"}, {"e3"}, {"e4"}};
  PlacementDecision last =
      router.place(kPrompt, kTargetSetAtSeconds + kOldWeightsSeconds - kEpsilonSeconds);
  STRCMP_EQUAL("e1", last.engine.value.c_str());
  STRCMP_EQUAL("/llm.1", last.salt.c_str());
  CHECK(std::get<PlacementRejection>(
            router.tryPlace(kPrompt, kTargetSetAtSeconds + kOldWeightsSeconds))
            .reason == PlacementFailure::kNoEngine);
  router.triedEngines.clear();
  for (int turn = 0; turn < 20; ++turn) {
    PlacementDecision late = router.place(
        kPrompt, kTargetSetAtSeconds + kOldWeightsSeconds);  // no request starts on old weights
    CHECK(late.engine != EngineId{"e1"});
    CHECK_EQUAL(2, late.version->value);
    STRCMP_EQUAL("/llm.2", late.salt.c_str());
    LONGS_EQUAL(10000, late.prefillTokens);
  }
}

TEST(Placement, OldWeightsServeOnlyUntilTheTimeLimit) {
  TestRouter router(1);
  router.place(kPrompt);
  router.setTargetWeights(2, kTargetSetAtSeconds);
  STRCMP_EQUAL("/llm.1", router.place(kPrompt, kTargetSetAtSeconds).salt.c_str());
  router.checkOldWeightsServeUntil(kTargetSetAtSeconds + kOldWeightsSeconds);
  // A router that started after the target was set can't know when that was.
  TestRouter later(2);
  later.weights.models[kModel] = {2};
  later.placement.setTargetWeights(later.weights, kNever, at(0));
  CHECK(std::holds_alternative<PlacementRejection>(later.tryPlace(kPrompt, 1)));
}

// An engine's time limit starts at the first target above its version; later targets don't extend
// it.
TEST(Placement, TheTimeLimitStartsAtTheFirstTargetAboveTheEnginesVersion) {
  for (std::uint64_t version : {1, 2, 3}) {
    TestRouter router(version);
    router.place(kPrompt);
    router.setTargetWeights(2, 2);
    router.setTargetWeights(3, 9);
    router.setTargetWeights(4, 12);
    const double namedAt[] = {2, 9, 12};
    double limit = namedAt[version - 1] + kOldWeightsSeconds;
    CHECK_TRUE(router.servesAlone(version, limit - kEpsilonSeconds));
    CHECK_FALSE(router.servesAlone(version, limit));
    CHECK_TRUE(router.servesAlone(4, 60));
  }
}

TEST(Placement, TheTimeLimitOfOldWeightsFollowsTheConfiguredBound) {
  Options options;
  options.weightsWithin = seconds(7);
  TestRouter router(1, 4, false, options);
  router.place(kPrompt);
  router.setTargetWeights(2, kTargetSetAtSeconds);
  router.place(kPrompt, kTargetSetAtSeconds);
  router.checkOldWeightsServeUntil(kTargetSetAtSeconds + 6);
}

// A change of leader doesn't extend the time limit; only time without any leader is added to it.
TEST(Placement, TimeWithoutALeaderExtendsTheLimitOfOldWeights) {
  TestRouter router(1);
  router.place(kPrompt);
  router.setTargetWeights(2, kTargetSetAtSeconds);
  router.placement.addLeaderOutage(seconds(3));
  router.checkOldWeightsServeUntil(kTargetSetAtSeconds + kOldWeightsSeconds + 3);
  // A later target does not extend the limit that the first one started.
  router.setTargetWeights(3, 12);
  CHECK(std::holds_alternative<PlacementRejection>(
      router.tryPlace(kPrompt, kTargetSetAtSeconds + kOldWeightsSeconds + 3)));
  // A target set before this process started counts as expired; the outage doesn't extend it.
  TestRouter later(2);
  later.weights.models[kModel] = {2};
  later.placement.setTargetWeights(later.weights, kNever, at(0));
  later.placement.addLeaderOutage(seconds(3));
  CHECK(std::holds_alternative<PlacementRejection>(later.tryPlace(kPrompt, 1)));
}

TEST(Placement, ALongQueueShortensTheTimeLimitOfOldWeights) {
  TestRouter router(1, 1);
  router.place(kPrompt);
  router.setTargetWeights(2, kTargetSetAtSeconds);
  double nearEnd = kTargetSetAtSeconds + kOldWeightsSeconds - 0.5;
  CHECK(std::holds_alternative<PlacementDecision>(router.tryPlace(kPrompt, nearEnd)));
  router.addLoad({"e1"}, 400000, 4);  // seconds of prefill, even on a fast engine
  CHECK(std::holds_alternative<PlacementRejection>(router.tryPlace(kPrompt, nearEnd)));
  CHECK(std::holds_alternative<PlacementDecision>(router.tryPlace(kPrompt, kTargetSetAtSeconds)));
}

TEST(Placement, FullEnginesRejectWithARetryForecast) {
  TestRouter router(1, 2);
  router.addLoad({"e1"}, 1600, 16);
  CHECK(router.place(kPrompt).engine == EngineId{"e2"});
  router.addLoad({"e2"}, 1600, 20);
  auto refused = std::get<PlacementRejection>(router.tryPlace(kPrompt));
  CHECK(refused.reason == PlacementFailure::kFull);
  CHECK(refused.retryAfter >= milliseconds(50) && refused.retryAfter <= milliseconds(500));
}

TEST(Placement, TheLastSlotsAreReservedForMoreUrgentRequests) {
  TestRouter router(1, 1);
  router.addLoad({"e1"}, 1500, 15);
  router.urgency = 9;
  CHECK(std::get<PlacementRejection>(router.tryPlace(kPrompt)).reason == PlacementFailure::kFull);
  router.urgency = 0;
  CHECK(router.place(kPrompt).engine == EngineId{"e1"});
  // A load that admits one urgency admits every more urgent one.
  for (int running = 0; running <= 16; ++running) {
    TestRouter loaded(1, 1);
    if (running > 0) loaded.addLoad({"e1"}, 100, running);
    bool admitted = true;
    for (loaded.urgency = 0; loaded.urgency <= 9; ++loaded.urgency) {
      bool now = std::holds_alternative<PlacementDecision>(loaded.tryPlace(kPrompt));
      CHECK(admitted || !now);
      admitted = now;
    }
    CHECK_EQUAL(running < 15, admitted);
  }
}

TEST(Placement, RejectionsWithoutEnginesNameARetryTime) {
  TestRouter router(1, 2);
  router.triedEngines = {{"e1"}, {"e2"}};
  auto refused = std::get<PlacementRejection>(router.tryPlace(kPrompt));
  CHECK(refused.reason == PlacementFailure::kNoEngine);
  CHECK(refused.retryAfter >= milliseconds(300) && refused.retryAfter <= milliseconds(600));
  std::vector<PromptBlock> huge{{"rules", 190000}, {"own", 20000}};
  router.triedEngines.clear();
  CHECK(std::get<PlacementRejection>(router.tryPlace(huge)).retryAfter == seconds(5));
}

TEST(Placement, PrefillSpeedIsLearnedFromFirstEvents) {
  TestRouter router(1, 1);
  DOUBLES_EQUAL(100, router.placement.prefillSpeed().tokensPerMs({"e1"}, kService), 1e-9);
  for (int turn = 0; turn < 60; ++turn) {
    std::vector<PromptBlock> prompt{{"p" + std::to_string(turn), 8000}, {"own", 2000}};
    router.place(prompt, 1 + turn);
    router.placement.recordFirstEvent({router.lastRequestId}, milliseconds(60), at(1.06 + turn),
                                      router.outbox);
  }
  DOUBLES_EQUAL(200, router.placement.prefillSpeed().tokensPerMs({"e1"}, kService),
                10);  // 10 ms are latency
  LONGS_EQUAL(0, router.fetches.activeFetches());
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
  FetchPlanner desk{Options{}};
  desk.setRegions({{{"north"}, "west"}, {{"south"}, "west"}, {{"far"}, "east"}});
  LONGS_EQUAL(1, desk.transferWeight({"north"}, {"north"}));
  LONGS_EQUAL(2, desk.transferWeight({"north"}, {"south"}));
  LONGS_EQUAL(10, desk.transferWeight({"north"}, {"far"}));
}

TEST(PlacementRungs, RoutersWithEqualUsageReportsChooseTheSameRates) {
  TestRouter one(1, 6, true), two(2, 6, true);
  std::vector<TestRouter*> routers{&one, &two};
  for (TestRouter* router : routers) {
    // Few fetches fit a link, so that the plan has to limit them.
    router->config = makeConfig(true, 800);
    router->route.responseTarget = seconds(3);
    router->expectBlocks(storeId(), std::span(kPrompt).first(1));
    router->placement.tick(router->config, at(0.5), router->outbox);
  }
  for (int turn = 0; turn < 6; ++turn) {
    one.place(kPrompt, 1 + 0.01 * turn);
    if (turn % 2 == 0) two.place(kPrompt, 1 + 0.01 * turn);
  }
  for (int turn = 0; turn <= 40; ++turn)
    for (TestRouter* router : routers)
      router->placement.tick(router->config, at(1.1 + 0.05 * turn), router->outbox);
  CHECK(one.fetches.activeFetches() > 0);
  auto first = one.placement.usageReport({1}, at(3.2)),
       second = two.placement.usageReport({2}, at(3.2));
  one.placement.handle(second, at(3.25));
  two.placement.handle(first, at(3.25));
  for (TestRouter* router : routers) router->placement.tick(router->config, at(6), router->outbox);
  const auto &groups = one.fetches.plan().groups, &others = two.fetches.plan().groups;
  CHECK(!groups.empty());
  CHECK_EQUAL(groups.size(), others.size());
  for (std::size_t index = 0; index < groups.size(); ++index) {
    CHECK(groups[index].link == others[index].link);
    DOUBLES_EQUAL(groups[index].level, others[index].level, 1e-12);
  }
  // New fetches of both get the highest rate whose value doesn't exceed the common level.
  Fetch fetch;
  fetch.planStream.stream = {1000};
  fetch.planStream.links = {FetchPlanner::linkOf(storeId()), FetchPlanner::linkOf({"e1"})};
  fetch.className = "usual";
  fetch.planStream.tenantClass = one.placement.fetchPlan().classes.at("usual");
  fetch.planStream.topRung = 3;
  fetch.tenant = {"new"};
  auto rung = one.fetches.reserve(fetch, one.placement.fetchPlan(), at(6), one.outbox);
  auto other = two.fetches.reserve(fetch, two.placement.fetchPlan(), at(6), two.outbox);
  CHECK(rung == other);
  if (rung)
    CHECK_EQUAL(
        highestRungWithin(one.placement.fetchPlan().rungs, fetch.planStream, groups[0].level),
        *rung);
}

TEST(PlacementRungs, FetchesAreAdmittedWhileTheLowestRateFits) {
  TestRouter router(1, 2, true);
  router.config = makeConfig(true, 800);  // 100 MB per second, of which 75 may be planned
  router.placement.tick(router.config, at(0.5), router.outbox);
  int booked = 0;
  for (std::uint64_t stream = 1; stream <= 300; ++stream) {
    Fetch fetch;
    fetch.planStream.stream = {stream};
    fetch.planStream.links = {FetchPlanner::linkOf(storeId()), FetchPlanner::linkOf({"e1"})};
    fetch.className = "usual";
    fetch.planStream.tenantClass = router.placement.fetchPlan().classes.at("usual");
    fetch.tenant = {"one"};  // limited to the lowest rate, 100 / 256 MB per second
    booked +=
        router.fetches.reserve(fetch, router.placement.fetchPlan(), at(1), router.outbox) ? 1 : 0;
  }
  LONGS_EQUAL(192, booked);  // fill 75 MB per second
  router.fetches.remove({7});
  Fetch again;
  again.planStream.stream = {400};
  again.planStream.links = {FetchPlanner::linkOf(storeId()), FetchPlanner::linkOf({"e1"})};
  again.planStream.tenantClass = router.placement.fetchPlan().classes.at("usual");
  CHECK(router.fetches.reserve(again, router.placement.fetchPlan(), at(1), router.outbox)
            .has_value());
}

TEST(PlacementRungs, NoFetchUsesALinkThatOtherRoutersFill) {
  for (double others : {0.0, 8000.0}) {
    TestRouter router(1, 4, true);
    router.expectBlocks(storeId(), std::span(kPrompt).first(1));
    LinkUsageNotification note{{9}, {}, {}};
    LinkUsage usage;
    usage.link = FetchPlanner::linkOf(storeId());
    usage.rate = others;
    usage.usableFraction = 0.75;
    note.links.push_back(usage);
    router.placement.handle(note, at(0.4));
    router.placement.tick(router.config, at(0.5), router.outbox);
    PlacementDecision placed = router.place(kPrompt);
    CHECK_EQUAL(others == 0, placed.collectFrom.has_value());
    LONGS_EQUAL(others == 0 ? 2000 : 10000, placed.prefillTokens);
    LONGS_EQUAL(others == 0 ? 1 : 0, router.fetches.activeFetches());
    CHECK_EQUAL(others == 0,
                router.outbox.counters().find("fetch.noRoom") == router.outbox.counters().end());
  }
}
