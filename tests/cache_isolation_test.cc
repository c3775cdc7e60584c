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

// Guards against memory that a tenant made before it became isolated: others must not find it.
TEST(CacheIsolation, ATenantThatBecomesIsolatedLeavesNoSharedMemory) {
  replace({tenantOf("desk", false), tenantOf("other", false)});
  std::string before = salt("other");
  STRCMP_EQUAL(before.c_str(), salt("desk").c_str());
  upsert("desk", true);
  CHECK(salt("desk") != before);
  CHECK(salt("other") != before);
  CHECK(salt("other") != salt("desk"));
  STRCMP_EQUAL(salt("other").c_str(), salt("").c_str());  // anonymous requests share it, too
}

// Guards against the same when the tenant is removed in between, or replaced as a whole.
TEST(CacheIsolation, AnIsolatedTenantMayHaveSharedBeforeItWasRemoved) {
  replace({tenantOf("desk", false), tenantOf("other", false)});
  std::string before = salt("other");
  remove("desk");
  STRCMP_EQUAL(before.c_str(), salt("other").c_str());
  upsert("third", false);
  upsert("desk", true);
  std::string after = salt("other");
  CHECK(after != before);
  replace({tenantOf("desk", true), tenantOf("other", true), tenantOf("third", false)});
  CHECK(salt("third") != after);
  CHECK(salt("third") != before);
}

TEST(CacheIsolation, EachIsolationBeginsANewSharedCache) {
  replace({tenantOf("desk", false), tenantOf("other", false)});
  std::set<std::string> salts{salt("other")};
  for (std::size_t turn = 1; turn <= 4; ++turn) {
    upsert("desk", true);
    salts.insert(salt("other"));
    LONGS_EQUAL(1 + turn, salts.size());
    upsert("desk", false);
    STRCMP_EQUAL(salt("desk").c_str(), salt("other").c_str());
    salts.insert(salt("other"));
    LONGS_EQUAL(1 + turn, salts.size());
  }
}

TEST(CacheIsolation, OtherChangesKeepTheSharedCache) {
  replace({tenantOf("desk", true), tenantOf("other", false)});
  std::string before = salt("other");
  upsert("newcomer", true);  // never shared anything
  upsert("newcomer", true);
  upsert("third", false);
  remove("third");
  upsert("third", false);
  remove("newcomer");
  upsert("newcomer", true);
  upsert("desk", true);
  replace({tenantOf("desk", true), tenantOf("other", false)});
  amend({{"remove", {{"routes", {"ask"}}}}});
  STRCMP_EQUAL(before.c_str(), salt("other").c_str());
}

// Guards against a state that forgets who shared: it is read from a disk or from another replica.
TEST(CacheIsolation, TheSharedCachesHistoryIsStored) {
  replace({tenantOf("desk", false), tenantOf("trail", false), tenantOf("other", false)});
  upsert("desk", true);
  remove("trail");
  std::string before = salt("other");
  state = *ControlState::parse(state.serialize());
  STRCMP_EQUAL(before.c_str(), salt("other").c_str());
  upsert("trail", true);
  CHECK(salt("other") != before);
  std::string text = state.serialize();
  STRCMP_EQUAL(text.c_str(), ControlState::parse(text)->serialize().c_str());
}

TEST(CacheIsolation, TheConfigurationIsReadBackAsSent) {
  replace({tenantOf("desk", false)});
  upsert("desk", true);
  Json expected = configOf(2, {tenantOf("desk", true)});
  CHECK(Json::parse(state.setupText()).at("fleet") == expected);
}

TEST(CacheIsolation, ChangesOfTheSetupKeepTheSharedCache) {
  replace({tenantOf("desk", false), tenantOf("other", false)});
  upsert("desk", true);
  std::string before = salt("other");
  Json setup = Json::parse(state.setupText());
  Json change{{"kind", "apply"},
              {"basedOn", versionText(state.sections().setup)},
              {"setup",
               {{"rungs", Json::array({{{"name", "half"}, {"rate", 4.0}}})},
                {"classes", setup["classes"]},
                {"templates", setup["templates"]}}}};
  CHECK(state.apply(change.dump(), "setup", {2}, options).outcome == ChangeOutcome::kDone);
  STRCMP_EQUAL(before.c_str(), salt("other").c_str());
}

// Guards against a list that grows without limit: a new shared cache begins before it is emptied.
TEST(CacheIsolation, RemovedTenantsAreRememberedInABoundedList) {
  replace({tenantOf("other", false)});
  const std::string first = salt("other");
  for (int round = 0; round < 3; ++round) {
    Json tenants = Json::array(), names = Json::array();
    for (int number = 0; number < 600; ++number) {
      std::string name = "tenant-" + std::to_string(round) + "-" + std::to_string(number);
      tenants.push_back({{"name", name}});
      names.push_back(name);
    }
    amend({{"upsert", {{"tenants", tenants}}}});
    amend({{"remove", {{"tenants", names}}}});
    CHECK(state.serialize().size() < 30000);
  }
  std::string before = salt("other");
  CHECK(before != first);
  upsert("tenant-0-0", true);  // only shared a generation that has ended
  STRCMP_EQUAL(before.c_str(), salt("other").c_str());
  upsert("tenant-2-599", true);
  CHECK(salt("other") != before);
}
