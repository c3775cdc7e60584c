// The part of Leadership that writes replicas and applies changes in batches.
#include <algorithm>

#include "core/leadership.h"

namespace peppergate {

void Leadership::startReplication(MonotonicTime now, Outbox& outbox) {
  phase_ = LeaderPhase::kReplicating;
  phaseSince_ = now;
  ownSynced_ = false;
  synced_.clear();
  const ControlState& state = batchState_ ? *batchState_ : replica_.state;
  writeReplica({wanted_.epoch, state, now, {}, {}, true}, outbox);
  replicate(outbox, true);
}

void Leadership::replicate(Outbox& outbox, bool joining) {
  const ControlState& state = batchState_ ? *batchState_ : replica_.state;
  const View& view = joining ? wanted_ : view_;
  ReplicateRequest ask{view.epoch, self(), state.version(), joining, {}};
  for (CoreId backup : view.backups) {
    if (synced_.contains(backup)) continue;
    if (ask.state.empty()) ask.state = state.text();
    outbox.send(membership_.addressOf(backup), ask);
    outbox.count("copies.sent");
  }
}

bool Leadership::allSynced(const View& view) const {
  return view.backups.size() >= static_cast<std::size_t>(options_.backups) &&
         std::ranges::all_of(view.backups, [&](CoreId core) { return synced_.contains(core); });
}

bool Leadership::stuck(MonotonicTime now) const {
  if (!batchState_ || (ownSynced_ && allSynced(view_))) return false;
  return now - batchSince_ > options_.replicateTimeout ||
         std::ranges::any_of(view_.backups, [&](CoreId core) {
           return !synced_.contains(core) && failedReplicas_.contains(core);
         });
}

void Leadership::writeReplica(Write write, Outbox& outbox) {
  if (!writes_.empty()) {  // one write at a time; only the newest one is queued
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
  if (!event.synced && options_.guards(Guard::kSyncFailure)) {
    outbox.push(NoteState{"core: a sync failed; the file counts as not written"});
    suspect(outbox);
    return true;
  }
  if (suspect_) return true;
  if (write.tag >= replica_.tag) replica_ = {write.tag, write.state};
  outbox.push(DropOlder{"state", 3});
  if (queuedWrite_) {
    Write next = std::move(*queuedWrite_);
    queuedWrite_.reset();
    next.since = now;
    writeReplica(std::move(next), outbox);
  }
  if (!write.own) {
    hasPublished_ = false;  // the state on this disk is another leader's now
    // No acknowledgement if another core was promised a higher epoch during the write.
    bool good = acceptor_.allowsReplica(write.ask.epoch, write.ask.from);
    if (good)
      outbox.send(write.answerTo, ReplicateReply{write.ask.epoch, self(), write.ask.version, true});
    return true;
  }
  if (phase_ == LeaderPhase::kBootstrapping && write.tag == wanted_.epoch) {
    ownSynced_ = true;
    prepareBootstrappers(outbox);
    return true;
  }
  if (phase_ == LeaderPhase::kReplicating && write.tag == wanted_.epoch) {
    ownSynced_ = true;
    replicationDone(now, outbox);
  } else if (phase_ == LeaderPhase::kLeading && batchState_ &&
             write.state.version() == batchState_->version()) {
    ownSynced_ = true;
    finishBatch(now, outbox);
  }
  return true;
}

Epoch Leadership::newestTag() const {
  Epoch newest = replica_.tag;
  for (const auto& [ticket, write] : writes_) newest = std::max(newest, write.tag);
  return queuedWrite_ ? std::max(newest, queuedWrite_->tag) : newest;
}

void Leadership::hear(const Address& from, const ReplicateRequest& ask, MonotonicTime now,
                      Outbox& outbox) {
  seen_ = std::max(seen_, ask.epoch);
  // A delayed replica of a former leader must not replace one that is still being written, nor end
  // a newer leadership or candidacy of this core.
  bool fits = ask.joining ? ask.epoch >= newestTag() : ask.epoch == newestTag();
  bool outdated = !idle() && ask.epoch < std::max(view_.epoch, leaseEpoch_);
  if (suspect_ || stalled_ || !fits || outdated || !acceptor_.allowsReplica(ask.epoch, ask.from)) {
    outbox.count("copies.declined");
    outbox.send(from, ReplicateReply{ask.epoch, self(), ask.version, false});
    return;
  }
  auto state = ControlState::parse(ask.state);
  if (!state.ok()) {
    outbox.count("copies.unreadable");
    return;
  }
  if (options_.faults.has(ControlFault::kRememberedOrdersDropped)) state->forgetTakenOrders();
  bool sameVersion = ask.epoch == replica_.tag && replica_.state.version() == state->version();
  if (sameVersion && replica_.state.text() != state->text()) {
    outbox.count("copies.forked");  // equal versions with unequal contents are never synced
    outbox.send(from, ReplicateReply{ask.epoch, self(), ask.version, false});
    return;
  }
  if (ask.epoch == replica_.tag && replica_.state.version() >= state->version()) {
    outbox.send(from, ReplicateReply{ask.epoch, self(), ask.version, true});
    return;
  }
  if (leading_) stepDown(now, outbox, "another core leads a newer view");
  writeReplica({ask.epoch, std::move(*state), now, from, ask, false}, outbox);
  if (options_.faults.has(ControlFault::kSyncSkipped))
    written({writes_.begin()->first, true}, now, outbox);
}

void Leadership::hear(const ReplicateReply& answer, MonotonicTime now, Outbox& outbox) {
  bool copying = phase_ == LeaderPhase::kReplicating;
  const View& view = copying ? wanted_ : view_;
  bool backs = answer.from != view.primary && isMember(view, answer.from);
  if (answer.epoch != view.epoch || !backs) return;
  if (!answer.synced) {
    heardReplicateRejection(answer, now);
  } else if (copying) {
    synced_.insert(answer.from);
    replicationDone(now, outbox);
  } else if (phase_ == LeaderPhase::kLeading && batchState_ &&
             answer.version == batchState_->version()) {
    synced_.insert(answer.from);
    finishBatch(now, outbox);
  }
}

void Leadership::heardReplicateRejection(const ReplicateReply& answer, MonotonicTime now) {
  // Its disk is bad, or it promised a higher epoch to another core: another core may become the
  // backup at once.
  if (!leading_) return;
  failedReplicas_[answer.from] = now;
  if (phase_ != LeaderPhase::kReplicating) return;
  phase_ = LeaderPhase::kLeading;
  nextTry_ = now + milliseconds(static_cast<std::int64_t>(random_.below(100)));
}

void Leadership::replicationDone(MonotonicTime now, Outbox& outbox) {
  if (!ownSynced_ || !allSynced(wanted_)) return;
  wanted_.base = wanted_.epoch;
  propose(now, outbox);
}

ChangeReply Leadership::replyTo(const ChangeRequest& ask, ChangeOutcome outcome) {
  ChangeReply answer;
  answer.ticket = ask.ticket;
  answer.changeId = ask.changeId;
  answer.outcome = outcome;
  return answer;
}

void Leadership::answerChange(const Address& to, ChangeReply answer, Outbox& outbox) {
  outbox.count(answer.outcome == ChangeOutcome::kDone ? "changes.done" : "changes.declined");
  outbox.send(to, std::move(answer));
}

void Leadership::refuseWaiting(ChangeOutcome outcome, Outbox& outbox) {
  for (const auto& change : waiting_)
    answerChange(change.from, replyTo(change.ask, outcome), outbox);
  waiting_.clear();
}

void Leadership::take(const Address& from, const ChangeRequest& ask, MonotonicTime now,
                      Outbox& outbox) {
  if (!leads(now) || leaving()) {
    answerChange(from, replyTo(ask, ChangeOutcome::kNotPrimary), outbox);
    return;
  }
  if (waiting_.size() >= 1000) {
    answerChange(from, replyTo(ask, ChangeOutcome::kBusy), outbox);
    return;
  }
  waiting_.push_back({from, ask, now});
  startBatch(now, outbox);
}

void Leadership::startBatch(MonotonicTime now, Outbox& outbox) {
  if (phase_ != LeaderPhase::kLeading || batchState_ || !writes_.empty() || yieldsBatch_) return;
  if (unconfirmed_) {  // changes wait for a backup, then are rejected with their own outcome
    std::erase_if(waiting_, [&](const WaitingChange& change) {
      if (now - change.since < options_.replicateTimeout) return false;
      answerChange(change.from, replyTo(change.ask, ChangeOutcome::kNoBackup), outbox);
      return true;
    });
    return;
  }
  if (!names(now)) return;
  // Most ticks have nothing to do; copying a large state in each one would use up a CPU core.
  if (waiting_.empty() && batch_.empty() && newerSeen_ == SectionVersions{}) return;
  ControlState draft = replica_.state;
  SectionVersion before = draft.version();
  if (newerSeen_ != SectionVersions{} && !draft.stampOver(newerSeen_, view_.epoch)) newerSeen_ = {};
  while (!waiting_.empty()) {
    WaitingChange change = std::move(waiting_.front());
    waiting_.pop_front();
    ChangeReply answer = draft.apply(change.ask.change, change.ask.changeId, view_.epoch, options_);
    answer.ticket = change.ask.ticket;
    answer.changeId = change.ask.changeId;
    // An outcome that depends on earlier changes of the draft is valid only once it is published.
    const bool onPublished = draft.version() == before;
    if (answer.outcome != ChangeOutcome::kDone && onPublished)
      answerChange(change.from, answer, outbox);
    else batch_.emplace_back(change.from, answer);
  }
  if (draft.version() == before) {  // only repetitions of applied changes
    if (!batch_.empty())
      pendingAcknowledgements_.push_back(
          {published_.sections(), publishedAt_, std::exchange(batch_, {})});
    return;
  }
  batchState_ = std::move(draft);
  batchSince_ = now;
  ownSynced_ = false;
  synced_.clear();
  writeReplica({view_.epoch, *batchState_, now, {}, {}, true}, outbox);
  replicate(outbox, false);
}

void Leadership::finishBatch(MonotonicTime now, Outbox& outbox) {
  bool synced = allSynced(view_) || !options_.guards(Guard::kBackupSync);
  if (!ownSynced_ || !synced || !batchState_) return;
  if (options_.guards(Guard::kThirdVoter) && !witnessed(*batchState_)) {
    if (!witnessedState_ || witnessedState_->version() != batchState_->version())
      requestWitnesses(*batchState_, outbox);
    if (!witnessed(*batchState_)) return;
  }
  if (!leads(now)) return;  // the next tick steps down and answers "lost"
  published_ = *batchState_;
  named_ = true;
  publishedAt_ = now;
  batchState_.reset();
  refuseOfBatch(outbox);
  pendingAcknowledgements_.push_back({published_.sections(), now, std::exchange(batch_, {})});
  startBatch(now, outbox);
}

void Leadership::refuseOfBatch(Outbox& outbox) {
  // Acknowledgements wait for the routers; a refusal changes nothing there and is sent at once.
  std::erase_if(batch_, [&](const auto& entry) {
    const auto& [to, answer] = entry;
    if (answer.outcome == ChangeOutcome::kDone) return false;
    answerChange(to, answer, outbox);
    return true;
  });
}

void Leadership::acknowledge(const std::function<bool(const SectionVersions&)>& inForce,
                             MonotonicTime now, Outbox& outbox) {
  // A router without these sections may still allow streams because of an older proof. If the
  // acknowledgement waits that long, the proof expires within the bound that counts from it.
  while (!pendingAcknowledgements_.empty() && leads(now)) {
    PendingAcknowledgement& yes = pendingAcknowledgements_.front();
    if (now - yes.since < options_.acknowledgementWait && !inForce(yes.sections)) return;
    if (now - yes.since >= options_.acknowledgementWait) outbox.count("changes.yesWaited");
    for (auto& [to, answer] : yes.answers) answerChange(to, answer, outbox);
    pendingAcknowledgements_.pop_front();
  }
}

}  // namespace peppergate
