// Random schedules with every kind of fault, the bound on concurrent losses, and the
// simulated network.
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "sim/machine_loss_tracker.h"
#include "sim/mixed_schedule.h"
#include "sim/router_scenario.h"
#include "sim/scenario.h"
#include "sim/schedule_shrinker.h"
#include "sim/sim_network.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

constexpr std::uint64_t kSeeds = 300;

std::vector<std::string> wordsOf(const std::string& line) {
  std::istringstream stream(line);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) words.push_back(word);
  return words;
}

/// The largest number of core machines that have lost their disks or still catch up at one time,
/// computed from the lines alone.
std::size_t maxDisksLostAtOnce(const MixedSchedule& schedule) {
  constexpr double kCatchUpSeconds = 4;
  std::map<std::string, double> lostUntil;
  std::size_t maxLost = 0;
  for (const auto& line : schedule.actionLines) {
    auto words = wordsOf(line);
    double at = std::strtod(words[1].c_str(), nullptr);
    bool loses = words[2] == "wipe" || words[2] == "replace";
    if (loses) lostUntil[words[3] + (words.size() > 4 ? words[4] : "")] = at + kCatchUpSeconds;
    std::size_t lost = 0;
    for (const auto& [core, until] : lostUntil) lost += at < until ? 1 : 0;
    maxLost = std::max(maxLost, lost);
  }
  return maxLost;
}

}  // namespace

TEST_GROUP(Schedules){};

TEST(Schedules, AllParseAndTheSameSeedGivesTheSame) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    MixedSchedule streams = generateMixedSchedule(seed, Interface::kStreams);
    auto read = parseScenario(streams.text());
    CHECK_TEXT(read.ok(), std::string(read.status().message()).c_str());
    MixedSchedule routers = generateMixedSchedule(seed, Interface::kRouters);
    auto readRouters = parseRouterScenario(routers.text());
    CHECK_TEXT(readRouters.ok(), std::string(readRouters.status().message()).c_str());
    CHECK(generateMixedSchedule(seed, Interface::kRouters).text() == routers.text());
  }
}

TEST(Schedules, EveryFaultOccursAndSeveralAtTheSameTime) {
  std::set<std::string> verbs;
  std::size_t together = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::map<std::string, std::set<std::string>> at;
    for (const auto& line : generateMixedSchedule(seed, Interface::kRouters).actionLines) {
      auto words = wordsOf(line);
      verbs.insert(words[2]);
      bool fault = words[2] != "start" && words[2] != "heal" && words[2] != "thaw";
      if (fault) at[words[1]].insert(words[2]);
    }
    for (const auto& [time, kinds] : at) together += kinds.size() >= 2 ? 1 : 0;
  }
  for (const char* verb :
       {"kill",   "power", "wipe",  "replace", "retire", "freeze",  "throttle", "cut",
        "oneway", "hang",  "drop",  "disk",    "seeds",  "leap",    "loss",     "late",
        "crash",  "race",  "storm", "amend",   "swap",   "version", "withdraw"})
    CHECK_TEXT(verbs.contains(verb), verb);
  CHECK(together > kSeeds);
}

TEST(Schedules, NoMoreDisksAreLostAtOnceThanTolerated) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    MixedSchedule schedule = generateMixedSchedule(seed, Interface::kStreams);
    bool two = schedule.header.find("at most 2 core") != std::string::npos;
    CHECK_TEXT(maxDisksLostAtOnce(schedule) <= (two ? 2U : 1U), schedule.text().c_str());
  }
}

TEST(Schedules, TheSameSeedReplaysExactly) {
  for (Interface interface : {Interface::kStreams, Interface::kRouters}) {
    MixedSchedule schedule = generateMixedSchedule(7, interface);
    MixedScheduleReport one = runMixedSchedule(schedule), two = runMixedSchedule(schedule);
    CHECK(one.failures == two.failures);
    CHECK(one.figures == two.figures);
  }
}

