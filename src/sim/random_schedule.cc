#include "sim/random_schedule.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "core/random.h"
#include "sim/schedule_shrinker.h"

namespace peppergate {
namespace {

constexpr double kFirstFaultSeconds = 4, kLastFaultSeconds = 52;

/// Generates one schedule. Each method adds the lines of a fault from its begin to its end.
class RandomScheduleGenerator {
 public:
  RandomScheduleGenerator(std::uint64_t seed, const RandomScheduleSize& size)
      : random_(seed * 7919 + 13), size_(size) {}

  std::vector<std::string> generate() {
    int count = 4 + static_cast<int>(random_.below(10));
    for (int index = 0; index < count; ++index) addFault();
    addLastFault();
    std::ranges::stable_sort(lines_, {}, &Line::at);
    std::vector<std::string> texts;
    for (const auto& line : lines_)
      texts.push_back("at " + formatNumber(line.at) + "s " + line.words);
    return texts;
  }

 private:
  struct Line {
    double at;
    std::string words;
  };
  /// The time spans of a kind of fault that may not overlap others of its kind.
  struct ReservedTimes {
    std::vector<std::pair<double, double>> spans;
    bool isFree(double from, double to) const {
      return std::ranges::none_of(
          spans, [&](const auto& span) { return from < span.second && span.first < to; });
    }
  };
  using FaultMethod = void (RandomScheduleGenerator::*)(double at);

  static std::string formatNumber(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
  }
  double between(double low, double high) { return low + (high - low) * random_.fraction(); }
  int pickNumber(int count) {
    return 1 + static_cast<int>(random_.below(static_cast<std::uint64_t>(count)));
  }
  bool coin() { return random_.below(2) == 0; }
  template <std::size_t Size>
  std::string_view pickOne(const std::array<std::string_view, Size>& words) {
    return words[random_.below(Size)];
  }
  void addLine(double at, const std::string& words) { lines_.push_back({at, words}); }
  bool reserve(ReservedTimes& reserved, double from, double to) {
    if (!reserved.isFree(from, to)) return false;
    reserved.spans.emplace_back(from, to);
    return true;
  }
  std::string anyCore() {
    static constexpr std::array<std::string_view, 4> kRoles{"primary", "backup", "witness",
                                                            "other-witness"};
    return coin() ? std::string(pickOne(kRoles)) : "core " + std::to_string(pickNumber(4));
  }
  std::string coreNumber() { return "core " + std::to_string(pickNumber(4)); }
  std::string anyFront() { return "front " + std::to_string(pickNumber(size_.fronts)); }
  std::string anyEngine() { return "engine " + std::to_string(pickNumber(size_.engines)); }
  std::string_view anyTenant() {
    static constexpr std::array<std::string_view, 4> kHut{"huts-east", "huts-west", "archive",
                                                          "ski-touring"};
    static constexpr std::array<std::string_view, 4> kFjord{"hall-asker", "hall-bygd", "trial",
                                                            "hall-nes"};
    return fjordsynProfile_ ? pickOne(kFjord) : pickOne(kHut);
  }

