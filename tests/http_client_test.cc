// The HTTP client on loopback sockets: reuse of connections, and when an attempt or call counts as
// written, complete or broken.
#include "io/http_client.h"

#include "tests/http_testing.h"

using namespace peppergate;

TEST_GROUP(HttpClients) {
  TestLoop loop;
  TestDialect dialect;
  TestListener engine{loop};
  std::unique_ptr<HttpClient> client = std::make_unique<HttpClient>(loop.loop(), dialect);
  std::vector<AttemptEvent> events;
  std::vector<HttpResponse> answers;
  std::function<void(const AttemptEvent&)> onEvent;
  std::uint64_t lastAttempt = 0;
  std::string question = "question";

  AttemptId open(const Address& address, bool stream = false,
                 MonotonicTime writeBefore = kForever) {
    auto wire = std::make_shared<WireRequest>();
    wire->method = "POST";
    wire->target = "/work";
    wire->body = question;
    OpenAttempt command;
    command.attempt = {++lastAttempt};
    command.wire = wire;
    command.clientId = "t" + std::to_string(lastAttempt);
    command.address = address;
    command.stream = stream;
    command.writeBefore = writeBefore;
    auto before = events.size();
    client->attempt(command, [this](AttemptEvent event) {
      events.push_back(event);
      if (onEvent) onEvent(event);
    });
    CHECK_EQUAL(before, events.size());  // handlers are never called from inside `attempt`
    return command.attempt;
  }
  AttemptId open(bool stream = false) { return open(engine.address(), stream); }
  void call(Duration timeout = seconds(5)) {
    HttpCall call;
    call.address = engine.address();
    call.path = "/report";
    call.timeout = timeout;
    client->call(call, [this](const HttpResponse& answer) { answers.push_back(answer); });
  }
  bool waitForText(std::size_t peer, std::string_view text) {
    return loop.runUntil([&] { return engine.hasReceived(peer, text); });
  }
  bool waitForEnd() {
    return loop.runUntil([&] {
      return !events.empty() && events.back().kind != AttemptEventKind::kWritten &&
             events.back().kind != AttemptEventKind::kHead &&
             events.back().kind != AttemptEventKind::kBody;
    });
  }
  void answer(std::size_t peer, const std::string& id, const std::string& rest) {
    engine.peers[peer]->send("HTTP/1.1 200 OK\r\nX-Test-Id: " + id + "\r\n" + rest);
  }
  std::string kinds() const {
    constexpr std::string_view kLetters = "WHBEXN";  // in the order of AttemptEventKind
    std::string text;
    for (const auto& event : events) text += kLetters[static_cast<std::size_t>(event.kind)];
    return text;
  }
  std::string bodies() const {
    std::string text;
    for (const auto& event : events) text += event.bytes;
    return text;
  }
  // Completes one attempt, after which its connection is idle and can be reused.
  void makeIdleConnection() {
    open();
    CHECK(waitForText(0, "question"));
    answer(0, "t1", "Content-Length: 2\r\n\r\nok");
    CHECK(waitForEnd());
    CHECK_EQUAL(1U, client->idleConnectionCount());
    events.clear();
    engine.peers[0]->received.clear();
  }
};

TEST(HttpClients, ReportsEachEventAndReusesTheConnection) {
  open();
  CHECK(waitForText(0, "Content-Length: 8\r\n\r\nquestion"));
  answer(0, "t1", "Content-Length: 6\r\n\r\nanswer");
  CHECK(waitForEnd());
  STRCMP_EQUAL("WHBE", kinds().c_str());
  CHECK_EQUAL(200, events[1].head->status);
  CHECK_EQUAL(std::string("OK"), events[1].head->reason);
  CHECK_EQUAL(6U, *events[1].head->bodyLength);
  CHECK_EQUAL(std::string("answer"), bodies());
  open();
  CHECK(waitForText(0, "X-Test-Id: t2"));
  CHECK_EQUAL(1U, engine.peers.size());
  CHECK_EQUAL(1U, client->connectionsOpened());
}

