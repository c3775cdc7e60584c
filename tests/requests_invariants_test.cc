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
struct RequestRecord {
  std::string_view host;
  MonotonicTime arrivedAt;
  std::set<EngineId> ranAt;  // engines that did not decline it
  std::size_t opened = 0;
  bool answered = false, gone = false, ended = false;
  std::shared_ptr<const WireHead> head;  // as forwarded to the client
  bool runEnded = false;                 // the last run's response was complete
};

struct AttemptRecord {
  std::uint64_t request = 0;
  EngineId engine;
  bool open = true, headed = false, written = false;
  bool failed = false;  // its engine responded with an error and has no work left
  std::shared_ptr<const WireHead> head;
  std::uint64_t next = 1;  // id of its next event
};

/// Simulates engines and clients at random and checks each command.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {
    router_.options.budgetShare = 2;
    router_.placer.engineCount = 6;
    for (auto host : kHosts) {
      Route& route = router_.fleet.routeByHost[std::string(host)];
      route.timeout = seconds(6);
      route.attempts = 1 + static_cast<int>(random_.below(3));
      attemptLimits_[host] = route.attempts;
    }
  }
  void run(int steps) {
    for (int step = 0; step < steps && fault_.empty(); ++step) {
      if (random_.below(3) == 0) sendRandomRequest();
      changeConditions();
      for (int turns = 0; turns < 4; ++turns) deliverRandomEvent();
      if (random_.below(10) == 0) disconnectRandomClient();
      check(router_.advance(kTick));
      for (const auto& [id, record] : requests_)
        if (!record.ended && !record.gone &&
            router_.now - record.arrivedAt > seconds(6) + kLongestOverDeadline)
          fail("active past its route's timeout");
    }
    check(router_.advance(seconds(10)));
    if (router_.requests.activeRequests() != 0) fail("request still active");
    if (router_.engineTraffic.openAttempts != 0) fail("attempts left open");
  }
  const std::string& fault() const { return fault_; }
  std::size_t resumed() const { return router_.counter("streams.resumed"); }
  std::size_t suspended() const { return router_.counter("streams.suspended"); }

 private:
  void fail(const std::string& why) {
    if (fault_.empty()) fault_ = why;
  }
  void sendRandomRequest() {
    std::string_view host = kHosts[random_.below(kHosts.size())];
    std::uint64_t id = ++lastRequest_;
    RequestRecord& record = requests_[id];
    record.host = host;
    record.arrivedAt = router_.now;
    check(router_.sendRequest(host, id));
  }
  /// Changes engines, the proof of freshness or a route at random.
  void changeConditions() {
    switch (random_.below(40)) {
      case 0:
        router_.placer.engineCount = static_cast<int>(random_.below(7));
        break;
      case 1:
        router_.fleet.proofExpiry = random_.below(2) == 0 ? router_.now : kForever;
        break;
      case 2:
        router_.fleet.routeByHost.erase("resumed");
        break;
      case 3:
        router_.fleet.routeByHost.try_emplace("resumed", routeOf(RouteKind::kStream, true));
        break;
      default:
        return;
    }
    if (auto found = router_.fleet.routeByHost.find("resumed");
        found != router_.fleet.routeByHost.end()) {
      found->second.timeout = seconds(6);
      found->second.attempts = attemptLimits_["resumed"];
    }
    ++router_.fleet.installs;
  }
  void disconnectRandomClient() {
    for (auto& [id, record] : requests_) {
      if (record.ended || record.gone || random_.below(4) != 0) continue;
      record.gone = true;
      router_.requests.handleCancelled({id}, router_.now, router_.outbox);
      check(router_.outbox.takeCommands());
      for (const auto& [attempt, one] : attemptRecords_)
        if (one.request == id && one.open && !one.failed)
          fail("an engine still works for a client that disconnected");
      return;
    }
  }
  /// Delivers a random event to one open attempt.
  void deliverRandomEvent() {
    std::vector<std::uint64_t> open;
    for (const auto& [id, attempt] : attemptRecords_)
      if (attempt.open) open.push_back(id);
    if (open.empty()) return;
    AttemptId id{open[random_.below(open.size())]};
    AttemptRecord& attempt = attemptRecords_.at(id.value);
    RequestRecord& request = requests_.at(attempt.request);
    bool stream = request.host == "plain" || request.host == "resumed";
    switch (random_.below(12)) {
      case 0:
        if (attempt.written) return;
        attempt.open = false;
        request.ranAt.erase(attempt.engine);
        return check(router_.sendEvent(id, AttemptEventKind::kNotWritten));
      case 1:
        attempt.open = false;
        return check(router_.sendEvent(id, AttemptEventKind::kBroken));
      case 2:
      case 3:
        if (attempt.headed) return;
        return deliverHead(id, attempt, 503, true);
      case 4:
        if (attempt.headed) return;
        return deliverHead(id, attempt, 500, false);
      case 5:
        if (!attempt.headed) return;
        attempt.open = false;
        request.runEnded = true;
        return check(router_.sendEvent(id, AttemptEventKind::kComplete));
      default:
        attempt.written = true;
        if (!attempt.headed) return deliverHead(id, attempt, 200, false);
        if (attempt.head->status != 200) return;
        std::uint64_t event = attempt.next++;
        return check(stream ? router_.sendBody(id, "e", event) : router_.sendBody(id, "b"));
    }
  }
  void deliverHead(AttemptId id, AttemptRecord& attempt, int status, bool notRun) {
    attempt.headed = attempt.written = true;
    auto event = FakeRouter::makeHead(id, status, notRun);
    attempt.head = event.head;
    attempt.failed = status != 200;
    if (notRun) {
      requests_.at(attempt.request).ranAt.erase(attempt.engine);
      attempt.open = false;
    }
    check(router_.sendEvent(event));
  }

  void check(const std::vector<Command>& commands) {
    for (const auto& command : commands)
      std::visit([this](const auto& one) { onCommand(one); }, command);
  }
  void onCommand(const OpenAttempt& open) {
    RequestRecord& record = requests_.at(open.request.value);
    if (record.gone || record.ended)
      fail("attempt sent after the disconnect or the final response");
    if (router_.now + open.timeLeft > record.arrivedAt + std::min(kClientWaits, seconds(6)))
      fail("an engine is given more time than is left");
    record.ranAt.insert(open.engine);
    if (static_cast<int>(record.ranAt.size()) > attemptLimits_[record.host])
      fail("may have run on more engines than the route's attempts");
    bool repeatable = record.host == "safe" || record.host == "resumed";
    if (!repeatable && record.ranAt.size() > 1) fail("may run twice");
    ++record.opened;
    record.runEnded = false;
    AttemptRecord& attempt = attemptRecords_[open.attempt.value];
    attempt.request = open.request.value;
    attempt.engine = open.engine;
    attempt.next = open.resumeAfterEventId.value_or(0) + 1;
  }
  void onCommand(const CancelAttempt& cancel) {
    attemptRecords_.at(cancel.attempt.value).open = false;
  }
  void onCommand(const ForwardResponseHead& answer) {
    RequestRecord& record = requests_.at(answer.request.value);
    if (record.head) fail("two heads");
    record.head = answer.head;
    bool engines = std::ranges::any_of(attemptRecords_, [&](const auto& entry) {
      return entry.second.request == answer.request.value && entry.second.head == answer.head;
    });
    if (!engines) fail("head not from an engine of this request, or modified");
  }
  void onCommand(const FinishResponse& done) {
    RequestRecord& record = requests_.at(done.request.value);
    if (done.complete && !record.runEnded) fail("a response that ended early appears complete");
    recordEnd(record);
  }
  void onCommand(const RejectRequest& refuse) {
    RequestRecord& record = requests_.at(refuse.request.value);
    if (record.head) fail("rejected after a forwarded head");
    if (refuse.status == 503 && !refuse.retryAfter) fail("no Retry-After");
    recordEnd(record);
  }
  void recordEnd(RequestRecord& record) {
    if (record.gone || record.ended) fail("two final responses, or one after a disconnect");
    record.ended = true;
  }
  template <class T>
  void onCommand(const T&) {}

  FakeRouter router_;
  Random random_;
  std::map<std::string_view, int> attemptLimits_;
  std::map<std::uint64_t, RequestRecord> requests_;
  std::map<std::uint64_t, AttemptRecord> attemptRecords_;
  std::uint64_t lastRequest_ = 0;
  std::string fault_;
};

}  // namespace

