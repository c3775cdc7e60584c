#include "core/admission_controller.h"

#include <algorithm>
#include <array>

namespace peppergate {
namespace {

// The load up to which streams of each rank are admitted; the best rank is shed last.
constexpr std::array<double, 4> kLoadLimits{1.0, 0.92, 0.84, 0.76};
// From this load on, a tenant may not exceed its fair share of the front's capacity.
constexpr double kFairShareLoad = 0.6;

}  // namespace

AdmissionVerdict AdmissionController::allow(const TenantId& id, const Tenant& tenant,
                                            const ServiceLoad& usage) const {
  if (running_ >= static_cast<double>(options_.streamsLimit)) return AdmissionVerdict::kFrontFull;
  if (usage.slots <= 0) return AdmissionVerdict::kOverload;
  auto tenantLoad = tenants_.find(id);
  double tenantRunning = tenantLoad == tenants_.end() ? 0 : tenantLoad->second.running;
  if (tenant.maxStreamsPerRouter > 0 &&
      tenantRunning >= static_cast<double>(tenant.maxStreamsPerRouter))
    return AdmissionVerdict::kTenantShare;
  auto rank = static_cast<std::size_t>(std::clamp<std::int64_t>(tenant.rank, 0, 3));
  double load = usage.running / usage.slots;
  // Snapshots lag behind, so the front's own streams count at once against its equal share.
  double frontSlots = usage.slots / std::max(1.0, usage.fronts);
  load = std::max(load, usage.ownRunning / frontSlots / 1.5);
  if (load >= kLoadLimits[rank]) return AdmissionVerdict::kOverload;
  if (load < kFairShareLoad) return AdmissionVerdict::kAllowed;
  // Better ranks are served first; the active tenants of this rank share the rest equally.
  double activeTenants = 1, betterRanksRunning = 0;
  for (const auto& [other, entry] : tenants_) {
    if (entry.rank < tenant.rank) betterRanksRunning += entry.running;
    else if (other != id && entry.running > 0 && entry.rank == tenant.rank) ++activeTenants;
  }
  double share =
      std::max(1.0, (frontSlots * kLoadLimits[rank] - betterRanksRunning) / activeTenants);
  return tenantRunning >= share ? AdmissionVerdict::kTenantShare : AdmissionVerdict::kAllowed;
}

void AdmissionController::enter(const TenantId& id, std::int64_t rank) {
  tenants_[id].rank = rank;
  ++tenants_[id].running;
  ++running_;
}

void AdmissionController::leave(const TenantId& id) {
  auto tenantLoad = tenants_.find(id);
  if (tenantLoad == tenants_.end()) return;
  --running_;
  if (--tenantLoad->second.running <= 0) tenants_.erase(tenantLoad);
}

Duration AdmissionController::retryAfter(Random& random, double load) {
  // Whole seconds, spread wider under higher load, so that callers do not retry all at once.
  double width = 2 + 4 * std::clamp(load, 0.0, 1.0);
  return seconds(1 + static_cast<double>(random.below(static_cast<std::uint64_t>(width))));
}

std::string_view verdictName(AdmissionVerdict verdict) {
  static constexpr std::array<std::string_view, 4> kNames{"allowed", "overload", "tenant-share",
                                                          "front-full"};
  return kNames[static_cast<std::size_t>(verdict)];
}

}  // namespace peppergate
