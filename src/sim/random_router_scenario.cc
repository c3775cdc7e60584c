// Generates random router scenarios from a seed: two or three faults at once in a busy fleet.
#include <algorithm>
#include <utility>

#include "core/random.h"
#include "sim/router_scenario.h"

namespace peppergate {
namespace {

struct ScenarioBuilder {
  Random random;
  RouterScenario scenario;
  bool diskLost = false;
  std::string pickNumber(int count) {
    return std::to_string(1 + random.below(static_cast<std::uint64_t>(count)));
  }
  void addAction(double at, Verb verb, std::vector<std::string> words = {}) {
    scenario.actions.push_back({MonotonicTime{} + seconds(at), verb, std::move(words), 0});
  }
};

void addFault(ScenarioBuilder& builder, double at) {
  RouterScenario& scenario = builder.scenario;
  double duration = 1 + 4 * builder.random.fraction();
  std::string router = builder.pickNumber(scenario.fronts),
              core = builder.pickNumber(scenario.cores);
  std::string engine = builder.pickNumber(scenario.engines);
  constexpr std::array kResponseFaults{"lost", "foreign",   "short",  "fails",
                                       "busy", "unstamped", "repeat", "skip"};
  switch (builder.random.below(21)) {
    case 0:
      builder.addAction(at, Verb::kKill, {"primary"});
      builder.addAction(at + duration, Verb::kStart, {"all"});
      break;
    case 1:
      builder.addAction(at, Verb::kKill, {"core", core});
      builder.addAction(at + duration, Verb::kStart, {"core", core});
      break;
    case 2:  // one lost disk per scenario: two at once may be more than the fleet tolerates
      if (std::exchange(builder.diskLost, true)) builder.addAction(at, Verb::kStop, {"core", core});
      else builder.addAction(at, Verb::kReplace, {"core", core});
      builder.addAction(at + 9, Verb::kStart, {"core", core});
      break;
    case 3:
      builder.addAction(at, Verb::kCut, {"primary"});
      builder.addAction(at + duration, Verb::kHeal);
      break;
    case 4:
      builder.addAction(at, Verb::kCut, {"router", router});
      builder.addAction(at + duration * 2, Verb::kHeal);
      break;
    case 5:
      builder.addAction(at, Verb::kFreeze, {"router", router});
      builder.addAction(at + duration * 2, Verb::kThaw, {"router", router});
      break;
    case 6:
      builder.addAction(at, Verb::kFreeze, {"primary"});
      builder.addAction(at + duration, Verb::kThaw, {"all"});
      break;
    case 7:
      builder.addAction(at, Verb::kKill, {"half"});
      builder.addAction(at + duration, Verb::kStart, {"half"});
      break;
    case 8:
      builder.addAction(at, Verb::kCrash, {engine, std::to_string(2 + builder.random.below(6))});
      break;
    case 9:
      builder.addAction(at, Verb::kDark, {engine, std::to_string(2 + builder.random.below(6))});
      break;
    case 10:
      builder.addAction(at, Verb::kReleaseOne, {engine});
      break;
    case 11:
      builder.addAction(at, Verb::kGarble,
                        {engine, kResponseFaults[builder.random.below(kResponseFaults.size())]});
      builder.addAction(at + duration * 2, Verb::kGarble, {engine, "off"});
      break;
    case 12:
      builder.addAction(at, Verb::kSlow, {engine, "8"});
      builder.addAction(at + duration * 2, Verb::kSlow, {engine, "1"});
      break;
    case 13:
      builder.addAction(at, Verb::kStore, {"lost"});
      builder.addAction(at + duration, Verb::kStore, {"back"});
      break;
    case 14:
      builder.addAction(at, Verb::kLinks, {"0.002"});
      builder.addAction(at + duration * 2, Verb::kLinks, {"1"});
      break;
    case 15:
      builder.addAction(at, Verb::kList, {"off"});
      builder.addAction(at + duration, Verb::kList, {"on"});
      break;
    case 17:
      builder.addAction(at, Verb::kStop, {"router", router});
      builder.addAction(at + 9, Verb::kStart, {"router", router});
      break;
    case 18:
      builder.addAction(at, Verb::kTraffic, {"6"});
      builder.addAction(at + duration, Verb::kTraffic, {"1"});
      break;
    case 19:
      builder.addAction(at, Verb::kEvents, {"0.5"});
      builder.addAction(at + duration * 2, Verb::kEvents, {"0.02"});
      break;
    case 16:
      builder.addAction(at, Verb::kLate, {"0.05"});
      builder.addAction(at + duration, Verb::kLate, {"0.003"});
      break;
    default:
      builder.addAction(at, Verb::kCut, {"router", router, "core", core});
      builder.addAction(at + duration, Verb::kHeal);
      break;
  }
}

void addOperatorAction(ScenarioBuilder& builder, double at) {
  constexpr std::array kTenants{"first", "second", "third", "walled1"};
  switch (builder.random.below(6)) {
    case 0:
      builder.addAction(at, Verb::kAmend);
      break;
    case 1:
      builder.addAction(at, Verb::kSwap);
      break;
    case 2:
      builder.addAction(at, Verb::kRace);
      break;
    case 3:
      builder.addAction(at, Verb::kWithdraw, {kTenants[builder.random.below(kTenants.size())]});
      break;
    case 4:
      builder.addAction(at, Verb::kInvalid);
      break;
    default:
      builder.addAction(at, Verb::kVersion, {builder.random.below(3) == 0 ? "brief" : "deep"});
      break;
  }
}

}  // namespace

RouterScenario generateRouterScenario(std::uint64_t seed) {
  ScenarioBuilder builder{Random(seed * 7 + 3), {}};
  RouterScenario& scenario = builder.scenario;
  scenario.name = "day-" + std::to_string(seed);
  scenario.fronts = 3 + static_cast<int>(builder.random.below(3));
  scenario.cores = 3 + static_cast<int>(builder.random.below(2));
  scenario.engines = 6 + static_cast<int>(builder.random.below(4));
  scenario.checksFencingToken = builder.random.below(2) == 0;
  scenario.requestsPerSecond = 20 + static_cast<double>(builder.random.below(40));
  scenario.servedAfterFaults = 0.85;
  double at = 3;
  for (int group = 0; group < 3; ++group, at += 8) {
    int faultCount = 2 + static_cast<int>(builder.random.below(2));
    for (int index = 0; index < faultCount; ++index)
      addFault(builder, at + builder.random.fraction());
    addOperatorAction(builder, at - 0.5 + 2 * builder.random.fraction());
    addOperatorAction(builder, at + 3 * builder.random.fraction());
  }
  std::ranges::stable_sort(scenario.actions, {}, &Action::at);
  // All faults end before the last checks.
  MonotonicTime last = scenario.actions.back().at + seconds(0.5);
  scenario.actions.push_back({last, Verb::kHeal, {}, 0});
  scenario.actions.push_back({last, Verb::kThaw, {"all"}, 0});
  scenario.actions.push_back({last, Verb::kStart, {"all"}, 0});
  scenario.run = last - MonotonicTime{} + seconds(18);
  scenario.expectations.push_back({ExpectationKind::kClean, 0, {}, {}, kForever, 0});
  return scenario;
}

}  // namespace peppergate
