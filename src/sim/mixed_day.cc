#include "sim/mixed_day.h"

#include <algorithm>
#include <sstream>

#include "sim/router_scenario.h"
#include "sim/runner.h"
#include "sim/shrink.h"

namespace peppergate {
namespace {

constexpr double kFirstMoment = 0.5;  // seconds after the start of traffic
constexpr double kClosingAfter = 6;   // seconds from the last repairs to the closing action
constexpr double kWholeAfter = 0.5;   // seconds from the last fault to the last repairs
constexpr double kSettling = 19;      // seconds of traffic after the last action

ScheduleSize drawSize(Random& random, Interface interface) {
  ScheduleSize size;
  size.interface = interface;
  constexpr std::array kCores{3, 3, 4, 5};
  size.cores = kCores[random.below(kCores.size())];
  size.tolerate = size.cores == 5 && random.below(2) == 0 ? 2 : 1;
  size.spares = 2;
  return size;
}

std::string headOf(std::uint64_t seed, const ScheduleSize& size) {
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

void repair(std::vector<std::string>& lines, double at) {
  for (std::string_view words : kRepairs) {
    std::ostringstream line;
    line << "at " << at << "s " << words;
    lines.push_back(line.str());
  }
}

double timeOf(const std::string& line) { return std::strtod(line.c_str() + 3, nullptr); }

/// The kind of a failure: its text up to the first number or colon.
std::string kindOf(const std::string& failure) {
  return failure.substr(0, failure.find_first_of(":0123456789"));
}

bool failsAlike(const MixedDay& day, const std::string& kind) {
  MixedReport report = runMixedDay(day);
  return std::ranges::any_of(report.failures,
                             [&](const std::string& failure) { return kindOf(failure) == kind; });
}

}  // namespace

std::string MixedDay::text() const {
  double last = 0;
  for (const auto& line : lines) last = std::max(last, timeOf(line));
  std::ostringstream text;
  text << head << "run " << static_cast<int>(last + kSettling) << "s\n";
  for (const auto& line : lines) text << line << "\n";
  text << "expect clean\n";
  if (interface == Interface::kStreams) text << "expect primary\n";
  return text.str();
}

MixedDay drawMixedDay(std::uint64_t seed, Interface interface) {
  Random random(seed * 31 + 5);
  ScheduleSize size = drawSize(random, interface);
  ScheduleDrawer drawer(seed, size);
  double at = kFirstMoment + 3 * random.fraction();
  for (int moments = 4 + static_cast<int>(random.below(4)); moments > 0; --moments) {
    drawer.drawMoment(at);
    at += 2 + 7 * random.fraction();
  }
  MixedDay day{seed, interface, headOf(seed, size), {}};
  double whole = std::max(at, drawer.last()) + kWholeAfter;
  if (random.below(2) == 0) drawer.drawClosing(whole + kClosingAfter);
  repair(day.lines, whole);
  auto lines = drawer.lines();
  day.lines.insert(day.lines.end(), lines.begin(), lines.end());
  std::ranges::stable_sort(day.lines, {}, timeOf);
  return day;
}

MixedReport runMixedDay(const MixedDay& day) {
  if (day.interface == Interface::kStreams) {
    auto scenario = parseScenario(day.text());
    if (!scenario.ok()) return {"mixed", day.seed, {std::string(scenario.status().message())}, {}};
    RunReport report = runScenario(*scenario, day.seed);
    return {
        report.scenario, day.seed, report.failures, {report.figures.begin(), report.figures.end()}};
  }
  auto scenario = parseRouterScenario(day.text());
  if (!scenario.ok()) return {"mixed", day.seed, {std::string(scenario.status().message())}, {}};
  RouterReport report = runRouters(*scenario, day.seed);
  return {report.scenario, day.seed, report.failures, report.figures};
}

MixedDay shrinkMixedDay(const MixedDay& day, const MixedReport& report, int mostRuns) {
  if (report.failures.empty()) return day;
  std::string kind = kindOf(report.failures.front());
  MixedDay least = day;
  auto fails = [&](const std::vector<std::string>& lines) {
    MixedDay shorter = day;
    shorter.lines = lines;
    return failsAlike(shorter, kind);
  };
  least.lines = shrinkLines(day.lines, fails, mostRuns);
  return least;
}

}  // namespace peppergate
