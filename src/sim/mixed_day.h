#pragma once
// Random schedules of every trouble that the simulator knows, for both interfaces: several at once,
// two or three at the same moment, more than once a run.
#include <string>
#include <utility>
#include <vector>

#include "sim/schedule_drawer.h"

namespace peppergate {

/// A random schedule as a scenario file in two parts, so that lines can be left out.
struct MixedDay {
  std::uint64_t seed = 0;
  Interface interface = Interface::kStreams;
  std::string head;
  std::vector<std::string> lines;
  std::string text() const;
};

/// What a run of one schedule found.
struct MixedReport {
  std::string name;
  std::uint64_t seed = 0;
  std::vector<std::string> failures;
  std::vector<std::pair<std::string, double>> figures;
};

/// Draws a schedule. The same seed gives the same one.
MixedDay drawMixedDay(std::uint64_t seed, Interface interface);
/// Runs it under its seed.
MixedReport runMixedDay(const MixedDay& day);
/// Leaves out lines that a failing schedule doesn't need to fail in the same way. Runs it up to
/// `mostRuns` times.
MixedDay shrinkMixedDay(const MixedDay& day, const MixedReport& report, int mostRuns);

}  // namespace peppergate
