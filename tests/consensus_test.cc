// Votes, leases and replicas of one core, step by step, with slow disks, delayed messages and power
// losses between writes.
#include "tests/one_core.h"

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

  std::vector<PrepareReply> replies() { return messages<PrepareReply>(lastCommands); }
  std::vector<Command> lastCommands;
  void take() { lastCommands = outbox.take(); }
};

TEST(AcceptorVotes, TheFormerLeaderIsNotRenewedWhileAPromiseToAnotherCandidateIsWritten) {
  acceptor.ask(addressOfCore({4}), leaseOf({4}, 8, at(10)), at(10), outbox);
  take();
  LONGS_EQUAL(1, taken<WriteFile>(lastCommands).size());
  TicketId ticket = taken<WriteFile>(lastCommands)[0].ticket;
  // The write takes longer than a lease, so the lease in memory has run out by now.
  MonotonicTime later = at(10) + options.lease + milliseconds(100);
  acceptor.ask(addressOfCore({3}), leaseOf({3}, 6, later), later, outbox);
  take();
  for (const auto& reply : replies()) CHECK_FALSE(reply.granted);
  acceptor.written({ticket, true}, later + milliseconds(50), outbox);
  take();
  for (const auto& reply : replies()) CHECK(reply.granted == (reply.epoch.value == 8));
}

TEST(AcceptorVotes, TheLeaderRenewsItsLeaseWhileItsNextPromiseIsWritten) {
  acceptor.ask(addressOfCore({3}), leaseOf({3}, 7, at(10)), at(10), outbox);
  take();
  acceptor.ask(addressOfCore({3}), leaseOf({3}, 6, at(10.3)), at(10.3), outbox);
  take();
  LONGS_EQUAL(1, replies().size());
  CHECK(replies()[0].granted);
}

TEST(AcceptorVotes, ASecondViewOfTheSameEpochIsRejected) {
  View other = viewOf(6, {3}, {{4}}, 5);
  acceptor.ask(addressOfCore({3}), AcceptRequest{other, false}, at(10), outbox);
  take();
  LONGS_EQUAL(0, taken<WriteFile>(lastCommands).size());
  CHECK_FALSE(messages<AcceptReply>(lastCommands).at(0).accepted);
  acceptor.ask(addressOfCore({3}), AcceptRequest{record.accepted, false}, at(10), outbox);
  take();
  CHECK(messages<AcceptReply>(lastCommands).at(0).accepted);
}

TEST_GROUP(LeadershipSteps){};

TEST(LeadershipSteps, AVoterThatAnswersIsNotSilentEvenIfItsHeartbeatsAreLate) {
  // Heartbeats come through other members, which may be busy; answers come directly.
  OneCore core(diskIn(viewOf(5, kSelf, {{2}}, 5)));
  core.heard = core.answering = {{2}, {3}, {4}, {5}, {6}};
  CHECK(core.runUntil([&] { return core.leadership.leads(core.now); }, 6));
  core.run(3);  // until the view with the new voter is settled
  Epoch before = core.leadership.view().epoch;
  core.heard = {{6}};
  core.run(6);  // longer than membership keeps a silent member
  CHECK(core.leadership.leads(core.now));
  LONGS_EQUAL(before.value, core.leadership.view().epoch.value);
}

TEST(LeadershipSteps, AVoterWithoutAnswersAndHeartbeatsIsReplaced) {
  OneCore core(diskIn(viewOf(5, kSelf, {{2}}, 5)));
  core.options.voterSlots = 5;
  core.heard = core.answering = {{2}, {3}, {4}, {5}};
  CHECK(core.runUntil([&] { return core.leadership.leads(core.now); }, 6));
  core.heard = core.answering = {{2}, {3}, {4}, {6}};
  auto lost = [&] {
    const auto& voters = core.leadership.view().voters;
    return std::ranges::find(voters, CoreId{5}) == voters.end();
  };
  CHECK(core.runUntil(lost, 6));
}

