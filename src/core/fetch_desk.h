#pragma once
// The state behind the fetch plan: link capacities, the link use of other routers, running fetches,
// and how often the rung of a tenant may change.
#include <map>
#include <tuple>
#include <vector>

#include "core/engine_list.h"
#include "core/fetch_plan.h"
#include "core/link_notes.h"
#include "core/outbox.h"

namespace peppergate {

/// A fetch of cached prompt parts by an engine; it runs until the stream's first event.
struct Fetch {
  PlanStream want;
  TenantId tenant;
  std::string className;
  EngineId source;
  LinkId bottleneck;  // the link whose group it belongs to
  std::int64_t rung = 0;
  double rate = 0;
  double topRate = 0;
  double megabytes = 0;
  MonotonicTime sent;
  bool arrived = false;  // sent so long ago that it must be over
  bool joined = false;   // on each of its links
};

/// The listed capacity of a link, in megabytes per second, and its zone. Without a zone, transfers
/// over the link have a weight of 1.
struct LinkTold {
  double size = 0;
  Zone zone;
};

/// What this router knows of one link: its capacity and the transfers over it.
struct LinkBook {
  double told = 0;      // megabytes per second, from the platform's list
  double fraction = 0;  // of the listed capacity that the plan uses; rises from 0.75 to 0.95
  double cut = 0;       // taken off after a slow delivery; decays over time
  MonotonicTime cutAt = kNever;
  bool usedSinceRun = false;
  bool shortSinceRun = false;
  double missing = 0;  // of the last slow delivery, as a fraction
  Zone zone;
  double common = 0;   // for all routers together, as of the last rerun
  double others = 0;   // used by other routers, as of the last rerun
  double booked = 0;   // of the fetches reserved here, times their weights
  double waiting = 0;  // of these fetches, times their weights
};

/// Plans fetches over links that all routers share, and chooses the rung of each fetch: its step of
/// the ladder of transfer rates. A fetch is started or reserved, and ends at the first event of its
/// stream.
class FetchDesk {
 public:
  explicit FetchDesk(const Options& options) : options_(options) {}

  /// Updates the links from a new engine list.
  void links(const EngineList& list);
  /// Updates the links from capacities that the configuration of services gives.
  void links(const std::map<LinkId, LinkTold>& told);
  /// Sets the region of each zone. A transfer between regions has a weight of ten, one between
  /// zones of one region a weight of two.
  void regions(std::map<Zone, std::string> regions) { regions_ = std::move(regions); }
  /// The weight of a transfer between two zones: 1 within a zone, 2 within a region, otherwise 10.
  int crossing(const Zone& from, const Zone& to) const;
  /// The link of an engine or the store. Example: `linkOf({"e1"}).value == "engine:e1"`.
  static LinkId linkOf(const EngineId& engine) { return {"engine:" + engine.value}; }
  /// The links that a transfer from a source to an engine crosses.
  static std::vector<LinkId> pathOf(const EngineList& list, const EngineId& source,
                                    const EngineId& engine);
  /// The holder whose path to the engine has the most free capacity; nothing if there is none.
  std::optional<EngineId> roomiest(std::span<const EngineId> holders, const EngineList& list,
                                   const EngineId& engine, const Setup& setup, MonotonicTime now);
  /// The same where each engine has a link of its own, from reserved and reported rates. Takes time
  /// in proportion to the number of holders.
  std::optional<EngineId> roomiest(std::span<const EngineId> holders, const EngineId& engine) const;
  /// Seconds that a new transfer over the engine's link would wait for this router's pending ones.
  double waitAt(const EngineId& engine) const;
  /// Reserves a transfer at the levels that the last rerun derived from all routers' reports.
  /// Returns its rung, or nothing if not even its floor rung fits; nothing is reserved then. Takes
  /// time in proportion to the length of the path.
  std::optional<std::int64_t> join(Fetch fetch, const Setup& setup, MonotonicTime now,
                                   Outbox& outbox);
  /// Starts the fetch of a new stream: reruns the plan with it and returns its rung.
  std::int64_t begin(Fetch fetch, const Setup& setup, MonotonicTime now, Outbox& outbox);
  /// Ends a fetch at the first event of its stream. A delivery slower than planned lowers the
  /// capacity that the plan assumes of its bottleneck link.
  void firstEvent(StreamId stream, Duration base, MonotonicTime now, Outbox& outbox);
  /// Removes the fetch of a stream, also of one that ended before its first event.
  void drop(StreamId stream);
  /// Records the link use and slow deliveries that a router reports.
  void hear(const UsageNotification& note, MonotonicTime now);
  /// Requests a rerun of the plan, after new snapshots of engines.
  void touch() { touched_ = true; }
  /// Reruns the plan when due. Called on each tick.
  void tick(const Setup& setup, MonotonicTime now, Outbox& outbox);
  /// The notification of this router's link use for the other routers; it is recorded here, too.
  UsageNotification note(MemberId self, const Setup& setup, MonotonicTime now);

