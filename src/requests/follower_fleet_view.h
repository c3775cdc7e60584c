#pragma once
// View of the fleet backed by a router's follower and membership.
#include "core/follower.h"
#include "core/membership.h"
#include "requests/fleet_view.h"

namespace peppergate {

/// Reads the control state from the follower and the live routers from the membership.
class FollowerStateView final : public FleetStateView {
 public:
  FollowerStateView(const Options& options, const Follower& follower, const Membership& membership)
      : options_(options), follower_(follower), membership_(membership) {}
  const FleetConfig& config() const override { return follower_.setup().fleetConfig; }
  const Route* route(std::string_view host, std::string_view path) const override {
    return config().route(host, path);
  }
  const TenantConfig* tenantOfKey(std::string_view key) const override {
    return config().tenantOfKey(key);
  }
  const Weights& weights() const override { return follower_.weights(); }
  bool installed() const override {
    return follower_.hasConfiguration() && config().version.value != 0;
  }
  MonotonicTime freshUntil(MonotonicTime now) const override {
    if (!options_.isGuardEnabled(SafetyGuard::kFreshness)) return kForever;
    if (!follower_.isFresh(now)) return now;
    return now + (options_.proofLimit - follower_.proofAge(now));
  }
  std::uint64_t installCount() const override { return follower_.changeCount(); }
  std::size_t liveRouters() const override { return membership_.liveRouters().size(); }

 private:
  const Options& options_;
  const Follower& follower_;
  const Membership& membership_;
};

}  // namespace peppergate
