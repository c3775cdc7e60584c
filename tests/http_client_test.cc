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
  std::vector<AttemptTurned> turns;
  std::vector<HttpAnswer> answers;
  std::function<void(const AttemptTurned&)> onTurn;
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
    auto before = turns.size();
    client->attempt(command, [this](AttemptTurned turned) {
      turns.push_back(turned);
      if (onTurn) onTurn(turned);
    });
    CHECK_EQUAL(before, turns.size());  // handlers are never called from inside `attempt`
    return command.attempt;
  }
  AttemptId open(bool stream = false) { return open(engine.address(), stream); }
  void call(Duration timeout = seconds(5)) {
    HttpCall call;
    call.address = engine.address();
    call.path = "/report";
    call.timeout = timeout;
    client->call(call, [this](const HttpAnswer& answer) { answers.push_back(answer); });
  }
  bool asked(std::size_t peer, std::string_view text) {
    return loop.until([&] { return engine.has(peer, text); });
  }
  bool over() {
    return loop.until([&] {
      return !turns.empty() && turns.back().turn != AttemptTurn::kWritten &&
             turns.back().turn != AttemptTurn::kHead && turns.back().turn != AttemptTurn::kBody;
    });
  }
  void answer(std::size_t peer, const std::string& id, const std::string& rest) {
    engine.peers[peer]->send("HTTP/1.1 200 OK\r\nX-Test-Id: " + id + "\r\n" + rest);
  }
  std::string kinds() const {
    constexpr std::string_view kLetters = "WHBEXN";  // in the order of AttemptTurn
    std::string text;
    for (const auto& turned : turns) text += kLetters[static_cast<std::size_t>(turned.turn)];
    return text;
  }
  std::string bodies() const {
    std::string text;
    for (const auto& turned : turns) text += turned.bytes;
    return text;
  }
  // Completes one attempt, after which its connection is idle and can be reused.
  void warmUp() {
    open();
    CHECK(asked(0, "question"));
    answer(0, "t1", "Content-Length: 2\r\n\r\nok");
    CHECK(over());
    CHECK_EQUAL(1U, client->kept());
    turns.clear();
    engine.peers[0]->got.clear();
  }
};

TEST(HttpClients, ReportsEachEventAndReusesTheConnection) {
  open();
  CHECK(asked(0, "Content-Length: 8\r\n\r\nquestion"));
  answer(0, "t1", "Content-Length: 6\r\n\r\nanswer");
  CHECK(over());
  STRCMP_EQUAL("WHBE", kinds().c_str());
  CHECK_EQUAL(200, turns[1].head->status);
  CHECK_EQUAL(std::string("OK"), turns[1].head->reason);
  CHECK_EQUAL(6U, *turns[1].head->length);
  CHECK_EQUAL(std::string("answer"), bodies());
  open();
  CHECK(asked(0, "X-Test-Id: t2"));
  CHECK_EQUAL(1U, engine.peers.size());
  CHECK_EQUAL(1U, client->opened());
}

TEST(HttpClients, ClosesIdleConnectionsThatReceiveBytesOrEnd) {
  warmUp();
  engine.peers[0]->send("HTTP/1.1 200 OK\r\n");
  CHECK(loop.until([&] { return client->kept() == 0; }));
  CHECK(loop.until([&] { return engine.peers[0]->ended || engine.peers[0]->failed; }));
  open();
  CHECK(asked(1, "X-Test-Id: t2"));
  answer(1, "t2", "Content-Length: 0\r\n\r\n");
  CHECK(over());
  CHECK_EQUAL(1U, client->kept());
  engine.peers[1]->endWriting();
  CHECK(loop.until([&] { return client->kept() == 0; }));
}

TEST(HttpClients, ChecksAnIdleConnectionOnceMoreBeforeWriting) {
  warmUp();
  engine.peers[0]->send("HTTP/1.1 200 OK\r\nX-Test-Id: t0\r\n");  // not yet read by the loop
  open();
  CHECK(asked(1, "X-Test-Id: t2"));
  CHECK_EQUAL(std::string(), engine.peers[0]->got);
}

