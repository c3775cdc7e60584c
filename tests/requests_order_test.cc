// Enumerates every order of attempt events up to a depth, for each kind of request, and checks that
// no request runs twice that must not, that rejections are truthful, and what the client receives.
#include "tests/requests_fakes.h"

using namespace peppergate;

namespace {

enum class Step : std::uint8_t {
  kWritten,
  kGoodHead,
  kNotRunHead,
  kOtherEngineHead,
  kFailedHead,
  kFullHead,
  kTimeoutHead,
  kNoStampHead,
  kBadRequestHead,
  kNotRunGoodHead,
  kNextEvent,
  kTwoEvents,
  kKnownEvent,
  kMixedEvents,
  kGapEvent,
  kNoIdBody,
  kEnded,
  kBroken,
  kNotWritten,
  kSilence,
  kRevoke,
  kStale,
  kEngineless,
  kLate,
  kGone,
  kCount,
};

struct Setting {
  std::string_view host;
  bool budget;
  std::optional<std::uint64_t> resumeAfter = std::nullopt;
  std::optional<Guard> guardOff = std::nullopt;
};

/// What the engine of an attempt did, according to the attempt's events.
struct Truth {
  AttemptId id;
  bool stream = false;
  std::optional<std::uint64_t> resumeAfter;
  bool written = false, notRun = false, unsent = false, over = false, cancelled = false;
  bool headed = false, success = false;
  int status = 0;
  std::uint64_t next = 1;  // the id of its next event
  bool mayHaveRun() const { return !notRun && !unsent && (written || cancelled); }
  bool possible() const { return !notRun && !unsent; }
};

/// Drives one request step by step and checks every command against what the engines did.
class Walk {
 public:
  explicit Walk(const Setting& setting)
      : stream_(setting.host == "plain" || setting.host == "resumed"),
        repeatable_(setting.host == "safe" || setting.host == "resumed"),
        start_(setting.resumeAfter.value_or(0) + 1),
        next_(start_) {
    if (!setting.budget) front_.options.budgetShare = 0;
    if (setting.guardOff) front_.options.guardsOff = 1U << static_cast<unsigned>(*setting.guardOff);
    auto asked = FakeFront::arrived(setting.host, 1);
    asked.resumeAfter = setting.resumeAfter;
    check(front_.ask(std::move(asked)));
  }
  bool over() const { return answers_ > 0 || gone_; }
  bool good() const { return fault_.empty(); }
  const std::string& fault() const { return fault_; }
  /// Whether the step can happen now; a body, for example, can't arrive before its head.
  bool possible(Step step) const;
  void take(Step step);
  /// Lets the deadline pass: there must be exactly one response, and no state left.
  void close() {
    check(front_.pass(seconds(30)));
    if (!gone_ && answers_ != 1) fail("not exactly one response");
    if (gone_ && answers_ != 0) fail("responded to a client that disconnected");
    if (front_.requests.live() != 0) fail("request still active");
    if (front_.ledger.under != 0) fail("attempts left open in the traffic records");
  }

 private:
  void fail(std::string why) {
    if (fault_.empty()) fault_ = std::move(why);
  }
  Truth& last() { return attempts_.back(); }
  const Truth& last() const { return attempts_.back(); }
  void check(const std::vector<Command>& commands) {
    for (const auto& command : commands) std::visit([this](const auto& one) { see(one); }, command);
  }
  void see(const OpenAttempt& open) {
    if (over()) fail("attempt sent after the final response");
    for (const auto& attempt : attempts_) {
      if (!attempt.over && !attempt.cancelled && !attempt.headed) fail("two attempts at once");
      if (!repeatable_ && attempt.possible()) fail("may run twice");
    }
    if (revoked_ || stale_) fail("attempt sent without a valid key or proof of freshness");
    Truth truth;
    truth.id = open.attempt;
    truth.resumeAfter = open.resumeAfter;
    truth.next = open.resumeAfter.value_or(0) + 1;
    if (truth.next != next_) fail("resumes after the wrong event");
    attempts_.push_back(truth);
  }
  void see(const CancelAttempt& cancel) {
    for (auto& attempt : attempts_)
      if (attempt.id == cancel.attempt) attempt.cancelled = true;
  }
  void see(const AnswerHead& head) {
    if (over() || heads_++ > 0) fail("a second head");
    status_ = head.head->status;
    if (status_ == 200 && !last().success) fail("an unmarked success was forwarded");
    if (status_ != last().status) fail("head of another attempt");
    if (!repeatable_ && (status_ == 503 || status_ == 408 || status_ == 429 || status_ == 421))
      fail("forwarded a status that says not run");
  }
  void see(const AnswerBody& body) {
    if (over() || heads_ == 0) fail("a body without a head");
    if (body.bytes.starts_with("x")) return;
    if (!stream_ || status_ != 200) {
      if (from_ && *from_ != last().id) fail("bodies of two attempts");
      from_ = last().id;
      return;
    }
    // Each event is written as a space and its id.
    std::size_t at = 0;
    while (at < body.bytes.size()) {
      std::size_t end = 0;
      auto id = std::stoull(body.bytes.substr(at), &end);
      at += end;
      if (id != next_++) fail("an event lost, repeated or out of order");
    }
  }
  void see(const AnswerDone& done) {
    if (over()) fail("a second response");
    ++answers_;
    if (heads_ == 0) fail("an end without a head");
    if (done.whole && !ended_) fail("complete without the end of a run");
  }
  void see(const RefuseRequest& refuse) {
    if (over() || heads_ > 0) fail("rejected after another response");
    ++answers_;
    bool ran = std::ranges::any_of(attempts_, &Truth::mayHaveRun);
    if (refuse.status != 502 && refuse.status != 504) {
      if (ran) fail("rejected as not run, but it may have run");
      if (std::ranges::any_of(attempts_, [](const Truth& one) { return one.possible(); }))
        fail("rejected as not run, but an attempt may still run");
    }
    if (refuse.status == 503 && (!refuse.retryAfter || refuse.retryAfter->microseconds <= 0 ||
                                 *refuse.retryAfter > seconds(3)))
      fail("Retry-After missing or out of range");
  }
  template <class T>
  void see(const T&) {}
  void head(int status, bool notRun) {
    last().headed = true;
    last().status = status;
    last().success = status == 200;
    last().notRun = (notRun && status != 200) || status == 421;
    if (notRun && status == 200) last().success = false;
    check(front_.head(last().id, status, notRun));
  }
  void events(std::uint64_t first, std::uint64_t end) {
    std::string bytes;
    for (auto id = first; id <= end; ++id) bytes += " " + std::to_string(id);
    AttemptId attempt = last().id;
    if (end >= last().next) last().next = end + 1;
    check(front_.body(attempt, bytes, first, end));
  }

