#pragma once
// One engine as the platform lists it and as traffic shows it, and the calls that engines take.
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/fleet_config.h"
#include "core/types.h"

namespace peppergate {

/// One engine of the list; its id is new with each of its lives.
struct Engine {
  EngineId id;
  ServiceName service;
  Address address;
  Zone zone;
  std::int64_t slots = 1;
  bool draining = false;
  Duration warmupLeft;  // how much longer it is slow from its start
  std::map<ModelName, WeightsVersion> models;
  bool operator==(const Engine&) const = default;
};

/// What an engine told of itself in an answer: running, waiting, slots.
struct EngineLoad {
  std::int64_t running = 0, waiting = 0, slots = 0;
};

/// What an engine answers when asked for its report.
struct EngineReport {
  std::map<ModelName, WeightsVersion> models;
  bool busy = false;            // an order is under way
  std::uint64_t callCount = 0;  // orders taken in this life
  std::int64_t waiting = 0, running = 0, kvInUse = 0, kvCapacity = 0;
};

// ---- commands: calls that engines and the platform take; a dialect writes them ----
struct ListEngines {  // one page of the platform's list
  TicketId ticket;
  std::string page;  // empty: the first
  Duration timeout = seconds(1);
};
struct AskReport {
  TicketId ticket;
  Address address;
  Duration timeout = seconds(1);
};
/// How running requests fare when new weights are loaded.
enum class LoadMode : std::uint8_t { kWait = 0, kCut, kKeep };
struct OrderWeights {
  TicketId ticket;
  Address address;
  EngineId engine;
  ModelName model;
  WeightsVersion version;
  LoadMode mode = LoadMode::kWait;
  std::string holder;
  std::uint64_t fence = 0;
  std::optional<std::uint64_t> expectedCalls;
  Duration timeout = seconds(1);
  MonotonicTime writeBefore = kForever;  // checked again at the write itself
};
struct PollParts {  // the changes of what an engine or a store keeps
  TicketId ticket;
  Address address;
  std::uint64_t since = 0;
  Duration wait = milliseconds(1000);
  Duration timeout = seconds(2);
};
struct ListParts {  // all that it keeps; dear, it holds up the engine's work
  TicketId ticket;
  Address address;
  Duration timeout = seconds(2);
};

// ---- events: their answers ----
struct EnginesListed {
  TicketId ticket;
  int status = 0;  // 200: good; 0: no answer; 429: asked too often
  std::vector<Engine> engines;
  std::string nextPage;  // empty: that was the last
};
struct ReportAnswered {
  TicketId ticket;
  int status = 0;
  EngineReport report;
};
enum class OrderOutcome : std::uint8_t {
  kUnknown = 0,  // no answer: it may have been taken
  kTaken,
  kHolds,
  kBusy,
  kFenced,
  kInvalid,
  kOtherEngine,
  kNotWritten,
};
struct OrderAnswered {
  TicketId ticket;
  OrderOutcome outcome = OrderOutcome::kUnknown;
};
struct PartChange {
  std::uint64_t number = 0;
  bool kept = true;  // else it was dropped, or what is left of it is told
  std::string salt;
  std::string part;
  std::int64_t tokens = 0;  // kept now
  ModelName model;
};
struct PartsPolled {
  TicketId ticket;
  int status = 0;
  std::uint64_t epoch = 0, next = 0;
  bool lost = false;  // there is a gap
  std::vector<PartChange> changes;
};
struct PartsListed {
  TicketId ticket;
  int status = 0;
  std::uint64_t epoch = 0, next = 0;
  std::vector<PartChange> held;
};

}  // namespace peppergate
