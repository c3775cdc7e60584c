#pragma once
// How often one member tells all others, by how many they are. What each member has to take in is
// the number of tellers over this time, so the time grows with the fleet.
#include <algorithm>

#include "core/types.h"

namespace peppergate {

/// The bounds of one kind of news, and how much each member adds to the time between two.
struct FleetPace {
  Duration shortest, perMember, longest;

  /// Example: `FleetPace{milliseconds(100), milliseconds(5), milliseconds(500)}.between(81)` is
  /// 405 ms.
  Duration between(std::size_t members) const {
    return std::clamp(perMember * static_cast<double>(members), shortest, longest);
  }
};

}  // namespace peppergate
