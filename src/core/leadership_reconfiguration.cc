// The part of Leadership that adds and removes voters and chooses backups.
#include <algorithm>

#include "core/leadership.h"
#include "core/quorum.h"

namespace peppergate {
namespace {

constexpr Duration kRecentlyHeard = seconds(0.75);  // heard from within two lease renewals
constexpr Duration kNewcomerMinAge = seconds(1);    // time as a member before a newcomer may vote
constexpr Duration kForgetPeerAfter = seconds(60);

}  // namespace

void Leadership::updatePeers(MonotonicTime now) {
  for (auto& [core, peer] : peers_) peer.known = false;
  for (const auto& record : membership_.liveCores()) {
    PeerObservation& peer =
        peers_.try_emplace(record.core, PeerObservation{now, kNever, {}, {}, false, false})
            .first->second;
    MonotonicTime last =
        now - (record.core == self() ? Duration{} : membership_.silence(record.member, now));
    if (peer.known && last < peer.last) continue;  // an earlier process of the same core
    peer.known = true;
    peer.last = std::max(peer.last, last);
    peer.address = record.address;
    peer.zone = record.zone;
    peer.leaving = record.leaving;
  }
  for (CoreId voter : view_.voters)
    peers_.try_emplace(voter, PeerObservation{now, now, {}, {}, false, false});
  std::erase_if(peers_, [&](const auto& entry) {
    return !entry.second.known && now - entry.second.last > kForgetPeerAfter &&
           std::ranges::find(view_.voters, entry.first) == view_.voters.end();
  });
}

Duration Leadership::silenceOf(CoreId core, MonotonicTime now) const {
  if (core == self()) return {};
  auto peer = peers_.find(core);
  return peer == peers_.end() ? Duration{} : now - peer->second.last;
}

std::vector<CoreId> Leadership::wantedBackups(MonotonicTime now) const {
  struct Scored {
    int score;
    CoreId core;
  };
  std::vector<Scored> candidates;
  for (const auto& [core, peer] : peers_) {
    if (!peer.known || core == self() || peer.leaving) continue;
    bool failed = failedBackups_.contains(core);
    bool isBackup = std::ranges::find(view_.backups, core) != view_.backups.end();
    int score = failed ? 0 : 8;
    if (now - peer.last < seconds(1)) score += 16;
    if (std::ranges::find(view_.voters, core) != view_.voters.end()) score += 4;
    if (isBackup) score += 2;
    if (peer.zone != membership_.self().zone) score += 1;
    if (isBackup && !unconfirmed_ && !failed && now - peer.last < options_.replaceVoterAfter)
      score += 32;
    candidates.push_back({score, core});
  }
  auto wanted = static_cast<std::size_t>(options_.backups);
  if (candidates.size() < wanted) return {};
  std::ranges::stable_sort(candidates, std::ranges::greater{}, &Scored::score);
  std::vector<CoreId> backups;
  for (std::size_t index = 0; index < wanted; ++index) backups.push_back(candidates[index].core);
  return backups;
}

std::vector<Leadership::Newcomer> Leadership::findNewcomers(MonotonicTime now) const {
  std::vector<Newcomer> found;
  for (const auto& [core, peer] : peers_) {
    bool isVoter = std::ranges::find(view_.voters, core) != view_.voters.end();
    if (peer.known && !peer.leaving && !isVoter && now - peer.last < seconds(1))
      found.push_back({core, peer.first, peer.address});
  }
  return found;
}

CoreId Leadership::supersededVoter(MonotonicTime now) const {
  for (CoreId voter : view_.voters) {
    const PeerObservation& peer = peers_.at(voter);
    bool superseded = std::ranges::any_of(peers_, [&](const auto& entry) {
      const auto& [core, otherPeer] = entry;
      return core != voter && otherPeer.known && !otherPeer.address.value.empty() &&
             otherPeer.address == peer.address && otherPeer.first > peer.first;
    });
    if (superseded && silenceOf(voter, now) > kRecentlyHeard) return voter;
  }
  return {};
}

CoreId Leadership::leavingVoter() const {
  for (CoreId voter : view_.voters)
    if (voter != self() && peers_.at(voter).leaving) return voter;
  return {};
}

CoreId Leadership::longestSilentVoter(MonotonicTime now) const {
  return *std::ranges::max_element(view_.voters, {},
                                   [&](CoreId core) { return silenceOf(core, now); });
}

bool Leadership::toleratesTooFewLosses(MonotonicTime now) const {
  auto reachable = std::ranges::count_if(view_.voters, [&](CoreId core) {
    return silenceOf(core, now) <= options_.replaceVoterAfter;
  });
  return static_cast<std::size_t>(reachable) <
         majoritySize(view_.voters.size()) + static_cast<std::size_t>(options_.backups);
}

std::vector<CoreId> Leadership::replaceVoterByOneStep(CoreId voter, CoreId newcomer) const {
  std::vector<CoreId> voters = view_.voters;
  bool hasNewcomer = newcomer.value != 0;
  bool even = voters.size() % 2 == 0;
  // A voter of an odd set can't be replaced in one step: the majorities need not intersect.
  bool inOneStep = even || options_.faults.has(ControlFault::kFormerMajoritySkipped);
  if (hasNewcomer && inOneStep) std::ranges::replace(voters, voter, newcomer);
  else if (voters.size() > minVoters()) std::erase(voters, voter);
  else if (hasNewcomer) voters.push_back(newcomer);
  return voters;
}

std::vector<CoreId> Leadership::wantedVoters(MonotonicTime now) const {
  // A proposal may be settled unknown to this core: until one is known to be, only the same voters
  // are proposed again, since the quorums of two different changes of one view may not intersect.
  if (!proposedVoterSets_.empty()) return proposedVoterSets_.back();
  if (view_.voters.empty()) return {};
  const std::vector<Newcomer> newcomers = findNewcomers(now);
  const CoreId first = newcomers.empty() ? CoreId{} : newcomers.front().core;
  // A voter whose machine came back with a new disk is removed first.
  if (CoreId voter = supersededVoter(now); voter.value != 0) {
    auto replacement = std::ranges::find(newcomers, peers_.at(voter).address, &Newcomer::address);
    return replaceVoterByOneStep(voter, replacement == newcomers.end() ? first : replacement->core);
  }
  if (CoreId voter = leavingVoter(); voter.value != 0) {
    std::vector<CoreId> voters = replaceVoterByOneStep(voter, first);
    if (voters != view_.voters) return voters;
  }
  const CoreId longestSilent = longestSilentVoter(now);
  if (silenceOf(longestSilent, now) > options_.replaceVoterAfter) {
    bool removable = first.value != 0 || toleratesTooFewLosses(now);
    return removable ? replaceVoterByOneStep(longestSilent, first) : view_.voters;
  }
  // A slot is added only while all voters respond: the newcomer may be needed as a replacement.
  std::vector<CoreId> voters = view_.voters;
  if (voters.size() >= static_cast<std::size_t>(options_.voterSlots)) return voters;
  if (silenceOf(longestSilent, now) > kRecentlyHeard) return voters;
  auto knownNewcomer = std::ranges::find_if(newcomers, [&](const Newcomer& newcomer) {
    return now - newcomer.firstSeen >= kNewcomerMinAge;
  });
  if (knownNewcomer != newcomers.end()) voters.push_back(knownNewcomer->core);
  return voters;
}

View Leadership::wantedView(MonotonicTime now) const {
  View wanted = view_;
  wanted.voters = wantedVoters(now);
  if (wanted.voters != view_.voters) wanted.formerVoters = view_.voters;
  auto backups = wantedBackups(now);
  bool same = std::ranges::is_permutation(backups, view_.backups);
  if (unconfirmed_ || (!backups.empty() && !same)) wanted.backups = std::move(backups);
  return wanted;
}

bool Leadership::viewChangeDue(const View& wanted, MonotonicTime now) const {
  // With fewer machines than replicas are required nothing is acknowledged in any view.
  if (wanted.backups.size() < static_cast<std::size_t>(options_.backups)) return false;
  bool same = wanted.backups == view_.backups && wanted.voters == view_.voters;
  return !same || unconfirmed_ || isBatchStuck(now) || needsHigherEpoch_;
}

void Leadership::considerViewChange(MonotonicTime now, Outbox& outbox) {
  pausesBatches_ = false;
  // A core that is shutting down changes the view only until others have the state.
  if (now < nextAttempt_ || !hasLeaderLease(now) || (leaving() && !unconfirmed_)) return;
  std::erase_if(failedBackups_, [&](const auto& entry) { return now - entry.second > seconds(5); });
  View wanted = wantedView(now);
  if (!viewChangeDue(wanted, now)) return;
  pausesBatches_ = (batchState_ && !isBatchStuck(now)) || !writes_.empty();
  if (pausesBatches_) return;  // changes the view after this batch, before the next one
  nextAttempt_ = now + milliseconds(200);
  unconfirmed_ = true;  // nothing is acknowledged from now on until a newer view is settled
  campaigning_ = false;
  startPrepare(std::move(wanted), now, outbox);
}

}  // namespace peppergate
