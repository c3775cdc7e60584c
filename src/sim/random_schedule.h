#pragma once
// Random schedules: a seed determines which faults the fleet has to survive, and when.
#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "sim/runner.h"

namespace peppergate {

/// A random schedule as a scenario file in two parts: the header and the lines in order of time.
struct RandomSchedule {
  std::uint64_t seed = 0;
  std::string header;
  std::vector<std::string> lines;
  /// The schedule as a scenario file.
  std::string text() const;
};

/// The size of the fleet and its load, in requests per second.
struct RandomScheduleSize {
  int fronts = 9;
  int engines = 18;
  double requestsPerSecond = 25;
};

/// Generates a schedule that never has more faults at once than the fleet has to tolerate.
RandomSchedule generateRandomSchedule(std::uint64_t seed, const RandomScheduleSize& size);
/// Runs a schedule under its seed.
RunReport runRandomSchedule(const RandomSchedule& schedule);
/// Removes lines that a failing schedule doesn't need to fail in the same way; the result serves as
/// a regression scenario.
RandomSchedule shrinkRandomSchedule(const RandomSchedule& schedule, const RunReport& report);

}  // namespace peppergate