TEST(LeadershipSteps, NoViewIsProposedBeforeTheOwnPromiseIsOnDisk) {
  OneCore core(diskIn(viewOf(5, {2}, {kSelf}, 5)));
  core.heard = core.answering = {{3}, {4}, {5}};
  core.diskWorks = false;  // the write of its own promise doesn't complete
  CHECK(core.runUntil([&] { return !core.prepares.empty(); }, 6));
  core.run(0.6);
  LONGS_EQUAL(0, core.proposals.size());
  core.diskWorks = true;
  core.finishWrites();
  CHECK(core.runUntil([&] { return !core.proposals.empty(); }, 3));
}

TEST(LeadershipSteps, AnEpochUsedBeforeARestartIsNotReused) {
  // A power loss destroyed the promise, but the replica of that epoch was written.
  StartDisk disk = diskIn(viewOf(5, kSelf, {{2}}, 5));
  disk.replica.tag = {9};
  OneCore core(disk);
  core.heard = {{2}, {3}, {4}, {5}};
  CHECK(core.runUntil([&] { return !core.prepares.empty(); }, 6));
  CHECK(core.prepares[0].epoch.value > 9);
}

TEST(LeadershipSteps, ADelayedReplicaOfALowerEpochIsRejected) {
  StartDisk disk;
  disk.record.identity = kSelf;  // a core that is about to join
  OneCore core(disk);
  core.diskWorks = false;
  ControlState state = ControlState::founded({1});
  auto request = [&](std::uint64_t epoch, CoreId from) {
    core.leadership.hear(addressOfCore(from),
                         ReplicateRequest{{epoch}, from, state.version(), true, state.text()},
                         core.now, core.outbox);
    core.carryOut();
  };
  request(8, {2});
  request(7, {3});  // delayed, from the former leader
  core.diskWorks = true;
  core.finishWrites();
  core.finishWrites();
  LONGS_EQUAL(8, core.leadership.replicaTag().value);
  for (const auto& [to, reply] : core.replicateReplies)
    CHECK(reply.synced == (reply.epoch.value == 8));
}

TEST(LeadershipSteps, AReplicaWithEqualVersionButOtherContentIsNotSynced) {
  ControlState mine = ControlState::founded({1}), theirs = ControlState::founded({1});
  auto apply = [](ControlState& state, const std::string& label) {
    Json change{{"kind", "weights"}, {"label", label}, {"basedOn", "1.1"}};
    return state.apply(change.dump(), label, {5}, Options{}).outcome;
  };
  CHECK(apply(mine, "spring") == ChangeOutcome::kDone);
  CHECK(apply(theirs, "autumn") == ChangeOutcome::kDone);
  CHECK(mine.version() == theirs.version());
  StartDisk disk = diskIn(viewOf(5, {2}, {kSelf}, 3));
  disk.replica.state = mine;
  OneCore core(disk);
  core.leadership.hear(addressOfCore({2}),
                       ReplicateRequest{{5}, {2}, theirs.version(), false, theirs.text()}, core.now,
                       core.outbox);
  core.carryOut();
  LONGS_EQUAL(1, core.replicateReplies.size());
  CHECK_FALSE(core.replicateReplies[0].second.synced);
}

TEST(LeadershipSteps, ALeavingMemberWaitsForItsReplacement) {
  OneCore core(diskIn(viewOf(5, {2}, {kSelf}, 4)));
  core.heard = {{2}, {3}, {4}};
  core.run(0.5);
  core.leadership.leave(core.now);
  core.run(1);
  CHECK_FALSE(core.leadership.gone(core.now));  // the others may not have a second replica yet
  core.leadership.noteChosen(viewOf(6, {2}, {{3}}, 4), core.now, core.outbox);
  CHECK_FALSE(core.leadership.gone(core.now));  // its vote is still needed
  View without = viewOf(7, {2}, {{3}}, 4);
  std::erase(without.voters, kSelf);
  core.leadership.noteChosen(without, core.now, core.outbox);
  CHECK(core.leadership.gone(core.now));
}

