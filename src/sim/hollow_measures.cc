// Measurements of a whole fleet.
#include "sim/hollow_measures.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace peppergate {
namespace {

constexpr Duration kStep = milliseconds(50);

/// Runs until the condition holds; returns the seconds it took, or nullopt after the time limit.
template <class Condition>
std::optional<double> runUntil(HollowFleet& fleet, Duration bound, Condition condition) {
  MonotonicTime from = fleet.now();
  while (!condition()) {
    if (fleet.now() - from >= bound) return std::nullopt;
    fleet.run(kStep);
  }
  return inSeconds(fleet.now() - from);
}

Json orNull(const std::optional<double>& value) { return value ? Json(*value) : Json(); }

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

std::string basedOn(const HollowFleet& fleet, std::size_t front) {
  return versionText(fleet.member(front).have.setup);
}

/// The costs of all members since its construction, averaged by role.
class RoleCosts {
 public:
  explicit RoleCosts(const HollowFleet& fleet) {
    for (std::size_t index = 0; index < fleet.size(); ++index) before_.push_back(fleet.cost(index));
  }
  Json since(const HollowFleet& fleet, double span) const {
    struct Sum {
      double members = 0, messages = 0, bytes = 0, messagesIn = 0, bytesIn = 0, micros = 0;
      double tick = 0, webCalls = 0, webBytes = 0, worst = 0;
    };
    std::map<std::string, Sum> sums;
    auto primary = fleet.primary();
    auto backups = fleet.backups();
    for (std::size_t index = 0; index < fleet.size(); ++index) {
      const HollowCost& now = fleet.cost(index);
      const HollowCost& then = before_[index];
      bool core = fleet.member(index).role == Role::kCore;
      bool backup = std::ranges::find(backups, index) != backups.end();
      Sum& sum = sums[!core              ? "front"
                      : index == primary ? "primary"
                      : backup           ? "backup"
                                         : "witness"];
      ++sum.members;
      for (std::size_t kind = 0; kind < kMessageKinds; ++kind) {
        sum.messages += static_cast<double>(now.messages[kind] - then.messages[kind]);
        sum.bytes += static_cast<double>(now.bytes[kind] - then.bytes[kind]);
      }
      sum.messagesIn += static_cast<double>(now.messagesIn - then.messagesIn);
      sum.bytesIn += static_cast<double>(now.bytesIn - then.bytesIn);
      sum.micros += now.micros() - then.micros();
      sum.worst = std::max(sum.worst, (now.micros() - then.micros()) / span);
      sum.tick += now.work[0] - then.work[0];
      sum.webCalls += static_cast<double>(now.webCalls - then.webCalls);
      sum.webBytes += static_cast<double>(now.webBytes - then.webBytes);
    }
    Json told = Json::object();
    for (const auto& [role, sum] : sums) {
      double each = sum.members * span;
      told[role] = {{"members", sum.members},          {"messagesOut", sum.messages / each},
                    {"bytesOut", sum.bytes / each},    {"messagesIn", sum.messagesIn / each},
                    {"bytesIn", sum.bytesIn / each},   {"micros", sum.micros / each},
                    {"worstMicros", sum.worst},        {"tickMicros", sum.tick / each},
                    {"webCalls", sum.webCalls / each}, {"webBytes", sum.webBytes / each}};
    }
    return told;
  }

