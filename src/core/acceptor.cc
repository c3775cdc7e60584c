#include "core/acceptor.h"

#include <algorithm>

#include "core/digest.h"
#include "core/quorum.h"
#include "wire/json_fields.h"

namespace peppergate {

std::string numbered(std::string_view prefix, std::uint64_t number) {
  std::string digits = std::to_string(number);
  return std::string(prefix) + "." + std::string(20 - digits.size(), '0') + digits;
}

std::string sealed(std::string_view content) {
  return digestText(content) + "\n" + std::string(content);
}

std::optional<std::string> opened(std::string_view file) {
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
      grantsNothingUntil_(started) {
  // The process may have renewed a lease just before it ended, so it grants nothing for the length
  // of a lease. A promise is on disk before it is answered: an acceptor without any granted
  // nothing.
  bool untouched = durable_.promised.value == 0 && durable_.accepted.epoch.value == 0;
  if (!untouched) grantsNothingUntil_ = started + options.lease;
}

bool Acceptor::grantedToOther(CoreId core, MonotonicTime now) const {
  if (options_.faults.has(ControlFault::kLeaseNotWaitedOut)) return false;
  if (grantIsReadLease_ && !options_.guards(Guard::kOneGrant)) return false;
  return now < grantsNothingUntil_ || (grantedTo_ != core && now < grantedUntil_);
}

void Acceptor::grant(CoreId core, MonotonicTime now) {
  if (now < grantsNothingUntil_) return;
  grantedTo_ = core;
  grantedUntil_ = now + options_.lease;
  grantIsReadLease_ = false;
}

void Acceptor::notice(MonotonicTime now) {
  // After a stall or a jump of the clock the time that really passed is unknown: a lease that was
  // granted before is extended by its full length from now.
  bool leapt = lastNotice_ != kNever && now - lastNotice_ > seconds(0.4);
  if (leapt && lastNotice_ < grantedUntil_ && options_.guards(Guard::kClockLeap))
    grantedUntil_ = std::max(grantedUntil_, now + options_.lease);
  lastNotice_ = now;
}

bool Acceptor::grantReadLease(CoreId core, const View& view, MonotonicTime sentAt,
                              MonotonicTime now) {
  const View& mine = durable_.accepted;
  bool equal = mine.epoch == view.epoch && mine.primary == view.primary;
  equal = (equal && !inFlight_) || !options_.guards(Guard::kEqualViews);
  bool seat = votesIn(mine, durable_.identity);
  bool other = grantedToOther(core, now) && options_.guards(Guard::kOneGrant);
  if (suspect_ || !equal || !seat || other || now < grantsNothingUntil_) return false;
  grant(core, now);
  grantIsReadLease_ = true;
  readLeaseSentAt_ = sentAt;
  return true;
}

bool Acceptor::mayPromise(const PrepareRequest& ask, MonotonicTime now) const {
  // Only cores that took part in the first start bootstrap the fleet, and only before it has a
  // backup.
  bool allowed =
      ask.kind != PrepareKind::kBootstrap || (bootstraps() && isBootstrap(durable_.accepted));
  return allowed && !suspect_ && !grantedToOther(ask.candidate, now) &&
         ask.epoch > durable_.promised;
}

bool Acceptor::mayAccept(const AcceptRequest& ask, MonotonicTime now) const {
  if (suspect_) return false;
  if (ask.bootstrap && bootstraps() && !isBootstrap(durable_.accepted)) return false;
  if (ask.bootstrap && !bootstraps()) {
    bool untouched = durable_.accepted.epoch.value == 0 && durable_.promised.value == 0;
    bool again =
        durable_.accepted.epoch == ask.view.epoch && durable_.accepted.primary == ask.view.primary;
    return untouched || again;
  }
  bool waits = !options_.faults.has(ControlFault::kLeaseNotWaitedOut);
  if (waits && grantedTo_ != ask.view.primary && now < grantedUntil_) return false;
  if (ask.view.epoch == durable_.promised) return durable_.promisedTo == ask.view.primary;
  return ask.view.epoch > durable_.promised;
}

void Acceptor::write(AcceptorRecord next, Waiting waiting, MonotonicTime now, Outbox& outbox) {
  writing_ = std::move(next);
  inFlight_ = std::move(waiting);
  writingSince_ = now;
  ticket_ = outbox.ticket();
  // At most one promise and one acceptance are written for an epoch, so file numbers only rise.
  bool accepting = writing_.accepted.epoch == writing_.promised;
  outbox.push(WriteFile{ticket_, numbered("voter", writing_.promised.value * 2 + accepting),
                        sealed(toJson(writing_).dump())});
  if (options_.faults.has(ControlFault::kSyncSkipped)) written({ticket_, true}, now, outbox);
}

void Acceptor::replyToPrepare(const Address& to, const PrepareRequest& ask, bool granted,
                              Outbox& outbox) {
  outbox.count(granted ? "acceptor.promises" : "acceptor.rejections");
  outbox.send(to, PrepareReply{ask.epoch, durable_.identity, ask.sentAt, granted, durable_.promised,
                               durable_.accepted});
}

void Acceptor::replyToAccept(const Address& to, const AcceptRequest& ask, bool accepted,
                             Outbox& outbox) {
  outbox.send(to, AcceptReply{ask.view.epoch, durable_.identity, accepted, durable_.promised});
}

void Acceptor::released(const PrepareRequest& ask) {
  // A delayed release must not end a lease that was granted after it was sent: one of a higher
  // epoch, or a newer read lease of the same read-only leader.
  if (ask.epoch.value == 0) {
    // A read-only leader names the last request with which it asked for the lease.
    if (grantIsReadLease_ && ask.sentAt == readLeaseSentAt_) release(ask.candidate);
    return;
  }
  bool same = ask.epoch == durable_.promised && ask.candidate == durable_.promisedTo;
  if (same && !inFlight_ && !grantIsReadLease_) release(ask.candidate);
}

void Acceptor::ask(const Address& from, const PrepareRequest& ask, MonotonicTime now,
                   Outbox& outbox) {
  if (ask.kind == PrepareKind::kRelease) {
    released(ask);
    return;
  }
  bool renewal = ask.epoch == durable_.promised && ask.candidate == durable_.promisedTo;
  // While a promise to another candidate is being written, this vote belongs to that candidate,
  // even if the write takes longer than a lease.
  bool promisesOther = inFlight_ && writing_.promisedTo != ask.candidate;
  if (renewal && !promisesOther && !suspect_ && !grantedToOther(ask.candidate, now)) {
    grant(ask.candidate, now);
    replyToPrepare(from, ask, true, outbox);
    return;
  }
  if (inFlight_) {
    if (queue_.size() < 16) queue_.push_back({from, ask});
    return;
  }
  if (!mayPromise(ask, now)) {
    replyToPrepare(from, ask, false, outbox);
    return;
  }
  // The lease excludes other candidates from now on, before the promise is on disk.
  grant(ask.candidate, now);
  AcceptorRecord next = durable_;
  next.promised = ask.epoch;
  next.promisedTo = ask.candidate;
  write(std::move(next), {from, ask}, now, outbox);
}

void Acceptor::ask(const Address& from, const AcceptRequest& ask, MonotonicTime now,
                   Outbox& outbox) {
  if (inFlight_) {
    if (queue_.size() < 16) queue_.push_back({from, ask});
    return;
  }
  // One epoch has one view; a second one of the same epoch would be a fork.
  if (nowSettled(ask.view)) {  // it was chosen before any promise that was given since
    AcceptorRecord next = durable_;
    next.accepted = ask.view;
    write(std::move(next), {from, ask}, now, outbox);
    return;
  }
  bool decided = durable_.accepted.epoch == ask.view.epoch && durable_.accepted.epoch.value != 0;
  bool again = decided && durable_.accepted == ask.view && !suspect_;
  if (decided || !mayAccept(ask, now)) {
    replyToAccept(from, ask, again, outbox);
    return;
  }
  grant(ask.view.primary, now);
  AcceptorRecord next = durable_;
  next.promised = ask.view.epoch;
  next.promisedTo = ask.view.primary;
  next.accepted = ask.view;
  write(std::move(next), {from, ask}, now, outbox);
}

bool Acceptor::nowSettled(const View& view) const {
  if (suspect_ || durable_.accepted.formerVoters.empty()) return false;
  View settled = durable_.accepted;
  settled.formerVoters.clear();
  return view == settled;
}

bool Acceptor::written(const FileWritten& event, MonotonicTime now, Outbox& outbox) {
  if (!inFlight_ || event.ticket != ticket_) return false;
  Waiting waiting = std::move(*inFlight_);
  inFlight_.reset();
  if (!event.synced && options_.guards(Guard::kSyncFailure)) {
    suspect_ = true;
    queue_.clear();
    outbox.push(
        NoteState{"voter: a sync failed; the disk is suspect and this voter no longer votes"});
    return true;
  }
  outbox.push(DropOlder{"voter", 2});
  durable_ = writing_;
  if (auto* promise = std::get_if<PrepareRequest>(&waiting.ask)) {
    bool free = !grantedToOther(promise->candidate, now);
    if (free) grant(promise->candidate, now);
    replyToPrepare(waiting.from, *promise, free, outbox);
  } else {
    replyToAccept(waiting.from, std::get<AcceptRequest>(waiting.ask), true, outbox);
  }
  while (!queue_.empty() && !inFlight_) {
    Waiting next = std::move(queue_.front());
    queue_.pop_front();
    if (auto* asked = std::get_if<PrepareRequest>(&next.ask)) ask(next.from, *asked, now, outbox);
    else ask(next.from, std::get<AcceptRequest>(next.ask), now, outbox);
  }
  return true;
}

bool Acceptor::allowsReplica(Epoch epoch, CoreId from) const {
  if (suspect_) return false;
  Epoch promised = inFlight_ ? std::max(durable_.promised, writing_.promised) : durable_.promised;
  if (epoch != promised) return epoch > promised;
  CoreId to =
      inFlight_ && writing_.promised == promised ? writing_.promisedTo : durable_.promisedTo;
  return to == from;
}

}  // namespace peppergate
