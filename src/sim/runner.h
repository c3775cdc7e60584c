#pragma once
// Runs scenarios under seeds. The same seed reproduces a run exactly.
#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

#include "sim/scenario.h"

namespace peppergate {

/// The result of one scenario under one seed.
struct RunReport {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<std::string> failures;
  std::map<std::string, double> figures;
};

/// Runs a scenario under one seed.
RunReport runScenario(const Scenario& scenario, std::uint64_t seed);
/// Reads a scenario file.
absl::StatusOr<Scenario> loadScenario(const std::string& path);
/// The sorted paths of the scenario files in a directory.
std::vector<std::string> scenarioFiles(const std::string& folder);

}  // namespace peppergate
