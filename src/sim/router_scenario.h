#pragma once
// Scenarios of a fleet of routers: small text files like those of `sim/scenario.h`, and drawn days.
#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace peppergate {

/// One line "at TIME VERB WORDS". Example: `at 10s kill primary`.
struct RouterAction {
  MonotonicTime at;
  std::string verb;
  std::vector<std::string> words;
  int line = 0;
};

/// One line "expect WORD NUMBER [from TIME] [to TIME]". Example: `expect served 0.9 from 20s`.
struct RouterExpectation {
  std::string word;
  double number = 0;
  MonotonicTime from{}, to = kForever;
  int line = 0;
};

struct RouterScenario {
  std::string name;
  int routers = 4, cores = 3, engines = 6;
  bool fenced = true;    // engines decline orders with a lower fence
  double requests = 40;  // a second
  double eventsLost = 0.02;
  double settles = 0.9;  // served from 12 s after the last fault on; 0: not looked at
  Duration run = seconds(30);
  std::vector<std::pair<std::string, std::string>> options;
  std::uint32_t guardsOff = 0;  // "without GUARD", to show that it is needed
  std::vector<RouterAction> actions;
  std::vector<RouterExpectation> expectations;
  /// As a file. Example: a drawn day that failed is kept as `day.text()`.
  std::string text() const;
};

/// Reads a scenario; an error names its line. Example: `parseRouterScenario(text)->name`.
absl::StatusOr<RouterScenario> parseRouterScenario(std::string_view text);
/// A day with two or three troubles at once. Example: `drawRouterDay(7).actions.size() >= 2`.
RouterScenario drawRouterDay(std::uint64_t seed);

/// What one scenario did under one seed.
struct RouterReport {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<std::string> failures;
  std::vector<std::pair<std::string, double>> figures;
};

/// Runs one seed; the same seed replays exactly. Example: `runRouters(scenario, 7).failures`.
RouterReport runRouters(const RouterScenario& scenario, std::uint64_t seed);

}  // namespace peppergate
