#pragma once
// The words of scenario files, of both interfaces: verbs of actions, and what can be expected.
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace peppergate {

/// Which kind of deployment a scenario is about: fronts of the product's own interface, or routers.
enum class Interface : std::uint8_t { kStreams, kRouters };

/// What an action does.
enum class Verb : std::uint8_t {
  // Machines and their disks and clocks.
  kKill,
  kPower,
  kStart,
  kStop,
  kRetire,
  kReload,
  kWipe,
  kReplace,
  kFreeze,
  kThaw,
  kThrottle,
  kLeap,
  kDisk,
  kSeeds,
  // The network.
  kCut,
  kPart,
  kOneWay,
  kHang,
  kHeal,
  kDrop,
  kLoss,
  kLate,
  // Clients and operators.
  kTraffic,
  kFlood,
  kWithdraw,
  kRace,
  kStorm,
  kWeights,
  kStamp,
  kNewWall,
  kLarge,
  kAmend,
  kSwap,
  kInvalid,
  kVersion,
  // Engines, the store and the platform's list.
  kDrain,
  kUndrain,
  kGone,
  kReturn,
  kEngineLink,
  kReports,
  kRestart,
  kReset,
  kGarble,
  kCrash,
  kDark,
  kLight,
  kRelease,
  kReleaseOne,
  kSlow,
  kLinks,
  kEvents,
  kStore,
  kList,
};

/// One verb as it is written.
struct VerbRow {
  std::string_view word;
  Verb verb;
  std::size_t least, most;  // words after it
  /// What its first word may name, each a letter: c core, f front or router, e engine, s store, p a
  /// role such as primary, a a group such as all. Empty: not looked at.
  std::string_view targets;
};

/// What an expectation is about.
enum class Wanted : std::uint8_t {
  kClean,
  kServed,
  kServedAtMost,
  kDone,
  kDeclined,
  kFetched,
  kFirstEvent,
  kPrimary,
  kNoPrimary,
  kShare,
  kRungPace,
  kBytes,
  kOvershoot,
  kRanks,
  kOthers,
  kGoodput,
  kEachFront,
  kVouched,
  kNotVouched,
  kDeclinedAs,
  kLevelSpread,
  kYes,
  kCut,
  kAcknowledged,
  kLed,
  kTaken,
  kVersions,
  kKept,
};

/// One expectation as it is written.
struct WantedRow {
  std::string_view word;
  Wanted wanted;
  bool number;  // a number follows
};

/// The verbs of one interface; those of machines and the network are the same in both.
std::span<const VerbRow> verbsOf(Interface interface);
/// The expectations of one interface.
std::span<const WantedRow> wantedOf(Interface interface);
/// The verb as both interfaces, or the one that has it, write it.
std::string_view wordOf(Verb verb, Interface interface);
std::string_view wordOf(Wanted wanted, Interface interface);

}  // namespace peppergate
