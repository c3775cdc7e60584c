#include "sim/schedule_generator.h"

#include <algorithm>
#include <cstdio>

namespace peppergate {
namespace {

/// How long a machine that is back still counts as lost while it catches up; the
/// `catchup_s` of deployments.
constexpr double kCatchUpSeconds = 4;
/// How long after the earliest allowed time a second loss comes: a machine's boot
/// clock may be off by 1 %, and recovery steps take time.
constexpr double kSecondLossDelaySeconds = 0.05;

std::string formatSeconds(double seconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", seconds);
  return text;
}

std::string formatNumber(double number) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", number);
  return text;
}

}  // namespace

ScheduleGenerator::ScheduleGenerator(std::uint64_t seed, const ScheduleSize& size)
    : random_(seed * 104729 + 71), size_(size), lossTracker_(size.tolerate, kCatchUpSeconds) {}

std::vector<std::string> ScheduleGenerator::lines() const {
  auto sorted = lines_;
  std::ranges::stable_sort(sorted, {}, &Line::at);
  std::vector<std::string> texts;
  for (const Line& line : sorted)
    texts.push_back("at " + formatSeconds(line.at) + "s " + line.words);
  return texts;
}

double ScheduleGenerator::lastTime() const {
  double last = 0;
  for (const Line& line : lines_) last = std::max(last, line.at);
  return last;
}

std::string ScheduleGenerator::anyCore() {
  static constexpr std::array<std::string_view, 3> kRoles{"primary", "primary", "backup"};
  return coin() ? pickOne(kRoles) : coreNumber();
}

std::string ScheduleGenerator::anyFront() {
  bool routers = size_.interface == Interface::kRouters;
  return (routers ? "router " : "front ") + std::to_string(pickNumber(size_.fronts));
}

void ScheduleGenerator::startCores(double from) {
  // Machines come back in random order and at different times.
  for (int number = 1; number <= size_.cores; ++number)
    addLine(from + between(0, 0.3), "start core " + std::to_string(number));
  addLine(from + 0.31, "start all");
}

void ScheduleGenerator::addFaults(double at) {
  static constexpr std::array<FaultMethod, 26> kFaults{
      &ScheduleGenerator::coreKilled,      &ScheduleGenerator::coreWithoutPower,
      &ScheduleGenerator::coreWiped,       &ScheduleGenerator::coreWipedThenAnother,
      &ScheduleGenerator::coreReplaced,    &ScheduleGenerator::coreReplacedAsPlanned,
      &ScheduleGenerator::coreFrozen,      &ScheduleGenerator::coreThrottled,
      &ScheduleGenerator::coreCut,         &ScheduleGenerator::coreCutOneWay,
      &ScheduleGenerator::coreHangs,       &ScheduleGenerator::coreConnectionsReset,
      &ScheduleGenerator::coreDiskBad,     &ScheduleGenerator::coreDiskSlow,
      &ScheduleGenerator::allCoresKilled,  &ScheduleGenerator::allCoresWithoutPower,
      &ScheduleGenerator::allWithoutPower, &ScheduleGenerator::seedUnreachable,
      &ScheduleGenerator::clocksLeap,      &ScheduleGenerator::frontsKilled,
      &ScheduleGenerator::frontFrozen,     &ScheduleGenerator::frontCut,
      &ScheduleGenerator::frontThrottled,  &ScheduleGenerator::frontConnectionsReset,
      &ScheduleGenerator::networkBad,      &ScheduleGenerator::engineCrashes};
  int count = pickNumber(3);
  for (int index = 0; index < count; ++index) {
    double faultAt = coin() ? at : at + between(0, 0.6);
    (this->*kFaults[random_.below(kFaults.size())])(faultAt);
    if (random_.below(3) != 0) addChangeNear(faultAt);
  }
}

void ScheduleGenerator::addChangeNear(double at) {
  addChange(std::max(0.5, at + between(-0.4, 0.2)));
}

void ScheduleGenerator::addChange(double at) {
  if (size_.interface == Interface::kStreams) addStreamsChange(at);
  else addRoutersChange(at);
}

void ScheduleGenerator::addStreamsChange(double at) {
  static constexpr std::array<std::string_view, 3> kTenants{"huts-east", "archive", "ski-touring"};
  switch (random_.below(6)) {
    case 0:
      return addLine(at, "race");
    case 1:
      return addLine(at, "storm " + std::to_string(pickNumber(8)));
    case 2:
      return addLine(at, "weights w" + std::to_string(random_.below(1000)));
    case 3:
      return addLine(at, "withdraw " + pickOne(kTenants));
    default:
      return addLine(at, "stamp");
  }
}

