// Exchanges in which a client splits, closes or resets at each byte boundary of its request or of
// its response.
#include <cstdio>

#include "tests/http_path.h"

using namespace peppergate;

namespace {

enum class ClientEvent : std::uint8_t { kReset, kHalfClose, kClose, kSplit };
constexpr std::array kClientEvents{ClientEvent::kReset, ClientEvent::kHalfClose,
                                   ClientEvent::kClose, ClientEvent::kSplit};

/// The text of a request with a chunked body or a Content-Length.
std::string requestText(const Asked& asked, bool inChunks) {
  if (!inChunks) return asked.text();
  return "POST /a/b HTTP/1.1\r\nHost: " + asked.host + "\r\nX-Attempt-Id: " + asked.id +
         "\r\nAuthorization: Token key\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nques\r\n4;x=y\r\n"
         "tion\r\n0\r\nTrailer: x\r\n\r\n";
}

}  // namespace

TEST_GROUP(HttpClientSchedules) {
  HttpPath path;
  std::map<std::string, Asked> known;
  std::uint64_t lastId = 0;
  std::size_t runs = 0;
  std::string running;

  void teardown() override {
    std::printf("\n%s: %zu exchanges\n", UtestShell::getCurrent()->getName().asCharString(), runs);
  }
  Asked nextAsked(std::string_view host) {
    Asked asked;
    asked.id = "t" + std::to_string(++lastId);
    asked.host = host;
    known[asked.id] = asked;
    return asked;
  }
  void check(bool good, const char* rule) {
    if (good) return;
    std::string text = std::string(rule) + ": " + running;
    FAIL(text.c_str());
  }
  /// Checks that another client's request is served, whatever the previous client did.
  void checkNext() {
    Asked next = nextAsked("unsafe");
    auto client = path.send(next);
    check(path.finish(*client, known), "the next request has no response");
    FoundAnswer answer = findAnswer(client->got, client->ended, client->failed);
    check(answer.complete && answer.status == 200 && answer.behind == 0,
          "the next request is not served");
    check(answer.headers["x-attempt-id"] == next.id, "a response reached another client");
    check(answer.body.find("<" + next.id + " by ") == 0, "the body of another request");
    client->leave(true);
  }
  /// How often engines received a request with this id.
  std::size_t runsOf(const std::string& id) {
    std::size_t count = 0;
    for (const auto& engine : path.engines)
      for (const auto& peer : engine->peers)
        for (auto at = peer->got.find("X-Attempt-Id: " + id + "\r\n"); at != std::string::npos;
             at = peer->got.find("X-Attempt-Id: " + id + "\r\n", at + 1))
          ++count;
    return count;
  }
};

TEST(HttpClientSchedules, RequestsTruncatedAtEveryByteReachNoEngine) {
  for (bool inChunks : {false, true})
    for (ClientEvent event : kClientEvents)
      for (std::size_t boundary = 0;; ++boundary) {
        Asked asked = nextAsked("unsafe");
        std::string text = requestText(asked, inChunks);
        if (boundary >= text.size()) break;
        running = std::string(inChunks ? "chunks" : "length") + ", event " +
                  std::to_string(static_cast<int>(event)) + " at byte " + std::to_string(boundary);
        ++runs;
        TestPeer client(path.loop, path.address());
        client.send(std::string_view(text).substr(0, boundary));
        path.loop.turn();
        check(runsOf(asked.id) == 0, "an incomplete request reached an engine");
        if (event == ClientEvent::kSplit) {
          client.send(std::string_view(text).substr(boundary));
          check(path.finish(client, known), "an exchange did not end");
          FoundAnswer found = findAnswer(client.got, client.ended, client.failed);
          check(found.complete && found.status == 200, "a split request is not served");
          check(found.body == bodyFor(asked, 0), "wrong body");
          check(runsOf(asked.id) == 1, "a request ran more than once");
          check(path.engines[0]->peers.back()->got.ends_with("\r\n\r\nquestion"),
                "the engine did not receive the body as sent");
          client.leave(true);
        } else if (event == ClientEvent::kHalfClose) {
          client.endWriting();
          check(path.loop.until([&] { return client.ended || client.failed; }),
                "a truncated request keeps its connection open");
          check(client.got.empty() || client.got.starts_with("HTTP/1.1 4"),
                "a truncated request got a response other than a client error");
        } else {
          client.leave(event == ClientEvent::kReset);
          path.loop.turn();
        }
        if (event != ClientEvent::kSplit)
          check(runsOf(asked.id) == 0, "a truncated request reached an engine");
        if (boundary % 16 == 0) checkNext();
        path.clear();
      }
}

TEST(HttpClientSchedules, ClientsThatStallAtAnyByteTimeOut) {
  // All clients stall at the same time, so that the timeout elapses only once.
  RequestLimits limits;
  limits.headerWait = limits.idle = milliseconds(50);
  path.limits(limits);
  for (bool inChunks : {false, true}) {
    Asked asked = nextAsked("unsafe");
    std::string text = requestText(asked, inChunks);
    std::vector<std::unique_ptr<TestPeer>> clients;
    for (std::size_t boundary = 0; boundary < text.size(); ++boundary, ++runs) {
      clients.push_back(std::make_unique<TestPeer>(path.loop, path.address()));
      clients.back()->send(std::string_view(text).substr(0, boundary));
    }
    for (std::size_t boundary = 0; boundary < text.size(); ++boundary) {
      running = std::string(inChunks ? "chunks" : "length") + ", silent from byte " +
                std::to_string(boundary);
      TestPeer& client = *clients[boundary];
      check(path.loop.until([&] { return client.ended || client.failed; }),
            "the connection of a stalled client stays open");
      check(boundary == 0 ? client.got.empty() : client.got.starts_with("HTTP/1.1 408"),
            "a stalled client got no 408");
    }
    check(runsOf(asked.id) == 0, "an incomplete request reached an engine");
  }
}

