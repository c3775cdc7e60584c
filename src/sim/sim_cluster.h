#pragma once
// What every simulated deployment shares, whatever its clients speak: time, machines with their
// disks and clocks, the network between them, and the faults that befall them.
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/event_queue.h"
#include "sim/scenario_reader.h"
#include "sim/sim_network.h"
#include "sim/sim_process.h"

namespace peppergate {

/// The machines of one deployment under one seed. A world derives from it and adds engines, clients
/// and operators. Not thread-safe; the same seed replays exactly.
class SimCluster {
 public:
  virtual ~SimCluster();
  SimCluster(const SimCluster&) = delete;
  SimCluster& operator=(const SimCluster&) = delete;

  MonotonicTime now() const { return queue_.now(); }
  Random& random() { return random_; }
  SimNetwork& network() { return network_; }
  std::vector<std::unique_ptr<SimProcess>>& processes() { return processes_; }

  /// Does something later.
  void after(Duration delay, std::function<void()> what) { queue_.after(delay, std::move(what)); }
  /// Whether what one host says reaches another now.
  bool reachable(const std::string& from, const std::string& to) const {
    return network_.reachable(from, to);
  }
  /// Draws the time of one way through the network.
  Duration latency() { return network_.latency(); }
  /// Gives an event to a process: now, once it thaws, or when a slowed one comes to it.
  void deliver(SimProcess& process, const Event& event);
  /// The core that leads now; null where none does.
  SimProcess* leader();
  /// The process that listens at an address; null where none does.
  SimProcess* processAt(const Address& address);
  /// The process of a role with a number from 1 on; null where there is none.
  SimProcess* processOf(Role role, int number);
  /// When core machines were last disturbed: roll-outs, for one, are judged on calm ones.
  MonotonicTime coreDisturbed() const { return coreDisturbed_; }

  /// Starts a process that isn't alive, from what its disk holds.
  void start(SimProcess& process);
  /// Ends a process at once. Its files stay as they are. `planned`: it was told to go.
  void kill(SimProcess& process, bool planned = false);
  /// Ends a process and takes from its disk what no sync covered.
  void losePower(SimProcess& process);
  /// Ends a process and empties its disk.
  void wipe(SimProcess& process);
  /// A process's machine is gone for good and another takes its place, empty, at a new address.
  void replace(SimProcess& process);
  /// Tells a process to leave; it ends once it has drained, or after the time of grace.
  void stop(SimProcess& process);

  /// Messages between processes and their bytes so far.
  std::uint64_t messages() const { return messages_; }
  std::uint64_t messageBytes() const { return messageBytes_; }
  std::uint64_t bytesAt(MonotonicTime from, MonotonicTime to) const;

 protected:
  SimCluster(std::uint64_t seed, MonotonicTime begin);

  // What differs between worlds.
  /// What fronts are called: "front" or "router".
  virtual std::string frontWord() const = 0;
  virtual std::unique_ptr<Node> makeNode(SimProcess& process, const MemberRecord& self,
                                         const DiskFound& found, const Bootstrap& bootstrap) = 0;
  virtual Bootstrap bootstrapOf(const SimProcess& process) const = 0;
  virtual void runCommands(SimProcess& process) = 0;
  /// A process ended; it has no node any more.
  virtual void processEnded(SimProcess& process, bool planned) = 0;
  virtual void frameUnreadable(const std::string& host) = 0;
  /// Whether a process that was told to leave may end now.
  virtual bool hasEnded(const SimProcess& process) const {
    return process.node->drained(process.local(now()));
  }
  /// A process reads its settings again.
  virtual void reload(SimProcess& process) = 0;
  virtual Duration graceTime() const = 0;

  SimProcess& addProcess(Role role, int number, const Zone& zone);
  /// A core machine; a spare one is off at first and doesn't found.
  void addCore(int number, const Zone& zone, bool spare);
  /// Carries out a fault of machines, disks, clocks or the network; false if the verb is none of
  /// these.
  bool actOnMachines(Verb verb, const std::vector<std::string>& words);
  /// The processes that words name: "core 2", "primary", "cores", "all", ...
  std::vector<SimProcess*> targets(const std::vector<std::string>& words);
  /// The hosts that a list of such words names, engines and "platform" among them.
  std::vector<std::string> hostsIn(const std::vector<std::string>& words);
  /// Notes that a process was disturbed just now.
  void touch(SimProcess& process);
  /// Starts all but the spare ones, within `spread` of each other and in any order.
  void startAll(Duration spread);
  /// A tick of each process; those that have drained end.
  void tickProcesses();

  // Commands of processes.
  /// Prints what a process notes, where PEPPERGATE_SIM_LOG is set.
  void noteState(const SimProcess& process, const NoteState& command) const;
  void send(SimProcess& from, const Send& command);
  void broadcast(SimProcess& from, const Broadcast& command);
  void write(SimProcess& process, const WriteFile& command) { process.diskTask->write(command); }
  void dropOlder(SimProcess& process, const DropOlder& command) {
    process.diskTask->dropOlder(command);
  }

  EventQueue queue_;
  Random random_;
  SimNetwork network_;
  std::vector<std::unique_ptr<SimProcess>> processes_;
  std::vector<Address> seeds_;

 private:
  struct Frame;
  DiskFound load(SimProcess& process, const Bootstrap& bootstrap);
  void sendToSelf(SimProcess& process, const Message& message);
  void transmit(SimProcess& from, const Address& receiver,
                const std::shared_ptr<const std::string>& bytes);
  void arrive(const std::shared_ptr<Frame>& frame);
  void countBytes(std::size_t bytes);
  void handle(SimProcess& process, const Event& event);
  void enqueue(SimProcess& process, const Event& event);
  void serveBacklog(SimProcess& process, Duration delay);
  void thaw(SimProcess& process);
  void noteRoles();
  bool actOnNetwork(Verb verb, const std::vector<std::string>& words);
  bool actOnProcess(Verb verb, SimProcess& process, const std::vector<std::string>& words);
  void setDisk(const std::vector<std::string>& words);
  void setSeeds(const std::vector<std::string>& words);
  void oneWay(const std::vector<std::string>& words);
  void touchHosts(const std::vector<std::string>& hosts);

  std::map<std::string, SimProcess*> roles_;  // who has a role, or had it when somebody last led
  MonotonicTime begin_;
  MonotonicTime coreDisturbed_{};
  std::uint64_t messages_ = 0, messageBytes_ = 0;
  std::vector<std::uint64_t> bytesBySecond_;
};

}  // namespace peppergate
