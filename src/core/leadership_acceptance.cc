// The part of Leadership that proposes a view and counts the voters that accept it.
#include <algorithm>

#include "core/leadership.h"
#include "core/quorum.h"

namespace peppergate {

void Leadership::propose(MonotonicTime now, Outbox& outbox) {
  bool meet = majoritiesMeet(wanted_.voters, old_.voters) ||
              options_.faults.has(ControlFault::kOneMajorityOfVoters);
  if (!meet) {  // never proposed, for whatever reason it was wanted
    outbox.count("views.unsafe");
    outbox.push(
        NoteState{"core: a view whose majorities need not intersect those of its predecessor is "
                  "not proposed"});
    giveUpPhase(now, outbox);
    return;
  }
  phase_ = LeaderPhase::kAccepting;
  phaseSince_ = now;
  accepted_.clear();
  if (leading_ && wanted_.voters != view_.voters) proposed_.push_back(wanted_.voters);
  requestAcceptance(outbox);
}

void Leadership::requestAcceptance(Outbox& outbox) {
  std::set<CoreId> asked = allVoters(old_);
  asked.insert(wanted_.voters.begin(), wanted_.voters.end());
  for (CoreId voter : asked)
    if (!accepted_.contains(voter))
      outbox.send(membership_.addressOf(voter), AcceptRequest{wanted_, false});
}

void Leadership::announceSettled(Outbox& outbox) {
  for (CoreId voter : allVoters(wanted_))
    outbox.send(membership_.addressOf(voter), AcceptRequest{settledView(), false});
}

void Leadership::hear(const AcceptReply& answer, MonotonicTime now, Outbox& outbox) {
  seen_ = std::max(seen_, answer.promised);
  if (answer.epoch != wanted_.epoch || !answer.accepted) {
    bool here = phase_ == LeaderPhase::kBootstrapping && answer.epoch == wanted_.epoch;
    if (here && !bootstrapping_) {
      outbox.push(NoteState{"core: bootstrap rejected; a voter already belongs to a fleet"});
      bootstrap_.cores = 0;
      phase_ = LeaderPhase::kFollowing;
    } else if (here) {
      giveUpPhase(now, outbox);
    }
    return;
  }
  if (phase_ != LeaderPhase::kAccepting && phase_ != LeaderPhase::kBootstrapping) return;
  accepted_.insert(answer.voter);
  bool all =
      std::ranges::all_of(wanted_.voters, [&](CoreId core) { return accepted_.contains(core); });
  bool enough = bootstrapping_ ? accepted_.size() >= bootstrapQuorum()
                : phase_ == LeaderPhase::kBootstrapping
                    ? all
                    : majority(accepted_, wanted_.voters) &&
                          (quorum(accepted_, old_) ||
                           options_.faults.has(ControlFault::kOneMajorityOfVoters));
  if (enough) settled(now, outbox);
}

}  // namespace peppergate
