#include "core/leadership.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr Duration kTurn = milliseconds(200);       // between members that stand in their order
constexpr Duration kLeaveWithin = seconds(1.5);     // for what is under way
constexpr Duration kLatePromise = seconds(0.3);     // for founders' promises beyond a majority

}  // namespace

Leadership::Leadership(const Props& props, Voter& voter, Membership& membership, Random& random,
                       CopyOnDisk copy)
    : props_(props), voter_(voter), membership_(membership), random_(random),
      copy_(std::move(copy)), view_(voter.record().accepted) {
  seen_ = std::max(voter.record().promised, view_.epoch);
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
  look(now);
  if (releasing_) sendRelease(*std::exchange(releasing_, std::nullopt), outbox);
  if (suspect_) return;
  watchDisk(now, outbox);
  if (stalled_) return;
  if (settledHere_ && !leads(now)) stepDown(now, outbox, "the hold ran out");
  giveWay(now, outbox);
  // While it gathers it asks again, too: grants to the last primary may just be running out.
  bool renews = settledHere_ || founds_ || phase_ == LeaderPhase::kGathering ||
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
        giveUpPhase(now, outbox);
      break;
    case LeaderPhase::kLeading:
      if (stuck(now))
        for (CoreId backup : view_.backups)
          if (!synced_.contains(backup)) failedRecruits_[backup] = now;
      considerViewChange(now, outbox);
      if (phase_ == LeaderPhase::kLeading) startBatch(now, outbox);
      break;
  }
}

void Leadership::watchDisk(MonotonicTime now, Outbox& outbox) {
  for (const auto& [ticket, write] : writes_) {
    if (now - write.since <= props_.syncTimeout || stalled_) continue;
    stalled_ = true;  // until the write comes back whole
    outbox.count("disk.stalled");
    if (settledHere_ || phase_ != LeaderPhase::kFollowing) stepDown(now, outbox, "the disk stalls");
  }
}

void Leadership::giveWay(MonotonicTime now, Outbox& outbox) {
  if (leavingSince_ != kForever && settledHere_) {
    bool done = !batchState_ && yeses_.empty() && waiting_.empty() && phase_ == LeaderPhase::kLeading;
    if (done || now - leavingSince_ > kLeaveWithin) stepDown(now, outbox, "it leaves");
  }
  if (phase_ != LeaderPhase::kGathering || settledHere_) return;
  if (founds_ && promised_.size() >= foundersNeeded() && now - phaseSince_ > kLatePromise) {
    foundWithPromised(now, outbox);
    return;
  }
  // Who can't reach a majority holds no votes for long: a caretaker of its part may need them.
  std::set<CoreId> answered = promised_;
  answered.insert(declined_.begin(), declined_.end());
  if (now - phaseSince_ <= seconds(0.7) || majority(answered, old_.voters)) return;
  yieldVotes(outbox);
  nextTry_ = now + milliseconds(1000 + static_cast<std::int64_t>(random_.below(600)));
  outbox.count("views.hopeless");
}

void Leadership::sendRelease(const PromiseAsk& release, Outbox& outbox) {
  std::set<CoreId> asked(old_.voters.begin(), old_.voters.end());
  asked.insert(wanted_.voters.begin(), wanted_.voters.end());
  asked.insert(view_.voters.begin(), view_.voters.end());
  for (CoreId voter : asked)
    if (voter != self()) outbox.send(membership_.addressOf(voter), release);
}

void Leadership::yieldVotes(Outbox& outbox) {
  // It holds nothing, so all votes that it has are free for another at once.
  releasing_ = PromiseAsk{std::max(view_.epoch, holdEpoch_), self(), {}, PromiseKind::kRelease};
  sendRelease(*releasing_, outbox);
  voter_.release(self());
  phase_ = LeaderPhase::kFollowing;
  founds_ = false;
  holdUntil_ = kNever;
  holdEpoch_ = {};
  renewals_.clear();
}

void Leadership::giveUpPhase(MonotonicTime now, Outbox& outbox) {
  if (phase_ == LeaderPhase::kCopying)
    for (CoreId backup : wanted_.backups)
      if (!synced_.contains(backup)) failedRecruits_[backup] = now;
  if (settledHere_) {
    phase_ = LeaderPhase::kLeading;
    nextTry_ = now + milliseconds(static_cast<std::int64_t>(random_.below(300)));
    return;
  }
  // Two candidates that each hold their own vote shut each other out. Each gives all votes back
  // and waits for a time of its own, so that one of them finds them free.
  yieldVotes(outbox);
  nextTry_ = now + milliseconds(static_cast<std::int64_t>(random_.below(1500)));
}

std::size_t Leadership::place() const {
  // The first backup, and who led before, go first; the others leave them a moment.
  auto found = std::ranges::find(view_.backups, self());
  if (found != view_.backups.end()) return static_cast<std::size_t>(found - view_.backups.begin());
  return view_.primary == self() ? 0 : view_.backups.size();
}

bool Leadership::standsNow(MonotonicTime now) {
  if (!started_) {  // after a common power loss not all stand in the same moment
    started_ = true;
    bool untouched = voter_.record().promised.value == 0 && view_.epoch.value == 0;
    Duration turn = kTurn * static_cast<double>(place() + (view_.primary == self() ? 0 : 1));
    if (!untouched)
      nextTry_ = now + props_.hold + turn + milliseconds(static_cast<std::int64_t>(random_.below(100)));
  }
  return now >= nextTry_ && mayStand_ && leavingSince_ == kForever;
}

