// Exchanges in which a client splits, closes or resets at each byte boundary of its request or of
// its response.
#include <cstdio>

#include "tests/router_harness.h"

using namespace peppergate;

namespace {

enum class ClientEvent : std::uint8_t { kReset, kHalfClose, kClose, kSplit };
constexpr std::array kClientEvents{ClientEvent::kReset, ClientEvent::kHalfClose,
                                   ClientEvent::kClose, ClientEvent::kSplit};

/// The text of a request with a chunked body or a Content-Length.
std::string requestText(const TestRequest& testRequest, bool inChunks) {
  if (!inChunks) return testRequest.wireText();
  return "POST /a/b HTTP/1.1\r\nHost: " + testRequest.host + "\r\nX-Attempt-Id: " + testRequest.id +
         "\r\nAuthorization: Token key\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nques\r\n4;x=y\r\n"
         "tion\r\n0\r\nTrailer: x\r\n\r\n";
}

}  // namespace

TEST_GROUP(HttpClientSchedules) {
  RouterHarness router;
  std::map<std::string, TestRequest> sentRequests;
  std::uint64_t lastId = 0;
  std::size_t exchangeCount = 0;
  std::string context;

  void teardown() override {
    std::printf("\n%s: %zu exchanges\n", UtestShell::getCurrent()->getName().asCharString(),
                exchangeCount);
  }
  TestRequest nextRequest(std::string_view host) {
    TestRequest testRequest;
    testRequest.id = "t" + std::to_string(++lastId);
    testRequest.host = host;
    sentRequests[testRequest.id] = testRequest;
    return testRequest;
  }
  void check(bool good, const char* rule) {
    if (good) return;
    std::string text = std::string(rule) + ": " + context;
    FAIL(text.c_str());
  }
  /// Checks that another client's request is served, whatever the previous client did.
  void checkNext() {
    TestRequest next = nextRequest("unsafe");
    auto client = router.send(next);
    check(router.waitForResponse(*client, sentRequests), "the next request has no response");
    ParsedResponse answer = parseResponse(client->received, client->ended, client->failed);
    check(answer.complete && answer.status == 200 && answer.surplusBytes == 0,
          "the next request is not served");
    check(answer.headers["x-attempt-id"] == next.id, "a response reached another client");
    check(answer.body.find("<" + next.id + " by ") == 0, "the body of another request");
    client->disconnect(true);
  }
  /// How often engines received a request with this id.
  std::size_t timesReceived(const std::string& id) {
    std::size_t count = 0;
    for (const auto& engine : router.engines)
      for (const auto& peer : engine->peers)
        for (auto at = peer->received.find("X-Attempt-Id: " + id + "\r\n"); at != std::string::npos;
             at = peer->received.find("X-Attempt-Id: " + id + "\r\n", at + 1))
          ++count;
    return count;
  }
};

TEST(HttpClientSchedules, RequestsTruncatedAtEveryByteReachNoEngine) {
  for (bool inChunks : {false, true})
    for (ClientEvent event : kClientEvents)
      for (std::size_t boundary = 0;; ++boundary) {
        TestRequest testRequest = nextRequest("unsafe");
        std::string text = requestText(testRequest, inChunks);
        if (boundary >= text.size()) break;
        context = std::string(inChunks ? "chunks" : "length") + ", event " +
                  std::to_string(static_cast<int>(event)) + " at byte " + std::to_string(boundary);
        ++exchangeCount;
        TestPeer client(router.loop, router.address());
        client.send(std::string_view(text).substr(0, boundary));
        router.loop.runPending();
        check(timesReceived(testRequest.id) == 0, "an incomplete request reached an engine");
        if (event == ClientEvent::kSplit) {
          client.send(std::string_view(text).substr(boundary));
          check(router.waitForResponse(client, sentRequests), "an exchange did not end");
          ParsedResponse found = parseResponse(client.received, client.ended, client.failed);
          check(found.complete && found.status == 200, "a split request is not served");
          check(found.body == engineBody(testRequest, 0), "wrong body");
          check(timesReceived(testRequest.id) == 1, "a request ran more than once");
          check(router.engines[0]->peers.back()->received.ends_with("\r\n\r\nquestion"),
                "the engine did not receive the body as sent");
          client.disconnect(true);
        } else if (event == ClientEvent::kHalfClose) {
          client.shutdownWrite();
          check(router.loop.runUntil([&] { return client.ended || client.failed; }),
                "a truncated request keeps its connection open");
          check(client.received.empty() || client.received.starts_with("HTTP/1.1 4"),
                "a truncated request got a response other than a client error");
        } else {
          client.disconnect(event == ClientEvent::kReset);
          router.loop.runPending();
        }
        if (event != ClientEvent::kSplit)
          check(timesReceived(testRequest.id) == 0, "a truncated request reached an engine");
        if (boundary % 16 == 0) checkNext();
        router.closeEngineConnections();
      }
}

TEST(HttpClientSchedules, ClientsThatStallAtAnyByteTimeOut) {
  // All clients stall at the same time, so that the timeout elapses only once.
  RequestLimits limits;
  limits.headerWait = limits.idle = milliseconds(50);
  router.setLimits(limits);
  for (bool inChunks : {false, true}) {
    TestRequest testRequest = nextRequest("unsafe");
    std::string text = requestText(testRequest, inChunks);
    std::vector<std::unique_ptr<TestPeer>> clients;
    for (std::size_t boundary = 0; boundary < text.size(); ++boundary, ++exchangeCount) {
      clients.push_back(std::make_unique<TestPeer>(router.loop, router.address()));
      clients.back()->send(std::string_view(text).substr(0, boundary));
    }
    for (std::size_t boundary = 0; boundary < text.size(); ++boundary) {
      context = std::string(inChunks ? "chunks" : "length") + ", silent from byte " +
                std::to_string(boundary);
      TestPeer& client = *clients[boundary];
      check(router.loop.runUntil([&] { return client.ended || client.failed; }),
            "the connection of a stalled client stays open");
      check(boundary == 0 ? client.received.empty() : client.received.starts_with("HTTP/1.1 408"),
            "a stalled client got no 408");
    }
    check(timesReceived(testRequest.id) == 0, "an incomplete request reached an engine");
  }
}

