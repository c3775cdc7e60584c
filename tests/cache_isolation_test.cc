// Which requests may share cached prompts: the salts of Placement across changes of the
// configuration.
#include <set>

#include "core/control_state.h"
#include "prompts/placement.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

const ServiceName kService{"model"};
const ModelName kModel{"llm"};
const std::vector<PromptBlock> kPrompt{{"rules", 8000}, {"own", 2000}};

Engine makeEngine(int number, std::uint64_t version) {
  Engine engine;
  engine.id = {"e" + std::to_string(number)};
  engine.service = kService;
  engine.address = {"10.1.0." + std::to_string(number) + ":80"};
  engine.slots = 16;
  engine.models[kModel] = {version};
  return engine;
}

Json tenantOf(const char* name, bool isolated) {
  return {{"name", name}, {"keys", {std::string("key-") + name}}, {"isolated", isolated}};
}

/// A configuration with one model service and these tenants.
Json configOf(std::uint64_t version, Json tenants) {
  Json config = Json::parse(R"json({
    "routes": [{"name": "ask", "host": "a.example", "prefix": "/", "timeoutMs": 9000,
                "service": "model"}],
    "services": [{"name": "model", "engine": {"slots": 16, "kvTokens": 200000, "linkMbps": 8000,
                                              "models": [{"name": "llm"}]}},
                 {"name": "other"}]})json");
  config["version"] = version;
  config["tenants"] = std::move(tenants);
  return config;
}

}  // namespace

/// A control state and a router that has it in force.
TEST_GROUP(CacheIsolation) {
  Options options;
  Random random{1};
  EngineRegistry registry{options};
  PrefixBlockIndex index;
  FetchPlanner fetches{options};
  Placement placement{options, registry, index, fetches, random};
  Outbox outbox;
  Weights weights;
  ControlState state = ControlState::initial({1});
  std::uint64_t version = 0, lastRequest = 0;

  void setup() override { listEngines(1); }
  void listEngines(std::uint64_t weightsVersion) {
    registry.update({makeEngine(1, weightsVersion), makeEngine(2, weightsVersion)},
                    {registry.version().value + 1}, at(0));
  }
  void apply(Json change) {
    change["basedOnVersion"] = state.configVersion().value;
    std::string id = "change-" + std::to_string(++version);
    ChangeReply reply = state.apply(change.dump(), id, {2}, options);
    STRCMP_EQUAL("", (reply.field + reply.detail).c_str());
  }
  void replace(Json tenants) {
    apply({{"kind", "replace"}, {"config", configOf(version + 1, std::move(tenants))}});
  }
  void amend(Json amendment) {
    amendment["version"] = version + 1;
    apply({{"kind", "amend"}, {"amendment", std::move(amendment)}});
  }
  void upsert(const char* tenant, bool isolated) {
    amend({{"upsert", {{"tenants", Json::array({tenantOf(tenant, isolated)})}}}});
  }
  void remove(const char* tenant) { amend({{"remove", {{"tenants", {tenant}}}}}); }
  PlacementDecision place(const char* tenant) {
    FleetConfig config = readSetup(state.setupText())->fleetConfig;
    PlacementRequest request;
    request.request = {++lastRequest};
    request.service = kService;
    request.model = kModel;
    request.tenant = {tenant};
    auto found = config.tenants.find({tenant});
    request.isolated = found != config.tenants.end() && found->second.isolated;
    request.promptBlocks = kPrompt;
    request.timeLeft = seconds(5);
    auto placed = placement.place(request, config, weights, at(1), outbox);
    CHECK(std::holds_alternative<PlacementDecision>(placed));
    return std::get<PlacementDecision>(placed);
  }
  std::string salt(const char* tenant) { return place(tenant).salt; }
};

// Guards against attempts without a salt: a stream may be resumed after its service was removed
// from the configuration.
TEST(CacheIsolation, StreamsOfARemovedServiceKeepTheirSaltAndVersion) {
  replace({tenantOf("desk", true), tenantOf("other", false)});
  std::string isolatedSalt = salt("desk"), sharedSalt = salt("other");
  amend({{"remove", {{"routes", {"ask"}}, {"services", {"model"}}}}});
  for (const char* tenant : {"desk", "other"}) {
    PlacementDecision decision = place(tenant);
    STRCMP_EQUAL((tenant == std::string("desk") ? isolatedSalt : sharedSalt).c_str(),
                 decision.salt.c_str());
    CHECK(decision.version == WeightsVersion{1});
  }
  listEngines(2);
  CHECK(place("desk").version == WeightsVersion{2});
  CHECK(salt("desk") != isolatedSalt);
}

// Guards against the same for a service that is configured without the properties of its engines,
// and for engines of which no version is known.
TEST(CacheIsolation, PromptsGetASaltWithoutKnownEngineProperties) {
  replace({tenantOf("desk", true), tenantOf("other", false)});
  amend({{"upsert", {{"services", Json::array({{{"name", "model"}}})}}}});
  CHECK(salt("desk") != salt("other"));
  CHECK(place("desk").version == WeightsVersion{1});
  Engine unlisted = makeEngine(3, 1);
  unlisted.models.clear();
  registry.update({unlisted}, {registry.version().value + 1}, at(0));
  weights.models[kModel] = {7};
  CHECK(salt("desk") != salt("other"));
  CHECK_FALSE(salt("other").empty());
  CHECK_FALSE(place("desk").version.has_value());
}
