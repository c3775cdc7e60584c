// Exchanges in which an engine fails in each possible way at each byte boundary. Results are judged
// only by the bytes that clients and engines received.
#include <errno.h>

#include <cstdio>

#include "tests/http_path.h"
#include "tests/socket_script.h"

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
constexpr Duration kPastEveryLimit = seconds(30);

}  // namespace

TEST_GROUP(HttpSchedules) {
  HttpPath path;
  std::map<std::string, Asked> known;
  std::uint64_t lastId = 0;
  std::size_t runs = 0;
  std::string running;  // describes the current case in messages of failed checks

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

  /// Checks the invariants of every response, whatever the outcome of its request.
  FoundAnswer judge(const Asked& asked, const TestPeer& client, bool notRunTold = false) {
    FoundAnswer answer = findAnswer(client.got, client.ended, client.failed);
    std::size_t reached = path.reached();
    if (!answer.headComplete) {
      check(client.ended || client.failed,
            "a client has neither a response nor a closed connection");
      check(client.got.empty() || !client.got.starts_with("HTTP/1.1 2") || client.failed ||
                client.ended,
            "a connection with a truncated head stays open");
      return answer;
    }
    check(answer.headers["x-attempt-id"] == asked.id, "a response reached another client");
    check(answer.behind == 0, "bytes follow a complete response");
    bool good = answer.status >= 200 && answer.status < 300;
    if (good && answer.complete) {
      check(answer.ofEngine(), "a successful response lacks the engine's header");
      bool fromOne = false;
      for (std::size_t engine = 0; engine < HttpPath::kEngines; ++engine)
        fromOne =
            fromOne ||
            (answer.body == bodyFor(asked, engine) &&
             (asked.stream() || answer.headers["x-postmark"] == "e" + std::to_string(engine)));
      check(fromOne, "the body of a successful response is no engine's whole body");
    }
    bool promise = answer.status == 503 || answer.status == 429 || answer.status == 408 ||
                   answer.status == 421;
    if (promise && !answer.ofEngine())
      check(reached == 0 || notRunTold,
            "the status says that the request did not run, but an engine received bytes of it");
    if (!asked.repeatable() && !notRunTold)
      check(reached <= 1, "a request that is not retryable was written to two connections");
    return answer;
  }

  /// Checks that the next client's request gets its own response.
  void checkNext() {
    Asked next = nextAsked("unsafe");
    path.mark();
    auto client = path.send(next);
    check(path.finish(*client, known), "the next request has no response");
    FoundAnswer answer = judge(next, *client);
    check(answer.complete && answer.status == 200, "the next request is not served");
    client->leave(true);
  }

  /// Runs one exchange in which the first engine sends a response up to `boundary`, then fails as
  /// `ending` says.
  FoundAnswer exchange(const Asked& asked, const std::string& answer, std::size_t boundary,
                       Ending ending, bool notRunTold = false) {
    ++runs;
    path.mark();
    auto client = path.send(asked);
    EngineRequest request = path.arrived(asked);
    path.answered(request);
    TestPeer& engine = *request.peer;
    engine.send(std::string_view(answer).substr(0, boundary));
    path.loop.turn();
    if (ending == Ending::kSplit) {
      engine.send(std::string_view(answer).substr(boundary));
      bool framed = answer.find("Content-Length") != std::string::npos ||
                    answer.find("chunked") != std::string::npos;
      if (!framed) engine.leave(false);
    } else if (ending == Ending::kGarbage) {
      engine.send(kGarbage);
      path.loop.turn();
      engine.leave(false);
    } else if (ending == Ending::kHalfClose) {
      engine.endWriting();
    } else if (ending == Ending::kSilence) {
      path.loop.turn();
      path.pass(kPastEveryLimit);
    } else {
      engine.leave(ending == Ending::kReset);
    }
    check(path.finish(*client, known, &engine), "an exchange did not end");
    FoundAnswer found = judge(asked, *client, notRunTold);
    client->leave(true);
    return found;
  }

  void everyBoundary(std::string_view host) {
    for (Framing framing : kFramings)
      for (Ending ending : kEndings) {
        std::size_t size = answerFor(Asked{"t0000", std::string(host)}, 0, framing).size();
        for (std::size_t boundary = 0; boundary <= size; ++boundary) {
          Asked asked = nextAsked(host);
          std::string answer = answerFor(asked, 0, framing);
          if (boundary > answer.size()) continue;
          // Within a body with a Content-Length, garbage can't be told from data.
          bool inBody = framing == Framing::kLength && boundary < answer.size() &&
                        boundary + kGarbage.size() >= answer.size();
          if (ending == Ending::kGarbage && inBody) continue;
          running = asked.host + " framing " + std::to_string(static_cast<int>(framing)) +
                    " ending " + std::to_string(static_cast<int>(ending)) + " at byte " +
                    std::to_string(boundary) + " of " + std::to_string(answer.size());
          FoundAnswer found = exchange(asked, answer, boundary, ending);
          bool whole = framing != Framing::kUntilClose &&
                       (ending == Ending::kSplit || boundary == answer.size());
          bool served = found.complete && found.status == 200;
          if (whole) check(served, "a complete response was not forwarded");
          // Only a retry at another engine makes up for a broken response.
          if (!whole && !asked.repeatable()) check(!served, "a broken response appears complete");
          if (boundary % 16 == 0) checkNext();
          path.clear();
        }
      }
  }
};

