// The possible departures from the default order at a choice point, and their execution. Stopping,
// partitioning or starting a machine is offered only before an event at this machine and where
// nothing is pending: elsewhere it commutes with the next event.
#include <algorithm>

#include "model/model_world.h"

namespace peppergate::model {

void ModelWorld::offer(std::vector<Action>& actions, ActionKind kind, int target) const {
  if (used(kind) < options_.limit(kind)) actions.push_back({kind, target});
}

void ModelWorld::offerForMachine(std::vector<Action>& actions, int index) const {
  const ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  if (machine.removed) return;
  if (!machine.node) {
    offer(actions, ActionKind::kRestart, index);
    return;
  }
  offer(actions, ActionKind::kBounce, index);
  offer(actions, ActionKind::kCrash, index);
  bool writes =
      !machine.stalledWrites.empty() || std::ranges::any_of(underWay_, [&](const UnderWay& item) {
        return item.kind == UnderWay::Kind::kWrite && item.target == index;
      });
  if (writes) offer(actions, ActionKind::kCrashAfterWrite, index);
  if (lostMachines() < options_.tolerate) {
    offer(actions, ActionKind::kWipe, index);
    offer(actions, ActionKind::kReplace, index);
  }
  if (!machine.leaving && lostMachines() + leavingUnreplaced() < options_.tolerate)
    offer(actions, ActionKind::kLeave, index);
  offer(actions, machine.diskStalled ? ActionKind::kResumeDisk : ActionKind::kStallDisk, index);
  offer(actions, machine.cutOff ? ActionKind::kReconnect : ActionKind::kCutOff, index);
}

void ModelWorld::offerForItem(std::vector<Action>& actions, const UnderWay& item) const {
  offer(actions, ActionKind::kDelay, 0);
  if (item.kind == UnderWay::Kind::kAnswer) {
    offer(actions, ActionKind::kLoseAnswer, 0);
    return;
  }
  if (item.kind == UnderWay::Kind::kMessage) {
    offer(actions, ActionKind::kDrop, 0);
    offer(actions, ActionKind::kHold, 0);
    offer(actions, ActionKind::kDuplicate, 0);
  } else {
    offer(actions, ActionKind::kFailSync, 0);
  }
  offer(actions, ActionKind::kAdvanceTime, 0);
  offerForMachine(actions, item.target);
  for (std::size_t position = 0; position < held_.size(); ++position)
    if (held_[position].target == item.target)
      offer(actions, ActionKind::kRelease, static_cast<int>(position));
  int count = static_cast<int>(machines_.size());
  for (int who = 0; who < kOperators; ++who) {
    const Operator& each = operators_.at(static_cast<std::size_t>(who));
    if (each.wantsCall(now_) && each.machine(count) == item.target)
      offer(actions, ActionKind::kCallEarly, who);
  }
}

void ModelWorld::offerWhenIdle(std::vector<Action>& actions) const {
  int count = static_cast<int>(machines_.size());
  int due = callerDue();
  if (due >= 0) {
    const Operator& each = operators_.at(static_cast<std::size_t>(due));
    for (int index = 0; index < count; ++index)
      if (index != each.machine(count) && machines_.at(static_cast<std::size_t>(index)).node)
        offer(actions, ActionKind::kRedirect, index);
    offer(actions, ActionKind::kAdvanceTime, 0);
  }
  for (int index = 0; index < count; ++index) offerForMachine(actions, index);
  offer(actions, ActionKind::kJoin, 0);
  for (std::size_t position = 0; position < held_.size(); ++position)
    offer(actions, ActionKind::kRelease, static_cast<int>(position));
}

std::vector<Action> ModelWorld::choices() const {
  std::vector<Action> actions;
  if (ended()) return actions;
  if (const UnderWay* item = next()) offerForItem(actions, *item);
  else offerWhenIdle(actions);
  return actions;
}

bool ModelWorld::fits(const Action& action) const {
  std::vector<Action> actions = choices();
  return std::ranges::find(actions, action) != actions.end();
}

void ModelWorld::apply(const Action& action) {
  if (ended()) return;
  if (action.kind == ActionKind::kContinue) {
    continueOnce();
  } else if (fits(action)) {
    if (tracing_) note("** " + std::to_string(position_) + ": " + actionText(action));
    ++used_.at(static_cast<std::size_t>(action.kind));
    perform(action);
    watch();
  } else {
    continueOnce();
  }
  ++position_;
  runToChoice();
}

void ModelWorld::perform(const Action& action) {
  using enum ActionKind;
  switch (action.kind) {
    case kDrop:
    case kHold:
    case kDuplicate:
    case kDelay:
    case kFailSync:
    case kLoseAnswer:
      performOnNext(action);
      break;
    case kRelease: {
      UnderWay item = held_.at(static_cast<std::size_t>(action.target));
      held_.erase(held_.begin() + action.target);
      process(std::move(item));
      break;
    }
    case kAdvanceTime:
      advance();
      break;
    case kRedirect: {
      int due = callerDue();
      operators_.at(static_cast<std::size_t>(due)).redirect(action.target);
      call(due);
      break;
    }
    case kCallEarly:
      call(action.target);
      break;
    case kJoin:
      joinMachine();
      break;
    case kContinue:
      break;
    default:
      performOnMachine(action);
  }
}

void ModelWorld::performOnNext(const Action& action) {
  using enum ActionKind;
  UnderWay item = takeNext();
  switch (action.kind) {
    case kHold:
      held_.push_back(std::move(item));
      break;
    case kDuplicate:
      held_.push_back(item);
      process(std::move(item));
      break;
    case kDelay:
      item.delayed = true;
      enqueue(std::move(item));
      break;
    case kFailSync:
      finishWrite(item, false);
      break;
    case kLoseAnswer:
      answer(item, true);
      break;
    default:
      break;  // kDrop: the message is discarded
  }
}

void ModelWorld::stallDisk(int index) {
  ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  machine.diskStalled = true;
  auto own = [&](const UnderWay& item) {
    return item.kind == UnderWay::Kind::kWrite && item.target == index;
  };
  std::ranges::copy_if(underWay_, std::back_inserter(machine.stalledWrites), own);
  std::erase_if(underWay_, own);
}

void ModelWorld::performOnMachine(const Action& action) {
  using enum ActionKind;
  if (action.kind != kLeave) calmSince_ = now_;
  ModelMachine& machine = machines_.at(static_cast<std::size_t>(action.target));
  switch (action.kind) {
    case kCrash:
      stopMachine(action.target, false);
      break;
    case kCrashAfterWrite:
      stopMachine(action.target, true);
      break;
    case kRestart:
      startMachine(action.target, false);
      break;
    case kBounce:
      stopMachine(action.target, false);
      startMachine(action.target, false);
      break;
    case kWipe:
      wipeMachine(action.target);
      break;
    case kReplace:
      replaceMachine(action.target);
      break;
    case kStallDisk:
      stallDisk(action.target);
      break;
    case kResumeDisk:
      machine.diskStalled = false;
      for (auto& write : std::exchange(machine.stalledWrites, {})) enqueue(std::move(write));
      break;
    case kCutOff:
      machine.cutOff = true;
      break;
    case kReconnect:
      machine.cutOff = false;
      break;
    case kLeave:
      machine.leaving = true;
      step(action.target, DrainRequest{}, static_cast<std::uint64_t>(kLeave));
      break;
    default:
      break;
  }
}

}  // namespace peppergate::model
