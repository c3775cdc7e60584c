// Days drawn from a seed: two or three troubles at once, over a busy fleet.
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
  void add(double at, std::string verb, std::vector<std::string> words = {}) {
    day.actions.push_back({MonotonicTime{} + seconds(at), std::move(verb), std::move(words), 0});
  }
};

void trouble(Drawing& draw, double at) {
  RouterScenario& day = draw.day;
  double length = 1 + 4 * draw.random.fraction();
  std::string router = draw.number(day.routers), core = draw.number(day.cores);
  std::string engine = draw.number(day.engines);
  constexpr std::array kGarbles{"lost", "foreign",   "short",  "fails",
                                "busy", "unstamped", "repeat", "skip"};
  switch (draw.random.below(21)) {
    case 0:
      draw.add(at, "kill", {"primary"});
      draw.add(at + length, "start", {"all"});
      break;
    case 1:
      draw.add(at, "kill", {"core", core});
      draw.add(at + length, "start", {"core", core});
      break;
    case 2:  // one lost disk a day: two at once may be too many for the fleet
      if (std::exchange(draw.replaced, true)) draw.add(at, "stop", {"core", core});
      else draw.add(at, "replace", {"core", core});
      draw.add(at + 9, "start", {"core", core});
      break;
    case 3:
      draw.add(at, "cut", {"primary"});
      draw.add(at + length, "heal");
      break;
    case 4:
      draw.add(at, "cut", {"router", router});
      draw.add(at + length * 2, "heal");
      break;
    case 5:
      draw.add(at, "freeze", {"router", router});
      draw.add(at + length * 2, "thaw", {"router", router});
      break;
    case 6:
      draw.add(at, "freeze", {"primary"});
      draw.add(at + length, "thaw", {"all"});
      break;
    case 7:
      draw.add(at, "kill", {"half"});
      draw.add(at + length, "start", {"half"});
      break;
    case 8:
      draw.add(at, "crash", {engine, std::to_string(2 + draw.random.below(6))});
      break;
    case 9:
      draw.add(at, "dark", {engine, std::to_string(2 + draw.random.below(6))});
      break;
    case 10:
      draw.add(at, "leave", {engine});
      break;
    case 11:
      draw.add(at, "garble", {engine, kGarbles[draw.random.below(kGarbles.size())]});
      draw.add(at + length * 2, "garble", {engine, "off"});
      break;
    case 12:
      draw.add(at, "slow", {engine, "8"});
      draw.add(at + length * 2, "slow", {engine, "1"});
      break;
    case 13:
      draw.add(at, "store", {"lost"});
      draw.add(at + length, "store", {"back"});
      break;
    case 14:
      draw.add(at, "link", {"0.002"});
      draw.add(at + length * 2, "link", {"1"});
      break;
    case 15:
      draw.add(at, "list", {"off"});
      draw.add(at + length, "list", {"on"});
      break;
    case 17:
      draw.add(at, "stop", {"router", router});
      draw.add(at + 9, "start", {"router", router});
      break;
    case 18:
      draw.add(at, "traffic", {"6"});
      draw.add(at + length, "traffic", {"1"});
      break;
    case 19:
      draw.add(at, "events", {"0.5"});
      draw.add(at + length * 2, "events", {"0.02"});
      break;
    case 16:
      draw.add(at, "late", {"0.05"});
      draw.add(at + length, "late", {"0.003"});
      break;
    default:
      draw.add(at, "cut", {"router", router, "core", core});
      draw.add(at + length, "heal");
      break;
  }
}

void deed(Drawing& draw, double at) {
  constexpr std::array kTenants{"first", "second", "third", "walled1"};
  switch (draw.random.below(6)) {
    case 0:
      draw.add(at, "amend");
      break;
    case 1:
      draw.add(at, "swap");
      break;
    case 2:
      draw.add(at, "race");
      break;
    case 3:
      draw.add(at, "withdraw", {kTenants[draw.random.below(kTenants.size())]});
      break;
    case 4:
      draw.add(at, "invalid");
      break;
    default:
      draw.add(at, "version", {draw.random.below(3) == 0 ? "brief" : "deep"});
      break;
  }
}

}  // namespace

RouterScenario drawRouterDay(std::uint64_t seed) {
  Drawing draw{Random(seed * 7 + 3), {}};
  RouterScenario& day = draw.day;
  day.name = "day-" + std::to_string(seed);
  day.routers = 3 + static_cast<int>(draw.random.below(3));
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
  std::ranges::stable_sort(day.actions, {}, &RouterAction::at);
  // All is whole again at the end.
  MonotonicTime last = day.actions.back().at + seconds(0.5);
  day.actions.push_back({last, "heal", {}, 0});
  day.actions.push_back({last, "thaw", {"all"}, 0});
  day.actions.push_back({last, "start", {"all"}, 0});
  day.run = last - MonotonicTime{} + seconds(18);
  day.expectations.push_back({"clean", 0, {}, kForever, 0});
  return day;
}

}  // namespace peppergate