TEST(HttpSchedules, UnsafeRequestsAtEveryBoundary) { everyBoundary("unsafe"); }
TEST(HttpSchedules, SafeRequestsAtEveryBoundary) { everyBoundary("safe"); }
TEST(HttpSchedules, PlainStreamsAtEveryBoundary) { everyBoundary("plain"); }
TEST(HttpSchedules, ResumableStreamsAtEveryBoundary) { everyBoundary("resumed"); }

TEST(HttpSchedules, ResponsesOfOtherRequestsAreNeverForwarded) {
  struct Variant {
    const char* name;
    std::string (*make)(const std::string& good, const Asked& asked);
    bool notRun, served;
  };
  static constexpr auto replaced = [](std::string text, std::string_view what,
                                      std::string_view by) {
    auto at = text.find(what);
    return at == text.npos ? text : text.replace(at, what.size(), by);
  };
  const Variant variants[] = {
      {"other id",
       [](const std::string& good, const Asked& asked) {
         return replaced(good, "X-Attempt-Id: " + asked.id, "X-Attempt-Id: t0");
       },
       false, false},
      {"no id",
       [](const std::string& good, const Asked& asked) {
         return replaced(good, "X-Attempt-Id: " + asked.id + "\r\n", "");
       },
       false, false},
      {"two ids, the wrong one last",
       [](const std::string& good, const Asked& asked) {
         return replaced(good, "X-Attempt-Id: " + asked.id,
                         "X-Attempt-Id: " + asked.id + "\r\nX-Attempt-Id: t0");
       },
       false, false},
      {"no engine header",
       [](const std::string& good, const Asked&) {
         return replaced(good, "X-Postmark: e0\r\n", "");
       },
       false, false},
      {"content encoding",
       [](const std::string& good, const Asked&) {
         return replaced(good, "X-Postmark", "Content-Encoding: gzip\r\nX-Postmark");
       },
       false, false},
      {"interim heads first",
       [](const std::string& good, const Asked&) {
         return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Attempt-Id: "
                "t0\r\n\r\n" +
                good;
       },
       false, true},
      {"protocol switch",
       [](const std::string& good, const Asked&) {
         return replaced(good, "200 OK", "101 Switching Protocols");
       },
       false, false},
      {"chunked and Content-Length",
       [](const std::string& good, const Asked&) {
         return replaced(good, "Content-Length", "Transfer-Encoding: chunked\r\nContent-Length");
       },
       false, false},
      {"two Content-Length headers",
       [](const std::string& good, const Asked&) {
         return replaced(good, "Content-Length", "Content-Length: 1\r\nContent-Length");
       },
       false, false},
      {"503 marked as not run",
       [](const std::string& good, const Asked&) {
         return replaced(good, "200 OK\r\n", "503 Full\r\nX-Not-Delivered: 1\r\n");
       },
       true, true},
      {"503 without a mark",
       [](const std::string& good, const Asked&) { return replaced(good, "200 OK", "503 Full"); },
       false, false},
      {"421 from another engine",
       [](const std::string& good, const Asked&) { return replaced(good, "200 OK", "421 Not Me"); },
       true, true},
      {"a complete surplus response",
       [](const std::string& good, const Asked&) {
         return good + replaced(good, "X-Attempt-Id: ", "X-Attempt-Id: t0");
       },
       false, true},
      {"a truncated surplus response",
       [](const std::string& good, const Asked&) { return good + "HTTP/1.1 2"; }, false, true},
  };
  for (std::string_view host : {"unsafe", "safe"})
    for (const Variant& variant : variants)
      for (std::size_t boundary = 0;; ++boundary) {
        Asked asked = nextAsked(host);
        std::string answer = variant.make(answerFor(asked, 0, Framing::kLength), asked);
        if (boundary > answer.size()) break;
        running = asked.host + ", " + variant.name + ", split at byte " + std::to_string(boundary);
        FoundAnswer found = exchange(asked, answer, boundary, Ending::kSplit, variant.notRun);
        bool served = found.complete && found.status == 200;
        check(served == (variant.served || asked.repeatable()),
              "wrong outcome: served or not served");
        if (boundary % 16 == 0) checkNext();
        path.clear();
      }
}