  void coreKilled(double at) {
    double end = at + between(1, 8);
    if (!reserve(coreFaults_, at, end + 4)) return;
    addLine(at, "kill " + anyCore());
    addLine(end, "start all");
  }
  void coreWiped(double at) {
    double end = at + between(0.5, 5);
    if (!reserve(coreFaults_, at, end + 20)) return;
    std::string core = coreNumber();
    addLine(at, "wipe " + core);
    addLine(end, "start all");
  }
  void coreReplaced(double at) {
    if (!reserve(coreFaults_, at, at + 20)) return;
    addLine(at, "replace " + coreNumber());
  }
  void coreFrozen(double at) {
    double end = at + between(0.2, 7);
    if (!reserve(coreFaults_, at, end + 3)) return;
    std::string core = anyCore();
    addLine(at, "freeze " + core);
    addLine(end, "thaw all");
  }
  void coreDiskFault(double at) {
    static constexpr std::array<std::string_view, 4> kModes{"slow", "stall", "full", "fail"};
    double end = at + between(1, 9);
    std::string_view mode = pickOne(kModes);
    if (!reserve(coreFaults_, at, end + 5)) return;
    std::string core = coreNumber();
    addLine(at, "disk " + core + " " + std::string(mode));
    addLine(end, "disk " + core + " good");
    if (mode != "fail") return;  // a process recovers from a failed sync only by a restart
    addLine(end + 0.1, "kill " + core);
    addLine(end + 0.5, "start all");
  }
  void clocksLeap(double at) {
    for (int turn = pickNumber(3); turn > 0; --turn)
      addLine(at + between(0, 1), "leap " + (coin() ? coreNumber() : anyFront()) + " " +
                                      formatNumber(between(0.3, 20)));
  }
  void coreCut(double at) {
    double end = at + between(1, 14);
    if (!reserveCut(at, end) || !reserve(coreFaults_, at, end + 4)) return;
    addLine(at, "cut " + anyCore() + (coin() ? " " + anyFront() + " " + anyEngine() : ""));
    addLine(end, "heal");
  }
  void networkSplit(double at) {
    double end = at + between(0.5, 16);
    if (!reserveCut(at, end) || !reserve(coreFaults_, at, end + 6)) return;
    std::string firstSide, secondSide;
    std::array<int, 4> cores{1, 2, 3, 4};
    random_.shuffle(std::span<int>(cores));
    for (int index = 0; index < 4; ++index)
      (index < 2 ? firstSide : secondSide) +=
          " core " + std::to_string(cores[static_cast<std::size_t>(index)]);
    for (int index = 1; index <= size_.fronts; ++index)
      (index % 2 == 0 ? firstSide : secondSide) += " front " + std::to_string(index);
    std::string engines;
    for (int index = 1; index <= size_.engines; index += 3)
      engines += " engine " + std::to_string(index);
    switch (random_.below(3)) {
      case 0:
        addLine(at, "oneway" + firstSide + " to" + secondSide);
        break;
      case 1:
        for (double turn = at; turn + 1 < end; turn += between(1.5, 4)) {
          addLine(turn, "cut" + firstSide + engines);
          addLine(turn + 0.8, "heal");
        }
        break;
      default:
        addLine(at, "cut" + firstSide + engines);
    }
    addLine(end, "heal");
  }
  void frontCut(double at) {
    double end = at + between(1, 15);
    if (!reserveCut(at, end)) return;
    addLine(at, "cut " + anyFront() + " " + anyFront() +
                    (coin() ? " " + anyEngine() + " " + anyEngine() : ""));
    addLine(end, "heal");
  }
  void partialCut(double at) {
    double end = at + between(2, 12);
    if (!reserveCut(at, end)) return;
    addLine(at, "part " + (coin() ? coreNumber() : std::string("platform")) + " " + anyFront());
    addLine(at + 0.1, "part " + anyFront() + " " + anyEngine());
    addLine(end, "heal");
  }
  void frontsKilled(double at) {
    int count = coin() ? 1 : 2 + static_cast<int>(random_.below(4));
    for (int index = 0; index < count; ++index) addLine(at + between(0, 0.3), "kill " + anyFront());
    addLine(at + between(1, 6), "start all");
  }
  void frontFrozen(double at) {
    std::string name = anyFront();
    addLine(at, "freeze " + name);
    addLine(at + between(0.5, 9), "thaw " + name);
  }
  void engineKilled(double at) {
    std::string name = anyEngine();
    addLine(at, "kill " + name);
    if (random_.below(3) != 0) addLine(at + between(1, 10), "start " + name);
  }
  void engineRestarted(double at) {
    addLine(at, "restart " + anyEngine() + (random_.below(3) == 0 ? " 1" : ""));
  }
  void connectionsBreak(double at) {
    for (int turn = pickNumber(12); turn > 0; --turn)
      addLine(at + between(0, 3), "reset " + anyEngine());
  }
  void engineDrained(double at) {
    std::string name = anyEngine();
    addLine(at, "drain " + name);
    if (coin()) {
      addLine(at + 5, "gone " + name);
      addLine(at + 8, "restart " + name);
      addLine(at + 8.1, "undrain " + name);
      addLine(at + 8.2, "return " + name);
    } else {
      addLine(at + between(1, 8), "undrain " + name);
    }
  }
  void linkSlow(double at) {
    std::string name = anyEngine();
    addLine(at, "link " + name + " " + formatNumber(between(0.1, 0.6)));
    addLine(at + between(3, 15), "link " + name + " 1");
  }
  void reportsDelayed(double at) {
    std::string name = anyEngine();
    addLine(at, "reports " + name + (coin() ? " late" : " off"));
    addLine(at + between(3, 15), "reports " + name + " on");
  }
  void responseFaults(double at) {
    static constexpr std::array<std::string_view, 4> kHow{"repeat", "skip", "foreign", "early"};
    std::string name = anyEngine();
    addLine(at, "garble " + name + " " + std::string(pickOne(kHow)));
    addLine(at + between(1, 8), "garble " + name + " off");
  }
  void storeLost(double at) {
    addLine(at, "kill store");
    addLine(at + between(1, 10), "start store");
  }
  void powerLost(double at) {
    double back = at + between(0.3, 4);
    bool losesDisk = coin();
    if (!reserve(coreFaults_, at, back + (losesDisk ? 24 : 6))) return;
    addLine(at, "kill all");
    if (losesDisk) addLine(at + 0.01, "wipe " + coreNumber());
    addLine(back, "start all");
  }
  void weightsChange(double at) { addLine(at, "weights w" + std::to_string(random_.below(1000))); }
  void keyWithdrawal(double at) { addLine(at, "withdraw " + std::string(anyTenant())); }
  void configChanges(double at) {
    for (int turn = pickNumber(4); turn > 0; --turn)
      addLine(at + between(0, 2), coin() ? "stamp" : "race");
    if (coin()) addLine(at + between(0, 2), "storm " + std::to_string(pickNumber(60)));
  }
  void isolatedTenant(double at) { addLine(at, "newwall " + std::string(anyTenant())); }
  void largeConfigChange(double at) {
    addLine(at, "large " + std::to_string(200000 + random_.below(700000)));
  }
  void badNetwork(double at) {
    addLine(at, "loss " + formatNumber(between(0.01, 0.05)));
    addLine(at, "late " + formatNumber(between(0.01, 0.08)));
    double end = at + between(2, 10);
    addLine(end, "loss 0.002");
    addLine(end, "late 0.003");
  }

