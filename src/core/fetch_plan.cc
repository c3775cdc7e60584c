#include "core/fetch_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace peppergate {
namespace {

double rungRate(std::span<const Rung> rungs, std::int64_t rung) {
  return rungs[static_cast<std::size_t>(rung)].rate;
}

/// Streams of equal utility curve and rate limits, added up.
struct RateKind {
  TenantClass tenantClass;
  double low = 0, high = 0;  // rates of the floor and of the top rung
  double count = 0;
};

bool sameCurve(const TenantClass& one, const TenantClass& other) {
  return one.a == other.a && one.b == other.b && one.c == other.c;
}

/// Merges streams that the search need not distinguish. There are few kinds however many streams,
/// so each step of the search takes time in proportion to the number of kinds only.
std::vector<RateKind> mergeStreams(std::span<const PlanStream* const> streams,
                                   std::span<const Rung> rungs) {
  std::vector<RateKind> kinds;
  for (const PlanStream* stream : streams) {
    double low = rungRate(rungs, stream->floorRung), high = rungRate(rungs, stream->topRung);
    auto found = std::ranges::find_if(kinds, [&](const RateKind& kind) {
      return kind.low == low && kind.high == high &&
             sameCurve(kind.tenantClass, stream->tenantClass);
    });
    if (found != kinds.end()) found->count += stream->count;
    else kinds.push_back({stream->tenantClass, low, high, stream->count});
  }
  return kinds;
}

double totalAt(std::span<const RateKind> kinds, double level) {
  double total = 0;
  for (const auto& kind : kinds)
    total += kind.count * std::clamp(rateForUtility(kind.tenantClass, level), kind.low, kind.high);
  return total;
}

/// Links and streams by number, so that the plan visits each stream once for each of its links.
struct LinkTable {
  std::vector<const LinkId*> linkNames;
  std::vector<double> demand, remaining;
  std::vector<std::vector<std::uint32_t>> streamsOf;  // by link; each stream once
  std::vector<std::vector<std::uint32_t>> linksOf;    // by stream; each link once

  LinkTable(std::span<const PlanStream> streams, std::span<const Rung> rungs,
            const std::map<LinkId, double>& capacities) {
    std::unordered_map<std::string_view, std::uint32_t> numbers;
    for (std::uint32_t number = 0; number < streams.size(); ++number) {
      const PlanStream& stream = streams[number];
      auto& links = linksOf.emplace_back();
      for (const auto& link : stream.links) {
        auto [found, inserted] =
            numbers.try_emplace(link.value, static_cast<std::uint32_t>(linkNames.size()));
        if (inserted) add(link, capacities);
        demand[found->second] += stream.count * rungRate(rungs, stream.topRung);
        if (std::ranges::find(links, found->second) != links.end()) continue;
        links.push_back(found->second);
        streamsOf[found->second].push_back(number);
      }
    }
  }
  /// Links by falling congestion ratio, and by name where the ratios are equal.
  std::vector<std::uint32_t> byRatio() const {
    std::vector<std::uint32_t> order(linkNames.size());
    std::iota(order.begin(), order.end(), 0U);
    std::ranges::sort(order, [&](std::uint32_t one, std::uint32_t other) {
      double first = ratio(one), second = ratio(other);
      return first != second ? first > second : *linkNames[one] < *linkNames[other];
    });
    return order;
  }
  double ratio(std::uint32_t link) const {
    double capacity = givenCapacity[link];
    return capacity > 0 ? demand[link] / capacity : std::numeric_limits<double>::infinity();
  }

 private:
  std::vector<double> givenCapacity;  // capacities as given, not reduced by earlier groups
  void add(const LinkId& link, const std::map<LinkId, double>& capacities) {
    auto capacity = capacities.find(link);
    linkNames.push_back(&link);
    givenCapacity.push_back(capacity == capacities.end() ? 0 : capacity->second);
    remaining.push_back(givenCapacity.back());
    demand.push_back(0);
    streamsOf.emplace_back();
  }
};

}  // namespace

