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
  using Step = std::function<void(const Event&)>;
  DialectEndpoints(Loop& loop, const Dialect& dialect, Step step);
  /// Opens the clients' listener.
  absl::Status listen(const Address& address);
  /// Carries out one command. Commands of a kind that has no overload are only counted.
  template <class Other>
  void carryOut(const Other&) {
    ++unknown_;
  }
  void carryOut(const OpenAttempt& command);
  void carryOut(const CancelAttempt& command) { client_.cancel(command.attempt); }
  void carryOut(const PauseAttempt& command) { client_.pause(command.attempt, command.paused); }
  void carryOut(const AnswerHead& command) { listener_.answer(command); }
  void carryOut(const AnswerBody& command) { listener_.answer(command); }
  void carryOut(const AnswerDone& command) { listener_.answer(command); }
  void carryOut(const RefuseRequest& command) { listener_.answer(command); }
  void carryOut(const ListEngines& command);
  void carryOut(const AskReport& command);
  void carryOut(const OrderWeights& command);
  void carryOut(const PollParts& command);
  void carryOut(const ListParts& command);
  /// Translates an operator's call from the dialect to the product's own interface. Returns the
  /// request, the refusal of an invalid one, or nothing if the dialect has no such call.
  std::optional<std::variant<OperatorRequest, AnswerWeb>> operatorCall(TicketId ticket,
                                                                       const std::string& method,
                                                                       const std::string& path,
                                                                       const Headers& headers,
                                                                       const std::string& body);
  /// Translates the response to an operator's call to the dialect, if the call was in the dialect.
  AnswerWeb operatorAnswer(const AnswerWeb& answer);
  HttpListener& listener() { return listener_; }
  const HttpClient& client() const { return client_; }
  const Dialect& dialect() const { return dialect_; }

 private:
  template <class Command, class Reader>
  void call(const Command& command, Reader reader);

  const Dialect& dialect_;
  Step step_;
  HttpListener listener_;
  HttpClient client_;
  std::map<TicketId, int> operatorKinds_;
  std::uint64_t unknown_ = 0;
};

}  // namespace peppergate
