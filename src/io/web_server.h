#pragma once
// HTTP/1.1 server for short responses and event streams; reports callers that disconnect.
#include <absl/status/status.h>
#include <event2/http.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/outbox.h"
#include "io/loop.h"

namespace peppergate {

/// A received request; answered once, at any later time, unless the caller disconnects.
class WebRequest : public std::enable_shared_from_this<WebRequest> {
 public:
  std::string method, path, query, body;
  Headers headers;  // names in lower case

  /// Sends a complete response.
  void answer(int status, const Headers& answerHeaders, const std::string& text);
  /// Starts an event stream as the response.
  void start(const Headers& answerHeaders);
  /// Sends one event of the stream; an empty id is left out.
  void event(std::string_view id, std::string_view name, std::string_view data);
  /// Ends the event stream.
  void end();
  /// Response bytes that wait to be sent because the caller reads slowly.
  std::size_t waiting() const;
  bool gone() const { return request_ == nullptr; }
  /// Whether the caller's socket is still open, checked now; calls no handler. Meant for the moment
  /// before another engine is asked on the caller's behalf.
  bool callerPresent() const;
  /// Called if the caller disconnects before its response has ended.
  std::function<void()> onGone;

 private:
  friend class WebServer;
  friend struct ServerBacks;
  void letGo();
  evhttp_request* request_ = nullptr;
  std::shared_ptr<WebRequest>* kept_ = nullptr;  // keeps the request alive for the close callback
};

/// Listens on one address and passes each request to a handler.
class WebServer {
 public:
  using Taker = std::function<void(std::shared_ptr<WebRequest>)>;
  WebServer(Loop& loop, Taker taker);
  ~WebServer();
  /// Starts to listen; the sizes of bodies and headers are limited.
  absl::Status listen(const Address& address, std::size_t largestBody);
  /// Accepts no new connections; used at the end of a drain.
  void stop();

 private:
  friend struct ServerBacks;
  Loop& loop_;
  Taker taker_;
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
};

}  // namespace peppergate
