#pragma once
// Records when each target version of a model's weights was set, which limits how long engines may
// go on serving older versions.
#include <map>
#include <vector>

#include "core/control_state.h"
#include "core/types.h"

namespace peppergate {

/// The target versions of each model with the times at which they were set. An engine's version is
/// outdated from the time of the first target above it, whatever targets follow. Targets older than
/// the retention period are dropped, except for the newest of them.
class WeightTargetHistory {
 public:
  explicit WeightTargetHistory(Duration retention) : retention_(retention) {}
  /// Records the current target versions. `since` is a lower bound for the time at which new
  /// targets among them were set; `kNever` if that is unknown.
  void record(const std::map<ModelName, WeightsVersion>& targets, MonotonicTime since,
              MonotonicTime now);
  /// When a target newer than this version was first set; `kForever` if no target is newer.
  MonotonicTime outdatedSince(const ModelName& model, WeightsVersion version) const;
  /// Shifts the times of all targets by a pause in which no weights could be loaded.
  void postpone(Duration pause);
  /// Moves targets that were set before this moment to it.
  void restartBefore(MonotonicTime moment);
  void setRetention(Duration retention) { retention_ = retention; }
  /// Number of targets retained for a model.
  std::size_t retainedCount(const ModelName& model) const;

 private:
  struct Target {
    WeightsVersion version;
    MonotonicTime setAt;
  };
  void dropExpired(std::vector<Target>& history, MonotonicTime now) const;

  Duration retention_;
  std::map<ModelName, std::vector<Target>> targets_;  // ascending by version; times never decrease
};

}  // namespace peppergate
