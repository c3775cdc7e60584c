#include "io/member_hub.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::size_t kMostWaiting = 8U << 20;
constexpr Duration kPauseAfterFailure = milliseconds(100);  // before reconnecting to a member
constexpr std::size_t kMostIncoming = 512;
constexpr std::size_t kAddressField = 32;  // each frame is preceded by its sender's address

}  // namespace

struct MemberHub::Outgoing {
  MemberHub* hub = nullptr;
  Address to;
  bufferevent* connection = nullptr;
  MonotonicTime notBefore = kNever;
};

struct MemberHub::Incoming {
  MemberHub* hub = nullptr;
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

MemberHub::MemberHub(Loop& loop, Address self, std::string_view fleet, Taker taker)
    : loop_(loop), self_(std::move(self)), mark_(fleetMark(fleet)), taker_(std::move(taker)) {}

MemberHub::~MemberHub() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  for (auto& [connection, incoming] : incoming_) bufferevent_free(connection);
  for (auto& [address, outgoing] : outgoing_)
    if (outgoing->connection != nullptr) bufferevent_free(outgoing->connection);
}

void MemberHub::fault(std::string_view what) { ++faults_[std::string(what)]; }

absl::Status MemberHub::listen() {
  sockaddr_in address{};
  if (!parseAddress(self_.value, address))
    return absl::InvalidArgumentError("'" + self_.value + "' is not a valid address");
  static constexpr auto kAccept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                                     void* argument) {
    auto* hub = static_cast<MemberHub*>(argument);
    if (hub->incoming_.size() >= kMostIncoming) {
      evutil_closesocket(socket);
      hub->fault("too many connections");
      return;
    }
    auto incoming = std::make_unique<Incoming>();
    incoming->hub = hub;
    incoming->connection = bufferevent_socket_new(hub->loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_priority_set(incoming->connection, Loop::kMembers);
    static constexpr auto kRead = [](bufferevent*, void* in) {
      auto* one = static_cast<Incoming*>(in);
      one->hub->takeFrames(*one);
    };
    static constexpr auto kEvent = [](bufferevent*, short, void* in) {
      auto* one = static_cast<Incoming*>(in);
      one->hub->close(*one);
    };
    bufferevent_setcb(incoming->connection, kRead, nullptr, kEvent, incoming.get());
    // A connection that sends nothing for a minute is closed.
    timeval idle{60, 0};
    bufferevent_set_timeouts(incoming->connection, &idle, nullptr);
    bufferevent_enable(incoming->connection, EV_READ);
    hub->incoming_[incoming->connection] = std::move(incoming);
  };
  listener_ = evconnlistener_new_bind(loop_.base(), kAccept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                      reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (listener_ == nullptr)
    return absl::UnavailableError("cannot listen on " + self_.value + ": " + strerror(errno));
  return absl::OkStatus();
}

void MemberHub::close(Incoming& incoming) {
  bufferevent* connection = incoming.connection;
  bufferevent_free(connection);
  incoming_.erase(connection);
}

void MemberHub::takeFrames(Incoming& incoming) {
  evbuffer* input = bufferevent_get_input(incoming.connection);
  constexpr std::size_t kHead = kAddressField + kFrameHeadSize;
  while (evbuffer_get_length(input) >= kHead) {
    std::string head(kHead, '\0');
    evbuffer_copyout(input, head.data(), kHead);
    FrameHead read = readFrameHead(mark_, std::span(head).subspan(kAddressField));
    if (read.fault != FrameFault::kNone) {  // the rest of the stream can't be framed
      fault(faultName(read.fault));
      close(incoming);
      return;
    }
    if (evbuffer_get_length(input) < kHead + read.length) return;
    evbuffer_drain(input, kHead);
    std::string body(read.length, '\0');
    evbuffer_remove(input, body.data(), body.size());
    bool whole = bodyIsWhole(read, body);
    auto message = whole ? decodeBody(read.kind, body) : absl::DataLossError("bad checksum");
    if (!message.ok()) {
      fault(faultName(whole ? FrameFault::kBadBody : FrameFault::kBadSum));
      close(incoming);
      return;
    }
    std::string from(head.c_str(), strnlen(head.c_str(), kAddressField));
    if (cut_.contains(from)) continue;
    taker_({from}, std::move(*message));
  }
}

// Returns the connection to a member and starts one if there is none; null if the member can't be
// reached now.
bufferevent* MemberHub::connectionTo(const Address& to) {
  auto& outgoing = outgoing_[to];
  if (!outgoing) {
    outgoing = std::make_unique<Outgoing>();
    outgoing->hub = this;
    outgoing->to = to;
  }
  if (outgoing->connection == nullptr) {
    if (bootNow() < outgoing->notBefore) return nullptr;
    sockaddr_in address{};
    if (!parseAddress(to.value, address)) return nullptr;
    outgoing->connection = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_priority_set(outgoing->connection, Loop::kMembers);
    static constexpr auto kEvent = [](bufferevent* connection, short what, void* out) {
      auto* one = static_cast<Outgoing*>(out);
      if ((what & BEV_EVENT_CONNECTED) != 0) {
        int on = 1;
        setsockopt(bufferevent_getfd(connection), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return;
      }
      bufferevent_free(connection);
      one->connection = nullptr;
      one->notBefore = bootNow() + kPauseAfterFailure;
    };
    bufferevent_setcb(outgoing->connection, nullptr, nullptr, kEvent, outgoing.get());
    timeval slow{3, 0};
    bufferevent_set_timeouts(outgoing->connection, nullptr, &slow);
    // Reading only detects that the connection has closed; the other side sends nothing on it.
    bufferevent_enable(outgoing->connection, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(outgoing->connection, reinterpret_cast<sockaddr*>(&address),
                                   sizeof address) != 0) {
      // Failed at once: no event will report it, so the connection is freed here.
      if (outgoing->connection != nullptr) bufferevent_free(outgoing->connection);
      outgoing->connection = nullptr;
      outgoing->notBefore = bootNow() + kPauseAfterFailure;
      return nullptr;
    }
  }
  return outgoing->connection;  // null if the event callback reported a failure at once
}

void MemberHub::queue(const Address& to, const std::string& frame, std::size_t kind) {
  if (cut_.contains(to.value)) return;
  bufferevent* connection = connectionTo(to);
  if (connection == nullptr) return;
  evbuffer* output = bufferevent_get_output(connection);
  if (evbuffer_get_length(output) > kMostWaiting) {
    fault("member too slow");
    return;
  }
  std::string lead = self_.value.substr(0, kAddressField);
  lead.resize(kAddressField, '\0');
  evbuffer_add(output, lead.data(), lead.size());
  evbuffer_add(output, frame.data(), frame.size());
  ++sent_[kind].messages;
  sent_[kind].bytes += lead.size() + frame.size();
}

void MemberHub::send(const Address& to, const Message& message) {
  if (to == self_) loop_.soon([this, message] { taker_(self_, message); });
  else if (!cut_.contains(to.value)) queue(to, encodeFrame(mark_, message), message.index());
}

void MemberHub::broadcast(const std::vector<Address>& to, const Message& message) {
  std::string frame = encodeFrame(mark_, message);
  for (const auto& address : to) {
    if (address == self_) loop_.soon([this, message] { taker_(self_, message); });
    else queue(address, frame, message.index());
  }
}

}  // namespace peppergate
