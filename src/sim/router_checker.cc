#include "sim/router_checker.h"

#include <algorithm>
#include <cmath>

#include "sim/router_clients.h"
#include "sim/router_operators.h"

namespace peppergate {
namespace {

// Longest time from the acknowledgement of a configuration until undisturbed routers use it.
constexpr Duration kConfigApplyLimit = seconds(2);
// A request sent this soon after a newer configuration was used may still see the older one.
constexpr Duration kOlderConfigGrace = seconds(0.25);
// Requests sent later than this after a router was told to stop must complete.
constexpr Duration kMayMissStopWindow = seconds(3);
// Requests sent within this time after a reload must complete.
constexpr Duration kReloadWindow = seconds(2);
// Bytes sent to other members at one moment delay the bytes for clients: 40 ms on a 10 Mbit/s link.
constexpr std::uint64_t kMaxBurstBytes = 50'000;
constexpr Duration kUndisturbedTime =
    seconds(6);  // time without a disturbance after which rules apply
constexpr Duration kRecoveryTime = seconds(12);  // after the last fault

std::string timePrefix(MonotonicTime time) {
  return "at " + std::to_string(inSeconds(time - MonotonicTime{})).substr(0, 7) + "s ";
}

}  // namespace

void RouterChecker::fail(const std::string& rule, const std::string& detail) {
  Violation& violation = violations_[rule];
  if (violation.count++ == 0) violation.firstDetail = timePrefix(world_.now()) + detail;
}

void RouterChecker::handleAttemptWritten(const RouterAttempt& attempt, ClientRequest& request) {
  MonotonicTime now = world_.now();
  bool isRetry = request.writtenAttempts++ > 0;
  const std::string& tenant = attempt.command.tenant.value;
  if (tenant.starts_with("mark-")) {
    std::uint64_t marker = std::strtoull(tenant.c_str() + 5, nullptr, 10);
    Duration limit = world_.isUndisturbed(*attempt.process, kUndisturbedTime)
                         ? kConfigApplyLimit
                         : world_.options().applyWithin;
    auto& [incarnation, newestVersion, since] = configUses_[attempt.process];
    if (incarnation != attempt.processIncarnation) newestVersion = 0;
    incarnation = attempt.processIncarnation;
    if (marker < newestVersion && request.sentAt - since > kOlderConfigGrace)
      fail("went-back", attempt.process->host + " used " + std::to_string(marker) + " after " +
                            std::to_string(newestVersion));
    if (marker > newestVersion) newestVersion = marker, since = now;
    if (marker < world_.operators().ackedVersionBefore(now - limit))
      fail("old-config", attempt.process->host + " used " + std::to_string(marker) + " for " +
                             attempt.command.clientId);
  }
  if (isRetry) checkRetryBudget(attempt.engine->service);
}

void RouterChecker::handleRequestSent(const ClientRequest& request) {
  std::string service = request.arrival.host.substr(0, request.arrival.host.find('.'));
  attempts_[{service}].emplace_back(world_.now(), false);
}

void RouterChecker::checkRetryBudget(const ServiceName& service) {
  MonotonicTime now = world_.now();
  auto& attempts = attempts_[service];
  const Duration window = world_.options().budgetWindow;
  while (!attempts.empty() && now - attempts.front().first >= window * 2) attempts.pop_front();
  attempts.emplace_back(now, true);
  ++retries_;
  // First attempts are counted in the current window, the one half a window earlier and the
  // previous one; the largest count is the basis.
  std::array<double, 3> firstAttemptsIn{};
  double retries = 0;
  for (const auto& [time, isRetry] : attempts) {
    Duration age = now - time;
    if (isRetry && age < window) retries += 1;
    for (std::size_t half = 0; half < firstAttemptsIn.size() && !isRetry; ++half)
      if (Duration start = window * (0.5 * static_cast<double>(half));
          age >= start && age < start + window)
        firstAttemptsIn[half] += 1;
  }
  double firstAttempts = std::ranges::max(firstAttemptsIn);
  double allowed = world_.options().budgetShare * firstAttempts + world_.options().budgetSlack;
  if (retries > allowed)
    fail("over-budget",
         service.value + " " + std::to_string(retries) + " of " + std::to_string(firstAttempts));
}

void RouterChecker::handleAttemptAccepted(const RouterAttempt& attempt, ClientRequest& request) {
  MonotonicTime now = world_.now();
  ++acceptedAttempts_;
  const ClientRoute& route = kClientRoutes[request.route];
  bool repeatable = route.kind == RouteKind::kSafe || route.resumable;
  if (++request.acceptedAttempts > 1 && !repeatable)
    fail("twice", attempt.command.clientId + " at " + attempt.engine->batchEngine->id().value);
  const std::string& key = request.arrival.key;
  std::string tenant = key.empty() ? "" : key.substr(4, key.rfind('-') - 4);
  bool tenantMatches = key == "key-mark" ? attempt.command.tenant.value.starts_with("mark-")
                                         : attempt.command.tenant.value == tenant;
  if (!tenantMatches)
    fail("other-tenant", attempt.command.clientId + " as " + attempt.command.tenant.value);
  if (!request.arrival.host.starts_with(attempt.engine->service.value))
    fail("other-service", attempt.command.clientId + " at " + attempt.engine->host);
  if (request.declaredNotRun) fail("refused", attempt.command.clientId + " ran after its refusal");
  if (now - world_.operators().withdrawnAt(request.arrival.key) > world_.options().withdrawWithin &&
      world_.operators().withdrawnAt(request.arrival.key) != kForever)
    fail("withdrawn", request.arrival.key + " at " + attempt.process->host);
  // The limit doesn't run while the platform's list is unavailable.
  MonotonicTime drainingSince =
      std::max(attempt.engine->drainingSince, world_.listAvailableSince());
  if (drainingSince != kForever && now - drainingSince > world_.options().drainWithin &&
      world_.isUndisturbed(*attempt.process, kUndisturbedTime))
    fail("draining", attempt.process->host + " to " + attempt.engine->batchEngine->id().value);
  // The first change to a version above the engine's applies to it, whenever the engine started.
  // The limit runs only while the core machines are undisturbed.
  const Duration limit = world_.options().weightsWithin;
  bool coreUndisturbed = now - world_.coreDisturbedAt() > limit + kUndisturbedTime;
  if (coreUndisturbed && world_.isUndisturbed(*attempt.process, kUndisturbedTime) &&
      attempt.engineRun.version <
          world_.operators().modelVersionBefore(attempt.engineRun.model, now - limit))
    fail("old-weights",
         attempt.engine->host + " ran " + std::to_string(attempt.engineRun.version.value));
}

void RouterChecker::handleStreamEvent(ClientRequest& request, std::uint64_t previousId,
                                      std::uint64_t id, const std::string& runName) {
  const ClientRoute& route = kClientRoutes[request.route];
  if (!request.lastRunName.empty() && request.lastRunName != runName && !route.resumable)
    fail("order", request.arrival.clientId + " joins two runs without resume");
  if (previousId != request.lastEventId)
    fail("order", request.arrival.clientId + " got " + std::to_string(id) + " of " + runName +
                      " after " + std::to_string(request.lastEventId));
  request.lastRunName = runName;
  request.lastEventId = id;
}

void RouterChecker::handleCompleteResponse(ClientRequest& request) {
  const ClientRoute& route = kClientRoutes[request.route];
  if (route.kind == RouteKind::kStream) {
    if (request.lastEventId != static_cast<std::uint64_t>(request.arrival.tokensOut))
      fail("not-whole",
           request.arrival.clientId + " ended at " + std::to_string(request.lastEventId));
    return;
  }
  bool valid = request.body.starts_with("whole " + request.arrival.clientId + " ") &&
               request.body.find('\n') == request.body.size() - 1;
  if (!valid) fail("not-whole", request.arrival.clientId + " '" + request.body + "'");
}

void RouterChecker::handleNotRun(ClientRequest& request, bool fromEngine) {
  // For repeatable requests a router may forward an engine's own error as it is.
  const ClientRoute& route = kClientRoutes[request.route];
  if (fromEngine && (route.kind == RouteKind::kSafe || route.resumable)) return;
  request.declaredNotRun = true;
  if (request.acceptedAttempts > 0)
    fail("refused", request.arrival.clientId + " (" +
                        std::string(kClientRoutes[request.route].name) + ") ran and was told " +
                        std::to_string(request.status));
}

void RouterChecker::handleDenied(const ClientRequest& request) {
  MonotonicTime withdrawn = kForever;
  for (const auto& change : world_.operators().changes())
    if (!change.withdrawnKey.empty() && change.withdrawnKey == request.arrival.key)
      withdrawn = change.startedAt;
  if (world_.now() < withdrawn)
    fail("denied", request.arrival.clientId + " got " + std::to_string(request.status));
}

void RouterChecker::handleLostResponse(const ClientRequest& request) {
  // Planned stops and reloads may not lose a request that an engine answers in time.
  MonotonicTime now = world_.now();
  bool reloaded = now >= request.router->reloadedAt &&
                  request.sentAt - request.router->reloadedAt < kReloadWindow;
  bool overdue = request.arrival.timeLeft && now - request.sentAt >= *request.arrival.timeLeft;
  bool planned = request.router->stopping || reloaded;
  bool undisturbed = request.sentAt - request.router->disturbedAt > kUndisturbedTime &&
                     request.sentAt - world_.coreDisturbedAt() > kUndisturbedTime;
  // At the end of the grace time an engine may still run a request that was sent soon after the
  // stop began.
  auto attempt = request.attempt.lock();
  Duration sinceStop = now - request.router->stoppedAt;
  bool mayStillRun = request.router->stopping && attempt && attempt->running &&
                     sinceStop >= world_.options().graceTime * 0.5 &&
                     request.sentAt - request.router->stoppedAt <= kMayMissStopWindow;
  if (planned && !overdue && !request.engineFailed && !mayStillRun && undisturbed)
    fail("lost", request.arrival.clientId + " at " + request.router->host);
}

void RouterChecker::finish() {
  for (const auto& engine : world_.engines())
    for (const auto& [kind, count] : engine->batchEngine->violations())
      fail("engine-" + kind, engine->host + " " + std::to_string(count));
  for (const auto& [id, request] : world_.clients().requests())
    if (!request.finished && request.router->alive && !request.router->frozen &&
        world_.isUndisturbed(*request.router, kClientTimeout + seconds(2)))
      fail("no-answer", request.arrival.clientId);
  RouterProcess* leader = world_.leader();
  if (leader == nullptr) {
    fail("no-primary", "at the end");
  } else {
    std::uint64_t version = leader->core().leadership().published().configVersion().value;
    if (version < world_.operators().ackedVersion())
      fail("config-lost",
           std::to_string(world_.operators().ackedVersion()) + " is " + std::to_string(version));
  }
  for (const auto& process : world_.processes())
    if (process->role == Role::kRouter)
      largestBurst_ = std::max(largestBurst_, process->largestBurst);
  if (largestBurst_ > kMaxBurstBytes)
    fail("burst", std::to_string(largestBurst_) + " bytes told to members at once");
  checkExpectations();
}

void RouterChecker::checkExpectations() {
  MonotonicTime end = MonotonicTime{} + world_.scenario().run;
  const auto& actions = world_.scenario().actions;
  double served = world_.clients().servedShare(MonotonicTime{}, end);
  std::size_t acknowledged = 0;
  for (const auto& change : world_.operators().changes())
    acknowledged += change.acknowledgedAt != kForever;
  std::int64_t computedTokens = 0, orders = 0;
  for (const auto& engine : world_.engines()) {
    computedTokens += engine->batchEngine->computedTokens();
    orders += engine->batchEngine->orderCount();
  }
  double requestCount = static_cast<double>(world_.clients().requests().size());
  figures_ = {{"served", served},
              {"requests", requestCount},
              {"takes", static_cast<double>(acceptedAttempts_)},
              {"further", static_cast<double>(retries_)},
              {"acknowledged", static_cast<double>(acknowledged)},
              {"tokens-read-each",
               acceptedAttempts_ > 0
                   ? static_cast<double>(computedTokens) / static_cast<double>(acceptedAttempts_)
                   : 0},
              {"orders", static_cast<double>(orders)},
              {"largest-burst", static_cast<double>(largestBurst_)}};
  MonotonicTime lastAction = actions.empty() ? MonotonicTime{} : actions.back().at;
  double servedAfterFaults = world_.clients().servedShare(lastAction + kRecoveryTime, end);
  if (world_.scenario().servedAfterFaults > 0 &&
      servedAfterFaults < world_.scenario().servedAfterFaults)
    unmetExpectations_.push_back("settles: " + std::to_string(servedAfterFaults) +
                                 " served after the last fault");
  for (const auto& expectation : world_.scenario().expectations) {
    double share = world_.clients().servedShare(expectation.from, std::min(expectation.to, end));
    bool met = true;
    double value = share;
    if (expectation.kind == ExpectationKind::kServed) met = share >= expectation.number;
    else if (expectation.kind == ExpectationKind::kServedAtMost) met = share <= expectation.number;
    else if (expectation.kind == ExpectationKind::kAcknowledgedCount)
      met = (value = static_cast<double>(acknowledged)) >= expectation.number;
    else if (expectation.kind == ExpectationKind::kLoadOrders)
      met = (value = static_cast<double>(orders)) >= expectation.number;
    else if (expectation.kind == ExpectationKind::kComputedTokensPerRun)
      met = (value = acceptedAttempts_ > 0 ? static_cast<double>(computedTokens) /
                                                 static_cast<double>(acceptedAttempts_)
                                           : 0) <= expectation.number;
    if (!met)
      unmetExpectations_.push_back("line " + std::to_string(expectation.line) + ": expected " +
                                   std::string(wordOf(expectation.kind, Interface::kRouters)) +
                                   " " + std::to_string(expectation.number) + ", was " +
                                   std::to_string(value));
  }
}

std::vector<std::string> RouterChecker::failures() const {
  std::vector<std::string> all;
  for (const auto& [rule, violation] : violations_)
    all.push_back(rule + " x" + std::to_string(violation.count) + ": " + violation.firstDetail);
  all.insert(all.end(), unmetExpectations_.begin(), unmetExpectations_.end());
  return all;
}

}  // namespace peppergate
