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
struct Asked {
  std::string id;
  std::string host = "unsafe";  // one of `kHosts`
  std::string body = "question";
  bool repeatable() const { return host == "safe" || host == "resumed"; }
  bool stream() const { return host == "plain" || host == "resumed"; }
  std::string text() const;
};

/// A response as an independent parser reads it from a client's received bytes.
struct FoundAnswer {
  int status = 0;
  std::map<std::string, std::string> headers;  // names are in lower case
  std::string body;
  bool headComplete = false, complete = false;
  std::size_t behind = 0;  // bytes after a complete response
  bool ofEngine() const { return headers.contains("x-postmark"); }
};
/// Parses a response. `ended`: the connection was closed; `failed`: it was reset.
FoundAnswer findAnswer(std::string_view bytes, bool ended, bool failed);

/// The body with which an engine answers a request; for a stream, every engine's is the same.
std::string bodyFor(const Asked& asked, std::size_t engine);
/// A complete and valid response of an engine. `after`: a stream resumes after this event.
std::string answerFor(const Asked& asked, std::size_t engine, Framing framing,
                      std::uint64_t after = 0);

/// A request as an engine received it.
struct EngineRequest {
  std::size_t engine = 0;
  TestPeer* peer = nullptr;
  std::string id, text;
  std::uint64_t resumeAfter = 0;
};

/// Runs one router with its engines; tests send requests, answer them and inspect the bytes.
class HttpPath {
 public:
  static constexpr std::size_t kEngines = 3;
  HttpPath();

  TestLoop loop;
  std::array<std::unique_ptr<TestListener>, kEngines> engines;

  /// Connects a new client and sends a complete request.
  std::unique_ptr<TestPeer> send(const Asked& asked);
  /// Runs until an engine has received all of this request.
  EngineRequest arrived(const Asked& asked);
  /// Complete requests at engines that were not answered yet.
  std::vector<EngineRequest> waiting();
  /// Sends valid responses to all pending requests, except those on one connection.
  void serve(const std::map<std::string, Asked>& known, const TestPeer* but = nullptr);
  /// Marks a request as answered by the test itself.
  void answered(const EngineRequest& request);
  /// Advances the clock of the request state machine without waiting.
  void pass(Duration time);
  /// The number of engine connections that received a byte since the last call of `mark`.
  std::size_t reached() const;
  /// Restarts the count of `reached`.
  void mark();
  /// Runs until the client has a complete response or its connection ended. Meanwhile all engines
  /// answer, except on one connection.
  bool finish(const TestPeer& client, const std::map<std::string, Asked>& known,
              const TestPeer* but = nullptr);
  /// Closes all connections to engines, so that the next exchange starts with new ones.
  void clear();
  std::uint16_t portOf(std::size_t engine) const;
  /// Sets the limits of client requests from now on.
  void limits(const RequestLimits& limits) { endpoints_->listener().limits(limits); }
  std::size_t idle() const { return endpoints_->client().kept(); }
  std::size_t live() const { return requests_.live(); }
  const Address& address() const { return address_; }
  /// The index of the engine that the next attempts try first.
  std::size_t preferred = 0;

 private:
  struct EnginePlacer;
  void step(const Event& event);
  void carryOut();
  MonotonicTime now() const { return bootNow() + skew_; }

  platform::PlatformDialect dialect_;
  FakeFront fakes_;
  std::shared_ptr<EnginePlacer> placer_;
  Random random_{11};
  Outbox outbox_;
  Requests requests_;
  std::unique_ptr<DialectEndpoints> endpoints_;
  Address address_ = freeAddress();
  Duration skew_;
  std::map<const TestPeer*, std::size_t> taken_,
      marked_;  // bytes of answered requests; bytes received at the last `mark`
};

}  // namespace peppergate
