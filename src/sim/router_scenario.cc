#include "sim/router_scenario.h"

#include <sstream>

#include "sim/router_world.h"

namespace peppergate {
namespace {

constexpr Duration kTrafficAfterLastAction = seconds(16);

bool readHeader(const std::string& word, const std::string& value, RouterScenario& scenario) {
  double number = 0;
  if (!readNumber(value, number) || number < 0) return false;
  if (word == "fenced") scenario.checksFencingToken = number > 0;
  else if (word == "events-lost" && number <= 1) scenario.eventLossRate = number;
  else return false;
  return true;
}

}  // namespace

absl::StatusOr<RouterScenario> parseRouterScenario(std::string_view text) {
  RouterScenario scenario;
  ScenarioDialect dialect;
  dialect.interface = Interface::kRouters;
  dialect.frontsWord = "routers";
  dialect.earliestAction = MonotonicTime{} - kRouterWarmUp;
  dialect.trafficAfterLastAction = kTrafficAfterLastAction;
  dialect.readHeader = [&scenario](const std::string& word, const std::string& value) {
    return readHeader(word, value, scenario);
  };
  if (absl::Status status = readScenario(text, dialect, scenario); !status.ok()) return status;
  if (scenario.engines < 2) return scenarioError(0, "a fleet of routers needs two engines");
  return scenario;
}

std::string RouterScenario::text() const {
  std::ostringstream text;
  text << "name " << name << "\nrouters " << fronts << "\ncores " << cores << "\nspares " << spares
       << "\nengines " << engines << "\nrequests " << requestsPerSecond << "\nfenced "
       << checksFencingToken << "\nevents-lost " << eventLossRate << "\nsettles "
       << servedAfterFaults << "\nrun " << inSeconds(run) << "s\n";
  if (startSpread > Duration{}) text << "start-spread " << inSeconds(startSpread) << "s\n";
  for (const auto& [prop, value] : options) text << "prop " << prop << " " << value << "\n";
  return text.str() + formatScenarioLines(*this, Interface::kRouters);
}

}  // namespace peppergate
