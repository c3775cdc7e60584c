#pragma once
// What requests need to know of the fleet: configuration, weights, freshness, fronts.
#include <cstdint>

#include "core/follower.h"
#include "core/membership.h"

namespace peppergate {

/// Example: `if (now >= facts.freshUntil(now)) refuse("stale");`
class FleetFacts {
 public:
  virtual ~FleetFacts() = default;
  /// The configuration in force now. Example: `facts.config().route(host, path)`.
  virtual const FleetConfig& config() const = 0;
  /// The named weights. Example: handed to the placer.
  virtual const Weights& weights() const = 0;
  /// Whether any configuration was ever installed here. Example: false after the start.
  virtual bool installed() const = 0;
  /// When the proof of freshness runs out; not after `now` if it has. Example: see the class.
  virtual MonotonicTime freshUntil(MonotonicTime now) const = 0;
  /// Raised by each install. Example: compare, to forget what was read out of the last one.
  virtual std::uint64_t changes() const = 0;
  /// The fronts that share the budget, this one among them. Example: 9.
  virtual std::size_t liveFronts() const = 0;
};

/// The facts as a front's follower and membership have them.
/// Example: `FollowerFacts facts(props, follower, membership);`
class FollowerFacts final : public FleetFacts {
 public:
  FollowerFacts(const Props& props, const Follower& follower, const Membership& membership)
      : props_(props), follower_(follower), membership_(membership) {}
  const FleetConfig& config() const override { return follower_.setup().fleet; }
  const Weights& weights() const override { return follower_.weights(); }
  bool installed() const override {
    return follower_.installed() && config().version.value != 0;
  }
  MonotonicTime freshUntil(MonotonicTime now) const override {
    if (!props_.guards(Guard::kFreshness)) return kForever;
    if (!follower_.fresh(now)) return now;
    return now + (props_.proofLimit - follower_.proofAge(now));
  }
  std::uint64_t changes() const override { return follower_.changesSeen(); }
  std::size_t liveFronts() const override { return membership_.liveFronts().size(); }

 private:
  const Props& props_;
  const Follower& follower_;
  const Membership& membership_;
};

}  // namespace peppergate
