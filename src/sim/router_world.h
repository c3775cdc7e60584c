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
  std::unique_ptr<BatchEngine> model;
  bool alive = true, listed = true, draining = false, dark = false, store = false;
  std::string garble;  // fault of its responses, as the scenario names it; empty: none
  double slow = 1;
  std::uint64_t life = 1;
  MonotonicTime drainingSince = kForever;  // when readers of the list could first see it
  MonotonicTime since{};                   // when it last started
};

/// One attempt of a router at an engine.
struct RouterRun {
  RouterProcess* process = nullptr;
  std::uint64_t processLife = 0;
  OpenAttempt open;
  RequestArrived asked;
  RouterEngine* engine = nullptr;
  std::uint64_t engineLife = 0;
  BatchRun run;
  bool taken = false;  // the engine accepted it and has not ended it yet
  bool over = false;   // nothing more reaches the router
  bool garbles = false;
  int events = 0;
  MonotonicTime lastTurn{};  // when the last event arrives; later ones keep the order
  bool paused = false;
  std::vector<AttemptTurned> waiting;  // events held back while it is paused
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
  Json firstConfig() const;
  /// Whether a process is connected to the leader, and neither it nor the core machines were
  /// disturbed for longer than a given time.
  bool inTouch(const RouterProcess& process, Duration since);
  /// Whether a router that was told to stop accepts no new connections any more.
  bool closed(const RouterProcess& process) const;
  /// Since when the platform's list is available; kForever while it isn't.
  MonotonicTime listedSince() const { return listDown_ ? kForever : listedSince_; }

 private:
  friend struct RouterCommandRunner;
  using RunPointer = std::shared_ptr<RouterRun>;
  void tickAll();
  // Implementation of the cluster's interface.
  std::string frontWord() const override { return "router"; }
  std::unique_ptr<Node> makeNode(SimProcess& process, const MemberRecord& self,
                                 const DiskFound& found, const Bootstrap& bootstrap) override;
  Bootstrap bootstrapOf(const SimProcess&) const override { return {true, seeds_, 0}; }
  void processEnded(SimProcess& process, bool planned) override;
  void frameUnreadable(const std::string& host) override;
  bool hasEnded(const SimProcess& process) const override;
  void reload(SimProcess& process) override { process.node->reload(options_); }
  Duration graceTime() const override { return options_.graceTime; }
  // Commands, in router_commands.cc.
  void runCommands(SimProcess& process) override;
  void listEngines(RouterProcess& process, const ListEngines& command);
  template <class Answer>
  void callEngine(RouterProcess& process, const Address& address, Duration timeout,
                  MonotonicTime writeBefore, Answer none, std::function<Answer(RouterEngine&)> ask);
  // Attempts, in router_attempts.cc.
  void openAttempt(RouterProcess& process, const OpenAttempt& command);
  void pauseAttempt(RouterProcess& process, const PauseAttempt& command);
  void cancelAttempt(RouterProcess& process, AttemptId attempt);
  void arrive(const RunPointer& run);
  void answerWhole(const RunPointer& run);
  void streamNext(const RunPointer& run);
  void leaveEngine(const RunPointer& run);
  void breakOff(const RunPointer& run);
  void declineRun(const RunPointer& run, BatchVerdict verdict);
  void turn(const RunPointer& run, AttemptTurned turned);
  AttemptTurned headOf(const RunPointer& run, int status, bool success) const;
  void endRuns(const std::function<bool(const RouterRun&)>& which);
  // Engines and their list.
  RouterEngine* engineAt(const Address& address);
  void noteList();
  void reborn(RouterEngine& engine);
  // Actions, in router_faults.cc.
  void act(const Action& action);
  bool actOnEngine(const Action& action);
  bool actOnAllEngines(const Action& action);
  bool actAsOperator(const Action& action);
  RouterEngine& engineOf(const std::string& number);
  void crash(RouterEngine& engine, Duration until);
  void release(RouterEngine& engine);
  void releaseAll(Duration gap);

  RouterScenario scenario_;
  Options options_;
  std::vector<std::unique_ptr<RouterEngine>> engines_;  // the store last
  bool listDown_ = false;
  MonotonicTime listedSince_{};
  std::deque<std::pair<MonotonicTime, std::vector<Engine>>> lists_;  // past lists of the platform
  std::deque<MonotonicTime> listCalls_;
  std::map<std::pair<const RouterProcess*, std::uint64_t>, RunPointer> runs_;  // by attempt
  std::vector<std::weak_ptr<RouterRun>> allRuns_;
  std::unique_ptr<RouterChecker> checker_;
  std::unique_ptr<RouterClients> clients_;
  std::unique_ptr<RouterOperators> operators_;
};

/// How long before the traffic simulated time begins.
inline constexpr Duration kRouterWarmUp = seconds(8);

}  // namespace peppergate
