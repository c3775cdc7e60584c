#include "model/model_world.h"

#include <xxhash.h>

#include <algorithm>

namespace peppergate::model {
namespace {

constexpr Duration kClockOffset = seconds(1000);  // between the clocks of neighbouring machines
constexpr MonotonicTime kStart{1'000'000'000};
constexpr Duration kSettleWithin = seconds(60);
constexpr std::size_t kFounders = 3;
constexpr std::uint64_t kLivesPerMachine = 1000;

std::uint64_t combine(std::uint64_t left, std::uint64_t right) {
  std::array<std::uint64_t, 2> words{left, right};
  return XXH64(words.data(), sizeof words, 0);
}

std::string addressText(std::size_t index) { return "10.0.0." + std::to_string(index + 1) + ":1"; }

ControlState stateOn(const ModelMachine& machine) {
  std::string newest;
  for (const auto& [name, content] : machine.disk)
    if (name.starts_with("state.")) newest = std::max(newest, name);
  if (newest.empty()) return {};
  auto content = opened(*machine.disk.at(newest));
  Json document = content ? Json::parse(*content, nullptr, false) : Json();
  if (!document.is_object()) return {};
  auto state = ControlState::parse(document["state"]);
  return state.ok() ? *state : ControlState{};
}

}  // namespace

ModelWorld::ModelWorld(const ModelOptions& options)
    : options_(options),
      operators_(operatorsFor(options.orders)),
      judge_(options.rules),
      now_(kStart) {
  settings_.backups = options.tolerate;
  settings_.faults = options.faults;
  if (options.voters != 0) settings_.voterSlots = options.voters;
  for (int index = 0; index < options.machines; ++index) addMachine();
  for (std::size_t index = 0; index < kFounders; ++index)
    seeds_.push_back(machines_[index].address);
}

absl::StatusOr<ModelWorld> ModelWorld::founded(const ModelOptions& options) {
  if (auto status = checkOptions(options); !status.ok()) return status;
  ModelWorld world(options);
  auto operators = std::exchange(world.operators_, {});
  for (int index = 0; index < options.machines; ++index) world.startMachine(index, true);
  int voters = options.voters == 0 ? options.machines : options.voters;
  auto settled = [&] {
    int leader = world.leader();
    if (leader < 0 || !world.underWay_.empty()) return false;
    const View& view = world.machines_[static_cast<std::size_t>(leader)].node->leadership().view();
    return view.base == view.epoch && std::ssize(view.voters) == voters &&
           std::ssize(view.backups) == options.tolerate;
  };
  while (!settled()) {
    if (world.now_ - kStart > kSettleWithin)
      return absl::FailedPreconditionError("the fleet didn't settle within a minute");
    world.continueOnce();
    if (!world.judge_.violation().empty()) return world;
  }
  world.operators_ = std::move(operators);
  world.end_ = world.now_ + options.horizon;
  world.runToChoice();
  return world;
}

MonotonicTime ModelWorld::local(int index) const {
  return now_ + kClockOffset * static_cast<double>(index);
}

int ModelWorld::machineAt(const Address& address) const {
  for (std::size_t index = 0; index < machines_.size(); ++index)
    if (machines_[index].address == address) return static_cast<int>(index);
  return -1;
}

int ModelWorld::leader() const {
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    const auto& machine = machines_[index];
    int number = static_cast<int>(index);
    if (machine.node && machine.node->leadership().names(local(number))) return number;
  }
  return -1;
}

void ModelWorld::addMachine() {
  ModelMachine machine;
  machine.address = {addressText(machines_.size())};
  machines_.push_back(std::move(machine));
}

void ModelWorld::startMachine(int index, bool bootstraps) {
  ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  ++machine.life;
  std::uint64_t identity = static_cast<std::uint64_t>(index + 1) * kLivesPerMachine + machine.life;
  if (!machine.disk.contains("identity")) {
    Bootstrap bootstrap;
    bootstrap.first = bootstraps;
    if (bootstraps) bootstrap.voters = seeds_;
    machine.disk["identity"] =
        std::make_shared<const std::string>(identityFile({identity}, bootstrap));
  }
  DiskFound found;
  for (const auto& [name, content] : machine.disk) found.files[name] = *content;
  MemberRecord self;
  self.member = {identity};
  self.address = self.pages = machine.address;
  self.role = Role::kCore;
  machine.history =
      combine(machine.history, identity + static_cast<std::uint64_t>(now_.microseconds));
  machine.node = std::make_shared<CoreNode>(
      settings_, self, seeds_, found, options_.seed * kLivesPerMachine + identity, local(index));
  machine.leaving = false;
}

void ModelWorld::stopMachine(int index, bool writesReachDisk) {
  ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  machine.node.reset();
  machine.diskStalled = false;
  auto end = [&](const UnderWay& item) {
    bool own = item.kind == UnderWay::Kind::kWrite && item.target == index;
    if (!own) return;
    machine.history = combine(machine.history, writesReachDisk ? item.digest : 0);
    if (writesReachDisk)
      machine.disk[item.write->name] = std::make_shared<const std::string>(item.write->content);
  };
  std::ranges::for_each(std::exchange(machine.stalledWrites, {}), end);
  std::ranges::for_each(underWay_, end);
  // Its connections break: messages to it and its answers to operators are lost.
  std::erase_if(underWay_, [&](const UnderWay& item) {
    if (item.kind == UnderWay::Kind::kAnswer) return item.source == index;
    return item.target == index;
  });
  for (auto& each : operators_)
    if (each.open() && each.machine(static_cast<int>(machines_.size())) == index)
      each.broken(now_ + options_.tick);
}

int ModelWorld::lostMachines() const {
  auto recent = [&](MonotonicTime when) {
    return now_ - std::max(when, calmSince_) < options_.catchUp;
  };
  int lost = static_cast<int>(std::ranges::count_if(losses_, recent));
  // The first machine to join is the successor of the first that left, whichever came first.
  for (int index = 0; index < removals_; ++index) {
    auto position = static_cast<std::size_t>(index);
    if (position >= joins_.size() || recent(joins_[position])) ++lost;
  }
  return lost;
}

int ModelWorld::leavingUnreplaced() const {
  auto leaving = static_cast<int>(std::ranges::count_if(
      machines_, [](const ModelMachine& machine) { return machine.node && machine.leaving; }));
  int spare = std::max(0, static_cast<int>(joins_.size()) - removals_);
  return std::max(0, leaving - spare);
}

bool ModelWorld::calm() const {
  return std::ranges::all_of(machines_, [](const ModelMachine& machine) {
    if (machine.removed) return true;
    return machine.node && !machine.cutOff && !machine.diskStalled &&
           !machine.node->leadership().isSuspect();
  });
}

bool ModelWorld::changesView() const {
  return std::ranges::any_of(machines_, [](const ModelMachine& machine) {
    if (!machine.node) return false;
    LeaderPhase phase = machine.node->leadership().phase();
    return phase != LeaderPhase::kFollowing && phase != LeaderPhase::kLeading;
  });
}

void ModelWorld::wipeMachine(int index) {
  losses_.push_back(now_);
  stopMachine(index, false);
  machines_.at(static_cast<std::size_t>(index)).disk.clear();
  startMachine(index, false);
}

void ModelWorld::replaceMachine(int index) {
  losses_.push_back(now_);
  stopMachine(index, false);
  ModelMachine& gone = machines_.at(static_cast<std::size_t>(index));
  gone.removed = true;
  gone.disk.clear();
  startNewMachine();
}

void ModelWorld::joinMachine() {
  joins_.push_back(now_);
  startNewMachine();
}

void ModelWorld::startNewMachine() {
  addMachine();
  startMachine(static_cast<int>(machines_.size()) - 1, false);
}

void ModelWorld::step(int index, const Event& event, std::uint64_t digest) {
  ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  if (!machine.node) return;
  if (machine.node.use_count() > 1) machine.node = machine.node->clone();
  machine.node->step(event, local(index));
  machine.history =
      combine(combine(machine.history, digest), static_cast<std::uint64_t>(now_.microseconds));
  std::uint64_t position = 0;
  for (auto& command : machine.node->outbox().take())
    carryOut(index, std::move(command), combine(machine.history, ++position));
  checkLeft(index);
}

void ModelWorld::carryOut(int index, Command command, std::uint64_t digest) {
  UnderWay item;
  item.source = index;
  item.digest = digest;
  if (auto* send = std::get_if<Send>(&command)) {
    item.target = machineAt(send->to);
    if (item.target < 0) return;
    item.kind = UnderWay::Kind::kMessage;
    item.message = std::make_shared<const Message>(std::move(send->message));
    enqueue(std::move(item));
  } else if (auto* broadcast = std::get_if<Broadcast>(&command)) {
    std::uint64_t place = 0;
    for (const auto& to : broadcast->to)
      carryOut(index, Send{to, *broadcast->message}, combine(digest, ++place));
  } else if (auto* write = std::get_if<WriteFile>(&command)) {
    item.kind = UnderWay::Kind::kWrite;
    item.target = index;
    item.write = std::make_shared<const WriteFile>(std::move(*write));
    if (machines_.at(static_cast<std::size_t>(index)).diskStalled)
      machines_.at(static_cast<std::size_t>(index)).stalledWrites.push_back(std::move(item));
    else enqueue(std::move(item));
  } else if (auto* older = std::get_if<DropOlder>(&command)) {
    dropOlder(index, *older);
  } else if (auto* web = std::get_if<AnswerWeb>(&command)) {
    for (int who = 0; who < kOperators; ++who) {
      const Operator& each = operators_.at(static_cast<std::size_t>(who));
      if (!each.open() || each.ticket() != web->ticket) continue;
      item.kind = UnderWay::Kind::kAnswer;
      item.target = who;
      item.answer = std::make_shared<const AnswerWeb>(std::move(*web));
      enqueue(std::move(item));
      return;
    }
  } else if (auto* text = std::get_if<NoteState>(&command)) {
    if (tracing_) note("    machine " + std::to_string(index + 1) + " says: " + text->text);
  }
}

void ModelWorld::dropOlder(int index, const DropOlder& command) {
  auto& disk = machines_.at(static_cast<std::size_t>(index)).disk;
  std::vector<std::string> names;
  for (const auto& [name, content] : disk)
    if (name.starts_with(command.prefix + ".")) names.push_back(name);
  for (std::size_t position = 0; position + command.keep < names.size(); ++position)
    disk.erase(names[position]);
}

void ModelWorld::checkLeft(int index) {
  ModelMachine& machine = machines_.at(static_cast<std::size_t>(index));
  if (!machine.leaving || !machine.node->drained(local(index))) return;
  bool handedOver = !machine.node->leadership().hasDuty();
  note("machine " + std::to_string(index + 1) + " has left" + (handedOver ? "" : ", unreplaced"));
  stopMachine(index, false);
  if (!handedOver && lostMachines() >= options_.tolerate) {
    // Removing it would exceed the tolerated losses, so it is restarted like a killed machine.
    startMachine(index, false);
    calmSince_ = now_;  // after the downtime it counts as lost for the catch-up time
    return;
  }
  machine.removed = true;
  machine.disk.clear();
  ++removals_;
  std::vector<ControlState> states;
  for (const auto& other : machines_) states.push_back(stateOn(other));
  std::vector<const ControlState*> others;
  for (const auto& state : states) others.push_back(&state);
  judge_.left(index, others);
}

void ModelWorld::watch() {
  std::vector<LeaderClaim> claims;
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    const auto& machine = machines_[index];
    if (!machine.node) continue;
    int number = static_cast<int>(index);
    const Leadership& leadership = machine.node->leadership();
    LeaderClaim claim;
    claim.machine = number;
    claim.leads = leadership.leads(local(number));
    claim.names = leadership.names(local(number));
    claim.attests = machine.node->readOnlyLeader().attests(local(number));
    claim.epoch = leadership.view().epoch;
    claim.state = &leadership.published();
    if (claim.leads || claim.attests) claims.push_back(claim);
  }
  judge_.watch(claims);
}

