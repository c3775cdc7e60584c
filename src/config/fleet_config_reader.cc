// Parses and validates a configuration in the same pass, so that the two can't diverge.
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <set>

#include "config/fleet_config.h"

namespace peppergate {
namespace {

constexpr double kMaxExactInteger = 9e15;  // below 2^53, so doubles are exact up to here

/// The first error in a document. Once it is set, all further reads do nothing.
using FirstError = std::optional<FieldFault>;

/// Reads the fields of one object. A null field counts as missing; unknown fields are ignored.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string path, FirstError& error)
      : object_(object), path_(std::move(path)), error_(error) {
    if (!object_.is_object()) fail({}, "must be an object");
  }

  void fail(std::string_view name, std::string detail) const {
    if (error_) return;
    std::string path = name.empty() ? path_ : pathOf(name);
    error_ = {path.empty() ? "<root>" : path, std::move(detail)};
  }

  const Json* find(const char* name) const {
    if (error_) return nullptr;
    auto found = object_.find(name);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
  }

  bool readString(const char* name, std::string& value) const {
    const Json* field = find(name);
    if (field == nullptr) return false;
    if (!field->is_string()) fail(name, "must be a string");
    else value = field->get_ref<const std::string&>();
    return true;
  }

  void requireString(const char* name, std::string& value) const {
    if (!readString(name, value)) fail(name, "is required");
  }

  bool readNumber(const char* name, double& value) const {
    const Json* field = find(name);
    if (field == nullptr) return false;
    if (!field->is_number()) fail(name, "must be a number");
    else value = field->get<double>();
    return true;
  }

  template <class Number>
  void readInteger(const char* name, Number& value) const {
    constexpr double kMin = std::is_unsigned_v<Number> ? 0 : std::numeric_limits<int>::min();
    constexpr double kMax =
        std::min(kMaxExactInteger, static_cast<double>(std::numeric_limits<Number>::max()));
    auto read = static_cast<double>(value);
    if (readNumber(name, read)) value = static_cast<Number>(std::clamp(read, kMin, kMax));
  }

  bool readDuration(const char* name, Duration& value) const {
    double read = 0;
    if (!readNumber(name, read)) return false;
    value = {
        static_cast<std::int64_t>(std::clamp(read * 1000, -kMaxExactInteger, kMaxExactInteger))};
    return true;
  }

  void readBool(const char* name, bool& value) const {
    const Json* field = find(name);
    if (field == nullptr) return;
    if (!field->is_boolean()) fail(name, "must be true or false");
    else value = field->get<bool>();
  }

  /// Calls a function with the fields of each object in a list.
  template <class Taker>
  void forEachObject(const char* name, Taker visit) const {
    const Json* list = find(name);
    if (list == nullptr) return;
    if (!list->is_array()) return fail(name, "must be a list");
    std::string listPath = pathOf(name);
    for (std::size_t index = 0; index < list->size() && !error_; ++index) {
      ObjectReader fields((*list)[index], listPath + "[" + std::to_string(index) + "]", error_);
      if (!error_) visit(fields);
    }
  }

  /// Calls a function with each string in a list and its path within this object.
  template <class Taker>
  void forEachString(const char* name, Taker visit) const {
    const Json* list = find(name);
    if (list == nullptr) return;
    if (!list->is_array()) return fail(name, "must be a list");
    for (std::size_t index = 0; index < list->size() && !error_; ++index) {
      std::string path = std::string(name) + "][" + std::to_string(index);
      if (!(*list)[index].is_string()) fail(path, "must be a string");
      else visit((*list)[index].get_ref<const std::string&>(), path);
    }
  }

  /// The fields of a nested object; nothing if it is missing.
  std::optional<ObjectReader> nestedObject(const char* name) const {
    const Json* field = find(name);
    if (field == nullptr) return std::nullopt;
    return ObjectReader(*field, pathOf(name), error_);
  }

 private:
  std::string pathOf(std::string_view name) const { return path_ + "[" + std::string(name) + "]"; }