TEST(LeadershipSteps, AnAcceptedButUnsettledViewDoesNotLetAMemberLeave) {
  OneCore core(diskIn(viewOf(5, {2}, {kSelf}, 4)));
  core.heard = {{2}, {3}, {4}};
  core.leadership.noteChosen(viewOf(5, {2}, {kSelf}, 4), core.now, core.outbox);
  core.run(0.5);
  core.leadership.leave(core.now);
  View without = viewOf(7, {2}, {{3}}, 4);
  std::erase(without.voters, kSelf);
  core.acceptor.ask(addressOfCore({2}), leaseOf({2}, 7, core.now), core.now, core.outbox);
  core.carryOut();
  core.acceptor.ask(addressOfCore({2}), AcceptRequest{without, false}, core.now, core.outbox);
  core.carryOut();
  core.run(1);
  LONGS_EQUAL(7, core.leadership.view().epoch.value);
  CHECK_FALSE(core.leadership.gone(core.now));
  core.leadership.noteChosen(without, core.now, core.outbox);
  CHECK(core.leadership.gone(core.now));
}

TEST(LeadershipSteps, ALeavingMemberWithoutAReplacementStaysUntilItsGraceTimeEnds) {
  OneCore core(diskIn(viewOf(5, {2}, {kSelf}, 4)));
  core.heard = {{2}};
  core.leadership.leave(core.now);
  MonotonicTime left = core.now;
  core.run(6);
  CHECK_FALSE(core.leadership.gone(core.now));
  CHECK(core.runUntil([&] { return core.leadership.gone(core.now); }, 2));
  CHECK(core.now - left < core.options.graceTime - seconds(0.5));
}

TEST(LeadershipSteps, ALeavingMemberDoesNotWaitIfAllOthersLeave) {
  OneCore core(diskIn(viewOf(5, {2}, {kSelf}, 4)));
  core.heard = core.leaving = {{2}, {3}, {4}};
  core.run(0.5);
  core.leadership.leave(core.now);
  core.run(0.3);
  CHECK(core.leadership.gone(core.now));
}

TEST(LeadershipSteps, OnlyOneChangeOfVotersIsProposedAfterAView) {
  OneCore core(diskIn(viewOf(5, kSelf, {{2}}, 5)));
  core.heard = core.answering = {{2}, {3}, {4}, {5}};
  CHECK(core.runUntil([&] { return core.leadership.names(core.now); }, 8));
  core.run(2);
  CHECK(core.leadership.names(core.now));
  core.proposals.clear();
  // Core 3 is silent and 6 is to replace it; no acceptance of that is received.
  core.othersAccept = false;
  core.heard = core.answering = {{2}, {4}, {5}, {6}};
  CHECK(core.runUntil([&] { return !core.proposals.empty(); }, 8));
  std::vector<CoreId> first = core.proposals.front().voters;
  CHECK(first != viewOf(5, kSelf, {{2}}, 5).voters);
  // Then 3 is back, 4 is silent instead, and 7 is a newcomer.
  core.heard = core.answering = {{2}, {3}, {5}, {6}, {7}};
  core.run(8);
  for (const auto& view : core.proposals)
    if (core.leadership.leadsHere()) CHECK(view.voters == first);
}

TEST(LeadershipSteps, ACandidateThatIsNotAMemberReleasesItsVotes) {
  // It has a replica of a view that was never settled, and learns only from the votes that it isn't
  // a member of the newest view.
  StartDisk disk = diskIn(viewOf(5, {2}, {{3}}, 5));
  disk.replica.tag = {7};
  OneCore core(disk);
  core.heard = core.answering = {{2}, {3}, {4}, {5}};
  CHECK(core.runUntil([&] { return !core.prepares.empty(); }, 6));
  core.run(0.5);
  CHECK_FALSE(core.acceptor.grantedTo(core.now) == kSelf);
}
