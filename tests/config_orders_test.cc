// Changes that operators repeat: one that was applied is acknowledged again or, once its record was
// evicted, answered with "lost"; it is never refused.
#include "core/control_state.h"
#include "tests/config_machines.h"

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
  ControlState state = ControlState::founded({1});
  Options options;

  ChangeOutcome apply(const Json& change, const std::string& id) {
    return state.apply(change.dump(), id, {2}, options).outcome;
  }
  void taken(const Json& change, const std::string& id) {
    CHECK(apply(change, id) == ChangeOutcome::kDone);
  }
  /// Replaces the state by its serialized and parsed copy, as a replica or a restart does.
  void throughDisk() {
    auto parsed = ControlState::parse(state.text());
    CHECK(parsed.ok());
    STRCMP_EQUAL(state.text().c_str(), parsed->text().c_str());
    state = *parsed;
  }
  std::string idOf(std::uint64_t version) { return "order-" + std::to_string(version); }
  Json orderOf(std::uint64_t version) { return replaceWith(version - 1, configOf(version)); }
  void takeUpTo(std::uint64_t last) {
    for (std::uint64_t version = state.configVersion().value + 1; version <= last; ++version)
      taken(orderOf(version), idOf(version));
  }
};

TEST(RepeatedChanges, IsAcknowledgedAgainAfterHundredsOfChanges) {
  takeUpTo(700);
  throughDisk();
  for (std::uint64_t version : {1, 2, 350, 699, 700}) taken(orderOf(version), idOf(version));
  LONGS_EQUAL(700, state.configVersion().value);
}

TEST(RepeatedChanges, ChangeWithoutEffectIsRecorded) {
  taken(replaceWith(0, configOf(5)), "first");
  taken(replaceWith(0, configOf(5)), "the-same-from-another");
  taken(replaceWith(5, configOf(7)), "next");
  throughDisk();
  taken(replaceWith(0, configOf(5)), "the-same-from-another");
  taken(replaceWith(0, configOf(5)), "first");
  LONGS_EQUAL(7, state.configVersion().value);
}

TEST(RepeatedChanges, ChangeWithoutEffectIsReplicated) {
  taken(replaceWith(0, configOf(5)), "first");
  SectionVersion before = state.version();
  SectionVersions sections = state.sections();
  taken(replaceWith(0, configOf(5)), "the-same-from-another");
  CHECK(state.version() > before);  // otherwise the record would be neither written nor replicated
  CHECK(state.sections() == sections);
}

TEST(RepeatedChanges, AddingAKeyThatWasWithdrawnSinceIsAcknowledgedAgain) {
  Json stamp{{"kind", "apply"},
             {"basedOn", versionText(state.sections().setup)},
             {"setup", Json::parse(R"({"rungs":[{"name":"whole","rate":8}],
                "classes":{"c":{"a":-0.8,"b":-0.5,"c":1,"floor":0}},
                "templates":{"t":{"class":"c","defaults":{"rank":1,"wall":"w"}}},
                "tenants":{"red":{"template":"t","parameters":{}}}})")}};
  taken(stamp, "setup");
  const std::string digest(32, 'a');
  Json add{{"kind", "key-add"}, {"tenant", "red"}, {"digest", digest}};
  taken(add, "add");
  taken(add, "add-again");  // has no effect
  taken({{"kind", "key-withdraw"}, {"digest", digest}}, "withdraw");
  taken(add, "add");
  taken(add, "add-again");
  CHECK(apply(add, "add-anew") == ChangeOutcome::kInvalid);
}

TEST(RepeatedChanges, ChangeWithEvictedRecordIsAnsweredAsLost) {
  options.rememberedChanges = 128;
  takeUpTo(600);
  throughDisk();
  std::size_t remembered = 0, open = 0;
  for (std::uint64_t version = 1; version <= 600; ++version) {
    ChangeOutcome outcome = apply(orderOf(version), idOf(version));
    remembered += outcome == ChangeOutcome::kDone;
    open += outcome == ChangeOutcome::kLost;
    if (version > 600 - 128) CHECK(outcome == ChangeOutcome::kDone);
  }
  LONGS_EQUAL(600, remembered + open);
  CHECK(remembered >= 128);
  CHECK(remembered < 128 + 64);
}

TEST(RepeatedChanges, ChangeThatCannotHaveBeenEvictedIsRefused) {
  options.rememberedChanges = 128;
  takeUpTo(600);
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
    taken(weights("w" + std::to_string(number), bases.back()), "weights-" + std::to_string(number));
  }
  throughDisk();
  CHECK(apply(weights("w0", bases[0]), "weights-0") == ChangeOutcome::kLost);
  taken(weights("w199", bases[199]), "weights-199");
  CHECK(apply(weights("new", bases[198]), "loser") == ChangeOutcome::kStale);
}

