#pragma once
// Internal state of request handling, shared only by the files that implement it.
#include <set>
#include <unordered_map>
#include <vector>

#include "engines/engine_book.h"
#include "prompts/placement.h"
#include "requests/answer_times.h"
#include "requests/attempt_budget.h"
#include "requests/request_rules.h"
#include "requests/requests.h"

namespace peppergate {

/// One attempt of a request at one engine. A request has at most one at a time.
struct LiveAttempt {
  AttemptId id;
  EngineId engine;
  std::string salt;
  std::int64_t toRead = 0;
  MonotonicTime opened, writeBefore;
  std::optional<WeightsVersion> expect;
  bool written = false;
  bool paid = false;     // charged to the retry budget
  bool resumed = false;  // continues a response of which the client already has a part
  bool first = false;    // its first event (or head, without a stream) arrived
  std::shared_ptr<const WireHead> head;
  bool failure = false;                    // the head is an engine's error, forwarded unchanged
  std::optional<std::uint64_t> lastEvent;  // id of the last event of this attempt
};

/// A client request from its arrival to its one final response.
struct LiveRequest {
  RequestArrived asked;
  std::shared_ptr<const Route> route;
  ServiceName service;
  TenantId tenant;
  MonotonicTime deadline, due, heard;
  AnswerTimes times;
  std::optional<LiveAttempt> attempt;
  std::vector<EngineId> tried;
  int sent = 0;               // ended attempts that may have reached their engine
  int runs = 0;               // of those, attempts that may have run
  int unwritten = 0;          // attempts of which no byte was written
  bool counted = false;       // its first attempt was counted in the retry budget
  bool mayHaveRun = false;    // some ended attempt may have run
  bool answering = false;     // a response head was forwarded to the client
  bool bytesPassed = false;   // part of the body was forwarded
  bool lengthPassed = false;  // the forwarded head gives the body's length
  bool slow = false;
  std::optional<std::uint64_t> lastEvent;  // forwarded to the client
  std::uint64_t largestStep = 0;           // largest step seen between event ids
  std::optional<Duration> retryAfter;      // as last given by an engine
  MonotonicTime resumeAt = kForever;       // while suspended: the time of the next retry

  bool stream() const { return route->kind == RouteKind::kStream; }
};

/// An attempt that may be sent: its engine and the terms that it was checked against.
struct AttemptPlan {
  Placed placed;
  ServiceName service;
  TenantId tenant;
  int urgency = 5;
  MonotonicTime writeBefore;
  std::shared_ptr<const Route> route;
  bool paid = false;
};
struct AttemptFault {
  Hurdle hurdle = Hurdle::kNoEngine;
  std::optional<Duration> comeBack = std::nullopt;
};

struct Requests::State {
  explicit State(RequestParts parts) : parts(parts) {}

  // requests.cc
  void ask(RequestArrived arrived, MonotonicTime now, Outbox& outbox);
  std::variant<AttemptPlan, AttemptFault> plan(LiveRequest& request, MonotonicTime now,
                                               Outbox& outbox);
  void send(LiveRequest& request, AttemptPlan plan, MonotonicTime now, Outbox& outbox);
  void giveUp(LiveRequest& request, AttemptFault fault, MonotonicTime now, Outbox& outbox);
  void cut(LiveRequest& request, Outbox& outbox);
  const Route* routeOf(const LiveRequest& request) const;
  bool attemptsLeft(const LiveRequest& request, const Route& route) const;
  bool budgetAllows(const LiveRequest& request, const ServiceName& service, MonotonicTime now);
  void finish(LiveRequest& request);
  void release(LiveRequest& request, AttemptEnd how, MonotonicTime now);
  void dropAttempt(LiveRequest& request, MonotonicTime now, Outbox& outbox);
  void gone(RequestId id, MonotonicTime now, Outbox& outbox);

  // request_turns.cc
  void turn(AttemptTurned turned, MonotonicTime now, Outbox& outbox);
  void head(LiveRequest& request, const AttemptTurned& turned, MonotonicTime now, Outbox& outbox);
  void declined(LiveRequest& request, const AttemptTurned& turned, MonotonicTime now,
                Outbox& outbox);
  void failed(LiveRequest& request, const AttemptTurned& turned, MonotonicTime now, Outbox& outbox);
  void body(LiveRequest& request, AttemptTurned& turned, MonotonicTime now, Outbox& outbox);
  enum class Order : std::uint8_t { kNext, kKnown, kWrong };
  Order order(const LiveRequest& request, const AttemptTurned& turned) const;
  void firstCame(LiveRequest& request, MonotonicTime now, Outbox& outbox);
  void ended(LiveRequest& request, MonotonicTime now, Outbox& outbox);
  void garbled(LiveRequest& request, MonotonicTime now, Outbox& outbox);
  void broken(LiveRequest& request, AttemptEnd how, MonotonicTime now, Outbox& outbox);
  void notWritten(LiveRequest& request, MonotonicTime now, Outbox& outbox);
  void again(LiveRequest& request, std::string_view counter, AttemptFault otherwise,
             MonotonicTime now, Outbox& outbox);

  // request_resume.cc
  bool maySuspend(const LiveRequest& request, Hurdle hurdle) const;
  void suspend(LiveRequest& request, std::optional<Duration> wait, MonotonicTime now,
               Outbox& outbox);
  void resume(LiveRequest& request, MonotonicTime now, Outbox& outbox);

  // request_times.cc
  void leave(MonotonicTime now);
  void answerBeforeEnd(MonotonicTime now, Outbox& outbox);
  void arm(LiveRequest& request);
  MonotonicTime dueAt(const LiveRequest& request) const;
  std::optional<MonotonicTime> silentAt(const LiveRequest& request) const;
  void slow(const ClientSlow& slow, MonotonicTime now, Outbox& outbox);
  void tick(MonotonicTime now, Outbox& outbox);
  void due(LiveRequest& request, MonotonicTime now, Outbox& outbox);
  void silent(LiveRequest& request, MonotonicTime now, Outbox& outbox);
  void overdue(LiveRequest& request, MonotonicTime now, Outbox& outbox);

  void refreshCaches();
  std::shared_ptr<const Route> keepRoute(const Route* route);
  BudgetTerms budgetTerms() const;
  bool repeatable(const Route& route) const {
    return route.repeatable() || !parts.options.guards(Guard::kNoRepeat);
  }

  RequestParts parts;
  std::unordered_map<std::uint64_t, LiveRequest> requests;
  std::unordered_map<std::uint64_t, std::uint64_t> attempts;  // request id by attempt id
  std::set<std::pair<MonotonicTime, std::uint64_t>> dues;
  std::map<ServiceName, AttemptBudget> budgets;
  std::map<EngineId, MonotonicTime> heardOf;  // to any request
  FrontCount fronts;
  MonotonicTime frontsSeen = kNever;
  MonotonicTime leavingSince = kForever;  // when draining began
  bool lastAnswersGiven = false;          // the rejections shortly before exit were sent
  // Caches derived from the current configuration:
  std::uint64_t changes = 0;
  bool cached = false;
  std::unordered_map<const Route*, std::shared_ptr<const Route>> routes;
  UrgencyTable urgencies;
  std::uint64_t lastAttempt = 0;
};

}  // namespace peppergate