void Leadership::stand(MonotonicTime now, Outbox& outbox) {
  if (!standsNow(now)) return;
  if (founding_.cores > 0 && view_.epoch.value == 0 && voter_.record().promised.value == 0) {
    foundByNumber(now, outbox);
    return;
  }
  if (mayFound()) {
    standToFound(now, outbox);
    return;
  }
  bool eligible = copy_.tag.value != 0 && ((isMember(view_, self()) && copy_.tag >= view_.base) ||
                                           copy_.tag > view_.epoch);
  if (!eligible) return;
  if (voter_.grantedToOther(self(), now)) {
    freeSince_ = now;
    return;
  }
  if (now - freeSince_ < kTurn * static_cast<double>(place())) return;
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
  gather(std::move(wanted), now, outbox);
}

void Leadership::gather(View wanted, MonotonicTime now, Outbox& outbox, bool founds) {
  seen_ = {seen_.value + 1};
  wanted_ = std::move(wanted);
  wanted_.epoch = seen_;
  old_ = voter_.record().accepted.epoch > view_.epoch ? voter_.record().accepted : view_;
  founds_ = founds;
  if (founds) old_.voters = wanted_.voters;  // those who may found, whatever they accepted
  holdEpoch_ = seen_;
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
  PromiseKind kind = founds_ ? PromiseKind::kFound : PromiseKind::kHold;
  for (CoreId voter : asked)
    outbox.send(membership_.addressOf(voter), PromiseAsk{epoch, self(), now, kind});
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
  if (phase_ == LeaderPhase::kGathering && !founds_ && answer.accepted.epoch > old_.epoch)
    old_ = answer.accepted;  // accepted but unsettled counts as the view, too
  if (!answer.granted) {
    heardDecline(answer, now, outbox);
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
    if (holds(round->second)) holdUntil_ = std::max(holdUntil_, answer.sentAt + props_.holdStop);
  }
  if (phase_ != LeaderPhase::kGathering || answer.epoch != wanted_.epoch) return;
  if (founds_) {
    heardFounder(answer, now, outbox);
    return;
  }
  promised_.insert(answer.voter);
  if (majority(promised_, old_.voters)) gathered(now, outbox);
}

bool Leadership::holds(const std::set<CoreId>& round) const {
  const View& counted =
      settledHere_ ? view_ : (phase_ == LeaderPhase::kGathering ? old_ : wanted_);
  // A view that was proposed since may be settled without this core having heard of it; then
  // another may hold by a majority of its voters.
  return majority(round, counted.voters) &&
         std::ranges::all_of(proposed_, [&](const auto& voters) { return majority(round, voters); });
}

void Leadership::heardDecline(const PromiseAnswer& answer, MonotonicTime now, Outbox& outbox) {
  // A voter that promised a higher epoch elsewhere is only won back by a higher one.
  if (answer.promised > std::max(view_.epoch, holdEpoch_)) recapture_ = true;
  if (phase_ != LeaderPhase::kGathering || settledHere_ || answer.epoch != wanted_.epoch) return;
  declined_.insert(answer.voter);
  if (!majority(declined_, old_.voters) && declined_.size() * 2 < old_.voters.size()) return;
  yieldVotes(outbox);  // it can't win now
  nextTry_ = now + milliseconds(100 + static_cast<std::int64_t>(random_.below(500)));
  outbox.count("views.yielded");
}

void Leadership::gathered(MonotonicTime now, Outbox& outbox) {
  if (!isMember(old_, self()) || copy_.tag < old_.base) {
    outbox.push(NoteState{"core: no intact member of the last view, stands down"});
    phase_ = settledHere_ ? LeaderPhase::kLeading : LeaderPhase::kFollowing;
    nextTry_ = now + seconds(1);
    return;
  }
  phaseSince_ = now;
  if (standing_) {
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
  startCopies(now, outbox);
}

void Leadership::repeat(Outbox& outbox) {
  // One lost message must not cost a whole try: what is unanswered goes out with each renewal.
  if (phase_ == LeaderPhase::kAccepting) askAcceptance(outbox);
  if (phase_ == LeaderPhase::kFounding && founds_ && ownSynced_) askFounders(outbox);
  if (phase_ == LeaderPhase::kCopying) sendCopy(outbox, true);
  if (phase_ == LeaderPhase::kLeading && batchState_) sendCopy(outbox, false);
  if (settledHere_ && heldState_ && !majority(holders_, view_.voters)) tellHolders(true, outbox);
}

void Leadership::settled(MonotonicTime now, Outbox& outbox) {
  view_ = wanted_;
  old_ = wanted_;
  phase_ = LeaderPhase::kLeading;
  settledHere_ = true;
  standing_ = recapture_ = founds_ = false;
  holdEpoch_ = view_.epoch;
  proposed_.clear();
  unconfirmed_ = view_.base != view_.epoch ||
                 view_.backups.size() < static_cast<std::size_t>(props_.backups);
  published_ = batchState_ && !unconfirmed_ ? *batchState_ : copy_.state;
  hasPublished_ = true;
  named_ = named_ && held(published_);
  if (!named_) askHolders(published_, outbox);
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
  settledHere_ = standing_ = recapture_ = named_ = false;
  heldState_.reset();
  batchState_.reset();
  proposed_.clear();
  yieldVotes(outbox);
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

void Leadership::leave(MonotonicTime now) {
  if (leavingSince_ == kForever) leavingSince_ = now;
}

void Leadership::released(CoreId candidate, MonotonicTime now) {
  if (candidate != view_.primary || phase_ != LeaderPhase::kFollowing) return;
  nextTry_ = std::min(nextTry_, now + kTurn * static_cast<double>(place()));
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
