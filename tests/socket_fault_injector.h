#pragma once
// Fault injection for sockets: limits how many bytes of a connection's writes succeed and sets the
// error of the writes after them.
//
// The test program defines `send`, `sendmsg` and `connect`, which take precedence over the C
// library's. Without an active script they only forward to those.
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace peppergate {

/// Applies to the first connection that writes to a port, starting with that write. At most one
/// script may exist at a time.
class SocketFaultInjector {
 public:
  struct Fault {
    std::uint16_t port = 0;         // of the remote address
    std::size_t acceptedBytes = 0;  // that succeed in total
    int error = 0;                  // errno of each write after them, such as ECONNRESET
    std::function<void()> beforeFirstWrite = {};  // called once, just before the first write
    std::function<void()> afterConnect = {};      // called once, just after a connect was started
  };
  explicit SocketFaultInjector(Fault limit);
  ~SocketFaultInjector();
  SocketFaultInjector(const SocketFaultInjector&) = delete;
  SocketFaultInjector& operator=(const SocketFaultInjector&) = delete;

  /// The bytes of the connection's writes that succeeded so far.
  std::size_t writtenBytes() const { return writtenBytes_; }
  /// Called after each connect of the process, with the remote port.
  void onConnect(std::uint16_t port);
  /// How many of `size` bytes a write may pass on; negative if it fails, with `errno` set.
  long allowedBytes(int descriptor, std::size_t size);

 private:
  Fault fault_;
  std::optional<std::uint64_t> cookie_;  // identifies the connection that the script applies to
  std::size_t writtenBytes_ = 0;
};

/// Makes the next `count` connects of the process fail with this errno.
void failNextConnects(std::size_t count, int error);

}  // namespace peppergate
