// The request side of a client's connection: reads heads and bodies and rejects invalid ones.
#include "io/http_listener_connection.h"

namespace peppergate {
namespace {

struct HeadRejection {
  HeadFault fault;
  int status;
  std::string_view reason;
};
constexpr HeadRejection kHeadRejections[] = {
    {HeadFault::kMalformed, 400, "malformed request"},
    {HeadFault::kVersion, 505, "HTTP version not supported"},
    {HeadFault::kEncoding, 501, "transfer encoding not supported"},
    {HeadFault::kExpectation, 417, "expectation not supported"},
    {HeadFault::kMethod, 501, "method not supported"},
};

constexpr std::size_t kMaxReservedBytes = 64U
                                          << 10;  // of an announced body, which may never arrive

// Returns the host and the path, also for a target in absolute form.
std::pair<std::string_view, std::string_view> hostAndPath(std::string_view target,
                                                          std::string_view host) {
  constexpr std::string_view kScheme = "http://";
  if (target.starts_with(kScheme)) {
    target.remove_prefix(kScheme.size());
    auto slash = std::min(target.find('/'), target.size());
    host = target.substr(0, slash);
    target.remove_prefix(slash);
    if (target.empty()) target = "/";
  }
  return {host, target.substr(0, target.find('?'))};
}

}  // namespace

// Parses received bytes until a response has to be sent first.
void ListenerConnection::handleBytes(std::string_view bytes) {
  while (phase_ == Phase::kHead || phase_ == Phase::kBody)
    if (phase_ == Phase::kHead ? !readHead(bytes) : !readBody(bytes)) return;
  if (phase_ == Phase::kResponding) unparsed_ += bytes;
  else if (phase_ == Phase::kClosing && !bytes.empty()) linger_ = true;
}

// False if more bytes are needed or the connection is closing.
bool ListenerConnection::readHead(std::string_view& bytes) {
  if (unparsed_.empty()) {
    while (bytes.starts_with("\r\n")) bytes.remove_prefix(2);  // sent by some clients after a body
    if (bytes.empty()) return false;
  } else {
    unparsed_ += bytes;
    while (unparsed_.starts_with("\r\n")) unparsed_.erase(0, 2);
    if (unparsed_.empty()) return false;
  }
  std::string_view text = unparsed_.empty() ? bytes : std::string_view(unparsed_);
  HeadScanner::Result scanned = scanner_.scan(text);
  if (scanned == HeadScanner::Result::kInvalid) {
    // A lone carriage return may be the first half of an empty line.
    if (text == "\r") scanned = HeadScanner::Result::kPartial;
    else return rejectUnread(400, kHeadRejections[0].reason), false;
  }
  std::size_t size = scanned == HeadScanner::Result::kComplete ? scanner_.headSize() : text.size();
  if (size > context_.limits.headerBytes) return rejectUnread(431, "request head too large"), false;
  if (scanned == HeadScanner::Result::kPartial) {
    if (unparsed_.empty()) unparsed_ = bytes;
    return false;
  }
  bool accepted = handleHead(text.substr(0, size));
  std::size_t remaining = text.size() - size;
  bytes.remove_prefix(bytes.size() - remaining);  // the head ends in the bytes received last
  unparsed_.clear();
  if (phase_ == Phase::kBody && bytes.empty()) sendContinue();
  return accepted && (phase_ != Phase::kBody || !bytes.empty());
}

bool ListenerConnection::handleHead(std::string_view text) {
  scanner_ = {};
  head_ = {};
  closeAfter_ = headSent_ = false;
  clientId_.clear();
  HeadFault fault = readRequestHead(text, head_);
  for (const auto& rejection : kHeadRejections)
    if (rejection.fault == fault) return rejectUnread(rejection.status, rejection.reason), false;
  wire_ = std::make_shared<WireRequest>();
  wire_->method = head_.method;
  wire_->target = std::move(head_.target);
  wire_->headers = std::move(head_.headers);
  if (head_.framing == BodyFraming::kNone) {
    dispatchRequest();
    return phase_ != Phase::kClosed;
  }
  phase_ = Phase::kBody;
  chunks_ = {};
  if (head_.framing == BodyFraming::kLength) {
    if (*head_.contentLength > context_.limits.bodyBytes)
      return rejectUnread(413, "request body too large"), false;
    wire_->body.reserve(std::min<std::size_t>(*head_.contentLength, kMaxReservedBytes));
  }
  return true;
}

void ListenerConnection::sendContinue() {
  if (!head_.expectContinue || head_.http10) return;
  output_ += "HTTP/1.1 100 Continue\r\n\r\n";
  context_.scheduleFlush(*this);
}

bool ListenerConnection::readBody(std::string_view& bytes) {
  if (head_.framing == BodyFraming::kLength) {
    auto size = std::min<std::size_t>(*head_.contentLength - wire_->body.size(), bytes.size());
    wire_->body.append(bytes.substr(0, size));
    bytes.remove_prefix(size);
    if (wire_->body.size() < *head_.contentLength) return false;
  } else {
    auto found = chunks_.read(bytes, wire_->body);
    if (found == ChunkReader::Result::kInvalid) return rejectUnread(400, "malformed chunk"), false;
    if (wire_->body.size() > context_.limits.bodyBytes)
      return rejectUnread(413, "request body too large"), false;
    if (found == ChunkReader::Result::kNeedMore) return false;
  }
  dispatchRequest();
  return phase_ != Phase::kClosed;
}

void ListenerConnection::fillRequestEvent(RequestArrived& event) const {
  event.request = request_;
  event.wire = wire_;
  auto [host, path] = hostAndPath(wire_->target, head_.host);
  event.host = host;
  event.path = path;
}

void ListenerConnection::dispatchRequest() {
  phase_ = Phase::kResponding;
  startWait(ConnectionWait::kNone);
  request_ = {++context_.lastRequestId};
  context_.activeRequests[request_.value] = this;
  RequestArrived event;
  fillRequestEvent(event);
  int status = context_.dialect.readRequest(wire_, event);
  clientId_ = event.clientId;
  wire_.reset();
  if (status > 0) return refuse({request_, status, "invalid request", {}});
  event.request = request_;
  context_.handlers.onRequest(std::move(event));
}

// Rejects a request that was not read to its end, and closes: the bytes behind it can't be framed.
void ListenerConnection::rejectUnread(int status, std::string_view reason) {
  RequestArrived event;
  if (phase_ == Phase::kBody && wire_) {
    request_ = {};
    fillRequestEvent(event);
    context_.dialect.readRequest(wire_, event);  // only for the client's request id
  }
  wire_.reset();
  writeRefusal({{}, status, reason, {}}, event.clientId, true);
  closeAfterOutput(true);
}

}  // namespace peppergate
