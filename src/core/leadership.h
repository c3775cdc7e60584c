#pragma once
// Candidate, primary and backup of the control state. See docs/design-views.md for the proof.
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "core/acceptor.h"
#include "core/collaborators.h"
#include "core/control_state.h"
#include "core/membership.h"
#include "core/random.h"

namespace peppergate {

/// A change that waits for its yes.
struct WaitingChange {
  Address from;
  ChangeRequest ask;
  MonotonicTime since;
};

/// The copy of the state on this machine's disk.
struct ReplicaOnDisk {
  Epoch tag;  // the view this copy was made for; 0: none
  ControlState state;
};

enum class LeaderPhase : std::uint8_t {
  kFollowing,
  kBootstrapping,
  kPreparing,
  kReplicating,
  kAccepting,
  kLeading,
};

/// Example: `leadership.tick(now, outbox); if (leadership.leads(now)) replyToStateRequests();`
class Leadership : private LeadershipCollaborators {
 public:
  Leadership(const Options& options, Acceptor& acceptor, Membership& membership, Random& random,
             ReplicaOnDisk copy);

  /// Takes part in the bootstrap of a new fleet, if this core has no view yet that came after one.
  /// Example: `leadership.found(bootstrapOn(disk));`
  void found(const Bootstrap& bootstrap);
  /// Renews, stands, recruits as due. Example: `leadership.tick(now, outbox);`
  void tick(MonotonicTime now, Outbox& outbox);
  void hear(const PrepareReply& answer, MonotonicTime now, Outbox& outbox);
  void hear(const AcceptReply& answer, MonotonicTime now, Outbox& outbox);
  void hear(const Address& from, const ReplicateRequest& ask, MonotonicTime now, Outbox& outbox);
  void hear(const ReplicateReply& answer, MonotonicTime now, Outbox& outbox);
  void hear(const WitnessUpdateReply& answer, MonotonicTime now, Outbox& outbox);
  /// Takes an operator's change. Example: `leadership.take(from, ask, now, outbox);`
  void take(const Address& from, const ChangeRequest& ask, MonotonicTime now, Outbox& outbox);
  /// Ends a write; true if the ticket was one of the copies'. Example: on FileWritten.
  bool written(const FileWritten& event, MonotonicTime now, Outbox& outbox);
  /// Says yes to what is published once every front is sure to follow it within its bound.
  /// `inForce` tells whether all live fronts have these sections. Example: each tick.
  void acknowledge(const std::function<bool(const SectionVersions&)>& inForce, MonotonicTime now,
                   Outbox& outbox);
  /// A front holds something newer that was never acknowledged: stamp over it.
  void sawNewer(const SectionVersions& seen);
  /// Takes the versions that a leader proved: they last, so that they may be shown again.
  void noteShown(const SectionVersions& sections) { shown_ = sections; }
  /// Takes a view that is known to be settled. Example: one that came with a proof.
  void noteChosen(const View& view, MonotonicTime now, Outbox& outbox);
  /// Takes a view that some voter accepted, as others tell of it: a replica that has no vote learns
  /// by it whom to ask.
  void noteHeardOf(const View& view, MonotonicTime now, Outbox& outbox);
  /// The disk is bad, for the acceptor's record as for the state: no vote, no copy and no duty in
  /// this life of the process, and all peers are told.
  void suspect(Outbox& outbox);
  /// Ends what is under way, gives up the duty and stands no more. Example: on SIGTERM.
  void leave(MonotonicTime now);
  /// Whether the process may end: it leads no more, said so twice, and neither its vote nor its
  /// copy of the state is needed, or nobody could take them over within the grace time.
  bool gone(MonotonicTime now) const;
  /// A core gave up its votes; if it was the primary, the first backup stands at once.
  /// Example: on a PrepareRequest of the kind kRelease.
  void released(CoreId candidate, MonotonicTime now);

