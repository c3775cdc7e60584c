// Changes that operators repeat: one that was applied is acknowledged again or, once its record was
// evicted, answered with "lost"; it is never refused.
#include "core/control_state.h"
#include "tests/config_test_fleet.h"

using namespace peppergate;

namespace {

Json configOf(std::uint64_t version, const std::string& note = {}) {
  Json config = Json::parse(R"({"routes": [{"name": "r", "host": "a.example", "prefix": "/",
                                            "timeoutMs": 100, "service": "s"}],
                                "services": [{"name": "s"}]})");
  config["version"] = version;
  if (!note.empty()) config["note"] = note;
  return config;
}

Json replaceWith(std::uint64_t base, Json config) {
  return {{"kind", "replace"}, {"basedOnVersion", base}, {"config", std::move(config)}};
}

}  // namespace

TEST_GROUP(RepeatedChanges) {
  ControlState state = ControlState::initial({1});
  Options options;

  ChangeOutcome apply(const Json& change, const std::string& id) {
    return state.apply(change.dump(), id, {2}, options).outcome;
  }
  void expectApplied(const Json& change, const std::string& id) {
    CHECK(apply(change, id) == ChangeOutcome::kDone);
  }
  /// Replaces the state by its serialized and parsed copy, as a replica or a restart does.
  void reloadState() {
    auto parsed = ControlState::parse(state.serialize());
    CHECK(parsed.ok());
    STRCMP_EQUAL(state.serialize().c_str(), parsed->serialize().c_str());
    state = *parsed;
  }
  std::string changeIdOf(std::uint64_t version) { return "order-" + std::to_string(version); }
  Json changeTo(std::uint64_t version) { return replaceWith(version - 1, configOf(version)); }
  void applyUpTo(std::uint64_t last) {
    for (std::uint64_t version = state.configVersion().value + 1; version <= last; ++version)
      expectApplied(changeTo(version), changeIdOf(version));
  }
};

TEST(RepeatedChanges, IsAcknowledgedAgainAfterHundredsOfChanges) {
  applyUpTo(700);
  reloadState();
  for (std::uint64_t version : {1, 2, 350, 699, 700})
    expectApplied(changeTo(version), changeIdOf(version));
  LONGS_EQUAL(700, state.configVersion().value);
}

TEST(RepeatedChanges, ChangeWithoutEffectIsRecorded) {
  expectApplied(replaceWith(0, configOf(5)), "first");
  expectApplied(replaceWith(0, configOf(5)), "the-same-from-another");
  expectApplied(replaceWith(5, configOf(7)), "next");
  reloadState();
  expectApplied(replaceWith(0, configOf(5)), "the-same-from-another");
  expectApplied(replaceWith(0, configOf(5)), "first");
  LONGS_EQUAL(7, state.configVersion().value);
}

TEST(RepeatedChanges, ChangeWithoutEffectIsReplicated) {
  expectApplied(replaceWith(0, configOf(5)), "first");
  SectionVersion before = state.version();
  SectionVersions sections = state.sections();
  expectApplied(replaceWith(0, configOf(5)), "the-same-from-another");
  CHECK(state.version() > before);  // otherwise the record would be neither written nor replicated
  CHECK(state.sections() == sections);
}

