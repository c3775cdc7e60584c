// The model-check subcommand: searches schedules of a modelled fleet that runs the real control
// code, or replays one schedule.
#include <cstdio>
#include <fstream>
#include <sstream>

#include "app/commands.h"
#include "core/control_fault_injection.h"
#include "model/suite.h"

namespace peppergate {
namespace {

namespace po = boost::program_options;
using model::ModelOptions;

struct CommandOptions {
  ModelOptions model;
  model::SearchBounds search;
  model::WalkBounds walk;
  std::string replayFile, failingFile;
  bool walks = false;
  bool suite = false;
  bool quiet = false;
};

po::options_description flags() {
  po::options_description options("peppergate model-check");
  options.add_options()("help", "print this help")("machines", po::value<int>()->default_value(3),
                                                   "number of cores, 3 to 9")(
      "voters", po::value<int>()->default_value(0), "number of voter slots; 0: one per core")(
      "tolerate", po::value<int>()->default_value(1), "number of disks that may be lost at once")(
      "orders", po::value<int>()->default_value(3),
      "number of changes that two operators submit in total, 1 to 8")(
      "seed", po::value<std::uint64_t>()->default_value(1), "seed of the cores' random numbers")(
      "tick-ms", po::value<int>()->default_value(300), "interval between two ticks")(
      "horizon-ms", po::value<int>()->default_value(4500), "modelled duration of a schedule")(
      "recovery-ms", po::value<int>()->default_value(0),
      "time after the horizon within which a leader must exist; 0: not checked")(
      "granularity", po::value<std::string>()->default_value("fine"),
      "where a schedule may depart from the default order: coarse, fine or full")(
      "departures", po::value<int>()->default_value(2),
      "largest number of departures in one schedule")(
      "limit", po::value<std::vector<std::string>>()->composing(),
      "ACTION=COUNT: how often an action may occur in one schedule; '*=0' first forbids all")(
      "rule", po::value<std::vector<std::string>>()->composing(),
      "check only this rule; may be repeated; default: all rules")(
      "fault", po::value<std::vector<std::string>>()->composing(),
      "inject a fault into the control code, to verify that it is found")(
      "suite", po::bool_switch(),
      "run the fixed searches of the test suite; other flags are ignored")(
      "walks", po::value<std::string>(),
      "run random schedules of the seeds FIRST-LAST instead of a search")(
      "share", po::value<double>()->default_value(0.05),
      "share of the choices at which a random schedule departs")(
      "steered", po::bool_switch(),
      "prefer replacing cores, mostly during view changes, to losing messages in random schedules")(
      "threads", po::value<unsigned>()->default_value(2), "number of threads")(
      "seconds", po::value<double>()->default_value(600), "limit of the run in real time")(
      "most-states", po::value<std::uint64_t>()->default_value(50'000'000),
      "largest number of states kept in memory")("failing-to",
                                                 po::value<std::string>()->default_value(""),
                                                 "file to which a failing schedule is written")(
      "replay", po::value<std::string>()->default_value(""),
      "file of a schedule to run; prints its steps")("quiet", po::bool_switch(),
                                                     "print only the result of a replay");
  return options;
}

absl::Status readLimit(const std::string& text, ModelOptions& options) {
  auto equals = text.find('=');
  if (equals == std::string::npos)
    return absl::InvalidArgumentError("--limit requires ACTION=COUNT");
  char* end = nullptr;
  long count = std::strtol(text.c_str() + equals + 1, &end, 10);
  if (end == text.c_str() + equals + 1 || *end != '\0' || count < 0 || count > 1'000'000)
    return absl::InvalidArgumentError("--limit requires ACTION=COUNT");
  if (text.substr(0, equals) == "*") {
    options.limits.fill(static_cast<int>(count));
    options.limit(model::ActionKind::kRelease) = 1'000'000;
    return absl::OkStatus();
  }
  auto kind = model::parseActionKind(text.substr(0, equals));
  if (!kind.ok()) return kind.status();
  options.limit(*kind) = static_cast<int>(count);
  return absl::OkStatus();
}

absl::Status readSeeds(const std::string& text, model::WalkBounds& bounds) {
  unsigned long long first = 0, last = 0;
  char rest = 0;
  int read = std::sscanf(text.c_str(), "%llu-%llu%c", &first, &last, &rest);
  if (read == 1) last = first;
  if (read < 1 || read > 2 || first < 1 || last < first)
    return absl::InvalidArgumentError("--walks requires FIRST-LAST with 1 <= FIRST <= LAST");
  bounds.firstSeed = first;
  bounds.lastSeed = last;
  return absl::OkStatus();
}

absl::Status readModel(const po::variables_map& values, ModelOptions& options) {
  options.machines = values["machines"].as<int>();
  options.voters = values["voters"].as<int>();
  options.tolerate = values["tolerate"].as<int>();
  options.changes = values["orders"].as<int>();
  options.seed = values["seed"].as<std::uint64_t>();
  options.tick = milliseconds(values["tick-ms"].as<int>());
  options.horizon = milliseconds(values["horizon-ms"].as<int>());
  options.recovery = milliseconds(values["recovery-ms"].as<int>());
  auto granularity = model::parseGranularity(values["granularity"].as<std::string>());
  if (!granularity.ok()) return granularity.status();
  options.granularity = *granularity;
  if (values.count("limit") > 0)
    for (const auto& text : values["limit"].as<std::vector<std::string>>())
      if (auto status = readLimit(text, options); !status.ok()) return status;
  if (values.count("rule") > 0)
    for (const auto& name : values["rule"].as<std::vector<std::string>>()) {
      auto rule = model::parseRule(name);
      if (!rule.ok()) return rule.status();
      options.rules.add(*rule);
    }
  if (values.count("fault") > 0)
    for (const auto& name : values["fault"].as<std::vector<std::string>>()) {
      auto fault = parseControlFault(name);
      if (!fault.ok()) return fault.status();
      options.faults.set(*fault);
    }
  return model::checkOptions(options);
}

absl::StatusOr<CommandOptions> readOptions(const po::variables_map& values) {
  CommandOptions options;
  if (auto status = readModel(values, options.model); !status.ok()) return status;
  double time = values["seconds"].as<double>(), share = values["share"].as<double>();
  if (!(time > 0) || time > 1e6)
    return absl::InvalidArgumentError("--seconds must be above 0 and at most 1000000");
  if (!(share >= 0) || share > 1)
    return absl::InvalidArgumentError("--share must be between 0 and 1");
  options.search.departures = values["departures"].as<int>();
  if (options.search.departures < 0 || options.search.departures > 100)
    return absl::InvalidArgumentError("--departures must be between 0 and 100");
  options.search.threads = options.walk.threads = values["threads"].as<unsigned>();
  if (options.search.threads < 1 || options.search.threads > 256)
    return absl::InvalidArgumentError("--threads must be between 1 and 256");
  options.search.timeLimit = options.walk.timeLimit = seconds(time);
  options.search.maxStates = values["most-states"].as<std::uint64_t>();
  options.walk.departureProbability = share;
  if (values["steered"].as<bool>()) options.walk.steering = model::Steering::kReplacements;
  options.suite = values["suite"].as<bool>();
  options.walks = values.count("walks") > 0;
  if (options.walks)
    if (auto status = readSeeds(values["walks"].as<std::string>(), options.walk); !status.ok())
      return status;
  options.replayFile = values["replay"].as<std::string>();
  options.failingFile = values["failing-to"].as<std::string>();
  options.quiet = values["quiet"].as<bool>();
  return options;
}

int printUsageError(const absl::Status& status) {
  std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
  return kExitUsage;
}

int reportViolation(const std::string& violation) {
  if (violation.empty()) return kExitSuccess;
  std::printf("FAILED: %s\n", violation.c_str());
  return kExitFailed;
}

void printFailing(const CommandOptions& options, const std::optional<model::Schedule>& failing) {
  if (!failing) return;
  std::string text = model::scheduleText(*failing);
  std::printf("---- replay with peppergate model-check --replay FILE ----\n%s----\n", text.c_str());
  if (!options.failingFile.empty()) std::ofstream(options.failingFile) << text;
}

int replayCommand(const CommandOptions& options) {
  std::ifstream file(options.replayFile);
  if (!file) return printUsageError(absl::NotFoundError("cannot read " + options.replayFile));
  std::stringstream text;
  text << file.rdbuf();
  auto schedule = model::parseSchedule(text.str());
  if (!schedule.ok()) return printUsageError(schedule.status());
  auto report = model::replay(*schedule);
  if (!report.ok()) return printUsageError(report.status());
  if (!options.quiet)
    for (const auto& step : report->steps) std::printf("%s\n", step.c_str());
  std::printf("%d choices\n", report->choicePoints);
  return reportViolation(report->violation);
}

int searchCommand(const CommandOptions& options) {
  auto report = model::search(options.model, options.search);
  if (!report.ok()) return printUsageError(report.status());
  std::printf("%s\n", model::summaryLine(*report).c_str());
  printFailing(options, report->failingSchedule);
  return reportViolation(report->violation);
}

int walkCommand(const CommandOptions& options) {
  auto report = model::runWalks(options.model, options.walk);
  if (!report.ok()) return printUsageError(report.status());
  std::printf("%s\n", model::summaryLine(*report).c_str());
  for (const auto& [rule, count] : report->walksByRule)
    std::printf("%6llu walks: %s\n", static_cast<unsigned long long>(count), rule.c_str());
  printFailing(options, report->failingSchedule);
  return reportViolation(report->violation);
}

int suiteCommand(const CommandOptions& options) {
  std::size_t failed = 0;
  auto results = model::runSuite(options.search.threads);
  for (const auto& result : results) {
    std::printf("%s%s: %s\n", result.passed ? "" : "FAILED ", result.name.c_str(),
                result.summary.c_str());
    if (!result.passed) ++failed;
    printFailing(options, result.failingSchedule);
  }
  std::printf("%zu passed, %zu failed\n", results.size() - failed, failed);
  return failed == 0 ? kExitSuccess : kExitFailed;
}

}  // namespace

int modelCheckCommand(const Arguments& arguments) {
  po::options_description options = flags();
  po::variables_map values;
  if (int code = parseArguments(arguments, options, values); code >= 0) return code;
  auto read = readOptions(values);
  if (!read.ok()) return printUsageError(read.status());
  if (!read->replayFile.empty()) return replayCommand(*read);
  if (read->suite) return suiteCommand(*read);
  return read->walks ? walkCommand(*read) : searchCommand(*read);
}

}  // namespace peppergate
