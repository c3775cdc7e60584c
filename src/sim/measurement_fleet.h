#pragma once
// A fleet for cost measurements: many members in one process, with the real node state machines and
// the real codec on simulated time, but without client requests. It counts bytes, messages and
// processor time by message kind.
#include <array>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

#include "core/front_node.h"
#include "wire/frame.h"

namespace peppergate {

/// Kinds of events that a member handles besides messages from other members.
enum class MemberWorkKind : std::uint8_t { kTick = 0, kHttp, kOther };
inline constexpr std::size_t kMemberWorkKinds = 3;

/// The size of a fleet and its network delays.
struct MeasurementFleetOptions {
  int routers = 9;
  int cores = 4;
  int backups = 1;     // replicas that must have a change before it is acknowledged
  int voterSlots = 9;  // maximum number of voters; further cores wait for a free slot
  int regions = 2;
  int zones = 5;                  // assigned to the regions round-robin
  int engines = 0;                // 0: the platform serves no engine list
  int cachedBlocksPerEngine = 0;  // cached prefix blocks of each engine
  int tenants = 8;
  Duration reportInterval = seconds(1);  // how often an engine's cached blocks change
  Duration sameZoneDelay = Duration{300}, otherZoneDelay = milliseconds(1),
           otherRegionDelay = milliseconds(30);
  std::uint64_t seed = 1;
};

/// What one member sent, received and computed. Processor times are microseconds of this thread.
struct MemberCost {
  std::array<std::uint64_t, kMessageKinds> messagesOut{}, bytesOut{};
  std::array<double, kMessageKinds> encodeMicros{}, handleMicros{};
  std::array<double, kMemberWorkKinds> workMicros{};
  std::uint64_t messagesIn = 0, bytesIn = 0, httpCalls = 0, httpBytes = 0;
  /// Adds another member's counts.
  void add(const MemberCost& other);
  /// The sum of all processor times in microseconds.
  double totalMicros() const;
};

/// One member of the fleet.
struct MeasuredMember {
  Address address;
  Role role = Role::kRouter;
  int zone = 0;
  std::unique_ptr<Node> node;  // null while the member is down
  std::uint64_t incarnation = 0;
  std::map<std::string, std::string> disk;
  MemberCost cost;
  SectionVersions installedVersions;
  MonotonicTime installedAt{};
  MonotonicTime downSince{};
  std::vector<bool> knownMembers;  // live members by index, according to this member's log lines
};

/// Runs all members on one simulated clock and network and records what each of them costs.
class MeasurementFleet {
 public:
  explicit MeasurementFleet(const MeasurementFleetOptions& fleetOptions);

  /// Advances simulated time.
  void run(Duration span);
  MonotonicTime now() const { return now_; }
  std::size_t size() const { return members_.size(); }
  const MeasuredMember& member(std::size_t index) const { return *members_[index]; }
  const MemberCost& cost(std::size_t index) const { return members_[index]->cost; }
  /// The index of the core that is the leader, if any.
  std::optional<std::size_t> leaderIndex() const;
  /// The indices of the leader's backups.
  std::vector<std::size_t> backupIndices() const;

  /// Sends an operator's change request to a router.
  void requestChange(std::size_t front, Json body);
  /// The version of the last requested change once it was acknowledged.
  std::optional<SectionVersion> acknowledgedVersion() const { return acknowledgedVersion_; }
  MonotonicTime acknowledgedAt() const { return acknowledgedAt_; }
  const std::string& lastReply() const { return lastReply_; }
  /// When the last live member installed a version; nullopt while any live member lacks it.
  std::optional<MonotonicTime> installedEverywhereAt(const SectionVersion& version) const;

  /// Stops a member's process, or starts it again as a new incarnation with the same files.
  void stop(std::size_t index);
  void start(std::size_t index);
  /// Partitions these zones from all others; an empty list heals the network.
  void partitionZones(std::vector<int> zones) { partitionedZones_ = std::move(zones); }
  /// The zones of a region.
  std::vector<int> zonesOf(int region) const;
  /// Whether each live member knows exactly the other live members.
  bool membershipConverged() const;
  /// For each stop and each survivor, the seconds until the survivor logged the member as dead.
  const std::vector<double>& detectionSeconds() const { return detectionSeconds_; }
  /// How often a live, reachable member was declared dead.
  std::uint64_t falseDeaths() const { return falseDeaths_; }
  /// The sum of a counter over live members.
  std::uint64_t counter(std::string_view name) const;
  /// The share of live routers whose freshness proof is recent enough to admit new streams.
  double freshRouterShare() const;
  /// The summed costs of all members so far.
  MemberCost total() const;

 private:
  struct ScheduledItem {
    MonotonicTime at;
    std::uint64_t sequence;
    std::size_t to;
    std::uint64_t incarnation;
    std::size_t from;
    std::string frame;  // empty: `event` is delivered instead
    std::shared_ptr<Event> event;
    bool operator<(const ScheduledItem& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  friend struct MeasurementCommandRunner;
  void schedule(Duration delay, std::size_t to, Event event);
  void deliver(std::size_t index, const Event& event, double& cost);
  void handleItem(const ScheduledItem& item);
  void send(std::size_t from, const Send& command);
  void broadcast(std::size_t from, const Broadcast& command);
  std::string encode(std::size_t from, const Message& message);
  void transmit(std::size_t from, const Address& receiver, std::size_t kind, std::string frame);
  void write(std::size_t index, const WriteFile& command);
  void removeOlderFiles(std::size_t index, const RemoveOlderFiles& command);
  void callHttp(std::size_t index, const CallHttp& command);
  void handleReply(const AnswerHttp& command);
  void handleLogLine(std::size_t index, const std::string& text);
  bool canReach(const MeasuredMember& one, const MeasuredMember& other) const;
  Duration delay(const MeasuredMember& one, const MeasuredMember& other);
  std::string makeEngineList() const;
  std::string cachedBlocksJson(int engine) const;
  double elapsedMicros(double since) const;

  MeasurementFleetOptions fleetOptions_;
  Options options_;
  Random random_;
  MonotonicTime now_{};
  std::uint64_t scheduledItems_ = 0;
  double clockCost_ = 0;  // microseconds of one reading of the processor clock
  std::priority_queue<ScheduledItem> queue_;
  std::vector<std::unique_ptr<MeasuredMember>> members_;
  std::map<Address, std::size_t> byAddress_;
  std::vector<int> partitionedZones_;
  std::string engineListJson_;
  std::optional<SectionVersion> acknowledgedVersion_;
  MonotonicTime acknowledgedAt_{};
  std::string lastReply_;
  std::uint64_t lastTicket_ = 1'000'000'000;
  std::vector<double> detectionSeconds_;
  std::uint64_t falseDeaths_ = 0;
};

/// The change that applies an initial configuration with a number of tenants.
Json initialChange(int tenants, const std::string& basedOn);
/// A change that adds one tenant; `turn` makes its name unique.
Json addTenantChange(int turn, const std::string& basedOn);
/// Microseconds of processor time that this thread has used.
double threadMicros();

}  // namespace peppergate
