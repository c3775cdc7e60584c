// Generates random router scenarios from a seed: two or three faults at once in a busy fleet.
#include <algorithm>
#include <utility>

#include "core/random.h"
#include "sim/router_scenario.h"

namespace peppergate {
namespace {

struct Drawing {
  Random random;
  RouterScenario day;
  bool replaced = false;
  std::string number(int most) {
    return std::to_string(1 + random.below(static_cast<std::uint64_t>(most)));
  }
  void add(double at, Verb verb, std::vector<std::string> words = {}) {
    day.actions.push_back({MonotonicTime{} + seconds(at), verb, std::move(words), 0});
  }
};

void trouble(Drawing& draw, double at) {
  RouterScenario& day = draw.day;
  double length = 1 + 4 * draw.random.fraction();
  std::string router = draw.number(day.fronts), core = draw.number(day.cores);
  std::string engine = draw.number(day.engines);
  constexpr std::array kGarbles{"lost", "foreign",   "short",  "fails",
                                "busy", "unstamped", "repeat", "skip"};
  switch (draw.random.below(21)) {
    case 0:
      draw.add(at, Verb::kKill, {"primary"});
      draw.add(at + length, Verb::kStart, {"all"});
      break;
    case 1:
      draw.add(at, Verb::kKill, {"core", core});
      draw.add(at + length, Verb::kStart, {"core", core});
      break;
    case 2:  // one lost disk per scenario: two at once may be more than the fleet tolerates
      if (std::exchange(draw.replaced, true)) draw.add(at, Verb::kStop, {"core", core});
      else draw.add(at, Verb::kReplace, {"core", core});
      draw.add(at + 9, Verb::kStart, {"core", core});
      break;
    case 3:
      draw.add(at, Verb::kCut, {"primary"});
      draw.add(at + length, Verb::kHeal);
      break;
    case 4:
      draw.add(at, Verb::kCut, {"router", router});
      draw.add(at + length * 2, Verb::kHeal);
      break;
    case 5:
      draw.add(at, Verb::kFreeze, {"router", router});
      draw.add(at + length * 2, Verb::kThaw, {"router", router});
      break;
    case 6:
      draw.add(at, Verb::kFreeze, {"primary"});
      draw.add(at + length, Verb::kThaw, {"all"});
      break;
    case 7:
      draw.add(at, Verb::kKill, {"half"});
      draw.add(at + length, Verb::kStart, {"half"});
      break;
    case 8:
      draw.add(at, Verb::kCrash, {engine, std::to_string(2 + draw.random.below(6))});
      break;
    case 9:
      draw.add(at, Verb::kDark, {engine, std::to_string(2 + draw.random.below(6))});
      break;
    case 10:
      draw.add(at, Verb::kReleaseOne, {engine});
      break;
    case 11:
      draw.add(at, Verb::kGarble, {engine, kGarbles[draw.random.below(kGarbles.size())]});
      draw.add(at + length * 2, Verb::kGarble, {engine, "off"});
      break;
    case 12:
      draw.add(at, Verb::kSlow, {engine, "8"});
      draw.add(at + length * 2, Verb::kSlow, {engine, "1"});
      break;
    case 13:
      draw.add(at, Verb::kStore, {"lost"});
      draw.add(at + length, Verb::kStore, {"back"});
      break;
    case 14:
      draw.add(at, Verb::kLinks, {"0.002"});
      draw.add(at + length * 2, Verb::kLinks, {"1"});
      break;
    case 15:
      draw.add(at, Verb::kList, {"off"});
      draw.add(at + length, Verb::kList, {"on"});
      break;
    case 17:
      draw.add(at, Verb::kStop, {"router", router});
      draw.add(at + 9, Verb::kStart, {"router", router});
      break;
    case 18:
      draw.add(at, Verb::kTraffic, {"6"});
      draw.add(at + length, Verb::kTraffic, {"1"});
      break;
    case 19:
      draw.add(at, Verb::kEvents, {"0.5"});
      draw.add(at + length * 2, Verb::kEvents, {"0.02"});
      break;
    case 16:
      draw.add(at, Verb::kLate, {"0.05"});
      draw.add(at + length, Verb::kLate, {"0.003"});
      break;
    default:
      draw.add(at, Verb::kCut, {"router", router, "core", core});
      draw.add(at + length, Verb::kHeal);
      break;
  }
}

void deed(Drawing& draw, double at) {
  constexpr std::array kTenants{"first", "second", "third", "walled1"};
  switch (draw.random.below(6)) {
    case 0:
      draw.add(at, Verb::kAmend);
      break;
    case 1:
      draw.add(at, Verb::kSwap);
      break;
    case 2:
      draw.add(at, Verb::kRace);
      break;
    case 3:
      draw.add(at, Verb::kWithdraw, {kTenants[draw.random.below(kTenants.size())]});
      break;
    case 4:
      draw.add(at, Verb::kInvalid);
      break;
    default:
      draw.add(at, Verb::kVersion, {draw.random.below(3) == 0 ? "brief" : "deep"});
      break;
  }
}

}  // namespace

RouterScenario drawRouterDay(std::uint64_t seed) {
  Drawing draw{Random(seed * 7 + 3), {}};
  RouterScenario& day = draw.day;
  day.name = "day-" + std::to_string(seed);
  day.fronts = 3 + static_cast<int>(draw.random.below(3));
  day.cores = 3 + static_cast<int>(draw.random.below(2));
  day.engines = 6 + static_cast<int>(draw.random.below(4));
  day.fenced = draw.random.below(2) == 0;
  day.requests = 20 + static_cast<double>(draw.random.below(40));
  day.settles = 0.85;
  double at = 3;
  for (int group = 0; group < 3; ++group, at += 8) {
    int troubles = 2 + static_cast<int>(draw.random.below(2));
    for (int index = 0; index < troubles; ++index) trouble(draw, at + draw.random.fraction());
    deed(draw, at - 0.5 + 2 * draw.random.fraction());
    deed(draw, at + 3 * draw.random.fraction());
  }
  std::ranges::stable_sort(day.actions, {}, &Action::at);
  // All faults end before the last checks.
  MonotonicTime last = day.actions.back().at + seconds(0.5);
  day.actions.push_back({last, Verb::kHeal, {}, 0});
  day.actions.push_back({last, Verb::kThaw, {"all"}, 0});
  day.actions.push_back({last, Verb::kStart, {"all"}, 0});
  day.run = last - MonotonicTime{} + seconds(18);
  day.expectations.push_back({Wanted::kClean, 0, {}, {}, kForever, 0});
  return day;
}

}  // namespace peppergate