TEST(HttpClients, ClosesIdleConnectionsThatReceiveBytesOrEnd) {
  makeIdleConnection();
  engine.peers[0]->send("HTTP/1.1 200 OK\r\n");
  CHECK(loop.runUntil([&] { return client->idleConnectionCount() == 0; }));
  CHECK(loop.runUntil([&] { return engine.peers[0]->ended || engine.peers[0]->failed; }));
  open();
  CHECK(waitForText(1, "X-Test-Id: t2"));
  answer(1, "t2", "Content-Length: 0\r\n\r\n");
  CHECK(waitForEnd());
  CHECK_EQUAL(1U, client->idleConnectionCount());
  engine.peers[1]->shutdownWrite();
  CHECK(loop.runUntil([&] { return client->idleConnectionCount() == 0; }));
}

TEST(HttpClients, ChecksAnIdleConnectionOnceMoreBeforeWriting) {
  makeIdleConnection();
  engine.peers[0]->send("HTTP/1.1 200 OK\r\nX-Test-Id: t0\r\n");  // not yet read by the loop
  open();
  CHECK(waitForText(1, "X-Test-Id: t2"));
  CHECK_EQUAL(std::string(), engine.peers[0]->received);
}

TEST(HttpClients, SurplusBytesCloseTheConnectionButTheResponseIsComplete) {
  open();
  CHECK(waitForText(0, "question"));
  answer(0, "t1", "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
  CHECK(waitForEnd());
  STRCMP_EQUAL("WHBE", kinds().c_str());
  CHECK_EQUAL(std::string("ok"), bodies());
  CHECK_EQUAL(0U, client->idleConnectionCount());
}

TEST(HttpClients, NeverForwardsAnotherRequestsResponse) {
  makeIdleConnection();
  open();
  CHECK(waitForText(0, "X-Test-Id: t2"));
  answer(0, "t1", "Content-Length: 5\r\n\r\nstale");
  CHECK(waitForEnd());
  STRCMP_EQUAL("WX", kinds().c_str());
  CHECK_EQUAL(0U, client->idleConnectionCount());
  CHECK(loop.runUntil([&] { return engine.peers[0]->ended || engine.peers[0]->failed; }));
}

TEST(HttpClients, ReadsInterimHeadsAndChunksByteByByte) {
  open();
  CHECK(waitForText(0, "question"));
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 Fine Too\r\nX-Test-Id: t1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n5;x\r\nfives\r\n0\r\n\r\n";
  for (char byte : text) {
    engine.peers[0]->send({&byte, 1});
    loop.runPending();
  }
  CHECK(waitForEnd());
  CHECK_EQUAL(std::string("fourfives"), bodies());
  CHECK_EQUAL(std::string("Fine Too"), events[1].head->reason);
  CHECK(!events[1].head->bodyLength);
  CHECK(events.back().kind == AttemptEventKind::kComplete);
  CHECK_EQUAL(1U, client->idleConnectionCount());
}

TEST(HttpClients, TruncatedOrInvalidResponsesAreBroken) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Test-Id: t";
  struct Bad {
    std::string rest;
    std::string kinds;
  };
  const Bad all[] = {
      {"Content-Length: 9\r\n\r\nshort", "WHBX"},
      {"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", "WHBX"},
      {"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\nzz\r\n", "WHBX"},
      {"\r\nuntil the close", "WHBX"},
      {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "WX"},
      {"Content-Length: 5\r\nContent-Length: 5\r\n\r\nshort", "WX"},
      {"X : y\r\nContent-Length: 0\r\n\r\n", "WX"},
      {"Content-Le", "WX"},
  };
  for (const auto& bad : all) {
    events.clear();
    open();
    std::size_t peer = lastAttempt - 1;
    CHECK(waitForText(peer, "question"));
    engine.peers[peer]->send(head + std::to_string(lastAttempt) + "\r\n" + bad.rest);
    engine.peers[peer]->shutdownWrite();
    CHECK(waitForEnd());
    STRCMP_EQUAL_TEXT(bad.kinds.c_str(), kinds().c_str(), bad.rest.c_str());
    CHECK_EQUAL(0U, client->idleConnectionCount());
  }
}

