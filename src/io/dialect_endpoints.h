#pragma once
// The network endpoints of a daemon that uses a dialect: the clients' listener, the calls to
// engines and the operators' calls.
#include <functional>
#include <map>
#include <memory>

#include "io/dialect.h"
#include "io/http_client.h"
#include "io/http_listener.h"

namespace peppergate {

/// Carries out commands of requests and engines, and reports what arrives as events.
class DialectEndpoints {
 public:
  using EventHandler = std::function<void(const Event&)>;
  DialectEndpoints(EventLoop& loop, const Dialect& dialect, EventHandler onEvent);
  /// Opens the clients' listener.
  absl::Status listen(const Address& address);
  /// Carries out one command. Commands of a kind that has no overload are only counted.
  template <class UnhandledCommand>
  void execute(const UnhandledCommand&) {
    ++unhandledCommands_;
  }
  void execute(const OpenAttempt& command);
  void execute(const CancelAttempt& command) { client_.cancel(command.attempt); }
  void execute(const PauseAttempt& command) { client_.pause(command.attempt, command.paused); }
  void execute(const ForwardResponseHead& command) { listener_.respond(command); }
  void execute(const ForwardResponseBody& command) { listener_.respond(command); }
  void execute(const FinishResponse& command) { listener_.respond(command); }
  void execute(const RejectRequest& command) { listener_.respond(command); }
  void execute(const ListEngines& command);
  void execute(const RequestEngineReport& command);
  void execute(const OrderWeightsLoad& command);
  void execute(const PollPrefixBlocks& command);
  void execute(const ListPrefixBlocks& command);
  /// Translates an operator's call from the dialect to the product's own interface. Returns the
  /// request, the refusal of an invalid one, or nothing if the dialect has no such call.
  std::optional<std::variant<OperatorRequest, AnswerHttp>> operatorCall(TicketId ticket,
                                                                        const std::string& method,
                                                                        const std::string& path,
                                                                        const Headers& headers,
                                                                        const std::string& body);
  /// Translates the response to an operator's call to the dialect, if the call was in the dialect.
  AnswerHttp operatorResponse(const AnswerHttp& answer);
  HttpListener& listener() { return listener_; }
  const HttpClient& client() const { return client_; }
  const Dialect& dialect() const { return dialect_; }

 private:
  template <class Command, class Reader>
  void call(const Command& command, Reader reader);

  const Dialect& dialect_;
  EventHandler onEvent_;
  HttpListener listener_;
  HttpClient client_;
  std::map<TicketId, int> operatorCallKinds_;
  std::uint64_t unhandledCommands_ = 0;
};

}  // namespace peppergate
