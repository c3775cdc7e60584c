#pragma once
// The client's connections to engines: one exchange at a time, kept between them under hygiene.
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

/// One request under way and what becomes of its answer.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(ConnectionPool& pool, bool toHead) : pool(pool), reader(toHead) {}
  virtual ~Exchange();
  /// The head came; false: the answer is not this request's. Example: another id.
  virtual bool headCame() = 0;
  virtual void bodyCame(std::string bytes) = 0;
  /// The body is whole; told before `whole`, while it can still be cancelled.
  virtual void lastCame() {}
  virtual void whole() = 0;
  /// Nothing further comes; `written` tells whether a byte of it had left.
  virtual void failed() = 0;
  /// Whether it shall still be sent; asked right before its first byte is written.
  virtual bool stillWanted() { return true; }
  /// From now on it may run. Example: an attempt tells it.
  virtual void tellWritten() = 0;
  /// Takes it out of the tables; nothing is told after it.
  virtual void forget() = 0;

  /// Ends it without an answer. Example: its connection was cut.
  void fail();
  /// Ends it with its answer whole.
  void finish();
  /// Tells what could not be told at once. Called by the pool only.
  void tellPending();
  /// Calls `fail` when the time is up. Example: a call's time limit.
  void startTimer(Duration time);
  void stopTimer();

  ConnectionPool& pool;
  Address address;
  std::string text;  // the whole request
  MonotonicTime writeBefore = kForever;
  Duration connectTimeout = seconds(1);  // where no timer bounds the whole exchange
  AnswerReader reader;
  std::shared_ptr<ClientConnection> connection;
  bool written = false, told = false, doomed = false, done = false, paused = false;
  bool timed = false;          // a timer runs
  bool ownConnection = false;  // neither on a kept connection nor kept after it
  bool bounded = false;        // it bounds the whole exchange, not the connect alone

 private:
  event timer_;
};

/// Kept connections in order of their keeping.
struct KeptHook
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  MonotonicTime keptUntil;
};

class ClientConnection final : public HttpSocketOwner,
                               public KeptHook,
                               public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ConnectionPool& pool, Address address, int descriptor);
  /// Waits for the connection to come up, then writes.
  void connectFor(std::shared_ptr<Exchange> exchange);
  /// Writes at once; false: nothing was handed over and the connection is closed.
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

/// What the connections of one client share; the pool of kept ones.
struct ConnectionPool {
  ConnectionPool(Loop& loop, const Dialect& dialect);
  ~ConnectionPool();
  /// Sends on a kept connection or a new one; its end is told later, never from inside.
  void start(const std::shared_ptr<Exchange>& exchange);
  void keep(const std::shared_ptr<ClientConnection>& connection, Duration time);
  /// Takes a connection out of the kept ones, if it is there.
  void unkeep(ClientConnection& connection);
  void tellSoon(std::shared_ptr<Exchange> exchange);

  Loop& loop;
  const Dialect& dialect;
  std::vector<char> buffer;  // what is read at once
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
