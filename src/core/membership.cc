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
  for (const auto& [id, known] : knownMembers_)
    if (!known.suspected) records.push_back(known.record);
  random_.shuffle(std::span(records));
  if (records.size() > 32) records.resize(32);
  shuffle.records = std::move(records);
  if (fillShuffle_) fillShuffle_(shuffle);
  return shuffle;
}

void Membership::mergeRecord(const MemberRecord& record, bool direct, MonotonicTime now,
                             Outbox& outbox) {
  if (record.member == self_.member) return;
  if (auto tombstone = tombstones_.find(record.member); tombstone != tombstones_.end()) {
    if (record.heartbeat <= tombstone->second.heartbeat) return;
    tombstones_.erase(tombstone);
  }
  auto found = knownMembers_.find(record.member);
  if (found == knownMembers_.end()) {
    if (direct) {  // a new process at an address replaces the earlier ones there
      for (auto other = knownMembers_.begin(); other != knownMembers_.end();) {
        bool sameAddress = other->second.record.address == record.address;
        if (sameAddress) tombstones_[other->first] = {now, ~0ULL};
        other = sameAddress ? knownMembers_.erase(other) : std::next(other);
      }
    }
    knownMembers_.emplace(record.member, KnownMember{record, now, false});
    std::erase(formerAddresses_, record.address);
    if (neighbours_.size() < static_cast<std::size_t>(options_.viewSize))
      neighbours_.push_back(record.member);
    else neighbours_[random_.below(neighbours_.size())] = record.member;
    outbox.count("members.joined");
    outbox.push(LogState{"member joined: " + record.address.value});
    return;
  }
  auto& known = found->second;
  if (record.heartbeat > known.record.heartbeat) {
    known.record = record;
    known.lastAlive = now;
    known.suspected = false;
  }
}

void Membership::handle(const Shuffle& shuffle, MonotonicTime now, Outbox& outbox) {
  if (shuffle.sender.member == self_.member) return;
  mergeRecord(shuffle.sender, true, now, outbox);
  for (const auto& record : shuffle.records) mergeRecord(record, false, now, outbox);
  if (shuffle.wantsAnswer) outbox.send(shuffle.sender.address, makeShuffle(false));
}

void Membership::expireMembers(MonotonicTime now, Outbox& outbox) {
  for (auto entry = knownMembers_.begin(); entry != knownMembers_.end();) {
    auto& known = entry->second;
    Duration silent = now - known.lastAlive;
    if (silent > options_.deadAfter) {
      tombstones_[entry->first] = {now, known.record.heartbeat};
      formerAddresses_.push_back(known.record.address);
      if (formerAddresses_.size() > 16) formerAddresses_.erase(formerAddresses_.begin());
      outbox.count("members.dead");
      outbox.push(LogState{"member dead: " + known.record.address.value});
      std::erase(neighbours_, entry->first);
      entry = knownMembers_.erase(entry);
      continue;
    }
    if (silent > options_.suspectAfter && !known.suspected) {
      known.suspected = true;
      outbox.count("members.suspected");
      outbox.send(known.record.address, makeShuffle(true));  // asks it directly
    }
    ++entry;
  }
  std::erase_if(tombstones_,
                [&](const auto& entry) { return now - entry.second.since > seconds(30); });
}

