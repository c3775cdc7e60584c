#pragma once
// Rungs and classes of moves where operators set none: derived from the links that services tell.
#include "config/fleet_config.h"
#include "core/control_state.h"

namespace peppergate {

/// The operators' own rungs and classes if there are several rungs; else 1/32, 1/16, 1/8 and 1/4
/// of the smallest told link, and three classes by urgency. Example: `fetchSetup(setup, fleet)`.
Setup fetchSetup(const Setup& operators, const FleetConfig& fleet);
/// The class of a request by its urgency. Example: `className(0) == "urgent"`.
std::string_view className(int urgency);
/// Megabytes a second of a told link. Example: `megabytesOf(8000) == 1000`.
constexpr double megabytesOf(double megabits) { return megabits / 8; }

}  // namespace peppergate
