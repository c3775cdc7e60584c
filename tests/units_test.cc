// Options, retry budget, hash ring, digests, admission, control state and the scenario parser.
#include "core/admission_controller.h"
#include "core/control_state.h"
#include "core/digest.h"
#include "core/engine_list.h"
#include "core/hash_ring.h"
#include "core/random.h"
#include "core/retry_budget.h"
#include "sim/callers.h"
#include "sim/scenario.h"
#include "tests/testing.h"

using namespace peppergate;

TEST_GROUP(Units){};

TEST(Units, DefaultOptionsSatisfyTheInequalities) {
  CHECK(checkOptions(Options{}).ok());
  Options options;
  CHECK(setOption(options, "leaseStop", "1.3").ok());
  CHECK_FALSE(checkOptions(options).ok());
  CHECK_FALSE(setOption(options, "holdstop", "1").ok());
  CHECK_FALSE(setOption(options, "leaseStop", "1x").ok());
  CHECK_FALSE(setOption(options, "leaseStop", "-1").ok());
  CHECK(setOption(options, "secondShotShare", "0.2").ok());
  CHECK_FALSE(checkOptions(options).ok());
}

TEST(Units, AReloadChangesOnlyReloadableOptions) {
  Options reread;
  reread.lease = seconds(9);
  reread.probeEvery = seconds(2);
  Options options = withReloadedOptions(Options{}, reread);
  CHECK(options.lease == Options{}.lease);
  CHECK(options.probeEvery == seconds(2));
}

TEST(Units, RetriesHaveNoInitialAllowanceAndNoBurst) {
  RetryBudget budget(0.15, seconds(10));
  CHECK_FALSE(budget.takeRetry(at(0)));
  for (int shot = 0; shot < 6; ++shot) budget.recordFirstAttempt(at(0.1));
  CHECK_FALSE(budget.takeRetry(at(0.2)));  // 0.15 * 6 = 0.9 allows no retry
  budget.recordFirstAttempt(at(0.3));
  CHECK(budget.takeRetry(at(0.4)));
  CHECK_FALSE(budget.takeRetry(at(0.5)));
  CHECK_FALSE(budget.takeRetry(at(30)));  // unused budget expires with the window
}

TEST(Units, RetryShareHoldsOverAnySpan) {
  RetryBudget budget(0.15, seconds(10));
  Random random(3);
  double firstAttempts = 0, retries = 0;
  for (double now = 0; now < 120; now += 0.05) {
    bool quiet = static_cast<int>(now / 17) % 2 == 1;
    if (!quiet && random.below(2) == 0) {
      budget.recordFirstAttempt(at(now));
      ++firstAttempts;
    }
    while (budget.takeRetry(at(now))) ++retries;
    CHECK(retries <= 0.2 * firstAttempts);
  }
  CHECK(retries > 0.08 * firstAttempts);
}

TEST(Units, PartNamesDependOnIsolationDomainWeightsAndPrefix) {
  PrefixBlockName one = prefixBlockName({"wall"}, {1}, {}, "rulebook");
  CHECK(one != prefixBlockName({"other"}, {1}, {}, "rulebook"));
  CHECK(one != prefixBlockName({"wall"}, {2}, {}, "rulebook"));
  CHECK(one != prefixBlockName({"wall"}, {1}, one, "rulebook"));
  CHECK(one == prefixBlockName({"wall"}, {1}, {}, "rulebook"));
  CHECK(keyDigest("secret").value.find("secret") == std::string::npos);
}

TEST(Units, OnlyTheEnginesOfARemovedMemberGetAnotherFirstOwner) {
  std::vector<MemberRecord> members(9);
  for (std::size_t index = 0; index < members.size(); ++index)
    members[index].member = {1000 + index};
  HashRing fullRing(members);
  std::vector<MemberRecord> remainingMembers(members.begin() + 1, members.end());
  HashRing reducedRing(remainingMembers);
  int moved = 0, ownedByRemoved = 0;
  for (int engine = 0; engine < 500; ++engine) {
    EngineId id{"engine" + std::to_string(engine)};
    auto before = fullRing.owners(id, 3), after = reducedRing.owners(id, 3);
    LONGS_EQUAL(3, before.size());
    CHECK(before[0] != before[1] && before[1] != before[2] && before[0] != before[2]);
    if (before[0] == members[0].member) ++ownedByRemoved;
    else if (before[0] != after[0]) ++moved;
  }
  LONGS_EQUAL(0, moved);
  CHECK(ownedByRemoved > 15 && ownedByRemoved < 130);
}

