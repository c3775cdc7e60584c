#pragma once
// What requests need to know of the fleet: configuration, weights, freshness, fronts.
#include <cstdint>
#include <string_view>

#include "core/control_state.h"

namespace peppergate {

/// Example: `if (now >= facts.freshUntil(now)) refuse("stale");`
class FleetFacts {
 public:
  virtual ~FleetFacts() = default;
  /// The configuration in force now. Example: `facts.config().services`.
  virtual const FleetConfig& config() const = 0;
  /// Its route for a request, its tenant for a key; null if there is none.
  /// Example: `facts.route("desk.example", "/a/b")`, `facts.tenantOfKey("secret")`.
  virtual const Route* route(std::string_view host, std::string_view path) const = 0;
  virtual const TenantConfig* tenantOfKey(std::string_view key) const = 0;
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

}  // namespace peppergate
