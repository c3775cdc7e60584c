#include "prompts/prefix_cache_watcher.h"

#include <algorithm>
#include <map>
#include <set>

#include "core/broadcast_interval.h"
#include "core/engine_list.h"

namespace peppergate {
namespace {

constexpr Duration kScanInterval =
    milliseconds(500);  // interval of checks for added and removed engines
// Delay of an update for merging further changes, and of the next poll after an answer.
constexpr BroadcastInterval kCoalescePace{milliseconds(100), milliseconds(5), milliseconds(500)};
constexpr double kBroadcastFraction = 0.9;          // fraction of the time between two broadcasts
constexpr Duration kListingInterval = seconds(10);  // between two complete listings of one engine
constexpr Duration kRequestInterval = seconds(3);   // between two requests for one engine's changes
constexpr Duration kCopyWait =
    milliseconds(400);  // for another router's copy, before the first poll
constexpr Duration kFirstRetryDelay = milliseconds(500), kLongestRetryDelay = seconds(2);
// All updates use the same relay, since changes are numbered and must stay in order. The routers of
// a zone whose relay failed request the changes that they lack.
constexpr std::uint64_t kRelayKey = 0;
constexpr int kStoreFailureLimit = 2;  // after which no blocks are fetched from the store

}  // namespace

PrefixCacheWatcher::PrefixCacheWatcher(const Options& options, Membership& membership,
                                       PrefixBlockIndex& index)
    : options_(options), membership_(membership), index_(index) {}

void PrefixCacheWatcher::tick(EngineRegistry& registry, const FleetConfig& config,
                              MonotonicTime now, Outbox& outbox) {
  std::vector<std::pair<EngineId, Address>> caches;
  if (now >= nextScanAt_)
    for (const auto& [name, service] : config.services) {
      if (service.store) caches.emplace_back(storeId(), service.store->address);
      if (!service.engine || service.engine->kvTokens <= 0) continue;
      for (const EngineState* engine : registry.enginesOf(name))
        caches.emplace_back(engine->listed.id, engine->listed.address);
    }
  tick(caches, now, outbox);
}

void PrefixCacheWatcher::tick(const std::vector<std::pair<EngineId, Address>>& caches,
                              MonotonicTime now, Outbox& outbox) {
  if (now >= nextScanAt_) assignEngines(caches, now, outbox);
  for (auto& [engine, watched] : watched_)
    if (watched.ticket.value == 0 && now >= watched.nextCallAt)
      sendCall(engine, watched, now, outbox);
  flush(now, outbox);
}

void PrefixCacheWatcher::assignEngines(const std::vector<std::pair<EngineId, Address>>& caches,
                                       MonotonicTime now, Outbox& outbox) {
  nextScanAt_ = now + kScanInterval;
  coalesceDelay_ = kCoalescePace.forMembers(membership_.routerCount());
  auto fronts = membership_.liveRouters();
  if (!ring_.isBuiltFrom(fronts)) ring_ = HashRing(fronts);
  MemberId self = membership_.self().member;
  std::set<EngineId> listed;
  for (const auto& [engine, address] : caches) {
    listed.insert(engine);
    auto owners = ring_.owners(engine, 2);
    bool isOwner = !owners.empty() && owners[0] == self;
    auto known = index_.knownPosition(engine);
    if (!isOwner) {
      watched_.erase(engine);
      if (!known && !owners.empty())
        requestUpdate(membership_.addressOf(owners[0]), engine, now, outbox);
      continue;
    }
    auto [found, added] = watched_.try_emplace(engine);
    WatchedEngine& watched = found->second;
    if (added || watched.address != address) {
      watched = WatchedEngine{};
      watched.address = address;
      outbox.count("parts.watched");
      if (known) {
        watched.polledUpTo = watched.sentUpTo =
            known->next;  // continues the previous watcher's polls
      } else if (owners.size() > 1) {
        requestUpdate(membership_.addressOf(owners[1]), engine, now, outbox);
        watched.nextCallAt = now + kCopyWait;
      }
    }
  }
  std::erase_if(watched_, [&](const auto& entry) { return !listed.contains(entry.first); });
  std::erase_if(requestedAt_, [&](const auto& entry) { return !listed.contains(entry.first); });
  if (caches.empty()) return;  // no engine list yet
  for (const auto& engine : index_.engines())
    if (!listed.contains(engine)) index_.removeEngine(engine);
}

void PrefixCacheWatcher::sendCall(const EngineId& engine, WatchedEngine& watched, MonotonicTime now,
                                  Outbox& outbox) {
  TicketId ticket = outbox.newTicket();
  openCalls_[ticket] = engine;
  watched.ticket = ticket;
  if (watched.needsListing) {
    watched.needsListing = false;
    watched.listedAt = now;
    outbox.count("parts.lists");
    outbox.push(ListPrefixBlocks{ticket, watched.address});
    return;
  }
  outbox.count("parts.polls");
  outbox.push(PollPrefixBlocks{ticket, watched.address, watched.polledUpTo});
}

PrefixBlockUpdate PrefixCacheWatcher::updateFrom(const EngineId& engine,
                                                 const std::vector<PrefixBlockChange>& changes) {
  std::map<std::pair<std::string_view, std::string_view>, std::int64_t> lastTokens;  // by salt
  for (const auto& change : changes)
    lastTokens[{change.salt, change.block}] = std::max<std::int64_t>(0, change.tokens);
  PrefixBlockUpdate update;
  update.engine = engine;
  std::string_view salt;
  for (const auto& [name, tokens] : lastTokens) {
    if (name.first.empty()) continue;  // not cached under a salt of this fleet
    update.salts.emplace_back(name.first == salt ? std::string_view{} : name.first);
    salt = name.first;
    update.blocks.emplace_back(name.second);
    update.tokens.push_back(tokens);
  }
  return update;
}

PrefixCacheWatcher::WatchedEngine* PrefixCacheWatcher::takeAnswered(TicketId ticket,
                                                                    EngineId& engine) {
  auto open = openCalls_.find(ticket);
  engine = std::move(open->second);
  openCalls_.erase(open);
  auto found = watched_.find(engine);
  if (found == watched_.end() || found->second.ticket != ticket) return nullptr;
  found->second.ticket = {};
  return &found->second;
}

bool PrefixCacheWatcher::handlePoll(const PrefixBlocksPolled& answer, MonotonicTime now,
                                    Outbox& outbox) {
  EngineId engine;
  if (!openCalls_.contains(answer.ticket)) return false;
  WatchedEngine* found = takeAnswered(answer.ticket, engine);
  if (found == nullptr) return true;  // reassigned to another router meanwhile
  WatchedEngine& watched = *found;
  if (answer.status != 200) {
    handleFailure(engine, watched, answer.status, now, outbox);
    return true;
  }
  watched.failures = 0;
  watched.nextCallAt = now + coalesceDelay_;
  auto known = index_.knownPosition(engine);
  if (known && known->epoch != answer.epoch && watched.polledUpTo != 0) {
    // The engine restarted: a poll from position 0 returns everything, unless changes were lost.
    outbox.count("parts.otherEpoch");
    watched.polledUpTo = watched.sentUpTo = 0;
    watched.nextCallAt = now;
    PrefixBlockUpdate empty;
    empty.engine = engine;
    empty.epoch = answer.epoch;
    empty.isComplete = true;
    index_.apply(empty);
    queueUpdate(std::move(empty), now);
    return true;
  }
  if (answer.lost) {
    outbox.count("parts.lost");
    watched.needsListing = now - watched.listedAt >= kListingInterval;
    if (watched.needsListing) watched.nextCallAt = now;
  }
  PrefixBlockUpdate update = updateFrom(engine, answer.changes);
  update.epoch = answer.epoch;
  update.firstSequence = watched.sentUpTo;
  update.nextSequence = watched.polledUpTo = answer.next;
  index_.apply(update);
  if (update.blocks.empty() && known) return true;  // the new position is sent with the next change
  watched.sentUpTo = update.nextSequence;
  queueUpdate(std::move(update), now);
  return true;
}

bool PrefixCacheWatcher::handleListing(const PrefixBlocksListed& answer, MonotonicTime now,
                                       Outbox& outbox) {
  EngineId engine;
  if (!openCalls_.contains(answer.ticket)) return false;
  WatchedEngine* found = takeAnswered(answer.ticket, engine);
  if (found == nullptr) return true;
  WatchedEngine& watched = *found;
  if (answer.status != 200) {
    handleFailure(engine, watched, answer.status, now, outbox);
    return true;
  }
  watched.failures = 0;
  watched.nextCallAt = now;
  watched.polledUpTo = watched.sentUpTo = answer.next;
  PrefixBlockUpdate update = updateFrom(engine, answer.blocks);
  update.epoch = answer.epoch;
  update.firstSequence = update.nextSequence = answer.next;
  update.isComplete = true;
  index_.apply(update);
  queueUpdate(std::move(update), now);
  return true;
}

void PrefixCacheWatcher::handleFailure(const EngineId& engine, WatchedEngine& watched, int status,
                                       MonotonicTime now, Outbox& outbox) {
  outbox.count(status == 429 ? "parts.tooMany" : "parts.failed");
  Duration wait = kFirstRetryDelay * static_cast<double>(1 << std::min(watched.failures, 3));
  watched.nextCallAt = now + std::min(wait, kLongestRetryDelay);
  ++watched.failures;
  if (engine != storeId() || status == 429 || watched.failures != kStoreFailureLimit) return;
  // No request may wait for a failed store. It reports all its blocks again once it is back.
  watched.polledUpTo = watched.sentUpTo = 0;
  PrefixBlockUpdate empty;
  empty.engine = engine;
  empty.isComplete = true;
  index_.apply(empty);
  queueUpdate(std::move(empty), now);
  outbox.push(LogState{"prefix block store does not answer"});
}

void PrefixCacheWatcher::requestUpdate(const Address& receiver, const EngineId& engine,
                                       MonotonicTime now, Outbox& outbox) {
  auto [entry, fresh] = requestedAt_.try_emplace(engine, now);
  if (!fresh && now - entry->second < kRequestInterval) return;
  entry->second = now;
  auto known = index_.knownPosition(engine).value_or(ChangePosition{});
  outbox.count("parts.asked");
  outbox.send(receiver, PrefixBlockRequest{engine, known.epoch, known.next});
}

void PrefixCacheWatcher::handle(const Address& from, const PrefixBlockUpdate& update,
                                MonotonicTime now, Outbox& outbox) {
  if (update.relay) relay(update, now, outbox);
  bool hasAllChanges = index_.apply(update);
  auto found = watched_.find(update.engine);
  if (found != watched_.end()) {
    // The answer to a request sent before the first poll, or a previous watcher's last update.
    auto known = index_.knownPosition(update.engine);
    if (found->second.ticket.value == 0 && known && found->second.polledUpTo < known->next) {
      found->second.polledUpTo = found->second.sentUpTo = known->next;
      found->second.nextCallAt = now;
    }
    return;
  }
  if (hasAllChanges) return;
  outbox.count("parts.gaps");
  requestUpdate(from, update.engine, now, outbox);
}

void PrefixCacheWatcher::handle(const Address& from, const PrefixBlockRequest& request,
                                MonotonicTime, Outbox& outbox) {
  auto known = index_.knownPosition(request.engine);
  if (!known) return;
  if (known->epoch == request.epoch && known->next < request.nextSequence) return;
  outbox.count("parts.told");
  outbox.send(from, index_.completeUpdate(request.engine));
}

void PrefixCacheWatcher::relay(PrefixBlockUpdate update, MonotonicTime now, Outbox& outbox) {
  update.relay = false;
  outbox.count("parts.relayed");
  std::vector<Message> messages;
  messages.emplace_back(std::move(update));
  relayBroadcast_.begin(zonePeers(membership_.liveRouters(), membership_.self()),
                        std::move(messages), kRelaySpan, now);
}

void PrefixCacheWatcher::queueUpdate(PrefixBlockUpdate update, MonotonicTime now) {
  auto [found, fresh] = pendingUpdates_.try_emplace(update.engine, PendingUpdate{now, {}});
  PendingUpdate& pending = found->second;
  if (fresh || update.isComplete || pending.update.epoch != update.epoch) {
    pending.update = std::move(update);
    return;
  }
  // Later changes are appended, so the last change of a block takes effect.
  pending.update.nextSequence = update.nextSequence;
  if (pending.update.isComplete) pending.update.firstSequence = update.nextSequence;
  for (std::size_t index = 0; index < update.blocks.size(); ++index) {
    pending.update.salts.push_back(std::move(update.salts[index]));
    pending.update.blocks.push_back(std::move(update.blocks[index]));
    pending.update.tokens.push_back(update.tokens[index]);
  }
}

void PrefixCacheWatcher::flush(MonotonicTime now, Outbox& outbox) {
  updateBroadcast_.tick(now, outbox);
  relayBroadcast_.tick(now, outbox);
  if (pendingUpdates_.empty()) return;
  bool due = std::ranges::any_of(pendingUpdates_, [&](const auto& entry) {
    return now - entry.second.since >= coalesceDelay_;
  });
  if (!due) return;
  // Sends all pending updates together, so that each router receives one write.
  std::vector<Message> messages;
  for (auto& [engine, pending] : std::exchange(pendingUpdates_, {}))
    messages.emplace_back(std::move(pending.update));
  auto routers = membership_.liveRouters();
  updateBroadcast_.beginRelayed(relayTargets(routers, membership_.self(), kRelayKey),
                                std::move(messages), coalesceDelay_ * kBroadcastFraction, now);
  updateBroadcast_.tick(now, outbox);
}

}  // namespace peppergate