  const Plan& plan() const { return plan_; }
  /// The capacity of a link that this router by itself finds usable now.
  double capacity(const LinkId& link, MonotonicTime now) const;
  std::size_t live() const { return fetches_.size(); }
  /// How often the rung of a tenant over a bottleneck link has changed.
  std::uint64_t rungChanges() const { return rungChanges_; }
  void reload(const Options& options) { options_ = options; }

 private:
  struct Paced {
    std::int64_t rung = 0;
    MonotonicTime changed = kNever;
  };
  /// Identifies streams of one kind over one path: links, class, floor rung and top rung.
  using MixKey = std::tuple<std::vector<LinkId>, std::string, std::int64_t, std::int64_t>;
  static MixKey keyOf(const Fetch& fetch);
  double pathCrossing(const std::vector<LinkId>& path) const;
  double roomOf(const LinkId& link) const;
  const GroupResult* groupOf(const std::vector<LinkId>& path) const;
  void book(const Fetch& fetch, double sign);
  void refreshBooks(MonotonicTime now);
  void smooth(MonotonicTime now);
  UsageNotification makeNote(MemberId self, MonotonicTime now) const;
  /// State and capacity of each link by its number in the table of notifications; a null state
  /// means that the link is not listed here.
  struct NumberedLinks {
    std::vector<const LinkBook*> books;
    std::vector<double> capacities;
  };
  NumberedLinks numberedLinks(MonotonicTime now) const;
  double crossingOf(const NumberedLinks& links, const MixNumbers& mix) const;
  std::vector<NotedMix> raisedMixes(MonotonicTime now) const;
  PlanStream streamOf(const Setup& setup, const std::string& className, std::int64_t floorRung,
                      std::int64_t topRung) const;
  double capacityOf(const LinkBook& book, const LinkTotal* total) const;
  Plan settleNow(const Setup& setup, const Fetch* joining, MonotonicTime now) const;
  double easedCut(const LinkBook& book, MonotonicTime now) const;
  double commonCapacity(const LinkId& link, MonotonicTime now) const;
  void rerun(const Setup& setup, MonotonicTime now, Outbox& outbox);
  double othersUse(const LinkId& link, double room, double ownDemand, MonotonicTime now) const;
  double ownDemand(const LinkId& link) const;
  std::int64_t paced(const Fetch& fetch, std::int64_t rung, const LinkId& bottleneck,
                     MonotonicTime now, Outbox& outbox);

  Options options_;
  std::map<LinkId, LinkBook> books_;
  std::map<StreamId, Fetch> fetches_;
  LinkNotes notes_;  // of all routers, this one included
  std::map<MixKey, double> mixes_;
  MonotonicTime smoothedAt_ = kNever;
  std::map<std::pair<TenantId, LinkId>, Paced> rungs_;
  Plan plan_;
  std::map<LinkId, std::size_t> groups_;  // indexes into the plan's groups
  std::map<Zone, std::string> regions_;
  bool touched_ = false;
  MonotonicTime nextRun_{}, lastRun_ = kNever;
  std::uint64_t rungChanges_ = 0;
};

}  // namespace peppergate
