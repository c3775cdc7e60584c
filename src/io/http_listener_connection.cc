#include "io/http_listener_connection.h"

#include <charconv>

namespace peppergate {
namespace {

constexpr std::size_t kBackpressureAboveBytes = 256U << 10, kBackpressureBelowBytes = 64U << 10;
constexpr std::size_t kMaxPipelinedBytes =
    64U << 10;  // bytes of later requests read while one is answered
constexpr std::size_t kMaxRetainedCapacity = 64U << 10;

std::string formatNumber(std::uint64_t number, int base = 10) {
  char digits[24];
  auto end = std::to_chars(digits, digits + sizeof digits, number, base).ptr;
  return {digits, end};
}

}  // namespace

ListenerConnection::ListenerConnection(ListenerContext& context, int descriptor)
    : context_(context), socket_(context.loop.base(), descriptor, *this) {}

void ListenerConnection::start() {
  socket_.watchRead(true);
  startWait(ConnectionWait::kIdle);
}

void ListenerConnection::startWait(ConnectionWait wait) {
  if (is_linked()) unlink();
  wait_ = wait;
  if (wait == ConnectionWait::kNone) return;
  waitingSince = bootNow();
  context_.waits[static_cast<std::size_t>(wait)].push_back(*this);
}

// Starts the wait that fits the connection's state, unless it waits for the same already.
void ListenerConnection::updateWait() {
  ConnectionWait wait = ConnectionWait::kNone;
  if (phase_ == Phase::kClosed) return;
  if (phase_ == Phase::kLinger) wait = ConnectionWait::kLinger;
  else if (socket_.unsentBytes() > 0) wait = ConnectionWait::kWrite;
  else if (phase_ == Phase::kHead)
    wait = unparsed_.empty() ? ConnectionWait::kIdle : ConnectionWait::kHead;
  else if (phase_ == Phase::kBody) wait = ConnectionWait::kBody;
  if (wait != wait_) startWait(wait);
}

void ListenerConnection::onReadable() {
  auto self = shared_from_this();
  auto result = socket_.read(context_.readBuffer);
  if (result.status == HttpSocket::ReadStatus::kWouldBlock) return;
  if (result.status == HttpSocket::ReadStatus::kFailed) return handleFailure();
  if (result.status == HttpSocket::ReadStatus::kEnd) return handlePeerClose();
  std::string_view bytes(context_.readBuffer.data(), result.size);
  if (phase_ == Phase::kLinger || phase_ == Phase::kClosing) return;  // discarded
  // Pipelined bytes are buffered while a response is in progress or unsent, to keep their order.
  if (phase_ == Phase::kResponding ||
      (phase_ == Phase::kHead && flushScheduled_ && !unparsed_.empty())) {
    unparsed_ += bytes;
    if (unparsed_.size() >= kMaxPipelinedBytes) pauseReading();
    return;
  }
  if (phase_ == Phase::kBody) startWait(ConnectionWait::kBody);  // the timeout is between two reads
  handleBytes(bytes);
  updateWait();
}

// Stops reading for now, but still detects that the client disconnects.
void ListenerConnection::pauseReading() {
  socket_.watchRead(false);
  socket_.watchClose(true);
}

void ListenerConnection::onPeerClosed() {
  auto self = shared_from_this();
  handlePeerClose();
}

// The client sent a FIN. This may be a close or only a half-close, and as nothing is written before
// the request has a response, the two can't be told apart. Both count as a disconnect, so that no
// engine works for a client that may have left.
void ListenerConnection::handlePeerClose() {
  readEnded_ = true;
  socket_.watchRead(false);
  socket_.watchClose(false);
  if (phase_ == Phase::kClosing) return updateWait();
  handleFailure();
}

bool ListenerConnection::isClientConnected() {
  if (phase_ != Phase::kResponding) return false;
  auto self = shared_from_this();
  switch (socket_.peek()) {
    case HttpSocket::ReadStatus::kBytes:
    case HttpSocket::ReadStatus::kWouldBlock:
      return true;
    case HttpSocket::ReadStatus::kEnd:
      handlePeerClose();
      return false;
    case HttpSocket::ReadStatus::kFailed:
      handleFailure();
      return false;
  }
  return true;
}

void ListenerConnection::handleFailure() {
  RequestId cancelled = request_;
  bool mustNotify = phase_ == Phase::kResponding;
  closeNow();
  if (mustNotify && context_.handlers.onCancelled) context_.handlers.onCancelled(cancelled);
}

void ListenerConnection::closeNow() {
  if (phase_ == Phase::kClosed) return;
  if (phase_ == Phase::kResponding) context_.activeRequests.erase(request_.value);
  phase_ = Phase::kClosed;
  startWait(ConnectionWait::kNone);
  socket_.close();
  context_.connections.erase(this);  // the caller holds a reference
}

void ListenerConnection::onWritable() {
  auto self = shared_from_this();
  auto sentBefore = socket_.bytesSent();
  if (!socket_.flush()) return handleFailure();
  if (socket_.bytesSent() != sentBefore && wait_ == ConnectionWait::kWrite)
    startWait(ConnectionWait::kWrite);
  checkOutput();
}

void ListenerConnection::flush() {
  flushScheduled_ = false;
  if (phase_ == Phase::kClosed) return;
  bool sent = output_.empty() || socket_.send(output_);
  output_.clear();
  if (output_.capacity() > kMaxRetainedCapacity) output_.shrink_to_fit();
  if (!sent) return handleFailure();
  if (phase_ == Phase::kHead && !unparsed_.empty()) {
    std::string pipelined = std::move(unparsed_);
    unparsed_.clear();
    scanner_ = {};
    handleBytes(pipelined);
  }
  if (phase_ == Phase::kHead || phase_ == Phase::kBody) {
    socket_.watchClose(false);
    socket_.watchRead(true);
  }
  checkOutput();
}

void ListenerConnection::checkOutput() {
  if (phase_ == Phase::kClosed) return;
  std::size_t unsent = socket_.unsentBytes() + output_.size();
  if (phase_ == Phase::kClosing && unsent == 0) {
    if (!linger_ || readEnded_) return closeNow();
    // Closing with unread bytes resets the connection, and the client might lose its response.
    phase_ = Phase::kLinger;
    socket_.shutdownWrite();
    socket_.watchRead(true);
  }
  bool backpressure =
      hasBackpressure_ ? unsent > kBackpressureBelowBytes : unsent > kBackpressureAboveBytes;
  updateWait();
  if (phase_ != Phase::kResponding || backpressure == hasBackpressure_) return;
  hasBackpressure_ = backpressure;
  if (context_.handlers.onBackpressure) context_.handlers.onBackpressure({request_, backpressure});
}

void ListenerConnection::onTimeout() {
  auto self = shared_from_this();
  switch (wait_) {
    case ConnectionWait::kIdle:
      // Unread bytes belong to a request that has arrived: it is still handled.
      if (!socket_.isOpenAndIdle()) return onReadable();
      return closeNow();
    case ConnectionWait::kHead:
    case ConnectionWait::kBody:
      return rejectUnread(408, "timed out waiting for the request");
    case ConnectionWait::kWrite:
      return handleFailure();
    case ConnectionWait::kLinger:
    case ConnectionWait::kNone:
      return closeNow();
  }
}

void ListenerConnection::sendHead(const WireHead& head) {
  if (phase_ != Phase::kResponding || headSent_) return;
  headSent_ = true;
  closeAfter_ = closeAfter_ || context_.draining || !head_.keepAlive;
  bool withoutBody = head_.method == "HEAD" || head.status == 204 || head.status == 304;
  if (withoutBody) framing_ = BodyFraming::kNone;
  else if (head.bodyLength) framing_ = BodyFraming::kLength;
  else framing_ = head_.http10 ? BodyFraming::kUntilClose : BodyFraming::kChunked;
  if (framing_ == BodyFraming::kUntilClose) closeAfter_ = true;
  remainingLength_ = head.bodyLength.value_or(0);
  output_ += "HTTP/1.1 ";
  output_ += formatNumber(static_cast<std::uint64_t>(head.status));
  output_ += ' ';
  output_ += head.reason;
  output_ += "\r\n";
  output_ += context_.dialect.responseHeaders(head);
  if (head.bodyLength && head.status != 204) {
    output_ += "Content-Length: ";
    output_ += formatNumber(*head.bodyLength);
    output_ += "\r\n";
  } else if (framing_ == BodyFraming::kChunked) {
    output_ += "Transfer-Encoding: chunked\r\n";
  }
  if (closeAfter_) output_ += "Connection: close\r\n";
  else if (head_.http10) output_ += "Connection: keep-alive\r\n";
  if (!closeAfter_) {  // one second less than it is kept, so that no request meets its close
    auto timeoutSeconds =
        static_cast<std::uint64_t>(std::max(inSeconds(context_.limits.idle) - 1, 1.0));
    output_ += "Keep-Alive: timeout=";
    output_ += formatNumber(timeoutSeconds);
    output_ += "\r\n";
  }
  output_ += "\r\n";
  context_.scheduleFlush(*this);
}

void ListenerConnection::sendBody(std::string_view bytes) {
  if (phase_ != Phase::kResponding || !headSent_ || bytes.empty()) return;
  switch (framing_) {
    case BodyFraming::kNone:
      return;
    case BodyFraming::kLength:
      if (bytes.size() > remainingLength_)
        bytes = bytes.substr(0, remainingLength_);  // never more than Content-Length
      remainingLength_ -= bytes.size();
      output_ += bytes;
      break;
    case BodyFraming::kChunked:
      output_ += formatNumber(bytes.size(), 16);
      output_ += "\r\n";
      output_ += bytes;
      output_ += "\r\n";
      break;
    case BodyFraming::kUntilClose:
      output_ += bytes;
      break;
  }
  context_.scheduleFlush(*this);
}

void ListenerConnection::finishResponse(bool complete) {
  if (phase_ != Phase::kResponding) return;
  if (framing_ == BodyFraming::kLength && remainingLength_ > 0) complete = false;
  if (complete && headSent_) {
    if (framing_ == BodyFraming::kChunked) output_ += "0\r\n\r\n";
    return endResponse();
  }
  // Without the last chunk, or with fewer bytes than Content-Length, the client can tell that the
  // response is truncated. A response that ends with the connection is reset instead.
  context_.activeRequests.erase(request_.value);
  if (headSent_ && framing_ == BodyFraming::kUntilClose) {
    socket_.close(true);
    phase_ = Phase::kClosing;
    return closeNow();
  }
  closeAfterOutput(false);
}

void ListenerConnection::refuse(const RejectRequest& refusal) {
  if (phase_ != Phase::kResponding) return;
  if (headSent_) return finishResponse(false);
  writeRefusal(refusal, clientId_, closeAfter_ || context_.draining || !head_.keepAlive);
  endResponse();
}

void ListenerConnection::writeRefusal(const RejectRequest& refusal, const std::string& clientId,
                                      bool close) {
  closeAfter_ = close;
  output_ += "HTTP/1.1 ";
  output_ += formatNumber(static_cast<std::uint64_t>(refusal.status));
  output_ += ' ';
  output_ += reasonPhrase(refusal.status);
  output_ += "\r\n";
  output_ += context_.dialect.refusalHeaders(refusal, clientId);
  if (!refusal.kind.empty()) output_ += "Content-Type: text/plain\r\n";
  output_ += "Content-Length: ";
  output_ += formatNumber(refusal.kind.empty() ? 0 : refusal.kind.size() + 1);
  output_ += close          ? "\r\nConnection: close\r\n\r\n"
             : head_.http10 ? "\r\nConnection: keep-alive\r\n\r\n"
                            : "\r\n\r\n";
  if (!refusal.kind.empty() && head_.method != "HEAD") {
    output_ += refusal.kind;
    output_ += '\n';
  }
  context_.scheduleFlush(*this);
}

void ListenerConnection::endResponse() {
  context_.activeRequests.erase(request_.value);
  hasBackpressure_ = false;
  if (closeAfter_) return closeAfterOutput(false);
  phase_ = Phase::kHead;
  headSent_ = false;
  scanner_ = {};
  head_ = {};
  context_.scheduleFlush(*this);
}

void ListenerConnection::closeAfterOutput(bool linger) {
  phase_ = Phase::kClosing;
  linger_ = linger || !unparsed_.empty();
  unparsed_.clear();
  startWait(ConnectionWait::kNone);
  context_.scheduleFlush(*this);
}

}  // namespace peppergate
