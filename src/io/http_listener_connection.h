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
enum class ConnectionWait : std::uint8_t { kIdle = 0, kHead, kBody, kWrite, kLinger, kNone };

class ListenerConnection;

/// An element of the lists of waits; unlinks itself when destroyed.
struct WaitingConnection
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  /// The wait has timed out; the handler must end it or restart it.
  virtual void onTimeout() = 0;
  MonotonicTime waitingSince;

 protected:
  ~WaitingConnection() = default;
};

/// State shared by the connections of one listener.
struct ListenerContext {
  using WaitList =
      boost::intrusive::list<WaitingConnection, boost::intrusive::constant_time_size<false>>;
  ListenerContext(EventLoop& loop, const Dialect& dialect, HttpListener::Handlers handlers)
      : loop(loop), dialect(dialect), handlers(std::move(handlers)), readBuffer(64U << 10) {}
  /// Schedules a write of the connection's output after the current event.
  void scheduleFlush(ListenerConnection& connection);
  /// The timeout of a kind of wait.
  Duration timeoutOf(ConnectionWait wait) const;

  EventLoop& loop;
  const Dialect& dialect;
  HttpListener::Handlers handlers;
  RequestLimits limits;
  bool draining = false;
  std::uint64_t lastRequestId = 0;
  std::vector<char> readBuffer;  // for one read
  std::unordered_map<ListenerConnection*, std::shared_ptr<ListenerConnection>> connections;
  std::unordered_map<std::uint64_t, ListenerConnection*> activeRequests;
  std::array<WaitList, static_cast<std::size_t>(ConnectionWait::kNone)> waits;
  std::vector<std::shared_ptr<ListenerConnection>> flushQueue;
  event flushEvent, tickEvent;
};

/// A client's connection, owned by its listener's context.
class ListenerConnection final : public HttpSocketOwner,
                                 public WaitingConnection,
                                 public std::enable_shared_from_this<ListenerConnection> {
 public:
  ListenerConnection(ListenerContext& context, int descriptor);
  void start();
  void onReadable() override;
  void onWritable() override;
  void onPeerClosed() override;

  void sendHead(const WireHead& head);
  void sendBody(std::string_view bytes);
  void finishResponse(bool complete);
  void refuse(const RejectRequest& refusal);
  /// Whether the client is still connected; detects a close that was received but not read yet. If
  /// the client has left, its request is cancelled.
  bool isClientConnected();
  /// Writes the pending output, then reads the next request. Called by the context only.
  void flush();
  /// False if a flush is scheduled already. Called by the context only.
  bool markFlushScheduled() { return !std::exchange(flushScheduled_, true); }
  void onTimeout() override;

 private:
  enum class Phase : std::uint8_t { kHead, kBody, kResponding, kClosing, kLinger, kClosed };
  void handleBytes(std::string_view bytes);
  bool readHead(std::string_view& bytes);
  bool readBody(std::string_view& bytes);
  bool handleHead(std::string_view text);
  void sendContinue();
  void pauseReading();
  void dispatchRequest();
  void fillRequestEvent(RequestArrived& event) const;
  void rejectUnread(int status, std::string_view reason);
  void writeRefusal(const RejectRequest& refusal, const std::string& clientId, bool close);
  void endResponse();
  void closeAfterOutput(bool linger);
  void handlePeerClose();
  void handleFailure();
  void closeNow();
  void startWait(ConnectionWait wait);
  void updateWait();
  void checkOutput();

  ListenerContext& context_;
  HttpSocket socket_;
  Phase phase_ = Phase::kHead;
  ConnectionWait wait_ = ConnectionWait::kNone;
  std::string unparsed_;  // received bytes that were not parsed yet
  std::string output_;    // response bytes that were not passed to the socket yet
  bool flushScheduled_ = false, readEnded_ = false, linger_ = false;
  // The current request.
  HeadScanner scanner_;
  HttpHead head_;
  std::shared_ptr<WireRequest> wire_;
  ChunkReader chunks_;
  RequestId request_;
  std::string clientId_;
  // Its response.
  BodyFraming framing_ = BodyFraming::kNone;
  std::uint64_t remainingLength_ = 0;  // of a response with a Content-Length
  bool headSent_ = false, closeAfter_ = false, hasBackpressure_ = false;
};

}  // namespace peppergate
