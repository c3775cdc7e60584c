#include "prompts/placement.h"

#include <algorithm>

#include "prompts/candidate_search.h"

namespace peppergate {
namespace {

// Fetches get no rate beyond the one that takes this fraction of the target time.
constexpr double kFetchTargetFraction = 1.0 / 8;
constexpr int kTargetRetentionFactor = 4;  // multiple of the grace time, which pauses may extend

}  // namespace

Placement::Placement(const Options& options, EngineRegistry& registry, PrefixBlockIndex& index,
                     FetchPlanner& fetches, Random& random)
    : options_(options),
      registry_(registry),
      index_(index),
      fetches_(fetches),
      random_(random),
      targetHistory_(options.weightsWithin * kTargetRetentionFactor) {}

void Placement::setOperatorSetup(const Setup& setup) {
  operatorSetup_.rungs = setup.rungs;
  operatorSetup_.classes = setup.classes;
  linksCurrent_ = false;
}

void Placement::updateLinks(const FleetConfig& config) {
  std::map<LinkId, LinkConfig> linkRates;
  std::set<EngineId> engines;
  store_.reset();
  for (const auto& [name, service] : config.services) {
    if (service.store) store_ = service.store;
    if (service.store && service.store->linkMbps > 0)
      linkRates[FetchPlanner::linkOf(storeId())] = {megabytesFromMegabits(service.store->linkMbps),
                                                    service.store->zone};
    for (const EngineState* engine : registry_.enginesOf(name)) {
      engines.insert(engine->listed.id);
      if (service.engine && service.engine->linkMbps > 0)
        linkRates[FetchPlanner::linkOf(engine->listed.id)] = {
            megabytesFromMegabits(service.engine->linkMbps), engine->listed.zone};
    }
  }
  fetchPlan_ = fetchSetup(operatorSetup_, config);
  fetches_.updateLinks(linkRates);
  prefillSpeed_.keepOnly(engines);
  std::erase_if(serviceHashes_,
                [&](const auto& entry) { return !config.services.contains(entry.first); });
  configVersion_ = config.version;
  listVersion_ = registry_.version();
  linksCurrent_ = true;
}

void Placement::tick(const FleetConfig& config, MonotonicTime now, Outbox& outbox) {
  if (!linksCurrent_ || configVersion_ != config.version || listVersion_ != registry_.version())
    updateLinks(config);
  fetches_.tick(fetchPlan_, now, outbox);
}

void Placement::setTargetWeights(const Weights& weights, MonotonicTime since, MonotonicTime now) {
  targetHistory_.record(weights.models, since, now);
}

std::int64_t Placement::prefillTokens(const PlacementRequest& placementRequest,
                                      std::int64_t cachedTokens) {
  std::int64_t tokens = placementRequest.promptTokens;
  if (tokens <= 0)
    for (const auto& part : placementRequest.promptBlocks) tokens += part.tokens;
  return std::max<std::int64_t>(0, tokens - cachedTokens);
}

std::variant<PlacementDecision, PlacementRejection> Placement::place(
    const PlacementRequest& placementRequest, const FleetConfig& config, const Weights& weights,
    MonotonicTime now, Outbox& outbox) {
  if (!linksCurrent_ || configVersion_ != config.version || listVersion_ != registry_.version())
    updateLinks(config);
  endedWithoutEvent(placementRequest.request);
  CandidateSearch search{placementRequest,
                         config,
                         now,
                         nullptr,
                         registry_.enginesOf(placementRequest.service),
                         serviceHashes(placementRequest.service)};
  auto found = config.services.find(placementRequest.service);
  if (found != config.services.end() && found->second.engine &&
      !placementRequest.model.value.empty())
    search.shape = &*found->second.engine;
  // Engines cache prompts whether or not the configuration still has their service: a stream of a
  // removed service may be resumed.
  search.mayBeCached =
      !placementRequest.model.value.empty() || !placementRequest.promptBlocks.empty();
  if (auto name = weights.models.find(placementRequest.model); name != weights.models.end())
    search.targetVersion = std::max(search.targetVersion, name->second);
  search.cacheScope =
      cacheScopeOf(placementRequest.tenant,
                   placementRequest.isolated && options_.isGuardEnabled(SafetyGuard::kCacheDomain),
                   config.cacheGeneration);
  search.promptTokens = prefillTokens(placementRequest, 0);
  for (std::size_t index = 0; index + 1 < placementRequest.promptBlocks.size(); ++index)
    search.sharedTokens += placementRequest.promptBlocks[index].tokens;
  if (search.shape && search.shape->kvTokens > 0 &&
      search.promptTokens + placementRequest.outputTokens > search.shape->kvTokens) {
    outbox.count("place.tooLarge");
    return PlacementRejection{PlacementFailure::kNoEngine,
                              placementRequest.timeLeft};  // it doesn't fit into any engine
  }
  this->findCandidates(search);
  rateCandidates(search, true);
  const Candidate* candidate = cheapestCandidate(search);
  if (candidate == nullptr) return rejection(search, outbox);
  PlacementDecision decision;
  if (candidate->cost.fetchedTokens > 0 && !planFetch(search, *candidate, decision, outbox)) {
    rateCandidates(search, false);  // no link capacity: use an engine that caches it, or compute it
    candidate = cheapestCandidate(search);
  }
  return finishPlacement(search, *candidate, std::move(decision), outbox);
}

const Placement::Candidate* Placement::cheapestCandidate(const CandidateSearch& search) const {
  auto cheapest = std::ranges::min_element(
      search.candidates, {}, [](const Candidate& choice) { return choice.cost.total; });
  return cheapest == search.candidates.end() ? nullptr : &*cheapest;
}

PlacementRejection Placement::rejection(const CandidateSearch& search, Outbox& outbox) {
  outbox.count(search.usableCount > 0 ? "place.full" : "place.noEngine");
  if (search.usableCount > 0) return {PlacementFailure::kFull, seconds(search.retryMs / 1000)};
  return {PlacementFailure::kNoEngine, seconds(0.3 + 0.3 * random_.fraction())};
}

bool Placement::planFetch(CandidateSearch& search, const Candidate& candidate,
                          PlacementDecision& decision, Outbox& outbox) {
  const VersionedPrompt& prompt = search.prompts[candidate.promptIndex];
  const EngineId& engine = candidate.engine->listed.id;
  auto source = fetches_.selectSource(prompt.sources, engine);
  if (!source || fetchPlan_.rungs.empty()) return false;
  auto address = addressOf(*source);
  if (!address) return false;
  int urgency = search.placementRequest.route ? search.placementRequest.route->urgency : 5;
  Fetch fetch;
  fetch.planStream.stream = {search.placementRequest.request.value};
  fetch.planStream.links = {FetchPlanner::linkOf(*source), FetchPlanner::linkOf(engine)};
  fetch.className = className(urgency);
  if (auto found = fetchPlan_.classes.find(fetch.className); found != fetchPlan_.classes.end())
    fetch.planStream.tenantClass = found->second;
  fetch.planStream.floorRung = fetch.planStream.tenantClass.floor;
  fetch.tenant = search.placementRequest.tenant;
  fetch.source = *source;
  fetch.megabytes = candidate.cost.fetchedTokens * candidate.inputs.megabytesPerToken;
  double target = search.placementRequest.route
                      ? inSeconds(search.placementRequest.route->responseTarget)
                      : 0.5;
  auto highestRung = static_cast<std::int64_t>(fetchPlan_.rungs.size()) - 1;
  while (fetch.planStream.topRung < highestRung &&
         fetchPlan_.rungs[static_cast<std::size_t>(fetch.planStream.topRung)].rate * target *
                 kFetchTargetFraction <
             fetch.megabytes)
    ++fetch.planStream.topRung;
  if (!fetches_.reserve(std::move(fetch), fetchPlan_, search.now, outbox)) return false;
  decision.collectFrom = std::move(address);
  return true;
}

PlacementDecision Placement::finishPlacement(CandidateSearch& search, const Candidate& candidate,
                                             PlacementDecision decision, Outbox& outbox) {
  decision.engine = candidate.engine->listed.id;
  decision.address = candidate.engine->listed.address;
  decision.prefillTokens = static_cast<std::int64_t>(candidate.cost.prefillTokens);
  decision.expectedFirstEvent = seconds(candidate.cost.firstEventMs / 1000);
  PendingPlacement pending{decision.engine,
                           search.placementRequest.service,
                           candidate.cost.waitMs,
                           candidate.cost.prefillTokens / candidate.inputs.prefillSpeed,
                           candidate.cost.prefillTokens + candidate.inputs.queuedTokens,
                           decision.collectFrom.has_value()};
  if (search.mayBeCached) {
    const VersionedPrompt& prompt = search.prompts[candidate.promptIndex];
    if (prompt.version != kUnknownWeights) decision.version = prompt.version;
    decision.salt = prompt.salt;
  }
  if (search.shape) {
    const VersionedPrompt& prompt = search.prompts[candidate.promptIndex];
    double prefixTokens = candidate.inputs.cachedTokens + candidate.cost.fetchedTokens;
    // Newly computed blocks are deposited in the store, so that they are computed only once.
    if (prefixTokens < candidate.inputs.sharedTokens) {
      auto storeEntry = std::ranges::find(prompt.cachedPrefixes, storeId(), &CachedPrefix::engine);
      bool alreadyStored =
          storeEntry != prompt.cachedPrefixes.end() && storeEntry->tokens >= search.sharedTokens;
      if (store_ && !alreadyStored) decision.depositAt = store_->address;
      outbox.count(prompt.longestPrefix > candidate.cachedTokens ? "parts.readAgain"
                                                                 : "parts.readFirst");
    } else {
      outbox.count(decision.collectFrom ? "parts.collected" : "parts.kept");
      // Blocks that the index lists as cached may have been evicted: the engine then fetches them
      // from the store instead of computing them. An engine that still caches all fetches nothing.
      auto stored = std::ranges::find(prompt.cachedPrefixes, storeId(), &CachedPrefix::engine);
      if (!decision.collectFrom && store_ && stored != prompt.cachedPrefixes.end() &&
          sourceUsable(storeId(), search.now)) {
        decision.collectFrom = store_->address;
        outbox.count("parts.insured");
      }
    }
  }
  outbox.count("place.placed");
  pending_.insert_or_assign(search.placementRequest.request.value, std::move(pending));
  return decision;
}

void Placement::recordFirstEvent(RequestId request, Duration elapsed, MonotonicTime now,
                                 Outbox& outbox) {
  auto found = pending_.find(request.value);
  if (found == pending_.end()) return;
  const PendingPlacement& pending = found->second;
  if (pending.fetches) {
    // Queue times are estimates: only a large excess is attributed to a slow link.
    double expectedMs = 3 * (pending.waitMs + pending.prefillMs) + 300;
    fetches_.handleFirstEvent({request.value}, seconds(expectedMs / 1000), now, outbox);
  } else {
    prefillSpeed_.addSample(pending.engine, pending.service, pending.prefillTokens, elapsed);
  }
  pending_.erase(found);
}

void Placement::endedWithoutEvent(RequestId request) {
  auto found = pending_.find(request.value);
  if (found == pending_.end()) return;
  if (found->second.fetches) fetches_.remove({request.value});
  pending_.erase(found);
}

}  // namespace peppergate
