#pragma once
// The sockets of a daemon that speaks a dialect: clients' listener, engines' calls, operators'
// calls.
#include <functional>
#include <map>
#include <memory>

#include "io/dialect.h"
#include "io/http_client.h"
#include "io/http_listener.h"

namespace peppergate {

/// Example: `DialectEndpoints endpoints(loop, dialect, step); endpoints.listen(address);
/// endpoints.carryOut(command);`
class DialectEndpoints {
 public:
  using Step = std::function<void(const Event&)>;
  DialectEndpoints(Loop& loop, const Dialect& dialect, Step step);
  /// Opens the clients' listener. Example: see the class.
  absl::Status listen(const Address& address);
  /// Carries out one command of the requests' or engines' kinds. Example: see the class.
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
  /// Takes an operator's call in the dialect's words: what is asked in the product's, or the
  /// refusal of one that can't be read; nothing if it is none of them.
  std::optional<std::variant<OperatorRequest, AnswerWeb>> operatorCall(TicketId ticket,
                                                                       const std::string& method,
                                                                       const std::string& path,
                                                                       const Headers& headers,
                                                                       const std::string& body);
  /// The product's answer, in the dialect's words where the call was. Example: before it is sent.
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
