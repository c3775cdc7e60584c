#include "io/member_transport.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::size_t kMaxQueuedBytes = 8U << 20;
constexpr Duration kReconnectDelay = milliseconds(100);  // before reconnecting to a member
constexpr std::size_t kMaxIncomingConnections = 512;
constexpr std::size_t kSenderFieldBytes = 32;  // each frame is preceded by its sender's address

}  // namespace

struct MemberTransport::OutgoingConnection {
  MemberTransport* transport = nullptr;
  Address address;
  bufferevent* connection = nullptr;
  MonotonicTime retryAt = kNever;
};

struct MemberTransport::IncomingConnection {
  MemberTransport* transport = nullptr;
  bufferevent* connection = nullptr;
};

bool parseAddress(const std::string& text, sockaddr_in& address) {
  auto colon = text.find(':');
  if (colon == std::string::npos) return false;
  memset(&address, 0, sizeof address);
  address.sin_family = AF_INET;
  int port = std::atoi(text.c_str() + colon + 1);
  if (port <= 0 || port > 65535) return false;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
}

MemberTransport::MemberTransport(EventLoop& loop, Address self, std::string_view fleet,
                                 MessageHandler handler)
    : loop_(loop),
      self_(std::move(self)),
      fleetMark_(fleetMark(fleet)),
      handler_(std::move(handler)) {}

MemberTransport::~MemberTransport() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  for (auto& [connection, incoming] : incoming_) bufferevent_free(connection);
  for (auto& [address, outgoing] : outgoing_)
    if (outgoing->connection != nullptr) bufferevent_free(outgoing->connection);
}

void MemberTransport::countFault(std::string_view kind) { ++faultCounts_[std::string(kind)]; }

