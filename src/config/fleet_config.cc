#include "config/fleet_config.h"

#include <algorithm>
#include <set>

namespace peppergate {
namespace {

/// The name of an item, or nullptr if it has none.
const std::string* nameOf(const Json& item) {
  if (!item.is_object()) return nullptr;
  auto found = item.find("name");
  return found == item.end() ? nullptr : found->get_ptr<const std::string*>();
}

void removeNamed(Json& items, const Json& names) {
  if (!items.is_array() || !names.is_array()) return;
  std::set<std::string_view> removedNames;
  for (const auto& name : names)
    if (name.is_string()) removedNames.insert(name.get_ref<const std::string&>());
  auto& list = items.get_ref<Json::array_t&>();
  std::erase_if(list, [&removedNames](const Json& item) {
    const std::string* name = nameOf(item);
    return name != nullptr && removedNames.contains(*name);
  });
}

void upsertNamed(Json& items, const Json& replacements) {
  if (!items.is_array()) items = Json::array();
  auto& list = items.get_ref<Json::array_t&>();
  StringMap<std::size_t> indexes;
  for (std::size_t index = 0; index < list.size(); ++index)
    if (const std::string* name = nameOf(list[index])) indexes.emplace(*name, index);
  for (const auto& item : replacements) {
    const std::string* name = nameOf(item);
    auto found = name == nullptr ? indexes.end() : indexes.find(*name);
    if (found != indexes.end()) {
      list[found->second] = item;
      continue;
    }
    if (name != nullptr) indexes.emplace(*name, list.size());
    list.push_back(item);
  }
}

}  // namespace

std::string normalizeHost(std::string_view host) {
  bool bracketed = host.starts_with('[');  // an IPv6 address, which contains colons
  std::size_t end = host.find(bracketed ? ']' : ':');
  if (end != std::string_view::npos) host = host.substr(0, bracketed ? end + 1 : end);
  std::string normalized(host);
  std::ranges::transform(normalized, normalized.begin(), [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
  });
  return normalized;
}

const Route* FleetConfig::route(std::string_view host, std::string_view path) const {
  auto found = routesByHost.find(normalizeHost(host));
  if (found == routesByHost.end()) return nullptr;
  for (std::size_t length : found->second.prefixLengths) {
    if (length > path.size()) continue;
    auto routeIndex = found->second.routeByPrefix.find(path.substr(0, length));
    if (routeIndex != found->second.routeByPrefix.end()) return &routes[routeIndex->second];
  }
  return nullptr;
}

const TenantConfig* FleetConfig::tenantOfKey(std::string_view key) const {
  auto found = tenantByKey.find(key);
  if (found == tenantByKey.end()) return nullptr;
  auto tenant = tenants.find(found->second);
  return tenant == tenants.end() ? nullptr : &tenant->second;
}

const ServiceConfig* FleetConfig::storeService() const {
  return storeName ? &services.at(*storeName) : nullptr;
}

Json amendFleetConfig(Json config, const Json& amendment) {
  if (!config.is_object()) config = Json::object();
  if (auto remove = amendment.find("remove"); remove != amendment.end() && remove->is_object())
    for (const auto& [section, names] : remove->items())
      if (auto found = config.find(section); found != config.end()) removeNamed(*found, names);
  if (auto upsert = amendment.find("upsert"); upsert != amendment.end() && upsert->is_object())
    for (const auto& [section, replacement] : upsert->items()) {
      if (replacement.is_null()) continue;
      // Lists contain named items. Any other value, such as the limits, is replaced as a whole.
      if (replacement.is_array()) upsertNamed(config[section], replacement);
      else config[section] = replacement;
    }
  if (auto version = amendment.find("version"); version != amendment.end())
    config["version"] = *version;
  return config;
}

}  // namespace peppergate
