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
  std::optional<SafetyGuard> guardOff = std::nullopt;
};

/// What the engine of an attempt did, according to the attempt's events.
struct AttemptRecord {
  AttemptId id;
  bool stream = false;
  std::optional<std::uint64_t> resumeAfter;
  bool written = false, notRun = false, unsent = false, over = false, cancelled = false;
  bool headReceived = false, success = false;
  int status = 0;
  std::uint64_t next = 1;  // the id of its next event
  bool mayHaveRun() const { return !notRun && !unsent && (written || cancelled); }
  bool mayStillRun() const { return !notRun && !unsent; }
};

/// Drives one request step by step and checks every command against what the engines did.
class Walk {
 public:
  explicit Walk(const Setting& setting)
      : stream_(setting.host == "plain" || setting.host == "resumed"),
        repeatable_(setting.host == "safe" || setting.host == "resumed"),
        start_(setting.resumeAfter.value_or(0) + 1),
        next_(start_) {
    if (!setting.budget) router_.options.budgetShare = 0;
    if (setting.guardOff)
      router_.options.disabledGuards = 1U << static_cast<unsigned>(*setting.guardOff);
    auto request = FakeRouter::makeRequest(setting.host, 1);
    request.resumeAfterEventId = setting.resumeAfter;
    check(router_.sendRequest(std::move(request)));
  }
  bool ended() const { return finalResponses_ > 0 || clientGone_; }
  bool good() const { return fault_.empty(); }
  const std::string& fault() const { return fault_; }
  /// Whether the step can happen now; a body, for example, can't arrive before its head.
  bool possible(Step step) const;
  void apply(Step step);
  /// Lets the deadline pass: there must be exactly one response, and no state left.
  void finish() {
    check(router_.advance(seconds(30)));
    if (!clientGone_ && finalResponses_ != 1) fail("not exactly one response");
    if (clientGone_ && finalResponses_ != 0) fail("responded to a client that disconnected");
    if (router_.requests.activeRequests() != 0) fail("request still active");
    if (router_.engineTraffic.openAttempts != 0) fail("attempts left open in the traffic records");
  }

