#pragma once
/// Searches all schedules with a bounded number of departures from the default order, and deep
/// random ones.
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>

#include "model/schedule.h"

namespace peppergate::model {

struct SearchBounds {
  int departures = 2;  ///< in one schedule; what is kept back is released at no cost
  unsigned threads = 1;
  Duration time = seconds(600);           ///< of the real clock
  std::uint64_t mostStates = 50'000'000;  ///< that are remembered
};

struct SearchReport {
  std::uint64_t states = 0;         ///< distinct ones
  std::uint64_t transitions = 0;    ///< choices that were taken
  std::uint64_t schedules = 0;      ///< that were run to their end
  int depth = 0;                    ///< choices in the longest schedule
  int departures = 0;               ///< the deepest finished bound; less than asked if time ran out
  double seconds = 0;               ///< of the real clock
  bool finished = false;            ///< all schedules within the bound were covered
  std::string violation;            ///< empty: no rule was broken
  std::optional<Schedule> failing;  ///< the shortest schedule that breaks it
};

/// Covers every schedule with 0, 1, 2 ... departures in turn, so that the first one that fails has
/// as few as possible. FailedPrecondition if the fleet can't be founded.
absl::StatusOr<SearchReport> search(const ModelOptions& options, const SearchBounds& bounds);

/// How a random schedule chooses its departures.
enum class Steering : std::uint8_t {
  kNone,  ///< each choice that is offered is as likely as any other
  /// Machines that join, leave, are replaced, lose their disks or are cut off are likelier than
  /// lost messages, and departures are likelier while a view is being changed.
  kReplacements,
};

struct WalkBounds {
  std::uint64_t firstSeed = 1;
  std::uint64_t lastSeed = 100;
  double departureShare = 0.05;  ///< of the places with a choice
  Steering steering = Steering::kNone;
  unsigned threads = 1;
  Duration time = seconds(600);
};

struct WalkReport {
  std::uint64_t walks = 0;
  std::uint64_t transitions = 0;
  std::uint64_t states = 0;  ///< distinct ones
  int depth = 0;
  std::uint64_t failed = 0;
  double seconds = 0;
  std::map<std::string, std::uint64_t> violations;  ///< how many walks broke each rule
  std::string violation;                            ///< of the schedule below
  std::optional<Schedule> failing;  ///< the shortest of the failing ones, none left out in vain
};

/// Random schedules, one a seed; the seed is also that of the machines' own random numbers.
absl::StatusOr<WalkReport> walk(const ModelOptions& options, const WalkBounds& bounds);

}  // namespace peppergate::model