  FakeFront front_;
  bool stream_, repeatable_;
  std::uint64_t start_, next_;  // ids of the first and the next event that the client needs
  std::vector<Truth> attempts_;
  std::optional<AttemptId> from_;
  int answers_ = 0, heads_ = 0, status_ = 0;
  bool gone_ = false, ended_ = false, revoked_ = false, stale_ = false;
  std::string fault_;
};

bool Walk::possible(Step step) const {
  if (over() || attempts_.empty()) return false;
  const Truth& one = last();
  switch (step) {
    case Step::kWritten:
      return !one.written;
    case Step::kNotWritten:
      return !one.headed;  // an invalid event after a write is included
    case Step::kGoodHead:
    case Step::kNotRunHead:
    case Step::kOtherEngineHead:
    case Step::kFailedHead:
    case Step::kFullHead:
    case Step::kTimeoutHead:
    case Step::kNoStampHead:
    case Step::kBadRequestHead:
    case Step::kNotRunGoodHead:
      return one.written && !one.headed;
    case Step::kNextEvent:
      return one.written;
    case Step::kNoIdBody:
      return one.headed;
    case Step::kTwoEvents:
      return one.headed && stream_;
    case Step::kKnownEvent:
      return one.headed && stream_ && next_ > 1;
    case Step::kMixedEvents:
      return one.headed && stream_ && next_ > 1 && one.next == next_;
    case Step::kGapEvent:  // only where two runs join; within one run the engine's ids are trusted
      return one.headed && stream_ && next_ > start_ && one.resumeAfter &&
             one.next == *one.resumeAfter + 1;
    case Step::kEnded:
      return one.written;
    case Step::kSilence:
      return repeatable_;
    case Step::kRevoke:
      return !revoked_;
    case Step::kStale:
      return !stale_;
    case Step::kEngineless:
      return true;
    default:
      return true;
  }
}

void Walk::take(Step step) {
  AttemptId id = last().id;
  auto turn = [this, id](AttemptTurn turn) { check(front_.turn(id, turn)); };
  switch (step) {
    case Step::kWritten:
      last().written = true;
      return turn(AttemptTurn::kWritten);
    case Step::kGoodHead:
      return head(200, false);
    case Step::kNotRunHead:
      return head(503, true);
    case Step::kOtherEngineHead:
      return head(421, false);
    case Step::kFailedHead:
      return head(500, false);
    case Step::kFullHead:
      return head(503, false);
    case Step::kTimeoutHead:
      return head(408, false);
    case Step::kBadRequestHead:
      return head(400, false);
    case Step::kNotRunGoodHead:
      return head(200, true);
    case Step::kNoStampHead: {
      last().headed = true;
      last().status = 200;
      auto turned = FakeFront::headOf(id, 200);
      turned.success = false;
      return check(front_.turn(turned));
    }
    case Step::kNextEvent:
      return events(last().next, last().next);
    case Step::kTwoEvents:
      return events(last().next, last().next + 1);
    case Step::kKnownEvent:
      return events(next_ - 1, next_ - 1);
    case Step::kMixedEvents:
      return events(next_ - 1, next_);
    case Step::kGapEvent:
      return events(last().next + 1, last().next + 1);
    case Step::kNoIdBody:
      return check(front_.body(id, "x"));
    case Step::kEnded:
      ended_ = last().headed;
      last().over = true;
      turn(AttemptTurn::kEnded);
      ended_ = false;
      return;
    case Step::kBroken:
      last().written = last().over = true;  // it can't be known to be unsent
      return turn(AttemptTurn::kBroken);
    case Step::kNotWritten:
      last().over = true;
      last().unsent = !last().written;
      return turn(AttemptTurn::kNotWritten);
    case Step::kSilence:
      return check(front_.pass(seconds(2.1)));
    case Step::kRevoke:
      revoked_ = true;
      front_.facts.byKey.clear();
      ++front_.facts.change;
      return;
    case Step::kStale:
      stale_ = true;
      front_.facts.proofEnd = front_.now;
      return;
    case Step::kEngineless:
      front_.placer.engines = 0;
      return;
    case Step::kLate:
      return check(front_.pass(seconds(9)));
    case Step::kGone:
      gone_ = true;
      front_.requests.gone({1}, front_.now, front_.outbox);
      return check(front_.outbox.take());
    case Step::kCount:
      return;
  }
}

/// Enumerates all orders of steps; each is replayed from its beginning.
struct Enumeration {
  Setting setting;
  std::vector<Step> path;
  std::uint64_t walks = 0;
  std::string fault;

