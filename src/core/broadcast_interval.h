#pragma once
// The interval at which a member broadcasts to all others. Each member receives as many broadcasts
// per interval as there are senders, so the interval grows with the fleet.
#include <algorithm>

#include "core/types.h"

namespace peppergate {

/// The limits of the interval for one kind of broadcast, and what each member adds to it.
struct BroadcastInterval {
  Duration shortest, perMember, longest;

  /// The interval in a fleet of `members`. For example, with limits of 100 ms and 500 ms and 5 ms
  /// per member it is 405 ms for 81 members.
  Duration forMembers(std::size_t members) const {
    return std::clamp(perMember * static_cast<double>(members), shortest, longest);
  }
};

}  // namespace peppergate
