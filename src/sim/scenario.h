#pragma once
// Scenarios of fleets of fronts: small text files that describe a fleet, timed faults and
// expectations.
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "sim/scenario_reader.h"

namespace peppergate {

/// When simulated time begins; traffic starts at 0.
inline constexpr MonotonicTime kWarmUpStart{-9'000'000};

/// A scenario of the streams interface.
struct Scenario : FleetScenario {
  std::string profile = "hutline";
  bool createdBySeeds = false;  // otherwise one core creates the fleet and is given its size
  int racks = 2;
  std::uint64_t documentsPerTenant = 4;   // of each tenant
  std::size_t cachedBlocks = 24;          // prefix blocks that an engine caches
  double delayedShare = 1.0 / 300;        // share of messages that are delayed, by up to 2.5 s
  double linkMegabytesPerSecond = 60;     // bandwidth of each engine's link
  double uplinkMegabytesPerSecond = 150;  // bandwidth of each rack's uplink
  std::uint64_t maxPieces = 15;           // of a stream
  double maxDeadlineSeconds = 10;         // of a stream
};

/// Reads a scenario; an error names its line.
absl::StatusOr<Scenario> parseScenario(std::string_view text);

}  // namespace peppergate
