// The part of Placement that selects candidate engines and computes their costs.
#include "prompts/candidate_search.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::size_t kConsiderAllUpTo = 64;  // service size up to which all engines are candidates
constexpr std::size_t kMaxHolders = 8;        // otherwise, the number of engines that cache a block
constexpr std::size_t kHomeWindow = 8;        // and the number of engines near the home position
constexpr std::int64_t kMinHomeBlockTokens = 128;  // blocks with fewer tokens have no home
constexpr Duration kStartDelay = seconds(1);       // within which a sent request has started, and
constexpr double kQueueSafetyFactor = 2;           // a safety factor on the delay by its queue

constexpr double kUrgentReserve = 1.0 / 16;  // of the slots, denied to the least urgent requests
constexpr int kLeastUrgent = 9;

/// The share of an engine's slots that a request of this urgency may use. The last slots are
/// reserved for more urgent requests, so that these are never rejected more often.
double slotShareFor(int urgency) {
  return 1 - kUrgentReserve * std::clamp(urgency, 0, kLeastUrgent) / kLeastUrgent;
}

std::uint64_t hashOf(std::string_view text, std::uint64_t seed) {
  std::uint64_t hash = 1469598103934665603ULL ^ seed;
  for (char letter : text) hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
  return hash;
}
std::uint64_t mixBits(std::uint64_t value) { return Random(value).next(); }

}  // namespace

double slotCount(const EngineState& engine) {
  bool hasReport = engine.reportedLoad && engine.reportedLoad->slots > 0;
  return static_cast<double>(hasReport ? engine.reportedLoad->slots
                                       : std::max<std::int64_t>(1, engine.listed.slots));
}

const Placement::ServiceHashes& Placement::serviceHashes(const ServiceName& name) {
  ServiceHashes& service = serviceHashes_[name];
  const auto& engines = registry_.enginesOf(name);
  if (service.version == registry_.version() && service.hashes.size() == engines.size())
    return service;
  service.version = registry_.version();
  service.hashes.clear();
  service.byHash.clear();
  for (const EngineState* engine : engines) {
    service.byHash.push_back(static_cast<std::uint32_t>(service.hashes.size()));
    service.hashes.push_back(mixBits(hashOf(engine->listed.id.value, 0)));
  }
  std::ranges::sort(service.byHash, {}, [&](std::uint32_t index) { return service.hashes[index]; });
  return service;
}

bool Placement::sourceUsable(const EngineId& source, MonotonicTime now) const {
  if (source == storeId()) return store_.has_value();
  const EngineState* engine = std::as_const(registry_).find(source);
  return engine != nullptr && !engine->loading && engine->ejectedUntil <= now;
}

std::optional<Address> Placement::addressOf(const EngineId& source) const {
  if (source == storeId()) return store_ ? std::optional(store_->address) : std::nullopt;
  const EngineState* engine = std::as_const(registry_).find(source);
  return engine ? std::optional(engine->listed.address) : std::nullopt;
}

Zone Placement::zoneOf(const EngineId& source) const {
  if (source == storeId()) return store_ ? store_->zone : Zone{};
  const EngineState* engine = std::as_const(registry_).find(source);
  return engine ? engine->listed.zone : Zone{};
}

Placement::VersionedPrompt& Placement::promptFor(CandidateSearch& search, WeightsVersion version) {
  auto found = std::ranges::find(search.prompts, version, &VersionedPrompt::version);
  if (found != search.prompts.end()) return *found;
  VersionedPrompt& prompt = search.prompts.emplace_back();
  prompt.version = version;
  prompt.salt = cacheSalt(search.cacheScope, search.placementRequest.model, version);
  prompt.cachedPrefixes = index_.cachedPrefixes(prompt.salt, search.placementRequest.promptBlocks);
  for (const auto& prefix : prompt.cachedPrefixes) {
    if (prefix.tokens < prompt.longestPrefix || !sourceUsable(prefix.engine, search.now)) continue;
    if (prefix.tokens > prompt.longestPrefix) prompt.sources.clear();
    prompt.longestPrefix = prefix.tokens;
    prompt.sources.push_back(prefix.engine);
  }
  return prompt;
}

WeightsVersion Placement::weightsOf(const CandidateSearch& search, const EngineState& engine) {
  auto listed = engine.models.find(search.placementRequest.model);
  if (listed != engine.models.end()) return listed->second;
  return search.shape ? WeightsVersion{1} : kUnknownWeights;
}

bool Placement::mayServe(const CandidateSearch& search, WeightsVersion version,
                         Duration startsWithin) const {
  if (version == kUnknownWeights || version >= search.targetVersion ||
      !options_.isGuardEnabled(SafetyGuard::kOldWeights))
    return true;
  MonotonicTime since = targetHistory_.outdatedSince(search.placementRequest.model, version);
  if (since == kForever) return false;  // there is a newer target, set at an unknown time
  return search.now - since < options_.weightsWithin - startsWithin;
}

