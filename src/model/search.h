#pragma once
/// Exhaustive search of the schedules with a bounded number of departures from the default order,
/// and random schedules (walks) for greater depths.
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>

#include "model/schedule.h"

namespace peppergate::model {

struct SearchBounds {
  int departures = 2;  ///< in one schedule; releasing a held message costs nothing
  unsigned threads = 1;
  Duration timeLimit = seconds(600);     ///< wall-clock limit
  std::uint64_t maxStates = 50'000'000;  ///< limit on the states that are remembered
};

struct SearchReport {
  std::uint64_t states = 0;       ///< distinct states
  std::uint64_t transitions = 0;  ///< actions performed
  std::uint64_t schedules = 0;    ///< schedules run to their end
  int depth = 0;                  ///< choice points in the longest schedule
  int departures = 0;     ///< the highest bound finished; below the requested one if time ran out
  double seconds = 0;     ///< wall-clock time
  bool finished = false;  ///< all schedules within the bound were covered
  std::string violation;  ///< the broken rule; empty if none
  std::optional<Schedule> failingSchedule;  ///< the schedule that breaks it, shortened
};

/// Covers all schedules with 0, 1, 2 ... departures in turn, so that the first failing schedule has
/// as few departures as possible. FailedPrecondition if the fleet doesn't settle.
absl::StatusOr<SearchReport> search(const ModelOptions& options, const SearchBounds& bounds);

/// How a random schedule chooses its departures.
enum class Steering : std::uint8_t {
  kNone,  ///< all possible actions are equally likely
  /// Joining, leaving, replacing, wiping and partitioning machines is more likely than losing
  /// messages, and departures are more likely while a view change is in progress.
  kReplacements,
};

struct WalkBounds {
  std::uint64_t firstSeed = 1;
  std::uint64_t lastSeed = 100;
  double departureProbability = 0.05;  ///< probability of a departure at a choice point
  Steering steering = Steering::kNone;
  unsigned threads = 1;
  Duration timeLimit = seconds(600);
};

struct WalkReport {
  std::uint64_t walks = 0;
  std::uint64_t transitions = 0;
  std::uint64_t states = 0;  ///< distinct states
  int depth = 0;             ///< choice points in the longest walk
  std::uint64_t failed = 0;
  double seconds = 0;
  std::map<std::string, std::uint64_t> walksByRule;  ///< how many walks broke each rule
  std::string violation;                             ///< the rule that `failing` breaks
  std::optional<Schedule>
      failingSchedule;  ///< the failing schedule with the fewest departures, shortened
};

/// Runs one random schedule per seed; the seed also seeds the machines' random number generators.
absl::StatusOr<WalkReport> runWalks(const ModelOptions& options, const WalkBounds& bounds);

}  // namespace peppergate::model
