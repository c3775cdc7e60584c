#pragma once
/// A fleet that runs the real control code on modelled disks, messages, operators and time. A copy
/// shares its nodes with the original until either steps them, so that a search can branch cheaply.
#include <absl/status/statusor.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core_node.h"
#include "model/model_options.h"
#include "model/operator_script.h"
#include "model/safety_judge.h"

namespace peppergate::model {

/// A pending event: a message, a disk write, or an answer to an operator.
struct UnderWay {
  enum class Kind : std::uint8_t { kWrite, kMessage, kAnswer };
  Kind kind = Kind::kMessage;
  int target = 0;  ///< the machine that it goes to, or the operator for an answer
  int source = 0;  ///< the machine that it comes from
  bool delayed = false;
  std::uint64_t order = 0;   ///< sequence number: keeps each channel first in, first out
  std::uint64_t digest = 0;  ///< hash of its origin and content
  std::shared_ptr<const Message> message;
  std::shared_ptr<const WriteFile> write;
  std::shared_ptr<const AnswerWeb> answer;
};

/// One machine; its disk persists across restarts of its process.
struct ModelMachine {
  Address address;
  std::shared_ptr<CoreNode> node;  ///< null while the machine is stopped
  std::map<std::string, std::shared_ptr<const std::string>> disk;
  std::uint64_t life = 0;     ///< number of process starts so far
  std::uint64_t history = 0;  ///< hash of all inputs since its first start
  bool cutOff = false;        ///< on the other side of a network partition
  bool diskStalled = false;
  std::vector<UnderWay> stalledWrites;
  bool leaving = false;
  bool removed = false;  ///< gone permanently, with its disk
};

class ModelWorld {
 public:
  /// Bootstraps a fleet and runs it until it has settled: one leader, whose state all its replicas
  /// hold. If a rule is broken on the way, the world is returned as it is at that point.
  /// FailedPrecondition if the fleet doesn't settle within a minute of modelled time.
  static absl::StatusOr<ModelWorld> founded(const ModelOptions& options);

  /// The actions other than `kContinue` that are possible now.
  std::vector<Action> choices() const;
  /// Performs an action, then follows the default order to the next choice point. An action that
  /// isn't possible now counts as `kContinue`.
  void apply(const Action& action);
  /// Whether the schedule has ended: a rule is broken or the horizon is reached.
  bool ended() const { return !judge_.violation().empty() || now_ >= end_; }
  /// Equal for worlds with equal futures: covers each machine's inputs, the pending events, the
  /// operators and the counts of actions used.
  std::uint64_t fingerprint() const;
  /// Ends a schedule: ends all faults and checks that there is a leader after the recovery time.
  void finish();

  const SafetyJudge& judge() const { return judge_; }
  MonotonicTime now() const { return now_; }
  /// The position in the schedule: the number of choice points passed.
  int position() const { return position_; }
  const std::vector<ModelMachine>& machines() const { return machines_; }
  /// Records each step as text from now on.
  void trace() { tracing_ = true; }
  const std::vector<std::string>& steps() const { return steps_; }
  /// The machine that leads now and may present its state as the newest; -1: none.
  int leader() const;
  /// Whether a candidate or a leader is changing to another view.
  bool changesView() const;

 private:
  explicit ModelWorld(const ModelOptions& options);

  // Machines, in model_world.cc.
  void addMachine();
  void startMachine(int index, bool bootstraps);
  void stopMachine(int index, bool writesReachDisk);
  void wipeMachine(int index);
  void replaceMachine(int index);
  void joinMachine();
  void startNewMachine();
  void step(int index, const Event& event, std::uint64_t digest);
  void carryOut(int index, Command command, std::uint64_t digest);
  void dropOlder(int index, const DropOlder& command);
  void checkLeft(int index);
  void watch();
  MonotonicTime local(int index) const;
  int machineAt(const Address& address) const;
  /// The number of machines that count as lost: a lost disk counts for the catch-up time; a machine
  /// that left counts until the machine that joined in its place has run for that time. The time
  /// runs only while all machines run, are connected and have healthy disks, because replicas can't
  /// be restored before that.
  int lostMachines() const;
  /// The number of machines that were asked to leave and have no successor yet.
  int leavingUnreplaced() const;
  bool calm() const;

  // The default order, in model_steps.cc.
  void runToChoice();
  void continueOnce();
  void process(UnderWay item);
  void deliver(const UnderWay& item);
  void finishWrite(const UnderWay& item, bool synced);
  void answer(const UnderWay& item, bool lost);
  void call(int who);
  void advance();
  const UnderWay* next() const;
  UnderWay takeNext();
  void enqueue(UnderWay item);
  bool isBackground(const UnderWay& item) const;
  bool isSteadyRenewal(const UnderWay& item) const;
  bool isIdleQuestion(const UnderWay& item) const;
  int callerDue() const;
  bool reads(int index) const;
  bool connected(int source, int target) const;

  // Choices, in model_choices.cc.
  void offer(std::vector<Action>& actions, ActionKind kind, int target) const;
  void offerForMachine(std::vector<Action>& actions, int index) const;
  void offerForItem(std::vector<Action>& actions, const UnderWay& item) const;
  void offerWhenIdle(std::vector<Action>& actions) const;
  bool fits(const Action& action) const;
  void perform(const Action& action);
  void performOnMachine(const Action& action);
  void performOnNext(const Action& action);
  void stallDisk(int index);
  int used(ActionKind kind) const { return used_.at(static_cast<std::size_t>(kind)); }

  void note(const std::string& text);

  ModelOptions options_;
  Options settings_;
  std::vector<Address> seeds_;
  std::vector<ModelMachine> machines_;
  /// Sorted: items that aren't delayed first, then by target and source.
  std::vector<UnderWay> underWay_;
  std::vector<UnderWay> held_;
  std::array<Operator, kOperators> operators_;
  std::array<int, kActionKinds> used_{};
  std::vector<MonotonicTime> losses_;  ///< the time of each loss of a disk
  std::vector<MonotonicTime> joins_;   ///< the time at which each additional machine joined
  int removals_ = 0;                   ///< number of machines that left permanently
  MonotonicTime calmSince_ = kNever;   ///< when the last fault of a machine ended
  SafetyJudge judge_;
  MonotonicTime now_{};
  MonotonicTime end_ = kForever;
  std::uint64_t lastOrder_ = 0;
  std::uint64_t lastTicket_ = 0;
  int position_ = 0;
  bool tracing_ = false;
  std::vector<std::string> steps_;
};

}  // namespace peppergate::model
