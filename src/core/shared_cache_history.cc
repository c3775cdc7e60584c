#include "core/shared_cache_history.h"

#include <algorithm>

namespace peppergate {
namespace {

/// The most removed tenants that are remembered; beyond it a new generation begins in their place.
constexpr std::size_t kMaxFormerSharers = 1000;

struct TenantNames {
  std::set<std::string> sharing, isolated;
};

/// The list of tenants of a valid configuration; null if it has none.
const Json* tenantList(const Json& config) {
  auto tenants = config.find("tenants");
  return tenants == config.end() || !tenants->is_array() ? nullptr : &*tenants;
}

/// The tenants by whether they share their cache.
TenantNames tenantNames(const Json* tenants) {
  TenantNames names;
  if (tenants == nullptr) return names;
  for (const Json& tenant : *tenants) {
    auto isolated = tenant.find("isolated");
    bool shares = isolated == tenant.end() || !isolated->is_boolean() || !isolated->get<bool>();
    (shares ? names.sharing : names.isolated).insert(tenant.at("name").get<std::string>());
  }
  return names;
}

}  // namespace

SharedCacheHistory SharedCacheHistory::parse(std::uint64_t generation, const Json& formerSharers) {
  SharedCacheHistory history;
  history.generation_ = {generation};
  for (const Json& name : formerSharers) history.formerSharers_.insert(name.get<std::string>());
  return history;
}

void SharedCacheHistory::advance(const Json& before, const Json& after) {
  const Json *listBefore = tenantList(before), *listAfter = tenantList(after);
  if (listBefore && listAfter && *listBefore == *listAfter) return;
  TenantNames then = tenantNames(listBefore), now = tenantNames(listAfter);
  for (const std::string& name : then.sharing)
    if (!now.sharing.contains(name)) formerSharers_.insert(name);
  for (const std::string& name : now.sharing) formerSharers_.erase(name);
  bool becameIsolated = std::ranges::any_of(
      now.isolated, [this](const std::string& name) { return formerSharers_.contains(name); });
  if (!becameIsolated && formerSharers_.size() <= kMaxFormerSharers) return;
  ++generation_.value;
  formerSharers_.clear();
}

std::string SharedCacheHistory::formerSharersText() const { return Json(formerSharers_).dump(); }

}  // namespace peppergate
