#include "model/suite.h"

#include <array>
#include <cstdio>

namespace peppergate::model {
namespace {

constexpr Duration kPartTimeLimit = seconds(120);  // a part that takes longer fails

constexpr Duration kRecoveryTime = seconds(12);  // for a leader after the end of a random schedule

/// One part of the suite. With `walks` above 0 it runs random schedules instead of a search.
struct SuitePart {
  const char* name;
  int machines, voters, tolerate, changes;
  double horizon;  // seconds
  Granularity granularity;
  int departures;
  std::uint64_t walks;
  Steering steering = Steering::kNone;
};

// All parts check all rules, except that only random schedules check `recovery`.
constexpr std::array<SuitePart, 12> kSuiteParts{{
    {"three machines, one departure", 3, 0, 1, 3, 3.6, Granularity::kFine, 1, 0},
    {"three machines, one departure, each message", 3, 0, 1, 3, 1.8, Granularity::kFull, 1, 0},
    {"four machines, one departure", 4, 0, 1, 4, 3, Granularity::kFine, 1, 0},
    {"four machines, three voters, one departure", 4, 3, 1, 3, 3, Granularity::kFine, 1, 0},
    {"five machines, two may be lost, one departure", 5, 0, 2, 4, 2.4, Granularity::kFine, 1, 0},
    {"three machines, two departures between calls", 3, 0, 1, 3, 1.5, Granularity::kCoarse, 2, 0},
    {"three machines, random", 3, 0, 1, 6, 9, Granularity::kFine, 0, 1500},
    {"five machines, two may be lost, random", 5, 0, 2, 6, 9, Granularity::kFine, 0, 500},
    {"three machines, replacements", 3, 0, 1, 6, 14, Granularity::kFine, 0, 1000,
     Steering::kReplacements},
    {"four machines, replacements", 4, 0, 1, 6, 14, Granularity::kFine, 0, 1000,
     Steering::kReplacements},
    {"five machines, two may be lost, replacements", 5, 0, 2, 6, 14, Granularity::kFine, 0, 500,
     Steering::kReplacements},
    {"five machines, three voters, replacements", 5, 3, 1, 6, 14, Granularity::kFine, 0, 500,
     Steering::kReplacements},
}};

ModelOptions modelOptionsFor(const SuitePart& part) {
  ModelOptions options;
  options.machines = part.machines;
  options.voters = part.voters;
  options.tolerate = part.tolerate;
  options.changes = part.changes;
  options.horizon = seconds(part.horizon);
  options.granularity = part.granularity;
  if (part.walks > 0) options.recovery = kRecoveryTime;
  return options;
}

SuiteResult runSearchPart(const SuitePart& part, unsigned threads) {
  SearchBounds bounds;
  bounds.departures = part.departures;
  bounds.threads = threads;
  bounds.timeLimit = kPartTimeLimit;
  auto report = search(modelOptionsFor(part), bounds);
  if (!report.ok()) return {part.name, std::string(report.status().message()), false, {}};
  return {part.name,
          summaryLine(*report) + (report->violation.empty() ? "" : " ") + report->violation,
          report->finished && report->violation.empty(), report->failingSchedule};
}

SuiteResult runWalkPart(const SuitePart& part, unsigned threads) {
  WalkBounds bounds;
  bounds.lastSeed = part.walks;
  bounds.steering = part.steering;
  bounds.threads = threads;
  bounds.timeLimit = kPartTimeLimit;
  auto report = runWalks(modelOptionsFor(part), bounds);
  if (!report.ok()) return {part.name, std::string(report.status().message()), false, {}};
  return {part.name,
          summaryLine(*report) + (report->violation.empty() ? "" : " ") + report->violation,
          report->walks == part.walks && report->failed == 0, report->failingSchedule};
}

template <class... Values>
std::string formatText(const char* format, Values... values) {
  std::array<char, 256> text{};
  std::snprintf(text.data(), text.size(), format, values...);
  return text.data();
}

}  // namespace

std::vector<SuiteResult> runSuite(unsigned threads) {
  std::vector<SuiteResult> results;
  for (const auto& part : kSuiteParts)
    results.push_back(part.walks == 0 ? runSearchPart(part, threads) : runWalkPart(part, threads));
  return results;
}

std::string summaryLine(const SearchReport& report) {
  return formatText(
      "%llu states, %llu transitions, %llu schedules, depth %d, %.1f s; all schedules "
      "with up to %d departures%s",
      static_cast<unsigned long long>(report.states),
      static_cast<unsigned long long>(report.transitions),
      static_cast<unsigned long long>(report.schedules), report.depth, report.seconds,
      report.departures, report.finished ? "" : " finished, more begun");
}

std::string summaryLine(const WalkReport& report) {
  return formatText(
      "%llu walks, %llu failed, %llu states, %llu transitions, depth %d, %.1f s",
      static_cast<unsigned long long>(report.walks), static_cast<unsigned long long>(report.failed),
      static_cast<unsigned long long>(report.states),
      static_cast<unsigned long long>(report.transitions), report.depth, report.seconds);
}

}  // namespace peppergate::model
