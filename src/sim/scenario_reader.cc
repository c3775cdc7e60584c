#include "sim/scenario_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <sstream>

#include "core/options.h"

namespace peppergate {
namespace {

using Words = std::vector<std::string>;

struct TargetRow {
  std::string_view word;
  char kind;  // as in VerbRow::targets
};
constexpr std::array<TargetRow, 15> kTargets{{
    {"core", 'c'},
    {"front", 'f'},
    {"router", 'f'},
    {"engine", 'e'},
    {"store", 's'},
    {"primary", 'p'},
    {"backup", 'p'},
    {"other-backup", 'p'},
    {"witness", 'p'},
    {"all", 'a'},
    {"other-witness", 'p'},
    {"cores", 'a'},
    {"fronts", 'a'},
    {"half", 'a'},
    {"routers", 'a'},
}};

char targetKind(const std::string& word) {
  auto row = std::ranges::find(kTargets, word, &TargetRow::word);
  return row == kTargets.end() ? '?' : row->kind;
}

/// Parses the lines of one file.
class ScenarioParser {
 public:
  ScenarioParser(const ScenarioDialect& dialect, FleetScenario& scenario)
      : dialect_(dialect), scenario_(scenario) {}

  absl::Status parse(std::string_view text) {
    std::istringstream lines{std::string(text)};
    std::string line;
    while (std::getline(lines, line)) {
      ++line_;
      std::istringstream stream(line.substr(0, line.find('#')));
      Words words;
      for (std::string word; stream >> word;) words.push_back(word);
      if (words.empty()) continue;
      if (absl::Status status = readLine(words); !status.ok()) return status;
    }
    return checkScenario();
  }

 private:
  absl::Status lineError(const std::string& what) const { return scenarioError(line_, what); }

  absl::Status readLine(const Words& words) {
    if (words[0] == "at") return readAction(words);
    if (words[0] == "expect") return readExpectation(words);
    return readHeader(words);
  }

  absl::Status readAction(const Words& words) {
    Action action;
    action.line = line_;
    Duration at;
    if (words.size() < 3 || !readTime(words[1], at))
      return lineError("'at' needs a time and a verb");
    action.at = MonotonicTime{} + at;
    if (action.at < dialect_.earliestAction) return lineError("action before the warm-up");
    auto rows = verbsOf(dialect_.interface);
    auto row = std::ranges::find(rows, words[2], &VerbRow::word);
    if (row == rows.end()) return lineError("unknown verb '" + words[2] + "'");
    action.verb = row->verb;
    action.words.assign(words.begin() + 3, words.end());
    if (action.words.size() < row->minWords || action.words.size() > row->maxWords)
      return lineError("'" + words[2] + "' has the wrong number of words");
    if (!row->targets.empty())
      if (absl::Status status = checkTarget(*row, action.words); !status.ok()) return status;
    if (!scenario_.actions.empty() && action.at < scenario_.actions.back().at)
      return lineError("time out of order");
    scenario_.actions.push_back(std::move(action));
    return absl::OkStatus();
  }

  absl::Status checkTarget(const VerbRow& row, const Words& words) const {
    char kind = targetKind(words[0]);
    if (row.targets.find(kind) == std::string_view::npos)
      return lineError("'" + std::string(row.word) + "' can't be done to '" + words[0] + "'");
    if (kind != 'c' && kind != 'f' && kind != 'e') return absl::OkStatus();
    double number = 0;
    if (words.size() < 2 || !readNumber(words[1], number))
      return lineError("'" + words[0] + "' needs its number");
    int count = kind == 'c'   ? scenario_.cores + scenario_.spares
                : kind == 'f' ? scenario_.fronts
                              : scenario_.engines;
    if (number < 1 || number > count) return lineError("there is no " + words[0] + " " + words[1]);
    return absl::OkStatus();
  }

  absl::Status readExpectation(const Words& words) {
    Expectation expectation;
    expectation.line = line_;
    if (words.size() < 2) return lineError("'expect' needs a word");
    auto rows = expectationsOf(dialect_.interface);
    auto row = std::ranges::find(rows, words[1], &ExpectationRow::word);
    if (row == rows.end()) return lineError("unknown expectation '" + words[1] + "'");
    expectation.kind = row->kind;
    std::size_t at = 2;
    if (row->takesNumber && (at >= words.size() || !readNumber(words[at++], expectation.number)))
      return lineError("'" + words[1] + "' needs a number");
    if (row->kind == ExpectationKind::kDeclinedAs && at < words.size())
      expectation.word = words[at++];
    for (; at + 1 < words.size(); at += 2) {
      Duration time;
      if (!readTime(words[at + 1], time) || time < Duration{})
        return lineError("'" + words[at + 1] + "' is not a time");
      if (words[at] == "from") expectation.from = MonotonicTime{} + time;
      else if (words[at] == "to" || words[at] == "at") expectation.to = MonotonicTime{} + time;
      else return lineError("unknown word '" + words[at] + "'");
    }
    if (at < words.size()) return lineError("unknown word '" + words[at] + "'");
    if (expectation.to != kForever && expectation.to < expectation.from)
      return lineError("expectation ends before it begins");
    scenario_.expectations.push_back(expectation);
    return absl::OkStatus();
  }

