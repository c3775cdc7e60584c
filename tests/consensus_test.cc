// Votes, leases and replicas of one core, step by step, with slow disks, delayed messages and power
// losses between writes.
#include "tests/core_harness.h"

using namespace peppergate;

namespace {

PrepareRequest leaseOf(CoreId candidate, std::uint64_t epoch, MonotonicTime sentAt) {
  return {{epoch}, candidate, sentAt, PrepareKind::kLease};
}

}  // namespace

TEST_GROUP(AcceptorVotes) {
  Options options;
  Outbox outbox;
  AcceptorRecord record{kSelf, {6}, {3}, viewOf(6, {3}, {{2}}, 5)};
  Acceptor acceptor{options, record, at(0)};

  std::vector<PrepareReply> replies() { return messagesOf<PrepareReply>(lastCommands); }
  std::vector<Command> lastCommands;
  void takeCommands() { lastCommands = outbox.takeCommands(); }
};

TEST(AcceptorVotes, TheFormerLeaderIsNotRenewedWhileAPromiseToAnotherCandidateIsWritten) {
  acceptor.handle(addressOfCore({4}), leaseOf({4}, 8, at(10)), at(10), outbox);
  takeCommands();
  LONGS_EQUAL(1, commandsOf<WriteFile>(lastCommands).size());
  TicketId ticket = commandsOf<WriteFile>(lastCommands)[0].ticket;
  // The write takes longer than a lease, so the lease in memory has run out by now.
  MonotonicTime later = at(10) + options.lease + milliseconds(100);
  acceptor.handle(addressOfCore({3}), leaseOf({3}, 6, later), later, outbox);
  takeCommands();
  for (const auto& reply : replies()) CHECK_FALSE(reply.granted);
  acceptor.completeWrite({ticket, true}, later + milliseconds(50), outbox);
  takeCommands();
  for (const auto& reply : replies()) CHECK(reply.granted == (reply.epoch.value == 8));
}

TEST(AcceptorVotes, TheLeaderRenewsItsLeaseWhileItsNextPromiseIsWritten) {
  acceptor.handle(addressOfCore({3}), leaseOf({3}, 7, at(10)), at(10), outbox);
  takeCommands();
  acceptor.handle(addressOfCore({3}), leaseOf({3}, 6, at(10.3)), at(10.3), outbox);
  takeCommands();
  LONGS_EQUAL(1, replies().size());
  CHECK(replies()[0].granted);
}

TEST(AcceptorVotes, ASecondViewOfTheSameEpochIsRejected) {
  View other = viewOf(6, {3}, {{4}}, 5);
  acceptor.handle(addressOfCore({3}), AcceptRequest{other, false}, at(10), outbox);
  takeCommands();
  LONGS_EQUAL(0, commandsOf<WriteFile>(lastCommands).size());
  CHECK_FALSE(messagesOf<AcceptReply>(lastCommands).at(0).accepted);
  acceptor.handle(addressOfCore({3}), AcceptRequest{record.accepted, false}, at(10), outbox);
  takeCommands();
  CHECK(messagesOf<AcceptReply>(lastCommands).at(0).accepted);
}

TEST_GROUP(LeadershipSteps){};

TEST(LeadershipSteps, AVoterThatAnswersIsNotSilentEvenIfItsHeartbeatsAreLate) {
  // Heartbeats come through other members, which may be busy; answers come directly.
  CoreHarness core(diskWithView(viewOf(5, kSelf, {{2}}, 5)));
  core.heartbeating = core.answering = {{2}, {3}, {4}, {5}, {6}};
  CHECK(core.runUntil([&] { return core.leadership.hasLeaderLease(core.now); }, 6));
  core.run(3);  // until the view with the new voter is settled
  Epoch before = core.leadership.view().epoch;
  core.heartbeating = {{6}};
  core.run(6);  // longer than membership keeps a silent member
  CHECK(core.leadership.hasLeaderLease(core.now));
  LONGS_EQUAL(before.value, core.leadership.view().epoch.value);
}

