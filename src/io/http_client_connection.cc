#include "io/http_client_connection.h"

#include <errno.h>

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::size_t kMostKeptPerAddress = 64, kMostKept = 2000;
constexpr Duration kTick = milliseconds(500);
constexpr Duration kKeptUnused = seconds(4);  // established too late for its request

timeval toTimeval(Duration time) {
  return {static_cast<time_t>(time.microseconds / 1'000'000),
          static_cast<suseconds_t>(time.microseconds % 1'000'000)};
}

}  // namespace

// ---- an exchange ----

Exchange::~Exchange() { stopTimer(); }

void Exchange::startTimer(Duration time) {
  static constexpr auto kDue = [](evutil_socket_t, short, void* exchange) {
    auto keep = static_cast<Exchange*>(exchange)->shared_from_this();
    keep->fail();
  };
  stopTimer();
  event_assign(&timer_, pool.loop.base(), -1, 0, kDue, this);
  timeval value = toTimeval(std::max(time, Duration{}));
  event_add(&timer_, &value);
  timed = true;
}

void Exchange::stopTimer() {
  if (std::exchange(timed, false)) event_del(&timer_);
}

void Exchange::fail() {
  if (done) return;
  auto keep = shared_from_this();
  if (written) tellPending();
  if (done) return;
  done = true;
  stopTimer();
  if (auto used = std::exchange(connection, nullptr)) used->close();
  forget();
  failed();
}

void Exchange::finish() {
  if (done) return;
  auto keep = shared_from_this();
  done = true;
  stopTimer();
  connection.reset();
  forget();
  whole();
}

void Exchange::tellPending() {
  if (done) return;
  if (written && !std::exchange(told, true)) tellWritten();
  if (doomed) fail();
}

// ---- a connection ----

ClientConnection::ClientConnection(ConnectionPool& pool, Address address, int descriptor)
    : pool_(pool), address_(std::move(address)), socket_(pool.loop.base(), descriptor, *this) {}

void ClientConnection::connectFor(std::shared_ptr<Exchange> exchange) {
  exchange_ = std::move(exchange);
  exchange_->connection = shared_from_this();
  connecting_ = true;
  if (!exchange_->bounded) exchange_->startTimer(exchange_->connectTimeout);
  socket_.watchWrite(true);
}

bool ClientConnection::write(std::shared_ptr<Exchange> exchange) {
  // The last moment to hold the request back. The check may cancel it and close the socket.
  if (bootNow() >= exchange->writeBefore || !exchange->stillWanted()) {
    exchange->doomed = true;
    exchange->connection.reset();
    if (exchange->ownConnection || !socket_.open()) close();
    else pool_.keep(shared_from_this(), kKeptUnused);
    pool_.tellSoon(std::move(exchange));
    return true;
  }
  auto before = socket_.handed();
  static_cast<void>(socket_.send(exchange->text));  // a failure is detected below, or by reading
  if (socket_.handed() == before) {  // nothing was sent, and nothing may be sent unnoticed later
    exchange->connection.reset();
    close();
    return false;
  }
  exchange->written = true;
  exchange->text.clear();
  exchange->text.shrink_to_fit();
  exchange->connection = shared_from_this();
  exchange_ = exchange;
  socket_.watchRead(!exchange->paused);
  pool_.tellSoon(std::move(exchange));
  return true;
}

void ClientConnection::pause(bool paused) {
  if (!connecting_) socket_.watchRead(!paused);
}

void ClientConnection::close() {
  auto keep = shared_from_this();
  exchange_.reset();
  pool_.unkeep(*this);
  socket_.close();
  pool_.connections.erase(this);
}

// Closes the connection and fails the exchange on it.
void ClientConnection::fail() {
  auto keep = shared_from_this();
  auto exchange = exchange_;
  close();
  if (!exchange) return;
  exchange->connection.reset();
  exchange->fail();
}

void ClientConnection::writable() {
  auto keep = shared_from_this();
  if (!connecting_) {
    // A response may have arrived before the peer stopped reading, so reading decides.
    if (!socket_.flush()) {
      writeBroken_ = true;
      socket_.dropOutput();
    }
    return;
  }
  connecting_ = false;
  socket_.watchWrite(false);
  if (socket_.takeError() != 0) return fail();
  ++pool_.opened;
  auto exchange = std::move(exchange_);
  if (!exchange || exchange->done) return close();
  if (!exchange->bounded) exchange->stopTimer();
  // Bytes or a close that arrived before the request was written are no response to it. As nothing
  // of it was sent, another engine may still get it.
  bool quiet = socket_.quiet();
  if (!quiet) close();
  if (!quiet || !write(exchange)) exchange->fail();
}

void ClientConnection::readable() {
  auto keep = shared_from_this();
  auto result = socket_.read(pool_.buffer);
  if (result.outcome == HttpSocket::ReadOutcome::kNothing) return;
  // An idle connection that is closed by the peer or receives unrequested bytes isn't reused.
  if (result.outcome != HttpSocket::ReadOutcome::kBytes || !exchange_) return fail();
  take({pool_.buffer.data(), result.size});
}

