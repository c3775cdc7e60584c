#pragma once
// The fleet configuration: routes, services, tenants and limits. It is part of the setup section.
#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/schemas.h"
#include "core/types.h"

namespace peppergate {

using ServiceName = Tagged<struct ServiceNameTag, std::string>;
using ModelName = Tagged<struct ModelNameTag, std::string>;
using ConfigVersion =
    Tagged<struct ConfigVersionTag, std::uint64_t>;  // increases, in steps of any size

/// Counts how often the shared cache domain was replaced by an empty one.
using CacheGeneration = Tagged<struct CacheGenerationTag, std::uint64_t>;

/// Which requests may be retried: safe ones always, unsafe ones never, and streams only if the
/// route allows them to be resumed.
enum class RouteKind : std::uint8_t { kSafe = 0, kUnsafe, kStream };

/// One service of a route and its weight in the distribution of the traffic.
struct ServiceShare {
  ServiceName service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kUnsafe;
  Duration timeout;         // after which a request is given up
  Duration responseTarget;  // response time within which an answer has its full value
  Duration eventGapTarget;  // longest pause between two events of a stream that counts as in time
  int urgency = 5;          // 0 is most urgent
  int attempts = 1;         // number of engines to which a request may be sent
  bool allowsAnonymous = false;  // requires no key
  bool resumable = false;
  std::vector<ServiceShare> services;
  bool isRepeatable() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable);
  }
};

/// The properties of a service's engines.
struct EngineConfig {
  std::int64_t slots = 1;
  std::int64_t kvTokens = 0;      // capacity for running requests and cached prefix blocks together
  std::int64_t kvTokenBytes = 0;  // size of a token's key-value data when it is transferred
  double linkMbps = 0;            // bandwidth for transfers, in megabits per second
  std::int64_t maxTokensPerEvent = 1;   // largest number of tokens in one event
  std::int64_t maxConcurrentPolls = 1;  // largest number of concurrent polls for events
  std::vector<ModelName> models;
};

/// A store of cached prefix blocks. It serves no requests.
struct StoreConfig {
  Address address;
  Zone zone;
  std::int64_t kvTokens = 0;
  double linkMbps = 0;
  std::int64_t maxConcurrentPolls = 1;
};

struct ServiceConfig {
  ServiceName name;
  std::string healthPath;
  std::int64_t connectionLimit = 0;  // per engine, for all clients together; 0: not set
  std::optional<EngineConfig> engine;
  std::optional<StoreConfig> store;
};

struct TenantConfig {
  TenantId name;
  int urgency = 5;
  bool isolated = false;  // shares no cached prefix blocks with other tenants
};

/// Limits on the size and duration of client requests.
struct RequestLimits {
  std::size_t headerBytes = 16 << 10;
  std::size_t bodyBytes = 4 << 20;
  Duration headerWait = seconds(3);
  Duration idle = seconds(15);
};

/// Hashes strings and string views alike, so that a lookup needs no copy.
struct StringHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};
template <class Value>
using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

/// The routes of one host. A lookup tries each prefix length, the longest first.
struct HostRoutes {
  std::vector<std::size_t> prefixLengths;
  StringMap<std::size_t> routeByPrefix;  // index of the route in the configuration
};

/// A validated configuration, indexed for lookups by requests.
struct FleetConfig {
  ConfigVersion version;  // 0: no configuration was installed
  std::vector<Route> routes;
  std::map<ServiceName, ServiceConfig> services;
  std::map<TenantId, TenantConfig> tenants;
  StringMap<TenantId> tenantByKey;  // tenant by key
  /// Whether requests need a key: the configuration lists its tenants, even if none is left.
  bool requiresKeys = false;
  RequestLimits limits;
  StringMap<HostRoutes> routesByHost;  // keys are results of `normalizeHost`
  std::optional<ServiceName> storeName;
  /// The generation of the shared cache domain. It isn't part of the operator's document; it comes
  /// with it from the control state.
  CacheGeneration cacheGeneration;

  /// The route with the longest prefix of the path, or nullptr if none matches. Hosts are compared
  /// in lower case and without their port.
  const Route* route(std::string_view host, std::string_view path) const;
  /// The tenant that owns a key, or nullptr if the key is unknown.
  const TenantConfig* tenantOfKey(std::string_view key) const;
  /// The first service with a store, or nullptr if none is configured.
  const ServiceConfig* storeService() const;
};

/// A host in lower case and without its port.
std::string normalizeHost(std::string_view host);

/// Validates a whole configuration. Returns the first error with its field, for example
/// "[routes][3][service]", or nothing if the configuration is valid.
std::optional<FieldFault> checkFleetConfig(const Json& document);
/// Parses a configuration, with the same checks.
absl::StatusOr<FleetConfig> readFleetConfig(const Json& document);
/// Validates the structure of an amendment. The resulting configuration must be validated
/// separately.
std::optional<FieldFault> checkFleetAmendment(const Json& amendment);
/// Applies a validated amendment: first removes items by name, then upserts items. An upsert
/// replaces the item with the same name in place, or appends the item.
/// Example: `{"version":9,"upsert":{"routes":[...]},"remove":{"routes":["r"]}}`.
Json amendFleetConfig(Json config, const Json& amendment);

}  // namespace peppergate
