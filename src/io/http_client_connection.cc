#include "io/http_client_connection.h"

#include <errno.h>

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::size_t kMaxIdlePerAddress = 64, kMaxIdleConnections = 2000;
constexpr Duration kTickInterval = milliseconds(500);
constexpr Duration kUnusedIdleTimeout = seconds(4);  // established too late for its request

timeval toTimeval(Duration timeout) {
  return {static_cast<time_t>(timeout.microseconds / 1'000'000),
          static_cast<suseconds_t>(timeout.microseconds % 1'000'000)};
}

}  // namespace

// ---- an exchange ----

Exchange::~Exchange() { stopTimer(); }

void Exchange::startTimer(Duration timeout) {
  static constexpr auto kOnTimeout = [](evutil_socket_t, short, void* exchange) {
    auto self = static_cast<Exchange*>(exchange)->shared_from_this();
    self->fail();
  };
  stopTimer();
  event_assign(&timer_, pool.loop.base(), -1, 0, kOnTimeout, this);
  timeval value = toTimeval(std::max(timeout, Duration{}));
  event_add(&timer_, &value);
  hasTimer = true;
}

void Exchange::stopTimer() {
  if (std::exchange(hasTimer, false)) event_del(&timer_);
}

void Exchange::fail() {
  if (done) return;
  auto self = shared_from_this();
  if (written) reportPending();
  if (done) return;
  done = true;
  stopTimer();
  if (auto used = std::exchange(connection, nullptr)) used->close();
  unregister();
  onFailed();
}

void Exchange::finish() {
  if (done) return;
  auto self = shared_from_this();
  done = true;
  stopTimer();
  connection.reset();
  unregister();
  onComplete();
}

void Exchange::reportPending() {
  if (done) return;
  if (written && !std::exchange(writeReported, true)) onWritten();
  if (failurePending) fail();
}

// ---- a connection ----

ClientConnection::ClientConnection(ConnectionPool& pool, Address address, int descriptor)
    : pool_(pool), address_(std::move(address)), socket_(pool.loop.base(), descriptor, *this) {}

void ClientConnection::awaitConnect(std::shared_ptr<Exchange> exchange) {
  exchange_ = std::move(exchange);
  exchange_->connection = shared_from_this();
  connecting_ = true;
  if (!exchange_->hasOverallTimeout) exchange_->startTimer(exchange_->connectTimeout);
  socket_.watchWrite(true);
}

bool ClientConnection::write(std::shared_ptr<Exchange> exchange) {
  // The last moment to hold the request back. The check may cancel it and close the socket.
  if (bootNow() >= exchange->writeDeadline || !exchange->stillWanted()) {
    exchange->failurePending = true;
    exchange->connection.reset();
    if (exchange->ownConnection || !socket_.isOpen()) close();
    else pool_.addIdle(shared_from_this(), kUnusedIdleTimeout);
    pool_.reportSoon(std::move(exchange));
    return true;
  }
  auto sentBefore = socket_.bytesSent();
  static_cast<void>(
      socket_.send(exchange->requestText));  // a failure is detected below, or by reading
  if (socket_.bytesSent() ==
      sentBefore) {  // nothing was sent, and nothing may be sent unnoticed later
    exchange->connection.reset();
    close();
    return false;
  }
  exchange->written = true;
  exchange->requestText.clear();
  exchange->requestText.shrink_to_fit();
  exchange->connection = shared_from_this();
  exchange_ = exchange;
  socket_.watchRead(!exchange->paused);
  pool_.reportSoon(std::move(exchange));
  return true;
}

void ClientConnection::pause(bool paused) {
  if (!connecting_) socket_.watchRead(!paused);
}

void ClientConnection::close() {
  auto self = shared_from_this();
  exchange_.reset();
  pool_.removeIdle(*this);
  socket_.close();
  pool_.connections.erase(this);
}

// Closes the connection and fails the exchange on it.
void ClientConnection::fail() {
  auto self = shared_from_this();
  auto exchange = exchange_;
  close();
  if (!exchange) return;
  exchange->connection.reset();
  exchange->fail();
}

void ClientConnection::onWritable() {
  auto self = shared_from_this();
  if (!connecting_) {
    // A response may have arrived before the peer stopped reading, so reading decides.
    if (!socket_.flush()) {
      writeFailed_ = true;
      socket_.discardOutput();
    }
    return;
  }
  connecting_ = false;
  socket_.watchWrite(false);
  if (socket_.pendingError() != 0) return fail();
  ++pool_.connectionsOpened;
  auto exchange = std::move(exchange_);
  if (!exchange || exchange->done) return close();
  if (!exchange->hasOverallTimeout) exchange->stopTimer();
  // Bytes or a close that arrived before the request was written are no response to it. As nothing
  // of it was sent, another engine may still get it.
  bool isOpenAndIdle = socket_.isOpenAndIdle();
  if (!isOpenAndIdle) close();
  if (!isOpenAndIdle || !write(exchange)) exchange->fail();
}

void ClientConnection::onReadable() {
  auto self = shared_from_this();
  auto result = socket_.read(pool_.readBuffer);
  if (result.status == HttpSocket::ReadStatus::kWouldBlock) return;
  // An idle connection that is closed by the peer or receives unrequested bytes isn't reused.
  if (result.status != HttpSocket::ReadStatus::kBytes || !exchange_) return fail();
  handleBytes({pool_.readBuffer.data(), result.size});
}

