#pragma once
// A simulated engine with continuous batching, for routers: slots, prefill speed, a cache of prefix
// blocks, load orders for weights, and a record of violations.
#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "requests/events.h"

namespace peppergate {

/// Capacity, speed and fault rates of an engine.
struct BatchOptions {
  std::int64_t slots = 32;
  std::int64_t queueLimit = 96;
  std::int64_t kvTokens = 300'000;
  double prefillTokensPerMs = 150;
  Duration firstEventTime = milliseconds(26);
  Duration tokenTime = milliseconds(5);     // time per output token of a single run
  Duration tokenTimePerRun = Duration{50};  // additional time per token for each running request
  std::int64_t stride = 5;                  // tokens per stream event
  Duration loadTime = seconds(1.1);
  double linkMbps = 370'000;
  std::int64_t kvBytesPerToken = 18'432;
  std::size_t eventLogCapacity = 4000;
  double eventLossRate = 0.02;
  Duration eventDelay = milliseconds(80);
};

/// One run of a request on the engine.
struct BatchRun {
  std::uint64_t number = 0;
  std::string clientId;
  TenantId tenant;
  std::string salt;
  ModelName model;
  std::vector<PromptBlock> promptBlocks;
  std::int64_t tokensOut = 0;
  std::uint64_t nextEvent = 1;  // index of the next event, from 1
  std::uint64_t lastEvent = 1;  // index of the last event
  bool began = false;
  WeightsVersion version;
};

/// Whether an engine accepts an attempt, and if not, why.
enum class BatchAdmission : std::uint8_t {
  kAccepted,
  kFull,
  kWrongEngine,
  kWrongVersion,
  kLoading
};

/// One engine, or a store of prefix blocks. The caller keeps the time and calls `tick`.
class BatchEngine {
 public:
  BatchEngine(BatchOptions options, EngineId id, std::uint64_t seed);

  /// Accepts an attempt and fills `run`, or declines it; a declined attempt has not run.
  BatchAdmission admit(const OpenAttempt& attempt, const RequestArrived& request, MonotonicTime now,
                       BatchRun& run);
  /// The time until the run's first event. Each prefix block is computed, fetched from `source` or
  /// found in the cache.
  Duration prefill(const BatchRun& run, BatchEngine* source, double distance, MonotonicTime now);
  /// The time between two events of one run.
  Duration eventInterval() const;
  /// Called with the first event of a run: from now on the request has run.
  void recordFirstEvent(const BatchRun& run, MonotonicTime now);
  /// A run completed, failed or was cancelled.
  void endRun(const BatchRun& run);
  /// Caches prefix blocks, evicting the least recently used ones; also how a store receives blocks.
  void insertBlocks(const std::string& salt, const ModelName& model,
                    std::span<const PromptBlock> blocks, WeightsVersion version,
                    const std::string& tenant, MonotonicTime now);
  /// The length in tokens of a prompt's cached prefix.
  std::int64_t cachedTokens(const std::string& salt, std::span<const PromptBlock> blocks) const;
  LoadOrderOutcome handleLoadOrder(const OrderWeightsLoad& order, bool fenced, MonotonicTime now);
  /// Whether the current load aborts running requests.
  bool loadAbortsRuns() const { return loading() && loadAbortsRuns_; }
  /// Sets the tenants that share no prefix block with others; each cache hit is checked.
  void setIsolatedTenants(std::set<std::string> tenants) { isolatedTenants_ = std::move(tenants); }
  /// For faults that change the options during a run.
  BatchOptions& options() { return options_; }
  /// Completes a load that is due, once no run is left.
  void tick(MonotonicTime now);
  PrefixBlocksPolled pollBlocks(std::uint64_t since, MonotonicTime now) const;
  PrefixBlocksListed listBlocks(MonotonicTime now) const;
  EngineReport report() const;
  EngineLoad load() const { return {running_, waiting_, options_.slots}; }
  /// Restarts the process with a new id and an empty cache; the weights versions stay.
  void restart(EngineId id, std::uint64_t epoch);
  /// Sets the weights that an engine starts with.
  void setVersion(const ModelName& model, WeightsVersion version) { models_[model] = version; }

  const EngineId& id() const { return id_; }
  const std::map<ModelName, WeightsVersion>& models() const { return models_; }
  bool loading() const { return loadEndsAt_ != kForever; }
  const BatchOptions& options() const { return options_; }
  /// How often each client id's request began to run here.
  const std::map<std::string, int>& startedIds() const { return startedIds_; }
  /// Counts of broken rules by kind.
  const std::map<std::string, std::uint64_t>& violations() const { return violations_; }
  std::int64_t computedTokens() const { return computedTokens_; }
  std::int64_t transferredTokens() const { return transferredTokens_; }
  std::int64_t orderCount() const { return static_cast<std::int64_t>(orderCount_); }

 private:
  struct CachedBlock {
    std::int64_t tokens = 0;
    ModelName model;
    WeightsVersion version;
    std::string tenant;
    MonotonicTime lastUsed;
    std::list<std::string>::iterator lruPosition;
  };
  void recordChange(bool cached, const std::string& key, std::int64_t tokens,
                    const ModelName& model, MonotonicTime now);
  void evictFor(std::int64_t tokens, MonotonicTime now);
  void checkCacheHit(const CachedBlock& block, const BatchRun& run);

  BatchOptions options_;
  EngineId id_;
  Random random_;
  std::map<ModelName, WeightsVersion> models_;
  std::unordered_map<std::string, CachedBlock> blocks_;  // by salt, line feed and block id
  std::list<std::string> lru_;                           // least recently used first
  std::int64_t cachedTokens_ = 0, runningTokens_ = 0, running_ = 0, waiting_ = 0;
  MonotonicTime prefillFreeAt_{}, linkFreeAt_{};
  struct LoggedChange {
    PrefixBlockChange change;
    MonotonicTime visibleAt;
  };
  std::deque<LoggedChange> changeLog_;
  std::uint64_t epoch_ = 1, nextSequence_ = 1, nextRun_ = 1, orderCount_ = 0, fencingToken_ = 0;
  std::string leaseHolder_;
  MonotonicTime lastOrderAt_ = kNever;
  ModelName loadingModel_;
  WeightsVersion loadingVersion_;
  MonotonicTime loadEndsAt_ = kForever;
  bool loadAbortsRuns_ = false;
  std::set<std::string> isolatedTenants_;
  std::map<std::string, int> startedIds_;
  std::map<std::string, std::uint64_t> violations_;
  std::int64_t computedTokens_ = 0, transferredTokens_ = 0;
};

}  // namespace peppergate
