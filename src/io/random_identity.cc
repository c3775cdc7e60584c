#include "io/random_identity.h"

#include <glog/logging.h>
#include <sys/random.h>

namespace peppergate {

absl::StatusOr<std::uint64_t> randomIdentity(const RandomSource& source) {
  std::uint64_t number = 0;
  if (source(&number, sizeof number) != static_cast<std::ptrdiff_t>(sizeof number))
    return absl::UnavailableError("no random bytes available for an identity");
  return (number >> 1) | 1;
}

std::uint64_t randomIdentity() {
  auto number = randomIdentity(
      [](void* buffer, std::size_t size) -> std::ptrdiff_t { return getrandom(buffer, size, 0); });
  if (!number.ok()) LOG(FATAL) << number.status().message();
  return *number;
}

}  // namespace peppergate
