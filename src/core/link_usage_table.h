#pragma once
// The link use that all routers report in their usage notifications. Links are numbered, so that
// the time to sum the notifications depends on their contents, not on the number of routers.
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/messages.h"

namespace peppergate {

/// Streams of one kind over one path; links and class by their numbers in the table.
struct StreamKind {
  static constexpr std::size_t kMaxLinks = 4;  // a source, an engine and their racks
  std::array<std::uint32_t, kMaxLinks> links{};
  std::uint32_t linkCount = 0, className = 0;
  std::int64_t floorRung = 0, topRung = 0;
  bool operator==(const StreamKind&) const = default;
  std::span<const std::uint32_t> path() const { return {links.data(), linkCount}; }
};

/// The sums of all routers' notifications for one link.
struct LinkTotal {
  double fractionSum = 0;          // usable fractions, summed over the routers that report one
  std::int64_t fractionCount = 0;  // routers that report one
  double cut = 0;                  // the largest that a router reports
  double othersRate = 0;           // megabytes per second, without this router's own
  double othersDemand = 0;         // the same if all streams were at their top rungs
  double meanFraction(double defaultFraction) const {
    return fractionCount > 0 ? fractionSum / static_cast<double>(fractionCount) : defaultFraction;
  }
};

/// A kind of stream with its count, summed over all routers.
struct StreamKindCount {
  StreamKind kind;
  double count = 0;
};

/// The newest usage notification of each router, with sums over them. Not thread-safe.
class LinkUsageTable {
 public:
  /// Sets this router's own member; its notification is left out of the sums over other routers.
  void setSelf(MemberId self) { self_ = self; }
  /// Replaces a router's notification. Ignores stream kinds whose path is empty or too long.
  void record(const LinkUsageNotification& notification, MonotonicTime now);
  /// Removes notifications that are long out of date.
  void expire(MonotonicTime now);
  /// The totals of a link; null if no router has named it.
  const LinkTotal* total(const LinkId& link, MonotonicTime now) const;
  /// The totals of a link by its number, which must be below the number of links.
  const LinkTotal& total(std::uint32_t link, MonotonicTime now) const;
  /// All kinds of streams with their summed counts; equal notifications give an equal order.
  std::vector<StreamKindCount> streamCounts(MonotonicTime now) const;
  /// Looks a kind of stream up; nothing if its links or class were never reported.
  std::optional<StreamKind> find(const std::vector<LinkId>& path, std::string_view className,
                                 std::int64_t floorRung, std::int64_t topRung) const;
  std::size_t linkCount() const { return links_.names.size(); }
  const std::string& linkName(std::uint32_t number) const { return links_.names[number]; }
  const std::string& className(std::uint32_t number) const { return classes_.names[number]; }

 private:
  /// Assigns consecutive numbers to names, in the order of their first use.
  struct NameTable {
    std::unordered_map<std::string, std::uint32_t> numbers;
    std::vector<std::string> names;
    std::uint32_t numberOf(const std::string& name);
    std::optional<std::uint32_t> find(const std::string& name) const;
  };
  struct Usage {
    std::uint32_t link = 0;
    double rate = 0, demand = 0, fraction = 0, cut = 0;
  };
  struct Report {
    MonotonicTime heard;
    std::vector<Usage> links;
    std::vector<StreamKindCount> streamCounts;
  };
  bool isCurrent(const Report& report, MonotonicTime now) const;
  void refreshTotals(MonotonicTime now) const;
  void clear();

  MemberId self_;
  std::map<MemberId, Report> reports_;
  NameTable links_, classes_;
  // Cache of the totals, rebuilt on access after a change or for another time.
  mutable std::vector<LinkTotal> totals_;
  mutable MonotonicTime totalsAt_ = kNever;
  mutable bool totalsStale_ = true;
};

}  // namespace peppergate
