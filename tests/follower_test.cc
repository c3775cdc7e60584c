// How a follower keeps its state fresh: an answer counts only for the request that it belongs to.
#include <set>
#include <string>

#include "core/control_state.h"
#include "core/follower.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

constexpr CoreId kLeader{11};
const Address kLeaderAddress{"10.0.0.1:1"};

MemberRecord memberAt(std::uint64_t id, const Address& address, CoreId core = {}) {
  MemberRecord record;
  record.member = {id};
  record.address = record.pagesAddress = address;
  record.core = core;
  record.role = core.value == 0 ? Role::kRouter : Role::kCore;
  record.heartbeat = 1;
  return record;
}

Address relayAddress(int number) { return {"10.0.1." + std::to_string(number) + ":1"}; }

}  // namespace

TEST_GROUP(FollowerQuestions) {
  Options options;
  Random random{1};
  Outbox outbox;
  Membership membership{options, memberAt(1, {"10.0.2.1:1"}), {}, random};
  Follower follower{options, membership, random};
  MonotonicTime now = at(100);

  void addMember(const MemberRecord& record) {
    Shuffle shuffle;
    shuffle.sender = record;
    membership.handle(shuffle, now, outbox);
  }
  void addLeader() {
    addMember(memberAt(11, kLeaderAddress, kLeader));
    View view;
    view.epoch = {3};
    view.primary = kLeader;
    follower.noteView(view);
  }
  struct Asked {
    Address to;
    StateRequest request;
  };
  std::vector<Asked> asked() {
    std::vector<Asked> found;
    for (const auto& send : commandsOf<Send>(outbox.takeCommands()))
      if (auto* request = std::get_if<StateRequest>(&send.message))
        found.push_back({send.to, *request});
    return found;
  }
  std::vector<Asked> askedWithin(Duration span) {
    std::vector<Asked> all;
    for (MonotonicTime end = now + span; now < end;) {
      now = now + milliseconds(50);
      follower.tick(now, outbox);
      for (auto& one : asked()) all.push_back(one);
    }
    return all;
  }
  StateReply proofFor(const Asked& question, Duration age) {
    ControlState state = ControlState::initial({1});
    StateReply reply;
    reply.sentAt = question.request.sentAt;
    reply.proof = true;
    reply.proofAge = age;
    reply.view.epoch = {3};
    reply.view.primary = kLeader;
    reply.now = state.sections();
    reply.setup = state.setupText();
    reply.keys = state.keysText();
    reply.weights = state.weightsText();
    return reply;
  }
};

TEST(FollowerQuestions, ARelayWithoutAProofDoesNotEndTheRequestToTheLeader) {
  addLeader();
  addMember(memberAt(21, relayAddress(1)));
  follower.tick(now, outbox);  // without a proof the leader and relays are asked at once
  std::vector<Asked> questions = asked();
  bool leaderAsked = false;
  for (const auto& question : questions) leaderAsked = leaderAsked || question.to == kLeaderAddress;
  CHECK(leaderAsked);
  for (const auto& question : questions) {
    if (question.to == kLeaderAddress) continue;
    StateReply none;
    none.sentAt = question.request.sentAt;
    follower.handle(question.to, none, now, outbox);
  }
  // The request to the leader is still open: it isn't asked again before the timeout.
  for (const auto& question : askedWithin(options.stateRequestTimeout - milliseconds(100)))
    CHECK(question.to != kLeaderAddress || question.request.relayed);
}

TEST(FollowerQuestions, RequestsSentAtTheSameTimeHaveDifferentTimestamps) {
  addLeader();
  for (int number = 1; number <= 3; ++number)
    addMember(memberAt(20 + static_cast<std::uint64_t>(number), relayAddress(number)));
  follower.tick(now, outbox);
  std::set<std::int64_t> stamps;
  std::vector<Asked> questions = asked();
  CHECK(questions.size() >= 3);
  for (const auto& question : questions)
    CHECK(stamps.insert(question.request.sentAt.microseconds).second);
}

TEST(FollowerQuestions, OnlyTheAnswerOfTheAskedMemberCounts) {
  addLeader();
  addMember(memberAt(21, relayAddress(1)));
  follower.tick(now, outbox);
  std::vector<Asked> questions = asked();
  CHECK(!questions.empty());
  Address other{"10.0.9.9:1"};
  follower.handle(other, proofFor(questions[0], {}), now, outbox);
  CHECK_FALSE(follower.isFresh(now));
  follower.handle(questions[0].to, proofFor(questions[0], {}), now, outbox);
  CHECK(follower.isFresh(now));
}

TEST(FollowerQuestions, AllMembersAreAskedBeforeOneIsAskedAgain) {
  constexpr int kMembers = 9;
  for (int number = 1; number <= kMembers; ++number)
    addMember(memberAt(20 + static_cast<std::uint64_t>(number), relayAddress(number)));
  std::set<std::string> tried;
  int questions = 0;
  while (questions < kMembers)
    for (const auto& question : askedWithin(milliseconds(50))) {
      ++questions;
      tried.insert(question.to.value);
    }
  LONGS_EQUAL(kMembers, tried.size());
}

TEST(FollowerQuestions, ARelayWithoutAYoungerProofIsNotPreferred) {
  // Two members on the same side of a partition have the same old proof; only a third member may
  // have a younger one.
  for (int number = 1; number <= 4; ++number)
    addMember(memberAt(20 + static_cast<std::uint64_t>(number), relayAddress(number)));
  std::vector<Asked> first = askedWithin(milliseconds(50));
  CHECK(!first.empty());
  follower.handle(first[0].to, proofFor(first[0], seconds(1)), now, outbox);
  MonotonicTime origin = now - follower.proofAge(now);
  Address companion = first[0].to;
  std::set<std::string> tried;
  for (int round = 0; round < 40; ++round)
    for (const auto& question : askedWithin(milliseconds(50))) {
      tried.insert(question.to.value);
      if (question.to == companion)
        follower.handle(companion, proofFor(question, question.request.sentAt - origin), now,
                        outbox);
    }
  LONGS_EQUAL(4, tried.size());
}

// Weights that arrive late may have been published as early as the last proof that showed the
// previous ones.
TEST(FollowerQuestions, NewWeightsAreDatedToTheProofBeforeThem) {
  addLeader();
  follower.tick(now, outbox);
  Asked question = asked().front();
  MonotonicTime proved = now;
  now = now + milliseconds(20);
  StateReply proof = proofFor(question, {});
  follower.handle(question.to, proof, now, outbox);
  CHECK(follower.leaderProofOrigin() == proved);
  CHECK(follower.weightsPublishedSince() == kNever);  // may be older than this process
  now = now + seconds(8);                             // such as a process that was suspended
  StateReply update = proof;
  update.sentAt = kUnsolicited;
  update.now.weights.sequence = {update.now.weights.sequence.value + 1};
  update.weights = R"({"version":2,"label":"","models":{"llm":2}})";
  follower.handle(kLeaderAddress, update, now, outbox);
  CHECK(follower.weights().models.contains({"llm"}));
  CHECK(follower.weightsPublishedSince() == proved);
}
