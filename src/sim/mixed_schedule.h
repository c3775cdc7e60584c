#pragma once
// Random schedules of all faults that the simulator supports, for both interfaces: several at once,
// two or three at the same moment, at several moments of a run.
#include <string>
#include <utility>
#include <vector>

#include "sim/schedule_generator.h"

namespace peppergate {

/// A random schedule as the head and the action lines of a scenario file, so that lines can be
/// removed.
struct MixedSchedule {
  std::uint64_t seed = 0;
  Interface interface = Interface::kStreams;
  std::string header;
  std::vector<std::string> actionLines;
  std::string text() const;
};

/// The result of a run of one schedule.
struct MixedScheduleReport {
  std::string name;
  std::uint64_t seed = 0;
  std::vector<std::string> failures;
  std::vector<std::pair<std::string, double>> figures;
};

/// Draws a schedule; it depends only on the arguments.
MixedSchedule generateMixedSchedule(std::uint64_t seed, Interface interface);
/// Runs a schedule under its seed.
MixedScheduleReport runMixedSchedule(const MixedSchedule& schedule);
/// Removes lines that a failing schedule doesn't need in order to fail in the same way. Runs the
/// schedule up to `maxRuns` times.
MixedSchedule shrinkMixedSchedule(const MixedSchedule& schedule, const MixedScheduleReport& report,
                                  int maxRuns);

}  // namespace peppergate
