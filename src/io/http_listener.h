#pragma once
// The clients' HTTP/1.1 listener: strict parsing, responses forwarded as they arrive.
#include <absl/status/status.h>

#include <functional>
#include <memory>

#include "io/dialect.h"
#include "io/event_loop.h"

namespace peppergate {

/// Accepts clients' connections, reports their requests and sends the responses.
class HttpListener {
 public:
  struct Handlers {
    std::function<void(RequestArrived)> onRequest;
    std::function<void(RequestId)> onCancelled;
    std::function<void(RequestBackpressure)> onBackpressure;
  };
  HttpListener(EventLoop& loop, const Dialect& dialect, Handlers handlers);
  ~HttpListener();
  absl::Status listen(const Address& address);
  /// Sets the limits of clients' requests; called for each new configuration.
  void setLimits(const RequestLimits& limits);
  void respond(const ForwardResponseHead& command);
  void respond(const ForwardResponseBody& command);
  void respond(const FinishResponse& command);
  void respond(const RejectRequest& command);
  /// Whether the client of an unfinished request is still connected, by its socket's state. If it
  /// isn't, `onGone` is called from inside. Called before more work is started for the request.
  bool isClientConnected(RequestId request);
  /// Starts to drain: each response closes its connection from now on, and idle ones are closed.
  void drain();
  /// Accepts no new connections; open ones continue.
  void stopAccepting();
  /// The number of open connections; a draining process ends when there are none.
  std::size_t connectionCount() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace peppergate
