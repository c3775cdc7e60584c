#include "requests/request_rules.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>

namespace peppergate {
namespace {

constexpr std::array<RejectionResponse, 15> kRejections{{
    {503, "not_installed", "requests.refused.not_installed"},
    {503, "stale", "requests.refused.stale"},
    {404, "no_route", "requests.refused.no_route"},
    {401, "unknown_key", "requests.refused.unknown_key"},
    {503, "too_late", "requests.refused.too_late"},
    {503, "no_attempts_left", "requests.refused.no_attempts_left"},
    {503, "over_budget", "requests.refused.over_budget"},
    {503, "no_engine", "requests.refused.no_engine"},
    {503, "full", "requests.refused.full"},
    {503, "declined", "requests.refused.declined"},
    {502, "broken", "requests.refused.broken"},
    {502, "unclear", "requests.refused.unclear"},
    {504, "deadline", "requests.refused.deadline"},
    {502, "not_resumable", "requests.refused.not_resumable"},
    {503, "leaving", "requests.refused.leaving"},
}};

/// Statuses that tell a client that the request has not run and never will.
constexpr bool impliesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::map<int, int> indexesOf(const std::set<int>& values) {
  std::map<int, int> indexes;
  for (int value : values) indexes.emplace(value, static_cast<int>(indexes.size()));
  return indexes;
}

/// The index of a value. A value that isn't listed gets the index of the next larger one, or the
/// last index.
int indexOf(const std::map<int, int>& indexes, int value) {
  auto found = indexes.lower_bound(value);
  return found == indexes.end() ? static_cast<int>(indexes.size()) - 1 : found->second;
}

constexpr int kRankCount = 10;

}  // namespace

const RejectionResponse& rejectionFor(RequestFailure reason) {
  return kRejections[static_cast<std::size_t>(reason)];
}

HeadVerdict classifyHead(const AttemptEvent& event, bool repeatable) {
  int status = event.head->status;
  bool good = status >= 200 && status < 300;
  if (good) {
    // A success that also states "not run" contradicts itself.
    if (event.success && !event.notRun) return HeadVerdict::kSuccess;
    return repeatable ? HeadVerdict::kFailed : HeadVerdict::kUnusable;
  }
  if (event.notRun || status == 421) return HeadVerdict::kNotRun;
  if (status < 200) return HeadVerdict::kUnusable;
  if (!repeatable) return impliesNotRun(status) ? HeadVerdict::kUnusable : HeadVerdict::kFinal;
  return status >= 500 || impliesNotRun(status) ? HeadVerdict::kFailed : HeadVerdict::kFinal;
}

const ServiceShare* chooseService(const Route& route, std::string_view clientId) {
  double sum = 0;
  for (const auto& share : route.services) sum += std::max(0.0, share.weight);
  if (route.services.empty()) return nullptr;
  std::uint64_t hash = XXH64(clientId.data(), clientId.size(), 0x5e71ce);
  double point = static_cast<double>(hash >> 11) * 0x1.0p-53 * sum;
  const ServiceShare* chosen = nullptr;
  for (const auto& share : route.services) {
    if (share.weight <= 0) continue;
    chosen = &share;
    if (point < share.weight) break;
    point -= share.weight;
  }
  return chosen;
}

UrgencyTable::UrgencyTable(const FleetConfig& config) {
  std::set<int> tenants, routes;
  for (const auto& [name, tenant] : config.tenants) tenants.insert(tenant.urgency);
  bool anyOpen = false;
  for (const auto& route : config.routes) {
    routes.insert(route.urgency);
    anyOpen = anyOpen || route.allowsAnonymous;
  }
  if (anyOpen || tenants.empty()) tenants.insert(kNoTenantUrgency);
  tenantIndexes_ = indexesOf(tenants);
  routeIndexes_ = indexesOf(routes);
}

int UrgencyTable::rankOf(int tenant, int route) const {
  if (tenantIndexes_.empty() || routeIndexes_.empty()) return kNoTenantUrgency;
  int routes = static_cast<int>(routeIndexes_.size());
  int all = static_cast<int>(tenantIndexes_.size()) * routes;
  int rank = indexOf(tenantIndexes_, tenant) * routes + indexOf(routeIndexes_, route);
  return all <= kRankCount ? rank : rank * kRankCount / all;
}

Duration firstEventTimeout(const Route& route) {
  return std::max(route.responseTarget * 4, seconds(1.5));
}

Duration eventGapTimeout(const Route& route) {
  return std::max(route.eventGapTarget * 8, seconds(2)) * 0.6;
}

Duration minTimeLeft(const Route& route) {
  return std::max(route.responseTarget * 0.1, milliseconds(5));
}

Duration chooseRetryAfter(std::optional<Duration> forecast, Duration timeLeft, Random& random) {
  Duration wait = seconds(0.2 + 0.4 * random.fraction());
  if (forecast && forecast->microseconds > 0) wait = *forecast;
  return std::max(milliseconds(1), std::min(wait, timeLeft * (1.0 / 3)));
}

}  // namespace peppergate
