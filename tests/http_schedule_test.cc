// Exchanges in which an engine fails in each possible way at each byte boundary. Results are judged
// only by the bytes that clients and engines received.
#include <errno.h>

#include <cstdio>

#include "tests/router_harness.h"
#include "tests/socket_fault_injector.h"

using namespace peppergate;

namespace {

/// What the engine does after it has sent part of its response.
enum class Ending : std::uint8_t { kReset, kHalfClose, kClose, kSilence, kGarbage, kSplit };
constexpr std::array kEndings{Ending::kReset,   Ending::kHalfClose, Ending::kClose,
                              Ending::kSilence, Ending::kGarbage,   Ending::kSplit};
constexpr std::array kFramings{Framing::kLength, Framing::kChunked, Framing::kUntilClose};

/// Bytes that are part of no response.
constexpr std::string_view kGarbage = "\x01\x02 no part of it";

/// Longer than any time limit of a request.
constexpr Duration kPastEveryTimeLimit = seconds(30);

}  // namespace

TEST_GROUP(HttpSchedules) {
  RouterHarness router;
  std::map<std::string, TestRequest> sentRequests;
  std::uint64_t lastId = 0;
  std::size_t exchangeCount = 0;
  std::string context;  // describes the current case in messages of failed checks

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

  /// Checks the invariants of every response, whatever the outcome of its request.
  ParsedResponse checkResponse(const TestRequest& testRequest, const TestPeer& client,
                               bool engineDeniedRun = false) {
    ParsedResponse answer = parseResponse(client.received, client.ended, client.failed);
    std::size_t reached = router.connectionsReached();
    if (!answer.headComplete) {
      check(client.ended || client.failed,
            "a client has neither a response nor a closed connection");
      check(client.received.empty() || !client.received.starts_with("HTTP/1.1 2") ||
                client.failed || client.ended,
            "a connection with a truncated head stays open");
      return answer;
    }
    check(answer.headers["x-attempt-id"] == testRequest.id, "a response reached another client");
    check(answer.surplusBytes == 0, "bytes follow a complete response");
    bool good = answer.status >= 200 && answer.status < 300;
    if (good && answer.complete) {
      check(answer.isFromEngine(), "a successful response lacks the engine's header");
      bool matchesAnEngine = false;
      for (std::size_t engine = 0; engine < RouterHarness::kEngines; ++engine)
        matchesAnEngine =
            matchesAnEngine || (answer.body == engineBody(testRequest, engine) &&
                                (testRequest.isStream() ||
                                 answer.headers["x-postmark"] == "e" + std::to_string(engine)));
      check(matchesAnEngine, "the body of a successful response is no engine's whole body");
    }
    bool claimsNotRun = answer.status == 503 || answer.status == 429 || answer.status == 408 ||
                        answer.status == 421;
    if (claimsNotRun && !answer.isFromEngine())
      check(reached == 0 || engineDeniedRun,
            "the status says that the request did not run, but an engine received bytes of it");
    if (!testRequest.isRetryable() && !engineDeniedRun)
      check(reached <= 1, "a request that is not retryable was written to two connections");
    return answer;
  }

  /// Checks that the next client's request gets its own response.
  void checkNext() {
    TestRequest next = nextRequest("unsafe");
    router.resetReached();
    auto client = router.send(next);
    check(router.waitForResponse(*client, sentRequests), "the next request has no response");
    ParsedResponse answer = checkResponse(next, *client);
    check(answer.complete && answer.status == 200, "the next request is not served");
    client->disconnect(true);
  }

  /// Runs one exchange in which the first engine sends a response up to `boundary`, then fails as
  /// `ending` says.
  ParsedResponse exchange(const TestRequest& testRequest, const std::string& answer,
                          std::size_t boundary, Ending ending, bool engineDeniedRun = false) {
    ++exchangeCount;
    router.resetReached();
    auto client = router.send(testRequest);
    EngineRequest request = router.waitForRequest(testRequest);
    router.markAnswered(request);
    TestPeer& engine = *request.peer;
    engine.send(std::string_view(answer).substr(0, boundary));
    router.loop.runPending();
    if (ending == Ending::kSplit) {
      engine.send(std::string_view(answer).substr(boundary));
      bool framed = answer.find("Content-Length") != std::string::npos ||
                    answer.find("chunked") != std::string::npos;
      if (!framed) engine.disconnect(false);
    } else if (ending == Ending::kGarbage) {
      engine.send(kGarbage);
      router.loop.runPending();
      engine.disconnect(false);
    } else if (ending == Ending::kHalfClose) {
      engine.shutdownWrite();
    } else if (ending == Ending::kSilence) {
      router.loop.runPending();
      router.advance(kPastEveryTimeLimit);
    } else {
      engine.disconnect(ending == Ending::kReset);
    }
    check(router.waitForResponse(*client, sentRequests, &engine), "an exchange did not end");
    ParsedResponse found = checkResponse(testRequest, *client, engineDeniedRun);
    client->disconnect(true);
    return found;
  }

  void testEveryBoundary(std::string_view host) {
    for (Framing framing : kFramings)
      for (Ending ending : kEndings) {
        std::size_t size =
            engineResponse(TestRequest{"t0000", std::string(host)}, 0, framing).size();
        for (std::size_t boundary = 0; boundary <= size; ++boundary) {
          TestRequest testRequest = nextRequest(host);
          std::string answer = engineResponse(testRequest, 0, framing);
          if (boundary > answer.size()) continue;
          // Within a body with a Content-Length, garbage can't be told from data.
          bool inBody = framing == Framing::kLength && boundary < answer.size() &&
                        boundary + kGarbage.size() >= answer.size();
          if (ending == Ending::kGarbage && inBody) continue;
          context = testRequest.host + " framing " + std::to_string(static_cast<int>(framing)) +
                    " ending " + std::to_string(static_cast<int>(ending)) + " at byte " +
                    std::to_string(boundary) + " of " + std::to_string(answer.size());
          ParsedResponse found = exchange(testRequest, answer, boundary, ending);
          bool whole = framing != Framing::kUntilClose &&
                       (ending == Ending::kSplit || boundary == answer.size());
          bool served = found.complete && found.status == 200;
          if (whole) check(served, "a complete response was not forwarded");
          // Only a retry at another engine makes up for a broken response.
          if (!whole && !testRequest.isRetryable())
            check(!served, "a broken response appears complete");
          if (boundary % 16 == 0) checkNext();
          router.closeEngineConnections();
        }
      }
  }
};

