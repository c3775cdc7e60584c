#pragma once
// What a front knows of every engine: the list's word, and what traffic showed.
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

/// What another front noted of its own requests at one engine.
struct NotedUse {
  std::int64_t running = 0, prefillTokens = 0;
  MonotonicTime heard;
};

/// One engine as this front sees it now.
struct EngineState {
  Engine listed;
  MonotonicTime warmUntil = kNever;    // it is slow from its start until then
  std::int64_t ownRunning = 0;         // requests of this front under way there
  std::int64_t ownPrefillTokens = 0;   // of those without a first event, tokens to be read
  std::map<MemberId, NotedUse> noted;  // by other fronts
  std::optional<EngineLoad> told;      // by its newest answer
  MonotonicTime toldAt = kNever;
  std::int64_t sentSinceTold = 0, endedSinceTold = 0, tokensSinceTold = 0;
  MonotonicTime restUntil = kNever;  // it was seen to fail
  MonotonicTime fullUntil = kNever;  // it said that it is full
  int strikes = 0;
  bool loading = false;                        // new weights are ordered: it takes no requests
  std::map<ModelName, WeightsVersion> models;  // newest word: the list's or an answer's
  double firstEventMs = 0, eventGapMs = 0;     // smoothed, as seen
  int closesInARow = 0;  // answers that ended their connection; a hint that it may be leaving

  // Outlier handling.
  MonotonicTime failedAt = kNever;       // its last failure
  MonotonicTime struckAt = kNever;       // its last strike
  Duration unreachableRest, strikeRest;  // the next rest is twice as long
  bool restsByStrikes = false;
  bool trial = false;                         // back from a rest: one request until it does well
  MonotonicTime trialSince = kNever;          // when that one was sent
  MonotonicTime otherAt = kNever;             // its address belongs to another engine
  MonotonicTime lastResortUntil = kNever;     // nothing else of its service is up: it is used
  std::map<Address, MonotonicTime> accusers;  // fronts that could not reach it
  std::uint64_t failuresToTell = 0, answersToTell = 0;
  bool unreachableToTell = false;
};

/// How an attempt ended, as far as the engine is to be blamed.
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

/// Example: `book.take(engines, version, now); for (auto* e : book.of(service)) ...`
class EngineBook final : public EngineLedger {
 public:
  explicit EngineBook(const Options& options) : options_(options) {}
  EngineBook(const EngineBook&) = delete;  // it points into itself
  EngineBook& operator=(const EngineBook&) = delete;
  /// A newer list. Engines not on it are gone. Example: see the class.
  void take(const std::vector<Engine>& engines, ListVersion version, MonotonicTime now);
  /// Engines that load new weights now; no others do. Example: `loading(lister.loadingNow(), now)`.
  void loading(const std::vector<EngineId>& engines, MonotonicTime now);
  /// Forgets what other fronts noted too long ago, and tells the time. Example: each tick.
  void tick(MonotonicTime now);
  /// Whether a front may send there: listed, not draining, not loading, not resting.
  bool usable(const EngineState& engine, MonotonicTime now) const;
  /// All engines of a service, in the order of their ids. Example: see the class.
  const std::vector<EngineState*>& of(const ServiceName& service) const;
  EngineState* find(const EngineId& engine);
  const EngineState* find(const EngineId& engine) const;
  ListVersion version() const { return version_; }
  MonotonicTime listedAt() const { return listedAt_; }
  /// The list was confirmed to be the newest. Example: on a DiscoveredEnginesUpdate without a list.
  void confirmed(MonotonicTime when);
  std::size_t size() const { return engines_.size(); }

  /// Tokens that wait to be read there, as far as known. What others noted is taken to be read on
  /// since then, as fast as first events come. Example: `queueTokens(*engine, now) / speed`.
  double queueTokens(const EngineState& engine, MonotonicTime now) const;
  /// Requests there, running or waiting: what it told, aged by what went on since, weighed
  /// against what fronts noted. Example: `running(*engine, now) < engine->listed.slots`.
  double running(const EngineState& engine, MonotonicTime now) const;

  /// An attempt goes out with so many tokens to be read. Example: before OpenAttempt.
  void sent(const EngineId& engine, std::int64_t prefillTokens) override;
  /// Its head or first event came. Example: `book.firstEvent(engine, tokens, took)`.
  void firstEvent(const EngineId& engine, std::int64_t prefillTokens, Duration took) override;
  /// A later event of a stream came after so long. Example: `book.eventGap(engine, gap)`.
  void eventGap(const EngineId& engine, Duration gap);
  /// It is over. `hadFirst`: its first event had come. Example: on kEnded.
  void ended(const EngineId& engine, AttemptEnd how, std::int64_t prefillTokens, bool hadFirst,
             MonotonicTime now) override;
  /// The engine told its load, or the versions of its weights. Example: with a head.
  void told(const EngineId& engine, const EngineLoad& load, MonotonicTime now) override;
  void toldVersion(const EngineId& engine, const ModelName& model, WeightsVersion version) override;
  /// Whether its answer ended the connection. Engines do so now and then, so that this takes none
  /// out; a choice between equals may mind it. Example: `closes(engine, head.leaving)`.
  void closes(const EngineId& engine, bool leaving);
  bool mayBeLeaving(const EngineState& engine) const { return engine.closesInARow >= 3; }
  /// Another front's note. Example: on EngineTrouble, EngineUse.
  void hear(const Address& from, const EngineTrouble& trouble, MonotonicTime now);
  void hear(const EngineUse& use, MonotonicTime now);
  /// What to tell other fronts; nothing if nothing changed. Example: each half second.
  std::optional<EngineUse> use(MemberId self);
  std::vector<EngineTrouble> troubles();
  void reload(const Options& options) { options_ = options; }

 private:
  struct Service {
    std::vector<EngineState*> engines;  // in the order of their ids
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
  std::set<EngineId> troubled_;  // with something to tell
  EngineUse lastUse_;
  bool repeatUse_ = false;
  MonotonicTime now_ = kNever;  // of the last tick
  double prefillMean_ = 1000;   // tokens of one attempt, smoothed
  double firstEventMean_ = 0;   // milliseconds to the first event of an attempt, smoothed
};

}  // namespace peppergate
