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

constexpr CoreId kFirst{11}, kSecond{12};
const Address kFirstAddress{"10.0.0.1:1"}, kSecondAddress{"10.0.0.2:1"};
constexpr const char* kChange =
    R"({"changeId":"c1","kind":"replace","basedOnVersion":0,"config":{"version":1}})";

/// A time rounded to whole milliseconds, so that sums of ticks reach it exactly.
MonotonicTime when(double second) {
  return MonotonicTime{} + milliseconds(std::llround(second * 1000));
}

MemberRecord memberOf(std::uint64_t id, const Address& address, CoreId core) {
  MemberRecord record;
  record.member = {id};
  record.address = record.pages = address;
  record.core = core;
  record.role = core.value == 0 ? Role::kFront : Role::kCore;
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
  OperatorHandler desk{options, membership, follower};
  std::uint64_t lastTicket = 0;

  void know(std::uint64_t id, const Address& address, CoreId core, double second) {
    Shuffle shuffle;
    shuffle.sender = memberOf(id, address, core);
    membership.hear(shuffle, when(second), outbox);
  }
  void leads(std::uint64_t epoch, CoreId core) {
    View view;
    view.epoch = {epoch};
    view.primary = core;
    follower.noteView(view);
  }
  void knowPrimary() {
    know(11, kFirstAddress, kFirst, 0);
    leads(1, kFirst);
  }
  TicketId post(const std::string& body, double second) {
    desk.take({{++lastTicket}, "POST", "/change", body}, when(second), outbox);
    return {lastTicket};
  }
  void read(double second) {
    desk.take({{++lastTicket}, "GET", "/config", ""}, when(second), outbox);
  }
  /// Ticks every 50 ms from `from` to `to` and returns all commands.
  std::vector<Command> until(double from, double to) {
    for (MonotonicTime now = when(from); now <= when(to); now = now + milliseconds(50))
      desk.tick(now, outbox);
    return outbox.take();
  }
  void answer(TicketId ticket, ChangeOutcome outcome, double second) {
    ChangeReply change;
    change.ticket = ticket;
    change.changeId = "c1";  // echoed by the primary
    change.outcome = outcome;
    desk.hear(change, when(second), outbox);
  }
  /// Delivers the primary's reply to a state request of the given time.
  void proof(const ControlState& state, double asked, double heard, Duration age = {}) {
    StateReply news;
    news.sentAt = when(asked);
    news.proof = true;
    news.age = age;
    news.now = news.named = state.sections();
    news.setup = state.setupText();
    news.keys = state.keysText();
    news.weights = state.weightsText();
    follower.hear(kFirstAddress, news, when(heard), outbox);
    desk.settle(when(heard), outbox);
  }
  AnswerWeb onlyAnswer(const std::vector<Command>& commands) {
    auto answers = taken<AnswerWeb>(commands);
    LONGS_EQUAL(1, answers.size());
    return answers.empty() ? AnswerWeb{} : answers[0];
  }
  void answered(const std::vector<Command>& commands, int status, const char* outcome) {
    AnswerWeb web = onlyAnswer(commands);
    LONGS_EQUAL(status, web.status);
    STRCMP_EQUAL(outcome, Json::parse(web.body)["outcome"].get<std::string>().c_str());
  }
};

TEST(OperatorHandlers, WithoutAPrimaryAChangeFailsAfter900Milliseconds) {
  post(kChange, 1);
  CHECK(taken<AnswerWeb>(until(1, 1.9)).empty());
  answered(until(1.95, 2), 503, "no-primary");
  CHECK(outbox.take().empty());
}

TEST(OperatorHandlers, ANewlyKnownPrimaryGetsTheChangeAtOnce) {
  post(kChange, 1);
  until(1, 1.5);
  knowPrimary();
  auto asks = messages<ChangeRequest>(until(1.55, 1.55));
  LONGS_EQUAL(1, asks.size());
  STRCMP_EQUAL("c1", asks[0].changeId.c_str());
  STRCMP_EQUAL(kChange, asks[0].change.c_str());
  answer({1}, ChangeOutcome::kDone, 1.6);
  answered(outbox.take(), 200, "done");
}

TEST(OperatorHandlers, AReplyToAChangeFromBeforeARestartIsDropped) {
  // Tickets restart with each process, so a reply to a change from before a restart may carry the
  // ticket of a new change.
  knowPrimary();
  TicketId ticket = post(kChange, 1);
  outbox.take();
  for (ChangeOutcome outcome : {ChangeOutcome::kDone, ChangeOutcome::kStale}) {
    ChangeReply stray;
    stray.ticket = ticket;
    stray.changeId = "another-order";
    stray.outcome = outcome;
    desk.hear(stray, when(1.1), outbox);
    CHECK(taken<AnswerWeb>(outbox.take()).empty());
  }
  answer(ticket, ChangeOutcome::kDone, 1.2);
  answered(outbox.take(), 200, "done");
}