TEST(HttpSchedules, UnsafeRequestsAtEveryBoundary) { testEveryBoundary("unsafe"); }
TEST(HttpSchedules, SafeRequestsAtEveryBoundary) { testEveryBoundary("safe"); }
TEST(HttpSchedules, PlainStreamsAtEveryBoundary) { testEveryBoundary("plain"); }
TEST(HttpSchedules, ResumableStreamsAtEveryBoundary) { testEveryBoundary("resumed"); }

TEST(HttpSchedules, ResponsesOfOtherRequestsAreNeverForwarded) {
  struct Variant {
    const char* name;
    std::string (*make)(const std::string& good, const TestRequest& testRequest);
    bool notRun, served;
  };
  static constexpr auto replaced = [](std::string text, std::string_view what,
                                      std::string_view by) {
    auto at = text.find(what);
    return at == text.npos ? text : text.replace(at, what.size(), by);
  };
  const Variant variants[] = {
      {"other id",
       [](const std::string& good, const TestRequest& testRequest) {
         return replaced(good, "X-Attempt-Id: " + testRequest.id, "X-Attempt-Id: t0");
       },
       false, false},
      {"no id",
       [](const std::string& good, const TestRequest& testRequest) {
         return replaced(good, "X-Attempt-Id: " + testRequest.id + "\r\n", "");
       },
       false, false},
      {"two ids, the wrong one last",
       [](const std::string& good, const TestRequest& testRequest) {
         return replaced(good, "X-Attempt-Id: " + testRequest.id,
                         "X-Attempt-Id: " + testRequest.id + "\r\nX-Attempt-Id: t0");
       },
       false, false},
      {"no engine header",
       [](const std::string& good, const TestRequest&) {
         return replaced(good, "X-Postmark: e0\r\n", "");
       },
       false, false},
      {"content encoding",
       [](const std::string& good, const TestRequest&) {
         return replaced(good, "X-Postmark", "Content-Encoding: gzip\r\nX-Postmark");
       },
       false, false},
      {"interim heads first",
       [](const std::string& good, const TestRequest&) {
         return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Attempt-Id: "
                "t0\r\n\r\n" +
                good;
       },
       false, true},
      {"protocol switch",
       [](const std::string& good, const TestRequest&) {
         return replaced(good, "200 OK", "101 Switching Protocols");
       },
       false, false},
      {"chunked and Content-Length",
       [](const std::string& good, const TestRequest&) {
         return replaced(good, "Content-Length", "Transfer-Encoding: chunked\r\nContent-Length");
       },
       false, false},
      {"two Content-Length headers",
       [](const std::string& good, const TestRequest&) {
         return replaced(good, "Content-Length", "Content-Length: 1\r\nContent-Length");
       },
       false, false},
      {"503 marked as not run",
       [](const std::string& good, const TestRequest&) {
         return replaced(good, "200 OK\r\n", "503 Full\r\nX-Not-Delivered: 1\r\n");
       },
       true, true},
      {"503 without a mark",
       [](const std::string& good, const TestRequest&) {
         return replaced(good, "200 OK", "503 Full");
       },
       false, false},
      {"421 from another engine",
       [](const std::string& good, const TestRequest&) {
         return replaced(good, "200 OK", "421 Not Me");
       },
       true, true},
      {"a complete surplus response",
       [](const std::string& good, const TestRequest&) {
         return good + replaced(good, "X-Attempt-Id: ", "X-Attempt-Id: t0");
       },
       false, true},
      {"a truncated surplus response",
       [](const std::string& good, const TestRequest&) { return good + "HTTP/1.1 2"; }, false,
       true},
  };
  for (std::string_view host : {"unsafe", "safe"})
    for (const Variant& variant : variants)
      for (std::size_t boundary = 0;; ++boundary) {
        TestRequest testRequest = nextRequest(host);
        std::string answer =
            variant.make(engineResponse(testRequest, 0, Framing::kLength), testRequest);
        if (boundary > answer.size()) break;
        context =
            testRequest.host + ", " + variant.name + ", split at byte " + std::to_string(boundary);
        ParsedResponse found =
            exchange(testRequest, answer, boundary, Ending::kSplit, variant.notRun);
        bool served = found.complete && found.status == 200;
        check(served == (variant.served || testRequest.isRetryable()),
              "wrong outcome: served or not served");
        if (boundary % 16 == 0) checkNext();
        router.closeEngineConnections();
      }
}

