// Parses and validates a configuration in the same pass, so that the two can't diverge.
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <set>

#include "config/fleet_config.h"

namespace peppergate {
namespace {

constexpr double kLargestWhole = 9e15;  // below 2^53, so doubles are exact up to here

/// The first error in a document. Once it is set, all further reads do nothing.
using Fault = std::optional<FieldFault>;

/// Reads the fields of one object. A null field counts as missing; unknown fields are ignored.
class Fields {
 public:
  Fields(const Json& object, std::string place, Fault& fault)
      : object_(object), place_(std::move(place)), fault_(fault) {
    if (!object_.is_object()) wrong({}, "must be an object");
  }

  void wrong(std::string_view name, std::string detail) const {
    if (fault_) return;
    std::string place = name.empty() ? place_ : inside(name);
    fault_ = {place.empty() ? "<root>" : place, std::move(detail)};
  }

  const Json* find(const char* name) const {
    if (fault_) return nullptr;
    auto found = object_.find(name);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
  }

  bool text(const char* name, std::string& value) const {
    const Json* field = find(name);
    if (field == nullptr) return false;
    if (!field->is_string()) wrong(name, "must be a string");
    else value = field->get_ref<const std::string&>();
    return true;
  }

  void needText(const char* name, std::string& value) const {
    if (!text(name, value)) wrong(name, "is required");
  }

  bool number(const char* name, double& value) const {
    const Json* field = find(name);
    if (field == nullptr) return false;
    if (!field->is_number()) wrong(name, "must be a number");
    else value = field->get<double>();
    return true;
  }

  template <class Number>
  void whole(const char* name, Number& value) const {
    constexpr double kLow = std::is_unsigned_v<Number> ? 0 : std::numeric_limits<int>::min();
    constexpr double kHigh =
        std::min(kLargestWhole, static_cast<double>(std::numeric_limits<Number>::max()));
    auto read = static_cast<double>(value);
    if (number(name, read)) value = static_cast<Number>(std::clamp(read, kLow, kHigh));
  }

  bool duration(const char* name, Duration& value) const {
    double read = 0;
    if (!number(name, read)) return false;
    value = {static_cast<std::int64_t>(std::clamp(read * 1000, -kLargestWhole, kLargestWhole))};
    return true;
  }

  void flag(const char* name, bool& value) const {
    const Json* field = find(name);
    if (field == nullptr) return;
    if (!field->is_boolean()) wrong(name, "must be true or false");
    else value = field->get<bool>();
  }

  /// Calls a function with the fields of each object in a list.
  template <class Taker>
  void each(const char* name, Taker take) const {
    const Json* list = find(name);
    if (list == nullptr) return;
    if (!list->is_array()) return wrong(name, "must be a list");
    std::string place = inside(name);
    for (std::size_t index = 0; index < list->size() && !fault_; ++index) {
      Fields fields((*list)[index], place + "[" + std::to_string(index) + "]", fault_);
      if (!fault_) take(fields);
    }
  }

  /// Calls a function with each string in a list and its path within this object.
  template <class Taker>
  void eachText(const char* name, Taker take) const {
    const Json* list = find(name);
    if (list == nullptr) return;
    if (!list->is_array()) return wrong(name, "must be a list");
    for (std::size_t index = 0; index < list->size() && !fault_; ++index) {
      std::string where = std::string(name) + "][" + std::to_string(index);
      if (!(*list)[index].is_string()) wrong(where, "must be a string");
      else take((*list)[index].get_ref<const std::string&>(), where);
    }
  }

  /// The fields of a nested object; nothing if it is missing.
  std::optional<Fields> within(const char* name) const {
    const Json* field = find(name);
    if (field == nullptr) return std::nullopt;
    return Fields(*field, inside(name), fault_);
  }

 private:
  std::string inside(std::string_view name) const { return place_ + "[" + std::string(name) + "]"; }

  const Json& object_;
  std::string place_;
  Fault& fault_;
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

class Reader {
 public:
  explicit Reader(Fault& fault) : fault_(fault) {}

  FleetConfig read(const Json& document) {
    Fields fields(document, "", fault_);
    readVersion(fields);
    fields.each("services", [this](const Fields& service) { readService(service); });
    fields.each("routes", [this](const Fields& route) { readRoute(route); });
    fields.each("tenants", [this](const Fields& tenant) { readTenant(tenant); });
    if (auto limits = fields.within("limits")) readLimits(*limits);
    for (auto& [host, routes] : config_.byHost) std::ranges::sort(routes.lengths, std::greater{});
    return std::move(config_);
  }

 private:
  void readVersion(const Fields& fields) {
    const Json* version = fields.find("version");
    if (version == nullptr) return fields.wrong("version", "is required");
    if (version->is_number_unsigned()) config_.version = {version->get<std::uint64_t>()};
    else if (version->is_number_float() && version->get<double>() <= kLargestWhole &&
             std::floor(version->get<double>()) == version->get<double>() &&
             version->get<double>() > 0)
      config_.version = {static_cast<std::uint64_t>(version->get<double>())};
    if (config_.version.value == 0) fields.wrong("version", "must be an integer above 0");
  }

  void readService(const Fields& fields) {
    ServiceConfig service;
    fields.needText("name", service.name.value);
    fields.text("healthPath", service.healthPath);
    fields.whole("connectionLimit", service.connectionLimit);
    if (auto engine = fields.within("engine")) service.engine = readEngine(*engine);
    std::string address;
    if (fields.text("store", address)) service.store = readStore(fields, std::move(address));
    if (fault_) return;
    if (service.store && !config_.storeName) config_.storeName = service.name;
    ServiceName name = service.name;
    if (!config_.services.emplace(name, std::move(service)).second)
      fields.wrong("name", "another service is named '" + name.value + "'");
  }

