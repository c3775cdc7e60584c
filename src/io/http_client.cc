#include "io/http_client.h"

#include "io/http_client_connection.h"

namespace peppergate {
namespace {

constexpr std::size_t kLargestEvent = 4U << 20;    // of an incomplete event of a stream
constexpr std::size_t kLargestAnswer = 16U << 20;  // of a call's body

std::string lowered(std::string text) {
  for (char& one : text)
    if (one >= 'A' && one <= 'Z') one = static_cast<char>(one - 'A' + 'a');
  return text;
}

std::string callText(const HttpCall& call) {
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
  State(Loop& loop, const Dialect& dialect) : pool(loop, dialect) {}
  ~State() {
    for (auto& [id, exchange] : std::exchange(attempts, {})) end(*exchange);
    for (auto& [key, exchange] : std::exchange(calls, {})) end(*exchange);
  }
  static void end(Exchange& exchange) {
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
                  HttpClient::AttemptTaker taker, HttpClient::StillWanted stillWanted)
      : Exchange(pool, command.wire && command.wire->method == "HEAD"),
        table_(table),
        command_(std::move(command)),
        taker_(std::move(taker)),
        stillWanted_(std::move(stillWanted)) {}

  bool stillWanted() override { return !stillWanted_ || stillWanted_(); }
  void tellWritten() override { tell(AttemptTurn::kWritten); }
  void failed() override { tell(written ? AttemptTurn::kBroken : AttemptTurn::kNotWritten); }
  void whole() override { tell(AttemptTurn::kEnded); }
  void forget() override { table_.erase(command_.attempt.value); }

  bool headCame() override {
    HttpHead& read = reader.head();
    auto head = std::make_shared<WireHead>();
    head->status = read.status;
    head->reason = std::move(read.reason);
    head->headers = std::move(read.headers);
    if (read.length && read.framing != BodyFraming::kChunked)
      head->length = static_cast<std::size_t>(*read.length);
    AttemptTurned turned;
    if (!pool.dialect.readHead(*head, command_, turned)) return false;
    events_ = command_.stream && read.status < 300;
    turned.attempt = command_.attempt;
    turned.turn = AttemptTurn::kHead;
    turned.leaving = turned.leaving || read.closeTold;
    turned.head = std::move(head);
    taker_(std::move(turned));
    return true;
  }
  void bodyCame(std::string bytes) override {
    AttemptTurned turned;
    turned.attempt = command_.attempt;
    turned.turn = AttemptTurn::kBody;
    if (events_) {
      EventSplitter::Marks marks;
      bytes = splitter_.take(std::move(bytes), pool.dialect, marks);
      turned.firstEvent = marks.firstEvent;
      turned.lastEvent = marks.lastEvent;
      turned.newVersion = marks.newVersion;
      if (splitter_.waiting() > kLargestEvent) return fail();
    }
    if (bytes.empty()) return;
    turned.bytes = std::move(bytes);
    taker_(std::move(turned));
  }
  // Bytes behind the last event belong to a complete body as well.
  void lastCame() override {
    std::string rest = splitter_.takeRest();
    if (rest.empty() || done) return;
    AttemptTurned turned;
    turned.attempt = command_.attempt;
    turned.turn = AttemptTurn::kBody;
    turned.bytes = std::move(rest);
    taker_(std::move(turned));
  }

 private:
  void tell(AttemptTurn turn) {
    AttemptTurned turned;
    turned.attempt = command_.attempt;
    turned.turn = turn;
    taker_(std::move(turned));
  }
  Table& table_;
  OpenAttempt command_;
  HttpClient::AttemptTaker taker_;
  HttpClient::StillWanted stillWanted_;
  bool events_ = false;
  EventSplitter splitter_;
};

/// A short call, reported once with its complete response.
class CallExchange final : public Exchange {
 public:
  using Table = std::unordered_map<Exchange*, std::shared_ptr<Exchange>>;
  CallExchange(ConnectionPool& pool, Table& table, bool toHead, HttpClient::CallTaker taker)
      : Exchange(pool, toHead), table_(table), taker_(std::move(taker)) {}

  void tellWritten() override {}
  void failed() override {
    HttpAnswer none;
    none.written = written;
    taker_(none);
  }
  void whole() override {
    answer_.written = true;
    taker_(answer_);
  }
  void forget() override { table_.erase(this); }
  bool headCame() override {
    WireHead head;
    head.status = reader.head().status;
    head.headers = std::move(reader.head().headers);
    if (!pool.dialect.answersCall(head)) return false;
    answer_.status = head.status;
    for (auto& [name, value] : head.headers) {
      auto [entry, added] = answer_.headers.emplace(lowered(std::move(name)), value);
      if (!added) entry->second += ", " + value;
    }
    return true;
  }
  void bodyCame(std::string bytes) override {
    if (answer_.body.size() + bytes.size() > kLargestAnswer) return fail();
    if (answer_.body.empty()) answer_.body = std::move(bytes);
    else answer_.body += bytes;
  }

 private:
  Table& table_;
  HttpAnswer answer_;
  HttpClient::CallTaker taker_;
};

}  // namespace

HttpClient::HttpClient(Loop& loop, const Dialect& dialect)
    : state_(std::make_unique<State>(loop, dialect)) {}

HttpClient::~HttpClient() = default;

void HttpClient::attempt(const OpenAttempt& command, AttemptTaker taker, StillWanted stillWanted) {
  auto exchange = std::make_shared<AttemptExchange>(state_->pool, state_->attempts, command,
                                                    std::move(taker), std::move(stillWanted));
  exchange->address = command.address;
  exchange->text = state_->pool.dialect.attemptText(command);
  exchange->writeBefore = command.writeBefore;
  exchange->connectTimeout = command.connectTimeout;
  state_->attempts[command.attempt.value] = exchange;
  state_->pool.start(exchange);
}

void HttpClient::cancel(AttemptId attempt) {
  auto found = state_->attempts.find(attempt.value);
  if (found == state_->attempts.end()) return;
  auto exchange = found->second;
  state_->attempts.erase(found);
  State::end(*exchange);
}

void HttpClient::pause(AttemptId attempt, bool paused) {
  auto found = state_->attempts.find(attempt.value);
  if (found == state_->attempts.end()) return;
  auto& exchange = *found->second;
  exchange.paused = paused;
  if (exchange.connection) exchange.connection->pause(paused);
}

void HttpClient::call(const HttpCall& call, CallTaker taker) {
  auto exchange = std::make_shared<CallExchange>(state_->pool, state_->calls, call.method == "HEAD",
                                                 std::move(taker));
  exchange->address = call.address;
  exchange->text = callText(call);
  exchange->writeBefore = call.writeBefore;
  exchange->ownConnection = call.ownConnection;
  exchange->bounded = true;
  exchange->startTimer(call.timeout);
  state_->calls[exchange.get()] = exchange;
  state_->pool.start(exchange);
}

std::uint64_t HttpClient::opened() const { return state_->pool.opened; }
std::size_t HttpClient::kept() const { return state_->pool.keptCount; }

}  // namespace peppergate
