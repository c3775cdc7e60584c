#pragma once
// A small seeded pseudorandom generator with the same sequence on every machine, one per process.
#include <cstdint>
#include <span>
#include <utility>

namespace peppergate {

/// The SplitMix64 generator.
class Random {
 public:
  // The seed is hashed first: otherwise neighbouring seeds would give shifted copies of one
  // sequence.
  explicit Random(std::uint64_t seed) : state_(mix(mix(seed + 0x1234567))) {}
  /// The next 64 random bits.
  std::uint64_t next() { return mix(state_ += 0x9e3779b97f4a7c15ULL); }
  /// A number in [0, bound); 0 if the bound is 0.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }
  /// A number in [0, 1).
  double fraction() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  /// Shuffles the items in place.
  template <class T>
  void shuffle(std::span<T> items) {
    for (std::size_t index = items.size(); index > 1; --index)
      std::swap(items[index - 1], items[below(index)]);
  }

 private:
  static constexpr std::uint64_t mix(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
  }
  std::uint64_t state_;
};

}  // namespace peppergate
