#pragma once
// The cache salt: the key under which an engine looks up cached blocks. It contains the cache
// scope and the weights version, so that no block is reused across them, whatever an index
// contains.
#include <optional>
#include <string>

#include "config/fleet_config.h"

namespace peppergate {

/// The requests that may use each other's cached blocks: those of one isolated tenant, or those of
/// all others during one generation of the shared cache.
struct CacheScope {
  std::optional<TenantId> isolatedTenant;  // none: the shared cache
  CacheGeneration generation;              // of the shared cache; isolated tenants have only one
};

/// The scope of a request: the tenant's own if its cache is isolated, otherwise the shared cache.
inline CacheScope cacheScopeOf(const TenantId& tenant, bool isolated, CacheGeneration generation) {
  return isolated ? CacheScope{tenant, {}} : CacheScope{std::nullopt, generation};
}

/// A tenant's name is prefixed with its length, so that different scopes and models never give the
/// same salt. The first generation of the shared cache has no number. Examples for the model "llm"
/// and the weights version 2: "4:desk/llm.2", "/llm.2" and, in the third generation, "2/llm.2".
inline std::string cacheSalt(const CacheScope& scope, const ModelName& model,
                             WeightsVersion version) {
  std::string salt;
  if (scope.isolatedTenant)
    salt = std::to_string(scope.isolatedTenant->value.size()) + ":" + scope.isolatedTenant->value;
  else if (scope.generation.value > 0) salt = std::to_string(scope.generation.value);
  return salt + "/" + model.value + "." + std::to_string(version.value);
}

}  // namespace peppergate
