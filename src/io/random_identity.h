#pragma once
// Random identities for cores, members and changes, from the operating system's random source.
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>

namespace peppergate {

/// Fills a buffer with random bytes; returns their count, or a negative number on failure.
using RandomSource = std::function<std::ptrdiff_t(void* buffer, std::size_t size)>;

/// A random odd number of 63 bits, never 0. Two machines with the same identity would count as one
/// voter, so there is no fallback: without random bytes the error is kUnavailable.
absl::StatusOr<std::uint64_t> randomIdentity(const RandomSource& source);
/// As above, from the kernel's random source; a failure ends the process with a message.
std::uint64_t randomIdentity();

}  // namespace peppergate
