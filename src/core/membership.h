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
  void handle(const Shuffle& shuffle, MonotonicTime now, Outbox& outbox);
  /// A core answered directly a request that was sent at `when`, so it was alive then. Its
  /// heartbeats come through other members, and are late where these are busy.
  void noteAlive(CoreId core, MonotonicTime when);
  /// Tells all members that this one leaves: on SIGTERM, before it drains.
  void announceLeaving(Outbox& outbox);

  /// The live members, including self, ordered by id.
  std::vector<MemberRecord> liveMembers() const;
  /// The live routers that aren't leaving, including self if it is one.
  std::vector<MemberRecord> liveRouters() const;
  /// The live cores, including self if it is one.
  std::vector<MemberRecord> liveCores() const;
  /// Addresses of the live routers that aren't leaving, without self; only those that pass the
  /// filter, if there is one.
  std::vector<Address> otherRouterAddresses(
      const std::function<bool(MemberId)>& filter = nullptr) const;
  /// Addresses of all live members, without self.
  std::vector<Address> otherMemberAddresses() const;
  /// The number of live routers that aren't leaving, including self if it is one.
  std::size_t routerCount() const;
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
  void setShuffleExtension(std::function<void(Shuffle&)> extension) {
    fillShuffle_ = std::move(extension);
  }
  void reload(const Options& options) { options_ = options; }

 private:
  struct KnownMember {
    MemberRecord record;
    MonotonicTime lastAlive;  // last sign of life: a higher heartbeat or a direct answer
    bool suspected = false;
  };
  bool isLiveRouter(const MemberRecord& record) const {
    return record.role == Role::kRouter && !record.leaving;
  }
  /// The entry of a core's latest process; null if none is known.
  const KnownMember* latestMemberOf(CoreId core) const;
  Shuffle makeShuffle(bool wantsAnswer);
  void mergeRecord(const MemberRecord& record, bool direct, MonotonicTime now, Outbox& outbox);
  void expireMembers(MonotonicTime now, Outbox& outbox);
  /// The next seed address at which no member is known; empty if there is none.
  Address missingSeed();

  Options options_;
  MemberRecord self_;
  std::vector<Address> seeds_;
  std::map<MemberId, KnownMember> knownMembers_;
  struct Tombstone {
    MonotonicTime since;
    std::uint64_t heartbeat = 0;
  };
  std::map<MemberId, Tombstone>
      tombstones_;                        // tombstones; only a higher heartbeat revives a member
  std::vector<Address> formerAddresses_;  // of dead members, tried now and then to heal a partition
  std::vector<MemberId> neighbours_;      // neighbours to gossip with, longest unused first
  MonotonicTime nextShuffle_{};
  std::size_t nextSeed_ = 0;  // among the seeds without a known member
};

}  // namespace peppergate
