#include "sim/random_day.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "core/random.h"
#include "sim/shrink.h"

namespace peppergate {
namespace {

constexpr double kFirstFault = 4, kLastFault = 52;

/// Generates one schedule. Each method adds the lines of a fault from its begin to its end.
class Drawer {
 public:
  Drawer(std::uint64_t seed, const DaySize& size) : random_(seed * 7919 + 13), size_(size) {}

  std::vector<std::string> draw() {
    int count = 4 + static_cast<int>(random_.below(10));
    for (int index = 0; index < count; ++index) drawOne();
    lastFault();
    std::ranges::stable_sort(lines_, {}, &Line::at);
    std::vector<std::string> texts;
    for (const auto& line : lines_) texts.push_back("at " + number(line.at) + "s " + line.words);
    return texts;
  }

 private:
  struct Line {
    double at;
    std::string words;
  };
  /// The time spans of a kind of fault that may not overlap others of its kind.
  struct Busy {
    std::vector<std::pair<double, double>> spans;
    bool free(double from, double to) const {
      return std::ranges::none_of(
          spans, [&](const auto& span) { return from < span.second && span.first < to; });
    }
  };
  using Kind = void (Drawer::*)(double at);

  static std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
  }
  double between(double low, double high) { return low + (high - low) * random_.fraction(); }
  int pick(int most) {
    return 1 + static_cast<int>(random_.below(static_cast<std::uint64_t>(most)));
  }
  bool coin() { return random_.below(2) == 0; }
  template <std::size_t Size>
  std::string_view one(const std::array<std::string_view, Size>& words) {
    return words[random_.below(Size)];
  }
  void add(double at, const std::string& words) { lines_.push_back({at, words}); }
  bool take(Busy& busy, double from, double to) {
    if (!busy.free(from, to)) return false;
    busy.spans.emplace_back(from, to);
    return true;
  }
  std::string coreOrRole() {
    static constexpr std::array<std::string_view, 4> kRoles{"primary", "backup", "witness",
                                                            "other-witness"};
    return coin() ? std::string(one(kRoles)) : "core " + std::to_string(pick(4));
  }
  std::string fixedCore() { return "core " + std::to_string(pick(4)); }
  std::string front() { return "front " + std::to_string(pick(size_.fronts)); }
  std::string engine() { return "engine " + std::to_string(pick(size_.engines)); }
  std::string_view tenant() {
    static constexpr std::array<std::string_view, 4> kHut{"huts-east", "huts-west", "archive",
                                                          "ski-touring"};
    static constexpr std::array<std::string_view, 4> kFjord{"hall-asker", "hall-bygd", "trial",
                                                            "hall-nes"};
    return fjordsyn_ ? one(kFjord) : one(kHut);
  }

