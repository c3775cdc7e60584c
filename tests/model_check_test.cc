// The model checker finds each fault injected into the control code, its schedules replay exactly,
// and the control code without faults breaks no rule within a small bound.
#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

#include "model/search.h"
#include "tests/testing.h"

using namespace peppergate;
using namespace peppergate::model;

namespace {

struct AllowedAction {
  ActionKind kind;
  int maxCount;
};

/// An injected fault and the smallest search that finds it.
struct FaultCase {
  ControlFault fault;
  Rule rule;  // the rule that the fault breaks
  int machines;
  int voters;
  double horizon;  // seconds
  Granularity granularity;
  int departures;
  std::vector<AllowedAction> allowed;  // empty: all kinds within their default limits
};

ModelOptions optionsFor(const FaultCase& faultCase) {
  ModelOptions options;
  options.machines = faultCase.machines;
  options.voters = faultCase.voters;
  options.horizon = seconds(faultCase.horizon);
  options.granularity = faultCase.granularity;
  options.changes = 1;
  options.rules.add(faultCase.rule);
  if (!faultCase.allowed.empty()) options.limits.fill(0);
  for (const auto& allowed : faultCase.allowed) options.limit(allowed.kind) = allowed.maxCount;
  return options;
}

SearchReport runSearch(const ModelOptions& options, int departures) {
  SearchBounds bounds;
  bounds.departures = departures;
  bounds.threads = 2;
  auto report = search(options, bounds);
  CHECK_TEXT(report.ok(), "the fleet did not settle");
  return *report;
}

/// Checks that the search finds the fault and that the failing schedule replays from its text.
void expectFound(const FaultCase& faultCase) {
  ModelOptions options = optionsFor(faultCase);
  options.faults.set(faultCase.fault);
  SearchReport withFault = runSearch(options, faultCase.departures);
  CHECK_TEXT(!withFault.violation.empty(), "the fault was not found");
  auto read = parseSchedule(scheduleText(*withFault.failingSchedule));
  CHECK(read.ok());
  auto replayed = replay(*read);
  CHECK(replayed.ok());
  STRCMP_EQUAL(withFault.violation.c_str(), replayed->violation.c_str());
}

/// Checks that the same search without the fault finds no violation.
void expectCleanWithout(const FaultCase& faultCase) {
  SearchReport withoutFault = runSearch(optionsFor(faultCase), faultCase.departures);
  CHECK_TEXT(withoutFault.violation.empty(), withoutFault.violation.c_str());
  CHECK(withoutFault.finished);
}

void expectFoundAndCleanWithout(const FaultCase& faultCase) {
  expectFound(faultCase);
  expectCleanWithout(faultCase);
}

}  // namespace

TEST_GROUP(ModelCheck){};

TEST(ModelCheck, FindsAMajorityThatIsOffByOne) {
  using enum ActionKind;
  expectFoundAndCleanWithout({ControlFault::kMajorityOffByOne,
                              Rule::kOneLeader,
                              4,
                              0,
                              4.5,
                              Granularity::kCoarse,
                              2,
                              {{kPartition, 2}}});
}

TEST(ModelCheck, FindsALeaseThatIsNotWaitedOut) {
  expectFoundAndCleanWithout(
      {ControlFault::kLeaseNotWaitedOut, Rule::kOneLeader, 3, 0, 3, Granularity::kFine, 1, {}});
}

TEST(ModelCheck, FindsAReplyBeforeItsWriteIsSynced) {
  using enum ActionKind;
  expectFoundAndCleanWithout({ControlFault::kSyncSkipped,
                              Rule::kAcknowledgedChangesPersist,
                              3,
                              0,
                              2.4,
                              Granularity::kFine,
                              2,
                              {{kCrashAndRestart, 1}, {kCrash, 1}}});
}

TEST(ModelCheck, FindsAnIgnoredReplicaTag) {
  using enum ActionKind;
  expectFoundAndCleanWithout({ControlFault::kReplicaTagIgnored,
                              Rule::kAcknowledgedChangesPersist,
                              3,
                              0,
                              3.3,
                              Granularity::kCoarse,
                              3,
                              {{kCrash, 2}, {kRestart, 1}}});
}

TEST(ModelCheck, FindsDroppedRememberedChanges) {
  using enum ActionKind;
  expectFoundAndCleanWithout({ControlFault::kRememberedChangesDropped,
                              Rule::kAcknowledgedChangesPersist,
                              3,
                              0,
                              4.5,
                              Granularity::kCoarse,
                              1,
                              {{kCrash, 1}}});
}

TEST(ModelCheck, FindsNewVotersWithoutAMajorityOfTheFormerOnes) {
  using enum ActionKind;
  expectFoundAndCleanWithout({ControlFault::kFormerMajoritySkipped,
                              Rule::kOneLeader,
                              4,
                              3,
                              4.5,
                              Granularity::kFine,
                              2,
                              {{kPartition, 2}}});
}

