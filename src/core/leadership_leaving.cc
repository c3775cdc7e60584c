// The part of Leadership that hands a leaving machine's duties over before its process ends.
#include <algorithm>

#include "core/leadership.h"
#include "core/quorum.h"

namespace peppergate {
namespace {

constexpr Duration kFinishWithin = seconds(1.5);  // changes that are under way when it is told
constexpr Duration kGraceMargin = seconds(1);     // between the end in order and a kill

}  // namespace

void Leadership::leave(MonotonicTime now) {
  if (!leaving()) leavingSince_ = now;
}

bool Leadership::graceIsOver(MonotonicTime now) const {
  if (!leaving()) return false;
  return now - leavingSince_ >
         std::max(options_.graceTime - kGraceMargin, options_.graceTime * 0.5);
}

bool Leadership::hasDutyIn(const View& view) const {
  return isMember(view, self()) || votesIn(view, self());
}

bool Leadership::anyoneStays() const {
  return std::ranges::any_of(membership_.liveCores(), [&](const MemberRecord& record) {
    return record.core != self() && !record.leaving;
  });
}

bool Leadership::gone(MonotonicTime now) const {
  if (!leaving() || leading_ || releasing_) return false;
  if (options_.faults.has(ControlFault::kLeaverEndsEarly)) return true;
  // Where the whole fleet stops nobody can take anything over; the disks keep it.
  if (suspect_ || graceIsOver(now) || !anyoneStays()) return true;
  // A view that this core accepted may never come to be, so the newest settled one counts, too.
  return !hasDuty();
}

void Leadership::yieldWhenLeaving(MonotonicTime now, Outbox& outbox) {
  if (!leaving() || !leading_) return;
  bool idle = !batchState_ && pendingAcknowledgements_.empty() && waiting_.empty() &&
              phase_ == LeaderPhase::kLeading;
  bool handedOver = idle && !unconfirmed_;
  // A machine that had to lead although it leaves may be the only one with the state: it goes on
  // until others have it.
  bool tookOver = ledSince_ > leavingSince_;
  bool late = tookOver ? graceIsOver(now) : now - leavingSince_ > kFinishWithin;
  if (handedOver || late) stepDown(now, outbox, "it leaves");
}

}  // namespace peppergate
