#pragma once
// What Placement gathers for one request: its prompt under each version of weights, and the
// engines that may run it. Private to placement.cc and survey.cc.
#include <vector>

#include "core/engine_list.h"
#include "prompts/cost.h"
#include "prompts/fetch_setup.h"
#include "prompts/placement.h"
#include "prompts/salt.h"

namespace peppergate {

/// A prompt under one version of weights.
struct Placement::Prompt {
  WeightsVersion version;
  std::string salt;
  std::vector<Holding> holdings;
  std::int64_t reach = 0;         // the most that a usable source keeps
  std::vector<EngineId> sources;  // those that keep so much
};

/// An engine that may run the request.
struct Placement::Choice {
  const EngineState* engine = nullptr;
  std::size_t place = 0;   // in the book's order
  std::size_t prompt = 0;  // in the survey's prompts
  std::int64_t kept = 0;
  bool near = true;  // may be the home
  CandidateNumbers numbers;
  CandidateCost cost;
};

struct Placement::Survey {
  const PlacementAsk& ask;
  const FleetConfig& config;
  MonotonicTime now;
  const EngineShape* shape = nullptr;  // nothing: its engines keep no parts
  const std::vector<EngineState*>& engines;
  const Service& service;
  WeightsVersion named{1};
  Wall wall{};
  std::int64_t tokens = 0, shared = 0;  // of the prompt
  std::vector<Prompt> prompts{};        // one for each version of weights that engines run
  std::vector<Choice> choices{};
  std::size_t usable = 0;   // engines, also full ones
  double forecastMs = 500;  // until one of the full ones has room
};

/// Places that it has. Example: `slotsOf(*engine)`.
double slotsOf(const EngineState& engine);

}  // namespace peppergate
