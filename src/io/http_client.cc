#include "io/http_client.h"

#include "io/http_client_connection.h"

namespace peppergate {
namespace {

constexpr std::size_t kMaxEventBytes = 4U << 20;      // of an incomplete event of a stream
constexpr std::size_t kMaxResponseBytes = 16U << 20;  // of a call's body

std::string toLowerAscii(std::string text) {
  for (char& one : text)
    if (one >= 'A' && one <= 'Z') one = static_cast<char>(one - 'A' + 'a');
  return text;
}

std::string formatRequest(const HttpCall& call) {
  std::string text;
  text.reserve(256 + call.body.size());
  text += call.method;
  text += ' ';
  text += call.path;
  text += " HTTP/1.1\r\nHost: ";
  text += call.address.value;
  text += "\r\n";
  for (const auto& [name, value] : call.headers) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  if (!call.body.empty() || (call.method != "GET" && call.method != "HEAD")) {
    text += "Content-Length: ";
    text += std::to_string(call.body.size());
    text += "\r\n";
  }
  text += "\r\n";
  text += call.body;
  return text;
}

}  // namespace

struct HttpClient::State {
  State(EventLoop& loop, const Dialect& dialect) : pool(loop, dialect) {}
  ~State() {
    for (auto& [id, exchange] : std::exchange(attempts, {})) abort(*exchange);
    for (auto& [key, exchange] : std::exchange(calls, {})) abort(*exchange);
  }
  static void abort(Exchange& exchange) {
    exchange.done = true;
    exchange.stopTimer();
    if (auto used = std::exchange(exchange.connection, nullptr)) used->close();
  }
  ConnectionPool pool;
  std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> attempts;
  std::unordered_map<Exchange*, std::shared_ptr<Exchange>> calls;
};

namespace {

/// An attempt of a client's request; its events are reported as they arrive.
class AttemptExchange final : public Exchange {
 public:
  using Table = std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>>;
  AttemptExchange(ConnectionPool& pool, Table& table, OpenAttempt command,
                  HttpClient::AttemptHandler handler, HttpClient::StillWanted stillWanted)
      : Exchange(pool, command.wire && command.wire->method == "HEAD"),
        table_(table),
        command_(std::move(command)),
        handler_(std::move(handler)),
        stillWanted_(std::move(stillWanted)) {}

  bool stillWanted() override { return !stillWanted_ || stillWanted_(); }
  void onWritten() override { notify(AttemptEventKind::kWritten); }
  void onFailed() override {
    notify(written ? AttemptEventKind::kBroken : AttemptEventKind::kNotWritten);
  }
  void onComplete() override { notify(AttemptEventKind::kComplete); }
  void unregister() override { table_.erase(command_.attempt.value); }

  bool onHead() override {
    HttpHead& received = reader.head();
    auto head = std::make_shared<WireHead>();
    head->status = received.status;
    head->reason = std::move(received.reason);
    head->headers = std::move(received.headers);
    if (received.contentLength && received.framing != BodyFraming::kChunked)
      head->bodyLength = static_cast<std::size_t>(*received.contentLength);
    AttemptEvent attemptEvent;
    if (!pool.dialect.readAttemptHead(*head, command_, attemptEvent)) return false;
    isEventStream_ = command_.stream && received.status < 300;
    attemptEvent.attempt = command_.attempt;
    attemptEvent.kind = AttemptEventKind::kHead;
    attemptEvent.closesConnection = attemptEvent.closesConnection || received.connectionClose;
    attemptEvent.head = std::move(head);
    handler_(std::move(attemptEvent));
    return true;
  }
  void onBody(std::string bytes) override {
    AttemptEvent attemptEvent;
    attemptEvent.attempt = command_.attempt;
    attemptEvent.kind = AttemptEventKind::kBody;
    if (isEventStream_) {
      EventSplitter::EventRange eventRange;
      bytes = splitter_.takeEvents(std::move(bytes), pool.dialect, eventRange);
      attemptEvent.firstEventId = eventRange.firstEventId;
      attemptEvent.lastEventId = eventRange.lastEventId;
      attemptEvent.newVersion = eventRange.newVersion;
      if (splitter_.bufferedBytes() > kMaxEventBytes) return fail();
    }
    if (bytes.empty()) return;
    attemptEvent.bytes = std::move(bytes);
    handler_(std::move(attemptEvent));
  }
  // Bytes behind the last event belong to a complete body as well.
  void onBodyEnd() override {
    std::string remainder = splitter_.takeRemainder();
    if (remainder.empty() || done) return;
    AttemptEvent attemptEvent;
    attemptEvent.attempt = command_.attempt;
    attemptEvent.kind = AttemptEventKind::kBody;
    attemptEvent.bytes = std::move(remainder);
    handler_(std::move(attemptEvent));
  }

