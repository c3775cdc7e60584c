#include "core/leadership.h"

#include <algorithm>

#include "core/quorum.h"

namespace peppergate {
Leadership::Leadership(const Options& options, Acceptor& acceptor, Membership& membership,
                       Random& random, StoredReplica replica)
    : LeadershipCollaborators(acceptor, membership, random),
      options_(options),
      replica_(std::move(replica)),
      view_(acceptor.record().accepted) {
  // The replica's tag is an epoch that a leader used, possibly this core; it isn't used again.
  highestEpochSeen_ = std::max({acceptor.record().promised, view_.epoch, replica_.tag});
}

bool Leadership::isMajority(const std::set<CoreId>& cores,
                            const std::vector<CoreId>& voters) const {
  auto count = static_cast<std::size_t>(
      std::ranges::count_if(voters, [&](CoreId core) { return cores.contains(core); }));
  if (options_.faults.has(ControlFault::kMajorityOffByOne)) return count * 2 >= voters.size();
  return count * 2 > voters.size();
}

bool Leadership::isQuorum(const std::set<CoreId>& cores, const View& view) const {
  return isMajority(cores, view.voters) &&
         (!needsFormerVoters(view) || isMajority(cores, view.formerVoters));
}

bool Leadership::needsFormerVoters(const View& view) const {
  return !view.formerVoters.empty() && !options_.faults.has(ControlFault::kFormerVotersIgnored) &&
         !options_.faults.has(ControlFault::kFormerMajoritySkipped);
}

void Leadership::noteAccepted(const View& accepted, std::string_view reason, MonotonicTime now,
                              Outbox& outbox) {
  bool isSettled = accepted.epoch == view_.epoch && accepted.formerVoters.empty();
  if (isSettled && !leading_) view_.formerVoters.clear();
  if (accepted.epoch <= view_.epoch || (accepted.primary == self() && leading_)) return;
  view_ = accepted;
  if (leading_) stepDown(now, outbox, reason);
}

bool Leadership::hasLeaderLease(MonotonicTime now) const {
  bool leaseIsValid = now < leaseUntil_ || !options_.isGuardEnabled(SafetyGuard::kPrimaryLease);
  return leading_ && !diskSuspect_ && leaseIsValid;
}

void Leadership::tick(MonotonicTime now, Outbox& outbox) {
  noteAccepted(acceptor_.record().accepted, "a newer view was accepted", now, outbox);
  highestEpochSeen_ = std::max({highestEpochSeen_, acceptor_.record().promised, view_.epoch});
  updatePeers(now);
  if (releaseToResend_) sendRelease(*std::exchange(releaseToResend_, std::nullopt), outbox);
  if (diskSuspect_) return;
  checkDiskStall(now, outbox);
  if (diskStalled_) return;
  if (leading_ && !hasLeaderLease(now)) stepDown(now, outbox, "its lease ran out");
  stepDownWhenLeaving(now, outbox);
  abandonHopelessElection(now, outbox);
  // A candidate repeats its requests, too: leases of the last leader may be about to run out.
  bool renewsLease = leading_ || bootstrapping_ || phase_ == LeaderPhase::kPreparing ||
                     phase_ == LeaderPhase::kReplicating || phase_ == LeaderPhase::kAccepting;
  if (renewsLease && now >= nextRenewal_) renewOrContest(now, outbox);
  switch (phase_) {
    case LeaderPhase::kFollowing:
      campaignIfDue(now, outbox);
      break;
    case LeaderPhase::kBootstrapping:
    case LeaderPhase::kPreparing:
    case LeaderPhase::kReplicating:
    case LeaderPhase::kAccepting:
      // Preparing has a longer timeout: a late renewal of the last leader may still bind a vote,
      // and a rival is detected by its votes rather than by a timeout.
      if (now - phaseSince_ >
          options_.replicateTimeout * (phase_ == LeaderPhase::kPreparing ? 3 : 1))
        abortPhase(now, outbox);
      break;
    case LeaderPhase::kLeading:
      if (isBatchStuck(now))
        for (CoreId backup : view_.backups)
          if (!syncedBackups_.contains(backup)) failedBackups_[backup] = now;
      considerViewChange(now, outbox);
      if (phase_ == LeaderPhase::kLeading) startBatch(now, outbox);
      break;
  }
}

void Leadership::checkDiskStall(MonotonicTime now, Outbox& outbox) {
  MonotonicTime oldest = acceptor_.writingSince();
  for (const auto& [ticket, write] : writes_) oldest = std::min(oldest, write.since);
  bool isStalled = oldest != kForever && now - oldest > options_.syncTimeout;
  if (isStalled == diskStalled_) return;
  diskStalled_ = isStalled;  // until the write is done
  if (!isStalled) return;
  outbox.count("disk.stalled");
  if (leading_ || phase_ != LeaderPhase::kFollowing) stepDown(now, outbox, "the disk stalled");
}

void Leadership::startPrepare(View wanted, MonotonicTime now, Outbox& outbox, bool bootstraps) {
  highestEpochSeen_ = {highestEpochSeen_.value + 1};
  nextView_ = std::move(wanted);
  nextView_.epoch = highestEpochSeen_;
  previousView_ =
      acceptor_.record().accepted.epoch > view_.epoch ? acceptor_.record().accepted : view_;
  bootstrapping_ = bootstraps;
  if (bootstraps) {  // the bootstrappers vote, whatever they accepted
    previousView_.voters = nextView_.voters;
    previousView_.formerVoters.clear();
  }
  leaseEpoch_ = highestEpochSeen_;
  promisedVoters_.clear();
  acceptedVoters_.clear();
  rejectedVoters_.clear();
  rivalVoters_.clear();
  needsHigherEpoch_ = false;
  phase_ = LeaderPhase::kPreparing;
  phaseSince_ = now;
  outbox.count("views.gathered");
  renewLease(now, outbox);
}

void Leadership::raiseEpoch(MonotonicTime now, Outbox& outbox) {
  // A voter that promised a higher epoch to another candidate never grants this one, even after
  // that candidate has given up; voters that granted this one grant a higher one, too.
  MonotonicTime since = phaseSince_;
  startPrepare(nextView_, now, outbox);
  phaseSince_ = since;
  outbox.count("views.outbid");
}

void Leadership::renewLease(MonotonicTime now, Outbox& outbox) {
  nextRenewal_ = now + options_.leaseRenewal;
  Epoch epoch = std::max(view_.epoch, leaseEpoch_);  // never below a promised epoch
  std::set<CoreId> asked = allVoters(view_);
  asked.insert(nextView_.voters.begin(), nextView_.voters.end());
  asked.insert(self());  // its own promise makes the epoch durable before it is used
  PrepareKind kind = bootstrapping_ ? PrepareKind::kBootstrap : PrepareKind::kLease;
  for (CoreId voter : asked)
    outbox.send(membership_.addressOf(voter), PrepareRequest{epoch, self(), now, kind});
  resendUnanswered(outbox);
  renewalGrants_[now.microseconds];
  while (renewalGrants_.size() > 8) renewalGrants_.erase(renewalGrants_.begin());
}

void Leadership::handle(const PrepareReply& reply, MonotonicTime now, Outbox& outbox) {
  membership_.noteAlive(reply.voter, std::min(reply.sentAt, now));
  highestEpochSeen_ = std::max({highestEpochSeen_, reply.promised, reply.accepted.epoch});
  noteAccepted(reply.accepted, "a voter accepted a newer view", now, outbox);
  if (phase_ == LeaderPhase::kPreparing && !bootstrapping_) {
    // A view that was accepted may be settled, so it counts as the predecessor.
    if (reply.accepted.epoch > previousView_.epoch) previousView_ = reply.accepted;
    bool isSettled =
        reply.accepted.epoch == previousView_.epoch && reply.accepted.formerVoters.empty();
    if (isSettled) previousView_.formerVoters.clear();
  }
  if (!reply.granted) {
    handlePrepareRejection(reply, now, outbox);
    return;
  }
  if (phase_ == LeaderPhase::kLeading && reply.epoch == view_.epoch) trackFinalViews(reply, outbox);
  auto round = renewalGrants_.find(reply.sentAt.microseconds);
  if (round != renewalGrants_.end()) {
    round->second.insert(reply.voter);
    // The lease counts from the time of the request, and needs a majority of the newest voters.
    if (isLeaseQuorum(round->second))
      leaseUntil_ = std::max(leaseUntil_, reply.sentAt + options_.leaseStop);
  }
  if (phase_ != LeaderPhase::kPreparing || reply.epoch != nextView_.epoch) return;
  if (bootstrapping_) {
    handleBootstrapPromise(reply, now, outbox);
    return;
  }
  promisedVoters_.insert(reply.voter);
  rivalVoters_.erase(reply.voter);
  // An epoch that isn't on this disk could be used again after a power loss, for another state.
  const AcceptorRecord& own = acceptor_.record();
  bool ownPromise = own.promised == nextView_.epoch && own.promisedTo == self();
  if (ownPromise && isQuorum(promisedVoters_, previousView_)) handlePrepared(now, outbox);
}

void Leadership::trackFinalViews(const PrepareReply& reply, Outbox& outbox) {
  // A voter that missed the acceptance is told again: a read-only leader and its grantors need
  // equal views.
  View final = settledView();
  if (reply.accepted != final) {
    outbox.send(membership_.addressOf(reply.voter), AcceptRequest{final, false});
    return;
  }
  // Until a majority has it on disk, the former voters may be needed again, so none may leave.
  finalVoters_.insert(reply.voter);
  if (view_.formerVoters.empty() || !isMajority(finalVoters_, view_.voters)) return;
  view_ = previousView_ = newestSettledView_ = final;
  outbox.count("views.final");
}

View Leadership::settledView() const {
  View settled = view_;
  settled.formerVoters.clear();
  return settled;
}

bool Leadership::isLeaseQuorum(const std::set<CoreId>& grantors) const {
  const View& counted =
      leading_ ? view_ : (phase_ == LeaderPhase::kPreparing ? previousView_ : nextView_);
  // A view that was proposed since may be settled unknown to this core; then another core may have
  // a lease from a majority of its voters.
  return isQuorum(grantors, counted) &&
         std::ranges::all_of(proposedVoterSets_,
                             [&](const auto& voters) { return isMajority(grantors, voters); });
}

void Leadership::handlePrepareRejection(const PrepareReply& reply, MonotonicTime now,
                                        Outbox& outbox) {
  // A voter that promised a higher epoch to another core only grants an even higher one.
  if (reply.promised > std::max(view_.epoch, leaseEpoch_)) needsHigherEpoch_ = true;
  if (phase_ != LeaderPhase::kPreparing || leading_ || reply.epoch != nextView_.epoch) return;
  if (reply.promised >= nextView_.epoch) needsHigherEpoch_ = true;  // to another, by equal number
  rejectedVoters_.insert(reply.voter);
  // A promise above the accepted epoch was given to a rival; otherwise the lease belongs to the
  // last leader and runs out soon.
  if (reply.promised > reply.accepted.epoch) rivalVoters_.insert(reply.voter);
  bool rejectedByHalf = rejectedVoters_.size() * 2 >= previousView_.voters.size();
  if (isMajority(rejectedVoters_, previousView_.voters) || rejectedByHalf)
    yieldToRival(now, outbox);  // can't win now
}

void Leadership::handlePrepared(MonotonicTime now, Outbox& outbox) {
  bool hasIntactReplica =
      isMember(previousView_, self()) && replica_.tag >= previousView_.baseEpoch;
  if (!hasIntactReplica && !ignoresReplicaTag()) {
    outbox.push(
        LogState{"core: candidate has no intact replica of the last view, gives up the election"});
    if (leading_) phase_ = LeaderPhase::kLeading;
    else releaseVotes(outbox);  // frees them for an eligible candidate
    nextAttempt_ = now + seconds(1);
    return;
  }
  phaseSince_ = now;
  if (campaigning_) {
    // The first view keeps the same members: nothing is acknowledged in it, so that the member
    // which had all acknowledged changes still has them.
    nextView_.primary = self();
    nextView_.backups = previousView_.backups;
    if (previousView_.primary != self()) {
      std::erase(nextView_.backups, self());
      nextView_.backups.push_back(previousView_.primary);
    }
    nextView_.baseEpoch = previousView_.baseEpoch;
    nextView_.voters = previousView_.voters;
    nextView_.formerVoters = previousView_.formerVoters;
    propose(now, outbox);
    return;
  }
  startReplication(now, outbox);
}

void Leadership::resendUnanswered(Outbox& outbox) {
  // Unanswered requests are sent again with each renewal, so that one lost message doesn't fail the
  // whole attempt.
  if (phase_ == LeaderPhase::kAccepting) requestAcceptance(outbox);
  if (phase_ == LeaderPhase::kBootstrapping && bootstrapping_ && ownSynced_)
    requestBootstrapAcceptance(outbox);
  if (phase_ == LeaderPhase::kReplicating) sendReplicas(outbox, true);
  if (phase_ == LeaderPhase::kLeading && batchState_) sendReplicas(outbox, false);
  if (leading_ && witnessedState_ && !isMajority(witnesses_, view_.voters))
    sendWitnessUpdates(true, outbox);
}

void Leadership::leadSettledView(MonotonicTime now, Outbox& outbox) {
  view_ = nextView_;
  previousView_ = nextView_;
  finalVoters_.clear();
  newestSettledView_ = view_;
  phase_ = LeaderPhase::kLeading;
  if (!leading_) ledSince_ = now;
  leading_ = true;
  campaigning_ = needsHigherEpoch_ = bootstrapping_ = false;
  leaseEpoch_ = view_.epoch;
  proposedVoterSets_.clear();
  unconfirmed_ = view_.baseEpoch != view_.epoch ||
                 view_.backups.size() < static_cast<std::size_t>(options_.backups);
  published_ = batchState_ && !unconfirmed_ ? *batchState_ : replica_.state;
  publishedIsWitnessed_ = publishedIsWitnessed_ && isWitnessed(published_);
  if (publishedIsDurable()) {
    hasPublished_ = true;
    if (!publishedIsWitnessed_) requestWitnesses(published_, outbox);
    showIfWitnessed(now, outbox);
  } else {
    outbox.count("views.tailKeptBack");
  }
  outbox.count("views.settled");
  if (!view_.formerVoters.empty()) announceSettled(outbox);
  outbox.push(LogState{"core: leads the view of epoch " + std::to_string(view_.epoch.value) +
                       (unconfirmed_ ? ", unconfirmed" : ", confirmed by its backups")});
  if (batchState_ && !unconfirmed_) {  // all replicas of the new view have the waiting batch
    ownSynced_ = true;
    syncedBackups_.insert(view_.backups.begin(), view_.backups.end());
    finishBatch(now, outbox);
  }
  renewLease(now, outbox);
  nextAttempt_ = now;
}

void Leadership::stepDown(MonotonicTime now, Outbox& outbox, std::string_view reason) {
  leading_ = campaigning_ = needsHigherEpoch_ = publishedIsWitnessed_ = false;
  witnessedState_.reset();
  batchState_.reset();
  proposedVoterSets_.clear();
  releaseVotes(outbox);
  for (auto& cores : pendingAcknowledgements_)
    batchReplies_.insert(batchReplies_.end(), cores.replies.begin(), cores.replies.end());
  pendingAcknowledgements_.clear();
  for (auto& [to, reply] : batchReplies_) {
    reply.outcome = ChangeOutcome::kLost;  // it may be applied later or not
    reply.detail =
        "the primary stepped down before the acknowledgement; repeat with the same change id";
    sendChangeReply(to, reply, outbox);
  }
  batchReplies_.clear();
  refuseQueuedChanges(ChangeOutcome::kNotPrimary, outbox);
  nextAttempt_ = now + milliseconds(100 + static_cast<std::int64_t>(random_.below(300)));
  if (leaving()) votesFreeSince_ = now;  // cores that stay campaign first
  outbox.count("views.steppedDown");
  outbox.push(LogState{"core: stepped down, " + std::string(reason)});
}

void Leadership::markDiskSuspect(Outbox& outbox) {
  if (diskSuspect_) return;
  diskSuspect_ = true;
  acceptor_.markDiskSuspect();
  outbox.count("disk.suspect");
  stepDown(phaseSince_, outbox, "the disk is suspect");
  membership_.announceLeaving(outbox);  // other cores take over its vote and its replica
}

bool Leadership::publishedIsDurable() const {
  // Changes that may be on this disk only aren't shown before all disks of a confirmed view have
  // them.
  return !unconfirmed_ || isBootstrap(view_) || published_.sections() == provenVersions_ ||
         options_.faults.has(ControlFault::kUnconfirmedStateShown);
}

void Leadership::noteReportedView(const View& view, MonotonicTime now, Outbox& outbox) {
  if (isIdle()) noteAccepted(view, "another member reported a newer view", now, outbox);
}

void Leadership::noteSettledView(const View& view, MonotonicTime now, Outbox& outbox) {
  bool isFinal = view.epoch == newestSettledView_.epoch && view.formerVoters.empty();
  if (view.epoch > newestSettledView_.epoch || isFinal) newestSettledView_ = view;
  if (view.epoch == view_.epoch && !leading_) view_.formerVoters.clear();
  bool newlySettledHere = acceptor_.writingSince() == kForever && acceptor_.isNewlySettled(view);
  if (newlySettledHere) outbox.send(membership_.self().address, AcceptRequest{view, false});
  if (view.epoch <= view_.epoch || view.primary == self()) return;
  view_ = view;
  if (leading_) stepDown(now, outbox, "a newer view is settled");
}

void Leadership::noteNewerVersions(const SectionVersions& seen) {
  newerRouterVersions_.setup = std::max(newerRouterVersions_.setup, seen.setup);
  newerRouterVersions_.keys = std::max(newerRouterVersions_.keys, seen.keys);
  newerRouterVersions_.weights = std::max(newerRouterVersions_.weights, seen.weights);
}

}  // namespace peppergate
