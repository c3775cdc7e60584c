// Clients that disconnect at each stage of their request: it is sent to no further engine, and an
// engine that already works on it is stopped.
#include <algorithm>
#include <string>

#include "tests/router_harness.h"

using namespace peppergate;

namespace {

/// A response in which an engine states that it did not run the request.
std::string notRunResponse(const TestRequest& testRequest) {
  return "HTTP/1.1 503 Busy\r\nX-Attempt-Id: " + testRequest.id +
         "\r\nX-Not-Delivered: full\r\nContent-Length: 0\r\n\r\n";
}

/// The stage of a request at which its client disconnects.
enum class Stage : std::uint8_t {
  kUnread,         // still in the router's receive buffer, followed by the client's FIN
  kConnecting,     // the connection to an engine is being established
  kAtEngine,       // sent to an engine, without a response yet
  kDeclined,       // the engine's rejection and the FIN arrive in one loop iteration
  kBroken,         // the engine's reset and the FIN arrive in one loop iteration
  kStreaming,      // the client has the first events, and the engine is silent
  kReadingPaused,  // sent; the client has pipelined so much that the router paused reading
};
struct StageRow {
  Stage stage;
  std::string_view name;
};
constexpr std::array kStages{StageRow{Stage::kUnread, "unread"},
                             StageRow{Stage::kConnecting, "connecting"},
                             StageRow{Stage::kAtEngine, "at the engine"},
                             StageRow{Stage::kDeclined, "declined"},
                             StageRow{Stage::kBroken, "connection reset"},
                             StageRow{Stage::kStreaming, "streaming"},
                             StageRow{Stage::kReadingPaused, "reading paused"}};

}  // namespace

TEST_GROUP(ClientDepartures) {
  std::string context, failures;

  /// Records a failure; all failures are reported together at the end of the test.
  void check(bool good, const char* rule) {
    if (!good) failures += "\n" + context + ": " + rule;
  }
  static std::size_t sentTo(RouterHarness & router, std::size_t engine,
                            const TestRequest& testRequest) {
    std::size_t count = 0;
    for (const auto& peer : router.engines[engine]->peers)
      if (peer->hasReceived("X-Attempt-Id: " + testRequest.id + "\r\n")) ++count;
    return count;
  }
  static std::size_t sentAnywhere(RouterHarness & router, const TestRequest& testRequest) {
    std::size_t count = 0;
    for (std::size_t engine = 0; engine < RouterHarness::kEngines; ++engine)
      count += sentTo(router, engine, testRequest);
    return count;
  }
  static void runOneIteration(RouterHarness & router) {
    event_base_loop(router.loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  }

  void disconnectAt(RouterHarness & router, Stage stage, const TestRequest& testRequest) {
    auto client = router.send(testRequest);
    if (stage == Stage::kUnread) {
      client->disconnect(false);
      router.loop.runPending();
      check(sentAnywhere(router, testRequest) == 0,
            "a request was sent to an engine after its client had disconnected");
      return;
    }
    if (stage == Stage::kConnecting) {
      while (router.liveRequests() == 0) runOneIteration(router);
      client->disconnect(false);
      router.loop.runPending();
      check(sentAnywhere(router, testRequest) == 0,
            "a request was written to an engine after its client had disconnected");
      return;
    }
    EngineRequest request = router.waitForRequest(testRequest);
    router.markAnswered(request);
    if (stage == Stage::kReadingPaused) {
      client->send(testRequest.wireText() + std::string(80U << 10, 'x'));
      router.loop.runPending();
    }
    if (stage == Stage::kStreaming) {
      std::string answer = engineResponse(testRequest, request.engine, Framing::kChunked);
      request.peer->send(std::string_view(answer).substr(0, answer.size() - 10));
      check(router.loop.runUntil([&] { return client->hasReceived("200 OK"); }),
            "the client received no events");
    }
    client->disconnect(false);
    if (stage == Stage::kDeclined) request.peer->send(notRunResponse(testRequest));
    if (stage == Stage::kBroken) request.peer->disconnect(true);
    router.loop.runPending();
    check(sentAnywhere(router, testRequest) == 1,
          "a request was sent to another engine after its client had disconnected");
    if (stage == Stage::kDeclined || stage == Stage::kBroken) return;  // the engine is already done
    check(request.peer->ended || request.peer->failed,
          "an engine continues for a client that has disconnected");
  }
};

TEST(ClientDepartures, StopAllWorkOnTheirRequests) {
  std::uint64_t number = 0;
  for (std::string_view host : kHosts)
    for (const auto& [stage, name] : kStages) {
      TestRequest testRequest;
      testRequest.id = "t" + std::to_string(++number);
      testRequest.host = host;
      context = std::string(host) + ", " + std::string(name);
      RouterHarness router;
      disconnectAt(router, stage, testRequest);
      router.loop.runPending();
      check(router.liveRequests() == 0, "a request remains after its client has disconnected");
    }
  if (!failures.empty()) FAIL(failures.c_str());
}
