// Operators' changes and configuration reads at a daemon while primaries fail and change.
#include <cmath>
#include <optional>
#include <string>

#include "core/control_state.h"
#include "core/digest.h"
#include "core/operator_handler.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

constexpr CoreId kFirstCore{11}, kSecondCore{12};
const Address kFirstAddress{"10.0.0.1:1"}, kSecondAddress{"10.0.0.2:1"};
constexpr const char* kChange =
    R"({"changeId":"c1","kind":"replace","basedOnVersion":0,"config":{"version":1}})";

/// A time rounded to whole milliseconds, so that sums of ticks reach it exactly.
MonotonicTime timeAt(double second) {
  return MonotonicTime{} + milliseconds(std::llround(second * 1000));
}

MemberRecord memberOf(std::uint64_t id, const Address& address, CoreId core) {
  MemberRecord record;
  record.member = {id};
  record.address = record.pagesAddress = address;
  record.core = core;
  record.role = core.value == 0 ? Role::kRouter : Role::kCore;
  record.heartbeat = 1;
  return record;
}

}  // namespace

TEST_GROUP(OperatorHandlers) {
  Options options;
  Random random{1};
  Outbox outbox;
  Membership membership{options, memberOf(1, {"10.0.1.1:1"}, {}), {}, random};
  Follower follower{options, membership, random};
  OperatorHandler handler{options, membership, follower};
  std::uint64_t lastTicket = 0;

  void addMember(std::uint64_t id, const Address& address, CoreId core, double second) {
    Shuffle shuffle;
    shuffle.sender = memberOf(id, address, core);
    membership.handle(shuffle, timeAt(second), outbox);
  }
  void setPrimary(std::uint64_t epoch, CoreId core) {
    View view;
    view.epoch = {epoch};
    view.primary = core;
    follower.noteView(view);
  }
  void addPrimary() {
    addMember(11, kFirstAddress, kFirstCore, 0);
    setPrimary(1, kFirstCore);
  }
  TicketId postChange(const std::string& body, double second) {
    handler.handle({{++lastTicket}, "POST", "/change", body}, timeAt(second), outbox);
    return {lastTicket};
  }
  void readConfig(double second) {
    handler.handle({{++lastTicket}, "GET", "/config", ""}, timeAt(second), outbox);
  }
  /// Ticks every 50 ms from `from` to `to` and returns all commands.
  std::vector<Command> tickBetween(double from, double to) {
    for (MonotonicTime now = timeAt(from); now <= timeAt(to); now = now + milliseconds(50))
      handler.tick(now, outbox);
    return outbox.takeCommands();
  }
  void replyFromPrimary(TicketId ticket, ChangeOutcome outcome, double second) {
    ChangeReply change;
    change.ticket = ticket;
    change.changeId = "c1";  // echoed by the primary
    change.outcome = outcome;
    handler.handleReply(change, timeAt(second), outbox);
  }
  /// Delivers the primary's reply to a state request of the given time.
  void deliverProof(const ControlState& state, double requestedAt, double receivedAt,
                    Duration age = {}) {
    StateReply reply;
    reply.sentAt = timeAt(requestedAt);
    reply.proof = true;
    reply.proofAge = age;
    reply.now = reply.publishedByLeader = state.sections();
    reply.setup = state.setupText();
    reply.keys = state.keysText();
    reply.weights = state.weightsText();
    follower.handle(kFirstAddress, reply, timeAt(receivedAt), outbox);
    handler.answerReaders(timeAt(receivedAt), outbox);
  }
  AnswerHttp onlyAnswer(const std::vector<Command>& commands) {
    auto answers = commandsOf<AnswerHttp>(commands);
    LONGS_EQUAL(1, answers.size());
    return answers.empty() ? AnswerHttp{} : answers[0];
  }
  void expectAnswer(const std::vector<Command>& commands, int status, const char* outcome) {
    AnswerHttp web = onlyAnswer(commands);
    LONGS_EQUAL(status, web.status);
    STRCMP_EQUAL(outcome, Json::parse(web.body)["outcome"].get<std::string>().c_str());
  }
};

