// The part of Leadership that writes copies, batches changes and recruits.
#include <algorithm>

#include "core/leadership.h"

namespace peppergate {

void Leadership::startCopies(MonotonicTime now, Outbox& outbox) {
  phase_ = LeaderPhase::kCopying;
  phaseSince_ = now;
  ownSynced_ = false;
  synced_.clear();
  const ControlState& state = batchState_ ? *batchState_ : copy_.state;
  writeCopy({wanted_.epoch, state, now, {}, {}, true}, outbox);
  sendCopy(outbox, true);
}

void Leadership::sendCopy(Outbox& outbox, bool recruiting) {
  const ControlState& state = batchState_ ? *batchState_ : copy_.state;
  const View& view = recruiting ? wanted_ : view_;
  CopyAsk ask{view.epoch, self(), state.version(), recruiting, {}};
  for (CoreId backup : view.backups) {
    if (synced_.contains(backup)) continue;
    if (ask.state.empty()) ask.state = state.text();
    outbox.send(membership_.addressOf(backup), ask);
    outbox.count("copies.sent");
  }
}

bool Leadership::allSynced(const View& view) const {
  return view.backups.size() >= static_cast<std::size_t>(props_.backups) &&
         std::ranges::all_of(view.backups, [&](CoreId core) { return synced_.contains(core); });
}

bool Leadership::stuck(MonotonicTime now) const {
  if (!batchState_ || (ownSynced_ && allSynced(view_))) return false;
  return now - batchSince_ > props_.copyTimeout ||
         std::ranges::any_of(view_.backups, [&](CoreId core) {
           return !synced_.contains(core) && failedRecruits_.contains(core);
         });
}

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
  if (phase_ == LeaderPhase::kFounding && write.tag == wanted_.epoch) {
    ownSynced_ = true;
    askFounders(outbox);
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
    outbox.send(from, CopyAnswer{ask.epoch, self(), ask.version, false});
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
  bool copying = phase_ == LeaderPhase::kCopying;
  const View& view = copying ? wanted_ : view_;
  bool backs = answer.from != view.primary && isMember(view, answer.from);
  if (answer.epoch != view.epoch || !backs) return;
  if (!answer.synced) {
    heardCopyDecline(answer, now);
  } else if (copying) {
    synced_.insert(answer.from);
    copiesDone(now, outbox);
  } else if (phase_ == LeaderPhase::kLeading && batchState_ &&
             answer.version == batchState_->version()) {
    synced_.insert(answer.from);
    finishBatch(now, outbox);
  }
}

void Leadership::heardCopyDecline(const CopyAnswer& answer, MonotonicTime now) {
  // Its disk is bad, or it promised elsewhere: another may take the copy at once.
  if (!settledHere_) return;
  failedRecruits_[answer.from] = now;
  if (phase_ != LeaderPhase::kCopying) return;
  phase_ = LeaderPhase::kLeading;
  nextTry_ = now + milliseconds(static_cast<std::int64_t>(random_.below(100)));
}

void Leadership::copiesDone(MonotonicTime now, Outbox& outbox) {
  if (!ownSynced_ || !allSynced(wanted_)) return;
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
  if (!leads(now) || leavingSince_ != kForever) {
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
  if (phase_ != LeaderPhase::kLeading || batchState_ || !writes_.empty() || yieldsBatch_) return;
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
  ownSynced_ = false;
  synced_.clear();
  writeCopy({view_.epoch, *batchState_, now, {}, {}, true}, outbox);
  sendCopy(outbox, false);
}

void Leadership::finishBatch(MonotonicTime now, Outbox& outbox) {
  bool synced = allSynced(view_) || !props_.guards(Guard::kBackupSync);
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

}  // namespace peppergate
