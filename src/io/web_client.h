#pragma once
// HTTP client for short calls and streamed attempts. Each uses a connection of its own, which is
// never reused.
#include <event2/http.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/outbox.h"
#include "io/event_loop.h"

namespace peppergate {

/// The response to a short call; status 0 means that there was none.
struct WebResponse {
  int status = 0;
  std::string body;
  Headers headers;
};

/// Incremental parser for server-sent events.
class ServerSentEventParser {
 public:
  struct ServerSentEvent {
    std::string id, event, data;
  };
  /// Adds text and calls the callback for each event that is complete.
  void feed(std::string_view text, const std::function<void(const ServerSentEvent&)>& onEvent);

 private:
  std::string unparsed_;
};

/// Sends calls and streamed attempts to engines.
class WebClient {
 public:
  using ResponseHandler = std::function<void(const WebResponse&)>;
  using StreamHandler = std::function<void(const StreamAttemptEvent&)>;
  explicit WebClient(EventLoop& loop);
  ~WebClient();

  /// Sends a short call, unless the command's write deadline has passed when it would be written.
  void call(const CallHttp& command, ResponseHandler handler);
  /// Starts a streamed attempt and reports its events as they arrive.
  void openStream(const OpenStreamAttempt& command, StreamHandler handler);
  /// Aborts an attempt; none of its events is reported any more.
  void cancel(StreamAttemptId attempt);
  /// Pauses or resumes reading an attempt's response, while its caller reads slowly.
  void pause(StreamAttemptId attempt, bool paused);
  /// Fault injection: makes these addresses unreachable, instead of those set before.
  void blockAddresses(std::set<std::string> addresses) { blockedAddresses_ = std::move(addresses); }

 private:
  struct Call;
  struct StreamAttempt;
  friend struct WebClientCallbacks;
  void freeLater(evhttp_connection* connection);

  EventLoop& loop_;
  std::map<Call*, std::unique_ptr<Call>> calls_;
  std::map<StreamAttemptId, std::shared_ptr<StreamAttempt>> attempts_;
  std::set<std::string> blockedAddresses_;
};

}  // namespace peppergate
