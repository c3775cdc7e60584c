#pragma once
// How requests, engines' calls and operators' calls look on the wire. A dialect holds names and
// formats and decides nothing; the shell asks it for bytes and gives it bytes to read.
#include <optional>
#include <string>
#include <string_view>

#include "core/outbox.h"

namespace peppergate {

/// A short HTTP call as it is to be written. Example: `dialect.call(PollParts{...})`.
struct HttpCall {
  Address address;
  std::string method = "GET", path = "/";
  Headers headers;
  std::string body;
  Duration timeout = seconds(1);
  MonotonicTime writeBefore = kForever;
  // A late answer to an earlier call can't be told from this one's: none may stand on its
  // connection.
  bool ownConnection = false;
};
/// What came back; status 0 is no answer, and `written` tells whether a byte of the call left.
struct HttpAnswer {
  int status = 0;
  bool written = false;
  Headers headers;  // names in lower case
  std::string body;
};

/// One event of a stream as far as the system looks at it.
struct StreamMark {
  std::optional<std::uint64_t> id;
  std::optional<WeightsVersion> newVersion;
};

class Dialect {
 public:
  virtual ~Dialect() = default;

  // Clients' requests.
  /// Reads a client's request; a status above 0 is the refusal of one that can't be read.
  /// Example: `if (int status = dialect.readRequest(wire, event)) refuse(status);`
  virtual int readRequest(const std::shared_ptr<const WireRequest>& wire,
                          RequestArrived& event) const = 0;
  /// The whole request as an engine gets it, head and body. Example: before the write.
  virtual std::string attemptText(const OpenAttempt& attempt) const = 0;
  /// Fills what an engine's head says; false if it answers another request than this one.
  virtual bool readHead(const WireHead& head, const OpenAttempt& attempt,
                        AttemptTurned& turned) const = 0;
  /// Looks at one event of a stream, without its empty line. Example: for its id.
  virtual StreamMark readEvent(std::string_view event) const = 0;
  /// The headers of the engine's answer that a client gets, each line with its CRLF, without those
  /// of one connection or of framing and without the empty line. Example: "Retry-After: 1\r\n".
  virtual std::string answerHeaders(const WireHead& head) const = 0;
  /// The headers of an answer of the system's own, each line with its CRLF; the listener adds
  /// framing, the empty line and the refusal's kind as the text. Example: "Retry-After: 0.2\r\n".
  virtual std::string refusalHeaders(const RefuseRequest& refusal,
                                     const std::string& clientId) const = 0;

  // Calls to engines, stores and the platform.
  virtual HttpCall call(const ListEngines& command) const = 0;
  virtual HttpCall call(const AskReport& command) const = 0;
  virtual HttpCall call(const OrderWeights& command) const = 0;
  virtual HttpCall call(const PollParts& command) const = 0;
  virtual HttpCall call(const ListParts& command) const = 0;
  /// Whether a head may be a call's answer: one to a client's request names that request.
  virtual bool answersCall(const WireHead& head) const = 0;
  virtual EnginesListed readList(TicketId ticket, const HttpAnswer& answer) const = 0;
  virtual ReportAnswered readReport(TicketId ticket, const HttpAnswer& answer) const = 0;
  virtual OrderAnswered readOrder(TicketId ticket, const HttpAnswer& answer) const = 0;
  virtual PartsPolled readPoll(TicketId ticket, const HttpAnswer& answer) const = 0;
  virtual PartsListed readParts(TicketId ticket, const HttpAnswer& answer) const = 0;

  // Operators' calls, as the product's own operators' interface and back.
  /// Nothing: no such page, it is the product's own. Example: `dialect.readOperator(asked)`.
  struct OperatorCall {
    OperatorRequest asked;                  // in the product's own words
    int kind = 0;                           // given back to `operatorAnswer`
    std::optional<AnswerWeb> refused = {};  // can't be read: this is the answer, nothing is asked
  };
  virtual std::optional<OperatorCall> readOperator(TicketId ticket, const std::string& method,
                                                   const std::string& path, const Headers& headers,
                                                   const std::string& body) const = 0;
  /// The product's answer in the dialect's words. Example: done is 200, stale is 412.
  virtual AnswerWeb operatorAnswer(int kind, const AnswerWeb& answer) const = 0;
  /// The path at which readiness is asked. Example: "/ready".
  virtual std::string_view readyPath() const = 0;
};

}  // namespace peppergate
