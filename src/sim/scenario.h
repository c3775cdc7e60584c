#pragma once
// Scenarios are small text files: a fleet, faults at times, and what is expected.
#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace peppergate {

/// Where simulated time begins, so that traffic starts at 0. Example: `kWarmUp.microseconds < 0`.
inline constexpr MonotonicTime kWarmUp{-9'000'000};

enum class Verb : std::uint8_t {
  kKill,
  kStart,
  kWipe,
  kReplace,
  kFreeze,
  kThaw,
  kCut,
  kHeal,
  kDisk,
  kDrain,
  kUndrain,
  kGone,
  kReturn,
  kWeights,
  kWithdraw,
  kStamp,
  kRace,
  kStorm,
  kLarge,
  kTraffic,
  kFlood,
  kLink,
  kReports,
  kSeeds,
  kRestart,
  kReset,
  kNewWall,
  kGarble,
  kPart,
  kOneWay,
  kLeap,
  kLoss,
  kLate,
  kLeave,
};

/// One line "at TIME VERB WORDS". Example: `at 10s kill primary`.
struct Action {
  MonotonicTime at;
  Verb verb = Verb::kKill;
  std::vector<std::string> words;
  int line = 0;
};

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
};

/// One line "expect ...". Example: `expect served 0.9 from 20s to 30s`.
struct Expectation {
  Wanted wanted = Wanted::kClean;
  double number = 0;
  std::string word;
  MonotonicTime from{}, to = kForever;
  int line = 0;
};

struct Scenario {
  std::string name;
  std::string profile = "hutline";
  int fronts = 4;
  int cores = 4;
  int spares = 0;               // core machines that are off at first
  bool foundedBySeeds = false;  // else one core is told how many there are
  double settles = 0.9;         // served from 12 s after the last fault on, in every scenario
  int engines = 6;
  int racks = 2;
  std::uint64_t documents = 4;  // of each tenant
  std::size_t cache = 24;       // parts that an engine keeps
  double requests = 30;         // streams a second
  double late = 1.0 / 300;      // share of messages that come late, by up to 2.5 s
  double link = 60;             // megabytes a second of each engine's link
  double uplink = 150;          // of each rack
  std::uint64_t pieces = 15;    // most pieces of a stream
  double deadline = 10;         // longest deadline of a stream
  Duration run = seconds(40);
  std::vector<std::pair<std::string, std::string>> options;
  std::uint32_t guardsOff = 0;  // "without GUARD", to show that it is needed
  std::vector<Action> actions;
  std::vector<Expectation> expectations;
};

/// Reads a scenario; an error names its line. Example: `parseScenario(text)->name`.
absl::StatusOr<Scenario> parseScenario(std::string_view text);

}  // namespace peppergate
