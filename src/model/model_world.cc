#include "model/model_world.h"

#include <xxhash.h>

#include <algorithm>

namespace peppergate::model {
namespace {

constexpr Duration kClockOffset = seconds(1000);  // between the clocks of neighbouring machines
constexpr MonotonicTime kStartTime{1'000'000'000};
constexpr Duration kSettleTimeout = seconds(60);
constexpr std::size_t kBootstrapperCount = 3;
constexpr std::uint64_t kIdentityStride = 1000;

std::uint64_t combine(std::uint64_t left, std::uint64_t right) {
  std::array<std::uint64_t, 2> words{left, right};
  return XXH64(words.data(), sizeof words, 0);
}

std::string addressText(std::size_t index) { return "10.0.0." + std::to_string(index + 1) + ":1"; }

ControlState readStateFromDisk(const ModelMachine& machine) {
  std::string newest;
  for (const auto& [name, content] : machine.disk)
    if (name.starts_with("state.")) newest = std::max(newest, name);
  if (newest.empty()) return {};
  auto content = verifiedContent(*machine.disk.at(newest));
  Json document = content ? Json::parse(*content, nullptr, false) : Json();
  if (!document.is_object()) return {};
  auto state = ControlState::parse(document["state"]);
  return state.ok() ? *state : ControlState{};
}

}  // namespace

ModelWorld::ModelWorld(const ModelOptions& options)
    : options_(options),
      operators_(makeOperators(options.changes)),
      checker_(options.rules),
      now_(kStartTime) {
  nodeOptions_.backups = options.tolerate;
  nodeOptions_.faults = options.faults;
  if (options.voters != 0) nodeOptions_.voterSlots = options.voters;
  for (int index = 0; index < options.machines; ++index) addMachine();
  for (std::size_t index = 0; index < kBootstrapperCount; ++index)
    seedAddresses_.push_back(machines_[index].address);
}

absl::StatusOr<ModelWorld> ModelWorld::createSettled(const ModelOptions& options) {
  if (auto status = checkOptions(options); !status.ok()) return status;
  ModelWorld world(options);
  auto operators = std::exchange(world.operators_, {});
  for (int index = 0; index < options.machines; ++index) world.startMachine(index, true);
  int voters = options.voters == 0 ? options.machines : options.voters;
  auto isSettled = [&] {
    int leader = world.leader();
    if (leader < 0 || !world.pendingEvents_.empty()) return false;
    const View& view = world.machines_[static_cast<std::size_t>(leader)].node->leadership().view();
    return view.baseEpoch == view.epoch && std::ssize(view.voters) == voters &&
           std::ssize(view.backups) == options.tolerate;
  };
  while (!isSettled()) {
    if (world.now_ - kStartTime > kSettleTimeout)
      return absl::FailedPreconditionError("the fleet didn't settle within a minute");
    world.runDefaultStep();
    if (!world.checker_.violation().empty()) return world;
  }
  world.operators_ = std::move(operators);
  world.horizonEnd_ = world.now_ + options.horizon;
  world.runToChoicePoint();
  return world;
}

MonotonicTime ModelWorld::localTime(int index) const {
  return now_ + kClockOffset * static_cast<double>(index);
}

int ModelWorld::findMachine(const Address& address) const {
  for (std::size_t index = 0; index < machines_.size(); ++index)
    if (machines_[index].address == address) return static_cast<int>(index);
  return -1;
}

int ModelWorld::leader() const {
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    const auto& machine = machines_[index];
    int machineIndex = static_cast<int>(index);
    if (machine.node && machine.node->leadership().mayShowState(localTime(machineIndex)))
      return machineIndex;
  }
  return -1;
}

void ModelWorld::addMachine() {
  ModelMachine machine;
  machine.address = {addressText(machines_.size())};
  machines_.push_back(std::move(machine));
}

void ModelWorld::startMachine(int index, bool isBootstrapper) {
  ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  ++machine.processCount;
  std::uint64_t identity =
      static_cast<std::uint64_t>(index + 1) * kIdentityStride + machine.processCount;
  if (!machine.disk.contains("identity")) {
    Bootstrap bootstrap;
    bootstrap.createsFleet = isBootstrapper;
    if (isBootstrapper) bootstrap.voters = seedAddresses_;
    machine.disk["identity"] =
        std::make_shared<const std::string>(identityFileContent({identity}, bootstrap));
  }
  DiskContents diskContents;
  for (const auto& [name, content] : machine.disk) diskContents.files[name] = *content;
  MemberRecord self;
  self.member = {identity};
  self.address = self.pagesAddress = machine.address;
  self.role = Role::kCore;
  machine.inputHash =
      combine(machine.inputHash, identity + static_cast<std::uint64_t>(now_.microseconds));
  machine.node =
      std::make_shared<CoreNode>(nodeOptions_, self, seedAddresses_, diskContents,
                                 options_.seed * kIdentityStride + identity, localTime(index));
  machine.leaving = false;
}

void ModelWorld::stopMachine(int index, bool writesReachDisk) {
  ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  machine.node.reset();
  machine.diskStalled = false;
  auto endWrite = [&](const PendingEvent& item) {
    bool isOwnWrite = item.kind == PendingEvent::Kind::kWrite && item.target == index;
    if (!isOwnWrite) return;
    machine.inputHash = combine(machine.inputHash, writesReachDisk ? item.digest : 0);
    if (writesReachDisk)
      machine.disk[item.write->name] = std::make_shared<const std::string>(item.write->content);
  };
  std::ranges::for_each(std::exchange(machine.stalledWrites, {}), endWrite);
  std::ranges::for_each(pendingEvents_, endWrite);
  // Its connections break: messages to it and its answers to operators are lost.
  std::erase_if(pendingEvents_, [&](const PendingEvent& item) {
    if (item.kind == PendingEvent::Kind::kAnswer) return item.source == index;
    return item.target == index;
  });
  for (auto& each : operators_)
    if (each.hasOpenCall() && each.targetMachine(static_cast<int>(machines_.size())) == index)
      each.handleBrokenConnection(now_ + options_.tick);
}

int ModelWorld::countLostMachines() const {
  auto isRecent = [&](MonotonicTime when) {
    return now_ - std::max(when, healthySince_) < options_.catchUp;
  };
  int lost = static_cast<int>(std::ranges::count_if(diskLossTimes_, isRecent));
  // The first machine to join is the successor of the first that left, whichever came first.
  for (int index = 0; index < removedCount_; ++index) {
    auto position = static_cast<std::size_t>(index);
    if (position >= joinTimes_.size() || isRecent(joinTimes_[position])) ++lost;
  }
  return lost;
}

int ModelWorld::countUnreplacedLeaving() const {
  auto leaving = static_cast<int>(std::ranges::count_if(
      machines_, [](const ModelMachine& machine) { return machine.node && machine.leaving; }));
  int unmatchedJoins = std::max(0, static_cast<int>(joinTimes_.size()) - removedCount_);
  return std::max(0, leaving - unmatchedJoins);
}

bool ModelWorld::allMachinesHealthy() const {
  return std::ranges::all_of(machines_, [](const ModelMachine& machine) {
    if (machine.removed) return true;
    return machine.node && !machine.partitioned && !machine.diskStalled &&
           !machine.node->leadership().isDiskSuspect();
  });
}

bool ModelWorld::isChangingView() const {
  return std::ranges::any_of(machines_, [](const ModelMachine& machine) {
    if (!machine.node) return false;
    LeaderPhase phase = machine.node->leadership().phase();
    return phase != LeaderPhase::kFollowing && phase != LeaderPhase::kLeading;
  });
}

void ModelWorld::wipeMachine(int index) {
  diskLossTimes_.push_back(now_);
  stopMachine(index, false);
  machines_.at(static_cast<std::size_t>(index)).disk.clear();
  startMachine(index, false);
}

void ModelWorld::replaceMachine(int index) {
  diskLossTimes_.push_back(now_);
  stopMachine(index, false);
  ModelMachine& removedMachine = machines_.at(static_cast<std::size_t>(index));
  removedMachine.removed = true;
  removedMachine.disk.clear();
  startNewMachine();
}

void ModelWorld::addJoiningMachine() {
  joinTimes_.push_back(now_);
  startNewMachine();
}

void ModelWorld::startNewMachine() {
  addMachine();
  startMachine(static_cast<int>(machines_.size()) - 1, false);
}

void ModelWorld::stepMachine(int index, const Event& event, std::uint64_t digest) {
  ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  if (!machine.node) return;
  if (machine.node.use_count() > 1) machine.node = machine.node->clone();
  machine.node->step(event, localTime(index));
  machine.inputHash =
      combine(combine(machine.inputHash, digest), static_cast<std::uint64_t>(now_.microseconds));
  std::uint64_t position = 0;
  for (auto& command : machine.node->outbox().takeCommands())
    execute(index, std::move(command), combine(machine.inputHash, ++position));
  removeIfLeft(index);
}

void ModelWorld::execute(int index, Command command, std::uint64_t digest) {
  PendingEvent item;
  item.source = index;
  item.digest = digest;
  if (auto* send = std::get_if<Send>(&command)) {
    item.target = findMachine(send->to);
    if (item.target < 0) return;
    item.kind = PendingEvent::Kind::kMessage;
    item.message = std::make_shared<const Message>(std::move(send->message));
    enqueue(std::move(item));
  } else if (auto* broadcast = std::get_if<Broadcast>(&command)) {
    std::uint64_t position = 0;
    for (const auto& to : broadcast->to)
      execute(index, Send{to, *broadcast->message}, combine(digest, ++position));
  } else if (auto* write = std::get_if<WriteFile>(&command)) {
    item.kind = PendingEvent::Kind::kWrite;
    item.target = index;
    item.write = std::make_shared<const WriteFile>(std::move(*write));
    if (machines_.at(static_cast<std::size_t>(index)).diskStalled)
      machines_.at(static_cast<std::size_t>(index)).stalledWrites.push_back(std::move(item));
    else enqueue(std::move(item));
  } else if (auto* removal = std::get_if<RemoveOlderFiles>(&command)) {
    removeOlderFiles(index, *removal);
  } else if (auto* httpAnswer = std::get_if<AnswerHttp>(&command)) {
    for (int operatorIndex = 0; operatorIndex < kOperatorCount; ++operatorIndex) {
      const Operator& each = operators_.at(static_cast<std::size_t>(operatorIndex));
      if (!each.hasOpenCall() || each.ticket() != httpAnswer->ticket) continue;
      item.kind = PendingEvent::Kind::kAnswer;
      item.target = operatorIndex;
      item.answer = std::make_shared<const AnswerHttp>(std::move(*httpAnswer));
      enqueue(std::move(item));
      return;
    }
  } else if (auto* logState = std::get_if<LogState>(&command)) {
    if (traceEnabled_)
      recordStep("    machine " + std::to_string(index + 1) + " says: " + logState->text);
  }
}

void ModelWorld::removeOlderFiles(int index, const RemoveOlderFiles& command) {
  auto& disk = machines_.at(static_cast<std::size_t>(index)).disk;
  std::vector<std::string> names;
  for (const auto& [name, content] : disk)
    if (name.starts_with(command.prefix + ".")) names.push_back(name);
  for (std::size_t position = 0; position + command.keep < names.size(); ++position)
    disk.erase(names[position]);
}

void ModelWorld::removeIfLeft(int index) {
  ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  if (!machine.leaving || !machine.node->drained(localTime(index))) return;
  bool handedOver = !machine.node->leadership().hasVoteOrReplica();
  recordStep("machine " + std::to_string(index + 1) + " has left" +
             (handedOver ? "" : ", unreplaced"));
  stopMachine(index, false);
  if (!handedOver && countLostMachines() >= options_.tolerate) {
    // Removing it would exceed the tolerated losses, so it is restarted like a killed machine.
    startMachine(index, false);
    healthySince_ = now_;  // after the downtime it counts as lost for the catch-up time
    return;
  }
  machine.removed = true;
  machine.disk.clear();
  ++removedCount_;
  std::vector<ControlState> states;
  for (const auto& other : machines_) states.push_back(readStateFromDisk(other));
  std::vector<const ControlState*> others;
  for (const auto& state : states) others.push_back(&state);
  checker_.checkRemoval(index, others);
}

void ModelWorld::checkClaims() {
  std::vector<LeadershipClaim> claims;
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    const auto& machine = machines_[index];
    if (!machine.node) continue;
    int machineIndex = static_cast<int>(index);
    const Leadership& leadership = machine.node->leadership();
    LeadershipClaim claim;
    claim.machine = machineIndex;
    claim.hasLeaderLease = leadership.hasLeaderLease(localTime(machineIndex));
    claim.mayShowState = leadership.mayShowState(localTime(machineIndex));
    claim.hasReadLease = machine.node->readOnlyLeader().hasReadLease(localTime(machineIndex));
    claim.epoch = leadership.view().epoch;
    claim.state = &leadership.published();
    if (claim.hasLeaderLease || claim.hasReadLease) claims.push_back(claim);
  }
  checker_.checkClaims(claims);
}

