// Invariants of every request, checked while many requests run concurrently and engines, proofs of
// freshness, routes and clients change at random.
#include <set>

#include "tests/requests_fakes.h"

using namespace peppergate;

namespace {

constexpr Duration kTick = milliseconds(50);
constexpr Duration kLongestOverDeadline = milliseconds(250);
constexpr Duration kClientWaits = seconds(9);  // as set in the requests of the test doubles

/// What an outside observer has seen of one request.
struct Seen {
  std::string_view host;
  MonotonicTime asked;
  std::set<EngineId> ranAt;  // engines that did not decline it
  std::size_t opened = 0;
  bool answered = false, gone = false, ended = false;
  std::shared_ptr<const WireHead> head;  // as forwarded to the client
  bool runEnded = false;                 // the last run's response was complete
};

struct SeenAttempt {
  std::uint64_t request = 0;
  EngineId engine;
  bool open = true, headed = false, written = false;
  bool failed = false;  // its engine responded with an error and has no work left
  std::shared_ptr<const WireHead> head;
  std::uint64_t next = 1;  // id of its next event
};

/// Simulates engines and clients at random and checks each command.
class Play {
 public:
  explicit Play(std::uint64_t seed) : random_(seed) {
    front_.options.budgetShare = 2;
    front_.placer.engines = 6;
    for (auto host : kHosts) {
      Route& route = front_.facts.byHost[std::string(host)];
      route.timeout = seconds(6);
      route.attempts = 1 + static_cast<int>(random_.below(3));
      attempts_[host] = route.attempts;
    }
  }
  void run(int steps) {
    for (int step = 0; step < steps && fault_.empty(); ++step) {
      if (random_.below(3) == 0) ask();
      change();
      for (int turns = 0; turns < 4; ++turns) turnOne();
      if (random_.below(10) == 0) leave();
      check(front_.pass(kTick));
      for (const auto& [id, seen] : requests_)
        if (!seen.ended && !seen.gone &&
            front_.now - seen.asked > seconds(6) + kLongestOverDeadline)
          fail("active past its route's timeout");
    }
    check(front_.pass(seconds(10)));
    if (front_.requests.live() != 0) fail("request still active");
    if (front_.ledger.under != 0) fail("attempts left open");
  }
  const std::string& fault() const { return fault_; }
  std::size_t resumed() const { return front_.counter("streams.resumed"); }
  std::size_t suspended() const { return front_.counter("streams.suspended"); }

 private:
  void fail(const std::string& why) {
    if (fault_.empty()) fault_ = why;
  }
  void ask() {
    std::string_view host = kHosts[random_.below(kHosts.size())];
    std::uint64_t id = ++lastRequest_;
    Seen& seen = requests_[id];
    seen.host = host;
    seen.asked = front_.now;
    check(front_.ask(host, id));
  }
  /// Changes engines, the proof of freshness or a route at random.
  void change() {
    switch (random_.below(40)) {
      case 0:
        front_.placer.engines = static_cast<int>(random_.below(7));
        break;
      case 1:
        front_.facts.proofEnd = random_.below(2) == 0 ? front_.now : kForever;
        break;
      case 2:
        front_.facts.byHost.erase("resumed");
        break;
      case 3:
        front_.facts.byHost.try_emplace("resumed", routeOf(RouteKind::kStream, true));
        break;
      default:
        return;
    }
    if (auto found = front_.facts.byHost.find("resumed"); found != front_.facts.byHost.end()) {
      found->second.timeout = seconds(6);
      found->second.attempts = attempts_["resumed"];
    }
    ++front_.facts.change;
  }
  void leave() {
    for (auto& [id, seen] : requests_) {
      if (seen.ended || seen.gone || random_.below(4) != 0) continue;
      seen.gone = true;
      front_.requests.gone({id}, front_.now, front_.outbox);
      check(front_.outbox.take());
      for (const auto& [attempt, one] : attemptsSeen_)
        if (one.request == id && one.open && !one.failed)
          fail("an engine still works for a client that disconnected");
      return;
    }
  }
  /// Delivers a random event to one open attempt.
  void turnOne() {
    std::vector<std::uint64_t> open;
    for (const auto& [id, attempt] : attemptsSeen_)
      if (attempt.open) open.push_back(id);
    if (open.empty()) return;
    AttemptId id{open[random_.below(open.size())]};
    SeenAttempt& attempt = attemptsSeen_.at(id.value);
    Seen& request = requests_.at(attempt.request);
    bool stream = request.host == "plain" || request.host == "resumed";
    switch (random_.below(12)) {
      case 0:
        if (attempt.written) return;
        attempt.open = false;
        request.ranAt.erase(attempt.engine);
        return check(front_.turn(id, AttemptTurn::kNotWritten));
      case 1:
        attempt.open = false;
        return check(front_.turn(id, AttemptTurn::kBroken));
      case 2:
      case 3:
        if (attempt.headed) return;
        return headCame(id, attempt, 503, true);
      case 4:
        if (attempt.headed) return;
        return headCame(id, attempt, 500, false);
      case 5:
        if (!attempt.headed) return;
        attempt.open = false;
        request.runEnded = true;
        return check(front_.turn(id, AttemptTurn::kEnded));
      default:
        attempt.written = true;
        if (!attempt.headed) return headCame(id, attempt, 200, false);
        if (attempt.head->status != 200) return;
        std::uint64_t event = attempt.next++;
        return check(stream ? front_.body(id, "e", event) : front_.body(id, "b"));
    }
  }
  void headCame(AttemptId id, SeenAttempt& attempt, int status, bool notRun) {
    attempt.headed = attempt.written = true;
    auto turned = FakeFront::headOf(id, status, notRun);
    attempt.head = turned.head;
    attempt.failed = status != 200;
    if (notRun) {
      requests_.at(attempt.request).ranAt.erase(attempt.engine);
      attempt.open = false;
    }
    check(front_.turn(turned));
  }

