#pragma once
// Which tenants may have left prompts in the cache domain that all non-isolated tenants share.
#include <cstdint>
#include <set>
#include <string>

#include "config/fleet_config.h"
#include "wire/json_fields.h"

namespace peppergate {

/// Begins a new generation of the shared cache domain whenever a tenant that may have used the
/// current one becomes isolated, as engines neither forget its prompts nor tell them from others'.
/// Within one generation no tenant that used it is isolated. It is part of the replicated control
/// state and follows from the sequence of configurations alone.
class SharedCacheHistory {
 public:
  /// Restores a history from its serialized parts.
  static SharedCacheHistory parse(std::uint64_t generation, const Json& formerSharers);
  /// Takes a change from one valid configuration to another.
  void advance(const Json& before, const Json& after);
  /// The current generation, which is part of the salts of the shared domain.
  CacheGeneration generation() const { return generation_; }
  /// The tenants that were removed while they used the current generation, as a JSON list.
  std::string formerSharersText() const;

 private:
  CacheGeneration generation_;
  std::set<std::string> formerSharers_;
};

}  // namespace peppergate