TEST(LeadershipSteps, AVoterWithoutAnswersAndHeartbeatsIsReplaced) {
  CoreHarness core(diskWithView(viewOf(5, kSelf, {{2}}, 5)));
  core.options.voterSlots = 5;
  core.heartbeating = core.answering = {{2}, {3}, {4}, {5}};
  CHECK(core.runUntil([&] { return core.leadership.hasLeaderLease(core.now); }, 6));
  core.heartbeating = core.answering = {{2}, {3}, {4}, {6}};
  auto lost = [&] {
    const auto& voters = core.leadership.view().voters;
    return std::ranges::find(voters, CoreId{5}) == voters.end();
  };
  CHECK(core.runUntil(lost, 6));
}

TEST(LeadershipSteps, NoViewIsProposedBeforeTheOwnPromiseIsOnDisk) {
  CoreHarness core(diskWithView(viewOf(5, {2}, {kSelf}, 5)));
  core.heartbeating = core.answering = {{3}, {4}, {5}};
  core.diskCompletesWrites = false;  // the write of its own promise doesn't complete
  CHECK(core.runUntil([&] { return !core.prepares.empty(); }, 6));
  core.run(0.6);
  LONGS_EQUAL(0, core.proposals.size());
  core.diskCompletesWrites = true;
  core.completePendingWrites();
  CHECK(core.runUntil([&] { return !core.proposals.empty(); }, 3));
}

TEST(LeadershipSteps, AnEpochUsedBeforeARestartIsNotReused) {
  // A power loss destroyed the promise, but the replica of that epoch was written.
  StartDisk disk = diskWithView(viewOf(5, kSelf, {{2}}, 5));
  disk.replica.tag = {9};
  CoreHarness core(disk);
  core.heartbeating = {{2}, {3}, {4}, {5}};
  CHECK(core.runUntil([&] { return !core.prepares.empty(); }, 6));
  CHECK(core.prepares[0].epoch.value > 9);
}

TEST(LeadershipSteps, ADelayedReplicaOfALowerEpochIsRejected) {
  StartDisk disk;
  disk.record.identity = kSelf;  // a core that is about to join
  CoreHarness core(disk);
  core.diskCompletesWrites = false;
  ControlState state = ControlState::initial({1});
  auto request = [&](std::uint64_t epoch, CoreId from) {
    core.leadership.handle(
        addressOfCore(from),
        ReplicateRequest{{epoch}, from, state.version(), true, state.serialize()}, core.now,
        core.outbox);
    core.runCommands();
  };
  request(8, {2});
  request(7, {3});  // delayed, from the former leader
  core.diskCompletesWrites = true;
  core.completePendingWrites();
  core.completePendingWrites();
  LONGS_EQUAL(8, core.leadership.replicaTag().value);
  for (const auto& [to, reply] : core.replicateReplies)
    CHECK(reply.synced == (reply.epoch.value == 8));
}

TEST(LeadershipSteps, AReplicaWithEqualVersionButOtherContentIsNotSynced) {
  ControlState mine = ControlState::initial({1}), theirs = ControlState::initial({1});
  auto apply = [](ControlState& state, const std::string& label) {
    Json change{{"kind", "weights"}, {"label", label}, {"basedOn", "1.1"}};
    return state.apply(change.dump(), label, {5}, Options{}).outcome;
  };
  CHECK(apply(mine, "spring") == ChangeOutcome::kDone);
  CHECK(apply(theirs, "autumn") == ChangeOutcome::kDone);
  CHECK(mine.version() == theirs.version());
  StartDisk disk = diskWithView(viewOf(5, {2}, {kSelf}, 3));
  disk.replica.state = mine;
  CoreHarness core(disk);
  core.leadership.handle(addressOfCore({2}),
                         ReplicateRequest{{5}, {2}, theirs.version(), false, theirs.serialize()},
                         core.now, core.outbox);
  core.runCommands();
  LONGS_EQUAL(1, core.replicateReplies.size());
  CHECK_FALSE(core.replicateReplies[0].second.synced);
}

TEST(LeadershipSteps, ALeavingMemberWaitsForItsReplacement) {
  CoreHarness core(diskWithView(viewOf(5, {2}, {kSelf}, 4)));
  core.heartbeating = {{2}, {3}, {4}};
  core.run(0.5);
  core.leadership.beginLeaving(core.now);
  core.run(1);
  CHECK_FALSE(core.leadership.mayExit(core.now));  // the others may not have a second replica yet
  core.leadership.noteSettledView(viewOf(6, {2}, {{3}}, 4), core.now, core.outbox);
  CHECK_FALSE(core.leadership.mayExit(core.now));  // its vote is still needed
  View without = viewOf(7, {2}, {{3}}, 4);
  std::erase(without.voters, kSelf);
  core.leadership.noteSettledView(without, core.now, core.outbox);
  CHECK(core.leadership.mayExit(core.now));
}

