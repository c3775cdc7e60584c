#include "requests/request_router.h"

#include <algorithm>

#include "requests/request_state.h"

namespace peppergate {
namespace {
/// The most attempts that may end without a byte written. They cost their engines nothing, but each
/// tries to open a connection.
constexpr int kMaxUnwrittenAttempts = 6;
/// How long new requests are accepted after draining has begun; later ones might not finish in
/// time.
constexpr Duration kAcceptWhileDraining = seconds(2.8);
/// The share of the retry budget available to requests whose response hasn't begun.
constexpr double kBudgetShareBeforeResponse = 0.8;
/// The timeout of routes that set none.
constexpr Duration kDefaultTimeout = seconds(60);

MonotonicTime deadlineOf(const RequestArrived& request, const Route& route, MonotonicTime now) {
  Duration timeout = route.timeout.microseconds > 0 ? route.timeout : kDefaultTimeout;
  return now + (request.timeLeft ? std::min(*request.timeLeft, timeout) : timeout);
}

const ServiceShare* shareOf(const Route& route, const ServiceName& service) {
  auto found = std::ranges::find(route.services, service, &ServiceShare::service);
  return found == route.services.end() || found->weight <= 0 ? nullptr : &*found;
}
}  // namespace

RequestRouter::RequestRouter(RequestDependencies dependencies)
    : state_(std::make_unique<State>(dependencies)) {}
RequestRouter::~RequestRouter() = default;
void RequestRouter::handleRequest(RequestArrived arrival, MonotonicTime now, Outbox& outbox) {
  state_->handleRequest(std::move(arrival), now, outbox);
}
void RequestRouter::handleAttemptEvent(AttemptEvent event, MonotonicTime now, Outbox& outbox) {
  state_->handleAttemptEvent(std::move(event), now, outbox);
}
void RequestRouter::handleCancelled(RequestId request, MonotonicTime now, Outbox& outbox) {
  state_->handleCancelled(request, now, outbox);
}
void RequestRouter::handleBackpressure(const RequestBackpressure& backpressure, MonotonicTime now,
                                       Outbox& outbox) {
  state_->handleBackpressure(backpressure, now, outbox);
}
void RequestRouter::startDraining(MonotonicTime now) { state_->startDraining(now); }
void RequestRouter::tick(MonotonicTime now, Outbox& outbox) { state_->tick(now, outbox); }
std::size_t RequestRouter::activeRequests() const { return state_->requests.size(); }

void RequestRouter::State::handleRequest(RequestArrived arrival, MonotonicTime now,
                                         Outbox& outbox) {
  if (requests.contains(arrival.request.value)) return outbox.count("requests.doubled");
  outbox.count("requests.asked");
  ActiveRequest request;
  request.arrival = std::move(arrival);
  request.timer.start(now);
  if (drainingSince != kForever && now - drainingSince > kAcceptWhileDraining)
    return failRequest(request, {RequestFailure::kDraining}, now, outbox);
  auto planned = planAttempt(request, now, outbox);
  if (auto* failure = std::get_if<PlanFailure>(&planned))
    return failRequest(request, *failure, now, outbox);
  std::uint64_t id = request.arrival.request.value;
  auto inserted = requests.emplace(id, std::move(request)).first;
  outbox.count("attempts.first");
  sendAttempt(inserted->second, std::move(std::get<AttemptPlan>(planned)), now, outbox);
}

/// Checks all conditions for one more attempt and chooses its engine. Each attempt is checked
/// against the current configuration, not the one in force when the request arrived.
std::variant<AttemptPlan, PlanFailure> RequestRouter::State::planAttempt(ActiveRequest& request,
                                                                         MonotonicTime now,
                                                                         Outbox& outbox) {
  if (!dependencies.fleet.installed()) return PlanFailure{RequestFailure::kNotInstalled};
  MonotonicTime freshUntil = dependencies.fleet.freshUntil(now);
  if (freshUntil <= now) return PlanFailure{RequestFailure::kStale};
  refreshCaches();
  const FleetConfig& config = dependencies.fleet.config();
  const Route* route = currentRoute(request);
  if (!route) return PlanFailure{RequestFailure::kNoRoute};
  const TenantConfig* tenant = nullptr;
  if (!route->allowsAnonymous) {
    // A key that was sent has to be known, whether or not the configuration has any tenant.
    bool hasKey = !request.arrival.key.empty();
    if (hasKey) tenant = dependencies.fleet.tenantOfKey(request.arrival.key);
    if (!tenant && (hasKey || config.requiresKeys)) return PlanFailure{RequestFailure::kUnknownKey};
  }
  AttemptPlan plan;
  if (tenant) plan.tenant = tenant->name;
  if (!request.route) {
    request.route = sharedRoute(route);
    request.deadline = deadlineOf(request.arrival, *route, now);
  } else {
    // Once the request may have run, both its original route and the current one have to allow it
    // to run again.
    bool mayHaveRun = request.mayHaveRun || request.attempt;
    if (mayHaveRun &&
        (route->kind != request.route->kind || !repeatable(*route) || !repeatable(*request.route)))
      return PlanFailure{RequestFailure::kBroken};
    if (request.responseStarted && plan.tenant != request.tenant)
      return PlanFailure{RequestFailure::kUnknownKey};
  }
  if (request.deadline - now < minTimeLeft(*route)) return PlanFailure{RequestFailure::kTooLate};
  if (!attemptsLeft(request, *route)) return PlanFailure{RequestFailure::kNoAttemptsLeft};
  if (request.unwrittenAttempts >= kMaxUnwrittenAttempts)
    return PlanFailure{request.responseStarted ? RequestFailure::kNoEngine
                                               : RequestFailure::kNoAttemptsLeft};
  const ServiceShare* share = shareOf(*route, request.service);
  if (!share) share = chooseService(*route, request.arrival.clientId);
  if (!share) return PlanFailure{RequestFailure::kNoRoute};
  plan.chargedToBudget = request.sentAttempts > 0 || request.attempt;
  if (plan.chargedToBudget && !budgetAllows(request, share->service, now))
    return PlanFailure{RequestFailure::kOverBudget};

  plan.urgency = urgencyTable.rankOf(tenant ? tenant->urgency : UrgencyTable::kNoTenantUrgency,
                                     route->urgency);
  PlacementRequest ask;
  ask.request = request.arrival.request;
  ask.route = route;
  ask.service = share->service;
  ask.model = request.arrival.model;
  ask.tenant = plan.tenant;
  ask.isolated = tenant && tenant->isolated;
  ask.urgency = plan.urgency;
  ask.promptBlocks = request.arrival.promptBlocks;
  ask.promptTokens = request.arrival.tokensIn;
  ask.outputTokens = request.arrival.tokensOut;
  ask.timeLeft = request.deadline - now;
  ask.triedEngines = request.triedEngines;
  auto placed = dependencies.placer.place(ask, config, dependencies.fleet.weights(), now, outbox);
  if (auto* refusal = std::get_if<PlacementRejection>(&placed))
    return PlanFailure{refusal->reason == PlacementFailure::kFull ? RequestFailure::kFull
                                                                  : RequestFailure::kNoEngine,
                       refusal->retryAfter};
  plan.placed = std::move(std::get<PlacementDecision>(placed));
  plan.service = share->service;
  plan.writeBefore = std::min(freshUntil, request.deadline);
  plan.route = route == request.route.get() ? request.route : sharedRoute(route);
  return plan;
}

/// The current route. A stream in progress whose route was removed continues under its original
/// route, as it was admitted while that was in force.
const Route* RequestRouter::State::currentRoute(const ActiveRequest& request) const {
  const Route* route = dependencies.fleet.route(request.arrival.host, request.arrival.path);
  return route == nullptr && request.responseStarted ? request.route.get() : route;
}

/// Whether the route allows one more attempt. Before a response head was forwarded, each attempt
/// that may have reached an engine counts. A response in progress can't be rejected any more, so
/// only the attempts that may have run count, not those that were declined.
bool RequestRouter::State::attemptsLeft(const ActiveRequest& request, const Route& route) const {
  int over = request.responseStarted ? request.possibleRuns : request.sentAttempts;
  int used = over + (request.attempt ? 1 : 0);
  return used < std::max(1, std::min(route.attempts, request.route->attempts));
}

/// Part of the budget is reserved for streams in progress, which can't be rejected any more.
bool RequestRouter::State::budgetAllows(const ActiveRequest& request, const ServiceName& service,
                                        MonotonicTime now) {
  if (!dependencies.options.isGuardEnabled(SafetyGuard::kBudget)) return true;
  BudgetTerms terms = budgetTerms();
  if (!request.responseStarted) terms.share *= kBudgetShareBeforeResponse;
  return budgets[service].allowsRetry(terms, now);
}

void RequestRouter::State::sendAttempt(ActiveRequest& request, AttemptPlan plan, MonotonicTime now,
                                       Outbox& outbox) {
  ActiveAttempt attempt;
  attempt.id = {++lastAttemptId};
  attempt.engine = plan.placed.engine;
  attempt.salt = std::move(plan.placed.salt);
  attempt.prefillTokens = plan.placed.prefillTokens;
  attempt.expectedVersion = plan.placed.version;
  attempt.openedAt = now;
  attempt.writeBefore = plan.writeBefore;
  attempt.chargedToBudget = plan.chargedToBudget;
  attempt.resumesResponse = request.responseStarted;
  request.service = std::move(plan.service);
  noteEventIdStep(request);
  request.tenant = std::move(plan.tenant);
  request.route = std::move(plan.route);
  request.lastActivity = now;
  request.retryAt = kForever;
  request.triedEngines.push_back(attempt.engine);
  if (!request.countedInBudget) budgets[request.service].recordFirstAttempt(budgetTerms(), now);
  if (plan.chargedToBudget) budgets[request.service].recordRetry(now);
  request.countedInBudget = true;

  OpenAttempt open;
  open.attempt = attempt.id;
  open.request = request.arrival.request;
  open.wire = request.arrival.wire;
  open.clientId = request.arrival.clientId;
  open.address = std::move(plan.placed.address);
  open.engine = attempt.engine;
  open.stream = request.isStream();
  open.timeLeft = request.deadline - now;
  open.resumeAfterEventId = request.lastForwardedEventId ? request.lastForwardedEventId
                                                         : request.arrival.resumeAfterEventId;
  open.tenant = request.tenant;
  open.salt = attempt.salt;
  open.urgency = plan.urgency;
  open.expectedVersion = attempt.expectedVersion;
  open.collectFrom = std::move(plan.placed.collectFrom);
  open.depositAt = std::move(plan.placed.depositAt);
  open.connectTimeout = std::min(open.connectTimeout, open.timeLeft);
  open.writeBefore = attempt.writeBefore;
  dependencies.engineTraffic.recordAttemptSent(attempt.engine, attempt.prefillTokens);
  requestByAttempt.emplace(attempt.id.value, request.arrival.request.value);
  if (attempt.resumesResponse) outbox.count("streams.resumed");
  outbox.count("attempts.opened");
  AttemptId id = attempt.id;
  request.attempt = std::move(attempt);
  outbox.push(std::move(open));
  if (request.clientSlow) outbox.push(PauseAttempt{id, true});
  scheduleCheck(request);
}

/// Notes the largest step between event ids: ids rise by one for each event, or for each token of
/// an event. A service that was removed meanwhile keeps the step that it had.
void RequestRouter::State::noteEventIdStep(ActiveRequest& request) {
  const auto& services = dependencies.fleet.config().services;
  auto found = services.find(request.service);
  if (found == services.end()) return;
  std::int64_t step = found->second.engine ? found->second.engine->maxTokensPerEvent : 1;
  request.configuredEventIdStep = static_cast<std::uint64_t>(std::max<std::int64_t>(1, step));
}

/// Ends a request that has no current attempt. A response in progress is truncated; otherwise the
/// request is rejected, but never with a status that says "not run" if it may have run.
void RequestRouter::State::failRequest(ActiveRequest& request, PlanFailure failure,
                                       MonotonicTime now, Outbox& outbox) {
  if (request.responseStarted) return truncateResponse(request, outbox);
  RejectionResponse response = rejectionFor(failure.reason);
  bool impliesNotRun = response.status != 502 && response.status != 504;
  if (request.mayHaveRun && impliesNotRun &&
      dependencies.options.isGuardEnabled(SafetyGuard::kMayHaveRunReported))
    response = rejectionFor(failure.reason == RequestFailure::kTooLate ? RequestFailure::kDeadline
                                                                       : RequestFailure::kBroken);
  RejectRequest rejection{request.arrival.request, response.status, response.kind, std::nullopt};
  if (response.status == 503) {
    Duration timeLeft =
        request.route ? request.deadline - now : request.arrival.timeLeft.value_or(seconds(3));
    auto forecast = failure.retryAfter ? failure.retryAfter : request.retryAfter;
    rejection.retryAfter = chooseRetryAfter(forecast, timeLeft, dependencies.random);
  }
  outbox.count(response.counter);
  outbox.push(rejection);
  removeRequest(request);
}

void RequestRouter::State::truncateResponse(ActiveRequest& request, Outbox& outbox) {
  outbox.count("requests.cut");
  outbox.push(FinishResponse{request.arrival.request, false});
  removeRequest(request);
}

void RequestRouter::State::removeRequest(ActiveRequest& request) {
  std::uint64_t requestId = request.arrival.request.value;
  if (request.attempt) requestByAttempt.erase(request.attempt->id.value);
  auto found = requests.find(requestId);
  if (found == requests.end() || &found->second != &request) return;  // it was never admitted
  checkSchedule.erase({request.scheduledCheck, requestId});
  requests.erase(found);
}

/// Ends the current attempt; its later events are ignored.
void RequestRouter::State::endAttempt(ActiveRequest& request, AttemptOutcome outcome,
                                      MonotonicTime now) {
  const ActiveAttempt& attempt = *request.attempt;
  dependencies.engineTraffic.recordAttemptEnded(attempt.engine, outcome, attempt.prefillTokens,
                                                attempt.firstEventSeen, now);
  if (!attempt.firstEventSeen) dependencies.placer.endedWithoutEvent(request.arrival.request);
  requestByAttempt.erase(attempt.id.value);
  request.attempt.reset();
}

void RequestRouter::State::handleCancelled(RequestId id, MonotonicTime now, Outbox& outbox) {
  auto found = requests.find(id.value);
  if (found == requests.end()) return;
  outbox.count("requests.gone");
  ActiveRequest& request = found->second;
  cancelAttempt(request, now, outbox);
  removeRequest(request);
}

/// Cancels the current attempt, so that the engine stops working on it.
void RequestRouter::State::cancelAttempt(ActiveRequest& request, MonotonicTime now,
                                         Outbox& outbox) {
  if (!request.attempt) return;
  outbox.push(CancelAttempt{request.attempt->id});
  endAttempt(request, AttemptOutcome::kClientDisconnected, now);
  ++request.sentAttempts;
  ++request.possibleRuns;
  request.mayHaveRun = true;
}

void RequestRouter::State::refreshCaches() {
  if (cachesFilled && cachedInstallCount == dependencies.fleet.installCount()) return;
  cachesFilled = true;
  cachedInstallCount = dependencies.fleet.installCount();
  sharedRoutes.clear();
  urgencyTable = UrgencyTable(dependencies.fleet.config());
}

std::shared_ptr<const Route> RequestRouter::State::sharedRoute(const Route* route) {
  auto& kept = sharedRoutes[route];
  if (!kept) kept = std::make_shared<const Route>(*route);
  return kept;
}

BudgetTerms RequestRouter::State::budgetTerms() const {
  return {dependencies.options.budgetShare, dependencies.options.budgetWindow,
          slackShare(dependencies.options.budgetSlack, routerCount.largest())};
}

}  // namespace peppergate
