#pragma once
// A router's registry of engines: their discovered attributes and the state that traffic reveals.
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/options.h"
#include "core/outbox.h"
#include "engines/engine.h"
#include "requests/placer.h"

namespace peppergate {

/// The load that another router reported for its own requests at one engine.
struct PeerLoad {
  std::int64_t running = 0, prefillTokens = 0;
  MonotonicTime receivedAt;
};

/// The state of one engine as this router sees it.
struct EngineState {
  Engine listed;
  MonotonicTime warmUntil = kNever;        // still warming up until then
  std::int64_t ownRunning = 0;             // this router's requests in progress there
  std::int64_t ownPrefillTokens = 0;       // prompt tokens of those without a first event
  std::map<MemberId, PeerLoad> peerLoads;  // load reported by other routers
  std::optional<EngineLoad> reportedLoad;  // load that its newest response reported
  MonotonicTime reportedLoadAt = kNever;
  std::int64_t sentSinceReport = 0, endedSinceReport = 0, prefillTokensSinceReport = 0;
  MonotonicTime ejectedUntil = kNever;  // ejected until then after failures
  MonotonicTime fullUntil = kNever;     // it reported that it is at capacity
  int consecutiveFailures = 0;
  bool loading = false;                        // ordered to load new weights; takes no requests
  std::map<ModelName, WeightsVersion> models;  // newest versions from discovery or a response
  double firstEventMs = 0, eventGapMs = 0;     // smoothed measurements
  int consecutiveCloses = 0;  // responses that closed the connection; it may be shutting down

  // Outlier detection.
  MonotonicTime lastFailureAt = kNever;           // its last failure
  MonotonicTime lastCountedFailureAt = kNever;    // its last counted failure
  Duration unreachableEjection, failureEjection;  // the next ejection lasts twice as long
  bool ejectedByFailures = false;
  bool onTrial = false;  // back from an ejection: limited to one request until that succeeds
  MonotonicTime trialStartedAt = kNever;   // when that request was sent
  MonotonicTime addressReusedAt = kNever;  // when another engine was found at its address
  MonotonicTime lastResortUntil = kNever;  // used although ejected: its service has no other
  std::map<Address, MonotonicTime> failureReporters;  // reporting routers
  std::uint64_t failuresToReport = 0, answersToReport = 0;
  bool unreachableToReport = false;
};

/// How an attempt ended, for outlier detection.
enum class AttemptOutcome : std::uint8_t {
  kSuccess,
  kUnreachable,
  kConnectionBroken,
  kInvalidResponse,
  kTimeout,
  kAtCapacity,
  kWrongEngine,
  kClientDisconnected
};

/// The engines of all services, with their estimated load and the ejection of failing ones.
class EngineRegistry final : public EngineTrafficRecorder {
 public:
  explicit EngineRegistry(const Options& options) : options_(options) {}
  EngineRegistry(const EngineRegistry&) = delete;  // holds pointers to its own members
  EngineRegistry& operator=(const EngineRegistry&) = delete;
  /// Replaces the list of discovered engines. Engines that are not on it are removed.
  void update(const std::vector<Engine>& engines, ListVersion version, MonotonicTime now);
  /// Sets which engines are loading new weights; all others are not.
  void setLoading(const std::vector<EngineId>& engines, MonotonicTime now);
  /// Drops expired load reports of other routers and records the time. Called on each tick.
  void tick(MonotonicTime now);
  /// Whether requests may be sent there: listed, not draining, not loading and not ejected.
  bool usable(const EngineState& engine, MonotonicTime now) const;
  /// All engines of a service, ordered by id.
  const std::vector<EngineState*>& enginesOf(const ServiceName& service) const;
  EngineState* find(const EngineId& engine);
  const EngineState* find(const EngineId& engine) const;
  ListVersion version() const { return version_; }
  MonotonicTime listedAt() const { return listedAt_; }
  /// Records that the list was confirmed as current at this time, by an update without a list.
  void confirm(MonotonicTime when);
  std::size_t size() const { return engines_.size(); }

