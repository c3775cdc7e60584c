#pragma once
// All options with their defaults; a check refuses sets that break what the protocols need.
#include <absl/status/status.h>

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/control_fault_injection.h"
#include "core/types.h"

namespace peppergate {

/// What keeps a never-rule. The simulator can switch one off, to show that a scenario would see
/// its loss; no flag or settings file can.
enum class Guard : std::uint8_t {
  kFreshness,
  kBudget,
  kNoRepeat,
  kEngineLease,
  kEngineLife,
  kWall,
  kBackupSync,
  kPrimaryLease,
  kUpward,
  kDrainList,
  kOldWeights,
  kHonestRejection,
  kSyncFailure,
  kPieceOrder,
  kThirdVoter,
  kProvenGrant,
  kEqualViews,
  kOneGrant,
  kLiveStale,
  kClockLeap,
  kBootstrappers,
};
inline constexpr std::array<std::string_view, 21> kGuardNames{
    "freshness",    "budget",       "no-repeat",   "engine-hold",  "engine-life", "wall",
    "backup-sync",  "primary-hold", "upward",      "drain-list",   "old-weights", "honest-no",
    "sync-failure", "piece-order",  "third-voter", "proven-grant", "equal-views", "one-grant",
    "live-stale",   "clock-leap",   "founders"};

struct Options {
  std::uint32_t guardsOff = 0;
  ControlFaultInjection faults;  // none, outside tests and the model checker
  /// Whether a guard stands; always, outside the simulator. Example: `guards(Guard::kBudget)`.
  bool guards(Guard guard) const { return ((guardsOff >> static_cast<unsigned>(guard)) & 1U) == 0; }
  // Holds of the primary.
  Duration lease = seconds(1.2);
  Duration leaseRenewal = seconds(0.3);
  Duration leaseStop = seconds(0.9);
  // Caretakers: who vouches where no primary can be.
  Duration readLeaseAfter = seconds(2);    // without a primary's proof
  Duration readLeaseProbe = seconds(0.8);  // so long it looks for voters before it asks
  Duration readLeaseYield = seconds(3);    // so long it makes room for an election
  // Control state.
  Duration acknowledgementWait = seconds(1.45);  // for fronts whose proof may be of an older state
  Duration replicateTimeout = seconds(1.0);
  Duration syncTimeout = seconds(1.0);
  Duration replaceVoterAfter =
      seconds(1.5);                     // a voter silent for so long loses its seat to a newcomer
  std::int64_t backups = 1;             // that have a change on disk before the yes
  std::int64_t voterSlots = 9;          // at most; 2 * backups + 1 have to fit
  Duration applyWithin = seconds(2.1);  // after a yes no front acts on what it replaced
  std::int64_t largestSetup = 6 << 20;
  std::int64_t rememberedChanges = 1000;
  // Membership.
  Duration shuffleEvery = seconds(0.3);
  Duration suspectAfter = seconds(2);
  Duration deadAfter = seconds(4);
  std::int64_t viewSize = 8;
  // Setup spread and freshness.
  Duration stateRequestWait = seconds(0.7);
  Duration stateRequestTimeout = seconds(1.0);
  Duration proofLimit = seconds(3.5);
  Duration liveLimit = seconds(4.5);     // a live stream ends where the proof is older
  Duration withdrawWithin = seconds(5);  // after the yes a withdrawn key does nothing anywhere
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
  double listRate = 10;  // calls a second that the platform takes from all daemons together
  Duration listLag = seconds(0.8);       // how far the platform's list may be behind
  Duration drainWithin = seconds(3);     // from an engine's listing as draining until none is sent
  std::int64_t loadsAtOnce = 3;          // engines that load new weights without slowing each other
  Duration weightsWithin = seconds(12);  // from the naming until no engine starts on older ones
  Duration orderLease = seconds(3);      // orders of two holders to one engine are this far apart
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
  // Requests: attempts beyond the first, summed over the fleet.
  double budgetShare = 0.15;               // of a service's first attempts within the window
  double budgetSlack = 0;                  // allowed on top of the share, by all fronts together
  Duration connectTimeout = seconds(0.5);  // for a connection to an engine to come up
  Duration graceTime = seconds(8);         // from the word to leave until the process is killed
  // Fetch plan; the starting values that the design marks as free.
  double levelTolerance = 100;  // bytes a second times the unit below
  double rateUnit = 1e6;        // a rate of 1 is a megabyte a second
  std::int64_t levelRounds = 30;
  double capacityStart = 0.75;
  double capacityTop = 0.95;
  double capacityRise = 0.05;
  Duration cutEase = seconds(30);
  Duration planEvery = seconds(2);
  Duration rungPace = seconds(10);
  Duration mixSmoothing = seconds(1);  // of the streams that notes tell of
  std::int64_t planMode = 0;           // 0: the plan; 1: fixed at the floor; 2: fixed at the top
};

/// Reads one prop by its name. Example: `setOption(options, "proofLimit", "3.5")`.
absl::Status setOption(Options& options, std::string_view name, std::string_view value);
/// Says which inequality of the protocols a set of options breaks, if any.
/// Example: `checkOptions(Options{}).ok()`.
absl::Status checkOptions(const Options& options);
/// The names of the options that SIGHUP may change. Example: `mayReload("probeEvery")`.
bool mayReload(std::string_view name);
/// The running options with what may change taken from new ones. Example: on SIGHUP.
Options mayReloadOnly(const Options& running, const Options& reread);
/// All prop names. Example: `optionNames().size() > 40`.
std::vector<std::string_view> optionNames();

}  // namespace peppergate
