// The fleet configuration: parsing, validation and amendments.
#include <array>
#include <string>

#include "config/fleet_config.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

constexpr const char* kCompleteConfig = R"json({
  "version": 7,
  "routes": [
    {"name": "ask", "host": "Desk.example", "prefix": "/a/", "kind": "stream", "timeoutMs": 8000,
     "targetMs": 600, "gapTargetMs": 400, "urgency": 1, "attempts": 2, "resumable": true,
     "services": [{"service": "model", "weight": 90}, {"service": "desk", "weight": 10}]},
    {"name": "deep", "host": "desk.example", "prefix": "/a/b/", "kind": "safe",
     "timeoutMs": 5000, "service": "desk", "open": true},
    {"name": "all", "host": "other.example", "prefix": "/", "timeoutMs": 0.5, "service": "model"}],
  "services": [
    {"name": "model", "healthPath": "/health", "connectionLimit": 630,
     "engine": {"slots": 128, "kvTokens": 239003, "kvTokenBytes": 18432, "linkMbps": 370000.0,
                "stride": 5, "largestPolls": 12, "models": [{"name": "m"}]}},
    {"name": "desk", "healthPath": "/well"},
    {"name": "shelf", "store": "172.20.0.2:8680", "zone": "north", "kvTokens": 3999450,
     "linkMbps": 98000.0, "largestPolls": 12}],
  "limits": {"headerBytes": 8192, "bodyBytes": 1048576, "headerWaitMs": 2000, "idleMs": 9000},
  "tenants": [{"name": "red", "keys": ["k1", "k2"], "urgency": 1, "isolated": true},
              {"name": "blue", "keys": ["k3"]}]
})json";

Json completeConfig() { return Json::parse(kCompleteConfig); }

/// The field for which a patched configuration is rejected; empty if it is accepted.
std::string rejectedField(const char* patch) {
  auto error = checkFleetConfig(completeConfig().patch(Json::parse(patch)));
  return error ? error->field : "";
}

std::string nameOf(const Route* route) { return route == nullptr ? "none" : route->name; }

}  // namespace

TEST_GROUP(FleetConfigs){};

TEST(FleetConfigs, ReadsEveryField) {
  FleetConfig config = *readFleetConfig(completeConfig());
  LONGS_EQUAL(7, config.version.value);
  const Route& ask = config.routes.at(0);
  CHECK(ask.kind == RouteKind::kStream && ask.resumable && ask.isRepeatable() &&
        !ask.allowsAnonymous);
  CHECK(ask.timeout == seconds(8) && ask.responseTarget == seconds(0.6) &&
        ask.eventGapTarget == seconds(0.4));
  LONGS_EQUAL(1, ask.urgency);
  LONGS_EQUAL(2, ask.attempts);
  CHECK(ask.services.size() == 2 && ask.services[1].service == ServiceName{"desk"});
  DOUBLES_EQUAL(10, ask.services[1].weight, 0);
  const Route& deep = config.routes.at(1);
  CHECK(deep.kind == RouteKind::kSafe && deep.allowsAnonymous &&
        deep.responseTarget == deep.timeout);
  CHECK(deep.services.size() == 1 && deep.services[0].service == ServiceName{"desk"});
  CHECK(config.routes.at(2).kind == RouteKind::kUnsafe);
  CHECK(config.routes.at(2).timeout == Duration{500});
  const ServiceConfig& model = config.services.at({"model"});
  STRCMP_EQUAL("/health", model.healthPath.c_str());
  LONGS_EQUAL(630, model.connectionLimit);
  CHECK(model.engine && model.engine->slots == 128 && model.engine->kvTokens == 239003);
  CHECK(model.engine->kvTokenBytes == 18432 && model.engine->maxTokensPerEvent == 5);
  CHECK(model.engine->maxConcurrentPolls == 12 && model.engine->models.at(0) == ModelName{"m"});
  DOUBLES_EQUAL(370000, model.engine->linkMbps, 0);
  CHECK(config.storeService() != nullptr && config.storeService()->name == ServiceName{"shelf"});
  CHECK(config.storeService()->store->address == Address{"172.20.0.2:8680"});
  CHECK(config.storeService()->store->zone == Zone{"north"});
  CHECK(config.limits.headerBytes == 8192 && config.limits.bodyBytes == 1048576);
  CHECK(config.limits.headerWait == seconds(2) && config.limits.idle == seconds(9));
  const TenantConfig& red = config.tenants.at({"red"});
  CHECK(red.urgency == 1 && red.isolated && !config.tenants.at({"blue"}).isolated);
}

