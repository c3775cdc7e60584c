// The default order: pending items by target and source, delayed ones last; then operators' calls;
// then time.
#include <algorithm>
#include <tuple>

#include "model/message_names.h"
#include "model/model_world.h"

namespace peppergate::model {
namespace {

constexpr std::uint64_t kTickDigest = 0x71c4;
constexpr std::uint64_t kSyncedDigest = 0x5c;
constexpr std::uint64_t kUnsyncedDigest = 0xfa;
constexpr std::uint64_t kCallDigest = 0xca11;
constexpr Duration kCallDuration = milliseconds(1);
constexpr int kAnswerSortOffset = 1000;  // sorts answers after all items for machines

auto sortKey(const PendingEvent& item) {
  bool write = item.kind == PendingEvent::Kind::kWrite;
  int target =
      item.kind == PendingEvent::Kind::kAnswer ? kAnswerSortOffset + item.target : item.target;
  return std::tuple(item.delayed, target, write ? -1 : item.source, item.sequence);
}

}  // namespace

void ModelWorld::enqueue(PendingEvent item) {
  item.sequence = ++lastSequence_;
  auto sortsBefore = [](const PendingEvent& left, const PendingEvent& right) {
    return sortKey(left) < sortKey(right);
  };
  pendingEvents_.insert(std::ranges::upper_bound(pendingEvents_, item, sortsBefore),
                        std::move(item));
}

const PendingEvent* ModelWorld::nextPending() const {
  return pendingEvents_.empty() ? nullptr : &pendingEvents_.front();
}

PendingEvent ModelWorld::popNextPending() {
  PendingEvent item = std::move(pendingEvents_.front());
  pendingEvents_.erase(pendingEvents_.begin());
  return item;
}

bool ModelWorld::connected(int source, int target) const {
  return machines_.at(static_cast<std::size_t>(source)).partitioned ==
         machines_.at(static_cast<std::size_t>(target)).partitioned;
}

bool ModelWorld::hasOpenCallAt(int index) const {
  int count = static_cast<int>(machines_.size());
  return std::ranges::any_of(operators_, [&](const Operator& each) {
    return each.hasOpenCall() && each.targetMachine(count) == index;
  });
}

bool ModelWorld::isSteadyLeaseRenewal(const PendingEvent& item) const {
  if (auto* request = std::get_if<PrepareRequest>(item.message.get())) {
    const auto& target = machines_.at(static_cast<std::size_t>(item.target));
    if (!target.node || request->kind == PrepareKind::kRelease) return false;
    const AcceptorRecord& record = target.node->acceptor().record();
    return record.promised == request->epoch && record.promisedTo == request->candidate;
  }
  if (std::holds_alternative<PrepareReply>(*item.message)) {
    const auto& target = machines_.at(static_cast<std::size_t>(item.target));
    return target.node && target.node->leadership().phase() == LeaderPhase::kLeading;
  }
  return false;
}

bool ModelWorld::isIdleFreshnessCheck(const PendingEvent& item) const {
  // A freshness check matters only while an operator waits at the machine that sends it.
  if (std::holds_alternative<StateRequest>(*item.message)) return !hasOpenCallAt(item.source);
  if (std::holds_alternative<StateReply>(*item.message)) return !hasOpenCallAt(item.target);
  return std::holds_alternative<ReadLeaseRequest>(*item.message) ||
         std::holds_alternative<ReadLeaseReply>(*item.message) ||
         std::holds_alternative<ReadLeaderNotification>(*item.message);
}

bool ModelWorld::isBackground(const PendingEvent& item) const {
  if (options_.granularity == Granularity::kCoarse) return true;
  if (item.kind != PendingEvent::Kind::kMessage) return false;
  const auto& target = machines_.at(static_cast<std::size_t>(item.target));
  if (!target.node || !connected(item.source, item.target)) return true;  // the message is lost
  if (std::holds_alternative<Shuffle>(*item.message)) return true;
  if (options_.granularity == Granularity::kFull) return false;
  if (item.source == item.target) return true;
  return isSteadyLeaseRenewal(item) || isIdleFreshnessCheck(item);
}

void ModelWorld::runToChoicePoint() {
  while (!hasEnded()) {
    const PendingEvent* item = nextPending();
    if (item == nullptr || !isBackground(*item)) return;
    runDefaultStep();
  }
}

void ModelWorld::runDefaultStep() {
  if (nextPending() != nullptr) process(popNextPending());
  else if (int operatorIndex = findDueOperator(); operatorIndex >= 0) callMachine(operatorIndex);
  else advanceTime();
  checkClaims();
}

void ModelWorld::process(PendingEvent item) {
  switch (item.kind) {
    case PendingEvent::Kind::kMessage:
      deliver(item);
      break;
    case PendingEvent::Kind::kWrite:
      finishWrite(item, true);
      break;
    case PendingEvent::Kind::kAnswer:
      answerOperator(item, false);
      break;
  }
}

void ModelWorld::deliver(const PendingEvent& item) {
  const auto& target = machines_.at(static_cast<std::size_t>(item.target));
  const auto& source = machines_.at(static_cast<std::size_t>(item.source));
  if (!target.node || !connected(item.source, item.target)) return;
  if (traceEnabled_ && !std::holds_alternative<Shuffle>(*item.message))
    recordStep("deliver " + messageText(*item.message) + " " + std::to_string(item.source + 1) +
               "->" + std::to_string(item.target + 1));
  stepMachine(item.target, MessageReceived{source.address, *item.message}, item.digest);
}

void ModelWorld::finishWrite(const PendingEvent& item, bool synced) {
  auto& machine = machines_.at(static_cast<std::size_t>(item.target));
  recordStep((synced ? "written " : "sync failed ") + item.write->name + " on " +
             std::to_string(item.target + 1));
  if (synced)
    machine.disk[item.write->name] = std::make_shared<const std::string>(item.write->content);
  stepMachine(item.target, FileWritten{item.write->ticket, synced},
              item.digest + (synced ? kSyncedDigest : kUnsyncedDigest));
}

void ModelWorld::answerOperator(const PendingEvent& item, bool lost) {
  Operator& each = operators_.at(static_cast<std::size_t>(item.target));
  if (!each.hasOpenCall() || each.ticket() != item.answer->ticket) return;
  recordStep(std::string(lost ? "lost" : "given") + " to operator " +
             std::to_string(item.target + 1) + ": " + std::to_string(item.answer->status) + " " +
             item.answer->body);
  if (lost) each.handleBrokenConnection(now_ + options_.tick);
  else each.handleAnswer(*item.answer, now_, options_.tick, checker_);
}

int ModelWorld::findDueOperator() const {
  for (int operatorIndex = 0; operatorIndex < kOperatorCount; ++operatorIndex)
    if (operators_.at(static_cast<std::size_t>(operatorIndex)).hasCallDue(now_))
      return operatorIndex;
  return -1;
}

void ModelWorld::callMachine(int operatorIndex) {
  now_ = now_ + kCallDuration;  // a call is later than everything known before it
  Operator& each = operators_.at(static_cast<std::size_t>(operatorIndex));
  TicketId ticket{(++lastTicket_ << 20U) + 7};  // distinct from the machines' own tickets
  int index = each.targetMachine(static_cast<int>(machines_.size()));
  OperatorCall operatorCall = each.beginCall(ticket, now_, checker_);
  bool isRead = operatorCall.kind == CallKind::kRead;
  recordStep("operator " + std::to_string(operatorIndex + 1) + " at machine " +
             std::to_string(index + 1) + ": " + (isRead ? "read" : operatorCall.body));
  if (!machines_.at(static_cast<std::size_t>(index)).node) {
    each.handleBrokenConnection(now_ + options_.tick);
    return;
  }
  std::uint64_t digest =
      kCallDigest + static_cast<std::uint64_t>(operatorIndex) * 64 + lastTicket_ * 256;
  if (isRead) stepMachine(index, OperatorRequest{ticket, "GET", "/config", ""}, digest);
  else stepMachine(index, OperatorRequest{ticket, "POST", "/change", operatorCall.body}, digest);
}

void ModelWorld::advanceTime() {
  now_ = now_ + options_.tick;
  if (!allMachinesHealthy()) healthySince_ = now_;
  for (auto& item : pendingEvents_) item.delayed = false;
  std::ranges::sort(pendingEvents_, {}, sortKey);
  for (std::size_t index = 0; index < machines_.size(); ++index)
    stepMachine(static_cast<int>(index), Tick{}, kTickDigest);
  recordStep("time advances");
  for (auto& each : operators_)
    if (each.giveUpTimedOutCall(now_)) recordStep("an operator gives up its call");
}

void ModelWorld::finish() {
  if (options_.recovery == Duration{} || !checker_.violation().empty()) return;
  recordStep("** all trouble is over");
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    ModelMachine& machine = machines_[index];
    machine.partitioned = false;
    machine.diskStalled = false;
    for (auto& write : std::exchange(machine.stalledWrites, {})) enqueue(std::move(write));
    bool needsRestart = machine.node && (machine.node->leadership().isDiskSuspect() ||
                                         !machine.node->acceptor().canVote());
    if (needsRestart) stopMachine(static_cast<int>(index), false);  // it only recovers by a restart
    if (!machine.node && !machine.removed) startMachine(static_cast<int>(index), false);
  }
  heldMessages_.clear();
  MonotonicTime until = now_ + options_.recovery;
  while (now_ < until && checker_.violation().empty()) runDefaultStep();
  checker_.recordRecovery(leader() >= 0);
}

}  // namespace peppergate::model