TEST(HttpSchedules, ASurplusResponseNeverAnswersTheNextRequest) {
  // The first response is repeated, truncated at every byte: while the connection is idle, or just
  // after the next request was written.
  for (std::string_view host : {"unsafe", "safe"})
    for (bool afterWrite : {false, true})
      for (std::size_t boundary = 1;; ++boundary) {
        Asked first = nextAsked(host), second = nextAsked(host);
        std::string answer = answerFor(first, 0, Framing::kLength);
        if (boundary > answer.size()) break;
        running = std::string(host) + (afterWrite ? " after" : " before") +
                  " the next write, surplus bytes " + std::to_string(boundary);
        ++runs;
        auto client = path.send(first);
        EngineRequest request = path.arrived(first);
        path.answered(request);
        request.peer->send(answer);
        check(path.finish(*client, known), "the first request has no response");
        judge(first, *client);
        check(path.idle() == 1, "the connection is not kept alive");
        path.mark();
        if (!afterWrite) request.peer->send(std::string_view(answer).substr(0, boundary));
        auto next = path.send(second);
        EngineRequest again = path.arrived(second);
        check((again.peer == request.peer) == afterWrite,
              "a connection with surplus bytes was reused");
        if (afterWrite) {
          path.answered(again);
          again.peer->send(answer.substr(0, boundary) + answerFor(second, 0, Framing::kLength));
        }
        check(path.finish(*next, known, afterWrite ? request.peer : nullptr),
              "an exchange did not end");
        FoundAnswer found = judge(second, *next);
        check(found.body.find(first.id + " by") == std::string::npos,
              "the second response has the body of the first");
        if (!afterWrite)
          check(found.complete && found.status == 200, "the second request is not served");
        client->leave(true);
        next->leave(true);
        path.clear();
      }
}

TEST(HttpSchedules, WritesThatFailAtEveryByteOfARequest) {
  // The kernel accepts this many bytes of the request and then fails with this error; on a new
  // connection, and on an idle one whose remote side has lost its state.
  for (std::string_view host : kHosts)
    for (bool reused : {false, true})
      for (int error : {ECONNRESET, EPIPE, EAGAIN})
        for (std::size_t bytes = 0;; ++bytes) {
          Asked warm = nextAsked(host), asked = nextAsked(host);
          running = std::string(host) + (reused ? " reused" : " new") + " connection, error " +
                    std::to_string(error) + " after " + std::to_string(bytes) + " bytes";
          ++runs;
          std::unique_ptr<TestPeer> client;
          if (reused) {
            client = path.send(warm);
            check(path.finish(*client, known), "the first request has no response");
            client->leave(true);
          }
          path.mark();
          std::size_t taken = 0;
          std::string got;
          {
            SocketScript script({path.portOf(0), bytes, error});
            client = path.send(asked);
            path.loop.turnBounded();
            if (error == EAGAIN) path.pass(kPastEveryLimit);
            // After a failed write the remote side is closed.
            else if (script.taken() > 0 && !path.engines[0]->peers.empty())
              for (auto& peer : path.engines[0]->peers)
                if (!peer->got.empty()) peer->leave(true);
            check(path.finish(*client, known), "an exchange did not end");
            taken = script.taken();
          }
          FoundAnswer found = judge(asked, *client);
          bool served = found.complete && found.status == 200;
          // The kernel accepted no byte, so no engine can have read any: the request is retried.
          if (bytes == 0 && error != EAGAIN)
            check(served, "a request of which no byte was sent is not served");
          if (asked.repeatable() && error != EAGAIN)
            check(served, "a retryable request is not served");
          if (!asked.repeatable() && taken > 0 && !served)
            check(!found.headComplete || found.status == 502 || found.status == 504,
                  "the status denies that the request may have run");
          client->leave(true);
          path.clear();
          if (taken < bytes) break;  // the whole request was accepted
        }
}