TEST(FleetConfigs, FindsTheTenantOfAKey) {
  FleetConfig config = *readFleetConfig(completeConfig());
  CHECK(config.tenantOfKey("k2")->name == TenantId{"red"});
  CHECK(config.tenantOfKey("k3")->name == TenantId{"blue"});
  CHECK(config.tenantOfKey("k") == nullptr);
  CHECK(config.tenantOfKey("") == nullptr);
}

// Guards against a configuration that opens all routes once its last tenant is removed.
TEST(FleetConfigs, AListOfTenantsRequiresKeysEvenIfItIsEmpty) {
  CHECK(readFleetConfig(completeConfig())->requiresKeys);
  Json amendment = Json::parse(R"({"version": 9, "remove": {"tenants": ["red", "blue"]}})");
  FleetConfig emptied = *readFleetConfig(amendFleetConfig(completeConfig(), amendment));
  CHECK(emptied.tenants.empty());
  CHECK(emptied.requiresKeys);
  Json withoutList = completeConfig();
  withoutList.erase("tenants");
  CHECK_FALSE(readFleetConfig(withoutList)->requiresKeys);
}

TEST(FleetConfigs, LongestPrefixOfTheHostWins) {
  FleetConfig config = *readFleetConfig(completeConfig());
  struct Row {
    const char* host;
    const char* path;
    const char* route;
  };
  constexpr std::array<Row, 11> kRows{{{"desk.example", "/a/x", "ask"},
                                       {"desk.example", "/a/b/", "deep"},
                                       {"desk.example", "/a/b/c/d", "deep"},
                                       {"desk.example", "/a/b", "ask"},
                                       {"desk.example", "/a", "none"},
                                       {"desk.example", "/", "none"},
                                       {"DESK.Example:8080", "/a/", "ask"},
                                       {"other.example:80", "/anything", "all"},
                                       {"other.example", "", "none"},
                                       {"nobody.example", "/a/", "none"},
                                       {"", "/a/", "none"}}};
  for (const auto& row : kRows)
    STRCMP_EQUAL(row.route, nameOf(config.route(row.host, row.path)).c_str());
  STRCMP_EQUAL("[::1]", normalizeHost("[::1]:80").c_str());
}