TEST(RepeatedChanges, AddingAKeyThatWasWithdrawnSinceIsAcknowledgedAgain) {
  Json setupChange{{"kind", "apply"},
                   {"basedOn", versionText(state.sections().setup)},
                   {"setup", Json::parse(R"({"rungs":[{"name":"whole","rate":8}],
                "classes":{"c":{"a":-0.8,"b":-0.5,"c":1,"floor":0}},
                "templates":{"t":{"class":"c","defaults":{"rank":1,"wall":"w"}}},
                "tenants":{"red":{"template":"t","parameters":{}}}})")}};
  expectApplied(setupChange, "setup");
  const std::string digest(32, 'a');
  Json add{{"kind", "key-add"}, {"tenant", "red"}, {"digest", digest}};
  expectApplied(add, "add");
  expectApplied(add, "add-again");  // has no effect
  expectApplied({{"kind", "key-withdraw"}, {"digest", digest}}, "withdraw");
  expectApplied(add, "add");
  expectApplied(add, "add-again");
  CHECK(apply(add, "add-anew") == ChangeOutcome::kInvalid);
}

TEST(RepeatedChanges, ChangeWithEvictedRecordIsAnsweredAsLost) {
  options.rememberedChanges = 128;
  applyUpTo(600);
  reloadState();
  std::size_t remembered = 0, lost = 0;
  for (std::uint64_t version = 1; version <= 600; ++version) {
    ChangeOutcome outcome = apply(changeTo(version), changeIdOf(version));
    remembered += outcome == ChangeOutcome::kDone;
    lost += outcome == ChangeOutcome::kLost;
    if (version > 600 - 128) CHECK(outcome == ChangeOutcome::kDone);
  }
  LONGS_EQUAL(600, remembered + lost);
  CHECK(remembered >= 128);
  CHECK(remembered < 128 + 64);
}

TEST(RepeatedChanges, ChangeThatCannotHaveBeenEvictedIsRefused) {
  options.rememberedChanges = 128;
  applyUpTo(600);
  // The loser of a race has a version above those of all evicted records.
  CHECK(apply(replaceWith(599, configOf(600, "other")), "loser") == ChangeOutcome::kStale);
  CHECK(apply(replaceWith(3, configOf(900)), "old-base") == ChangeOutcome::kStale);
  // A change based on the current version was never applied, whatever its own version is.
  CHECK(apply(replaceWith(600, configOf(4)), "low") == ChangeOutcome::kInvalid);
  // A change without a configuration was never valid, so its record cannot have been evicted.
  CHECK(apply({{"kind", "replace"}, {"basedOnVersion", 3}}, "none") == ChangeOutcome::kInvalid);
}

TEST(RepeatedChanges, WeightsChangeWithEvictedRecordIsAnsweredAsLost) {
  options.rememberedChanges = 64;
  auto weights = [&](const std::string& label, const std::string& base) {
    return Json{{"kind", "weights"}, {"label", label}, {"basedOn", base}};
  };
  std::vector<std::string> bases;
  for (int number = 0; number < 200; ++number) {
    bases.push_back(versionText(state.sections().weights));
    expectApplied(weights("w" + std::to_string(number), bases.back()),
                  "weights-" + std::to_string(number));
  }
  reloadState();
  CHECK(apply(weights("w0", bases[0]), "weights-0") == ChangeOutcome::kLost);
  expectApplied(weights("w199", bases[199]), "weights-199");
  CHECK(apply(weights("new", bases[198]), "loser") == ChangeOutcome::kStale);
}

TEST(RepeatedChanges, RecordsOfEarlierReleasesAreParsed) {
  applyUpTo(3);
  Json document = Json::parse(state.serialize());
  document["body"].erase("forgotten");
  document["body"]["changes"] = Json::parse(
      R"([{"id":"old one","version":{"epoch":1,"sequence":2}},
          {"id":"old two","version":{"epoch":2,"sequence":3}}])");
  auto parsed = ControlState::parse(document.dump());
  CHECK(parsed.ok());
  state = *parsed;
  reloadState();
  ChangeReply again = state.apply(changeTo(1).dump(), "old two", {2}, options);
  CHECK(again.outcome == ChangeOutcome::kDone);
  CHECK((again.version == SectionVersion{{2}, {3}}));
}

TEST(RepeatedChanges, MalformedRecordsAreAnError) {
  applyUpTo(2);
  for (const char* entry : {"\"\"", "\"id\"", "\"id 3\"", "\"id 3 4\"", "7", "{}", "null"}) {
    Json document = Json::parse(state.serialize());
    document["body"]["changes"] = Json::array({Json::parse(entry)});
    CHECK_FALSE(ControlState::parse(document.dump()).ok());
  }
}