void ScheduleGenerator::addRoutersChange(double at) {
  static constexpr std::array<std::string_view, 4> kTenants{"first", "second", "third", "walled1"};
  switch (random_.below(7)) {
    case 0:
      return addLine(at, "race");
    case 1:
      return addLine(at, "storm " + std::to_string(pickNumber(4)));
    case 2:
      return addLine(at, random_.below(3) == 0 ? "version brief" : "version deep");
    case 3:
      return addLine(at, "withdraw " + pickOne(kTenants));
    case 4:
      return addLine(at, "swap");
    default:
      return addLine(at, "amend");
  }
}

void ScheduleGenerator::coreKilled(double at) {
  double back = at + between(0.2, 8);
  if (!lossTracker_.recordLoss(1, at, back)) return;
  addLine(at, "kill " + anyCore());
  addLine(back, "start all");
}

void ScheduleGenerator::coreWithoutPower(double at) {
  double back = at + between(0.3, 8);
  if (!lossTracker_.recordLoss(1, at, back)) return;
  addLine(at, "power " + anyCore());
  addLine(back, "start all");
}

void ScheduleGenerator::coreWiped(double at) {
  double back = at + between(0.3, 5);
  if (!lossTracker_.recordLoss(1, at, back)) return;
  addLine(at, "wipe " + anyCore());
  addLine(back, "start all");
}

void ScheduleGenerator::coreWipedThenAnother(double at) {
  static constexpr std::array<std::string_view, 3> kHow{"kill", "power", "wipe"};
  double back = at + between(0.3, 2);
  double second = back + kCatchUpSeconds + kSecondLossDelaySeconds;
  double secondBack = second + between(0.5, 4);
  if (!lossTracker_.recordLoss(1, at, back)) return;
  addLine(at, (coin() ? "wipe " : "replace ") + coreNumber());
  addLine(back, "start all");
  if (!lossTracker_.recordLoss(1, second, secondBack)) return;
  addLine(second, pickOne(kHow) + " " + anyCore());
  addLine(secondBack, "start all");
}

void ScheduleGenerator::coreReplaced(double at) {
  if (!lossTracker_.recordLoss(1, at, at)) return;
  addLine(at, "replace " + coreNumber());
}

void ScheduleGenerator::coreReplacedAsPlanned(double at) {
  // The new machine joins before the old one leaves. It counts as lost until it has caught up, and
  // so does the one that leaves.
  if (usedSpares_ >= size_.spares) return;
  double leaves = at + between(0.5, 5);
  if (!lossTracker_.recordLoss(1, at, leaves + 3)) return;
  ++usedSpares_;
  addLine(at, "start core " + std::to_string(size_.cores + usedSpares_));
  addLine(leaves, "retire " + coreNumber());
}

void ScheduleGenerator::coreFrozen(double at) {
  double back = at + between(0.3, 8);
  if (!lossTracker_.recordLoss(1, at, back)) return;
  addLine(at, "freeze " + anyCore());
  addLine(back, "thaw all");
}

void ScheduleGenerator::coreThrottled(double at) {
  double back = at + between(1, 8);
  if (!lossTracker_.recordLoss(1, at, back)) return;
  addLine(at, "throttle " + anyCore() + " " + std::to_string(pickNumber(15)));
  addLine(back, "throttle cores 0");
}

void ScheduleGenerator::coreCut(double at) {
  double back = at + between(0.5, 14);
  if (!lossTracker_.recordLoss(1, at, back)) return;
  addLine(at, "cut " + anyCore() + (coin() ? " " + anyFront() : ""));
  addLine(back, "heal");
}

void ScheduleGenerator::coreCutOneWay(double at) {
  double back = at + between(0.5, 12);
  if (!lossTracker_.recordLoss(1, at, back)) return;
  std::string core = anyCore();
  std::string others = coin() ? "cores" : "all";
  addLine(at, coin() ? "oneway " + core + " to " + others : "oneway " + others + " to " + core);
  addLine(back, "heal");
}

void ScheduleGenerator::coreHangs(double at) {
  double back = at + between(0.5, 12);
  if (!lossTracker_.recordLoss(1, at, back)) return;
  addLine(at, "hang " + anyCore());
  addLine(back, "heal");
}

void ScheduleGenerator::coreConnectionsReset(double at) {
  for (int turn = pickNumber(6); turn > 0; --turn) addLine(at + between(0, 2), "drop " + anyCore());
}

void ScheduleGenerator::coreDiskBad(double at) {
  static constexpr std::array<std::string_view, 3> kModes{"stall", "full", "fail"};
  std::string mode = pickOne(kModes);
  double back = at + between(0.5, 9);
  if (!lossTracker_.recordLoss(1, at, back + 1)) return;
  std::string core = coreNumber();
  addLine(at, "disk " + core + " " + mode);
  addLine(back, "disk " + core + " good");
  if (mode != "fail" && coin()) return;
  // A process recovers from a failed sync only by a restart; after other disk faults some are
  // restarted, too, with or without a loss of power.
  addLine(back + 0.1, (coin() ? "kill " : "power ") + core);
  addLine(back + 0.6, "start all");
}