TEST(FleetConfigs, EveryErrorNamesItsField) {
  struct Row {
    const char* patch;
    const char* field;
  };
  constexpr std::array<Row, 36> kRows{{
      {R"([{"op":"replace","path":"/routes/1/service","value":"nobody"}])", "[routes][1][service]"},
      {R"([{"op":"replace","path":"/routes/1/service","value":"shelf"}])", "[routes][1][service]"},
      {R"([{"op":"replace","path":"/routes/1/service","value":5}])", "[routes][1][service]"},
      {R"([{"op":"remove","path":"/routes/1/service"}])", "[routes][1][service]"},
      {R"([{"op":"replace","path":"/routes/0/services/1/service","value":"nobody"}])",
       "[routes][0][services][1][service]"},
      {R"([{"op":"replace","path":"/routes/0/services/1/service","value":"shelf"}])",
       "[routes][0][services][1][service]"},
      {R"([{"op":"add","path":"/routes/0/service","value":"nobody"}])", "[routes][0][service]"},
      {R"([{"op":"replace","path":"/routes/0/services/0/weight","value":0},
           {"op":"replace","path":"/routes/0/services/1/weight","value":0}])",
       "[routes][0][services]"},
      {R"([{"op":"replace","path":"/routes/0/services","value":[]}])", "[routes][0][services]"},
      {R"([{"op":"replace","path":"/routes/0/services","value":{}}])", "[routes][0][services]"},
      {R"([{"op":"replace","path":"/routes/0/services/0/weight","value":-1}])",
       "[routes][0][services][0][weight]"},
      {R"([{"op":"replace","path":"/routes/0/services/0/weight","value":"9"}])",
       "[routes][0][services][0][weight]"},
      {R"([{"op":"replace","path":"/routes/1/prefix","value":"/a/"}])", "[routes][1][prefix]"},
      {R"([{"op":"replace","path":"/routes/2/host","value":"DESK.example:80"},
           {"op":"replace","path":"/routes/2/prefix","value":"/a/b/"}])",
       "[routes][2][prefix]"},
      {R"([{"op":"replace","path":"/routes/1/name","value":"ask"}])", "[routes][1][name]"},
      {R"([{"op":"remove","path":"/routes/1/name"}])", "[routes][1][name]"},
      {R"([{"op":"replace","path":"/routes/1/timeoutMs","value":0}])", "[routes][1][timeoutMs]"},
      {R"([{"op":"replace","path":"/routes/1/timeoutMs","value":-5}])", "[routes][1][timeoutMs]"},
      {R"([{"op":"replace","path":"/routes/1/timeoutMs","value":"5"}])", "[routes][1][timeoutMs]"},
      {R"([{"op":"remove","path":"/routes/1/timeoutMs"}])", "[routes][1][timeoutMs]"},
      {R"([{"op":"replace","path":"/routes/1/open","value":1}])", "[routes][1][open]"},
      {R"([{"op":"replace","path":"/routes/1","value":3}])", "[routes][1]"},
      {R"([{"op":"replace","path":"/routes","value":{}}])", "[routes]"},
      {R"([{"op":"replace","path":"/services/1/name","value":"model"}])", "[services][1][name]"},
      {R"([{"op":"replace","path":"/services/0/engine","value":[]}])", "[services][0][engine]"},
      {R"([{"op":"replace","path":"/services/0/engine/models/0","value":{}}])",
       "[services][0][engine][models][0][name]"},
      {R"([{"op":"replace","path":"/services/2/store","value":7}])", "[services][2][store]"},
      {R"([{"op":"replace","path":"/tenants/1/name","value":"red"}])", "[tenants][1][name]"},
      {R"([{"op":"add","path":"/tenants/1/keys/-","value":"k2"}])", "[tenants][1][keys][1]"},
      {R"([{"op":"replace","path":"/tenants/1/keys/0","value":4}])", "[tenants][1][keys][0]"},
      {R"([{"op":"replace","path":"/tenants/1/keys","value":"k9"}])", "[tenants][1][keys]"},
      {R"([{"op":"replace","path":"/limits/idleMs","value":"long"}])", "[limits][idleMs]"},
      {R"([{"op":"replace","path":"/limits","value":[1]}])", "[limits]"},
      {R"([{"op":"replace","path":"/version","value":0}])", "[version]"},
      {R"([{"op":"replace","path":"/version","value":7.5}])", "[version]"},
      {R"([{"op":"remove","path":"/version"}])", "[version]"},
  }};
  for (const auto& row : kRows)
    STRCMP_EQUAL_TEXT(row.field, rejectedField(row.patch).c_str(), row.patch);
  for (const char* document : {"[]", "null", "3", "\"text\""})
    STRCMP_EQUAL("<root>", checkFleetConfig(Json::parse(document))->field.c_str());
  CHECK_FALSE(readFleetConfig(Json::object()).ok());
}

