#pragma once
// SHA-256 digests of keys and names of prefix blocks. A key itself is never stored or logged.
#include <string>
#include <string_view>

#include "core/types.h"

namespace peppergate {

/// The first 128 bits of a text's SHA-256 digest, as 32 hexadecimal digits.
std::string digestText(std::string_view text);
/// The digest that represents a tenant's key in state, messages and logs.
KeyDigest keyDigest(std::string_view key);
/// Names a prefix block by its content, the tenant's cache isolation domain, the weights version
/// and the name of the preceding block, which is empty for the first block of a prompt.
PrefixBlockName prefixBlockName(const CacheDomain& cacheDomain, WeightsVersion weights,
                                const PrefixBlockName& previous, std::string_view content);

}  // namespace peppergate
