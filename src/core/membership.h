#pragma once
// Gossip membership: members exchange partial views with their neighbours.
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "core/collaborators.h"
#include "core/options.h"
#include "core/outbox.h"
#include "core/random.h"

namespace peppergate {

/// Keeps a small partial view of neighbours, and a directory of all members known through gossip.
/// Ticked each 50 ms.
class Membership : private MembershipCollaborators {
 public:
  Membership(const Options& options, MemberRecord self, std::vector<Address> seeds, Random& random);

  /// Gossips, suspects silent members and removes dead ones when due.
  void tick(MonotonicTime now, Outbox& outbox);
  /// Merges a neighbour's records, and answers if it wants an answer.
  void hear(const Shuffle& shuffle, MonotonicTime now, Outbox& outbox);
  /// A core answered directly a request that was sent at `when`, so it was alive then. Its
  /// heartbeats come through other members, and are late where these are busy.
  void heardFrom(CoreId core, MonotonicTime when);
  /// Tells all members that this one leaves: on SIGTERM, before it drains.
  void leave(Outbox& outbox);

  /// The live members, including self, ordered by id.
  std::vector<MemberRecord> live() const;
  /// The live routers that aren't leaving, including self if it is one.
  std::vector<MemberRecord> liveFronts() const;
  /// The live cores, including self if it is one.
  std::vector<MemberRecord> liveCores() const;
  /// Addresses of the live routers that aren't leaving, without self; only those that pass the
  /// filter, if there is one.
  std::vector<Address> otherFronts(const std::function<bool(MemberId)>& wanted = nullptr) const;
  /// Addresses of all live members, without self.
  std::vector<Address> otherMembers() const;
  /// The number of live routers that aren't leaving, including self if it is one.
  std::size_t frontCount() const;
  /// The core at an address; 0 if none is known.
  CoreId coreAt(const Address& address) const;
  /// The current address of a core; empty if unknown.
  Address addressOf(CoreId core) const;
  /// The current address of a member; empty if unknown.
  Address addressOf(MemberId member) const;
  /// The time since a member's last sign of life; the time after which it counts as dead, if
  /// unknown.
  Duration silence(MemberId member, MonotonicTime now) const;
  /// The address of a random live member other than self; empty if there is none.
  Address randomMember();
  const MemberRecord& self() const { return self_; }
  /// Sets a callback that adds data to each shuffle message, such as withdrawn keys.
  void carry(std::function<void(Shuffle&)> carrier) { carrier_ = std::move(carrier); }
  void reload(const Options& options) { options_ = options; }

 private:
  struct Known {
    MemberRecord record;
    MonotonicTime advanced;  // last sign of life: a higher heartbeat or a direct answer
    bool suspected = false;
  };
  bool isFront(const MemberRecord& record) const {
    return record.role == Role::kFront && !record.leaving;
  }
  /// The entry of a core's latest process; null if none is known.
  const Known* latestOf(CoreId core) const;
  Shuffle makeShuffle(bool wantsAnswer);
  void note(const MemberRecord& record, bool direct, MonotonicTime now, Outbox& outbox);
  void age(MonotonicTime now, Outbox& outbox);
  /// The next seed address at which no member is known; empty if there is none.
  Address missingSeed();

  Options options_;
  MemberRecord self_;
  std::vector<Address> seeds_;
  std::map<MemberId, Known> known_;
  struct Grave {
    MonotonicTime since;
    std::uint64_t heartbeat = 0;
  };
  std::map<MemberId, Grave> buried_;  // tombstones; only a higher heartbeat revives a member
  std::vector<Address> former_;       // of dead members, tried now and then to heal a partition
  std::vector<MemberId> view_;        // neighbours to gossip with, longest unused first
  MonotonicTime nextShuffle_{};
  std::size_t nextSeed_ = 0;  // among the seeds without a known member
};

}  // namespace peppergate
