#pragma once
// Who is allowed in when there is more than the engines can carry: by rank, fair within a rank.
#include <map>
#include <string_view>

#include "core/control_state.h"
#include "core/random.h"

namespace peppergate {

/// What the gate knows of the fleet's usage. Example: filled from pictures each time.
struct GateUsage {
  double running = 0;  // streams on the engines of the service
  double places = 0;   // streams that they can carry
  double ownRunning = 0;
  double fronts = 1;
};

enum class GateVerdict : std::uint8_t { kAllowed, kOverload, kTenantShare, kFrontFull };

/// Example: `gate.allow(tenantId, tenant, usage)` then `gate.enter` and, at the end, `gate.leave`.
class Gate {
 public:
  explicit Gate(const Options& options) : options_(options) {}
  /// Whether one more stream of the tenant is let in now. Example: see the class.
  GateVerdict allow(const TenantId& id, const Tenant& tenant, const GateUsage& usage) const;
  void enter(const TenantId& id, std::int64_t rank);
  void leave(const TenantId& id);
  /// When a declined caller should come back, spread at random. Example: `retryAfter(random)`.
  static Duration retryAfter(Random& random, double pressure);
  double running() const { return running_; }
  void reload(const Options& options) { options_ = options; }

 private:
  struct Held {
    std::int64_t rank = 0;
    double running = 0;
  };
  Options options_;
  std::map<TenantId, Held> tenants_;
  double running_ = 0;
};

/// Names a verdict for callers. Example: `verdictName(GateVerdict::kOverload) == "overload"`.
std::string_view verdictName(GateVerdict verdict);

}  // namespace peppergate
