// Changes of the voter set: intersecting majorities, leaving cores, lost cores and bad disks.
#include <bit>

#include "core/core_node.h"
#include "core/quorum.h"
#include "tests/core_harness.h"

using namespace peppergate;

namespace {

std::vector<CoreId> coresOf(unsigned bits) {
  std::vector<CoreId> cores;
  for (std::uint64_t core = 0; core < 8; ++core)
    if ((bits >> core & 1U) != 0) cores.push_back({core + 1});
  return cores;
}

bool isMajority(unsigned voters, unsigned of) {
  return (voters & ~of) == 0 && std::popcount(voters) * 2 > std::popcount(of);
}

/// The definition, by enumeration: no majority of one set is disjoint from one of the other.
bool majoritiesIntersectByDefinition(unsigned left, unsigned right) {
  for (unsigned ofLeft = left; ofLeft != 0; ofLeft = (ofLeft - 1) & left)
    for (unsigned ofRight = right; ofRight != 0; ofRight = (ofRight - 1) & right)
      if (isMajority(ofLeft, left) && isMajority(ofRight, right) && (ofLeft & ofRight) == 0)
        return false;
  return true;
}

/// A leader with the given number of voters, all of them reachable, a few seconds after its
/// election.
struct Leader {
  explicit Leader(std::uint64_t voters, std::int64_t backups = 1)
      : core(diskWithView(viewWith(voters, backups)), backups) {
    for (std::uint64_t voter = 2; voter <= voters; ++voter) core.heartbeating.insert({voter});
    core.answering = core.heartbeating;
    CHECK(core.runUntil([&] { return core.leadership.mayShowState(core.now); }, 8));
    core.run(3);
  }
  static View viewWith(std::uint64_t voters, std::int64_t backups) {
    std::vector<CoreId> members;
    for (std::int64_t backup = 0; backup < backups; ++backup)
      members.push_back({static_cast<std::uint64_t>(backup) + 2});
    return viewOf(5, kSelf, members, voters);
  }
  void lose(CoreId lost) {
    core.heartbeating.erase(lost);
    core.answering.erase(lost);
  }
  bool settles(std::vector<CoreId> voters, double within) {
    return core.runUntil(
        [&] {
          std::vector<CoreId> now = core.leadership.view().voters;
          std::ranges::sort(now);
          return core.leadership.mayShowState(core.now) && now == voters;
        },
        within);
  }

  CoreHarness core;
};

}  // namespace

TEST_GROUP(VoterSets){};

TEST(VoterSets, MajoritiesMeetExactlyWhereTheDefinitionSaysSo) {
  for (unsigned left = 1; left < 128; ++left)
    for (unsigned right = 1; right < 128; ++right)
      CHECK(majoritiesIntersectByDefinition(left, right) ==
            majoritiesIntersect(coresOf(left), coresOf(right)));
}

TEST(VoterSets, MajoritiesMeetAfterOneVoterIsAddedOrRemoved) {
  std::vector<CoreId> voters{{1}};
  for (std::uint64_t next = 2; next <= 12; ++next) {
    std::vector<CoreId> larger = voters;
    larger.push_back({next});
    CHECK(majoritiesIntersect(voters, larger));
    voters = larger;
  }
}

TEST_GROUP(Reconfigurations){};

TEST(Reconfigurations, ALeavingVoterIsRemovedBeforeItIsSilent) {
  Leader leader(4);
  leader.core.leaving = {{4}};
  CHECK(leader.settles({{1}, {2}, {3}}, 1));
}

TEST(Reconfigurations, ALeavingVoterOfTheSmallestSetStaysUntilANewcomerJoins) {
  Leader leader(3);
  leader.core.leaving = {{3}};
  leader.core.run(3);
  LONGS_EQUAL(3, leader.core.leadership.view().voters.size());
  leader.core.heartbeating.insert({4});
  leader.core.answering.insert({4});
  CHECK(leader.settles({{1}, {2}, {4}}, 2));
}

TEST(Reconfigurations, TheVoterSetDoesNotGrowWhileAVoterIsReplaced) {
  Leader leader(5);
  leader.core.leaving = {{5}};
  leader.core.heartbeating.insert({6});
  leader.core.answering.insert({6});
  leader.core.proposals.clear();
  CHECK(leader.settles({{1}, {2}, {3}, {4}, {6}}, 4));
  for (const auto& view : leader.core.proposals) CHECK(view.voters.size() <= 5);
}

TEST(Reconfigurations, ALostVoterIsRemovedWhenTooFewFurtherLossesWouldBeTolerated) {
  Leader leader(7, 2);
  leader.lose({6});
  leader.core.run(4);
  LONGS_EQUAL(
      7, leader.core.leadership.view().voters.size());  // six of seven tolerate two more losses
  leader.lose({7});
  CHECK(leader.settles({{1}, {2}, {3}, {4}, {5}}, 6));
}

TEST(Reconfigurations, AVoterWhoseMachineHasANewDiskIsRemovedAtOnce) {
  Leader leader(3);
  leader.lose({3});
  Shuffle shuffle;  // the machine of core 3 with a new identity
  shuffle.sender = coreRecord({9}, 1);
  shuffle.sender.address = shuffle.sender.pagesAddress = addressOfCore({3});
  MonotonicTime began = leader.core.now;
  auto dropped = [&] {
    ++shuffle.sender.heartbeat;
    leader.core.membership.handle(shuffle, leader.core.now, leader.core.outbox);
    return std::ranges::find(leader.core.leadership.view().voters, CoreId{3}) ==
           leader.core.leadership.view().voters.end();
  };
  leader.core.answering.insert({9});
  leader.core.coresByMovedAddress[addressOfCore({3})] = {9};
  CHECK(leader.core.runUntil(dropped, 4));
  CHECK(leader.core.now - began < leader.core.options.replaceVoterAfter + seconds(0.3));
}

