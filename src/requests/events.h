#pragma once
// What clients' listener and engines' connections tell the requests' machine, and what it answers.
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_config.h"
#include "core/types.h"
#include "engines/engine.h"

namespace peppergate {

using RequestId = Tagged<struct RequestIdTag, std::uint64_t>;  // this daemon's own count
using AttemptId = Tagged<struct AttemptIdTag, std::uint64_t>;

/// A message's bytes as they came, to be passed on; only a dialect looks inside.
struct WireRequest {
  std::string method, target;                                // target: path and query, as sent
  std::vector<std::pair<std::string, std::string>> headers;  // as sent, in order
  std::string body;
};
/// An engine's head as it came.
struct WireHead {
  int status = 0;
  std::string reason;
  std::vector<std::pair<std::string, std::string>> headers;
  std::optional<std::size_t> length;  // of the body, where it was told
};

/// One part of a prompt; a prompt's parts stand in order.
struct PartSize {
  std::string id;
  std::int64_t tokens = 0;
};

// ---- events ----
/// A client's whole request was read.
struct RequestArrived {
  RequestId request;
  std::string clientId;                      // names this try of the client; engines give it back
  std::string host;                          // as sent
  std::string path;                          // without the query
  std::string key;                           // empty: none was sent
  std::optional<Duration> timeLeft;          // how long the client waits
  std::optional<std::uint64_t> resumeAfter;  // the client has all events up to this one
  ModelName model;
  std::int64_t tokensIn = 0, tokensOut = 0;
  std::vector<PartSize> parts;
  std::shared_ptr<const WireRequest> wire;
};
/// The client's connection ended before its answer did.
struct RequestGone {
  RequestId request;
};
/// The client reads slower (or again fast enough) than its answer comes.
struct ClientSlow {
  RequestId request;
  bool slow = false;
};

enum class AttemptTurn : std::uint8_t {
  kWritten,     // its first byte was handed to a socket: it may run from now on
  kHead,        // the engine's head came
  kBody,        // some of its body came; of a stream whole events only
  kEnded,       // the body is whole by its own length, the id was the right one
  kBroken,      // the connection ended, was garbled, or another request's answer came
  kNotWritten,  // not one byte left: no connection came up, or it was too late
};
struct AttemptTurned {
  AttemptId attempt;
  AttemptTurn turn = AttemptTurn::kBroken;
  // With kHead:
  std::shared_ptr<const WireHead> head;
  bool notRun = false;   // the engine says that it did not run the request
  bool success = false;  // a 2xx that has the engine's stamp
  std::optional<EngineLoad> load;
  std::map<ModelName, WeightsVersion> versions;  // as the head tells them, if it does
  std::optional<Duration> retryAfter;
  bool leaving = false;  // the engine closes the connection after this answer
  // With kBody:
  std::string bytes;
  std::optional<std::uint64_t> lastEvent;  // the last whole event's id in `bytes`
  std::optional<std::uint64_t> firstEvent;
  std::optional<WeightsVersion> newVersion;  // an event said that the weights changed
};

// ---- commands ----
/// Sends a request to an engine, on a kept or a new connection.
struct OpenAttempt {
  AttemptId attempt;
  RequestId request;
  std::shared_ptr<const WireRequest> wire;
  std::string clientId;
  Address address;
  EngineId engine;  // every other engine at this address declines it
  bool stream = false;
  Duration timeLeft;  // told to the engine: it stops then
  std::optional<std::uint64_t> resumeAfter;
  TenantId tenant;   // empty: the route is open
  std::string salt;  // what kept parts are found under
  int urgency = 5;
  std::optional<WeightsVersion> expect;  // engines with other weights decline
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
/// The engine's head goes to the client, with all of the engine's own headers but those of one
/// connection.
struct AnswerHead {
  RequestId request;
  std::shared_ptr<const WireHead> head;
};
struct AnswerBody {
  RequestId request;
  std::string bytes;
};
/// The answer is over: whole, or cut so that it can't be taken for whole.
struct AnswerDone {
  RequestId request;
  bool whole = true;
};
/// The system's own final answer, at once.
struct RefuseRequest {
  RequestId request;
  int status = 503;
  std::string_view kind;               // for people; a constant
  std::optional<Duration> retryAfter;  // when to come back
};

}  // namespace peppergate
