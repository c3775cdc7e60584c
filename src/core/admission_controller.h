#pragma once
// Admission control under overload: by the rank of tenants, and fair among the tenants of a rank.
#include <map>
#include <string_view>

#include "core/control_state.h"
#include "core/random.h"

namespace peppergate {

/// The load of one service, from the newest snapshots of its engines.
struct ServiceLoad {
  double running = 0;  // streams on the engines of the service
  double slots = 0;    // streams that they can run at once
  double ownRunning = 0;
  double fronts = 1;
};

/// Whether a stream is admitted, and if not, which limit it met.
enum class AdmissionVerdict : std::uint8_t { kAllowed, kOverload, kTenantShare, kFrontFull };

/// Decides on admission and counts the running streams of each tenant: an admitted stream enters,
/// and leaves at its end.
class AdmissionController {
 public:
  explicit AdmissionController(const Options& options) : options_(options) {}
  /// Whether one more stream of the tenant is admitted now.
  AdmissionVerdict allow(const TenantId& id, const Tenant& tenant, const ServiceLoad& usage) const;
  void enter(const TenantId& id, std::int64_t rank);
  void leave(const TenantId& id);
  /// The delay after which a declined caller should retry, spread at random.
  static Duration retryAfter(Random& random, double load);
  double running() const { return running_; }
  void reload(const Options& options) { options_ = options; }

 private:
  struct TenantLoad {
    std::int64_t rank = 0;
    double running = 0;
  };
  Options options_;
  std::map<TenantId, TenantLoad> tenants_;
  double running_ = 0;
};

/// The name of a verdict in answers to callers.
/// Example: `verdictName(AdmissionVerdict::kOverload) == "overload"`.
std::string_view verdictName(AdmissionVerdict verdict);

}  // namespace peppergate
