#include "core/acceptor.h"

#include <algorithm>

#include "core/digest.h"
#include "core/quorum.h"
#include "wire/json_fields.h"

namespace peppergate {

std::string numberedFileName(std::string_view prefix, std::uint64_t number) {
  std::string digits = std::to_string(number);
  return std::string(prefix) + "." + std::string(20 - digits.size(), '0') + digits;
}

std::string withChecksum(std::string_view content) {
  return digestText(content) + "\n" + std::string(content);
}

std::optional<std::string> verifiedContent(std::string_view file) {
  if (file.size() < 33 || file[32] != '\n') return std::nullopt;
  std::string content(file.substr(33));
  if (digestText(content) != file.substr(0, 32)) return std::nullopt;
  return content;
}

bool isMember(const View& view, CoreId core) {
  return core.value != 0 &&
         (view.primary == core || std::ranges::find(view.backups, core) != view.backups.end());
}

Acceptor::Acceptor(const Options& options, AcceptorRecord record, MonotonicTime started,
                   bool bootstrapper)
    : options_(options),
      bootstrapper_(bootstrapper),
      durable_(std::move(record)),
      noGrantsUntil_(started) {
  // The process may have renewed a lease just before it ended, so it grants nothing for the length
  // of a lease. A promise is on disk before it is answered: an acceptor without any granted
  // nothing.
  bool hasNoPromise = durable_.promised.value == 0 && durable_.accepted.epoch.value == 0;
  if (!hasNoPromise) noGrantsUntil_ = started + options.lease;
}

bool Acceptor::leasedToOther(CoreId core, MonotonicTime now) const {
  if (options_.faults.has(ControlFault::kLeaseNotWaitedOut)) return false;
  if (grantIsReadLease_ && !options_.isGuardEnabled(SafetyGuard::kOneGrant)) return false;
  return now < noGrantsUntil_ || (grantedTo_ != core && now < grantedUntil_);
}

void Acceptor::grantLease(CoreId core, MonotonicTime now) {
  if (now < noGrantsUntil_) return;
  grantedTo_ = core;
  grantedUntil_ = now + options_.lease;
  grantIsReadLease_ = false;
}

void Acceptor::extendLeaseAfterClockJump(MonotonicTime now) {
  // After a stall or a jump of the clock the time that really passed is unknown: a lease that was
  // granted before is extended by its full length from now.
  bool clockJumped = lastTick_ != kNever && now - lastTick_ > seconds(0.4);
  if (clockJumped && lastTick_ < grantedUntil_ && options_.isGuardEnabled(SafetyGuard::kClockLeap))
    grantedUntil_ = std::max(grantedUntil_, now + options_.lease);
  lastTick_ = now;
}

bool Acceptor::grantReadLease(CoreId core, const View& view, MonotonicTime sentAt,
                              MonotonicTime now) {
  const View& acceptedView = durable_.accepted;
  bool viewsAreEqual = acceptedView.epoch == view.epoch && acceptedView.primary == view.primary;
  viewsAreEqual = (viewsAreEqual && !requestBeingWritten_) ||
                  !options_.isGuardEnabled(SafetyGuard::kEqualViews);
  bool isVoter = isVoterIn(acceptedView, durable_.identity);
  bool leasedElsewhere =
      leasedToOther(core, now) && options_.isGuardEnabled(SafetyGuard::kOneGrant);
  if (diskSuspect_ || !viewsAreEqual || !isVoter || leasedElsewhere || now < noGrantsUntil_)
    return false;
  grantLease(core, now);
  grantIsReadLease_ = true;
  readLeaseSentAt_ = sentAt;
  return true;
}

bool Acceptor::mayPromise(const PrepareRequest& request, MonotonicTime now) const {
  // Only cores that took part in the first start bootstrap the fleet, and only before it has a
  // backup.
  bool allowed =
      request.kind != PrepareKind::kBootstrap || (mayBootstrap() && isBootstrap(durable_.accepted));
  return allowed && !diskSuspect_ && !leasedToOther(request.candidate, now) &&
         request.epoch > durable_.promised;
}

bool Acceptor::mayAccept(const AcceptRequest& request, MonotonicTime now) const {
  if (diskSuspect_) return false;
  if (request.bootstrap && mayBootstrap() && !isBootstrap(durable_.accepted)) return false;
  if (request.bootstrap && !mayBootstrap()) {
    bool hasNoPromise = durable_.accepted.epoch.value == 0 && durable_.promised.value == 0;
    bool alreadyAccepted = durable_.accepted.epoch == request.view.epoch &&
                           durable_.accepted.primary == request.view.primary;
    return hasNoPromise || alreadyAccepted;
  }
  bool respectsLeases = !options_.faults.has(ControlFault::kLeaseNotWaitedOut);
  if (respectsLeases && grantedTo_ != request.view.primary && now < grantedUntil_) return false;
  if (request.view.epoch == durable_.promised) return durable_.promisedTo == request.view.primary;
  return request.view.epoch > durable_.promised;
}

void Acceptor::startWrite(AcceptorRecord next, PendingRequest pending, MonotonicTime now,
                          Outbox& outbox) {
  recordBeingWritten_ = std::move(next);
  requestBeingWritten_ = std::move(pending);
  writingSince_ = now;
  ticket_ = outbox.newTicket();
  // At most one promise and one acceptance are written for an epoch, so file numbers only rise.
  bool accepting = recordBeingWritten_.accepted.epoch == recordBeingWritten_.promised;
  outbox.push(WriteFile{
      ticket_, numberedFileName("voter", recordBeingWritten_.promised.value * 2 + accepting),
      withChecksum(toJson(recordBeingWritten_).dump())});
  if (options_.faults.has(ControlFault::kSyncSkipped)) completeWrite({ticket_, true}, now, outbox);
}

void Acceptor::replyToPrepare(const Address& to, const PrepareRequest& request, bool granted,
                              Outbox& outbox) {
  outbox.count(granted ? "acceptor.promises" : "acceptor.rejections");
  outbox.send(to, PrepareReply{request.epoch, durable_.identity, request.sentAt, granted,
                               durable_.promised, durable_.accepted});
}

void Acceptor::replyToAccept(const Address& to, const AcceptRequest& request, bool accepted,
                             Outbox& outbox) {
  outbox.send(to, AcceptReply{request.view.epoch, durable_.identity, accepted, durable_.promised});
}

void Acceptor::handleRelease(const PrepareRequest& request) {
  // A delayed release must not end a lease that was granted after it was sent: one of a higher
  // epoch, or a newer read lease of the same read-only leader.
  if (request.epoch.value == 0) {
    // A read-only leader names the last request with which it asked for the lease.
    if (grantIsReadLease_ && request.sentAt == readLeaseSentAt_) release(request.candidate);
    return;
  }
  bool isNewestPromise =
      request.epoch == durable_.promised && request.candidate == durable_.promisedTo;
  if (isNewestPromise && !requestBeingWritten_ && !grantIsReadLease_) release(request.candidate);
}

void Acceptor::handle(const Address& from, const PrepareRequest& request, MonotonicTime now,
                      Outbox& outbox) {
  if (request.kind == PrepareKind::kRelease) {
    handleRelease(request);
    return;
  }
  bool renewal = request.epoch == durable_.promised && request.candidate == durable_.promisedTo;
  // While a promise to another candidate is being written, this vote belongs to that candidate,
  // even if the write takes longer than a lease.
  bool writingOtherPromise =
      requestBeingWritten_ && recordBeingWritten_.promisedTo != request.candidate;
  if (renewal && !writingOtherPromise && !diskSuspect_ && !leasedToOther(request.candidate, now)) {
    grantLease(request.candidate, now);
    replyToPrepare(from, request, true, outbox);
    return;
  }
  if (requestBeingWritten_) {
    if (queuedRequests_.size() < 16) queuedRequests_.push_back({from, request});
    return;
  }
  if (!mayPromise(request, now)) {
    replyToPrepare(from, request, false, outbox);
    return;
  }
  // The lease excludes other candidates from now on, before the promise is on disk.
  grantLease(request.candidate, now);
  AcceptorRecord next = durable_;
  next.promised = request.epoch;
  next.promisedTo = request.candidate;
  startWrite(std::move(next), {from, request}, now, outbox);
}

void Acceptor::handle(const Address& from, const AcceptRequest& request, MonotonicTime now,
                      Outbox& outbox) {
  if (requestBeingWritten_) {
    if (queuedRequests_.size() < 16) queuedRequests_.push_back({from, request});
    return;
  }
  // One epoch has one view; a second one of the same epoch would be a fork.
  if (isNewlySettled(request.view)) {  // it was chosen before any promise that was given since
    AcceptorRecord next = durable_;
    next.accepted = request.view;
    startWrite(std::move(next), {from, request}, now, outbox);
    return;
  }
  bool decided =
      durable_.accepted.epoch == request.view.epoch && durable_.accepted.epoch.value != 0;
  bool alreadyAccepted = decided && durable_.accepted == request.view && !diskSuspect_;
  if (decided || !mayAccept(request, now)) {
    replyToAccept(from, request, alreadyAccepted, outbox);
    return;
  }
  grantLease(request.view.primary, now);
  AcceptorRecord next = durable_;
  next.promised = request.view.epoch;
  next.promisedTo = request.view.primary;
  next.accepted = request.view;
  startWrite(std::move(next), {from, request}, now, outbox);
}

bool Acceptor::isNewlySettled(const View& view) const {
  if (diskSuspect_ || durable_.accepted.formerVoters.empty()) return false;
  View settled = durable_.accepted;
  settled.formerVoters.clear();
  return view == settled;
}

bool Acceptor::completeWrite(const FileWritten& event, MonotonicTime now, Outbox& outbox) {
  if (!requestBeingWritten_ || event.ticket != ticket_) return false;
  PendingRequest completed = std::move(*requestBeingWritten_);
  requestBeingWritten_.reset();
  if (!event.synced && options_.isGuardEnabled(SafetyGuard::kSyncFailure)) {
    diskSuspect_ = true;
    queuedRequests_.clear();
    outbox.push(
        LogState{"voter: a sync failed; the disk is suspect and this voter no longer votes"});
    return true;
  }
  outbox.push(RemoveOlderFiles{"voter", 2});
  durable_ = recordBeingWritten_;
  if (auto* promise = std::get_if<PrepareRequest>(&completed.request)) {
    bool granted = !leasedToOther(promise->candidate, now);
    if (granted) grantLease(promise->candidate, now);
    replyToPrepare(completed.from, *promise, granted, outbox);
  } else {
    replyToAccept(completed.from, std::get<AcceptRequest>(completed.request), true, outbox);
  }
  while (!queuedRequests_.empty() && !requestBeingWritten_) {
    PendingRequest next = std::move(queuedRequests_.front());
    queuedRequests_.pop_front();
    if (auto* prepare = std::get_if<PrepareRequest>(&next.request))
      handle(next.from, *prepare, now, outbox);
    else handle(next.from, std::get<AcceptRequest>(next.request), now, outbox);
  }
  return true;
}

bool Acceptor::allowsReplica(Epoch epoch, CoreId from) const {
  if (diskSuspect_) return false;
  Epoch promised = requestBeingWritten_ ? std::max(durable_.promised, recordBeingWritten_.promised)
                                        : durable_.promised;
  if (epoch != promised) return epoch > promised;
  CoreId promisedTo = requestBeingWritten_ && recordBeingWritten_.promised == promised
                          ? recordBeingWritten_.promisedTo
                          : durable_.promisedTo;
  return promisedTo == from;
}

}  // namespace peppergate
