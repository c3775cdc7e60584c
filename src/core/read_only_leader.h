#pragma once
// A leader for reads only, on a side of a partition where no leader can be elected: half of the
// voters, such as two of four, bound by a short lease, guarantee that no change is acknowledged.
// See docs/design-caretakers.md.
#include <map>
#include <set>

#include "core/collaborators.h"
#include "core/follower.h"
#include "core/leadership.h"

namespace peppergate {

/// Collects read leases from voters. While it has enough of them, no leader can be elected without
/// one of these voters, so that the newest state that they know stays the newest acknowledged one.
class ReadOnlyLeader : private ReadOnlyLeaderCollaborators {
 public:
  ReadOnlyLeader(const Options& options, Acceptor& acceptor, Leadership& leadership,
                 Membership& membership, Follower& follower, Random& random, MonotonicTime started);

  /// Probes voters, asks for read leases and renews them, or yields to an election, when due.
  void tick(MonotonicTime now, Outbox& outbox);
  /// Answers another core's request for a read lease, or its probe.
  void handleRequest(const Address& from, const ReadLeaseRequest& request, MonotonicTime now,
                     Outbox& outbox);
  void handleReply(const ReadLeaseReply& reply, MonotonicTime now, Outbox& outbox);
  /// Another core campaigns: yields to it unless this core yielded shortly before.
  void handleCandidate(MonotonicTime now, Outbox& outbox);
  /// Another read-only leader yielded to an election, by a release with epoch 0: this core doesn't
  /// take its place at once.
  void pauseForElection(MonotonicTime now);

  /// A voter answered this core, so it is reachable.
  void noteReachableVoter(CoreId voter, MonotonicTime now) { lastAnswers_[voter] = now; }
  /// Whether this core is a read-only leader with a valid lease.
  bool hasReadLease(MonotonicTime now) const { return now < leaseUntil_; }
  /// Whether it is or wants to become a read-only leader; then it doesn't campaign.
  bool wantsReadLease() const { return wantsReadLease_; }

 private:
  struct LeaseRound {
    std::set<CoreId> voters;
    bool intact = false;
    bool allProven = true;
  };
  bool isEligible() const;
  /// Whether each majority that could elect a leader contains one of these voters.
  bool blocksElections(const std::set<CoreId>& voters) const;
  /// Whether a leader of the accepted view, or of a later one, proved its state to this process. A
  /// proof of an earlier view doesn't cover changes that voters which were replaced since stored.
  bool hasLeaderProof() const {
    return follower_.leaderProofOrigin() > started_ &&
           follower_.leaderProofEpoch() >= acceptor_.record().accepted.epoch;
  }
  void installOwnReplica(MonotonicTime now, Outbox& outbox);
  void recordGrant(LeaseRound& round, CoreId voter, bool intact, bool isProven) const;
  void sendRound(bool grant, MonotonicTime now, Outbox& outbox);
  void stop(std::string_view reason, Outbox& outbox);
  void yieldToElection(MonotonicTime now, std::string_view reason, Outbox& outbox);
  std::set<CoreId> reachableVoters(MonotonicTime now) const;
  CoreId self() const { return acceptor_.record().identity; }

  Options options_;
  MonotonicTime started_;
  MonotonicTime probingSince_ = kForever, nextRequestAt_{}, nextNotificationAt_{},
                yieldUntil_ = kNever;
  MonotonicTime majorityReachableSince_ = kForever, mayYieldAgain_ = kNever;
  MonotonicTime leaseUntil_ = kNever;
  Duration yieldDuration_{};
  std::map<std::int64_t, LeaseRound> rounds_;  // by the time of the request
  std::map<CoreId, MonotonicTime> lastAnswers_;
  std::set<CoreId> lastReachable_;
  SectionVersions highestGrantorVersions_;  // known by any voter that granted a lease
  bool wantsReadLease_ = false;
  bool active_ = false;
};

}  // namespace peppergate