TEST(Reconfigurations, ALeavingCoreWithTheOnlyReplicaLeadsUntilOthersHaveOne) {
  CoreHarness core(diskWithView(viewOf(5, {2}, {kSelf}, 4)));
  core.heartbeating = {{2}, {3}, {4}};
  core.run(0.5);
  core.leadership.beginLeaving(core.now);
  core.heartbeating = core.answering = {{3}, {4}};  // the leader is lost at the same time
  core.othersReplicate = false;
  CHECK(core.runUntil([&] { return core.leadership.hasLeaderLease(core.now); }, 5));
  core.run(0.5);
  CHECK_FALSE(core.leadership.mayExit(core.now));
  core.othersReplicate = true;
  CHECK(core.runUntil([&] { return !core.leadership.isLeader(); }, 2));
  const View& handedOver = core.leadership.view();
  CHECK(handedOver.baseEpoch == handedOver.epoch);
  CHECK(handedOver.backups == std::vector<CoreId>{{3}} ||
        handedOver.backups == std::vector<CoreId>{{4}});
}

TEST(Reconfigurations, ALeavingCoreLetsStayingCoresCampaignFirst) {
  CoreHarness core(diskWithView(viewOf(5, kSelf, {{2}}, 4)));
  core.heartbeating = core.answering = {{2}, {3}, {4}};
  CHECK(core.runUntil([&] { return core.leadership.mayShowState(core.now); }, 8));
  core.leadership.beginLeaving(core.now);
  CHECK(core.runUntil([&] { return !core.leadership.isLeader(); }, 1));
  core.prepares.clear();
  core.run(0.7);
  LONGS_EQUAL(0, core.prepares.size());
}

TEST_GROUP(ShownStates){
    /// The disk of a backup with a change that its leader may never have acknowledged.
    static StartDisk diskWithUnacknowledgedChange(){
        StartDisk disk = diskWithView(viewOf(5, {2}, {kSelf}, 4));
Json change{{"kind", "weights"}, {"label", "spring"}, {"basedOn", "1.1"}};
disk.replica.state.apply(change.dump(), "order", {5}, Options{});
return disk;
}
}
;

TEST(ShownStates, AnUnacknowledgedChangeIsNotShownBeforeTheViewIsConfirmed) {
  CoreHarness core(diskWithUnacknowledgedChange());
  core.heartbeating = core.answering = {{3}, {4}};
  core.othersReplicate = false;
  CHECK(core.runUntil([&] { return core.leadership.hasLeaderLease(core.now); }, 5));
  core.run(0.6);
  CHECK(core.leadership.hasLeaderLease(core.now));
  CHECK_FALSE(core.leadership.mayShowState(core.now));
  CHECK_FALSE(core.leadership.hasPublished());
  core.othersReplicate = true;
  CHECK(core.runUntil([&] { return core.leadership.mayShowState(core.now); }, 3));
}

TEST(ShownStates, StateThatALeaderProvedBeforeIsShownAtOnce) {
  StartDisk disk = diskWithUnacknowledgedChange();
  SectionVersions proved = disk.replica.state.sections();
  CoreHarness core(std::move(disk));
  core.leadership.noteProvenVersions(proved);
  core.heartbeating = core.answering = {{3}, {4}};
  core.othersReplicate = false;
  CHECK(core.runUntil([&] { return core.leadership.mayShowState(core.now); }, 5));
}

TEST_GROUP(BadDisks) {
  DiskContents disk() const {
    DiskContents found;
    found.files["identity"] = identityFileContent(kSelf);
    return found;
  }
  MonotonicTime now = at(10);
  Options options;
  CoreNode node{options, coreRecord(kSelf, 1), {}, disk(), 3, now};

  std::vector<Command> step(const Event& event) {
    node.step(event, now);
    return node.outbox().takeCommands();
  }
};

TEST(BadDisks, AFailedSyncOfTheAcceptorsRecordMakesTheWholeCoreSuspect) {
  Shuffle shuffle;
  shuffle.sender = coreRecord({2}, 1);
  step(MessageReceived{addressOfCore({2}), shuffle});
  now = now + seconds(2);
  auto asked =
      step(MessageReceived{addressOfCore({2}), PrepareRequest{{4}, {2}, now, PrepareKind::kLease}});
  LONGS_EQUAL(1, commandsOf<WriteFile>(asked).size());
  auto failed = step(FileWritten{commandsOf<WriteFile>(asked)[0].ticket, false});
  CHECK(node.leadership().isDiskSuspect());
  bool told = false;
  for (const auto& word : messagesOf<Shuffle>(failed)) told = told || word.sender.leaving;
  CHECK(told);
  auto status = commandsOf<AnswerHttp>(step(OperatorRequest{{77}, "GET", "/status", ""}));
  LONGS_EQUAL(1, status.size());
  CHECK(Json::parse(status[0].body)["diskSuspect"].get<bool>());
}

TEST(BadDisks, AStalledWriteOfTheAcceptorEndsTheLeadership) {
  Leader leader(4);
  leader.core.diskCompletesWrites = false;
  leader.lose({2});  // a view change needs its own promise on disk
  leader.core.run(3.5);
  CHECK(leader.core.leadership.isDiskStalled());
  CHECK_FALSE(leader.core.leadership.hasLeaderLease(leader.core.now));
  leader.core.diskCompletesWrites = true;
  leader.core.completePendingWrites();
  leader.core.run(0.1);
  CHECK_FALSE(leader.core.leadership.isDiskStalled());
}
