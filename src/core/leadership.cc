#include "core/leadership.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr Duration kTurn = milliseconds(200);    // between members that stand in their order
constexpr Duration kLeaveWithin = seconds(1.5);  // for what is under way
constexpr Duration kLatePromise = seconds(0.3);  // for founders' promises beyond a majority

}  // namespace

Leadership::Leadership(const Options& options, Acceptor& acceptor, Membership& membership,
                       Random& random, ReplicaOnDisk copy)
    : LeadershipCollaborators(acceptor, membership, random),
      options_(options),
      replica_(std::move(copy)),
      view_(acceptor.record().accepted) {
  // The replica's tag is an epoch that some leader used; this core may have been that leader.
  seen_ = std::max({acceptor.record().promised, view_.epoch, replica_.tag});
}

bool Leadership::majority(const std::set<CoreId>& yes, const std::vector<CoreId>& voters) const {
  auto count = static_cast<std::size_t>(
      std::ranges::count_if(voters, [&](CoreId core) { return yes.contains(core); }));
  if (options_.faults.has(ControlFault::kMajorityOffByOne)) return count * 2 >= voters.size();
  return count * 2 > voters.size();
}

bool Leadership::leads(MonotonicTime now) const {
  bool witnessed = now < leaseUntil_ || !options_.guards(Guard::kPrimaryLease);
  return leading_ && !suspect_ && witnessed;
}

