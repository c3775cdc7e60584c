// Changes and reads of the fleet's configuration in a fleet of three cores and a router, on a
// network without delay.
#include "tests/config_test_fleet.h"

using namespace peppergate;

TEST_GROUP(ConfigCores) {
  Machines machines;
  void settle() {
    for (int turn = 0; turn < 100 && !machines.primary(); ++turn) machines.run(0.1);
    CHECK(machines.primary().has_value());
    machines.run(2);  // until there is a backup and the router has contact
  }
};

TEST(ConfigCores, AcknowledgedConfigurationIsReadOnEveryMachine) {
  settle();
  for (int index = 0; index <= kFront; ++index)
    LONGS_EQUAL(404, machines.ask(index, "GET", "/config").status);
  LONGS_EQUAL(200, machines.ask(kFront, "POST", "/change", replaceChangeBody("a", 0, 5)).status);
  for (int index = 0; index <= kFront; ++index) {
    AnswerHttp web = machines.ask(index, "GET", "/config");
    LONGS_EQUAL(200, web.status);
    STRCMP_EQUAL(R"({"config":{"by":"a","version":5},"version":5})", web.body.c_str());
  }
  // The primary answers a read at once, without a proof from another machine.
  TicketId ticket = machines.send(*machines.primary(), "GET", "/config");
  CHECK(machines.answerTo(ticket) != nullptr && machines.answerTo(ticket)->status == 200);
}

TEST(ConfigCores, OfTwoConcurrentChangesOnOneBaseOneIsStale) {
  settle();
  LONGS_EQUAL(200, machines.ask(0, "POST", "/change", replaceChangeBody("a", 0, 5)).status);
  TicketId one = machines.send(1, "POST", "/change", replaceChangeBody("b", 5, 7));
  TicketId other = machines.send(kFront, "POST", "/change", replaceChangeBody("c", 5, 9));
  machines.run(3);
  const AnswerHttp *first = machines.answerTo(one), *second = machines.answerTo(other);
  CHECK(first != nullptr && second != nullptr);
  LONGS_EQUAL(200 + 409, first->status + second->status);
  const AnswerHttp& stale = first->status == 409 ? *first : *second;
  int newest = first->status == 409 ? 9 : 7;
  LONGS_EQUAL(newest, bodyOf(stale)["newest"].get<int>());
  LONGS_EQUAL(newest, bodyOf(machines.ask(2, "GET", "/config"))["version"].get<int>());
  LONGS_EQUAL(200,
              machines.ask(2, "POST", "/change", replaceChangeBody("a", 0, 5)).status);  // again
}

TEST(ConfigCores, RepeatedChangeWaitsForRoutersAfterLeaderChange) {
  settle();
  LONGS_EQUAL(200, machines.ask(0, "POST", "/change", replaceChangeBody("a", 0, 5)).status);
  machines.kill(kFront);  // not yet considered dead: it may act on an older proof
  machines.kill(*machines.primary());
  for (int turn = 0; turn < 100 && !machines.primary(); ++turn) machines.run(0.05);
  CHECK(machines.primary().has_value());
  TicketId ticket =
      machines.send(*machines.primary(), "POST", "/change", replaceChangeBody("a", 0, 5));
  machines.run(1);
  CHECK(machines.answerTo(ticket) == nullptr);
  machines.run(2);
  CHECK(machines.answerTo(ticket) != nullptr && machines.answerTo(ticket)->status == 200);
}

TEST(ConfigCores, ChangeAndReadSurvivePrimaryFailure) {
  settle();
  LONGS_EQUAL(200, machines.ask(0, "POST", "/change", replaceChangeBody("a", 0, 5)).status);
  int lost = *machines.primary();
  machines.kill(lost);
  TicketId ticket = machines.send(kFront, "POST", "/change", replaceChangeBody("b", 5, 7));
  machines.run(5);
  CHECK(machines.primary().has_value());
  CHECK(machines.answerTo(ticket) != nullptr);
  LONGS_EQUAL(200, machines.answerTo(ticket)->status);
  LONGS_EQUAL(7, bodyOf(machines.ask(kFront, "GET", "/config"))["version"].get<int>());
}
