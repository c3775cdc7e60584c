#pragma once
// A core's role in the replicated control state: candidate, leader or backup. See
// docs/design-views.md for the proof.
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

/// A requested change that isn't part of a batch yet.
struct WaitingChange {
  Address from;
  ChangeRequest ask;
  MonotonicTime since;
};

/// The replica of the control state on this machine's disk.
struct ReplicaOnDisk {
  Epoch tag;  // epoch of the view that this replica was made for; 0: none
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

/// Elects a leader with a lease, replicates the control state to its backups and changes the sets
/// of voters and backups.
class Leadership : private LeadershipCollaborators {
 public:
  Leadership(const Options& options, Acceptor& acceptor, Membership& membership, Random& random,
             ReplicaOnDisk copy);

  /// Sets how this core takes part in the bootstrap of a new fleet; it does so only while it knows
  /// no view beyond a bootstrap view.
  void found(const Bootstrap& bootstrap);
  /// Renews the lease, campaigns, and changes voters and backups when due.
  void tick(MonotonicTime now, Outbox& outbox);
  void hear(const PrepareReply& answer, MonotonicTime now, Outbox& outbox);
  void hear(const AcceptReply& answer, MonotonicTime now, Outbox& outbox);
  void hear(const Address& from, const ReplicateRequest& ask, MonotonicTime now, Outbox& outbox);
  void hear(const ReplicateReply& answer, MonotonicTime now, Outbox& outbox);
  void hear(const WitnessUpdateReply& answer, MonotonicTime now, Outbox& outbox);
  /// Queues an operator's change, or rejects it if this core doesn't lead.
  void take(const Address& from, const ChangeRequest& ask, MonotonicTime now, Outbox& outbox);
  /// Completes a write; returns whether the ticket was that of a replica.
  bool written(const FileWritten& event, MonotonicTime now, Outbox& outbox);
  /// Acknowledges published changes once each router is certain to apply them within the bound.
  /// `inForce` tells whether all live routers have these sections. Called in each tick.
  void acknowledge(const std::function<bool(const SectionVersions&)>& inForce, MonotonicTime now,
                   Outbox& outbox);
  /// A router has newer sections, which were never acknowledged: the next batch gets versions above
  /// them.
  void sawNewer(const SectionVersions& seen);
  /// Notes versions that a leader proved: they are durable, so that they may be shown again.
  void noteShown(const SectionVersions& sections) { shown_ = sections; }
  /// Takes a view that is known to be settled, as one that came with a proof.
  void noteChosen(const View& view, MonotonicTime now, Outbox& outbox);
  /// Takes a view that some voter accepted, as reported by others: a replica without a vote learns
  /// from it which core to ask.
  void noteHeardOf(const View& view, MonotonicTime now, Outbox& outbox);
  /// The disk is bad for the acceptor's record and for the state: this core doesn't vote, replicate
  /// or lead until the process is restarted, and it tells all peers.
  void suspect(Outbox& outbox);
  /// Begins the shutdown, as on SIGTERM: completes the changes under way, then steps down.
  void leave(MonotonicTime now);
  /// Whether the process may end: it doesn't lead, has sent the release of its votes twice, and
  /// neither its vote nor its replica is needed, or no core could take them over within the grace
  /// time.
  bool gone(MonotonicTime now) const;
  /// A core released its votes; if it was the leader, the first backup campaigns at once.
  void released(CoreId candidate, MonotonicTime now);