 private:
  void notify(AttemptEventKind kind) {
    AttemptEvent attemptEvent;
    attemptEvent.attempt = command_.attempt;
    attemptEvent.kind = kind;
    handler_(std::move(attemptEvent));
  }
  Table& table_;
  OpenAttempt command_;
  HttpClient::AttemptHandler handler_;
  HttpClient::StillWanted stillWanted_;
  bool isEventStream_ = false;
  EventSplitter splitter_;
};

/// A short call, reported once with its complete response.
class CallExchange final : public Exchange {
 public:
  using Table = std::unordered_map<Exchange*, std::shared_ptr<Exchange>>;
  CallExchange(ConnectionPool& pool, Table& table, bool toHeadRequest,
               HttpClient::ResponseHandler handler)
      : Exchange(pool, toHeadRequest), table_(table), handler_(std::move(handler)) {}

  void onWritten() override {}
  void onFailed() override {
    HttpResponse none;
    none.written = written;
    handler_(none);
  }
  void onComplete() override {
    response_.written = true;
    handler_(response_);
  }
  void unregister() override { table_.erase(this); }
  bool onHead() override {
    WireHead head;
    head.status = reader.head().status;
    head.headers = std::move(reader.head().headers);
    if (!pool.dialect.isCallResponse(head)) return false;
    response_.status = head.status;
    for (auto& [name, value] : head.headers) {
      auto [entry, added] = response_.headers.emplace(toLowerAscii(std::move(name)), value);
      if (!added) entry->second += ", " + value;
    }
    return true;
  }
  void onBody(std::string bytes) override {
    if (response_.body.size() + bytes.size() > kMaxResponseBytes) return fail();
    if (response_.body.empty()) response_.body = std::move(bytes);
    else response_.body += bytes;
  }

 private:
  Table& table_;
  HttpResponse response_;
  HttpClient::ResponseHandler handler_;
};

}  // namespace

HttpClient::HttpClient(EventLoop& loop, const Dialect& dialect)
    : state_(std::make_unique<State>(loop, dialect)) {}

HttpClient::~HttpClient() = default;

void HttpClient::attempt(const OpenAttempt& command, AttemptHandler handler,
                         StillWanted stillWanted) {
  auto exchange = std::make_shared<AttemptExchange>(state_->pool, state_->attempts, command,
                                                    std::move(handler), std::move(stillWanted));
  exchange->address = command.address;
  exchange->requestText = state_->pool.dialect.formatAttempt(command);
  exchange->writeDeadline = command.writeBefore;
  exchange->connectTimeout = command.connectTimeout;
  state_->attempts[command.attempt.value] = exchange;
  state_->pool.start(exchange);
}

void HttpClient::cancel(AttemptId attempt) {
  auto found = state_->attempts.find(attempt.value);
  if (found == state_->attempts.end()) return;
  auto exchange = found->second;
  state_->attempts.erase(found);
  State::abort(*exchange);
}

void HttpClient::pause(AttemptId attempt, bool paused) {
  auto found = state_->attempts.find(attempt.value);
  if (found == state_->attempts.end()) return;
  auto& exchange = *found->second;
  exchange.paused = paused;
  if (exchange.connection) exchange.connection->pause(paused);
}

void HttpClient::call(const HttpCall& call, ResponseHandler handler) {
  auto exchange = std::make_shared<CallExchange>(state_->pool, state_->calls, call.method == "HEAD",
                                                 std::move(handler));
  exchange->address = call.address;
  exchange->requestText = formatRequest(call);
  exchange->writeDeadline = call.writeDeadline;
  exchange->ownConnection = call.ownConnection;
  exchange->hasOverallTimeout = true;
  exchange->startTimer(call.timeout);
  state_->calls[exchange.get()] = exchange;
  state_->pool.start(exchange);
}

std::uint64_t HttpClient::connectionsOpened() const { return state_->pool.connectionsOpened; }
std::size_t HttpClient::idleConnectionCount() const { return state_->pool.idleCount; }

}  // namespace peppergate
