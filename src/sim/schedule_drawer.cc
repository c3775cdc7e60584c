#include "sim/schedule_drawer.h"

#include <algorithm>
#include <cstdio>

namespace peppergate {
namespace {

/// How long a machine that is back still counts as lost while it catches up; the
/// `catchup_s` of deployments.
constexpr double kCatchUp = 4;
/// How long after the earliest allowed time a second loss comes: a machine's boot
/// clock may be off by 1 %, and recovery steps take time.
constexpr double kRightAfter = 0.05;

std::string timeWord(double seconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", seconds);
  return text;
}

std::string numberWord(double number) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", number);
  return text;
}

}  // namespace

ScheduleDrawer::ScheduleDrawer(std::uint64_t seed, const ScheduleSize& size)
    : random_(seed * 104729 + 71), size_(size), ledger_(size.tolerate, kCatchUp) {}

std::vector<std::string> ScheduleDrawer::lines() const {
  auto sorted = lines_;
  std::ranges::stable_sort(sorted, {}, &Line::at);
  std::vector<std::string> texts;
  for (const Line& line : sorted) texts.push_back("at " + timeWord(line.at) + "s " + line.words);
  return texts;
}

double ScheduleDrawer::last() const {
  double last = 0;
  for (const Line& line : lines_) last = std::max(last, line.at);
  return last;
}

std::string ScheduleDrawer::anyCore() {
  static constexpr std::array<std::string_view, 3> kRoles{"primary", "primary", "backup"};
  return coin() ? one(kRoles) : coreNumber();
}

std::string ScheduleDrawer::front() {
  bool routers = size_.interface == Interface::kRouters;
  return (routers ? "router " : "front ") + std::to_string(pick(size_.fronts));
}

void ScheduleDrawer::startCores(double from) {
  // Machines come back in random order and at different times.
  for (int number = 1; number <= size_.cores; ++number)
    add(from + between(0, 0.3), "start core " + std::to_string(number));
  add(from + 0.31, "start all");
}

void ScheduleDrawer::drawMoment(double at) {
  static constexpr std::array<Trouble, 26> kTroubles{
      &ScheduleDrawer::coreKilled,      &ScheduleDrawer::coreWithoutPower,
      &ScheduleDrawer::coreWiped,       &ScheduleDrawer::coreWipedThenAnother,
      &ScheduleDrawer::coreReplaced,    &ScheduleDrawer::coreReplacedAsPlanned,
      &ScheduleDrawer::coreFrozen,      &ScheduleDrawer::coreThrottled,
      &ScheduleDrawer::coreCut,         &ScheduleDrawer::coreCutOneWay,
      &ScheduleDrawer::coreHangs,       &ScheduleDrawer::coreConnectionsReset,
      &ScheduleDrawer::coreDiskBad,     &ScheduleDrawer::coreDiskSlow,
      &ScheduleDrawer::allCoresKilled,  &ScheduleDrawer::allCoresWithoutPower,
      &ScheduleDrawer::allWithoutPower, &ScheduleDrawer::seedsAway,
      &ScheduleDrawer::clocksLeap,      &ScheduleDrawer::frontsKilled,
      &ScheduleDrawer::frontFrozen,     &ScheduleDrawer::frontCut,
      &ScheduleDrawer::frontThrottled,  &ScheduleDrawer::frontConnectionsReset,
      &ScheduleDrawer::networkBad,      &ScheduleDrawer::engineCrashes};
  int count = pick(3);
  for (int index = 0; index < count; ++index) {
    double begin = coin() ? at : at + between(0, 0.6);
    (this->*kTroubles[random_.below(kTroubles.size())])(begin);
    if (random_.below(3) != 0) deedNear(begin);
  }
}

void ScheduleDrawer::deedNear(double at) { deed(std::max(0.5, at + between(-0.4, 0.2))); }

void ScheduleDrawer::deed(double at) {
  if (size_.interface == Interface::kStreams) streamsDeed(at);
  else routersDeed(at);
}

void ScheduleDrawer::streamsDeed(double at) {
  static constexpr std::array<std::string_view, 3> kTenants{"huts-east", "archive", "ski-touring"};
  switch (random_.below(6)) {
    case 0:
      return add(at, "race");
    case 1:
      return add(at, "storm " + std::to_string(pick(8)));
    case 2:
      return add(at, "weights w" + std::to_string(random_.below(1000)));
    case 3:
      return add(at, "withdraw " + one(kTenants));
    default:
      return add(at, "stamp");
  }
}

