#pragma once
// A model of an inference engine, used by the simulator and by the stand-in process. It follows
// orders, performs only the checks of a real engine and records each violation of the protocol.
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/messages.h"
#include "core/random.h"
#include "wire/json_fields.h"

namespace peppergate {

/// One part of a prompt as received by an engine.
struct RequestedPart {
  PrefixBlockName name;
  std::size_t characters = 0;
  bool shared = false;
};

/// A parsed generation request.
struct RunRequest {
  std::string requestId;
  int attempt = 1;
  std::string tenant;
  CacheDomain cacheDomain;
  WeightsVersion weights;
  EngineLife life;
  bool anyLife = false;  // If-Match: *
  bool resumable = false;
  PieceIndex firstPiece;
  std::int64_t pieces = 8;
  std::vector<RequestedPart> parts;
  std::string promptDigest;
  Address fetchSource;  // X-Collect-From
  double fetchRate = 0;
  std::vector<PrefixBlockName> blocksToFetch;
  Address depositAddress;        // X-Deposit-At
  bool listUnreachable = false;  // the sender had no path to the platform's list
  std::string runId;             // unique per run; part of the text of each piece
};

/// Parses the headers (names in lower case) and the body of a call of /run.
RunRequest parseRun(const std::map<std::string, std::string>& headers, const std::string& body);

/// A cached prefix block with the cache domain and weights that really produced it.
struct EngineCacheBlock {
  CachedPrefixBlock label;   // as labelled by the request
  CacheDomain actualDomain;  // of the request that computed it
  WeightsVersion actualWeights;
};

struct EngineModelOptions {
  std::int64_t slots = 32;
  std::size_t cacheBlocks = 400;
  Duration prefillPerCharacter{30};
  Duration startTime = milliseconds(20);
  Duration pieceInterval = milliseconds(60);
  Duration loadTime = seconds(1.5);
  Duration drainGrace = seconds(3);
  Duration weightsGrace = seconds(20);
  Duration cacheDomainGrace = seconds(2.5);  // 2 s, and half a second for an attempt in flight
};

/// One engine: `begin` admits a request, `prefill` computes its prompt, `pieceText` gives its
/// answer and `end` closes it.
class EngineModel {
 public:
  struct Response {
    int status = 200;
    std::string reason;
  };
  EngineModel(EngineModelOptions options, EngineId id, WeightsVersion weights, std::uint64_t seed);

  /// Starts a request. With any status but 200 it did not run.
  Response begin(const RunRequest& request, MonotonicTime now);
  /// The blocks to fetch that aren't cached here yet.
  std::vector<PrefixBlockName> missingBlocks(const RunRequest& request) const;
  /// Caches a block that came from a peer or the store.
  void addFetchedBlock(const EngineCacheBlock& block);
  /// Uses the cached prefix and recomputes the rest. Returns the time it takes and appends the
  /// newly cached blocks to the second argument.
  Duration prefill(const RunRequest& request, std::vector<EngineCacheBlock>& newBlocks);
  /// The text of one piece of the answer.
  std::string pieceText(const RunRequest& request, PieceIndex piece) const;
  /// Ends a run, completed or not.
  void end(MonotonicTime now);
  /// Advances time: a load of new weights goes on once the last run ended. Called every 50 ms.
  void tick(MonotonicTime now);
  /// Handles an order to drain or to load weights.
  Response order(const Json& body, MonotonicTime now);
  /// The platform listed the engine as draining, or no longer does.
  void setDraining(bool draining, MonotonicTime now);
  /// A new weights version was acknowledged to the operators.
  void noteAcknowledgedWeights(WeightsVersion version, MonotonicTime now);
  /// A tenant's newest cache domain was acknowledged to the operators.
  void noteAcknowledgedDomain(const std::string& tenant, const CacheDomain& domain,
                              MonotonicTime now);
  /// A new identifier, unique over all runs.
  std::string newRunId() { return id_.value + "." + std::to_string(++lastRunNumber_); }
  /// Restarts the process with an empty cache and the given weights.
  void restart(WeightsVersion weights, MonotonicTime now);

  Json health() const;
  Json cacheReport() const;
  /// A cached block as a peer would fetch it; null if it isn't cached.
  const EngineCacheBlock* findBlock(const PrefixBlockName& name) const;
  /// Counts of protocol violations by kind.
  const std::map<std::string, std::uint64_t>& violations() const { return violations_; }
  /// Ids of the started requests that must not run twice.
  const std::set<std::string>& startedOnceIds() const { return startedOnceIds_; }
  /// Ids of all started requests, to be compared with what callers were told.
  const std::set<std::string>& startedIds() const { return startedIds_; }
  std::uint64_t firstAttemptCount() const { return firstAttemptTimes_.size(); }
  std::uint64_t secondAttemptCount() const { return secondAttemptTimes_.size(); }
  /// When each first and second attempt started, for sliding windows over the fleet.
  const std::vector<MonotonicTime>& firstAttemptTimes() const { return firstAttemptTimes_; }
  const std::vector<MonotonicTime>& secondAttemptTimes() const { return secondAttemptTimes_; }
  /// The longest time from an acknowledged weights version to a start on older ones, and from the
  /// draining mark to a start on this engine.
  Duration maxOldWeightsStart() const { return maxOldWeightsStart_; }
  Duration maxDrainingStart() const { return maxDrainingStart_; }
  /// The longest time from the acknowledgement of a tenant's cache domain to a first attempt under
  /// an older one.
  Duration maxOldDomainStart() const { return maxOldDomainStart_; }
  const EngineId& id() const { return id_; }
  WeightsVersion weights() const { return weights_; }
  std::int64_t running() const { return running_; }
  const EngineModelOptions& options() const { return options_; }

 private:
  void recordViolation(const std::string& kind);
  void insertBlock(EngineCacheBlock block);

  EngineModelOptions options_;
  EngineId id_;
  Random random_;
  EngineLife life_;
  WeightsVersion weights_, loadingWeights_;
  MonotonicTime loadEndsAt_ = kForever;
  bool isLoading_ = false;
  bool drained_ = false;
  std::int64_t running_ = 0;
  std::uint64_t revision_ = 1;
  std::map<PrefixBlockName, EngineCacheBlock> blocks_;
  std::vector<PrefixBlockName> insertionOrder_;
  std::map<std::string, std::uint64_t> violations_;
  std::set<std::string> startedOnceIds_, startedIds_;
  std::vector<MonotonicTime> firstAttemptTimes_, secondAttemptTimes_;
  struct TenantDomains {
    CacheDomain newest;
    std::set<CacheDomain> earlier;
    MonotonicTime since;
  };
  std::map<std::string, TenantDomains> tenantDomains_;
  std::uint64_t lastRunNumber_ = 0;
  Duration maxOldDomainStart_;
  std::uint64_t lastOrderSender_ = 0;
  MonotonicTime lastOrderAt_ = kNever;
  MonotonicTime drainMarkedAt_ = kForever;
  std::map<WeightsVersion, MonotonicTime> acknowledgedWeights_;
  Duration maxOldWeightsStart_, maxDrainingStart_;
};

/// The expected text of a piece of a correct answer; checkers compare with it.
std::string expectedPieceText(const std::string& promptDigest, WeightsVersion weights,
                              PieceIndex piece);
/// The run identifier in a piece's text: "e1.7" of "w1-ab-0#e1.7".
std::string_view runIdOf(std::string_view pieceText);
/// The digest of a prompt's parts.
std::string promptDigest(const std::vector<std::string>& texts);

}  // namespace peppergate
