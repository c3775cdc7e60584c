#pragma once
// How fast engines read prompts, as times to first events show it: nobody tells.
#include <map>
#include <set>

#include "config/fleet_config.h"
#include "core/types.h"

namespace peppergate {

/// Example: `speed.seen(engine, service, 4000, seconds(0.05)); speed.of(engine, service)`.
class ReadingSpeed {
 public:
  static constexpr double kStart = 100;  // tokens in a millisecond
  /// Tokens in a millisecond; of an engine not seen so far, its service's. Example: see the class.
  double of(const EngineId& engine, const ServiceName& service) const;
  /// So many tokens, with those ahead, were read in the time to a first event.
  void seen(const EngineId& engine, const ServiceName& service, double tokens, Duration took);
  /// Forgets engines that are gone. Example: on a newer list.
  void keepOnly(const std::set<EngineId>& engines);

 private:
  std::map<EngineId, double> engines_;
  std::map<ServiceName, double> services_;
};

}  // namespace peppergate
