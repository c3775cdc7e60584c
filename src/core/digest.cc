#include "core/digest.h"

#include <openssl/sha.h>

#include <array>

namespace peppergate {

std::string digestText(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (std::size_t index = 0; index < 16; ++index) {
    hex.push_back(kDigits[digest[index] >> 4]);
    hex.push_back(kDigits[digest[index] & 15]);
  }
  return hex;
}

KeyDigest keyDigest(std::string_view key) {
  return {digestText("peppergate key\n" + std::string(key))};
}

PrefixBlockName prefixBlockName(const CacheDomain& cacheDomain, WeightsVersion weights,
                                const PrefixBlockName& previous, std::string_view content) {
  // Length prefixes make the concatenation unambiguous.
  std::string input = "part\n" + std::to_string(cacheDomain.value.size()) + ":" +
                      cacheDomain.value + "\n" + std::to_string(weights.value) + "\n" +
                      previous.value + "\n" + digestText(content);
  return {digestText(input)};
}

}  // namespace peppergate