TEST(RepeatedChanges, CopiesOfTheRecordsAreIndependent) {
  applyUpTo(200);
  ControlState copy = state;
  applyUpTo(300);
  CHECK(copy.apply(changeTo(250).dump(), changeIdOf(250), {2}, options).outcome ==
        ChangeOutcome::kStale);
  expectApplied(changeTo(250), changeIdOf(250));
}

TEST_GROUP(CoreRepeatedChanges) {
  Machines machines;
  void settle() {
    for (int turn = 0; turn < 100 && !machines.primary(); ++turn) machines.run(0.1);
    CHECK(machines.primary().has_value());
    machines.run(2);
  }
  int statusOf(TicketId ticket) {
    const AnswerHttp* answer = machines.answerTo(ticket);
    return answer == nullptr ? 0 : answer->status;
  }
};

TEST(CoreRepeatedChanges, NoRefusalIsBasedOnAnUnsyncedDraft) {
  settle();
  LONGS_EQUAL(200,
              machines.ask(kFront, "POST", "/change", replaceChangeBody("first", 0, 5)).status);
  int primary = *machines.primary();
  machines.holdWrites(primary);
  TicketId before = machines.send(kFront, "POST", "/change", replaceChangeBody("before", 5, 6));
  TicketId winner = machines.send(kFront, "POST", "/change", replaceChangeBody("winner", 6, 7));
  TicketId loser = machines.send(kFront, "POST", "/change", replaceChangeBody("loser", 6, 8));
  machines.releaseWrites(primary, false);  // winner and loser are validated against the same draft
  machines.run(0.3);
  LONGS_EQUAL(200, statusOf(before));
  LONGS_EQUAL(0, statusOf(winner));
  LONGS_EQUAL(0, statusOf(loser));
  machines.releaseWrites(primary, true);
  machines.run(0.3);
  LONGS_EQUAL(200, statusOf(winner));
  LONGS_EQUAL(409, statusOf(loser));
}

TEST(CoreRepeatedChanges, ALostDraftRefusesNoChange) {
  settle();
  LONGS_EQUAL(200,
              machines.ask(kFront, "POST", "/change", replaceChangeBody("first", 0, 5)).status);
  int primary = *machines.primary();
  machines.holdWrites(primary);
  TicketId before = machines.send(kFront, "POST", "/change", replaceChangeBody("before", 5, 6));
  machines.send(kFront, "POST", "/change", replaceChangeBody("winner", 6, 7));
  machines.send(kFront, "POST", "/change", replaceChangeBody("loser", 6, 8));
  machines.releaseWrites(primary, false);
  machines.run(0.1);
  machines.kill(primary);
  machines.run(6);
  LONGS_EQUAL(200, statusOf(before));
  // Either of the two may have been applied; only the other may be refused.
  AnswerHttp read = machines.ask(kFront, "GET", "/config");
  LONGS_EQUAL(200, read.status);
  int version = bodyOf(read)["version"].get<int>();
  AnswerHttp winner = machines.ask(kFront, "POST", "/change", replaceChangeBody("winner", 6, 7));
  AnswerHttp loser = machines.ask(kFront, "POST", "/change", replaceChangeBody("loser", 6, 8));
  CHECK(version == 7 || version == 8);
  LONGS_EQUAL(version == 7 ? 200 : 409, winner.status);
  LONGS_EQUAL(version == 8 ? 200 : 409, loser.status);
}

TEST(CoreRepeatedChanges, ANewLeaderAcknowledgesARepeatedChangeAfterHundredsOfOthers) {
  settle();
  for (int version = 1; version <= 250; ++version)
    LONGS_EQUAL(200, machines
                         .ask(version % (kFront + 1), "POST", "/change",
                              replaceChangeBody(("order-" + std::to_string(version)).c_str(),
                                                version - 1, version))
                         .status);
  machines.kill(*machines.primary());
  for (int turn = 0; turn < 100 && !machines.primary(); ++turn) machines.run(0.1);
  for (int version : {1, 2, 125, 249, 250}) {
    std::string id = "order-" + std::to_string(version);
    LONGS_EQUAL(
        200,
        machines.ask(kFront, "POST", "/change", replaceChangeBody(id.c_str(), version - 1, version))
            .status);
  }
}
