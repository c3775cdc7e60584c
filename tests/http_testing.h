#pragma once
// Loopback sockets on an event loop and a test dialect, for tests of the HTTP listener and client.
#include <event2/event.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "io/dialect.h"
#include "io/event_loop.h"
#include "io/http_parse.h"
#include "io/member_transport.h"
#include "tests/testing.h"

namespace peppergate {

/// A dialect with the headers X-Test-Id and X-Not-Run, and events with lines "id: N" and
/// "version: N".
class TestDialect final : public Dialect {
 public:
  static std::string headerOf(const std::vector<std::pair<std::string, std::string>>& headers,
                              std::string_view name) {
    for (const auto& [one, value] : headers)
      if (equalsIgnoringCase(one, name)) return value;
    return {};
  }
  int readRequest(const std::shared_ptr<const WireRequest>& wire,
                  RequestArrived& event) const override {
    event.clientId = headerOf(wire->headers, "X-Test-Id");
    return event.clientId == "unreadable" ? 422 : 0;
  }
  std::string formatAttempt(const OpenAttempt& attempt) const override {
    const auto& wire = *attempt.wire;
    std::string text = wire.method + " " + wire.target +
                       " HTTP/1.1\r\nHost: engine\r\nX-Test-Id: " + attempt.clientId + "\r\n";
    if (!wire.body.empty()) text += "Content-Length: " + std::to_string(wire.body.size()) + "\r\n";
    return text + "\r\n" + wire.body;
  }
  bool readAttemptHead(const WireHead& head, const OpenAttempt& attempt,
                       AttemptEvent& attemptEvent) const override {
    attemptEvent.notRun = !headerOf(head.headers, "X-Not-Run").empty();
    return headerOf(head.headers, "X-Test-Id") == attempt.clientId;
  }
  StreamEventInfo readEvent(std::string_view event) const override {
    StreamEventInfo info;
    if (auto at = event.find("id: "); at != event.npos)
      info.eventId = std::strtoull(event.data() + at + 4, nullptr, 10);
    if (auto at = event.find("version: "); at != event.npos)
      info.newVersion = WeightsVersion{std::strtoull(event.data() + at + 9, nullptr, 10)};
    return info;
  }
  std::string responseHeaders(const WireHead& head) const override {
    std::string text;
    for (const auto& [name, value] : head.headers)
      if (!isConnectionHeader(name)) text += name + ": " + value + "\r\n";
    return text;
  }
  std::string refusalHeaders(const RejectRequest&, const std::string& clientId) const override {
    return clientId.empty() ? "" : "X-Test-Id: " + clientId + "\r\n";
  }
  HttpCall makeCall(const ListEngines&) const override { return {}; }
  HttpCall makeCall(const RequestEngineReport&) const override { return {}; }
  HttpCall makeCall(const OrderWeightsLoad&) const override { return {}; }
  HttpCall makeCall(const PollPrefixBlocks&) const override { return {}; }
  HttpCall makeCall(const ListPrefixBlocks&) const override { return {}; }
  bool isCallResponse(const WireHead& head) const override {
    return headerOf(head.headers, "X-Test-Id").empty();
  }
  EnginesListed readEngineList(TicketId, const HttpResponse&) const override { return {}; }
  EngineReportAnswered readEngineReport(TicketId, const HttpResponse&) const override { return {}; }
  WeightsLoadAnswered readOrderResponse(TicketId, const HttpResponse&) const override { return {}; }
  PrefixBlocksPolled readBlockPoll(TicketId, const HttpResponse&) const override { return {}; }
  PrefixBlocksListed readBlockList(TicketId, const HttpResponse&) const override { return {}; }
  std::optional<OperatorCall> readOperatorCall(TicketId, const std::string&, const std::string&,
                                               const Headers&, const std::string&) const override {
    return std::nullopt;
  }
  AnswerHttp operatorResponse(int, const AnswerHttp& answer) const override { return answer; }
  std::string_view readinessPath() const override { return "/ready"; }
};

/// An event loop that runs until a condition holds, with a time limit.
class TestLoop {
 public:
  EventLoop& loop() { return loop_; }
  event_base* base() { return loop_.base(); }
  /// Runs until the condition holds; false if it does not within 10 seconds.
  template <class Condition>
  bool runUntil(Condition condition) {
    MonotonicTime deadline = bootNow() + seconds(10);
    while (!condition()) {
      if (bootNow() > deadline) return false;
      timeval maxWait{0, 200'000};
      event_base_loopexit(base(), &maxWait);
      event_base_loop(base(), EVLOOP_ONCE);
    }
    return true;
  }
  /// Handles all events that are pending now, without waiting for more.
  void runPending() {
    for (int round = 0; round < 5; ++round) event_base_loop(base(), EVLOOP_NONBLOCK);
  }
  /// Like `turn`, with a bound for cases in which an event stays pending forever, such as a
  /// writable socket whose writes all fail with EAGAIN.
  void runPendingBounded() {
    for (int round = 0; round < 40; ++round) event_base_loop(base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  }

 private:
  EventLoop loop_;
};

inline Address addressOf(int descriptor) {
  sockaddr_in socketAddress{};
  socklen_t size = sizeof socketAddress;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&socketAddress), &size);
  return {"127.0.0.1:" + std::to_string(ntohs(socketAddress.sin_port))};
}

inline int bindLoopback() {
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in socketAddress{};
  socketAddress.sin_family = AF_INET;
  socketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(descriptor, reinterpret_cast<sockaddr*>(&socketAddress), sizeof socketAddress);
  return descriptor;
}

/// A loopback address at which no socket listens.
inline Address freeAddress() {
  int descriptor = bindLoopback();
  Address address = addressOf(descriptor);
  close(descriptor);
  return address;
}

/// The test's end of a connection; collects all received bytes.
class TestPeer {
 public:
  TestPeer(TestLoop& loop, int descriptor) : descriptor_(descriptor) {
    readEvent_ = event_new(loop.base(), descriptor, EV_READ | EV_PERSIST, &TestPeer::onRead, this);
    event_add(readEvent_, nullptr);
  }
  /// Connects to an address.
  TestPeer(TestLoop& loop, const Address& address) : TestPeer(loop, connectTo(address)) {}
  ~TestPeer() {
    event_free(readEvent_);
    if (descriptor_ >= 0) close(descriptor_);
  }
  TestPeer(const TestPeer&) = delete;
  void send(std::string_view text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      auto size = ::send(descriptor_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) return;
      sent += static_cast<std::size_t>(size);
    }
  }
  void shutdownWrite() { shutdown(descriptor_, SHUT_WR); }
  void stopReading() { event_del(readEvent_); }
  void resumeReading() { event_add(readEvent_, nullptr); }
  /// Closes the connection; `reset` sends an RST instead of a FIN.
  void disconnect(bool reset) {
    linger lingerOption{reset ? 1 : 0, 0};
    if (reset) setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &lingerOption, sizeof lingerOption);
    event_del(readEvent_);
    close(descriptor_);
    descriptor_ = -1;
  }
  bool hasReceived(std::string_view text) const { return received.find(text) != std::string::npos; }
  std::string received;
  bool ended = false, failed = false;

 private:
  static int connectTo(const Address& address) {
    sockaddr_in socketAddress{};
    parseAddress(address.value, socketAddress);
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connect(descriptor, reinterpret_cast<sockaddr*>(&socketAddress), sizeof socketAddress);
    return descriptor;
  }
  static void onRead(evutil_socket_t descriptor, short, void* argument) {
    auto& peer = *static_cast<TestPeer*>(argument);
    char bytes[65536];
    auto size = recv(descriptor, bytes, sizeof bytes, MSG_DONTWAIT);
    if (size > 0) {
      peer.received.append(bytes, static_cast<std::size_t>(size));
      return;
    }
    (size == 0 ? peer.ended : peer.failed) = true;
    event_del(peer.readEvent_);
  }
  int descriptor_;
  event* readEvent_;
};

