#pragma once
// HTTP/1.1 client for calls and attempts to engines, with a pool of idle connections.
#include <functional>
#include <map>
#include <memory>

#include "io/dialect.h"
#include "io/event_loop.h"

namespace peppergate {

/// A connection is reused only after a response whose end was given by its own framing, that
/// carried the id of the request, and that no further bytes followed.
class HttpClient {
 public:
  using AttemptHandler = std::function<void(AttemptEvent)>;
  using ResponseHandler = std::function<void(const HttpResponse&)>;
  /// Whether an attempt is still wanted; called right before its first byte is written.
  using StillWanted = std::function<bool()>;
  HttpClient(EventLoop& loop, const Dialect& dialect);
  ~HttpClient();
  /// Sends one attempt and reports its events as they arrive, never from inside this call. An
  /// attempt that isn't wanted any more is not written; `stillWanted` may cancel it from inside.
  void attempt(const OpenAttempt& command, AttemptHandler handler,
               StillWanted stillWanted = nullptr);
  /// Aborts an attempt and closes its connection; none of its events is reported any more.
  void cancel(AttemptId attempt);
  /// Pauses or resumes reading an attempt's response, while its client reads slowly.
  void pause(AttemptId attempt, bool paused);
  /// Sends a short call.
  void call(const HttpCall& call, ResponseHandler handler);
  /// Connections opened since the start, and idle ones in the pool now.
  std::uint64_t connectionsOpened() const;
  std::size_t idleConnectionCount() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace peppergate
