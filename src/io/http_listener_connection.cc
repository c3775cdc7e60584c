#include "io/http_listener_connection.h"

#include <charconv>

namespace peppergate {
namespace {

constexpr std::size_t kSlowAbove = 256U << 10, kFastBelow = 64U << 10;
constexpr std::size_t kMostAhead = 64U << 10;  // bytes of later requests read while one is answered
constexpr std::size_t kKeptCapacity = 64U << 10;

std::string numberText(std::uint64_t number, int base = 10) {
  char digits[24];
  auto end = std::to_chars(digits, digits + sizeof digits, number, base).ptr;
  return {digits, end};
}

}  // namespace

ListenerConnection::ListenerConnection(ListenerContext& context, int descriptor)
    : context_(context), socket_(context.loop.base(), descriptor, *this) {}

void ListenerConnection::start() {
  socket_.watchRead(true);
  waitFor(ConnectionWait::kIdle);
}

void ListenerConnection::waitFor(ConnectionWait wait) {
  if (is_linked()) unlink();
  waiting_ = wait;
  if (wait == ConnectionWait::kNothing) return;
  since = bootNow();
  context_.waits[static_cast<std::size_t>(wait)].push_back(*this);
}

// Starts the wait that fits the connection's state, unless it waits for the same already.
void ListenerConnection::chooseWait() {
  ConnectionWait wait = ConnectionWait::kNothing;
  if (phase_ == Phase::kClosed) return;
  if (phase_ == Phase::kLinger) wait = ConnectionWait::kLinger;
  else if (socket_.waiting() > 0) wait = ConnectionWait::kWrite;
  else if (phase_ == Phase::kHead)
    wait = rest_.empty() ? ConnectionWait::kIdle : ConnectionWait::kHead;
  else if (phase_ == Phase::kBody) wait = ConnectionWait::kBody;
  if (wait != waiting_) waitFor(wait);
}

void ListenerConnection::readable() {
  auto keep = shared_from_this();
  auto result = socket_.read(context_.buffer);
  if (result.outcome == HttpSocket::ReadOutcome::kNothing) return;
  if (result.outcome == HttpSocket::ReadOutcome::kFailed) return failed();
  if (result.outcome == HttpSocket::ReadOutcome::kEnd) return ended();
  std::string_view bytes(context_.buffer.data(), result.size);
  if (phase_ == Phase::kLinger || phase_ == Phase::kEnding) return;  // discarded
  // Pipelined bytes are buffered while a response is in progress or unsent, to keep their order.
  if (phase_ == Phase::kAnswering || (phase_ == Phase::kHead && dirty_ && !rest_.empty())) {
    rest_ += bytes;
    if (rest_.size() >= kMostAhead) pauseReading();
    return;
  }
  if (phase_ == Phase::kBody) waitFor(ConnectionWait::kBody);  // the timeout is between two reads
  take(bytes);
  chooseWait();
}

// Stops reading for now, but still detects that the client disconnects.
void ListenerConnection::pauseReading() {
  socket_.watchRead(false);
  socket_.watchClose(true);
}

void ListenerConnection::peerClosed() {
  auto keep = shared_from_this();
  ended();
}

// The client sent a FIN. This may be a close or only a half-close, and as nothing is written before
// the request has a response, the two can't be told apart. Both count as a disconnect, so that no
// engine works for a client that may have left.
void ListenerConnection::ended() {
  readEnded_ = true;
  socket_.watchRead(false);
  socket_.watchClose(false);
  if (phase_ == Phase::kEnding) return chooseWait();
  failed();
}

bool ListenerConnection::clientPresent() {
  if (phase_ != Phase::kAnswering) return false;
  auto keep = shared_from_this();
  switch (socket_.peek()) {
    case HttpSocket::ReadOutcome::kBytes:
    case HttpSocket::ReadOutcome::kNothing:
      return true;
    case HttpSocket::ReadOutcome::kEnd:
      ended();
      return false;
    case HttpSocket::ReadOutcome::kFailed:
      failed();
      return false;
  }
  return true;
}

void ListenerConnection::failed() {
  RequestId gone = request_;
  bool tell = phase_ == Phase::kAnswering;
  drop();
  if (tell && context_.hooks.onGone) context_.hooks.onGone(gone);
}

void ListenerConnection::drop() {
  if (phase_ == Phase::kClosed) return;
  if (phase_ == Phase::kAnswering) context_.answering.erase(request_.value);
  phase_ = Phase::kClosed;
  waitFor(ConnectionWait::kNothing);
  socket_.close();
  context_.connections.erase(this);  // the caller holds a reference
}

void ListenerConnection::writable() {
  auto keep = shared_from_this();
  auto before = socket_.handed();
  if (!socket_.flush()) return failed();
  if (socket_.handed() != before && waiting_ == ConnectionWait::kWrite)
    waitFor(ConnectionWait::kWrite);
  watchOutput();
}

void ListenerConnection::flush() {
  dirty_ = false;
  if (phase_ == Phase::kClosed) return;
  bool sent = pending_.empty() || socket_.send(pending_);
  pending_.clear();
  if (pending_.capacity() > kKeptCapacity) pending_.shrink_to_fit();
  if (!sent) return failed();
  if (phase_ == Phase::kHead && !rest_.empty()) {
    std::string ahead = std::move(rest_);
    rest_.clear();
    scanner_ = {};
    take(ahead);
  }
  if (phase_ == Phase::kHead || phase_ == Phase::kBody) {
    socket_.watchClose(false);
    socket_.watchRead(true);
  }
  watchOutput();
}

void ListenerConnection::watchOutput() {
  if (phase_ == Phase::kClosed) return;
  std::size_t waiting = socket_.waiting() + pending_.size();
  if (phase_ == Phase::kEnding && waiting == 0) {
    if (!linger_ || readEnded_) return drop();
    // Closing with unread bytes resets the connection, and the client might lose its response.
    phase_ = Phase::kLinger;
    socket_.shutdownWrite();
    socket_.watchRead(true);
  }
  bool slow = slow_ ? waiting > kFastBelow : waiting > kSlowAbove;
  chooseWait();
  if (phase_ != Phase::kAnswering || slow == slow_) return;
  slow_ = slow;
  if (context_.hooks.onSlow) context_.hooks.onSlow({request_, slow});
}

void ListenerConnection::overdue() {
  auto keep = shared_from_this();
  switch (waiting_) {
    case ConnectionWait::kIdle:
      // Unread bytes belong to a request that has arrived: it is still handled.
      if (!socket_.quiet()) return readable();
      return drop();
    case ConnectionWait::kHead:
    case ConnectionWait::kBody:
      return turnAway(408, "timed out waiting for the request");
    case ConnectionWait::kWrite:
      return failed();
    case ConnectionWait::kLinger:
    case ConnectionWait::kNothing:
      return drop();
  }
}

void ListenerConnection::answerHead(const WireHead& head) {
  if (phase_ != Phase::kAnswering || headSent_) return;
  headSent_ = true;
  closeAfter_ = closeAfter_ || context_.leaving || !head_.keepAlive;
  bool bare = head_.method == "HEAD" || head.status == 204 || head.status == 304;
  if (bare) framing_ = BodyFraming::kNone;
  else if (head.length) framing_ = BodyFraming::kLength;
  else framing_ = head_.http10 ? BodyFraming::kUntilClose : BodyFraming::kChunked;
  if (framing_ == BodyFraming::kUntilClose) closeAfter_ = true;
  left_ = head.length.value_or(0);
  pending_ += "HTTP/1.1 ";
  pending_ += numberText(static_cast<std::uint64_t>(head.status));
  pending_ += ' ';
  pending_ += head.reason;
  pending_ += "\r\n";
  pending_ += context_.dialect.answerHeaders(head);
  if (head.length && head.status != 204) {
    pending_ += "Content-Length: ";
    pending_ += numberText(*head.length);
    pending_ += "\r\n";
  } else if (framing_ == BodyFraming::kChunked) {
    pending_ += "Transfer-Encoding: chunked\r\n";
  }
  if (closeAfter_) pending_ += "Connection: close\r\n";
  else if (head_.http10) pending_ += "Connection: keep-alive\r\n";
  if (!closeAfter_) {  // one second less than it is kept, so that no request meets its close
    auto told = static_cast<std::uint64_t>(std::max(inSeconds(context_.limits.idle) - 1, 1.0));
    pending_ += "Keep-Alive: timeout=";
    pending_ += numberText(told);
    pending_ += "\r\n";
  }
  pending_ += "\r\n";
  context_.flushSoon(*this);
}

void ListenerConnection::answerBody(std::string_view bytes) {
  if (phase_ != Phase::kAnswering || !headSent_ || bytes.empty()) return;
  switch (framing_) {
    case BodyFraming::kNone:
      return;
    case BodyFraming::kLength:
      if (bytes.size() > left_) bytes = bytes.substr(0, left_);  // never more than Content-Length
      left_ -= bytes.size();
      pending_ += bytes;
      break;
    case BodyFraming::kChunked:
      pending_ += numberText(bytes.size(), 16);
      pending_ += "\r\n";
      pending_ += bytes;
      pending_ += "\r\n";
      break;
    case BodyFraming::kUntilClose:
      pending_ += bytes;
      break;
  }
  context_.flushSoon(*this);
}

void ListenerConnection::answerDone(bool whole) {
  if (phase_ != Phase::kAnswering) return;
  if (framing_ == BodyFraming::kLength && left_ > 0) whole = false;
  if (whole && headSent_) {
    if (framing_ == BodyFraming::kChunked) pending_ += "0\r\n\r\n";
    return endAnswer();
  }
  // Without the last chunk, or with fewer bytes than Content-Length, the client can tell that the
  // response is truncated. A response that ends with the connection is reset instead.
  context_.answering.erase(request_.value);
  if (headSent_ && framing_ == BodyFraming::kUntilClose) {
    socket_.close(true);
    phase_ = Phase::kEnding;
    return drop();
  }
  closeAfterOutput(false);
}

void ListenerConnection::refuse(const RefuseRequest& refusal) {
  if (phase_ != Phase::kAnswering) return;
  if (headSent_) return answerDone(false);
  writeRefusal(refusal, clientId_, closeAfter_ || context_.leaving || !head_.keepAlive);
  endAnswer();
}

void ListenerConnection::writeRefusal(const RefuseRequest& refusal, const std::string& clientId,
                                      bool close) {
  closeAfter_ = close;
  pending_ += "HTTP/1.1 ";
  pending_ += numberText(static_cast<std::uint64_t>(refusal.status));
  pending_ += ' ';
  pending_ += reasonOf(refusal.status);
  pending_ += "\r\n";
  pending_ += context_.dialect.refusalHeaders(refusal, clientId);
  if (!refusal.kind.empty()) pending_ += "Content-Type: text/plain\r\n";
  pending_ += "Content-Length: ";
  pending_ += numberText(refusal.kind.empty() ? 0 : refusal.kind.size() + 1);
  pending_ += close          ? "\r\nConnection: close\r\n\r\n"
              : head_.http10 ? "\r\nConnection: keep-alive\r\n\r\n"
                             : "\r\n\r\n";
  if (!refusal.kind.empty() && head_.method != "HEAD") {
    pending_ += refusal.kind;
    pending_ += '\n';
  }
  context_.flushSoon(*this);
}

void ListenerConnection::endAnswer() {
  context_.answering.erase(request_.value);
  slow_ = false;
  if (closeAfter_) return closeAfterOutput(false);
  phase_ = Phase::kHead;
  headSent_ = false;
  scanner_ = {};
  head_ = {};
  context_.flushSoon(*this);
}

void ListenerConnection::closeAfterOutput(bool linger) {
  phase_ = Phase::kEnding;
  linger_ = linger || !rest_.empty();
  rest_.clear();
  waitFor(ConnectionWait::kNothing);
  context_.flushSoon(*this);
}

}  // namespace peppergate