TEST_GROUP(RequestInvariants){};

TEST(RequestInvariants, HoldUnderRandomEnginesClientsAndConfigurationChanges) {
  std::size_t resumed = 0, suspended = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Simulation simulation(seed);
    simulation.run(300);
    STRCMP_EQUAL_TEXT("", simulation.fault().c_str(), std::to_string(seed).c_str());
    resumed += simulation.resumed();
    suspended += simulation.suspended();
  }
  CHECK(resumed > 400);
  CHECK(suspended > 300);
}

TEST(RequestInvariants, TheFinalResponseComesAtTheRoutesDeadline) {
  for (auto host : kHosts) {
    FakeRouter router;
    router.fleet.routeByHost[std::string(host)].timeout = seconds(2);
    router.sendRequest(host);
    std::size_t answers = 0;
    MonotonicTime arrivedAt = router.now;
    while (answers == 0 && router.now - arrivedAt < seconds(3)) {
      auto commands = router.advance(kTick);
      answers +=
          commandsOf<RejectRequest>(commands).size() + commandsOf<FinishResponse>(commands).size();
    }
    CHECK_EQUAL(1U, answers);
    CHECK(router.now - arrivedAt <= seconds(2) + kTick);
  }
}

TEST(RequestInvariants, ASecondEngineIsGivenTheRemainingTime) {
  FakeRouter router;
  AttemptId id = only<OpenAttempt>(router.sendRequest("resumed")).attempt;
  router.sendEvent(id, AttemptEventKind::kWritten);
  router.advance(seconds(1.5));
  auto open = only<OpenAttempt>(router.sendEvent(id, AttemptEventKind::kBroken));
  CHECK(open.timeLeft == kClientWaits - seconds(1.5));
}