TEST(HttpClientSchedules, ClientsThatDisconnectAtEveryByteOfTheResponse) {
  // The engine has sent this many bytes when the client disconnects. If the connection to the
  // engine is kept alive, the next client must receive none of the old response.
  for (std::string_view host : kHosts)
    for (ClientEvent event : {ClientEvent::kReset, ClientEvent::kClose, ClientEvent::kHalfClose})
      for (std::size_t boundary = 0;; ++boundary) {
        Asked asked = nextAsked(host);
        std::string answer = answerFor(asked, 0, Framing::kChunked);
        if (boundary > answer.size()) break;
        running = std::string(host) + ", event " + std::to_string(static_cast<int>(event)) +
                  " at byte " + std::to_string(boundary);
        ++runs;
        auto client = path.send(asked);
        EngineRequest request = path.arrived(asked);
        path.answered(request);
        request.peer->send(std::string_view(answer).substr(0, boundary));
        path.loop.turn();
        if (event == ClientEvent::kHalfClose) client->endWriting();
        else client->leave(event == ClientEvent::kReset);
        path.loop.turn();
        bool stopped = request.peer->ended || request.peer->failed;
        check(stopped || boundary == answer.size(),
              "an engine continues for a client that has disconnected");
        check(path.live() == 0, "a request remains after its client has disconnected");
        if (!stopped) request.peer->send(std::string_view(answer).substr(boundary));
        path.loop.turn();
        if (event == ClientEvent::kHalfClose) {
          check(path.loop.until([&] { return client->ended || client->failed; }),
                "the connection of a half-closed client stays open");
          FoundAnswer found = findAnswer(client->got, client->ended, client->failed);
          check(found.complete == (boundary == answer.size()),
                "a client received more of the response after it had disconnected");
        }
        check(runsOf(asked.id) == 1, "a request ran more than once");
        if (boundary % 4 == 0) checkNext();
        path.clear();
      }
}

TEST(HttpClientSchedules, PipelinedRequestsAreAnsweredInOrderAtEverySplit) {
  for (std::size_t boundary = 0;; ++boundary) {
    Asked first = nextAsked("unsafe"), second = nextAsked("unsafe");
    std::string text = first.text() + requestText(second, true);
    if (boundary > text.size()) break;
    running = "split at byte " + std::to_string(boundary);
    ++runs;
    TestPeer client(path.loop, path.address());
    client.send(std::string_view(text).substr(0, boundary));
    path.loop.turn();
    client.send(std::string_view(text).substr(boundary));
    std::string got;
    check(path.loop.until([&] {
      path.serve(known);
      FoundAnswer one = findAnswer(client.got, client.ended, client.failed);
      if (!one.complete) return client.ended || client.failed;
      return findAnswer(std::string_view(client.got).substr(client.got.size() - one.behind),
                        client.ended, client.failed)
          .complete;
    }),
          "two pipelined requests did not get two responses");
    FoundAnswer one = findAnswer(client.got, client.ended, client.failed);
    FoundAnswer two = findAnswer(
        std::string_view(client.got).substr(client.got.size() - one.behind), false, false);
    check(one.headers["x-attempt-id"] == first.id && one.body == bodyFor(first, 0),
          "wrong first response");
    check(two.headers["x-attempt-id"] == second.id && two.body == bodyFor(second, 0),
          "wrong second response");
    check(two.complete && two.behind == 0, "bytes follow the last response");
    check(runsOf(first.id) == 1 && runsOf(second.id) == 1, "a request ran more than once");
    client.leave(true);
    path.clear();
  }
}

TEST(HttpClientSchedules, SurplusBytesAfterARequestNeverRun) {
  // Bytes of every length that form no request follow a complete one. The complete request is
  // answered in full, then the connection ends with a 400.
  const std::string surplus =
      "XYZ garbage\x01\r\n\r\nPOST /a/b HTTP/1.1\r\nX-Attempt-Id: evil\r\n\r\n";
  for (std::size_t size = 1; size <= surplus.size(); ++size) {
    Asked asked = nextAsked("unsafe");
    running = "surplus bytes " + std::to_string(size);
    ++runs;
    TestPeer client(path.loop, path.address());
    client.send(asked.text() + surplus.substr(0, size));
    check(path.finish(client, known), "an exchange did not end");
    path.loop.turn();
    FoundAnswer found = findAnswer(client.got, client.ended, client.failed);
    check(found.complete && found.status == 200 && found.body == bodyFor(asked, 0), "not served");
    std::string_view behind = std::string_view(client.got).substr(client.got.size() - found.behind);
    check(behind.empty() || behind.starts_with("HTTP/1.1 400"),
          "surplus bytes got a response other than 400");
    check(runsOf("evil") == 0, "a smuggled request ran");
    client.leave(true);
    path.clear();
  }
}