 private:
  void fail(std::string why) {
    if (fault_.empty()) fault_ = std::move(why);
  }
  AttemptRecord& last() { return attempts_.back(); }
  const AttemptRecord& last() const { return attempts_.back(); }
  void check(const std::vector<Command>& commands) {
    for (const auto& command : commands)
      std::visit([this](const auto& one) { onCommand(one); }, command);
  }
  void onCommand(const OpenAttempt& open) {
    if (ended()) fail("attempt sent after the final response");
    for (const auto& attempt : attempts_) {
      if (!attempt.over && !attempt.cancelled && !attempt.headReceived)
        fail("two attempts at once");
      if (!repeatable_ && attempt.mayStillRun()) fail("may run twice");
    }
    if (revoked_ || stale_) fail("attempt sent without a valid key or proof of freshness");
    AttemptRecord record;
    record.id = open.attempt;
    record.resumeAfter = open.resumeAfterEventId;
    record.next = open.resumeAfterEventId.value_or(0) + 1;
    if (record.next != next_) fail("resumes after the wrong event");
    attempts_.push_back(record);
  }
  void onCommand(const CancelAttempt& cancel) {
    for (auto& attempt : attempts_)
      if (attempt.id == cancel.attempt) attempt.cancelled = true;
  }
  void onCommand(const ForwardResponseHead& head) {
    if (ended() || heads_++ > 0) fail("a second head");
    status_ = head.head->status;
    if (status_ == 200 && !last().success) fail("an unmarked success was forwarded");
    if (status_ != last().status) fail("head of another attempt");
    if (!repeatable_ && (status_ == 503 || status_ == 408 || status_ == 429 || status_ == 421))
      fail("forwarded a status that says not run");
  }
  void onCommand(const ForwardResponseBody& body) {
    if (ended() || heads_ == 0) fail("a body without a head");
    if (body.bytes.starts_with("x")) return;
    if (!stream_ || status_ != 200) {
      if (bodyAttempt_ && *bodyAttempt_ != last().id) fail("bodies of two attempts");
      bodyAttempt_ = last().id;
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
  void onCommand(const FinishResponse& done) {
    if (ended()) fail("a second response");
    ++finalResponses_;
    if (heads_ == 0) fail("an end without a head");
    if (done.complete && !runEnded_) fail("complete without the end of a run");
  }
  void onCommand(const RejectRequest& refuse) {
    if (ended() || heads_ > 0) fail("rejected after another response");
    ++finalResponses_;
    bool ran = std::ranges::any_of(attempts_, &AttemptRecord::mayHaveRun);
    if (refuse.status != 502 && refuse.status != 504) {
      if (ran) fail("rejected as not run, but it may have run");
      if (std::ranges::any_of(attempts_,
                              [](const AttemptRecord& one) { return one.mayStillRun(); }))
        fail("rejected as not run, but an attempt may still run");
    }
    if (refuse.status == 503 && (!refuse.retryAfter || refuse.retryAfter->microseconds <= 0 ||
                                 *refuse.retryAfter > seconds(3)))
      fail("Retry-After missing or out of range");
  }
  template <class T>
  void onCommand(const T&) {}
  void head(int status, bool notRun) {
    last().headReceived = true;
    last().status = status;
    last().success = status == 200;
    last().notRun = (notRun && status != 200) || status == 421;
    if (notRun && status == 200) last().success = false;
    check(router_.sendHead(last().id, status, notRun));
  }
  void events(std::uint64_t first, std::uint64_t end) {
    std::string bytes;
    for (auto id = first; id <= end; ++id) bytes += " " + std::to_string(id);
    AttemptId attempt = last().id;
    if (end >= last().next) last().next = end + 1;
    check(router_.sendBody(attempt, bytes, first, end));
  }

  FakeRouter router_;
  bool stream_, repeatable_;
  std::uint64_t start_, next_;  // ids of the first and the next event that the client needs
  std::vector<AttemptRecord> attempts_;
  std::optional<AttemptId> bodyAttempt_;
  int finalResponses_ = 0, heads_ = 0, status_ = 0;
  bool clientGone_ = false, runEnded_ = false, revoked_ = false, stale_ = false;
  std::string fault_;
};

bool Walk::possible(Step step) const {
  if (ended() || attempts_.empty()) return false;
  const AttemptRecord& attempt = last();
  switch (step) {
    case Step::kWritten:
      return !attempt.written;
    case Step::kNotWritten:
      return !attempt.headReceived;  // an invalid event after a write is included
    case Step::kGoodHead:
    case Step::kNotRunHead:
    case Step::kOtherEngineHead:
    case Step::kFailedHead:
    case Step::kFullHead:
    case Step::kTimeoutHead:
    case Step::kNoStampHead:
    case Step::kBadRequestHead:
    case Step::kNotRunGoodHead:
      return attempt.written && !attempt.headReceived;
    case Step::kNextEvent:
      return attempt.written;
    case Step::kNoIdBody:
      return attempt.headReceived;
    case Step::kTwoEvents:
      return attempt.headReceived && stream_;
    case Step::kKnownEvent:
      return attempt.headReceived && stream_ && next_ > 1;
    case Step::kMixedEvents:
      return attempt.headReceived && stream_ && next_ > 1 && attempt.next == next_;
    case Step::kGapEvent:  // only where two runs join; within one run the engine's ids are trusted
      return attempt.headReceived && stream_ && next_ > start_ && attempt.resumeAfter &&
             attempt.next == *attempt.resumeAfter + 1;
    case Step::kEnded:
      return attempt.written;
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

void Walk::apply(Step step) {
  AttemptId id = last().id;
  auto sendEvent = [this, id](AttemptEventKind turn) { check(router_.sendEvent(id, turn)); };
  switch (step) {
    case Step::kWritten:
      last().written = true;
      return sendEvent(AttemptEventKind::kWritten);
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
      last().headReceived = true;
      last().status = 200;
      auto event = FakeRouter::makeHead(id, 200);
      event.success = false;
      return check(router_.sendEvent(event));
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
      return check(router_.sendBody(id, "x"));
    case Step::kEnded:
      runEnded_ = last().headReceived;
      last().over = true;
      sendEvent(AttemptEventKind::kComplete);
      runEnded_ = false;
      return;
    case Step::kBroken:
      last().written = last().over = true;  // it can't be known to be unsent
      return sendEvent(AttemptEventKind::kBroken);
    case Step::kNotWritten:
      last().over = true;
      last().unsent = !last().written;
      return sendEvent(AttemptEventKind::kNotWritten);
    case Step::kSilence:
      return check(router_.advance(seconds(2.1)));
    case Step::kRevoke:
      revoked_ = true;
      router_.fleet.tenantByKey.clear();
      ++router_.fleet.installs;
      return;
    case Step::kStale:
      stale_ = true;
      router_.fleet.proofExpiry = router_.now;
      return;
    case Step::kEngineless:
      router_.placer.engineCount = 0;
      return;
    case Step::kLate:
      return check(router_.advance(seconds(9)));
    case Step::kGone:
      clientGone_ = true;
      router_.requests.handleCancelled({1}, router_.now, router_.outbox);
      return check(router_.outbox.takeCommands());
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
    for (Step step : path) walk.apply(step);
    ++walks;
    std::vector<Step> next;
    if (left > 0)
      for (int number = 0; number < static_cast<int>(Step::kCount); ++number)
        if (walk.possible(static_cast<Step>(number))) next.push_back(static_cast<Step>(number));
    walk.finish();
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
std::string faultWithout(SafetyGuard guard, std::string_view host, std::vector<Step> begin = {}) {
  Enumeration enumeration{{host, true, std::nullopt, guard}, std::move(begin), 0, {}};
  enumeration.explore(3);
  return enumeration.fault;
}

bool mentions(const std::string& fault, std::string_view what) {
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
  CHECK(mentions(faultWithout(SafetyGuard::kNoRepeat, "unsafe"), "may run twice"));
  CHECK(mentions(faultWithout(SafetyGuard::kNoRepeat, "plain"), "may run twice"));
  CHECK(mentions(faultWithout(SafetyGuard::kMayHaveRunReported, "resumed"),
                 "rejected as not run, but it may have run"));
  CHECK(mentions(faultWithout(SafetyGuard::kPieceOrder, "resumed",
                              {Step::kWritten, Step::kGoodHead, Step::kNextEvent, Step::kBroken}),
                 "an event lost, repeated or out of order"));
}