TEST(HttpClients, SurplusBytesCloseTheConnectionButTheResponseIsComplete) {
  open();
  CHECK(asked(0, "question"));
  answer(0, "t1", "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
  CHECK(over());
  STRCMP_EQUAL("WHBE", kinds().c_str());
  CHECK_EQUAL(std::string("ok"), bodies());
  CHECK_EQUAL(0U, client->kept());
}

TEST(HttpClients, NeverForwardsAnotherRequestsResponse) {
  warmUp();
  open();
  CHECK(asked(0, "X-Test-Id: t2"));
  answer(0, "t1", "Content-Length: 5\r\n\r\nstale");
  CHECK(over());
  STRCMP_EQUAL("WX", kinds().c_str());
  CHECK_EQUAL(0U, client->kept());
  CHECK(loop.until([&] { return engine.peers[0]->ended || engine.peers[0]->failed; }));
}

TEST(HttpClients, ReadsInterimHeadsAndChunksByteByByte) {
  open();
  CHECK(asked(0, "question"));
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 Fine Too\r\nX-Test-Id: t1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n5;x\r\nfives\r\n0\r\n\r\n";
  for (char byte : text) {
    engine.peers[0]->send({&byte, 1});
    loop.turn();
  }
  CHECK(over());
  CHECK_EQUAL(std::string("fourfives"), bodies());
  CHECK_EQUAL(std::string("Fine Too"), turns[1].head->reason);
  CHECK(!turns[1].head->length);
  CHECK(turns.back().turn == AttemptTurn::kEnded);
  CHECK_EQUAL(1U, client->kept());
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
    turns.clear();
    open();
    std::size_t peer = lastAttempt - 1;
    CHECK(asked(peer, "question"));
    engine.peers[peer]->send(head + std::to_string(lastAttempt) + "\r\n" + bad.rest);
    engine.peers[peer]->endWriting();
    CHECK(over());
    STRCMP_EQUAL_TEXT(bad.kinds.c_str(), kinds().c_str(), bad.rest.c_str());
    CHECK_EQUAL(0U, client->kept());
  }
}

TEST(HttpClients, BytesThatAreNotHttpAreBroken) {
  open();
  CHECK(asked(0, "question"));
  engine.peers[0]->send("garbage that is no answer at all\r\n\r\n");
  CHECK(over());
  STRCMP_EQUAL("WX", kinds().c_str());
}

TEST(HttpClients, AnAttemptToAClosedPortIsNotWritten) {
  open(freeAddress());
  CHECK(over());
  STRCMP_EQUAL("N", kinds().c_str());
  turns.clear();
  open(Address{"no address"});
  CHECK(over());
  STRCMP_EQUAL("N", kinds().c_str());
}

TEST(HttpClients, AnAttemptPastItsWriteDeadlineIsNotWritten) {
  open(engine.address(), false, bootNow());
  CHECK(over());
  STRCMP_EQUAL("N", kinds().c_str());
  CHECK_EQUAL(1U, client->kept());  // the connection was established and is unused
  turns.clear();
  open(engine.address(), false, bootNow());
  CHECK(over());
  STRCMP_EQUAL("N", kinds().c_str());
  loop.turn();
  CHECK_EQUAL(std::string(), engine.peers[0]->got);
  CHECK_EQUAL(1U, engine.peers.size());
}

TEST(HttpClients, AnEngineThatResetsAfterTheWriteMayHaveRunTheRequest) {
  open();
  CHECK(asked(0, "question"));
  engine.peers[0]->leave(true);
  CHECK(over());
  STRCMP_EQUAL("WX", kinds().c_str());
}

TEST(HttpClients, AResponseCountsBeforeTheRequestIsFullyWritten) {
  question = std::string(32U << 20, 'x');
  open();
  CHECK(loop.until([&] { return !engine.peers.empty(); }));
  engine.peers[0]->stopReading();
  CHECK(loop.until([&] { return !turns.empty(); }));
  answer(0, "t1", "Content-Length: 2\r\n\r\nno");
  CHECK(over());
  STRCMP_EQUAL("WHBE", kinds().c_str());
  CHECK_EQUAL(0U, client->kept());
}

TEST(HttpClients, ConnectionsAreReusedOnlyIfTheEngineAllowsIt) {
  const std::string rests[] = {"Content-Length: 0\r\nConnection: close\r\n\r\n",
                               "Content-Length: 0\r\nKeep-Alive: timeout=0\r\n\r\n"};
  for (const auto& rest : rests) {
    turns.clear();
    open();
    std::size_t peer = lastAttempt - 1;
    CHECK(asked(peer, "question"));
    answer(peer, "t" + std::to_string(lastAttempt), rest);
    CHECK(over());
    CHECK_EQUAL(peer == 0, turns[1].leaving);
    CHECK_EQUAL(0U, client->kept());
  }
}

