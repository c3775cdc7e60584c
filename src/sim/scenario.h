#pragma once
// Scenarios of fleets of fronts: small text files with a fleet, faults at times, and what is
// expected.
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "sim/scenario_reader.h"

namespace peppergate {

/// Where simulated time begins, so that traffic starts at 0.
inline constexpr MonotonicTime kWarmUp{-9'000'000};

/// A scenario of the product's own interface.
struct Scenario : FleetScenario {
  std::string profile = "hutline";
  bool foundedBySeeds = false;  // else one core is told how many there are
  int racks = 2;
  std::uint64_t documents = 4;  // of each tenant
  std::size_t cache = 24;       // parts that an engine keeps
  double late = 1.0 / 300;      // share of messages that come late, by up to 2.5 s
  double link = 60;             // megabytes a second of each engine's link
  double uplink = 150;          // of each rack
  std::uint64_t pieces = 15;    // most pieces of a stream
  double deadline = 10;         // longest deadline of a stream, in seconds
};

/// Reads a scenario; an error names its line.
absl::StatusOr<Scenario> parseScenario(std::string_view text);

}  // namespace peppergate