TEST(OperatorHandlers, AnUnansweredChangeIsResentAndSentToANewPrimaryAtOnce) {
  knowPrimary();
  post(kChange, 1);
  LONGS_EQUAL(1, messages<ChangeRequest>(outbox.take()).size());
  LONGS_EQUAL(0, messages<ChangeRequest>(until(1.05, 1.25)).size());
  LONGS_EQUAL(3, messages<ChangeRequest>(until(1.3, 1.95)).size());
  know(12, kSecondAddress, kSecond, 1.9);
  leads(2, kSecond);
  auto sends = taken<Send>(until(2, 2));
  bool sent = false;
  for (const auto& send : sends)
    sent =
        sent || (std::holds_alternative<ChangeRequest>(send.message) && send.to == kSecondAddress);
  CHECK(sent);
  CHECK(taken<AnswerWeb>(until(2.05, 7)).empty());
  answered(until(7.05, 7.1), 504, "lost");
}

TEST(OperatorHandlers, TemporaryRefusalsAreRetried) {
  knowPrimary();
  for (auto outcome :
       {ChangeOutcome::kNoBackup, ChangeOutcome::kNotPrimary, ChangeOutcome::kLost}) {
    TicketId ticket = post(kChange, 1);
    outbox.take();
    answer(ticket, outcome, 1.1);
    auto commands = until(1.15, 1.5);
    CHECK(taken<AnswerWeb>(commands).empty());
    LONGS_EQUAL(1, messages<ChangeRequest>(commands).size());
    answer(ticket, ChangeOutcome::kDone, 1.6);
    answered(outbox.take(), 200, "done");
  }
  TicketId ticket = post(kChange, 1);
  until(1, 1);
  for (double second = 1.1; second < 4.2; second += 0.35) {
    answer(ticket, ChangeOutcome::kNoBackup, second);
    CHECK(taken<AnswerWeb>(until(second, second + 0.3)).empty());
  }
  answer(ticket, ChangeOutcome::kNoBackup, 4.4);
  answered(outbox.take(), 503, "no-backup");
}

TEST(OperatorHandlers, FinalOutcomesAreForwardedAtOnce) {
  knowPrimary();
  TicketId ticket = post(kChange, 1);
  outbox.take();
  ChangeReply stale;
  stale.changeId = "c1";
  stale.ticket = ticket;
  stale.outcome = ChangeOutcome::kStale;
  stale.field = "[basedOnVersion]";
  stale.newest = 7;
  desk.hear(stale, when(1.1), outbox);
  AnswerWeb web = onlyAnswer(outbox.take());
  LONGS_EQUAL(409, web.status);
  LONGS_EQUAL(7, Json::parse(web.body)["newest"].get<int>());
  ticket = post(kChange, 1);
  outbox.take();
  answer(ticket, ChangeOutcome::kInvalid, 1.1);
  answered(outbox.take(), 400, "invalid");
}

TEST(OperatorHandlers, InvalidOrTooLargeChangesAreNotForwarded) {
  knowPrimary();
  for (const char* body : {"", "{", "[]", "3", R"({"changeId":"a"} x)", R"({"changeId":"a")"}) {
    post(body, 1);
    answered(outbox.take(), 400, "invalid");
  }
  for (const char* body :
       {"{}", R"({"changeId":""})", R"({"changeId":5})", R"({"config":{"changeId":"inner"}})"}) {
    post(body, 1);
    AnswerWeb web = onlyAnswer(outbox.take());
    STRCMP_EQUAL("[changeId]", Json::parse(web.body)["field"].get<std::string>().c_str());
  }
  post(R"({"changeId":"a","x":)" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}",
       1);
  answered(outbox.take(), 400, "invalid");
  post(std::string(static_cast<std::size_t>(options.largestSetup) + 1, ' '), 1);
  answered(outbox.take(), 413, "too-large");
}

TEST(OperatorHandlers, KeysAreForwardedAsDigestsOnly) {
  knowPrimary();
  post(R"({"changeId":"k","kind":"key-withdraw","key":"secret"})", 1);
  auto asks = messages<ChangeRequest>(outbox.take());
  LONGS_EQUAL(1, asks.size());
  CHECK(asks[0].change.find("secret") == std::string::npos);
  CHECK(asks[0].change.find(keyDigest("secret").value) != std::string::npos);
  LONGS_EQUAL(1, follower.recentWithdrawn().size());
}

TEST(OperatorHandlers, LargeChangesAreResentLessOftenAndLimited) {
  knowPrimary();
  std::string padding(4'000'000, 'x');
  post(R"({"changeId":"l","x":")" + padding + R"("})", 1);
  LONGS_EQUAL(1, messages<ChangeRequest>(outbox.take()).size());
  LONGS_EQUAL(0, messages<ChangeRequest>(until(1.05, 2.25)).size());
  LONGS_EQUAL(1, messages<ChangeRequest>(until(2.3, 2.5)).size());
  for (int more = 0; more < 7; ++more) post(R"({"changeId":"l","x":")" + padding + R"("})", 1);
  outbox.take();
  post(R"({"changeId":"l","x":")" + padding + R"("})", 1);
  answered(outbox.take(), 503, "busy");
}

