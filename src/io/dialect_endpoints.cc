#include "io/dialect_endpoints.h"

namespace peppergate {

DialectEndpoints::DialectEndpoints(EventLoop& loop, const Dialect& dialect, EventHandler onEvent)
    : dialect_(dialect),
      onEvent_(std::move(onEvent)),
      listener_(loop, dialect,
                {[this](RequestArrived arrival) { onEvent_(std::move(arrival)); },
                 [this](RequestId request) { onEvent_(RequestCancelled{request}); },
                 [this](RequestBackpressure backpressure) { onEvent_(backpressure); }}),
      client_(loop, dialect) {}

absl::Status DialectEndpoints::listen(const Address& address) { return listener_.listen(address); }

void DialectEndpoints::execute(const OpenAttempt& command) {
  client_.attempt(
      command, [this](AttemptEvent attemptEvent) { onEvent_(std::move(attemptEvent)); },
      [this, request = command.request] { return listener_.isClientConnected(request); });
}

template <class Command, class Reader>
void DialectEndpoints::call(const Command& command, Reader reader) {
  client_.call(dialect_.makeCall(command),
               [this, ticket = command.ticket, reader](const HttpResponse& answer) {
                 onEvent_((dialect_.*reader)(ticket, answer));
               });
}

void DialectEndpoints::execute(const ListEngines& command) {
  call(command, &Dialect::readEngineList);
}
void DialectEndpoints::execute(const RequestEngineReport& command) {
  call(command, &Dialect::readEngineReport);
}
void DialectEndpoints::execute(const OrderWeightsLoad& command) {
  call(command, &Dialect::readOrderResponse);
}
void DialectEndpoints::execute(const PollPrefixBlocks& command) {
  call(command, &Dialect::readBlockPoll);
}
void DialectEndpoints::execute(const ListPrefixBlocks& command) {
  call(command, &Dialect::readBlockList);
}

std::optional<std::variant<OperatorRequest, AnswerHttp>> DialectEndpoints::operatorCall(
    TicketId ticket, const std::string& method, const std::string& path, const Headers& headers,
    const std::string& body) {
  auto call = dialect_.readOperatorCall(ticket, method, path, headers, body);
  if (!call) return std::nullopt;
  if (call->refusal) return std::variant<OperatorRequest, AnswerHttp>(std::move(*call->refusal));
  operatorCallKinds_[ticket] = call->kind;
  return std::variant<OperatorRequest, AnswerHttp>(std::move(call->request));
}

AnswerHttp DialectEndpoints::operatorResponse(const AnswerHttp& answer) {
  auto kind = operatorCallKinds_.extract(answer.ticket);
  return kind.empty() ? answer : dialect_.operatorResponse(kind.mapped(), answer);
}

}  // namespace peppergate