TEST(Units, AdmissionShedsLowRanksFirstAndIsFairWithinARank) {
  AdmissionController admission{Options{}};
  Tenant high, low;
  high.rank = 0;
  low.rank = 3;
  ServiceLoad nearlyFull{80, 100, 0, 1};
  CHECK(admission.allow({"high"}, high, nearlyFull) == AdmissionVerdict::kAllowed);
  CHECK(admission.allow({"low"}, low, nearlyFull) == AdmissionVerdict::kOverload);
  Tenant flooding;
  flooding.rank = 1;
  for (int stream = 0; stream < 50; ++stream) admission.enter({"flood"}, 1);
  admission.enter({"small"}, 1);
  ServiceLoad loaded{70, 100, 51, 1};
  CHECK(admission.allow({"flood"}, flooding, loaded) == AdmissionVerdict::kTenantShare);
  CHECK(admission.allow({"small"}, flooding, loaded) == AdmissionVerdict::kAllowed);
}

TEST(Units, RetryDelaysAreAtLeastASecondAndSpread) {
  Random random(5);
  std::set<std::int64_t> seen;
  for (int turn = 0; turn < 200; ++turn) {
    Duration after = AdmissionController::retryAfter(random, 1);
    CHECK(after >= seconds(1));
    seen.insert(inMilliseconds(after));
  }
  CHECK(seen.size() >= 4);
}

TEST(Units, InvalidEngineListsAreRejected) {
  CHECK_FALSE(parseEngineList("{").ok());
  CHECK_FALSE(parseEngineList(R"({"version":0,"engines":[]})").ok());
  CHECK_FALSE(parseEngineList(R"({"version":1,"engines":[{"id":"a"}]})").ok());
  auto list = parseEngineList(
      R"({"version":4,"engines":[{"id":"a","address":"127.0.0.1:1","service":"model"}]})");
  CHECK(list.ok());
  CHECK(list->engines.at({"a"}).service == Service::kModel);
}

TEST_GROUP(ControlStates) {
  ControlState state = ControlState::initial({1});
  ChangeReply apply(const std::string& change, const std::string& id) {
    return state.apply(change, id, {2}, Options{});
  }
  void setup() { apply(initialSetupChange("hutline", "1.1"), "first"); }
};

TEST(ControlStates, ARepeatedChangeIdIsAppliedOnce) {
  auto once = apply(R"({"kind":"weights","basedOn":"1.1","label":"spring"})", "w");
  auto twice = apply(R"({"kind":"weights","basedOn":"1.1","label":"spring"})", "w");
  CHECK(once.outcome == ChangeOutcome::kDone && twice.outcome == ChangeOutcome::kDone);
  CHECK(once.version == twice.version);
  LONGS_EQUAL(2, readWeights(state.weightsText())->version.value);
}

TEST(ControlStates, AChangeOnAStaleVersionIsRejectedAsStale) {
  CHECK(apply(R"({"kind":"weights","basedOn":"1.1","label":"a"})", "a").outcome ==
        ChangeOutcome::kDone);
  auto late = apply(R"({"kind":"weights","basedOn":"1.1","label":"b"})", "b");
  CHECK(late.outcome == ChangeOutcome::kStale);
  STRCMP_EQUAL("[basedOn]", late.field.c_str());
}

TEST(ControlStates, ErrorsNameTheInvalidField) {
  struct Row {
    const char* change;
    const char* field;
  };
  constexpr std::array<Row, 8> kRows{{
      {R"({)", "<root>"},
      {R"({"kind":"nothing"})", "<root>[kind]"},
      {R"({"kind":"weights","label":"x"})", "[basedOn]"},
      {R"({"kind":"key-add","digest":"xyz"})", "<root>[digest]"},
      {R"({"kind":"stamp","basedOn":"2.2","template":"none","tenant":"t","parameters":{}})",
       "[tenants][t][template]"},
      {R"({"kind":"stamp","basedOn":"2.2","template":"plain","tenant":"t","parameters":{"rank":1}})",
       "[tenants][t][parameters][wall]"},
      {R"({"kind":"stamp","basedOn":"2.2","template":"plain","tenant":"t",
           "parameters":{"rank":1,"wall":"w","weights":9}})",
       "[tenants][t][parameters][weights]"},
      {R"({"kind":"stamp","basedOn":"2.2","template":"plain","tenant":"t",
           "parameters":{"rank":7,"wall":"w"}})",
       "<root>[parameters][rank]"},
  }};
  SectionVersion before = state.version();
  for (const auto& row : kRows) {
    auto answer = apply(row.change, row.change);
    CHECK(answer.outcome == ChangeOutcome::kInvalid);
    STRCMP_EQUAL(row.field, answer.field.c_str());
  }
  CHECK(state.version() == before);
}

TEST(ControlStates, AWithdrawnKeyCannotBeAddedAgain) {
  std::string digest = keyDigest("secret-of-rescue").value;
  CHECK(readKeys(state.keysText())->live.contains({digest}));
  CHECK(apply(R"({"kind":"key-withdraw","digest":")" + digest + R"("})", "out").outcome ==
        ChangeOutcome::kDone);
  CHECK_FALSE(readKeys(state.keysText())->live.contains({digest}));
  auto again = apply(R"({"kind":"key-add","tenant":"rescue","digest":")" + digest + R"("})", "in");
  CHECK(again.outcome == ChangeOutcome::kInvalid);
}