void ScheduleDrawer::routersDeed(double at) {
  static constexpr std::array<std::string_view, 4> kTenants{"first", "second", "third", "walled1"};
  switch (random_.below(7)) {
    case 0:
      return add(at, "race");
    case 1:
      return add(at, "storm " + std::to_string(pick(4)));
    case 2:
      return add(at, random_.below(3) == 0 ? "version brief" : "version deep");
    case 3:
      return add(at, "withdraw " + one(kTenants));
    case 4:
      return add(at, "swap");
    default:
      return add(at, "amend");
  }
}

void ScheduleDrawer::coreKilled(double at) {
  double back = at + between(0.2, 8);
  if (!ledger_.lose(1, at, back)) return;
  add(at, "kill " + anyCore());
  add(back, "start all");
}

void ScheduleDrawer::coreWithoutPower(double at) {
  double back = at + between(0.3, 8);
  if (!ledger_.lose(1, at, back)) return;
  add(at, "power " + anyCore());
  add(back, "start all");
}

void ScheduleDrawer::coreWiped(double at) {
  double back = at + between(0.3, 5);
  if (!ledger_.lose(1, at, back)) return;
  add(at, "wipe " + anyCore());
  add(back, "start all");
}

void ScheduleDrawer::coreWipedThenAnother(double at) {
  static constexpr std::array<std::string_view, 3> kHow{"kill", "power", "wipe"};
  double back = at + between(0.3, 2);
  double second = back + kCatchUp + kRightAfter;
  double secondBack = second + between(0.5, 4);
  if (!ledger_.lose(1, at, back)) return;
  add(at, (coin() ? "wipe " : "replace ") + coreNumber());
  add(back, "start all");
  if (!ledger_.lose(1, second, secondBack)) return;
  add(second, one(kHow) + " " + anyCore());
  add(secondBack, "start all");
}

void ScheduleDrawer::coreReplaced(double at) {
  if (!ledger_.lose(1, at, at)) return;
  add(at, "replace " + coreNumber());
}

void ScheduleDrawer::coreReplacedAsPlanned(double at) {
  // The new machine joins before the old one leaves. It counts as lost until it has caught up, and
  // so does the one that leaves.
  if (sparesUsed_ >= size_.spares) return;
  double leaves = at + between(0.5, 5);
  if (!ledger_.lose(1, at, leaves + 3)) return;
  ++sparesUsed_;
  add(at, "start core " + std::to_string(size_.cores + sparesUsed_));
  add(leaves, "retire " + coreNumber());
}

void ScheduleDrawer::coreFrozen(double at) {
  double back = at + between(0.3, 8);
  if (!ledger_.lose(1, at, back)) return;
  add(at, "freeze " + anyCore());
  add(back, "thaw all");
}

void ScheduleDrawer::coreThrottled(double at) {
  double back = at + between(1, 8);
  if (!ledger_.lose(1, at, back)) return;
  add(at, "throttle " + anyCore() + " " + std::to_string(pick(15)));
  add(back, "throttle cores 0");
}

void ScheduleDrawer::coreCut(double at) {
  double back = at + between(0.5, 14);
  if (!ledger_.lose(1, at, back)) return;
  add(at, "cut " + anyCore() + (coin() ? " " + front() : ""));
  add(back, "heal");
}

void ScheduleDrawer::coreCutOneWay(double at) {
  double back = at + between(0.5, 12);
  if (!ledger_.lose(1, at, back)) return;
  std::string core = anyCore();
  std::string others = coin() ? "cores" : "all";
  add(at, coin() ? "oneway " + core + " to " + others : "oneway " + others + " to " + core);
  add(back, "heal");
}

void ScheduleDrawer::coreHangs(double at) {
  double back = at + between(0.5, 12);
  if (!ledger_.lose(1, at, back)) return;
  add(at, "hang " + anyCore());
  add(back, "heal");
}

void ScheduleDrawer::coreConnectionsReset(double at) {
  for (int turn = pick(6); turn > 0; --turn) add(at + between(0, 2), "drop " + anyCore());
}

void ScheduleDrawer::coreDiskBad(double at) {
  static constexpr std::array<std::string_view, 3> kModes{"stall", "full", "fail"};
  std::string mode = one(kModes);
  double back = at + between(0.5, 9);
  if (!ledger_.lose(1, at, back + 1)) return;
  std::string core = coreNumber();
  add(at, "disk " + core + " " + mode);
  add(back, "disk " + core + " good");
  if (mode != "fail" && coin()) return;
  // A process recovers from a failed sync only by a restart; after other disk faults some are
  // restarted, too, with or without a loss of power.
  add(back + 0.1, (coin() ? "kill " : "power ") + core);
  add(back + 0.6, "start all");
}

