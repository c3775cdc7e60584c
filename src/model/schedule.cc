#include "model/schedule.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include "core/control_fault_injection.h"

namespace peppergate::model {
namespace {

absl::Status invalidLine(const std::string& line, std::string_view why) {
  return absl::InvalidArgumentError("schedule line '" + line + "': " + std::string(why));
}

bool parseNumber(std::string_view text, std::int64_t& number) {
  const char* end = text.data() + text.size();
  auto [parsedEnd, error] = std::from_chars(text.data(), end, number);
  return error == std::errc{} && parsedEnd == end && !text.empty();
}

absl::Status parseDeparture(const std::string& line, std::string_view rest, Schedule& schedule) {
  auto space = rest.find(' ');
  std::int64_t position = 0;
  if (space == std::string_view::npos || !parseNumber(rest.substr(0, space), position) ||
      position < 0 || position > 1'000'000)
    return invalidLine(line, "expected: at POSITION ACTION");
  auto action = parseAction(rest.substr(space + 1));
  if (!action.ok()) return invalidLine(line, std::string(action.status().message()));
  schedule.departures.push_back({static_cast<int>(position), *action});
  return absl::OkStatus();
}

absl::Status parseLimit(const std::string& line, std::string_view rest, ModelOptions& options) {
  auto space = rest.find(' ');
  std::int64_t count = 0;
  auto kind = parseActionKind(rest.substr(0, space));
  if (!kind.ok()) return invalidLine(line, std::string(kind.status().message()));
  if (space == std::string_view::npos || !parseNumber(rest.substr(space + 1), count) || count < 0 ||
      count > 1'000'000)
    return invalidLine(line, "expected: limit ACTION COUNT");
  options.limit(*kind) = static_cast<int>(count);
  return absl::OkStatus();
}

absl::Status parseOption(const std::string& line, std::string_view name, std::string_view value,
                         ModelOptions& options) {
  if (name == "granularity") {
    auto granularity = parseGranularity(value);
    if (!granularity.ok()) return invalidLine(line, std::string(granularity.status().message()));
    options.granularity = *granularity;
    return absl::OkStatus();
  }
  if (name == "fault") {
    auto fault = parseControlFault(value);
    if (!fault.ok()) return invalidLine(line, std::string(fault.status().message()));
    options.faults.set(*fault);
    return absl::OkStatus();
  }
  if (name == "rule") {
    auto rule = parseRule(value);
    if (!rule.ok()) return invalidLine(line, std::string(rule.status().message()));
    options.rules.add(*rule);
    return absl::OkStatus();
  }
  std::int64_t number = 0;
  if (!parseNumber(value, number) || number < 0 || number > 1'000'000'000)
    return invalidLine(line, "the value must be an integer from 0 to 1000000000");
  if (name == "machines") options.machines = static_cast<int>(number);
  else if (name == "voters") options.voters = static_cast<int>(number);
  else if (name == "tolerate") options.tolerate = static_cast<int>(number);
  else if (name == "orders") options.changes = static_cast<int>(number);
  else if (name == "seed") options.seed = static_cast<std::uint64_t>(number);
  else if (name == "tick-ms") options.tick = milliseconds(number);
  else if (name == "horizon-ms") options.horizon = milliseconds(number);
  else if (name == "catch-up-ms") options.catchUp = milliseconds(number);
  else if (name == "recovery-ms") options.recovery = milliseconds(number);
  else return invalidLine(line, "unknown option");
  return absl::OkStatus();
}

absl::Status parseLine(const std::string& line, Schedule& schedule) {
  std::string_view text = line;
  auto space = text.find(' ');
  if (space == std::string_view::npos) return invalidLine(line, "expected: NAME VALUE");
  std::string_view name = text.substr(0, space), rest = text.substr(space + 1);
  if (name == "at") return parseDeparture(line, rest, schedule);
  if (name == "limit") return parseLimit(line, rest, schedule.options);
  return parseOption(line, name, rest, schedule.options);
}

}  // namespace

ModelWorld runSchedule(const ModelWorld& settled, const std::vector<Departure>& departures) {
  ModelWorld world = settled;
  auto next = departures.begin();
  while (!world.hasEnded()) {
    Action action;
    if (next != departures.end() && next->position == world.position()) action = (next++)->action;
    world.apply(action);
  }
  world.finish();
  return world;
}

absl::StatusOr<ReplayReport> replay(const Schedule& schedule) {
  auto settled = ModelWorld::createSettled(schedule.options);
  if (!settled.ok()) return settled.status();
  settled->enableTrace();
  ModelWorld world = runSchedule(*settled, schedule.departures);
  return ReplayReport{world.checker().violation(), world.position(), world.steps()};
}

std::string scheduleText(const Schedule& schedule) {
  const ModelOptions& options = schedule.options;
  std::ostringstream text;
  text << "machines " << options.machines << "\nvoters " << options.voters << "\ntolerate "
       << options.tolerate << "\norders " << options.changes << "\nseed " << options.seed
       << "\ntick-ms " << inMilliseconds(options.tick) << "\nhorizon-ms "
       << inMilliseconds(options.horizon) << "\ncatch-up-ms " << inMilliseconds(options.catchUp)
       << "\nrecovery-ms " << inMilliseconds(options.recovery) << "\ngranularity "
       << granularityName(options.granularity) << "\n";
  for (std::string_view name : options.faults.names()) text << "fault " << name << "\n";
  for (std::size_t rule = 0; rule < kRuleNames.size() && !options.rules.includesAll(); ++rule)
    if (options.rules.has(static_cast<Rule>(rule))) text << "rule " << kRuleNames.at(rule) << "\n";
  const auto defaults = ModelOptions::defaultLimits();
  for (std::size_t kind = 0; kind < kActionKindCount; ++kind)
    if (options.limits.at(kind) != defaults.at(kind))
      text << "limit " << actionName(static_cast<ActionKind>(kind)) << " "
           << options.limits.at(kind) << "\n";
  for (const auto& departure : schedule.departures)
    text << "at " << departure.position << " " << actionText(departure.action) << "\n";
  return text.str();
}

absl::StatusOr<Schedule> parseSchedule(const std::string& text) {
  Schedule schedule;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.empty() || line.starts_with("#")) continue;
    if (auto status = parseLine(line, schedule); !status.ok()) return status;
  }
  if (auto status = checkOptions(schedule.options); !status.ok()) return status;
  if (!std::ranges::is_sorted(schedule.departures, {}, &Departure::position))
    return absl::InvalidArgumentError("departures must be in ascending order of position");
  return schedule;
}

std::vector<Departure> minimizeDepartures(const ModelWorld& settled,
                                          std::vector<Departure> departures,
                                          const std::string& violation) {
  for (bool removedAny = true; removedAny;) {
    removedAny = false;
    for (std::size_t index = departures.size(); index-- > 0;) {
      std::vector<Departure> fewer = departures;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(index));
      if (runSchedule(settled, fewer).checker().violation() != violation) continue;
      departures = std::move(fewer);
      removedAny = true;
    }
  }
  return departures;
}

}  // namespace peppergate::model