void ClientConnection::take(std::string_view bytes) {
  auto exchange = exchange_;
  exchange->tellPending();
  std::string body;
  while (!exchange->done) {
    switch (exchange->reader.next(bytes, body)) {
      case AnswerReader::Step::kMore:
        return;
      case AnswerReader::Step::kHead:
        if (!exchange->headCame()) return fail();
        break;
      case AnswerReader::Step::kBody:
        exchange->bodyCame(std::move(body));
        body = {};
        break;
      case AnswerReader::Step::kWhole:
        return answerWhole(!bytes.empty());
      case AnswerReader::Step::kBad:
        return fail();
    }
  }
}

void ClientConnection::answerWhole(bool surplus) {
  auto exchange = std::move(exchange_);
  exchange_.reset();
  exchange->connection.reset();
  Duration time = exchange->reader.keepTime();
  bool clean = !exchange->ownConnection && !surplus && !writeBroken_ && socket_.waiting() == 0 &&
               time > Duration{};
  if (clean) pool_.keep(shared_from_this(), time);
  else close();
  exchange->lastCame();
  exchange->finish();
}

// ---- the pool ----

ConnectionPool::ConnectionPool(Loop& loop, const Dialect& dialect)
    : loop(loop), dialect(dialect), buffer(64U << 10) {
  event_assign(&stateUpdateEvent_, loop.base(), -1, 0, &ConnectionPool::onNews, this);
  event_assign(&tickEvent_, loop.base(), -1, EV_PERSIST, &ConnectionPool::onTick, this);
}

ConnectionPool::~ConnectionPool() {
  event_del(&stateUpdateEvent_);
  event_del(&tickEvent_);
  for (auto& [key, connection] : std::exchange(connections, {})) connection->close();
}

void ConnectionPool::onNews(evutil_socket_t, short, void* pool) {
  auto news = std::exchange(static_cast<ConnectionPool*>(pool)->news_, {});
  for (auto& exchange : news) exchange->tellPending();
}

void ConnectionPool::tellSoon(std::shared_ptr<Exchange> exchange) {
  news_.push_back(std::move(exchange));
  event_active(&stateUpdateEvent_, EV_TIMEOUT, 0);
}

void ConnectionPool::start(const std::shared_ptr<Exchange>& exchange) {
  while (!exchange->ownConnection) {
    auto connection = takeKept(exchange->address);
    if (!connection) break;
    if (connection->write(exchange)) return;
  }
  int descriptor = HttpSocket::connectTo(exchange->address);
  if (descriptor < 0 && (errno == EMFILE || errno == ENFILE) && keptCount > 0) {
    dropOldest();
    descriptor = HttpSocket::connectTo(exchange->address);
  }
  if (descriptor < 0) {
    exchange->doomed = true;
    return tellSoon(exchange);
  }
  auto connection = std::make_shared<ClientConnection>(*this, exchange->address, descriptor);
  connections.emplace(connection.get(), connection);
  connection->connectFor(exchange);
}

void ConnectionPool::keep(const std::shared_ptr<ClientConnection>& connection, Duration time) {
  auto& same = kept[connection->address().value];
  if (same.size() >= kMostKeptPerAddress) return connection->close();
  if (keptCount >= kMostKept) dropOldest();
  connection->keptUntil = bootNow() + time;
  connection->pause(false);  // a close or unrequested bytes must be noticed
  kept[connection->address().value].push_back(connection.get());
  keptInOrder.push_back(*connection);
  ++keptCount;
  if (std::exchange(ticking_, true)) return;
  timeval pace = toTimeval(kTick);
  event_add(&tickEvent_, &pace);
}

void ConnectionPool::unkeep(ClientConnection& connection) {
  if (!connection.is_linked()) return;
  connection.unlink();
  --keptCount;
  auto found = kept.find(connection.address().value);
  if (found == kept.end()) return;
  std::erase(found->second, &connection);
  if (found->second.empty()) kept.erase(found);
}

std::shared_ptr<ClientConnection> ConnectionPool::takeKept(const Address& address) {
  while (true) {
    auto found = kept.find(address.value);
    if (found == kept.end() || found->second.empty()) return nullptr;
    auto connection = found->second.back()->shared_from_this();  // the most recently used
    unkeep(*connection);
    if (connection->keptUntil > bootNow() && connection->quiet()) return connection;
    connection->close();
  }
}

void ConnectionPool::dropOldest() {
  if (!keptInOrder.empty()) static_cast<ClientConnection&>(keptInOrder.front()).close();
}

void ConnectionPool::onTick(evutil_socket_t, short, void* argument) {
  auto& pool = *static_cast<ConnectionPool*>(argument);
  MonotonicTime now = bootNow();
  for (auto next = pool.keptInOrder.begin(); next != pool.keptInOrder.end();) {
    auto& connection = static_cast<ClientConnection&>(*next++);
    if (connection.keptUntil <= now) connection.close();
  }
  if (pool.keptCount > 0) return;
  event_del(&pool.tickEvent_);
  pool.ticking_ = false;
}

}  // namespace peppergate