  /// Whether this core leads under its hold. Example: `leads(now)` before each proof.
  bool leads(MonotonicTime now) const;
  /// Whether it may name its state in proofs, too: it is on the disks of a confirmed view, and a
  /// majority of the voters holds it. Example: `names(now)` before each proof.
  bool names(MonotonicTime now) const { return leads(now) && named_; }
  /// Whether it may stand for election now; a read-only leader in charge says no. Example: each
  /// tick.
  void mayCampaign(bool may) { mayCampaign_ = may; }
  /// The copy on this disk, if this core is a member of the view with a copy made for it.
  /// Example: `intactReplica(acceptor.record().accepted)`.
  const ControlState* intactReplica(const View& view) const;
  /// Whether anything acknowledged in this life is known for certain. Example: a former primary.
  bool hasPublished() const { return hasPublished_; }
  /// Whether the phase leaves room for a read-only leader. Example: `idle()` in its tick.
  bool leadsHere() const { return leading_; }
  bool idle() const { return phase_ == LeaderPhase::kFollowing && !leading_; }
  /// Whether the newest views that are known give this core a vote or a copy of the state.
  bool hasDuty() const { return hasDutyIn(view_) || hasDutyIn(chosen_); }
  /// Whether so many of these voters are a majority. Example: `majority(granted, view.voters)`.
  bool majority(const std::set<CoreId>& yes, const std::vector<CoreId>& voters) const;
  /// Whether these decide on a view: a majority of its voters, and of the former ones until it is
  /// known to be settled.
  bool quorum(const std::set<CoreId>& yes, const View& view) const;
  /// Whether a view isn't known to be settled, so that its former voters have to be asked, too.
  bool asksFormerVoters(const View& view) const;
  /// What was acknowledged, for fronts. Example: `published().sections()`.
  const ControlState& published() const { return published_; }
  /// The newest view that this core knows of. Example: `view().primary`.
  const View& view() const { return view_; }
  LeaderPhase phase() const { return phase_; }
  /// The end of the primary's own hold. Example: for the status page.
  MonotonicTime leaseUntil() const { return leaseUntil_; }
  bool isSuspect() const { return suspect_; }
  bool isStalled() const { return stalled_; }
  Epoch replicaTag() const { return replica_.tag; }

