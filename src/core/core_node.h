#pragma once
// A control machine: member, voter, perhaps primary or backup, and a relay of news.
#include <array>
#include <map>
#include <memory>

#include "core/follower.h"
#include "core/leadership.h"
#include "core/operator_handler.h"
#include "core/read_only_leader.h"
#include "engines/engine_duties.h"

namespace peppergate {

/// The files that a core machine found on its disk at start.
struct DiskFound {
  std::map<std::string, std::string> files;
};

/// Any daemon, as the shell and the simulator drive it.
class Node {
 public:
  virtual ~Node() = default;
  /// Takes one event; what to do is then in the outbox.
  /// Example: `node.step(Ticked{}, now); run(node.outbox().take());`
  virtual void step(const Event& event, MonotonicTime now) = 0;
  /// The node's commands and counters. Example: see `step`.
  virtual Outbox& outbox() = 0;
  /// The status page. Example: `node.status(now)["role"]`.
  virtual Json status(MonotonicTime now) const = 0;
  /// Takes reloaded options. Example: on SIGHUP.
  virtual void reload(const Options& options) = 0;
  /// Whether a drain has ended. Example: the process may go.
  virtual bool drained(MonotonicTime now) const = 0;
};

/// Example: `CoreNode core(options, self, seeds, found, 7, now, bootstrap); core.step(Ticked{},
/// now);`
class CoreNode final : public Node {
 public:
  CoreNode(const Options& options, MemberRecord self, std::vector<Address> seeds,
           const DiskFound& found, std::uint64_t seed, MonotonicTime now,
           const Bootstrap& bootstrap = {});

  void step(const Event& event, MonotonicTime now) override;
  Outbox& outbox() override { return outbox_; }
  Json status(MonotonicTime now) const override;
  void reload(const Options& options) override { options_ = options; }
  /// An independent machine in the same state, for searches that branch; without engine duties.
  std::unique_ptr<CoreNode> clone() const;
  bool drained(MonotonicTime now) const override { return draining_ && leadership_->gone(now); }
  /// From now on the one in charge lists engines and orders weights. Example: in a fleet whose
  /// routers are told of engines by the core.
  void takeEngineDuties();
  /// For checkers and tests. Example: `core.leadership().leads(now)`.
  const Leadership& leadership() const { return *leadership_; }
  const Acceptor& acceptor() const { return *acceptor_; }
  const Follower& follower() const { return *follower_; }
  const ReadOnlyLeader& readOnlyLeader() const { return *readOnlyLeader_; }

 private:
  void arrived(const Arrived& event, MonotonicTime now);
  void heard(const Address& from, const StateRequest& ask, MonotonicTime now);
  void heard(const Shuffle& shuffle, MonotonicTime now);
  void tick(MonotonicTime now);
  void heard(const Address& from, const WitnessUpdateRequest& ask, MonotonicTime now);
  void noticeTime(MonotonicTime now);
  void putInForce(MonotonicTime now);
  void replyToStateRequests(MonotonicTime now);
  void notifyOthers();
  bool inForceEverywhere(const SectionVersions& sections) const;
  void grantEngines(const Address& from, const EngineLeaseRequest& ask, MonotonicTime now);

  struct StateRequester {
    Address from;
    StateRequest ask;
    MonotonicTime since;
    bool first = false;  // its first question to this primary: answered at once
  };
  struct EngineGrant {
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
  std::unique_ptr<EngineDuties> duties_;
  std::map<MemberId, StateRequester> requesters_;
  std::map<EngineId, EngineGrant> engineGrants_;
  SectionVersions told_;
  Epoch toldView_;
  MonotonicTime lastNotice_ = kNever;
  std::map<MemberId, SectionVersions> frontsHave_;  // as their questions said
  MonotonicTime started_;
  bool draining_ = false;
};

/// The identity on a disk, if one is there. Example: `identityOn(found)`.
CoreId identityOn(const DiskFound& found);
/// What a new disk gets first, with how its core founds. Example: written before the node starts.
std::string identityFile(CoreId core, const Bootstrap& bootstrap = {});
/// How the core of this disk founds, as it was told at its birth. Example: `bootstrapOn(found)`.
Bootstrap bootstrapOn(const DiskFound& found);

}  // namespace peppergate
