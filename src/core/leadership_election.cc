// The part of Leadership that campaigns, and releases its votes where it can't win.
#include <algorithm>

#include "core/leadership.h"
#include "core/quorum.h"

namespace peppergate {
namespace {

constexpr Duration kCampaignTurn =
    milliseconds(200);                               // between members that campaign in their order
constexpr Duration kLatePromiseWait = seconds(0.3);  // wait for more bootstrappers than a majority
constexpr Duration kLeavingCampaignDelay =
    milliseconds(800);  // extra delay of a core that is shutting down

}  // namespace

void Leadership::abandonHopelessElection(MonotonicTime now, Outbox& outbox) {
  if (phase_ != LeaderPhase::kPreparing || leading_) return;
  if (bootstrapping_ && promisedVoters_.size() >= bootstrapQuorum() &&
      now - phaseSince_ > kLatePromiseWait) {
    bootstrapWithPromised(now, outbox);
    return;
  }
  // A candidate that can't reach a majority soon releases its votes: a read-only leader on its side
  // of the partition may need them.
  std::set<CoreId> answered = promisedVoters_;
  answered.insert(rejectedVoters_.begin(), rejectedVoters_.end());
  if (now - phaseSince_ <= seconds(0.7) || isQuorum(answered, previousView_)) return;
  releaseVotes(outbox);
  nextAttempt_ = now + milliseconds(1000 + static_cast<std::int64_t>(random_.below(600)));
  outbox.count("views.hopeless");
}

void Leadership::sendRelease(const PrepareRequest& release, Outbox& outbox) {
  std::set<CoreId> asked = allVoters(previousView_);
  asked.merge(allVoters(nextView_));
  asked.merge(allVoters(view_));
  for (CoreId voter : asked)
    if (voter != self()) outbox.send(membership_.addressOf(voter), release);
}

void Leadership::releaseVotes(Outbox& outbox) {
  // It has no lease, so all votes for it are free for other candidates at once.
  releaseToResend_ =
      PrepareRequest{std::max(view_.epoch, leaseEpoch_), self(), {}, PrepareKind::kRelease};
  sendRelease(*releaseToResend_, outbox);
  acceptor_.release(self());
  phase_ = LeaderPhase::kFollowing;
  bootstrapping_ = false;
  leaseUntil_ = kNever;
  leaseEpoch_ = {};
  renewalGrants_.clear();
}

void Leadership::yieldToRival(MonotonicTime now, Outbox& outbox) {
  releaseVotes(outbox);
  nextAttempt_ = now + milliseconds(100 + static_cast<std::int64_t>(random_.below(500)));
  outbox.count("views.yielded");
}

void Leadership::renewOrContest(MonotonicTime now, Outbox& outbox) {
  bool preparing = phase_ == LeaderPhase::kPreparing && !bootstrapping_;
  // Of two rivals that wait for each other's votes, the one with fewer yields; at a tie both do.
  bool outvoted = !rivalVoters_.empty() && rivalVoters_.size() >= promisedVoters_.size();
  if (preparing && !leading_ && outvoted) yieldToRival(now, outbox);
  else if (preparing && needsHigherEpoch_) raiseEpoch(now, outbox);
  else renewLease(now, outbox);
}

void Leadership::abortPhase(MonotonicTime now, Outbox& outbox) {
  if (phase_ == LeaderPhase::kReplicating)
    for (CoreId backup : nextView_.backups)
      if (!syncedBackups_.contains(backup)) failedBackups_[backup] = now;
  if (leading_) {
    phase_ = LeaderPhase::kLeading;
    nextAttempt_ = now + milliseconds(static_cast<std::int64_t>(random_.below(300)));
    return;
  }
  // Two candidates that each have their own vote block each other. Each releases all votes and
  // retries after a random delay, so that one of them finds the votes free.
  releaseVotes(outbox);
  nextAttempt_ = now + milliseconds(static_cast<std::int64_t>(random_.below(1500)));
}

std::size_t Leadership::successionRank() const {
  // The first backup and the former leader campaign first; the others wait for their turn.
  auto found = std::ranges::find(view_.backups, self());
  if (found != view_.backups.end()) return static_cast<std::size_t>(found - view_.backups.begin());
  return view_.primary == self() ? 0 : view_.backups.size();
}

bool Leadership::campaignDue(MonotonicTime now) {
  if (!startDelayApplied_) {  // after a common power loss not all campaign at the same time
    startDelayApplied_ = true;
    bool hasNoView = acceptor_.record().promised.value == 0 && view_.epoch.value == 0;
    Duration turn =
        kCampaignTurn * static_cast<double>(successionRank() + (view_.primary == self() ? 0 : 1));
    if (!hasNoView)
      nextAttempt_ =
          now + options_.lease + turn + milliseconds(static_cast<std::int64_t>(random_.below(100)));
  }
  return now >= nextAttempt_ && mayCampaign_ && !graceTimeIsOver(now);
}

void Leadership::campaignIfDue(MonotonicTime now, Outbox& outbox) {
  if (!campaignDue(now)) return;
  if (bootstrap_.expectedCores > 0 && view_.epoch.value == 0 &&
      acceptor_.record().promised.value == 0) {
    bootstrapByCount(now, outbox);
    return;
  }
  if (mayBootstrap()) {
    startBootstrapElection(now, outbox);
    return;
  }
  bool eligible =
      replica_.tag.value != 0 &&
      ((isMember(view_, self()) && replica_.tag >= view_.baseEpoch) || replica_.tag > view_.epoch);
  if (!eligible && !(replica_.tag.value != 0 && ignoresReplicaTag())) return;
  if (acceptor_.leasedToOther(self(), now)) {
    votesFreeSince_ = now;
    return;
  }
  Duration turn = kCampaignTurn * static_cast<double>(successionRank()) +
                  (leaving() ? kLeavingCampaignDelay : Duration{});
  if (now - votesFreeSince_ < turn) return;
  // Without a reachable majority a campaign would only raise epochs and bind votes.
  std::set<CoreId> reachable;
  for (CoreId voter : allVoters(view_))
    if (!membership_.addressOf(voter).value.empty()) reachable.insert(voter);
  if (!isQuorum(reachable, view_)) {
    nextAttempt_ = now + milliseconds(static_cast<std::int64_t>(random_.below(600)));
    return;
  }
  View wanted = view_;
  wanted.primary = self();
  campaigning_ = true;
  startPrepare(std::move(wanted), now, outbox);
}

void Leadership::handleRelease(CoreId candidate, MonotonicTime now) {
  if (candidate != view_.primary || phase_ != LeaderPhase::kFollowing) return;
  nextAttempt_ =
      std::min(nextAttempt_, now + kCampaignTurn * static_cast<double>(successionRank()));
}

}  // namespace peppergate
