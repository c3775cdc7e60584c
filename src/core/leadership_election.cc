// The part of Leadership that campaigns, and releases its votes where it can't win.
#include <algorithm>

#include "core/leadership.h"
#include "core/quorum.h"

namespace peppergate {
namespace {

constexpr Duration kTurn = milliseconds(200);        // between members that campaign in their order
constexpr Duration kLatePromise = seconds(0.3);      // wait for more bootstrappers than a majority
constexpr Duration kLeaverTurn = milliseconds(800);  // extra delay of a core that is shutting down

}  // namespace

void Leadership::giveUpHopelessElection(MonotonicTime now, Outbox& outbox) {
  if (phase_ != LeaderPhase::kPreparing || leading_) return;
  if (bootstrapping_ && promised_.size() >= bootstrapQuorum() && now - phaseSince_ > kLatePromise) {
    bootstrapWithPromised(now, outbox);
    return;
  }
  // A candidate that can't reach a majority soon releases its votes: a read-only leader on its side
  // of the partition may need them.
  std::set<CoreId> answered = promised_;
  answered.insert(declined_.begin(), declined_.end());
  if (now - phaseSince_ <= seconds(0.7) || quorum(answered, old_)) return;
  yieldVotes(outbox);
  nextTry_ = now + milliseconds(1000 + static_cast<std::int64_t>(random_.below(600)));
  outbox.count("views.hopeless");
}

void Leadership::sendRelease(const PrepareRequest& release, Outbox& outbox) {
  std::set<CoreId> asked = allVoters(old_);
  asked.merge(allVoters(wanted_));
  asked.merge(allVoters(view_));
  for (CoreId voter : asked)
    if (voter != self()) outbox.send(membership_.addressOf(voter), release);
}

void Leadership::yieldVotes(Outbox& outbox) {
  // It has no lease, so all votes for it are free for other candidates at once.
  releasing_ =
      PrepareRequest{std::max(view_.epoch, leaseEpoch_), self(), {}, PrepareKind::kRelease};
  sendRelease(*releasing_, outbox);
  acceptor_.release(self());
  phase_ = LeaderPhase::kFollowing;
  bootstrapping_ = false;
  leaseUntil_ = kNever;
  leaseEpoch_ = {};
  renewals_.clear();
}

void Leadership::yieldToRival(MonotonicTime now, Outbox& outbox) {
  yieldVotes(outbox);
  nextTry_ = now + milliseconds(100 + static_cast<std::int64_t>(random_.below(500)));
  outbox.count("views.yielded");
}

void Leadership::renewOrContest(MonotonicTime now, Outbox& outbox) {
  bool prepares = phase_ == LeaderPhase::kPreparing && !bootstrapping_;
  // Of two rivals that wait for each other's votes, the one with fewer yields; at a tie both do.
  bool outvoted = !rivalVoters_.empty() && rivalVoters_.size() >= promised_.size();
  if (prepares && !leading_ && outvoted) yieldToRival(now, outbox);
  else if (prepares && recapture_) raiseEpoch(now, outbox);
  else renew(now, outbox);
}

void Leadership::giveUpPhase(MonotonicTime now, Outbox& outbox) {
  if (phase_ == LeaderPhase::kReplicating)
    for (CoreId backup : wanted_.backups)
      if (!synced_.contains(backup)) failedReplicas_[backup] = now;
  if (leading_) {
    phase_ = LeaderPhase::kLeading;
    nextTry_ = now + milliseconds(static_cast<std::int64_t>(random_.below(300)));
    return;
  }
  // Two candidates that each have their own vote block each other. Each releases all votes and
  // retries after a random delay, so that one of them finds the votes free.
  yieldVotes(outbox);
  nextTry_ = now + milliseconds(static_cast<std::int64_t>(random_.below(1500)));
}

std::size_t Leadership::succession() const {
  // The first backup and the former leader campaign first; the others wait for their turn.
  auto found = std::ranges::find(view_.backups, self());
  if (found != view_.backups.end()) return static_cast<std::size_t>(found - view_.backups.begin());
  return view_.primary == self() ? 0 : view_.backups.size();
}

bool Leadership::campaignDue(MonotonicTime now) {
  if (!started_) {  // after a common power loss not all campaign at the same time
    started_ = true;
    bool untouched = acceptor_.record().promised.value == 0 && view_.epoch.value == 0;
    Duration turn = kTurn * static_cast<double>(succession() + (view_.primary == self() ? 0 : 1));
    if (!untouched)
      nextTry_ =
          now + options_.lease + turn + milliseconds(static_cast<std::int64_t>(random_.below(100)));
  }
  return now >= nextTry_ && mayCampaign_ && !graceIsOver(now);
}

void Leadership::campaign(MonotonicTime now, Outbox& outbox) {
  if (!campaignDue(now)) return;
  if (bootstrap_.cores > 0 && view_.epoch.value == 0 && acceptor_.record().promised.value == 0) {
    bootstrapByCount(now, outbox);
    return;
  }
  if (mayBootstrap()) {
    startBootstrapElection(now, outbox);
    return;
  }
  bool eligible =
      replica_.tag.value != 0 &&
      ((isMember(view_, self()) && replica_.tag >= view_.base) || replica_.tag > view_.epoch);
  if (!eligible && !(replica_.tag.value != 0 && ignoresReplicaTag())) return;
  if (acceptor_.grantedToOther(self(), now)) {
    freeSince_ = now;
    return;
  }
  Duration turn =
      kTurn * static_cast<double>(succession()) + (leaving() ? kLeaverTurn : Duration{});
  if (now - freeSince_ < turn) return;
  // Without a reachable majority a campaign would only raise epochs and bind votes.
  std::set<CoreId> seen;
  for (CoreId voter : allVoters(view_))
    if (!membership_.addressOf(voter).value.empty()) seen.insert(voter);
  if (!quorum(seen, view_)) {
    nextTry_ = now + milliseconds(static_cast<std::int64_t>(random_.below(600)));
    return;
  }
  View wanted = view_;
  wanted.primary = self();
  takingOver_ = true;
  prepare(std::move(wanted), now, outbox);
}

void Leadership::released(CoreId candidate, MonotonicTime now) {
  if (candidate != view_.primary || phase_ != LeaderPhase::kFollowing) return;
  nextTry_ = std::min(nextTry_, now + kTurn * static_cast<double>(succession()));
}

}  // namespace peppergate
