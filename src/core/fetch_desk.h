#pragma once
// Keeps what the plan needs: links and their capacity, others' use, live fetches, rung pace.
#include <map>
#include <tuple>
#include <vector>

#include "core/engine_list.h"
#include "core/fetch_plan.h"
#include "core/link_notes.h"
#include "core/outbox.h"

namespace peppergate {

/// A fetch that runs until the stream's first event.
struct Fetch {
  PlanStream want;
  TenantId tenant;
  std::string className;
  EngineId source;
  LinkId bottleneck;  // whose group it joined
  std::int64_t rung = 0;
  double rate = 0;
  double topRate = 0;
  double megabytes = 0;
  MonotonicTime sent;
  bool arrived = false;  // so long ago that its bytes are taken to be over
  bool joined = false;   // booked on its links one by one
};

/// A link as it is told, in megabytes a second, and where it is; no zone: moves over it count
/// once. Example: `{{"engine:e1"}, {46250, {"north"}}}`.
struct LinkTold {
  double size = 0;
  Zone zone;
};

/// How one link has done, as this front sees it.
struct LinkBook {
  double told = 0;      // megabytes a second, from the platform's list
  double fraction = 0;  // of the told size that the plan uses, 0.75 rising to 0.95
  double cut = 0;       // share cut after a short delivery, eased back
  MonotonicTime cutAt = kNever;
  bool usedSinceRun = false;
  bool shortSinceRun = false;
  double missing = 0;  // told to others in notes
  Zone zone;
  double common = 0;   // what all fronts may use of it, as of the last rerun
  double others = 0;   // what others use of it, as of the last rerun
  double booked = 0;   // rate of the fetches that joined here, by what their moves count
  double waiting = 0;  // megabytes of these
};

/// Example: `auto rung = desk.begin(fetch, setup, now, outbox);` then, at the first event,
/// `desk.firstEvent(stream, now, outbox);`
class FetchDesk {
 public:
  explicit FetchDesk(const Options& options) : options_(options) {}

  /// Takes the links from a new engine list. Example: `desk.links(list);`
  void links(const EngineList& list);
  /// The same from what services are made like. Example: `desk.links({{link, {46250, zone}}})`.
  void links(const std::map<LinkId, LinkTold>& told);
  /// The regions of zones: a move between two of them counts ten times, one between
  /// zones of one region twice. Example: `desk.regions({{{"north"}, "west"}})`.
  void regions(std::map<Zone, std::string> regions) { regions_ = std::move(regions); }
  /// How often a move counts. Example: `desk.crossing({"north"}, {"south"}) == 2`.
  int crossing(const Zone& from, const Zone& to) const;
  /// The link of an engine or a store. Example: `linkOf({"e1"}).value == "engine:e1"`.
  static LinkId linkOf(const EngineId& engine) { return {"engine:" + engine.value}; }
  /// The links between a source and an engine. Example: `pathOf(list, {"e1"}, {"e2"})`.
  static std::vector<LinkId> pathOf(const EngineList& list, const EngineId& source,
                                    const EngineId& engine);
  /// The holder with the most room on its path. Example: see `begin`.
  std::optional<EngineId> roomiest(std::span<const EngineId> holders, const EngineList& list,
                                   const EngineId& engine, const Setup& setup, MonotonicTime now);
  /// The same among engines with links of their own, by what was booked and noted; time by the
  /// number of holders alone. Example: `desk.roomiest(holders, {"e2"})`.
  std::optional<EngineId> roomiest(std::span<const EngineId> holders, const EngineId& engine) const;
  /// Seconds that a move over a link would wait for those of this front. Example: before `join`.
  double waitAt(const EngineId& engine) const;
  /// Books a move by the levels in force, as the last rerun found them over all fronts' notes:
  /// the rung, or nothing if not even the floor fits, and then nothing is booked. Time by the
  /// length of the path alone. Example: `if (auto rung = desk.join(fetch, setup, now, outbox))`.
  std::optional<std::int64_t> join(Fetch fetch, const Setup& setup, MonotonicTime now,
                                   Outbox& outbox);
  /// Settles the rung of a new stream by the levels in force.
  std::int64_t begin(Fetch fetch, const Setup& setup, MonotonicTime now, Outbox& outbox);
  /// The first event came: the fetch is over, and its time tells how the links did.
  void firstEvent(StreamId stream, Duration base, MonotonicTime now, Outbox& outbox);
  /// The stream ended before a first event. Example: on a broken shot.
  void drop(StreamId stream);
  /// Others' use and cuts. Example: on a UsageNotification.
  void hear(const UsageNotification& note, MonotonicTime now);
  /// A rerun is wanted: on reports and notes. Example: `desk.touch();`
  void touch() { touched_ = true; }
  /// Reruns when due. Example: each tick.
  void tick(const Setup& setup, MonotonicTime now, Outbox& outbox);
  /// What this front tells the others. Example: `outbox.send(to, desk.note(self, setup))`.
  UsageNotification note(MemberId self, const Setup& setup, MonotonicTime now);

  const Plan& plan() const { return plan_; }
  /// What the plan may use of a link now. Example: for the status page.
  double capacity(const LinkId& link, MonotonicTime now) const;
  std::size_t live() const { return fetches_.size(); }
  /// The rung of each tenant over each bottleneck with the time of its last change.
  std::uint64_t rungChanges() const { return rungChanges_; }
  void reload(const Options& options) { options_ = options; }

 private:
  struct Paced {
    std::int64_t rung = 0;
    MonotonicTime changed = kNever;
  };
  /// All noted streams of one kind over one path.
  using MixKey = std::tuple<std::vector<LinkId>, std::string, std::int64_t, std::int64_t>;
  static MixKey keyOf(const Fetch& fetch);
  double pathCrossing(const std::vector<LinkId>& path) const;
  double roomOf(const LinkId& link) const;
  const GroupResult* groupOf(const std::vector<LinkId>& path) const;
  void book(const Fetch& fetch, double sign);
  void refreshBooks(MonotonicTime now);
  void smooth(MonotonicTime now);
  UsageNotification makeNote(MemberId self, MonotonicTime now) const;
  /// The capacity of each numbered link and the book that it is kept in; null: not listed here.
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
  LinkNotes notes_;  // by everybody, this front among them
  std::map<MixKey, double> mixes_;
  MonotonicTime smoothedAt_ = kNever;
  std::map<std::pair<TenantId, LinkId>, Paced> rungs_;
  Plan plan_;
  std::map<LinkId, std::size_t> groups_;  // places in the plan's groups
  std::map<Zone, std::string> regions_;
  bool touched_ = false;
  MonotonicTime nextRun_{}, lastRun_ = kNever;
  std::uint64_t rungChanges_ = 0;
};

}  // namespace peppergate
