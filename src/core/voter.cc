#include "core/voter.h"

#include <algorithm>

#include "core/digest.h"
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
  return core.value != 0 && (view.primary == core ||
                             std::ranges::find(view.backups, core) != view.backups.end());
}

Voter::Voter(const Props& props, VoterRecord record, MonotonicTime started, bool founder)
    : props_(props), founder_(founder), durable_(std::move(record)), quietUntil_(started) {
  // It may have renewed a grant just before it ended. A promise is on disk before it is answered,
  // so a voter without any has granted nothing.
  bool untouched = durable_.promised.value == 0 && durable_.accepted.epoch.value == 0;
  if (!untouched) quietUntil_ = started + props.hold;
}

bool Voter::grantedToOther(CoreId core, MonotonicTime now) const {
  if (grantIsCaretakers_ && !props_.guards(Guard::kOneGrant)) return false;
  return now < quietUntil_ || (grantedTo_ != core && now < grantedUntil_);
}

void Voter::grant(CoreId core, MonotonicTime now) {
  if (now < quietUntil_) return;
  grantedTo_ = core;
  grantedUntil_ = now + props_.hold;
  grantIsCaretakers_ = false;
}

void Voter::notice(MonotonicTime now) {
  // After a stall or a leap of the clock it can't tell how much time really passed: what was
  // granted then holds for one whole hold from now.
  bool leapt = lastNotice_ != kNever && now - lastNotice_ > seconds(0.4);
  if (leapt && lastNotice_ < grantedUntil_ && props_.guards(Guard::kClockLeap))
    grantedUntil_ = std::max(grantedUntil_, now + props_.hold);
  lastNotice_ = now;
}

bool Voter::grantCaretaker(CoreId core, const View& view, MonotonicTime sentAt,
                           MonotonicTime now) {
  const View& mine = durable_.accepted;
  bool equal = mine.epoch == view.epoch && mine.primary == view.primary;
  equal = (equal && !inFlight_) || !props_.guards(Guard::kEqualViews);
  bool seat = std::ranges::find(mine.voters, durable_.identity) != mine.voters.end();
  bool other = grantedToOther(core, now) && props_.guards(Guard::kOneGrant);
  if (suspect_ || !equal || !seat || other || now < quietUntil_) return false;
  grant(core, now);
  grantIsCaretakers_ = true;
  caretakerSentAt_ = sentAt;
  return true;
}

bool Voter::mayPromise(const PromiseAsk& ask, MonotonicTime now) const {
  // Only those that were born with the fleet found it, and only until it has a backup.
  bool allowed = ask.kind != PromiseKind::kFound || (founds() && isFounding(durable_.accepted));
  return allowed && !suspect_ && !grantedToOther(ask.candidate, now) && ask.epoch > durable_.promised;
}

bool Voter::mayAccept(const AcceptAsk& ask, MonotonicTime now) const {
  if (suspect_) return false;
  if (ask.founding && founds() && !isFounding(durable_.accepted)) return false;
  if (ask.founding && !founds()) {
    bool untouched = durable_.accepted.epoch.value == 0 && durable_.promised.value == 0;
    bool again = durable_.accepted.epoch == ask.view.epoch &&
                 durable_.accepted.primary == ask.view.primary;
    return untouched || again;
  }
  if (grantedTo_ != ask.view.primary && now < grantedUntil_) return false;
  if (ask.view.epoch == durable_.promised) return durable_.promisedTo == ask.view.primary;
  return ask.view.epoch > durable_.promised;
}

void Voter::write(VoterRecord next, Waiting waiting, Outbox& outbox) {
  writing_ = std::move(next);
  inFlight_ = std::move(waiting);
  ticket_ = outbox.ticket();
  // One promise and one acceptance at the most are written for an epoch, so this only rises.
  bool accepting = writing_.accepted.epoch == writing_.promised;
  outbox.push(WriteFile{ticket_, numbered("voter", writing_.promised.value * 2 + accepting),
                        sealed(toJson(writing_).dump())});
}

void Voter::answerPromise(const Address& to, const PromiseAsk& ask, bool granted,
                          Outbox& outbox) {
  outbox.count(granted ? "voter.promises" : "voter.declines");
  outbox.send(to, PromiseAnswer{ask.epoch, durable_.identity, ask.sentAt, granted,
                                durable_.promised, durable_.accepted});
}

