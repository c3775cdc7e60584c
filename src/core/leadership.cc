#include "core/leadership.h"

#include <algorithm>

namespace peppergate {

Leadership::Leadership(const Props& props, Voter& voter, Membership& membership, Random& random,
                       CopyOnDisk copy)
    : props_(props), voter_(voter), membership_(membership), random_(random),
      copy_(std::move(copy)), view_(voter.record().accepted) {
  seen_ = std::max(voter.record().promised, view_.epoch);
}

void Leadership::found(std::size_t cores) {
  if (view_.epoch.value == 0 && voter_.record().promised.value == 0) foundCores_ = cores;
}

bool Leadership::majority(const std::set<CoreId>& yes, const std::vector<CoreId>& voters) {
  auto count = std::ranges::count_if(voters, [&](CoreId core) { return yes.contains(core); });
  return static_cast<std::size_t>(count) * 2 > voters.size();
}

bool Leadership::leads(MonotonicTime now) const {
  bool held = now < holdUntil_ || !props_.guards(Guard::kPrimaryHold);
  return settledHere_ && !suspect_ && held;
}

void Leadership::tick(MonotonicTime now, Outbox& outbox) {
  const View& accepted = voter_.record().accepted;
  if (accepted.epoch > view_.epoch && (accepted.primary != self() || !settledHere_)) {
    view_ = accepted;
    if (settledHere_) stepDown(now, outbox, "a newer view was accepted");
  }
  seen_ = std::max({seen_, voter_.record().promised, view_.epoch});
  for (const auto& record : membership_.live())
    if (record.role == Role::kCore) lastSeen_[record.core] = now;
  if (suspect_) return;
  for (const auto& [ticket, write] : writes_)
    if (now - write.since > props_.syncTimeout && !stalled_) {
      stalled_ = true;  // until the write comes back whole
      outbox.count("disk.stalled");
      if (settledHere_ || phase_ != LeaderPhase::kFollowing) stepDown(now, outbox, "the disk stalls");
    }
  if (stalled_) return;
  if (settledHere_ && !leads(now)) stepDown(now, outbox, "the hold ran out");
  // Who can't reach a majority holds no votes for long: a caretaker of its part may need them.
  std::set<CoreId> answered = promised_;
  answered.insert(declined_.begin(), declined_.end());
  if (phase_ == LeaderPhase::kGathering && !settledHere_ && now - phaseSince_ > seconds(0.7) &&
      !majority(answered, old_.voters)) {
    phase_ = LeaderPhase::kFollowing;
    voter_.release(self());
    nextTry_ = now + milliseconds(1000 + static_cast<std::int64_t>(random_.below(600)));
    outbox.count("views.hopeless");
  }
  // While it gathers it asks again, too: grants to the last primary may just be running out.
  bool renews = settledHere_ || phase_ == LeaderPhase::kGathering ||
                phase_ == LeaderPhase::kCopying || phase_ == LeaderPhase::kAccepting;
  if (renews && now >= nextRenewal_) renew(now, outbox);
  switch (phase_) {
    case LeaderPhase::kFollowing:
      stand(now, outbox);
      break;
    case LeaderPhase::kFounding:
    case LeaderPhase::kGathering:
    case LeaderPhase::kCopying:
    case LeaderPhase::kAccepting:
      // Gathering waits longer: a late renewal of the last primary may still bind one vote, and
      // a rival is noticed by its votes, not by time.
      if (now - phaseSince_ >
          props_.copyTimeout * (phase_ == LeaderPhase::kGathering ? 3 : 1))
        giveUpPhase(now);
      break;
    case LeaderPhase::kLeading:
      if (batchState_ && now - batchSince_ > props_.copyTimeout && now >= nextTry_) {
        if (!backupSynced_) failedRecruits_[view_.backup] = now;
        considerViewChange(now, outbox);
      } else if (!batchState_) {
        considerViewChange(now, outbox);
        if (phase_ == LeaderPhase::kLeading) startBatch(now, outbox);
      }
      break;
  }
}

void Leadership::giveUpPhase(MonotonicTime now) {
  if (phase_ == LeaderPhase::kCopying) failedRecruits_[wanted_.backup] = now;
  if (settledHere_) {
    phase_ = LeaderPhase::kLeading;
    nextTry_ = now + milliseconds(static_cast<std::int64_t>(random_.below(300)));
    return;
  }
  // Two candidates that each hold their own vote shut each other out. Each waits until its own
  // grant has run out, then for a time of its own, so that one of them finds all votes free.
  phase_ = LeaderPhase::kFollowing;
  nextTry_ = now + props_.hold + milliseconds(static_cast<std::int64_t>(random_.below(1500)));
}

void Leadership::stand(MonotonicTime now, Outbox& outbox) {
  if (!started_) {  // after a common power loss not all stand in the same moment
    started_ = true;
    nextTry_ = now + props_.hold + milliseconds(static_cast<std::int64_t>(random_.below(600)));
  }
  if (now < nextTry_ || !mayStand_) return;
  if (foundCores_ > 0 && view_.epoch.value == 0) {
    std::vector<CoreId> cores;
    for (const auto& record : membership_.live())
      if (record.role == Role::kCore) cores.push_back(record.core);
    std::ranges::sort(cores);
    cores.erase(std::unique(cores.begin(), cores.end()), cores.end());
    if (cores.size() != foundCores_) return;
    wanted_ = View{{1}, self(), {}, {1}, cores};
    accepted_.clear();
    phase_ = LeaderPhase::kFounding;
    phaseSince_ = now;
    writeCopy({{1}, ControlState::founded({1}), now, {}, {}, true}, outbox);
    return;
  }
  bool member = view_.primary == self() || view_.backup == self();
  bool eligible = copy_.tag.value != 0 && ((member && copy_.tag >= view_.base) ||
                                           copy_.tag > view_.epoch);
  if (!eligible || voter_.grantedToOther(self(), now)) return;
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
  standing_ = true;
  gather({seen_.value + 1}, wanted, now, outbox);
}

void Leadership::gather(Epoch epoch, View wanted, MonotonicTime now, Outbox& outbox) {
  wanted.epoch = epoch;
  seen_ = std::max(seen_, epoch);
  wanted_ = std::move(wanted);
  old_ = voter_.record().accepted.epoch > view_.epoch ? voter_.record().accepted : view_;
  holdEpoch_ = epoch;
  promised_.clear();
  accepted_.clear();
  declined_.clear();
  phase_ = LeaderPhase::kGathering;
  phaseSince_ = now;
  outbox.count("views.gathered");
  renew(now, outbox);
}

void Leadership::renew(MonotonicTime now, Outbox& outbox) {
  nextRenewal_ = now + props_.holdRenewal;
  Epoch epoch = std::max(view_.epoch, holdEpoch_);  // a gathered epoch is never gone back on
  std::set<CoreId> asked(view_.voters.begin(), view_.voters.end());
  asked.insert(wanted_.voters.begin(), wanted_.voters.end());
  for (CoreId voter : asked)
    outbox.send(membership_.addressOf(voter), PromiseAsk{epoch, self(), now});
  repeat(outbox);
  renewals_[now.microseconds];
  while (renewals_.size() > 8) renewals_.erase(renewals_.begin());
}

void Leadership::hear(const PromiseAnswer& answer, MonotonicTime now, Outbox& outbox) {
  seen_ = std::max({seen_, answer.promised, answer.accepted.epoch});
  if (answer.accepted.epoch > view_.epoch && (answer.accepted.primary != self() || !settledHere_)) {
    view_ = answer.accepted;
    if (settledHere_) stepDown(now, outbox, "a voter accepted a newer view");
  }
  if (phase_ == LeaderPhase::kGathering && answer.accepted.epoch > old_.epoch)
    old_ = answer.accepted;  // accepted but unsettled counts as the view, too
  if (!answer.granted) {
    // A voter that promised a higher epoch elsewhere is only won back by a higher one.
    if (answer.promised > std::max(view_.epoch, holdEpoch_)) recapture_ = true;
    if (phase_ != LeaderPhase::kGathering || settledHere_ || answer.epoch != wanted_.epoch) return;
    declined_.insert(answer.voter);
    if (majority(declined_, old_.voters) || declined_.size() * 2 >= old_.voters.size()) {
      // It can't win now. It holds nothing, so its own vote is free for the other at once.
      phase_ = LeaderPhase::kFollowing;
      holdUntil_ = kNever;
      renewals_.clear();
      voter_.release(self());
      nextTry_ = now + milliseconds(100 + static_cast<std::int64_t>(random_.below(500)));
      outbox.count("views.yielded");
    }
    return;
  }
  // A voter that missed the acceptance is told again: a caretaker's pair has to name equal views.
  if (phase_ == LeaderPhase::kLeading && answer.accepted.epoch < view_.epoch &&
      answer.epoch == view_.epoch)
    outbox.send(membership_.addressOf(answer.voter), AcceptAsk{view_, false});
  auto round = renewals_.find(answer.sentAt.microseconds);
  if (round != renewals_.end()) {
    round->second.insert(answer.voter);
    // The hold counts from the moment the question was sent, by a majority of the newest voters.
    const View& counted = settledHere_ ? view_ : (phase_ == LeaderPhase::kGathering ? old_ : wanted_);
    if (majority(round->second, counted.voters))
      holdUntil_ = std::max(holdUntil_, answer.sentAt + props_.holdStop);
  }
  if (phase_ == LeaderPhase::kGathering && answer.epoch == wanted_.epoch) {
    promised_.insert(answer.voter);
    if (majority(promised_, old_.voters)) gathered(now, outbox);
  }
}

void Leadership::gathered(MonotonicTime now, Outbox& outbox) {
  bool member = old_.primary == self() || old_.backup == self();
  if (!member || copy_.tag < old_.base) {
    outbox.push(NoteState{"core: no intact member of the last view, stands down"});
    phase_ = settledHere_ ? LeaderPhase::kLeading : LeaderPhase::kFollowing;
    nextTry_ = now + seconds(1);
    return;
  }
  phaseSince_ = now;
  if (standing_) {
    // First lead with the same two members: nothing is acknowledged in such a view,
    // so whichever of them had everything still has it.
    wanted_.primary = self();
    wanted_.backup = old_.primary == self() ? old_.backup : old_.primary;
    wanted_.base = old_.base;
    wanted_.voters = old_.voters;
    propose(now, outbox);
    return;
  }
  startCopies(now, outbox);
}

void Leadership::startCopies(MonotonicTime now, Outbox& outbox) {
  phase_ = LeaderPhase::kCopying;
  phaseSince_ = now;
  ownSynced_ = backupSynced_ = false;
  const ControlState& state = batchState_ ? *batchState_ : copy_.state;
  writeCopy({wanted_.epoch, state, now, {}, {}, true}, outbox);
  sendCopy(outbox, true);
}

void Leadership::sendCopy(Outbox& outbox, bool recruiting) {
  const ControlState& state = batchState_ ? *batchState_ : copy_.state;
  Epoch epoch = recruiting ? wanted_.epoch : view_.epoch;
  CoreId backup = recruiting ? wanted_.backup : view_.backup;
  outbox.send(membership_.addressOf(backup),
              CopyAsk{epoch, self(), state.version(), recruiting, state.text()});
  outbox.count("copies.sent");
}

void Leadership::propose(MonotonicTime now, Outbox& outbox) {
  phase_ = LeaderPhase::kAccepting;
  phaseSince_ = now;
  accepted_.clear();
  askAcceptance(outbox);
}

void Leadership::askAcceptance(Outbox& outbox) {
  std::set<CoreId> asked(old_.voters.begin(), old_.voters.end());
  asked.insert(wanted_.voters.begin(), wanted_.voters.end());
  for (CoreId voter : asked)
    if (!accepted_.contains(voter))
      outbox.send(membership_.addressOf(voter), AcceptAsk{wanted_, false});
}

void Leadership::repeat(Outbox& outbox) {
  // One lost message must not cost a whole try: what is unanswered goes out with each renewal.
  if (phase_ == LeaderPhase::kAccepting) askAcceptance(outbox);
  if (phase_ == LeaderPhase::kCopying && !backupSynced_) sendCopy(outbox, true);
  if (phase_ == LeaderPhase::kLeading && batchState_ && !backupSynced_) sendCopy(outbox, false);
  if (settledHere_ && heldState_ && !majority(holders_, view_.voters)) tellHolders(true, outbox);
}

void Leadership::hear(const AcceptAnswer& answer, MonotonicTime now, Outbox& outbox) {
  seen_ = std::max(seen_, answer.promised);
  if (answer.epoch != wanted_.epoch || !answer.accepted) {
    if (phase_ == LeaderPhase::kFounding && !answer.accepted && answer.epoch == wanted_.epoch) {
      outbox.push(NoteState{"core: founding declined, a voter belongs to a fleet already"});
      foundCores_ = 0;
      phase_ = LeaderPhase::kFollowing;
    }
    return;
  }
  if (phase_ != LeaderPhase::kAccepting && phase_ != LeaderPhase::kFounding) return;
  accepted_.insert(answer.voter);
  bool all = std::ranges::all_of(wanted_.voters,
                                 [&](CoreId core) { return accepted_.contains(core); });
  if (phase_ == LeaderPhase::kFounding ? all
                                       : majority(accepted_, wanted_.voters) &&
                                             majority(accepted_, old_.voters))
    settled(now, outbox);
}

void Leadership::settled(MonotonicTime now, Outbox& outbox) {
  bool founding = phase_ == LeaderPhase::kFounding;
  view_ = wanted_;
  old_ = wanted_;
  phase_ = LeaderPhase::kLeading;
  settledHere_ = true;
  standing_ = recapture_ = false;
  holdEpoch_ = view_.epoch;
  if (founding) foundCores_ = 0;
  unconfirmed_ = view_.base != view_.epoch || view_.backup.value == 0;
  published_ = batchState_ && !unconfirmed_ ? *batchState_ : copy_.state;
  hasPublished_ = true;
  named_ = named_ && held(published_);
  if (!named_) askHolders(published_, outbox);
  outbox.count("views.settled");
  outbox.push(NoteState{"core: leads view " + std::to_string(view_.epoch.value) +
                        (unconfirmed_ ? " without a confirmed backup" : " with its backup")});
  if (batchState_ && !unconfirmed_) {  // both copies of the new view hold the waiting batch
    ownSynced_ = backupSynced_ = true;
    finishBatch(now, outbox);
  }
  renew(now, outbox);
  nextTry_ = now;
}

void Leadership::stepDown(MonotonicTime now, Outbox& outbox, std::string_view why) {
  settledHere_ = standing_ = recapture_ = named_ = false;
  heldState_.reset();
  holdEpoch_ = {};
  phase_ = LeaderPhase::kFollowing;
  batchState_.reset();
  holdUntil_ = kNever;
  renewals_.clear();
  for (auto& yes : yeses_)
    batch_.insert(batch_.end(), yes.answers.begin(), yes.answers.end());
  yeses_.clear();
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
  voter_.suspect();
  outbox.count("disk.suspect");
  stepDown(phaseSince_, outbox, "the disk is suspect");
}

void Leadership::noteSettled(const View& view, MonotonicTime now, Outbox& outbox) {
  if (view.epoch <= view_.epoch || view.primary == self()) return;
  view_ = view;
  if (settledHere_) stepDown(now, outbox, "a newer view is settled");
}

void Leadership::sawNewer(const SectionVersions& seen) {
  newerSeen_.setup = std::max(newerSeen_.setup, seen.setup);
  newerSeen_.keys = std::max(newerSeen_.keys, seen.keys);
  newerSeen_.weights = std::max(newerSeen_.weights, seen.weights);
}

}  // namespace peppergate
