// Clients that disconnect at each stage of their request: it is sent to no further engine, and an
// engine that already works on it is stopped.
#include <algorithm>
#include <string>

#include "tests/http_path.h"

using namespace peppergate;

namespace {

/// A response in which an engine states that it did not run the request.
std::string declineFor(const Asked& asked) {
  return "HTTP/1.1 503 Busy\r\nX-Attempt-Id: " + asked.id +
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
  std::string running, broken;

  /// Records a failure; all failures are reported together at the end of the test.
  void check(bool good, const char* rule) {
    if (!good) broken += "\n" + running + ": " + rule;
  }
  static std::size_t sentTo(HttpPath & path, std::size_t engine, const Asked& asked) {
    std::size_t count = 0;
    for (const auto& peer : path.engines[engine]->peers)
      if (peer->has("X-Attempt-Id: " + asked.id + "\r\n")) ++count;
    return count;
  }
  static std::size_t sentAnywhere(HttpPath & path, const Asked& asked) {
    std::size_t count = 0;
    for (std::size_t engine = 0; engine < HttpPath::kEngines; ++engine)
      count += sentTo(path, engine, asked);
    return count;
  }
  static void turnOnce(HttpPath & path) {
    event_base_loop(path.loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  }

  void leaveAt(HttpPath & path, Stage stage, const Asked& asked) {
    auto client = path.send(asked);
    if (stage == Stage::kUnread) {
      client->leave(false);
      path.loop.turn();
      check(sentAnywhere(path, asked) == 0,
            "a request was sent to an engine after its client had disconnected");
      return;
    }
    if (stage == Stage::kConnecting) {
      while (path.live() == 0) turnOnce(path);
      client->leave(false);
      path.loop.turn();
      check(sentAnywhere(path, asked) == 0,
            "a request was written to an engine after its client had disconnected");
      return;
    }
    EngineRequest request = path.arrived(asked);
    path.answered(request);
    if (stage == Stage::kReadingPaused) {
      client->send(asked.text() + std::string(80U << 10, 'x'));
      path.loop.turn();
    }
    if (stage == Stage::kStreaming) {
      std::string answer = answerFor(asked, request.engine, Framing::kChunked);
      request.peer->send(std::string_view(answer).substr(0, answer.size() - 10));
      check(path.loop.until([&] { return client->has("200 OK"); }),
            "the client received no events");
    }
    client->leave(false);
    if (stage == Stage::kDeclined) request.peer->send(declineFor(asked));
    if (stage == Stage::kBroken) request.peer->leave(true);
    path.loop.turn();
    check(sentAnywhere(path, asked) == 1,
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
      Asked asked;
      asked.id = "t" + std::to_string(++number);
      asked.host = host;
      running = std::string(host) + ", " + std::string(name);
      HttpPath path;
      leaveAt(path, stage, asked);
      path.loop.turn();
      check(path.live() == 0, "a request remains after its client has disconnected");
    }
  if (!broken.empty()) FAIL(broken.c_str());
}
