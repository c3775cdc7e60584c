#pragma once
// Internal state of request handling, shared only by the files that implement it.
#include <set>
#include <unordered_map>
#include <vector>

#include "engines/engine_registry.h"
#include "prompts/placement.h"
#include "requests/attempt_budget.h"
#include "requests/request_router.h"
#include "requests/request_rules.h"
#include "requests/response_timer.h"

namespace peppergate {

/// One attempt of a request at one engine. A request has at most one at a time.
struct ActiveAttempt {
  AttemptId id;
  EngineId engine;
  std::string salt;
  std::int64_t prefillTokens = 0;
  MonotonicTime openedAt, writeBefore;
  std::optional<WeightsVersion> expectedVersion;
  bool written = false;
  bool chargedToBudget = false;  // charged to the retry budget
  bool resumesResponse = false;  // continues a response of which the client already has a part
  bool firstEventSeen = false;   // its first event (or head, without a stream) arrived
  std::shared_ptr<const WireHead> head;
  bool forwardsError = false;                // the head is an engine's error, forwarded unchanged
  std::optional<std::uint64_t> lastEventId;  // id of the last event of this attempt
};

/// A client request from its arrival to its one final response.
struct ActiveRequest {
  RequestArrived arrival;
  std::shared_ptr<const Route> route;
  ServiceName service;
  TenantId tenant;
  MonotonicTime deadline, scheduledCheck, lastActivity;
  ResponseTimer timer;
  std::optional<ActiveAttempt> attempt;
  std::vector<EngineId> triedEngines;
  int sentAttempts = 0;              // ended attempts that may have reached their engine
  int possibleRuns = 0;              // of those, attempts that may have run
  int unwrittenAttempts = 0;         // attempts of which no byte was written
  bool countedInBudget = false;      // its first attempt was counted in the retry budget
  bool mayHaveRun = false;           // some ended attempt may have run
  bool responseStarted = false;      // a response head was forwarded to the client
  bool bodyForwarded = false;        // part of the body was forwarded
  bool bodyLengthForwarded = false;  // the forwarded head gives the body's length
  bool clientSlow = false;
  std::optional<std::uint64_t> lastForwardedEventId;  // forwarded to the client
  std::uint64_t largestEventIdStep = 0;               // largest step seen between event ids
  std::uint64_t configuredEventIdStep = 1;            // largest one that its service may take
  std::optional<Duration> retryAfter;                 // as last given by an engine
  MonotonicTime retryAt = kForever;                   // while suspended: the time of the next retry

  bool isStream() const { return route->kind == RouteKind::kStream; }
};

/// An attempt that may be sent: its engine and the terms that it was checked against.
struct AttemptPlan {
  PlacementDecision placed;
  ServiceName service;
  TenantId tenant;
  int urgency = 5;
  MonotonicTime writeBefore;
  std::shared_ptr<const Route> route;
  bool chargedToBudget = false;
};
struct PlanFailure {
  RequestFailure reason = RequestFailure::kNoEngine;
  std::optional<Duration> retryAfter = std::nullopt;
};

struct RequestRouter::State {
  explicit State(RequestDependencies dependencies) : dependencies(dependencies) {}

  // request_router.cc
  void handleRequest(RequestArrived arrival, MonotonicTime now, Outbox& outbox);
  std::variant<AttemptPlan, PlanFailure> planAttempt(ActiveRequest& request, MonotonicTime now,
                                                     Outbox& outbox);
  void sendAttempt(ActiveRequest& request, AttemptPlan plan, MonotonicTime now, Outbox& outbox);
  void noteEventIdStep(ActiveRequest& request);
  void failRequest(ActiveRequest& request, PlanFailure failure, MonotonicTime now, Outbox& outbox);
  void truncateResponse(ActiveRequest& request, Outbox& outbox);
  const Route* currentRoute(const ActiveRequest& request) const;
  bool attemptsLeft(const ActiveRequest& request, const Route& route) const;
  bool budgetAllows(const ActiveRequest& request, const ServiceName& service, MonotonicTime now);
  void removeRequest(ActiveRequest& request);
  void endAttempt(ActiveRequest& request, AttemptOutcome outcome, MonotonicTime now);
  void cancelAttempt(ActiveRequest& request, MonotonicTime now, Outbox& outbox);
  void handleCancelled(RequestId id, MonotonicTime now, Outbox& outbox);

