// Tests of the fleet for cost measurements: it forms, applies changes and detects stopped members.
#include "sim/hollow_measures.h"
#include "sim/runner.h"
#include "sim/world.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

HollowShape smallShape() {
  HollowShape shape;
  shape.fronts = 6;
  shape.seed = 5;
  return shape;
}

HollowPlan shortPlan() {
  HollowPlan plan;
  plan.window = seconds(3);
  plan.changes = 1;
  return plan;
}

}  // namespace

TEST_GROUP(Hollow){};

TEST(Hollow, MessageKindNamesMatchTheWireNames) {
  STRCMP_EQUAL("Shuffle", std::string(messageKindName(Message{Shuffle{}}.index())).c_str());
  STRCMP_EQUAL("UsageNote",
               std::string(messageKindName(Message{UsageNotification{}}.index())).c_str());
  STRCMP_EQUAL("CaretakerNote",
               std::string(messageKindName(Message{ReadLeaderNotification{}}.index())).c_str());
  STRCMP_EQUAL("EngineUse", std::string(messageKindName(Message{EngineUse{}}.index())).c_str());
  STRCMP_EQUAL("PartAsk",
               std::string(messageKindName(Message{PrefixBlockRequest{}}.index())).c_str());
}

TEST(Hollow, FleetElectsALeaderAndMembersLearnOfEachOther) {
  HollowFleet fleet(smallShape());
  fleet.run(seconds(6));
  CHECK(fleet.primary().has_value());
  UNSIGNED_LONGS_EQUAL(1, fleet.backups().size());
  CHECK(fleet.whole());
  UNSIGNED_LONGS_EQUAL(0, fleet.wronglyDead());
}

TEST(Hollow, ChangeIsInstalledEverywhereBeforeItIsAcknowledged) {
  Json told = measureFleet(smallShape(), shortPlan());
  UNSIGNED_LONGS_EQUAL(1, told["changes"]["inForce"].size());
  CHECK(told["changes"]["inForce"][0] < told["changes"]["yes"][0]);
  CHECK(told["changes"]["yes"][0] < 2.0);
}

TEST(Hollow, StoppedRouterIsDetectedByAllAndRejoins) {
  Json told = measureFleet(smallShape(), shortPlan());
  CHECK(told["stops"]["allNoticed"].is_number());
  CHECK(told["stops"]["last"] < 6.0);
  CHECK(told["stops"]["backWhole"].is_number());
}

TEST(Hollow, BytesSentMatchBytesReceived) {
  Json told = measureFleet(smallShape(), shortPlan());
  double sent = 0, taken = 0;
  for (const auto& [role, cost] : told["roles"].items()) {
    sent += cost["bytesOut"].get<double>() * cost["members"].get<double>();
    taken += cost["bytesIn"].get<double>() * cost["members"].get<double>();
  }
  DOUBLES_EQUAL(sent, taken, sent * 0.05);  // messages in flight at both ends of the window
  CHECK(sent > 0);
}

TEST(Hollow, SameSeedReproducesARunExceptForTimeAndMemory) {
  Json one = measureFleet(smallShape(), shortPlan()),
       other = measureFleet(smallShape(), shortPlan());
  CHECK(one["stops"] == other["stops"]);
  CHECK(one["changes"]["inForce"] == other["changes"]["inForce"]);
  CHECK(one["roles"]["front"]["bytesOut"] == other["roles"]["front"]["bytesOut"]);
}

TEST(Hollow, EnginesAreProbedAndTheirPrefixIndexIsReplicated) {
  HollowShape shape = smallShape();
  shape.engines = 12;
  shape.keptParts = 5;
  HollowPlan plan = shortPlan();
  plan.changes = plan.stops = 0;
  Json told = measureFleet(shape, plan);
  CHECK(told["kinds"].contains("PictureNote"));
  CHECK(told["kinds"].contains("IndexPut"));
  CHECK(told["roles"]["front"]["webCalls"] > 2.0);
}

TEST(Hollow, PartitionedRegionRejoinsAfterTheHeal) {
  HollowShape shape = smallShape();
  HollowPlan plan = shortPlan();
  plan.changes = plan.stops = 0;
  plan.cutRegion = 1;
  plan.cutFor = seconds(8);
  Json told = measureFleet(shape, plan);
  CHECK(told["cut"]["whole"].is_number());
  UNSIGNED_LONGS_EQUAL(1, told["cut"]["change"]["inForce"].size());
}

TEST(Hollow, RoutersWithoutFetchesReportUsageTwiceThenStop) {
  HollowFleet fleet(smallShape());
  fleet.run(seconds(6));
  fleet.ask(4, firstChange(8, "1.1"));
  fleet.run(seconds(4));
  UNSIGNED_LONGS_EQUAL(6 * 2, fleet.counter("usage.told"));
  CHECK(fleet.counter("usage.silent") > 6 * 10);
}

TEST(Hollow, RoutersWithFetchesReportUsageAndStopAfterTheLast) {
  auto scenario = loadScenario(SOURCE_FOLDER "/scenarios/00-ordinary-day.txt");
  CHECK(scenario.ok());
  World world(*scenario, 3);
  world.run();  // no new streams start in the last 14 s
  double begun = 0;
  for (const auto& process : world.processes()) {
    if (process->role != Role::kFront || !process->alive) continue;
    const auto& counters = process->node->outbox().counters();
    auto fetches = counters.find("fetch.begun");
    if (fetches == counters.end()) continue;
    begun += static_cast<double>(fetches->second);
    CHECK(counters.at("usage.told") > 2);
    CHECK(counters.at("usage.silent") > 5);
  }
  CHECK(begun > 0);
}

TEST(Hollow, ManyTenantsDoNotLoadAnIdleLeader) {
  HollowShape shape = smallShape();
  HollowPlan plan = shortPlan();
  plan.changes = plan.stops = 0;
  shape.tenants = 2000;
  Json told = measureFleet(shape, plan);
  CHECK(told["roles"]["primary"]["micros"] < 50'000.0);  // a regression took 250,000 and more
}

TEST(Hollow, LargeFleetWithoutFaultsKeepsItsVoters) {
  // Gossip of the cores' heartbeats takes longest in a large fleet. A late heartbeat must not cause
  // a view change, since no change is acknowledged during one.
  HollowShape shape;
  shape.fronts = 81;
  shape.cores = 8;
  shape.backups = 2;
  shape.voterSlots = 5;
  shape.seed = 8;
  HollowFleet fleet(shape);
  fleet.run(seconds(12));
  auto leader = fleet.primary();
  CHECK(leader.has_value());
  std::uint64_t before = fleet.counter("views.gathered");
  fleet.run(seconds(15));
  UNSIGNED_LONGS_EQUAL(before, fleet.counter("views.gathered"));
  CHECK(fleet.primary() == leader);
}
