#pragma once
// A deterministic mutation engine: the same seed gives the same inputs on every machine.
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"

namespace peppergate::fuzz {

/// Upper bound of a mutated input's size, in bytes.
inline constexpr std::size_t kMaxInputBytes = 512U << 10;

/// Creates inputs by mutating a corpus. Not thread-safe.
class Mutator {
 public:
  /// `dictionary` holds words that are inserted unchanged; it must outlive the mutator.
  Mutator(std::uint64_t seed, std::span<const std::string_view> dictionary)
      : random_(seed), dictionary_(dictionary) {}

  /// Returns a mutation of a random entry of `corpus`, or random bytes if `corpus` is empty.
  std::string next(std::span<const std::string> corpus);

 private:
  using MutationStep = void (Mutator::*)(std::string& input, std::span<const std::string> corpus);
  void flipBit(std::string& input, std::span<const std::string> corpus);
  void setByte(std::string& input, std::span<const std::string> corpus);
  void insertBytes(std::string& input, std::span<const std::string> corpus);
  void insertWord(std::string& input, std::span<const std::string> corpus);
  void eraseRange(std::string& input, std::span<const std::string> corpus);
  void truncate(std::string& input, std::span<const std::string> corpus);
  void copyRange(std::string& input, std::span<const std::string> corpus);
  void repeatRange(std::string& input, std::span<const std::string> corpus);
  void splice(std::string& input, std::span<const std::string> corpus);
  void changeNumber(std::string& input, std::span<const std::string> corpus);
  void changeBinaryNumber(std::string& input, std::span<const std::string> corpus);
  std::size_t randomOffset(const std::string& input) { return random_.below(input.size() + 1); }
  std::size_t randomLength(const std::string& input, std::size_t start);

  Random random_;
  std::span<const std::string_view> dictionary_;
};

}  // namespace peppergate::fuzz