TEST(HttpClientSchedules, ClientsThatDisconnectAtEveryByteOfTheResponse) {
  // The engine has sent this many bytes when the client disconnects. If the connection to the
  // engine is kept alive, the next client must receive none of the old response.
  for (std::string_view host : kHosts)
    for (ClientEvent event : {ClientEvent::kReset, ClientEvent::kClose, ClientEvent::kHalfClose})
      for (std::size_t boundary = 0;; ++boundary) {
        TestRequest testRequest = nextRequest(host);
        std::string answer = engineResponse(testRequest, 0, Framing::kChunked);
        if (boundary > answer.size()) break;
        context = std::string(host) + ", event " + std::to_string(static_cast<int>(event)) +
                  " at byte " + std::to_string(boundary);
        ++exchangeCount;
        auto client = router.send(testRequest);
        EngineRequest request = router.waitForRequest(testRequest);
        router.markAnswered(request);
        request.peer->send(std::string_view(answer).substr(0, boundary));
        router.loop.runPending();
        if (event == ClientEvent::kHalfClose) client->shutdownWrite();
        else client->disconnect(event == ClientEvent::kReset);
        router.loop.runPending();
        bool stopped = request.peer->ended || request.peer->failed;
        check(stopped || boundary == answer.size(),
              "an engine continues for a client that has disconnected");
        check(router.liveRequests() == 0, "a request remains after its client has disconnected");
        if (!stopped) request.peer->send(std::string_view(answer).substr(boundary));
        router.loop.runPending();
        if (event == ClientEvent::kHalfClose) {
          check(router.loop.runUntil([&] { return client->ended || client->failed; }),
                "the connection of a half-closed client stays open");
          ParsedResponse found = parseResponse(client->received, client->ended, client->failed);
          check(found.complete == (boundary == answer.size()),
                "a client received more of the response after it had disconnected");
        }
        check(timesReceived(testRequest.id) == 1, "a request ran more than once");
        if (boundary % 4 == 0) checkNext();
        router.closeEngineConnections();
      }
}

TEST(HttpClientSchedules, PipelinedRequestsAreAnsweredInOrderAtEverySplit) {
  for (std::size_t boundary = 0;; ++boundary) {
    TestRequest first = nextRequest("unsafe"), second = nextRequest("unsafe");
    std::string text = first.wireText() + requestText(second, true);
    if (boundary > text.size()) break;
    context = "split at byte " + std::to_string(boundary);
    ++exchangeCount;
    TestPeer client(router.loop, router.address());
    client.send(std::string_view(text).substr(0, boundary));
    router.loop.runPending();
    client.send(std::string_view(text).substr(boundary));
    std::string got;
    check(router.loop.runUntil([&] {
      router.respondToPending(sentRequests);
      ParsedResponse one = parseResponse(client.received, client.ended, client.failed);
      if (!one.complete) return client.ended || client.failed;
      return parseResponse(std::string_view(client.received)
                               .substr(client.received.size() - one.surplusBytes),
                           client.ended, client.failed)
          .complete;
    }),
          "two pipelined requests did not get two responses");
    ParsedResponse one = parseResponse(client.received, client.ended, client.failed);
    ParsedResponse two = parseResponse(
        std::string_view(client.received).substr(client.received.size() - one.surplusBytes), false,
        false);
    check(one.headers["x-attempt-id"] == first.id && one.body == engineBody(first, 0),
          "wrong first response");
    check(two.headers["x-attempt-id"] == second.id && two.body == engineBody(second, 0),
          "wrong second response");
    check(two.complete && two.surplusBytes == 0, "bytes follow the last response");
    check(timesReceived(first.id) == 1 && timesReceived(second.id) == 1,
          "a request ran more than once");
    client.disconnect(true);
    router.closeEngineConnections();
  }
}

TEST(HttpClientSchedules, SurplusBytesAfterARequestNeverRun) {
  // Bytes of every length that form no request follow a complete one. The complete request is
  // answered in full, then the connection ends with a 400.
  const std::string surplus =
      "XYZ garbage\x01\r\n\r\nPOST /a/b HTTP/1.1\r\nX-Attempt-Id: evil\r\n\r\n";
  for (std::size_t size = 1; size <= surplus.size(); ++size) {
    TestRequest testRequest = nextRequest("unsafe");
    context = "surplus bytes " + std::to_string(size);
    ++exchangeCount;
    TestPeer client(router.loop, router.address());
    client.send(testRequest.wireText() + surplus.substr(0, size));
    check(router.waitForResponse(client, sentRequests), "an exchange did not end");
    router.loop.runPending();
    ParsedResponse found = parseResponse(client.received, client.ended, client.failed);
    check(found.complete && found.status == 200 && found.body == engineBody(testRequest, 0),
          "not served");
    std::string_view behind =
        std::string_view(client.received).substr(client.received.size() - found.surplusBytes);
    check(behind.empty() || behind.starts_with("HTTP/1.1 400"),
          "surplus bytes got a response other than 400");
    check(timesReceived("evil") == 0, "a smuggled request ran");
    client.disconnect(true);
    router.closeEngineConnections();
  }
}
