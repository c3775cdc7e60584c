#include "prompts/reading_speed.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr double kFewTokens = 1000;  // smaller samples are dominated by scheduling and network time
constexpr double kOverheadMs = 10;   // network round trip and the first decoding step
constexpr double kEngineKeep = 0.85, kServiceKeep = 0.95;
constexpr double kSlowest = 1, kFastest = 100000;

double blend(double old, double seen, double keep) {
  // Slow samples have other causes than slow prefill: batching, fetches, stalled clients of a link.
  if (seen < old) keep = 1 - (1 - keep) / 2;
  return keep * old + (1 - keep) * seen;
}

}  // namespace

double ReadingSpeed::of(const EngineId& engine, const ServiceName& service) const {
  if (auto found = engines_.find(engine); found != engines_.end()) return found->second;
  if (auto found = services_.find(service); found != services_.end()) return found->second;
  return kStart;
}

void ReadingSpeed::seen(const EngineId& engine, const ServiceName& service, double tokens,
                        Duration took) {
  if (tokens < kFewTokens) return;
  double milliseconds = std::max(1.0, inSeconds(took) * 1000 - kOverheadMs);
  double sample = std::clamp(tokens / milliseconds, kSlowest, kFastest);
  double before = of(engine, service);
  engines_[engine] = blend(before, std::clamp(sample, before / 4, before * 4), kEngineKeep);
  auto [mean, fresh] = services_.try_emplace(service, kStart);
  mean->second =
      blend(mean->second, std::clamp(sample, mean->second / 4, mean->second * 4), kServiceKeep);
}

void ReadingSpeed::keepOnly(const std::set<EngineId>& engines) {
  std::erase_if(engines_, [&](const auto& entry) { return !engines.contains(entry.first); });
}

}  // namespace peppergate