TEST(HttpSchedules, ASurplusResponseNeverAnswersTheNextRequest) {
  // The first response is repeated, truncated at every byte: while the connection is idle, or just
  // after the next request was written.
  for (std::string_view host : {"unsafe", "safe"})
    for (bool afterWrite : {false, true})
      for (std::size_t boundary = 1;; ++boundary) {
        TestRequest first = nextRequest(host), second = nextRequest(host);
        std::string answer = engineResponse(first, 0, Framing::kLength);
        if (boundary > answer.size()) break;
        context = std::string(host) + (afterWrite ? " after" : " before") +
                  " the next write, surplus bytes " + std::to_string(boundary);
        ++exchangeCount;
        auto client = router.send(first);
        EngineRequest request = router.waitForRequest(first);
        router.markAnswered(request);
        request.peer->send(answer);
        check(router.waitForResponse(*client, sentRequests), "the first request has no response");
        checkResponse(first, *client);
        check(router.idleConnections() == 1, "the connection is not kept alive");
        router.resetReached();
        if (!afterWrite) request.peer->send(std::string_view(answer).substr(0, boundary));
        auto next = router.send(second);
        EngineRequest again = router.waitForRequest(second);
        check((again.peer == request.peer) == afterWrite,
              "a connection with surplus bytes was reused");
        if (afterWrite) {
          router.markAnswered(again);
          again.peer->send(answer.substr(0, boundary) +
                           engineResponse(second, 0, Framing::kLength));
        }
        check(router.waitForResponse(*next, sentRequests, afterWrite ? request.peer : nullptr),
              "an exchange did not end");
        ParsedResponse found = checkResponse(second, *next);
        check(found.body.find(first.id + " by") == std::string::npos,
              "the second response has the body of the first");
        if (!afterWrite)
          check(found.complete && found.status == 200, "the second request is not served");
        client->disconnect(true);
        next->disconnect(true);
        router.closeEngineConnections();
      }
}

