// The part of Leadership that gives seats to newcomers and chooses backups.
#include <algorithm>

#include "core/leadership.h"

namespace peppergate {
namespace {

constexpr Duration kFresh = seconds(0.75);       // heard of within two renewals
constexpr Duration kNewcomerKnown = seconds(1);  // so long before a seat is added for one
constexpr Duration kForget = seconds(60);
constexpr Duration kHandOverWithin = seconds(3);  // so long a leaving member waits for a new one

}  // namespace

void Leadership::observePeers(MonotonicTime now) {
  for (auto& [core, sight] : peers_) sight.known = false;
  for (const auto& record : membership_.liveCores()) {
    PeerObservation& sight =
        peers_.try_emplace(record.core, PeerObservation{now, kNever, {}, {}, false, false})
            .first->second;
    MonotonicTime last =
        now - (record.core == self() ? Duration{} : membership_.silence(record.member, now));
    if (sight.known && last < sight.last) continue;  // an earlier life of the same core
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

bool Leadership::gone(MonotonicTime now) const {
  if (leavingSince_ == kForever || leading_ || releasing_) return false;
  // A member that leaves may be the only holder until another has the state on its disk.
  bool replaced = intactReplica(view_) == nullptr;
  Duration patience = std::min(kHandOverWithin, options_.graceTime * 0.5);
  return replaced || now - leavingSince_ > patience;
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

std::vector<CoreId> Leadership::wantedVoters(MonotonicTime now) const {
  // A proposal that nobody is known to have settled may be settled all the same: until one is,
  // only the same voters are proposed again, for two different changes of one view share no quorum.
  if (!proposed_.empty()) return proposed_.back();
  std::vector<CoreId> voters = view_.voters;
  std::vector<std::pair<CoreId, const PeerObservation*>> newcomers;
  for (const auto& [core, sight] : peers_) {
    bool seated = std::ranges::find(view_.voters, core) != view_.voters.end();
    if (sight.known && !sight.leaving && !seated && now - sight.last < seconds(1))
      newcomers.emplace_back(core, &sight);
  }
  if (newcomers.empty()) return withoutSilentVoter(now);
  // One seat at a time. The first to go is one whose machine came back with another disk.
  for (CoreId& seat : voters)
    for (const auto& [core, sight] : newcomers)
      if (sight->address == peers_.at(seat).address && silent(seat, now) > kFresh)
        return replacedVoter(seat, core);
  auto longest =
      std::ranges::max_element(voters, {}, [&](CoreId core) { return silent(core, now); });
  if (longest == voters.end()) return voters;
  if (silent(*longest, now) > options_.replaceVoterAfter)
    return replacedVoter(*longest, newcomers.front().first);
  // A new seat only while all are held: a newcomer may stand for one that is just being missed.
  if (voters.size() >= static_cast<std::size_t>(options_.voterSlots)) return voters;
  if (silent(*longest, now) > kFresh) return voters;
  for (const auto& [core, sight] : newcomers)
    if (now - sight->first >= kNewcomerKnown) {
      voters.push_back(core);
      return voters;
    }
  return voters;
}

std::vector<CoreId> Leadership::replacedVoter(CoreId voter, CoreId newcomer) const {
  // Majorities of two sets that differ by one voter always meet; those of two odd sets that differ
  // by a replaced voter don't ({1,2,3} and {1,2,4}: {2,3} and {1,4}), and a view that was accepted
  // but not chosen would split the fleet. So an odd set first gains the newcomer.
  std::vector<CoreId> voters = view_.voters;
  bool twoSteps =
      voters.size() % 2 == 1 && !options_.faults.has(ControlFault::kOneMajorityOfVoters);
  if (twoSteps) voters.push_back(newcomer);
  else std::ranges::replace(voters, voter, newcomer);
  return voters;
}

std::vector<CoreId> Leadership::withoutSilentVoter(MonotonicTime now) const {
  // The second step of a replacement: the voter that the newcomer came for goes. An even set bears
  // the loss of no more voters than the odd one below it, so a silent voter in it only costs.
  std::vector<CoreId> voters = view_.voters;
  bool even = voters.size() % 2 == 0;
  if (!even || voters.size() <= 2 * static_cast<std::size_t>(options_.backups) + 1) return voters;
  auto longest =
      std::ranges::max_element(voters, {}, [&](CoreId core) { return silent(core, now); });
  if (silent(*longest, now) > options_.replaceVoterAfter) voters.erase(longest);
  return voters;
}

View Leadership::wantedView(MonotonicTime now) const {
  View wanted = view_;
  wanted.voters = wantedVoters(now);
  auto backups = wantedBackups(now);
  bool same = std::ranges::is_permutation(backups, view_.backups);
  if (unconfirmed_ || (!backups.empty() && !same)) wanted.backups = std::move(backups);
  return wanted;
}

bool Leadership::changeDue(const View& wanted, MonotonicTime now) const {
  // With fewer machines than copies are owed there is no yes, and nothing to be gained.
  if (wanted.backups.size() < static_cast<std::size_t>(options_.backups)) return false;
  bool same = wanted.backups == view_.backups && wanted.voters == view_.voters;
  return !same || unconfirmed_ || stuck(now) || recapture_;
}

void Leadership::considerViewChange(MonotonicTime now, Outbox& outbox) {
  yieldsBatch_ = false;
  if (now < nextTry_ || !leads(now) || leavingSince_ != kForever) return;
  std::erase_if(failedReplicas_,
                [&](const auto& entry) { return now - entry.second > seconds(5); });
  View wanted = wantedView(now);
  if (!changeDue(wanted, now)) return;
  yieldsBatch_ = (batchState_ && !stuck(now)) || !writes_.empty();
  if (yieldsBatch_) return;  // after this one, before the next
  nextTry_ = now + milliseconds(200);
  unconfirmed_ = true;  // from here on nothing is acknowledged until a higher view is settled
  takingOver_ = false;
  prepare(std::move(wanted), now, outbox);
}

}  // namespace peppergate
