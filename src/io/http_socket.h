#pragma once
// One non-blocking TCP socket on the loop. Writes go to the kernel directly; only what it doesn't
// accept at once is buffered.
#include <event2/event.h>
#include <event2/event_struct.h>

#include <cstddef>
#include <span>
#include <string_view>

#include "core/types.h"

struct evbuffer;

namespace peppergate {

/// Receives a socket's events; the socket may be closed from inside each handler.
class HttpSocketOwner {
 public:
  virtual void onReadable() = 0;
  virtual void onWritable() = 0;
  /// The peer closed the connection; reported only while `watchClose` is on.
  virtual void onPeerClosed() {}

 protected:
  ~HttpSocketOwner() = default;
};

/// Owns a connected or connecting descriptor and reports its events to its owner.
class HttpSocket {
 public:
  enum class ReadStatus : std::uint8_t { kBytes, kWouldBlock, kEnd, kFailed };
  struct ReadResult {
    ReadStatus status = ReadStatus::kWouldBlock;
    std::size_t size = 0;
  };
  HttpSocket(event_base* base, int descriptor, HttpSocketOwner& owner);
  ~HttpSocket();
  HttpSocket(const HttpSocket&) = delete;
  HttpSocket& operator=(const HttpSocket&) = delete;

  /// Starts to connect and returns the descriptor; negative on failure, with the reason in `errno`.
  /// The connection fails within about three seconds of the other machine's death.
  static int connectTo(const Address& address);
  /// Sets the options of an accepted connection.
  static void configureAccepted(int descriptor);

  void watchRead(bool enabled);
  void watchWrite(bool enabled);
  /// Reports the peer's close while reading is paused, if the system supports it (EPOLLRDHUP).
  void watchClose(bool enabled);
  /// Reads once, without blocking.
  ReadResult read(std::span<char> into);
  /// Sends in order, as much as the kernel accepts now, and buffers the rest. False if the
  /// connection has failed.
  bool send(std::string_view text);
  /// Sends buffered bytes; called when writable. False if the connection has failed.
  bool flush();
  /// Discards buffered bytes; used when the peer has stopped reading.
  void discardOutput();
  /// Buffered bytes that the kernel has not accepted yet.
  std::size_t unsentBytes() const;
  /// Bytes that the kernel has accepted so far; 0 means that the peer can't have received any.
  std::uint64_t bytesSent() const { return bytesSent_; }
  /// What a read would return now; consumes nothing.
  ReadStatus peek() const;
  /// Whether the connection is open with nothing to read; checked before it is reused.
  bool isOpenAndIdle() const;
  /// Returns and clears the pending error, 0 if none; tells how a connect has ended.
  int pendingError() const;
  /// Closes the sending direction only, so that the peer's last bytes can still be read.
  void shutdownWrite();
  /// Closes the connection. A reset keeps the peer from taking a truncated response for complete.
  void close(bool reset = false);
  bool isOpen() const { return descriptor_ >= 0; }

 private:
  static void onRead(evutil_socket_t, short, void* socket);
  static void onWrite(evutil_socket_t, short, void* socket);
  static void onClose(evutil_socket_t, short, void* socket);

  int descriptor_;
  HttpSocketOwner& owner_;
  event readEvent_, writeEvent_, closeEvent_;
  bool watchesRead_ = false, watchesWrite_ = false, watchesClose_ = false;
  std::uint64_t bytesSent_ = 0;
  evbuffer* output_ = nullptr;  // created when first needed
};

}  // namespace peppergate
