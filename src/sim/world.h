#pragma once
// A simulated deployment: time, network, disks and faults, with the real machines inside.
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "core/front_node.h"
#include "sim/engine_model.h"
#include "sim/scenario.h"

namespace peppergate {

enum class DiskMode : std::uint8_t { kGood, kSlow, kStalled, kFailing, kFull };

/// One daemon with its machine's clock and disk.
struct SimProcess {
  std::string host;
  Address address;
  Role role = Role::kFront;
  Zone zone;
  std::unique_ptr<Node> node;
  bool alive = false;
  bool frozen = false;
  Duration clock;   // where its boot clock stood when the simulated time was 0
  double rate = 1;  // how fast its boot clock goes
  /// Its own boot clock. Example: `process.local(world.now())`.
  MonotonicTime local(MonotonicTime now) const {
    return MonotonicTime{} + clock + (now - MonotonicTime{}) * rate;
  }
  std::uint64_t life = 0;
  std::map<std::string, std::string> disk;
  DiskMode diskMode = DiskMode::kGood;
  std::vector<Event> held;  // what arrives while it is frozen
  MonotonicTime disturbed{};
  MonotonicTime withoutList = kNever;  // when last no chain of members led to the platform
  bool bootstraps = true;              // until it loses its first disk
  bool born = false;                   // it had its first disk
  bool leaving = false;
  bool spare = false;  // off until it is started
};

struct SimEngine {
  std::string host;
  Address address;
  EngineEntry entry;
  std::unique_ptr<EngineModel> model;
  bool alive = true;
  bool listed = true;
  double linkFactor = 1;
  Duration reportDelay;  // reports come so late
  bool reportsOff = false;
  std::string garble;  // repeat, skip, foreign, early: how its answers go wrong
  std::uint64_t life = 0;
  double fetching = 0;  // rates now on its link, megabytes a second
};

/// What an operator asked for and heard.
struct SimChange {
  std::string id;
  Json body;
  MonotonicTime asked, done = kForever;
  MonotonicTime lastAsked{};  // the try that was answered
  int tries = 0;
  std::string outcome;  // empty while open
  SectionVersion version;
  std::string tenant;  // a stamp's
  std::string key;     // a withdrawal's
  bool retry = true;
  MonotonicTime nextTry{};
  std::uint64_t ticket = 0;
};

/// How the fetches of a run went on the links.
struct FetchFigures {
  double count = 0;
  double over = 0;    // began while a link on the path was asked for more than its size
  double excess = 0;  // sum over those of what was asked above the size, in sizes
  double took = 0;    // seconds
  double megabytes = 0;
  double rates = 0;  // sum of the rates that were asked for
};

class Callers;
class Checker;

/// Example: `World world(scenario, 7); world.run(); world.checker().failures()`.
class World {
 public:
  World(const Scenario& scenario, std::uint64_t seed);
  ~World();

  /// Runs warm-up, traffic, faults and the end. Example: see the class.
  void run();
  MonotonicTime now() const { return now_; }
  Random& random() { return random_; }
  const Scenario& scenario() const { return scenario_; }
  Checker& checker() { return *checker_; }
  Callers& callers() { return *callers_; }

  /// Does something later. Example: `world.after(milliseconds(5), [] { ... });`
  void after(Duration delay, std::function<void()> what);
  /// Whether two hosts hear each other. Example: `reachable("core1", "front2")`.
  bool reachable(const std::string& one, const std::string& other) const;
  /// Gives an event to a process, now or once it thaws. Example: `deliver(process, Ticked{})`.
  void deliver(SimProcess& process, const Event& event);
  std::vector<std::unique_ptr<SimProcess>>& processes() { return processes_; }
  std::vector<std::unique_ptr<SimEngine>>& engines() { return engines_; }
  const std::vector<std::unique_ptr<SimEngine>>& engines() const { return engines_; }
  SimEngine& store() { return *engines_.back(); }
  SimProcess* processAt(const Address& address);
  SimProcess* front(int number);
  SimProcess* core(int number);
  SimProcess* leader();
  Duration latency();
  std::string listText() const;
  void raiseList() { ++listVersion_; }

  // Faults and operators, called by the scenario's actions.
  void start(SimProcess& process);
  Bootstrap bootstrapOf(const SimProcess& process) const;
  void kill(SimProcess& process);
  void act(const Action& action);
  void change(Json body, bool retry = true, const std::string& tenant = {},
              const std::string& key = {});
  std::vector<SimChange>& changes() { return changes_; }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t messageBytes() const { return messageBytes_; }
  std::uint64_t bytesAt(MonotonicTime from, MonotonicTime to) const;

  // Called by the command runner.
  void runCommands(SimProcess& process);
  void killEngine(SimEngine& engine);
  void breakRuns(const std::function<bool(std::size_t engine, const SimProcess&)>& which);

 private:
  struct Item {
    MonotonicTime at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Item& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
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
  void send(SimProcess& from, const Send& command);
  void write(SimProcess& process, const WriteFile& command);
  void dropOlder(SimProcess& process, const DropOlder& command);
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
  std::vector<SimProcess*> targets(const std::vector<std::string>& words);
  SimProcess* inRole(const std::string& word);
  SimEngine* engineAt(const Address& address);
  std::string hostAt(const Address& address);
  std::vector<std::string> hostsIn(const std::vector<std::string>& words);
  void namedToEngines(WeightsVersion version);

  Scenario scenario_;
  Random random_;
  MonotonicTime now_{};
  std::uint64_t orders_ = 0;
  std::priority_queue<Item> queue_;
  std::vector<std::unique_ptr<SimProcess>> processes_;
  std::vector<std::unique_ptr<SimEngine>> engines_;  // the store last
  std::map<std::string, SimProcess*> roles_;
  double loss_ = 0.002, late_ = 0;
  std::map<std::string, int> groups_;
  int lastGroup_ = 0;
  std::set<std::pair<std::string, std::string>> parted_;  // pairs that don't hear each other
  std::vector<std::shared_ptr<Run>> runs_;
  std::vector<SimChange> changes_;
  std::map<std::string, double> rackFetching_;
  std::uint64_t listVersion_ = 1;
  std::uint64_t messages_ = 0, messageBytes_ = 0, lastTicket_ = 1'000'000'000;
  std::vector<std::uint64_t> bytesBySecond_;
  int stamps_ = 0;
  Options options_;
  std::vector<Address> seeds_;
  std::unique_ptr<Checker> checker_;
  std::unique_ptr<Callers> callers_;
  FetchFigures fetchFigures_;

 public:
  const FetchFigures& fetchFigures() const { return fetchFigures_; }
};

}  // namespace peppergate
