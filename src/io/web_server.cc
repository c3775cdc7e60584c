#include "io/web_server.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/socket.h>

#include <algorithm>

namespace peppergate {
namespace {

void addHeaders(evhttp_request* request, const Headers& headers) {
  evkeyvalq* output = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : headers) evhttp_add_header(output, name.c_str(), value.c_str());
}

constexpr int kIdleTimeoutSeconds = 10;      // for an idle caller or a partial request
constexpr int kResponseTimeoutSeconds = 90;  // while a request is being answered

}  // namespace

/// libevent callbacks with access to the server's private members.
struct WebServerCallbacks {
  // Argument of the connection's close callback; keeps the request alive until it is answered.
  using RequestReference = std::shared_ptr<WebRequest>;

  static void onClosed(evhttp_connection*, void* argument) {
    std::unique_ptr<RequestReference> reference(static_cast<RequestReference*>(argument));
    (*reference)->request_ = nullptr;
    (*reference)->connectionReference_ = nullptr;
    if ((*reference)->onDisconnect) (*reference)->onDisconnect();
  }

  static void onRequest(evhttp_request* raw, void* argument) {
    auto* server = static_cast<WebServer*>(argument);
    auto request = std::make_shared<WebRequest>();
    request->request_ = raw;
    request->method = evhttp_request_get_command(raw) == EVHTTP_REQ_POST ? "POST" : "GET";
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(raw);
    const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
    const char* query = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
    request->path = path == nullptr ? "/" : path;
    request->query = query == nullptr ? "" : query;
    evkeyvalq* headers = evhttp_request_get_input_headers(raw);
    for (evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
      std::string name = header->key;
      std::ranges::transform(name, name.begin(),
                             [](unsigned char letter) { return std::tolower(letter); });
      request->headers[name] = header->value;
    }
    evbuffer* input = evhttp_request_get_input_buffer(raw);
    request->body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, request->body.data(), request->body.size());
    evhttp_connection* connection = evhttp_request_get_connection(raw);
    evhttp_connection_set_timeout(connection, kResponseTimeoutSeconds);
    // Reading stays enabled, so that a disconnect is noticed at once.
    bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
    request->connectionReference_ = new RequestReference(request);
    evhttp_connection_set_closecb(connection, &WebServerCallbacks::onClosed,
                                  request->connectionReference_);
    server->handler_(request);
  }
};

bool WebRequest::isCallerConnected() const {
  if (request_ == nullptr) return false;
  bufferevent* connection =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_));
  char byte = 0;
  ssize_t size = recv(bufferevent_getfd(connection), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void WebRequest::detachConnection() {
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  evhttp_connection_set_timeout(connection, kIdleTimeoutSeconds);
  request_ = nullptr;
  onDisconnect = nullptr;
  std::unique_ptr<std::shared_ptr<WebRequest>> reference(
      std::exchange(connectionReference_, nullptr));
}

void WebRequest::respond(int status, const Headers& answerHeaders, const std::string& text) {
  if (request_ == nullptr) return;
  auto self = shared_from_this();
  addHeaders(request_, answerHeaders);
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, text.data(), text.size());
  evhttp_request* request = request_;
  detachConnection();
  evhttp_send_reply(request, status, nullptr, buffer);
  evbuffer_free(buffer);
}

void WebRequest::startEventStream(const Headers& answerHeaders) {
  if (request_ == nullptr) return;
  addHeaders(request_, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}});
  addHeaders(request_, answerHeaders);
  evhttp_send_reply_start(request_, 200, "OK");
}

void WebRequest::sendEvent(std::string_view id, std::string_view name, std::string_view data) {
  if (request_ == nullptr) return;
  evbuffer* buffer = evbuffer_new();
  if (!id.empty())
    evbuffer_add_printf(buffer, "id: %.*s\n", static_cast<int>(id.size()), id.data());
  evbuffer_add_printf(buffer, "event: %.*s\ndata: ", static_cast<int>(name.size()), name.data());
  evbuffer_add(buffer, data.data(), data.size());
  evbuffer_add(buffer, "\n\n", 2);
  evhttp_send_reply_chunk(request_, buffer);
  evbuffer_free(buffer);
}

void WebRequest::endStream() {
  if (request_ == nullptr) return;
  auto self = shared_from_this();
  evhttp_request* request = request_;
  detachConnection();
  evhttp_send_reply_end(request);
}

std::size_t WebRequest::unsentBytes() const {
  if (request_ == nullptr) return 0;
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(connection)));
}

WebServer::WebServer(EventLoop& loop, RequestHandler handler)
    : loop_(loop), handler_(std::move(handler)), http_(evhttp_new(loop.base())) {
  evhttp_set_gencb(http_, &WebServerCallbacks::onRequest, this);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_set_max_headers_size(http_, 16 << 10);
  evhttp_set_timeout(http_, kIdleTimeoutSeconds);
}

WebServer::~WebServer() { evhttp_free(http_); }

absl::Status WebServer::listen(const Address& address, std::size_t maxBodyBytes) {
  auto colon = address.value.find(':');
  if (colon == std::string::npos)
    return absl::InvalidArgumentError("'" + address.value + "' is not a valid address");
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(maxBodyBytes));
  boundSocket_ = evhttp_bind_socket_with_handle(
      http_, address.value.substr(0, colon).c_str(),
      static_cast<ev_uint16_t>(std::atoi(address.value.c_str() + colon + 1)));
  if (boundSocket_ == nullptr)
    return absl::UnavailableError("cannot listen on " + address.value + ": " + strerror(errno));
  return absl::OkStatus();
}

void WebServer::stopAccepting() {
  if (boundSocket_ != nullptr) evhttp_del_accept_socket(http_, boundSocket_);
  boundSocket_ = nullptr;
}

}  // namespace peppergate