TEST(LeadershipSteps, AnAcceptedButUnsettledViewDoesNotLetAMemberLeave) {
  CoreHarness core(diskWithView(viewOf(5, {2}, {kSelf}, 4)));
  core.heartbeating = {{2}, {3}, {4}};
  core.leadership.noteSettledView(viewOf(5, {2}, {kSelf}, 4), core.now, core.outbox);
  core.run(0.5);
  core.leadership.beginLeaving(core.now);
  View without = viewOf(7, {2}, {{3}}, 4);
  std::erase(without.voters, kSelf);
  core.acceptor.handle(addressOfCore({2}), leaseOf({2}, 7, core.now), core.now, core.outbox);
  core.runCommands();
  core.acceptor.handle(addressOfCore({2}), AcceptRequest{without, false}, core.now, core.outbox);
  core.runCommands();
  core.run(1);
  LONGS_EQUAL(7, core.leadership.view().epoch.value);
  CHECK_FALSE(core.leadership.mayExit(core.now));
  core.leadership.noteSettledView(without, core.now, core.outbox);
  CHECK(core.leadership.mayExit(core.now));
}

TEST(LeadershipSteps, ALeavingMemberWithoutAReplacementStaysUntilItsGraceTimeEnds) {
  CoreHarness core(diskWithView(viewOf(5, {2}, {kSelf}, 4)));
  core.heartbeating = {{2}};
  core.leadership.beginLeaving(core.now);
  MonotonicTime left = core.now;
  core.run(6);
  CHECK_FALSE(core.leadership.mayExit(core.now));
  CHECK(core.runUntil([&] { return core.leadership.mayExit(core.now); }, 2));
  CHECK(core.now - left < core.options.graceTime - seconds(0.5));
}

TEST(LeadershipSteps, ALeavingMemberDoesNotWaitIfAllOthersLeave) {
  CoreHarness core(diskWithView(viewOf(5, {2}, {kSelf}, 4)));
  core.heartbeating = core.leaving = {{2}, {3}, {4}};
  core.run(0.5);
  core.leadership.beginLeaving(core.now);
  core.run(0.3);
  CHECK(core.leadership.mayExit(core.now));
}

TEST(LeadershipSteps, OnlyOneChangeOfVotersIsProposedAfterAView) {
  CoreHarness core(diskWithView(viewOf(5, kSelf, {{2}}, 5)));
  core.heartbeating = core.answering = {{2}, {3}, {4}, {5}};
  CHECK(core.runUntil([&] { return core.leadership.mayShowState(core.now); }, 8));
  core.run(2);
  CHECK(core.leadership.mayShowState(core.now));
  core.proposals.clear();
  // Core 3 is silent and 6 is to replace it; no acceptance of that is received.
  core.othersAccept = false;
  core.heartbeating = core.answering = {{2}, {4}, {5}, {6}};
  CHECK(core.runUntil([&] { return !core.proposals.empty(); }, 8));
  std::vector<CoreId> first = core.proposals.front().voters;
  CHECK(first != viewOf(5, kSelf, {{2}}, 5).voters);
  // Then 3 is back, 4 is silent instead, and 7 is a newcomer.
  core.heartbeating = core.answering = {{2}, {3}, {5}, {6}, {7}};
  core.run(8);
  for (const auto& view : core.proposals)
    if (core.leadership.isLeader()) CHECK(view.voters == first);
}

TEST(LeadershipSteps, ACandidateThatIsNotAMemberReleasesItsVotes) {
  // It has a replica of a view that was never settled, and learns only from the votes that it isn't
  // a member of the newest view.
  StartDisk disk = diskWithView(viewOf(5, {2}, {{3}}, 5));
  disk.replica.tag = {7};
  CoreHarness core(disk);
  core.heartbeating = core.answering = {{2}, {3}, {4}, {5}};
  CHECK(core.runUntil([&] { return !core.prepares.empty(); }, 6));
  core.run(0.5);
  CHECK_FALSE(core.acceptor.grantedTo(core.now) == kSelf);
}
