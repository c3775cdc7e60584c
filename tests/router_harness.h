#pragma once
// A router's request path on real loopback sockets: the listener, the request state machine and the
// client, with three engines whose every byte a test decides. The test also advances the clock.
#include <array>
#include <map>
#include <set>

#include "io/dialect_endpoints.h"
#include "platform/dialect.h"
#include "tests/http_testing.h"
#include "tests/requests_fakes.h"

namespace peppergate {

/// How an engine delimits the body of its response.
enum class Framing : std::uint8_t { kLength, kChunked, kUntilClose };

/// A client's request: its id, and the host that selects the kind of route.
struct TestRequest {
  std::string id;
  std::string host = "unsafe";  // one of `kHosts`
  std::string body = "question";
  bool isRetryable() const { return host == "safe" || host == "resumed"; }
  bool isStream() const { return host == "plain" || host == "resumed"; }
  std::string wireText() const;
};

/// A response as an independent parser reads it from a client's received bytes.
struct ParsedResponse {
  int status = 0;
  std::map<std::string, std::string> headers;  // names are in lower case
  std::string body;
  bool headComplete = false, complete = false;
  std::size_t surplusBytes = 0;  // bytes after a complete response
  bool isFromEngine() const { return headers.contains("x-postmark"); }
};
/// Parses a response. `ended`: the connection was closed; `failed`: it was reset.
ParsedResponse parseResponse(std::string_view bytes, bool ended, bool failed);

/// The body with which an engine answers a request; for a stream, every engine's is the same.
std::string engineBody(const TestRequest& testRequest, std::size_t engine);
/// A complete and valid response of an engine. `after`: a stream resumes after this event.
std::string engineResponse(const TestRequest& testRequest, std::size_t engine, Framing framing,
                           std::uint64_t after = 0);

/// A request as an engine received it.
struct EngineRequest {
  std::size_t engine = 0;
  TestPeer* peer = nullptr;
  std::string id, text;
  std::uint64_t resumeAfter = 0;
};

/// Runs one router with its engines; tests send requests, answer them and inspect the bytes.
class RouterHarness {
 public:
  static constexpr std::size_t kEngines = 3;
  RouterHarness();

  TestLoop loop;
  std::array<std::unique_ptr<TestListener>, kEngines> engines;

  /// Connects a new client and sends a complete request.
  std::unique_ptr<TestPeer> send(const TestRequest& testRequest);
  /// Runs until an engine has received all of this request.
  EngineRequest waitForRequest(const TestRequest& testRequest);
  /// Complete requests at engines that were not answered yet.
  std::vector<EngineRequest> pendingRequests();
  /// Sends valid responses to all pending requests, except those on one connection.
  void respondToPending(const std::map<std::string, TestRequest>& sentRequests,
                        const TestPeer* excluded = nullptr);
  /// Marks a request as answered by the test itself.
  void markAnswered(const EngineRequest& request);
  /// Advances the clock of the request state machine without waiting.
  void advance(Duration time);
  /// The number of engine connections that received a byte since the last call of `mark`.
  std::size_t connectionsReached() const;
  /// Restarts the count of `reached`.
  void resetReached();
  /// Runs until the client has a complete response or its connection ended. Meanwhile all engines
  /// answer, except on one connection.
  bool waitForResponse(const TestPeer& client,
                       const std::map<std::string, TestRequest>& sentRequests,
                       const TestPeer* excluded = nullptr);
  /// Closes all connections to engines, so that the next exchange starts with new ones.
  void closeEngineConnections();
  std::uint16_t portOf(std::size_t engine) const;
  /// Sets the limits of client requests from now on.
  void setLimits(const RequestLimits& limits) { endpoints_->listener().setLimits(limits); }
  std::size_t idleConnections() const { return endpoints_->client().idleConnectionCount(); }
  std::size_t liveRequests() const { return requests_.activeRequests(); }
  const Address& address() const { return address_; }
  /// The index of the engine that the next attempts try first.
  std::size_t preferredEngine = 0;

 private:
  struct EnginePlacer;
  void handle(const Event& event);
  void executeCommands();
  MonotonicTime now() const { return bootNow() + clockOffset_; }

  platform::PlatformDialect dialect_;
  FakeRouter fakeRouter_;
  std::shared_ptr<EnginePlacer> placer_;
  Random random_{11};
  Outbox outbox_;
  RequestRouter requests_;
  std::unique_ptr<DialectEndpoints> endpoints_;
  Address address_ = freeAddress();
  Duration clockOffset_;
  std::map<const TestPeer*, std::size_t> answeredBytes_,
      reachedBaseline_;  // bytes of answered requests; bytes received at the last `mark`
};

}  // namespace peppergate
