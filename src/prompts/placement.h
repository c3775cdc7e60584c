#pragma once
// Chooses the engine of a request, and the source that its kept prompt parts are collected from.
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "core/fetch_desk.h"
#include "core/random.h"
#include "engines/engine_book.h"
#include "prompts/part_index.h"
#include "requests/events.h"

namespace peppergate {

/// What a request needs of an engine.
struct PlacementAsk {
  RequestId request;
  const Route* route = nullptr;
  ServiceName service;
  ModelName model;
  TenantId tenant;
  bool isolated = false;
  std::span<const PartSize> parts;
  std::int64_t tokensIn = 0, tokensOut = 0;
  Duration timeLeft;
  std::span<const EngineId> tried;  // not again
};

/// Where it goes. `salt` holds wall and weights, so that no engine finds a part across them.
struct Placed {
  EngineId engine;
  Address address;
  std::optional<WeightsVersion> version;
  std::string salt;
  std::optional<Address> collectFrom, depositAt;
  std::int64_t toRead = 0;  // tokens that the engine has to read anew
};

enum class PlaceFault : std::uint8_t { kNoEngine, kFull };

/// What a refused request is told: why, and when room is forecast.
struct PlaceRefusal {
  PlaceFault fault = PlaceFault::kNoEngine;
  Duration comeBack;
};

/// Weighs what is kept against queues, batches and moves. Example:
/// `auto placed = placement.place(ask, config, weights, now);`
class Placement {
 public:
  Placement(const Props& props, EngineBook& book, PartIndex& index, FetchDesk& fetches,
            Random& random);
  /// The engine for one attempt, or why there is none.
  std::variant<Placed, PlaceRefusal> place(const PlacementAsk& ask, const FleetConfig& config,
                                           const Weights& weights, MonotonicTime now,
                                           Outbox& outbox);
  /// The first event came, after so long; the move, if one was planned, is over.
  void firstEvent(RequestId request, Duration took, MonotonicTime now, Outbox& outbox);
  /// The attempt ended without one. Example: on kBroken.
  void dropped(RequestId request);
  /// Tokens that the engine will have to read for this placing. Example: for the book.
  static std::int64_t toRead(const PlacementAsk& ask, std::int64_t kept);
  void tick(const FleetConfig& config, MonotonicTime now, Outbox& outbox);

 private:
  Props props_;
  EngineBook& book_;
  PartIndex& index_;
  FetchDesk& fetches_;
  Random& random_;
};

}  // namespace peppergate
