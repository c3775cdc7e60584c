#pragma once
// Decides, for one connection, how many bytes of its writes the kernel takes and what comes then.
//
// The test program's own `send`, `sendmsg` and `connect` stand before the C library's; without a
// script they only pass on.
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace peppergate {

/// Applies to the first connection that writes to a port, from its next write on. One at a time.
class SocketScript {
 public:
  struct Limit {
    std::uint16_t port = 0;                // of the other side
    std::size_t bytes = 0;                 // taken in all
    int error = 0;                         // of each write after them. Example: ECONNRESET
    std::function<void()> before = {};     // called once, right before the first write
    std::function<void()> connected = {};  // called once, right after a connect was begun
  };
  explicit SocketScript(Limit limit);
  ~SocketScript();
  SocketScript(const SocketScript&) = delete;
  SocketScript& operator=(const SocketScript&) = delete;

  /// Bytes taken of the connection so far.
  std::size_t taken() const { return taken_; }
  /// Called after each connect of the process. Example: with the address connected to.
  void connectBegun(std::uint16_t port);
  /// How many of `size` bytes a write may hand over; below 0: it fails with `errno`.
  long allowed(int descriptor, std::size_t size);

 private:
  Limit limit_;
  std::optional<std::uint64_t> cookie_;  // of the connection that it applies to
  std::size_t taken_ = 0;
};

/// The next `count` connects of the process fail with this. Example: `failConnects(1,
/// ENETUNREACH)`.
void failConnects(std::size_t count, int error);

}  // namespace peppergate
