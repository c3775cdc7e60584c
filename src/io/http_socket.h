#pragma once
// One non-blocking TCP socket on the loop: read when there is something, written to the kernel
// directly; only what the kernel does not take at once waits in a buffer.
#include <event2/event.h>
#include <event2/event_struct.h>

#include <cstddef>
#include <span>
#include <string_view>

#include "core/types.h"

struct evbuffer;

namespace peppergate {

/// Told by its socket; a socket may be closed from inside either.
class HttpSocketOwner {
 public:
  virtual void readable() = 0;
  virtual void writable() = 0;
  /// The other end closed; told only while `watchClose` is on.
  virtual void peerClosed() {}

 protected:
  ~HttpSocketOwner() = default;
};

/// Example: `HttpSocket socket(base, descriptor, owner); socket.watchRead(true);`
class HttpSocket {
 public:
  enum class ReadOutcome : std::uint8_t { kBytes, kNothing, kEnd, kFailed };
  struct ReadResult {
    ReadOutcome outcome = ReadOutcome::kNothing;
    std::size_t size = 0;
  };
  HttpSocket(event_base* base, int descriptor, HttpSocketOwner& owner);
  ~HttpSocket();
  HttpSocket(const HttpSocket&) = delete;
  HttpSocket& operator=(const HttpSocket&) = delete;

  /// Starts a connection; below 0: none could be started, `errno` says why. Dead machines end it
  /// within about three seconds. Example: `int descriptor = HttpSocket::connectTo(address);`
  static int connectTo(const Address& address);
  /// An accepted connection's options. Example: with each accept.
  static void setAccepted(int descriptor);

  void watchRead(bool wanted);
  void watchWrite(bool wanted);
  /// Tells of the other end's close while nothing is read, where the system can (EPOLLRDHUP).
  void watchClose(bool wanted);
  /// Reads once. Example: `auto result = socket.read(buffer);`
  ReadResult read(std::span<char> into);
  /// Writes in order, as much as the kernel takes now; the rest follows. False: the connection
  /// failed. Example: `if (!socket.send(text)) gone();`
  bool send(std::string_view text);
  /// Goes on with the rest; called when writable. False: the connection failed.
  bool flush();
  /// Forgets what was not handed over. Example: the other end stopped reading.
  void dropOutput();
  /// Bytes not handed to the kernel yet.
  std::size_t waiting() const;
  /// Bytes handed to the kernel so far. Example: 0 means that nothing can have arrived.
  std::uint64_t handed() const { return handed_; }
  /// What a read would find now; takes nothing.
  ReadOutcome peek() const;
  /// Open, and nothing to read. Example: before a kept connection is used again.
  bool quiet() const;
  /// The pending error, 0 if there is none. Example: once a connect has come to an end.
  int takeError() const;
  /// Ends the writing side only. Example: before the other side's last bytes are read away.
  void shutdownWrite();
  /// Closes; with `reset` the other end can't take what it got for whole.
  void close(bool reset = false);
  bool open() const { return descriptor_ >= 0; }

 private:
  static void onRead(evutil_socket_t, short, void* socket);
  static void onWrite(evutil_socket_t, short, void* socket);
  static void onClose(evutil_socket_t, short, void* socket);

  int descriptor_;
  HttpSocketOwner& owner_;
  event readEvent_, writeEvent_, closeEvent_;
  bool reading_ = false, writing_ = false, awaitingClose_ = false;
  std::uint64_t handed_ = 0;
  evbuffer* output_ = nullptr;  // made when first needed
};

}  // namespace peppergate