  bool reserveCut(double from, double to) { return reserve(cuts_, from, to + 0.5); }

  void addFault() {
    static constexpr std::array<FaultMethod, 26> kFaults{
        &RandomScheduleGenerator::coreKilled,       &RandomScheduleGenerator::coreWiped,
        &RandomScheduleGenerator::coreReplaced,     &RandomScheduleGenerator::coreFrozen,
        &RandomScheduleGenerator::coreDiskFault,    &RandomScheduleGenerator::clocksLeap,
        &RandomScheduleGenerator::coreCut,          &RandomScheduleGenerator::networkSplit,
        &RandomScheduleGenerator::frontCut,         &RandomScheduleGenerator::partialCut,
        &RandomScheduleGenerator::frontsKilled,     &RandomScheduleGenerator::frontFrozen,
        &RandomScheduleGenerator::engineKilled,     &RandomScheduleGenerator::engineRestarted,
        &RandomScheduleGenerator::connectionsBreak, &RandomScheduleGenerator::engineDrained,
        &RandomScheduleGenerator::linkSlow,         &RandomScheduleGenerator::reportsDelayed,
        &RandomScheduleGenerator::responseFaults,   &RandomScheduleGenerator::storeLost,
        &RandomScheduleGenerator::powerLost,        &RandomScheduleGenerator::weightsChange,
        &RandomScheduleGenerator::keyWithdrawal,    &RandomScheduleGenerator::configChanges,
        &RandomScheduleGenerator::isolatedTenant,   &RandomScheduleGenerator::badNetwork};
    (this->*kFaults[random_.below(kFaults.size())])(
        between(kFirstFaultSeconds, kLastFaultSeconds - 12));
    // Often a configuration change or a key withdrawal is in progress at the same time.
    double lastLineAt = lines_.empty() ? kFirstFaultSeconds : lines_.back().at;
    if (random_.below(3) == 0)
      keyWithdrawal(
          std::clamp(lastLineAt + between(-0.3, 0.3), kFirstFaultSeconds, kLastFaultSeconds));
    if (random_.below(3) == 0)
      configChanges(
          std::clamp(lastLineAt + between(-1, 0.3), kFirstFaultSeconds, kLastFaultSeconds));
    if (random_.below(16) == 0)
      largeConfigChange(
          std::clamp(lastLineAt + between(-0.5, 0.5), kFirstFaultSeconds, kLastFaultSeconds));
  }

