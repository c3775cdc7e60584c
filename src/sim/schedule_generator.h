#pragma once
// Generates the lines of a random schedule: faults of machines, disks, clocks and the network that
// both kinds of deployments have. At no time are more core machines lost than `tolerate`.
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"
#include "sim/machine_loss_tracker.h"
#include "sim/scenario_vocabulary.h"

namespace peppergate {

/// The size of the deployment that a schedule is generated for.
struct ScheduleSize {
  Interface interface = Interface::kStreams;
  int cores = 3;
  int spares = 1;    // core machines that may be added
  int tolerate = 1;  // core machines that may be lost at once
  int fronts = 3;    // or routers
  int engines = 4;
};

/// Generates lines "at TIME VERB WORDS". Times are seconds from the start of traffic.
class ScheduleGenerator {
 public:
  ScheduleGenerator(std::uint64_t seed, const ScheduleSize& size);

  /// Adds one to three faults at about one time; some begin at exactly the same time.
  void addFaults(double at);
  /// Adds a fault for the end of a schedule: all machines lose power or are killed, or as many as
  /// may be lost lose their disks, in some cases while all others lose power. A change is sent
  /// shortly before.
  void addClosingFault(double at);
  /// The lines in order of time.
  std::vector<std::string> lines() const;
  /// The time of the last line.
  double lastTime() const;
  Random& random() { return random_; }

 private:
  struct Line {
    double at;
    std::string words;
  };
  using FaultMethod = void (ScheduleGenerator::*)(double at);

  double between(double low, double high) { return low + (high - low) * random_.fraction(); }
  bool coin() { return random_.below(2) == 0; }
  int pickNumber(int count) {
    return 1 + static_cast<int>(random_.below(static_cast<std::uint64_t>(count)));
  }
  template <std::size_t Size>
  std::string pickOne(const std::array<std::string_view, Size>& words) {
    return std::string(words[random_.below(Size)]);
  }
  void addLine(double at, const std::string& words) { lines_.push_back({at, words}); }
  std::string anyCore();  // by number or by role
  std::string coreNumber() { return "core " + std::to_string(pickNumber(size_.cores)); }
  std::string anyFront();
  std::string anyEngine() { return "engine " + std::to_string(pickNumber(size_.engines)); }
  void startCores(double from);
  void addChangeNear(double at);
  void addChange(double at);
  void addStreamsChange(double at);
  void addRoutersChange(double at);

  // Faults of core machines; each adds nothing if too many machines would be lost at once.
  void coreKilled(double at);
  void coreWithoutPower(double at);
  void coreWiped(double at);
  void coreWipedThenAnother(double at);
  void coreReplaced(double at);
  void coreReplacedAsPlanned(double at);
  void coreFrozen(double at);
  void coreThrottled(double at);
  void coreCut(double at);
  void coreCutOneWay(double at);
  void coreHangs(double at);
  void coreConnectionsReset(double at);
  void coreDiskBad(double at);
  void coreDiskSlow(double at);
  void allCoresKilled(double at);
  void allCoresWithoutPower(double at);
  void allWithoutPower(double at);
  void seedUnreachable(double at);
  void clocksLeap(double at);
  // Faults of fronts, engines and the network.
  void frontsKilled(double at);
  void frontFrozen(double at);
  void frontCut(double at);
  void frontThrottled(double at);
  void frontConnectionsReset(double at);
  void networkBad(double at);
  void engineCrashes(double at);

  Random random_;
  ScheduleSize size_;
  MachineLossTracker lossTracker_;
  std::vector<Line> lines_;
  int usedSpares_ = 0;
};

}  // namespace peppergate