void ScheduleDrawer::coreDiskSlow(double at) {
  std::string core = coin() ? "cores" : coreNumber();
  add(at, "disk " + core + " slow " + std::to_string(5 + pick(35)));
  add(at + between(2, 10), "disk " + core + " good");
}

void ScheduleDrawer::allCoresKilled(double at) {
  double back = at + between(0.1, 1);
  if (!ledger_.loseAll(at, back + 0.4)) return;
  add(at, "kill cores");
  startCores(back);
}

void ScheduleDrawer::allCoresWithoutPower(double at) {
  double back = at + between(0.3, 4);
  if (!ledger_.loseAll(at, back + 0.4)) return;
  add(at, "power cores");
  startCores(back);
}

void ScheduleDrawer::allWithoutPower(double at) {
  double back = at + between(0.3, 4);
  if (!ledger_.loseAll(at, back + 0.4)) return;
  add(at, coin() ? "power all" : "kill all");
  startCores(back);
}

void ScheduleDrawer::seedsAway(double at) {
  // One seed is unreachable or down while others start, which know that seed alone or all of them.
  double back = at + between(2, 8);
  if (!ledger_.lose(1, at, back)) return;
  std::string seed = std::to_string(pick(std::min(3, size_.cores)));
  bool cut = coin();
  add(at, (cut ? "cut core " : "kill core ") + seed);
  if (coin()) add(at, "seeds " + seed);
  std::string restarted = front();
  add(at + 0.2, "kill " + restarted);
  add(at + 0.7, "start " + restarted);
  add(back, cut ? "heal" : "start all");
  add(back, size_.cores >= 3 ? "seeds 1 2 3" : "seeds 1 2");
}

void ScheduleDrawer::clocksLeap(double at) {
  for (int turn = pick(3); turn > 0; --turn)
    add(at + between(0, 1),
        "leap " + (coin() ? coreNumber() : front()) + " " + numberWord(between(0.3, 20)));
}

void ScheduleDrawer::frontsKilled(double at) {
  std::string group = size_.interface == Interface::kRouters ? "routers" : "fronts";
  add(at, "kill " + (coin() ? front() : coin() ? std::string("half") : group));
  add(at + between(0.3, 5), "start all");
}

void ScheduleDrawer::frontFrozen(double at) {
  std::string name = front();
  add(at, "freeze " + name);
  add(at + between(0.3, 9), "thaw " + name);
}

void ScheduleDrawer::frontCut(double at) {
  static constexpr std::array<std::string_view, 2> kHow{"cut ", "hang "};
  add(at, one(kHow) + front());
  add(at + between(1, 14), "heal");
}

void ScheduleDrawer::frontThrottled(double at) {
  std::string name = front();
  add(at, "throttle " + name + " " + std::to_string(pick(10)));
  add(at + between(1, 6), "throttle " + name + " 0");
}

void ScheduleDrawer::frontConnectionsReset(double at) {
  for (int turn = pick(6); turn > 0; --turn) add(at + between(0, 2), "drop " + front());
}

void ScheduleDrawer::networkBad(double at) {
  double end = at + between(2, 10);
  add(at, "loss " + numberWord(between(0.01, 0.06)));
  add(at, "late " + numberWord(between(0.01, 0.08)));
  add(end, "loss 0.002");
  add(end, "late 0.003");
}

void ScheduleDrawer::engineCrashes(double at) {
  if (size_.interface == Interface::kRouters) {
    add(at, "crash " + std::to_string(pick(size_.engines)) + " " + std::to_string(1 + pick(5)));
    return;
  }
  std::string name = engine();
  add(at, "kill " + name);
  add(at + between(1, 8), "start " + name);
}

void ScheduleDrawer::drawClosing(double at) {
  double back = at + between(0.3, 3);
  std::uint64_t how = random_.below(4);
  deed(at - between(0.005, 0.4));
  if (how == 0) {
    add(at, coin() ? "power all" : "power cores");
  } else if (how == 1) {
    add(at, coin() ? "kill all" : "kill cores");
  } else {
    // As many disks as may be lost, in some schedules while all other machines lose power.
    int first = pick(size_.cores);
    for (int lost = 0; lost < size_.tolerate; ++lost)
      add(at, "wipe core " + std::to_string((first - 1 + lost) % size_.cores + 1));
    if (how == 2) add(at, "power cores");
  }
  startCores(back);
}

}  // namespace peppergate