void Leadership::tick(MonotonicTime now, Outbox& outbox) {
  const View& accepted = acceptor_.record().accepted;
  if (accepted.epoch > view_.epoch && (accepted.primary != self() || !leading_)) {
    view_ = accepted;
    if (leading_) stepDown(now, outbox, "a newer view was accepted");
  }
  seen_ = std::max({seen_, acceptor_.record().promised, view_.epoch});
  observePeers(now);
  if (releasing_) sendRelease(*std::exchange(releasing_, std::nullopt), outbox);
  if (suspect_) return;
  watchDisk(now, outbox);
  if (stalled_) return;
  if (leading_ && !leads(now)) stepDown(now, outbox, "the hold ran out");
  yieldLeadership(now, outbox);
  // While it gathers it asks again, too: grants to the last primary may just be running out.
  bool renews = leading_ || bootstrapping_ || phase_ == LeaderPhase::kPreparing ||
                phase_ == LeaderPhase::kReplicating || phase_ == LeaderPhase::kAccepting;
  if (renews && now >= nextRenewal_) renew(now, outbox);
  switch (phase_) {
    case LeaderPhase::kFollowing:
      campaign(now, outbox);
      break;
    case LeaderPhase::kBootstrapping:
    case LeaderPhase::kPreparing:
    case LeaderPhase::kReplicating:
    case LeaderPhase::kAccepting:
      // Gathering waits longer: a late renewal of the last primary may still bind one vote, and
      // a rival is noticed by its votes, not by time.
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
  for (const auto& [ticket, write] : writes_) {
    if (now - write.since <= options_.syncTimeout || stalled_) continue;
    stalled_ = true;  // until the write comes back whole
    outbox.count("disk.stalled");
    if (leading_ || phase_ != LeaderPhase::kFollowing) stepDown(now, outbox, "the disk stalls");
  }
}

void Leadership::yieldLeadership(MonotonicTime now, Outbox& outbox) {
  if (leavingSince_ != kForever && leading_) {
    bool done = !batchState_ && pendingAcknowledgements_.empty() && waiting_.empty() &&
                phase_ == LeaderPhase::kLeading;
    if (done || now - leavingSince_ > kLeaveWithin) stepDown(now, outbox, "it leaves");
  }
  if (phase_ != LeaderPhase::kPreparing || leading_) return;
  if (bootstrapping_ && promised_.size() >= bootstrapQuorum() && now - phaseSince_ > kLatePromise) {
    bootstrapWithPromised(now, outbox);
    return;
  }
  // Who can't reach a majority holds no votes for long: a read-only leader of its part may need
  // them.
  std::set<CoreId> answered = promised_;
  answered.insert(declined_.begin(), declined_.end());
  if (now - phaseSince_ <= seconds(0.7) || majority(answered, old_.voters)) return;
  yieldVotes(outbox);
  nextTry_ = now + milliseconds(1000 + static_cast<std::int64_t>(random_.below(600)));
  outbox.count("views.hopeless");
}

void Leadership::sendRelease(const PrepareRequest& release, Outbox& outbox) {
  std::set<CoreId> asked(old_.voters.begin(), old_.voters.end());
  asked.insert(wanted_.voters.begin(), wanted_.voters.end());
  asked.insert(view_.voters.begin(), view_.voters.end());
  for (CoreId voter : asked)
    if (voter != self()) outbox.send(membership_.addressOf(voter), release);
}

void Leadership::yieldVotes(Outbox& outbox) {
  // It holds nothing, so all votes that it has are free for another at once.
  releasing_ =
      PrepareRequest{std::max(view_.epoch, leaseEpoch_), self(), {}, PrepareKind::kRelease};
  sendRelease(*releasing_, outbox);
  acceptor_.release(self());
  phase_ = LeaderPhase::kFollowing;
  bootstrapping_ = false;
  leaseUntil_ = kNever;
  leaseEpoch_ = {};
  renewals_.clear();
}

void Leadership::giveUpPhase(MonotonicTime now, Outbox& outbox) {
  if (phase_ == LeaderPhase::kReplicating)
    for (CoreId backup : wanted_.backups)
      if (!synced_.contains(backup)) failedReplicas_[backup] = now;
  if (leading_) {
    phase_ = LeaderPhase::kLeading;
    nextTry_ = now + milliseconds(static_cast<std::int64_t>(random_.below(300)));
    return;
  }
  // Two candidates that each hold their own vote shut each other out. Each gives all votes back
  // and waits for a time of its own, so that one of them finds them free.
  yieldVotes(outbox);
  nextTry_ = now + milliseconds(static_cast<std::int64_t>(random_.below(1500)));
}

std::size_t Leadership::succession() const {
  // The first backup, and who led before, go first; the others leave them a moment.
  auto found = std::ranges::find(view_.backups, self());
  if (found != view_.backups.end()) return static_cast<std::size_t>(found - view_.backups.begin());
  return view_.primary == self() ? 0 : view_.backups.size();
}

bool Leadership::campaignDue(MonotonicTime now) {
  if (!started_) {  // after a common power loss not all stand in the same moment
    started_ = true;
    bool untouched = acceptor_.record().promised.value == 0 && view_.epoch.value == 0;
    Duration turn = kTurn * static_cast<double>(succession() + (view_.primary == self() ? 0 : 1));
    if (!untouched)
      nextTry_ =
          now + options_.lease + turn + milliseconds(static_cast<std::int64_t>(random_.below(100)));
  }
  return now >= nextTry_ && mayCampaign_ && leavingSince_ == kForever;
}

void Leadership::campaign(MonotonicTime now, Outbox& outbox) {
  if (!campaignDue(now)) return;
  if (bootstrap_.cores > 0 && view_.epoch.value == 0 && acceptor_.record().promised.value == 0) {
    bootstrapByCount(now, outbox);
    return;
  }
  if (mayBootstrap()) {
    startBootstrapElection(now, outbox);
    return;
  }
  bool eligible =
      replica_.tag.value != 0 &&
      ((isMember(view_, self()) && replica_.tag >= view_.base) || replica_.tag > view_.epoch);
  if (!eligible && !(replica_.tag.value != 0 && ignoresReplicaTag())) return;
  if (acceptor_.grantedToOther(self(), now)) {
    freeSince_ = now;
    return;
  }
  if (now - freeSince_ < kTurn * static_cast<double>(succession())) return;
  // Without a majority in sight standing would only raise epochs and bind votes.
  std::set<CoreId> seen;
  for (CoreId voter : view_.voters)
    if (!membership_.addressOf(voter).value.empty()) seen.insert(voter);
  if (!majority(seen, view_.voters)) {
    nextTry_ = now + milliseconds(static_cast<std::int64_t>(random_.below(600)));
    return;
  }
  View wanted = view_;
  wanted.primary = self();
  takingOver_ = true;
  prepare(std::move(wanted), now, outbox);
}

void Leadership::prepare(View wanted, MonotonicTime now, Outbox& outbox, bool bootstraps) {
  seen_ = {seen_.value + 1};
  wanted_ = std::move(wanted);
  wanted_.epoch = seen_;
  old_ = acceptor_.record().accepted.epoch > view_.epoch ? acceptor_.record().accepted : view_;
  bootstrapping_ = bootstraps;
  if (bootstraps) old_.voters = wanted_.voters;  // those who may found, whatever they accepted
  leaseEpoch_ = seen_;
  promised_.clear();
  accepted_.clear();
  declined_.clear();
  phase_ = LeaderPhase::kPreparing;
  phaseSince_ = now;
  outbox.count("views.gathered");
  renew(now, outbox);
}

void Leadership::renew(MonotonicTime now, Outbox& outbox) {
  nextRenewal_ = now + options_.leaseRenewal;
  Epoch epoch = std::max(view_.epoch, leaseEpoch_);  // a gathered epoch is never gone back on
  std::set<CoreId> asked(view_.voters.begin(), view_.voters.end());
  asked.insert(wanted_.voters.begin(), wanted_.voters.end());
  asked.insert(self());  // its own promise makes the epoch durable here before it is used
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
  if (answer.accepted.epoch > view_.epoch && (answer.accepted.primary != self() || !leading_)) {
    view_ = answer.accepted;
    if (leading_) stepDown(now, outbox, "a voter accepted a newer view");
  }
  if (phase_ == LeaderPhase::kPreparing && !bootstrapping_ && answer.accepted.epoch > old_.epoch)
    old_ = answer.accepted;  // accepted but unsettled counts as the view, too
  if (!answer.granted) {
    heardRejection(answer, now, outbox);
    return;
  }
  // A voter that missed the acceptance is told again: a read-only leader's pair has to name equal
  // views.
  if (phase_ == LeaderPhase::kLeading && answer.accepted.epoch < view_.epoch &&
      answer.epoch == view_.epoch)
    outbox.send(membership_.addressOf(answer.voter), AcceptRequest{view_, false});
  auto round = renewals_.find(answer.sentAt.microseconds);
  if (round != renewals_.end()) {
    round->second.insert(answer.voter);
    // The hold counts from the moment the question was sent, by a majority of the newest voters.
    if (holds(round->second))
      leaseUntil_ = std::max(leaseUntil_, answer.sentAt + options_.leaseStop);
  }
  if (phase_ != LeaderPhase::kPreparing || answer.epoch != wanted_.epoch) return;
  if (bootstrapping_) {
    heardBootstrapper(answer, now, outbox);
    return;
  }
  promised_.insert(answer.voter);
  // An epoch whose number a power loss could take back might be used twice, for two states.
  const AcceptorRecord& own = acceptor_.record();
  bool ownPromise = own.promised == wanted_.epoch && own.promisedTo == self();
  if (ownPromise && majority(promised_, old_.voters)) prepared(now, outbox);
}

bool Leadership::holds(const std::set<CoreId>& round) const {
  const View& counted = leading_ ? view_ : (phase_ == LeaderPhase::kPreparing ? old_ : wanted_);
  // A view that was proposed since may be settled without this core having heard of it; then
  // another may hold by a majority of its voters.
  return majority(round, counted.voters) && std::ranges::all_of(proposed_, [&](const auto& voters) {
           return majority(round, voters);
         });
}

void Leadership::heardRejection(const PrepareReply& answer, MonotonicTime now, Outbox& outbox) {
  // A voter that promised a higher epoch elsewhere is only won back by a higher one.
  if (answer.promised > std::max(view_.epoch, leaseEpoch_)) recapture_ = true;
  if (phase_ != LeaderPhase::kPreparing || leading_ || answer.epoch != wanted_.epoch) return;
  declined_.insert(answer.voter);
  if (!majority(declined_, old_.voters) && declined_.size() * 2 < old_.voters.size()) return;
  yieldVotes(outbox);  // it can't win now
  nextTry_ = now + milliseconds(100 + static_cast<std::int64_t>(random_.below(500)));
  outbox.count("views.yielded");
}

void Leadership::prepared(MonotonicTime now, Outbox& outbox) {
  bool entitled = isMember(old_, self()) && replica_.tag >= old_.base;
  if (!entitled && !ignoresReplicaTag()) {
    outbox.push(NoteState{"core: no intact member of the last view, stands down"});
    if (leading_) phase_ = LeaderPhase::kLeading;
    else yieldVotes(outbox);  // an eligible candidate finds them free
    nextTry_ = now + seconds(1);
    return;
  }
  phaseSince_ = now;
  if (takingOver_) {
    // First lead with the same members: nothing is acknowledged in such a view, so whichever of
    // them had everything still has it.
    wanted_.primary = self();
    wanted_.backups = old_.backups;
    if (old_.primary != self()) {
      std::erase(wanted_.backups, self());
      wanted_.backups.push_back(old_.primary);
    }
    wanted_.base = old_.base;
    wanted_.voters = old_.voters;
    propose(now, outbox);
    return;
  }
  startReplication(now, outbox);
}

void Leadership::repeat(Outbox& outbox) {
  // One lost message must not cost a whole try: what is unanswered goes out with each renewal.
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
  phase_ = LeaderPhase::kLeading;
  leading_ = true;
  takingOver_ = recapture_ = bootstrapping_ = false;
  leaseEpoch_ = view_.epoch;
  proposed_.clear();
  unconfirmed_ = view_.base != view_.epoch ||
                 view_.backups.size() < static_cast<std::size_t>(options_.backups);
  published_ = batchState_ && !unconfirmed_ ? *batchState_ : replica_.state;
  hasPublished_ = true;
  named_ = named_ && witnessed(published_);
  if (!named_) requestWitnesses(published_, outbox);
  outbox.count("views.settled");
  outbox.push(NoteState{"core: leads view " + std::to_string(view_.epoch.value) +
                        (unconfirmed_ ? ", unconfirmed" : " with its backups")});
  if (batchState_ && !unconfirmed_) {  // both copies of the new view hold the waiting batch
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
    answer.outcome = ChangeOutcome::kLost;  // it may be in force later or not
    answer.detail = "the primary gave up its duty before the yes; repeat with the same change id";
    answerChange(to, answer, outbox);
  }
  batch_.clear();
  refuseWaiting(ChangeOutcome::kNotPrimary, outbox);
  nextTry_ = now + milliseconds(100 + static_cast<std::int64_t>(random_.below(300)));
  outbox.count("views.steppedDown");
  outbox.push(NoteState{"core: stepped down, " + std::string(why)});
}

void Leadership::suspect(Outbox& outbox) {
  if (suspect_) return;
  suspect_ = true;
  acceptor_.suspect();
  outbox.count("disk.suspect");
  stepDown(phaseSince_, outbox, "the disk is suspect");
}

void Leadership::leave(MonotonicTime now) {
  if (leavingSince_ == kForever) leavingSince_ = now;
}

void Leadership::released(CoreId candidate, MonotonicTime now) {
  if (candidate != view_.primary || phase_ != LeaderPhase::kFollowing) return;
  nextTry_ = std::min(nextTry_, now + kTurn * static_cast<double>(succession()));
}

void Leadership::noteChosen(const View& view, MonotonicTime now, Outbox& outbox) {
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