  EngineShape readEngine(const Fields& fields) {
    EngineShape shape;
    fields.whole("slots", shape.slots);
    fields.whole("kvTokens", shape.kvTokens);
    fields.whole("kvTokenBytes", shape.kvTokenBytes);
    fields.number("linkMbps", shape.linkMbps);
    fields.whole("stride", shape.stride);
    fields.whole("largestPolls", shape.largestPolls);
    fields.each("models", [&shape](const Fields& model) {
      model.needText("name", shape.models.emplace_back().value);
    });
    return shape;
  }

  StoreShape readStore(const Fields& fields, std::string address) {
    StoreShape shape;
    shape.address = {std::move(address)};
    fields.text("zone", shape.zone.value);
    fields.whole("kvTokens", shape.kvTokens);
    fields.number("linkMbps", shape.linkMbps);
    fields.whole("largestPolls", shape.largestPolls);
    return shape;
  }

  void readRoute(const Fields& fields) {
    Route route;
    fields.needText("name", route.name);
    fields.needText("host", route.host);
    fields.needText("prefix", route.prefix);
    std::string kind;
    if (fields.text("kind", kind)) route.kind = kindOf(kind);
    if (!fields.duration("timeoutMs", route.timeout)) fields.wrong("timeoutMs", "is required");
    else if (route.timeout <= Duration{}) fields.wrong("timeoutMs", "must be above 0");
    if (!fields.duration("targetMs", route.target)) route.target = route.timeout;
    if (!fields.duration("gapTargetMs", route.gapTarget)) route.gapTarget = route.timeout;
    fields.whole("urgency", route.urgency);
    fields.whole("attempts", route.attempts);
    route.attempts = std::max(route.attempts, 1);
    fields.flag("open", route.open);
    fields.flag("resumable", route.resumable);
    readShares(fields, route);
    if (fault_) return;
    if (!routeNames_.insert(route.name).second)
      return fields.wrong("name", "another route is named '" + route.name + "'");
    HostRoutes& host = config_.byHost[plainHost(route.host)];
    if (!host.byPrefix.emplace(route.prefix, config_.routes.size()).second)
      return fields.wrong("prefix", "another route has the same host and prefix");
    if (std::ranges::find(host.lengths, route.prefix.size()) == host.lengths.end())
      host.lengths.push_back(route.prefix.size());
    config_.routes.push_back(std::move(route));
  }

  void readShares(const Fields& fields, Route& route) {
    ServiceName single;
    bool named = fields.text("service", single.value);
    if (named) checkService(fields, single);
    if (fields.find("services") == nullptr) {
      if (!named) return fields.wrong("service", "is required");
      route.services.push_back({std::move(single), 1});
      return;
    }
    double sum = 0;
    fields.each("services", [&](const Fields& share) {
      ServiceShare& added = route.services.emplace_back();
      share.needText("service", added.service.value);
      checkService(share, added.service);
      share.number("weight", added.weight);
      if (added.weight < 0) share.wrong("weight", "must not be below 0");
      sum += added.weight;
    });
    if (sum <= 0) fields.wrong("services", "the sum of the weights must be above 0");
  }

  void checkService(const Fields& fields, const ServiceName& name) const {
    if (fault_) return;
    auto found = config_.services.find(name);
    if (found == config_.services.end())
      fields.wrong("service", "there is no service '" + name.value + "'");
    else if (found->second.store)
      fields.wrong("service", "'" + name.value + "' is a store and serves no requests");
  }

  void readTenant(const Fields& fields) {
    TenantConfig tenant;
    fields.needText("name", tenant.name.value);
    fields.whole("urgency", tenant.urgency);
    fields.flag("isolated", tenant.isolated);
    fields.eachText("keys", [&](const std::string& key, const std::string& where) {
      auto [found, added] = config_.keys.emplace(key, tenant.name);
      if (!added && found->second != tenant.name)
        fields.wrong(where, "tenant '" + found->second.value + "' has the same key");
    });
    if (fault_) return;
    TenantId name = tenant.name;
    if (!config_.tenants.emplace(name, std::move(tenant)).second)
      fields.wrong("name", "another tenant is named '" + name.value + "'");
  }

  void readLimits(const Fields& fields) {
    fields.whole("headerBytes", config_.limits.headerBytes);
    fields.whole("bodyBytes", config_.limits.bodyBytes);
    fields.duration("headerWaitMs", config_.limits.headerWait);
    fields.duration("idleMs", config_.limits.idle);
  }

  Fault& fault_;
  FleetConfig config_;
  std::set<std::string> routeNames_;
};

}  // namespace

std::optional<FieldFault> checkFleetConfig(const Json& document) {
  Fault fault;
  Reader(fault).read(document);
  return fault;
}

absl::StatusOr<FleetConfig> readFleetConfig(const Json& document) {
  Fault fault;
  FleetConfig config = Reader(fault).read(document);
  if (fault) return absl::InvalidArgumentError(fault->field + " " + fault->detail);
  return config;
}

std::optional<FieldFault> checkFleetAmendment(const Json& amendment) {
  Fault fault;
  Fields fields(amendment, "", fault);
  if (fields.find("version") == nullptr) fields.wrong("version", "is required");
  constexpr std::array kSections{"routes", "services", "tenants"};
  auto upsert = fields.within("upsert");
  auto remove = fields.within("remove");
  for (const char* section : kSections) {
    std::string name;
    if (upsert) upsert->each(section, [&name](const Fields& item) { item.needText("name", name); });
    if (remove) remove->eachText(section, [](const std::string&, const std::string&) {});
  }
  return fault;
}

}  // namespace peppergate