TEST(OperatorHandlers, WithoutAPrimaryAChangeFailsAfter900Milliseconds) {
  postChange(kChange, 1);
  CHECK(commandsOf<AnswerHttp>(tickBetween(1, 1.9)).empty());
  expectAnswer(tickBetween(1.95, 2), 503, "no-primary");
  CHECK(outbox.takeCommands().empty());
}

TEST(OperatorHandlers, ANewlyKnownPrimaryGetsTheChangeAtOnce) {
  postChange(kChange, 1);
  tickBetween(1, 1.5);
  addPrimary();
  auto requests = messagesOf<ChangeRequest>(tickBetween(1.55, 1.55));
  LONGS_EQUAL(1, requests.size());
  STRCMP_EQUAL("c1", requests[0].changeId.c_str());
  STRCMP_EQUAL(kChange, requests[0].change.c_str());
  replyFromPrimary({1}, ChangeOutcome::kDone, 1.6);
  expectAnswer(outbox.takeCommands(), 200, "done");
}

TEST(OperatorHandlers, AReplyToAChangeFromBeforeARestartIsDropped) {
  // Tickets restart with each process, so a reply to a change from before a restart may carry the
  // ticket of a new change.
  addPrimary();
  TicketId ticket = postChange(kChange, 1);
  outbox.takeCommands();
  for (ChangeOutcome outcome : {ChangeOutcome::kDone, ChangeOutcome::kStale}) {
    ChangeReply stray;
    stray.ticket = ticket;
    stray.changeId = "another-order";
    stray.outcome = outcome;
    handler.handleReply(stray, timeAt(1.1), outbox);
    CHECK(commandsOf<AnswerHttp>(outbox.takeCommands()).empty());
  }
  replyFromPrimary(ticket, ChangeOutcome::kDone, 1.2);
  expectAnswer(outbox.takeCommands(), 200, "done");
}

TEST(OperatorHandlers, AnUnansweredChangeIsResentAndSentToANewPrimaryAtOnce) {
  addPrimary();
  postChange(kChange, 1);
  LONGS_EQUAL(1, messagesOf<ChangeRequest>(outbox.takeCommands()).size());
  LONGS_EQUAL(0, messagesOf<ChangeRequest>(tickBetween(1.05, 1.25)).size());
  LONGS_EQUAL(3, messagesOf<ChangeRequest>(tickBetween(1.3, 1.95)).size());
  addMember(12, kSecondAddress, kSecondCore, 1.9);
  setPrimary(2, kSecondCore);
  auto sends = commandsOf<Send>(tickBetween(2, 2));
  bool sent = false;
  for (const auto& send : sends)
    sent =
        sent || (std::holds_alternative<ChangeRequest>(send.message) && send.to == kSecondAddress);
  CHECK(sent);
  CHECK(commandsOf<AnswerHttp>(tickBetween(2.05, 7)).empty());
  expectAnswer(tickBetween(7.05, 7.1), 504, "lost");
}

TEST(OperatorHandlers, TemporaryRefusalsAreRetried) {
  addPrimary();
  for (auto outcome :
       {ChangeOutcome::kNoBackup, ChangeOutcome::kNotPrimary, ChangeOutcome::kLost}) {
    TicketId ticket = postChange(kChange, 1);
    outbox.takeCommands();
    replyFromPrimary(ticket, outcome, 1.1);
    auto commands = tickBetween(1.15, 1.5);
    CHECK(commandsOf<AnswerHttp>(commands).empty());
    LONGS_EQUAL(1, messagesOf<ChangeRequest>(commands).size());
    replyFromPrimary(ticket, ChangeOutcome::kDone, 1.6);
    expectAnswer(outbox.takeCommands(), 200, "done");
  }
  TicketId ticket = postChange(kChange, 1);
  tickBetween(1, 1);
  for (double second = 1.1; second < 4.2; second += 0.35) {
    replyFromPrimary(ticket, ChangeOutcome::kNoBackup, second);
    CHECK(commandsOf<AnswerHttp>(tickBetween(second, second + 0.3)).empty());
  }
  replyFromPrimary(ticket, ChangeOutcome::kNoBackup, 4.4);
  expectAnswer(outbox.takeCommands(), 503, "no-backup");
}

