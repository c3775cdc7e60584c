#include "io/http_socket.h"

#include <errno.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <array>

#include "io/member_transport.h"

namespace peppergate {
namespace {

void setOption(int descriptor, int level, int name, int value) {
  setsockopt(descriptor, level, name, &value, sizeof value);
}

// A machine that lost power sends no FIN; unacknowledged data or probes end the connection instead.
constexpr int kUserTimeoutMilliseconds = 3000;
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;

bool wouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

}  // namespace

HttpSocket::HttpSocket(event_base* base, int descriptor, HttpSocketOwner& owner)
    : descriptor_(descriptor), owner_(owner) {
  event_assign(&readEvent_, base, descriptor, EV_READ | EV_PERSIST, &HttpSocket::onRead, this);
  event_assign(&writeEvent_, base, descriptor, EV_WRITE | EV_PERSIST, &HttpSocket::onWrite, this);
  event_assign(&closeEvent_, base, descriptor, EV_CLOSED | EV_PERSIST, &HttpSocket::onClose, this);
}

HttpSocket::~HttpSocket() {
  close();
  if (output_ != nullptr) evbuffer_free(output_);
}

int HttpSocket::connectTo(const Address& address) {
  sockaddr_in socketAddress{};
  if (!parseAddress(address.value, socketAddress)) {
    errno = EINVAL;
    return -1;
  }
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMilliseconds);
  setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&socketAddress), sizeof socketAddress) == 0 ||
      errno == EINPROGRESS)
    return descriptor;
  int error = errno;
  ::close(descriptor);
  errno = error;
  return -1;
}

void HttpSocket::configureAccepted(int descriptor) {
  setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
}

void HttpSocket::onRead(evutil_socket_t, short, void* socket) {
  static_cast<HttpSocket*>(socket)->owner_.onReadable();
}
void HttpSocket::onWrite(evutil_socket_t, short, void* socket) {
  static_cast<HttpSocket*>(socket)->owner_.onWritable();
}
void HttpSocket::onClose(evutil_socket_t, short, void* socket) {
  static_cast<HttpSocket*>(socket)->owner_.onPeerClosed();
}

void HttpSocket::watchRead(bool enabled) {
  if (!isOpen() || enabled == watchesRead_) return;
  watchesRead_ = enabled;
  if (enabled) event_add(&readEvent_, nullptr);
  else event_del(&readEvent_);
}

void HttpSocket::watchWrite(bool enabled) {
  if (!isOpen() || enabled == watchesWrite_) return;
  watchesWrite_ = enabled;
  if (enabled) event_add(&writeEvent_, nullptr);
  else event_del(&writeEvent_);
}

void HttpSocket::watchClose(bool enabled) {
  if (!isOpen() || enabled == watchesClose_) return;
  int features = event_base_get_features(event_get_base(&closeEvent_));
  if ((features & EV_FEATURE_EARLY_CLOSE) == 0) return;
  watchesClose_ = enabled;
  if (enabled) event_add(&closeEvent_, nullptr);
  else event_del(&closeEvent_);
}

HttpSocket::ReadResult HttpSocket::read(std::span<char> into) {
  if (!isOpen()) return {ReadStatus::kFailed, 0};
  ssize_t size = recv(descriptor_, into.data(), into.size(), 0);
  if (size > 0) return {ReadStatus::kBytes, static_cast<std::size_t>(size)};
  if (size == 0) return {ReadStatus::kEnd, 0};
  return {wouldBlock(errno) ? ReadStatus::kWouldBlock : ReadStatus::kFailed, 0};
}

bool HttpSocket::send(std::string_view text) {
  if (!isOpen()) return false;
  if (unsentBytes() == 0) {
    ssize_t size = ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
    if (size < 0 && !wouldBlock(errno)) return false;
    if (size > 0) {
      bytesSent_ += static_cast<std::uint64_t>(size);
      text.remove_prefix(static_cast<std::size_t>(size));
    }
  }
  if (text.empty()) return true;
  if (output_ == nullptr) output_ = evbuffer_new();
  evbuffer_add(output_, text.data(), text.size());
  watchWrite(true);
  return true;
}

bool HttpSocket::flush() {
  // evbuffer_write would raise SIGPIPE if the connection is closed.
  while (unsentBytes() > 0) {
    std::array<evbuffer_iovec, 16> parts;
    int count = evbuffer_peek(output_, -1, nullptr, parts.data(), parts.size());
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = std::min<std::size_t>(static_cast<std::size_t>(count), parts.size());
    ssize_t size = sendmsg(descriptor_, &message, MSG_NOSIGNAL);
    if (size < 0 && wouldBlock(errno)) return true;
    if (size <= 0) return false;
    bytesSent_ += static_cast<std::uint64_t>(size);
    evbuffer_drain(output_, static_cast<std::size_t>(size));
  }
  watchWrite(false);
  return true;
}

void HttpSocket::discardOutput() {
  if (output_ != nullptr) evbuffer_drain(output_, evbuffer_get_length(output_));
  watchWrite(false);
}

std::size_t HttpSocket::unsentBytes() const {
  return output_ == nullptr ? 0 : evbuffer_get_length(output_);
}

HttpSocket::ReadStatus HttpSocket::peek() const {
  if (!isOpen()) return ReadStatus::kFailed;
  char byte = 0;
  ssize_t size = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) return ReadStatus::kBytes;
  if (size == 0) return ReadStatus::kEnd;
  return wouldBlock(errno) ? ReadStatus::kWouldBlock : ReadStatus::kFailed;
}

bool HttpSocket::isOpenAndIdle() const { return peek() == ReadStatus::kWouldBlock; }

int HttpSocket::pendingError() const {
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

void HttpSocket::shutdownWrite() {
  if (isOpen()) shutdown(descriptor_, SHUT_WR);
}

void HttpSocket::close(bool reset) {
  if (!isOpen()) return;
  watchRead(false);
  watchWrite(false);
  watchClose(false);
  if (reset) {
    linger zeroLinger{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &zeroLinger, sizeof zeroLinger);
  }
  ::close(descriptor_);
  descriptor_ = -1;
}

}  // namespace peppergate
