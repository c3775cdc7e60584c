#pragma once
// The state behind the fetch plan: link capacities, the link use of other routers, running fetches,
// and how often the rung of a tenant may change.
#include <map>
#include <tuple>
#include <vector>

#include "core/engine_list.h"
#include "core/fetch_plan.h"
#include "core/link_usage_table.h"
#include "core/outbox.h"

namespace peppergate {

/// A fetch of cached prompt parts by an engine; it runs until the stream's first event.
struct Fetch {
  PlanStream planStream;
  TenantId tenant;
  std::string className;
  EngineId source;
  LinkId bottleneck;  // the link whose group it belongs to
  std::int64_t rung = 0;
  double rate = 0;
  double topRate = 0;
  double megabytes = 0;
  MonotonicTime sentAt;
  bool assumedDelivered = false;  // sent so long ago that it must be over
  bool reserved = false;          // on each of its links
};

/// The listed capacity of a link, in megabytes per second, and its zone. Without a zone, transfers
/// over the link have a weight of 1.
struct LinkConfig {
  double capacity = 0;
  Zone zone;
};

/// What this router knows of one link: its capacity and the transfers over it.
struct LinkState {
  double listedCapacity = 0;  // megabytes per second, from the platform's list
  double usableFraction = 0;  // of the listed capacity that the plan uses; rises from 0.75 to 0.95
  double capacityCut = 0;     // taken off after a slow delivery; decays over time
  MonotonicTime capacityCutAt = kNever;
  bool usedSinceRun = false;
  bool slowSinceRun = false;
  double unreportedShortfall = 0;  // of the last slow delivery, as a fraction
  Zone zone;
  double sharedCapacity = 0;    // for all routers together, as of the last rerun
  double othersRate = 0;        // used by other routers, as of the last rerun
  double reservedRate = 0;      // of the fetches reserved here, times their weights
  double pendingMegabytes = 0;  // of these fetches, times their weights
};

/// Plans fetches over links that all routers share, and chooses the rung of each fetch: its step of
/// the ladder of transfer rates. A fetch is started or reserved, and ends at the first event of its
/// stream.
class FetchPlanner {
 public:
  explicit FetchPlanner(const Options& options) : options_(options) {}

  /// Updates the links from a new engine list.
  void updateLinks(const EngineList& list);
  /// Updates the links from capacities that the configuration of services gives.
  void updateLinks(const std::map<LinkId, LinkConfig>& configured);
  /// Sets the region of each zone. A transfer between regions has a weight of ten, one between
  /// zones of one region a weight of two.
  void setRegions(std::map<Zone, std::string> regions) { regions_ = std::move(regions); }
  /// The weight of a transfer between two zones: 1 within a zone, 2 within a region, otherwise 10.
  int transferWeight(const Zone& from, const Zone& to) const;
  /// The link of an engine or the store. Example: `linkOf({"e1"}).value == "engine:e1"`.
  static LinkId linkOf(const EngineId& engine) { return {"engine:" + engine.value}; }
  /// The links that a transfer from a source to an engine crosses.
  static std::vector<LinkId> pathOf(const EngineList& list, const EngineId& source,
                                    const EngineId& engine);
  /// The holder whose path to the engine has the most free capacity; nothing if there is none.
  std::optional<EngineId> selectSource(std::span<const EngineId> holders, const EngineList& list,
                                       const EngineId& engine, const Setup& setup,
                                       MonotonicTime now);
  /// The same where each engine has a link of its own, from reserved and reported rates. Takes time
  /// in proportion to the number of holders.
  std::optional<EngineId> selectSource(std::span<const EngineId> holders,
                                       const EngineId& engine) const;
  /// Seconds that a new transfer over the engine's link would wait for this router's pending ones.
  double waitSeconds(const EngineId& engine) const;
  /// Reserves a transfer at the levels that the last rerun derived from all routers' reports.
  /// Returns its rung, or nothing if not even its floor rung fits; nothing is reserved then. Takes
  /// time in proportion to the length of the path.
  std::optional<std::int64_t> reserve(Fetch fetch, const Setup& setup, MonotonicTime now,
                                      Outbox& outbox);
  /// Starts the fetch of a new stream: reruns the plan with it and returns its rung.
  std::int64_t start(Fetch fetch, const Setup& setup, MonotonicTime now, Outbox& outbox);
  /// Ends a fetch at the first event of its stream. A delivery slower than planned lowers the
  /// capacity that the plan assumes of its bottleneck link.
  void handleFirstEvent(StreamId stream, Duration baseline, MonotonicTime now, Outbox& outbox);
  /// Removes the fetch of a stream, also of one that ended before its first event.
  void remove(StreamId stream);
  /// Records the link use and slow deliveries that a router reports.
  void record(const LinkUsageNotification& notification, MonotonicTime now);
  /// Requests a rerun of the plan, after new snapshots of engines.
  void requestRerun() { rerunRequested_ = true; }
  /// Reruns the plan when due. Called on each tick.
  void tick(const Setup& setup, MonotonicTime now, Outbox& outbox);
  /// The notification of this router's link use for the other routers; it is recorded here, too.
  LinkUsageNotification makeNotification(MemberId self, const Setup& setup, MonotonicTime now);