TEST(FleetConfigs, AcceptsUnusualValidConfigs) {
  for (const char* patch :
       {"[]",
        R"([{"op":"remove","path":"/limits"},{"op":"remove","path":"/tenants"}])",
        R"([{"op":"replace","path":"/limits","value":null}])",
        R"([{"op":"replace","path":"/limits","value":{"idleMs":1e300,"more":[{}]}}])",
        R"([{"op":"add","path":"/pinned","value":{"any":[1,2.5,null]}}])",
        R"([{"op":"add","path":"/routes/1/pinned","value":"yes"}])",
        R"([{"op":"add","path":"/services/1/protocol","value":{"h":1}}])",
        R"([{"op":"replace","path":"/routes/1/kind","value":"of-a-later-release"}])",
        R"([{"op":"replace","path":"/routes/1/kind","value":null}])",
        R"([{"op":"replace","path":"/routes/1/prefix","value":"no-slash"}])",
        R"([{"op":"replace","path":"/routes/1/host","value":""}])",
        R"([{"op":"add","path":"/routes/1/attempts","value":0}])",
        R"([{"op":"add","path":"/routes/1/urgency","value":1e99}])",
        R"([{"op":"replace","path":"/routes/1/timeoutMs","value":1e300}])",
        R"([{"op":"replace","path":"/routes/0/services/0/weight","value":0}])",
        R"([{"op":"remove","path":"/routes/0/services/0/weight"}])",
        R"([{"op":"replace","path":"/routes/0/services/1/service","value":"model"}])",
        R"([{"op":"add","path":"/tenants/0/keys/-","value":"k1"}])",
        R"([{"op":"remove","path":"/tenants/0/keys"}])",
        R"([{"op":"replace","path":"/tenants/1/keys","value":[]}])",
        R"([{"op":"remove","path":"/services/0/engine"}])",
        R"([{"op":"replace","path":"/services/0/engine","value":{}}])",
        R"([{"op":"replace","path":"/version","value":7.0}])",
        R"([{"op":"replace","path":"/version","value":18446744073709551615}])",
        R"([{"op":"replace","path":"/routes","value":[]}])",
        R"([{"op":"remove","path":"/routes"}])",
        R"([{"op":"remove","path":"/routes"},{"op":"remove","path":"/services"}])"})
    STRCMP_EQUAL_TEXT("", rejectedField(patch).c_str(), patch);
}

TEST(FleetConfigs, AmendmentReplacesInPlaceAppendsAndRemoves) {
  Json amendment = Json::parse(R"json({"version": 9, "upsert": {
      "routes": [{"name": "deep", "host": "desk.example", "prefix": "/z/", "timeoutMs": 1,
                  "service": "desk", "odd": 1.50},
                 {"name": "new", "host": "new.example", "prefix": "/", "timeoutMs": 1,
                  "service": "desk"}],
      "limits": {"idleMs": 5}},
    "remove": {"routes": ["all", "never-there"], "tenants": ["blue"], "unknown": ["x"]}})json");
  CHECK_FALSE(checkFleetAmendment(amendment).has_value());
  Json made = amendFleetConfig(completeConfig(), amendment);
  LONGS_EQUAL(9, made["version"].get<int>());
  std::string names;
  for (const auto& route : made["routes"]) names += route["name"].get<std::string>() + " ";
  STRCMP_EQUAL("ask deep new ", names.c_str());
  CHECK(made["routes"][0] == completeConfig()["routes"][0]);
  CHECK(made["routes"][1] == amendment["upsert"]["routes"][0]);
  CHECK(made["services"] == completeConfig()["services"]);
  CHECK(made["limits"] == amendment["upsert"]["limits"]);
  LONGS_EQUAL(1, made["tenants"].size());
  FleetConfig config = *readFleetConfig(made);
  STRCMP_EQUAL("new", nameOf(config.route("new.example", "/")).c_str());
  STRCMP_EQUAL("none", nameOf(config.route("other.example", "/")).c_str());
  CHECK(config.tenantOfKey("k3") == nullptr);
}

TEST(FleetConfigs, InvalidAmendmentNamesItsField) {
  struct Row {
    const char* amendment;
    const char* field;
  };
  constexpr std::array<Row, 9> kRows{
      {{R"({"upsert":{}})", "[version]"},
       {R"({"version":9,"upsert":[]})", "[upsert]"},
       {R"({"version":9,"upsert":{"routes":{}}})", "[upsert][routes]"},
       {R"({"version":9,"upsert":{"routes":[5]}})", "[upsert][routes][0]"},
       {R"({"version":9,"upsert":{"tenants":[{}]}})", "[upsert][tenants][0][name]"},
       {R"({"version":9,"remove":"routes"})", "[remove]"},
       {R"({"version":9,"remove":{"services":"x"}})", "[remove][services]"},
       {R"({"version":9,"remove":{"services":["a",1]}})", "[remove][services][1]"},
       {R"([])", "<root>"}}};
  for (const auto& row : kRows) {
    auto fault = checkFleetAmendment(Json::parse(row.amendment));
    STRCMP_EQUAL_TEXT(row.field, fault ? fault->field.c_str() : "", row.amendment);
  }
  CHECK_FALSE(checkFleetAmendment(Json::parse(R"({"version":9})")).has_value());
  CHECK_FALSE(
      checkFleetAmendment(Json::parse(R"({"version":9,"upsert":null,"remove":null})")).has_value());
}