  void coreKilled(double at) {
    double end = at + between(1, 8);
    if (!take(cores_, at, end + 4)) return;
    add(at, "kill " + coreOrRole());
    add(end, "start all");
  }
  void coreWiped(double at) {
    double end = at + between(0.5, 5);
    if (!take(cores_, at, end + 20)) return;
    std::string core = fixedCore();
    add(at, "wipe " + core);
    add(end, "start all");
  }
  void coreReplaced(double at) {
    if (!take(cores_, at, at + 20)) return;
    add(at, "replace " + fixedCore());
  }
  void coreFrozen(double at) {
    double end = at + between(0.2, 7);
    if (!take(cores_, at, end + 3)) return;
    std::string core = coreOrRole();
    add(at, "freeze " + core);
    add(end, "thaw all");
  }
  void coreDisk(double at) {
    static constexpr std::array<std::string_view, 4> kModes{"slow", "stall", "full", "fail"};
    double end = at + between(1, 9);
    std::string_view mode = one(kModes);
    if (!take(cores_, at, end + 5)) return;
    std::string core = fixedCore();
    add(at, "disk " + core + " " + std::string(mode));
    add(end, "disk " + core + " good");
    if (mode != "fail") return;  // a process recovers from a failed sync only by a restart
    add(end + 0.1, "kill " + core);
    add(end + 0.5, "start all");
  }
  void clocksLeap(double at) {
    for (int turn = pick(3); turn > 0; --turn)
      add(at + between(0, 1),
          "leap " + (coin() ? fixedCore() : front()) + " " + number(between(0.3, 20)));
  }
  void coreCut(double at) {
    double end = at + between(1, 14);
    if (!cutFree(at, end) || !take(cores_, at, end + 4)) return;
    add(at, "cut " + coreOrRole() + (coin() ? " " + front() + " " + engine() : ""));
    add(end, "heal");
  }
  void halves(double at) {
    double end = at + between(0.5, 16);
    if (!cutFree(at, end) || !take(cores_, at, end + 6)) return;
    std::string one, other;
    std::array<int, 4> cores{1, 2, 3, 4};
    random_.shuffle(std::span<int>(cores));
    for (int index = 0; index < 4; ++index)
      (index < 2 ? one : other) +=
          " core " + std::to_string(cores[static_cast<std::size_t>(index)]);
    for (int index = 1; index <= size_.fronts; ++index)
      (index % 2 == 0 ? one : other) += " front " + std::to_string(index);
    std::string engines;
    for (int index = 1; index <= size_.engines; index += 3)
      engines += " engine " + std::to_string(index);
    switch (random_.below(3)) {
      case 0:
        add(at, "oneway" + one + " to" + other);
        break;
      case 1:
        for (double turn = at; turn + 1 < end; turn += between(1.5, 4)) {
          add(turn, "cut" + one + engines);
          add(turn + 0.8, "heal");
        }
        break;
      default:
        add(at, "cut" + one + engines);
    }
    add(end, "heal");
  }
  void frontCut(double at) {
    double end = at + between(1, 15);
    if (!cutFree(at, end)) return;
    add(at, "cut " + front() + " " + front() + (coin() ? " " + engine() + " " + engine() : ""));
    add(end, "heal");
  }
  void partialCut(double at) {
    double end = at + between(2, 12);
    if (!cutFree(at, end)) return;
    add(at, "part " + (coin() ? fixedCore() : std::string("platform")) + " " + front());
    add(at + 0.1, "part " + front() + " " + engine());
    add(end, "heal");
  }
  void frontsKilled(double at) {
    int count = coin() ? 1 : 2 + static_cast<int>(random_.below(4));
    for (int index = 0; index < count; ++index) add(at + between(0, 0.3), "kill " + front());
    add(at + between(1, 6), "start all");
  }
  void frontFrozen(double at) {
    std::string name = front();
    add(at, "freeze " + name);
    add(at + between(0.5, 9), "thaw " + name);
  }
  void engineKilled(double at) {
    std::string name = engine();
    add(at, "kill " + name);
    if (random_.below(3) != 0) add(at + between(1, 10), "start " + name);
  }
  void engineRestarted(double at) {
    add(at, "restart " + engine() + (random_.below(3) == 0 ? " 1" : ""));
  }
  void connectionsBreak(double at) {
    for (int turn = pick(12); turn > 0; --turn) add(at + between(0, 3), "reset " + engine());
  }
  void engineDrained(double at) {
    std::string name = engine();
    add(at, "drain " + name);
    if (coin()) {
      add(at + 5, "gone " + name);
      add(at + 8, "restart " + name);
      add(at + 8.1, "undrain " + name);
      add(at + 8.2, "return " + name);
    } else {
      add(at + between(1, 8), "undrain " + name);
    }
  }
  void linkSlow(double at) {
    std::string name = engine();
    add(at, "link " + name + " " + number(between(0.1, 0.6)));
    add(at + between(3, 15), "link " + name + " 1");
  }
  void reportsBad(double at) {
    std::string name = engine();
    add(at, "reports " + name + (coin() ? " late" : " off"));
    add(at + between(3, 15), "reports " + name + " on");
  }
  void garbles(double at) {
    static constexpr std::array<std::string_view, 4> kHow{"repeat", "skip", "foreign", "early"};
    std::string name = engine();
    add(at, "garble " + name + " " + std::string(one(kHow)));
    add(at + between(1, 8), "garble " + name + " off");
  }
  void storeLost(double at) {
    add(at, "kill store");
    add(at + between(1, 10), "start store");
  }
  void powerLost(double at) {
    double back = at + between(0.3, 4);
    bool disk = coin();
    if (!take(cores_, at, back + (disk ? 24 : 6))) return;
    add(at, "kill all");
    if (disk) add(at + 0.01, "wipe " + fixedCore());
    add(back, "start all");
  }
  void weights(double at) { add(at, "weights w" + std::to_string(random_.below(1000))); }
  void withdrawal(double at) { add(at, "withdraw " + std::string(tenant())); }
  void changes(double at) {
    for (int turn = pick(4); turn > 0; --turn) add(at + between(0, 2), coin() ? "stamp" : "race");
    if (coin()) add(at + between(0, 2), "storm " + std::to_string(pick(60)));
  }
  void walls(double at) { add(at, "newwall " + std::string(tenant())); }
  void large(double at) { add(at, "large " + std::to_string(200000 + random_.below(700000))); }
  void badNetwork(double at) {
    add(at, "loss " + number(between(0.01, 0.05)));
    add(at, "late " + number(between(0.01, 0.08)));
    double end = at + between(2, 10);
    add(end, "loss 0.002");
    add(end, "late 0.003");
  }

  bool cutFree(double from, double to) { return take(cuts_, from, to + 0.5); }