void ScheduleGenerator::coreDiskSlow(double at) {
  std::string core = coin() ? "cores" : coreNumber();
  addLine(at, "disk " + core + " slow " + std::to_string(5 + pickNumber(35)));
  addLine(at + between(2, 10), "disk " + core + " good");
}

void ScheduleGenerator::allCoresKilled(double at) {
  double back = at + between(0.1, 1);
  if (!lossTracker_.recordTotalLoss(at, back + 0.4)) return;
  addLine(at, "kill cores");
  startCores(back);
}

void ScheduleGenerator::allCoresWithoutPower(double at) {
  double back = at + between(0.3, 4);
  if (!lossTracker_.recordTotalLoss(at, back + 0.4)) return;
  addLine(at, "power cores");
  startCores(back);
}

void ScheduleGenerator::allWithoutPower(double at) {
  double back = at + between(0.3, 4);
  if (!lossTracker_.recordTotalLoss(at, back + 0.4)) return;
  addLine(at, coin() ? "power all" : "kill all");
  startCores(back);
}

void ScheduleGenerator::seedUnreachable(double at) {
  // One seed is unreachable or down while others start, which know that seed alone or all of them.
  double back = at + between(2, 8);
  if (!lossTracker_.recordLoss(1, at, back)) return;
  std::string seed = std::to_string(pickNumber(std::min(3, size_.cores)));
  bool cut = coin();
  addLine(at, (cut ? "cut core " : "kill core ") + seed);
  if (coin()) addLine(at, "seeds " + seed);
  std::string restarted = anyFront();
  addLine(at + 0.2, "kill " + restarted);
  addLine(at + 0.7, "start " + restarted);
  addLine(back, cut ? "heal" : "start all");
  addLine(back, size_.cores >= 3 ? "seeds 1 2 3" : "seeds 1 2");
}

void ScheduleGenerator::clocksLeap(double at) {
  for (int turn = pickNumber(3); turn > 0; --turn)
    addLine(at + between(0, 1),
            "leap " + (coin() ? coreNumber() : anyFront()) + " " + formatNumber(between(0.3, 20)));
}

void ScheduleGenerator::frontsKilled(double at) {
  std::string group = size_.interface == Interface::kRouters ? "routers" : "fronts";
  addLine(at, "kill " + (coin() ? anyFront() : coin() ? std::string("half") : group));
  addLine(at + between(0.3, 5), "start all");
}

void ScheduleGenerator::frontFrozen(double at) {
  std::string name = anyFront();
  addLine(at, "freeze " + name);
  addLine(at + between(0.3, 9), "thaw " + name);
}

void ScheduleGenerator::frontCut(double at) {
  static constexpr std::array<std::string_view, 2> kHow{"cut ", "hang "};
  addLine(at, pickOne(kHow) + anyFront());
  addLine(at + between(1, 14), "heal");
}

void ScheduleGenerator::frontThrottled(double at) {
  std::string name = anyFront();
  addLine(at, "throttle " + name + " " + std::to_string(pickNumber(10)));
  addLine(at + between(1, 6), "throttle " + name + " 0");
}

void ScheduleGenerator::frontConnectionsReset(double at) {
  for (int turn = pickNumber(6); turn > 0; --turn)
    addLine(at + between(0, 2), "drop " + anyFront());
}

void ScheduleGenerator::networkBad(double at) {
  double end = at + between(2, 10);
  addLine(at, "loss " + formatNumber(between(0.01, 0.06)));
  addLine(at, "late " + formatNumber(between(0.01, 0.08)));
  addLine(end, "loss 0.002");
  addLine(end, "late 0.003");
}

void ScheduleGenerator::engineCrashes(double at) {
  if (size_.interface == Interface::kRouters) {
    addLine(at, "crash " + std::to_string(pickNumber(size_.engines)) + " " +
                    std::to_string(1 + pickNumber(5)));
    return;
  }
  std::string name = anyEngine();
  addLine(at, "kill " + name);
  addLine(at + between(1, 8), "start " + name);
}

void ScheduleGenerator::addClosingFault(double at) {
  double back = at + between(0.3, 3);
  std::uint64_t variant = random_.below(4);
  addChange(at - between(0.005, 0.4));
  if (variant == 0) {
    addLine(at, coin() ? "power all" : "power cores");
  } else if (variant == 1) {
    addLine(at, coin() ? "kill all" : "kill cores");
  } else {
    // As many disks as may be lost, in some schedules while all other machines lose power.
    int first = pickNumber(size_.cores);
    for (int lost = 0; lost < size_.tolerate; ++lost)
      addLine(at, "wipe core " + std::to_string((first - 1 + lost) % size_.cores + 1));
    if (variant == 2) addLine(at, "power cores");
  }
  startCores(back);
}

}  // namespace peppergate