  const Json& object_;
  std::string path_;
  FirstError& error_;
};

struct KindRow {
  std::string_view name;
  RouteKind kind;
};
constexpr std::array<KindRow, 3> kKinds{
    {{"safe", RouteKind::kSafe}, {"unsafe", RouteKind::kUnsafe}, {"stream", RouteKind::kStream}}};

/// An unknown kind counts as unsafe, since unsafe requests are never run twice.
RouteKind kindOf(std::string_view name) {
  auto row = std::ranges::find(kKinds, name, &KindRow::name);
  return row == kKinds.end() ? RouteKind::kUnsafe : row->kind;
}

class FleetConfigReader {
 public:
  explicit FleetConfigReader(FirstError& error) : error_(error) {}

  FleetConfig read(const Json& document) {
    ObjectReader fields(document, "", error_);
    readVersion(fields);
    fields.forEachObject("services", [this](const ObjectReader& service) { readService(service); });
    fields.forEachObject("routes", [this](const ObjectReader& route) { readRoute(route); });
    config_.requiresKeys = fields.find("tenants") != nullptr;
    fields.forEachObject("tenants", [this](const ObjectReader& tenant) { readTenant(tenant); });
    if (auto limits = fields.nestedObject("limits")) readLimits(*limits);
    for (auto& [host, routes] : config_.routesByHost)
      std::ranges::sort(routes.prefixLengths, std::greater{});
    return std::move(config_);
  }

 private:
  void readVersion(const ObjectReader& fields) {
    const Json* version = fields.find("version");
    if (version == nullptr) return fields.fail("version", "is required");
    if (version->is_number_unsigned()) config_.version = {version->get<std::uint64_t>()};
    else if (version->is_number_float() && version->get<double>() <= kMaxExactInteger &&
             std::floor(version->get<double>()) == version->get<double>() &&
             version->get<double>() > 0)
      config_.version = {static_cast<std::uint64_t>(version->get<double>())};
    if (config_.version.value == 0) fields.fail("version", "must be an integer above 0");
  }

  void readService(const ObjectReader& fields) {
    ServiceConfig service;
    fields.requireString("name", service.name.value);
    fields.readString("healthPath", service.healthPath);
    fields.readInteger("connectionLimit", service.connectionLimit);
    if (auto engine = fields.nestedObject("engine")) service.engine = readEngine(*engine);
    std::string address;
    if (fields.readString("store", address)) service.store = readStore(fields, std::move(address));
    if (error_) return;
    if (service.store && !config_.storeName) config_.storeName = service.name;
    ServiceName name = service.name;
    if (!config_.services.emplace(name, std::move(service)).second)
      fields.fail("name", "another service is named '" + name.value + "'");
  }

  EngineConfig readEngine(const ObjectReader& fields) {
    EngineConfig shape;
    fields.readInteger("slots", shape.slots);
    fields.readInteger("kvTokens", shape.kvTokens);
    fields.readInteger("kvTokenBytes", shape.kvTokenBytes);
    fields.readNumber("linkMbps", shape.linkMbps);
    fields.readInteger("stride", shape.maxTokensPerEvent);
    fields.readInteger("largestPolls", shape.maxConcurrentPolls);
    fields.forEachObject("models", [&shape](const ObjectReader& model) {
      model.requireString("name", shape.models.emplace_back().value);
    });
    return shape;
  }

  StoreConfig readStore(const ObjectReader& fields, std::string address) {
    StoreConfig shape;
    shape.address = {std::move(address)};
    fields.readString("zone", shape.zone.value);
    fields.readInteger("kvTokens", shape.kvTokens);
    fields.readNumber("linkMbps", shape.linkMbps);
    fields.readInteger("largestPolls", shape.maxConcurrentPolls);
    return shape;
  }