TEST(ControlStates, ATooLargeChangeIsRejectedAndTheStateRoundTrips) {
  Options small;
  small.largestSetup = 100;
  auto answer = state.apply(initialSetupChange("hutline", "2.2"), "big", {2}, small);
  CHECK(answer.outcome == ChangeOutcome::kTooLarge);
  auto parsed = ControlState::parse(state.serialize());
  CHECK(parsed.ok());
  CHECK(parsed->serialize() == state.serialize());
  CHECK_FALSE(ControlState::parse("{}").ok());
}

TEST_GROUP(Scenarios){};

TEST(Scenarios, ErrorsNameTheInvalidLine) {
  struct Row {
    const char* text;
    const char* where;
  };
  constexpr std::array<Row, 11> kRows{{
      {"name a\nfoo 3\nexpect clean", "line 2"},
      {"name a\nat 5s jump core 1\nexpect clean", "line 2"},
      {"name a\nat 5s kill core 1\nat 4s kill core 2\nexpect clean", "line 3"},
      {"name a\nat 5s kill core 9\nexpect clean", "line 2"},
      {"name a\nat 5s disk front 1 slow\nexpect clean", "line 2"},
      {"name a\nexpect happy", "line 2"},
      {"name a\nexpect served lots", "line 2"},
      {"name a\nexpect served 0.5 from 9s to 5s", "line 2"},
      {"name a\nat 5s kill core 1", "no expectation"},
      {"name a\nat soon kill core 1\nexpect clean", "line 2"},
      {"name a\nrun 5s\nat 9s kill core 1\nexpect clean", "line 3"},
  }};
  for (const auto& row : kRows) {
    auto scenario = parseScenario(row.text);
    CHECK_FALSE(scenario.ok());
    std::string message(scenario.status().message());
    bool namesTheLine = message.find(row.where) != std::string::npos ||
                        (std::string(row.where) == "no expectation" &&
                         message.find("at least one expectation") != std::string::npos);
    CHECK_TEXT(namesTheLine, message.c_str());
  }
}

TEST(ControlStates, TemplatesParametersDryRunAndRevert) {
  Options options;
  ControlState state = ControlState::initial({1});
  auto applyChange = [&](Json change, const std::string& id) {
    change["basedOn"] = versionText(state.sections().setup);
    return state.apply(change.dump(), id, {1}, options);
  };
  Json first = Json::parse(initialSetupChange("hutline", "1.1"));
  CHECK(applyChange(first, "1").outcome == ChangeOutcome::kDone);
  std::string before = state.setupText();
  std::string version = versionText(state.sections().setup);
  // A dry run reports what the change would do, without naming keys, and changes nothing.
  Json change{{"kind", "parameters"}, {"tenant", "rescue"}, {"parameters", {{"rank", 2}}}};
  change["dryRun"] = true;
  ChangeReply dryRunReply = applyChange(change, "2");
  CHECK(dryRunReply.outcome == ChangeOutcome::kDryRun);
  CHECK(dryRunReply.detail.find("/tenants/rescue/parameters/rank") != std::string::npos);
  CHECK(state.setupText() == before);
  change.erase("dryRun");
  CHECK(applyChange(change, "3").outcome == ChangeOutcome::kDone);
  Setup now = *readSetup(state.setupText());
  CHECK_EQUAL(2, now.tenants[{"rescue"}].rank);
  CHECK(now.tenants[{"rescue"}].cacheDomain ==
        CacheDomain{"wall-rescue"});  // the other parameters are unchanged
  // A template that would make its tenants invalid is rejected; the error names the field.
  Json made{{"kind", "template"}, {"template", "steady"}, {"made", {{"class", "none"}}}};
  STRCMP_EQUAL("[templates][steady][class]", applyChange(made, "4").field.c_str());
  made["made"] = {{"class", "trail"}};
  CHECK(applyChange(made, "5").outcome == ChangeOutcome::kDone);
  STRCMP_EQUAL(
      "[tenant]",
      applyChange({{"kind", "parameters"}, {"tenant", "nobody"}, {"parameters", Json::object()}},
                  "6")
          .field.c_str());
  // A revert to the first version has its content under a new version; withdrawn keys stay so.
  std::string digest = keyDigest(exampleKey("rescue")).value;
  CHECK(state.apply(Json{{"kind", "key-withdraw"}, {"digest", digest}}.dump(), "7", {1}, options)
            .outcome == ChangeOutcome::kDone);
  STRCMP_EQUAL("[to]", applyChange({{"kind", "revert"}, {"to", "9.9"}}, "8").field.c_str());
  SectionVersion latest = state.sections().setup;
  CHECK(applyChange({{"kind", "revert"}, {"to", version}}, "9").outcome == ChangeOutcome::kDone);
  CHECK(state.setupText() == before);
  CHECK(state.sections().setup > latest);
  CHECK(readKeys(state.keysText())->withdrawn.contains({digest}));
}
