#pragma once
// Selects the engine for a request, and the source from which it fetches cached prefix blocks.
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/fetch_planner.h"
#include "core/random.h"
#include "engines/engine_registry.h"
#include "engines/weight_target_history.h"
#include "prompts/prefill_speed_estimator.h"
#include "prompts/prefix_block_index.h"
#include "requests/events.h"
#include "requests/placer.h"

namespace peppergate {

/// The requirements of a request on its engine.
struct PlacementRequest {
  RequestId request;
  const Route* route = nullptr;
  ServiceName service;
  ModelName model;
  TenantId tenant;
  bool isolated = false;
  int urgency = 0;  // from 0, the most urgent, to 9
  std::span<const PromptBlock> promptBlocks;
  std::int64_t promptTokens = 0, outputTokens = 0;
  Duration timeLeft;
  std::span<const EngineId> triedEngines;  // engines of earlier attempts, excluded
};

/// The placement of one attempt. `salt` contains the cache domain and the weights version, so
/// that no engine reuses a block across them.
struct PlacementDecision {
  EngineId engine;
  Address address;
  std::optional<WeightsVersion> version;
  std::string salt;  // empty only if the request has no prompt that an engine could cache
  std::optional<Address> collectFrom, depositAt;
  std::int64_t prefillTokens = 0;  // prompt tokens that need prefill
  Duration expectedFirstEvent;     // expected time until the first event
};

enum class PlacementFailure : std::uint8_t { kNoEngine, kFull };

/// Why a request was rejected, and after which time it should be retried.
struct PlacementRejection {
  PlacementFailure reason = PlacementFailure::kNoEngine;
  Duration retryAfter;
};

/// Selects the engine with the lowest cost, weighing its cached blocks against queues, batches and
/// block fetches.
class Placement final : public Placer {
 public:
  Placement(const Options& options, EngineRegistry& registry, PrefixBlockIndex& index,
            FetchPlanner& fetches, Random& random);
  /// Sets the zone of this router. Engines in other zones cost slightly more.
  void setZone(Zone zone) { zone_ = std::move(zone); }
  /// Sets the rate levels and classes configured by the operators.
  void setOperatorSetup(const Setup& setup);
  /// Selects the engine for one attempt, or says why there is none.
  std::variant<PlacementDecision, PlacementRejection> place(
      const PlacementRequest& placementRequest, const FleetConfig& config, const Weights& weights,
      MonotonicTime now, Outbox& outbox) override;
  /// Records the time to the first event, which also ends a planned block fetch.
  void recordFirstEvent(RequestId request, Duration elapsed, MonotonicTime now,
                        Outbox& outbox) override;
  /// Records that the attempt ended without a first event.
  void endedWithoutEvent(RequestId request) override;
  /// The prompt tokens that need prefill when this many are cached.
  static std::int64_t prefillTokens(const PlacementRequest& placementRequest,
                                    std::int64_t cachedTokens);
  /// Applies changes of the engine list and the configuration, and recomputes the fetch plan when
  /// due. Called on each tick.
  void tick(const FleetConfig& config, MonotonicTime now, Outbox& outbox);
  /// Records the current target weights. `since` is a lower bound for the time at which new targets
  /// among them were set; `kNever` if that is unknown.
  void setTargetWeights(const Weights& weights, MonotonicTime since, MonotonicTime now);
  /// Extends the grace time of engines on older weights by a period without a leader, in which no
  /// weights could be loaded.
  void addLeaderOutage(Duration duration) { targetHistory_.postpone(duration); }
  /// Restarts the grace time of older weights after a control failure, which ended at this moment.
  void restartGraceTime(MonotonicTime moment) { targetHistory_.restartBefore(moment); }
  /// Updates the link rates from the services' configuration.
  void updateLinks(const FleetConfig& config);
  /// The report of this router's fetches for the other routers. Called every half second.
  LinkUsageNotification usageReport(MemberId self, MonotonicTime now) {
    return fetches_.makeNotification(self, fetchPlan_, now);
  }
  /// Handles another router's report of its fetches.
  void handle(const LinkUsageNotification& report, MonotonicTime now) {
    fetches_.record(report, now);
  }
  /// Accessors for tests and the status page.
  const PrefillSpeedEstimator& prefillSpeed() const { return prefillSpeed_; }
  const Setup& fetchPlan() const { return fetchPlan_; }

 private:
  struct Candidate;
  struct VersionedPrompt;
  struct CandidateSearch;
  struct ServiceHashes {  // hashes of its engines, in the registry's order
    ListVersion version;
    std::vector<std::uint64_t> hashes;
    std::vector<std::uint32_t> byHash;
  };
  struct PendingPlacement {
    EngineId engine;
    ServiceName service;
    double waitMs = 0, prefillMs = 0, prefillTokens = 0;
    bool fetches = false;
  };
  const ServiceHashes& serviceHashes(const ServiceName& name);
  void considerEngine(CandidateSearch& search, std::size_t engineIndex);
  void considerAll(CandidateSearch& search);
  void considerSample(CandidateSearch& search);
  void findCandidates(CandidateSearch& search);
  std::uint64_t homeKey(const CandidateSearch& search) const;
  void estimateBlockCosts(CandidateSearch& search, Candidate& candidate, bool mayFetch);
  void rateCandidates(CandidateSearch& search, bool mayFetch);
  const Candidate* cheapestCandidate(const CandidateSearch& search) const;
  VersionedPrompt& promptFor(CandidateSearch& search, WeightsVersion version);
  bool sourceUsable(const EngineId& source, MonotonicTime now) const;
  std::optional<Address> addressOf(const EngineId& source) const;
  Zone zoneOf(const EngineId& source) const;
  bool planFetch(CandidateSearch& search, const Candidate& candidate, PlacementDecision& decision,
                 Outbox& outbox);
  PlacementDecision finishPlacement(CandidateSearch& search, const Candidate& candidate,
                                    PlacementDecision decision, Outbox& outbox);
  /// The version of the request's model at an engine. One that doesn't list a configured model has
  /// version 1; without a configuration nothing is known.
  static WeightsVersion weightsOf(const CandidateSearch& search, const EngineState& engine);
  /// Whether a request that starts within this time may run on an engine with this version.
  bool mayServe(const CandidateSearch& search, WeightsVersion version, Duration startsWithin) const;
  PlacementRejection rejection(const CandidateSearch& search, Outbox& outbox);

  Options options_;
  EngineRegistry& registry_;
  PrefixBlockIndex& index_;
  FetchPlanner& fetches_;
  Random& random_;
  Zone zone_;
  std::optional<StoreConfig> store_;
  Setup operatorSetup_, fetchPlan_;  // as configured, and as in effect
  ConfigVersion configVersion_;
  ListVersion listVersion_;
  bool linksCurrent_ = false;
  PrefillSpeedEstimator prefillSpeed_;
  std::map<ServiceName, ServiceHashes> serviceHashes_;
  WeightTargetHistory targetHistory_;
  std::unordered_map<std::uint64_t, PendingPlacement> pending_;  // by request id
};

}  // namespace peppergate
