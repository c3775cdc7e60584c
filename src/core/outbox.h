#pragma once
// The events that a node's state machine consumes and the commands that it emits. The state machine
// itself performs no I/O.
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/messages.h"
#include "core/types.h"
#include "engines/engine.h"
#include "requests/events.h"

namespace peppergate {

using Headers = std::map<std::string, std::string>;

// ---- commands ----
struct Send {  // sends a message to a member; it may be lost
  Address to;
  Message message;
};
struct Broadcast {  // sends one message to several members, encoded once; each copy may be lost
  std::vector<Address> to;
  std::shared_ptr<const Message> message;
};
struct WriteFile {  // temporary file, sync, rename, directory sync; answered by FileWritten
  TicketId ticket;
  std::string name;
  std::string content;
};
struct RemoveOlderFiles {  // removes all but the newest numbered files with this prefix
  std::string prefix;
  std::size_t keep = 2;
};
struct CallHttp {  // a unary HTTP call; answered by HttpCallAnswered
  TicketId ticket;
  Address address;
  std::string method;
  std::string path;
  Headers headers;
  std::string body;
  Duration timeout;
  MonotonicTime writeDeadline =
      kForever;  // end of an order's lease, checked again before the write
};
struct OpenStreamAttempt {  // a streaming HTTP call to an engine, on a connection of its own
  StreamAttemptId attempt;
  Address address;
  std::string path;
  Headers headers;
  std::string body;
  MonotonicTime writeDeadline;  // checked again immediately before the write
};
struct CancelStreamAttempt {
  StreamAttemptId attempt;
};
struct StartStreamAnswer {  // sends the response head to the caller
  StreamId stream;
  std::string requestId;
  WeightsVersion weights;  // a caller that resumes the stream names it again
};
struct SendPiece {
  StreamId stream;
  PieceIndex piece;
  std::string text;
};
enum class StreamAnswerEnd : std::uint8_t { kComplete, kTruncated };
struct EndStreamAnswer {  // sends the explicit end event or a typed error event
  StreamId stream;
  StreamAnswerEnd end = StreamAnswerEnd::kComplete;
  std::string kind;
  bool mayHaveRun = true;
  PieceIndex next;
};
struct DeclineStream {  // rejects the stream
  StreamId stream;
  int status = 503;
  std::string kind;
  bool mayHaveRun = false;
  Duration retryAfter;  // 0: none
  std::string field;
  std::string requestId;
};
struct AnswerHttp {  // the response to an operator or a unary caller
  TicketId ticket;
  int status = 200;
  Headers headers;
  std::string body;
};
struct LogState {  // logs a state change
  std::string text;
};
using Command =
    std::variant<Send, Broadcast, WriteFile, RemoveOlderFiles, CallHttp, OpenStreamAttempt,
                 CancelStreamAttempt, StartStreamAnswer, SendPiece, EndStreamAnswer, DeclineStream,
                 AnswerHttp, LogState, ListEngines, RequestEngineReport, OrderWeightsLoad,
                 PollPrefixBlocks, ListPrefixBlocks, OpenAttempt, CancelAttempt, PauseAttempt,
                 ForwardResponseHead, ForwardResponseBody, FinishResponse, RejectRequest>;

// ---- events ----
struct Tick {};
struct MessageReceived {
  Address from;
  Message message;
};
struct FileWritten {
  TicketId ticket;
  bool synced = false;
};
struct HttpCallAnswered {
  TicketId ticket;
  int status = 0;  // 0: no answer
  std::string body;
};
struct StreamRequest {
  StreamId stream;
  Headers headers;  // lower-case names
  std::string body;
  bool isUnary = false;  // a unary call to the desk application
};
struct StreamCallerGone {
  StreamId stream;
};
enum class StreamAttemptEventKind : std::uint8_t {
  kWritten,
  kPiece,
  kEnded,
  kBroken,
  kDeclined,
  kNotWritten
};
struct StreamAttemptEvent {
  StreamAttemptId attempt;
  StreamAttemptEventKind kind = StreamAttemptEventKind::kBroken;
  PieceIndex piece;
  std::string text;             // the piece, or the engine's error
  std::string echoedRequestId;  // the request id that the engine echoed
  int status = 0;
};
struct OperatorRequest {
  TicketId ticket;
  std::string method;
  std::string path;
  std::string body;
};
struct DrainRequest {};
using Event =
    std::variant<Tick, MessageReceived, FileWritten, HttpCallAnswered, StreamRequest,
                 StreamCallerGone, StreamAttemptEvent, OperatorRequest, DrainRequest, EnginesListed,
                 EngineReportAnswered, WeightsLoadAnswered, PrefixBlocksPolled, PrefixBlocksListed,
                 RequestArrived, RequestCancelled, RequestBackpressure, AttemptEvent>;

/// Collects a node's commands and counters.
class Outbox {
 public:
  /// Queues a command.
  template <class T>
  void push(T command) {
    commands_.emplace_back(std::move(command));
  }
  /// Queues a message to a member. A message to an empty address is dropped.
  template <class T>
  void send(const Address& to, T message) {
    if (!to.value.empty()) push(Send{to, Message{std::move(message)}});
  }
  /// Queues one message to several members.
  template <class T>
  void broadcast(std::vector<Address> to, T message) {
    if (to.empty()) return;
    push(Broadcast{std::move(to), std::make_shared<const Message>(std::move(message))});
  }
  /// Increments a counter.
  void count(std::string_view name, std::uint64_t by = 1) {
    auto found = counters_.find(name);
    if (found == counters_.end()) counters_.emplace(std::string(name), by);
    else found->second += by;
  }
  /// Removes and returns the queued commands.
  std::vector<Command> takeCommands() { return std::exchange(commands_, {}); }
  /// The counters since the start of the process.
  const std::map<std::string, std::uint64_t, std::less<>>& counters() const { return counters_; }
  /// Returns a ticket that is unique within this process.
  TicketId newTicket() { return {++lastTicket_}; }

 private:
  std::vector<Command> commands_;
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::uint64_t lastTicket_ = 0;
};

}  // namespace peppergate