std::uint64_t ModelWorld::fingerprint() const {
  std::vector<std::uint64_t> words{static_cast<std::uint64_t>(now_.microseconds)};
  for (const auto& machine : machines_) {
    words.push_back(machine.history);
    words.push_back((machine.node ? 1U : 0U) | (machine.cutOff ? 2U : 0U) |
                    (machine.leaving ? 4U : 0U) | (machine.removed ? 8U : 0U) |
                    (machine.diskStalled ? 16U : 0U));
    for (const auto& item : machine.stalledWrites) words.push_back(item.digest);
  }
  words.push_back(underWay_.size());
  for (const auto& item : underWay_) words.push_back(item.digest * 2 + (item.delayed ? 1 : 0));
  for (const auto& item : held_) words.push_back(item.digest);
  for (const auto& each : operators_) each.hashInto(words);
  for (int count : used_) words.push_back(static_cast<std::uint64_t>(count));
  words.push_back(static_cast<std::uint64_t>(removals_));
  words.push_back(static_cast<std::uint64_t>(calmSince_.microseconds));
  for (const auto& times : {losses_, joins_})
    for (MonotonicTime time : times) words.push_back(static_cast<std::uint64_t>(time.microseconds));
  judge_.hashInto(words);
  return XXH64(words.data(), words.size() * sizeof words[0], 0);
}

void ModelWorld::note(const std::string& text) {
  if (!tracing_) return;
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f  ", inSeconds(now_ - kStart));
  steps_.push_back(time.data() + text);
}

}  // namespace peppergate::model
