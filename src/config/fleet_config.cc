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
  std::set<std::string_view> gone;
  for (const auto& name : names)
    if (name.is_string()) gone.insert(name.get_ref<const std::string&>());
  auto& list = items.get_ref<Json::array_t&>();
  std::erase_if(list, [&gone](const Json& item) {
    const std::string* name = nameOf(item);
    return name != nullptr && gone.contains(*name);
  });
}

void upsertNamed(Json& items, const Json& newer) {
  if (!items.is_array()) items = Json::array();
  auto& list = items.get_ref<Json::array_t&>();
  ByText<std::size_t> places;
  for (std::size_t place = 0; place < list.size(); ++place)
    if (const std::string* name = nameOf(list[place])) places.emplace(*name, place);
  for (const auto& item : newer) {
    const std::string* name = nameOf(item);
    auto found = name == nullptr ? places.end() : places.find(*name);
    if (found != places.end()) {
      list[found->second] = item;
      continue;
    }
    if (name != nullptr) places.emplace(*name, list.size());
    list.push_back(item);
  }
}

}  // namespace

std::string plainHost(std::string_view host) {
  bool bracketed = host.starts_with('[');  // an IPv6 address, which contains colons
  std::size_t end = host.find(bracketed ? ']' : ':');
  if (end != std::string_view::npos) host = host.substr(0, bracketed ? end + 1 : end);
  std::string plain(host);
  std::ranges::transform(plain, plain.begin(), [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
  });
  return plain;
}

const Route* FleetConfig::route(std::string_view host, std::string_view path) const {
  auto found = byHost.find(plainHost(host));
  if (found == byHost.end()) return nullptr;
  for (std::size_t length : found->second.lengths) {
    if (length > path.size()) continue;
    auto place = found->second.byPrefix.find(path.substr(0, length));
    if (place != found->second.byPrefix.end()) return &routes[place->second];
  }
  return nullptr;
}

const TenantConfig* FleetConfig::tenantOfKey(std::string_view key) const {
  auto found = keys.find(key);
  if (found == keys.end()) return nullptr;
  auto tenant = tenants.find(found->second);
  return tenant == tenants.end() ? nullptr : &tenant->second;
}

const ServiceConfig* FleetConfig::store() const {
  return storeName ? &services.at(*storeName) : nullptr;
}

Json amendFleetConfig(Json config, const Json& amendment) {
  if (!config.is_object()) config = Json::object();
  if (auto remove = amendment.find("remove"); remove != amendment.end() && remove->is_object())
    for (const auto& [section, names] : remove->items())
      if (auto found = config.find(section); found != config.end()) removeNamed(*found, names);
  if (auto upsert = amendment.find("upsert"); upsert != amendment.end() && upsert->is_object())
    for (const auto& [section, newer] : upsert->items()) {
      if (newer.is_null()) continue;
      // Lists contain named items. Any other value, such as the limits, is replaced as a whole.
      if (newer.is_array()) upsertNamed(config[section], newer);
      else config[section] = newer;
    }
  if (auto version = amendment.find("version"); version != amendment.end())
    config["version"] = *version;
  return config;
}

}  // namespace peppergate
