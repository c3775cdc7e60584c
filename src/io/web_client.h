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
#include "io/loop.h"

namespace peppergate {

/// The response to a short call; status 0 means that there was none.
struct WebResult {
  int status = 0;
  std::string body;
  Headers headers;
};

/// Incremental parser for server-sent events.
class EventReader {
 public:
  struct OneEvent {
    std::string id, event, data;
  };
  /// Adds text and calls the callback for each event that is complete.
  void feed(std::string_view text, const std::function<void(const OneEvent&)>& take);

 private:
  std::string rest_;
};

/// Sends calls and streamed attempts to engines.
class WebClient {
 public:
  using Taker = std::function<void(const WebResult&)>;
  using ShotTaker = std::function<void(const ShotTurned&)>;
  explicit WebClient(Loop& loop);
  ~WebClient();

  /// Sends a short call, unless the command's write deadline has passed when it would be written.
  void call(const CallWeb& command, Taker taker);
  /// Starts a streamed attempt and reports its events as they arrive.
  void shoot(const OpenShot& command, ShotTaker taker);
  /// Aborts an attempt; none of its events is reported any more.
  void cancel(ShotId shot);
  /// Pauses or resumes reading an attempt's response, while its caller reads slowly.
  void pause(ShotId shot, bool paused);
  /// Fault injection: makes these addresses unreachable, instead of those set before.
  void cut(std::set<std::string> addresses) { cut_ = std::move(addresses); }

 private:
  struct Call;
  struct Shot;
  friend struct CallBacks;
  void release(evhttp_connection* connection);

  Loop& loop_;
  std::map<Call*, std::unique_ptr<Call>> calls_;
  std::map<ShotId, std::shared_ptr<Shot>> shots_;
  std::set<std::string> cut_;
};

}  // namespace peppergate