TEST(ModelCheck, ADiskLossAfterAPlannedReplacementLosesNothing) {
  using enum ActionKind;
  for (int lost : {0, 1, 3}) {  // the leader, its backup, the new machine
    ModelOptions options;
    options.horizon = seconds(20);
    options.recovery = seconds(12);
    auto world = ModelWorld::createSettled(options);
    CHECK(world.ok());
    auto wait = [&](double length) {
      for (MonotonicTime until = world->now() + seconds(length); world->now() < until;)
        world->apply({});
    };
    auto performWhenPossible = [&](const Action& action) {  // as soon as it is possible
      auto isPossible = [&] {
        std::vector<Action> choices = world->choices();
        return std::ranges::find(choices, action) != choices.end();
      };
      while (!isPossible() && !world->hasEnded()) world->apply({});
      world->apply(action);
    };
    performWhenPossible({kJoin, 0});
    wait(3);
    performWhenPossible({kLeave, 2});
    wait(8);
    performWhenPossible({kWipe, lost});
    wait(4);
    world->finish();
    CHECK_TEXT(world->checker().violation().empty(), world->checker().violation().c_str());
  }
}

namespace {

/// A fleet whose machines are replaced by a test, step by step.
class ReplacementScenario {
 public:
  ReplacementScenario(int machines, int tolerate, ControlFaultInjection faults = {}) {
    ModelOptions options;
    options.faults = faults;
    options.machines = machines;
    options.tolerate = tolerate;
    options.horizon = seconds(60);
    options.recovery = seconds(12);
    options.changes = 2;
    options.limits.fill(9);
    auto settled = ModelWorld::createSettled(options);
    CHECK(settled.ok());
    world_.emplace(std::move(*settled));
  }
  void wait(double length) {
    for (MonotonicTime until = world_->now() + seconds(length); world_->now() < until;)
      world_->apply({});
  }
  /// Performs the action as soon as it is possible.
  void performWhenPossible(const Action& action) {
    auto isPossible = [&] {
      std::vector<Action> choices = world_->choices();
      return std::ranges::find(choices, action) != choices.end();
    };
    while (!isPossible() && !world_->hasEnded()) world_->apply({});
    world_->apply(action);
  }
  int leader() const { return world_->leader(); }
  std::size_t voters() const {
    int leader = world_->leader();
    if (leader < 0) return 0;
    const auto& machine = world_->machines()[static_cast<std::size_t>(leader)];
    return machine.node->leadership().view().voters.size();
  }
  bool hasLeft(int machine) const {
    return world_->machines()[static_cast<std::size_t>(machine)].removed;
  }
  /// The broken rule after all faults have ended; empty if none.
  std::string violationAtEnd() {
    world_->finish();
    return world_->checker().violation();
  }

 private:
  std::optional<ModelWorld> world_;
};

/// Replaces a machine other than the leader, which loses its disk right after the machine is asked
/// to leave. Returns the broken rule; empty if none.
std::string violationAfterLeaderLossDuringLeave(int leaver, ControlFaultInjection faults) {
  using enum ActionKind;
  ReplacementScenario fleet(3, 1, faults);
  fleet.performWhenPossible({kJoin, 0});
  fleet.wait(6);
  int leader = fleet.leader();
  if (leader == leaver) return "";
  fleet.performWhenPossible({kLeave, leaver});
  fleet.performWhenPossible({kWipe, leader});
  fleet.wait(12);
  return fleet.violationAtEnd();
}

struct FleetSize {
  int machines;
  int tolerate;
};
constexpr std::array kFleetSizes{FleetSize{3, 1}, FleetSize{4, 1}, FleetSize{5, 1},
                                 FleetSize{5, 2}, FleetSize{8, 2}, FleetSize{9, 2}};

}  // namespace

TEST(ModelCheck, SuccessorsThatJoinFirstLeaveNoUnusedVoterSlot) {
  using enum ActionKind;
  for (const auto& [machines, tolerate] : kFleetSizes) {
    ReplacementScenario fleet(machines, tolerate);
    for (int turn = 0; turn < tolerate; ++turn) fleet.performWhenPossible({kJoin, 0});
    fleet.wait(5);
    for (int turn = 0; turn < tolerate; ++turn) fleet.performWhenPossible({kLeave, turn});
    fleet.wait(4);
    for (int turn = 0; turn < tolerate; ++turn) CHECK(fleet.hasLeft(turn));
    CHECK(fleet.voters() <= static_cast<std::size_t>(machines));
    for (int turn = 0; turn < tolerate; ++turn)
      fleet.performWhenPossible({kWipe, machines - 1 - turn});
    fleet.wait(4);
    std::string violation = fleet.violationAtEnd();
    CHECK_TEXT(violation.empty(), violation.c_str());
  }
}

