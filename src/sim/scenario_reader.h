#pragma once
// Reads scenario files of both interfaces: what a fleet has, faults and deeds at times,
// expectations.
#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/types.h"
#include "sim/scenario_words.h"

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
  Wanted wanted = Wanted::kClean;
  double number = 0;
  std::string word;  // a second one, where the first takes one
  MonotonicTime from{}, to = kForever;
  int line = 0;
};

/// What a scenario of either interface has.
struct FleetScenario {
  std::string name;
  int fronts = 4;  // or routers
  int cores = 4;
  int spares = 0;  // core machines that are off at first
  int engines = 6;
  double requests = 30;    // a second
  double settles = 0.9;    // served from 12 s after the last fault on; 0: not looked at
  Duration startSpread{};  // machines first start within this time of each other, in any order
  Duration run = seconds(40);
  std::vector<std::pair<std::string, std::string>> options;
  std::uint32_t guardsOff = 0;  // "without GUARD", to show that it is needed
  std::vector<Action> actions;
  std::vector<Expectation> expectations;
};

/// How one interface's scenarios are read.
struct ScenarioDialect {
  Interface interface = Interface::kStreams;
  std::string_view frontsWord;  // "fronts" or "routers"
  MonotonicTime earliest;       // no action comes before
  Duration settling;            // traffic goes on so long after the last action
  bool endsActions = false;     // no action may come after the end of the run as it is written
  /// Takes a head line of two words that only this interface has; false if it hasn't.
  std::function<bool(const std::string& word, const std::string& value)> head;
};

/// Reads a text into `scenario`, which holds the interface's defaults. An error names its line.
absl::Status readScenario(std::string_view text, const ScenarioDialect& dialect,
                          FleetScenario& scenario);
/// The lines of actions and expectations as they are written in a file.
std::string linesOf(const FleetScenario& scenario, Interface interface);

/// An error of a line; line 0 is the whole file.
absl::Status scenarioError(int line, const std::string& what);
/// Reads a number that fills the text.
bool readNumber(const std::string& text, double& number);
/// Reads "12s", "300ms" or, before the traffic, "-2s".
bool readTime(std::string text, Duration& time);

}  // namespace peppergate
