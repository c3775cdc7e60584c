#include "tests/socket_fault_injector.h"

#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <utility>

namespace peppergate {
namespace {

SocketFaultInjector* activeInjector = nullptr;
std::size_t connectsToFail = 0;
int connectError = 0;

std::uint16_t peerPort(int descriptor) {
  sockaddr_in socketAddress{};
  socklen_t size = sizeof socketAddress;
  if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&socketAddress), &size) != 0) return 0;
  return ntohs(socketAddress.sin_port);
}

/// Identifies a socket, even if its descriptor number was used by an earlier socket.
std::uint64_t cookieOf(int descriptor) {
  std::uint64_t cookie = 0;
  socklen_t size = sizeof cookie;
  return getsockopt(descriptor, SOL_SOCKET, SO_COOKIE, &cookie, &size) == 0 ? cookie : 0;
}

}  // namespace

SocketFaultInjector::SocketFaultInjector(Fault limit) : fault_(std::move(limit)) {
  activeInjector = this;
}
SocketFaultInjector::~SocketFaultInjector() { activeInjector = nullptr; }

void failNextConnects(std::size_t count, int error) {
  connectsToFail = count;
  connectError = error;
}

void SocketFaultInjector::onConnect(std::uint16_t port) {
  if (port != fault_.port) return;
  if (auto connected = std::exchange(fault_.afterConnect, nullptr)) connected();
}

long SocketFaultInjector::allowedBytes(int descriptor, std::size_t size) {
  std::uint64_t cookie = cookieOf(descriptor);
  if (!cookie_) {
    if (peerPort(descriptor) != fault_.port) return static_cast<long>(size);
    cookie_ = cookie;
    if (auto before = std::exchange(fault_.beforeFirstWrite, nullptr)) before();
  }
  if (cookie != *cookie_) return static_cast<long>(size);
  std::size_t left = fault_.acceptedBytes - writtenBytes_;
  if (left == 0) {
    errno = fault_.error;
    return -1;
  }
  std::size_t now = std::min(left, size);
  writtenBytes_ += now;
  return static_cast<long>(now);
}

}  // namespace peppergate

namespace {

/// The definition of a function that follows the one in this program: the C library's.
template <class Function>
Function* nextDefinition(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

}  // namespace

using peppergate::activeInjector;

// These take precedence over the C library's for the whole process, including calls from libraries.
extern "C" {

ssize_t send(int descriptor, const void* data, size_t size, int flags) {
  static auto* const kRealFunction = nextDefinition<ssize_t(int, const void*, size_t, int)>("send");
  if (activeInjector == nullptr) return kRealFunction(descriptor, data, size, flags);
  long allowed = activeInjector->allowedBytes(descriptor, size);
  if (allowed < 0) return -1;
  return kRealFunction(descriptor, data, static_cast<size_t>(allowed), flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static auto* const kRealFunction = nextDefinition<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (activeInjector == nullptr || message->msg_iovlen == 0)
    return kRealFunction(descriptor, message, flags);
  // With an active script only the first buffer is written; the caller retries with the rest.
  const iovec& first = message->msg_iov[0];
  return send(descriptor, first.iov_base, first.iov_len, flags);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static auto* const kRealFunction =
      nextDefinition<int(int, const sockaddr*, socklen_t)>("connect");
  if (peppergate::connectsToFail > 0) {
    --peppergate::connectsToFail;
    errno = peppergate::connectError;
    return -1;
  }
  int result = kRealFunction(descriptor, address, size);
  int error = errno;
  if (activeInjector != nullptr && address->sa_family == AF_INET)
    activeInjector->onConnect(ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port));
  errno = error;
  return result;
}
}
