#include "prompts/part_watch.h"

#include <algorithm>
#include <map>
#include <set>

#include "core/engine_list.h"
#include "core/fleet_pace.h"

namespace peppergate {
namespace {

constexpr Duration kScanEvery =
    milliseconds(500);  // interval of checks for added and removed engines
// Delay of an update for merging further changes, and of the next poll after an answer.
constexpr FleetPace kCoalesce{milliseconds(100), milliseconds(5), milliseconds(500)};
constexpr double kToldWithin = 0.9;         // fraction of the time between two broadcasts
constexpr Duration kListGap = seconds(10);  // between two complete listings of one engine
constexpr Duration kAskGap = seconds(3);    // between two requests for one engine's changes
constexpr Duration kAnswerWait =
    milliseconds(400);  // for another router's copy, before the first poll
constexpr Duration kFirstWait = milliseconds(500), kLongestWait = seconds(2);
// All updates use the same relay, since changes are numbered and must stay in order. The routers of
// a zone whose relay failed request the changes that they lack.
constexpr std::uint64_t kOneRelay = 0;
constexpr int kStoreFailures = 2;  // after which no blocks are fetched from the store

}  // namespace

PartWatch::PartWatch(const Options& options, Membership& membership, PartIndex& index)
    : options_(options), membership_(membership), index_(index) {}

void PartWatch::tick(EngineBook& book, const FleetConfig& config, MonotonicTime now,
                     Outbox& outbox) {
  std::vector<std::pair<EngineId, Address>> keepers;
  if (now >= nextScan_)
    for (const auto& [name, service] : config.services) {
      if (service.store) keepers.emplace_back(storeId(), service.store->address);
      if (!service.engine || service.engine->kvTokens <= 0) continue;
      for (const EngineState* engine : book.of(name))
        keepers.emplace_back(engine->listed.id, engine->listed.address);
    }
  tick(keepers, now, outbox);
}

void PartWatch::tick(const std::vector<std::pair<EngineId, Address>>& keepers, MonotonicTime now,
                     Outbox& outbox) {
  if (now >= nextScan_) assign(keepers, now, outbox);
  for (auto& [engine, watched] : watched_)
    if (watched.ticket.value == 0 && now >= watched.next) call(engine, watched, now, outbox);
  flush(now, outbox);
}

void PartWatch::assign(const std::vector<std::pair<EngineId, Address>>& keepers, MonotonicTime now,
                       Outbox& outbox) {
  nextScan_ = now + kScanEvery;
  coalesce_ = kCoalesce.between(membership_.frontCount());
  auto fronts = membership_.liveFronts();
  if (!ring_.isFor(fronts)) ring_ = Ring(fronts);
  MemberId self = membership_.self().member;
  std::set<EngineId> listed;
  for (const auto& [engine, address] : keepers) {
    listed.insert(engine);
    auto owners = ring_.owners(engine, 2);
    bool mine = !owners.empty() && owners[0] == self;
    auto known = index_.known(engine);
    if (!mine) {
      watched_.erase(engine);
      if (!known && !owners.empty()) ask(membership_.addressOf(owners[0]), engine, now, outbox);
      continue;
    }
    auto [found, fresh] = watched_.try_emplace(engine);
    Watched& watched = found->second;
    if (fresh || watched.address != address) {
      watched = Watched{};
      watched.address = address;
      outbox.count("parts.watched");
      if (known) {
        watched.since = watched.told = known->next;  // continues the previous watcher's polls
      } else if (owners.size() > 1) {
        ask(membership_.addressOf(owners[1]), engine, now, outbox);
        watched.next = now + kAnswerWait;
      }
    }
  }
  std::erase_if(watched_, [&](const auto& entry) { return !listed.contains(entry.first); });
  std::erase_if(asked_, [&](const auto& entry) { return !listed.contains(entry.first); });
  if (keepers.empty()) return;  // no engine list yet
  for (const auto& engine : index_.engines())
    if (!listed.contains(engine)) index_.forget(engine);
}

void PartWatch::call(const EngineId& engine, Watched& watched, MonotonicTime now, Outbox& outbox) {
  TicketId ticket = outbox.ticket();
  open_[ticket] = engine;
  watched.ticket = ticket;
  if (watched.wantsList) {
    watched.wantsList = false;
    watched.listedAt = now;
    outbox.count("parts.lists");
    outbox.push(ListParts{ticket, watched.address});
    return;
  }
  outbox.count("parts.polls");
  outbox.push(PollParts{ticket, watched.address, watched.since});
}

PrefixBlockUpdate PartWatch::newsOf(const EngineId& engine,
                                    const std::vector<PartChange>& changes) {
  std::map<std::pair<std::string_view, std::string_view>, std::int64_t> last;  // by salt
  for (const auto& change : changes)
    last[{change.salt, change.part}] = std::max<std::int64_t>(0, change.tokens);
  PrefixBlockUpdate news;
  news.engine = engine;
  std::string_view salt;
  for (const auto& [name, tokens] : last) {
    if (name.first.empty()) continue;  // not cached under a salt of this fleet
    news.salts.emplace_back(name.first == salt ? std::string_view{} : name.first);
    salt = name.first;
    news.parts.emplace_back(name.second);
    news.tokens.push_back(tokens);
  }
  return news;
}

PartWatch::Watched* PartWatch::answered(TicketId ticket, EngineId& engine) {
  auto open = open_.find(ticket);
  engine = std::move(open->second);
  open_.erase(open);
  auto found = watched_.find(engine);
  if (found == watched_.end() || found->second.ticket != ticket) return nullptr;
  found->second.ticket = {};
  return &found->second;
}

bool PartWatch::polled(const PartsPolled& answer, MonotonicTime now, Outbox& outbox) {
  EngineId engine;
  if (!open_.contains(answer.ticket)) return false;
  Watched* found = answered(answer.ticket, engine);
  if (found == nullptr) return true;  // reassigned to another router meanwhile
  Watched& watched = *found;
  if (answer.status != 200) {
    failed(engine, watched, answer.status, now, outbox);
    return true;
  }
  watched.failures = 0;
  watched.next = now + coalesce_;
  auto known = index_.known(engine);
  if (known && known->epoch != answer.epoch && watched.since != 0) {
    // The engine restarted: a poll from position 0 returns everything, unless changes were lost.
    outbox.count("parts.otherEpoch");
    watched.since = watched.told = 0;
    watched.next = now;
    PrefixBlockUpdate empty;
    empty.engine = engine;
    empty.epoch = answer.epoch;
    empty.whole = true;
    index_.hear(empty);
    tell(std::move(empty), now);
    return true;
  }
  if (answer.lost) {
    outbox.count("parts.lost");
    watched.wantsList = now - watched.listedAt >= kListGap;
    if (watched.wantsList) watched.next = now;
  }
  PrefixBlockUpdate news = newsOf(engine, answer.changes);
  news.epoch = answer.epoch;
  news.from = watched.told;
  news.next = watched.since = answer.next;
  index_.hear(news);
  if (news.parts.empty() && known) return true;  // the new position is sent with the next change
  watched.told = news.next;
  tell(std::move(news), now);
  return true;
}

bool PartWatch::listed(const PartsListed& answer, MonotonicTime now, Outbox& outbox) {
  EngineId engine;
  if (!open_.contains(answer.ticket)) return false;
  Watched* found = answered(answer.ticket, engine);
  if (found == nullptr) return true;
  Watched& watched = *found;
  if (answer.status != 200) {
    failed(engine, watched, answer.status, now, outbox);
    return true;
  }
  watched.failures = 0;
  watched.next = now;
  watched.since = watched.told = answer.next;
  PrefixBlockUpdate news = newsOf(engine, answer.held);
  news.epoch = answer.epoch;
  news.from = news.next = answer.next;
  news.whole = true;
  index_.hear(news);
  tell(std::move(news), now);
  return true;
}

void PartWatch::failed(const EngineId& engine, Watched& watched, int status, MonotonicTime now,
                       Outbox& outbox) {
  outbox.count(status == 429 ? "parts.tooMany" : "parts.failed");
  Duration wait = kFirstWait * static_cast<double>(1 << std::min(watched.failures, 3));
  watched.next = now + std::min(wait, kLongestWait);
  ++watched.failures;
  if (engine != storeId() || status == 429 || watched.failures != kStoreFailures) return;
  // No request may wait for a failed store. It reports all its blocks again once it is back.
  watched.since = watched.told = 0;
  PrefixBlockUpdate empty;
  empty.engine = engine;
  empty.whole = true;
  index_.hear(empty);
  tell(std::move(empty), now);
  outbox.push(NoteState{"prefix block store does not answer"});
}

void PartWatch::ask(const Address& whom, const EngineId& engine, MonotonicTime now,
                    Outbox& outbox) {
  auto [asked, fresh] = asked_.try_emplace(engine, now);
  if (!fresh && now - asked->second < kAskGap) return;
  asked->second = now;
  auto known = index_.known(engine).value_or(PartMark{});
  outbox.count("parts.asked");
  outbox.send(whom, PrefixBlockRequest{engine, known.epoch, known.next});
}

void PartWatch::hear(const Address& from, const PrefixBlockUpdate& news, MonotonicTime now,
                     Outbox& outbox) {
  if (news.relay) passOn(news, now, outbox);
  bool complete = index_.hear(news);
  auto found = watched_.find(news.engine);
  if (found != watched_.end()) {
    // The answer to a request sent before the first poll, or a previous watcher's last update.
    auto known = index_.known(news.engine);
    if (found->second.ticket.value == 0 && known && found->second.since < known->next) {
      found->second.since = found->second.told = known->next;
      found->second.next = now;
    }
    return;
  }
  if (complete) return;
  outbox.count("parts.gaps");
  ask(from, news.engine, now, outbox);
}

void PartWatch::hear(const Address& from, const PrefixBlockRequest& ask, MonotonicTime,
                     Outbox& outbox) {
  auto known = index_.known(ask.engine);
  if (!known) return;
  if (known->epoch == ask.epoch && known->next < ask.next) return;
  outbox.count("parts.told");
  outbox.send(from, index_.whole(ask.engine));
}

void PartWatch::passOn(PrefixBlockUpdate news, MonotonicTime now, Outbox& outbox) {
  news.relay = false;
  outbox.count("parts.relayed");
  std::vector<Message> messages;
  messages.emplace_back(std::move(news));
  relayed_.begin(zonePeers(membership_.liveFronts(), membership_.self()), std::move(messages),
                 kRelaySpan, now);
}

void PartWatch::tell(PrefixBlockUpdate news, MonotonicTime now) {
  auto [found, fresh] = pending_.try_emplace(news.engine, Pending{now, {}});
  Pending& pending = found->second;
  if (fresh || news.whole || pending.news.epoch != news.epoch) {
    pending.news = std::move(news);
    return;
  }
  // Later changes are appended, so the last change of a block takes effect.
  pending.news.next = news.next;
  if (pending.news.whole) pending.news.from = news.next;
  for (std::size_t index = 0; index < news.parts.size(); ++index) {
    pending.news.salts.push_back(std::move(news.salts[index]));
    pending.news.parts.push_back(std::move(news.parts[index]));
    pending.news.tokens.push_back(news.tokens[index]);
  }
}

void PartWatch::flush(MonotonicTime now, Outbox& outbox) {
  told_.tick(now, outbox);
  relayed_.tick(now, outbox);
  if (pending_.empty()) return;
  bool due = std::ranges::any_of(
      pending_, [&](const auto& entry) { return now - entry.second.since >= coalesce_; });
  if (!due) return;
  // Sends all pending updates together, so that each router receives one write.
  std::vector<Message> messages;
  for (auto& [engine, pending] : std::exchange(pending_, {}))
    messages.emplace_back(std::move(pending.news));
  auto routers = membership_.liveFronts();
  told_.beginRelayed(relayTargets(routers, membership_.self(), kOneRelay), std::move(messages),
                     coalesce_ * kToldWithin, now);
  told_.tick(now, outbox);
}

}  // namespace peppergate