std::uint64_t ModelWorld::fingerprint() const {
  std::vector<std::uint64_t> words{static_cast<std::uint64_t>(now_.microseconds)};
  for (const auto& machine : machines_) {
    words.push_back(machine.inputHash);
    words.push_back((machine.node ? 1U : 0U) | (machine.partitioned ? 2U : 0U) |
                    (machine.leaving ? 4U : 0U) | (machine.removed ? 8U : 0U) |
                    (machine.diskStalled ? 16U : 0U));
    for (const auto& item : machine.stalledWrites) words.push_back(item.digest);
  }
  words.push_back(pendingEvents_.size());
  for (const auto& item : pendingEvents_) words.push_back(item.digest * 2 + (item.delayed ? 1 : 0));
  for (const auto& item : heldMessages_) words.push_back(item.digest);
  for (const auto& each : operators_) each.hashInto(words);
  for (int count : usedCounts_) words.push_back(static_cast<std::uint64_t>(count));
  words.push_back(static_cast<std::uint64_t>(removedCount_));
  words.push_back(static_cast<std::uint64_t>(healthySince_.microseconds));
  for (const auto& times : {diskLossTimes_, joinTimes_})
    for (MonotonicTime time : times) words.push_back(static_cast<std::uint64_t>(time.microseconds));
  checker_.hashInto(words);
  return XXH64(words.data(), words.size() * sizeof words[0], 0);
}

void ModelWorld::recordStep(const std::string& text) {
  if (!traceEnabled_) return;
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f  ", inSeconds(now_ - kStartTime));
  steps_.push_back(time.data() + text);
}

}  // namespace peppergate::model
