#pragma once
// A node of the control side: gossip member, acceptor, possibly primary or backup, and relay of the
// control state to routers.
#include <array>
#include <map>
#include <memory>

#include "core/follower.h"
#include "core/leadership.h"
#include "core/operator_handler.h"
#include "core/read_only_leader.h"
#include "engines/engine_manager.h"

namespace peppergate {

/// The files on a core machine's disk at start, by name.
struct DiskContents {
  std::map<std::string, std::string> files;
};

/// A daemon's state machine, driven by the event loop or the simulator.
class Node {
 public:
  virtual ~Node() = default;
  /// Handles one event and puts the resulting commands into the outbox.
  virtual void step(const Event& event, MonotonicTime now) = 0;
  /// The node's pending commands and its counters.
  virtual Outbox& outbox() = 0;
  /// The content of the status page.
  virtual Json status(MonotonicTime now) const = 0;
  /// Replaces the options after a reload (SIGHUP).
  virtual void reload(const Options& options) = 0;
  /// Whether a requested drain is complete, so that the process may exit.
  virtual bool drained(MonotonicTime now) const = 0;
};

/// Joins membership, acceptor, leadership, follower, read-only leader and operator handler into one
/// state machine, and dispatches events and messages to them.
class CoreNode final : public Node {
 public:
  CoreNode(const Options& options, MemberRecord self, std::vector<Address> seeds,
           const DiskContents& disk, std::uint64_t seed, MonotonicTime now,
           const Bootstrap& bootstrap = {});

  void step(const Event& event, MonotonicTime now) override;
  Outbox& outbox() override { return outbox_; }
  Json status(MonotonicTime now) const override;
  void reload(const Options& options) override { options_ = options; }
  /// An independent copy with the same state, for the model checker's branching search. Engine
  /// duties are not copied.
  std::unique_ptr<CoreNode> clone() const;
  bool drained(MonotonicTime now) const override { return draining_ && leadership_->mayExit(now); }
  /// Enables engine discovery and weight rollout, which this node performs while it leads. Used in
  /// fleets whose routers get the engine list from the core.
  void enableEngineDuties();
  // Read access for the model checker and tests.
  const Leadership& leadership() const { return *leadership_; }
  const Acceptor& acceptor() const { return *acceptor_; }
  const Follower& follower() const { return *follower_; }
  const ReadOnlyLeader& readOnlyLeader() const { return *readOnlyLeader_; }

 private:
  void handleMessage(const MessageReceived& event, MonotonicTime now);
  void handle(const Address& from, const StateRequest& request, MonotonicTime now);
  void handle(const Shuffle& shuffle, MonotonicTime now);
  void tick(MonotonicTime now);
  void handle(const Address& from, const WitnessUpdateRequest& request, MonotonicTime now);
  void noteTime(MonotonicTime now);
  void installOwnState(MonotonicTime now);
  void replyToStateRequests(MonotonicTime now);
  void notifyRouters();
  bool isInstalledOnAllRouters(const SectionVersions& sections) const;
  void grantEngineLeases(const Address& from, const EngineLeaseRequest& request, MonotonicTime now);

  struct StateRequester {
    Address from;
    StateRequest request;
    MonotonicTime receivedAt;
    bool isFirstRequest = false;  // its first request to this primary is answered at once
  };
  struct EngineLeaseGrant {
    MemberId holder;
    MonotonicTime until;
  };
  Options options_;
  Random random_;
  Outbox outbox_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<Acceptor> acceptor_;
  std::unique_ptr<Leadership> leadership_;
  std::unique_ptr<Follower> follower_;
  std::unique_ptr<ReadOnlyLeader> readOnlyLeader_;
  std::unique_ptr<OperatorHandler> operatorHandler_;
  std::unique_ptr<EngineManager> duties_;
  std::map<MemberId, StateRequester> requesters_;
  std::map<EngineId, EngineLeaseGrant> engineLeaseGrants_;
  SectionVersions notifiedSections_;
  Epoch notifiedEpoch_;
  MonotonicTime lastTimeNotedAt_ = kNever;
  std::map<MemberId, SectionVersions> routerSections_;  // section versions as of their last request
  MonotonicTime startedAt_;
  bool draining_ = false;
};

/// The core's identity as stored on its disk; zero if there is none.
CoreId readIdentity(const DiskContents& disk);
/// The content of the identity file: the core's identity and its bootstrap settings. It is written
/// to a new disk before the node starts.
std::string identityFileContent(CoreId core, const Bootstrap& bootstrap = {});
/// The bootstrap settings that the identity file stores.
Bootstrap readBootstrap(const DiskContents& disk);

}  // namespace peppergate
