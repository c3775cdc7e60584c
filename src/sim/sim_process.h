#pragma once
// One simulated process and its machine: address, clock, disk and current faults.
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/core_node.h"
#include "core/front_node.h"
#include "requests/router_node.h"
#include "sim/sim_disk_task.h"

namespace peppergate {

/// One process with its machine's clock and disk. The disk outlives the process, unless it is
/// wiped.
struct SimProcess {
  std::string host;
  Address address;
  Role role = Role::kRouter;
  Zone zone;
  std::unique_ptr<Node> node;
  bool alive = false;
  bool frozen = false;
  bool stopping = false;             // it was asked to drain and exit
  bool spare = false;                // not running until an action starts it; never founds a fleet
  bool retired = false;              // its machine never starts again
  bool mayBootstrap = true;          // it may found a fleet: until its first disk is wiped
  bool diskInitialized = false;      // its first disk has been initialized
  Duration clock;                    // value of its boot clock at simulated time 0
  double clockRate = 1;              // speed of its boot clock relative to simulated time
  double eventCostMilliseconds = 0;  // milliseconds that each event takes; 0: not slowed
  std::uint64_t incarnation = 0;     // incremented at each start and end
  SimDrive drive;
  std::shared_ptr<SimDiskTask> diskTask;
  std::vector<std::function<void()>> queuedWhileFrozen;  // deliveries queued while it is frozen
  std::deque<Event> backlog;           // events that a slowed process hasn't handled yet
  MonotonicTime stoppedAt = kForever;  // when it was asked to drain and exit
  MonotonicTime reloadedAt = kNever;   // when it was last told to reload its settings
  MonotonicTime disturbedAt{};         // when it last started, froze, thawed or was partitioned
  MonotonicTime listUnreachableAt = kNever;  // when it last had no path to the platform's list
  MonotonicTime burstStartedAt = kNever;     // start of the current burst of broadcasts
  std::uint64_t burstBytes = 0;              // sent in the current burst
  std::uint64_t largestBurst = 0;            // bytes of the largest burst so far

  /// The value of its boot clock at a simulated time.
  MonotonicTime localTime(MonotonicTime now) const {
    return MonotonicTime{} + clock + (now - MonotonicTime{}) * clockRate;
  }
  /// The node as its concrete type; only for a live process of that kind.
  CoreNode& core() const { return static_cast<CoreNode&>(*node); }
  FrontNode& front() const { return static_cast<FrontNode&>(*node); }
  RouterNode& router() const { return static_cast<RouterNode&>(*node); }
};

}  // namespace peppergate
