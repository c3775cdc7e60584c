#include "core/membership.h"

#include <algorithm>

namespace peppergate {

Membership::Membership(const Options& options, MemberRecord self, std::vector<Address> seeds,
                       Random& random)
    : MembershipCollaborators(random),
      options_(options),
      self_(std::move(self)),
      seeds_(std::move(seeds)) {}

Shuffle Membership::makeShuffle(bool wantsAnswer) {
  Shuffle shuffle;
  shuffle.sender = self_;
  shuffle.wantsAnswer = wantsAnswer;
  std::vector<MemberRecord> records;
  for (const auto& [id, known] : known_)
    if (!known.suspected) records.push_back(known.record);
  random_.shuffle(std::span(records));
  if (records.size() > 32) records.resize(32);
  shuffle.records = std::move(records);
  if (carrier_) carrier_(shuffle);
  return shuffle;
}

void Membership::note(const MemberRecord& record, bool direct, MonotonicTime now, Outbox& outbox) {
  if (record.member == self_.member) return;
  if (auto grave = buried_.find(record.member); grave != buried_.end()) {
    if (record.heartbeat <= grave->second.heartbeat) return;
    buried_.erase(grave);
  }
  auto found = known_.find(record.member);
  if (found == known_.end()) {
    if (direct) {  // a new process at an address replaces the earlier ones there
      for (auto other = known_.begin(); other != known_.end();) {
        bool same = other->second.record.address == record.address;
        if (same) buried_[other->first] = {now, ~0ULL};
        other = same ? known_.erase(other) : std::next(other);
      }
    }
    known_.emplace(record.member, Known{record, now, false});
    std::erase(former_, record.address);
    if (view_.size() < static_cast<std::size_t>(options_.viewSize)) view_.push_back(record.member);
    else view_[random_.below(view_.size())] = record.member;
    outbox.count("members.joined");
    outbox.push(NoteState{"member joined: " + record.address.value});
    return;
  }
  auto& known = found->second;
  if (record.heartbeat > known.record.heartbeat) {
    known.record = record;
    known.advanced = now;
    known.suspected = false;
  }
}

void Membership::hear(const Shuffle& shuffle, MonotonicTime now, Outbox& outbox) {
  if (shuffle.sender.member == self_.member) return;
  note(shuffle.sender, true, now, outbox);
  for (const auto& record : shuffle.records) note(record, false, now, outbox);
  if (shuffle.wantsAnswer) outbox.send(shuffle.sender.address, makeShuffle(false));
}

void Membership::age(MonotonicTime now, Outbox& outbox) {
  for (auto entry = known_.begin(); entry != known_.end();) {
    auto& known = entry->second;
    Duration silent = now - known.advanced;
    if (silent > options_.deadAfter) {
      buried_[entry->first] = {now, known.record.heartbeat};
      former_.push_back(known.record.address);
      if (former_.size() > 16) former_.erase(former_.begin());
      outbox.count("members.dead");
      outbox.push(NoteState{"member dead: " + known.record.address.value});
      std::erase(view_, entry->first);
      entry = known_.erase(entry);
      continue;
    }
    if (silent > options_.suspectAfter && !known.suspected) {
      known.suspected = true;
      outbox.count("members.suspected");
      outbox.send(known.record.address, makeShuffle(true));  // asks it directly
    }
    ++entry;
  }
  std::erase_if(buried_, [&](const auto& entry) { return now - entry.second.since > seconds(30); });
}

Address Membership::missingSeed() {
  std::vector<Address> missing;
  for (const auto& seed : seeds_) {
    bool known = seed == self_.address || std::ranges::any_of(known_, [&](const auto& entry) {
                   return entry.second.record.address == seed;
                 });
    if (!known) missing.push_back(seed);
  }
  return missing.empty() ? Address{} : missing[nextSeed_++ % missing.size()];
}

void Membership::tick(MonotonicTime now, Outbox& outbox) {
  if (now < nextShuffle_) return;
  nextShuffle_ = now + options_.shuffleEvery;
  ++self_.heartbeat;
  age(now, outbox);
  std::erase_if(view_, [&](MemberId member) { return !known_.contains(member); });
  while (view_.size() < static_cast<std::size_t>(options_.viewSize) &&
         view_.size() < known_.size()) {
    auto candidate = known_.begin();
    std::advance(candidate, static_cast<std::ptrdiff_t>(random_.below(known_.size())));
    if (std::ranges::find(view_, candidate->first) == view_.end())
      view_.push_back(candidate->first);
  }
  for (int turn = 0; turn < 2 && !view_.empty(); ++turn) {
    MemberId neighbour = view_.front();
    std::rotate(view_.begin(), view_.begin() + 1, view_.end());
    outbox.send(known_.at(neighbour).record.address, makeShuffle(true));
  }
  // Seeds are asked while the view is small, and now and then to heal a partition.
  bool thin = view_.size() < 2;
  if (!seeds_.empty() && (thin || random_.below(16) == 0)) {
    const Address& seed = seeds_[random_.below(seeds_.size())];
    if (seed != self_.address) outbox.send(seed, makeShuffle(true));
  }
  // After a common start members form small groups that don't know each other. A member that misses
  // a seed asks it in each round, so that the groups merge within some rounds.
  if (Address seed = missingSeed(); !seed.value.empty()) outbox.send(seed, makeShuffle(true));
  if (!former_.empty() && random_.below(6) == 0)
    outbox.send(former_[random_.below(former_.size())], makeShuffle(true));
  // A random neighbour is replaced by a random known member, so that views keep changing.
  if (view_.size() > 2 && known_.size() > view_.size()) {
    auto other = known_.begin();
    std::advance(other, static_cast<std::ptrdiff_t>(random_.below(known_.size())));
    if (std::ranges::find(view_, other->first) == view_.end())
      view_[random_.below(view_.size())] = other->first;
  }
}

void Membership::leave(Outbox& outbox) {
  self_.leaving = true;
  ++self_.heartbeat;
  for (const auto& [id, known] : known_) outbox.send(known.record.address, makeShuffle(false));
}

std::vector<MemberRecord> Membership::live() const {
  std::vector<MemberRecord> records{self_};
  for (const auto& [id, known] : known_) records.push_back(known.record);
  std::ranges::sort(records, {}, &MemberRecord::member);
  return records;
}

std::vector<MemberRecord> Membership::liveFronts() const {
  std::vector<MemberRecord> records = live();
  std::erase_if(records, [this](const MemberRecord& record) { return !isFront(record); });
  return records;
}

std::vector<Address> Membership::otherFronts(const std::function<bool(MemberId)>& wanted) const {
  std::vector<Address> addresses;
  for (const auto& [id, known] : known_)
    if (isFront(known.record) && (!wanted || wanted(id))) addresses.push_back(known.record.address);
  return addresses;
}

std::vector<Address> Membership::otherMembers() const {
  std::vector<Address> addresses;
  for (const auto& [id, known] : known_) addresses.push_back(known.record.address);
  return addresses;
}

std::size_t Membership::frontCount() const {
  auto others = std::ranges::count_if(
      known_, [this](const auto& entry) { return isFront(entry.second.record); });
  return static_cast<std::size_t>(others) + (isFront(self_) ? 1 : 0);
}

std::vector<MemberRecord> Membership::liveCores() const {
  std::vector<MemberRecord> records;
  if (self_.role == Role::kCore) records.push_back(self_);
  for (const auto& [id, known] : known_)
    if (known.record.role == Role::kCore) records.push_back(known.record);
  return records;
}

CoreId Membership::coreAt(const Address& address) const {
  if (address == self_.address) return self_.core;
  const Known* best = nullptr;
  for (const auto& [id, known] : known_) {
    bool there = known.record.role == Role::kCore && known.record.address == address;
    if (there && (best == nullptr || known.advanced > best->advanced)) best = &known;
  }
  return best == nullptr ? CoreId{} : best->record.core;
}

Address Membership::addressOf(CoreId core) const {
  if (core.value == 0) return {};
  if (core == self_.core) return self_.address;
  const Known* latest = latestOf(core);
  return latest == nullptr ? Address{} : latest->record.address;
}

const Membership::Known* Membership::latestOf(CoreId core) const {
  const Known* latest = nullptr;
  for (const auto& [id, known] : known_)
    if (known.record.core == core && (latest == nullptr || known.advanced > latest->advanced))
      latest = &known;
  return latest;
}

void Membership::heardFrom(CoreId core, MonotonicTime when) {
  if (core.value == 0 || core == self_.core) return;
  const Known* latest = latestOf(core);
  if (latest == nullptr || latest->advanced >= when) return;
  Known& known = known_.at(latest->record.member);
  known.advanced = when;
  known.suspected = false;
}

Address Membership::addressOf(MemberId member) const {
  if (member == self_.member) return self_.address;
  auto found = known_.find(member);
  return found == known_.end() ? Address{} : found->second.record.address;
}

Duration Membership::silence(MemberId member, MonotonicTime now) const {
  auto found = known_.find(member);
  return found == known_.end() ? options_.deadAfter : now - found->second.advanced;
}

Address Membership::randomMember() {
  if (known_.empty()) return {};
  auto chosen = known_.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(random_.below(known_.size())));
  return chosen->second.record.address;
}

}  // namespace peppergate
