#pragma once
/// A fleet of real control machines with modelled disks, messages, operators and time. A copy
/// shares machines with its original until either steps them, so that a search can branch.
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

/// Something under way: a message, a write, or an answer to an operator.
struct UnderWay {
  enum class Kind : std::uint8_t { kWrite, kMessage, kAnswer };
  Kind kind = Kind::kMessage;
  int target = 0;  ///< a machine, or an operator for answers
  int source = 0;  ///< a machine
  bool delayed = false;
  std::uint64_t order = 0;   ///< within its channel
  std::uint64_t digest = 0;  ///< of its origin and content
  std::shared_ptr<const Message> message;
  std::shared_ptr<const WriteFile> write;
  std::shared_ptr<const AnswerWeb> answer;
};

/// One machine: its disk outlasts its processes.
struct ModelMachine {
  Address address;
  std::shared_ptr<CoreNode> node;  ///< null while it is stopped
  std::map<std::string, std::shared_ptr<const std::string>> disk;
  std::uint64_t life = 0;     ///< processes so far
  std::uint64_t history = 0;  ///< hash of all that went in since its first start
  bool cutOff = false;        ///< on the other side of a cut
  bool diskStalled = false;
  std::vector<UnderWay> stalledWrites;
  bool leaving = false;
  bool removed = false;  ///< for good, with its disk
};

class ModelWorld {
 public:
  /// Founds a fleet and lets it settle: one leader whose state all its replicas have.
  /// A rule that is broken before ends the schedule there. FailedPrecondition if it doesn't settle
  /// within a minute of modelled time.
  static absl::StatusOr<ModelWorld> founded(const ModelOptions& options);

  /// The actions other than `kContinue` that may be taken here.
  std::vector<Action> choices() const;
  /// Takes an action, then goes on by default to the next place where there is a choice. An action
  /// that doesn't fit here counts as `kContinue`.
  void apply(const Action& action);
  /// Whether the schedule is over: a rule is broken or the horizon is reached.
  bool ended() const { return !judge_.violation().empty() || now_ >= end_; }
  /// Equal for worlds with equal futures: each machine's inputs, what is under way, the operators,
  /// the limits that are used up.
  std::uint64_t fingerprint() const;
  /// Ends a schedule: all trouble is over, and after the options' recovery time there is a leader.
  void finish();

  const SafetyJudge& judge() const { return judge_; }
  MonotonicTime now() const { return now_; }
  /// Where it stands in its schedule: choices so far.
  int position() const { return position_; }
  const std::vector<ModelMachine>& machines() const { return machines_; }
  /// Notes each step as text from now on.
  void trace() { tracing_ = true; }
  const std::vector<std::string>& steps() const { return steps_; }
  /// The machine that leads and names its state now; -1: none.
  int leader() const;
  /// Whether a candidate or a leader is on its way to another view.
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
  /// Machines that count as lost: a lost disk for the catch-up time; a machine that left until its
  /// successor, the machine that joined in its place, has run for that time. The time counts while
  /// all machines run, hear each other and have good disks: before, no loss can be made up.
  int lostMachines() const;
  /// Machines that were told to leave and have no successor yet.
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
  std::vector<UnderWay> underWay_;  ///< sorted: what isn't delayed first, then by target, source
  std::vector<UnderWay> held_;
  std::array<Operator, kOperators> operators_;
  std::array<int, kActionKinds> used_{};
  std::vector<MonotonicTime> losses_;  ///< when each lost disk was lost
  std::vector<MonotonicTime> joins_;   ///< when each machine came beside the others
  int removals_ = 0;                   ///< machines that left for good
  MonotonicTime calmSince_ = kNever;   ///< when the last trouble of a machine ended
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
