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
struct DropOlder {  // removes all but the newest numbered files with this prefix
  std::string prefix;
  std::size_t keep = 2;
};
struct CallWeb {  // a unary HTTP call; answered by WebAnswered
  TicketId ticket;
  Address address;
  std::string method;
  std::string path;
  Headers headers;
  std::string body;
  Duration timeout;
  MonotonicTime writeBefore = kForever;  // end of an order's lease, checked again before the write
};
struct OpenShot {  // a streaming HTTP call to an engine, on a connection of its own
  ShotId shot;
  Address address;
  std::string path;
  Headers headers;
  std::string body;
  MonotonicTime writeBefore;  // checked again immediately before the write
};
struct CancelShot {
  ShotId shot;
};
struct StartAnswer {  // sends the response head to the caller
  StreamId stream;
  std::string requestId;
  WeightsVersion weights;  // a caller that resumes the stream names it again
};
struct SendPiece {
  StreamId stream;
  Piece piece;
  std::string text;
};
enum class AnswerEnd : std::uint8_t { kWhole, kCut };
struct EndAnswer {  // sends the explicit end event or a typed error event
  StreamId stream;
  AnswerEnd end = AnswerEnd::kWhole;
  std::string kind;
  bool mayHaveRun = true;
  Piece next;
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
struct AnswerWeb {  // the response to an operator or a unary caller
  TicketId ticket;
  int status = 200;
  Headers headers;
  std::string body;
};
struct NoteState {  // logs a state change
  std::string text;
};
using Command =
    std::variant<Send, Broadcast, WriteFile, DropOlder, CallWeb, OpenShot, CancelShot, StartAnswer,
                 SendPiece, EndAnswer, DeclineStream, AnswerWeb, NoteState, ListEngines, AskReport,
                 OrderWeights, PollParts, ListParts, OpenAttempt, CancelAttempt, PauseAttempt,
                 AnswerHead, AnswerBody, AnswerDone, RefuseRequest>;

// ---- events ----
struct Ticked {};
struct Arrived {
  Address from;
  Message message;
};
struct FileWritten {
  TicketId ticket;
  bool synced = false;
};
struct WebAnswered {
  TicketId ticket;
  int status = 0;  // 0: no answer
  std::string body;
};
struct StreamRequest {
  StreamId stream;
  Headers headers;  // lower-case names
  std::string body;
  bool unary = false;  // a unary call to the desk application
};
struct CallerGone {
  StreamId stream;
};
enum class ShotTurn : std::uint8_t { kWritten, kPiece, kEnded, kBroken, kDeclined, kNotWritten };
struct ShotTurned {
  ShotId shot;
  ShotTurn turn = ShotTurn::kBroken;
  Piece piece;
  std::string text;  // the piece, or the engine's error
  std::string echo;  // the request id that the engine echoed
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
    std::variant<Ticked, Arrived, FileWritten, WebAnswered, StreamRequest, CallerGone, ShotTurned,
                 OperatorRequest, DrainRequest, EnginesListed, ReportAnswered, OrderAnswered,
                 PartsPolled, PartsListed, RequestArrived, RequestGone, ClientSlow, AttemptTurned>;

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
  std::vector<Command> take() { return std::exchange(commands_, {}); }
  /// The counters since the start of the process.
  const std::map<std::string, std::uint64_t, std::less<>>& counters() const { return counters_; }
  /// Returns a ticket that is unique within this process.
  TicketId ticket() { return {++lastTicket_}; }

 private:
  std::vector<Command> commands_;
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::uint64_t lastTicket_ = 0;
};

}  // namespace peppergate