TEST(HttpClients, BytesThatAreNotHttpAreBroken) {
  open();
  CHECK(waitForText(0, "question"));
  engine.peers[0]->send("garbage that is no answer at all\r\n\r\n");
  CHECK(waitForEnd());
  STRCMP_EQUAL("WX", kinds().c_str());
}

TEST(HttpClients, AnAttemptToAClosedPortIsNotWritten) {
  open(freeAddress());
  CHECK(waitForEnd());
  STRCMP_EQUAL("N", kinds().c_str());
  events.clear();
  open(Address{"no address"});
  CHECK(waitForEnd());
  STRCMP_EQUAL("N", kinds().c_str());
}

TEST(HttpClients, AnAttemptPastItsWriteDeadlineIsNotWritten) {
  open(engine.address(), false, bootNow());
  CHECK(waitForEnd());
  STRCMP_EQUAL("N", kinds().c_str());
  CHECK_EQUAL(1U, client->idleConnectionCount());  // the connection was established and is unused
  events.clear();
  open(engine.address(), false, bootNow());
  CHECK(waitForEnd());
  STRCMP_EQUAL("N", kinds().c_str());
  loop.runPending();
  CHECK_EQUAL(std::string(), engine.peers[0]->received);
  CHECK_EQUAL(1U, engine.peers.size());
}

TEST(HttpClients, AnEngineThatResetsAfterTheWriteMayHaveRunTheRequest) {
  open();
  CHECK(waitForText(0, "question"));
  engine.peers[0]->disconnect(true);
  CHECK(waitForEnd());
  STRCMP_EQUAL("WX", kinds().c_str());
}

TEST(HttpClients, AResponseCountsBeforeTheRequestIsFullyWritten) {
  question = std::string(32U << 20, 'x');
  open();
  CHECK(loop.runUntil([&] { return !engine.peers.empty(); }));
  engine.peers[0]->stopReading();
  CHECK(loop.runUntil([&] { return !events.empty(); }));
  answer(0, "t1", "Content-Length: 2\r\n\r\nno");
  CHECK(waitForEnd());
  STRCMP_EQUAL("WHBE", kinds().c_str());
  CHECK_EQUAL(0U, client->idleConnectionCount());
}

TEST(HttpClients, ConnectionsAreReusedOnlyIfTheEngineAllowsIt) {
  const std::string rests[] = {"Content-Length: 0\r\nConnection: close\r\n\r\n",
                               "Content-Length: 0\r\nKeep-Alive: timeout=0\r\n\r\n"};
  for (const auto& rest : rests) {
    events.clear();
    open();
    std::size_t peer = lastAttempt - 1;
    CHECK(waitForText(peer, "question"));
    answer(peer, "t" + std::to_string(lastAttempt), rest);
    CHECK(waitForEnd());
    CHECK_EQUAL(peer == 0, events[1].closesConnection);
    CHECK_EQUAL(0U, client->idleConnectionCount());
  }
}