void Placement::considerEngine(CandidateSearch& search, std::size_t engineIndex) {
  const EngineState& engine = *search.engines[engineIndex];
  const auto& tried = search.placementRequest.triedEngines;
  if (!registry_.usable(engine, search.now) ||
      std::ranges::find(tried, engine.listed.id) != tried.end() ||
      std::ranges::find(search.candidates, engineIndex, &Candidate::engineIndex) !=
          search.candidates.end())
    return;
  Candidate candidate;
  if (search.mayBeCached) {
    WeightsVersion version = weightsOf(search, engine);
    if (!mayServe(search, version, kStartDelay)) return;
    candidate.promptIndex =
        static_cast<std::size_t>(&promptFor(search, version) - search.prompts.data());
    candidate.inputs.olderWeights = version != kUnknownWeights && version < search.targetVersion;
  }
  ++search.usableCount;
  CandidateInputs& inputs = candidate.inputs;
  inputs.running = registry_.runningRequests(engine, search.now);
  inputs.slots = slotCount(engine);
  if (inputs.running >= inputs.slots * slotShareFor(search.placementRequest.urgency)) {
    double waiting = engine.reportedLoad ? static_cast<double>(engine.reportedLoad->waiting) : 0;
    search.retryMs =
        std::min(search.retryMs, freeSlotForecastMs(inputs.running, inputs.slots, waiting));
    return;
  }
  inputs.queuedTokens = registry_.queuedPrefillTokens(engine, search.now);
  inputs.prefillSpeed =
      prefillSpeed_.tokensPerMs(engine.listed.id, search.placementRequest.service);
  if (inputs.olderWeights) {  // it starts after the queued prefill
    Duration queue = seconds(inputs.queuedTokens / inputs.prefillSpeed / 1000);
    WeightsVersion version = search.prompts[candidate.promptIndex].version;
    if (!mayServe(search, version, kStartDelay + queue * kQueueSafetyFactor)) return;
  }
  inputs.otherZone = !zone_.value.empty() && engine.listed.zone != zone_;
  candidate.engine = &engine;
  candidate.engineIndex = engineIndex;
  search.candidates.push_back(std::move(candidate));
}

void Placement::considerAll(CandidateSearch& search) {
  for (std::size_t engineIndex = 0; engineIndex < search.engines.size(); ++engineIndex)
    considerEngine(search, engineIndex);
}

void Placement::considerSample(CandidateSearch& search) {
  // Large services: the engines that cache the most, those near the home, and some random ones.
  if (search.shape) {
    VersionedPrompt& prompt = promptFor(search, search.targetVersion);
    auto prefixes = prompt.cachedPrefixes;
    std::size_t holderCount = std::min(prefixes.size(), kMaxHolders);
    std::ranges::partial_sort(prefixes, prefixes.begin() + static_cast<std::ptrdiff_t>(holderCount),
                              std::greater{}, &CachedPrefix::tokens);
    for (std::size_t index = 0; index < holderCount; ++index) {
      auto found = std::ranges::lower_bound(search.engines, prefixes[index].engine, {},
                                            [](const EngineState* one) { return one->listed.id; });
      if (found != search.engines.end() && (*found)->listed.id == prefixes[index].engine)
        considerEngine(search, static_cast<std::size_t>(found - search.engines.begin()));
    }
  }
  for (auto& candidate : search.candidates) candidate.nearHome = false;
  const auto& order = search.service.byHash;
  std::uint64_t key = homeKey(search);
  auto near = std::ranges::lower_bound(
      order, mixBits(key), {}, [&](std::uint32_t index) { return search.service.hashes[index]; });
  std::size_t start = static_cast<std::size_t>(near - order.begin());
  for (std::size_t step = 0; key != 0 && step < kHomeWindow; ++step) {
    std::size_t engineIndex = order[(start + step) % order.size()];
    considerEngine(search, engineIndex);
    auto candidate = std::ranges::find(search.candidates, engineIndex, &Candidate::engineIndex);
    if (candidate != search.candidates.end()) candidate->nearHome = true;
  }
  std::size_t found = search.candidates.size();
  for (std::size_t tries = 0; tries < 32 && search.candidates.size() < found + 8; ++tries)
    considerEngine(search, random_.below(search.engines.size()));
  for (; found < search.candidates.size(); ++found) search.candidates[found].nearHome = false;
}

void Placement::findCandidates(CandidateSearch& search) {
  if (search.engines.size() <= kConsiderAllUpTo) considerAll(search);
  else considerSample(search);
}

