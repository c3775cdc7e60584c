// The reading half of a client's connection: heads, bodies, and what is refused unheard.
#include "io/http_listener_connection.h"

namespace peppergate {
namespace {

struct Refused {
  HeadFault fault;
  int status;
  std::string_view kind;
};
constexpr Refused kRefused[] = {
    {HeadFault::kMalformed, 400, "the request is not well-formed"},
    {HeadFault::kVersion, 505, "this version of HTTP is not spoken"},
    {HeadFault::kEncoding, 501, "this transfer encoding is not known"},
    {HeadFault::kExpectation, 417, "this expectation can't be met"},
    {HeadFault::kMethod, 501, "this method is not known"},
};

constexpr std::size_t kReserved = 64U << 10;  // of a body that is told and may never come

// Host and path, also where the target is a whole address.
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

// Takes bytes in order until an answer has to come first.
void ListenerConnection::take(std::string_view bytes) {
  while (phase_ == Phase::kHead || phase_ == Phase::kBody)
    if (phase_ == Phase::kHead ? !takeHead(bytes) : !takeBody(bytes)) return;
  if (phase_ == Phase::kAnswering) rest_ += bytes;
  else if (phase_ == Phase::kEnding && !bytes.empty()) linger_ = true;
}

// False: more has to come, or the connection is over.
bool ListenerConnection::takeHead(std::string_view& bytes) {
  if (rest_.empty()) {
    while (bytes.starts_with("\r\n")) bytes.remove_prefix(2);  // some send one behind a body
    if (bytes.empty()) return false;
  } else {
    rest_ += bytes;
    while (rest_.starts_with("\r\n")) rest_.erase(0, 2);
    if (rest_.empty()) return false;
  }
  std::string_view text = rest_.empty() ? bytes : std::string_view(rest_);
  HeadScanner::Found found = scanner_.scan(text);
  if (found == HeadScanner::Found::kBad) {
    // A lone return may be the first half of an empty line.
    if (text == "\r") found = HeadScanner::Found::kPartial;
    else return turnAway(400, kRefused[0].kind), false;
  }
  std::size_t size = found == HeadScanner::Found::kWhole ? scanner_.size() : text.size();
  if (size > context_.limits.headerBytes) return turnAway(431, "the head is too large"), false;
  if (found == HeadScanner::Found::kPartial) {
    if (rest_.empty()) rest_ = bytes;
    return false;
  }
  bool good = headDone(text.substr(0, size));
  std::size_t behind = text.size() - size;
  bytes.remove_prefix(bytes.size() - behind);  // a head ends in the bytes that came last
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
      return turnAway(413, "the body is too large"), false;
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
    if (found == ChunkReader::Found::kBad) return turnAway(400, "a chunk is broken"), false;
    if (wire_->body.size() > context_.limits.bodyBytes)
      return turnAway(413, "the body is too large"), false;
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
  if (status > 0) return refuse({request_, status, "the request can't be read", {}});
  event.request = request_;
  context_.hooks.onRequest(std::move(event));
}

// Refuses what was not read to its end; nothing behind it can be trusted.
void ListenerConnection::turnAway(int status, std::string_view kind) {
  RequestArrived event;
  if (phase_ == Phase::kBody && wire_) {
    request_ = {};
    fillEvent(event);
    context_.dialect.readRequest(wire_, event);  // for the client's id alone
  }
  wire_.reset();
  writeRefusal({{}, status, kind, {}}, event.clientId, true);
  closeAfterOutput(true);
}

}  // namespace peppergate