TEST(HttpClients, StreamsAreReportedInWholeEvents) {
  open(true);
  CHECK(waitForText(0, "question"));
  answer(0, "t1", "Transfer-Encoding: chunked\r\n\r\n");
  auto chunk = [&](const std::string& text) {
    char size[16];
    snprintf(size, sizeof size, "%zx\r\n", text.size());
    engine.peers[0]->send(size + text + "\r\n");
  };
  chunk("id: 1\ndata: a\n\nid: 2\r\nda");
  CHECK(loop.runUntil([&] { return events.size() == 3; }));
  CHECK_EQUAL(std::string("id: 1\ndata: a\n\n"), events[2].bytes);
  CHECK_EQUAL(1U, *events[2].firstEventId);
  CHECK_EQUAL(1U, *events[2].lastEventId);
  CHECK(!events[2].newVersion);
  chunk("ta: b\r\n\r");
  loop.runPending();
  CHECK_EQUAL(3U, events.size());
  chunk("\nid: 3\nversion: 8\n\nid: 4\n\nid");
  CHECK(loop.runUntil([&] { return events.size() == 4; }));
  CHECK_EQUAL(std::string("id: 2\r\ndata: b\r\n\r\nid: 3\nversion: 8\n\nid: 4\n\n"),
              events[3].bytes);
  CHECK_EQUAL(2U, *events[3].firstEventId);
  CHECK_EQUAL(4U, *events[3].lastEventId);
  CHECK_EQUAL(8U, events[3].newVersion->value);
  chunk(": rest");
  engine.peers[0]->send("0\r\n\r\n");
  CHECK(waitForEnd());
  STRCMP_EQUAL("WHBBBE", kinds().c_str());
  CHECK_EQUAL(std::string("id: rest"), events[4].bytes);
}

TEST(HttpClients, ATruncatedStreamReportsNoPartialEvent) {
  open(true);
  CHECK(waitForText(0, "question"));
  answer(0, "t1", "Transfer-Encoding: chunked\r\n\r\n17\r\nid: 1\ndata: a\n\nid: 2\nda\r\n");
  engine.peers[0]->shutdownWrite();
  CHECK(waitForEnd());
  STRCMP_EQUAL("WHBX", kinds().c_str());
  CHECK_EQUAL(std::string("id: 1\ndata: a\n\n"), bodies());
}

TEST(HttpClients, NoEventFollowsACancelFromInsideAHandler) {
  for (AttemptEventKind last :
       {AttemptEventKind::kWritten, AttemptEventKind::kHead, AttemptEventKind::kBody}) {
    events.clear();
    onEvent = [this, last](const AttemptEvent& event) {
      if (event.kind == last) client->cancel(event.attempt);
    };
    open();
    std::size_t peer = lastAttempt - 1;
    CHECK(waitForText(peer, "question"));
    answer(peer, "t" + std::to_string(lastAttempt), "Content-Length: 2\r\n\r\nok");
    CHECK(loop.runUntil([&] { return engine.peers[peer]->ended || engine.peers[peer]->failed; }));
    CHECK_EQUAL(static_cast<std::size_t>(last) + 1, events.size());
    CHECK_EQUAL(0U, client->idleConnectionCount());
  }
}

TEST(HttpClients, NoEventFollowsACancelBeforeTheConnectionIsEstablished) {
  client->cancel(open());
  client->cancel({99});
  loop.runPending();
  CHECK_EQUAL(0U, events.size());
}

TEST(HttpClients, AnAttemptFromInsideTheFinalHandlerReusesTheConnection) {
  onEvent = [this](const AttemptEvent& event) {
    if (event.kind == AttemptEventKind::kComplete && lastAttempt == 1) open();
  };
  open();
  CHECK(waitForText(0, "X-Test-Id: t1"));
  answer(0, "t1", "Content-Length: 0\r\n\r\n");
  CHECK(waitForText(0, "X-Test-Id: t2"));
  answer(0, "t2", "Content-Length: 0\r\n\r\n");
  CHECK(loop.runUntil([&] { return events.size() == 6; }));
  STRCMP_EQUAL("WHEWHE", kinds().c_str());
  CHECK_EQUAL(1U, client->connectionsOpened());
}

TEST(HttpClients, PausedAttemptsAreReadAfterTheyResume) {
  AttemptId attempt = open();
  CHECK(waitForText(0, "question"));
  CHECK(loop.runUntil([&] { return events.size() == 1; }));
  client->pause(attempt, true);
  answer(0, "t1", "Content-Length: 2\r\n\r\nok");
  loop.runPending();
  CHECK_EQUAL(1U, events.size());
  client->pause(attempt, false);
  CHECK(waitForEnd());
  STRCMP_EQUAL("WHBE", kinds().c_str());
}

