// Measurements of a whole fleet.
#include "sim/fleet_measurements.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace peppergate {
namespace {

constexpr Duration kPollInterval = milliseconds(50);

/// Runs until the condition holds; returns the seconds it took, or nullopt after the time limit.
template <class Condition>
std::optional<double> runUntil(MeasurementFleet& fleet, Duration bound, Condition condition) {
  MonotonicTime from = fleet.now();
  while (!condition()) {
    if (fleet.now() - from >= bound) return std::nullopt;
    fleet.run(kPollInterval);
  }
  return inSeconds(fleet.now() - from);
}

Json orNull(const std::optional<double>& value) { return value ? Json(*value) : Json(); }

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

std::string basedOn(const MeasurementFleet& fleet, std::size_t router) {
  return versionText(fleet.member(router).installedVersions.setup);
}

/// The costs of all members since its construction, averaged by role.
class RoleCosts {
 public:
  explicit RoleCosts(const MeasurementFleet& fleet) {
    for (std::size_t index = 0; index < fleet.size(); ++index) before_.push_back(fleet.cost(index));
  }
  Json averagesSince(const MeasurementFleet& fleet, double span) const {
    struct Sum {
      double members = 0, messages = 0, bytes = 0, messagesIn = 0, bytesIn = 0, micros = 0;
      double tick = 0, httpCalls = 0, httpBytes = 0, worst = 0;
    };
    std::map<std::string, Sum> sums;
    auto leader = fleet.leaderIndex();
    auto backups = fleet.backupIndices();
    for (std::size_t index = 0; index < fleet.size(); ++index) {
      const MemberCost& now = fleet.cost(index);
      const MemberCost& then = before_[index];
      bool core = fleet.member(index).role == Role::kCore;
      bool backup = std::ranges::find(backups, index) != backups.end();
      Sum& sum = sums[!core             ? "front"
                      : index == leader ? "primary"
                      : backup          ? "backup"
                                        : "witness"];
      ++sum.members;
      for (std::size_t kind = 0; kind < kMessageKinds; ++kind) {
        sum.messages += static_cast<double>(now.messagesOut[kind] - then.messagesOut[kind]);
        sum.bytes += static_cast<double>(now.bytesOut[kind] - then.bytesOut[kind]);
      }
      sum.messagesIn += static_cast<double>(now.messagesIn - then.messagesIn);
      sum.bytesIn += static_cast<double>(now.bytesIn - then.bytesIn);
      sum.micros += now.totalMicros() - then.totalMicros();
      sum.worst = std::max(sum.worst, (now.totalMicros() - then.totalMicros()) / span);
      sum.tick += now.workMicros[0] - then.workMicros[0];
      sum.httpCalls += static_cast<double>(now.httpCalls - then.httpCalls);
      sum.httpBytes += static_cast<double>(now.httpBytes - then.httpBytes);
    }
    Json figures = Json::object();
    for (const auto& [role, sum] : sums) {
      double memberSeconds = sum.members * span;
      figures[role] = {{"members", sum.members},
                       {"messagesOut", sum.messages / memberSeconds},
                       {"bytesOut", sum.bytes / memberSeconds},
                       {"messagesIn", sum.messagesIn / memberSeconds},
                       {"bytesIn", sum.bytesIn / memberSeconds},
                       {"micros", sum.micros / memberSeconds},
                       {"worstMicros", sum.worst},
                       {"tickMicros", sum.tick / memberSeconds},
                       {"webCalls", sum.httpCalls / memberSeconds},
                       {"webBytes", sum.httpBytes / memberSeconds}};
    }
    return figures;
  }

