#pragma once
// How long the fleet was without a leader, as seen by one follower.
#include <algorithm>

#include "core/types.h"

namespace peppergate {

/// Measures the time without a leader's proof of freshness until the leader of a later epoch is
/// heard. A gap that the same leader ends is a fault of this follower's connection and isn't
/// counted; nor is time in which this process didn't run.
class LeaderOutage {
 public:
  /// Called on each tick. `lastProof`: when the newest proof was issued; `epoch`: the epoch of the
  /// leader that issued it. Returns the length of the outage that a new leader has just ended, else
  /// zero.
  Duration tick(MonotonicTime lastProof, Epoch epoch, MonotonicTime now) {
    bool silent = now - lastProof > kMaxProofAge;
    if (silent && lastTick_ != kNever)
      outage_ = outage_ + std::min(now - lastTick_, kMaxTickInterval);
    lastTick_ = now;
    Duration endedOutage{};
    if (epoch != epoch_) endedOutage = epoch_.value != 0 ? outage_ : Duration{};
    if (epoch != epoch_ || !silent) outage_ = {};
    epoch_ = epoch;
    return endedOutage;
  }

 private:
  static constexpr Duration kMaxProofAge = seconds(2);
  static constexpr Duration kMaxTickInterval = milliseconds(250);

  Epoch epoch_;
  MonotonicTime lastTick_ = kNever;
  Duration outage_;
};

}  // namespace peppergate
