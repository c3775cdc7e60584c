// Proofs: a replica counts as proven only by a leader of the current view. Candidates: one that
// can't lead releases its votes.
#include <string>

#include "core/leadership.h"
#include "core/read_only_leader.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

constexpr CoreId kSelf{1};
constexpr int kCores = 4;

Address addressOf(CoreId core) { return {"10.0.0." + std::to_string(core.value) + ":1"}; }

MemberRecord memberOf(CoreId core) {
  MemberRecord record;
  record.member = {core.value};
  record.address = record.pagesAddress = addressOf(core);
  record.core = core;
  record.role = Role::kCore;
  record.heartbeat = 1;
  return record;
}

View viewOf(std::uint64_t epoch, CoreId primary, std::vector<CoreId> backups) {
  View view;
  view.epoch = view.baseEpoch = {epoch};
  view.primary = primary;
  view.backups = std::move(backups);
  for (std::uint64_t core = 1; core <= kCores; ++core) view.voters.push_back({core});
  return view;
}

AcceptorRecord recordOf(const View& accepted) {
  AcceptorRecord record;
  record.identity = kSelf;
  record.promised = accepted.epoch;
  record.promisedTo = accepted.primary;
  record.accepted = accepted;
  return record;
}

}  // namespace

TEST_GROUP(ConsensusProofs) {
  Options options;
  Random random{1};
  Outbox outbox;
  Membership membership{options, memberOf(kSelf), {}, random};
  MonotonicTime started = at(100);

  void addMember(CoreId core) {
    Shuffle shuffle;
    shuffle.sender = memberOf(core);
    membership.handle(shuffle, started, outbox);
  }
};

TEST(ConsensusProofs, AProofOfAnEarlierViewDoesNotCountForANewerView) {
  for (std::uint64_t core = 2; core <= kCores; ++core) addMember({core});
  View accepted = viewOf(7, {2}, {{3}});
  Acceptor acceptor(options, recordOf(accepted), started);
  Leadership leadership(options, acceptor, membership, random, {});
  Follower follower(options, membership, random);
  ReadOnlyLeader readOnlyLeader(options, acceptor, leadership, membership, follower, random,
                                started);
  auto provenAfterProofOf = [&](const View& view, MonotonicTime now) {
    follower.noteView(view);
    follower.tick(now, outbox);
    StateReply proof;
    proof.sentAt = now;
    proof.proof = true;
    proof.view = view;
    follower.handle(addressOf(view.primary), proof, now, outbox);
    outbox.takeCommands();
    readOnlyLeader.handleRequest(addressOf({4}), {accepted, {4}, now, {}, false}, now, outbox);
    auto replies = messagesOf<ReadLeaseReply>(outbox.takeCommands());
    LONGS_EQUAL(1, replies.size());
    return replies[0].hadPrimaryProof;
  };
  CHECK_FALSE(provenAfterProofOf(viewOf(6, {2}, {{3}}), started + seconds(1)));
  CHECK(provenAfterProofOf(accepted, started + seconds(3)));
}

TEST(ConsensusProofs, ACandidateWithoutAnIntactReplicaReleasesItsVotes) {
  for (std::uint64_t core = 2; core <= kCores; ++core) addMember({core});
  View accepted = viewOf(5, {2}, {{3}});  // this core isn't a member of it
  Acceptor acceptor(options, recordOf(accepted), started);
  StoredReplica replica{{9}, ControlState::initial({9})};  // of a view that was never settled
  Leadership leadership(options, acceptor, membership, random, replica);
  MonotonicTime now = started;
  std::vector<PrepareRequest> requests;
  for (; requests.empty() && now < started + seconds(6); now = now + milliseconds(50)) {
    leadership.tick(now, outbox);
    requests = messagesOf<PrepareRequest>(outbox.takeCommands());
  }
  CHECK(!requests.empty());
  // Its own promise has to be on disk before the promises of the others count.
  acceptor.handle(membership.self().address, requests[0], now, outbox);
  auto writes = commandsOf<WriteFile>(outbox.takeCommands());
  LONGS_EQUAL(1, writes.size());
  acceptor.completeWrite({writes[0].ticket, true}, now, outbox);
  outbox.takeCommands();
  for (CoreId voter : {CoreId{2}, CoreId{3}, CoreId{4}}) {
    PrepareReply reply;
    reply.epoch = reply.promised = requests[0].epoch;
    reply.voter = voter;
    reply.sentAt = requests[0].sentAt;
    reply.granted = true;
    reply.accepted = accepted;
    leadership.handle(reply, now, outbox);
  }
  CHECK(leadership.phase() == LeaderPhase::kFollowing);
  std::size_t releases = 0;
  for (const auto& request : messagesOf<PrepareRequest>(outbox.takeCommands()))
    if (request.kind == PrepareKind::kRelease) ++releases;
  LONGS_EQUAL(kCores - 1, releases);
}