  void check(const std::vector<Command>& commands) {
    for (const auto& command : commands) std::visit([this](const auto& one) { see(one); }, command);
  }
  void see(const OpenAttempt& open) {
    Seen& seen = requests_.at(open.request.value);
    if (seen.gone || seen.ended) fail("attempt sent after the disconnect or the final response");
    if (front_.now + open.timeLeft > seen.asked + std::min(kClientWaits, seconds(6)))
      fail("an engine is given more time than is left");
    seen.ranAt.insert(open.engine);
    if (static_cast<int>(seen.ranAt.size()) > attempts_[seen.host])
      fail("may have run on more engines than the route's attempts");
    bool repeatable = seen.host == "safe" || seen.host == "resumed";
    if (!repeatable && seen.ranAt.size() > 1) fail("may run twice");
    ++seen.opened;
    seen.runEnded = false;
    SeenAttempt& attempt = attemptsSeen_[open.attempt.value];
    attempt.request = open.request.value;
    attempt.engine = open.engine;
    attempt.next = open.resumeAfter.value_or(0) + 1;
  }
  void see(const CancelAttempt& cancel) { attemptsSeen_.at(cancel.attempt.value).open = false; }
  void see(const AnswerHead& answer) {
    Seen& seen = requests_.at(answer.request.value);
    if (seen.head) fail("two heads");
    seen.head = answer.head;
    bool engines = std::ranges::any_of(attemptsSeen_, [&](const auto& entry) {
      return entry.second.request == answer.request.value && entry.second.head == answer.head;
    });
    if (!engines) fail("head not from an engine of this request, or modified");
  }
  void see(const AnswerDone& done) {
    Seen& seen = requests_.at(done.request.value);
    if (done.whole && !seen.runEnded) fail("a response that ended early appears complete");
    end(seen);
  }
  void see(const RefuseRequest& refuse) {
    Seen& seen = requests_.at(refuse.request.value);
    if (seen.head) fail("rejected after a forwarded head");
    if (refuse.status == 503 && !refuse.retryAfter) fail("no Retry-After");
    end(seen);
  }
  void end(Seen& seen) {
    if (seen.gone || seen.ended) fail("two final responses, or one after a disconnect");
    seen.ended = true;
  }
  template <class T>
  void see(const T&) {}

  FakeFront front_;
  Random random_;
  std::map<std::string_view, int> attempts_;
  std::map<std::uint64_t, Seen> requests_;
  std::map<std::uint64_t, SeenAttempt> attemptsSeen_;
  std::uint64_t lastRequest_ = 0;
  std::string fault_;
};

}  // namespace

TEST_GROUP(RequestInvariants){};

TEST(RequestInvariants, HoldUnderRandomEnginesClientsAndConfigurationChanges) {
  std::size_t resumed = 0, suspended = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Play play(seed);
    play.run(300);
    STRCMP_EQUAL_TEXT("", play.fault().c_str(), std::to_string(seed).c_str());
    resumed += play.resumed();
    suspended += play.suspended();
  }
  CHECK(resumed > 400);
  CHECK(suspended > 300);
}

TEST(RequestInvariants, TheFinalResponseComesAtTheRoutesDeadline) {
  for (auto host : kHosts) {
    FakeFront front;
    front.facts.byHost[std::string(host)].timeout = seconds(2);
    front.ask(host);
    std::size_t answers = 0;
    MonotonicTime asked = front.now;
    while (answers == 0 && front.now - asked < seconds(3)) {
      auto commands = front.pass(kTick);
      answers += taken<RefuseRequest>(commands).size() + taken<AnswerDone>(commands).size();
    }
    CHECK_EQUAL(1U, answers);
    CHECK(front.now - asked <= seconds(2) + kTick);
  }
}

TEST(RequestInvariants, ASecondEngineIsGivenTheRemainingTime) {
  FakeFront front;
  AttemptId id = only<OpenAttempt>(front.ask("resumed")).attempt;
  front.turn(id, AttemptTurn::kWritten);
  front.pass(seconds(1.5));
  auto open = only<OpenAttempt>(front.turn(id, AttemptTurn::kBroken));
  CHECK(open.timeLeft == kClientWaits - seconds(1.5));
}
