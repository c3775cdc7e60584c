#pragma once
// The working data of Placement for one request: its prompt under each weights version, and the
// candidate engines. Private to placement.cc and survey.cc.
#include <vector>

#include "core/engine_list.h"
#include "prompts/cost.h"
#include "prompts/fetch_setup.h"
#include "prompts/placement.h"
#include "prompts/salt.h"

namespace peppergate {

/// The cached prefixes of a prompt under one weights version.
struct Placement::Prompt {
  WeightsVersion version;
  std::string salt;
  std::vector<Holding> holdings;
  std::int64_t reach = 0;         // longest prefix cached by a usable source
  std::vector<EngineId> sources;  // the sources that cache that prefix
};

/// A candidate engine.
struct Placement::Choice {
  const EngineState* engine = nullptr;
  std::size_t place = 0;   // index in the registry's order
  std::size_t prompt = 0;  // index into the survey's prompts
  std::int64_t kept = 0;
  bool near = true;  // eligible as the home engine
  CandidateNumbers numbers;
  CandidateCost cost;
};

struct Placement::Survey {
  const PlacementAsk& ask;
  const FleetConfig& config;
  MonotonicTime now;
  const EngineShape* shape = nullptr;  // null: its engines cache no blocks
  const std::vector<EngineState*>& engines;
  const Service& service;
  WeightsVersion named{1};
  Wall wall{};
  std::int64_t tokens = 0, shared = 0;  // tokens of the prompt, and of its shared blocks
  std::vector<Prompt> prompts{};        // one per weights version that engines run
  std::vector<Choice> choices{};
  std::size_t usable = 0;   // number of usable engines, including full ones
  double forecastMs = 500;  // until one of the full engines has a free slot
};

/// The number of requests that the engine runs at once.
double slotsOf(const EngineState& engine);

}  // namespace peppergate
