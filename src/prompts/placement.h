#pragma once
// Selects the engine for a request, and the source from which it fetches cached prefix blocks.
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/fetch_desk.h"
#include "core/random.h"
#include "engines/engine_book.h"
#include "engines/weight_namings.h"
#include "prompts/part_index.h"
#include "prompts/reading_speed.h"
#include "requests/events.h"
#include "requests/placer.h"

namespace peppergate {

/// The requirements of a request on its engine.
struct PlacementAsk {
  RequestId request;
  const Route* route = nullptr;
  ServiceName service;
  ModelName model;
  TenantId tenant;
  bool isolated = false;
  int urgency = 0;  // from 0, the most urgent, to 9
  std::span<const PartSize> parts;
  std::int64_t tokensIn = 0, tokensOut = 0;
  Duration timeLeft;
  std::span<const EngineId> tried;  // engines of earlier attempts, excluded
};

/// The placement of one attempt. `salt` contains the cache domain and the weights version, so
/// that no engine reuses a block across them.
struct Placed {
  EngineId engine;
  Address address;
  std::optional<WeightsVersion> version;
  std::string salt;
  std::optional<Address> collectFrom, depositAt;
  std::int64_t toRead = 0;  // prompt tokens that need prefill
  Duration forecast;        // expected time until the first event
};

enum class PlaceFault : std::uint8_t { kNoEngine, kFull };

/// Why a request was rejected, and after which time it should be retried.
struct PlaceRefusal {
  PlaceFault fault = PlaceFault::kNoEngine;
  Duration comeBack;
};

/// Selects the engine with the lowest cost, weighing its cached blocks against queues, batches and
/// block fetches.
class Placement final : public Placer {
 public:
  Placement(const Options& options, EngineBook& book, PartIndex& index, FetchDesk& fetches,
            Random& random);
  /// Sets the zone of this router. Engines in other zones cost slightly more.
  void in(Zone zone) { zone_ = std::move(zone); }
  /// Sets the rate levels and classes configured by the operators.
  void take(const Setup& setup);
  /// Selects the engine for one attempt, or says why there is none.
  std::variant<Placed, PlaceRefusal> place(const PlacementAsk& ask, const FleetConfig& config,
                                           const Weights& weights, MonotonicTime now,
                                           Outbox& outbox) override;
  /// Records the time to the first event, which also ends a planned block fetch.
  void firstEvent(RequestId request, Duration took, MonotonicTime now, Outbox& outbox) override;
  /// Records that the attempt ended without a first event.
  void dropped(RequestId request) override;
  /// The prompt tokens that need prefill when this many are cached.
  static std::int64_t toRead(const PlacementAsk& ask, std::int64_t kept);
  /// Applies changes of the engine list and the configuration, and recomputes the fetch plan when
  /// due. Called on each tick.
  void tick(const FleetConfig& config, MonotonicTime now, Outbox& outbox);
  /// Records the current target weights. `since` is a lower bound for the time at which new targets
  /// among them were set; `kNever` if that is unknown.
  void named(const Weights& weights, MonotonicTime since, MonotonicTime now);
  /// Extends the grace time of engines on older weights by a period without a leader, in which no
  /// weights could be loaded.
  void withoutLeader(Duration silence) { namings_.postpone(silence); }
  /// Restarts the grace time of older weights after a control failure, which ended at this moment.
  void coreRestarted(MonotonicTime moment) { namings_.restart(moment); }
  /// Updates the link rates from the services' configuration.
  void links(const FleetConfig& config);
  /// The report of this router's fetches for the other routers. Called every half second.
  UsageNotification note(MemberId self, MonotonicTime now) {
    return fetches_.note(self, plan_, now);
  }
  /// Handles another router's report of its fetches.
  void hear(const UsageNotification& note, MonotonicTime now) { fetches_.hear(note, now); }
  /// Accessors for tests and the status page.
  const ReadingSpeed& speed() const { return speed_; }
  const Setup& plan() const { return plan_; }

 private:
  struct Choice;
  struct Prompt;
  struct Survey;
  struct Service {  // hashes of its engines, in the registry's order
    ListVersion version;
    std::vector<std::uint64_t> points;
    std::vector<std::uint32_t> byPoint;
  };
  struct Pending {
    EngineId engine;
    ServiceName service;
    double waitMs = 0, readMs = 0, tokens = 0;
    bool collects = false;
  };
  const Service& service(const ServiceName& name);
  void consider(Survey& survey, std::size_t place);
  void surveyAll(Survey& survey);
  void surveySome(Survey& survey);
  void survey(Survey& survey);
  std::uint64_t homeKey(const Survey& survey) const;
  void priceParts(Survey& survey, Choice& choice, bool mayCollect);
  void rate(Survey& survey, bool mayCollect);
  const Choice* best(const Survey& survey) const;
  Prompt& promptOf(Survey& survey, WeightsVersion version);
  bool sourceUsable(const EngineId& source, MonotonicTime now) const;
  std::optional<Address> addressOf(const EngineId& source) const;
  Zone zoneOf(const EngineId& source) const;
  bool planMove(Survey& survey, const Choice& choice, Placed& placed, Outbox& outbox);
  Placed settled(Survey& survey, const Choice& choice, Placed placed, Outbox& outbox);
  /// Whether a request that starts within this time may run on an engine with this version.
  bool mayServe(const Survey& survey, WeightsVersion version, Duration beginsWithin) const;
  PlaceRefusal refusal(const Survey& survey, Outbox& outbox);

  Options options_;
  EngineBook& book_;
  PartIndex& index_;
  FetchDesk& fetches_;
  Random& random_;
  Zone zone_;
  std::optional<StoreShape> store_;
  Setup operators_, plan_;  // as configured, and as in effect
  ConfigVersion configVersion_;
  ListVersion listVersion_;
  bool linked_ = false;
  ReadingSpeed speed_;
  std::map<ServiceName, Service> services_;
  WeightNamings namings_;
  std::unordered_map<std::uint64_t, Pending> pending_;  // by request id
};

}  // namespace peppergate
