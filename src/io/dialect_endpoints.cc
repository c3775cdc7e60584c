#include "io/dialect_endpoints.h"

namespace peppergate {

DialectEndpoints::DialectEndpoints(Loop& loop, const Dialect& dialect, Step step)
    : dialect_(dialect),
      step_(std::move(step)),
      listener_(loop, dialect,
                {[this](RequestArrived arrived) { step_(std::move(arrived)); },
                 [this](RequestId request) { step_(RequestGone{request}); },
                 [this](ClientSlow slow) { step_(slow); }}),
      client_(loop, dialect) {}

absl::Status DialectEndpoints::listen(const Address& address) { return listener_.listen(address); }

void DialectEndpoints::carryOut(const OpenAttempt& command) {
  client_.attempt(
      command, [this](AttemptTurned turned) { step_(std::move(turned)); },
      [this, request = command.request] { return listener_.clientPresent(request); });
}

template <class Command, class Reader>
void DialectEndpoints::call(const Command& command, Reader reader) {
  client_.call(dialect_.call(command),
               [this, ticket = command.ticket, reader](const HttpAnswer& answer) {
                 step_((dialect_.*reader)(ticket, answer));
               });
}

void DialectEndpoints::carryOut(const ListEngines& command) { call(command, &Dialect::readList); }
void DialectEndpoints::carryOut(const AskReport& command) { call(command, &Dialect::readReport); }
void DialectEndpoints::carryOut(const OrderWeights& command) { call(command, &Dialect::readOrder); }
void DialectEndpoints::carryOut(const PollParts& command) { call(command, &Dialect::readPoll); }
void DialectEndpoints::carryOut(const ListParts& command) { call(command, &Dialect::readParts); }

std::optional<std::variant<OperatorRequest, AnswerWeb>> DialectEndpoints::operatorCall(
    TicketId ticket, const std::string& method, const std::string& path, const Headers& headers,
    const std::string& body) {
  auto call = dialect_.readOperator(ticket, method, path, headers, body);
  if (!call) return std::nullopt;
  if (call->refused) return std::variant<OperatorRequest, AnswerWeb>(std::move(*call->refused));
  operatorKinds_[ticket] = call->kind;
  return std::variant<OperatorRequest, AnswerWeb>(std::move(call->asked));
}

AnswerWeb DialectEndpoints::operatorAnswer(const AnswerWeb& answer) {
  auto kind = operatorKinds_.extract(answer.ticket);
  return kind.empty() ? answer : dialect_.operatorAnswer(kind.mapped(), answer);
}

}  // namespace peppergate
