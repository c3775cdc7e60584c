#pragma once
// Random identities from the operating system: of core machines, members and changes.
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>

namespace peppergate {

/// Fills a buffer with random bytes; returns how many came, or a negative number.
using RandomSource = std::function<std::ptrdiff_t(void* buffer, std::size_t size)>;

/// A random odd number of 63 bits, never 0. Two machines with one number would vote as one, so
/// without random bytes there is an error (kUnavailable) and no number.
absl::StatusOr<std::uint64_t> freshNumber(const RandomSource& source);
/// The same from the kernel's own source; the process ends with a message where it fails.
std::uint64_t freshNumber();

}  // namespace peppergate
