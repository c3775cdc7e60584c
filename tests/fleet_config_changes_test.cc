// Changes to the fleet's configuration and the models' weight versions in the control state.
#include <algorithm>
#include <string>

#include "core/control_state.h"
#include "core/example_setup.h"
#include "core/schemas.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

Json configOf(std::uint64_t version) {
  Json config = Json::parse(R"json({
    "routes": [{"name": "r", "host": "a.example", "prefix": "/", "timeoutMs": 100,
                "service": "s", "kept": {"as": [1, 1.0, 1e3, -0.0, "\u00e9", null, true]}}],
    "services": [{"name": "s"}, {"name": "t"}],
    "tenants": [{"name": "red", "keys": ["k"]}]})json");
  config["version"] = version;
  return config;
}

Json replaceWith(std::uint64_t base, Json config) {
  return {{"kind", "replace"}, {"basedOnVersion", base}, {"config", std::move(config)}};
}

Json amendWith(std::uint64_t base, const char* amendment) {
  return {{"kind", "amend"}, {"basedOnVersion", base}, {"amendment", Json::parse(amendment)}};
}

/// A configuration with the given number of additional routes, each with its own prefix and a note
/// of `padding` characters.
Json largeConfig(std::uint64_t version, std::size_t routes, std::size_t padding) {
  Json config = configOf(version);
  std::string filler(padding, 'x');
  for (std::size_t number = 0; number < routes; ++number)
    config["routes"].push_back({{"name", "r" + std::to_string(number)},
                                {"host", "b.example"},
                                {"prefix", "/p" + std::to_string(number) + "/"},
                                {"timeoutMs", 100 + number},
                                {"service", "t"},
                                {"note", filler}});
  return config;
}

}  // namespace

TEST_GROUP(FleetChanges) {
  ControlState state = ControlState::initial({1});
  Options options;

  ChangeReply apply(const Json& change, const std::string& id) {
    return state.apply(change.dump(), id, {2}, options);
  }
  void expectApplied(const Json& change, const std::string& id) {
    ChangeReply answer = apply(change, id);
    STRCMP_EQUAL("", (answer.field + answer.detail).c_str());
    CHECK(answer.outcome == ChangeOutcome::kDone);
  }
  void expectInvalid(const Json& change, const char* field) {
    SectionVersion before = state.version();
    ChangeReply answer = apply(change, "refused");
    CHECK(answer.outcome == ChangeOutcome::kInvalid);
    STRCMP_EQUAL(field, answer.field.c_str());
    CHECK(state.version() == before);
  }
  Json storedConfig() { return Json::parse(state.setupText()).at("fleet"); }
};

TEST(FleetChanges, ConfigurationIsStoredWithoutLossOfValues) {
  std::string sent = R"({"version":3,"zeta":1.0,"alpha":[370000.0,0.1,1e-7,123456789012345,-0.0,)"
                     R"("\u0001\u20ac\"\\",{},[],null,false],"routes":[]})";
  std::string change = R"({"kind":"replace","basedOnVersion":0,"config":)" + sent + "}";
  CHECK(state.apply(change, "c", {2}, options).outcome == ChangeOutcome::kDone);
  STRCMP_EQUAL(Json::parse(sent).dump().c_str(), storedConfig().dump().c_str());
  auto parsed = ControlState::parse(state.serialize());
  CHECK(parsed.ok());
  STRCMP_EQUAL(state.serialize().c_str(), parsed->serialize().c_str());
  STRCMP_EQUAL(state.setupText().c_str(), parsed->setupText().c_str());
  LONGS_EQUAL(3, parsed->configVersion().value);
}

TEST(FleetChanges, SetupSectionContainsTheConfiguration) {
  expectApplied(replaceWith(0, configOf(5)), "c");
  Setup setup = *readSetup(state.setupText());
  LONGS_EQUAL(5, setup.fleetConfig.version.value);
  CHECK(setup.fleetConfig.route("a.example", "/x") != nullptr);
  LONGS_EQUAL(1, setup.rungs.size());
  CHECK(readSetup(ControlState::initial({1}).setupText())->fleetConfig.version.value == 0);
}

