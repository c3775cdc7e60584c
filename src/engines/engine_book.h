#pragma once
// What a front knows of every engine: the list's word, and what traffic showed.
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/outbox.h"
#include "core/props.h"
#include "engines/engine.h"

namespace peppergate {

/// One engine as this front sees it now.
struct EngineState {
  Engine listed;
  std::int64_t ownRunning = 0;      // requests of this front under way there
  std::int64_t ownPrefillTokens = 0;  // of those without a first event, tokens to be read
  std::int64_t othersRunning = 0;     // as other fronts noted
  std::int64_t othersPrefillTokens = 0;
  std::optional<EngineLoad> told;     // by its newest answer
  MonotonicTime toldAt = kNever;
  std::int64_t sentSinceTold = 0;
  MonotonicTime restUntil = kNever;   // it was seen to fail
  int strikes = 0;
  bool loading = false;               // new weights are ordered: it takes no requests
  std::map<ModelName, WeightsVersion> models;  // newest word: the list's or an answer's
  double firstEventMs = 0, eventGapMs = 0;     // smoothed, as seen
};

/// How an attempt ended, as far as the engine is to be blamed.
enum class AttemptEnd : std::uint8_t { kGood, kUnreachable, kBroken, kGarbled, kSilent, kFull,
                                       kOtherEngine, kClientGone };

/// Example: `book.take(engines, version, now); for (auto* e : book.of(service)) ...`
class EngineBook {
 public:
  explicit EngineBook(const Props& props) : props_(props) {}
  /// A newer list. Engines not on it are gone. Example: see the class.
  void take(const std::vector<Engine>& engines, ListVersion version, MonotonicTime now);
  /// Whether a front may send there: listed, not draining, not loading, not resting.
  bool usable(const EngineState& engine, MonotonicTime now) const;
  /// All engines of a service, in the order of their ids. Example: see the class.
  const std::vector<EngineState*>& of(const ServiceName& service) const;
  EngineState* find(const EngineId& engine);
  const EngineState* find(const EngineId& engine) const;
  ListVersion version() const { return version_; }
  MonotonicTime listedAt() const { return listedAt_; }
  /// The list was confirmed to be the newest. Example: on a RosterNews without a list.
  void confirmed(MonotonicTime when);
  std::size_t size() const { return engines_.size(); }

  /// An attempt goes out with so many tokens to be read. Example: before OpenAttempt.
  void sent(const EngineId& engine, std::int64_t prefillTokens);
  /// Its head or first event came. Example: `book.firstEvent(engine, tokens, took)`.
  void firstEvent(const EngineId& engine, std::int64_t prefillTokens, Duration took);
  /// It is over. `hadFirst`: its first event had come. Example: on kEnded.
  void ended(const EngineId& engine, AttemptEnd how, std::int64_t prefillTokens, bool hadFirst,
             MonotonicTime now);
  /// The engine told its load, or the versions of its weights. Example: with a head.
  void told(const EngineId& engine, const EngineLoad& load, MonotonicTime now);
  void toldVersion(const EngineId& engine, const ModelName& model, WeightsVersion version);
  /// Another front's note. Example: on EngineTrouble, EngineUse.
  void hear(const EngineTrouble& trouble, MonotonicTime now);
  void hear(const EngineUse& use, MonotonicTime now);
  /// What to tell other fronts; nothing if nothing changed. Example: each half second.
  std::optional<EngineUse> use(MemberId self);
  std::vector<EngineTrouble> troubles();
  void reload(const Props& props) { props_ = props; }

 private:
  Props props_;
  ListVersion version_;
  MonotonicTime listedAt_ = kNever;
  std::map<EngineId, EngineState> engines_;
  std::map<ServiceName, std::vector<EngineState*>> byService_;
  struct Noted {
    MonotonicTime heard;
    EngineUse use;
  };
  std::map<MemberId, Noted> noted_;
  std::map<EngineId, EngineTrouble> troubles_;
};

}  // namespace peppergate