std::uint64_t Placement::homeKey(const CandidateSearch& search) const {
  // The largest shared block best characterizes what a prompt has in common with others. A block
  // that most engines cache needs no home. The key doesn't contain the weights version, so a home
  // stays the same across versions.
  if (!search.shape || search.placementRequest.promptBlocks.size() < 2) return 0;
  std::string salt =
      cacheSalt(search.cacheScope, search.placementRequest.model, search.targetVersion);
  const PromptBlock* chosen = nullptr;
  for (const auto& part : search.placementRequest.promptBlocks.first(
           search.placementRequest.promptBlocks.size() - 1)) {
    if (part.tokens < kMinHomeBlockTokens || (chosen && part.tokens <= chosen->tokens)) continue;
    if (index_.engineCount(salt, part.id) * 2 > search.engines.size() + 1) continue;
    chosen = &part;
  }
  if (!chosen) return 0;
  // Nor does it contain the generation of the shared cache.
  const auto& isolatedTenant = search.cacheScope.isolatedTenant;
  return hashOf(chosen->id, hashOf(isolatedTenant ? isolatedTenant->value : std::string(),
                                   hashOf(search.placementRequest.model.value, 0))) |
         1;
}

void Placement::rateCandidates(CandidateSearch& search, bool mayFetch) {
  std::uint64_t key = homeKey(search);
  std::size_t home = search.candidates.size(), runnerUp = home;
  std::uint64_t bestRank = 0, runnerUpRank = 0;
  for (std::size_t index = 0; key != 0 && index < search.candidates.size(); ++index) {
    if (!search.candidates[index].nearHome) continue;
    std::uint64_t rank = mixBits(key ^ search.service.hashes[search.candidates[index].engineIndex]);
    if (rank > bestRank) {
      runnerUp = home, runnerUpRank = bestRank;
      home = index, bestRank = rank;
    } else if (rank > runnerUpRank) {
      runnerUp = index, runnerUpRank = rank;
    }
  }
  CostWeights weights;
  if (search.placementRequest.route && search.placementRequest.route->responseTarget > Duration{})
    weights.targetMs = inSeconds(search.placementRequest.route->responseTarget) * 1000;
  for (std::size_t index = 0; index < search.candidates.size(); ++index) {
    Candidate& candidate = search.candidates[index];
    CandidateInputs& inputs = candidate.inputs;
    if (key != 0) inputs.homeDistance = index == home ? 0 : index == runnerUp ? 0.5 : 1;
    if (search.shape) estimateBlockCosts(search, candidate, mayFetch);
    candidate.cost = costOf(inputs, weights);
    // Engines without a cache differ in speed too; ties are broken randomly.
    if (!search.shape)
      candidate.cost.total += candidate.engine->firstEventMs * (1 + inputs.running / inputs.slots);
    candidate.cost.total += random_.fraction() * 2;
  }
}

void Placement::estimateBlockCosts(CandidateSearch& search, Candidate& candidate, bool mayFetch) {
  const VersionedPrompt& prompt = search.prompts[candidate.promptIndex];
  const EngineConfig& shape = *search.shape;
  CandidateInputs& inputs = candidate.inputs;
  auto prefix =
      std::ranges::find(prompt.cachedPrefixes, candidate.engine->listed.id, &CachedPrefix::engine);
  candidate.cachedTokens =
      prefix == prompt.cachedPrefixes.end() ? 0 : std::min(prefix->tokens, search.promptTokens);
  inputs.promptTokens = static_cast<double>(search.promptTokens);
  inputs.sharedTokens = static_cast<double>(search.sharedTokens);
  inputs.cachedTokens = static_cast<double>(candidate.cachedTokens);
  inputs.sourceTokens = static_cast<double>(std::min(prompt.longestPrefix, search.promptTokens));
  inputs.outputTokens = static_cast<double>(search.placementRequest.outputTokens);
  inputs.capacityTokens = static_cast<double>(shape.kvTokens);
  inputs.usedTokens =
      inputs.running * static_cast<double>(search.promptTokens - search.sharedTokens +
                                           search.placementRequest.outputTokens);
  inputs.megabytesPerToken = static_cast<double>(shape.kvTokenBytes) / 1e6;
  inputs.linkMegabytesPerSecond = megabytesFromMegabits(shape.linkMbps);
  inputs.mayFetch = false;
  if (!mayFetch || prompt.sources.empty() || inputs.sourceTokens <= inputs.cachedTokens) return;
  // Assumes the nearest of the best sources; the final choice depends on the links' free capacity.
  inputs.mayFetch = true;
  inputs.distanceFactor = 10;
  double waitMs = 1e9;
  std::size_t sourceCount = std::min(prompt.sources.size(), kMaxHolders);
  for (const auto& source : std::span(prompt.sources).first(sourceCount)) {
    int distanceFactor = fetches_.transferWeight(zoneOf(source), candidate.engine->listed.zone);
    inputs.distanceFactor = std::min(inputs.distanceFactor, distanceFactor);
    waitMs = std::min(waitMs, fetches_.waitSeconds(source));
    if (sourceCount == 1 && source == storeId() && store_ && store_->linkMbps > 0)
      inputs.linkMegabytesPerSecond =
          std::min(inputs.linkMegabytesPerSecond, megabytesFromMegabits(store_->linkMbps));
  }
  inputs.linkWaitMs = 1000 * std::max(waitMs, fetches_.waitSeconds(candidate.engine->listed.id));
}

}  // namespace peppergate
