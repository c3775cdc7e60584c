#pragma once
// Calls and attempts to engines over kept connections, each used again only under hygiene.
#include <functional>
#include <map>
#include <memory>

#include "io/dialect.h"
#include "io/loop.h"

namespace peppergate {

/// A connection is kept only after an answer that ended by its own length, carried the id that was
/// asked, and had nothing behind it. Example: `client.attempt(open, [](AttemptTurned turned)
/// {...})`.
class HttpClient {
 public:
  using AttemptTaker = std::function<void(AttemptTurned)>;
  using CallTaker = std::function<void(const HttpAnswer&)>;
  /// Whether an attempt is still wanted; asked right before its first byte is written.
  using StillWanted = std::function<bool()>;
  HttpClient(Loop& loop, const Dialect& dialect);
  ~HttpClient();
  /// Sends one attempt; its turns are told as they come, never from inside this call. One that
  /// isn't wanted any more is not written; `stillWanted` may cancel it from inside.
  void attempt(const OpenAttempt& command, AttemptTaker taker, StillWanted stillWanted = nullptr);
  /// Ends an attempt and its connection; nothing of it is told any more.
  void cancel(AttemptId attempt);
  /// Stops or goes on reading an attempt's answer. Example: for a client that reads slowly.
  void pause(AttemptId attempt, bool paused);
  /// A short call. Example: `client.call(dialect.call(poll), take)`.
  void call(const HttpCall& call, CallTaker taker);
  /// Connections opened since the start; kept ones now. Example: for the status page.
  std::uint64_t opened() const;
  std::size_t kept() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace peppergate
