#pragma once
// What the operators configured: routes, services, tenants, limits. Read from the setup section.
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
using ConfigVersion = Tagged<struct ConfigVersionTag, std::uint64_t>;  // rises in uneven steps

/// What may be repeated: safe requests freely, unsafe ones never; streams are unsafe unless
/// the route lets them be resumed.
enum class RouteKind : std::uint8_t { kSafe = 0, kUnsafe, kStream };

/// One service of a route and its part of the traffic. Example: `{{"model"}, 90}`.
struct ServiceShare {
  ServiceName service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kUnsafe;
  Duration timeout;    // the longest time a request is kept
  Duration target;     // within which an answer earns its full worth
  Duration gapTarget;  // the longest pause between a stream's events that is still in time
  int urgency = 5;     // 0 is the most urgent
  int attempts = 1;    // engines that one request may be sent to
  bool open = false;   // needs no key
  bool resumable = false;
  std::vector<ServiceShare> services;
  bool repeatable() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable);
  }
};

/// What an engine of a service is made like.
struct EngineShape {
  std::int64_t slots = 1;
  std::int64_t kvTokens = 0;      // room for running requests and kept parts together
  std::int64_t kvTokenBytes = 0;  // what a token weighs when it is moved
  double linkMbps = 0;            // of moves, megabits a second
  std::int64_t stride = 1;        // tokens in one event at most
  std::int64_t largestPolls = 1;  // calls for events that it holds at once
  std::vector<ModelName> models;
};

/// A store of kept parts; it serves no requests.
struct StoreShape {
  Address address;
  Zone zone;
  std::int64_t kvTokens = 0;
  double linkMbps = 0;
  std::int64_t largestPolls = 1;
};

struct ServiceConfig {
  ServiceName name;
  std::string healthPath;
  std::int64_t connectionLimit = 0;  // of one engine, from all callers; 0: none told
  std::optional<EngineShape> engine;
  std::optional<StoreShape> store;
};

struct TenantConfig {
  TenantId name;
  int urgency = 5;
  bool isolated = false;  // shares no kept part with others
};

/// What a client may send, and how long it may take.
struct RequestLimits {
  std::size_t headerBytes = 16 << 10;
  std::size_t bodyBytes = 4 << 20;
  Duration headerWait = seconds(3);
  Duration idle = seconds(15);
};

/// Hashes texts and views of texts alike, so that a look-up makes no copy.
struct TextHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};
template <class Value>
using ByText = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

/// The routes of one host. A look-up tries each length that a prefix has, the longest first.
struct HostRoutes {
  std::vector<std::size_t> lengths;
  ByText<std::size_t> byPrefix;  // indices of the configuration's routes
};

/// Example: `config.route("desk.example", "/a/b")` is the route with the longest prefix.
struct FleetConfig {
  ConfigVersion version;  // 0: none was ever taken
  std::vector<Route> routes;
  std::map<ServiceName, ServiceConfig> services;
  std::map<TenantId, TenantConfig> tenants;
  ByText<TenantId> keys;  // key to its tenant
  RequestLimits limits;
  ByText<HostRoutes> byHost;  // hosts as `plainHost` writes them
  std::optional<ServiceName> storeName;

  /// The route of a request; none means that no such route was configured. The host is compared
  /// without its port and in lower case. Example: see the class.
  const Route* route(std::string_view host, std::string_view path) const;
  /// The tenant that holds a key. Example: `config.tenantOfKey("secret")`.
  const TenantConfig* tenantOfKey(std::string_view key) const;
  /// The service with a store, if one is configured. Example: `config.store()`.
  const ServiceConfig* store() const;
};

/// A host without its port, in lower case. Example: `plainHost("Desk.example:80")`.
std::string plainHost(std::string_view host);

/// Checks a whole configuration; the first fault names its field, e.g. "[routes][3][service]".
/// Example: `checkFleetConfig(document)` is nothing for a good one.
std::optional<FieldFault> checkFleetConfig(const Json& document);
/// Reads a configuration, with the same checks. Example: `readFleetConfig(setup["fleet"])`.
absl::StatusOr<FleetConfig> readFleetConfig(const Json& document);
/// Checks the shape of an amendment; what it makes of a configuration is checked by itself.
/// Example: `checkFleetAmendment(amendment)` names "[upsert][routes][0][name]".
std::optional<FieldFault> checkFleetAmendment(const Json& amendment);
/// Applies a checked amendment: named removals, then upserts, which replace by name in place or
/// append. Example: `amendFleetConfig(config,
/// {"version":9,"upsert":{"routes":[...]},"remove":{"routes":["r"]}})`.
Json amendFleetConfig(Json config, const Json& amendment);

}  // namespace peppergate