  void readRoute(const ObjectReader& fields) {
    Route route;
    fields.requireString("name", route.name);
    fields.requireString("host", route.host);
    fields.requireString("prefix", route.prefix);
    std::string kind;
    if (fields.readString("kind", kind)) route.kind = kindOf(kind);
    if (!fields.readDuration("timeoutMs", route.timeout)) fields.fail("timeoutMs", "is required");
    else if (route.timeout <= Duration{}) fields.fail("timeoutMs", "must be above 0");
    if (!fields.readDuration("targetMs", route.responseTarget))
      route.responseTarget = route.timeout;
    if (!fields.readDuration("gapTargetMs", route.eventGapTarget))
      route.eventGapTarget = route.timeout;
    fields.readInteger("urgency", route.urgency);
    fields.readInteger("attempts", route.attempts);
    route.attempts = std::max(route.attempts, 1);
    fields.readBool("open", route.allowsAnonymous);
    fields.readBool("resumable", route.resumable);
    readShares(fields, route);
    if (error_) return;
    if (!routeNames_.insert(route.name).second)
      return fields.fail("name", "another route is named '" + route.name + "'");
    HostRoutes& host = config_.routesByHost[normalizeHost(route.host)];
    if (!host.routeByPrefix.emplace(route.prefix, config_.routes.size()).second)
      return fields.fail("prefix", "another route has the same host and prefix");
    if (std::ranges::find(host.prefixLengths, route.prefix.size()) == host.prefixLengths.end())
      host.prefixLengths.push_back(route.prefix.size());
    config_.routes.push_back(std::move(route));
  }

  void readShares(const ObjectReader& fields, Route& route) {
    ServiceName onlyService;
    bool named = fields.readString("service", onlyService.value);
    if (named) checkService(fields, onlyService);
    if (fields.find("services") == nullptr) {
      if (!named) return fields.fail("service", "is required");
      route.services.push_back({std::move(onlyService), 1});
      return;
    }
    double sum = 0;
    fields.forEachObject("services", [&](const ObjectReader& share) {
      ServiceShare& added = route.services.emplace_back();
      share.requireString("service", added.service.value);
      checkService(share, added.service);
      share.readNumber("weight", added.weight);
      if (added.weight < 0) share.fail("weight", "must not be below 0");
      sum += added.weight;
    });
    if (sum <= 0) fields.fail("services", "the sum of the weights must be above 0");
  }

  void checkService(const ObjectReader& fields, const ServiceName& name) const {
    if (error_) return;
    auto found = config_.services.find(name);
    if (found == config_.services.end())
      fields.fail("service", "there is no service '" + name.value + "'");
    else if (found->second.store)
      fields.fail("service", "'" + name.value + "' is a store and serves no requests");
  }

  void readTenant(const ObjectReader& fields) {
    TenantConfig tenant;
    fields.requireString("name", tenant.name.value);
    fields.readInteger("urgency", tenant.urgency);
    fields.readBool("isolated", tenant.isolated);
    fields.forEachString("keys", [&](const std::string& key, const std::string& path) {
      auto [found, added] = config_.tenantByKey.emplace(key, tenant.name);
      if (!added && found->second != tenant.name)
        fields.fail(path, "tenant '" + found->second.value + "' has the same key");
    });
    if (error_) return;
    TenantId name = tenant.name;
    if (!config_.tenants.emplace(name, std::move(tenant)).second)
      fields.fail("name", "another tenant is named '" + name.value + "'");
  }

  void readLimits(const ObjectReader& fields) {
    fields.readInteger("headerBytes", config_.limits.headerBytes);
    fields.readInteger("bodyBytes", config_.limits.bodyBytes);
    fields.readDuration("headerWaitMs", config_.limits.headerWait);
    fields.readDuration("idleMs", config_.limits.idle);
  }

  FirstError& error_;
  FleetConfig config_;
  std::set<std::string> routeNames_;
};

}  // namespace

std::optional<FieldFault> checkFleetConfig(const Json& document) {
  FirstError error;
  FleetConfigReader(error).read(document);
  return error;
}

absl::StatusOr<FleetConfig> readFleetConfig(const Json& document) {
  FirstError error;
  FleetConfig config = FleetConfigReader(error).read(document);
  if (error) return absl::InvalidArgumentError(error->field + " " + error->detail);
  return config;
}

std::optional<FieldFault> checkFleetAmendment(const Json& amendment) {
  FirstError error;
  ObjectReader fields(amendment, "", error);
  if (fields.find("version") == nullptr) fields.fail("version", "is required");
  constexpr std::array kSections{"routes", "services", "tenants"};
  auto upsert = fields.nestedObject("upsert");
  auto remove = fields.nestedObject("remove");
  for (const char* section : kSections) {
    std::string name;
    if (upsert)
      upsert->forEachObject(
          section, [&name](const ObjectReader& item) { item.requireString("name", name); });
    if (remove) remove->forEachString(section, [](const std::string&, const std::string&) {});
  }
  return error;
}

}  // namespace peppergate
