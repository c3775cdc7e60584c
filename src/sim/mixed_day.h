#pragma once
// Random schedules of all faults that the simulator supports, for both interfaces: several at once,
// two or three at the same moment, at several moments of a run.
#include <string>
#include <utility>
#include <vector>

#include "sim/schedule_drawer.h"

namespace peppergate {

/// A random schedule as the head and the action lines of a scenario file, so that lines can be
/// removed.
struct MixedDay {
  std::uint64_t seed = 0;
  Interface interface = Interface::kStreams;
  std::string head;
  std::vector<std::string> lines;
  std::string text() const;
};

/// The result of a run of one schedule.
struct MixedReport {
  std::string name;
  std::uint64_t seed = 0;
  std::vector<std::string> failures;
  std::vector<std::pair<std::string, double>> figures;
};

/// Draws a schedule; it depends only on the arguments.
MixedDay drawMixedDay(std::uint64_t seed, Interface interface);
/// Runs a schedule under its seed.
MixedReport runMixedDay(const MixedDay& day);
/// Removes lines that a failing schedule doesn't need in order to fail in the same way. Runs the
/// schedule up to `mostRuns` times.
MixedDay shrinkMixedDay(const MixedDay& day, const MixedReport& report, int mostRuns);

}  // namespace peppergate
