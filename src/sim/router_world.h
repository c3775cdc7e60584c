#pragma once
// A simulated fleet of routers. Time, network, disks, engines, the platform's list, operators and
// clients are simulated; the nodes run the production code.
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/batch_engine.h"
#include "sim/router_scenario.h"
#include "sim/sim_cluster.h"

namespace peppergate {

/// The daemon of a router or of a core machine.
using RouterProcess = SimProcess;

/// The process of an engine or of the store, with its injected faults.
struct RouterEngine {
  std::string host;
  Address address;
  ServiceName service;
  ModelName modelName;
  Zone zone;
  std::unique_ptr<BatchEngine> batchEngine;
  bool alive = true, listed = true, draining = false, unreachable = false, isStore = false;
  std::string responseFault;  // fault of its responses, as the scenario names it; empty: none
  double slowdown = 1;
  std::uint64_t incarnation = 1;
  MonotonicTime drainingSince = kForever;  // when readers of the list could first see it
  MonotonicTime startedAt{};               // when it last started
};

/// One attempt of a router at an engine.
struct RouterAttempt {
  RouterProcess* process = nullptr;
  std::uint64_t processIncarnation = 0;
  OpenAttempt command;
  RequestArrived arrival;
  RouterEngine* engine = nullptr;
  std::uint64_t engineIncarnation = 0;
  BatchRun engineRun;
  bool running = false;  // the engine accepted it and has not ended it yet
  bool closed = false;   // nothing more reaches the router
  bool faulty = false;
  int sentEvents = 0;
  MonotonicTime lastDelivery{};  // when the last event arrives; later ones keep the order
  bool paused = false;
  std::vector<AttemptEvent> heldEvents;  // events held back while it is paused
};

class RouterClients;
class RouterChecker;
class RouterOperators;

/// The fleet under one scenario and one seed.
class RouterWorld : public SimCluster {
 public:
  RouterWorld(const RouterScenario& scenario, std::uint64_t seed);
  ~RouterWorld() override;

  /// Runs the warm-up, traffic and faults, and the checks at the end.
  void run();
  const RouterScenario& scenario() const { return scenario_; }
  const Options& options() const { return options_; }
  RouterClients& clients() { return *clients_; }
  RouterChecker& checker() { return *checker_; }
  RouterOperators& operators() { return *operators_; }
  std::vector<std::unique_ptr<RouterEngine>>& engines() { return engines_; }

  /// The configuration that operators send first.
  Json initialConfig() const;
  /// Whether a process is connected to the leader, and neither it nor the core machines were
  /// disturbed for longer than a given time.
  bool isUndisturbed(const RouterProcess& process, Duration duration);
  /// Whether a router that was told to stop accepts no new connections any more.
  bool hasClosedListener(const RouterProcess& process) const;
  /// Since when the platform's list is available; kForever while it isn't.
  MonotonicTime listAvailableSince() const {
    return listUnavailable_ ? kForever : listAvailableSince_;
  }

 private:
  friend struct RouterCommandRunner;
  using AttemptPointer = std::shared_ptr<RouterAttempt>;
  void tickAll();
  // Implementation of the cluster's interface.
  std::string routerWord() const override { return "router"; }
  std::unique_ptr<Node> makeNode(SimProcess& process, const MemberRecord& self,
                                 const DiskContents& found, const Bootstrap& bootstrap) override;
  Bootstrap bootstrapOf(const SimProcess&) const override { return {true, seeds_, 0}; }
  void handleProcessEnd(SimProcess& process, bool planned) override;
  void handleUnreadableFrame(const std::string& host) override;
  bool mayExit(const SimProcess& process) const override;
  void reload(SimProcess& process) override { process.node->reload(options_); }
  Duration graceTime() const override { return options_.graceTime; }
  // Commands, in router_commands.cc.
  void runCommands(SimProcess& process) override;
  void listEngines(RouterProcess& process, const ListEngines& command);
  template <class Answer>
  void callEngine(RouterProcess& process, const Address& address, Duration timeout,
                  MonotonicTime writeBefore, Answer failure,
                  std::function<Answer(RouterEngine&)> handler);
  // Attempts, in router_attempts.cc.
  void openAttempt(RouterProcess& process, const OpenAttempt& command);
  void pauseAttempt(RouterProcess& process, const PauseAttempt& command);
  void cancelAttempt(RouterProcess& process, AttemptId id);
  void beginRun(const AttemptPointer& attempt);
  void sendWholeResponse(const AttemptPointer& attempt);
  void sendNextEvent(const AttemptPointer& attempt);
  void endRun(const AttemptPointer& attempt);
  void breakConnection(const AttemptPointer& attempt);
  void declineAttempt(const AttemptPointer& attempt, BatchAdmission admission);
  void sendAttemptEvent(const AttemptPointer& attempt, AttemptEvent event);
  AttemptEvent responseHead(const AttemptPointer& attempt, int status, bool success) const;
  void breakAttempts(const std::function<bool(const RouterAttempt&)>& affected);
  // Engines and their list.
  RouterEngine* engineByAddress(const Address& address);
  void recordEngineList();
  void restartEngine(RouterEngine& engine);
  // Actions, in router_faults.cc.
  void runAction(const Action& action);
  bool runEngineAction(const Action& action);
  bool runAllEnginesAction(const Action& action);
  bool runOperatorAction(const Action& action);
  RouterEngine& engineByNumber(const std::string& number);
  void crashEngine(RouterEngine& engine, Duration downtime);
  void replaceEngine(RouterEngine& engine);
  void replaceAllEngines(Duration gap);

  RouterScenario scenario_;
  Options options_;
  std::vector<std::unique_ptr<RouterEngine>> engines_;  // the store last
  bool listUnavailable_ = false;
  MonotonicTime listAvailableSince_{};
  std::deque<std::pair<MonotonicTime, std::vector<Engine>>>
      engineLists_;  // past lists of the platform
  std::deque<MonotonicTime> listCalls_;
  std::map<std::pair<const RouterProcess*, std::uint64_t>, AttemptPointer> attempts_;  // by attempt
  std::vector<std::weak_ptr<RouterAttempt>> allAttempts_;
  std::unique_ptr<RouterChecker> checker_;
  std::unique_ptr<RouterClients> clients_;
  std::unique_ptr<RouterOperators> operators_;
};

/// How long before the traffic simulated time begins.
inline constexpr Duration kRouterWarmUp = seconds(8);

}  // namespace peppergate