TEST(OperatorHandlers, AReadNeedsAProofRequestedAfterIt) {
  knowPrimary();
  ControlState state = ControlState::founded({1});
  state.apply(R"({"kind":"replace","basedOnVersion":0,"config":{"version":3,"odd":1.50}})", "c",
              {1}, options);
  read(1);
  auto asks = messages<StateRequest>(outbox.take());
  CHECK(!asks.empty() && asks[0].relayed);
  proof(state, 1, 1.01);
  AnswerWeb web = onlyAnswer(outbox.take());
  LONGS_EQUAL(200, web.status);
  STRCMP_EQUAL(R"({"config":{"odd":1.5,"version":3},"version":3})", web.body.c_str());
  // A proof that was requested before the read doesn't count, nor does an aged proof from a relay.
  read(2);
  outbox.take();
  proof(state, 1, 2.01);
  proof(state, 2, 2.02, milliseconds(5));
  CHECK(taken<AnswerWeb>(outbox.take()).empty());
  proof(state, 2, 2.03);
  LONGS_EQUAL(200, onlyAnswer(outbox.take()).status);
}

TEST(OperatorHandlers, ReadsRetryAndTimeOut) {
  knowPrimary();
  read(1);
  outbox.take();
  auto commands = until(1.05, 3.5);
  CHECK(taken<AnswerWeb>(commands).empty());
  CHECK(messages<StateRequest>(commands).size() >= 7);
  answered(until(3.55, 3.6), 503, "no-primary");
  LONGS_EQUAL(0, taken<AnswerWeb>(until(3.65, 5)).size());
}

TEST(OperatorHandlers, AReadBeforeTheFirstConfigurationIsNotFound) {
  knowPrimary();
  read(1);
  proof(ControlState::founded({1}), 1, 1.01);
  answered(outbox.take(), 404, "none");
  desk.take({{99}, "POST", "/config", "{}"}, when(2), outbox);
  LONGS_EQUAL(405, onlyAnswer(outbox.take()).status);
}

TEST(OperatorHandlers, AChangeThatNoLeaderPublishedIsNotRead) {
  knowPrimary();
  ControlState shown = ControlState::founded({1});
  shown.apply(R"({"kind":"replace","basedOnVersion":0,"config":{"version":3}})", "c", {1}, options);
  ControlState replica = shown;  // has one more change, which was never acknowledged
  replica.apply(R"({"kind":"replace","basedOnVersion":3,"config":{"version":4}})", "d", {1},
                options);
  StateReply held;
  held.now = replica.sections();
  held.setup = replica.setupText();
  held.keys = replica.keysText();
  held.weights = replica.weightsText();
  follower.adopt(held, when(0.5), outbox);
  know(12, kSecondAddress, kSecond, 0);
  read(1);
  std::optional<MonotonicTime> relayAsked;  // each request has its own timestamp
  for (const auto& send : taken<Send>(outbox.take()))
    if (auto* request = std::get_if<StateRequest>(&send.message); request != nullptr)
      if (send.to == kSecondAddress) relayAsked = request->sentAt;
  CHECK(relayAsked.has_value());
  proof(shown, 1, 1.01);
  CHECK(taken<AnswerWeb>(outbox.take()).empty());
  // A relay with the same change names the versions that the leader published, not its own.
  StateReply relayed = held;
  relayed.sentAt = *relayAsked;
  relayed.proof = true;
  relayed.named = shown.sections();
  follower.hear(kSecondAddress, relayed, when(1.02), outbox);
  desk.settle(when(1.02), outbox);
  CHECK(taken<AnswerWeb>(outbox.take()).empty());
  proof(replica, 1, 1.2);
  AnswerWeb web = onlyAnswer(outbox.take());
  LONGS_EQUAL(200, web.status);
  LONGS_EQUAL(4, Json::parse(web.body)["version"].get<int>());
}

TEST(OperatorHandlers, TheSetupPageContainsNoKeys) {
  knowPrimary();
  ControlState state = ControlState::founded({1});
  state.apply(R"({"kind":"replace","basedOnVersion":0,"config":{"version":3,
                  "tenants":[{"name":"red","keys":["secret"]}]}})",
              "c", {1}, options);
  read(1);
  proof(state, 1, 1.01);
  outbox.take();
  desk.take({{98}, "GET", "/setup", ""}, when(2), outbox);
  AnswerWeb web = onlyAnswer(outbox.take());
  CHECK(web.body.find("secret") == std::string::npos);
  LONGS_EQUAL(3, Json::parse(web.body)["config"].get<int>());
}
