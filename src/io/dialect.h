#pragma once
// The wire format of requests, of calls to engines and of operators' calls. A dialect only formats
// and parses messages; it takes no decisions and does no I/O.
#include <optional>
#include <string>
#include <string_view>

#include "core/outbox.h"

namespace peppergate {

/// A short HTTP call to be sent.
struct HttpCall {
  Address address;
  std::string method = "GET", path = "/";
  Headers headers;
  std::string body;
  Duration timeout = seconds(1);
  MonotonicTime writeDeadline = kForever;
  // Uses a new connection and closes it afterwards, for calls whose response can't be told apart
  // from a late response to an earlier call on the same connection.
  bool ownConnection = false;
};
/// The response to a call; status 0 means none. `written`: at least one byte of the call was sent.
struct HttpResponse {
  int status = 0;
  bool written = false;
  Headers headers;  // names in lower case
  std::string body;
};

/// What the system reads from one event of a stream.
struct StreamEventInfo {
  std::optional<std::uint64_t> eventId;
  std::optional<WeightsVersion> newVersion;
};

class Dialect {
 public:
  virtual ~Dialect() = default;

  // Clients' requests.
  /// Parses a client's request. Returns 0, or the status with which an invalid one is refused.
  virtual int readRequest(const std::shared_ptr<const WireRequest>& wire,
                          RequestArrived& event) const = 0;
  /// Formats the complete request for an engine, head and body.
  virtual std::string formatAttempt(const OpenAttempt& attempt) const = 0;
  /// Parses the head of an engine's response; false if it answers another request than this one.
  virtual bool readAttemptHead(const WireHead& head, const OpenAttempt& attempt,
                               AttemptEvent& attemptEvent) const = 0;
  /// Parses one event of a stream, given without its empty line.
  virtual StreamEventInfo readEvent(std::string_view event) const = 0;
  /// The headers of an engine's response that are forwarded to the client, each with its CRLF, such
  /// as "Retry-After: 1\r\n". Connection and framing headers and the empty line are left out.
  virtual std::string responseHeaders(const WireHead& head) const = 0;
  /// The headers of a refusal by the router itself, each with its CRLF, such as
  /// "Retry-After: 0.2\r\n". The listener adds framing, the empty line and the kind as the body.
  virtual std::string refusalHeaders(const RejectRequest& refusal,
                                     const std::string& clientId) const = 0;

  // Calls to engines, stores and the platform.
  virtual HttpCall makeCall(const ListEngines& command) const = 0;
  virtual HttpCall makeCall(const RequestEngineReport& command) const = 0;
  virtual HttpCall makeCall(const OrderWeightsLoad& command) const = 0;
  virtual HttpCall makeCall(const PollPrefixBlocks& command) const = 0;
  virtual HttpCall makeCall(const ListPrefixBlocks& command) const = 0;
  /// Whether a response may belong to a call; false if it names a client's request by its id.
  virtual bool isCallResponse(const WireHead& head) const = 0;
  virtual EnginesListed readEngineList(TicketId ticket, const HttpResponse& answer) const = 0;
  virtual EngineReportAnswered readEngineReport(TicketId ticket,
                                                const HttpResponse& answer) const = 0;
  virtual WeightsLoadAnswered readOrderResponse(TicketId ticket,
                                                const HttpResponse& answer) const = 0;
  virtual PrefixBlocksPolled readBlockPoll(TicketId ticket, const HttpResponse& answer) const = 0;
  virtual PrefixBlocksListed readBlockList(TicketId ticket, const HttpResponse& answer) const = 0;

  // Operators' calls, translated to the product's own operator interface and back.
  /// An operator's call as translated.
  struct OperatorCall {
    OperatorRequest request;                 // in the product's own interface
    int kind = 0;                            // passed to `operatorResponse`
    std::optional<AnswerHttp> refusal = {};  // set if the call is invalid: the response to it
  };
  /// Parses an operator's call; nothing if the dialect has no such path.
  virtual std::optional<OperatorCall> readOperatorCall(TicketId ticket, const std::string& method,
                                                       const std::string& path,
                                                       const Headers& headers,
                                                       const std::string& body) const = 0;
  /// Translates a response to the dialect, as 200 for a change that is done and 412 for a stale
  /// one.
  virtual AnswerHttp operatorResponse(int kind, const AnswerHttp& answer) const = 0;
  /// The path of the readiness check, such as "/ready".
  virtual std::string_view readinessPath() const = 0;
};

}  // namespace peppergate
