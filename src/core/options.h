#pragma once
// All options with their defaults, and the check for combinations that the protocols rely on.
#include <absl/status/status.h>

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/control_fault_injection.h"
#include "core/types.h"

namespace peppergate {

/// A mechanism that enforces a safety invariant. The simulator can disable one, to prove that a
/// scenario detects its absence; no flag or settings file can.
enum class SafetyGuard : std::uint8_t {
  kFreshness,
  kBudget,
  kNoRepeat,
  kEngineLease,
  kEngineLife,
  kCacheDomain,
  kBackupSync,
  kPrimaryLease,
  kMonotonicVersions,
  kDrainList,
  kOldWeights,
  kMayHaveRunReported,
  kSyncFailure,
  kPieceOrder,
  kThirdVoter,
  kProvenGrant,
  kEqualViews,
  kOneGrant,
  kStaleStreamEnd,
  kClockLeap,
  kBootstrappers,
};
inline constexpr std::array<std::string_view, 21> kSafetyGuardNames{
    "freshness",    "budget",       "no-repeat",   "engine-hold",  "engine-life", "wall",
    "backup-sync",  "primary-hold", "upward",      "drain-list",   "old-weights", "honest-no",
    "sync-failure", "piece-order",  "third-voter", "proven-grant", "equal-views", "one-grant",
    "live-stale",   "clock-leap",   "founders"};

struct Options {
  std::uint32_t disabledGuards = 0;
  ControlFaultInjection faults;  // empty except in tests and the model checker
  /// Whether a guard is enabled; always true outside the simulator.
  bool isGuardEnabled(SafetyGuard guard) const {
    return ((disabledGuards >> static_cast<unsigned>(guard)) & 1U) == 0;
  }
  // The primary's lease.
  Duration lease = seconds(1.2);
  Duration leaseRenewal = seconds(0.3);
  Duration leaseStop = seconds(0.9);
  // Read-only leaders, which serve proofs in partitions without a primary.
  Duration readLeaseAfter = seconds(2);    // time without a primary's proof
  Duration readLeaseProbe = seconds(0.8);  // probes for voters before requesting the lease
  Duration readLeaseYield = seconds(3);    // pause in favour of an election
  // Control state.
  Duration acknowledgementWait = seconds(1.45);  // for routers with a proof of an older state
  Duration replicateTimeout = seconds(1.0);
  Duration syncTimeout = seconds(1.0);
  Duration replaceVoterAfter = seconds(1.5);  // a voter silent for this long is replaced
  std::int64_t backups = 1;                   // that sync a change before it is acknowledged
  std::int64_t voterSlots = 9;                // maximum; at least 2 * backups + 1
  Duration applyWithin = seconds(2.1);  // from acknowledgement until no router uses the old state
  std::int64_t largestSetup = 6 << 20;
  std::int64_t rememberedChanges = 1000;
  // Membership.
  Duration shuffleEvery = seconds(0.3);
  Duration suspectAfter = seconds(2);
  Duration deadAfter = seconds(4);
  std::int64_t viewSize = 8;
  // Distribution and freshness of the control state.
  Duration stateRequestWait = seconds(0.7);
  Duration stateRequestTimeout = seconds(1.0);
  Duration proofLimit = seconds(3.5);
  Duration liveLimit = seconds(4.5);     // a running stream is ended if the proof is older
  Duration withdrawWithin = seconds(5);  // from acknowledgement until a withdrawn key has no effect
  // Engine watch.
  Duration engineLease = seconds(3);
  Duration engineLeaseStop = seconds(2.4);
  Duration engineLeaseGap = seconds(3);
  Duration engineLeaseRenewal = seconds(0.7);
  Duration probeEvery = seconds(0.5);
  Duration probeTimeout = seconds(1.5);
  Duration pictureLimit = seconds(5);
  Duration orderTimeout = seconds(4);
  Duration listEvery = seconds(0.5);
  double listRate = 10;  // calls per second that the platform allows all daemons together
  Duration listLag = seconds(0.8);    // maximum staleness of the platform's list
  Duration drainWithin = seconds(3);  // from listing as draining until no request is sent there
  std::int64_t loadsAtOnce = 3;       // engines that load weights concurrently without a slowdown
  Duration weightsWithin = seconds(12);  // from the change until no request starts on older weights
  Duration orderLease = seconds(3);      // minimum gap between two holders' orders to an engine
  Duration sweepEvery = seconds(3);
  Duration oldWeightsLimit = seconds(16);
  double waveShare = 0.34;
  // Streams.
  double secondShotShare = 0.15;
  Duration budgetWindow = seconds(10);
  Duration drainLimit = seconds(11);
  Duration largestDeadline = seconds(60);
  Duration firstPieceTimeout = seconds(3);
  std::int64_t streamsLimit = 2000;
  std::int64_t engineStreams = 32;
  std::int64_t largestBody = 256 << 10;
  // Retry budget: attempts beyond the first, for the whole fleet.
  double budgetShare = 0.15;  // fraction of a service's first attempts within the window
  double budgetSlack = 0;     // allowed in addition, for all routers together
  Duration connectTimeout = seconds(0.5);  // for establishing a connection to an engine
  Duration graceTime = seconds(8);         // from the drain request until the process is killed
  // Fetch planning.
  double levelTolerance = 100;  // bytes per second, scaled by rateUnit
  double rateUnit = 1e6;        // bytes per second of a rate of 1
  std::int64_t levelRounds = 30;
  double capacityStart = 0.75;
  double capacityTop = 0.95;
  double capacityRise = 0.05;
  Duration cutEase = seconds(30);
  Duration planEvery = seconds(2);
  Duration rungPace = seconds(10);
  Duration mixSmoothing = seconds(1);  // time constant for the announced stream mixes
  std::int64_t planMode = 0;  // 0: planned; 1: always the floor rung; 2: always the top rung
};

/// Sets one option from its name and the text of its value; durations are in seconds. NotFound for
/// an unknown name, InvalidArgument for a value that is not a number in range.
absl::Status setOption(Options& options, std::string_view name, std::string_view value);
/// Checks the inequalities that the protocols rely on. The error names the first one that is
/// violated.
absl::Status checkOptions(const Options& options);
/// Whether SIGHUP may change this option.
bool isReloadable(std::string_view name);
/// The running options, with the reloadable ones replaced by newly read values.
Options withReloadedOptions(const Options& running, const Options& reread);
/// The names of all options.
std::vector<std::string_view> optionNames();

}  // namespace peppergate
