#include "requests/requests.h"

#include <algorithm>

#include "requests/request_state.h"

namespace peppergate {
namespace {
/// The most attempts that may end without a byte written. They cost their engines nothing, but each
/// tries to open a connection.
constexpr int kLargestUnwritten = 6;
/// How long new requests are accepted after draining has begun; later ones might not finish in
/// time.
constexpr Duration kTakenWhileLeaving = seconds(2.8);
/// The share of the retry budget available to requests whose response hasn't begun.
constexpr double kShareBeforeAnswer = 0.8;
/// The timeout of routes that set none.
constexpr Duration kNoTimeout = seconds(60);

MonotonicTime deadlineOf(const RequestArrived& asked, const Route& route, MonotonicTime now) {
  Duration timeout = route.timeout.microseconds > 0 ? route.timeout : kNoTimeout;
  return now + (asked.timeLeft ? std::min(*asked.timeLeft, timeout) : timeout);
}

const ServiceShare* shareOf(const Route& route, const ServiceName& service) {
  auto found = std::ranges::find(route.services, service, &ServiceShare::service);
  return found == route.services.end() || found->weight <= 0 ? nullptr : &*found;
}
}  // namespace

Requests::Requests(RequestParts parts) : state_(std::make_unique<State>(parts)) {}
Requests::~Requests() = default;
void Requests::ask(RequestArrived arrived, MonotonicTime now, Outbox& outbox) {
  state_->ask(std::move(arrived), now, outbox);
}
void Requests::turn(AttemptTurned turned, MonotonicTime now, Outbox& outbox) {
  state_->turn(std::move(turned), now, outbox);
}
void Requests::gone(RequestId request, MonotonicTime now, Outbox& outbox) {
  state_->gone(request, now, outbox);
}
void Requests::slow(const ClientSlow& slow, MonotonicTime now, Outbox& outbox) {
  state_->slow(slow, now, outbox);
}
void Requests::leave(MonotonicTime now) { state_->leave(now); }
void Requests::tick(MonotonicTime now, Outbox& outbox) { state_->tick(now, outbox); }
std::size_t Requests::live() const { return state_->requests.size(); }

void Requests::State::ask(RequestArrived arrived, MonotonicTime now, Outbox& outbox) {
  if (requests.contains(arrived.request.value)) return outbox.count("requests.doubled");
  outbox.count("requests.asked");
  LiveRequest request;
  request.asked = std::move(arrived);
  request.times.arrived(now);
  if (leavingSince != kForever && now - leavingSince > kTakenWhileLeaving)
    return giveUp(request, {Hurdle::kLeaving}, now, outbox);
  auto planned = plan(request, now, outbox);
  if (auto* fault = std::get_if<AttemptFault>(&planned))
    return giveUp(request, *fault, now, outbox);
  std::uint64_t id = request.asked.request.value;
  auto place = requests.emplace(id, std::move(request)).first;
  outbox.count("attempts.first");
  send(place->second, std::move(std::get<AttemptPlan>(planned)), now, outbox);
}

/// Checks all conditions for one more attempt and chooses its engine. Each attempt is checked
/// against the current configuration, not the one in force when the request arrived.
std::variant<AttemptPlan, AttemptFault> Requests::State::plan(LiveRequest& request,
                                                              MonotonicTime now, Outbox& outbox) {
  if (!parts.facts.installed()) return AttemptFault{Hurdle::kNotInstalled};
  MonotonicTime freshUntil = parts.facts.freshUntil(now);
  if (freshUntil <= now) return AttemptFault{Hurdle::kStale};
  refreshCaches();
  const FleetConfig& config = parts.facts.config();
  const Route* route = routeOf(request);
  if (!route) return AttemptFault{Hurdle::kNoRoute};
  const TenantConfig* tenant = nullptr;
  if (!route->open && !config.tenants.empty()) {
    if (!request.asked.key.empty()) tenant = parts.facts.tenantOfKey(request.asked.key);
    if (!tenant) return AttemptFault{Hurdle::kUnknownKey};
  }
  AttemptPlan plan;
  if (tenant) plan.tenant = tenant->name;
  if (!request.route) {
    request.route = keepRoute(route);
    request.deadline = deadlineOf(request.asked, *route, now);
  } else {
    // Once the request may have run, both its original route and the current one have to allow it
    // to run again.
    bool mayHaveRun = request.mayHaveRun || request.attempt;
    if (mayHaveRun &&
        (route->kind != request.route->kind || !repeatable(*route) || !repeatable(*request.route)))
      return AttemptFault{Hurdle::kBroken};
    if (request.answering && plan.tenant != request.tenant)
      return AttemptFault{Hurdle::kUnknownKey};
  }
  if (request.deadline - now < leastTime(*route)) return AttemptFault{Hurdle::kTooLate};
  if (!attemptsLeft(request, *route)) return AttemptFault{Hurdle::kNoAttemptsLeft};
  if (request.unwritten >= kLargestUnwritten)
    return AttemptFault{request.answering ? Hurdle::kNoEngine : Hurdle::kNoAttemptsLeft};
  const ServiceShare* share = shareOf(*route, request.service);
  if (!share) share = chooseService(*route, request.asked.clientId);
  if (!share) return AttemptFault{Hurdle::kNoRoute};
  plan.paid = request.sent > 0 || request.attempt;
  if (plan.paid && !budgetAllows(request, share->service, now))
    return AttemptFault{Hurdle::kOverBudget};

  plan.urgency = urgencies.of(tenant ? tenant->urgency : UrgencyTable::kNoTenant, route->urgency);
  PlacementAsk ask;
  ask.request = request.asked.request;
  ask.route = route;
  ask.service = share->service;
  ask.model = request.asked.model;
  ask.tenant = plan.tenant;
  ask.isolated = tenant && tenant->isolated;
  ask.urgency = plan.urgency;
  ask.parts = request.asked.parts;
  ask.tokensIn = request.asked.tokensIn;
  ask.tokensOut = request.asked.tokensOut;
  ask.timeLeft = request.deadline - now;
  ask.tried = request.tried;
  auto placed = parts.placer.place(ask, config, parts.facts.weights(), now, outbox);
  if (auto* refusal = std::get_if<PlaceRefusal>(&placed))
    return AttemptFault{refusal->fault == PlaceFault::kFull ? Hurdle::kFull : Hurdle::kNoEngine,
                        refusal->comeBack};
  plan.placed = std::move(std::get<Placed>(placed));
  plan.service = share->service;
  plan.writeBefore = std::min(freshUntil, request.deadline);
  plan.route = route == request.route.get() ? request.route : keepRoute(route);
  return plan;
}

/// The current route. A stream in progress whose route was removed continues under its original
/// route, as it was admitted while that was in force.
const Route* Requests::State::routeOf(const LiveRequest& request) const {
  const Route* route = parts.facts.route(request.asked.host, request.asked.path);
  return route == nullptr && request.answering ? request.route.get() : route;
}

/// Whether the route allows one more attempt. Before a response head was forwarded, each attempt
/// that may have reached an engine counts. A response in progress can't be rejected any more, so
/// only the attempts that may have run count, not those that were declined.
bool Requests::State::attemptsLeft(const LiveRequest& request, const Route& route) const {
  int over = request.answering ? request.runs : request.sent;
  int used = over + (request.attempt ? 1 : 0);
  return used < std::max(1, std::min(route.attempts, request.route->attempts));
}

/// Part of the budget is reserved for streams in progress, which can't be rejected any more.
bool Requests::State::budgetAllows(const LiveRequest& request, const ServiceName& service,
                                   MonotonicTime now) {
  if (!parts.options.guards(Guard::kBudget)) return true;
  BudgetTerms terms = budgetTerms();
  if (!request.answering) terms.share *= kShareBeforeAnswer;
  return budgets[service].allows(terms, now);
}

void Requests::State::send(LiveRequest& request, AttemptPlan plan, MonotonicTime now,
                           Outbox& outbox) {
  LiveAttempt attempt;
  attempt.id = {++lastAttempt};
  attempt.engine = plan.placed.engine;
  attempt.salt = std::move(plan.placed.salt);
  attempt.toRead = plan.placed.toRead;
  attempt.expect = plan.placed.version;
  attempt.opened = now;
  attempt.writeBefore = plan.writeBefore;
  attempt.paid = plan.paid;
  attempt.resumed = request.answering;
  request.service = std::move(plan.service);
  request.tenant = std::move(plan.tenant);
  request.route = std::move(plan.route);
  request.heard = now;
  request.resumeAt = kForever;
  request.tried.push_back(attempt.engine);
  if (!request.counted) budgets[request.service].first(budgetTerms(), now);
  if (plan.paid) budgets[request.service].take(now);
  request.counted = true;

  OpenAttempt open;
  open.attempt = attempt.id;
  open.request = request.asked.request;
  open.wire = request.asked.wire;
  open.clientId = request.asked.clientId;
  open.address = std::move(plan.placed.address);
  open.engine = attempt.engine;
  open.stream = request.stream();
  open.timeLeft = request.deadline - now;
  open.resumeAfter = request.lastEvent ? request.lastEvent : request.asked.resumeAfter;
  open.tenant = request.tenant;
  open.salt = attempt.salt;
  open.urgency = plan.urgency;
  open.expect = attempt.expect;
  open.collectFrom = std::move(plan.placed.collectFrom);
  open.depositAt = std::move(plan.placed.depositAt);
  open.connectTimeout = std::min(open.connectTimeout, open.timeLeft);
  open.writeBefore = attempt.writeBefore;
  parts.ledger.sent(attempt.engine, attempt.toRead);
  attempts.emplace(attempt.id.value, request.asked.request.value);
  if (attempt.resumed) outbox.count("streams.resumed");
  outbox.count("attempts.opened");
  AttemptId id = attempt.id;
  request.attempt = std::move(attempt);
  outbox.push(std::move(open));
  if (request.slow) outbox.push(PauseAttempt{id, true});
  arm(request);
}

/// Ends a request that has no current attempt. A response in progress is truncated; otherwise the
/// request is rejected, but never with a status that says "not run" if it may have run.
void Requests::State::giveUp(LiveRequest& request, AttemptFault fault, MonotonicTime now,
                             Outbox& outbox) {
  if (request.answering) return cut(request, outbox);
  HurdleRow row = hurdleRow(fault.hurdle);
  bool promise = row.status != 502 && row.status != 504;
  if (request.mayHaveRun && promise && parts.options.guards(Guard::kHonestRejection))
    row = hurdleRow(fault.hurdle == Hurdle::kTooLate ? Hurdle::kDeadline : Hurdle::kBroken);
  RefuseRequest refuse{request.asked.request, row.status, row.kind, std::nullopt};
  if (row.status == 503) {
    Duration left =
        request.route ? request.deadline - now : request.asked.timeLeft.value_or(seconds(3));
    auto forecast = fault.comeBack ? fault.comeBack : request.retryAfter;
    refuse.retryAfter = comeBackAfter(forecast, left, parts.random);
  }
  outbox.count(row.refused);
  outbox.push(refuse);
  finish(request);
}

void Requests::State::cut(LiveRequest& request, Outbox& outbox) {
  outbox.count("requests.cut");
  outbox.push(AnswerDone{request.asked.request, false});
  finish(request);
}

void Requests::State::finish(LiveRequest& request) {
  std::uint64_t id = request.asked.request.value;
  if (request.attempt) attempts.erase(request.attempt->id.value);
  auto found = requests.find(id);
  if (found == requests.end() || &found->second != &request) return;  // it was never admitted
  dues.erase({request.due, id});
  requests.erase(found);
}

/// Ends the current attempt; its later events are ignored.
void Requests::State::release(LiveRequest& request, AttemptEnd how, MonotonicTime now) {
  const LiveAttempt& attempt = *request.attempt;
  parts.ledger.ended(attempt.engine, how, attempt.toRead, attempt.first, now);
  if (!attempt.first) parts.placer.dropped(request.asked.request);
  attempts.erase(attempt.id.value);
  request.attempt.reset();
}

void Requests::State::gone(RequestId id, MonotonicTime now, Outbox& outbox) {
  auto found = requests.find(id.value);
  if (found == requests.end()) return;
  outbox.count("requests.gone");
  LiveRequest& request = found->second;
  dropAttempt(request, now, outbox);
  finish(request);
}

/// Cancels the current attempt, so that the engine stops working on it.
void Requests::State::dropAttempt(LiveRequest& request, MonotonicTime now, Outbox& outbox) {
  if (!request.attempt) return;
  outbox.push(CancelAttempt{request.attempt->id});
  release(request, AttemptEnd::kClientGone, now);
  ++request.sent;
  ++request.runs;
  request.mayHaveRun = true;
}

void Requests::State::refreshCaches() {
  if (cached && changes == parts.facts.changes()) return;
  cached = true;
  changes = parts.facts.changes();
  routes.clear();
  urgencies = UrgencyTable(parts.facts.config());
}

std::shared_ptr<const Route> Requests::State::keepRoute(const Route* route) {
  auto& kept = routes[route];
  if (!kept) kept = std::make_shared<const Route>(*route);
  return kept;
}

BudgetTerms Requests::State::budgetTerms() const {
  return {parts.options.budgetShare, parts.options.budgetWindow,
          slackPart(parts.options.budgetSlack, fronts.most())};
}

}  // namespace peppergate
