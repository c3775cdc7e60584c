#pragma once
// What request handling needs to know of the fleet: configuration, weights, freshness, routers.
#include <cstdint>
#include <string_view>

#include "core/control_state.h"

namespace peppergate {

/// A read-only view of the fleet's control state and membership.
class FleetStateView {
 public:
  virtual ~FleetStateView() = default;
  /// The current configuration.
  virtual const FleetConfig& config() const = 0;
  /// The configured route of a request, and the tenant of an access key; null if there is none.
  virtual const Route* route(std::string_view host, std::string_view path) const = 0;
  virtual const TenantConfig* tenantOfKey(std::string_view key) const = 0;
  /// The weights version named for each model, for placement.
  virtual const Weights& weights() const = 0;
  /// Whether a configuration has been installed since this process started.
  virtual bool installed() const = 0;
  /// When the proof of freshness expires; `now` or earlier if it has expired. No attempt may start
  /// after that.
  virtual MonotonicTime freshUntil(MonotonicTime now) const = 0;
  /// Incremented by each install, so that callers know when to drop what they cached.
  virtual std::uint64_t installCount() const = 0;
  /// The number of routers that share the retry budget, including this one.
  virtual std::size_t liveRouters() const = 0;
};

}  // namespace peppergate
