#pragma once
// The HTTP client's connections to engines: one exchange at a time, pooled while idle.
#include <boost/intrusive/list.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "io/http_client.h"
#include "io/http_response.h"
#include "io/http_socket.h"

namespace peppergate {

class ClientConnection;
struct ConnectionPool;

/// One request in progress and the handling of its response.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(ConnectionPool& pool, bool toHeadRequest) : pool(pool), reader(toHeadRequest) {}
  virtual ~Exchange();
  /// Called with the response's head; false if it isn't this request's, by its id for instance.
  virtual bool onHead() = 0;
  virtual void onBody(std::string bytes) = 0;
  /// The body is complete; called before completion is reported, while a cancel is still possible.
  virtual void onBodyEnd() {}
  virtual void onComplete() = 0;
  /// The exchange failed; `written` says whether any byte of the request was sent.
  virtual void onFailed() = 0;
  /// Whether the request is still to be sent; called right before its first byte is written.
  virtual bool stillWanted() { return true; }
  /// The request was written, so an engine may run it from now on.
  virtual void onWritten() = 0;
  /// Removes the exchange from its table, right before its outcome is reported.
  virtual void unregister() = 0;

  /// Ends the exchange without a complete response.
  void fail();
  /// Ends the exchange with its complete response.
  void finish();
  /// Reports a write or failure that could not be reported from inside the call that caused it.
  void reportPending();
  /// Calls `fail` after a timeout.
  void startTimer(Duration timeout);
  void stopTimer();

  ConnectionPool& pool;
  Address address;
  std::string requestText;  // the formatted request
  MonotonicTime writeDeadline = kForever;
  Duration connectTimeout = seconds(1);  // unless the timer bounds the whole exchange
  ResponseReader reader;
  std::shared_ptr<ClientConnection> connection;
  bool written = false, writeReported = false, failurePending = false, done = false, paused = false;
  bool hasTimer = false;           // the timer is active
  bool ownConnection = false;      // uses a new connection and closes it afterwards
  bool hasOverallTimeout = false;  // the timer bounds the whole exchange, not only the connect

 private:
  event timer_;
};

/// Hook of the list of idle connections, which is in the order in which they became idle.
struct IdleConnectionHook
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  MonotonicTime idleUntil;
};

class ClientConnection final : public HttpSocketOwner,
                               public IdleConnectionHook,
                               public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ConnectionPool& pool, Address address, int descriptor);
  /// Waits until the connection is established, then writes the request.
  void awaitConnect(std::shared_ptr<Exchange> exchange);
  /// Writes the request at once. False if no byte of it could be sent; the connection is closed
  /// then. A request that isn't wanted any more is not written; its failure is reported later.
  bool write(std::shared_ptr<Exchange> exchange);
  void pause(bool paused);
  void close();
  void onReadable() override;
  void onWritable() override;
  bool isOpenAndIdle() const { return socket_.isOpenAndIdle(); }
  const Address& address() const { return address_; }

 private:
  void handleBytes(std::string_view bytes);
  void fail();
  void finishResponse(bool hasExtraBytes);

  ConnectionPool& pool_;
  Address address_;
  HttpSocket socket_;
  std::shared_ptr<Exchange> exchange_;
  bool connecting_ = false, writeFailed_ = false;
};

/// State shared by the connections of one client, with the pool of idle ones.
struct ConnectionPool {
  ConnectionPool(EventLoop& loop, const Dialect& dialect);
  ~ConnectionPool();
  /// Sends on an idle connection or a new one. The outcome is reported later, never from inside.
  void start(const std::shared_ptr<Exchange>& exchange);
  void addIdle(const std::shared_ptr<ClientConnection>& connection, Duration timeout);
  /// Removes a connection from the pool, if it is idle.
  void removeIdle(ClientConnection& connection);
  void reportSoon(std::shared_ptr<Exchange> exchange);

  EventLoop& loop;
  const Dialect& dialect;
  std::vector<char> readBuffer;  // for one read
  std::unordered_map<ClientConnection*, std::shared_ptr<ClientConnection>> connections;
  std::unordered_map<std::string, std::vector<ClientConnection*>> idleByAddress;
  boost::intrusive::list<IdleConnectionHook, boost::intrusive::constant_time_size<false>>
      idleInOrder;
  std::size_t idleCount = 0;
  std::uint64_t connectionsOpened = 0;

 private:
  static void onPendingReports(evutil_socket_t, short, void* pool);
  static void onTick(evutil_socket_t, short, void* pool);
  std::shared_ptr<ClientConnection> takeIdle(const Address& address);
  void closeOldestIdle();

  std::vector<std::shared_ptr<Exchange>> pendingReports_;
  event reportEvent_, tickEvent_;
  bool ticking_ = false;
};

}  // namespace peppergate