Address Membership::missingSeed() {
  std::vector<Address> missing;
  for (const auto& seed : seeds_) {
    bool known =
        seed == self_.address || std::ranges::any_of(knownMembers_, [&](const auto& entry) {
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
  expireMembers(now, outbox);
  std::erase_if(neighbours_, [&](MemberId member) { return !knownMembers_.contains(member); });
  while (neighbours_.size() < static_cast<std::size_t>(options_.viewSize) &&
         neighbours_.size() < knownMembers_.size()) {
    auto candidate = knownMembers_.begin();
    std::advance(candidate, static_cast<std::ptrdiff_t>(random_.below(knownMembers_.size())));
    if (std::ranges::find(neighbours_, candidate->first) == neighbours_.end())
      neighbours_.push_back(candidate->first);
  }
  for (int round = 0; round < 2 && !neighbours_.empty(); ++round) {
    MemberId neighbour = neighbours_.front();
    std::rotate(neighbours_.begin(), neighbours_.begin() + 1, neighbours_.end());
    outbox.send(knownMembers_.at(neighbour).record.address, makeShuffle(true));
  }
  // Seeds are asked while the view is small, and now and then to heal a partition.
  bool fewNeighbours = neighbours_.size() < 2;
  if (!seeds_.empty() && (fewNeighbours || random_.below(16) == 0)) {
    const Address& seed = seeds_[random_.below(seeds_.size())];
    if (seed != self_.address) outbox.send(seed, makeShuffle(true));
  }
  // After a common start members form small groups that don't know each other. A member that misses
  // a seed asks it in each round, so that the groups merge within some rounds.
  if (Address seed = missingSeed(); !seed.value.empty()) outbox.send(seed, makeShuffle(true));
  if (!formerAddresses_.empty() && random_.below(6) == 0)
    outbox.send(formerAddresses_[random_.below(formerAddresses_.size())], makeShuffle(true));
  // A random neighbour is replaced by a random known member, so that views keep changing.
  if (neighbours_.size() > 2 && knownMembers_.size() > neighbours_.size()) {
    auto other = knownMembers_.begin();
    std::advance(other, static_cast<std::ptrdiff_t>(random_.below(knownMembers_.size())));
    if (std::ranges::find(neighbours_, other->first) == neighbours_.end())
      neighbours_[random_.below(neighbours_.size())] = other->first;
  }
}

void Membership::announceLeaving(Outbox& outbox) {
  self_.leaving = true;
  ++self_.heartbeat;
  for (const auto& [id, known] : knownMembers_)
    outbox.send(known.record.address, makeShuffle(false));
}

std::vector<MemberRecord> Membership::liveMembers() const {
  std::vector<MemberRecord> records{self_};
  for (const auto& [id, known] : knownMembers_) records.push_back(known.record);
  std::ranges::sort(records, {}, &MemberRecord::member);
  return records;
}

std::vector<MemberRecord> Membership::liveRouters() const {
  std::vector<MemberRecord> records = liveMembers();
  std::erase_if(records, [this](const MemberRecord& record) { return !isLiveRouter(record); });
  return records;
}

std::vector<Address> Membership::otherRouterAddresses(
    const std::function<bool(MemberId)>& filter) const {
  std::vector<Address> addresses;
  for (const auto& [id, known] : knownMembers_)
    if (isLiveRouter(known.record) && (!filter || filter(id)))
      addresses.push_back(known.record.address);
  return addresses;
}

std::vector<Address> Membership::otherMemberAddresses() const {
  std::vector<Address> addresses;
  for (const auto& [id, known] : knownMembers_) addresses.push_back(known.record.address);
  return addresses;
}

std::size_t Membership::routerCount() const {
  auto others = std::ranges::count_if(
      knownMembers_, [this](const auto& entry) { return isLiveRouter(entry.second.record); });
  return static_cast<std::size_t>(others) + (isLiveRouter(self_) ? 1 : 0);
}

std::vector<MemberRecord> Membership::liveCores() const {
  std::vector<MemberRecord> records;
  if (self_.role == Role::kCore) records.push_back(self_);
  for (const auto& [id, known] : knownMembers_)
    if (known.record.role == Role::kCore) records.push_back(known.record);
  return records;
}

CoreId Membership::coreAt(const Address& address) const {
  if (address == self_.address) return self_.core;
  const KnownMember* best = nullptr;
  for (const auto& [id, known] : knownMembers_) {
    bool isAtAddress = known.record.role == Role::kCore && known.record.address == address;
    if (isAtAddress && (best == nullptr || known.lastAlive > best->lastAlive)) best = &known;
  }
  return best == nullptr ? CoreId{} : best->record.core;
}

Address Membership::addressOf(CoreId core) const {
  if (core.value == 0) return {};
  if (core == self_.core) return self_.address;
  const KnownMember* latest = latestMemberOf(core);
  return latest == nullptr ? Address{} : latest->record.address;
}

const Membership::KnownMember* Membership::latestMemberOf(CoreId core) const {
  const KnownMember* latest = nullptr;
  for (const auto& [id, known] : knownMembers_)
    if (known.record.core == core && (latest == nullptr || known.lastAlive > latest->lastAlive))
      latest = &known;
  return latest;
}

void Membership::noteAlive(CoreId core, MonotonicTime when) {
  if (core.value == 0 || core == self_.core) return;
  const KnownMember* latest = latestMemberOf(core);
  if (latest == nullptr || latest->lastAlive >= when) return;
  KnownMember& known = knownMembers_.at(latest->record.member);
  known.lastAlive = when;
  known.suspected = false;
}

Address Membership::addressOf(MemberId member) const {
  if (member == self_.member) return self_.address;
  auto found = knownMembers_.find(member);
  return found == knownMembers_.end() ? Address{} : found->second.record.address;
}

Duration Membership::silence(MemberId member, MonotonicTime now) const {
  auto found = knownMembers_.find(member);
  return found == knownMembers_.end() ? options_.deadAfter : now - found->second.lastAlive;
}

Address Membership::randomMember() {
  if (knownMembers_.empty()) return {};
  auto chosen = knownMembers_.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(random_.below(knownMembers_.size())));
  return chosen->second.record.address;
}

}  // namespace peppergate
