#include "sim/mixed_schedule.h"

#include <algorithm>
#include <sstream>

#include "sim/router_scenario.h"
#include "sim/runner.h"
#include "sim/schedule_shrinker.h"

namespace peppergate {
namespace {

constexpr double kFirstFaultSeconds = 0.5;   // seconds after the start of traffic
constexpr double kClosingDelaySeconds = 6;   // seconds from the last repairs to the closing action
constexpr double kRepairDelaySeconds = 0.5;  // seconds from the last fault to the last repairs
constexpr double kTrafficAfterLastActionSeconds = 19;  // seconds of traffic after the last action

ScheduleSize generateSize(Random& random, Interface interface) {
  ScheduleSize size;
  size.interface = interface;
  constexpr std::array kCores{3, 3, 4, 5};
  size.cores = kCores[random.below(kCores.size())];
  size.tolerate = size.cores == 5 && random.below(2) == 0 ? 2 : 1;
  size.spares = 2;
  return size;
}

std::string makeHeader(std::uint64_t seed, const ScheduleSize& size) {
  bool routers = size.interface == Interface::kRouters;
  std::ostringstream text;
  text << "# A random schedule, seed " << seed << ", of at most " << size.tolerate
       << " core machines lost at once.\nname mixed-" << (routers ? "routers-" : "streams-") << seed
       << "\n"
       << (routers ? "routers " : "fronts ") << size.fronts << "\ncores " << size.cores
       << "\nspares " << size.spares << "\nengines " << size.engines
       << "\nstart-spread 0.3s\nsettles 0.85\nprop backups " << size.tolerate << "\n";
  if (routers) text << "requests 8\nfenced " << seed % 2 << "\n";
  else text << "requests 6\nfounded by-seeds\nprofile hutline\n";
  return text.str();
}

/// Actions that end every fault that may still be active.
constexpr std::array<std::string_view, 7> kRepairs{
    "heal",       "thaw all",   "disk cores good", "throttle all 0",
    "loss 0.002", "late 0.003", "start all"};

void addRepairs(std::vector<std::string>& lines, double at) {
  for (std::string_view words : kRepairs) {
    std::ostringstream line;
    line << "at " << at << "s " << words;
    lines.push_back(line.str());
  }
}

double actionSeconds(const std::string& line) { return std::strtod(line.c_str() + 3, nullptr); }

/// The kind of a failure: its text up to the first number or colon.
std::string failureKind(const std::string& failure) {
  return failure.substr(0, failure.find_first_of(":0123456789"));
}

bool failsWithKind(const MixedSchedule& schedule, const std::string& kind) {
  MixedScheduleReport report = runMixedSchedule(schedule);
  return std::ranges::any_of(
      report.failures, [&](const std::string& failure) { return failureKind(failure) == kind; });
}

}  // namespace

std::string MixedSchedule::text() const {
  double last = 0;
  for (const auto& line : actionLines) last = std::max(last, actionSeconds(line));
  std::ostringstream text;
  text << header << "run " << static_cast<int>(last + kTrafficAfterLastActionSeconds) << "s\n";
  for (const auto& line : actionLines) text << line << "\n";
  text << "expect clean\n";
  if (interface == Interface::kStreams) text << "expect primary\n";
  return text.str();
}

MixedSchedule generateMixedSchedule(std::uint64_t seed, Interface interface) {
  Random random(seed * 31 + 5);
  ScheduleSize size = generateSize(random, interface);
  ScheduleGenerator drawer(seed, size);
  double at = kFirstFaultSeconds + 3 * random.fraction();
  for (int moments = 4 + static_cast<int>(random.below(4)); moments > 0; --moments) {
    drawer.addFaults(at);
    at += 2 + 7 * random.fraction();
  }
  MixedSchedule schedule{seed, interface, makeHeader(seed, size), {}};
  double repairsAt = std::max(at, drawer.lastTime()) + kRepairDelaySeconds;
  if (random.below(2) == 0) drawer.addClosingFault(repairsAt + kClosingDelaySeconds);
  addRepairs(schedule.actionLines, repairsAt);
  auto lines = drawer.lines();
  schedule.actionLines.insert(schedule.actionLines.end(), lines.begin(), lines.end());
  std::ranges::stable_sort(schedule.actionLines, {}, actionSeconds);
  return schedule;
}

MixedScheduleReport runMixedSchedule(const MixedSchedule& schedule) {
  if (schedule.interface == Interface::kStreams) {
    auto scenario = parseScenario(schedule.text());
    if (!scenario.ok())
      return {"mixed", schedule.seed, {std::string(scenario.status().message())}, {}};
    RunReport report = runScenario(*scenario, schedule.seed);
    return {report.scenario,
            schedule.seed,
            report.failures,
            {report.figures.begin(), report.figures.end()}};
  }
  auto scenario = parseRouterScenario(schedule.text());
  if (!scenario.ok())
    return {"mixed", schedule.seed, {std::string(scenario.status().message())}, {}};
  RouterReport report = runRouterScenario(*scenario, schedule.seed);
  return {report.scenario, schedule.seed, report.failures, report.figures};
}

MixedSchedule shrinkMixedSchedule(const MixedSchedule& schedule, const MixedScheduleReport& report,
                                  int maxRuns) {
  if (report.failures.empty()) return schedule;
  std::string kind = failureKind(report.failures.front());
  MixedSchedule shortest = schedule;
  auto fails = [&](const std::vector<std::string>& lines) {
    MixedSchedule shorter = schedule;
    shorter.actionLines = lines;
    return failsWithKind(shorter, kind);
  };
  shortest.actionLines = shrinkLines(schedule.actionLines, fails, maxRuns);
  return shortest;
}

}  // namespace peppergate
