// The possible departures from the default order at a choice point, and their execution. Stopping,
// partitioning or starting a machine is offered only before an event at this machine and where
// nothing is pending: elsewhere it commutes with the next event.
#include <algorithm>

#include "model/model_world.h"

namespace peppergate::model {

void ModelWorld::addChoice(std::vector<Action>& actions, ActionKind kind, int target) const {
  if (usedCount(kind) < options_.limit(kind)) actions.push_back({kind, target});
}

void ModelWorld::addMachineChoices(std::vector<Action>& actions, int index) const {
  const ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  if (machine.removed) return;
  if (!machine.node) {
    addChoice(actions, ActionKind::kRestart, index);
    return;
  }
  addChoice(actions, ActionKind::kCrashAndRestart, index);
  addChoice(actions, ActionKind::kCrash, index);
  bool hasPendingWrite = !machine.stalledWrites.empty() ||
                         std::ranges::any_of(pendingEvents_, [&](const PendingEvent& item) {
                           return item.kind == PendingEvent::Kind::kWrite && item.target == index;
                         });
  if (hasPendingWrite) addChoice(actions, ActionKind::kCrashAfterWrite, index);
  if (countLostMachines() < options_.tolerate) {
    addChoice(actions, ActionKind::kWipe, index);
    addChoice(actions, ActionKind::kReplace, index);
  }
  if (!machine.leaving && countLostMachines() + countUnreplacedLeaving() < options_.tolerate)
    addChoice(actions, ActionKind::kLeave, index);
  addChoice(actions, machine.diskStalled ? ActionKind::kResumeDisk : ActionKind::kStallDisk, index);
  addChoice(actions, machine.partitioned ? ActionKind::kHealPartition : ActionKind::kPartition,
            index);
}

void ModelWorld::addEventChoices(std::vector<Action>& actions, const PendingEvent& item) const {
  addChoice(actions, ActionKind::kDelay, 0);
  if (item.kind == PendingEvent::Kind::kAnswer) {
    addChoice(actions, ActionKind::kLoseAnswer, 0);
    return;
  }
  if (item.kind == PendingEvent::Kind::kMessage) {
    addChoice(actions, ActionKind::kDrop, 0);
    addChoice(actions, ActionKind::kHold, 0);
    addChoice(actions, ActionKind::kDuplicate, 0);
  } else {
    addChoice(actions, ActionKind::kFailSync, 0);
  }
  addChoice(actions, ActionKind::kAdvanceTime, 0);
  addMachineChoices(actions, item.target);
  for (std::size_t position = 0; position < heldMessages_.size(); ++position)
    if (heldMessages_[position].target == item.target)
      addChoice(actions, ActionKind::kRelease, static_cast<int>(position));
  int count = static_cast<int>(machines_.size());
  for (int operatorIndex = 0; operatorIndex < kOperatorCount; ++operatorIndex) {
    const Operator& each = operators_.at(static_cast<std::size_t>(operatorIndex));
    if (each.hasCallDue(now_) && each.targetMachine(count) == item.target)
      addChoice(actions, ActionKind::kCallWhilePending, operatorIndex);
  }
}

void ModelWorld::addIdleChoices(std::vector<Action>& actions) const {
  int count = static_cast<int>(machines_.size());
  int dueOperator = findDueOperator();
  if (dueOperator >= 0) {
    const Operator& each = operators_.at(static_cast<std::size_t>(dueOperator));
    for (int index = 0; index < count; ++index)
      if (index != each.targetMachine(count) && machines_.at(static_cast<std::size_t>(index)).node)
        addChoice(actions, ActionKind::kRedirect, index);
    addChoice(actions, ActionKind::kAdvanceTime, 0);
  }
  for (int index = 0; index < count; ++index) addMachineChoices(actions, index);
  addChoice(actions, ActionKind::kJoin, 0);
  for (std::size_t position = 0; position < heldMessages_.size(); ++position)
    addChoice(actions, ActionKind::kRelease, static_cast<int>(position));
}

std::vector<Action> ModelWorld::choices() const {
  std::vector<Action> actions;
  if (hasEnded()) return actions;
  if (const PendingEvent* item = nextPending()) addEventChoices(actions, *item);
  else addIdleChoices(actions);
  return actions;
}

bool ModelWorld::isPossible(const Action& action) const {
  std::vector<Action> actions = choices();
  return std::ranges::find(actions, action) != actions.end();
}

void ModelWorld::apply(const Action& action) {
  if (hasEnded()) return;
  if (action.kind == ActionKind::kContinue) {
    runDefaultStep();
  } else if (isPossible(action)) {
    if (traceEnabled_) recordStep("** " + std::to_string(position_) + ": " + actionText(action));
    ++usedCounts_.at(static_cast<std::size_t>(action.kind));
    perform(action);
    checkClaims();
  } else {
    runDefaultStep();
  }
  ++position_;
  runToChoicePoint();
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
      PendingEvent item = heldMessages_.at(static_cast<std::size_t>(action.target));
      heldMessages_.erase(heldMessages_.begin() + action.target);
      process(std::move(item));
      break;
    }
    case kAdvanceTime:
      advanceTime();
      break;
    case kRedirect: {
      int dueOperator = findDueOperator();
      operators_.at(static_cast<std::size_t>(dueOperator)).redirect(action.target);
      callMachine(dueOperator);
      break;
    }
    case kCallWhilePending:
      callMachine(action.target);
      break;
    case kJoin:
      addJoiningMachine();
      break;
    case kContinue:
      break;
    default:
      performOnMachine(action);
  }
}

void ModelWorld::performOnNext(const Action& action) {
  using enum ActionKind;
  PendingEvent item = popNextPending();
  switch (action.kind) {
    case kHold:
      heldMessages_.push_back(std::move(item));
      break;
    case kDuplicate:
      heldMessages_.push_back(item);
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
      answerOperator(item, true);
      break;
    default:
      break;  // kDrop: the message is discarded
  }
}

void ModelWorld::stallDisk(int index) {
  ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  machine.diskStalled = true;
  auto isOwnWrite = [&](const PendingEvent& item) {
    return item.kind == PendingEvent::Kind::kWrite && item.target == index;
  };
  std::ranges::copy_if(pendingEvents_, std::back_inserter(machine.stalledWrites), isOwnWrite);
  std::erase_if(pendingEvents_, isOwnWrite);
}

void ModelWorld::performOnMachine(const Action& action) {
  using enum ActionKind;
  if (action.kind != kLeave) healthySince_ = now_;
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
    case kCrashAndRestart:
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
    case kPartition:
      machine.partitioned = true;
      break;
    case kHealPartition:
      machine.partitioned = false;
      break;
    case kLeave:
      machine.leaving = true;
      stepMachine(action.target, DrainRequest{}, static_cast<std::uint64_t>(kLeave));
      break;
    default:
      break;
  }
}

}  // namespace peppergate::model
