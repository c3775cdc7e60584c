#pragma once
// A data-plane machine for any number of services: member, follower, watcher of kept parts, and
// the requests' way from the clients' listener to an engine.
#include <memory>

#include "core/core_node.h"
#include "core/fetch_desk.h"
#include "core/spread_broadcast.h"
#include "engines/engine_book.h"
#include "engines/lister.h"
#include "prompts/part_watch.h"
#include "prompts/placement.h"
#include "requests/core_lives.h"
#include "requests/follower_facts.h"
#include "requests/leader_silence.h"
#include "requests/requests.h"

namespace peppergate {

/// Example: `RouterNode router(options, self, seeds, regions, 7);`
class RouterNode final : public Node {
 public:
  RouterNode(const Options& options, MemberRecord self, std::vector<Address> seeds,
             std::map<Zone, std::string> regions, std::uint64_t seed);

  void step(const Event& event, MonotonicTime now) override;
  Outbox& outbox() override { return outbox_; }
  Json status(MonotonicTime now) const override;
  void reload(const Options& options) override;
  /// Whether no new clients come any more; what is open still ends whole. Example: then the
  /// listener closes, and the process goes when its last connection ended.
  bool drained(MonotonicTime now) const override;
  /// Whether clients' new connections are welcome. Example: asked by the platform each second.
  bool ready(MonotonicTime now) const;
  /// For checkers, tests and the shell. Example: `router.follower().setup().fleet.limits`.
  const Follower& follower() const { return *follower_; }
  const EngineBook& book() const { return *book_; }
  const PartIndex& index() const { return index_; }
  std::size_t live() const { return requests_->live(); }

 private:
  void tick(MonotonicTime now);
  void arrived(const Arrived& event, MonotonicTime now);
  bool answered(const Event& event, MonotonicTime now);
  void takeList(MonotonicTime now);
  void takeChanges(MonotonicTime now);
  void tellOthers(MonotonicTime now);
  void tellUse(MonotonicTime now);
  void tellLinks(MonotonicTime now);
  void noteCoreTrouble(MonotonicTime now);
  template <class Note>
  void passOn(Note note, MonotonicTime now);
  void operatorAsked(const OperatorRequest& asked, MonotonicTime now);

  Options options_;
  Random random_;
  Outbox outbox_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<Follower> follower_;
  std::unique_ptr<OperatorHandler> operatorHandler_;
  std::unique_ptr<Lister> lister_;
  std::unique_ptr<EngineBook> book_;
  PartIndex index_;
  std::unique_ptr<PartWatch> watch_;
  std::unique_ptr<FetchDesk> fetches_;
  std::unique_ptr<Placement> placement_;
  std::unique_ptr<FollowerFacts> facts_;
  std::unique_ptr<Requests> requests_;
  std::uint64_t changesSeen_ = 0;
  LeaderSilence leaderSilence_;
  CoreLives coreLives_;
  ListVersion bookVersion_;
  MonotonicTime nextTell_{}, nextTellUse_{}, drainSince_ = kForever;
  std::uint64_t relayTurn_ = 0;
  SpreadBroadcast relayed_{kRelayPortion};  // what routers of other zones told
  SpreadBroadcast toldUse_, told_;          // what all other routers are told of this one's use
};

}  // namespace peppergate
