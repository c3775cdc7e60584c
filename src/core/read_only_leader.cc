#include "core/read_only_leader.h"

#include <algorithm>

#include "core/quorum.h"

namespace peppergate {
namespace {

constexpr Duration kElectionPause =
    seconds(1);  // for an election after another read-only leader yielded

}  // namespace

ReadOnlyLeader::ReadOnlyLeader(const Options& options, Acceptor& acceptor, Leadership& leadership,
                               Membership& membership, Follower& follower, Random& random,
                               MonotonicTime started)
    : ReadOnlyLeaderCollaborators(acceptor, leadership, membership, follower, random),
      options_(options),
      started_(started),
      yieldDuration_(options.readLeaseYield) {}

bool ReadOnlyLeader::blocksElections(const std::set<CoreId>& voters) const {
  View view = acceptor_.record().accepted;
  if (!leadership_.needsFormerVoters(view)) view.formerVoters.clear();
  return blocksMajorities(voters, view);
}

bool ReadOnlyLeader::isEligible() const {
  const View& view = acceptor_.record().accepted;
  bool isVoter = isVoterIn(view, self());
  bool hasNewestView =
      leadership_.view().epoch <= view.epoch || !options_.isGuardEnabled(SafetyGuard::kEqualViews);
  return view.epoch.value != 0 && isVoter && hasNewestView && acceptor_.canVote() &&
         !leadership_.isDiskSuspect() && !leadership_.isDiskStalled() && !leadership_.isLeader();
}

void ReadOnlyLeader::stop(std::string_view reason, Outbox& outbox) {
  bool hadRounds = !rounds_.empty();
  MonotonicTime lastRequest{hadRounds ? rounds_.rbegin()->first : 0};
  rounds_.clear();
  leaseUntil_ = kNever;
  // It is no longer a read-only leader, so the votes are free; a candidate keeps its own vote.
  if (hadRounds && leadership_.isIdle()) acceptor_.release(self());
  if (hadRounds)
    for (CoreId voter : allVoters(acceptor_.record().accepted))
      if (voter != self())
        outbox.send(membership_.addressOf(voter),
                    PrepareRequest{{}, self(), lastRequest, PrepareKind::kRelease});
  wantsReadLease_ = false;
  if (!active_) return;
  active_ = false;
  outbox.count("caretakers.ended");
  outbox.push(LogState{"core: read-only leadership ended: " + std::string(reason)});
}

void ReadOnlyLeader::yieldToElection(MonotonicTime now, std::string_view reason, Outbox& outbox) {
  stop(reason, outbox);
  outbox.count("caretakers.yielded");
  yieldUntil_ = now + yieldDuration_;
  // Proofs outlast one such pause. If elections fail repeatedly, they get more time.
  mayYieldAgain_ = yieldUntil_ + yieldDuration_ * 2;
  yieldDuration_ = std::min(yieldDuration_ * 1.5, seconds(8));
  probingSince_ = majorityReachableSince_ = kForever;
}

std::set<CoreId> ReadOnlyLeader::reachableVoters(MonotonicTime now) const {
  std::set<CoreId> reachable{self()};
  for (const auto& [voter, when] : lastAnswers_)
    if (now - when < options_.readLeaseProbe) reachable.insert(voter);
  return reachable;
}

void ReadOnlyLeader::installOwnReplica(MonotonicTime now, Outbox& outbox) {
  const ControlState* replica = leadership_.intactReplica(acceptor_.record().accepted);
  if (replica == nullptr || leadership_.hasPublished()) return;
  StateReply reply;
  reply.now = replica->sections();
  const SectionVersions& installed = follower_.installedVersions();
  if (reply.now.setup <= installed.setup && reply.now.keys <= installed.keys &&
      reply.now.weights <= installed.weights)
    return;
  reply.setup = replica->setupText();
  reply.keys = replica->keysText();
  reply.weights = replica->weightsText();
  follower_.installDurable(reply, now, outbox);
}

void ReadOnlyLeader::tick(MonotonicTime now, Outbox& outbox) {
  MonotonicTime lastProof = std::max(follower_.leaderProofOrigin(), started_);
  Duration silent = now - lastProof;
  if (silent < options_.readLeaseAfter - options_.readLeaseProbe || !isEligible()) {
    if (silent < options_.lease) yieldDuration_ = options_.readLeaseYield;
    probingSince_ = majorityReachableSince_ = kForever;
    stop("a leader is reachable", outbox);
    return;
  }
  if (active_ && !hasReadLease(now)) {
    outbox.count("caretakers.lapsed");
    active_ = false;
    outbox.push(LogState{"core: read-only leadership ended: the lease ran out"});
  }
  if (probingSince_ == kForever) probingSince_ = now;
  if (!leadership_.isIdle()) {  // its campaign shows which voters answer
    stop("this core campaigns", outbox);
    return;
  }
  if (hasReadLease(now) && now >= nextNotificationAt_) {
    nextNotificationAt_ = now + seconds(0.5);
    for (const auto& member : membership_.liveMembers())
      if (member.member != membership_.self().member)
        outbox.send(member.address,
                    ReadLeaderNotification{self(), acceptor_.record().accepted.epoch});
  }
  if (now < yieldUntil_) {
    wantsReadLease_ = false;  // this core may campaign during the pause, too
    return;
  }
  if (now < nextRequestAt_) return;
  std::set<CoreId> reachable = reachableVoters(now);
  bool moreReachable =
      !std::ranges::includes(lastReachable_, reachable);  // an election may succeed now
  lastReachable_ = reachable;
  const View& accepted = acceptor_.record().accepted;
  if (leadership_.isQuorum(reachable, accepted)) {
    // Enough voters to elect a leader: time for an election, but only a limited one.
    if (majorityReachableSince_ == kForever) majorityReachableSince_ = now;
    bool withinPause = now - majorityReachableSince_ < options_.readLeaseYield;
    if (!rounds_.empty() && (moreReachable || now >= mayYieldAgain_)) {
      yieldToElection(now, "more voters are reachable", outbox);
      return;
    }
    if (rounds_.empty() && withinPause) {
      wantsReadLease_ = false;  // may be set since fewer voters were reachable
      sendRound(false, now, outbox);
      return;
    }
  } else {
    majorityReachableSince_ = kForever;
  }
  bool probedLongEnough = now - probingSince_ >= options_.readLeaseProbe;
  bool wantsGrants =
      silent >= options_.readLeaseAfter && probedLongEnough && blocksElections(reachable);
  wantsReadLease_ = probedLongEnough;  // without a reachable majority it couldn't win an election
  sendRound(wantsGrants, now, outbox);
}

void ReadOnlyLeader::sendRound(bool grant, MonotonicTime now, Outbox& outbox) {
  nextRequestAt_ = now + options_.leaseRenewal;
  const View& view = acceptor_.record().accepted;
  installOwnReplica(now, outbox);
  bool ownVoteGranted = grant && acceptor_.grantReadLease(self(), view, now, now);
  if (ownVoteGranted) {
    LeaseRound& round = rounds_[now.microseconds];
    recordGrant(round, self(), leadership_.intactReplica(view) != nullptr, hasLeaderProof());
    while (rounds_.size() > 8) rounds_.erase(rounds_.begin());
  } else if (!rounds_.empty()) {
    stop("this voter granted a lease to another core", outbox);
  }
  // Only voters that answer are asked for a lease: a grant whose reply doesn't arrive would block
  // its voter for nothing.
  std::set<CoreId> reachable = reachableVoters(now);
  ReadLeaseRequest request{view, self(), now, follower_.installedVersions(), ownVoteGranted};
  for (CoreId voter : allVoters(view)) {
    if (voter == self()) continue;
    request.requestsGrant = ownVoteGranted && reachable.contains(voter);
    outbox.send(membership_.addressOf(voter), request);
  }
}

void ReadOnlyLeader::recordGrant(LeaseRound& round, CoreId voter, bool intact,
                                 bool isProven) const {
  round.voters.insert(voter);
  round.intact = round.intact || intact;
  round.allProven = round.allProven && isProven;
}

void ReadOnlyLeader::handleRequest(const Address& from, const ReadLeaseRequest& request,
                                   MonotonicTime now, Outbox& outbox) {
  const View& acceptedView = acceptor_.record().accepted;
  bool requesterMissedSettling =
      request.view.epoch == acceptedView.epoch && !request.view.formerVoters.empty();
  if (requesterMissedSettling && acceptedView.formerVoters.empty())
    outbox.send(from, AcceptRequest{acceptedView, false});
  ReadLeaseReply reply;
  reply.voter = self();
  reply.sentAt = request.sentAt;
  reply.canVote = acceptor_.canVote() && !leadership_.isDiskStalled();
  bool isFree = !leadership_.isLeader() && rounds_.empty();
  bool isBusy = !isFree && options_.isGuardEnabled(SafetyGuard::kOneGrant);
  if (request.requestsGrant && reply.canVote && !isBusy)
    reply.granted =
        acceptor_.grantReadLease(request.readOnlyLeader, request.view, request.sentAt, now);
  reply.conflictingHolder = acceptor_.grantedTo(now);
  reply.hasIntactReplica = leadership_.intactReplica(acceptor_.record().accepted) != nullptr;
  reply.hadPrimaryProof = hasLeaderProof();
  // The state is read after the grant: from then on no change can be acknowledged.
  installOwnReplica(now, outbox);
  follower_.addNewerSections(reply, request.have);
  outbox.send(from, std::move(reply));
}

void ReadOnlyLeader::handleReply(const ReadLeaseReply& reply, MonotonicTime now, Outbox& outbox) {
  if (reply.canVote) lastAnswers_[reply.voter] = now;
  auto round = rounds_.find(reply.sentAt.microseconds);
  if (round == rounds_.end()) return;
  if (!reply.granted) {
    // Of two cores that ask each other, the one with the lower id goes on.
    bool yields =
        reply.conflictingHolder == reply.voter && reply.voter < self() && !hasReadLease(now);
    if (yields) {
      stop("another core asks for read leases, too", outbox);
      nextRequestAt_ =
          now + options_.lease + milliseconds(static_cast<std::int64_t>(random_.below(300)));
    }
    return;
  }
  StateReply update;
  update.now = reply.now;
  update.setup = reply.setup;
  update.keys = reply.keys;
  update.weights = reply.weights;
  follower_.installDurable(update, now, outbox);
  highestGrantorVersions_.setup = std::max(highestGrantorVersions_.setup, reply.now.setup);
  highestGrantorVersions_.keys = std::max(highestGrantorVersions_.keys, reply.now.keys);
  highestGrantorVersions_.weights = std::max(highestGrantorVersions_.weights, reply.now.weights);
  recordGrant(round->second, reply.voter, reply.hasIntactReplica, reply.hadPrimaryProof);
  const SectionVersions& installed = follower_.installedVersions();
  bool installedCoversGrants = installed.setup >= highestGrantorVersions_.setup &&
                               installed.keys >= highestGrantorVersions_.keys &&
                               installed.weights >= highestGrantorVersions_.weights &&
                               follower_.hasConfiguration();
  bool knowsNewestState = round->second.intact || round->second.allProven ||
                          !options_.isGuardEnabled(SafetyGuard::kProvenGrant);
  bool blocksAll = blocksElections(round->second.voters);
  if (!blocksAll || !installedCoversGrants || !knowsNewestState) return;
  leaseUntil_ = std::max(leaseUntil_, reply.sentAt + options_.leaseStop);
  if (active_ || !hasReadLease(now)) return;
  active_ = true;
  nextNotificationAt_ = now;
  outbox.count("caretakers.began");
  outbox.push(LogState{"core: read-only leader of its side of the partition"});
}

void ReadOnlyLeader::pauseForElection(MonotonicTime now) {
  if (rounds_.empty()) yieldUntil_ = std::max(yieldUntil_, now + kElectionPause);
}

void ReadOnlyLeader::handleCandidate(MonotonicTime now, Outbox& outbox) {
  if (rounds_.empty() || now < mayYieldAgain_) return;
  yieldToElection(now, "another core campaigns", outbox);
}

}  // namespace peppergate