void ClientConnection::handleBytes(std::string_view bytes) {
  auto exchange = exchange_;
  exchange->reportPending();
  std::string body;
  while (!exchange->done) {
    switch (exchange->reader.next(bytes, body)) {
      case ResponseReader::Step::kNeedMore:
        return;
      case ResponseReader::Step::kHead:
        if (!exchange->onHead()) return fail();
        break;
      case ResponseReader::Step::kBody:
        exchange->onBody(std::move(body));
        body = {};
        break;
      case ResponseReader::Step::kComplete:
        return finishResponse(!bytes.empty());
      case ResponseReader::Step::kInvalid:
        return fail();
    }
  }
}

void ClientConnection::finishResponse(bool hasExtraBytes) {
  auto exchange = std::move(exchange_);
  exchange_.reset();
  exchange->connection.reset();
  Duration timeout = exchange->reader.idleTimeout();
  bool reusable = !exchange->ownConnection && !hasExtraBytes && !writeFailed_ &&
                  socket_.unsentBytes() == 0 && timeout > Duration{};
  if (reusable) pool_.addIdle(shared_from_this(), timeout);
  else close();
  exchange->onBodyEnd();
  exchange->finish();
}

// ---- the pool ----

ConnectionPool::ConnectionPool(EventLoop& loop, const Dialect& dialect)
    : loop(loop), dialect(dialect), readBuffer(64U << 10) {
  event_assign(&reportEvent_, loop.base(), -1, 0, &ConnectionPool::onPendingReports, this);
  event_assign(&tickEvent_, loop.base(), -1, EV_PERSIST, &ConnectionPool::onTick, this);
}

ConnectionPool::~ConnectionPool() {
  event_del(&reportEvent_);
  event_del(&tickEvent_);
  for (auto& [key, connection] : std::exchange(connections, {})) connection->close();
}

void ConnectionPool::onPendingReports(evutil_socket_t, short, void* pool) {
  auto reports = std::exchange(static_cast<ConnectionPool*>(pool)->pendingReports_, {});
  for (auto& exchange : reports) exchange->reportPending();
}

void ConnectionPool::reportSoon(std::shared_ptr<Exchange> exchange) {
  pendingReports_.push_back(std::move(exchange));
  event_active(&reportEvent_, EV_TIMEOUT, 0);
}

void ConnectionPool::start(const std::shared_ptr<Exchange>& exchange) {
  while (!exchange->ownConnection) {
    auto connection = takeIdle(exchange->address);
    if (!connection) break;
    if (connection->write(exchange)) return;
  }
  int descriptor = HttpSocket::connectTo(exchange->address);
  if (descriptor < 0 && (errno == EMFILE || errno == ENFILE) && idleCount > 0) {
    closeOldestIdle();
    descriptor = HttpSocket::connectTo(exchange->address);
  }
  if (descriptor < 0) {
    exchange->failurePending = true;
    return reportSoon(exchange);
  }
  auto connection = std::make_shared<ClientConnection>(*this, exchange->address, descriptor);
  connections.emplace(connection.get(), connection);
  connection->awaitConnect(exchange);
}

void ConnectionPool::addIdle(const std::shared_ptr<ClientConnection>& connection,
                             Duration timeout) {
  auto& sameAddress = idleByAddress[connection->address().value];
  if (sameAddress.size() >= kMaxIdlePerAddress) return connection->close();
  if (idleCount >= kMaxIdleConnections) closeOldestIdle();
  connection->idleUntil = bootNow() + timeout;
  connection->pause(false);  // a close or unrequested bytes must be noticed
  idleByAddress[connection->address().value].push_back(connection.get());
  idleInOrder.push_back(*connection);
  ++idleCount;
  if (std::exchange(ticking_, true)) return;
  timeval interval = toTimeval(kTickInterval);
  event_add(&tickEvent_, &interval);
}

void ConnectionPool::removeIdle(ClientConnection& connection) {
  if (!connection.is_linked()) return;
  connection.unlink();
  --idleCount;
  auto found = idleByAddress.find(connection.address().value);
  if (found == idleByAddress.end()) return;
  std::erase(found->second, &connection);
  if (found->second.empty()) idleByAddress.erase(found);
}

std::shared_ptr<ClientConnection> ConnectionPool::takeIdle(const Address& address) {
  while (true) {
    auto found = idleByAddress.find(address.value);
    if (found == idleByAddress.end() || found->second.empty()) return nullptr;
    auto connection = found->second.back()->shared_from_this();  // the most recently used
    removeIdle(*connection);
    if (connection->idleUntil > bootNow() && connection->isOpenAndIdle()) return connection;
    connection->close();
  }
}

void ConnectionPool::closeOldestIdle() {
  if (!idleInOrder.empty()) static_cast<ClientConnection&>(idleInOrder.front()).close();
}

void ConnectionPool::onTick(evutil_socket_t, short, void* argument) {
  auto& pool = *static_cast<ConnectionPool*>(argument);
  MonotonicTime now = bootNow();
  for (auto next = pool.idleInOrder.begin(); next != pool.idleInOrder.end();) {
    auto& connection = static_cast<ClientConnection&>(*next++);
    if (connection.idleUntil <= now) connection.close();
  }
  if (pool.idleCount > 0) return;
  event_del(&pool.tickEvent_);
  pool.ticking_ = false;
}

}  // namespace peppergate