TEST(FleetChanges, InvalidChangesNameTheField) {
  expectApplied(replaceWith(0, configOf(5)), "c5");
  expectInvalid(replaceWith(5, configOf(4)), "[version]");
  Json same = configOf(5);
  same["routes"] = Json::array();
  expectInvalid(replaceWith(5, same), "[version]");
  Json wrong = configOf(8);
  wrong["routes"][0]["service"] = "nobody";
  expectInvalid(replaceWith(5, wrong), "[routes][0][service]");
  expectInvalid({{"kind", "replace"}, {"basedOnVersion", 5}}, "[config]");
  expectInvalid({{"kind", "replace"}, {"config", configOf(8)}}, "[basedOnVersion]");
  expectInvalid({{"kind", "replace"}, {"basedOnVersion", "5"}, {"config", configOf(8)}},
                "<root>[basedOnVersion]");
  expectInvalid({{"kind", "replace"}, {"basedOnVersion", 5}, {"config", Json::array()}},
                "<root>[config]");
  expectInvalid({{"kind", "amend"}, {"basedOnVersion", 5}}, "[amendment]");
  expectInvalid(amendWith(5, R"({"version":5})"), "[version]");
  expectInvalid(amendWith(5, R"({"version":6,"remove":{"services":["s"]}})"),
                "[routes][0][service]");
  expectInvalid(amendWith(5, R"({"version":6,"upsert":{"routes":[{"name":"q","host":"a.example",
      "prefix":"/","timeoutMs":1,"service":"s"}]}})"),
                "[routes][1][prefix]");
  expectApplied(replaceWith(5, configOf(8)), "c8");
  CHECK(state
            .apply(R"({"kind":"replace","basedOnVersion":8,"config":{"version":9)", "cut", {2},
                   options)
            .outcome == ChangeOutcome::kInvalid);
}

TEST(FleetChanges, OfTwoChangesOnOneBaseTheSecondIsStale) {
  expectApplied(replaceWith(0, configOf(5)), "c5");
  Json first = amendWith(5, R"({"version":7,"remove":{"tenants":["red"]}})");
  Json second = amendWith(5, R"({"version":9,"remove":{"services":["t"]}})");
  expectApplied(first, "first");
  ChangeReply reply = apply(second, "second");
  CHECK(reply.outcome == ChangeOutcome::kStale);
  STRCMP_EQUAL("[basedOnVersion]", reply.field.c_str());
  LONGS_EQUAL(7, reply.currentConfigVersion);
  LONGS_EQUAL(2, storedConfig()["services"].size());
  CHECK(apply(replaceWith(0, configOf(9)), "third").outcome == ChangeOutcome::kStale);
}

TEST(FleetChanges, RepeatedChangeIsAcknowledgedAgain) {
  Json first = replaceWith(0, configOf(5));
  expectApplied(first, "c5");
  SectionVersion version = state.version();
  CHECK(apply(first, "c5").version == version);
  expectApplied(amendWith(5, R"({"version":6,"upsert":{"services":[{"name":"u"}]}})"), "c6");
  auto parsed = ControlState::parse(state.serialize());
  ChangeReply again = parsed->apply(first.dump(), "c5", {3}, options);
  CHECK(again.outcome == ChangeOutcome::kDone && again.version == version);
  LONGS_EQUAL(6, parsed->configVersion().value);
  // The current configuration under another change id has no effect either. Only the record of the
  // id is new, so the state gets a new version and the sections keep theirs.
  Json current = replaceWith(5, storedConfig());
  SectionVersions before = state.sections();
  std::string setup = state.setupText();
  ChangeReply same = apply(current, "other");
  CHECK(same.outcome == ChangeOutcome::kDone && same.version == before.setup);
  CHECK(state.sections() == before);
  STRCMP_EQUAL(setup.c_str(), state.setupText().c_str());
  LONGS_EQUAL(6, state.configVersion().value);
}

TEST(FleetChanges, AmendmentMayBeTheFirstChange) {
  expectApplied(amendWith(0, R"({"version":2,"upsert":{"services":[{"name":"s"}]}})"), "c");
  CHECK(storedConfig() == Json::parse(R"({"version":2,"services":[{"name":"s"}]})"));
}

TEST(FleetChanges, OtherChangesKeepTheConfiguration) {
  expectApplied(replaceWith(0, configOf(5)), "c5");
  Json config = storedConfig();
  auto base = [&] { return versionText(state.sections().setup); };
  expectApplied(Json::parse(initialSetupChange("hutline", base())), "apply");
  std::string applied = base();
  CHECK(storedConfig() == config);
  expectApplied({{"kind", "remove"}, {"basedOn", base()}, {"tenant", "rescue"}}, "remove");
  expectApplied(replaceWith(5, configOf(6)), "c6");
  expectApplied({{"kind", "revert"}, {"basedOn", base()}, {"to", applied}}, "revert");
  CHECK(storedConfig() == configOf(6));
  CHECK(readSetup(state.setupText())->tenants.contains({"rescue"}));
}

