#include "requests/request_rules.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>

namespace peppergate {
namespace {

constexpr std::array<HurdleRow, 15> kHurdles{{
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
constexpr bool promisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::map<int, int> places(const std::set<int>& values) {
  std::map<int, int> places;
  for (int value : values) places.emplace(value, static_cast<int>(places.size()));
  return places;
}

/// The index of a value. A value that isn't listed gets the index of the next larger one, or the
/// last index.
int placeOf(const std::map<int, int>& places, int value) {
  auto found = places.lower_bound(value);
  return found == places.end() ? static_cast<int>(places.size()) - 1 : found->second;
}

constexpr int kRanks = 10;

}  // namespace

const HurdleRow& hurdleRow(Hurdle hurdle) { return kHurdles[static_cast<std::size_t>(hurdle)]; }

HeadVerdict judgeHead(const AttemptTurned& turned, bool repeatable) {
  int status = turned.head->status;
  bool good = status >= 200 && status < 300;
  if (good) {
    // A success that also states "not run" contradicts itself.
    if (turned.success && !turned.notRun) return HeadVerdict::kSuccess;
    return repeatable ? HeadVerdict::kFailed : HeadVerdict::kNoAnswer;
  }
  if (turned.notRun || status == 421) return HeadVerdict::kNotRun;
  if (status < 200) return HeadVerdict::kNoAnswer;
  if (!repeatable) return promisesNotRun(status) ? HeadVerdict::kNoAnswer : HeadVerdict::kFinal;
  return status >= 500 || promisesNotRun(status) ? HeadVerdict::kFailed : HeadVerdict::kFinal;
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
    anyOpen = anyOpen || route.open;
  }
  if (anyOpen || tenants.empty()) tenants.insert(kNoTenant);
  tenants_ = places(tenants);
  routes_ = places(routes);
}

int UrgencyTable::of(int tenant, int route) const {
  if (tenants_.empty() || routes_.empty()) return kNoTenant;
  int routes = static_cast<int>(routes_.size());
  int all = static_cast<int>(tenants_.size()) * routes;
  int rank = placeOf(tenants_, tenant) * routes + placeOf(routes_, route);
  return all <= kRanks ? rank : rank * kRanks / all;
}

Duration firstSilence(const Route& route) { return std::max(route.target * 4, seconds(1.5)); }

Duration eventSilence(const Route& route) {
  return std::max(route.gapTarget * 8, seconds(2)) * 0.6;
}

Duration leastTime(const Route& route) { return std::max(route.target * 0.1, milliseconds(5)); }

Duration comeBackAfter(std::optional<Duration> forecast, Duration timeLeft, Random& random) {
  Duration wait = seconds(0.2 + 0.4 * random.fraction());
  if (forecast && forecast->microseconds > 0) wait = *forecast;
  return std::max(milliseconds(1), std::min(wait, timeLeft * (1.0 / 3)));
}

}  // namespace peppergate