  /// Whether this core leads and its lease hasn't run out.
  bool leads(MonotonicTime now) const;
  /// Whether this core leads and may show its state in proofs: the state is on the disks of a
  /// confirmed view, and a majority of the voters has it.
  bool names(MonotonicTime now) const { return leads(now) && named_; }
  /// Sets whether this core may campaign; while it is a read-only leader it may not.
  void mayCampaign(bool may) { mayCampaign_ = may; }
  /// The replica on this disk, if this core is a member of the view and the replica was made for
  /// it; null otherwise.
  const ControlState* intactReplica(const View& view) const;
  /// Whether this process led and has the state that it published on its disk.
  bool hasPublished() const { return hasPublished_; }
  bool leadsHere() const { return leading_; }
  /// Whether this core neither leads nor campaigns, so that it may be a read-only leader.
  bool idle() const { return phase_ == LeaderPhase::kFollowing && !leading_; }
  /// Whether the newest known views give this core a vote or a replica of the state.
  bool hasDuty() const { return hasDutyIn(view_) || hasDutyIn(chosen_); }
  /// Whether the cores include a majority of these voters.
  bool majority(const std::set<CoreId>& yes, const std::vector<CoreId>& voters) const;
  /// Whether these cores are a quorum of a view: a majority of its voters, and of the former ones
  /// until the view is known to be settled.
  bool quorum(const std::set<CoreId>& yes, const View& view) const;
  /// Whether a view isn't known to be settled, so that a majority of its former voters is needed,
  /// too.
  bool asksFormerVoters(const View& view) const;
  /// The state that routers may apply.
  const ControlState& published() const { return published_; }
  /// The newest view that this core knows of, settled or not.
  const View& view() const { return view_; }
  LeaderPhase phase() const { return phase_; }
  /// The end of the leader's own lease.
  MonotonicTime leaseUntil() const { return leaseUntil_; }
  bool isSuspect() const { return suspect_; }
  bool isStalled() const { return stalled_; }
  Epoch replicaTag() const { return replica_.tag; }

 private:
  struct Write {  // a replica that is being written to this disk
    Epoch tag;
    ControlState state;
    MonotonicTime since;
    Address answerTo;      // the leader on another machine
    ReplicateRequest ask;  // the request to answer
    bool own = false;      // of this core's own state, as the leader
  };
  struct PeerObservation {  // what this core knows about another core
    MonotonicTime first, last = kNever;
    Address address;
    Zone zone;
    bool known = false;  // a live member now
    bool leaving = false;
  };
  void watchDisk(MonotonicTime now, Outbox& outbox);
  void giveUpHopelessElection(MonotonicTime now, Outbox& outbox);
  /// Whether the state may be shown to others: it is durable, even if this leader is lost.
  bool mayShow() const;
  // Shutdown, see leadership_leaving.cc.
  bool leaving() const { return leavingSince_ != kForever; }
  bool graceIsOver(MonotonicTime now) const;
  /// Whether a view gives this core a vote or a replica of the state.
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
  /// Renews the requests for votes; where a rival has some of them, uses a higher epoch or yields.
  void renewOrContest(MonotonicTime now, Outbox& outbox);
  void sendRelease(const PrepareRequest& release, Outbox& outbox);
  bool holds(const std::set<CoreId>& round) const;
  void startReplication(MonotonicTime now, Outbox& outbox);
  void replicationDone(MonotonicTime now, Outbox& outbox);
  void requestAcceptance(Outbox& outbox);
  void repeat(Outbox& outbox);
  void propose(MonotonicTime now, Outbox& outbox);
  void settled(MonotonicTime now, Outbox& outbox);
  /// Tells the voters that the view is settled, so that its former voters no longer count.
  void announceSettled(Outbox& outbox);
  View settledView() const;
  /// Counts the voters that have the leader's view as settled on disk, and tells the others.
  void watchFinalViews(const PrepareReply& answer, Outbox& outbox);
  /// Takes a view that an acceptor has accepted: it may be newer than the known one, or its settled
  /// form.
  void noteAccepted(const View& accepted, std::string_view why, MonotonicTime now, Outbox& outbox);
  void renew(MonotonicTime now, Outbox& outbox);
  /// Prepares the same view again, with an epoch above all known ones.
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
  // Replicas and batches, see leadership_replication.cc.
  void writeReplica(Write write, Outbox& outbox);
  /// The highest tag of the replica on disk and of those that are being written or queued.
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
  // Backups and voters, see leadership_reconfiguration.cc.
  void observePeers(MonotonicTime now);
  Duration silent(CoreId core, MonotonicTime now) const;
  std::vector<CoreId> wantedBackups(MonotonicTime now) const;
  struct Newcomer {  // a live core without a vote that isn't leaving
    CoreId core;
    MonotonicTime first;  // when this core first saw it
    Address address;
  };
  std::vector<Newcomer> newcomers(MonotonicTime now) const;
  std::vector<CoreId> wantedVoters(MonotonicTime now) const;
  /// A voter whose machine came back with a new disk and so with a new identity; 0: none.
  CoreId supersededVoter(MonotonicTime now) const;
  CoreId leavingVoter() const;
  CoreId longestSilentVoter(MonotonicTime now) const;
  /// Whether the reachable voters would no longer be a majority after as many losses as are
  /// tolerated.
  bool bearsTooFewLosses(MonotonicTime now) const;
  std::size_t leastVoters() const { return 2 * static_cast<std::size_t>(options_.backups) + 1; }
  /// The voters after the next step of replacing `voter`; unchanged if no step is possible.
  std::vector<CoreId> makeRoomFrom(CoreId voter, CoreId newcomer) const;
  View wantedView(MonotonicTime now) const;
  bool changeDue(const View& wanted, MonotonicTime now) const;
  void considerViewChange(MonotonicTime now, Outbox& outbox);
  // Witnesses, see leadership_witnesses.cc.
  void requestWitnesses(const ControlState& state, Outbox& outbox);
  void updateWitnesses(bool whole, Outbox& outbox);
  bool witnessed(const ControlState& state) const;
  /// Allows the published state in proofs once a majority of the voters has it.
  void nameIfWitnessed(MonotonicTime now, Outbox& outbox);
  CoreId self() const { return acceptor_.record().identity; }
  bool ignoresReplicaTag() const { return options_.faults.has(ControlFault::kCopyTagIgnored); }

