// The steps of one engine's load: announce, order, and poll its reports until it is done.
#include <algorithm>

#include "engines/rollout.h"

namespace peppergate {
namespace {

constexpr Duration kAnnouncementDelay = milliseconds(120);  // for routers to stop sending
constexpr Duration kReportInterval = milliseconds(200);
constexpr Duration kReportDelay = seconds(0.6);  // until a report reflects an order
constexpr Duration kLeaseMargin = milliseconds(50);
constexpr Duration kLastResortMargin = seconds(1.5);
constexpr Duration kLongRequestTime = seconds(3.5);
constexpr Duration kAnswerSlack = seconds(0.5);
constexpr Duration kDeferralTime = seconds(1);
constexpr int kMaxUnansweredReports = 4;

}  // namespace

void Rollout::enterPhase(LoadStep& step, Phase phase, MonotonicTime now) {
  step.phase = phase;
  step.since = now;
  step.ticket.reset();
}

void Rollout::sendOrder(const EngineId& engine, LoadStep& step, MonotonicTime now, Outbox& outbox) {
  MonotonicTime writeBefore = leaseUntil_ - kLeaseMargin;
  if (now >= writeBefore || now < firstOrderAllowedAt_) return;  // retried at the next tick
  // The newest target version applies as long as nothing was ordered.
  if (auto target = targets_.find(step.model); target != targets_.end())
    step.target = std::max(step.target, target->second);
  OrderWeightsLoad command;
  command.ticket = outbox.newTicket();
  command.address = step.address;
  command.engine = engine;
  command.model = step.model;
  command.version = step.target;
  bool lastResort = now >= step.deadline - kLastResortMargin && now < step.deadline;
  command.mode = lastResort ? LoadMode::kAbortRequests : LoadMode::kDrainRequests;
  command.holder = holder_;
  command.fencingToken = step.fencingToken;
  command.expectedCallCount = step.expectedCallCount;
  command.writeBefore = writeBefore;
  enterPhase(step, Phase::kOrdering, now);
  step.orderSentAt = now;
  step.expectedCallCount.reset();
  step.ticket = command.ticket;
  step.ticketSince = now;
  openOrders_[command.ticket] = engine;
  outbox.count(lastResort ? "rollout.cuts" : "rollout.orders");
  outbox.push(std::move(command));
}

void Rollout::advance(const EngineId& engine, LoadStep& step, MonotonicTime now, Outbox& outbox) {
  if (step.ticket) {
    if (now - step.ticketSince <= seconds(1) + kAnswerSlack) return;
    if (step.phase == Phase::kOrdering) {
      openOrders_.erase(*step.ticket);
      handleOrderOutcome(engine, LoadOrderOutcome::kUnknown, now, outbox);
    } else {
      openReports_.erase(*step.ticket);
      handleMissingReport(engine, now);
    }
    return;
  }
  if (step.phase == Phase::kAnnounced || step.phase == Phase::kOrdering) {
    if (now - step.announcedAt >= kAnnouncementDelay) sendOrder(engine, step, now, outbox);
    return;
  }
  if (now - step.since > kLongRequestTime) step.stuck = true;
  if (now < step.nextReportAt) return;
  step.ticket = outbox.newTicket();
  step.ticketSince = now;
  openReports_[*step.ticket] = engine;
  outbox.count("rollout.reports");
  outbox.push(RequestEngineReport{*step.ticket, step.address, seconds(1)});
}

bool Rollout::handle(const WeightsLoadAnswered& answer, MonotonicTime now, Outbox& outbox) {
  auto found = openOrders_.find(answer.ticket);
  if (found == openOrders_.end()) return false;
  EngineId engine = found->second;
  openOrders_.erase(found);
  auto step = steps_.find(engine);
  if (step != steps_.end() && step->second.ticket == answer.ticket)
    handleOrderOutcome(engine, answer.outcome, now, outbox);
  return true;
}

void Rollout::handleOrderOutcome(const EngineId& engine, LoadOrderOutcome outcome,
                                 MonotonicTime now, Outbox& outbox) {
  LoadStep& step = steps_.at(engine);
  switch (outcome) {
    case LoadOrderOutcome::kAccepted:
      outbox.count("rollout.taken");
      enterPhase(step, Phase::kLoading, now);
      // The first report is requested when comparable engines have nearly finished.
      step.nextReportAt = now + std::max(kReportInterval, loadTime(step.service) * 0.7);
      if (!loadTimes_.contains(step.service)) step.nextReportAt = now + kReportInterval;
      return;
    case LoadOrderOutcome::kAlreadyLoaded:
      outbox.count("rollout.held");
      step.orderSentAt = kNever;  // not a sample of the load time
      finish(engine, true, now);
      return;
    case LoadOrderOutcome::kUnknown:
      outbox.count("rollout.unknown");
      enterPhase(step, Phase::kChecking, now);
      step.nextReportAt = step.orderSentAt + kReportDelay;  // earlier reports may miss it
      return;
    case LoadOrderOutcome::kBusy:
      outbox.count("rollout.busy");
      enterPhase(step, Phase::kChecking, now);
      step.nextReportAt = now + kReportInterval;
      return;
    case LoadOrderOutcome::kFenced:
      outbox.count("rollout.fenced");
      outbox.push(LogState{"rollout stopped: an engine has seen a newer fencing token"});
      fencedEpoch_ = epoch_;
      steps_.clear();
      return;
    case LoadOrderOutcome::kNotWritten:
      outbox.count("rollout.notWritten");
      enterPhase(step, Phase::kAnnounced, now);
      return;
    case LoadOrderOutcome::kInvalid:
      outbox.count("rollout.invalid");
      deferLoad(engine, kDeferralTime, now);
      return;
    case LoadOrderOutcome::kWrongEngine:
      outbox.count("rollout.otherEngine");
      deferLoad(engine, kDeferralTime * 3, now);  // ended earlier by a list without this engine
      return;
  }
}

bool Rollout::handle(const EngineReportAnswered& answer, MonotonicTime now, Outbox&) {
  auto found = openReports_.find(answer.ticket);
  if (found == openReports_.end()) return false;
  EngineId engine = found->second;
  openReports_.erase(found);
  auto step = steps_.find(engine);
  if (step == steps_.end() || step->second.ticket != answer.ticket) return true;
  step->second.ticket.reset();
  if (answer.status == 200) handleReport(engine, answer, now);
  else handleMissingReport(engine, now);
  return true;
}

void Rollout::handleMissingReport(const EngineId& engine, MonotonicTime now) {
  LoadStep& step = steps_.at(engine);
  step.ticket.reset();
  step.nextReportAt = now + kReportInterval;
  // Other engines proceed; this one is retried once it answers again or is listed under a new id.
  if (++step.unansweredReports >= kMaxUnansweredReports) deferLoad(engine, kDeferralTime, now);
}

void Rollout::handleReport(const EngineId& engine, const EngineReportAnswered& answer,
                           MonotonicTime now) {
  LoadStep& step = steps_.at(engine);
  const EngineReport& report = answer.report;
  step.unansweredReports = 0;
  step.nextReportAt = now + kReportInterval;
  for (const auto& [model, version] : report.models)
    knownVersions_[engine][model] = std::max(knownVersions_[engine][model], version);
  auto reported = report.models.find(step.model);
  bool reached = reported != report.models.end() && reported->second >= step.target;
  if (reached && !report.busy) return finish(engine, true, now);
  if (report.busy || now - step.orderSentAt < kReportDelay) return;
  if (step.inherited) return finish(engine, false, now);  // it is scheduled like the others
  // No load is in progress and nothing was loaded: the order failed or never arrived.
  step.expectedCallCount = report.callCount;
  enterPhase(step, Phase::kAnnounced, now);
}

}  // namespace peppergate
