#pragma once
// A router: a member of the fleet and a follower of the control state that tracks the engines'
// cached prefix blocks and routes requests from the client listener to engines.
#include <memory>

#include "core/core_node.h"
#include "core/fetch_planner.h"
#include "core/spread_broadcast.h"
#include "engines/engine_discovery.h"
#include "engines/engine_registry.h"
#include "prompts/placement.h"
#include "prompts/prefix_cache_watcher.h"
#include "requests/control_restart_detector.h"
#include "requests/follower_fleet_view.h"
#include "requests/leader_outage.h"
#include "requests/request_router.h"

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
  const EngineRegistry& book() const { return *book_; }
  const PrefixBlockIndex& index() const { return index_; }
  std::size_t activeRequests() const { return requestRouter_->activeRequests(); }

 private:
  void tick(MonotonicTime now);
  void handleMessage(const MessageReceived& event, MonotonicTime now);
  bool handleReply(const Event& event, MonotonicTime now);
  void applyEngineList(MonotonicTime now);
  void applyControlState(MonotonicTime now);
  void broadcastUsage(MonotonicTime now);
  void broadcastEngineUse(MonotonicTime now);
  void broadcastLinkUsage(MonotonicTime now);
  void detectControlOutage(MonotonicTime now);
  template <class Note>
  void relayToZone(Note note, MonotonicTime now);
  void handleOperatorRequest(const OperatorRequest& request, MonotonicTime now);

  Options options_;
  Random random_;
  Outbox outbox_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<Follower> follower_;
  std::unique_ptr<OperatorHandler> operatorHandler_;
  std::unique_ptr<EngineDiscovery> lister_;
  std::unique_ptr<EngineRegistry> book_;
  PrefixBlockIndex index_;
  std::unique_ptr<PrefixCacheWatcher> watch_;
  std::unique_ptr<FetchPlanner> fetches_;
  std::unique_ptr<Placement> placement_;
  std::unique_ptr<FollowerStateView> fleetState_;
  std::unique_ptr<RequestRouter> requestRouter_;
  std::uint64_t appliedChanges_ = 0;
  LeaderOutage leaderOutage_;
  ControlRestartDetector controlRestarts_;
  ListVersion appliedListVersion_;
  MonotonicTime nextLinkBroadcast_{}, nextEngineUseBroadcast_{}, drainingSince_ = kForever;
  std::uint64_t relayRound_ = 0;
  SpreadBroadcast zoneRelay_{kRelayPortion};                 // messages of routers in other zones
  SpreadBroadcast engineUseBroadcast_, linkUsageBroadcast_;  // to all other routers
};

}  // namespace peppergate
