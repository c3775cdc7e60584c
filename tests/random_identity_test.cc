// Generation of random identities, which must fail without a source of random bytes.
#include "io/random_identity.h"

#include <cstring>

#include "tests/testing.h"

using namespace peppergate;

TEST_GROUP(FreshNumbers){};

TEST(FreshNumbers, WithoutRandomBytesThereIsAnError) {
  CHECK_FALSE(randomIdentity([](void*, std::size_t) -> std::ptrdiff_t { return -1; }).ok());
  CHECK_FALSE(randomIdentity([](void*, std::size_t) -> std::ptrdiff_t { return 7; }).ok());
}

TEST(FreshNumbers, ANumberIsNeverZero) {
  auto number = randomIdentity([](void* buffer, std::size_t size) {
    std::memset(buffer, 0, size);
    return static_cast<std::ptrdiff_t>(size);
  });
  CHECK(number.ok());
  CHECK(*number == 1);
  CHECK(randomIdentity() != randomIdentity());
}