  absl::Status readHeader(const Words& words) {
    if (words[0] == "prop") {
      Options options;
      if (words.size() != 3 || !setOption(options, words[1], words[2]).ok())
        return lineError("'prop' needs a known name and a number");
      scenario_.options.emplace_back(words[1], words[2]);
      return absl::OkStatus();
    }
    if (words.size() != 2) return lineError("'" + words[0] + "' needs one word");
    if (words[0] == "name") {
      scenario_.name = words[1];
      return absl::OkStatus();
    }
    if (words[0] == "without") {
      auto guard = std::ranges::find(kSafetyGuardNames, words[1]);
      if (guard == kSafetyGuardNames.end()) return lineError("unknown guard '" + words[1] + "'");
      scenario_.disabledGuards |= 1U << static_cast<unsigned>(guard - kSafetyGuardNames.begin());
      return absl::OkStatus();
    }
    if (words[0] == "run" || words[0] == "start-spread") {
      Duration& time = words[0] == "run" ? scenario_.run : scenario_.startSpread;
      if (readTime(words[1], time) && time >= Duration{}) return absl::OkStatus();
      return lineError("'" + words[1] + "' is not a time");
    }
    if (dialect_.readHeader(words[0], words[1])) return absl::OkStatus();
    return readNumberHeader(words);
  }

  absl::Status readNumberHeader(const Words& words) {
    double number = 0;
    if (!readNumber(words[1], number) || number < 0)
      return lineError("'" + words[0] + "' needs a number");
    int count = static_cast<int>(number);
    if (words[0] == dialect_.frontsWord) scenario_.fronts = count;
    else if (words[0] == "cores") scenario_.cores = count;
    else if (words[0] == "spares") scenario_.spares = count;
    else if (words[0] == "engines") scenario_.engines = count;
    else if (words[0] == "requests") scenario_.requestsPerSecond = number;
    else if (words[0] == "settles") scenario_.servedAfterFaults = number;
    else return lineError("unknown word '" + words[0] + "'");
    return absl::OkStatus();
  }

  absl::Status checkScenario() {
    if (scenario_.name.empty()) return scenarioError(0, "a scenario needs a name");
    if (scenario_.expectations.empty())
      return scenarioError(0, "a scenario needs at least one expectation");
    if (scenario_.fronts < 1 || scenario_.cores < 1 || scenario_.engines < 1)
      return scenarioError(
          0, "a fleet needs " + std::string(dialect_.frontsWord) + ", cores and engines");
    if (scenario_.actions.empty()) return absl::OkStatus();
    // Traffic continues long enough after the last fault to check that the fleet recovers.
    Duration lastActionTime = scenario_.actions.back().at - MonotonicTime{};
    if (dialect_.rejectsLateActions && lastActionTime > scenario_.run)
      return scenarioError(scenario_.actions.back().line, "action after the end of the run");
    scenario_.run = std::max(scenario_.run, lastActionTime + dialect_.trafficAfterLastAction);
    return absl::OkStatus();
  }

  const ScenarioDialect& dialect_;
  FleetScenario& scenario_;
  int line_ = 0;
};

std::string formatTime(MonotonicTime at) {
  std::ostringstream text;
  text.precision(12);
  text << inSeconds(at - MonotonicTime{}) << "s";
  return text.str();
}

}  // namespace

absl::Status scenarioError(int line, const std::string& what) {
  return absl::InvalidArgumentError("line " + std::to_string(line) + ": " + what);
}

bool readNumber(const std::string& text, double& number) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc{} && end == text.data() + text.size();
}

bool readTime(std::string text, Duration& time) {
  double number = 0;
  bool isNegative = text.starts_with("-");  // before the traffic begins
  if (isNegative) text.erase(0, 1);
  if (text.size() < 2 || !text.ends_with("s")) return false;
  bool isMilliseconds = text.ends_with("ms");
  text.resize(text.size() - (isMilliseconds ? 2 : 1));
  if (!readNumber(text, number) || number < 0) return false;
  // Rounded, so that a time written from microseconds is read back unchanged.
  time = Duration{std::llround(number * (isMilliseconds ? 1e3 : 1e6) * (isNegative ? -1 : 1))};
  return true;
}

absl::Status readScenario(std::string_view text, const ScenarioDialect& dialect,
                          FleetScenario& scenario) {
  return ScenarioParser(dialect, scenario).parse(text);
}

std::string formatScenarioLines(const FleetScenario& scenario, Interface interface) {
  std::ostringstream text;
  for (const auto& action : scenario.actions) {
    text << "at " << formatTime(action.at) << " " << wordOf(action.verb, interface);
    for (const auto& word : action.words) text << " " << word;
    text << "\n";
  }
  for (const auto& expectation : scenario.expectations) {
    text << "expect " << wordOf(expectation.kind, interface);
    auto rows = expectationsOf(interface);
    auto row = std::ranges::find(rows, expectation.kind, &ExpectationRow::kind);
    if (row != rows.end() && row->takesNumber) text << " " << expectation.number;
    if (!expectation.word.empty()) text << " " << expectation.word;
    if (expectation.from > MonotonicTime{}) text << " from " << formatTime(expectation.from);
    if (expectation.to != kForever) text << " to " << formatTime(expectation.to);
    text << "\n";
  }
  return text.str();
}

}  // namespace peppergate
