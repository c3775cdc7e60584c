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
struct NotedUse {
  std::int64_t running = 0, prefillTokens = 0;
  MonotonicTime heard;
};

/// The state of one engine as this router sees it.
struct EngineState {
  Engine listed;
  MonotonicTime warmUntil = kNever;    // still warming up until then
  std::int64_t ownRunning = 0;         // this router's requests in progress there
  std::int64_t ownPrefillTokens = 0;   // prompt tokens of those without a first event
  std::map<MemberId, NotedUse> noted;  // load reported by other routers
  std::optional<EngineLoad> told;      // load that its newest response reported
  MonotonicTime toldAt = kNever;
  std::int64_t sentSinceTold = 0, endedSinceTold = 0, tokensSinceTold = 0;
  MonotonicTime restUntil = kNever;  // ejected until then after failures
  MonotonicTime fullUntil = kNever;  // it reported that it is at capacity
  int strikes = 0;
  bool loading = false;                        // ordered to load new weights; takes no requests
  std::map<ModelName, WeightsVersion> models;  // newest versions from discovery or a response
  double firstEventMs = 0, eventGapMs = 0;     // smoothed measurements
  int closesInARow = 0;  // responses that closed the connection; it may be shutting down

  // Outlier detection.
  MonotonicTime failedAt = kNever;       // its last failure
  MonotonicTime struckAt = kNever;       // its last counted failure
  Duration unreachableRest, strikeRest;  // the next ejection lasts twice as long
  bool restsByStrikes = false;
  bool trial = false;  // back from an ejection: limited to one request until that succeeds
  MonotonicTime trialSince = kNever;          // when that request was sent
  MonotonicTime otherAt = kNever;             // when another engine was found at its address
  MonotonicTime lastResortUntil = kNever;     // used although ejected: its service has no other
  std::map<Address, MonotonicTime> accusers;  // reporting routers
  std::uint64_t failuresToTell = 0, answersToTell = 0;
  bool unreachableToTell = false;
};

/// How an attempt ended, for outlier detection.
enum class AttemptEnd : std::uint8_t {
  kGood,
  kUnreachable,
  kBroken,
  kGarbled,
  kSilent,
  kFull,
  kOtherEngine,
  kClientGone
};

/// The engines of all services, with their estimated load and the ejection of failing ones.
class EngineBook final : public EngineLedger {
 public:
  explicit EngineBook(const Options& options) : options_(options) {}
  EngineBook(const EngineBook&) = delete;  // holds pointers to its own members
  EngineBook& operator=(const EngineBook&) = delete;
  /// Replaces the list of discovered engines. Engines that are not on it are removed.
  void take(const std::vector<Engine>& engines, ListVersion version, MonotonicTime now);
  /// Sets which engines are loading new weights; all others are not.
  void loading(const std::vector<EngineId>& engines, MonotonicTime now);
  /// Drops expired load reports of other routers and records the time. Called on each tick.
  void tick(MonotonicTime now);
  /// Whether requests may be sent there: listed, not draining, not loading and not ejected.
  bool usable(const EngineState& engine, MonotonicTime now) const;
  /// All engines of a service, ordered by id.
  const std::vector<EngineState*>& of(const ServiceName& service) const;
  EngineState* find(const EngineId& engine);
  const EngineState* find(const EngineId& engine) const;
  ListVersion version() const { return version_; }
  MonotonicTime listedAt() const { return listedAt_; }
  /// Records that the list was confirmed as current at this time, by an update without a list.
  void confirmed(MonotonicTime when);
  std::size_t size() const { return engines_.size(); }

  /// Estimated number of prompt tokens that wait for prefill there. The amounts that other routers
  /// reported decay with their age at the rate at which first events arrive.
  double queueTokens(const EngineState& engine, MonotonicTime now) const;
  /// Estimated number of requests running or waiting there: the load that the engine reported,
  /// corrected by the attempts sent and ended since, and blended with what the routers reported as
  /// it ages.
  double running(const EngineState& engine, MonotonicTime now) const;

  /// Records an attempt that needs prefill of this many tokens. Called before OpenAttempt.
  void sent(const EngineId& engine, std::int64_t prefillTokens) override;
  /// Records that the response head or first event of an attempt arrived.
  void firstEvent(const EngineId& engine, std::int64_t prefillTokens, Duration took) override;
  /// Records the gap between two events of a stream.
  void eventGap(const EngineId& engine, Duration gap);
  /// Records the end of an attempt. `hadFirst`: its first event had arrived.
  void ended(const EngineId& engine, AttemptEnd how, std::int64_t prefillTokens, bool hadFirst,
             MonotonicTime now) override;
  /// Records the load or the weights version that the engine reported in a response head.
  void told(const EngineId& engine, const EngineLoad& load, MonotonicTime now) override;
  void toldVersion(const EngineId& engine, const ModelName& model, WeightsVersion version) override;
  /// Records whether a response closed its connection. Engines do so occasionally, so this ejects
  /// none; it may break ties between otherwise equal engines.
  void closes(const EngineId& engine, bool leaving);
  bool mayBeLeaving(const EngineState& engine) const { return engine.closesInARow >= 3; }
  /// Takes another router's report of failures or of load.
  void hear(const Address& from, const EngineTrouble& trouble, MonotonicTime now);
  void hear(const EngineUse& use, MonotonicTime now);
  /// The reports for other routers; nothing if nothing changed. Called every half second.
  std::optional<EngineUse> use(MemberId self);
  std::vector<EngineTrouble> troubles();
  void reload(const Options& options) { options_ = options; }

 private:
  struct Service {
    std::vector<EngineState*> engines;  // ordered by id
    EngineState* lastResort = nullptr;
  };
  bool offered(const EngineState& engine) const;
  bool mayStrikeOut(const EngineState& engine, MonotonicTime now) const;
  void strike(EngineState& engine, bool certain, MonotonicTime now);
  void rest(EngineState& engine, Duration& length, Duration first, MonotonicTime now);
  void chooseLastResort(Service& service, MonotonicTime now);
  void chooseLastResort(const EngineState& engine, MonotonicTime now);
  void addNoted(const EngineUse& use, MonotonicTime heard);
  void removeNoted(const EngineUse& use);

  Options options_;
  ListVersion version_;
  MonotonicTime listedAt_ = kNever;
  std::map<EngineId, EngineState> engines_;
  std::map<ServiceName, Service> byService_;
  struct Noted {
    MonotonicTime heard;
    EngineUse use;
  };
  std::map<MemberId, Noted> noted_;
  std::vector<EngineId> loading_;
  std::set<EngineId> troubled_;  // with failures to report
  EngineUse lastUse_;
  bool repeatUse_ = false;
  MonotonicTime now_ = kNever;  // time of the last tick
  double prefillMean_ = 1000;   // prompt tokens of one attempt, smoothed
  double firstEventMean_ = 0;   // milliseconds to the first event of an attempt, smoothed
};

}  // namespace peppergate
