#pragma once
// The parts of a simulated deployment that don't depend on the client interface: time, machines
// with their disks and clocks, the network between them, and fault injection.
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/event_queue.h"
#include "sim/scenario_reader.h"
#include "sim/sim_network.h"
#include "sim/sim_process.h"

namespace peppergate {

/// The machines of one deployment under one seed. A derived world adds engines, clients and
/// operators. Not thread-safe. The same seed reproduces a run exactly.
class SimCluster {
 public:
  virtual ~SimCluster();
  SimCluster(const SimCluster&) = delete;
  SimCluster& operator=(const SimCluster&) = delete;

  MonotonicTime now() const { return queue_.now(); }
  Random& random() { return random_; }
  SimNetwork& network() { return network_; }
  std::vector<std::unique_ptr<SimProcess>>& processes() { return processes_; }

  /// Schedules an action after a delay.
  void scheduleAfter(Duration delay, std::function<void()> action) {
    queue_.scheduleAfter(delay, std::move(action));
  }
  /// Whether messages of one host reach another now.
  bool reachable(const std::string& from, const std::string& to) const {
    return network_.reachable(from, to);
  }
  /// Draws a one-way network latency.
  Duration drawLatency() { return network_.drawLatency(); }
  /// Delivers an event to a process: now, when it thaws, or when a slowed process gets to it.
  void deliver(SimProcess& process, const Event& event);
  /// The core that is the leader; null if there is none.
  SimProcess* leader();
  /// The process that listens at an address; null if there is none.
  SimProcess* processAt(const Address& address);
  /// The process of a role with a number, counted from 1; null if there is none.
  SimProcess* processOf(Role role, int number);
  /// When a core machine was last disturbed; some checks, such as those of rollouts, need
  /// undisturbed cores.
  MonotonicTime coreDisturbedAt() const { return coreDisturbedAt_; }

  /// Starts a process that isn't running from the files on its disk.
  void start(SimProcess& process);
  /// Ends a process at once; its files stay as they are. `planned`: it was asked to exit.
  void kill(SimProcess& process, bool planned = false);
  /// Ends a process and simulates a power loss of its disk.
  void losePower(SimProcess& process);
  /// Ends a process and empties its disk.
  void wipe(SimProcess& process);
  /// Replaces a process's machine by a new one with an empty disk and another address.
  void replace(SimProcess& process);
  /// Asks a process to exit: it ends once it has drained, or after the grace time.
  void stop(SimProcess& process);

  /// The number and bytes of messages between processes so far.
  std::uint64_t messages() const { return messages_; }
  std::uint64_t messageBytes() const { return messageBytes_; }
  std::uint64_t bytesBetween(MonotonicTime from, MonotonicTime to) const;

 protected:
  SimCluster(std::uint64_t seed, MonotonicTime begin);

  // Implemented by each world.
  /// The scenario word for request-serving processes: "front" or "router".
  virtual std::string routerWord() const = 0;
  virtual std::unique_ptr<Node> makeNode(SimProcess& process, const MemberRecord& self,
                                         const DiskContents& found, const Bootstrap& bootstrap) = 0;
  virtual Bootstrap bootstrapOf(const SimProcess& process) const = 0;
  virtual void runCommands(SimProcess& process) = 0;
  /// Called after a process ended and its node was destroyed.
  virtual void handleProcessEnd(SimProcess& process, bool planned) = 0;
  virtual void handleUnreadableFrame(const std::string& host) = 0;
  /// Whether a process that was asked to exit may end now.
  virtual bool mayExit(const SimProcess& process) const {
    return process.node->drained(process.localTime(now()));
  }
  /// Makes a process reload its settings.
  virtual void reload(SimProcess& process) = 0;
  virtual Duration graceTime() const = 0;

  SimProcess& addProcess(Role role, int number, const Zone& zone);
  /// Adds a core machine; a spare one isn't started at first and never founds a fleet.
  void addCore(int number, const Zone& zone, bool spare);
  /// Carries out an action on machines, disks, clocks or the network; returns false for other
  /// verbs.
  bool runMachineAction(Verb verb, const std::vector<std::string>& words);
  /// The processes that words of a scenario name: "core 2", "primary", "cores", "all", ...
  std::vector<SimProcess*> processesNamed(const std::vector<std::string>& words);
  /// The hosts that a list of such words names, including engines and "platform".
  std::vector<std::string> hostsNamed(const std::vector<std::string>& words);
  /// Records that a process was disturbed now.
  void noteDisturbance(SimProcess& process);
  /// Starts all processes but the spares, in random order within `spread`.
  void startAll(Duration spread);
  /// Ticks each process and ends those that have drained.
  void tickProcesses();

  // Commands of processes.
  /// Prints a process's log line if PEPPERGATE_SIM_LOG is set.
  void printLog(const SimProcess& process, const LogState& command) const;
  void send(SimProcess& from, const Send& command);
  void broadcast(SimProcess& from, const Broadcast& command);
  void write(SimProcess& process, const WriteFile& command) { process.diskTask->write(command); }
  void removeOlderFiles(SimProcess& process, const RemoveOlderFiles& command) {
    process.diskTask->removeOlderFiles(command);
  }

  EventQueue queue_;
  Random random_;
  SimNetwork network_;
  std::vector<std::unique_ptr<SimProcess>> processes_;
  std::vector<Address> seeds_;

 private:
  struct Frame;
  DiskContents load(SimProcess& process, const Bootstrap& bootstrap);
  void sendToSelf(SimProcess& process, const Message& message);
  void transmitFrame(SimProcess& from, const Address& receiver,
                     const std::shared_ptr<const std::string>& bytes);
  void deliverFrame(const std::shared_ptr<Frame>& frame);
  void countBytes(std::size_t bytes);
  void handle(SimProcess& process, const Event& event);
  void enqueue(SimProcess& process, const Event& event);
  void serveBacklog(SimProcess& process, Duration delay);
  void thaw(SimProcess& process);
  void updateRoles();
  bool runNetworkAction(Verb verb, const std::vector<std::string>& words);
  bool runProcessAction(Verb verb, SimProcess& process, const std::vector<std::string>& words);
  void setDisk(const std::vector<std::string>& words);
  void setSeeds(const std::vector<std::string>& words);
  void cutOneWay(const std::vector<std::string>& words);
  void noteDisturbances(const std::vector<std::string>& hosts);

  std::map<std::string, SimProcess*>
      roles_;  // processes by their role under the current or last leader
  MonotonicTime begin_;
  MonotonicTime coreDisturbedAt_{};
  std::uint64_t messages_ = 0, messageBytes_ = 0;
  std::vector<std::uint64_t> bytesBySecond_;
};

}  // namespace peppergate
