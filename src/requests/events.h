#pragma once
// Events from the client listener and the engine connections, and the commands sent back to them.
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_config.h"
#include "core/types.h"
#include "engines/engine.h"

namespace peppergate {

using RequestId = Tagged<struct RequestIdTag, std::uint64_t>;  // counted per process
using AttemptId = Tagged<struct AttemptIdTag, std::uint64_t>;

/// A client request as received, to be forwarded; only protocol dialects interpret it.
struct WireRequest {
  std::string method, target;                                // target: path and query, as sent
  std::vector<std::pair<std::string, std::string>> headers;  // as sent, in order
  std::string body;
};
/// The head of an engine's response as received.
struct WireHead {
  int status = 0;
  std::string reason;
  std::vector<std::pair<std::string, std::string>> headers;
  std::optional<std::size_t> bodyLength;  // of the body, if the head gives it
};

/// One prefix block of a prompt; a prompt's blocks are listed in order.
struct PromptBlock {
  std::string id;
  std::int64_t tokens = 0;
};

// ---- events ----
/// A complete client request was read.
struct RequestArrived {
  RequestId request;
  std::string clientId;              // the client's id of this request; engines echo it
  std::string host;                  // as sent
  std::string path;                  // without the query
  std::string key;                   // empty if none was sent
  std::optional<Duration> timeLeft;  // how long the client waits
  std::optional<std::uint64_t> resumeAfterEventId;  // the client has all events up to it
  ModelName model;
  std::int64_t tokensIn = 0, tokensOut = 0;
  std::vector<PromptBlock> promptBlocks;
  std::shared_ptr<const WireRequest> wire;
};
/// The client disconnected before its response was complete.
struct RequestCancelled {
  RequestId request;
};
/// Backpressure: the client reads more slowly than its response arrives, or catches up again.
struct RequestBackpressure {
  RequestId request;
  bool slow = false;
};

enum class AttemptEventKind : std::uint8_t {
  kWritten,     // its first byte was written to a socket: it may run from now on
  kHead,        // the response head arrived
  kBody,        // part of the body arrived; of a stream, complete events only
  kComplete,    // the response is complete by its own framing and has the right request id
  kBroken,      // the connection ended, or sent invalid data or another request's response
  kNotWritten,  // no byte was written: the connection failed, or writeBefore had passed
};
struct AttemptEvent {
  AttemptId attempt;
  AttemptEventKind kind = AttemptEventKind::kBroken;
  // With kHead:
  std::shared_ptr<const WireHead> head;
  bool notRun = false;   // the engine states that it did not run the request
  bool success = false;  // a 2xx marked by the engine as its own success
  std::optional<EngineLoad> load;
  std::map<ModelName, WeightsVersion> versions;  // model versions in the head, if any
  std::optional<Duration> retryAfter;
  bool closesConnection = false;  // the engine closes the connection after this response
  // With kBody:
  std::string bytes;
  std::optional<std::uint64_t> lastEventId;  // id of the last complete event in `bytes`
  std::optional<std::uint64_t> firstEventId;
  std::optional<WeightsVersion> newVersion;  // an event reported new weights
};

// ---- commands ----
/// Sends a request to an engine, on a pooled or a new connection.
struct OpenAttempt {
  AttemptId attempt;
  RequestId request;
  std::shared_ptr<const WireRequest> wire;
  std::string clientId;
  Address address;
  EngineId engine;  // any other engine at this address declines the request
  bool stream = false;
  Duration timeLeft;  // sent to the engine, which stops then
  std::optional<std::uint64_t> resumeAfterEventId;
  TenantId tenant;   // empty on an open route
  std::string salt;  // scopes the cached prefix blocks
  int urgency = 5;
  std::optional<WeightsVersion> expectedVersion;  // engines with other weights decline the request
  std::optional<Address> collectFrom, depositAt;
  Duration connectTimeout = seconds(0.5);
  MonotonicTime writeBefore = kForever;  // checked again at the write itself
};
struct CancelAttempt {
  AttemptId attempt;
};
struct PauseAttempt {
  AttemptId attempt;
  bool paused = false;
};
/// Forwards the engine's response head to the client with all of its headers except hop-by-hop
/// headers.
struct ForwardResponseHead {
  RequestId request;
  std::shared_ptr<const WireHead> head;
};
struct ForwardResponseBody {
  RequestId request;
  std::string bytes;
};
/// Ends the response: complete, or truncated so that the client can't take it for complete.
struct FinishResponse {
  RequestId request;
  bool complete = true;
};
/// Rejects the request with a response of the router's own.
struct RejectRequest {
  RequestId request;
  int status = 503;
  std::string_view kind;               // human-readable; a constant
  std::optional<Duration> retryAfter;  // for the Retry-After header
};

}  // namespace peppergate