TEST(HttpSchedules, AnEngineThatClosesAReusedConnectionJustBeforeTheWrite) {
  // The engine resets or closes between the last check of the connection and the write.
  for (std::string_view host : kHosts)
    for (bool reset : {true, false})
      for (bool halfClose : {false, true}) {
        if (reset && halfClose) continue;
        Asked warm = nextAsked(host), asked = nextAsked(host);
        running = std::string(host) + (reset ? " reset" : halfClose ? " half-closed" : " closed");
        ++runs;
        auto first = path.send(warm);
        check(path.finish(*first, known), "the first request has no response");
        TestPeer& engine = *path.engines[0]->peers[0];
        path.mark();
        SocketScript script({path.portOf(0), 1U << 20, 0, [&] {
                               if (halfClose) engine.endWriting();
                               else engine.leave(reset);
                             }});
        auto client = path.send(asked);
        check(path.finish(*client, known, &engine), "an exchange did not end");
        FoundAnswer found = judge(asked, *client);
        if (asked.repeatable()) check(found.status == 200, "not served");
        if (reset) check(found.status == 200, "a request of which no byte was sent is not retried");
        path.clear();
      }
}

TEST(HttpSchedules, AnEngineThatSendsOrClosesBeforeTheRequest) {
  // A new connection receives bytes, a FIN or a reset before the request was written.
  for (std::string_view host : kHosts)
    for (int what = 0; what < 4; ++what) {
      Asked asked = nextAsked(host);
      running = std::string(host) + " new connection, case " + std::to_string(what);
      ++runs;
      path.mark();
      SocketScript script({path.portOf(0), 1U << 20, 0, nullptr, [&] {
                             TestPeer* engine = path.engines[0]->acceptNow();
                             check(engine != nullptr, "no connection came");
                             if (what == 0) engine->send(answerFor(asked, 0, Framing::kLength));
                             if (what == 1) engine->send("HTTP/1.1 ");
                             if (what == 2) engine->leave(false);
                             if (what == 3) engine->leave(true);
                           }});
      auto client = path.send(asked);
      check(path.finish(*client, known), "an exchange did not end");
      FoundAnswer found = judge(asked, *client);
      // No byte of the request was sent, so it goes to another engine.
      check(found.complete && found.status == 200, "not served by another engine");
      check(found.headers["x-postmark"] == "e1", "the response of an engine that had no request");
      check(path.reached() == 1,
            "the request was written to an engine that had sent bytes or closed");
      client->leave(true);
      path.clear();
    }
}

TEST(HttpSchedules, EarlyResponsesOfEnginesThatStopReading) {
  // The kernel accepts only this many bytes of the request; the engine responds early.
  for (std::string_view host : {"unsafe", "safe"})
    for (int status : {200, 503, 413})
      for (std::size_t bytes = 1;; ++bytes) {
        Asked asked = nextAsked(host);
        running = std::string(host) + " early " + std::to_string(status) + " after " +
                  std::to_string(bytes) + " bytes";
        ++runs;
        path.mark();
        std::size_t taken = 0;
        {
          SocketScript script({path.portOf(0), bytes, EAGAIN});
          auto client = path.send(asked);
          check(path.loop.until([&] { return script.taken() > 0 && path.reached() > 0; }),
                "the engine received no byte");
          taken = script.taken();
          path.loop.turnBounded();
          bool whole = !path.waiting().empty();
          if (taken == bytes) {
            std::string answer = answerFor(asked, 0, Framing::kLength);
            answer.replace(9, 6, std::to_string(status) + " No");
            TestPeer& engine = *path.engines[0]->peers.back();
            engine.send(answer);
            check(path.finish(*client, known, &engine), "an exchange did not end");
            FoundAnswer found = judge(asked, *client);
            if (status == 200) check(found.complete && found.status == 200, "not forwarded");
            // A rejected safe request went to another engine, whose connection is kept alive.
            bool elsewhere = !path.engines[1]->peers.empty();
            check(whole || path.idle() == (elsewhere ? 1U : 0U),
                  "a connection with a partly written request is kept alive");
          }
          client->leave(true);
        }
        path.clear();
        if (taken < bytes) break;
      }
}
