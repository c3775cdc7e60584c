#pragma once
// The working data of Placement for one request: its prompt under each weights version, and the
// candidate engines. Private to placement.cc and candidate_search.cc.
#include <vector>

#include "core/engine_list.h"
#include "prompts/cache_salt.h"
#include "prompts/cost.h"
#include "prompts/fetch_setup.h"
#include "prompts/placement.h"

namespace peppergate {

/// Stands for the version of an engine of which none is known. Models' versions begin at 1.
constexpr WeightsVersion kUnknownWeights{0};

/// The cached prefixes of a prompt under one weights version.
struct Placement::VersionedPrompt {
  WeightsVersion version;  // `kUnknownWeights` at engines of which no version is known
  std::string salt;
  std::vector<CachedPrefix> cachedPrefixes;
  std::int64_t longestPrefix = 0;  // longest prefix cached by a usable source
  std::vector<EngineId> sources;   // the sources that cache that prefix
};

/// A candidate engine.
struct Placement::Candidate {
  const EngineState* engine = nullptr;
  std::size_t engineIndex = 0;  // index in the registry's order
  std::size_t promptIndex = 0;  // index into the survey's prompts
  std::int64_t cachedTokens = 0;
  bool nearHome = true;  // eligible as the home engine
  CandidateInputs inputs;
  CandidateCost cost;
};

struct Placement::CandidateSearch {
  const PlacementRequest& placementRequest;
  const FleetConfig& config;
  MonotonicTime now;
  const EngineConfig* shape = nullptr;  // null: the configuration has no engines for its model
  const std::vector<EngineState*>& engines;
  const ServiceHashes& service;
  bool mayBeCached = false;  // engines may cache the prompt, so that each attempt needs a salt
  WeightsVersion targetVersion{1};
  CacheScope cacheScope{};
  std::int64_t promptTokens = 0,
               sharedTokens = 0;           // tokens of the prompt, and of its shared blocks
  std::vector<VersionedPrompt> prompts{};  // one per weights version that engines run
  std::vector<Candidate> candidates{};
  std::size_t usableCount = 0;  // number of usable engines, including full ones
  double retryMs = 500;         // until one of the full engines has a free slot
};

/// The number of requests that the engine runs at once.
double slotCount(const EngineState& engine);

}  // namespace peppergate
