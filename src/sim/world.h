#pragma once
// A simulated deployment of the streaming interface: the real node state machines on simulated
// time, network and disks, with fault injection.
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/engine_model.h"
#include "sim/scenario.h"
#include "sim/sim_cluster.h"

namespace peppergate {

struct SimEngine {
  std::string host;
  Address address;
  EngineEntry entry;
  std::unique_ptr<EngineModel> model;
  bool alive = true;
  bool listed = true;
  double linkFactor = 1;
  Duration reportDelay;  // added to the answers of /kept
  bool reportsOff = false;
  std::string garble;  // corruption of answers: repeat, skip, foreign or early
  std::uint64_t life = 0;
  double fetching = 0;  // sum of the current fetch rates on its link, megabytes per second
};

/// A change that an operator requested, with its outcome.
struct SimChange {
  std::string id;
  Json body;
  MonotonicTime asked, done = kForever;
  MonotonicTime lastAsked{};  // of the attempt that was answered
  int tries = 0;
  std::string outcome;  // empty while the change is pending
  SectionVersion version;
  std::string tenant;  // that the change adds
  std::string key;     // that the change withdraws
  bool retry = true;
  MonotonicTime nextTry{};
  std::uint64_t ticket = 0;
};

/// Statistics of the prefix fetches of a simulation run.
struct FetchFigures {
  double count = 0;
  double over = 0;    // fetches that began while a link on the path was overbooked
  double excess = 0;  // sum over those of the booked rate above the capacity, in capacities
  double took = 0;    // sum of the durations in seconds
  double megabytes = 0;
  double rates = 0;  // sum of the requested rates
};

class Callers;
class Checker;

/// A simulated fleet of routers, with engines, a store, clients and operators.
class World : public SimCluster {
 public:
  World(const Scenario& scenario, std::uint64_t seed);
  ~World() override;

  /// Runs the whole scenario: warm-up, traffic with faults, and the final checks.
  void run();
  const Scenario& scenario() const { return scenario_; }
  Checker& checker() { return *checker_; }
  Callers& callers() { return *callers_; }
  std::vector<std::unique_ptr<SimEngine>>& engines() { return engines_; }
  const std::vector<std::unique_ptr<SimEngine>>& engines() const { return engines_; }
  SimEngine& store() { return *engines_.back(); }

  // Operators' changes.
  void change(Json body, bool retry = true, const std::string& tenant = {},
              const std::string& key = {});
  std::vector<SimChange>& changes() { return changes_; }

 private:
  struct Run {
    SimProcess* process;
    std::uint64_t processLife;
    ShotId shot;
    std::size_t engine;
    std::uint64_t engineLife;
    RunAsk ask;
    bool ended = false;
    std::vector<double*> fetching;
    double rate = 0;
  };
  friend struct CommandRunner;
  // SimCluster:
  std::string frontWord() const override { return "front"; }
  std::unique_ptr<Node> makeNode(SimProcess& process, const MemberRecord& self,
                                 const DiskFound& found, const Bootstrap& bootstrap) override;
  Bootstrap bootstrapOf(const SimProcess& process) const override;
  void runCommands(SimProcess& process) override;
  void processEnded(SimProcess& process, bool planned) override;
  void frameUnreadable(const std::string& host) override;
  void reload(SimProcess& process) override { process.node->reload(options_); }
  Duration graceTime() const override { return options_.graceTime; }

  void killEngine(SimEngine& engine);
  void breakRuns(const std::function<bool(std::size_t engine, const SimProcess&)>& which);
  void callWeb(SimProcess& process, const CallWeb& command);
  WebAnswered answerWeb(const std::string& host, const CallWeb& command);
  void openShot(SimProcess& process, const OpenShot& command);
  void arriveRun(const std::shared_ptr<Run>& run);
  void generate(const std::shared_ptr<Run>& run, Piece piece);
  void endRun(const std::shared_ptr<Run>& run, ShotTurn turn, int status = 0);
  void turnShot(const std::shared_ptr<Run>& run, ShotTurned turned);
  void cancelShot(SimProcess& process, ShotId shot);
  void answeredOperator(const AnswerWeb& answer);
  void askOperators();
  void tickAll();
  void findWaysToList();
  void firstSetup();
  SimEngine* engineAt(const Address& address);
  std::string hostAt(const Address& address);
  std::string listText() const;
  void raiseList() { ++listVersion_; }
  // Actions of the scenario, in world_actions.cc.
  void act(const Action& action);
  bool actOnEngine(const Action& action);
  bool actAsOperator(const Action& action);
  SimEngine& engineOf(const std::vector<std::string>& words);
  void stamp(const std::string& tenant);
  void race();
  void storm(int changes);
  void large(std::size_t bytes);
  void namedToEngines(WeightsVersion version);

  Scenario scenario_;
  std::vector<std::unique_ptr<SimEngine>> engines_;  // the store is last
  std::vector<std::shared_ptr<Run>> runs_;
  std::vector<SimChange> changes_;
  std::map<std::string, double> rackFetching_;
  std::uint64_t listVersion_ = 1;
  std::uint64_t lastTicket_ = 1'000'000'000;
  int stamps_ = 0;
  Options options_;
  std::unique_ptr<Checker> checker_;
  std::unique_ptr<Callers> callers_;
  FetchFigures fetchFigures_;

 public:
  const FetchFigures& fetchFigures() const { return fetchFigures_; }
};

}  // namespace peppergate