TEST(FleetChanges, DryRunReportsCountsOnly) {
  Json change = replaceWith(0, configOf(5));
  change["dryRun"] = true;
  ChangeReply answer = apply(change, "dry");
  CHECK(answer.outcome == ChangeOutcome::kDryRun);
  STRCMP_EQUAL(R"({"fleet":{"routes":[0,1],"services":[0,2],"tenants":[0,1],"version":[0,5]}})",
               answer.detail.c_str());
  LONGS_EQUAL(0, state.configVersion().value);
}

TEST(FleetChanges, ModelVersionsOnlyIncrease) {
  auto setModelVersion = [&](int version, const char* id) {
    expectApplied({{"kind", "model-version"}, {"model", "m"}, {"version", version}}, id);
  };
  auto current = [&] { return readWeights(state.weightsText())->models; };
  SectionVersion before = state.version();
  setModelVersion(1, "one");  // the version of a model without an entry
  CHECK(state.version() == before && current().empty());
  setModelVersion(3, "three");
  LONGS_EQUAL(3, current().at({"m"}).value);
  SectionVersion third = state.sections().weights;
  setModelVersion(2, "two");
  setModelVersion(3, "three-again");
  CHECK(state.sections().weights == third);
  expectApplied({{"kind", "weights"}, {"basedOn", versionText(third)}, {"label", "spring"}},
                "label");
  LONGS_EQUAL(3, current().at({"m"}).value);
  expectInvalid({{"kind", "model-version"}, {"version", 4}}, "[model]");
  expectInvalid({{"kind", "model-version"}, {"model", "m"}}, "[version]");
  expectInvalid({{"kind", "model-version"}, {"model", "m"}, {"version", 0}}, "<root>[version]");
  CHECK(readWeights(R"({"version":1,"label":"first"})")
            ->models.empty());  // section of an earlier release
}

TEST(FleetChanges, TooDeepOrTooLargeDocumentsAreRejected) {
  for (std::size_t depth : {200UL, 2'000'000UL}) {
    std::string change = R"({"kind":"replace","basedOnVersion":0,"config":{"version":1,"x":)" +
                         std::string(depth, '[') + std::string(depth, ']') + "}}";
    ChangeReply answer = state.apply(change, "deep", {2}, options);
    CHECK(answer.outcome == ChangeOutcome::kInvalid);
    STRCMP_EQUAL("<root>", answer.field.c_str());
    CHECK_FALSE(readTopLevelStrings(change).valid);
  }
  std::string huge(static_cast<std::size_t>(options.largestSetup) + 1, ' ');
  CHECK(state.apply(huge, "huge", {2}, options).outcome == ChangeOutcome::kTooLarge);
  Json brackets = configOf(1);
  brackets["text"] = std::string(500, '[') + "\"\\" + std::string(500, '{');
  expectApplied(replaceWith(0, brackets), "brackets");
}

TEST(FleetChanges, LargeConfigurationIsSerializedOncePerChange) {
  Json first = largeConfig(1, 1000, 4400);
  std::size_t size = first.dump().size();
  CHECK(size > 4 << 20);
  expectApplied(replaceWith(0, first), "large");
  CHECK(state.serializedBytes() < size + 4000);
  std::size_t before = state.serializedBytes();
  expectApplied(amendWith(1, R"({"version":2,"remove":{"routes":["r7"]}})"), "amend");
  CHECK(state.serializedBytes() - before < size + 4000);
  // Changes that don't touch the configuration neither serialize nor copy it.
  before = state.serializedBytes();
  const char* setup = state.setupText().data();
  expectApplied({{"kind", "model-version"}, {"model", "m"}, {"version", 2}}, "model");
  ControlState copy = state;
  CHECK(state.serialize().size() > size - 20000);
  CHECK(state.serializedBytes() - before < 200);
  POINTERS_EQUAL(setup, state.setupText().data());
  POINTERS_EQUAL(setup, copy.setupText().data());
}

TEST(FleetChanges, OldestRememberedChangesAreEvicted) {
  for (int number = 0; number < 1500; ++number)
    expectApplied({{"kind", "model-version"}, {"model", "m"}, {"version", number + 2}},
                  "id" + std::to_string(number));
  SectionVersion version = state.version();
  CHECK(apply({}, "id1499").outcome == ChangeOutcome::kDone);
  CHECK(apply({}, "id500").outcome == ChangeOutcome::kDone);
  // Records are evicted in blocks of 64: the last 1,000 stay, and less than one block more.
  CHECK(apply({}, "id448").outcome == ChangeOutcome::kDone);
  CHECK(apply({}, "id447").outcome == ChangeOutcome::kInvalid);
  CHECK(state.version() == version);
  CHECK(ControlState::parse(state.serialize())->apply("", "id500", {2}, options).outcome ==
        ChangeOutcome::kDone);
}
