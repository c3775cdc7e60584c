#pragma once
// A simulated fleet of routers: time, network, disks, engines, the platform's list, operators and
// clients around the real machines.
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

/// A process of this world: a router or a core machine's daemon.
using RouterProcess = SimProcess;

/// An engine's or the store's process with its troubles.
struct RouterEngine {
  std::string host;
  Address address;
  ServiceName service;
  ModelName modelName;
  Zone zone;
  std::unique_ptr<BatchEngine> model;
  bool alive = true, listed = true, draining = false, dark = false, store = false;
  std::string garble;  // how its answers go wrong; empty: they don't
  double slow = 1;
  std::uint64_t life = 1;
  MonotonicTime drainingSince = kForever;  // as the list's readers could see it
  MonotonicTime since{};                   // of this life
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
  bool taken = false;  // by the engine, which has not ended it yet
  bool over = false;   // nothing more reaches the router
  bool garbles = false;
  int events = 0;
  MonotonicTime lastTurn{};  // its turns keep their order
  bool paused = false;
  std::vector<AttemptTurned> waiting;  // what came while it was paused
};

class RouterClients;
class RouterChecker;
class RouterOperators;

/// A simulated fleet of routers.
class RouterWorld : public SimCluster {
 public:
  RouterWorld(const RouterScenario& scenario, std::uint64_t seed);
  ~RouterWorld() override;

  /// Runs warm-up, traffic, faults and the end.
  void run();
  const RouterScenario& scenario() const { return scenario_; }
  const Options& options() const { return options_; }
  RouterClients& clients() { return *clients_; }
  RouterChecker& checker() { return *checker_; }
  RouterOperators& operators() { return *operators_; }
  std::vector<std::unique_ptr<RouterEngine>>& engines() { return engines_; }

  /// The fleet's first configuration.
  Json firstConfig() const;
  /// Whether a process, and the core machines, were left alone for so long.
  bool inTouch(const RouterProcess& process, Duration since);
  /// Whether a router that was told to leave takes no new connections any more.
  bool closed(const RouterProcess& process) const;
  /// Since when the platform's list can be had; never while it can't.
  MonotonicTime listedSince() const { return listDown_ ? kForever : listedSince_; }

 private:
  friend struct RouterCommandRunner;
  using RunPointer = std::shared_ptr<RouterRun>;
  void tickAll();
  // Of the cluster.
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
  // Engines and their list, in router_engines.cc.
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
  std::deque<std::pair<MonotonicTime, std::vector<Engine>>> lists_;  // what the platform had when
  std::deque<MonotonicTime> listCalls_;
  std::map<std::pair<const RouterProcess*, std::uint64_t>, RunPointer> runs_;  // by attempt
  std::vector<std::weak_ptr<RouterRun>> allRuns_;
  std::unique_ptr<RouterChecker> checker_;
  std::unique_ptr<RouterClients> clients_;
  std::unique_ptr<RouterOperators> operators_;
};

/// Simulated time begins so long before the traffic.
inline constexpr Duration kRouterWarmUp = seconds(8);

}  // namespace peppergate
