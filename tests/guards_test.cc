// Disables each guard in turn and checks that a scenario then reports the rule that the guard
// protects as broken. This shows that the scenarios can fail, and which guard protects which rule.
#include <algorithm>
#include <future>
#include <string>
#include <vector>

#include "core/options.h"
#include "sim/runner.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

struct GuardRow {
  const char* scenario;
  const char* guard;
  const char* failure;  // the failure that must be reported
  std::uint64_t seed;   // the first seed under which it is
};
constexpr std::array<GuardRow, 22> kRows{{
    {"08-front-cut-off-with-withdrawn-key", "freshness", "withdrawn-key-served", 1},
    {"30-cold-start-budget", "budget", "second-shots-over-a-fifth", 1},
    {"15-engines-crash", "no-repeat", "ran-twice", 1},
    {"25-orders-at-the-worst-instant", "engine-hold", "two-givers", 1},
    {"19-weights-under-failures", "engine-life", "other-weights", 1},
    {"21-walls", "wall", "foreign-wall-used", 1},
    {"35-backup-unreachable-then-primary-lost", "backup-sync", "acknowledged-change-lost", 1},
    {"07-primary-cut-off", "primary-hold", "two-primaries", 1},
    {"38-late-messages", "upward", "machine-went-back-to-older-setup", 1},
    {"06-core-split-two-two", "drain-list", "work-while-draining", 1},
    {"19-weights-under-failures", "old-weights", "old-weights-started", 1},
    {"30-cold-start-budget", "honest-no", "ran-after-told-no", 1},
    {"36-failed-sync-then-power-loss", "sync-failure", "acknowledged-change-lost", 1},
    {"37-engines-garble", "piece-order", "piece-lost-or-repeated", 1},
    {"39-yes-just-before-a-split", "third-voter", "withdrawn-key-served", 1},
    {"40-witness-restarts-in-a-split", "proven-grant", "withdrawn-key-served", 1},
    {"41-replaced-voter-returns-in-a-split", "equal-views", "withdrawn-key-served", 1},
    {"44-flapping-halves", "one-grant", "caretaker-beside-a-primary", 1},
    {"48-live-streams-of-a-cut-off-front", "live-stale", "withdrawn-key-piece", 1},
    {"46-clocks-leap", "clock-leap", "two-primaries", 1},
    {"67-founders-lost-and-nobody-knows", "founders", "acknowledged-change-lost", 1},
    {"56-two-disks-lost-of-five", "backup-sync", "acknowledged-change-lost", 21},
}};

bool reports(const RunReport& report, const std::string& expected) {
  return std::ranges::any_of(report.failures, [&](const std::string& failure) {
    return failure.find(expected) != std::string::npos;
  });
}

/// Whether the row's failure is reported under one of six seeds with the guard disabled.
bool breaksRule(const GuardRow& row) {
  auto scenario = loadScenario(std::string(SOURCE_FOLDER "/scenarios/") + row.scenario + ".txt");
  auto guard = std::ranges::find(kSafetyGuardNames, row.guard);
  if (!scenario.ok() || guard == kSafetyGuardNames.end()) return false;
  scenario->disabledGuards = 1U << static_cast<unsigned>(guard - kSafetyGuardNames.begin());
  for (std::uint64_t seed = row.seed; seed < row.seed + 6; ++seed)
    if (reports(runScenario(*scenario, seed), row.failure)) return true;
  return false;
}

}  // namespace

TEST_GROUP(Guards){};

TEST(Guards, EachDisabledGuardBreaksAScenario) {
  std::vector<std::future<bool>> broken;
  for (const auto& row : kRows) broken.push_back(std::async(std::launch::async, breaksRule, row));
  for (std::size_t index = 0; index < kRows.size(); ++index)
    CHECK_TEXT(broken[index].get(),
               (std::string(kRows[index].scenario) + " without " + kRows[index].guard).c_str());
}

TEST(Guards, OneBackupIsTooFewIfTwoDisksAreLost) {
  auto scenario = loadScenario(SOURCE_FOLDER "/scenarios/56-two-disks-lost-of-five.txt");
  CHECK(scenario.ok());
  scenario->options = {{"backups", "1"}};
  // Both copies are lost, so no machine may become leader: acknowledged changes can't be recovered.
  CHECK(reports(runScenario(*scenario, 1), "no primary"));
}

TEST(Guards, EveryGuardHasARow) {
  for (const auto& name : kSafetyGuardNames)
    CHECK_TEXT(std::ranges::any_of(kRows, [&](const GuardRow& row) { return name == row.guard; }),
               std::string(name).c_str());
}