TEST(HttpClients, StreamsAreReportedInWholeEvents) {
  open(true);
  CHECK(asked(0, "question"));
  answer(0, "t1", "Transfer-Encoding: chunked\r\n\r\n");
  auto chunk = [&](const std::string& text) {
    char size[16];
    snprintf(size, sizeof size, "%zx\r\n", text.size());
    engine.peers[0]->send(size + text + "\r\n");
  };
  chunk("id: 1\ndata: a\n\nid: 2\r\nda");
  CHECK(loop.until([&] { return turns.size() == 3; }));
  CHECK_EQUAL(std::string("id: 1\ndata: a\n\n"), turns[2].bytes);
  CHECK_EQUAL(1U, *turns[2].firstEvent);
  CHECK_EQUAL(1U, *turns[2].lastEvent);
  CHECK(!turns[2].newVersion);
  chunk("ta: b\r\n\r");
  loop.turn();
  CHECK_EQUAL(3U, turns.size());
  chunk("\nid: 3\nversion: 8\n\nid: 4\n\nid");
  CHECK(loop.until([&] { return turns.size() == 4; }));
  CHECK_EQUAL(std::string("id: 2\r\ndata: b\r\n\r\nid: 3\nversion: 8\n\nid: 4\n\n"),
              turns[3].bytes);
  CHECK_EQUAL(2U, *turns[3].firstEvent);
  CHECK_EQUAL(4U, *turns[3].lastEvent);
  CHECK_EQUAL(8U, turns[3].newVersion->value);
  chunk(": rest");
  engine.peers[0]->send("0\r\n\r\n");
  CHECK(over());
  STRCMP_EQUAL("WHBBBE", kinds().c_str());
  CHECK_EQUAL(std::string("id: rest"), turns[4].bytes);
}

TEST(HttpClients, ATruncatedStreamReportsNoPartialEvent) {
  open(true);
  CHECK(asked(0, "question"));
  answer(0, "t1", "Transfer-Encoding: chunked\r\n\r\n17\r\nid: 1\ndata: a\n\nid: 2\nda\r\n");
  engine.peers[0]->endWriting();
  CHECK(over());
  STRCMP_EQUAL("WHBX", kinds().c_str());
  CHECK_EQUAL(std::string("id: 1\ndata: a\n\n"), bodies());
}

TEST(HttpClients, NoEventFollowsACancelFromInsideAHandler) {
  for (AttemptTurn last : {AttemptTurn::kWritten, AttemptTurn::kHead, AttemptTurn::kBody}) {
    turns.clear();
    onTurn = [this, last](const AttemptTurned& turned) {
      if (turned.turn == last) client->cancel(turned.attempt);
    };
    open();
    std::size_t peer = lastAttempt - 1;
    CHECK(asked(peer, "question"));
    answer(peer, "t" + std::to_string(lastAttempt), "Content-Length: 2\r\n\r\nok");
    CHECK(loop.until([&] { return engine.peers[peer]->ended || engine.peers[peer]->failed; }));
    CHECK_EQUAL(static_cast<std::size_t>(last) + 1, turns.size());
    CHECK_EQUAL(0U, client->kept());
  }
}

TEST(HttpClients, NoEventFollowsACancelBeforeTheConnectionIsEstablished) {
  client->cancel(open());
  client->cancel({99});
  loop.turn();
  CHECK_EQUAL(0U, turns.size());
}

TEST(HttpClients, AnAttemptFromInsideTheFinalHandlerReusesTheConnection) {
  onTurn = [this](const AttemptTurned& turned) {
    if (turned.turn == AttemptTurn::kEnded && lastAttempt == 1) open();
  };
  open();
  CHECK(asked(0, "X-Test-Id: t1"));
  answer(0, "t1", "Content-Length: 0\r\n\r\n");
  CHECK(asked(0, "X-Test-Id: t2"));
  answer(0, "t2", "Content-Length: 0\r\n\r\n");
  CHECK(loop.until([&] { return turns.size() == 6; }));
  STRCMP_EQUAL("WHEWHE", kinds().c_str());
  CHECK_EQUAL(1U, client->opened());
}