TEST(HttpSchedules, WritesThatFailAtEveryByteOfARequest) {
  // The kernel accepts this many bytes of the request and then fails with this error; on a new
  // connection, and on an idle one whose remote side has lost its state.
  for (std::string_view host : kHosts)
    for (bool reused : {false, true})
      for (int error : {ECONNRESET, EPIPE, EAGAIN})
        for (std::size_t bytes = 0;; ++bytes) {
          TestRequest warm = nextRequest(host), testRequest = nextRequest(host);
          context = std::string(host) + (reused ? " reused" : " new") + " connection, error " +
                    std::to_string(error) + " after " + std::to_string(bytes) + " bytes";
          ++exchangeCount;
          std::unique_ptr<TestPeer> client;
          if (reused) {
            client = router.send(warm);
            check(router.waitForResponse(*client, sentRequests),
                  "the first request has no response");
            client->disconnect(true);
          }
          router.resetReached();
          std::size_t taken = 0;
          std::string got;
          {
            SocketFaultInjector injector({router.portOf(0), bytes, error});
            client = router.send(testRequest);
            router.loop.runPendingBounded();
            if (error == EAGAIN) router.advance(kPastEveryTimeLimit);
            // After a failed write the remote side is closed.
            else if (injector.writtenBytes() > 0 && !router.engines[0]->peers.empty())
              for (auto& peer : router.engines[0]->peers)
                if (!peer->received.empty()) peer->disconnect(true);
            check(router.waitForResponse(*client, sentRequests), "an exchange did not end");
            taken = injector.writtenBytes();
          }
          ParsedResponse found = checkResponse(testRequest, *client);
          bool served = found.complete && found.status == 200;
          // The kernel accepted no byte, so no engine can have read any: the request is retried.
          if (bytes == 0 && error != EAGAIN)
            check(served, "a request of which no byte was sent is not served");
          if (testRequest.isRetryable() && error != EAGAIN)
            check(served, "a retryable request is not served");
          if (!testRequest.isRetryable() && taken > 0 && !served)
            check(!found.headComplete || found.status == 502 || found.status == 504,
                  "the status denies that the request may have run");
          client->disconnect(true);
          router.closeEngineConnections();
          if (taken < bytes) break;  // the whole request was accepted
        }
}

TEST(HttpSchedules, AnEngineThatClosesAReusedConnectionJustBeforeTheWrite) {
  // The engine resets or closes between the last check of the connection and the write.
  for (std::string_view host : kHosts)
    for (bool reset : {true, false})
      for (bool halfClose : {false, true}) {
        if (reset && halfClose) continue;
        TestRequest warm = nextRequest(host), testRequest = nextRequest(host);
        context = std::string(host) + (reset ? " reset" : halfClose ? " half-closed" : " closed");
        ++exchangeCount;
        auto first = router.send(warm);
        check(router.waitForResponse(*first, sentRequests), "the first request has no response");
        TestPeer& engine = *router.engines[0]->peers[0];
        router.resetReached();
        SocketFaultInjector injector({router.portOf(0), 1U << 20, 0, [&] {
                                        if (halfClose) engine.shutdownWrite();
                                        else engine.disconnect(reset);
                                      }});
        auto client = router.send(testRequest);
        check(router.waitForResponse(*client, sentRequests, &engine), "an exchange did not end");
        ParsedResponse found = checkResponse(testRequest, *client);
        if (testRequest.isRetryable()) check(found.status == 200, "not served");
        if (reset) check(found.status == 200, "a request of which no byte was sent is not retried");
        router.closeEngineConnections();
      }
}

