// The part of Leadership that hands over a core's leadership, vote and replica at shutdown.
#include <algorithm>

#include "core/leadership.h"
#include "core/quorum.h"

namespace peppergate {
namespace {

constexpr Duration kFinishChangesWithin =
    seconds(1.5);                              // for changes under way when the shutdown begins
constexpr Duration kGraceMargin = seconds(1);  // before the process would be killed

}  // namespace

void Leadership::beginLeaving(MonotonicTime now) {
  if (!leaving()) leavingSince_ = now;
}

bool Leadership::graceTimeIsOver(MonotonicTime now) const {
  if (!leaving()) return false;
  return now - leavingSince_ >
         std::max(options_.graceTime - kGraceMargin, options_.graceTime * 0.5);
}

bool Leadership::hasVoteOrReplicaIn(const View& view) const {
  return isMember(view, self()) || isVoterIn(view, self());
}

bool Leadership::anyOtherCoreStays() const {
  return std::ranges::any_of(membership_.liveCores(), [&](const MemberRecord& record) {
    return record.core != self() && !record.leaving;
  });
}

bool Leadership::mayExit(MonotonicTime now) const {
  if (!leaving() || leading_ || releaseToResend_) return false;
  if (options_.faults.has(ControlFault::kLeaveWithoutHandover)) return true;
  // If the whole fleet shuts down, no core can take over; the disks keep the state.
  if (diskSuspect_ || graceTimeIsOver(now) || !anyOtherCoreStays()) return true;
  // A view that this core accepted may never be settled, so the newest settled one counts, too.
  return !hasVoteOrReplica();
}

void Leadership::stepDownWhenLeaving(MonotonicTime now, Outbox& outbox) {
  if (!leaving() || !leading_) return;
  bool idle = !batchState_ && pendingAcknowledgements_.empty() && queuedChanges_.empty() &&
              phase_ == LeaderPhase::kLeading;
  bool handedOver = idle && !unconfirmed_;
  // A core that became leader during its shutdown may be the only one with the state: it leads
  // until others have it.
  bool becameLeaderWhileLeaving = ledSince_ > leavingSince_;
  bool timeIsUp =
      becameLeaderWhileLeaving ? graceTimeIsOver(now) : now - leavingSince_ > kFinishChangesWithin;
  if (handedOver || timeIsUp) stepDown(now, outbox, "this core is shutting down");
}

}  // namespace peppergate
