#pragma once
// A router's whole path for requests on real loopback sockets: the listener, the requests' rules,
// the client, and three engines whose every byte a test decides. Time is the test's own.
#include <array>
#include <map>
#include <set>

#include "io/dialect_endpoints.h"
#include "platform/dialect.h"
#include "tests/http_testing.h"
#include "tests/requests_fakes.h"

namespace peppergate {

/// How an engine frames its answer's body.
enum class Framing : std::uint8_t { kLength, kChunked, kUntilClose };

/// One request of a client: who asks, on which kind of route.
struct Asked {
  std::string id;
  std::string host = "unsafe";  // of `kHosts`
  std::string body = "question";
  bool repeatable() const { return host == "safe" || host == "resumed"; }
  bool stream() const { return host == "plain" || host == "resumed"; }
  std::string text() const;
};

/// An answer as an independent reader finds it in the bytes that a client got.
struct FoundAnswer {
  int status = 0;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool headComplete = false, complete = false;
  std::size_t behind = 0;  // bytes behind a complete answer
  bool ofEngine() const { return headers.contains("x-postmark"); }
};
/// `ended`: the connection was closed; `failed`: it was reset.
FoundAnswer findAnswer(std::string_view bytes, bool ended, bool failed);

/// The body that engine `engine` makes for a request; a stream's is the same at every engine.
std::string bodyFor(const Asked& asked, std::size_t engine);
/// A whole, proper answer of an engine. `after`: a stream goes on behind this event.
std::string answerFor(const Asked& asked, std::size_t engine, Framing framing,
                      std::uint64_t after = 0);

/// A request as an engine has it.
struct EngineRequest {
  std::size_t engine = 0;
  TestPeer* peer = nullptr;
  std::string id, text;
  std::uint64_t resumeAfter = 0;
};

/// Example: `HttpPath path; auto client = path.send(asked); path.serve(); path.finish(*client);`
class HttpPath {
 public:
  static constexpr std::size_t kEngines = 3;
  HttpPath();

  TestLoop loop;
  std::array<std::unique_ptr<TestListener>, kEngines> engines;

  /// Connects and sends a whole request. Example: see the class.
  std::unique_ptr<TestPeer> send(const Asked& asked);
  /// Runs until an engine has this request whole. Example: `auto request = path.arrived(asked);`
  EngineRequest arrived(const Asked& asked);
  /// Whole requests that no engine has answered yet.
  std::vector<EngineRequest> waiting();
  /// Answers whatever waits at any engine properly, but for one connection.
  void serve(const std::map<std::string, Asked>& known, const TestPeer* but = nullptr);
  /// Notes that a request was answered by the test itself.
  void answered(const EngineRequest& request);
  /// Lets time pass for the requests' rules, without waiting.
  void pass(Duration time);
  /// Connections that got a byte since `mark`.
  std::size_t reached() const;
  /// From now on `reached` counts anew.
  void mark();
  /// Runs until the client has its answer or its connection is over; other engines answer.
  bool finish(const TestPeer& client, const std::map<std::string, Asked>& known,
              const TestPeer* but = nullptr);
  /// Ends all connections to engines and forgets them, so that the next exchange starts afresh.
  void clear();
  std::uint16_t portOf(std::size_t engine) const;
  /// What clients may send from now on.
  void limits(const RequestLimits& limits) { endpoints_->listener().limits(limits); }
  std::size_t idle() const { return endpoints_->client().kept(); }
  std::size_t live() const { return requests_.live(); }
  const Address& address() const { return address_; }
  /// The engine that the next attempts prefer. Example: 0.
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
  std::map<const TestPeer*, std::size_t> taken_, marked_;  // bytes of whole requests; at the mark
};

}  // namespace peppergate
