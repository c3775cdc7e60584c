#pragma once
// Days that no one wrote down: a seed draws a schedule of the brief's failures.
#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "sim/runner.h"

namespace peppergate {

/// One drawn day: a head and the lines of its schedule, in order of time.
struct RandomDay {
  std::uint64_t seed = 0;
  std::string head;
  std::vector<std::string> lines;
  /// The day as a scenario file. Example: `parseScenario(day.text())`.
  std::string text() const;
};

/// How large and how busy the drawn days are.
struct DaySize {
  int fronts = 9;
  int engines = 18;
  double requests = 25;
};

/// Draws a day at today's sizes. It never asks for more than the brief wants survived.
/// Example: `drawDay(7, DaySize{}).text()`.
RandomDay drawDay(std::uint64_t seed, const DaySize& size);
/// Runs a day. Example: `runDay(day).failures.empty()`.
RunReport runDay(const RandomDay& day);
/// Leaves out what a failing day does not need to fail in the same way.
/// Example: `cutDown(day, report).text()` is the regression scenario.
RandomDay cutDown(const RandomDay& day, const RunReport& report);

}  // namespace peppergate