 private:
  std::vector<HollowCost> before_;
};

Json kindsSince(const HollowCost& now, const HollowCost& then, double memberSeconds) {
  Json kinds = Json::object();
  for (std::size_t kind = 0; kind < kMessageKinds; ++kind) {
    auto messages = static_cast<double>(now.messages[kind] - then.messages[kind]);
    if (messages == 0) continue;
    kinds[std::string(messageKindName(kind))] = {
        {"messages", messages / memberSeconds},
        {"bytes", static_cast<double>(now.bytes[kind] - then.bytes[kind]) / memberSeconds},
        {"sendMicros", (now.sending[kind] - then.sending[kind]) / memberSeconds},
        {"takeMicros", (now.taking[kind] - then.taking[kind]) / memberSeconds}};
  }
  return kinds;
}

double bytesSent(const HollowFleet& fleet) {
  double sum = 0;
  for (std::uint64_t bytes : fleet.total().bytes) sum += static_cast<double>(bytes);
  return sum;
}

Json measureChanges(HollowFleet& fleet, const HollowPlan& plan, std::size_t firstFront) {
  Json told{{"inForce", Json::array()},
            {"yes", Json::array()},
            {"bytes", Json::array()},
            {"primaryMicros", Json::array()}};
  std::size_t front = firstFront;
  for (int turn = 0; turn < plan.changes; ++turn) {
    auto leader = fleet.primary();
    double bytes = bytesSent(fleet), micros = leader ? fleet.cost(*leader).micros() : 0;
    MonotonicTime asked = fleet.now();
    fleet.ask(front, changeBody(turn, basedOn(fleet, front)));
    MonotonicTime again = fleet.now() + seconds(1);
    auto took = runUntil(fleet, seconds(20), [&] {
      if (fleet.answered()) return fleet.inForceSince(*fleet.answered()).has_value();
      if (fleet.now() < again || fleet.lastAnswer().empty()) return false;
      again = fleet.now() + seconds(1);  // refused temporarily: operators retry
      fleet.ask(front, changeBody(turn, basedOn(fleet, front)));
      return false;
    });
    if (took) {
      told["inForce"].push_back(inSeconds(*fleet.inForceSince(*fleet.answered()) - asked));
      told["yes"].push_back(inSeconds(fleet.answeredAt() - asked));
    } else {
      told["failed"] = fleet.lastAnswer().substr(0, 200);
    }
    fleet.run(seconds(2));
    told["bytes"].push_back(bytesSent(fleet) - bytes);
    told["primaryMicros"].push_back(leader ? fleet.cost(*leader).micros() - micros : 0);
    told["span"] = inSeconds(fleet.now() - asked);
  }
  return told;
}

Json measureStops(HollowFleet& fleet, const HollowPlan& plan, std::size_t firstFront) {
  std::vector<std::size_t> chosen;
  for (int turn = 0; turn < plan.stops; ++turn)
    chosen.push_back(firstFront + static_cast<std::size_t>(turn) * (fleet.size() - firstFront) /
                                      static_cast<std::size_t>(plan.stops));
  std::size_t before = fleet.noticed().size();
  double bytes = bytesSent(fleet);
  MonotonicTime from = fleet.now();
  for (std::size_t index : chosen) fleet.stop(index);
  std::size_t words = chosen.size() * (fleet.size() - chosen.size());
  auto took =
      runUntil(fleet, seconds(30), [&] { return fleet.noticed().size() - before >= words; });
  std::vector<double> noticed(fleet.noticed().begin() + static_cast<std::ptrdiff_t>(before),
                              fleet.noticed().end());
  Json told{{"stopped", plan.stops},
            {"allNoticed", orNull(took)},
            {"median", quantile(noticed, 0.5)},
            {"last", quantile(noticed, 1)},
            {"bytesASecond", (bytesSent(fleet) - bytes) / inSeconds(fleet.now() - from)}};
  bytes = bytesSent(fleet);
  from = fleet.now();
  for (std::size_t index : chosen) fleet.start(index);
  auto whole = runUntil(fleet, seconds(30), [&] {
    return fleet.whole() && fleet.inForceSince(fleet.member(firstFront + 1).have.setup);
  });
  told["backWhole"] = orNull(whole);
  told["backBytesASecond"] = (bytesSent(fleet) - bytes) / inSeconds(fleet.now() - from);
  return told;
}

Json measureCut(HollowFleet& fleet, const HollowPlan& plan, std::size_t firstFront) {
  double bytes = bytesSent(fleet);
  MonotonicTime from = fleet.now();
  auto zones = plan.cutRegion >= 0 ? fleet.zonesOf(plan.cutRegion) : std::vector{plan.cutZone};
  fleet.cutZones(zones);
  auto leads = runUntil(fleet, plan.cutFor,
                        [&] { return fleet.now() - from > seconds(3) && fleet.primary(); });
  fleet.run(plan.cutFor - (fleet.now() - from));
  Json told{{"zones", zones.size()},
            {"cutFor", inSeconds(plan.cutFor)},
            {"primaryAfter", orNull(leads)},
            {"freshShare", fleet.freshShare()},
            {"bytesASecond", (bytesSent(fleet) - bytes) / inSeconds(plan.cutFor)}};
  bytes = bytesSent(fleet);
  from = fleet.now();
  fleet.cutZones({});
  auto whole = runUntil(fleet, seconds(60), [&] { return fleet.whole(); });
  told["whole"] = orNull(whole);
  told["wholeBytesASecond"] = (bytesSent(fleet) - bytes) / inSeconds(fleet.now() - from);
  told["change"] = measureChanges(fleet, {.changes = 1}, firstFront);
  return told;
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

Json measureFleet(const HollowShape& shape, const HollowPlan& plan) {
  malloc_trim(0);
  double resident = residentBytes(), allocated = allocatedBytes();
  HollowFleet fleet(shape);
  auto firstFront = static_cast<std::size_t>(shape.cores);
  auto members = static_cast<double>(fleet.size());
  Json told{{"fronts", shape.fronts},   {"cores", shape.cores},     {"regions", shape.regions},
            {"zones", shape.zones},     {"engines", shape.engines}, {"keptParts", shape.keptParts},
            {"tenants", shape.tenants}, {"seed", shape.seed}};
  told["firstPrimary"] =
      orNull(runUntil(fleet, seconds(20), [&] { return fleet.primary().has_value(); }));
  fleet.run(seconds(1));
  for (int turn = 0; turn < 5 && !fleet.answered(); ++turn) {
    fleet.ask(firstFront, firstChange(shape.tenants, "1.1"));
    runUntil(fleet, seconds(5), [&] { return fleet.answered().has_value(); });
  }
  if (!fleet.answered()) told["firstChangeFailed"] = fleet.lastAnswer().substr(0, 300);
  told["firstWhole"] = orNull(runUntil(fleet, seconds(30), [&] { return fleet.whole(); }));
  fleet.run(seconds(5));
  HollowCost before = fleet.total();
  RoleCosts roles(fleet);
  std::uint64_t suspected = fleet.counter("members.suspected"), dead = fleet.wronglyDead();
  fleet.run(plan.window);
  double span = inSeconds(plan.window);
  told["kinds"] = kindsSince(fleet.total(), before, members * span);
  told["roles"] = roles.since(fleet, span);
  double wrongly = static_cast<double>(fleet.counter("members.suspected") - suspected);
  told["suspectedWrongly"] = wrongly / (members * span);  // per member and second
  told["deadWrongly"] = static_cast<double>(fleet.wronglyDead() - dead) / (members * span);
  malloc_trim(0);
  told["residentEach"] = (residentBytes() - resident) / members;
  told["allocatedEach"] = (allocatedBytes() - allocated) / members;
  if (plan.changes > 0) told["changes"] = measureChanges(fleet, plan, firstFront);
  if (plan.stops > 0) told["stops"] = measureStops(fleet, plan, firstFront);
  if (plan.cutRegion >= 0 || plan.cutZone >= 0) told["cut"] = measureCut(fleet, plan, firstFront);
  return told;
}

}  // namespace peppergate
