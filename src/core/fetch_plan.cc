#include "core/fetch_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace peppergate {
namespace {

double rungRate(std::span<const Rung> rungs, std::int64_t rung) {
  return rungs[static_cast<std::size_t>(rung)].rate;
}

double totalAt(std::span<const PlanStream* const> streams, std::span<const Rung> rungs,
               double level) {
  double total = 0;
  for (const PlanStream* stream : streams) {
    double low = rungRate(rungs, stream->floorRung);
    double high = rungRate(rungs, stream->topRung);
    total += stream->count * std::clamp(rateAt(stream->tenantClass, level), low, high);
  }
  return total;
}

struct LinkRank {
  LinkId link;
  double ratio;
};

std::vector<LinkRank> rankLinks(std::span<const PlanStream> streams, std::span<const Rung> rungs,
                                const std::map<LinkId, double>& capacities) {
  std::map<LinkId, double> wanted;
  for (const auto& stream : streams)
    for (const auto& link : stream.links)
      wanted[link] += stream.count * rungRate(rungs, stream.topRung);
  std::vector<LinkRank> ranks;
  for (const auto& [link, rate] : wanted) {
    auto capacity = capacities.find(link);
    double room = capacity == capacities.end() ? 0 : capacity->second;
    ranks.push_back({link, room > 0 ? rate / room : std::numeric_limits<double>::infinity()});
  }
  std::ranges::stable_sort(ranks, std::greater{}, &LinkRank::ratio);
  return ranks;
}

}  // namespace

double worthOf(const TenantClass& tenantClass, double rate) {
  return tenantClass.a * std::pow(rate, tenantClass.b) + tenantClass.c;
}

double rateAt(const TenantClass& tenantClass, double worth) {
  double base = (worth - tenantClass.c) / tenantClass.a;
  // Beyond the end of the curve there is no rate: above it endless, below it none.
  if (base <= 0) return tenantClass.b < 0 ? std::numeric_limits<double>::infinity() : 0;
  return std::pow(base, 1 / tenantClass.b);
}

std::int64_t rungUnder(std::span<const Rung> rungs, const PlanStream& stream, double level) {
  std::int64_t rung = stream.floorRung;
  while (rung < stream.topRung &&
         worthOf(stream.tenantClass, rungRate(rungs, rung + 1)) <= level + 1e-12)
    ++rung;
  return rung;
}

LevelSearch searchLevel(std::span<const PlanStream* const> streams, std::span<const Rung> rungs,
                        double capacity, const Options& options) {
  double lowest = std::numeric_limits<double>::infinity();
  double highest = -lowest;
  for (const PlanStream* stream : streams) {
    lowest = std::min(lowest, worthOf(stream->tenantClass, rungRate(rungs, stream->floorRung)));
    highest = std::max(highest, worthOf(stream->tenantClass, rungRate(rungs, stream->topRung)));
  }
  LevelSearch search;
  search.level = lowest;  // where nothing fits, every stream is at its floor
  search.total = totalAt(streams, rungs, lowest);
  double level = (lowest + highest) / 2;
  double step = (highest - lowest) / 2;
  double tolerance = options.levelTolerance / options.rateUnit;
  while (search.rounds < options.levelRounds) {
    ++search.rounds;
    double total = totalAt(streams, rungs, level);
    if (total <= capacity && (!search.fits || level > search.level)) {
      search.fits = true;
      search.level = level;
      search.total = total;
    }
    if (std::abs(capacity - total) <= tolerance && total <= capacity) break;
    if (total < capacity) {
      if (level >= highest) break;  // all are at their tops
      level = std::min(level + step, highest);
    } else {
      step /= 2;
      level -= step;
    }
  }
  return search;
}

Plan settle(std::span<const PlanStream> streams, std::span<const Rung> rungs,
            const std::map<LinkId, double>& capacities, const Options& options) {
  Plan plan;
  if (rungs.empty()) return plan;
  std::map<LinkId, double> room = capacities;
  std::set<StreamId> grouped;
  for (const LinkRank& rank : rankLinks(streams, rungs, capacities)) {
    std::vector<const PlanStream*> group;
    for (const auto& stream : streams)
      if (!grouped.contains(stream.stream) &&
          std::ranges::find(stream.links, rank.link) != stream.links.end())
        group.push_back(&stream);
    if (group.empty()) continue;
    LevelSearch search = searchLevel(group, rungs, room[rank.link], options);
    for (const PlanStream* stream : group) {
      std::int64_t rung = rungUnder(rungs, *stream, search.level);
      plan.shares[stream->stream] = {rung, rank.link, search.level};
      grouped.insert(stream->stream);
      // A link crossed twice is counted once; its rate comes off all other links.
      std::set<LinkId> crossed(stream->links.begin(), stream->links.end());
      for (const auto& link : crossed)
        if (link != rank.link)
          room[link] = std::max(0.0, room[link] - stream->count * rungRate(rungs, rung));
    }
    plan.groups.push_back({rank.link, rank.ratio, room[rank.link], search.level, search.total,
                           search.rounds, search.fits, group.size()});
  }
  return plan;
}

}  // namespace peppergate
