#pragma once
// The clients' HTTP/1.1 listener: strict parsing, responses forwarded as they arrive.
#include <absl/status/status.h>

#include <functional>
#include <memory>

#include "io/dialect.h"
#include "io/loop.h"

namespace peppergate {

/// Accepts clients' connections, reports their requests and sends the responses.
class HttpListener {
 public:
  struct Hooks {
    std::function<void(RequestArrived)> onRequest;
    std::function<void(RequestId)> onGone;
    std::function<void(ClientSlow)> onSlow;
  };
  HttpListener(Loop& loop, const Dialect& dialect, Hooks hooks);
  ~HttpListener();
  absl::Status listen(const Address& address);
  /// Sets the limits of clients' requests; called for each new configuration.
  void limits(const RequestLimits& limits);
  void answer(const AnswerHead& command);
  void answer(const AnswerBody& command);
  void answer(const AnswerDone& command);
  void answer(const RefuseRequest& command);
  /// Whether the client of an unfinished request is still connected, by its socket's state. If it
  /// isn't, `onGone` is called from inside. Called before more work is started for the request.
  bool clientPresent(RequestId request);
  /// Starts to drain: each response closes its connection from now on, and idle ones are closed.
  void leave();
  /// Accepts no new connections; open ones continue.
  void close();
  /// The number of open connections; a draining process ends when there are none.
  std::size_t connections() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace peppergate