  const FetchPlan& plan() const { return plan_; }
  /// The capacity of a link that this router by itself finds usable now.
  double capacity(const LinkId& link, MonotonicTime now) const;
  std::size_t activeFetches() const { return fetches_.size(); }
  /// How often the rung of a tenant over a bottleneck link has changed.
  std::uint64_t rungChanges() const { return rungChanges_; }
  void reload(const Options& options) { options_ = options; }

 private:
  struct RungState {
    std::int64_t rung = 0;
    MonotonicTime changedAt = kNever;
  };
  /// Identifies streams of one kind over one path: links, class, floor rung and top rung.
  using StreamKindKey = std::tuple<std::vector<LinkId>, std::string, std::int64_t, std::int64_t>;
  static StreamKindKey kindOf(const Fetch& fetch);
  double pathWeight(const std::vector<LinkId>& path) const;
  double freeCapacity(const LinkId& link) const;
  const GroupResult* groupOf(const std::vector<LinkId>& path) const;
  void updateReservations(const Fetch& fetch, double sign);
  void refreshLinks(MonotonicTime now);
  void updateStreamCounts(MonotonicTime now);
  LinkUsageNotification buildNotification(MemberId self, MonotonicTime now) const;
  /// State and capacity of each link by its number in the table of notifications; a null state
  /// means that the link is not listed here.
  struct NumberedLinks {
    std::vector<const LinkState*> states;
    std::vector<double> capacities;
  };
  NumberedLinks numberedLinks(MonotonicTime now) const;
  double streamWeight(const NumberedLinks& links, const StreamKind& kind) const;
  std::vector<StreamKindCount> raisedStreamCounts(MonotonicTime now) const;
  PlanStream makePlanStream(const Setup& setup, const std::string& className,
                            std::int64_t floorRung, std::int64_t topRung) const;
  double capacityOf(const LinkState& state, const LinkTotal* total) const;
  FetchPlan planAllStreams(const Setup& setup, const Fetch* joining, MonotonicTime now) const;
  double easedCut(const LinkState& state, MonotonicTime now) const;
  double capacityForAll(const LinkId& link, MonotonicTime now) const;
  void rerun(const Setup& setup, MonotonicTime now, Outbox& outbox);
  double othersUse(const LinkId& link, double linkCapacity, double ownDemand,
                   MonotonicTime now) const;
  double ownDemand(const LinkId& link) const;
  std::int64_t limitRungChanges(const Fetch& fetch, std::int64_t rung, const LinkId& bottleneck,
                                MonotonicTime now, Outbox& outbox);

  Options options_;
  std::map<LinkId, LinkState> links_;
  std::map<StreamId, Fetch> fetches_;
  LinkUsageTable usageTable_;  // of all routers, this one included
  std::map<StreamKindKey, double> streamCounts_;
  MonotonicTime smoothedAt_ = kNever;
  std::map<std::pair<TenantId, LinkId>, RungState> rungStates_;
  FetchPlan plan_;
  std::map<LinkId, std::size_t> groups_;  // indexes into the plan's groups
  std::map<Zone, std::string> regions_;
  bool rerunRequested_ = false;
  MonotonicTime nextRun_{}, lastRun_ = kNever;
  std::uint64_t rungChanges_ = 0;
};

}  // namespace peppergate
