#pragma once
// One client's connection: requests are read one after another, each answered before the next.
#include <array>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "io/http_listener.h"
#include "io/http_parse.h"
#include "io/http_socket.h"

namespace peppergate {

/// What a connection waits for; each kind of wait has one length, so its list is in order of age.
enum class ConnectionWait : std::uint8_t { kIdle = 0, kHead, kBody, kWrite, kLinger, kNothing };

class ListenerConnection;

/// One in the lists of waits; it leaves its list by itself. Example: `waits[kind].push_back(one)`.
struct WaitingConnection
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  /// The wait took too long; afterwards it is over or begins anew.
  virtual void overdue() = 0;
  MonotonicTime since;

 protected:
  ~WaitingConnection() = default;
};

/// What the connections of one listener share.
struct ListenerContext {
  using WaitList =
      boost::intrusive::list<WaitingConnection, boost::intrusive::constant_time_size<false>>;
  ListenerContext(Loop& loop, const Dialect& dialect, HttpListener::Hooks hooks)
      : loop(loop), dialect(dialect), hooks(std::move(hooks)), buffer(64U << 10) {}
  /// Asks for a connection's output to be written once the present event has been dealt with.
  void flushSoon(ListenerConnection& connection);
  /// How long a wait may last. Example: `context.longest(ConnectionWait::kIdle)`.
  Duration longest(ConnectionWait wait) const;

  Loop& loop;
  const Dialect& dialect;
  HttpListener::Hooks hooks;
  RequestLimits limits;
  bool leaving = false;
  std::uint64_t lastRequest = 0;
  std::vector<char> buffer;  // what is read at once
  std::unordered_map<ListenerConnection*, std::shared_ptr<ListenerConnection>> connections;
  std::unordered_map<std::uint64_t, ListenerConnection*> answering;
  std::array<WaitList, static_cast<std::size_t>(ConnectionWait::kNothing)> waits;
  std::vector<std::shared_ptr<ListenerConnection>> dirty;
  event flushEvent, tickEvent;
};

/// Example: `std::make_shared<ListenerConnection>(context, descriptor)->start()`.
class ListenerConnection final : public HttpSocketOwner,
                                 public WaitingConnection,
                                 public std::enable_shared_from_this<ListenerConnection> {
 public:
  ListenerConnection(ListenerContext& context, int descriptor);
  void start();
  void readable() override;
  void writable() override;
  void peerClosed() override;

  void answerHead(const WireHead& head);
  void answerBody(std::string_view bytes);
  void answerDone(bool whole);
  void refuse(const RefuseRequest& refusal);
  /// Whether the client is known to be still there. If it isn't, its request ends as `ended` ends
  /// it. Sees a close that was received and not read yet.
  bool clientPresent();
  /// Writes what was answered; then the next request is read. Called by the context only.
  void flush();
  /// False: its output is already asked to be written. Called by the context only.
  bool markDirty() { return !std::exchange(dirty_, true); }
  void overdue() override;

 private:
  enum class Phase : std::uint8_t { kHead, kBody, kAnswering, kEnding, kLinger, kClosed };
  void take(std::string_view bytes);
  bool takeHead(std::string_view& bytes);
  bool takeBody(std::string_view& bytes);
  bool headDone(std::string_view text);
  void askForBody();
  void pauseReading();
  void arrived();
  void fillEvent(RequestArrived& event) const;
  void turnAway(int status, std::string_view kind);
  void writeRefusal(const RefuseRequest& refusal, const std::string& clientId, bool close);
  void endAnswer();
  void closeAfterOutput(bool linger);
  void ended();
  void failed();
  void drop();
  void waitFor(ConnectionWait wait);
  void chooseWait();
  void watchOutput();

  ListenerContext& context_;
  HttpSocket socket_;
  Phase phase_ = Phase::kHead;
  ConnectionWait waiting_ = ConnectionWait::kNothing;
  std::string rest_;     // bytes that came and were not looked at yet
  std::string pending_;  // of an answer, not handed to the socket yet
  bool dirty_ = false, readEnded_ = false, linger_ = false;
  // The present request.
  HeadScanner scanner_;
  HttpHead head_;
  std::shared_ptr<WireRequest> wire_;
  ChunkReader chunks_;
  RequestId request_;
  std::string clientId_;
  // Its answer.
  BodyFraming framing_ = BodyFraming::kNone;
  std::uint64_t left_ = 0;  // of an answer with a length
  bool headSent_ = false, closeAfter_ = false, slow_ = false;
};

}  // namespace peppergate
