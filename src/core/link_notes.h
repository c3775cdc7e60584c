#pragma once
// What all routers noted of their use of links. Links are numbered, so that adding the notes up
// costs in proportion to what they hold, however many routers there are.
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

/// Streams of one kind over one path, in the numbers of `LinkNotes`.
struct MixNumbers {
  static constexpr std::size_t kMostLinks = 4;  // a source, an engine and the racks of both
  std::array<std::uint32_t, kMostLinks> links{};
  std::uint32_t linkCount = 0, className = 0;
  std::int64_t floorRung = 0, topRung = 0;
  bool operator==(const MixNumbers&) const = default;
  std::span<const std::uint32_t> path() const { return {links.data(), linkCount}; }
};

/// What is noted of one link by all routers together.
struct LinkTotal {
  double fractions = 0;     // summed over the routers that note one
  std::int64_t notes = 0;   // how many do
  double cut = 0;           // the deepest
  double othersRate = 0;    // megabytes a second, without this router's own
  double othersDemand = 0;  // the same at the top rungs
  double meanFraction(double otherwise) const {
    return notes > 0 ? fractions / static_cast<double>(notes) : otherwise;
  }
};

/// A kind of stream with its count over all routers.
struct NotedMix {
  MixNumbers numbers;
  double count = 0;
};

/// One table of notes; each router's newest replaces its last one. Not thread-safe.
class LinkNotes {
 public:
  /// This router's own member, whose note doesn't count among the others'.
  void setSelf(MemberId self) { self_ = self; }
  /// Takes a note. Mixes with an empty path, or one that is too long, are left out.
  void hear(const UsageNotification& note, MonotonicTime now);
  /// Forgets notes that are too old to count.
  void expire(MonotonicTime now);
  /// The totals of a link; nothing if no note that counts now names it.
  const LinkTotal* total(const LinkId& link, MonotonicTime now) const;
  /// The same by number, for links up to `linkCount`.
  const LinkTotal& total(std::uint32_t link, MonotonicTime now) const;
  /// All kinds of streams with their summed counts, in an order that equal notes make equal.
  std::vector<NotedMix> mixes(MonotonicTime now) const;
  /// The numbers of a kind of stream; nothing if its links or class were never noted.
  std::optional<MixNumbers> find(const std::vector<LinkId>& path, std::string_view className,
                                 std::int64_t floorRung, std::int64_t topRung) const;
  std::size_t linkCount() const { return links_.names.size(); }
  const std::string& linkName(std::uint32_t number) const { return links_.names[number]; }
  const std::string& className(std::uint32_t number) const { return classes_.names[number]; }

 private:
  /// Texts by number, in the order in which they came.
  struct Names {
    std::unordered_map<std::string, std::uint32_t> numbers;
    std::vector<std::string> names;
    std::uint32_t numberOf(const std::string& name);
    std::optional<std::uint32_t> find(const std::string& name) const;
  };
  struct Usage {
    std::uint32_t link = 0;
    double rate = 0, demand = 0, fraction = 0, cut = 0;
  };
  struct Note {
    MonotonicTime heard;
    std::vector<Usage> links;
    std::vector<NotedMix> mixes;
  };
  bool counts(const Note& note, MonotonicTime now) const;
  void refreshTotals(MonotonicTime now) const;
  void renumber();

  MemberId self_;
  std::map<MemberId, Note> notes_;
  Names links_, classes_;
  // Made when asked for, and made anew after a change or at another time.
  mutable std::vector<LinkTotal> totals_;
  mutable MonotonicTime totalsAt_ = kNever;
  mutable bool totalsStale_ = true;
};

}  // namespace peppergate
