// The part of Leadership that writes replicas and applies changes in batches.
#include <algorithm>

#include "core/leadership.h"

namespace peppergate {

void Leadership::startReplication(MonotonicTime now, Outbox& outbox) {
  phase_ = LeaderPhase::kReplicating;
  phaseSince_ = now;
  ownSynced_ = false;
  syncedBackups_.clear();
  const ControlState& state = batchState_ ? *batchState_ : replica_.state;
  writeReplica({nextView_.epoch, state, now, {}, {}, true}, outbox);
  sendReplicas(outbox, true);
}

void Leadership::sendReplicas(Outbox& outbox, bool joining) {
  const ControlState& state = batchState_ ? *batchState_ : replica_.state;
  const View& view = joining ? nextView_ : view_;
  ReplicateRequest request{view.epoch, self(), state.version(), joining, {}};
  for (CoreId backup : view.backups) {
    if (syncedBackups_.contains(backup)) continue;
    if (request.state.empty()) request.state = state.serialize();
    outbox.send(membership_.addressOf(backup), request);
    outbox.count("copies.sent");
  }
}

bool Leadership::allSynced(const View& view) const {
  return view.backups.size() >= static_cast<std::size_t>(options_.backups) &&
         std::ranges::all_of(view.backups,
                             [&](CoreId core) { return syncedBackups_.contains(core); });
}

bool Leadership::isBatchStuck(MonotonicTime now) const {
  if (!batchState_ || (ownSynced_ && allSynced(view_))) return false;
  return now - batchSince_ > options_.replicateTimeout ||
         std::ranges::any_of(view_.backups, [&](CoreId core) {
           return !syncedBackups_.contains(core) && failedBackups_.contains(core);
         });
}

void Leadership::writeReplica(ReplicaWrite write, Outbox& outbox) {
  if (!writes_.empty()) {  // one write at a time; only the newest one is queued
    if (queuedWrite_ && queuedWrite_->ownState) ownSynced_ = false;
    queuedWrite_ = std::move(write);
    return;
  }
  TicketId ticket = outbox.newTicket();
  Json file = {{"tag", write.tag.value}, {"state", write.state.serialize()}};
  std::string name = numberedFileName("state", write.tag.value) + "." +
                     numberedFileName("", write.state.version().sequence.value).substr(1);
  outbox.push(WriteFile{ticket, name, withChecksum(file.dump())});
  writes_.emplace(ticket, std::move(write));
}

bool Leadership::completeWrite(const FileWritten& event, MonotonicTime now, Outbox& outbox) {
  auto found = writes_.find(event.ticket);
  if (found == writes_.end()) return false;
  ReplicaWrite write = std::move(found->second);
  writes_.erase(found);
  if (!event.synced && options_.isGuardEnabled(SafetyGuard::kSyncFailure)) {
    outbox.push(LogState{"core: a sync failed; the file counts as not written"});
    markDiskSuspect(outbox);
    return true;
  }
  if (diskSuspect_) return true;
  if (write.tag >= replica_.tag) replica_ = {write.tag, write.state};
  outbox.push(RemoveOlderFiles{"state", 3});
  if (queuedWrite_) {
    ReplicaWrite next = std::move(*queuedWrite_);
    queuedWrite_.reset();
    next.since = now;
    writeReplica(std::move(next), outbox);
  }
  if (!write.ownState) {
    hasPublished_ = false;  // the state on this disk is another leader's now
    // No acknowledgement if another core was promised a higher epoch during the write.
    bool promiseStillHolds = acceptor_.allowsReplica(write.request.epoch, write.request.sender);
    if (promiseStillHolds)
      outbox.send(write.requester,
                  ReplicateReply{write.request.epoch, self(), write.request.version, true});
    return true;
  }
  if (phase_ == LeaderPhase::kBootstrapping && write.tag == nextView_.epoch) {
    ownSynced_ = true;
    requestBootstrapAcceptance(outbox);
    return true;
  }
  if (phase_ == LeaderPhase::kReplicating && write.tag == nextView_.epoch) {
    ownSynced_ = true;
    proposeIfReplicated(now, outbox);
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

void Leadership::handle(const Address& from, const ReplicateRequest& request, MonotonicTime now,
                        Outbox& outbox) {
  highestEpochSeen_ = std::max(highestEpochSeen_, request.epoch);
  // A delayed replica of a former leader must not replace one that is still being written, nor end
  // a newer leadership or candidacy of this core.
  bool isNewestTag = request.joining ? request.epoch >= newestTag() : request.epoch == newestTag();
  bool outdated = !isIdle() && request.epoch < std::max(view_.epoch, leaseEpoch_);
  if (diskSuspect_ || diskStalled_ || !isNewestTag || outdated ||
      !acceptor_.allowsReplica(request.epoch, request.sender)) {
    outbox.count("copies.declined");
    outbox.send(from, ReplicateReply{request.epoch, self(), request.version, false});
    return;
  }
  auto state = ControlState::parse(request.state);
  if (!state.ok()) {
    outbox.count("copies.unreadable");
    return;
  }
  if (options_.faults.has(ControlFault::kRememberedChangesDropped)) state->dropRememberedChanges();
  bool sameVersion = request.epoch == replica_.tag && replica_.state.version() == state->version();
  if (sameVersion && replica_.state.serialize() != state->serialize()) {
    outbox.count("copies.forked");  // equal versions with unequal contents are never synced
    outbox.send(from, ReplicateReply{request.epoch, self(), request.version, false});
    return;
  }
  if (request.epoch == replica_.tag && replica_.state.version() >= state->version()) {
    outbox.send(from, ReplicateReply{request.epoch, self(), request.version, true});
    return;
  }
  if (leading_) stepDown(now, outbox, "another core leads a newer view");
  writeReplica({request.epoch, std::move(*state), now, from, request, false}, outbox);
  if (options_.faults.has(ControlFault::kSyncSkipped))
    completeWrite({writes_.begin()->first, true}, now, outbox);
}

void Leadership::handle(const ReplicateReply& reply, MonotonicTime now, Outbox& outbox) {
  bool replicating = phase_ == LeaderPhase::kReplicating;
  const View& view = replicating ? nextView_ : view_;
  bool isBackup = reply.sender != view.primary && isMember(view, reply.sender);
  if (reply.epoch != view.epoch || !isBackup) return;
  if (!reply.synced) {
    handleReplicateRejection(reply, now);
  } else if (replicating) {
    syncedBackups_.insert(reply.sender);
    proposeIfReplicated(now, outbox);
  } else if (phase_ == LeaderPhase::kLeading && batchState_ &&
             reply.version == batchState_->version()) {
    syncedBackups_.insert(reply.sender);
    finishBatch(now, outbox);
  }
}

void Leadership::handleReplicateRejection(const ReplicateReply& reply, MonotonicTime now) {
  // Its disk is bad, or it promised a higher epoch to another core: another core may become the
  // backup at once.
  if (!leading_) return;
  failedBackups_[reply.sender] = now;
  if (phase_ != LeaderPhase::kReplicating) return;
  phase_ = LeaderPhase::kLeading;
  nextAttempt_ = now + milliseconds(static_cast<std::int64_t>(random_.below(100)));
}

void Leadership::proposeIfReplicated(MonotonicTime now, Outbox& outbox) {
  if (!ownSynced_ || !allSynced(nextView_)) return;
  nextView_.baseEpoch = nextView_.epoch;
  propose(now, outbox);
}

ChangeReply Leadership::replyTo(const ChangeRequest& request, ChangeOutcome outcome) {
  ChangeReply reply;
  reply.ticket = request.ticket;
  reply.changeId = request.changeId;
  reply.outcome = outcome;
  return reply;
}

void Leadership::sendChangeReply(const Address& to, ChangeReply reply, Outbox& outbox) {
  outbox.count(reply.outcome == ChangeOutcome::kDone ? "changes.done" : "changes.declined");
  outbox.send(to, std::move(reply));
}

void Leadership::refuseQueuedChanges(ChangeOutcome outcome, Outbox& outbox) {
  for (const auto& change : queuedChanges_)
    sendChangeReply(change.from, replyTo(change.request, outcome), outbox);
  queuedChanges_.clear();
}

void Leadership::submitChange(const Address& from, const ChangeRequest& request, MonotonicTime now,
                              Outbox& outbox) {
  if (!hasLeaderLease(now) || leaving()) {
    sendChangeReply(from, replyTo(request, ChangeOutcome::kNotPrimary), outbox);
    return;
  }
  if (queuedChanges_.size() >= 1000) {
    sendChangeReply(from, replyTo(request, ChangeOutcome::kBusy), outbox);
    return;
  }
  queuedChanges_.push_back({from, request, now});
  startBatch(now, outbox);
}

void Leadership::startBatch(MonotonicTime now, Outbox& outbox) {
  if (phase_ != LeaderPhase::kLeading || batchState_ || !writes_.empty() || pausesBatches_) return;
  if (unconfirmed_) {  // changes wait for a backup, then are rejected with their own outcome
    std::erase_if(queuedChanges_, [&](const QueuedChange& change) {
      if (now - change.since < options_.replicateTimeout) return false;
      sendChangeReply(change.from, replyTo(change.request, ChangeOutcome::kNoBackup), outbox);
      return true;
    });
    return;
  }
  if (!mayShowState(now)) return;
  // Most ticks have nothing to do; copying a large state in each one would use up a CPU core.
  if (queuedChanges_.empty() && batchReplies_.empty() && newerRouterVersions_ == SectionVersions{})
    return;
  ControlState draft = replica_.state;
  SectionVersion oldVersion = draft.version();
  if (newerRouterVersions_ != SectionVersions{} &&
      !draft.supersedeUnacknowledged(newerRouterVersions_, view_.epoch))
    newerRouterVersions_ = {};
  while (!queuedChanges_.empty()) {
    QueuedChange change = std::move(queuedChanges_.front());
    queuedChanges_.pop_front();
    ChangeReply reply =
        draft.apply(change.request.change, change.request.changeId, view_.epoch, options_);
    reply.ticket = change.request.ticket;
    reply.changeId = change.request.changeId;
    // An outcome that depends on earlier changes of the draft is valid only once it is published.
    const bool onPublished = draft.version() == oldVersion;
    if (reply.outcome != ChangeOutcome::kDone && onPublished)
      sendChangeReply(change.from, reply, outbox);
    else batchReplies_.emplace_back(change.from, reply);
  }
  if (draft.version() == oldVersion) {  // only repetitions of applied changes
    if (!batchReplies_.empty())
      pendingAcknowledgements_.push_back(
          {published_.sections(), publishedAt_, std::exchange(batchReplies_, {})});
    return;
  }
  batchState_ = std::move(draft);
  batchSince_ = now;
  ownSynced_ = false;
  syncedBackups_.clear();
  writeReplica({view_.epoch, *batchState_, now, {}, {}, true}, outbox);
  sendReplicas(outbox, false);
}

void Leadership::finishBatch(MonotonicTime now, Outbox& outbox) {
  bool synced = allSynced(view_) || !options_.isGuardEnabled(SafetyGuard::kBackupSync);
  if (!ownSynced_ || !synced || !batchState_) return;
  if (options_.isGuardEnabled(SafetyGuard::kThirdVoter) && !isWitnessed(*batchState_)) {
    if (!witnessedState_ || witnessedState_->version() != batchState_->version())
      requestWitnesses(*batchState_, outbox);
    if (!isWitnessed(*batchState_)) return;
  }
  if (!hasLeaderLease(now)) return;  // the next tick steps down and answers "lost"
  published_ = *batchState_;
  publishedIsWitnessed_ = true;
  publishedAt_ = now;
  batchState_.reset();
  sendBatchRefusals(outbox);
  pendingAcknowledgements_.push_back(
      {published_.sections(), now, std::exchange(batchReplies_, {})});
  startBatch(now, outbox);
}

void Leadership::sendBatchRefusals(Outbox& outbox) {
  // Acknowledgements wait for the routers; a refusal changes nothing there and is sent at once.
  std::erase_if(batchReplies_, [&](const auto& entry) {
    const auto& [to, reply] = entry;
    if (reply.outcome == ChangeOutcome::kDone) return false;
    sendChangeReply(to, reply, outbox);
    return true;
  });
}

void Leadership::acknowledge(const std::function<bool(const SectionVersions&)>& inForce,
                             MonotonicTime now, Outbox& outbox) {
  // A router without these sections may still allow streams because of an older proof. If the
  // acknowledgement waits that long, the proof expires within the bound that counts from it.
  while (!pendingAcknowledgements_.empty() && hasLeaderLease(now)) {
    PendingAcknowledgement& pending = pendingAcknowledgements_.front();
    if (now - pending.since < options_.acknowledgementWait && !inForce(pending.sections)) return;
    if (now - pending.since >= options_.acknowledgementWait) outbox.count("changes.yesWaited");
    for (auto& [to, reply] : pending.replies) sendChangeReply(to, reply, outbox);
    pendingAcknowledgements_.pop_front();
  }
}

}  // namespace peppergate
