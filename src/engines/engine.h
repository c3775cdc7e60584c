#pragma once
// An engine as the platform lists it and as its responses describe it, and the calls to engines.
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/fleet_config.h"
#include "core/types.h"

namespace peppergate {

/// A discovered engine. Its id changes with each restart.
struct Engine {
  EngineId id;
  ServiceName service;
  Address address;
  Zone zone;
  std::int64_t slots = 1;
  bool draining = false;
  Duration warmupLeft;  // remaining time of its warm-up
  std::map<ModelName, WeightsVersion> models;
  bool operator==(const Engine&) const = default;
};

/// The load that an engine reported in a response.
struct EngineLoad {
  std::int64_t running = 0, waiting = 0, slots = 0;
};

/// An engine's answer to a status report request.
struct EngineReport {
  std::map<ModelName, WeightsVersion> models;
  bool busy = false;            // a load order is in progress
  std::uint64_t callCount = 0;  // orders accepted since its start
  std::int64_t waiting = 0, running = 0, kvInUse = 0, kvCapacity = 0;
};

// ---- commands: calls to engines and to the platform, encoded by the platform's adapter ----
struct ListEngines {  // requests one page of the platform's engine list
  TicketId ticket;
  std::string page;  // empty: the first page
  Duration timeout = seconds(1);
};
struct RequestEngineReport {
  TicketId ticket;
  Address address;
  Duration timeout = seconds(1);
};
/// How running requests are treated when new weights are loaded.
enum class LoadMode : std::uint8_t { kDrainRequests = 0, kAbortRequests, kKeepRequests };
struct OrderWeightsLoad {
  TicketId ticket;
  Address address;
  EngineId engine;
  ModelName model;
  WeightsVersion version;
  LoadMode mode = LoadMode::kDrainRequests;
  std::string holder;
  std::uint64_t fencingToken = 0;
  std::optional<std::uint64_t> expectedCallCount;
  Duration timeout = seconds(1);
  MonotonicTime writeBefore = kForever;  // checked again when the order is written
};
struct PollPrefixBlocks {  // long poll for changes of an engine's or a store's cached prefix blocks
  TicketId ticket;
  Address address;
  std::uint64_t since = 0;
  Duration wait = milliseconds(1000);
  Duration timeout = seconds(2);
};
struct ListPrefixBlocks {  // requests all cached blocks; expensive, stalls the engine
  TicketId ticket;
  Address address;
  Duration timeout = seconds(2);
};

// ---- events: answers to the commands ----
struct EnginesListed {
  TicketId ticket;
  int status = 0;  // 200: success; 0: no answer; 429: rate limit exceeded
  std::vector<Engine> engines;
  std::string nextPage;  // empty: this was the last page
};
struct EngineReportAnswered {
  TicketId ticket;
  int status = 0;
  EngineReport report;
};
enum class LoadOrderOutcome : std::uint8_t {
  kUnknown = 0,  // no answer: the order may have been accepted
  kAccepted,
  kAlreadyLoaded,
  kBusy,
  kFenced,
  kInvalid,
  kWrongEngine,
  kNotWritten,
};
struct WeightsLoadAnswered {
  TicketId ticket;
  LoadOrderOutcome outcome = LoadOrderOutcome::kUnknown;
};
struct PrefixBlockChange {
  std::uint64_t sequence = 0;
  bool cached = true;  // otherwise it was evicted, fully or partly
  std::string salt;
  std::string block;
  std::int64_t tokens = 0;  // cached now
  ModelName model;
};
struct PrefixBlocksPolled {
  TicketId ticket;
  int status = 0;
  std::uint64_t epoch = 0, next = 0;
  bool lost = false;  // some changes were lost
  std::vector<PrefixBlockChange> changes;
};
struct PrefixBlocksListed {
  TicketId ticket;
  int status = 0;
  std::uint64_t epoch = 0, next = 0;
  std::vector<PrefixBlockChange> blocks;
};

}  // namespace peppergate
