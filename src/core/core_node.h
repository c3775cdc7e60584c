#pragma once
// A control machine: member, voter, perhaps primary or backup, and a relay of news.
#include <map>
#include <array>
#include <memory>

#include "core/caretaker.h"
#include "core/follower.h"
#include "core/leadership.h"
#include "core/operator_desk.h"
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
  /// Takes reloaded props. Example: on SIGHUP.
  virtual void reload(const Props& props) = 0;
  /// Whether a drain has ended. Example: the process may go.
  virtual bool drained(MonotonicTime now) const = 0;
};

/// Example: `CoreNode core(props, self, seeds, found, 7, now, founding); core.step(Ticked{}, now);`
class CoreNode final : public Node {
 public:
  CoreNode(const Props& props, MemberRecord self, std::vector<Address> seeds,
           const DiskFound& found, std::uint64_t seed, MonotonicTime now,
           const Founding& founding = {});

  void step(const Event& event, MonotonicTime now) override;
  Outbox& outbox() override { return outbox_; }
  Json status(MonotonicTime now) const override;
  void reload(const Props& props) override { props_ = props; }
  bool drained(MonotonicTime) const override { return draining_ && leadership_->gone(); }
  /// From now on the one in charge lists engines and orders weights. Example: in a fleet whose
  /// routers are told of engines by the core.
  void takeEngineDuties();
  /// For checkers and tests. Example: `core.leadership().leads(now)`.
  const Leadership& leadership() const { return *leadership_; }
  const Voter& voter() const { return *voter_; }
  const Follower& follower() const { return *follower_; }
  const Caretaker& caretaker() const { return *caretaker_; }

 private:
  void arrived(const Arrived& event, MonotonicTime now);
  void heard(const Address& from, const NewsAsk& ask, MonotonicTime now);
  void heard(const Shuffle& shuffle, MonotonicTime now);
  void tick(MonotonicTime now);
  void heard(const Address& from, const HolderAsk& ask, MonotonicTime now);
  void noticeTime(MonotonicTime now);
  void putInForce(MonotonicTime now);
  void answerNews(MonotonicTime now);
  void tellTheRest();
  bool inForceEverywhere(const SectionVersions& sections) const;
  void grantEngines(const Address& from, const HoldAsk& ask, MonotonicTime now);

  struct Asker {
    Address from;
    NewsAsk ask;
    MonotonicTime since;
    bool first = false;  // its first question to this primary: answered at once
  };
  struct EngineGrant {
    MemberId holder;
    MonotonicTime until;
  };
  Props props_;
  Random random_;
  Outbox outbox_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<Voter> voter_;
  std::unique_ptr<Leadership> leadership_;
  std::unique_ptr<Follower> follower_;
  std::unique_ptr<Caretaker> caretaker_;
  std::unique_ptr<OperatorDesk> desk_;
  std::unique_ptr<EngineDuties> duties_;
  std::map<MemberId, Asker> askers_;
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
std::string identityFile(CoreId core, const Founding& founding = {});
/// How the core of this disk founds, as it was told at its birth. Example: `foundingOn(found)`.
Founding foundingOn(const DiskFound& found);

}  // namespace peppergate
