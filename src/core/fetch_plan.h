#pragma once
// The fetch plan of the design, without input or output: groups by congestion ratio, then one
// level for each group, found by the rise, halve and fall search.
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/control_state.h"
#include "core/options.h"

namespace peppergate {

/// One stream's wish to collect parts over some links.
struct PlanStream {
  StreamId stream;
  std::vector<LinkId> links;
  TenantClass tenantClass;
  std::int64_t floorRung = 0;
  std::int64_t topRung = 0;
  double count = 1;  // how many such streams it stands for
};

/// What the plan gives a stream.
struct PlanShare {
  std::int64_t rung = 0;
  LinkId bottleneck;
  double level = 0;
};

struct GroupResult {
  LinkId link;
  double ratio = 0;     // congestion ratio that ranked it
  double capacity = 0;  // left for this group, megabytes a second
  double level = 0;     // the common level
  double total = 0;     // the continuous rates at that level
  std::int64_t rounds = 0;
  bool fits = false;  // whether any level tried fits; else all are at their floors
  std::size_t streams = 0;
};

/// Streams are looked up by their number.
struct StreamIdHash {
  std::size_t operator()(StreamId stream) const { return std::hash<std::uint64_t>{}(stream.value); }
};

struct Plan {
  std::unordered_map<StreamId, PlanShare, StreamIdHash> shares;
  std::vector<GroupResult> groups;  // in the order of their ratios
};

/// The worth of a rate for a class. Example: `worthOf(TenantClass{-0.8, -0.5, 1, 0}, 16) == 0.8`.
double worthOf(const TenantClass& tenantClass, double rate);
/// The rate at a worth: ((worth - c) / a)^(1 / b). Example: `rateAt(tenantClass, 0.8) == 16`.
double rateAt(const TenantClass& tenantClass, double worth);
/// The highest rung between floor and top that is worth no more than the level.
/// Example: `rungUnder(rungs, stream, 0.82)`.
std::int64_t rungUnder(std::span<const Rung> rungs, const PlanStream& stream, double level);

struct LevelSearch {
  double level = 0;
  double total = 0;
  std::int64_t rounds = 0;
  bool fits = false;
};
/// The search itself, over the continuous rates clamped between floor and top.
/// Example: `searchLevel(streams, rungs, 40.0, options).level`.
LevelSearch searchLevel(std::span<const PlanStream* const> streams, std::span<const Rung> rungs,
                        double capacity, const Options& options);
/// The whole plan. Example: `settle(streams, setup.rungs, capacities, options).shares`.
Plan settle(std::span<const PlanStream> streams, std::span<const Rung> rungs,
            const std::map<LinkId, double>& capacities, const Options& options);

}  // namespace peppergate
