#include "core/gate.h"

#include <algorithm>
#include <array>

namespace peppergate {
namespace {

// The load up to which streams of each rank are admitted; the best rank is shed last.
constexpr std::array<double, 4> kFullFor{1.0, 0.92, 0.84, 0.76};
// From this load on, a tenant may not exceed its fair share of the front's capacity.
constexpr double kCrowded = 0.6;

}  // namespace

GateVerdict Gate::allow(const TenantId& id, const Tenant& tenant, const GateUsage& usage) const {
  if (running_ >= static_cast<double>(options_.streamsLimit)) return GateVerdict::kFrontFull;
  if (usage.places <= 0) return GateVerdict::kOverload;
  auto held = tenants_.find(id);
  double own = held == tenants_.end() ? 0 : held->second.running;
  if (tenant.share > 0 && own >= static_cast<double>(tenant.share))
    return GateVerdict::kTenantShare;
  auto rank = static_cast<std::size_t>(std::clamp<std::int64_t>(tenant.rank, 0, 3));
  double full = usage.running / usage.places;
  // Snapshots lag behind, so the front's own streams count at once against its equal share.
  double ownPlaces = usage.places / std::max(1.0, usage.fronts);
  full = std::max(full, usage.ownRunning / ownPlaces / 1.5);
  if (full >= kFullFor[rank]) return GateVerdict::kOverload;
  if (full < kCrowded) return GateVerdict::kAllowed;
  // Better ranks are served first; the active tenants of this rank share the rest equally.
  double active = 1, better = 0;
  for (const auto& [other, entry] : tenants_) {
    if (entry.rank < tenant.rank) better += entry.running;
    else if (other != id && entry.running > 0 && entry.rank == tenant.rank) ++active;
  }
  double share = std::max(1.0, (ownPlaces * kFullFor[rank] - better) / active);
  return own >= share ? GateVerdict::kTenantShare : GateVerdict::kAllowed;
}

void Gate::enter(const TenantId& id, std::int64_t rank) {
  tenants_[id].rank = rank;
  ++tenants_[id].running;
  ++running_;
}

void Gate::leave(const TenantId& id) {
  auto held = tenants_.find(id);
  if (held == tenants_.end()) return;
  --running_;
  if (--held->second.running <= 0) tenants_.erase(held);
}

Duration Gate::retryAfter(Random& random, double pressure) {
  // Whole seconds, spread wider under higher load, so that callers do not retry all at once.
  double width = 2 + 4 * std::clamp(pressure, 0.0, 1.0);
  return seconds(1 + static_cast<double>(random.below(static_cast<std::uint64_t>(width))));
}

std::string_view verdictName(GateVerdict verdict) {
  static constexpr std::array<std::string_view, 4> kNames{"allowed", "overload", "tenant-share",
                                                          "front-full"};
  return kNames[static_cast<std::size_t>(verdict)];
}

}  // namespace peppergate