TEST(Schedules, ShrinkingKeepsTheLinesThatTheFailureNeeds) {
  std::vector<std::string> lines{"a", "b", "c", "d", "e", "f", "g"};
  auto needsBAndF = [](const std::vector<std::string>& left) {
    return std::ranges::count(left, "b") == 1 && std::ranges::count(left, "f") == 1;
  };
  CHECK((shrinkLines(lines, needsBAndF, 60) == std::vector<std::string>{"b", "f"}));
  CHECK(shrinkLines(lines, needsBAndF, 0) == lines);
}

TEST_GROUP(MachineLosses){};

TEST(MachineLosses, AcceptsASecondLossOnlyAfterTheFirstHasCaughtUp) {
  MachineLossTracker tracker(1, 4);
  CHECK(tracker.recordLoss(1, 10, 12));
  CHECK_FALSE(tracker.recordLoss(1, 15.9, 17));
  CHECK_FALSE(tracker.recordLoss(1, 5, 6.1));  // would still be catching up when the other is lost
  CHECK(tracker.recordLoss(1, 16, 17));
}

TEST(MachineLosses, AcceptsTwoLossesIfTwoAreToleratedAndALossOfAllOnlyAlone) {
  MachineLossTracker tracker(2, 4);
  CHECK(tracker.recordLoss(1, 10, 20));
  CHECK(tracker.recordLoss(1, 12, 13));
  CHECK_FALSE(tracker.recordLoss(1, 14, 15));
  CHECK_FALSE(tracker.recordTotalLoss(22, 23));
  CHECK(tracker.recordTotalLoss(24, 25));
  CHECK_FALSE(tracker.recordLoss(1, 28, 30));
}

TEST_GROUP(SimulatedNetwork) {
  Random random{7};
  SimNetwork network{random};
};

TEST(SimulatedNetwork, AOneWayCutLeavesTheOtherDirection) {
  network.cutOneWay({"a"}, {"b", "c"});
  CHECK_FALSE(network.reachable("a", "b"));
  CHECK(network.reachable("b", "a"));
  CHECK(network.isDisturbed("b"));
  network.heal();
  CHECK(network.reachable("a", "b"));
  CHECK_FALSE(network.isDisturbed("b"));
}

TEST(SimulatedNetwork, AResetClosesConnectionsAndDelaysReconnects) {
  auto before = network.connection("a", "b"), other = network.connection("b", "c");
  network.reset("a", at(1));
  CHECK(network.connection("a", "b") > before);
  CHECK(network.connection("b", "c") == other);
  CHECK(network.waitsToReconnect("b", "a", at(1.05)));
  CHECK_FALSE(network.waitsToReconnect("b", "a", at(1.2)));
}

TEST(SimulatedNetwork, AHangDelaysBytesWithoutLoss) {
  network.stall({"a"});
  CHECK(network.isStalled("b", "a"));
  CHECK(network.reachable("b", "a"));
  CHECK_FALSE(network.isStalled("b", "c"));
  network.heal();
  CHECK_FALSE(network.isStalled("b", "a"));
}

TEST(SimulatedNetwork, TheShareOfLostMessagesIsAsSet) {
  network.setLossShare(0.25);
  int lost = 0;
  for (int message = 0; message < 4000; ++message) lost += network.drawTransitTime() ? 0 : 1;
  CHECK(lost > 850 && lost < 1150);
}

TEST_GROUP(WallClock){};

TEST(WallClock, NoDecisionDependsOnIt) {
  // Code that doesn't read the wall clock is not affected when it jumps.
  namespace fs = std::filesystem;
  std::size_t files = 0;
  for (const char* folder : {"core", "engines", "prompts", "requests", "wire"}) {
    for (const auto& entry :
         fs::recursive_directory_iterator(std::string(SOURCE_FOLDER "/src/") + folder)) {
      if (!entry.is_regular_file()) continue;
      std::ifstream file(entry.path());
      std::stringstream text;
      text << file.rdbuf();
      ++files;
      for (const char* name : {"system_clock", "CLOCK_REALTIME", "gettimeofday", "absl::Now",
                               "std::time(", "localtime", "gmtime"})
        CHECK_TEXT(text.str().find(name) == std::string::npos,
                   (entry.path().string() + " names " + name).c_str());
    }
  }
  CHECK(files > 50);
}
