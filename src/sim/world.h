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
  bool reportsDisabled = false;
  std::string responseFault;  // corruption of answers: repeat, skip, foreign or early
  std::uint64_t incarnation = 0;
  double fetchRate = 0;  // sum of the current fetch rates on its link, megabytes per second
};

/// A change that an operator requested, with its outcome.
struct SimChange {
  std::string id;
  Json body;
  MonotonicTime requestedAt, acknowledgedAt = kForever;
  MonotonicTime lastAttemptAt{};  // of the attempt that was answered
  int attempts = 0;
  std::string outcome;  // empty while the change is pending
  SectionVersion version;
  std::string tenant;  // that the change adds
  std::string key;     // that the change withdraws
  bool retriesIfStale = true;
  MonotonicTime nextAttemptAt{};
  std::uint64_t ticket = 0;
};

/// Statistics of the prefix fetches of a simulation run.
struct FetchStatistics {
  double count = 0;
  double overbookedCount = 0;  // fetches that began while a link on the path was overbooked
  double excessSum = 0;   // sum over those of the booked rate above the capacity, in capacities
  double secondsSum = 0;  // sum of the durations in seconds
  double megabytes = 0;
  double rateSum = 0;  // sum of the requested rates
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
  void requestChange(Json body, bool retry = true, const std::string& tenant = {},
                     const std::string& key = {});
  std::vector<SimChange>& changes() { return changes_; }

 private:
  struct EngineRun {
    SimProcess* process;
    std::uint64_t processIncarnation;
    StreamAttemptId attempt;
    std::size_t engine;
    std::uint64_t engineIncarnation;
    RunRequest request;
    bool ended = false;
    std::vector<double*> linkFetchRates;
    double fetchRate = 0;
  };
  friend struct CommandRunner;
  // SimCluster:
  std::string routerWord() const override { return "front"; }
  std::unique_ptr<Node> makeNode(SimProcess& process, const MemberRecord& self,
                                 const DiskContents& found, const Bootstrap& bootstrap) override;
  Bootstrap bootstrapOf(const SimProcess& process) const override;
  void runCommands(SimProcess& process) override;
  void handleProcessEnd(SimProcess& process, bool planned) override;
  void handleUnreadableFrame(const std::string& host) override;
  void reload(SimProcess& process) override { process.node->reload(options_); }
  Duration graceTime() const override { return options_.graceTime; }

  void killEngine(SimEngine& engine);
  void breakRuns(const std::function<bool(std::size_t engine, const SimProcess&)>& which);
  void callHttp(SimProcess& process, const CallHttp& command);
  HttpCallAnswered answerHttp(const std::string& host, const CallHttp& command);
  void openAttempt(SimProcess& process, const OpenStreamAttempt& command);
  void beginRun(const std::shared_ptr<EngineRun>& run);
  void generatePiece(const std::shared_ptr<EngineRun>& run, PieceIndex piece);
  void endRun(const std::shared_ptr<EngineRun>& run, StreamAttemptEventKind kind, int status = 0);
  void sendAttemptEvent(const std::shared_ptr<EngineRun>& run, StreamAttemptEvent attemptEvent);
  void cancelAttempt(SimProcess& process, StreamAttemptId shot);
  void handleChangeReply(const AnswerHttp& answer);
  void sendDueChanges();
  void tickAll();
  void updateListReachability();
  void requestInitialSetup();
  SimEngine* engineByAddress(const Address& address);
  std::string hostAt(const Address& address);
  std::string engineListJson() const;
  void incrementListVersion() { ++listVersion_; }
  // Actions of the scenario, in world_actions.cc.
  void runAction(const Action& action);
  bool runEngineAction(const Action& action);
  bool runOperatorAction(const Action& action);
  SimEngine& engineByWords(const std::vector<std::string>& words);
  void requestTenantChange(const std::string& tenant);
  void requestRacingChanges();
  void requestKeyChanges(int changes);
  void requestLargeSetup(std::size_t bytes);
  void notifyEnginesOfWeights(WeightsVersion version);

  Scenario scenario_;
  std::vector<std::unique_ptr<SimEngine>> engines_;  // the store is last
  std::vector<std::shared_ptr<EngineRun>> runs_;
  std::vector<SimChange> changes_;
  std::map<std::string, double> rackFetchRates_;
  std::uint64_t listVersion_ = 1;
  std::uint64_t lastTicket_ = 1'000'000'000;
  int lastNameNumber_ = 0;
  Options options_;
  std::unique_ptr<Checker> checker_;
  std::unique_ptr<Callers> callers_;
  FetchStatistics fetchStatistics_;

 public:
  const FetchStatistics& fetchStatistics() const { return fetchStatistics_; }
};

}  // namespace peppergate
