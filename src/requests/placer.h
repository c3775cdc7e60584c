#pragma once
// What requests need of placing, of the engines' book and of the index of kept parts.
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>

#include "core/outbox.h"
#include "core/types.h"

namespace peppergate {

struct PlacementAsk;                   // prompts/placement.h
struct Placed;                         // prompts/placement.h
struct PlaceRefusal;                   // prompts/placement.h
struct Weights;                        // core/control_state.h
enum class AttemptEnd : std::uint8_t;  // engines/engine_book.h

/// Chooses engines. Example: `placer.place(ask, config, weights, now, outbox)`.
class Placer {
 public:
  virtual ~Placer() = default;
  /// The engine for one attempt, or why there is none. Example: see the class.
  virtual std::variant<Placed, PlaceRefusal> place(const PlacementAsk& ask,
                                                   const FleetConfig& config,
                                                   const Weights& weights, MonotonicTime now,
                                                   Outbox& outbox) = 0;
  /// The first event came, after so long. Example: on the first body bytes of a stream.
  virtual void firstEvent(RequestId request, Duration took, MonotonicTime now, Outbox& outbox) = 0;
  /// The attempt ended without one. Example: on kBroken.
  virtual void dropped(RequestId request) = 0;
};

/// Keeps what traffic shows of engines. Example: `ledger.sent(engine, tokens)`.
class EngineLedger {
 public:
  virtual ~EngineLedger() = default;
  /// An attempt goes out with so many tokens to be read. Example: before OpenAttempt.
  virtual void sent(const EngineId& engine, std::int64_t prefillTokens) = 0;
  /// Its head or first event came. Example: `ledger.firstEvent(engine, tokens, took)`.
  virtual void firstEvent(const EngineId& engine, std::int64_t prefillTokens, Duration took) = 0;
  /// It is over. Example: `ledger.ended(engine, AttemptEnd::kGood, tokens, true, now)`.
  virtual void ended(const EngineId& engine, AttemptEnd how, std::int64_t prefillTokens,
                     bool hadFirst, MonotonicTime now) = 0;
  /// The engine told its load, or a version of its weights. Example: with a head.
  virtual void told(const EngineId& engine, const EngineLoad& load, MonotonicTime now) = 0;
  virtual void toldVersion(const EngineId& engine, const ModelName& model,
                           WeightsVersion version) = 0;
};

/// Notes what an engine keeps once it has read a prompt. Example: `parts.expect(id, salt, list)`.
class KeptParts {
 public:
  virtual ~KeptParts() = default;
  /// Called once a request's first event came. Example: see the class.
  virtual void expect(const EngineId& engine, const std::string& salt,
                      std::span<const PartSize> parts) = 0;
};

}  // namespace peppergate
