#include "prompts/prefill_speed_estimator.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr double kMinSampleTokens =
    1000;                           // smaller samples are dominated by scheduling and network time
constexpr double kOverheadMs = 10;  // network round trip and the first decoding step
constexpr double kEngineRetention = 0.85, kServiceRetention = 0.95;
constexpr double kMinTokensPerMs = 1, kMaxTokensPerMs = 100000;

double blend(double previous, double sample, double retention) {
  // Slow samples have other causes than slow prefill: batching, fetches, stalled clients of a link.
  if (sample < previous) retention = 1 - (1 - retention) / 2;
  return retention * previous + (1 - retention) * sample;
}

}  // namespace

double PrefillSpeedEstimator::tokensPerMs(const EngineId& engine,
                                          const ServiceName& service) const {
  if (auto found = engines_.find(engine); found != engines_.end()) return found->second;
  if (auto found = services_.find(service); found != services_.end()) return found->second;
  return kInitialTokensPerMs;
}

void PrefillSpeedEstimator::addSample(const EngineId& engine, const ServiceName& service,
                                      double tokens, Duration elapsed) {
  if (tokens < kMinSampleTokens) return;
  double milliseconds = std::max(1.0, inSeconds(elapsed) * 1000 - kOverheadMs);
  double sample = std::clamp(tokens / milliseconds, kMinTokensPerMs, kMaxTokensPerMs);
  double previous = tokensPerMs(engine, service);
  engines_[engine] =
      blend(previous, std::clamp(sample, previous / 4, previous * 4), kEngineRetention);
  auto [mean, added] = services_.try_emplace(service, kInitialTokensPerMs);
  mean->second = blend(mean->second, std::clamp(sample, mean->second / 4, mean->second * 4),
                       kServiceRetention);
}

void PrefillSpeedEstimator::keepOnly(const std::set<EngineId>& engines) {
  std::erase_if(engines_, [&](const auto& entry) { return !engines.contains(entry.first); });
}

}  // namespace peppergate
