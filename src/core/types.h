#pragma once
// Strong types for ids, versions and times, which the compiler keeps from being mixed up.
#include <compare>
#include <cstdint>
#include <string>

namespace peppergate {

/// A value that is distinguished from others of the same representation by its tag.
template <class Tag, class Representation>
struct Tagged {
  Representation value{};
  auto operator<=>(const Tagged&) const = default;
};

using Epoch = Tagged<struct EpochTag, std::uint64_t>;
using Sequence = Tagged<struct SequenceTag, std::uint64_t>;
using MemberId = Tagged<struct MemberIdTag, std::uint64_t>;  // one run of one process
using CoreId = Tagged<struct CoreIdTag, std::uint64_t>;      // one disk of one core machine
using WeightsVersion = Tagged<struct WeightsTag, std::uint64_t>;
using EngineLife = Tagged<struct EngineLifeTag, std::uint64_t>;  // one run of one engine
using ListVersion = Tagged<struct ListVersionTag, std::uint64_t>;
using StreamId = Tagged<struct StreamIdTag, std::uint64_t>;
using StreamAttemptId = Tagged<struct StreamAttemptIdTag, std::uint64_t>;
using TicketId = Tagged<struct TicketIdTag, std::uint64_t>;
using PieceIndex = Tagged<struct PieceIndexTag, std::uint64_t>;
using Address = Tagged<struct AddressTag, std::string>;  // "127.0.0.1:7001"
using Zone = Tagged<struct ZoneTag, std::string>;
using EngineId = Tagged<struct EngineIdTag, std::string>;
using TenantId = Tagged<struct TenantIdTag, std::string>;
using CacheDomain = Tagged<struct CacheDomainTag, std::string>;
using KeyDigest = Tagged<struct KeyDigestTag, std::string>;  // never the key itself
using PrefixBlockName = Tagged<struct PrefixBlockNameTag, std::string>;
using LinkId = Tagged<struct LinkIdTag, std::string>;

/// A duration in microseconds.
struct Duration {
  std::int64_t microseconds = 0;
  auto operator<=>(const Duration&) const = default;
  constexpr Duration operator+(Duration other) const { return {microseconds + other.microseconds}; }
  constexpr Duration operator-(Duration other) const { return {microseconds - other.microseconds}; }
  constexpr Duration operator*(double factor) const {
    return {static_cast<std::int64_t>(static_cast<double>(microseconds) * factor)};
  }
};

constexpr Duration milliseconds(std::int64_t count) { return {count * 1000}; }
constexpr Duration seconds(double count) { return {static_cast<std::int64_t>(count * 1e6)}; }
constexpr double inSeconds(Duration duration) {
  return static_cast<double>(duration.microseconds) / 1e6;
}
/// The duration in milliseconds, truncated.
constexpr std::int64_t inMilliseconds(Duration duration) { return duration.microseconds / 1000; }

/// A point on the machine's monotonic boot clock; not comparable between machines.
struct MonotonicTime {
  std::int64_t microseconds = 0;
  auto operator<=>(const MonotonicTime&) const = default;
  constexpr MonotonicTime operator+(Duration d) const { return {microseconds + d.microseconds}; }
  constexpr MonotonicTime operator-(Duration d) const { return {microseconds - d.microseconds}; }
  constexpr Duration operator-(MonotonicTime other) const {
    return {microseconds - other.microseconds};
  }
};
/// Earlier than any event; marks an event that never happened.
inline constexpr MonotonicTime kNever{-1'000'000'000'000};

/// Later than any event.
inline constexpr MonotonicTime kForever{INT64_MAX};

/// The position of a state in the history of changes, ordered by epoch, then by sequence number.
struct SectionVersion {
  Epoch epoch;
  Sequence sequence;
  auto operator<=>(const SectionVersion&) const = default;
  template <class Self, class Visitor>
  static void visit(Self& self, Visitor& visitor) {
    visitor("epoch", self.epoch);
    visitor("sequence", self.sequence);
  }
};

/// The version as "EPOCH.SEQUENCE", as in the operators' API.
inline std::string versionText(const SectionVersion& version) {
  return std::to_string(version.epoch.value) + "." + std::to_string(version.sequence.value);
}

enum class Role : std::uint8_t { kRouter = 0, kCore = 1 };

}  // namespace peppergate