  void explore(std::size_t left) {
    Walk walk(setting);
    for (Step step : path) walk.take(step);
    ++walks;
    std::vector<Step> next;
    if (left > 0)
      for (int number = 0; number < static_cast<int>(Step::kCount); ++number)
        if (walk.possible(static_cast<Step>(number))) next.push_back(static_cast<Step>(number));
    walk.close();
    if (!walk.good()) {
      fault = std::string(setting.host) + ": " + walk.fault() + " after";
      for (Step step : path) fault += " " + std::to_string(static_cast<int>(step));
      return;
    }
    for (Step step : next) {
      path.push_back(step);
      explore(left - 1);
      path.pop_back();
      if (!fault.empty()) return;
    }
  }
};

void walkAll(const Setting& setting, std::size_t depth, std::vector<Step> begin = {}) {
  Enumeration enumeration{setting, std::move(begin), 0, {}};
  enumeration.explore(depth);
  STRCMP_EQUAL("", enumeration.fault.c_str());
  CHECK(enumeration.walks > 1000);
}

/// The fault that the enumeration finds with one guard off, to show that it detects faults.
std::string faultWithout(Guard guard, std::string_view host, std::vector<Step> begin = {}) {
  Enumeration enumeration{{host, true, std::nullopt, guard}, std::move(begin), 0, {}};
  enumeration.explore(3);
  return enumeration.fault;
}

bool tells(const std::string& fault, std::string_view what) {
  return fault.find(what) != std::string::npos;
}

}  // namespace

TEST_GROUP(RequestEventOrders){};

TEST(RequestEventOrders, UnsafeRequestsRunAtMostOnceAndRejectionsAreTruthful) {
  walkAll({"unsafe", true, {}}, 5);
}
TEST(RequestEventOrders, PlainStreamsRunAtMostOnceAndKeepEventOrder) {
  walkAll({"plain", true, {}}, 5);
}
TEST(RequestEventOrders, SafeRequestsGetExactlyOneResponse) { walkAll({"safe", true, {}}, 5); }
TEST(RequestEventOrders, ResumedStreamsLoseAndRepeatNoEvent) { walkAll({"resumed", true, {}}, 5); }
TEST(RequestEventOrders, ResumingClientsGetTheEventsAfterTheirLast) {
  walkAll({"resumed", true, 12}, 5);
}
TEST(RequestEventOrders, BrokenStreamsContinueAtAnotherEngine) {
  walkAll({"resumed", true, {}}, 5,
          {Step::kWritten, Step::kGoodHead, Step::kTwoEvents, Step::kBroken});
}
TEST(RequestEventOrders, DeclinedUnsafeRequestsRunAtMostOnce) {
  walkAll({"unsafe", true, {}}, 5, {Step::kWritten, Step::kNotRunHead, Step::kNotWritten});
}
TEST(RequestEventOrders, AllHoldWithoutARetryBudget) {
  for (auto host : kHosts) walkAll({host, false, {}}, 4);
}
TEST(RequestEventOrders, EnumerationDetectsDisabledGuards) {
  CHECK(tells(faultWithout(Guard::kNoRepeat, "unsafe"), "may run twice"));
  CHECK(tells(faultWithout(Guard::kNoRepeat, "plain"), "may run twice"));
  CHECK(tells(faultWithout(Guard::kHonestRejection, "resumed"),
              "rejected as not run, but it may have run"));
  CHECK(tells(faultWithout(Guard::kPieceOrder, "resumed",
                           {Step::kWritten, Step::kGoodHead, Step::kNextEvent, Step::kBroken}),
              "an event lost, repeated or out of order"));
}
