#pragma once
// HTTP/1.1 server for short responses and event streams; reports callers that disconnect.
#include <absl/status/status.h>
#include <event2/http.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/outbox.h"
#include "io/event_loop.h"

namespace peppergate {

/// A received request; answered once, at any later time, unless the caller disconnects.
class WebRequest : public std::enable_shared_from_this<WebRequest> {
 public:
  std::string method, path, query, body;
  Headers headers;  // names in lower case

  /// Sends a complete response.
  void respond(int status, const Headers& answerHeaders, const std::string& text);
  /// Starts an event stream as the response.
  void startEventStream(const Headers& answerHeaders);
  /// Sends one event of the stream; an empty id is left out.
  void sendEvent(std::string_view id, std::string_view name, std::string_view data);
  /// Ends the event stream.
  void endStream();
  /// Response bytes that wait to be sent because the caller reads slowly.
  std::size_t unsentBytes() const;
  bool isDisconnected() const { return request_ == nullptr; }
  /// Whether the caller's socket is still open, checked now; calls no handler. Meant for the moment
  /// before another engine is asked on the caller's behalf.
  bool isCallerConnected() const;
  /// Called if the caller disconnects before its response has ended.
  std::function<void()> onDisconnect;

 private:
  friend class WebServer;
  friend struct WebServerCallbacks;
  void detachConnection();
  evhttp_request* request_ = nullptr;
  std::shared_ptr<WebRequest>* connectionReference_ =
      nullptr;  // keeps the request alive for the close callback
};

/// Listens on one address and passes each request to a handler.
class WebServer {
 public:
  using RequestHandler = std::function<void(std::shared_ptr<WebRequest>)>;
  WebServer(EventLoop& loop, RequestHandler handler);
  ~WebServer();
  /// Starts to listen; the sizes of bodies and headers are limited.
  absl::Status listen(const Address& address, std::size_t maxBodyBytes);
  /// Accepts no new connections; used at the end of a drain.
  void stopAccepting();

 private:
  friend struct WebServerCallbacks;
  EventLoop& loop_;
  RequestHandler handler_;
  evhttp* http_;
  evhttp_bound_socket* boundSocket_ = nullptr;
};

}  // namespace peppergate
