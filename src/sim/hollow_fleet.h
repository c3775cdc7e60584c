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
enum class HollowWork : std::uint8_t { kTick = 0, kWeb, kOther };
inline constexpr std::size_t kHollowWorks = 3;

/// The size of a fleet and its network delays.
struct HollowShape {
  int fronts = 9;
  int cores = 4;
  int backups = 1;     // replicas that must have a change before it is acknowledged
  int voterSlots = 9;  // maximum number of voters; further cores wait for a free slot
  int regions = 2;
  int zones = 5;      // assigned to the regions round-robin
  int engines = 0;    // 0: the platform serves no engine list
  int keptParts = 0;  // cached prefix blocks of each engine
  int tenants = 8;
  Duration reportEvery = seconds(1);  // how often an engine's cached blocks change
  Duration nearDelay = Duration{300}, zoneDelay = milliseconds(1), regionDelay = milliseconds(30);
  std::uint64_t seed = 1;
};

/// What one member sent, received and computed. Processor times are microseconds of this thread.
struct HollowCost {
  std::array<std::uint64_t, kMessageKinds> messages{}, bytes{};
  std::array<double, kMessageKinds> sending{}, taking{};
  std::array<double, kHollowWorks> work{};
  std::uint64_t messagesIn = 0, bytesIn = 0, webCalls = 0, webBytes = 0;
  /// Adds another member's counts.
  void add(const HollowCost& other);
  /// The sum of all processor times in microseconds.
  double micros() const;
};

/// One member of the fleet.
struct HollowMember {
  Address address;
  Role role = Role::kFront;
  int zone = 0;
  std::unique_ptr<Node> node;  // null while the member is down
  std::uint64_t life = 0;
  std::map<std::string, std::string> disk;
  HollowCost cost;
  SectionVersions have;
  MonotonicTime haveSince{};
  MonotonicTime downSince{};
  std::vector<bool> knows;  // live members by index, according to this member's log lines
};

/// Runs all members on one simulated clock and network and records what each of them costs.
class HollowFleet {
 public:
  explicit HollowFleet(const HollowShape& shape);

  /// Advances simulated time.
  void run(Duration span);
  MonotonicTime now() const { return now_; }
  std::size_t size() const { return members_.size(); }
  const HollowMember& member(std::size_t index) const { return *members_[index]; }
  const HollowCost& cost(std::size_t index) const { return members_[index]->cost; }
  /// The index of the core that is the leader, if any.
  std::optional<std::size_t> primary() const;
  /// The indices of the leader's backups.
  std::vector<std::size_t> backups() const;

  /// Sends an operator's change request to a router.
  void ask(std::size_t front, Json body);
  /// The version of the last requested change once it was acknowledged.
  std::optional<SectionVersion> answered() const { return answered_; }
  MonotonicTime answeredAt() const { return answeredAt_; }
  const std::string& lastAnswer() const { return lastAnswer_; }
  /// When the last live member installed a version; nullopt while any live member lacks it.
  std::optional<MonotonicTime> inForceSince(const SectionVersion& version) const;

  /// Stops a member's process, or starts it again as a new incarnation with the same files.
  void stop(std::size_t index);
  void start(std::size_t index);
  /// Partitions these zones from all others; an empty list heals the network.
  void cutZones(std::vector<int> zones) { cut_ = std::move(zones); }
  /// The zones of a region.
  std::vector<int> zonesOf(int region) const;
  /// Whether each live member knows exactly the other live members.
  bool whole() const;
  /// For each stop and each survivor, the seconds until the survivor logged the member as dead.
  const std::vector<double>& noticed() const { return noticed_; }
  /// How often a live, reachable member was declared dead.
  std::uint64_t wronglyDead() const { return wronglyDead_; }
  /// The sum of a counter over live members.
  std::uint64_t counter(std::string_view name) const;
  /// The share of live routers whose freshness proof is recent enough to admit new streams.
  double freshShare() const;
  /// The summed costs of all members so far.
  HollowCost total() const;

 private:
  struct Item {
    MonotonicTime at;
    std::uint64_t order;
    std::size_t to;
    std::uint64_t life;
    std::size_t from;
    std::string frame;  // empty: `event` is delivered instead
    std::shared_ptr<Event> event;
    bool operator<(const Item& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  friend struct HollowRunner;
  void push(Duration delay, std::size_t to, Event event);
  void deliver(std::size_t index, const Event& event, double& cost);
  void take(const Item& item);
  void send(std::size_t from, const Send& command);
  void broadcast(std::size_t from, const Broadcast& command);
  std::string encoded(std::size_t from, const Message& message);
  void transmit(std::size_t from, const Address& receiver, std::size_t kind, std::string frame);
  void write(std::size_t index, const WriteFile& command);
  void drop(std::size_t index, const DropOlder& command);
  void callWeb(std::size_t index, const CallWeb& command);
  void answer(const AnswerWeb& command);
  void note(std::size_t index, const std::string& text);
  bool hears(const HollowMember& one, const HollowMember& other) const;
  Duration delay(const HollowMember& one, const HollowMember& other);
  std::string engineList() const;
  std::string keptText(int engine) const;
  double spent(double since) const;

  HollowShape shape_;
  Options options_;
  Random random_;
  MonotonicTime now_{};
  std::uint64_t orders_ = 0;
  double clockCost_ = 0;  // microseconds of one reading of the processor clock
  std::priority_queue<Item> queue_;
  std::vector<std::unique_ptr<HollowMember>> members_;
  std::map<Address, std::size_t> byAddress_;
  std::vector<int> cut_;
  std::string listText_;
  std::optional<SectionVersion> answered_;
  MonotonicTime answeredAt_{};
  std::string lastAnswer_;
  std::uint64_t lastTicket_ = 1'000'000'000;
  std::vector<double> noticed_;
  std::uint64_t wronglyDead_ = 0;
};

/// The change that applies an initial configuration with a number of tenants.
Json firstChange(int tenants, const std::string& basedOn);
/// A change that adds one tenant; `turn` makes its name unique.
Json changeBody(int turn, const std::string& basedOn);
/// Microseconds of processor time that this thread has used.
double threadMicros();

}  // namespace peppergate
