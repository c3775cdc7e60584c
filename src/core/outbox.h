#pragma once
// Events come to a machine; it answers with commands. Nothing here touches the outside.
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
struct Send {  // a message to a member; it may be lost
  Address to;
  Message message;
};
struct Broadcast {  // one message to several members, coded once; each copy may be lost
  std::vector<Address> to;
  std::shared_ptr<const Message> message;
};
struct WriteFile {  // written aside, synced, renamed, folder synced; answered by FileWritten
  TicketId ticket;
  std::string name;
  std::string content;
};
struct DropOlder {  // of the numbered files with this prefix, only the newest stay
  std::string prefix;
  std::size_t keep = 2;
};
struct CallWeb {  // a short HTTP call; answered by WebAnswered
  TicketId ticket;
  Address address;
  std::string method;
  std::string path;
  Headers headers;
  std::string body;
  Duration timeout;
  MonotonicTime writeBefore = kForever;  // an order's hold, checked again at the write
};
struct OpenShot {  // a streamed HTTP call to an engine, on a connection of its own
  ShotId shot;
  Address address;
  std::string path;
  Headers headers;
  std::string body;
  MonotonicTime writeBefore;  // checked again at the write itself
};
struct CancelShot {
  ShotId shot;
};
struct StartAnswer {  // the stream's head goes to the caller
  StreamId stream;
  std::string requestId;
  WeightsVersion weights;  // to be named again by a caller that resumes
};
struct SendPiece {
  StreamId stream;
  Piece piece;
  std::string text;
};
enum class AnswerEnd : std::uint8_t { kWhole, kCut };
struct EndAnswer {  // the explicit end event, or a typed error event
  StreamId stream;
  AnswerEnd end = AnswerEnd::kWhole;
  std::string kind;
  bool mayHaveRun = true;
  Piece next;
};
struct DeclineStream {  // the final answer, at once
  StreamId stream;
  int status = 503;
  std::string kind;
  bool mayHaveRun = false;
  Duration retryAfter;  // 0: none
  std::string field;
  std::string requestId;
};
struct AnswerWeb {  // an operator's or a caller's short answer
  TicketId ticket;
  int status = 200;
  Headers headers;
  std::string body;
};
struct NoteState {  // a log line for a change of state
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
  Headers headers;  // names in lower case
  std::string body;
  bool unary = false;  // a short call to the desk application
};
struct CallerGone {
  StreamId stream;
};
enum class ShotTurn : std::uint8_t { kWritten, kPiece, kEnded, kBroken, kDeclined, kNotWritten };
struct ShotTurned {
  ShotId shot;
  ShotTurn turn = ShotTurn::kBroken;
  Piece piece;
  std::string text;  // the piece, or the engine's reason
  std::string echo;  // the request id as the engine gave it back
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

/// Collects what a machine decides, with its counters. Example: `outbox.send(to, StateRequest{});`
class Outbox {
 public:
  /// Queues any command. Example: `outbox.push(CancelShot{shot});`
  template <class T>
  void push(T command) {
    commands_.emplace_back(std::move(command));
  }
  /// Queues a message. Example: `outbox.send(address, IndexRequest{});`
  template <class T>
  void send(const Address& to, T message) {
    if (!to.value.empty()) push(Send{to, Message{std::move(message)}});
  }
  /// Queues one message to several members. Example: `outbox.broadcast(addresses, EngineUse{});`
  template <class T>
  void broadcast(std::vector<Address> to, T message) {
    if (to.empty()) return;
    push(Broadcast{std::move(to), std::make_shared<const Message>(std::move(message))});
  }
  /// Raises a counter. Example: `outbox.count("shots.second");`
  void count(std::string_view name, std::uint64_t by = 1) {
    auto found = counters_.find(name);
    if (found == counters_.end()) counters_.emplace(std::string(name), by);
    else found->second += by;
  }
  /// Hands over the commands so far. Example: `for (auto& command : outbox.take()) run(command);`
  std::vector<Command> take() { return std::exchange(commands_, {}); }
  /// The counters since the start. Example: `outbox.counters().at("streams.allowed")`.
  const std::map<std::string, std::uint64_t, std::less<>>& counters() const { return counters_; }
  /// A ticket not used before in this process. Example: `auto ticket = outbox.ticket();`
  TicketId ticket() { return {++lastTicket_}; }

 private:
  std::vector<Command> commands_;
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::uint64_t lastTicket_ = 0;
};

}  // namespace peppergate
