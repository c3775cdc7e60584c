// The part of Leadership that proposes a view and counts the voters that accept it.
#include <algorithm>

#include "core/leadership.h"
#include "core/quorum.h"

namespace peppergate {

void Leadership::propose(MonotonicTime now, Outbox& outbox) {
  bool majoritiesOverlap = majoritiesIntersect(nextView_.voters, previousView_.voters) ||
                           options_.faults.has(ControlFault::kFormerMajoritySkipped);
  if (!majoritiesOverlap) {  // never proposed, for whatever reason it was wanted
    outbox.count("views.unsafe");
    outbox.push(
        LogState{"core: a view whose majorities need not intersect those of its predecessor is "
                 "not proposed"});
    abortPhase(now, outbox);
    return;
  }
  phase_ = LeaderPhase::kAccepting;
  phaseSince_ = now;
  acceptedVoters_.clear();
  if (leading_ && nextView_.voters != view_.voters) proposedVoterSets_.push_back(nextView_.voters);
  requestAcceptance(outbox);
}

void Leadership::requestAcceptance(Outbox& outbox) {
  std::set<CoreId> asked = allVoters(previousView_);
  asked.insert(nextView_.voters.begin(), nextView_.voters.end());
  for (CoreId voter : asked)
    if (!acceptedVoters_.contains(voter))
      outbox.send(membership_.addressOf(voter), AcceptRequest{nextView_, false});
}

void Leadership::announceSettled(Outbox& outbox) {
  for (CoreId voter : allVoters(nextView_))
    outbox.send(membership_.addressOf(voter), AcceptRequest{settledView(), false});
}

void Leadership::handle(const AcceptReply& reply, MonotonicTime now, Outbox& outbox) {
  highestEpochSeen_ = std::max(highestEpochSeen_, reply.promised);
  if (reply.epoch != nextView_.epoch || !reply.accepted) {
    bool isBootstrapReply = phase_ == LeaderPhase::kBootstrapping && reply.epoch == nextView_.epoch;
    if (isBootstrapReply && !bootstrapping_) {
      outbox.push(LogState{"core: bootstrap rejected; a voter already belongs to a fleet"});
      bootstrap_.expectedCores = 0;
      phase_ = LeaderPhase::kFollowing;
    } else if (isBootstrapReply) {
      abortPhase(now, outbox);
    }
    return;
  }
  if (phase_ != LeaderPhase::kAccepting && phase_ != LeaderPhase::kBootstrapping) return;
  acceptedVoters_.insert(reply.voter);
  bool acceptedByAll = std::ranges::all_of(
      nextView_.voters, [&](CoreId core) { return acceptedVoters_.contains(core); });
  bool quorumAccepted = bootstrapping_ ? acceptedVoters_.size() >= bootstrapQuorum()
                        : phase_ == LeaderPhase::kBootstrapping
                            ? acceptedByAll
                            : isMajority(acceptedVoters_, nextView_.voters) &&
                                  (isQuorum(acceptedVoters_, previousView_) ||
                                   options_.faults.has(ControlFault::kFormerMajoritySkipped));
  if (quorumAccepted) leadSettledView(now, outbox);
}

}  // namespace peppergate
