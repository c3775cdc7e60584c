#pragma once
// Where no primary can be, two voters of four bound by a short hold vouch for their part.
// See docs/design-read-only leaders.md.
#include <map>
#include <set>

#include "core/collaborators.h"
#include "core/follower.h"
#include "core/leadership.h"

namespace peppergate {

/// Example: `read-only leader.tick(now, outbox); if (read-only leader.vouches(now))
/// follower.vouch(now);`
class ReadOnlyLeader : private ReadOnlyLeaderCollaborators {
 public:
  ReadOnlyLeader(const Options& options, Acceptor& acceptor, Leadership& leadership,
                 Membership& membership, Follower& follower, Random& random, MonotonicTime started);

  /// Looks for voters, asks for grants, renews, or makes room. Example: each tick.
  void tick(MonotonicTime now, Outbox& outbox);
  /// Another core asks for this voter's grant, or only who is there. Example: on a
  /// ReadLeaseRequest.
  void ask(const Address& from, const ReadLeaseRequest& ask, MonotonicTime now, Outbox& outbox);
  /// A voter's answer. Example: on a ReadLeaseReply.
  void hear(const ReadLeaseReply& answer, MonotonicTime now, Outbox& outbox);
  /// A candidate's question reached this core. Example: on a PrepareRequest of another core.
  void candidateHeard(MonotonicTime now, Outbox& outbox);
  /// Another read-only leader made room for an election: nobody takes its place at once.
  /// Example: on a PrepareRequest of the kind kRelease with epoch 0.
  void allowElection(MonotonicTime now);

  /// A voter answered this core in any way: it is in sight. Example: on a PrepareReply.
  void heardVoter(CoreId voter, MonotonicTime now) { seen_[voter] = now; }
  /// Whether this core vouches for its part now. Example: see the class.
  bool attests(MonotonicTime now) const { return now < leaseUntil_; }
  /// Whether it is about to vouch, or does; then it doesn't stand. Example: in status pages.
  bool wants() const { return wants_; }

 private:
  struct Round {
    std::set<CoreId> voters;
    bool intact = false;
    bool allProven = true;
  };
  bool able() const;
  /// Whether no majority that could elect a leader is without one of these voters.
  bool blocks(const std::set<CoreId>& voters) const;
  /// A leader of the accepted view, or of a later one, proved its state to this process. A proof of
  /// an earlier view says nothing of changes that voters replaced since then took part in.
  bool proven() const {
    return follower_.primaryOrigin() > started_ &&
           follower_.primaryEpoch() >= acceptor_.record().accepted.epoch;
  }
  void adoptOwnReplica(MonotonicTime now, Outbox& outbox);
  void count(Round& round, CoreId voter, bool intact, bool isProven) const;
  void sendRound(bool grant, MonotonicTime now, Outbox& outbox);
  void quit(std::string_view why, Outbox& outbox);
  void yield(MonotonicTime now, std::string_view why, Outbox& outbox);
  std::set<CoreId> inSight(MonotonicTime now) const;
  CoreId self() const { return acceptor_.record().identity; }

  Options options_;
  MonotonicTime started_;
  MonotonicTime lookingSince_ = kForever, nextAsk_{}, nextNote_{}, yieldUntil_ = kNever;
  MonotonicTime sightSince_ = kForever, mayYieldAgain_ = kNever;
  MonotonicTime leaseUntil_ = kNever;
  Duration yieldFor_{};
  std::map<std::int64_t, Round> rounds_;  // by the time of asking
  std::map<CoreId, MonotonicTime> seen_;
  std::set<CoreId> lastSight_;
  SectionVersions highest_;  // of what granters told
  bool wants_ = false;
  bool attesting_ = false;
};

}  // namespace peppergate