TEST(OperatorHandlers, FinalOutcomesAreForwardedAtOnce) {
  addPrimary();
  TicketId ticket = postChange(kChange, 1);
  outbox.takeCommands();
  ChangeReply stale;
  stale.changeId = "c1";
  stale.ticket = ticket;
  stale.outcome = ChangeOutcome::kStale;
  stale.field = "[basedOnVersion]";
  stale.currentConfigVersion = 7;
  handler.handleReply(stale, timeAt(1.1), outbox);
  AnswerHttp web = onlyAnswer(outbox.takeCommands());
  LONGS_EQUAL(409, web.status);
  LONGS_EQUAL(7, Json::parse(web.body)["newest"].get<int>());
  ticket = postChange(kChange, 1);
  outbox.takeCommands();
  replyFromPrimary(ticket, ChangeOutcome::kInvalid, 1.1);
  expectAnswer(outbox.takeCommands(), 400, "invalid");
}

TEST(OperatorHandlers, InvalidOrTooLargeChangesAreNotForwarded) {
  addPrimary();
  for (const char* body : {"", "{", "[]", "3", R"({"changeId":"a"} x)", R"({"changeId":"a")"}) {
    postChange(body, 1);
    expectAnswer(outbox.takeCommands(), 400, "invalid");
  }
  for (const char* body :
       {"{}", R"({"changeId":""})", R"({"changeId":5})", R"({"config":{"changeId":"inner"}})"}) {
    postChange(body, 1);
    AnswerHttp web = onlyAnswer(outbox.takeCommands());
    STRCMP_EQUAL("[changeId]", Json::parse(web.body)["field"].get<std::string>().c_str());
  }
  postChange(
      R"({"changeId":"a","x":)" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}",
      1);
  expectAnswer(outbox.takeCommands(), 400, "invalid");
  postChange(std::string(static_cast<std::size_t>(options.largestSetup) + 1, ' '), 1);
  expectAnswer(outbox.takeCommands(), 413, "too-large");
}

TEST(OperatorHandlers, KeysAreForwardedAsDigestsOnly) {
  addPrimary();
  postChange(R"({"changeId":"k","kind":"key-withdraw","key":"secret"})", 1);
  auto requests = messagesOf<ChangeRequest>(outbox.takeCommands());
  LONGS_EQUAL(1, requests.size());
  CHECK(requests[0].change.find("secret") == std::string::npos);
  CHECK(requests[0].change.find(keyDigest("secret").value) != std::string::npos);
  LONGS_EQUAL(1, follower.recentlyWithdrawn().size());
}

TEST(OperatorHandlers, LargeChangesAreResentLessOftenAndLimited) {
  addPrimary();
  std::string padding(4'000'000, 'x');
  postChange(R"({"changeId":"l","x":")" + padding + R"("})", 1);
  LONGS_EQUAL(1, messagesOf<ChangeRequest>(outbox.takeCommands()).size());
  LONGS_EQUAL(0, messagesOf<ChangeRequest>(tickBetween(1.05, 2.25)).size());
  LONGS_EQUAL(1, messagesOf<ChangeRequest>(tickBetween(2.3, 2.5)).size());
  for (int count = 0; count < 7; ++count)
    postChange(R"({"changeId":"l","x":")" + padding + R"("})", 1);
  outbox.takeCommands();
  postChange(R"({"changeId":"l","x":")" + padding + R"("})", 1);
  expectAnswer(outbox.takeCommands(), 503, "busy");
}

TEST(OperatorHandlers, AReadNeedsAProofRequestedAfterIt) {
  addPrimary();
  ControlState state = ControlState::initial({1});
  state.apply(R"({"kind":"replace","basedOnVersion":0,"config":{"version":3,"odd":1.50}})", "c",
              {1}, options);
  readConfig(1);
  auto requests = messagesOf<StateRequest>(outbox.takeCommands());
  CHECK(!requests.empty() && requests[0].relayed);
  deliverProof(state, 1, 1.01);
  AnswerHttp web = onlyAnswer(outbox.takeCommands());
  LONGS_EQUAL(200, web.status);
  STRCMP_EQUAL(R"({"config":{"odd":1.5,"version":3},"version":3})", web.body.c_str());
  // A proof that was requested before the read doesn't count, nor does an aged proof from a relay.
  readConfig(2);
  outbox.takeCommands();
  deliverProof(state, 1, 2.01);
  deliverProof(state, 2, 2.02, milliseconds(5));
  CHECK(commandsOf<AnswerHttp>(outbox.takeCommands()).empty());
  deliverProof(state, 2, 2.03);
  LONGS_EQUAL(200, onlyAnswer(outbox.takeCommands()).status);
}

