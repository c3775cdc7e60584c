#pragma once
// Scenarios of fleets of routers: small text files like those of `sim/scenario.h`, and drawn days.
#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sim/scenario_reader.h"

namespace peppergate {

/// A scenario of the platform's interface; its fronts are routers.
struct RouterScenario : FleetScenario {
  RouterScenario() {
    cores = 3;
    requests = 40;
    run = seconds(30);
  }
  bool fenced = true;  // engines decline orders with a lower fence
  double eventsLost = 0.02;
  /// As a file: a drawn day that failed is kept so.
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