  /// Estimated number of prompt tokens that wait for prefill there. The amounts that other routers
  /// reported decay with their age at the rate at which first events arrive.
  double queuedPrefillTokens(const EngineState& engine, MonotonicTime now) const;
  /// Estimated number of requests running or waiting there: the load that the engine reported,
  /// corrected by the attempts sent and ended since, and blended with what the routers reported as
  /// it ages.
  double runningRequests(const EngineState& engine, MonotonicTime now) const;

  /// Records an attempt that needs prefill of this many tokens. Called before OpenAttempt.
  void recordAttemptSent(const EngineId& engine, std::int64_t prefillTokens) override;
  /// Records that the response head or first event of an attempt arrived.
  void recordFirstEvent(const EngineId& engine, std::int64_t prefillTokens,
                        Duration elapsed) override;
  /// Records the gap between two events of a stream.
  void recordEventGap(const EngineId& engine, Duration gap);
  /// Records the end of an attempt. `hadFirst`: its first event had arrived.
  void recordAttemptEnded(const EngineId& engine, AttemptOutcome outcome,
                          std::int64_t prefillTokens, bool hadFirst, MonotonicTime now) override;
  /// Records the load or the weights version that the engine reported in a response head.
  void recordLoad(const EngineId& engine, const EngineLoad& load, MonotonicTime now) override;
  void recordVersion(const EngineId& engine, const ModelName& model,
                     WeightsVersion version) override;
  /// Records whether a response closed its connection. Engines do so occasionally, so this ejects
  /// none; it may break ties between otherwise equal engines.
  void recordConnectionClose(const EngineId& engine, bool closed);
  bool mayBeShuttingDown(const EngineState& engine) const { return engine.consecutiveCloses >= 3; }
  /// Takes another router's report of failures or of load.
  void handle(const Address& from, const EngineFailureReport& trouble, MonotonicTime now);
  void handle(const EngineUsageNotification& use, MonotonicTime now);
  /// The reports for other routers; nothing if nothing changed. Called every half second.
  std::optional<EngineUsageNotification> loadReport(MemberId self);
  std::vector<EngineFailureReport> takeFailureReports();
  void reload(const Options& options) { options_ = options; }

 private:
  struct Service {
    std::vector<EngineState*> engines;  // ordered by id
    EngineState* lastResort = nullptr;
  };
  bool isEligible(const EngineState& engine) const;
  bool mayEject(const EngineState& engine, MonotonicTime now) const;
  void countFailure(EngineState& engine, bool confirmed, MonotonicTime now);
  void eject(EngineState& engine, Duration& length, Duration first, MonotonicTime now);
  void chooseLastResort(Service& service, MonotonicTime now);
  void chooseLastResort(const EngineState& engine, MonotonicTime now);
  void addPeerLoads(const EngineUsageNotification& use, MonotonicTime heard);
  void removePeerLoads(const EngineUsageNotification& use);

  Options options_;
  ListVersion version_;
  MonotonicTime listedAt_ = kNever;
  std::map<EngineId, EngineState> engines_;
  std::map<ServiceName, Service> byService_;
  struct PeerReport {
    MonotonicTime heard;
    EngineUsageNotification use;
  };
  std::map<MemberId, PeerReport> peerReports_;
  std::vector<EngineId> loadingEngines_;
  std::set<EngineId> enginesWithFailures_;  // with failures to report
  EngineUsageNotification lastLoadReport_;
  bool repeatLoadReport_ = false;
  MonotonicTime now_ = kNever;       // time of the last tick
  double meanPrefillTokens_ = 1000;  // prompt tokens of one attempt, smoothed
  double meanFirstEventMs_ = 0;      // milliseconds to the first event of an attempt, smoothed
};

}  // namespace peppergate
