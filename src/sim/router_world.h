#pragma once
// A simulated fleet of routers: time, network, disks, engines, the platform's list, operators and
// clients around the real machines.
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "requests/router_node.h"
#include "sim/batch_engine.h"
#include "sim/router_scenario.h"

namespace peppergate {

/// One daemon with its machine's clock and disk.
struct RouterProcess {
  std::string host;
  Address address;
  Role role = Role::kFront;
  Zone zone;
  std::unique_ptr<Node> node;
  bool alive = false, frozen = false;
  bool stopping = false;  // it was told to leave
  MonotonicTime stoppedAt = kForever;
  MonotonicTime reloadedAt = kNever;  // it was last told to read its settings again
  Duration clock;                     // where its boot clock stood when the simulated time was 0
  double rate = 1;                    // how fast its boot clock goes
  std::uint64_t life = 0;
  std::map<std::string, std::string> disk;
  std::vector<std::function<void()>> held;  // what arrives while it is frozen
  MonotonicTime disturbed{};                // when it last began, froze, woke or was cut off
  bool bootstraps = true;                   // until it loses its first disk
  bool born = false;
  MonotonicTime local(MonotonicTime now) const {
    return MonotonicTime{} + clock + (now - MonotonicTime{}) * rate;
  }
  RouterNode& router() const { return static_cast<RouterNode&>(*node); }
  CoreNode& core() const { return static_cast<CoreNode&>(*node); }
};

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

/// Example: `RouterWorld world(scenario, 7); world.run(); world.checker().failures()`.
class RouterWorld {
 public:
  RouterWorld(const RouterScenario& scenario, std::uint64_t seed);
  ~RouterWorld();

  /// Runs warm-up, traffic, faults and the end. Example: see the class.
  void run();
  MonotonicTime now() const { return now_; }
  Random& random() { return random_; }
  const RouterScenario& scenario() const { return scenario_; }
  const Options& options() const { return options_; }
  RouterClients& clients() { return *clients_; }
  RouterChecker& checker() { return *checker_; }
  RouterOperators& operators() { return *operators_; }
  std::vector<std::unique_ptr<RouterProcess>>& processes() { return processes_; }
  std::vector<std::unique_ptr<RouterEngine>>& engines() { return engines_; }

  /// Does something later. Example: `world.after(milliseconds(5), [] { ... });`
  void after(Duration delay, std::function<void()> what);
  /// Gives an event to a process, now or once it thaws. Example: `deliver(process, Ticked{})`.
  void deliver(RouterProcess& process, const Event& event);
  /// Whether two hosts hear each other. Example: `reachable("core1", "router2")`.
  bool reachable(const std::string& one, const std::string& other) const;
  /// Whether a router that was told to leave takes no new connections any more.
  bool closed(const RouterProcess& process) const;
  RouterProcess* leader();
  Duration latency();
  /// The fleet's first configuration. Example: the operators' base.
  Json firstConfig() const;
  /// Whether a process was left alone for so long. Example: `inTouch(router, seconds(5))`.
  bool inTouch(const RouterProcess& process, Duration since) const;
  /// When core machines were last disturbed. Example: roll-outs are judged on calm ones.
  MonotonicTime coreDisturbed() const { return coreDisturbed_; }

  /// Since when the platform's list can be had; never while it can't. Example: for drains.
  MonotonicTime listedSince() const { return listDown_ ? kForever : listedSince_; }

  // Faults, in router_faults.cc.
  void act(const RouterAction& action);
  void start(RouterProcess& process);
  void kill(RouterProcess& process, bool planned = false);
  void crash(RouterEngine& engine, Duration until);
  void release(RouterEngine& engine);
  void stop(RouterProcess& process);
  void reload(RouterProcess& process);

 private:
  struct Item {
    MonotonicTime at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Item& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  friend struct RouterCommandRunner;
  using RunPointer = std::shared_ptr<RouterRun>;
  void tickAll();
  // Commands, in router_commands.cc.
  void runCommands(RouterProcess& process);
  void send(RouterProcess& from, const Send& command);
  void write(RouterProcess& process, const WriteFile& command);
  void dropOlder(RouterProcess& process, const DropOlder& command);
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
  std::vector<RouterProcess*> targets(const std::vector<std::string>& words);

  RouterScenario scenario_;
  Random random_;
  Options options_;
  MonotonicTime now_;
  std::uint64_t orders_ = 0;
  std::priority_queue<Item> queue_;
  std::vector<std::unique_ptr<RouterProcess>> processes_;
  std::vector<std::unique_ptr<RouterEngine>> engines_;  // the store last
  std::vector<Address> seeds_;
  std::map<std::string, int> groups_;
  std::map<std::string, RouterProcess*> roles_;
  int lastGroup_ = 0;
  double loss_ = 0.002, late_ = 1.0 / 300;
  bool listDown_ = false;
  MonotonicTime listedSince_{};
  std::deque<std::pair<MonotonicTime, std::vector<Engine>>> lists_;  // what the platform had when
  std::deque<MonotonicTime> listCalls_;
  std::map<std::pair<const RouterProcess*, std::uint64_t>, RunPointer> runs_;  // by attempt
  std::vector<std::weak_ptr<RouterRun>> allRuns_;
  MonotonicTime coreDisturbed_{};
  std::unique_ptr<RouterChecker> checker_;
  std::unique_ptr<RouterClients> clients_;
  std::unique_ptr<RouterOperators> operators_;
};

/// Simulated time begins so long before the traffic.
inline constexpr Duration kRouterWarmUp = seconds(8);

}  // namespace peppergate
