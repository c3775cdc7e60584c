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
#include "model/safety_checker.h"

namespace peppergate::model {

/// A pending event: a message, a disk write, or an answer to an operator.
struct PendingEvent {
  enum class Kind : std::uint8_t { kWrite, kMessage, kAnswer };
  Kind kind = Kind::kMessage;
  int target = 0;  ///< the machine that it goes to, or the operator for an answer
  int source = 0;  ///< the machine that it comes from
  bool delayed = false;
  std::uint64_t sequence = 0;  ///< sequence number: keeps each channel first in, first out
  std::uint64_t digest = 0;    ///< hash of its origin and content
  std::shared_ptr<const Message> message;
  std::shared_ptr<const WriteFile> write;
  std::shared_ptr<const AnswerHttp> answer;
};

/// One machine; its disk persists across restarts of its process.
struct ModelMachine {
  Address address;
  std::shared_ptr<CoreNode> node;  ///< null while the machine is stopped
  std::map<std::string, std::shared_ptr<const std::string>> disk;
  std::uint64_t processCount = 0;  ///< number of process starts so far
  std::uint64_t inputHash = 0;     ///< hash of all inputs since its first start
  bool partitioned = false;        ///< on the other side of a network partition
  bool diskStalled = false;
  std::vector<PendingEvent> stalledWrites;
  bool leaving = false;
  bool removed = false;  ///< gone permanently, with its disk
};

class ModelWorld {
 public:
  /// Bootstraps a fleet and runs it until it has settled: one leader, whose state all its replicas
  /// hold. If a rule is broken on the way, the world is returned as it is at that point.
  /// FailedPrecondition if the fleet doesn't settle within a minute of modelled time.
  static absl::StatusOr<ModelWorld> createSettled(const ModelOptions& options);

  /// The actions other than `kContinue` that are possible now.
  std::vector<Action> choices() const;
  /// Performs an action, then follows the default order to the next choice point. An action that
  /// isn't possible now counts as `kContinue`.
  void apply(const Action& action);
  /// Whether the schedule has ended: a rule is broken or the horizon is reached.
  bool hasEnded() const { return !checker_.violation().empty() || now_ >= horizonEnd_; }
  /// Equal for worlds with equal futures: covers each machine's inputs, the pending events, the
  /// operators and the counts of actions used.
  std::uint64_t fingerprint() const;
  /// Ends a schedule: ends all faults and checks that there is a leader after the recovery time.
  void finish();

  const SafetyChecker& checker() const { return checker_; }
  MonotonicTime now() const { return now_; }
  /// The position in the schedule: the number of choice points passed.
  int position() const { return position_; }
  const std::vector<ModelMachine>& machines() const { return machines_; }
  /// Records each step as text from now on.
  void enableTrace() { traceEnabled_ = true; }
  const std::vector<std::string>& steps() const { return steps_; }
  /// The machine that leads now and may present its state as the newest; -1: none.
  int leader() const;
  /// Whether a candidate or a leader is changing to another view.
  bool isChangingView() const;

 private:
  explicit ModelWorld(const ModelOptions& options);

  // Machines, in model_world.cc.
  void addMachine();
  void startMachine(int index, bool isBootstrapper);
  void stopMachine(int index, bool writesReachDisk);
  void wipeMachine(int index);
  void replaceMachine(int index);
  void addJoiningMachine();
  void startNewMachine();
  void stepMachine(int index, const Event& event, std::uint64_t digest);
  void execute(int index, Command command, std::uint64_t digest);
  void removeOlderFiles(int index, const RemoveOlderFiles& command);
  void removeIfLeft(int index);
  void checkClaims();
  MonotonicTime localTime(int index) const;
  int findMachine(const Address& address) const;
  /// The number of machines that count as lost: a lost disk counts for the catch-up time; a machine
  /// that left counts until the machine that joined in its place has run for that time. The time
  /// runs only while all machines run, are connected and have healthy disks, because replicas can't
  /// be restored before that.
  int countLostMachines() const;
  /// The number of machines that were asked to leave and have no successor yet.
  int countUnreplacedLeaving() const;
  bool allMachinesHealthy() const;

  // The default order, in model_steps.cc.
  void runToChoicePoint();
  void runDefaultStep();
  void process(PendingEvent item);
  void deliver(const PendingEvent& item);
  void finishWrite(const PendingEvent& item, bool synced);
  void answerOperator(const PendingEvent& item, bool lost);
  void callMachine(int operatorIndex);
  void advanceTime();
  const PendingEvent* nextPending() const;
  PendingEvent popNextPending();
  void enqueue(PendingEvent item);
  bool isBackground(const PendingEvent& item) const;
  bool isSteadyLeaseRenewal(const PendingEvent& item) const;
  bool isIdleFreshnessCheck(const PendingEvent& item) const;
  int findDueOperator() const;
  bool hasOpenCallAt(int index) const;
  bool connected(int source, int target) const;

  // Choices, in model_choices.cc.
  void addChoice(std::vector<Action>& actions, ActionKind kind, int target) const;
  void addMachineChoices(std::vector<Action>& actions, int index) const;
  void addEventChoices(std::vector<Action>& actions, const PendingEvent& item) const;
  void addIdleChoices(std::vector<Action>& actions) const;
  bool isPossible(const Action& action) const;
  void perform(const Action& action);
  void performOnMachine(const Action& action);
  void performOnNext(const Action& action);
  void stallDisk(int index);
  int usedCount(ActionKind kind) const { return usedCounts_.at(static_cast<std::size_t>(kind)); }

  void recordStep(const std::string& text);

  ModelOptions options_;
  Options nodeOptions_;
  std::vector<Address> seedAddresses_;
  std::vector<ModelMachine> machines_;
  /// Sorted: items that aren't delayed first, then by target and source.
  std::vector<PendingEvent> pendingEvents_;
  std::vector<PendingEvent> heldMessages_;
  std::array<Operator, kOperatorCount> operators_;
  std::array<int, kActionKindCount> usedCounts_{};
  std::vector<MonotonicTime> diskLossTimes_;  ///< the time of each loss of a disk
  std::vector<MonotonicTime> joinTimes_;      ///< the time at which each additional machine joined
  int removedCount_ = 0;                      ///< number of machines that left permanently
  MonotonicTime healthySince_ = kNever;       ///< when the last fault of a machine ended
  SafetyChecker checker_;
  MonotonicTime now_{};
  MonotonicTime horizonEnd_ = kForever;
  std::uint64_t lastSequence_ = 0;
  std::uint64_t lastTicket_ = 0;
  int position_ = 0;
  bool traceEnabled_ = false;
  std::vector<std::string> steps_;
};

}  // namespace peppergate::model
