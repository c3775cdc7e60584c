// The part of Leadership that adds and removes voters and chooses backups.
#include <algorithm>

#include "core/leadership.h"
#include "core/quorum.h"

namespace peppergate {
namespace {

constexpr Duration kFresh = seconds(0.75);       // heard from within two lease renewals
constexpr Duration kNewcomerKnown = seconds(1);  // time as a member before a newcomer may vote
constexpr Duration kForget = seconds(60);

}  // namespace

void Leadership::observePeers(MonotonicTime now) {
  for (auto& [core, sight] : peers_) sight.known = false;
  for (const auto& record : membership_.liveCores()) {
    PeerObservation& sight =
        peers_.try_emplace(record.core, PeerObservation{now, kNever, {}, {}, false, false})
            .first->second;
    MonotonicTime last =
        now - (record.core == self() ? Duration{} : membership_.silence(record.member, now));
    if (sight.known && last < sight.last) continue;  // an earlier process of the same core
    sight.known = true;
    sight.last = std::max(sight.last, last);
    sight.address = record.address;
    sight.zone = record.zone;
    sight.leaving = record.leaving;
  }
  for (CoreId seat : view_.voters)
    peers_.try_emplace(seat, PeerObservation{now, now, {}, {}, false, false});
  std::erase_if(peers_, [&](const auto& entry) {
    return !entry.second.known && now - entry.second.last > kForget &&
           std::ranges::find(view_.voters, entry.first) == view_.voters.end();
  });
}

Duration Leadership::silent(CoreId core, MonotonicTime now) const {
  if (core == self()) return {};
  auto sight = peers_.find(core);
  return sight == peers_.end() ? Duration{} : now - sight->second.last;
}

std::vector<CoreId> Leadership::wantedBackups(MonotonicTime now) const {
  struct Scored {
    int score;
    CoreId core;
  };
  std::vector<Scored> candidates;
  for (const auto& [core, sight] : peers_) {
    if (!sight.known || core == self() || sight.leaving) continue;
    bool failed = failedReplicas_.contains(core);
    bool serves = std::ranges::find(view_.backups, core) != view_.backups.end();
    int score = failed ? 0 : 8;
    if (now - sight.last < seconds(1)) score += 16;
    if (std::ranges::find(view_.voters, core) != view_.voters.end()) score += 4;
    if (serves) score += 2;
    if (sight.zone != membership_.self().zone) score += 1;
    if (serves && !unconfirmed_ && !failed && now - sight.last < options_.replaceVoterAfter)
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

std::vector<Leadership::Newcomer> Leadership::newcomers(MonotonicTime now) const {
  std::vector<Newcomer> found;
  for (const auto& [core, sight] : peers_) {
    bool votes = std::ranges::find(view_.voters, core) != view_.voters.end();
    if (sight.known && !sight.leaving && !votes && now - sight.last < seconds(1))
      found.push_back({core, sight.first, sight.address});
  }
  return found;
}

CoreId Leadership::supersededVoter(MonotonicTime now) const {
  for (CoreId voter : view_.voters) {
    const PeerObservation& seen = peers_.at(voter);
    bool superseded = std::ranges::any_of(peers_, [&](const auto& entry) {
      const auto& [core, other] = entry;
      return core != voter && other.known && !other.address.value.empty() &&
             other.address == seen.address && other.first > seen.first;
    });
    if (superseded && silent(voter, now) > kFresh) return voter;
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
                                   [&](CoreId core) { return silent(core, now); });
}

bool Leadership::bearsTooFewLosses(MonotonicTime now) const {
  auto inSight = std::ranges::count_if(
      view_.voters, [&](CoreId core) { return silent(core, now) <= options_.replaceVoterAfter; });
  return static_cast<std::size_t>(inSight) <
         majorityOf(view_.voters.size()) + static_cast<std::size_t>(options_.backups);
}

std::vector<CoreId> Leadership::makeRoomFrom(CoreId voter, CoreId newcomer) const {
  std::vector<CoreId> voters = view_.voters;
  bool comes = newcomer.value != 0;
  bool even = voters.size() % 2 == 0;
  // A voter of an odd set can't be replaced in one step: the majorities need not intersect.
  bool atOnce = even || options_.faults.has(ControlFault::kOneMajorityOfVoters);
  if (comes && atOnce) std::ranges::replace(voters, voter, newcomer);
  else if (voters.size() > leastVoters()) std::erase(voters, voter);
  else if (comes) voters.push_back(newcomer);
  return voters;
}

std::vector<CoreId> Leadership::wantedVoters(MonotonicTime now) const {
  // A proposal may be settled unknown to this core: until one is known to be, only the same voters
  // are proposed again, since the quorums of two different changes of one view may not intersect.
  if (!proposed_.empty()) return proposed_.back();
  if (view_.voters.empty()) return {};
  const std::vector<Newcomer> coming = newcomers(now);
  const CoreId first = coming.empty() ? CoreId{} : coming.front().core;
  // A voter whose machine came back with a new disk is removed first.
  if (CoreId voter = supersededVoter(now); voter.value != 0) {
    auto back = std::ranges::find(coming, peers_.at(voter).address, &Newcomer::address);
    return makeRoomFrom(voter, back == coming.end() ? first : back->core);
  }
  if (CoreId voter = leavingVoter(); voter.value != 0) {
    std::vector<CoreId> voters = makeRoomFrom(voter, first);
    if (voters != view_.voters) return voters;
  }
  const CoreId longest = longestSilentVoter(now);
  if (silent(longest, now) > options_.replaceVoterAfter) {
    bool room = first.value != 0 || bearsTooFewLosses(now);
    return room ? makeRoomFrom(longest, first) : view_.voters;
  }
  // A slot is added only while all voters respond: the newcomer may be needed as a replacement.
  std::vector<CoreId> voters = view_.voters;
  if (voters.size() >= static_cast<std::size_t>(options_.voterSlots)) return voters;
  if (silent(longest, now) > kFresh) return voters;
  auto known = std::ranges::find_if(
      coming, [&](const Newcomer& newcomer) { return now - newcomer.first >= kNewcomerKnown; });
  if (known != coming.end()) voters.push_back(known->core);
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

bool Leadership::changeDue(const View& wanted, MonotonicTime now) const {
  // With fewer machines than replicas are required nothing is acknowledged in any view.
  if (wanted.backups.size() < static_cast<std::size_t>(options_.backups)) return false;
  bool same = wanted.backups == view_.backups && wanted.voters == view_.voters;
  return !same || unconfirmed_ || stuck(now) || recapture_;
}

void Leadership::considerViewChange(MonotonicTime now, Outbox& outbox) {
  yieldsBatch_ = false;
  // A core that is shutting down changes the view only until others have the state.
  if (now < nextTry_ || !leads(now) || (leaving() && !unconfirmed_)) return;
  std::erase_if(failedReplicas_,
                [&](const auto& entry) { return now - entry.second > seconds(5); });
  View wanted = wantedView(now);
  if (!changeDue(wanted, now)) return;
  yieldsBatch_ = (batchState_ && !stuck(now)) || !writes_.empty();
  if (yieldsBatch_) return;  // changes the view after this batch, before the next one
  nextTry_ = now + milliseconds(200);
  unconfirmed_ = true;  // nothing is acknowledged from now on until a newer view is settled
  takingOver_ = false;
  prepare(std::move(wanted), now, outbox);
}

}  // namespace peppergate
