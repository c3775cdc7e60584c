#pragma once
// Members know each other through partial views that neighbours shuffle.
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "core/collaborators.h"
#include "core/options.h"
#include "core/outbox.h"
#include "core/random.h"

namespace peppergate {

/// Keeps a small view of neighbours and a directory of heard members.
/// Example: `membership.tick(now, outbox);` each 50 ms.
class Membership : private MembershipCollaborators {
 public:
  Membership(const Options& options, MemberRecord self, std::vector<Address> seeds, Random& random);

  /// Shuffles, suspects and buries when due. Example: `membership.tick(now, outbox);`
  void tick(MonotonicTime now, Outbox& outbox);
  /// Takes a neighbour's records. Example: `membership.hear(from, shuffle, now, outbox);`
  void hear(const Shuffle& shuffle, MonotonicTime now, Outbox& outbox);
  /// A core machine answered a question itself that was sent at `when`, so it lived then. Its
  /// heartbeat comes through other members and may be late where these are busy.
  void heardFrom(CoreId core, MonotonicTime when);
  /// Tells everybody that this member goes. Example: on SIGTERM, before the drain.
  void leave(Outbox& outbox);

  /// The live members, self among them, ordered by id. Example: `for (auto& m : live()) ...`
  std::vector<MemberRecord> live() const;
  /// The live fronts that stay, self among them if a front. Example: the ring's members.
  std::vector<MemberRecord> liveFronts() const;
  /// The live core machines, self among them if one. Example: those that may keep a copy.
  std::vector<MemberRecord> liveCores() const;
  /// Where the live fronts that stay are, without self; all, or those that a test lets pass.
  /// Example: for what every front is told.
  std::vector<Address> otherFronts(const std::function<bool(MemberId)>& wanted = nullptr) const;
  /// Where all live members are, without self.
  std::vector<Address> otherMembers() const;
  /// How many live fronts there are that stay, self among them if a front.
  std::size_t frontCount() const;
  /// Which core lives at an address; 0 if none is known. Example: `coreAt(seed)`.
  CoreId coreAt(const Address& address) const;
  /// Where a core machine lives now. Example: `addressOf(view.primary)`; empty if unknown.
  Address addressOf(CoreId core) const;
  /// Where a member lives now; empty if unknown. Example: `addressOf(note.watcher)`.
  Address addressOf(MemberId member) const;
  /// How long nothing new was heard of a member. Example: `silence(member, now) < seconds(1)`.
  Duration silence(MemberId member, MonotonicTime now) const;
  /// A random live member but self; empty if alone. Example: the one to relay a question.
  Address randomMember();
  /// The record of this member. Example: `self().address`.
  const MemberRecord& self() const { return self_; }
  /// Adds what each shuffle carries. Example: `carry([](Shuffle& s) { s.withdrawn = ...; })`.
  void carry(std::function<void(Shuffle&)> carrier) { carrier_ = std::move(carrier); }
  /// New options after a reload. Example: `membership.reload(options);`
  void reload(const Options& options) { options_ = options; }

 private:
  struct Known {
    MemberRecord record;
    MonotonicTime advanced;  // when its heartbeat last rose
    bool suspected = false;
  };
  bool isFront(const MemberRecord& record) const {
    return record.role == Role::kFront && !record.leaving;
  }
  /// The entry of a core machine's latest life; null if none is known.
  const Known* latestOf(CoreId core) const;
  Shuffle makeShuffle(bool wantsAnswer);
  void note(const MemberRecord& record, bool direct, MonotonicTime now, Outbox& outbox);
  void age(MonotonicTime now, Outbox& outbox);
  /// The next seed at which no member is known; empty where all are known.
  Address missingSeed();

  Options options_;
  MemberRecord self_;
  std::vector<Address> seeds_;
  std::map<MemberId, Known> known_;
  struct Grave {
    MonotonicTime since;
    std::uint64_t heartbeat = 0;
  };
  std::map<MemberId, Grave> buried_;  // only a higher heartbeat brings one back
  std::vector<Address> former_;       // asked now and then, so that parts find each other again
  std::vector<MemberId> view_;        // the neighbours to shuffle with, oldest first
  MonotonicTime nextShuffle_{};
  std::size_t nextSeed_ = 0;  // of those that aren't known
};

}  // namespace peppergate
