// Scenario files: parsing, unique names and exact replay; and the loss of a machine at each step of
// the bootstrap of a fleet.
#include <cstdio>
#include <set>

#include "sim/runner.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

/// A scenario in which a core machine fails `after` seconds into the bootstrap of a fleet.
std::string bootstrapScenario(double after, const std::string& fault) {
  char when[32];
  std::snprintf(when, sizeof when, "%.3f", -9 + after);
  return "name founder-lost\nfounded by-seeds\nfronts 1\nengines 1\nrequests 1\nrun 20s\nat " +
         std::string(when) + "s " + fault +
         "\nat 6s stamp\nexpect clean\nexpect done 2\nexpect primary\n"
         "expect led-within 1 from 0s\n";
}

/// The bootstrap takes place within this time, in seconds; the fault moves through it step by step.
constexpr double kFirstFaultSeconds = 0.04, kLastFaultSeconds = 0.13, kFaultStepSeconds = 0.003;

void checkBootstrapWithFault(const std::string& fault) {
  std::uint64_t seed = 0;
  for (double after = kFirstFaultSeconds; after < kLastFaultSeconds; after += kFaultStepSeconds) {
    auto scenario = parseScenario(bootstrapScenario(after, fault));
    CHECK_TEXT(scenario.ok(), std::string(scenario.status().message()).c_str());
    RunReport report = runScenario(*scenario, ++seed);
    std::string first = report.failures.empty() ? "" : report.failures.front();
    CHECK_TEXT(report.failures.empty(),
               (fault + " seed " + std::to_string(seed) + ": " + first).c_str());
  }
}

}  // namespace

TEST_GROUP(ScenarioFiles){};

TEST(ScenarioFiles, LosingTheFirstFounderLeavesOneFleet) { checkBootstrapWithFault("kill core 1"); }

TEST(ScenarioFiles, ARestartedFounderJoinsTheOneFleet) {
  checkBootstrapWithFault("kill core 1\nat -8s start core 1");
}

TEST(ScenarioFiles, AFounderRestartedWithoutItsDiskCreatesNoSecondFleet) {
  checkBootstrapWithFault("wipe core 1\nat -8s start core 1");
}

TEST(ScenarioFiles, LosingTheSecondFounderLeavesOneFleet) {
  checkBootstrapWithFault("wipe core 2");
}

TEST(ScenarioFiles, AllParseAndNamesAreUnique) {
  std::set<std::string> names;
  auto files = scenarioFiles(SOURCE_FOLDER "/scenarios");
  CHECK(!files.empty());
  for (const auto& file : files) {
    auto scenario = loadScenario(file);
    CHECK_TEXT(scenario.ok(), std::string(scenario.status().message()).c_str());
    CHECK(names.insert(scenario->name).second);
  }
}

TEST(ScenarioFiles, TheSameSeedReplaysExactly) {
  auto scenario = loadScenario(SOURCE_FOLDER "/scenarios/00-ordinary-day.txt");
  CHECK(scenario.ok());
  RunReport one = runScenario(*scenario, 7), two = runScenario(*scenario, 7);
  CHECK(one.figures == two.figures);
  CHECK(one.failures == two.failures);
  CHECK(one.figures != runScenario(*scenario, 8).figures);
}
