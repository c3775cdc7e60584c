#pragma once
// A model engine that runs batches, as the simulator plays it for routers: slots, reading speed,
// memory of kept parts, weights by order, and a record of what went wrong.
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

/// How an engine is made. Example: `BatchOptions{.slots = 16}`.
struct BatchOptions {
  std::int64_t slots = 32;
  std::int64_t queue = 96;
  std::int64_t kvTokens = 300'000;
  double tokensPerMs = 150;  // that it reads
  Duration firstStep = milliseconds(26);
  Duration step = milliseconds(5);   // of one token, when alone
  Duration stepEach = Duration{50};  // more for each other request that runs
  std::int64_t stride = 5;           // tokens in an event
  Duration loadTime = seconds(1.1);
  double linkMbps = 370'000;
  std::int64_t tokenBytes = 18'432;
  std::size_t eventsKept = 4000;
  double eventsLost = 0.02;
  Duration eventsLate = milliseconds(80);
};

/// One run as the engine has it.
struct BatchRun {
  std::uint64_t number = 0;
  std::string clientId;
  TenantId tenant;
  std::string salt;
  ModelName model;
  std::vector<PartSize> parts;
  std::int64_t tokensOut = 0;
  std::uint64_t next = 1;  // the id of its next event
  std::uint64_t last = 1;  // and of its last one
  bool began = false;
  WeightsVersion version;
};

enum class BatchVerdict : std::uint8_t { kTaken, kFull, kOtherEngine, kOtherVersion, kLoading };

/// Example: `if (engine.take(run, attempt, now) == BatchVerdict::kTaken) ...`
class BatchEngine {
 public:
  BatchEngine(BatchOptions options, EngineId id, std::uint64_t seed);

  /// Whether an attempt is taken; if not, it has not run. Example: see the class.
  BatchVerdict take(const OpenAttempt& attempt, const RequestArrived& request, MonotonicTime now,
                    BatchRun& run);
  /// How long until the run's first event; the prompt is read, collected or found here.
  Duration read(const BatchRun& run, BatchEngine* source, double distance, MonotonicTime now);
  /// How long until the next event. Example: between two events of one run.
  Duration pace() const;
  /// The first event comes: from now on it has run. Example: once per run.
  void began(const BatchRun& run, MonotonicTime now);
  /// A run ended, one way or another. Example: `engine.ended(run)`.
  void ended(const BatchRun& run);
  /// Keeps parts, also of a store that is given some. Example: after a read.
  void keep(const std::string& salt, const ModelName& model, std::span<const PartSize> parts,
            WeightsVersion madeUnder, const std::string& tenant, MonotonicTime now);
  /// Tokens of a prompt's beginning that it keeps. Example: `kept(run.salt, run.parts)`.
  std::int64_t kept(const std::string& salt, std::span<const PartSize> parts) const;
  OrderOutcome order(const OrderWeights& order, bool fenced, MonotonicTime now);
  /// Whether the load under way cuts running requests. Example: after an order.
  bool cuts() const { return loading() && cuts_; }
  /// Tenants that share no part with others; what they find is checked.
  void isolate(std::set<std::string> tenants) { isolated_ = std::move(tenants); }
  /// Links and lost events that change. Example: `engine.options().linkMbps = 100`.
  BatchOptions& options() { return options_; }
  /// Lets a load end. Example: each tick.
  void tick(MonotonicTime now);
  PartsPolled poll(std::uint64_t since, MonotonicTime now) const;
  PartsListed list(MonotonicTime now) const;
  EngineReport report() const;
  EngineLoad load() const { return {running_, waiting_, options_.slots}; }
  /// The process starts again with a new id, empty; its version stays. Example: after a crash.
  void restart(EngineId id, std::uint64_t epoch);
  /// New weights for an engine that starts anew. Example: one that replaces another.
  void setVersion(const ModelName& model, WeightsVersion version) { models_[model] = version; }

  const EngineId& id() const { return id_; }
  const std::map<ModelName, WeightsVersion>& models() const { return models_; }
  bool loading() const { return loadEnds_ != kForever; }
  const BatchOptions& options() const { return options_; }
  /// Client ids that began here, with how often. Example: none may begin twice in the fleet.
  const std::map<std::string, int>& beganIds() const { return beganIds_; }
  /// What went wrong here, by kind. Example: `violations().at("stale-memory")`.
  const std::map<std::string, std::uint64_t>& violations() const { return violations_; }
  std::int64_t tokensRead() const { return tokensRead_; }
  std::int64_t tokensMoved() const { return tokensMoved_; }
  std::int64_t orders() const { return static_cast<std::int64_t>(orderCount_); }

 private:
  struct Kept {
    std::int64_t tokens = 0;
    ModelName model;
    WeightsVersion madeUnder;
    std::string tenant;
    MonotonicTime used;
    std::list<std::string>::iterator place;
  };
  void note(bool kept, const std::string& key, std::int64_t tokens, const ModelName& model,
            MonotonicTime now);
  void allowElection(std::int64_t tokens, MonotonicTime now);
  void found(const Kept& part, const BatchRun& run);

  BatchOptions options_;
  EngineId id_;
  Random random_;
  std::map<ModelName, WeightsVersion> models_;
  std::unordered_map<std::string, Kept> parts_;  // by salt, a line end and the part
  std::list<std::string> byUse_;                 // longest unused first
  std::int64_t keptTokens_ = 0, runningTokens_ = 0, running_ = 0, waiting_ = 0;
  MonotonicTime readFree_{}, linkFree_{};
  struct Told {
    PartChange change;
    MonotonicTime at;
  };
  std::deque<Told> told_;
  std::uint64_t epoch_ = 1, nextNumber_ = 1, nextRun_ = 1, orderCount_ = 0, fence_ = 0;
  std::string holder_;
  MonotonicTime orderedAt_ = kNever;
  ModelName loadModel_;
  WeightsVersion loadVersion_;
  MonotonicTime loadEnds_ = kForever;
  bool cuts_ = false;
  std::set<std::string> isolated_;
  std::map<std::string, int> beganIds_;
  std::map<std::string, std::uint64_t> violations_;
  std::int64_t tokensRead_ = 0, tokensMoved_ = 0;
};

}  // namespace peppergate
