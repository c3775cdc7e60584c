#include "core/link_usage_table.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr Duration kReportLifetime = seconds(3);  // a notification is in use from its arrival
constexpr Duration kReportRetention = seconds(6);
constexpr std::size_t kMaxNames = 8192;  // the table is cleared above: new engines bring new names

struct StreamKindHash {
  std::size_t operator()(const StreamKind& kind) const {
    std::uint64_t hash = kind.className + 31 * static_cast<std::uint64_t>(kind.topRung) +
                         1009 * static_cast<std::uint64_t>(kind.floorRung);
    for (std::uint32_t link : kind.path()) hash = (hash ^ link) * 0x9e3779b97f4a7c15ULL;
    return hash ^ (hash >> 32);
  }
};

}  // namespace

std::uint32_t LinkUsageTable::NameTable::numberOf(const std::string& name) {
  auto [found, inserted] = numbers.try_emplace(name, static_cast<std::uint32_t>(names.size()));
  if (inserted) names.push_back(name);
  return found->second;
}

std::optional<std::uint32_t> LinkUsageTable::NameTable::find(const std::string& name) const {
  auto found = numbers.find(name);
  if (found == numbers.end()) return std::nullopt;
  return found->second;
}

void LinkUsageTable::record(const LinkUsageNotification& notification, MonotonicTime now) {
  if (links_.names.size() > kMaxNames) clear();
  Report& report = reports_[notification.router];
  report.heard = now;
  report.links.clear();
  report.streamCounts.clear();
  for (const auto& usage : notification.links)
    report.links.push_back({links_.numberOf(usage.link.value), usage.rate, usage.demand,
                            usage.usableFraction, usage.capacityReduction});
  for (const auto& mix : notification.streamMixes) {
    if (mix.path.empty() || mix.path.size() > StreamKind::kMaxLinks) continue;
    StreamKindCount kindCount;
    for (const auto& link : mix.path)
      kindCount.kind.links[kindCount.kind.linkCount++] = links_.numberOf(link.value);
    kindCount.kind.className = classes_.numberOf(mix.className);
    kindCount.kind.floorRung = mix.floorRung;
    kindCount.kind.topRung = mix.topRung;
    kindCount.count = mix.count;
    report.streamCounts.push_back(kindCount);
  }
  totalsStale_ = true;
}

// Routers repeat their notifications within a second or two; until then the plan has fewer of them.
void LinkUsageTable::clear() {
  reports_.clear();
  links_ = {};
  classes_ = {};
  totalsStale_ = true;
}

void LinkUsageTable::expire(MonotonicTime now) {
  std::size_t erased = std::erase_if(
      reports_, [&](const auto& entry) { return now - entry.second.heard > kReportRetention; });
  if (erased > 0) totalsStale_ = true;
}

bool LinkUsageTable::isCurrent(const Report& report, MonotonicTime now) const {
  return now - report.heard <= kReportLifetime;
}

void LinkUsageTable::refreshTotals(MonotonicTime now) const {
  if (!totalsStale_ && totalsAt_ == now) return;
  totals_.assign(links_.names.size(), {});
  for (const auto& [member, report] : reports_) {
    if (!isCurrent(report, now)) continue;
    for (const auto& usage : report.links) {
      LinkTotal& total = totals_[usage.link];
      if (usage.fraction > 0) {
        total.fractionSum += usage.fraction;
        ++total.fractionCount;
      }
      total.cut = std::max(total.cut, usage.cut);
      if (member == self_) continue;
      total.othersRate += usage.rate;
      total.othersDemand += usage.demand;
    }
  }
  totalsAt_ = now;
  totalsStale_ = false;
}

const LinkTotal* LinkUsageTable::total(const LinkId& link, MonotonicTime now) const {
  auto number = links_.find(link.value);
  return number ? &total(*number, now) : nullptr;
}

const LinkTotal& LinkUsageTable::total(std::uint32_t link, MonotonicTime now) const {
  refreshTotals(now);
  return totals_[link];
}

std::vector<StreamKindCount> LinkUsageTable::streamCounts(MonotonicTime now) const {
  std::vector<StreamKindCount> counts;
  std::unordered_map<StreamKind, std::size_t, StreamKindHash> indexes;
  for (const auto& [member, report] : reports_) {
    if (!isCurrent(report, now)) continue;
    for (const auto& kindCount : report.streamCounts) {
      auto [index, inserted] = indexes.try_emplace(kindCount.kind, counts.size());
      if (inserted) counts.push_back(kindCount);
      else counts[index->second].count += kindCount.count;
    }
  }
  return counts;
}

std::optional<StreamKind> LinkUsageTable::find(const std::vector<LinkId>& path,
                                               std::string_view className, std::int64_t floorRung,
                                               std::int64_t topRung) const {
  if (path.empty() || path.size() > StreamKind::kMaxLinks) return std::nullopt;
  StreamKind kind;
  for (const auto& link : path) {
    auto number = links_.find(link.value);
    if (!number) return std::nullopt;
    kind.links[kind.linkCount++] = *number;
  }
  auto number = classes_.find(std::string(className));
  if (!number) return std::nullopt;
  kind.className = *number;
  kind.floorRung = floorRung;
  kind.topRung = topRung;
  return kind;
}

}  // namespace peppergate
