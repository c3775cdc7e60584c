#include "sim/router_scenario.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

#include "core/options.h"
#include "core/random.h"
#include "sim/router_world.h"

namespace peppergate {
namespace {

struct VerbRow {
  std::string_view verb;
  std::size_t least, most;  // words after it
};
constexpr std::array<VerbRow, 31> kVerbs{{
    {"kill", 1, 2},    {"start", 1, 2},   {"freeze", 1, 2},  {"thaw", 1, 2},    {"wipe", 1, 2},
    {"replace", 1, 2}, {"cut", 1, 20},    {"heal", 0, 0},    {"crash", 1, 2},   {"dark", 2, 2},
    {"light", 1, 1},   {"release", 1, 1}, {"leave", 1, 1},   {"garble", 2, 2},  {"slow", 2, 2},
    {"link", 1, 1},    {"events", 1, 1},  {"store", 1, 1},   {"amend", 0, 0},   {"swap", 0, 0},
    {"race", 0, 0},    {"storm", 1, 1},   {"invalid", 0, 0}, {"version", 1, 1}, {"withdraw", 1, 1},
    {"hup", 1, 2},     {"stop", 1, 2},    {"traffic", 1, 1}, {"late", 1, 1},    {"loss", 1, 1},
    {"list", 1, 1},
}};
constexpr std::array<std::string_view, 6> kExpected{"clean",        "served",   "served-at-most",
                                                    "acknowledged", "versions", "kept"};

absl::Status wrong(int line, const std::string& what) {
  return absl::InvalidArgumentError("line " + std::to_string(line) + ": " + what);
}

bool readNumber(const std::string& text, double& number) {
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  return fault == std::errc{} && end == text.data() + text.size();
}

bool readTime(const std::string& text, Duration& time) {
  double number = 0;
  bool good = text.ends_with("s") && readNumber(text.substr(0, text.size() - 1), number);
  time = seconds(number);
  return good && number >= 0;
}

absl::Status readAction(const std::vector<std::string>& words, int line, RouterScenario& scenario) {
  Duration at;
  if (words.size() < 3 || !readTime(words[1], at))
    return wrong(line, "'at' needs a time and a verb");
  auto row = std::ranges::find(kVerbs, words[2], &VerbRow::verb);
  if (row == kVerbs.end()) return wrong(line, "unknown verb '" + words[2] + "'");
  RouterAction action{MonotonicTime{} + at, words[2], {words.begin() + 3, words.end()}, line};
  if (action.words.size() < row->least || action.words.size() > row->most)
    return wrong(line, "'" + words[2] + "' has the wrong number of words");
  if (!scenario.actions.empty() && action.at < scenario.actions.back().at)
    return wrong(line, "time out of order");
  scenario.actions.push_back(std::move(action));
  return absl::OkStatus();
}

absl::Status readExpectation(const std::vector<std::string>& words, int line,
                             RouterScenario& scenario) {
  RouterExpectation expectation;
  expectation.line = line;
  if (words.size() < 2 || std::ranges::find(kExpected, words[1]) == kExpected.end())
    return wrong(line, "'expect' needs a known word");
  expectation.word = words[1];
  std::size_t at = 2;
  if (words[1] != "clean" && (at >= words.size() || !readNumber(words[at++], expectation.number)))
    return wrong(line, "'" + words[1] + "' needs a number");
  for (; at + 1 < words.size(); at += 2) {
    Duration time;
    if (!readTime(words[at + 1], time)) return wrong(line, "'" + words[at + 1] + "' is no time");
    if (words[at] == "from") expectation.from = MonotonicTime{} + time;
    else if (words[at] == "to") expectation.to = MonotonicTime{} + time;
    else return wrong(line, "unknown word '" + words[at] + "'");
  }
  if (at < words.size()) return wrong(line, "unknown word '" + words[at] + "'");
  scenario.expectations.push_back(expectation);
  return absl::OkStatus();
}

absl::Status readHead(const std::vector<std::string>& words, int line, RouterScenario& scenario) {
  if (words[0] == "prop") {
    Options options;
    if (words.size() != 3 || !setOption(options, words[1], words[2]).ok())
      return wrong(line, "'prop' needs a known name and a number");
    scenario.options.emplace_back(words[1], words[2]);
    return absl::OkStatus();
  }
  if (words.size() != 2) return wrong(line, "'" + words[0] + "' needs one word");
  if (words[0] == "name") return scenario.name = words[1], absl::OkStatus();
  if (words[0] == "without") {
    auto guard = std::ranges::find(kGuardNames, words[1]);
    if (guard == kGuardNames.end()) return wrong(line, "unknown guard '" + words[1] + "'");
    scenario.guardsOff |= 1U << static_cast<unsigned>(guard - kGuardNames.begin());
    return absl::OkStatus();
  }
  if (words[0] == "run") {
    bool good = readTime(words[1], scenario.run);
    return good ? absl::OkStatus() : wrong(line, "'" + words[1] + "' is no time");
  }
  double number = 0;
  if (!readNumber(words[1], number) || number < 0)
    return wrong(line, "'" + words[0] + "' needs a number");
  if (words[0] == "routers" && number >= 1) scenario.routers = static_cast<int>(number);
  else if (words[0] == "cores" && number >= 1) scenario.cores = static_cast<int>(number);
  else if (words[0] == "engines" && number >= 2) scenario.engines = static_cast<int>(number);
  else if (words[0] == "requests") scenario.requests = number;
  else if (words[0] == "fenced") scenario.fenced = number > 0;
  else if (words[0] == "events-lost" && number <= 1) scenario.eventsLost = number;
  else if (words[0] == "settles") scenario.settles = number;
  else return wrong(line, "unknown word '" + words[0] + "'");
  return absl::OkStatus();
}

std::string timeText(MonotonicTime at) {
  std::ostringstream text;
  text << inSeconds(at - MonotonicTime{}) << "s";
  return text.str();
}

}  // namespace

absl::StatusOr<RouterScenario> parseRouterScenario(std::string_view text) {
  RouterScenario scenario;
  std::istringstream lines{std::string(text)};
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    std::istringstream stream(line.substr(0, line.find('#')));
    std::vector<std::string> words;
    for (std::string word; stream >> word;) words.push_back(word);
    if (words.empty()) continue;
    absl::Status status = words[0] == "at"       ? readAction(words, number, scenario)
                          : words[0] == "expect" ? readExpectation(words, number, scenario)
                                                 : readHead(words, number, scenario);
    if (!status.ok()) return status;
  }
  if (scenario.name.empty()) return wrong(0, "a scenario needs a name");
  if (scenario.expectations.empty())
    return wrong(0, "a scenario without expectation proves nothing");
  // Traffic goes on long enough after the last fault to see the fleet serve again.
  if (!scenario.actions.empty())
    scenario.run =
        std::max(scenario.run, scenario.actions.back().at - MonotonicTime{} + seconds(16));
  return scenario;
}

std::string RouterScenario::text() const {
  std::ostringstream text;
  text << "name " << name << "\nrouters " << routers << "\ncores " << cores << "\nengines "
       << engines << "\nrequests " << requests << "\nfenced " << fenced << "\nevents-lost "
       << eventsLost << "\nsettles " << settles << "\nrun " << inSeconds(run) << "s\n";
  for (const auto& [prop, value] : options) text << "prop " << prop << " " << value << "\n";
  for (const auto& action : actions) {
    text << "at " << timeText(action.at) << " " << action.verb;
    for (const auto& word : action.words) text << " " << word;
    text << "\n";
  }
  for (const auto& expectation : expectations) {
    text << "expect " << expectation.word;
    if (expectation.word != "clean") text << " " << expectation.number;
    if (expectation.from > MonotonicTime{}) text << " from " << timeText(expectation.from);
    if (expectation.to != kForever) text << " to " << timeText(expectation.to);
    text << "\n";
  }
  return text.str();
}

}  // namespace peppergate
