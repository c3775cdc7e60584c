#pragma once
// The clients' listener: HTTP/1.1 read strictly, answers passed on as they come.
#include <absl/status/status.h>

#include <functional>
#include <memory>

#include "io/dialect.h"
#include "io/loop.h"

namespace peppergate {

/// Example: `HttpListener listener(loop, dialect, {onRequest, onGone, onSlow});
/// listener.listen(address);`
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
  /// What clients may send from now on. Example: with each new configuration.
  void limits(const RequestLimits& limits);
  void answer(const AnswerHead& command);
  void answer(const AnswerBody& command);
  void answer(const AnswerDone& command);
  void answer(const RefuseRequest& command);
  /// Whether the client of a request without its answer is still there, as far as its socket tells.
  /// If it has left, `onGone` is called from inside. For use before more work is begun for it.
  bool clientPresent(RequestId request);
  /// From now on each answer ends its connection, and idle ones end. Example: on SIGTERM.
  void leave();
  /// Takes no new connections any more; open ones go on. Example: once none are sent here.
  void close();
  /// Open connections. Example: the process goes when there are none.
  std::size_t connections() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace peppergate
