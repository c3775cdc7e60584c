#pragma once
// Reads scenario files of both interfaces: the fleet, timed faults and operators' actions, and
// expectations.
#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/types.h"
#include "sim/scenario_vocabulary.h"

namespace peppergate {

/// One line "at TIME VERB WORDS", as in `at 10s kill primary`.
struct Action {
  MonotonicTime at;
  Verb verb = Verb::kKill;
  std::vector<std::string> words;
  int line = 0;
};

/// One line "expect WORD [NUMBER] [from TIME] [to TIME]", as in `expect served 0.9 from 20s`.
struct Expectation {
  ExpectationKind kind = ExpectationKind::kClean;
  double number = 0;
  std::string word;  // the second word, of expectations that take one
  MonotonicTime from{}, to = kForever;
  int line = 0;
};

/// What scenarios of both interfaces have in common.
struct FleetScenario {
  std::string name;
  int fronts = 4;  // or routers
  int cores = 4;
  int spares = 0;  // core machines that aren't started at first
  int engines = 6;
  double requestsPerSecond = 30;
  double servedAfterFaults =
      0.9;                 // share to be served from 12 s after the last fault on; 0: not checked
  Duration startSpread{};  // machines first start within this time of each other, in any order
  Duration run = seconds(40);
  std::vector<std::pair<std::string, std::string>> options;
  std::uint32_t disabledGuards =
      0;  // bit set of "without GUARD" lines, to show that each is needed
  std::vector<Action> actions;
  std::vector<Expectation> expectations;
};

/// How scenarios of one interface are read.
struct ScenarioDialect {
  Interface interface = Interface::kStreams;
  std::string_view frontsWord;  // "fronts" or "routers"
  MonotonicTime earliestAction;
  Duration trafficAfterLastAction;
  bool rejectsLateActions =
      false;  // whether an action after the written end of the run is an error
  /// Reads a header line of two words that only this interface has; false if it has no such line.
  std::function<bool(const std::string& word, const std::string& value)> readHeader;
};

/// Reads a text into `scenario`, which holds the interface's defaults. An error names its line.
absl::Status readScenario(std::string_view text, const ScenarioDialect& dialect,
                          FleetScenario& scenario);
/// Formats the actions and expectations as lines of a scenario file.
std::string formatScenarioLines(const FleetScenario& scenario, Interface interface);

/// An error in a line; line 0 stands for the whole file.
absl::Status scenarioError(int line, const std::string& what);
/// Reads a number; the whole text must be one.
bool readNumber(const std::string& text, double& number);
/// Reads a time such as "12s", "300ms" or, before the traffic begins, "-2s".
bool readTime(std::string text, Duration& time);

}  // namespace peppergate