  void addLastFault() {
    static constexpr std::array<FaultMethod, 9> kFaults{
        &RandomScheduleGenerator::coreKilled,   &RandomScheduleGenerator::coreWiped,
        &RandomScheduleGenerator::coreFrozen,   &RandomScheduleGenerator::coreCut,
        &RandomScheduleGenerator::networkSplit, &RandomScheduleGenerator::frontsKilled,
        &RandomScheduleGenerator::powerLost,    &RandomScheduleGenerator::engineKilled,
        &RandomScheduleGenerator::coreReplaced};
    double at = kFirstFaultSeconds;
    for (const auto& line : lines_) at = std::max(at, line.at);
    (this->*kFaults[random_.below(kFaults.size())])(at + between(0.5, 6));
  }

 public:
  bool fjordsynProfile_ = false;

 private:
  Random random_;
  RandomScheduleSize size_;
  ReservedTimes coreFaults_, cuts_;
  std::vector<Line> lines_;
};

/// The kind of a failure, without its times and values.
std::string failureKind(const std::string& failure) {
  auto end = std::min(failure.find(" at "), failure.find(", got"));
  return failure.substr(0, end);
}

bool failsTheSameWay(const RandomSchedule& schedule, const std::string& kind) {
  RunReport report = runRandomSchedule(schedule);
  return std::ranges::any_of(
      report.failures, [&](const std::string& failure) { return failureKind(failure) == kind; });
}

}  // namespace

std::string RandomSchedule::text() const {
  std::string text = header;
  // Traffic continues for at least 18 s after the last line, to check that the fleet recovers.
  double last = 0;
  for (const auto& line : lines) last = std::max(last, std::strtod(line.c_str() + 3, nullptr));
  text += "run " + std::to_string(static_cast<int>(last) + 19) + "s\n";
  for (const auto& line : lines) text += line + "\n";
  return text + "expect clean\nexpect primary\n";
}

RandomSchedule generateRandomSchedule(std::uint64_t seed, const RandomScheduleSize& size) {
  RandomScheduleGenerator generator(seed, size);
  generator.fjordsynProfile_ = seed % 2 == 0;
  RandomSchedule schedule;
  schedule.seed = seed;
  schedule.header =
      "# A drawn day, seed " + std::to_string(seed) +
      ". Held back: a second core machine lost, frozen, cut or with a bad disk\n# while one "
      "is; a core's emptied disk less than 20 s before the next; two cuts at once.\n" +
      "name drawn-day-" + std::to_string(seed) + "\nprofile " +
      (generator.fjordsynProfile_ ? "fjordsyn" : "hutline") + "\nfronts " +
      std::to_string(size.fronts) + "\nengines " + std::to_string(size.engines) +
      "\nracks 3\nrequests " + std::to_string(static_cast<int>(size.requestsPerSecond)) + "\n";
  schedule.lines = generator.generate();
  return schedule;
}

RunReport runRandomSchedule(const RandomSchedule& schedule) {
  auto scenario = parseScenario(schedule.text());
  if (!scenario.ok())
    return {"drawn-day", schedule.seed, {std::string(scenario.status().message())}, {}};
  return runScenario(*scenario, schedule.seed);
}

RandomSchedule shrinkRandomSchedule(const RandomSchedule& schedule, const RunReport& report) {
  if (report.failures.empty()) return schedule;
  std::string kind = failureKind(report.failures.front());
  constexpr int kMaxRuns = 60;  // bounds the run time; further shrinking is manual
  RandomSchedule shortest = schedule;
  auto fails = [&](const std::vector<std::string>& lines) {
    RandomSchedule shorter = schedule;
    shorter.lines = lines;
    return failsTheSameWay(shorter, kind);
  };
  shortest.lines = shrinkLines(schedule.lines, fails, kMaxRuns);
  return shortest;
}

}  // namespace peppergate
