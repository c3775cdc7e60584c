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
constexpr Duration kCallTime = milliseconds(1);
constexpr int kAnswersAfter = 1000;  // sorts answers after all items for machines

auto orderOf(const UnderWay& item) {
  bool write = item.kind == UnderWay::Kind::kWrite;
  int target = item.kind == UnderWay::Kind::kAnswer ? kAnswersAfter + item.target : item.target;
  return std::tuple(item.delayed, target, write ? -1 : item.source, item.order);
}

}  // namespace

void ModelWorld::enqueue(UnderWay item) {
  item.order = ++lastOrder_;
  auto after = [](const UnderWay& left, const UnderWay& right) {
    return orderOf(left) < orderOf(right);
  };
  underWay_.insert(std::ranges::upper_bound(underWay_, item, after), std::move(item));
}

const UnderWay* ModelWorld::next() const {
  return underWay_.empty() ? nullptr : &underWay_.front();
}

UnderWay ModelWorld::takeNext() {
  UnderWay item = std::move(underWay_.front());
  underWay_.erase(underWay_.begin());
  return item;
}

bool ModelWorld::connected(int source, int target) const {
  return machines_.at(static_cast<std::size_t>(source)).cutOff ==
         machines_.at(static_cast<std::size_t>(target)).cutOff;
}

bool ModelWorld::reads(int index) const {
  int count = static_cast<int>(machines_.size());
  return std::ranges::any_of(operators_, [&](const Operator& each) {
    return each.open() && each.machine(count) == index;
  });
}

bool ModelWorld::isSteadyRenewal(const UnderWay& item) const {
  if (auto* ask = std::get_if<PrepareRequest>(item.message.get())) {
    const auto& target = machines_.at(static_cast<std::size_t>(item.target));
    if (!target.node || ask->kind == PrepareKind::kRelease) return false;
    const AcceptorRecord& record = target.node->acceptor().record();
    return record.promised == ask->epoch && record.promisedTo == ask->candidate;
  }
  if (std::holds_alternative<PrepareReply>(*item.message)) {
    const auto& target = machines_.at(static_cast<std::size_t>(item.target));
    return target.node && target.node->leadership().phase() == LeaderPhase::kLeading;
  }
  return false;
}

bool ModelWorld::isIdleQuestion(const UnderWay& item) const {
  // A freshness check matters only while an operator waits at the machine that sends it.
  if (std::holds_alternative<StateRequest>(*item.message)) return !reads(item.source);
  if (std::holds_alternative<StateReply>(*item.message)) return !reads(item.target);
  return std::holds_alternative<ReadLeaseRequest>(*item.message) ||
         std::holds_alternative<ReadLeaseReply>(*item.message) ||
         std::holds_alternative<ReadLeaderNotification>(*item.message);
}

bool ModelWorld::isBackground(const UnderWay& item) const {
  if (options_.granularity == Granularity::kCoarse) return true;
  if (item.kind != UnderWay::Kind::kMessage) return false;
  const auto& target = machines_.at(static_cast<std::size_t>(item.target));
  if (!target.node || !connected(item.source, item.target)) return true;  // the message is lost
  if (std::holds_alternative<Shuffle>(*item.message)) return true;
  if (options_.granularity == Granularity::kFull) return false;
  if (item.source == item.target) return true;
  return isSteadyRenewal(item) || isIdleQuestion(item);
}

void ModelWorld::runToChoice() {
  while (!ended()) {
    const UnderWay* item = next();
    if (item == nullptr || !isBackground(*item)) return;
    continueOnce();
  }
}

void ModelWorld::continueOnce() {
  if (next() != nullptr) process(takeNext());
  else if (int who = callerDue(); who >= 0) call(who);
  else advance();
  watch();
}

void ModelWorld::process(UnderWay item) {
  switch (item.kind) {
    case UnderWay::Kind::kMessage:
      deliver(item);
      break;
    case UnderWay::Kind::kWrite:
      finishWrite(item, true);
      break;
    case UnderWay::Kind::kAnswer:
      answer(item, false);
      break;
  }
}