  void drawOne() {
    static constexpr std::array<Kind, 26> kKinds{
        &Drawer::coreKilled,    &Drawer::coreWiped,       &Drawer::coreReplaced,
        &Drawer::coreFrozen,    &Drawer::coreDisk,        &Drawer::clocksLeap,
        &Drawer::coreCut,       &Drawer::halves,          &Drawer::frontCut,
        &Drawer::partialCut,    &Drawer::frontsKilled,    &Drawer::frontFrozen,
        &Drawer::engineKilled,  &Drawer::engineRestarted, &Drawer::connectionsBreak,
        &Drawer::engineDrained, &Drawer::linkSlow,        &Drawer::reportsBad,
        &Drawer::garbles,       &Drawer::storeLost,       &Drawer::powerLost,
        &Drawer::weights,       &Drawer::withdrawal,      &Drawer::changes,
        &Drawer::walls,         &Drawer::badNetwork};
    (this->*kKinds[random_.below(kKinds.size())])(between(kFirstFault, kLastFault - 12));
    // Often a configuration change or a key withdrawal is in progress at the same time.
    double near = lines_.empty() ? kFirstFault : lines_.back().at;
    if (random_.below(3) == 0)
      withdrawal(std::clamp(near + between(-0.3, 0.3), kFirstFault, kLastFault));
    if (random_.below(3) == 0)
      changes(std::clamp(near + between(-1, 0.3), kFirstFault, kLastFault));
    if (random_.below(16) == 0)
      large(std::clamp(near + between(-0.5, 0.5), kFirstFault, kLastFault));
  }

  void lastFault() {
    static constexpr std::array<Kind, 9> kKinds{
        &Drawer::coreKilled, &Drawer::coreWiped,    &Drawer::coreFrozen,
        &Drawer::coreCut,    &Drawer::halves,       &Drawer::frontsKilled,
        &Drawer::powerLost,  &Drawer::engineKilled, &Drawer::coreReplaced};
    double at = kFirstFault;
    for (const auto& line : lines_) at = std::max(at, line.at);
    (this->*kKinds[random_.below(kKinds.size())])(at + between(0.5, 6));
  }

 public:
  bool fjordsyn_ = false;

 private:
  Random random_;
  DaySize size_;
  Busy cores_, cuts_;
  std::vector<Line> lines_;
};

/// The kind of a failure, without its times and values.
std::string kindOf(const std::string& failure) {
  auto end = std::min(failure.find(" at "), failure.find(", got"));
  return failure.substr(0, end);
}

bool failsAlike(const RandomDay& day, const std::string& kind) {
  RunReport report = runDay(day);
  return std::ranges::any_of(report.failures,
                             [&](const std::string& failure) { return kindOf(failure) == kind; });
}

}  // namespace

std::string RandomDay::text() const {
  std::string text = head;
  // Traffic continues for at least 18 s after the last line, to check that the fleet recovers.
  double last = 0;
  for (const auto& line : lines) last = std::max(last, std::strtod(line.c_str() + 3, nullptr));
  text += "run " + std::to_string(static_cast<int>(last) + 19) + "s\n";
  for (const auto& line : lines) text += line + "\n";
  return text + "expect clean\nexpect primary\n";
}

RandomDay drawDay(std::uint64_t seed, const DaySize& size) {
  Drawer drawer(seed, size);
  drawer.fjordsyn_ = seed % 2 == 0;
  RandomDay day;
  day.seed = seed;
  day.head = "# A drawn day, seed " + std::to_string(seed) +
             ". Held back: a second core machine lost, frozen, cut or with a bad disk\n# while one "
             "is; a core's emptied disk less than 20 s before the next; two cuts at once.\n" +
             "name drawn-day-" + std::to_string(seed) + "\nprofile " +
             (drawer.fjordsyn_ ? "fjordsyn" : "hutline") + "\nfronts " +
             std::to_string(size.fronts) + "\nengines " + std::to_string(size.engines) +
             "\nracks 3\nrequests " + std::to_string(static_cast<int>(size.requests)) + "\n";
  day.lines = drawer.draw();
  return day;
}

RunReport runDay(const RandomDay& day) {
  auto scenario = parseScenario(day.text());
  if (!scenario.ok())
    return {"drawn-day", day.seed, {std::string(scenario.status().message())}, {}};
  return runScenario(*scenario, day.seed);
}

RandomDay cutDown(const RandomDay& day, const RunReport& report) {
  if (report.failures.empty()) return day;
  std::string kind = kindOf(report.failures.front());
  constexpr int kMostRuns = 60;  // bounds the run time; further shrinking is manual
  RandomDay least = day;
  auto fails = [&](const std::vector<std::string>& lines) {
    RandomDay shorter = day;
    shorter.lines = lines;
    return failsAlike(shorter, kind);
  };
  least.lines = shrinkLines(day.lines, fails, kMostRuns);
  return least;
}

}  // namespace peppergate
