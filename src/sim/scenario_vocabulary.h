#pragma once
// The vocabulary of scenario files of both interfaces: verbs of actions and kinds of expectations.
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace peppergate {

/// The kind of deployment of a scenario: fronts of the streams interface, or routers.
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

/// A verb and the words that it takes.
struct VerbRow {
  std::string_view word;
  Verb verb;
  std::size_t minWords, maxWords;  // words after it
  /// What its first word may name, one letter each: c core, f front or router, e engine, s store,
  /// p a role such as primary, a a group such as all. Empty: not checked.
  std::string_view targets;
};

/// What an expectation checks.
enum class ExpectationKind : std::uint8_t {
  kClean,
  kServed,
  kServedAtMost,
  kDone,
  kDeclined,
  kFetched,
  kFirstEvent,
  kPrimary,
  kNoPrimary,
  kSecondShare,
  kRungChanges,
  kHealBytes,
  kOvershoot,
  kRanks,
  kOtherTenantsServed,
  kGoodput,
  kEachFrontServed,
  kVouched,
  kNotVouched,
  kDeclinedAs,
  kLevelSpread,
  kMedianAcknowledgement,
  kStaleStreams,
  kAcknowledgedWithin,
  kLedWithin,
  kAcknowledgedCount,
  kLoadOrders,
  kComputedTokensPerRun,
};

/// A kind of expectation and the word for it.
struct ExpectationRow {
  std::string_view word;
  ExpectationKind kind;
  bool takesNumber;  // a number follows
};

/// The verbs of one interface, including those of machines and the network, which both have.
std::span<const VerbRow> verbsOf(Interface interface);
/// The expectations of one interface.
std::span<const ExpectationRow> expectationsOf(Interface interface);
/// The word for a verb or an expectation in one interface's scenarios; empty if it has none.
std::string_view wordOf(Verb verb, Interface interface);
std::string_view wordOf(ExpectationKind kind, Interface interface);

}  // namespace peppergate