  Options options_;
  ReplicaOnDisk replica_;
  ControlState published_;
  bool hasPublished_ = false;
  LeaderPhase phase_ = LeaderPhase::kFollowing;
  View view_;                 // newest known
  View chosen_;               // newest known to be settled
  View wanted_;               // being prepared or proposed
  View old_;                  // the view that the next one replaces
  bool leading_ = false;      // this core leads view_
  bool unconfirmed_ = false;  // no confirmed backups: acknowledges nothing
  bool takingOver_ = false;   // campaigns, rather than changes its own view
  bool recapture_ = false;    // a voter promised a higher epoch to another core
  Epoch leaseEpoch_;          // epoch of lease renewals
  Epoch seen_;                // highest epoch known
  std::set<CoreId> promised_, accepted_, declined_;
  std::set<CoreId> finalVoters_;  // have the leader's view as settled on disk
  std::set<CoreId> rivalVoters_;  // of declined_: those that promised another candidate
  std::vector<std::vector<CoreId>> proposed_;  // voters of views that may be settled unknown to it
  std::set<CoreId> witnesses_;                 // voters known to have witnessedState_
  std::optional<ControlState> witnessedState_;
  SectionVersions shown_;  // in the newest proof of a leader
  bool named_ = false;     // a majority of the voters has the published state
  bool mayCampaign_ = true;
  MonotonicTime phaseSince_{}, nextTry_{}, nextRenewal_{};
  std::map<std::int64_t, std::set<CoreId>> renewals_;  // by send time
  MonotonicTime leaseUntil_ = kNever;
  std::map<TicketId, Write> writes_;
  std::optional<Write> queuedWrite_;
  std::deque<WaitingChange> waiting_;
  std::vector<std::pair<Address, ChangeReply>> batch_;
  struct PendingAcknowledgement {  // published, not acknowledged yet
    SectionVersions sections;
    MonotonicTime since;
    std::vector<std::pair<Address, ChangeReply>> answers;
  };
  std::deque<PendingAcknowledgement> pendingAcknowledgements_;
  MonotonicTime publishedAt_ = kNever;
  std::optional<ControlState> batchState_;
  bool ownSynced_ = false;
  std::set<CoreId> synced_;   // backups that have the state being replicated on disk
  bool yieldsBatch_ = false;  // starts no new batch before the view has changed
  MonotonicTime batchSince_{};
  SectionVersions newerSeen_;
  std::map<CoreId, PeerObservation> peers_;
  std::map<CoreId, MonotonicTime> failedReplicas_;
  Bootstrap bootstrap_;
  bool bootstrapping_ = false;               // prepares a bootstrap view
  std::optional<PrepareRequest> releasing_;  // sent again at the next tick, in case it was lost
  MonotonicTime born_ = kNever, freeSince_ = kNever, leavingSince_ = kForever;
  MonotonicTime ledSince_ = kNever;
  bool suspect_ = false;
  bool stalled_ = false;
  bool started_ = false;
};

}  // namespace peppergate
