// The steps of one engine's load: announce, order, and poll its reports until it is done.
#include <algorithm>

#include "engines/rollout.h"

namespace peppergate {
namespace {

constexpr Duration kAnnounced = milliseconds(120);  // for routers to stop sending
constexpr Duration kReportEvery = milliseconds(200);
constexpr Duration kReportsLag = seconds(0.6);  // until a report reflects an order
constexpr Duration kHoldMargin = milliseconds(50);
constexpr Duration kLastResort = seconds(1.5);
constexpr Duration kRequestsTakeLong = seconds(3.5);
constexpr Duration kTicketSlack = seconds(0.5);
constexpr Duration kSetAside = seconds(1);
constexpr int kUnansweredLimit = 4;

}  // namespace

void Rollout::enter(Step& step, Phase phase, MonotonicTime now) {
  step.phase = phase;
  step.since = now;
  step.ticket.reset();
}

void Rollout::order(const EngineId& engine, Step& step, MonotonicTime now, Outbox& outbox) {
  MonotonicTime writeBefore = leaseUntil_ - kHoldMargin;
  if (now >= writeBefore || now < firstOrderAt_) return;  // retried at the next tick
  // The newest target version applies as long as nothing was ordered.
  if (auto target = named_.find(step.model); target != named_.end())
    step.target = std::max(step.target, target->second);
  OrderWeights command;
  command.ticket = outbox.ticket();
  command.address = step.address;
  command.engine = engine;
  command.model = step.model;
  command.version = step.target;
  bool lastResort = now >= step.deadline - kLastResort && now < step.deadline;
  command.mode = lastResort ? LoadMode::kCut : LoadMode::kWait;
  command.holder = holder_;
  command.fence = step.fence;
  command.expectedCalls = step.expectedCalls;
  command.writeBefore = writeBefore;
  enter(step, Phase::kOrdering, now);
  step.orderedAt = now;
  step.expectedCalls.reset();
  step.ticket = command.ticket;
  step.ticketSince = now;
  orders_[command.ticket] = engine;
  outbox.count(lastResort ? "rollout.cuts" : "rollout.orders");
  outbox.push(std::move(command));
}

void Rollout::advance(const EngineId& engine, Step& step, MonotonicTime now, Outbox& outbox) {
  if (step.ticket) {
    if (now - step.ticketSince <= seconds(1) + kTicketSlack) return;
    if (step.phase == Phase::kOrdering) {
      orders_.erase(*step.ticket);
      orderTurned(engine, OrderOutcome::kUnknown, now, outbox);
    } else {
      reports_.erase(*step.ticket);
      noReport(engine, now);
    }
    return;
  }
  if (step.phase == Phase::kAnnounced || step.phase == Phase::kOrdering) {
    if (now - step.announcedAt >= kAnnounced) order(engine, step, now, outbox);
    return;
  }
  if (now - step.since > kRequestsTakeLong) step.stuck = true;
  if (now < step.nextReport) return;
  step.ticket = outbox.ticket();
  step.ticketSince = now;
  reports_[*step.ticket] = engine;
  outbox.count("rollout.reports");
  outbox.push(AskReport{*step.ticket, step.address, seconds(1)});
}

bool Rollout::answered(const OrderAnswered& answer, MonotonicTime now, Outbox& outbox) {
  auto found = orders_.find(answer.ticket);
  if (found == orders_.end()) return false;
  EngineId engine = found->second;
  orders_.erase(found);
  auto step = steps_.find(engine);
  if (step != steps_.end() && step->second.ticket == answer.ticket)
    orderTurned(engine, answer.outcome, now, outbox);
  return true;
}

void Rollout::orderTurned(const EngineId& engine, OrderOutcome outcome, MonotonicTime now,
                          Outbox& outbox) {
  Step& step = steps_.at(engine);
  switch (outcome) {
    case OrderOutcome::kTaken:
      outbox.count("rollout.taken");
      enter(step, Phase::kLoading, now);
      // The first report is requested when comparable engines have nearly finished.
      step.nextReport = now + std::max(kReportEvery, loadTime(step.service) * 0.7);
      if (!loadTimes_.contains(step.service)) step.nextReport = now + kReportEvery;
      return;
    case OrderOutcome::kHolds:
      outbox.count("rollout.held");
      step.orderedAt = kNever;  // not a sample of the load time
      finish(engine, true, now);
      return;
    case OrderOutcome::kUnknown:
      outbox.count("rollout.unknown");
      enter(step, Phase::kChecking, now);
      step.nextReport = step.orderedAt + kReportsLag;  // earlier reports may miss it
      return;
    case OrderOutcome::kBusy:
      outbox.count("rollout.busy");
      enter(step, Phase::kChecking, now);
      step.nextReport = now + kReportEvery;
      return;
    case OrderOutcome::kFenced:
      outbox.count("rollout.fenced");
      outbox.push(NoteState{"rollout stopped: an engine has seen a newer fencing token"});
      fencedAt_ = epoch_;
      steps_.clear();
      return;
    case OrderOutcome::kNotWritten:
      outbox.count("rollout.notWritten");
      enter(step, Phase::kAnnounced, now);
      return;
    case OrderOutcome::kInvalid:
      outbox.count("rollout.invalid");
      setAside(engine, kSetAside, now);
      return;
    case OrderOutcome::kOtherEngine:
      outbox.count("rollout.otherEngine");
      setAside(engine, kSetAside * 3, now);  // ended earlier by a list without this engine
      return;
  }
}

bool Rollout::answered(const ReportAnswered& answer, MonotonicTime now, Outbox&) {
  auto found = reports_.find(answer.ticket);
  if (found == reports_.end()) return false;
  EngineId engine = found->second;
  reports_.erase(found);
  auto step = steps_.find(engine);
  if (step == steps_.end() || step->second.ticket != answer.ticket) return true;
  step->second.ticket.reset();
  if (answer.status == 200) reportCame(engine, answer, now);
  else noReport(engine, now);
  return true;
}

void Rollout::noReport(const EngineId& engine, MonotonicTime now) {
  Step& step = steps_.at(engine);
  step.ticket.reset();
  step.nextReport = now + kReportEvery;
  // Other engines proceed; this one is retried once it answers again or is listed under a new id.
  if (++step.unanswered >= kUnansweredLimit) setAside(engine, kSetAside, now);
}

void Rollout::reportCame(const EngineId& engine, const ReportAnswered& answer, MonotonicTime now) {
  Step& step = steps_.at(engine);
  const EngineReport& report = answer.report;
  step.unanswered = 0;
  step.nextReport = now + kReportEvery;
  for (const auto& [model, version] : report.models)
    known_[engine][model] = std::max(known_[engine][model], version);
  auto told = report.models.find(step.model);
  bool reached = told != report.models.end() && told->second >= step.target;
  if (reached && !report.busy) return finish(engine, true, now);
  if (report.busy || now - step.orderedAt < kReportsLag) return;
  if (step.inherited) return finish(engine, false, now);  // it is scheduled like the others
  // No load is in progress and nothing was loaded: the order failed or never arrived.
  step.expectedCalls = report.callCount;
  enter(step, Phase::kAnnounced, now);
}

}  // namespace peppergate