TEST(OperatorHandlers, ReadsRetryAndTimeOut) {
  addPrimary();
  readConfig(1);
  outbox.takeCommands();
  auto commands = tickBetween(1.05, 3.5);
  CHECK(commandsOf<AnswerHttp>(commands).empty());
  CHECK(messagesOf<StateRequest>(commands).size() >= 7);
  expectAnswer(tickBetween(3.55, 3.6), 503, "no-primary");
  LONGS_EQUAL(0, commandsOf<AnswerHttp>(tickBetween(3.65, 5)).size());
}

TEST(OperatorHandlers, AReadBeforeTheFirstConfigurationIsNotFound) {
  addPrimary();
  readConfig(1);
  deliverProof(ControlState::initial({1}), 1, 1.01);
  expectAnswer(outbox.takeCommands(), 404, "none");
  handler.handle({{99}, "POST", "/config", "{}"}, timeAt(2), outbox);
  LONGS_EQUAL(405, onlyAnswer(outbox.takeCommands()).status);
}

TEST(OperatorHandlers, AChangeThatNoLeaderPublishedIsNotRead) {
  addPrimary();
  ControlState published = ControlState::initial({1});
  published.apply(R"({"kind":"replace","basedOnVersion":0,"config":{"version":3}})", "c", {1},
                  options);
  ControlState replica = published;  // has one more change, which was never acknowledged
  replica.apply(R"({"kind":"replace","basedOnVersion":3,"config":{"version":4}})", "d", {1},
                options);
  StateReply replicaState;
  replicaState.now = replica.sections();
  replicaState.setup = replica.setupText();
  replicaState.keys = replica.keysText();
  replicaState.weights = replica.weightsText();
  follower.installDurable(replicaState, timeAt(0.5), outbox);
  addMember(12, kSecondAddress, kSecondCore, 0);
  readConfig(1);
  std::optional<MonotonicTime> relayRequestSentAt;  // each request has its own timestamp
  for (const auto& send : commandsOf<Send>(outbox.takeCommands()))
    if (auto* request = std::get_if<StateRequest>(&send.message); request != nullptr)
      if (send.to == kSecondAddress) relayRequestSentAt = request->sentAt;
  CHECK(relayRequestSentAt.has_value());
  deliverProof(published, 1, 1.01);
  CHECK(commandsOf<AnswerHttp>(outbox.takeCommands()).empty());
  // A relay with the same change names the versions that the leader published, not its own.
  StateReply relayed = replicaState;
  relayed.sentAt = *relayRequestSentAt;
  relayed.proof = true;
  relayed.publishedByLeader = published.sections();
  follower.handle(kSecondAddress, relayed, timeAt(1.02), outbox);
  handler.answerReaders(timeAt(1.02), outbox);
  CHECK(commandsOf<AnswerHttp>(outbox.takeCommands()).empty());
  deliverProof(replica, 1, 1.2);
  AnswerHttp web = onlyAnswer(outbox.takeCommands());
  LONGS_EQUAL(200, web.status);
  LONGS_EQUAL(4, Json::parse(web.body)["version"].get<int>());
}

TEST(OperatorHandlers, TheSetupPageContainsNoKeys) {
  addPrimary();
  ControlState state = ControlState::initial({1});
  state.apply(R"({"kind":"replace","basedOnVersion":0,"config":{"version":3,
                  "tenants":[{"name":"red","keys":["secret"]}]}})",
              "c", {1}, options);
  readConfig(1);
  deliverProof(state, 1, 1.01);
  outbox.takeCommands();
  handler.handle({{98}, "GET", "/setup", ""}, timeAt(2), outbox);
  AnswerHttp web = onlyAnswer(outbox.takeCommands());
  CHECK(web.body.find("secret") == std::string::npos);
  LONGS_EQUAL(3, Json::parse(web.body)["config"].get<int>());
}