double utilityOf(const TenantClass& tenantClass, double rate) {
  return tenantClass.a * std::pow(rate, tenantClass.b) + tenantClass.c;
}

double rateForUtility(const TenantClass& tenantClass, double utility) {
  double base = (utility - tenantClass.c) / tenantClass.a;
  // No rate has this utility: it is above the whole curve if b is negative, otherwise below it.
  if (base <= 0) return tenantClass.b < 0 ? std::numeric_limits<double>::infinity() : 0;
  return std::pow(base, 1 / tenantClass.b);
}

std::int64_t highestRungWithin(std::span<const Rung> rungs, const PlanStream& stream,
                               double level) {
  std::int64_t rung = stream.floorRung;
  while (rung < stream.topRung &&
         utilityOf(stream.tenantClass, rungRate(rungs, rung + 1)) <= level + 1e-12)
    ++rung;
  return rung;
}

LevelSearch searchLevel(std::span<const PlanStream* const> streams, std::span<const Rung> rungs,
                        double capacity, const Options& options) {
  double lowest = std::numeric_limits<double>::infinity();
  double highest = -lowest;
  for (const PlanStream* stream : streams) {
    lowest = std::min(lowest, utilityOf(stream->tenantClass, rungRate(rungs, stream->floorRung)));
    highest = std::max(highest, utilityOf(stream->tenantClass, rungRate(rungs, stream->topRung)));
  }
  auto kinds = mergeStreams(streams, rungs);
  LevelSearch search;
  search.level = lowest;  // if no level fits, every stream is at its floor rung
  search.total = totalAt(kinds, lowest);
  double level = (lowest + highest) / 2;
  double step = (highest - lowest) / 2;
  double tolerance = options.levelTolerance / options.rateUnit;
  while (search.rounds < options.levelRounds) {
    ++search.rounds;
    double total = totalAt(kinds, level);
    if (total <= capacity && (!search.fits || level > search.level)) {
      search.fits = true;
      search.level = level;
      search.total = total;
    }
    if (std::abs(capacity - total) <= tolerance && total <= capacity) break;
    if (total < capacity) {
      if (level >= highest) break;  // all streams are at their top rungs
      level = std::min(level + step, highest);
    } else {
      step /= 2;
      level -= step;
    }
  }
  return search;
}

FetchPlan computeFetchPlan(std::span<const PlanStream> streams, std::span<const Rung> rungs,
                           const std::map<LinkId, double>& capacities, const Options& options) {
  FetchPlan plan;
  if (rungs.empty()) return plan;
  LinkTable table(streams, rungs, capacities);
  std::vector<bool> grouped(streams.size(), false);
  plan.shares.reserve(streams.size());
  for (std::uint32_t link : table.byRatio()) {
    std::vector<std::uint32_t> members;
    std::vector<const PlanStream*> group;
    for (std::uint32_t number : table.streamsOf[link]) {
      if (grouped[number]) continue;
      members.push_back(number);
      group.push_back(&streams[number]);
    }
    if (group.empty()) continue;
    LevelSearch search = searchLevel(group, rungs, table.remaining[link], options);
    for (std::uint32_t number : members) {
      const PlanStream& stream = streams[number];
      std::int64_t rung = highestRungWithin(rungs, stream, search.level);
      plan.shares[stream.stream] = {rung, *table.linkNames[link], search.level};
      grouped[number] = true;
      // Subtract its rate from the other links that it crosses.
      for (std::uint32_t crossed : table.linksOf[number])
        if (crossed != link)
          table.remaining[crossed] =
              std::max(0.0, table.remaining[crossed] - stream.count * rungRate(rungs, rung));
    }
    plan.groups.push_back({*table.linkNames[link], table.ratio(link), table.remaining[link],
                           search.level, search.total, search.rounds, search.fits, group.size()});
  }
  return plan;
}

}  // namespace peppergate
