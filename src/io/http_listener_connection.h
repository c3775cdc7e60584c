#pragma once
// One client's connection. Requests are handled one after another: each is answered before the next
// is read.
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

/// What a connection waits for. Each kind of wait has one timeout, so its list is ordered by age.
enum class ConnectionWait : std::uint8_t { kIdle = 0, kHead, kBody, kWrite, kLinger, kNothing };

class ListenerConnection;

/// An element of the lists of waits; unlinks itself when destroyed.
struct WaitingConnection
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  /// The wait has timed out; the handler must end it or restart it.
  virtual void overdue() = 0;
  MonotonicTime since;

 protected:
  ~WaitingConnection() = default;
};

/// State shared by the connections of one listener.
struct ListenerContext {
  using WaitList =
      boost::intrusive::list<WaitingConnection, boost::intrusive::constant_time_size<false>>;
  ListenerContext(Loop& loop, const Dialect& dialect, HttpListener::Hooks hooks)
      : loop(loop), dialect(dialect), hooks(std::move(hooks)), buffer(64U << 10) {}
  /// Schedules a write of the connection's output after the current event.
  void flushSoon(ListenerConnection& connection);
  /// The timeout of a kind of wait.
  Duration longest(ConnectionWait wait) const;

  Loop& loop;
  const Dialect& dialect;
  HttpListener::Hooks hooks;
  RequestLimits limits;
  bool leaving = false;
  std::uint64_t lastRequest = 0;
  std::vector<char> buffer;  // for one read
  std::unordered_map<ListenerConnection*, std::shared_ptr<ListenerConnection>> connections;
  std::unordered_map<std::uint64_t, ListenerConnection*> answering;
  std::array<WaitList, static_cast<std::size_t>(ConnectionWait::kNothing)> waits;
  std::vector<std::shared_ptr<ListenerConnection>> dirty;
  event flushEvent, tickEvent;
};

/// A client's connection, owned by its listener's context.
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
  /// Whether the client is still connected; detects a close that was received but not read yet. If
  /// the client has left, its request is cancelled.
  bool clientPresent();
  /// Writes the pending output, then reads the next request. Called by the context only.
  void flush();
  /// False if a flush is scheduled already. Called by the context only.
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
  std::string rest_;     // received bytes that were not parsed yet
  std::string pending_;  // response bytes that were not passed to the socket yet
  bool dirty_ = false, readEnded_ = false, linger_ = false;
  // The current request.
  HeadScanner scanner_;
  HttpHead head_;
  std::shared_ptr<WireRequest> wire_;
  ChunkReader chunks_;
  RequestId request_;
  std::string clientId_;
  // Its response.
  BodyFraming framing_ = BodyFraming::kNone;
  std::uint64_t left_ = 0;  // of a response with a Content-Length
  bool headSent_ = false, closeAfter_ = false, slow_ = false;
};

}  // namespace peppergate