TEST(RepeatedChanges, RecordsOfEarlierReleasesAreParsed) {
  takeUpTo(3);
  Json document = Json::parse(state.text());
  document["body"].erase("forgotten");
  document["body"]["changes"] = Json::parse(
      R"([{"id":"old one","version":{"epoch":1,"sequence":2}},
          {"id":"old two","version":{"epoch":2,"sequence":3}}])");
  auto parsed = ControlState::parse(document.dump());
  CHECK(parsed.ok());
  state = *parsed;
  throughDisk();
  ChangeReply again = state.apply(orderOf(1).dump(), "old two", {2}, options);
  CHECK(again.outcome == ChangeOutcome::kDone);
  CHECK((again.version == SectionVersion{{2}, {3}}));
}

TEST(RepeatedChanges, MalformedRecordsAreAnError) {
  takeUpTo(2);
  for (const char* entry : {"\"\"", "\"id\"", "\"id 3\"", "\"id 3 4\"", "7", "{}", "null"}) {
    Json document = Json::parse(state.text());
    document["body"]["changes"] = Json::array({Json::parse(entry)});
    CHECK_FALSE(ControlState::parse(document.dump()).ok());
  }
}

TEST(RepeatedChanges, CopiesOfTheRecordsAreIndependent) {
  takeUpTo(200);
  ControlState copy = state;
  takeUpTo(300);
  CHECK(copy.apply(orderOf(250).dump(), idOf(250), {2}, options).outcome == ChangeOutcome::kStale);
  taken(orderOf(250), idOf(250));
}

TEST_GROUP(CoreRepeatedChanges) {
  Machines machines;
  void settle() {
    for (int turn = 0; turn < 100 && !machines.primary(); ++turn) machines.run(0.1);
    CHECK(machines.primary().has_value());
    machines.run(2);
  }
  int statusOf(TicketId ticket) {
    const AnswerWeb* answer = machines.answerTo(ticket);
    return answer == nullptr ? 0 : answer->status;
  }
};

TEST(CoreRepeatedChanges, NoRefusalIsBasedOnAnUnsyncedDraft) {
  settle();
  LONGS_EQUAL(200, machines.ask(kFront, "POST", "/change", change("first", 0, 5)).status);
  int lead = *machines.primary();
  machines.holdWrites(lead);
  TicketId before = machines.send(kFront, "POST", "/change", change("before", 5, 6));
  TicketId winner = machines.send(kFront, "POST", "/change", change("winner", 6, 7));
  TicketId loser = machines.send(kFront, "POST", "/change", change("loser", 6, 8));
  machines.releaseWrites(lead, false);  // winner and loser are validated against the same draft
  machines.run(0.3);
  LONGS_EQUAL(200, statusOf(before));
  LONGS_EQUAL(0, statusOf(winner));
  LONGS_EQUAL(0, statusOf(loser));
  machines.releaseWrites(lead, true);
  machines.run(0.3);
  LONGS_EQUAL(200, statusOf(winner));
  LONGS_EQUAL(409, statusOf(loser));
}

TEST(CoreRepeatedChanges, ALostDraftRefusesNoChange) {
  settle();
  LONGS_EQUAL(200, machines.ask(kFront, "POST", "/change", change("first", 0, 5)).status);
  int lead = *machines.primary();
  machines.holdWrites(lead);
  TicketId before = machines.send(kFront, "POST", "/change", change("before", 5, 6));
  machines.send(kFront, "POST", "/change", change("winner", 6, 7));
  machines.send(kFront, "POST", "/change", change("loser", 6, 8));
  machines.releaseWrites(lead, false);
  machines.run(0.1);
  machines.kill(lead);
  machines.run(6);
  LONGS_EQUAL(200, statusOf(before));
  // Either of the two may have been applied; only the other may be refused.
  AnswerWeb read = machines.ask(kFront, "GET", "/config");
  LONGS_EQUAL(200, read.status);
  int version = bodyOf(read)["version"].get<int>();
  AnswerWeb winner = machines.ask(kFront, "POST", "/change", change("winner", 6, 7));
  AnswerWeb loser = machines.ask(kFront, "POST", "/change", change("loser", 6, 8));
  CHECK(version == 7 || version == 8);
  LONGS_EQUAL(version == 7 ? 200 : 409, winner.status);
  LONGS_EQUAL(version == 8 ? 200 : 409, loser.status);
}

TEST(CoreRepeatedChanges, ANewLeaderAcknowledgesARepeatedChangeAfterHundredsOfOthers) {
  settle();
  for (int version = 1; version <= 250; ++version)
    LONGS_EQUAL(200,
                machines
                    .ask(version % (kFront + 1), "POST", "/change",
                         change(("order-" + std::to_string(version)).c_str(), version - 1, version))
                    .status);
  machines.kill(*machines.primary());
  for (int turn = 0; turn < 100 && !machines.primary(); ++turn) machines.run(0.1);
  for (int version : {1, 2, 125, 249, 250}) {
    std::string id = "order-" + std::to_string(version);
    LONGS_EQUAL(
        200,
        machines.ask(kFront, "POST", "/change", change(id.c_str(), version - 1, version)).status);
  }
}
