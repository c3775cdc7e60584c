#pragma once
// The fetch plan as a pure computation: streams are grouped by their most congested link, and a
// search finds one utility level that the streams of a group share. The search raises the level by
// a fixed step while the group fits its link, and halves the step and lowers it while it does not.
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/control_state.h"
#include "core/options.h"

namespace peppergate {

/// The demand of one stream that fetches prompt parts over some links.
struct PlanStream {
  StreamId stream;
  std::vector<LinkId> links;
  TenantClass tenantClass;
  std::int64_t floorRung = 0;
  std::int64_t topRung = 0;
  double count = 1;  // how many such streams it represents
};

/// The plan's result for one stream.
struct PlanShare {
  std::int64_t rung = 0;
  LinkId bottleneck;
  double level = 0;
};

/// The streams that share a bottleneck link, and the level found for them.
struct GroupResult {
  LinkId link;
  double ratio = 0;     // congestion ratio: demand at the top rungs / capacity
  double capacity = 0;  // left for this group, megabytes per second
  double level = 0;     // the common utility level
  double total = 0;     // sum of the continuous rates at that level
  std::int64_t rounds = 0;
  bool fits = false;  // whether some level fits; otherwise all streams are at their floor rungs
  std::size_t streams = 0;
};

/// Hashes a stream by its number.
struct StreamIdHash {
  std::size_t operator()(StreamId stream) const { return std::hash<std::uint64_t>{}(stream.value); }
};

/// A rung for each stream, and the groups that they were computed in.
struct FetchPlan {
  std::unordered_map<StreamId, PlanShare, StreamIdHash> shares;
  std::vector<GroupResult> groups;  // by falling congestion ratio
};

/// The utility of a rate for a class. Example: `utilityOf(TenantClass{-0.8, -0.5, 1, 0}, 16) ==
/// 0.8`.
double utilityOf(const TenantClass& tenantClass, double rate);
/// The rate with a given utility: ((utility - c) / a)^(1 / b).
/// Example: `rateAt(tenantClass, 0.8) == 16`.
double rateForUtility(const TenantClass& tenantClass, double utility);
/// The highest rung between the stream's floor and top whose utility does not exceed the level.
std::int64_t highestRungWithin(std::span<const Rung> rungs, const PlanStream& stream, double level);

/// The outcome of a level search.
struct LevelSearch {
  double level = 0;
  double total = 0;
  std::int64_t rounds = 0;
  bool fits = false;
};
/// Searches for the highest level whose continuous rates, clamped between floor and top, fit the
/// capacity.
LevelSearch searchLevel(std::span<const PlanStream* const> streams, std::span<const Rung> rungs,
                        double capacity, const Options& options);
/// Computes the plan: one level for each group of streams, and a rung for each stream.
FetchPlan computeFetchPlan(std::span<const PlanStream> streams, std::span<const Rung> rungs,
                           const std::map<LinkId, double>& capacities, const Options& options);

}  // namespace peppergate