 private:
  struct Write {  // one copy on its way to this disk
    Epoch tag;
    ControlState state;
    MonotonicTime since;
    Address answerTo;      // a primary elsewhere
    ReplicateRequest ask;  // what is answered
    bool own = false;
  };
  struct PeerObservation {  // what this core saw of another one
    MonotonicTime first, last = kNever;
    Address address;
    Zone zone;
    bool known = false;  // a member now
    bool leaving = false;
  };
  void watchDisk(MonotonicTime now, Outbox& outbox);
  void giveUpHopelessElection(MonotonicTime now, Outbox& outbox);
  /// Whether the state here may be shown to others: it lasts, though this leader may be lost.
  bool mayShow() const;
  // Leaving, see leadership_leaving.cc.
  bool leaving() const { return leavingSince_ != kForever; }
  bool graceIsOver(MonotonicTime now) const;
  /// Whether a view gives this core a vote or a copy of the state.
  bool hasDutyIn(const View& view) const;
  bool anyoneStays() const;
  void yieldWhenLeaving(MonotonicTime now, Outbox& outbox);
  void campaign(MonotonicTime now, Outbox& outbox);
  bool campaignDue(MonotonicTime now);
  std::size_t succession() const;
  void giveUpPhase(MonotonicTime now, Outbox& outbox);
  void prepare(View wanted, MonotonicTime now, Outbox& outbox, bool bootstraps = false);
  void prepared(MonotonicTime now, Outbox& outbox);
  void heardRejection(const PrepareReply& answer, MonotonicTime now, Outbox& outbox);
  void yieldVotes(Outbox& outbox);
  void yieldToRival(MonotonicTime now, Outbox& outbox);
  /// Asks again for votes; where a rival has some of them, by a higher epoch or not at all.
  void renewOrContest(MonotonicTime now, Outbox& outbox);
  void sendRelease(const PrepareRequest& release, Outbox& outbox);
  bool holds(const std::set<CoreId>& round) const;
  void startReplication(MonotonicTime now, Outbox& outbox);
  void replicationDone(MonotonicTime now, Outbox& outbox);
  void requestAcceptance(Outbox& outbox);
  void repeat(Outbox& outbox);
  void propose(MonotonicTime now, Outbox& outbox);
  void settled(MonotonicTime now, Outbox& outbox);
  /// Tells those who vote that the view is settled, so that its former voters count no more.
  void announceSettled(Outbox& outbox);
  View settledView() const;
  /// Counts the voters whose disks say that the leader's view is settled, and tells the others.
  void watchFinalViews(const PrepareReply& answer, Outbox& outbox);
  /// Takes what an acceptor has accepted: a newer view, or that the one known here is settled.
  void noteAccepted(const View& accepted, std::string_view why, MonotonicTime now, Outbox& outbox);
  void renew(MonotonicTime now, Outbox& outbox);
  /// Asks again for what is being prepared, with an epoch above all that was heard of.
  void raiseEpoch(MonotonicTime now, Outbox& outbox);
  void stepDown(MonotonicTime now, Outbox& outbox, std::string_view why);
  // Bootstrap, see leadership_bootstrap.cc.
  bool mayBootstrap() const;
  void bootstrapByCount(MonotonicTime now, Outbox& outbox);
  void startBootstrapElection(MonotonicTime now, Outbox& outbox);
  void heardBootstrapper(const PrepareReply& answer, MonotonicTime now, Outbox& outbox);
  void bootstrapWithPromised(MonotonicTime now, Outbox& outbox);
  void prepareBootstrappers(Outbox& outbox);
  std::size_t bootstrapQuorum() const { return bootstrap_.voters.size() / 2 + 1; }
  // Copies and batches, see leadership_replication.cc.
  void writeReplica(Write write, Outbox& outbox);
  /// The highest tag of the replica on disk and of those on their way there.
  Epoch newestTag() const;
  void replicate(Outbox& outbox, bool joining);
  void heardReplicateRejection(const ReplicateReply& answer, MonotonicTime now);
  bool allSynced(const View& view) const;
  bool stuck(MonotonicTime now) const;
  void startBatch(MonotonicTime now, Outbox& outbox);
  void finishBatch(MonotonicTime now, Outbox& outbox);
  void refuseWaiting(ChangeOutcome outcome, Outbox& outbox);
  static ChangeReply replyTo(const ChangeRequest& ask, ChangeOutcome outcome);
  void answerChange(const Address& to, ChangeReply answer, Outbox& outbox);
  void refuseOfBatch(Outbox& outbox);
  // Backups and seats, see leadership_reconfiguration.cc.
  void observePeers(MonotonicTime now);
  Duration silent(CoreId core, MonotonicTime now) const;
  std::vector<CoreId> wantedBackups(MonotonicTime now) const;
  struct Newcomer {  // a core machine that stays and has no vote yet
    CoreId core;
    MonotonicTime first;  // when it was seen first
    Address address;
  };
  std::vector<Newcomer> newcomers(MonotonicTime now) const;
  std::vector<CoreId> wantedVoters(MonotonicTime now) const;
  /// A voter whose machine is back with another disk and so with another identity; 0: none.
  CoreId supersededVoter(MonotonicTime now) const;
  CoreId leavingVoter() const;
  CoreId longestSilentVoter(MonotonicTime now) const;
  /// Whether the voters in sight couldn't decide any more after as many losses as are tolerated.
  bool bearsTooFewLosses(MonotonicTime now) const;
  std::size_t leastVoters() const { return 2 * static_cast<std::size_t>(options_.backups) + 1; }
  /// The voters after the next step of one's replacement; the same ones if none can be taken.
  std::vector<CoreId> makeRoomFrom(CoreId voter, CoreId newcomer) const;
  View wantedView(MonotonicTime now) const;
  bool changeDue(const View& wanted, MonotonicTime now) const;
  void considerViewChange(MonotonicTime now, Outbox& outbox);
  // Holders, see leadership_witnesses.cc.
  void requestWitnesses(const ControlState& state, Outbox& outbox);
  void updateWitnesses(bool whole, Outbox& outbox);
  bool witnessed(const ControlState& state) const;
  /// Names what is published where a majority of the voters holds it.
  void nameIfWitnessed(MonotonicTime now, Outbox& outbox);
  CoreId self() const { return acceptor_.record().identity; }
  bool ignoresReplicaTag() const { return options_.faults.has(ControlFault::kCopyTagIgnored); }