void Voter::answerAccept(const Address& to, const AcceptAsk& ask, bool accepted,
                         Outbox& outbox) {
  outbox.send(to,
              AcceptAnswer{ask.view.epoch, durable_.identity, accepted, durable_.promised});
}

void Voter::released(const PromiseAsk& ask) {
  // A late word must not free what was granted since: to a higher epoch, or to a caretaker again.
  if (ask.epoch.value == 0) {
    // It names the last question that it bound itself with.
    if (grantIsCaretakers_ && ask.sentAt == caretakerSentAt_) release(ask.candidate);
    return;
  }
  bool same = ask.epoch == durable_.promised && ask.candidate == durable_.promisedTo;
  if (same && !inFlight_ && !grantIsCaretakers_) release(ask.candidate);
}

void Voter::ask(const Address& from, const PromiseAsk& ask, MonotonicTime now, Outbox& outbox) {
  if (ask.kind == PromiseKind::kRelease) {
    released(ask);
    return;
  }
  bool renewal = ask.epoch == durable_.promised && ask.candidate == durable_.promisedTo;
  if (renewal && !suspect_ && !grantedToOther(ask.candidate, now)) {
    grant(ask.candidate, now);
    answerPromise(from, ask, true, outbox);
    return;
  }
  if (inFlight_) {
    if (queue_.size() < 16) queue_.push_back({from, ask});
    return;
  }
  if (!mayPromise(ask, now)) {
    answerPromise(from, ask, false, outbox);
    return;
  }
  // The hold shuts others out from now on, before the promise is on disk.
  grant(ask.candidate, now);
  VoterRecord next = durable_;
  next.promised = ask.epoch;
  next.promisedTo = ask.candidate;
  write(std::move(next), {from, ask}, outbox);
}

void Voter::ask(const Address& from, const AcceptAsk& ask, MonotonicTime now, Outbox& outbox) {
  if (inFlight_) {
    if (queue_.size() < 16) queue_.push_back({from, ask});
    return;
  }
  bool again = durable_.accepted.epoch == ask.view.epoch &&
               durable_.accepted.primary == ask.view.primary && !suspect_;
  if (again || !mayAccept(ask, now)) {
    answerAccept(from, ask, again, outbox);
    return;
  }
  grant(ask.view.primary, now);
  VoterRecord next = durable_;
  next.promised = ask.view.epoch;
  next.promisedTo = ask.view.primary;
  next.accepted = ask.view;
  write(std::move(next), {from, ask}, outbox);
}

bool Voter::written(const FileWritten& event, MonotonicTime now, Outbox& outbox) {
  if (!inFlight_ || event.ticket != ticket_) return false;
  Waiting waiting = std::move(*inFlight_);
  inFlight_.reset();
  if (!event.synced && props_.guards(Guard::kSyncFailure)) {
    suspect_ = true;
    queue_.clear();
    outbox.push(NoteState{"voter: a sync failed, the disk is suspect, it votes no more"});
    return true;
  }
  outbox.push(DropOlder{"voter", 2});
  durable_ = writing_;
  if (auto* promise = std::get_if<PromiseAsk>(&waiting.ask)) {
    grant(promise->candidate, now);
    answerPromise(waiting.from, *promise, true, outbox);
  } else {
    answerAccept(waiting.from, std::get<AcceptAsk>(waiting.ask), true, outbox);
  }
  while (!queue_.empty() && !inFlight_) {
    Waiting next = std::move(queue_.front());
    queue_.pop_front();
    if (auto* asked = std::get_if<PromiseAsk>(&next.ask)) ask(next.from, *asked, now, outbox);
    else ask(next.from, std::get<AcceptAsk>(next.ask), now, outbox);
  }
  return true;
}

bool Voter::allowsCopy(Epoch epoch, CoreId from) const {
  if (suspect_) return false;
  Epoch promised = inFlight_ ? std::max(durable_.promised, writing_.promised) : durable_.promised;
  if (epoch != promised) return epoch > promised;
  CoreId to = inFlight_ && writing_.promised == promised ? writing_.promisedTo
                                                         : durable_.promisedTo;
  return to == from;
}

}  // namespace peppergate