void ModelWorld::deliver(const UnderWay& item) {
  const auto& target = machines_.at(static_cast<std::size_t>(item.target));
  const auto& source = machines_.at(static_cast<std::size_t>(item.source));
  if (!target.node || !connected(item.source, item.target)) return;
  if (tracing_ && !std::holds_alternative<Shuffle>(*item.message))
    note("deliver " + messageText(*item.message) + " " + std::to_string(item.source + 1) + "->" +
         std::to_string(item.target + 1));
  step(item.target, Arrived{source.address, *item.message}, item.digest);
}

void ModelWorld::finishWrite(const UnderWay& item, bool synced) {
  auto& machine = machines_.at(static_cast<std::size_t>(item.target));
  note((synced ? "written " : "sync failed ") + item.write->name + " on " +
       std::to_string(item.target + 1));
  if (synced)
    machine.disk[item.write->name] = std::make_shared<const std::string>(item.write->content);
  step(item.target, FileWritten{item.write->ticket, synced},
       item.digest + (synced ? kSyncedDigest : kUnsyncedDigest));
}

void ModelWorld::answer(const UnderWay& item, bool lost) {
  Operator& each = operators_.at(static_cast<std::size_t>(item.target));
  if (!each.open() || each.ticket() != item.answer->ticket) return;
  note(std::string(lost ? "lost" : "given") + " to operator " + std::to_string(item.target + 1) +
       ": " + std::to_string(item.answer->status) + " " + item.answer->body);
  if (lost) each.broken(now_ + options_.tick);
  else each.answered(*item.answer, now_, options_.tick, judge_);
}

int ModelWorld::callerDue() const {
  for (int who = 0; who < kOperators; ++who)
    if (operators_.at(static_cast<std::size_t>(who)).wantsCall(now_)) return who;
  return -1;
}

void ModelWorld::call(int who) {
  now_ = now_ + kCallTime;  // a call is later than everything known before it
  Operator& each = operators_.at(static_cast<std::size_t>(who));
  TicketId ticket{(++lastTicket_ << 20U) + 7};  // distinct from the machines' own tickets
  int index = each.machine(static_cast<int>(machines_.size()));
  OperatorCall made = each.call(ticket, now_, judge_);
  bool reading = made.kind == CallKind::kRead;
  note("operator " + std::to_string(who + 1) + " at machine " + std::to_string(index + 1) + ": " +
       (reading ? "read" : made.body));
  if (!machines_.at(static_cast<std::size_t>(index)).node) {
    each.broken(now_ + options_.tick);
    return;
  }
  std::uint64_t digest = kCallDigest + static_cast<std::uint64_t>(who) * 64 + lastTicket_ * 256;
  if (reading) step(index, OperatorRequest{ticket, "GET", "/config", ""}, digest);
  else step(index, OperatorRequest{ticket, "POST", "/change", made.body}, digest);
}

void ModelWorld::advance() {
  now_ = now_ + options_.tick;
  if (!calm()) calmSince_ = now_;
  for (auto& item : underWay_) item.delayed = false;
  std::ranges::sort(underWay_, {}, orderOf);
  for (std::size_t index = 0; index < machines_.size(); ++index)
    step(static_cast<int>(index), Ticked{}, kTickDigest);
  note("time advances");
  for (auto& each : operators_)
    if (each.giveUpWhenSilent(now_)) note("an operator gives up its call");
}

void ModelWorld::finish() {
  if (options_.recovery == Duration{} || !judge_.violation().empty()) return;
  note("** all trouble is over");
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    ModelMachine& machine = machines_[index];
    machine.cutOff = false;
    machine.diskStalled = false;
    for (auto& write : std::exchange(machine.stalledWrites, {})) enqueue(std::move(write));
    bool suspect = machine.node &&
                   (machine.node->leadership().isSuspect() || !machine.node->acceptor().votes());
    if (suspect) stopMachine(static_cast<int>(index), false);  // it only recovers by a restart
    if (!machine.node && !machine.removed) startMachine(static_cast<int>(index), false);
  }
  held_.clear();
  MonotonicTime until = now_ + options_.recovery;
  while (now_ < until && judge_.violation().empty()) continueOnce();
  judge_.recovered(leader() >= 0);
}

}  // namespace peppergate::model
