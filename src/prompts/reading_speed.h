#pragma once
// Estimates the prefill speed of engines from the time to the first event, as engines don't report
// it.
#include <map>
#include <set>

#include "config/fleet_config.h"
#include "core/types.h"

namespace peppergate {

/// Moving averages of the prefill speed, for each engine and for each service.
class ReadingSpeed {
 public:
  static constexpr double kStart = 100;  // tokens per millisecond
  /// Tokens per millisecond of the engine, or of its service if the engine has no sample yet.
  double of(const EngineId& engine, const ServiceName& service) const;
  /// Adds a sample: the prefill of these tokens, including those queued before them, took this
  /// long.
  void seen(const EngineId& engine, const ServiceName& service, double tokens, Duration took);
  /// Drops the engines that aren't in the set.
  void keepOnly(const std::set<EngineId>& engines);

 private:
  std::map<EngineId, double> engines_;
  std::map<ServiceName, double> services_;
};

}  // namespace peppergate
