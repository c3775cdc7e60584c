#pragma once
// Estimates the prefill speed of engines, which they don't report, from times to the first event.
#include <map>
#include <set>

#include "config/fleet_config.h"
#include "core/types.h"

namespace peppergate {

/// Moving averages of the prefill speed, for each engine and for each service.
class PrefillSpeedEstimator {
 public:
  static constexpr double kInitialTokensPerMs = 100;  // tokens per millisecond
  /// Tokens per millisecond of the engine, or of its service if the engine has no sample yet.
  double tokensPerMs(const EngineId& engine, const ServiceName& service) const;
  /// Adds a sample: how long the prefill of these tokens, including those ahead of them, took.
  void addSample(const EngineId& engine, const ServiceName& service, double tokens,
                 Duration elapsed);
  /// Drops the engines that aren't in the set.
  void keepOnly(const std::set<EngineId>& engines);

 private:
  std::map<EngineId, double> engines_;
  std::map<ServiceName, double> services_;
};

}  // namespace peppergate
