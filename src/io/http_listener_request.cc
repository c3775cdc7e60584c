// The request side of a client's connection: reads heads and bodies and rejects invalid ones.
#include "io/http_listener_connection.h"

namespace peppergate {
namespace {

struct Refused {
  HeadFault fault;
  int status;
  std::string_view kind;
};
constexpr Refused kRefused[] = {
    {HeadFault::kMalformed, 400, "malformed request"},
    {HeadFault::kVersion, 505, "HTTP version not supported"},
    {HeadFault::kEncoding, 501, "transfer encoding not supported"},
    {HeadFault::kExpectation, 417, "expectation not supported"},
    {HeadFault::kMethod, 501, "method not supported"},
};

constexpr std::size_t kReserved = 64U << 10;  // of an announced body, which may never arrive

// Returns the host and the path, also for a target in absolute form.
std::pair<std::string_view, std::string_view> placeOf(std::string_view target,
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
void ListenerConnection::take(std::string_view bytes) {
  while (phase_ == Phase::kHead || phase_ == Phase::kBody)
    if (phase_ == Phase::kHead ? !takeHead(bytes) : !takeBody(bytes)) return;
  if (phase_ == Phase::kAnswering) rest_ += bytes;
  else if (phase_ == Phase::kEnding && !bytes.empty()) linger_ = true;
}

// False if more bytes are needed or the connection is closing.
bool ListenerConnection::takeHead(std::string_view& bytes) {
  if (rest_.empty()) {
    while (bytes.starts_with("\r\n")) bytes.remove_prefix(2);  // sent by some clients after a body
    if (bytes.empty()) return false;
  } else {
    rest_ += bytes;
    while (rest_.starts_with("\r\n")) rest_.erase(0, 2);
    if (rest_.empty()) return false;
  }
  std::string_view text = rest_.empty() ? bytes : std::string_view(rest_);
  HeadScanner::Found found = scanner_.scan(text);
  if (found == HeadScanner::Found::kBad) {
    // A lone carriage return may be the first half of an empty line.
    if (text == "\r") found = HeadScanner::Found::kPartial;
    else return turnAway(400, kRefused[0].kind), false;
  }
  std::size_t size = found == HeadScanner::Found::kWhole ? scanner_.size() : text.size();
  if (size > context_.limits.headerBytes) return turnAway(431, "request head too large"), false;
  if (found == HeadScanner::Found::kPartial) {
    if (rest_.empty()) rest_ = bytes;
    return false;
  }
  bool good = headDone(text.substr(0, size));
  std::size_t behind = text.size() - size;
  bytes.remove_prefix(bytes.size() - behind);  // the head ends in the bytes received last
  rest_.clear();
  if (phase_ == Phase::kBody && bytes.empty()) askForBody();
  return good && (phase_ != Phase::kBody || !bytes.empty());
}

bool ListenerConnection::headDone(std::string_view text) {
  scanner_ = {};
  head_ = {};
  closeAfter_ = headSent_ = false;
  clientId_.clear();
  HeadFault fault = readRequestHead(text, head_);
  for (const auto& refused : kRefused)
    if (refused.fault == fault) return turnAway(refused.status, refused.kind), false;
  wire_ = std::make_shared<WireRequest>();
  wire_->method = head_.method;
  wire_->target = std::move(head_.target);
  wire_->headers = std::move(head_.headers);
  if (head_.framing == BodyFraming::kNone) {
    arrived();
    return phase_ != Phase::kClosed;
  }
  phase_ = Phase::kBody;
  chunks_ = {};
  if (head_.framing == BodyFraming::kLength) {
    if (*head_.length > context_.limits.bodyBytes)
      return turnAway(413, "request body too large"), false;
    wire_->body.reserve(std::min<std::size_t>(*head_.length, kReserved));
  }
  return true;
}

void ListenerConnection::askForBody() {
  if (!head_.expectContinue || head_.http10) return;
  pending_ += "HTTP/1.1 100 Continue\r\n\r\n";
  context_.flushSoon(*this);
}

bool ListenerConnection::takeBody(std::string_view& bytes) {
  if (head_.framing == BodyFraming::kLength) {
    auto size = std::min<std::size_t>(*head_.length - wire_->body.size(), bytes.size());
    wire_->body.append(bytes.substr(0, size));
    bytes.remove_prefix(size);
    if (wire_->body.size() < *head_.length) return false;
  } else {
    auto found = chunks_.read(bytes, wire_->body);
    if (found == ChunkReader::Found::kBad) return turnAway(400, "malformed chunk"), false;
    if (wire_->body.size() > context_.limits.bodyBytes)
      return turnAway(413, "request body too large"), false;
    if (found == ChunkReader::Found::kMore) return false;
  }
  arrived();
  return phase_ != Phase::kClosed;
}

void ListenerConnection::fillEvent(RequestArrived& event) const {
  event.request = request_;
  event.wire = wire_;
  auto [host, path] = placeOf(wire_->target, head_.host);
  event.host = host;
  event.path = path;
}

void ListenerConnection::arrived() {
  phase_ = Phase::kAnswering;
  waitFor(ConnectionWait::kNothing);
  request_ = {++context_.lastRequest};
  context_.answering[request_.value] = this;
  RequestArrived event;
  fillEvent(event);
  int status = context_.dialect.readRequest(wire_, event);
  clientId_ = event.clientId;
  wire_.reset();
  if (status > 0) return refuse({request_, status, "invalid request", {}});
  event.request = request_;
  context_.hooks.onRequest(std::move(event));
}

// Rejects a request that was not read to its end, and closes: the bytes behind it can't be framed.
void ListenerConnection::turnAway(int status, std::string_view kind) {
  RequestArrived event;
  if (phase_ == Phase::kBody && wire_) {
    request_ = {};
    fillEvent(event);
    context_.dialect.readRequest(wire_, event);  // only for the client's request id
  }
  wire_.reset();
  writeRefusal({{}, status, kind, {}}, event.clientId, true);
  closeAfterOutput(true);
}

}  // namespace peppergate
