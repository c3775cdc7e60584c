#include "engines/weight_namings.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::size_t kMostNamings = 64;

}  // namespace

void WeightNamings::note(const std::map<ModelName, WeightsVersion>& named, MonotonicTime since,
                         MonotonicTime now) {
  for (const auto& [model, version] : named) {
    auto& namings = namings_[model];
    if (!namings.empty() && namings.back().version >= version) continue;
    MonotonicTime last = namings.empty() ? kNever : namings.back().since;
    namings.push_back({version, std::max(last, since)});
    forget(namings, now);
  }
}

void WeightNamings::forget(std::vector<Naming>& namings, MonotonicTime now) const {
  // Of the expired targets only the newest is needed: whatever one of them makes outdated, it does.
  while (namings.size() > 1 && now - namings[1].since >= keptFor_) namings.erase(namings.begin());
  if (namings.size() <= kMostNamings) return;
  // Merges the two oldest and keeps the earlier time, so that no engine's grace time grows.
  namings[1].since = namings[0].since;
  namings.erase(namings.begin());
}

MonotonicTime WeightNamings::outdatedSince(const ModelName& model, WeightsVersion version) const {
  auto found = namings_.find(model);
  if (found == namings_.end()) return kForever;
  const auto& namings = found->second;
  auto newer = std::ranges::upper_bound(namings, version, {}, &Naming::version);
  return newer == namings.end() ? kForever : newer->since;
}

void WeightNamings::postpone(Duration pause) {
  for (auto& [model, namings] : namings_)
    for (auto& naming : namings)
      if (naming.since != kNever) naming.since = naming.since + pause;
}

void WeightNamings::restart(MonotonicTime moment) {
  for (auto& [model, namings] : namings_)
    for (auto& naming : namings) naming.since = std::max(naming.since, moment);
}

std::size_t WeightNamings::kept(const ModelName& model) const {
  auto found = namings_.find(model);
  return found == namings_.end() ? 0 : found->second.size();
}

}  // namespace peppergate
