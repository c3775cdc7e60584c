#include "sim/scenario.h"

namespace peppergate {
namespace {

constexpr Duration kSettling = seconds(18);

bool readNumberOf(const std::string& word, double number, Scenario& scenario) {
  if (word == "racks") scenario.racks = static_cast<int>(number);
  else if (word == "pieces" && number >= 5) scenario.pieces = static_cast<std::uint64_t>(number);
  else if (word == "deadline" && number >= 6 && number <= 60) scenario.deadline = number;
  else if (word == "documents" && number >= 1)
    scenario.documents = static_cast<std::uint64_t>(number);
  else if (word == "cache") scenario.cache = static_cast<std::size_t>(number);
  else if (word == "late" && number <= 1) scenario.late = number;
  else if (word == "link") scenario.link = number;
  else if (word == "uplink") scenario.uplink = number;
  else return false;
  return true;
}

bool readHead(const std::string& word, const std::string& value, Scenario& scenario) {
  if (word == "founded") {
    scenario.foundedBySeeds = value == "by-seeds";
    return value == "by-seeds" || value == "by-number";
  }
  if (word == "profile") {
    scenario.profile = value;
    return value == "hutline" || value == "fjordsyn";
  }
  double number = 0;
  return readNumber(value, number) && number >= 0 && readNumberOf(word, number, scenario);
}

}  // namespace

absl::StatusOr<Scenario> parseScenario(std::string_view text) {
  Scenario scenario;
  ScenarioDialect dialect;
  dialect.interface = Interface::kStreams;
  dialect.frontsWord = "fronts";
  dialect.earliest = kWarmUp;
  dialect.settling = kSettling;
  dialect.endsActions = true;
  dialect.head = [&scenario](const std::string& word, const std::string& value) {
    return readHead(word, value, scenario);
  };
  if (absl::Status status = readScenario(text, dialect, scenario); !status.ok()) return status;
  return scenario;
}

}  // namespace peppergate
