// EngineWatch: leases on engines, and the orders given under them.
#include <algorithm>

#include "core/engine_watch.h"

namespace peppergate {

void EngineWatch::requestLeases(const EngineList& list, MonotonicTime now, Outbox& outbox) {
  std::erase_if(leases_, [&](const auto& entry) { return !ownEngines_.contains(entry.first); });
  if (now < nextLeaseRequest_) return;
  nextLeaseRequest_ = now + options_.engineLeaseRenewal;
  EngineLeaseRequest request{membership_.self().member, now, {}};
  for (const auto& id : ownEngines_)
    if (list.engines.at(id).service != Service::kStore) request.engines.push_back(id);
  if (request.engines.empty()) return;
  for (const auto& id : request.engines) {
    auto& grants = leases_[id].grants;
    grants[now.microseconds];
    while (grants.size() > 6) grants.erase(grants.begin());
  }
  for (CoreId voter : follower_.view().voters) outbox.send(membership_.addressOf(voter), request);
}

void EngineWatch::handle(const EngineLeaseReply& answer, Outbox& outbox) {
  const auto& voters = follower_.view().voters;
  if (std::ranges::find(voters, answer.voter) == voters.end()) return;
  for (const auto& engine : answer.granted) {
    auto lease = leases_.find(engine);
    if (lease == leases_.end()) continue;
    auto grant = lease->second.grants.find(answer.sentAt.microseconds);
    if (grant == lease->second.grants.end()) continue;
    grant->second.insert(answer.voter);
    if (grant->second.size() * 2 <= voters.size()) continue;
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
  std::size_t position = 0, count = 0;
  for (const auto& [id, entry] : list.engines) {
    if (entry.service != service) continue;
    if (id < engine) ++position;
    ++count;
  }
  auto waves = static_cast<std::size_t>(1 / std::max(0.05, options_.waveShare) + 0.999);
  waves = std::clamp<std::size_t>(waves, 1, count);
  std::size_t wave = position * waves / count;
  // The last wave starts early enough to finish before streams may no longer start on old weights.
  return options_.oldWeightsLimit * 0.7 * (static_cast<double>(wave) / static_cast<double>(waves));
}

void EngineWatch::orderIfDue(const EngineList& list, const EngineEntry& engine, MonotonicTime now,
                             Outbox& outbox) {
  auto view = views_.find(engine.id);
  if (view == views_.end() || view->second.seenAt == kNever || !follower_.hasConfiguration())
    return;
  WatchState& watched = watched_[engine.id];
  if (now - watched.orderedAt < options_.orderTimeout) return;
  const Weights& weights = follower_.weights();
  MonotonicTime outdated = follower_.outdatedSince(view->second.snapshot.weights);
  bool loadDue = outdated != kForever && now >= outdated + waveDelay(list, engine.id);
  bool drainDue = engine.draining && !watched.drainOrdered;
  if (!loadDue && !drainDue) return;
  // The lease is checked here and again at the write; an order also needs a fresh control state.
  bool leaseHeld = holdsLease(engine.id, now) && follower_.isFresh(now);
  if (!leaseHeld && options_.isGuardEnabled(SafetyGuard::kEngineLease)) {
    outbox.count("orders.withoutHold");
    return;
  }
  watched.orderedAt = now;
  if (drainDue) watched.drainOrdered = true;
  TicketId ticket = outbox.newTicket();
  calls_[ticket] = {CallKind::kOrder, engine.id, now};
  Json body{{"kind", drainDue ? "drain" : "load"},
            {"giver", membership_.self().member.value},
            {"epoch", follower_.view().epoch.value}};
  if (!drainDue) body.update({{"weights", weights.version.value}, {"label", weights.label}});
  outbox.count(drainDue ? "orders.drain" : "orders.load");
  outbox.push(CallHttp{ticket,
                       engine.address,
                       "POST",
                       "/order",
                       {{"Content-Type", "application/json"}},
                       body.dump(),
                       seconds(2),
                       leaseHeld ? leases_[engine.id].until : kForever});
}

}  // namespace peppergate
