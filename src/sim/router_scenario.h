#pragma once
// Scenarios of fleets of routers: small text files like those of `sim/scenario.h`, and random ones.
#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sim/scenario_reader.h"

namespace peppergate {

/// A scenario of a platform deployment; its fronts are routers.
struct RouterScenario : FleetScenario {
  RouterScenario() {
    cores = 3;
    requestsPerSecond = 40;
    run = seconds(30);
  }
  bool checksFencingToken = true;  // engines decline load orders with a lower fencing token
  double eventLossRate = 0.02;     // share of the engines' cache events that are lost
  /// The scenario as a file, in which form a failing random scenario is kept.
  std::string text() const;
};

/// Reads a scenario; an error names its line.
absl::StatusOr<RouterScenario> parseRouterScenario(std::string_view text);
/// Generates a random scenario with two or three faults at once.
RouterScenario generateRouterScenario(std::uint64_t seed);

/// The result of one scenario under one seed.
struct RouterReport {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<std::string> failures;
  std::vector<std::pair<std::string, double>> figures;
};

/// Runs a scenario under a seed; the same seed replays exactly.
RouterReport runRouterScenario(const RouterScenario& scenario, std::uint64_t seed);

}  // namespace peppergate
