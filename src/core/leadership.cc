#include "core/leadership.h"

#include <algorithm>

#include "core/quorum.h"

namespace peppergate {
Leadership::Leadership(const Options& options, Acceptor& acceptor, Membership& membership,
                       Random& random, ReplicaOnDisk copy)
    : LeadershipCollaborators(acceptor, membership, random),
      options_(options),
      replica_(std::move(copy)),
      view_(acceptor.record().accepted) {
  // The replica's tag is an epoch that a leader used, possibly this core; it isn't used again.
  seen_ = std::max({acceptor.record().promised, view_.epoch, replica_.tag});
}

bool Leadership::majority(const std::set<CoreId>& yes, const std::vector<CoreId>& voters) const {
  auto count = static_cast<std::size_t>(
      std::ranges::count_if(voters, [&](CoreId core) { return yes.contains(core); }));
  if (options_.faults.has(ControlFault::kMajorityOffByOne)) return count * 2 >= voters.size();
  return count * 2 > voters.size();
}

bool Leadership::quorum(const std::set<CoreId>& yes, const View& view) const {
  return majority(yes, view.voters) &&
         (!asksFormerVoters(view) || majority(yes, view.formerVoters));
}

bool Leadership::asksFormerVoters(const View& view) const {
  return !view.formerVoters.empty() && !options_.faults.has(ControlFault::kFormerVotersIgnored) &&
         !options_.faults.has(ControlFault::kOneMajorityOfVoters);
}

void Leadership::noteAccepted(const View& accepted, std::string_view why, MonotonicTime now,
                              Outbox& outbox) {
  bool settledThere = accepted.epoch == view_.epoch && accepted.formerVoters.empty();
  if (settledThere && !leading_) view_.formerVoters.clear();
  if (accepted.epoch <= view_.epoch || (accepted.primary == self() && leading_)) return;
  view_ = accepted;
  if (leading_) stepDown(now, outbox, why);
}

bool Leadership::leads(MonotonicTime now) const {
  bool witnessed = now < leaseUntil_ || !options_.guards(Guard::kPrimaryLease);
  return leading_ && !suspect_ && witnessed;
}

void Leadership::tick(MonotonicTime now, Outbox& outbox) {
  noteAccepted(acceptor_.record().accepted, "a newer view was accepted", now, outbox);
  seen_ = std::max({seen_, acceptor_.record().promised, view_.epoch});
  observePeers(now);
  if (releasing_) sendRelease(*std::exchange(releasing_, std::nullopt), outbox);
  if (suspect_) return;
  watchDisk(now, outbox);
  if (stalled_) return;
  if (leading_ && !leads(now)) stepDown(now, outbox, "its lease ran out");
  yieldWhenLeaving(now, outbox);
  giveUpHopelessElection(now, outbox);
  // A candidate repeats its requests, too: leases of the last leader may be about to run out.
  bool renews = leading_ || bootstrapping_ || phase_ == LeaderPhase::kPreparing ||
                phase_ == LeaderPhase::kReplicating || phase_ == LeaderPhase::kAccepting;
  if (renews && now >= nextRenewal_) renewOrContest(now, outbox);
  switch (phase_) {
    case LeaderPhase::kFollowing:
      campaign(now, outbox);
      break;
    case LeaderPhase::kBootstrapping:
    case LeaderPhase::kPreparing:
    case LeaderPhase::kReplicating:
    case LeaderPhase::kAccepting:
      // Preparing has a longer timeout: a late renewal of the last leader may still bind a vote,
      // and a rival is detected by its votes rather than by a timeout.
      if (now - phaseSince_ >
          options_.replicateTimeout * (phase_ == LeaderPhase::kPreparing ? 3 : 1))
        giveUpPhase(now, outbox);
      break;
    case LeaderPhase::kLeading:
      if (stuck(now))
        for (CoreId backup : view_.backups)
          if (!synced_.contains(backup)) failedReplicas_[backup] = now;
      considerViewChange(now, outbox);
      if (phase_ == LeaderPhase::kLeading) startBatch(now, outbox);
      break;
  }
}

void Leadership::watchDisk(MonotonicTime now, Outbox& outbox) {
  MonotonicTime oldest = acceptor_.writingSince();
  for (const auto& [ticket, write] : writes_) oldest = std::min(oldest, write.since);
  bool hangs = oldest != kForever && now - oldest > options_.syncTimeout;
  if (hangs == stalled_) return;
  stalled_ = hangs;  // until the write is done
  if (!hangs) return;
  outbox.count("disk.stalled");
  if (leading_ || phase_ != LeaderPhase::kFollowing) stepDown(now, outbox, "the disk stalled");
}

void Leadership::prepare(View wanted, MonotonicTime now, Outbox& outbox, bool bootstraps) {
  seen_ = {seen_.value + 1};
  wanted_ = std::move(wanted);
  wanted_.epoch = seen_;
  old_ = acceptor_.record().accepted.epoch > view_.epoch ? acceptor_.record().accepted : view_;
  bootstrapping_ = bootstraps;
  if (bootstraps) {  // the bootstrappers vote, whatever they accepted
    old_.voters = wanted_.voters;
    old_.formerVoters.clear();
  }
  leaseEpoch_ = seen_;
  promised_.clear();
  accepted_.clear();
  declined_.clear();
  rivalVoters_.clear();
  recapture_ = false;
  phase_ = LeaderPhase::kPreparing;
  phaseSince_ = now;
  outbox.count("views.gathered");
  renew(now, outbox);
}

void Leadership::raiseEpoch(MonotonicTime now, Outbox& outbox) {
  // A voter that promised a higher epoch to another candidate never grants this one, even after
  // that candidate has given up; voters that granted this one grant a higher one, too.
  MonotonicTime since = phaseSince_;
  prepare(wanted_, now, outbox);
  phaseSince_ = since;
  outbox.count("views.outbid");
}

void Leadership::renew(MonotonicTime now, Outbox& outbox) {
  nextRenewal_ = now + options_.leaseRenewal;
  Epoch epoch = std::max(view_.epoch, leaseEpoch_);  // never below a promised epoch
  std::set<CoreId> asked = allVoters(view_);
  asked.insert(wanted_.voters.begin(), wanted_.voters.end());
  asked.insert(self());  // its own promise makes the epoch durable before it is used
  PrepareKind kind = bootstrapping_ ? PrepareKind::kBootstrap : PrepareKind::kLease;
  for (CoreId voter : asked)
    outbox.send(membership_.addressOf(voter), PrepareRequest{epoch, self(), now, kind});
  repeat(outbox);
  renewals_[now.microseconds];
  while (renewals_.size() > 8) renewals_.erase(renewals_.begin());
}

void Leadership::hear(const PrepareReply& answer, MonotonicTime now, Outbox& outbox) {
  membership_.heardFrom(answer.voter, std::min(answer.sentAt, now));
  seen_ = std::max({seen_, answer.promised, answer.accepted.epoch});
  noteAccepted(answer.accepted, "a voter accepted a newer view", now, outbox);
  if (phase_ == LeaderPhase::kPreparing && !bootstrapping_) {
    // A view that was accepted may be settled, so it counts as the predecessor.
    if (answer.accepted.epoch > old_.epoch) old_ = answer.accepted;
    bool known = answer.accepted.epoch == old_.epoch && answer.accepted.formerVoters.empty();
    if (known) old_.formerVoters.clear();
  }
  if (!answer.granted) {
    heardRejection(answer, now, outbox);
    return;
  }
  if (phase_ == LeaderPhase::kLeading && answer.epoch == view_.epoch)
    watchFinalViews(answer, outbox);
  auto round = renewals_.find(answer.sentAt.microseconds);
  if (round != renewals_.end()) {
    round->second.insert(answer.voter);
    // The lease counts from the time of the request, and needs a majority of the newest voters.
    if (holds(round->second))
      leaseUntil_ = std::max(leaseUntil_, answer.sentAt + options_.leaseStop);
  }
  if (phase_ != LeaderPhase::kPreparing || answer.epoch != wanted_.epoch) return;
  if (bootstrapping_) {
    heardBootstrapper(answer, now, outbox);
    return;
  }
  promised_.insert(answer.voter);
  rivalVoters_.erase(answer.voter);
  // An epoch that isn't on this disk could be used again after a power loss, for another state.
  const AcceptorRecord& own = acceptor_.record();
  bool ownPromise = own.promised == wanted_.epoch && own.promisedTo == self();
  if (ownPromise && quorum(promised_, old_)) prepared(now, outbox);
}

void Leadership::watchFinalViews(const PrepareReply& answer, Outbox& outbox) {
  // A voter that missed the acceptance is told again: a read-only leader and its grantors need
  // equal views.
  View final = settledView();
  if (answer.accepted != final) {
    outbox.send(membership_.addressOf(answer.voter), AcceptRequest{final, false});
    return;
  }
  // Until a majority has it on disk, the former voters may be needed again, so none may leave.
  finalVoters_.insert(answer.voter);
  if (view_.formerVoters.empty() || !majority(finalVoters_, view_.voters)) return;
  view_ = old_ = chosen_ = final;
  outbox.count("views.final");
}

View Leadership::settledView() const {
  View settled = view_;
  settled.formerVoters.clear();
  return settled;
}

bool Leadership::holds(const std::set<CoreId>& round) const {
  const View& counted = leading_ ? view_ : (phase_ == LeaderPhase::kPreparing ? old_ : wanted_);
  // A view that was proposed since may be settled unknown to this core; then another core may have
  // a lease from a majority of its voters.
  return quorum(round, counted) && std::ranges::all_of(proposed_, [&](const auto& voters) {
           return majority(round, voters);
         });
}

void Leadership::heardRejection(const PrepareReply& answer, MonotonicTime now, Outbox& outbox) {
  // A voter that promised a higher epoch to another core only grants an even higher one.
  if (answer.promised > std::max(view_.epoch, leaseEpoch_)) recapture_ = true;
  if (phase_ != LeaderPhase::kPreparing || leading_ || answer.epoch != wanted_.epoch) return;
  if (answer.promised >= wanted_.epoch) recapture_ = true;  // to another, by equal number
  declined_.insert(answer.voter);
  // A promise above the accepted epoch was given to a rival; otherwise the lease belongs to the
  // last leader and runs out soon.
  if (answer.promised > answer.accepted.epoch) rivalVoters_.insert(answer.voter);
  bool half = declined_.size() * 2 >= old_.voters.size();
  if (majority(declined_, old_.voters) || half) yieldToRival(now, outbox);  // can't win now
}

void Leadership::prepared(MonotonicTime now, Outbox& outbox) {
  bool entitled = isMember(old_, self()) && replica_.tag >= old_.base;
  if (!entitled && !ignoresReplicaTag()) {
    outbox.push(
        NoteState{"core: candidate has no intact replica of the last view, gives up the election"});
    if (leading_) phase_ = LeaderPhase::kLeading;
    else yieldVotes(outbox);  // frees them for an eligible candidate
    nextTry_ = now + seconds(1);
    return;
  }
  phaseSince_ = now;
  if (takingOver_) {
    // The first view keeps the same members: nothing is acknowledged in it, so that the member
    // which had all acknowledged changes still has them.
    wanted_.primary = self();
    wanted_.backups = old_.backups;
    if (old_.primary != self()) {
      std::erase(wanted_.backups, self());
      wanted_.backups.push_back(old_.primary);
    }
    wanted_.base = old_.base;
    wanted_.voters = old_.voters;
    wanted_.formerVoters = old_.formerVoters;
    propose(now, outbox);
    return;
  }
  startReplication(now, outbox);
}

void Leadership::repeat(Outbox& outbox) {
  // Unanswered requests are sent again with each renewal, so that one lost message doesn't fail the
  // whole attempt.
  if (phase_ == LeaderPhase::kAccepting) requestAcceptance(outbox);
  if (phase_ == LeaderPhase::kBootstrapping && bootstrapping_ && ownSynced_)
    prepareBootstrappers(outbox);
  if (phase_ == LeaderPhase::kReplicating) replicate(outbox, true);
  if (phase_ == LeaderPhase::kLeading && batchState_) replicate(outbox, false);
  if (leading_ && witnessedState_ && !majority(witnesses_, view_.voters))
    updateWitnesses(true, outbox);
}

void Leadership::settled(MonotonicTime now, Outbox& outbox) {
  view_ = wanted_;
  old_ = wanted_;
  finalVoters_.clear();
  chosen_ = view_;
  phase_ = LeaderPhase::kLeading;
  if (!leading_) ledSince_ = now;
  leading_ = true;
  takingOver_ = recapture_ = bootstrapping_ = false;
  leaseEpoch_ = view_.epoch;
  proposed_.clear();
  unconfirmed_ = view_.base != view_.epoch ||
                 view_.backups.size() < static_cast<std::size_t>(options_.backups);
  published_ = batchState_ && !unconfirmed_ ? *batchState_ : replica_.state;
  named_ = named_ && witnessed(published_);
  if (mayShow()) {
    hasPublished_ = true;
    if (!named_) requestWitnesses(published_, outbox);
    nameIfWitnessed(now, outbox);
  } else {
    outbox.count("views.tailKeptBack");
  }
  outbox.count("views.settled");
  if (!view_.formerVoters.empty()) announceSettled(outbox);
  outbox.push(NoteState{"core: leads the view of epoch " + std::to_string(view_.epoch.value) +
                        (unconfirmed_ ? ", unconfirmed" : ", confirmed by its backups")});
  if (batchState_ && !unconfirmed_) {  // all replicas of the new view have the waiting batch
    ownSynced_ = true;
    synced_.insert(view_.backups.begin(), view_.backups.end());
    finishBatch(now, outbox);
  }
  renew(now, outbox);
  nextTry_ = now;
}

void Leadership::stepDown(MonotonicTime now, Outbox& outbox, std::string_view why) {
  leading_ = takingOver_ = recapture_ = named_ = false;
  witnessedState_.reset();
  batchState_.reset();
  proposed_.clear();
  yieldVotes(outbox);
  for (auto& yes : pendingAcknowledgements_)
    batch_.insert(batch_.end(), yes.answers.begin(), yes.answers.end());
  pendingAcknowledgements_.clear();
  for (auto& [to, answer] : batch_) {
    answer.outcome = ChangeOutcome::kLost;  // it may be applied later or not
    answer.detail =
        "the primary stepped down before the acknowledgement; repeat with the same change id";
    answerChange(to, answer, outbox);
  }
  batch_.clear();
  refuseWaiting(ChangeOutcome::kNotPrimary, outbox);
  nextTry_ = now + milliseconds(100 + static_cast<std::int64_t>(random_.below(300)));
  if (leaving()) freeSince_ = now;  // cores that stay campaign first
  outbox.count("views.steppedDown");
  outbox.push(NoteState{"core: stepped down, " + std::string(why)});
}

void Leadership::suspect(Outbox& outbox) {
  if (suspect_) return;
  suspect_ = true;
  acceptor_.suspect();
  outbox.count("disk.suspect");
  stepDown(phaseSince_, outbox, "the disk is suspect");
  membership_.leave(outbox);  // other cores take over its vote and its replica
}

bool Leadership::mayShow() const {
  // Changes that may be on this disk only aren't shown before all disks of a confirmed view have
  // them.
  return !unconfirmed_ || isBootstrap(view_) || published_.sections() == shown_ ||
         options_.faults.has(ControlFault::kTailShown);
}

void Leadership::noteHeardOf(const View& view, MonotonicTime now, Outbox& outbox) {
  if (idle()) noteAccepted(view, "another member reported a newer view", now, outbox);
}

void Leadership::noteChosen(const View& view, MonotonicTime now, Outbox& outbox) {
  bool final = view.epoch == chosen_.epoch && view.formerVoters.empty();
  if (view.epoch > chosen_.epoch || final) chosen_ = view;
  if (view.epoch == view_.epoch && !leading_) view_.formerVoters.clear();
  bool told = acceptor_.writingSince() == kForever && acceptor_.nowSettled(view);
  if (told) outbox.send(membership_.self().address, AcceptRequest{view, false});
  if (view.epoch <= view_.epoch || view.primary == self()) return;
  view_ = view;
  if (leading_) stepDown(now, outbox, "a newer view is settled");
}

void Leadership::sawNewer(const SectionVersions& seen) {
  newerSeen_.setup = std::max(newerSeen_.setup, seen.setup);
  newerSeen_.keys = std::max(newerSeen_.keys, seen.keys);
  newerSeen_.weights = std::max(newerSeen_.weights, seen.weights);
}

}  // namespace peppergate