  // attempt_events.cc
  void handleAttemptEvent(AttemptEvent event, MonotonicTime now, Outbox& outbox);
  void handleHead(ActiveRequest& request, const AttemptEvent& event, MonotonicTime now,
                  Outbox& outbox);
  void handleDeclined(ActiveRequest& request, const AttemptEvent& event, MonotonicTime now,
                      Outbox& outbox);
  void handleErrorStatus(ActiveRequest& request, const AttemptEvent& event, MonotonicTime now,
                         Outbox& outbox);
  void handleBody(ActiveRequest& request, AttemptEvent& event, MonotonicTime now, Outbox& outbox);
  enum class EventOrder : std::uint8_t { kNext, kAlreadyForwarded, kInvalid };
  EventOrder checkEventOrder(const ActiveRequest& request, const AttemptEvent& event) const;
  void recordFirstEvent(ActiveRequest& request, MonotonicTime now, Outbox& outbox);
  void handleComplete(ActiveRequest& request, MonotonicTime now, Outbox& outbox);
  void handleInvalidResponse(ActiveRequest& request, MonotonicTime now, Outbox& outbox);
  void handleBroken(ActiveRequest& request, AttemptOutcome outcome, MonotonicTime now,
                    Outbox& outbox);
  void handleNotWritten(ActiveRequest& request, MonotonicTime now, Outbox& outbox);
  void retry(ActiveRequest& request, std::string_view counter, PlanFailure otherwise,
             MonotonicTime now, Outbox& outbox);

  // request_resume.cc
  bool maySuspend(const ActiveRequest& request, RequestFailure reason) const;
  void suspend(ActiveRequest& request, std::optional<Duration> wait, MonotonicTime now,
               Outbox& outbox);
  void resume(ActiveRequest& request, MonotonicTime now, Outbox& outbox);

  // request_deadlines.cc
  void startDraining(MonotonicTime now);
  void rejectBeforeExit(MonotonicTime now, Outbox& outbox);
  void scheduleCheck(ActiveRequest& request);
  MonotonicTime nextCheckTime(const ActiveRequest& request) const;
  std::optional<MonotonicTime> silenceDeadline(const ActiveRequest& request) const;
  void handleBackpressure(const RequestBackpressure& backpressure, MonotonicTime now,
                          Outbox& outbox);
  void tick(MonotonicTime now, Outbox& outbox);
  void runCheck(ActiveRequest& request, MonotonicTime now, Outbox& outbox);
  void handleSilence(ActiveRequest& request, MonotonicTime now, Outbox& outbox);
  void handleDeadline(ActiveRequest& request, MonotonicTime now, Outbox& outbox);

  void refreshCaches();
  std::shared_ptr<const Route> sharedRoute(const Route* route);
  BudgetTerms budgetTerms() const;
  bool repeatable(const Route& route) const {
    return route.isRepeatable() || !dependencies.options.isGuardEnabled(SafetyGuard::kNoRepeat);
  }

  RequestDependencies dependencies;
  std::unordered_map<std::uint64_t, ActiveRequest> requests;
  std::unordered_map<std::uint64_t, std::uint64_t> requestByAttempt;  // request id by attempt id
  std::set<std::pair<MonotonicTime, std::uint64_t>> checkSchedule;
  std::map<ServiceName, AttemptBudget> budgets;
  std::map<EngineId, MonotonicTime> lastEngineResponse;  // to any request
  RouterCount routerCount;
  MonotonicTime routersCountedAt = kNever;
  MonotonicTime drainingSince = kForever;  // when draining began
  bool rejectedBeforeExit = false;         // the rejections shortly before exit were sent
  // Caches derived from the current configuration:
  std::uint64_t cachedInstallCount = 0;
  bool cachesFilled = false;
  std::unordered_map<const Route*, std::shared_ptr<const Route>> sharedRoutes;
  UrgencyTable urgencyTable;
  std::uint64_t lastAttemptId = 0;
};

}  // namespace peppergate
