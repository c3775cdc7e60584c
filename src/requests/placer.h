#pragma once
// Interfaces that request handling needs: engine placement, traffic records of engines, and the
// index of cached prefix blocks.
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>

#include "core/outbox.h"
#include "core/types.h"

namespace peppergate {

struct PlacementRequest;                   // prompts/placement.h
struct PlacementDecision;                  // prompts/placement.h
struct PlacementRejection;                 // prompts/placement.h
struct Weights;                            // core/control_state.h
enum class AttemptOutcome : std::uint8_t;  // engines/engine_registry.h

/// Chooses the engine of each attempt.
class Placer {
 public:
  virtual ~Placer() = default;
  /// Returns the engine for one attempt, or why there is none.
  virtual std::variant<PlacementDecision, PlacementRejection> place(const PlacementRequest& ask,
                                                                    const FleetConfig& config,
                                                                    const Weights& weights,
                                                                    MonotonicTime now,
                                                                    Outbox& outbox) = 0;
  /// Called when the first event of an attempt arrives, with the time since the attempt was sent.
  virtual void recordFirstEvent(RequestId request, Duration elapsed, MonotonicTime now,
                                Outbox& outbox) = 0;
  /// Called when an attempt ends without a first event.
  virtual void endedWithoutEvent(RequestId request) = 0;
};

/// Records load, latency and failures of engines as seen in this router's traffic.
class EngineTrafficRecorder {
 public:
  virtual ~EngineTrafficRecorder() = default;
  /// Called before an attempt is sent, with the number of tokens to prefill.
  virtual void recordAttemptSent(const EngineId& engine, std::int64_t prefillTokens) = 0;
  /// Called when the first event of an attempt (or its head, without a stream) arrives.
  virtual void recordFirstEvent(const EngineId& engine, std::int64_t prefillTokens,
                                Duration elapsed) = 0;
  /// Called when an attempt ends. `hadFirst`: its first event had arrived.
  virtual void recordAttemptEnded(const EngineId& engine, AttemptOutcome outcome,
                                  std::int64_t prefillTokens, bool hadFirst, MonotonicTime now) = 0;
  /// Called when an engine reports its load, or the version of a model's weights.
  virtual void recordLoad(const EngineId& engine, const EngineLoad& load, MonotonicTime now) = 0;
  virtual void recordVersion(const EngineId& engine, const ModelName& model,
                             WeightsVersion version) = 0;
};

/// Records the prefix blocks that an engine should have cached after it has read a prompt.
class PrefixBlockRecorder {
 public:
  virtual ~PrefixBlockRecorder() = default;
  /// Called once the first event of a request has arrived.
  virtual void recordExpected(const EngineId& engine, const std::string& salt,
                              std::span<const PromptBlock> blocks) = 0;
};

}  // namespace peppergate
