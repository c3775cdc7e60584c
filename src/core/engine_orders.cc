// EngineWatch: leases on engines, and the orders given under them.
#include <algorithm>

#include "core/engine_watch.h"

namespace peppergate {

void EngineWatch::askHolds(const EngineList& list, MonotonicTime now, Outbox& outbox) {
  std::erase_if(holds_, [&](const auto& entry) { return !mine_.contains(entry.first); });
  if (now < nextHolds_) return;
  nextHolds_ = now + options_.engineLeaseRenewal;
  EngineLeaseRequest ask{membership_.self().member, now, {}};
  for (const auto& id : mine_)
    if (list.engines.at(id).service != Service::kStore) ask.engines.push_back(id);
  if (ask.engines.empty()) return;
  for (const auto& id : ask.engines) {
    auto& rounds = holds_[id].rounds;
    rounds[now.microseconds];
    while (rounds.size() > 6) rounds.erase(rounds.begin());
  }
  for (CoreId voter : follower_.view().voters) outbox.send(membership_.addressOf(voter), ask);
}

void EngineWatch::hear(const EngineLeaseReply& answer, Outbox& outbox) {
  const auto& voters = follower_.view().voters;
  if (std::ranges::find(voters, answer.voter) == voters.end()) return;
  for (const auto& engine : answer.granted) {
    auto lease = holds_.find(engine);
    if (lease == holds_.end()) continue;
    auto round = lease->second.rounds.find(answer.sentAt.microseconds);
    if (round == lease->second.rounds.end()) continue;
    round->second.insert(answer.voter);
    if (round->second.size() * 2 <= voters.size()) continue;
    MonotonicTime until = answer.sentAt + options_.engineLeaseStop;
    if (until > lease->second.until) {
      lease->second.until = until;
      outbox.count("engineHolds.won");
    }
  }
}

Duration EngineWatch::waveDelay(const EngineList& list, const EngineId& engine) const {
  // The engines of a service load new weights in waves by their position in the list, so that
  // serving capacity remains; all fronts compute the same waves without coordination.
  Service service = list.engines.at(engine).service;
  std::size_t place = 0, count = 0;
  for (const auto& [id, entry] : list.engines) {
    if (entry.service != service) continue;
    if (id < engine) ++place;
    ++count;
  }
  auto waves = static_cast<std::size_t>(1 / std::max(0.05, options_.waveShare) + 0.999);
  waves = std::clamp<std::size_t>(waves, 1, count);
  std::size_t wave = place * waves / count;
  // The last wave starts early enough to finish before streams may no longer start on old weights.
  return options_.oldWeightsLimit * 0.7 * (static_cast<double>(wave) / static_cast<double>(waves));
}

void EngineWatch::order(const EngineList& list, const EngineEntry& engine, MonotonicTime now,
                        Outbox& outbox) {
  auto view = views_.find(engine.id);
  if (view == views_.end() || view->second.seen == kNever || !follower_.installed()) return;
  Watched& watched = watched_[engine.id];
  if (now - watched.ordered < options_.orderTimeout) return;
  const Weights& weights = follower_.weights();
  MonotonicTime outdated = follower_.outdatedSince(view->second.picture.weights);
  bool old = outdated != kForever && now >= outdated + waveDelay(list, engine.id);
  bool drain = engine.draining && !watched.drainOrdered;
  if (!old && !drain) return;
  // The lease is checked here and again at the write; an order also needs a fresh control state.
  bool held = holds(engine.id, now) && follower_.fresh(now);
  if (!held && options_.guards(Guard::kEngineLease)) {
    outbox.count("orders.withoutHold");
    return;
  }
  watched.ordered = now;
  if (drain) watched.drainOrdered = true;
  TicketId ticket = outbox.ticket();
  calls_[ticket] = {CallKind::kOrder, engine.id, now};
  Json body{{"kind", drain ? "drain" : "load"},
            {"giver", membership_.self().member.value},
            {"epoch", follower_.view().epoch.value}};
  if (!drain) body.update({{"weights", weights.version.value}, {"label", weights.label}});
  outbox.count(drain ? "orders.drain" : "orders.load");
  outbox.push(CallWeb{ticket,
                      engine.address,
                      "POST",
                      "/order",
                      {{"Content-Type", "application/json"}},
                      body.dump(),
                      seconds(2),
                      held ? holds_[engine.id].until : kForever});
}

}  // namespace peppergate
