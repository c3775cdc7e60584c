#include "tests/socket_script.h"

#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <utility>

namespace peppergate {
namespace {

SocketScript* script = nullptr;
std::size_t failingConnects = 0;
int connectError = 0;

std::uint16_t peerPort(int descriptor) {
  sockaddr_in place{};
  socklen_t size = sizeof place;
  if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&place), &size) != 0) return 0;
  return ntohs(place.sin_port);
}

/// Identifies a socket, even if its descriptor number was used by an earlier socket.
std::uint64_t cookieOf(int descriptor) {
  std::uint64_t cookie = 0;
  socklen_t size = sizeof cookie;
  return getsockopt(descriptor, SOL_SOCKET, SO_COOKIE, &cookie, &size) == 0 ? cookie : 0;
}

}  // namespace

SocketScript::SocketScript(Limit limit) : limit_(std::move(limit)) { script = this; }
SocketScript::~SocketScript() { script = nullptr; }

void failConnects(std::size_t count, int error) {
  failingConnects = count;
  connectError = error;
}

void SocketScript::connectBegun(std::uint16_t port) {
  if (port != limit_.port) return;
  if (auto connected = std::exchange(limit_.connected, nullptr)) connected();
}

long SocketScript::allowed(int descriptor, std::size_t size) {
  std::uint64_t cookie = cookieOf(descriptor);
  if (!cookie_) {
    if (peerPort(descriptor) != limit_.port) return static_cast<long>(size);
    cookie_ = cookie;
    if (auto before = std::exchange(limit_.before, nullptr)) before();
  }
  if (cookie != *cookie_) return static_cast<long>(size);
  std::size_t left = limit_.bytes - taken_;
  if (left == 0) {
    errno = limit_.error;
    return -1;
  }
  std::size_t now = std::min(left, size);
  taken_ += now;
  return static_cast<long>(now);
}

}  // namespace peppergate

namespace {

/// The definition of a function that follows the one in this program: the C library's.
template <class Function>
Function* next(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

}  // namespace

using peppergate::script;

// These take precedence over the C library's for the whole process, including calls from libraries.
extern "C" {

ssize_t send(int descriptor, const void* data, size_t size, int flags) {
  static auto* const kNext = next<ssize_t(int, const void*, size_t, int)>("send");
  if (script == nullptr) return kNext(descriptor, data, size, flags);
  long allowed = script->allowed(descriptor, size);
  if (allowed < 0) return -1;
  return kNext(descriptor, data, static_cast<size_t>(allowed), flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static auto* const kNext = next<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (script == nullptr || message->msg_iovlen == 0) return kNext(descriptor, message, flags);
  // With an active script only the first buffer is written; the caller retries with the rest.
  const iovec& first = message->msg_iov[0];
  return send(descriptor, first.iov_base, first.iov_len, flags);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static auto* const kNext = next<int(int, const sockaddr*, socklen_t)>("connect");
  if (peppergate::failingConnects > 0) {
    --peppergate::failingConnects;
    errno = peppergate::connectError;
    return -1;
  }
  int result = kNext(descriptor, address, size);
  int error = errno;
  if (script != nullptr && address->sa_family == AF_INET)
    script->connectBegun(ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port));
  errno = error;
  return result;
}
}