TEST(HttpClients, PausedAttemptsAreReadAfterTheyResume) {
  AttemptId attempt = open();
  CHECK(asked(0, "question"));
  CHECK(loop.until([&] { return turns.size() == 1; }));
  client->pause(attempt, true);
  answer(0, "t1", "Content-Length: 2\r\n\r\nok");
  loop.turn();
  CHECK_EQUAL(1U, turns.size());
  client->pause(attempt, false);
  CHECK(over());
  STRCMP_EQUAL("WHBE", kinds().c_str());
}

TEST(HttpClients, CallsReuseTheConnectionsOfAttempts) {
  warmUp();
  call();
  CHECK(asked(0, "GET /report HTTP/1.1\r\nHost: 127.0.0.1:"));
  engine.peers[0]->send(
      "HTTP/1.1 429 Later\r\nX-One: a\r\nx-one: b\r\nContent-Length: 2\r\n\r\n{}");
  CHECK(loop.until([&] { return answers.size() == 1; }));
  CHECK_EQUAL(429, answers[0].status);
  CHECK(answers[0].written);
  CHECK_EQUAL(std::string("{}"), answers[0].body);
  CHECK_EQUAL(std::string("a, b"), answers[0].headers.at("x-one"));
  CHECK_EQUAL(1U, client->kept());
  CHECK_EQUAL(1U, client->opened());
}

TEST(HttpClients, ACallNeverAcceptsTheResponseOfAnAttempt) {
  // The response to the previous attempt is repeated in place of the call's response.
  warmUp();
  call();
  CHECK(asked(0, "GET /report"));
  answer(0, "t1", "Content-Length: 2\r\n\r\nok");
  CHECK(loop.until([&] { return answers.size() == 1; }));
  CHECK_EQUAL(0, answers[0].status);
  CHECK(answers[0].written);
  CHECK_EQUAL(std::string(), answers[0].body);
  CHECK_EQUAL(0U, client->kept());
}

TEST(HttpClients, ACallWithItsOwnConnectionReusesNone) {
  warmUp();
  HttpCall order;
  order.method = "POST";
  order.path = "/order";
  order.address = engine.address();
  order.timeout = seconds(5);
  order.ownConnection = true;
  client->call(order, [this](const HttpAnswer& answer) { answers.push_back(answer); });
  CHECK(asked(1, "POST /order"));
  engine.peers[1]->send("HTTP/1.1 202 Taken\r\nContent-Length: 0\r\n\r\n");
  CHECK(loop.until([&] { return answers.size() == 1; }));
  CHECK_EQUAL(202, answers[0].status);
  CHECK_EQUAL(1U, client->kept());  // the attempt's connection, not the order's
  CHECK(loop.until([&] { return engine.peers[1]->ended; }));
  CHECK_EQUAL(std::string(), engine.peers[0]->got);
}

TEST(HttpClients, CallsTimeOut) {
  call(milliseconds(30));
  CHECK(asked(0, "/report"));
  CHECK(loop.until([&] { return answers.size() == 1; }));
  CHECK_EQUAL(0, answers[0].status);
  CHECK(answers[0].written);
  CHECK_EQUAL(0U, client->kept());
  HttpCall late;
  late.address = engine.address();
  late.writeBefore = bootNow();
  client->call(late, [this](const HttpAnswer& answer) { answers.push_back(answer); });
  CHECK(loop.until([&] { return answers.size() == 2; }));
  CHECK_EQUAL(0, answers[1].status);
  CHECK(!answers[1].written);
}

TEST(HttpClients, NoEventFollowsTheDestructionOfTheClient) {
  warmUp();
  open();
  open(freeAddress());
  call();
  CHECK(asked(0, "X-Test-Id: t2"));
  open();
  auto told = turns.size();
  client.reset();
  loop.turn();
  CHECK_EQUAL(told, turns.size());
  CHECK_EQUAL(0U, answers.size());
}

TEST(HttpClients, IdleConnectionsExpire) {
  open();
  CHECK(asked(0, "question"));
  answer(0, "t1", "Content-Length: 0\r\nKeep-Alive: timeout=1\r\n\r\n");
  CHECK(over());
  CHECK_EQUAL(1U, client->kept());
  CHECK(loop.until([&] { return client->kept() == 0; }));
  CHECK(loop.until([&] { return engine.peers[0]->ended; }));
}
