#pragma once
// Default rate levels and classes of prefix block fetches, derived from the configured link rates.
#include "config/fleet_config.h"
#include "core/control_state.h"

namespace peppergate {

/// The operators' own rate levels and classes if several levels are configured; otherwise 1/256,
/// 1/64, 1/16 and 1/4 of the slowest configured link, and three classes by urgency.
Setup fetchSetup(const Setup& operators, const FleetConfig& fleet);
/// The class of a request's urgency. Example: `className(0) == "urgent"`.
std::string_view className(int urgency);
/// Converts megabits per second to megabytes per second.
constexpr double megabytesFromMegabits(double megabits) { return megabits / 8; }

}  // namespace peppergate