TEST(HttpSchedules, AnEngineThatSendsOrClosesBeforeTheRequest) {
  // A new connection receives bytes, a FIN or a reset before the request was written.
  for (std::string_view host : kHosts)
    for (int what = 0; what < 4; ++what) {
      TestRequest testRequest = nextRequest(host);
      context = std::string(host) + " new connection, case " + std::to_string(what);
      ++exchangeCount;
      router.resetReached();
      SocketFaultInjector injector({router.portOf(0), 1U << 20, 0, nullptr, [&] {
                                      TestPeer* engine = router.engines[0]->acceptNow();
                                      check(engine != nullptr, "no connection came");
                                      if (what == 0)
                                        engine->send(
                                            engineResponse(testRequest, 0, Framing::kLength));
                                      if (what == 1) engine->send("HTTP/1.1 ");
                                      if (what == 2) engine->disconnect(false);
                                      if (what == 3) engine->disconnect(true);
                                    }});
      auto client = router.send(testRequest);
      check(router.waitForResponse(*client, sentRequests), "an exchange did not end");
      ParsedResponse found = checkResponse(testRequest, *client);
      // No byte of the request was sent, so it goes to another engine.
      check(found.complete && found.status == 200, "not served by another engine");
      check(found.headers["x-postmark"] == "e1", "the response of an engine that had no request");
      check(router.connectionsReached() == 1,
            "the request was written to an engine that had sent bytes or closed");
      client->disconnect(true);
      router.closeEngineConnections();
    }
}

TEST(HttpSchedules, EarlyResponsesOfEnginesThatStopReading) {
  // The kernel accepts only this many bytes of the request; the engine responds early.
  for (std::string_view host : {"unsafe", "safe"})
    for (int status : {200, 503, 413})
      for (std::size_t bytes = 1;; ++bytes) {
        TestRequest testRequest = nextRequest(host);
        context = std::string(host) + " early " + std::to_string(status) + " after " +
                  std::to_string(bytes) + " bytes";
        ++exchangeCount;
        router.resetReached();
        std::size_t taken = 0;
        {
          SocketFaultInjector injector({router.portOf(0), bytes, EAGAIN});
          auto client = router.send(testRequest);
          check(router.loop.runUntil(
                    [&] { return injector.writtenBytes() > 0 && router.connectionsReached() > 0; }),
                "the engine received no byte");
          taken = injector.writtenBytes();
          router.loop.runPendingBounded();
          bool whole = !router.pendingRequests().empty();
          if (taken == bytes) {
            std::string answer = engineResponse(testRequest, 0, Framing::kLength);
            answer.replace(9, 6, std::to_string(status) + " No");
            TestPeer& engine = *router.engines[0]->peers.back();
            engine.send(answer);
            check(router.waitForResponse(*client, sentRequests, &engine),
                  "an exchange did not end");
            ParsedResponse found = checkResponse(testRequest, *client);
            if (status == 200) check(found.complete && found.status == 200, "not forwarded");
            // A rejected safe request went to another engine, whose connection is kept alive.
            bool elsewhere = !router.engines[1]->peers.empty();
            check(whole || router.idleConnections() == (elsewhere ? 1U : 0U),
                  "a connection with a partly written request is kept alive");
          }
          client->disconnect(true);
        }
        router.closeEngineConnections();
        if (taken < bytes) break;
      }
}