TEST(ModelCheck, SuccessorsThatJoinLaterTakeTheVoterSlots) {
  using enum ActionKind;
  for (const auto& [machines, tolerate] : kFleetSizes) {
    ReplacementScenario fleet(machines, tolerate);
    fleet.performWhenPossible({kLeave, 0});
    fleet.wait(9);
    CHECK(fleet.hasLeft(0));
    fleet.performWhenPossible({kJoin, 0});
    fleet.wait(6);
    CHECK(fleet.voters() <= static_cast<std::size_t>(machines));
    for (int turn = 0; turn < tolerate; ++turn) fleet.performWhenPossible({kWipe, machines - turn});
    fleet.wait(4);
    std::string violation = fleet.violationAtEnd();
    CHECK_TEXT(violation.empty(), violation.c_str());
  }
}

TEST(ModelCheck, LosingTheLeaderWhileABackupLeavesBreaksNoRule) {
  using enum ActionKind;
  for (const auto& [machines, tolerate] : kFleetSizes)
    for (int leaver = 0; leaver < machines; ++leaver) {
      ReplacementScenario fleet(machines, tolerate);
      fleet.wait(4);  // until the changes are acknowledged
      int leader = fleet.leader();
      if (leader == leaver) continue;
      fleet.performWhenPossible({kLeave, leaver});
      fleet.performWhenPossible({kWipe, leader});
      fleet.wait(12);
      std::string violation = fleet.violationAtEnd();
      CHECK_TEXT(violation.empty(), violation.c_str());
    }
}

TEST(ModelCheck, FindsAMachineThatLeavesBeforeItsHandover) {
  ControlFaultInjection faults;
  faults.set(ControlFault::kLeaveWithoutHandover);
  bool found = false;
  for (int leaver = 0; leaver < 3; ++leaver) {
    found = found || !violationAfterLeaderLossDuringLeave(leaver, faults).empty();
    std::string violation = violationAfterLeaderLossDuringLeave(leaver, {});
    CHECK_TEXT(violation.empty(), violation.c_str());
  }
  CHECK(found);
}

TEST(ModelCheck, NoRuleBreaksWithOneDeparture) {
  for (int machines : {3, 5}) {
    ModelOptions options;
    options.machines = machines;
    options.tolerate = machines / 2;
    options.horizon = seconds(3);
    SearchReport report = runSearch(options, 1);
    CHECK_TEXT(report.violation.empty(), report.violation.c_str());
    CHECK(report.finished);
    CHECK(report.states > 1000);
  }
}

TEST(ModelCheck, SteppingACopyDoesNotAffectTheOriginal) {
  ModelOptions options;
  auto settled = ModelWorld::createSettled(options);
  CHECK(settled.ok());
  ModelWorld plain = *settled, branched = *settled;
  for (int turn = 0; turn < 30; ++turn) {
    ModelWorld other = branched;
    auto choices = other.choices();
    if (!choices.empty()) other.apply(choices[static_cast<std::size_t>(turn) % choices.size()]);
    for (int step = 0; step < 5; ++step) other.apply({});
    plain.apply({});
    branched.apply({});
    CHECK(plain.fingerprint() == branched.fingerprint());
  }
}

TEST(ModelCheck, ReplaysAreDeterministic) {
  Schedule schedule;
  schedule.departures = {{4, {ActionKind::kHold, 0}}, {9, {ActionKind::kCrashAndRestart, 1}}};
  auto first = replay(schedule), second = replay(schedule);
  CHECK(first.ok() && second.ok());
  CHECK(first->steps == second->steps);
  CHECK(first->choicePoints > 20);
}

TEST(ModelCheck, RejectsInvalidSchedules) {
  for (const char* text :
       {"machines", "machines x", "machines 2", "at 1", "at x drop 0", "at 1 nothing 0",
        "at 1 crash -1", "limit drop", "limit no 1", "granularity some", "fault none", "colour 3",
        "at 5 drop 0\nat 4 drop 0", "tolerate 2", "tick-ms 900"})
    CHECK_TEXT(!parseSchedule(text).ok(), text);
  CHECK(parseSchedule("# a remark\nmachines 4\nat 1 crash 2\n").ok());
}

TEST(ModelCheck, RandomSchedulesAreDeterministicForASeed) {
  WalkBounds bounds;
  bounds.lastSeed = 20;
  ModelOptions options;
  options.horizon = seconds(3);
  auto first = runWalks(options, bounds), second = runWalks(options, bounds);
  CHECK(first.ok() && second.ok());
  LONGS_EQUAL(20, first->walks);
  LONGS_EQUAL(first->transitions, second->transitions);
  LONGS_EQUAL(first->failed, second->failed);
}