TEST(HttpClients, CallsReuseTheConnectionsOfAttempts) {
  makeIdleConnection();
  call();
  CHECK(waitForText(0, "GET /report HTTP/1.1\r\nHost: 127.0.0.1:"));
  engine.peers[0]->send(
      "HTTP/1.1 429 Later\r\nX-One: a\r\nx-one: b\r\nContent-Length: 2\r\n\r\n{}");
  CHECK(loop.runUntil([&] { return answers.size() == 1; }));
  CHECK_EQUAL(429, answers[0].status);
  CHECK(answers[0].written);
  CHECK_EQUAL(std::string("{}"), answers[0].body);
  CHECK_EQUAL(std::string("a, b"), answers[0].headers.at("x-one"));
  CHECK_EQUAL(1U, client->idleConnectionCount());
  CHECK_EQUAL(1U, client->connectionsOpened());
}

TEST(HttpClients, ACallNeverAcceptsTheResponseOfAnAttempt) {
  // The response to the previous attempt is repeated in place of the call's response.
  makeIdleConnection();
  call();
  CHECK(waitForText(0, "GET /report"));
  answer(0, "t1", "Content-Length: 2\r\n\r\nok");
  CHECK(loop.runUntil([&] { return answers.size() == 1; }));
  CHECK_EQUAL(0, answers[0].status);
  CHECK(answers[0].written);
  CHECK_EQUAL(std::string(), answers[0].body);
  CHECK_EQUAL(0U, client->idleConnectionCount());
}

TEST(HttpClients, ACallWithItsOwnConnectionReusesNone) {
  makeIdleConnection();
  HttpCall order;
  order.method = "POST";
  order.path = "/order";
  order.address = engine.address();
  order.timeout = seconds(5);
  order.ownConnection = true;
  client->call(order, [this](const HttpResponse& answer) { answers.push_back(answer); });
  CHECK(waitForText(1, "POST /order"));
  engine.peers[1]->send("HTTP/1.1 202 Taken\r\nContent-Length: 0\r\n\r\n");
  CHECK(loop.runUntil([&] { return answers.size() == 1; }));
  CHECK_EQUAL(202, answers[0].status);
  CHECK_EQUAL(1U, client->idleConnectionCount());  // the attempt's connection, not the order's
  CHECK(loop.runUntil([&] { return engine.peers[1]->ended; }));
  CHECK_EQUAL(std::string(), engine.peers[0]->received);
}

TEST(HttpClients, CallsTimeOut) {
  call(milliseconds(30));
  CHECK(waitForText(0, "/report"));
  CHECK(loop.runUntil([&] { return answers.size() == 1; }));
  CHECK_EQUAL(0, answers[0].status);
  CHECK(answers[0].written);
  CHECK_EQUAL(0U, client->idleConnectionCount());
  HttpCall late;
  late.address = engine.address();
  late.writeDeadline = bootNow();
  client->call(late, [this](const HttpResponse& answer) { answers.push_back(answer); });
  CHECK(loop.runUntil([&] { return answers.size() == 2; }));
  CHECK_EQUAL(0, answers[1].status);
  CHECK(!answers[1].written);
}

TEST(HttpClients, NoEventFollowsTheDestructionOfTheClient) {
  makeIdleConnection();
  open();
  open(freeAddress());
  call();
  CHECK(waitForText(0, "X-Test-Id: t2"));
  open();
  auto eventCount = events.size();
  client.reset();
  loop.runPending();
  CHECK_EQUAL(eventCount, events.size());
  CHECK_EQUAL(0U, answers.size());
}

TEST(HttpClients, IdleConnectionsExpire) {
  open();
  CHECK(waitForText(0, "question"));
  answer(0, "t1", "Content-Length: 0\r\nKeep-Alive: timeout=1\r\n\r\n");
  CHECK(waitForEnd());
  CHECK_EQUAL(1U, client->idleConnectionCount());
  CHECK(loop.runUntil([&] { return client->idleConnectionCount() == 0; }));
  CHECK(loop.runUntil([&] { return engine.peers[0]->ended; }));
}
