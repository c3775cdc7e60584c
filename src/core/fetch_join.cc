// FetchDesk: reserves the transfers of single requests at the levels of the last rerun.
#include <algorithm>
#include <limits>

#include "core/fetch_desk.h"

namespace peppergate {
namespace {

constexpr Duration kUnderWay = milliseconds(100);  // upper bound over a link without load

}  // namespace

int FetchDesk::crossing(const Zone& from, const Zone& to) const {
  if (from == to || from.value.empty() || to.value.empty()) return 1;
  auto one = regions_.find(from), other = regions_.find(to);
  bool apart = one != regions_.end() && other != regions_.end() && one->second != other->second;
  return apart ? 10 : 2;
}

double FetchDesk::pathCrossing(const std::vector<LinkId>& path) const {
  // The first two links are those of the source and the engine; their zones give the weight.
  if (path.size() < 2) return 1;
  auto source = books_.find(path[0]), engine = books_.find(path[1]);
  if (source == books_.end() || engine == books_.end()) return 1;
  return crossing(source->second.zone, engine->second.zone);
}

double FetchDesk::roomOf(const LinkId& link) const {
  auto found = books_.find(link);
  if (found == books_.end()) return 0;
  return found->second.common - found->second.others - found->second.booked;
}

std::optional<EngineId> FetchDesk::roomiest(std::span<const EngineId> holders,
                                            const EngineId& engine) const {
  std::optional<EngineId> best;
  double bestRoom = 0;
  for (const auto& holder : holders) {
    auto link = linkOf(holder);
    if (holder == engine || !books_.contains(link)) continue;
    // The free capacity of a remote holder is divided by the weight of its transfers.
    double room = roomOf(link) / pathCrossing({link, linkOf(engine)});
    if (holder == storeId()) room -= 1e-3;
    if (!best || room > bestRoom) {
      best = holder;
      bestRoom = room;
    }
  }
  return best;
}

double FetchDesk::waitAt(const EngineId& engine) const {
  auto found = books_.find(linkOf(engine));
  if (found == books_.end() || found->second.told <= 0) return 0;
  return found->second.waiting / found->second.told;
}

const GroupResult* FetchDesk::groupOf(const std::vector<LinkId>& path) const {
  const GroupResult* group = nullptr;
  for (const auto& link : path) {
    auto found = groups_.find(link);
    if (found == groups_.end()) continue;
    const GroupResult& one = plan_.groups[found->second];
    if (group == nullptr || one.ratio > group->ratio) group = &one;
  }
  return group;
}

std::optional<std::int64_t> FetchDesk::join(Fetch fetch, const Setup& setup, MonotonicTime now,
                                            Outbox& outbox) {
  if (setup.rungs.empty()) return std::nullopt;
  auto last = static_cast<std::int64_t>(setup.rungs.size()) - 1;
  PlanStream& want = fetch.want;
  want.topRung = std::clamp<std::int64_t>(want.topRung, 0, last);
  want.floorRung = std::clamp<std::int64_t>(want.floorRung, 0, want.topRung);
  auto rateAt = [&](std::int64_t rung) { return setup.rungs[static_cast<std::size_t>(rung)].rate; };
  double crossing = pathCrossing(want.links);
  bool fits = std::ranges::all_of(want.links, [&](const LinkId& link) {
    return rateAt(want.floorRung) * crossing <= roomOf(link);
  });
  std::int64_t rung = options_.planMode == 1 ? want.floorRung : want.topRung;
  fetch.bottleneck = want.links.front();
  if (const GroupResult* group = groupOf(want.links); group != nullptr) {
    fetch.bottleneck = group->link;
    fits = fits && (group->fits || group->total <= group->capacity);
    if (options_.planMode == 0) rung = rungUnder(setup.rungs, want, group->level);
  } else if (options_.planMode == 0) {  // no stream crosses these links yet: a group of its own
    std::map<LinkId, double> rooms;
    for (const auto& link : want.links) rooms[link] = std::max(0.0, roomOf(link));
    PlanStream alone = want;
    alone.count = crossing;
    Plan plan = settle({&alone, 1}, setup.rungs, rooms, options_);
    fits = fits && plan.groups.front().fits;
    fetch.bottleneck = plan.groups.front().link;
    rung = plan.shares.at(want.stream).rung;
  }
  if (!fits && options_.planMode == 0) {
    outbox.count("fetch.noRoom");
    return std::nullopt;
  }
  if (options_.planMode == 0) rung = paced(fetch, rung, fetch.bottleneck, now, outbox);
  fetch.rung = rung;
  fetch.rate = rateAt(rung);
  fetch.topRate = rateAt(want.topRung);
  fetch.sent = now;
  fetch.joined = true;
  for (const auto& link : want.links)
    if (auto found = books_.find(link); found != books_.end()) found->second.usedSinceRun = true;
  StreamId stream = want.stream;
  drop(stream);
  book(fetch, 1);
  fetches_[stream] = std::move(fetch);
  outbox.count("fetch.begun");
  outbox.count("fetch.rung." + std::to_string(rung));
  return rung;
}

void FetchDesk::book(const Fetch& fetch, double sign) {
  double crossing = pathCrossing(fetch.want.links);
  for (const auto& link : fetch.want.links) {
    auto found = books_.find(link);
    if (found == books_.end()) continue;
    found->second.booked = std::max(0.0, found->second.booked + sign * fetch.rate * crossing);
    found->second.waiting = std::max(
        0.0, found->second.waiting + (fetch.arrived ? 0 : sign * fetch.megabytes * crossing));
  }
}

void FetchDesk::refreshBooks(MonotonicTime now) {
  groups_.clear();
  for (std::size_t place = 0; place < plan_.groups.size(); ++place)
    groups_[plan_.groups[place].link] = place;
  for (auto& [link, book] : books_) {
    const LinkTotal* total = notes_.total(link, now);
    book.common = capacityOf(book, total);
    book.others = total == nullptr ? 0 : total->othersRate;
    book.booked = book.waiting = 0;
  }
  for (auto& [stream, fetch] : fetches_) {
    if (!fetch.joined) continue;
    fetch.arrived = fetch.arrived || now - fetch.sent > kUnderWay;
    book(fetch, 1);
  }
}

}  // namespace peppergate
