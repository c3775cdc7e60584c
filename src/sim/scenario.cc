#include "sim/scenario.h"

namespace peppergate {
namespace {

constexpr Duration kTrafficAfterLastAction = seconds(18);

bool readNumberHeader(const std::string& word, double number, Scenario& scenario) {
  if (word == "racks") scenario.racks = static_cast<int>(number);
  else if (word == "pieces" && number >= 5) scenario.maxPieces = static_cast<std::uint64_t>(number);
  else if (word == "deadline" && number >= 6 && number <= 60) scenario.maxDeadlineSeconds = number;
  else if (word == "documents" && number >= 1)
    scenario.documentsPerTenant = static_cast<std::uint64_t>(number);
  else if (word == "cache") scenario.cachedBlocks = static_cast<std::size_t>(number);
  else if (word == "late" && number <= 1) scenario.delayedShare = number;
  else if (word == "link") scenario.linkMegabytesPerSecond = number;
  else if (word == "uplink") scenario.uplinkMegabytesPerSecond = number;
  else return false;
  return true;
}

bool readHeader(const std::string& word, const std::string& value, Scenario& scenario) {
  if (word == "founded") {
    scenario.createdBySeeds = value == "by-seeds";
    return value == "by-seeds" || value == "by-number";
  }
  if (word == "profile") {
    scenario.profile = value;
    return value == "hutline" || value == "fjordsyn";
  }
  double number = 0;
  return readNumber(value, number) && number >= 0 && readNumberHeader(word, number, scenario);
}

}  // namespace

absl::StatusOr<Scenario> parseScenario(std::string_view text) {
  Scenario scenario;
  ScenarioDialect dialect;
  dialect.interface = Interface::kStreams;
  dialect.frontsWord = "fronts";
  dialect.earliestAction = kWarmUpStart;
  dialect.trafficAfterLastAction = kTrafficAfterLastAction;
  dialect.rejectsLateActions = true;
  dialect.readHeader = [&scenario](const std::string& word, const std::string& value) {
    return readHeader(word, value, scenario);
  };
  if (absl::Status status = readScenario(text, dialect, scenario); !status.ok()) return status;
  return scenario;
}

}  // namespace peppergate