  Options options_;
  ReplicaOnDisk replica_;
  ControlState published_;
  bool hasPublished_ = false;
  LeaderPhase phase_ = LeaderPhase::kFollowing;
  View view_;                 // highest known
  View chosen_;               // highest known to be settled
  View wanted_;               // being settled
  View old_;                  // the view that the wanted one follows
  bool leading_ = false;      // this core leads view_
  bool unconfirmed_ = false;  // without a confirmed backup: acknowledges nothing
  bool takingOver_ = false;   // gathers to take over, not to change its own view
  bool recapture_ = false;    // a voter promised a higher epoch elsewhere
  Epoch leaseEpoch_;          // the epoch that renewals name
  Epoch seen_;                // highest epoch heard
  std::set<CoreId> promised_, accepted_, declined_;
  std::set<CoreId> finalVoters_;  // that have on disk that the view led here is settled
  std::set<CoreId> rivalVoters_;  // of those that declined: they promised another candidate
  std::vector<std::vector<CoreId>> proposed_;  // voters of views that may be settled unheard
  std::set<CoreId> witnesses_;                 // voters that surely have witnessedState_
  std::optional<ControlState> witnessedState_;
  SectionVersions shown_;  // by the newest proof of a leader
  bool named_ = false;     // a majority holds what is published
  bool mayCampaign_ = true;
  MonotonicTime phaseSince_{}, nextTry_{}, nextRenewal_{};
  std::map<std::int64_t, std::set<CoreId>> renewals_;  // by send time
  MonotonicTime leaseUntil_ = kNever;
  std::map<TicketId, Write> writes_;
  std::optional<Write> queuedWrite_;
  std::deque<WaitingChange> waiting_;
  std::vector<std::pair<Address, ChangeReply>> batch_;
  struct PendingAcknowledgement {  // published, and soon told
    SectionVersions sections;
    MonotonicTime since;
    std::vector<std::pair<Address, ChangeReply>> answers;
  };
  std::deque<PendingAcknowledgement> pendingAcknowledgements_;
  MonotonicTime publishedAt_ = kNever;
  std::optional<ControlState> batchState_;
  bool ownSynced_ = false;
  std::set<CoreId> synced_;   // backups that have what is being copied on disk
  bool yieldsBatch_ = false;  // no new batch before the view has changed
  MonotonicTime batchSince_{};
  SectionVersions newerSeen_;
  std::map<CoreId, PeerObservation> peers_;
  std::map<CoreId, MonotonicTime> failedReplicas_;
  Bootstrap bootstrap_;
  bool bootstrapping_ = false;               // gathers to found
  std::optional<PrepareRequest> releasing_;  // said again at the next tick, for words get lost
  MonotonicTime born_ = kNever, freeSince_ = kNever, leavingSince_ = kForever;
  MonotonicTime ledSince_ = kNever;
  bool suspect_ = false;
  bool stalled_ = false;
  bool started_ = false;
};

}  // namespace peppergate