/// A listening socket of a test; accepted connections are appended to `peers`.
class TestListener {
 public:
  explicit TestListener(TestLoop& loop) : loop_(loop), descriptor_(bindLoopback()) {
    listen(descriptor_, 64);
    acceptEvent_ =
        event_new(loop.base(), descriptor_, EV_READ | EV_PERSIST, &TestListener::onAccept, this);
    event_add(acceptEvent_, nullptr);
  }
  ~TestListener() {
    event_free(acceptEvent_);
    close(descriptor_);
  }
  TestListener(const TestListener&) = delete;
  Address address() const { return addressOf(descriptor_); }
  /// Whether the peer of this index has received the text.
  bool hasReceived(std::size_t peer, std::string_view text) const {
    return peer < peers.size() && peers[peer]->hasReceived(text);
  }
  /// Accepts a pending connection without running the loop; null if none arrives in time.
  TestPeer* acceptNow() {
    pollfd wanted{descriptor_, POLLIN, 0};
    constexpr int kAcceptTimeoutMs = 2000;
    if (poll(&wanted, 1, kAcceptTimeoutMs) != 1) return nullptr;
    std::size_t before = peers.size();
    onAccept(descriptor_, 0, this);
    return peers.size() > before ? peers.back().get() : nullptr;
  }
  std::vector<std::unique_ptr<TestPeer>> peers;

 private:
  static void onAccept(evutil_socket_t descriptor, short, void* argument) {
    auto& listener = *static_cast<TestListener*>(argument);
    int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted >= 0)
      listener.peers.push_back(std::make_unique<TestPeer>(listener.loop_, accepted));
  }
  TestLoop& loop_;
  int descriptor_;
  event* acceptEvent_;
};

}  // namespace peppergate
