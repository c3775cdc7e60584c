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
struct QueuedChange {
  Address from;
  ChangeRequest request;
  MonotonicTime since;
};

/// The replica of the control state on this machine's disk.
struct StoredReplica {
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
             StoredReplica replica);

  /// Sets how this core takes part in the bootstrap of a new fleet; it does so only while it knows
  /// no view beyond a bootstrap view.
  void setBootstrap(const Bootstrap& bootstrap);
  /// Renews the lease, campaigns, and changes voters and backups when due.
  void tick(MonotonicTime now, Outbox& outbox);
  void handle(const PrepareReply& reply, MonotonicTime now, Outbox& outbox);
  void handle(const AcceptReply& reply, MonotonicTime now, Outbox& outbox);
  void handle(const Address& from, const ReplicateRequest& request, MonotonicTime now,
              Outbox& outbox);
  void handle(const ReplicateReply& reply, MonotonicTime now, Outbox& outbox);
  void handle(const WitnessUpdateReply& reply, MonotonicTime now, Outbox& outbox);
  /// Queues an operator's change, or rejects it if this core doesn't lead.
  void submitChange(const Address& from, const ChangeRequest& request, MonotonicTime now,
                    Outbox& outbox);
  /// Completes a write; returns whether the ticket was that of a replica.
  bool completeWrite(const FileWritten& event, MonotonicTime now, Outbox& outbox);
  /// Acknowledges published changes once each router is certain to apply them within the bound.
  /// `inForce` tells whether all live routers have these sections. Called in each tick.
  void acknowledge(const std::function<bool(const SectionVersions&)>& inForce, MonotonicTime now,
                   Outbox& outbox);
  /// A router has newer sections, which were never acknowledged: the next batch gets versions above
  /// them.
  void noteNewerVersions(const SectionVersions& seen);
  /// Notes versions that a leader proved: they are durable, so that they may be shown again.
  void noteProvenVersions(const SectionVersions& sections) { provenVersions_ = sections; }
  /// Takes a view that is known to be settled, as one that came with a proof.
  void noteSettledView(const View& view, MonotonicTime now, Outbox& outbox);
  /// Takes a view that some voter accepted, as reported by others: a replica without a vote learns
  /// from it which core to ask.
  void noteReportedView(const View& view, MonotonicTime now, Outbox& outbox);
  /// The disk is bad for the acceptor's record and for the state: this core doesn't vote, replicate
  /// or lead until the process is restarted, and it tells all peers.
  void markDiskSuspect(Outbox& outbox);
  /// Begins the shutdown, as on SIGTERM: completes the changes under way, then steps down.
  void beginLeaving(MonotonicTime now);
  /// Whether the process may end: it doesn't lead, has sent the release of its votes twice, and
  /// neither its vote nor its replica is needed, or no core could take them over within the grace
  /// time.
  bool mayExit(MonotonicTime now) const;
  /// A core released its votes; if it was the leader, the first backup campaigns at once.
  void handleRelease(CoreId candidate, MonotonicTime now);

  /// Whether this core leads and its lease hasn't run out.
  bool hasLeaderLease(MonotonicTime now) const;
  /// Whether this core leads and may show its state in proofs: the state is on the disks of a
  /// confirmed view, and a majority of the voters has it.
  bool mayShowState(MonotonicTime now) const {
    return hasLeaderLease(now) && publishedIsWitnessed_;
  }
  /// Sets whether this core may campaign; while it is a read-only leader it may not.
  void allowCampaign(bool allowed) { mayCampaign_ = allowed; }
  /// The replica on this disk, if this core is a member of the view and the replica was made for
  /// it; null otherwise.
  const ControlState* intactReplica(const View& view) const;
  /// Whether this process led and has the state that it published on its disk.
  bool hasPublished() const { return hasPublished_; }
  bool isLeader() const { return leading_; }
  /// Whether this core neither leads nor campaigns, so that it may be a read-only leader.
  bool isIdle() const { return phase_ == LeaderPhase::kFollowing && !leading_; }
  /// Whether the newest known views give this core a vote or a replica of the state.
  bool hasVoteOrReplica() const {
    return hasVoteOrReplicaIn(view_) || hasVoteOrReplicaIn(newestSettledView_);
  }
  /// Whether the cores include a majority of these voters.
  bool isMajority(const std::set<CoreId>& cores, const std::vector<CoreId>& voters) const;
  /// Whether these cores are a quorum of a view: a majority of its voters, and of the former ones
  /// until the view is known to be settled.
  bool isQuorum(const std::set<CoreId>& cores, const View& view) const;
  /// Whether a view isn't known to be settled, so that a majority of its former voters is needed,
  /// too.
  bool needsFormerVoters(const View& view) const;
  /// The state that routers may apply.
  const ControlState& published() const { return published_; }
  /// The newest view that this core knows of, settled or not.
  const View& view() const { return view_; }
  LeaderPhase phase() const { return phase_; }
  /// The end of the leader's own lease.
  MonotonicTime leaseUntil() const { return leaseUntil_; }
  bool isDiskSuspect() const { return diskSuspect_; }
  bool isDiskStalled() const { return diskStalled_; }
  Epoch replicaTag() const { return replica_.tag; }

 private:
  struct ReplicaWrite {  // a replica that is being written to this disk
    Epoch tag;
    ControlState state;
    MonotonicTime since;
    Address requester;         // the leader on another machine
    ReplicateRequest request;  // the request to answer
    bool ownState = false;     // of this core's own state, as the leader
  };
  struct PeerObservation {  // what this core knows about another core
    MonotonicTime first, last = kNever;
    Address address;
    Zone zone;
    bool known = false;  // a live member now
    bool leaving = false;
  };
  void checkDiskStall(MonotonicTime now, Outbox& outbox);
  void abandonHopelessElection(MonotonicTime now, Outbox& outbox);
  /// Whether the state may be shown to others: it is durable, even if this leader is lost.
  bool publishedIsDurable() const;
  // Shutdown, see leadership_shutdown.cc.
  bool leaving() const { return leavingSince_ != kForever; }
  bool graceTimeIsOver(MonotonicTime now) const;
  /// Whether a view gives this core a vote or a replica of the state.
  bool hasVoteOrReplicaIn(const View& view) const;
  bool anyOtherCoreStays() const;
  void stepDownWhenLeaving(MonotonicTime now, Outbox& outbox);
  void campaignIfDue(MonotonicTime now, Outbox& outbox);
  bool campaignDue(MonotonicTime now);
  std::size_t successionRank() const;
  void abortPhase(MonotonicTime now, Outbox& outbox);
  void startPrepare(View wanted, MonotonicTime now, Outbox& outbox, bool bootstraps = false);
  void handlePrepared(MonotonicTime now, Outbox& outbox);
  void handlePrepareRejection(const PrepareReply& reply, MonotonicTime now, Outbox& outbox);
  void releaseVotes(Outbox& outbox);
  void yieldToRival(MonotonicTime now, Outbox& outbox);
  /// Renews the requests for votes; where a rival has some of them, uses a higher epoch or yields.
  void renewOrContest(MonotonicTime now, Outbox& outbox);
  void sendRelease(const PrepareRequest& release, Outbox& outbox);
  bool isLeaseQuorum(const std::set<CoreId>& grantors) const;
  void startReplication(MonotonicTime now, Outbox& outbox);
  void proposeIfReplicated(MonotonicTime now, Outbox& outbox);
  void requestAcceptance(Outbox& outbox);
  void resendUnanswered(Outbox& outbox);
  void propose(MonotonicTime now, Outbox& outbox);
  void leadSettledView(MonotonicTime now, Outbox& outbox);
  /// Tells the voters that the view is settled, so that its former voters no longer count.
  void announceSettled(Outbox& outbox);
  View settledView() const;
  /// Counts the voters that have the leader's view as settled on disk, and tells the others.
  void trackFinalViews(const PrepareReply& reply, Outbox& outbox);
  /// Takes a view that an acceptor has accepted: it may be newer than the known one, or its settled
  /// form.
  void noteAccepted(const View& accepted, std::string_view reason, MonotonicTime now,
                    Outbox& outbox);
  void renewLease(MonotonicTime now, Outbox& outbox);
  /// Prepares the same view again, with an epoch above all known ones.
  void raiseEpoch(MonotonicTime now, Outbox& outbox);
  void stepDown(MonotonicTime now, Outbox& outbox, std::string_view reason);
  // Bootstrap, see leadership_bootstrap.cc.
  bool mayBootstrap() const;
  void bootstrapByCount(MonotonicTime now, Outbox& outbox);
  void startBootstrapElection(MonotonicTime now, Outbox& outbox);
  void handleBootstrapPromise(const PrepareReply& reply, MonotonicTime now, Outbox& outbox);
  void bootstrapWithPromised(MonotonicTime now, Outbox& outbox);
  void requestBootstrapAcceptance(Outbox& outbox);
  std::size_t bootstrapQuorum() const { return bootstrap_.voters.size() / 2 + 1; }
  // Replicas and batches, see leadership_replication.cc.
  void writeReplica(ReplicaWrite write, Outbox& outbox);
  /// The highest tag of the replica on disk and of those that are being written or queued.
  Epoch newestTag() const;
  void sendReplicas(Outbox& outbox, bool joining);
  void handleReplicateRejection(const ReplicateReply& reply, MonotonicTime now);
  bool allSynced(const View& view) const;
  bool isBatchStuck(MonotonicTime now) const;
  void startBatch(MonotonicTime now, Outbox& outbox);
  void finishBatch(MonotonicTime now, Outbox& outbox);
  void refuseQueuedChanges(ChangeOutcome outcome, Outbox& outbox);
  static ChangeReply replyTo(const ChangeRequest& request, ChangeOutcome outcome);
  void sendChangeReply(const Address& to, ChangeReply reply, Outbox& outbox);
  void sendBatchRefusals(Outbox& outbox);
  // Backups and voters, see leadership_reconfiguration.cc.
  void updatePeers(MonotonicTime now);
  Duration silenceOf(CoreId core, MonotonicTime now) const;
  std::vector<CoreId> wantedBackups(MonotonicTime now) const;
  struct Newcomer {  // a live core without a vote that isn't leaving
    CoreId core;
    MonotonicTime firstSeen;  // when this core first saw it
    Address address;
  };
  std::vector<Newcomer> findNewcomers(MonotonicTime now) const;
  std::vector<CoreId> wantedVoters(MonotonicTime now) const;
  /// A voter whose machine came back with a new disk and so with a new identity; 0: none.
  CoreId supersededVoter(MonotonicTime now) const;
  CoreId leavingVoter() const;
  CoreId longestSilentVoter(MonotonicTime now) const;
  /// Whether the reachable voters would no longer be a majority after as many losses as are
  /// tolerated.
  bool toleratesTooFewLosses(MonotonicTime now) const;
  std::size_t minVoters() const { return 2 * static_cast<std::size_t>(options_.backups) + 1; }
  /// The voters after the next step of replacing `voter`; unchanged if no step is possible.
  std::vector<CoreId> replaceVoterByOneStep(CoreId voter, CoreId newcomer) const;
  View wantedView(MonotonicTime now) const;
  bool viewChangeDue(const View& wanted, MonotonicTime now) const;
  void considerViewChange(MonotonicTime now, Outbox& outbox);
  // Witnesses, see leadership_witnesses.cc.
  void requestWitnesses(const ControlState& state, Outbox& outbox);
  void sendWitnessUpdates(bool allSections, Outbox& outbox);
  bool isWitnessed(const ControlState& state) const;
  /// Allows the published state in proofs once a majority of the voters has it.
  void showIfWitnessed(MonotonicTime now, Outbox& outbox);
  CoreId self() const { return acceptor_.record().identity; }
  bool ignoresReplicaTag() const { return options_.faults.has(ControlFault::kReplicaTagIgnored); }

  Options options_;
  StoredReplica replica_;
  ControlState published_;
  bool hasPublished_ = false;
  LeaderPhase phase_ = LeaderPhase::kFollowing;
  View view_;                      // newest known
  View newestSettledView_;         // newest known to be settled
  View nextView_;                  // being prepared or proposed
  View previousView_;              // the view that the next one replaces
  bool leading_ = false;           // this core leads view_
  bool unconfirmed_ = false;       // no confirmed backups: acknowledges nothing
  bool campaigning_ = false;       // campaigns, rather than changes its own view
  bool needsHigherEpoch_ = false;  // a voter promised a higher epoch to another core
  Epoch leaseEpoch_;               // epoch of lease renewals
  Epoch highestEpochSeen_;         // highest epoch known
  std::set<CoreId> promisedVoters_, acceptedVoters_, rejectedVoters_;
  std::set<CoreId> finalVoters_;  // have the leader's view as settled on disk
  std::set<CoreId> rivalVoters_;  // of rejectedVoters_: those that promised another candidate
  std::vector<std::vector<CoreId>>
      proposedVoterSets_;       // voters of views that may be settled unknown to it
  std::set<CoreId> witnesses_;  // voters known to have witnessedState_
  std::optional<ControlState> witnessedState_;
  SectionVersions provenVersions_;     // in the newest proof of a leader
  bool publishedIsWitnessed_ = false;  // a majority of the voters has the published state
  bool mayCampaign_ = true;
  MonotonicTime phaseSince_{}, nextAttempt_{}, nextRenewal_{};
  std::map<std::int64_t, std::set<CoreId>> renewalGrants_;  // by send time
  MonotonicTime leaseUntil_ = kNever;
  std::map<TicketId, ReplicaWrite> writes_;
  std::optional<ReplicaWrite> queuedWrite_;
  std::deque<QueuedChange> queuedChanges_;
  std::vector<std::pair<Address, ChangeReply>> batchReplies_;
  struct PendingAcknowledgement {  // published, not acknowledged yet
    SectionVersions sections;
    MonotonicTime since;
    std::vector<std::pair<Address, ChangeReply>> replies;
  };
  std::deque<PendingAcknowledgement> pendingAcknowledgements_;
  MonotonicTime publishedAt_ = kNever;
  std::optional<ControlState> batchState_;
  bool ownSynced_ = false;
  std::set<CoreId> syncedBackups_;  // backups that have the state being replicated on disk
  bool pausesBatches_ = false;      // starts no new batch before the view has changed
  MonotonicTime batchSince_{};
  SectionVersions newerRouterVersions_;
  std::map<CoreId, PeerObservation> peers_;
  std::map<CoreId, MonotonicTime> failedBackups_;
  Bootstrap bootstrap_;
  bool bootstrapping_ = false;  // prepares a bootstrap view
  std::optional<PrepareRequest>
      releaseToResend_;  // sent again at the next tick, in case it was lost
  MonotonicTime bootstrapBegan_ = kNever, votesFreeSince_ = kNever, leavingSince_ = kForever;
  MonotonicTime ledSince_ = kNever;
  bool diskSuspect_ = false;
  bool diskStalled_ = false;
  bool startDelayApplied_ = false;
};

}  // namespace peppergate
