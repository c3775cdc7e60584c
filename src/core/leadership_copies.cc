// The part of Leadership that writes copies, batches changes and recruits.
#include <algorithm>

#include "core/leadership.h"

namespace peppergate {

void Leadership::writeCopy(Write write, Outbox& outbox) {
  if (!writes_.empty()) {  // one write at a time; only the newest waits
    if (queuedWrite_ && queuedWrite_->own) ownSynced_ = false;
    queuedWrite_ = std::move(write);
    return;
  }
  TicketId ticket = outbox.ticket();
  Json file = {{"tag", write.tag.value}, {"state", write.state.text()}};
  std::string name = numbered("state", write.tag.value) + "." +
                     numbered("", write.state.version().sequence.value).substr(1);
  outbox.push(WriteFile{ticket, name, sealed(file.dump())});
  writes_.emplace(ticket, std::move(write));
}

bool Leadership::written(const FileWritten& event, MonotonicTime now, Outbox& outbox) {
  auto found = writes_.find(event.ticket);
  if (found == writes_.end()) return false;
  Write write = std::move(found->second);
  writes_.erase(found);
  if (!event.synced && props_.guards(Guard::kSyncFailure)) {
    outbox.push(NoteState{"core: a sync failed, the file counts as unwritten"});
    suspect(outbox);
    return true;
  }
  if (suspect_) return true;
  stalled_ = false;
  copy_ = {write.tag, write.state};
  outbox.push(DropOlder{"state", 3});
  if (queuedWrite_) {
    Write next = std::move(*queuedWrite_);
    queuedWrite_.reset();
    next.since = now;
    writeCopy(std::move(next), outbox);
  }
  if (!write.own) {
    // The promise may have gone elsewhere while the disk worked: then there is no yes.
    bool good = voter_.allowsCopy(write.ask.epoch, write.ask.from);
    if (good)
      outbox.send(write.answerTo,
                  CopyAnswer{write.ask.epoch, self(), write.ask.version, true});
    return true;
  }
  if (phase_ == LeaderPhase::kFounding) {
    for (CoreId voter : wanted_.voters)
      outbox.send(membership_.addressOf(voter), AcceptAsk{wanted_, true});
    return true;
  }
  if (phase_ == LeaderPhase::kCopying && write.tag == wanted_.epoch) {
    ownSynced_ = true;
    copiesDone(now, outbox);
  } else if (phase_ == LeaderPhase::kLeading && batchState_ &&
             write.state.version() == batchState_->version()) {
    ownSynced_ = true;
    finishBatch(now, outbox);
  }
  return true;
}

void Leadership::hear(const Address& from, const CopyAsk& ask, MonotonicTime now,
                      Outbox& outbox) {
  seen_ = std::max(seen_, ask.epoch);
  bool fits = ask.recruiting ? ask.epoch >= copy_.tag : ask.epoch == copy_.tag;
  if (suspect_ || stalled_ || !fits || !voter_.allowsCopy(ask.epoch, ask.from)) {
    outbox.count("copies.declined");
    return;
  }
  auto state = ControlState::parse(ask.state);
  if (!state.ok()) {
    outbox.count("copies.unreadable");
    return;
  }
  if (ask.epoch == copy_.tag && copy_.state.version() >= state->version()) {
    outbox.send(from, CopyAnswer{ask.epoch, self(), ask.version, true});
    return;
  }
  if (settledHere_) stepDown(now, outbox, "another core leads a newer view");
  writeCopy({ask.epoch, std::move(*state), now, from, ask, false}, outbox);
}

void Leadership::hear(const CopyAnswer& answer, MonotonicTime now, Outbox& outbox) {
  if (!answer.synced) return;
  if (phase_ == LeaderPhase::kCopying && answer.epoch == wanted_.epoch &&
      answer.from == wanted_.backup) {
    backupSynced_ = true;
    copiesDone(now, outbox);
  } else if (phase_ == LeaderPhase::kLeading && batchState_ && answer.epoch == view_.epoch &&
             answer.from == view_.backup && answer.version == batchState_->version()) {
    backupSynced_ = true;
    finishBatch(now, outbox);
  }
}

void Leadership::copiesDone(MonotonicTime now, Outbox& outbox) {
  if (!ownSynced_ || !backupSynced_) return;
  wanted_.base = wanted_.epoch;
  propose(now, outbox);
}

void Leadership::answerChange(const Address& to, ChangeAnswer answer, Outbox& outbox) {
  outbox.count(answer.outcome == ChangeOutcome::kDone ? "changes.done" : "changes.declined");
  outbox.send(to, std::move(answer));
}

void Leadership::refuseWaiting(ChangeOutcome outcome, Outbox& outbox) {
  for (const auto& change : waiting_) {
    ChangeAnswer answer;
    answer.ticket = change.ask.ticket;
    answer.outcome = outcome;
    answerChange(change.from, answer, outbox);
  }
  waiting_.clear();
}

void Leadership::take(const Address& from, const ChangeAsk& ask, MonotonicTime now,
                      Outbox& outbox) {
  ChangeAnswer answer;
  answer.ticket = ask.ticket;
  if (!leads(now)) {
    answer.outcome = ChangeOutcome::kNotPrimary;
    answerChange(from, answer, outbox);
    return;
  }
  if (waiting_.size() >= 1000) {
    answer.outcome = ChangeOutcome::kBusy;
    answerChange(from, answer, outbox);
    return;
  }
  waiting_.push_back({from, ask, now});
  startBatch(now, outbox);
}

void Leadership::startBatch(MonotonicTime now, Outbox& outbox) {
  if (phase_ != LeaderPhase::kLeading || batchState_ || !writes_.empty()) return;
  if (unconfirmed_) {  // changes wait a moment for a backup, then are declined, typed
    std::erase_if(waiting_, [&](const WaitingChange& change) {
      if (now - change.since < props_.copyTimeout) return false;
      ChangeAnswer answer;
      answer.ticket = change.ask.ticket;
      answer.outcome = ChangeOutcome::kNoBackup;
      answerChange(change.from, answer, outbox);
      return true;
    });
    return;
  }
  if (!names(now)) return;
  // Most ticks bring nothing to do; copying a large state for them would take all of a core.
  if (waiting_.empty() && batch_.empty() && newerSeen_ == SectionVersions{}) return;
  ControlState draft = copy_.state;
  SetupVersion before = draft.version();
  if (newerSeen_ != SectionVersions{} && !draft.stampOver(newerSeen_, view_.epoch))
    newerSeen_ = {};
  while (!waiting_.empty()) {
    WaitingChange change = std::move(waiting_.front());
    waiting_.pop_front();
    ChangeAnswer answer =
        draft.apply(change.ask.change, change.ask.changeId, view_.epoch, props_);
    answer.ticket = change.ask.ticket;
    if (answer.outcome != ChangeOutcome::kDone) answerChange(change.from, answer, outbox);
    else batch_.emplace_back(change.from, answer);
  }
  if (draft.version() == before) {  // only repeats of what was acknowledged before
    if (!batch_.empty())
      yeses_.push_back({published_.sections(), publishedAt_, std::exchange(batch_, {})});
    return;
  }
  batchState_ = std::move(draft);
  batchSince_ = now;
  ownSynced_ = backupSynced_ = false;
  writeCopy({view_.epoch, *batchState_, now, {}, {}, true}, outbox);
  sendCopy(outbox, false);
}

void Leadership::finishBatch(MonotonicTime now, Outbox& outbox) {
  bool synced = backupSynced_ || !props_.guards(Guard::kBackupSync);
  if (!ownSynced_ || !synced || !batchState_) return;
  if (props_.guards(Guard::kThirdVoter) && !held(*batchState_)) {
    if (!heldState_ || heldState_->version() != batchState_->version())
      askHolders(*batchState_, outbox);
    if (!held(*batchState_)) return;
  }
  if (!leads(now)) return;  // the tick steps down and answers "lost"
  published_ = *batchState_;
  named_ = true;
  publishedAt_ = now;
  batchState_.reset();
  yeses_.push_back({published_.sections(), now, std::exchange(batch_, {})});
  startBatch(now, outbox);
}

void Leadership::sayYes(const std::function<bool(const SectionVersions&)>& inForce,
                        MonotonicTime now, Outbox& outbox) {
  // A front without this news may still allow streams on a proof from before it. Its proof runs
  // out within the bound that counts from the yes, if the yes waits that long.
  while (!yeses_.empty() && leads(now)) {
    Yes& yes = yeses_.front();
    if (now - yes.since < props_.yesWait && !inForce(yes.sections)) return;
    if (now - yes.since >= props_.yesWait) outbox.count("changes.yesWaited");
    for (auto& [to, answer] : yes.answers) answerChange(to, answer, outbox);
    yeses_.pop_front();
  }
}

CoreId Leadership::pickRecruit(MonotonicTime now) const {
  auto records = membership_.live();
  CoreId best;
  int bestScore = -1;
  for (const auto& record : records) {
    if (record.role != Role::kCore || record.core == self() || record.leaving) continue;
    auto failed = failedRecruits_.find(record.core);
    int score = failed == failedRecruits_.end() ? 8 : 0;
    if (membership_.silence(record.member, now) < seconds(1)) score += 16;
    if (std::ranges::find(view_.voters, record.core) != view_.voters.end()) score += 4;
    if (record.core == view_.backup) score += 2;
    if (record.district != membership_.self().district) score += 1;
    if (score > bestScore) {
      bestScore = score;
      best = record.core;
    }
  }
  return best;
}

std::vector<CoreId> Leadership::wantedVoters(MonotonicTime now) {
  std::vector<CoreId> voters = view_.voters;
  for (CoreId& seat : voters) {
    lastSeen_.try_emplace(seat, now);
    if (now - lastSeen_[seat] < props_.seatAfter) continue;
    for (const auto& record : membership_.live()) {
      bool newcomer = record.role == Role::kCore && !record.leaving &&
                      std::ranges::find(view_.voters, record.core) == view_.voters.end();
      if (!newcomer) continue;
      seat = record.core;  // one seat at a time
      return voters;
    }
  }
  return voters;
}

void Leadership::considerViewChange(MonotonicTime now, Outbox& outbox) {
  if (now < nextTry_ || !leads(now) || !writes_.empty()) return;
  std::erase_if(failedRecruits_,
                [&](const auto& entry) { return now - entry.second > seconds(5); });
  View wanted = view_;
  wanted.voters = wantedVoters(now);
  bool backupGone = view_.backup.value == 0 || membership_.addressOf(view_.backup).value.empty() ||
                    failedRecruits_.contains(view_.backup);
  if (unconfirmed_ || backupGone) wanted.backup = pickRecruit(now);
  bool same = wanted.backup == view_.backup && wanted.voters == view_.voters;
  bool stuck = batchState_ && now - batchSince_ > props_.copyTimeout &&
               !(ownSynced_ && backupSynced_);
  if (wanted.backup.value == 0 || (same && !unconfirmed_ && !stuck && !recapture_)) return;
  nextTry_ = now + milliseconds(200);
  unconfirmed_ = true;  // from here on nothing is acknowledged until a higher view is settled
  standing_ = false;
  gather({seen_.value + 1}, wanted, now, outbox);
}

}  // namespace peppergate
