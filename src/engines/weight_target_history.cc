#include "engines/weight_target_history.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::size_t kMaxTargetsPerModel = 64;

}  // namespace

void WeightTargetHistory::record(const std::map<ModelName, WeightsVersion>& targets,
                                 MonotonicTime since, MonotonicTime now) {
  for (const auto& [model, version] : targets) {
    auto& history = targets_[model];
    if (!history.empty() && history.back().version >= version) continue;
    MonotonicTime last = history.empty() ? kNever : history.back().setAt;
    history.push_back({version, std::max(last, since)});
    dropExpired(history, now);
  }
}

void WeightTargetHistory::dropExpired(std::vector<Target>& history, MonotonicTime now) const {
  // Of the expired targets only the newest is needed: whatever one of them makes outdated, it does.
  while (history.size() > 1 && now - history[1].setAt >= retention_) history.erase(history.begin());
  if (history.size() <= kMaxTargetsPerModel) return;
  // Merges the two oldest and keeps the earlier time, so that no engine's grace time grows.
  history[1].setAt = history[0].setAt;
  history.erase(history.begin());
}

MonotonicTime WeightTargetHistory::outdatedSince(const ModelName& model,
                                                 WeightsVersion version) const {
  auto found = targets_.find(model);
  if (found == targets_.end()) return kForever;
  const auto& history = found->second;
  auto newer = std::ranges::upper_bound(history, version, {}, &Target::version);
  return newer == history.end() ? kForever : newer->setAt;
}

void WeightTargetHistory::postpone(Duration pause) {
  for (auto& [model, history] : targets_)
    for (auto& target : history)
      if (target.setAt != kNever) target.setAt = target.setAt + pause;
}

void WeightTargetHistory::restartBefore(MonotonicTime moment) {
  for (auto& [model, history] : targets_)
    for (auto& target : history) target.setAt = std::max(target.setAt, moment);
}

std::size_t WeightTargetHistory::retainedCount(const ModelName& model) const {
  auto found = targets_.find(model);
  return found == targets_.end() ? 0 : found->second.size();
}

}  // namespace peppergate
