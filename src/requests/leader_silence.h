#pragma once
// How long the fleet was without a leader, as seen by one follower.
#include <algorithm>

#include "core/types.h"

namespace peppergate {

/// Measures the time without a leader's proof of freshness until the leader of a later epoch is
/// heard. A gap that the same leader ends is a fault of this follower's connection and isn't
/// counted; nor is time in which this process didn't run.
class LeaderSilence {
 public:
  /// Called on each tick. `lastProof`: when the newest proof was issued; `epoch`: the epoch of the
  /// leader that issued it. Returns the length of the outage that a new leader has just ended, else
  /// zero.
  Duration tick(MonotonicTime lastProof, Epoch epoch, MonotonicTime now) {
    bool silent = now - lastProof > kProofsComeWithin;
    if (silent && lastTick_ != kNever)
      silence_ = silence_ + std::min(now - lastTick_, kLongestTick);
    lastTick_ = now;
    Duration ended{};
    if (epoch != epoch_) ended = epoch_.value != 0 ? silence_ : Duration{};
    if (epoch != epoch_ || !silent) silence_ = {};
    epoch_ = epoch;
    return ended;
  }

 private:
  static constexpr Duration kProofsComeWithin = seconds(2);
  static constexpr Duration kLongestTick = milliseconds(250);

  Epoch epoch_;
  MonotonicTime lastTick_ = kNever;
  Duration silence_;
};

}  // namespace peppergate