 private:
  std::vector<MemberCost> before_;
};

Json costsByKind(const MemberCost& now, const MemberCost& then, double memberSeconds) {
  Json kinds = Json::object();
  for (std::size_t kind = 0; kind < kMessageKinds; ++kind) {
    auto messages = static_cast<double>(now.messagesOut[kind] - then.messagesOut[kind]);
    if (messages == 0) continue;
    kinds[std::string(messageKindName(kind))] = {
        {"messages", messages / memberSeconds},
        {"bytes", static_cast<double>(now.bytesOut[kind] - then.bytesOut[kind]) / memberSeconds},
        {"sendMicros", (now.encodeMicros[kind] - then.encodeMicros[kind]) / memberSeconds},
        {"takeMicros", (now.handleMicros[kind] - then.handleMicros[kind]) / memberSeconds}};
  }
  return kinds;
}

double bytesSent(const MeasurementFleet& fleet) {
  double sum = 0;
  for (std::uint64_t bytes : fleet.total().bytesOut) sum += static_cast<double>(bytes);
  return sum;
}

Json measureChanges(MeasurementFleet& fleet, const MeasurementPlan& plan, std::size_t firstRouter) {
  Json figures{{"inForce", Json::array()},
               {"yes", Json::array()},
               {"bytes", Json::array()},
               {"primaryMicros", Json::array()}};
  std::size_t router = firstRouter;
  for (int turn = 0; turn < plan.changes; ++turn) {
    auto leader = fleet.leaderIndex();
    double bytes = bytesSent(fleet), micros = leader ? fleet.cost(*leader).totalMicros() : 0;
    MonotonicTime requestedAt = fleet.now();
    fleet.requestChange(router, addTenantChange(turn, basedOn(fleet, router)));
    MonotonicTime retryAt = fleet.now() + seconds(1);
    auto elapsed = runUntil(fleet, seconds(20), [&] {
      if (fleet.acknowledgedVersion())
        return fleet.installedEverywhereAt(*fleet.acknowledgedVersion()).has_value();
      if (fleet.now() < retryAt || fleet.lastReply().empty()) return false;
      retryAt = fleet.now() + seconds(1);  // refused temporarily: operators retry
      fleet.requestChange(router, addTenantChange(turn, basedOn(fleet, router)));
      return false;
    });
    if (elapsed) {
      figures["inForce"].push_back(
          inSeconds(*fleet.installedEverywhereAt(*fleet.acknowledgedVersion()) - requestedAt));
      figures["yes"].push_back(inSeconds(fleet.acknowledgedAt() - requestedAt));
    } else {
      figures["failed"] = fleet.lastReply().substr(0, 200);
    }
    fleet.run(seconds(2));
    figures["bytes"].push_back(bytesSent(fleet) - bytes);
    figures["primaryMicros"].push_back(leader ? fleet.cost(*leader).totalMicros() - micros : 0);
    figures["span"] = inSeconds(fleet.now() - requestedAt);
  }
  return figures;
}

Json measureStops(MeasurementFleet& fleet, const MeasurementPlan& plan, std::size_t firstRouter) {
  std::vector<std::size_t> chosen;
  for (int turn = 0; turn < plan.stoppedRouters; ++turn)
    chosen.push_back(firstRouter + static_cast<std::size_t>(turn) * (fleet.size() - firstRouter) /
                                       static_cast<std::size_t>(plan.stoppedRouters));
  std::size_t before = fleet.detectionSeconds().size();
  double bytes = bytesSent(fleet);
  MonotonicTime from = fleet.now();
  for (std::size_t index : chosen) fleet.stop(index);
  std::size_t expectedDetections = chosen.size() * (fleet.size() - chosen.size());
  auto elapsed = runUntil(fleet, seconds(30), [&] {
    return fleet.detectionSeconds().size() - before >= expectedDetections;
  });
  std::vector<double> detections(
      fleet.detectionSeconds().begin() + static_cast<std::ptrdiff_t>(before),
      fleet.detectionSeconds().end());
  Json figures{{"stopped", plan.stoppedRouters},
               {"allNoticed", orNull(elapsed)},
               {"median", quantile(detections, 0.5)},
               {"last", quantile(detections, 1)},
               {"bytesASecond", (bytesSent(fleet) - bytes) / inSeconds(fleet.now() - from)}};
  bytes = bytesSent(fleet);
  from = fleet.now();
  for (std::size_t index : chosen) fleet.start(index);
  auto recovered = runUntil(fleet, seconds(30), [&] {
    return fleet.membershipConverged() &&
           fleet.installedEverywhereAt(fleet.member(firstRouter + 1).installedVersions.setup);
  });
  figures["backWhole"] = orNull(recovered);
  figures["backBytesASecond"] = (bytesSent(fleet) - bytes) / inSeconds(fleet.now() - from);
  return figures;
}

Json measurePartition(MeasurementFleet& fleet, const MeasurementPlan& plan,
                      std::size_t firstRouter) {
  double bytes = bytesSent(fleet);
  MonotonicTime from = fleet.now();
  auto zones = plan.partitionedRegion >= 0 ? fleet.zonesOf(plan.partitionedRegion)
                                           : std::vector{plan.partitionedZone};
  fleet.partitionZones(zones);
  auto leaderElected = runUntil(fleet, plan.partitionTime, [&] {
    return fleet.now() - from > seconds(3) && fleet.leaderIndex();
  });
  fleet.run(plan.partitionTime - (fleet.now() - from));
  Json figures{{"zones", zones.size()},
               {"cutFor", inSeconds(plan.partitionTime)},
               {"primaryAfter", orNull(leaderElected)},
               {"freshShare", fleet.freshRouterShare()},
               {"bytesASecond", (bytesSent(fleet) - bytes) / inSeconds(plan.partitionTime)}};
  bytes = bytesSent(fleet);
  from = fleet.now();
  fleet.partitionZones({});
  auto converged = runUntil(fleet, seconds(60), [&] { return fleet.membershipConverged(); });
  figures["whole"] = orNull(converged);
  figures["wholeBytesASecond"] = (bytesSent(fleet) - bytes) / inSeconds(fleet.now() - from);
  figures["change"] = measureChanges(fleet, {.changes = 1}, firstRouter);
  return figures;
}

}  // namespace

