#include "sim/runner.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "sim/checker.h"
#include "sim/world.h"

namespace peppergate {

RunReport runScenario(const Scenario& scenario, std::uint64_t seed) {
  World world(scenario, seed);
  world.run();
  return {scenario.name, seed, world.checker().failures(), world.checker().figures()};
}

absl::StatusOr<Scenario> loadScenario(const std::string& path) {
  std::ifstream file(path);
  if (!file) return absl::NotFoundError("no scenario at " + path);
  std::stringstream text;
  text << file.rdbuf();
  auto scenario = parseScenario(text.str());
  if (!scenario.ok())
    return absl::InvalidArgumentError(path + ": " + std::string(scenario.status().message()));
  return scenario;
}

std::vector<std::string> scenarioFiles(const std::string& folder) {
  std::vector<std::string> files;
  std::error_code fault;
  for (const auto& entry : std::filesystem::directory_iterator(folder, fault))
    if (entry.path().extension() == ".txt") files.push_back(entry.path().string());
  std::ranges::sort(files);
  return files;
}

}  // namespace peppergate