absl::Status MemberTransport::listen() {
  sockaddr_in address{};
  if (!parseAddress(self_.value, address))
    return absl::InvalidArgumentError("'" + self_.value + "' is not a valid address");
  static constexpr auto kAccept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                                     void* argument) {
    auto* transport = static_cast<MemberTransport*>(argument);
    if (transport->incoming_.size() >= kMaxIncomingConnections) {
      evutil_closesocket(socket);
      transport->countFault("too many connections");
      return;
    }
    auto incoming = std::make_unique<IncomingConnection>();
    incoming->transport = transport;
    incoming->connection =
        bufferevent_socket_new(transport->loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_priority_set(incoming->connection, EventLoop::kMemberPriority);
    static constexpr auto kRead = [](bufferevent*, void* in) {
      auto* peer = static_cast<IncomingConnection*>(in);
      peer->transport->readFrames(*peer);
    };
    static constexpr auto kEvent = [](bufferevent*, short, void* in) {
      auto* peer = static_cast<IncomingConnection*>(in);
      peer->transport->close(*peer);
    };
    bufferevent_setcb(incoming->connection, kRead, nullptr, kEvent, incoming.get());
    // A connection that sends nothing for a minute is closed.
    timeval idleTimeout{60, 0};
    bufferevent_set_timeouts(incoming->connection, &idleTimeout, nullptr);
    bufferevent_enable(incoming->connection, EV_READ);
    transport->incoming_[incoming->connection] = std::move(incoming);
  };
  listener_ = evconnlistener_new_bind(loop_.base(), kAccept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                      reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (listener_ == nullptr)
    return absl::UnavailableError("cannot listen on " + self_.value + ": " + strerror(errno));
  return absl::OkStatus();
}

void MemberTransport::close(IncomingConnection& incoming) {
  bufferevent* connection = incoming.connection;
  bufferevent_free(connection);
  incoming_.erase(connection);
}

void MemberTransport::readFrames(IncomingConnection& incoming) {
  evbuffer* input = bufferevent_get_input(incoming.connection);
  constexpr std::size_t kHeadSize = kSenderFieldBytes + kFrameHeadBytes;
  while (evbuffer_get_length(input) >= kHeadSize) {
    std::string headBytes(kHeadSize, '\0');
    evbuffer_copyout(input, headBytes.data(), kHeadSize);
    FrameHead frameHead =
        readFrameHead(fleetMark_, std::span(headBytes).subspan(kSenderFieldBytes));
    if (frameHead.fault != FrameFault::kNone) {  // the rest of the stream can't be framed
      countFault(frameFaultName(frameHead.fault));
      close(incoming);
      return;
    }
    if (evbuffer_get_length(input) < kHeadSize + frameHead.length) return;
    evbuffer_drain(input, kHeadSize);
    std::string body(frameHead.length, '\0');
    evbuffer_remove(input, body.data(), body.size());
    bool intact = bodyMatchesHead(frameHead, body);
    auto message = intact ? decodeBody(frameHead.kind, body) : absl::DataLossError("bad checksum");
    if (!message.ok()) {
      countFault(frameFaultName(intact ? FrameFault::kBadBody : FrameFault::kBadChecksum));
      close(incoming);
      return;
    }
    std::string from(headBytes.c_str(), strnlen(headBytes.c_str(), kSenderFieldBytes));
    if (blockedAddresses_.contains(from)) continue;
    handler_({from}, std::move(*message));
  }
}

// Returns the connection to a member and starts one if there is none; null if the member can't be
// reached now.
bufferevent* MemberTransport::connectionTo(const Address& to) {
  auto& outgoing = outgoing_[to];
  if (!outgoing) {
    outgoing = std::make_unique<OutgoingConnection>();
    outgoing->transport = this;
    outgoing->address = to;
  }
  if (outgoing->connection == nullptr) {
    if (bootNow() < outgoing->retryAt) return nullptr;
    sockaddr_in address{};
    if (!parseAddress(to.value, address)) return nullptr;
    outgoing->connection = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_priority_set(outgoing->connection, EventLoop::kMemberPriority);
    static constexpr auto kEvent = [](bufferevent* connection, short what, void* out) {
      auto* peer = static_cast<OutgoingConnection*>(out);
      if ((what & BEV_EVENT_CONNECTED) != 0) {
        int enabled = 1;
        setsockopt(bufferevent_getfd(connection), IPPROTO_TCP, TCP_NODELAY, &enabled,
                   sizeof enabled);
        return;
      }
      bufferevent_free(connection);
      peer->connection = nullptr;
      peer->retryAt = bootNow() + kReconnectDelay;
    };
    bufferevent_setcb(outgoing->connection, nullptr, nullptr, kEvent, outgoing.get());
    timeval writeTimeout{3, 0};
    bufferevent_set_timeouts(outgoing->connection, nullptr, &writeTimeout);
    // Reading only detects that the connection has closed; the other side sends nothing on it.
    bufferevent_enable(outgoing->connection, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(outgoing->connection, reinterpret_cast<sockaddr*>(&address),
                                   sizeof address) != 0) {
      // Failed at once: no event will report it, so the connection is freed here.
      if (outgoing->connection != nullptr) bufferevent_free(outgoing->connection);
      outgoing->connection = nullptr;
      outgoing->retryAt = bootNow() + kReconnectDelay;
      return nullptr;
    }
  }
  return outgoing->connection;  // null if the event callback reported a failure at once
}

void MemberTransport::queue(const Address& to, const std::string& frame, std::size_t kind) {
  if (blockedAddresses_.contains(to.value)) return;
  bufferevent* connection = connectionTo(to);
  if (connection == nullptr) return;
  evbuffer* output = bufferevent_get_output(connection);
  if (evbuffer_get_length(output) > kMaxQueuedBytes) {
    countFault("member too slow");
    return;
  }
  std::string senderField = self_.value.substr(0, kSenderFieldBytes);
  senderField.resize(kSenderFieldBytes, '\0');
  evbuffer_add(output, senderField.data(), senderField.size());
  evbuffer_add(output, frame.data(), frame.size());
  ++sentByKind_[kind].messages;
  sentByKind_[kind].bytes += senderField.size() + frame.size();
}

void MemberTransport::send(const Address& to, const Message& message) {
  if (to == self_) loop_.runSoon([this, message] { handler_(self_, message); });
  else if (!blockedAddresses_.contains(to.value))
    queue(to, encodeFrame(fleetMark_, message), message.index());
}

void MemberTransport::broadcast(const std::vector<Address>& to, const Message& message) {
  std::string frame = encodeFrame(fleetMark_, message);
  for (const auto& address : to) {
    if (address == self_) loop_.runSoon([this, message] { handler_(self_, message); });
    else queue(address, frame, message.index());
  }
}

}  // namespace peppergate