double residentBytes() {
  std::ifstream file("/proc/self/statm");
  double size = 0, resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double allocatedBytes() {
  auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

Json measureFleet(const MeasurementFleetOptions& fleetOptions, const MeasurementPlan& plan) {
  malloc_trim(0);
  double resident = residentBytes(), allocated = allocatedBytes();
  MeasurementFleet fleet(fleetOptions);
  auto firstRouter = static_cast<std::size_t>(fleetOptions.cores);
  auto members = static_cast<double>(fleet.size());
  Json figures{{"fronts", fleetOptions.routers},  {"cores", fleetOptions.cores},
               {"regions", fleetOptions.regions}, {"zones", fleetOptions.zones},
               {"engines", fleetOptions.engines}, {"keptParts", fleetOptions.cachedBlocksPerEngine},
               {"tenants", fleetOptions.tenants}, {"seed", fleetOptions.seed}};
  figures["firstPrimary"] =
      orNull(runUntil(fleet, seconds(20), [&] { return fleet.leaderIndex().has_value(); }));
  fleet.run(seconds(1));
  for (int turn = 0; turn < 5 && !fleet.acknowledgedVersion(); ++turn) {
    fleet.requestChange(firstRouter, initialChange(fleetOptions.tenants, "1.1"));
    runUntil(fleet, seconds(5), [&] { return fleet.acknowledgedVersion().has_value(); });
  }
  if (!fleet.acknowledgedVersion()) figures["firstChangeFailed"] = fleet.lastReply().substr(0, 300);
  figures["firstWhole"] =
      orNull(runUntil(fleet, seconds(30), [&] { return fleet.membershipConverged(); }));
  fleet.run(seconds(5));
  MemberCost before = fleet.total();
  RoleCosts roles(fleet);
  std::uint64_t suspectedBefore = fleet.counter("members.suspected"),
                falseDeathsBefore = fleet.falseDeaths();
  fleet.run(plan.window);
  double span = inSeconds(plan.window);
  figures["kinds"] = costsByKind(fleet.total(), before, members * span);
  figures["roles"] = roles.averagesSince(fleet, span);
  double falseSuspicions =
      static_cast<double>(fleet.counter("members.suspected") - suspectedBefore);
  figures["suspectedWrongly"] = falseSuspicions / (members * span);  // per member and second
  figures["deadWrongly"] =
      static_cast<double>(fleet.falseDeaths() - falseDeathsBefore) / (members * span);
  malloc_trim(0);
  figures["residentEach"] = (residentBytes() - resident) / members;
  figures["allocatedEach"] = (allocatedBytes() - allocated) / members;
  if (plan.changes > 0) figures["changes"] = measureChanges(fleet, plan, firstRouter);
  if (plan.stoppedRouters > 0) figures["stops"] = measureStops(fleet, plan, firstRouter);
  if (plan.partitionedRegion >= 0 || plan.partitionedZone >= 0)
    figures["cut"] = measurePartition(fleet, plan, firstRouter);
  return figures;
}

}  // namespace peppergate
