#pragma once
// A router: a member of the fleet and a follower of the control state that tracks the engines'
// cached prefix blocks and routes requests from the client listener to engines.
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

/// One router process, for any number of services.
class RouterNode final : public Node {
 public:
  RouterNode(const Options& options, MemberRecord self, std::vector<Address> seeds,
             std::map<Zone, std::string> regions, std::uint64_t seed);

  void step(const Event& event, MonotonicTime now) override;
  Outbox& outbox() override { return outbox_; }
  Json status(MonotonicTime now) const override;
  void reload(const Options& options) override;
  /// Whether draining has lasted long enough that no new clients come. The caller then closes the
  /// listener; open connections still run to their end before the process exits.
  bool drained(MonotonicTime now) const override;
  /// Whether new client connections are accepted. Polled by the platform each second.
  bool ready(MonotonicTime now) const;
  /// Accessors for checkers, tests and the platform.
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
  SpreadBroadcast relayed_{kRelayPortion};  // messages of routers in other zones
  SpreadBroadcast toldUse_, told_;          // to all other routers
};

}  // namespace peppergate
