#pragma once
// The cache salt: the key under which an engine looks up cached blocks. It contains the cache
// domain and the weights version, so that no block is reused across them, whatever an index
// contains.
#include <string>

#include "config/fleet_config.h"

namespace peppergate {

/// The domain is prefixed with its length, so that different domains and models never give the same
/// salt. Examples: `cacheSalt({"desk"}, {"llm"}, {2}) == "4:desk/llm.2"`,
/// `cacheSalt({""}, {"llm"}, {2}) == "/llm.2"`.
inline std::string cacheSalt(const CacheDomain& domain, const ModelName& model,
                             WeightsVersion version) {
  std::string salt;
  if (!domain.value.empty()) salt = std::to_string(domain.value.size()) + ":" + domain.value;
  return salt + "/" + model.value + "." + std::to_string(version.value);
}

/// The cache domain of a request: the tenant's own if its cache is isolated, otherwise the
/// shared one.
inline CacheDomain cacheDomainOf(const TenantId& tenant, bool isolated) {
  return isolated ? CacheDomain{tenant.value} : CacheDomain{};
}

}  // namespace peppergate
