#pragma once
// The HTTP client's connections to engines: one exchange at a time, pooled while idle.
#include <boost/intrusive/list.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "io/http_answer.h"
#include "io/http_client.h"
#include "io/http_socket.h"

namespace peppergate {

class ClientConnection;
struct ConnectionPool;

/// One request in progress and the handling of its response.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(ConnectionPool& pool, bool toHead) : pool(pool), reader(toHead) {}
  virtual ~Exchange();
  /// Called with the response's head; false if it isn't this request's, by its id for instance.
  virtual bool headCame() = 0;
  virtual void bodyCame(std::string bytes) = 0;
  /// The body is complete; called before completion is reported, while a cancel is still possible.
  virtual void lastCame() {}
  virtual void whole() = 0;
  /// The exchange failed; `written` says whether any byte of the request was sent.
  virtual void failed() = 0;
  /// Whether the request is still to be sent; called right before its first byte is written.
  virtual bool stillWanted() { return true; }
  /// The request was written, so an engine may run it from now on.
  virtual void tellWritten() = 0;
  /// Removes the exchange from its table, right before its outcome is reported.
  virtual void forget() = 0;

  /// Ends the exchange without a complete response.
  void fail();
  /// Ends the exchange with its complete response.
  void finish();
  /// Reports a write or failure that could not be reported from inside the call that caused it.
  void tellPending();
  /// Calls `fail` after a timeout.
  void startTimer(Duration time);
  void stopTimer();

  ConnectionPool& pool;
  Address address;
  std::string text;  // the formatted request
  MonotonicTime writeBefore = kForever;
  Duration connectTimeout = seconds(1);  // unless the timer bounds the whole exchange
  AnswerReader reader;
  std::shared_ptr<ClientConnection> connection;
  bool written = false, told = false, doomed = false, done = false, paused = false;
  bool timed = false;          // the timer is active
  bool ownConnection = false;  // uses a new connection and closes it afterwards
  bool bounded = false;        // the timer bounds the whole exchange, not only the connect

 private:
  event timer_;
};

/// Hook of the list of idle connections, which is in the order in which they became idle.
struct KeptHook
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  MonotonicTime keptUntil;
};

class ClientConnection final : public HttpSocketOwner,
                               public KeptHook,
                               public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ConnectionPool& pool, Address address, int descriptor);
  /// Waits until the connection is established, then writes the request.
  void connectFor(std::shared_ptr<Exchange> exchange);
  /// Writes the request at once. False if no byte of it could be sent; the connection is closed
  /// then. A request that isn't wanted any more is not written; its failure is reported later.
  bool write(std::shared_ptr<Exchange> exchange);
  void pause(bool paused);
  void close();
  void readable() override;
  void writable() override;
  bool quiet() const { return socket_.quiet(); }
  const Address& address() const { return address_; }

 private:
  void take(std::string_view bytes);
  void fail();
  void answerWhole(bool surplus);

  ConnectionPool& pool_;
  Address address_;
  HttpSocket socket_;
  std::shared_ptr<Exchange> exchange_;
  bool connecting_ = false, writeBroken_ = false;
};

/// State shared by the connections of one client, with the pool of idle ones.
struct ConnectionPool {
  ConnectionPool(Loop& loop, const Dialect& dialect);
  ~ConnectionPool();
  /// Sends on an idle connection or a new one. The outcome is reported later, never from inside.
  void start(const std::shared_ptr<Exchange>& exchange);
  void keep(const std::shared_ptr<ClientConnection>& connection, Duration time);
  /// Removes a connection from the pool, if it is idle.
  void unkeep(ClientConnection& connection);
  void tellSoon(std::shared_ptr<Exchange> exchange);

  Loop& loop;
  const Dialect& dialect;
  std::vector<char> buffer;  // for one read
  std::unordered_map<ClientConnection*, std::shared_ptr<ClientConnection>> connections;
  std::unordered_map<std::string, std::vector<ClientConnection*>> kept;
  boost::intrusive::list<KeptHook, boost::intrusive::constant_time_size<false>> keptInOrder;
  std::size_t keptCount = 0;
  std::uint64_t opened = 0;

 private:
  static void onNews(evutil_socket_t, short, void* pool);
  static void onTick(evutil_socket_t, short, void* pool);
  std::shared_ptr<ClientConnection> takeKept(const Address& address);
  void dropOldest();

  std::vector<std::shared_ptr<Exchange>> news_;
  event stateUpdateEvent_, tickEvent_;
  bool ticking_ = false;
};

}  // namespace peppergate
