#include "io/web_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <vector>

namespace peppergate {

void ServerSentEventParser::feed(std::string_view text,
                                 const std::function<void(const ServerSentEvent&)>& onEvent) {
  unparsed_ += text;
  std::size_t start = 0;
  for (auto end = unparsed_.find("\n\n"); end != std::string::npos;
       end = unparsed_.find("\n\n", start)) {
    ServerSentEvent event;
    std::string block = unparsed_.substr(start, end - start);
    for (std::size_t line = 0; line < block.size();) {
      auto lineEnd = std::min(block.find('\n', line), block.size());
      std::string_view field = std::string_view(block).substr(line, lineEnd - line);
      if (field.starts_with("id: ")) event.id = field.substr(4);
      else if (field.starts_with("event: ")) event.event = field.substr(7);
      else if (field.starts_with("data: ")) event.data += field.substr(6);
      line = lineEnd + 1;
    }
    onEvent(event);
    start = end + 2;
  }
  unparsed_.erase(0, start);
}

namespace {

struct HostAndPort {
  std::string host;
  std::uint16_t port = 0;
};

HostAndPort splitAddress(const Address& address) {
  auto colon = address.value.find(':');
  if (colon == std::string::npos) return {};
  return {address.value.substr(0, colon),
          static_cast<std::uint16_t>(std::atoi(address.value.c_str() + colon + 1))};
}

evhttp_connection* connectTo(EventLoop& loop, const Address& address, Duration timeout) {
  HostAndPort endpoint = splitAddress(address);
  evhttp_connection* connection =
      evhttp_connection_base_new(loop.base(), nullptr, endpoint.host.c_str(), endpoint.port);
  timeval time{static_cast<time_t>(timeout.microseconds / 1'000'000),
               static_cast<suseconds_t>(timeout.microseconds % 1'000'000)};
  evhttp_connection_set_timeout_tv(connection, &time);
  evhttp_connection_set_retries(connection, 0);  // libevent must not retry on its own
  evhttp_connection_set_max_body_size(connection, 16 << 20);
  return connection;
}

void fillRequest(evhttp_request* request, const Address& address, const Headers& headers,
                 const std::string& body) {
  evkeyvalq* output = evhttp_request_get_output_headers(request);
  evhttp_add_header(output, "Host", address.value.c_str());
  evhttp_add_header(output, "Connection", "close");
  for (const auto& [name, value] : headers) evhttp_add_header(output, name.c_str(), value.c_str());
  if (!body.empty())
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
}

// Observes the moment at which a request is put into its connection's output buffer, and holds it
// back if the write deadline has passed.
struct WriteGuard {
  bufferevent* connection = nullptr;
  MonotonicTime writeDeadline = kForever;
  bool written = false;
  bool expired = false;
  std::function<void()> onWritten, onExpired;

  static void onOutput(evbuffer*, const evbuffer_cb_info* info, void* argument) {
    auto* guard = static_cast<WriteGuard*>(argument);
    if (info->n_added == 0 || guard->written || guard->expired) return;
    if (bootNow() >= guard->writeDeadline) {
      guard->expired = true;  // the buffered request is never sent
      bufferevent_disable(guard->connection, EV_WRITE);
      if (guard->onExpired) guard->onExpired();
      return;
    }
    guard->written = true;
    if (guard->onWritten) guard->onWritten();
  }
  void attach(evhttp_connection* to) {
    connection = evhttp_connection_get_bufferevent(to);
    evbuffer_add_cb(bufferevent_get_output(connection), &WriteGuard::onOutput, this);
  }
};

std::string takeAll(evbuffer* buffer) {
  std::string text(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, text.data(), text.size());
  return text;
}

}  // namespace

struct WebClient::Call {
  WebClient* client = nullptr;
  evhttp_connection* connection = nullptr;
  WriteGuard guard;
  ResponseHandler handler;
};

struct WebClient::StreamAttempt {
  WebClient* client = nullptr;
  StreamAttemptId id;
  evhttp_connection* connection = nullptr;
  WriteGuard guard;
  StreamHandler handler;
  ServerSentEventParser eventParser;
  bool ended = false;
  std::string echoedRequestId;

  // From now on the engine may have received the request, whatever happens next.
  void notifyWritten() { notify({id, StreamAttemptEventKind::kWritten, {}, {}, {}, 0}); }
  void notify(const StreamAttemptEvent& attemptEvent) {
    if (!ended) handler(attemptEvent);
  }
  void finish(StreamAttemptEventKind kind, int status) {
    if (ended) return;
    notify({id, kind, {}, {}, echoedRequestId, status});
    if (!ended) client->cancel(id);
  }
};

/// libevent callbacks with access to the client's private members.
struct WebClientCallbacks {
  static void onCallDone(evhttp_request* request, void* argument) {
    auto* call = static_cast<WebClient::Call*>(argument);
    WebResponse response;
    if (request != nullptr && !call->guard.expired) {
      response.status = evhttp_request_get_response_code(request);
      response.body = takeAll(evhttp_request_get_input_buffer(request));
      evkeyvalq* headers = evhttp_request_get_input_headers(request);
      for (evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next)
        response.headers[header->key] = header->value;
    }
    WebClient* client = call->client;
    auto owned = client->calls_.extract(call);
    client->freeLater(call->connection);
    call->handler(response);
    // The connection's buffer refers to the write guard until the connection is freed.
    auto keptCall = std::make_shared<std::unique_ptr<WebClient::Call>>(std::move(owned.mapped()));
    client->loop_.runAfter(milliseconds(1), [keptCall] {});
  }
  static void onStreamChunk(evhttp_request* request, void* argument) {
    auto attempt = static_cast<WebClient::StreamAttempt*>(argument)->client->attempts_.find(
        static_cast<WebClient::StreamAttempt*>(argument)->id);
    if (attempt == static_cast<WebClient::StreamAttempt*>(argument)->client->attempts_.end())
      return;
    std::shared_ptr<WebClient::StreamAttempt> kept = attempt->second;
    std::string text = takeAll(evhttp_request_get_input_buffer(request));
    if (evhttp_request_get_response_code(request) != 200) return;
    kept->eventParser.feed(text, [&](const ServerSentEventParser::ServerSentEvent& event) {
      if (event.event == "piece")
        kept->notify({kept->id,
                      StreamAttemptEventKind::kPiece,
                      {std::strtoull(event.id.c_str(), nullptr, 10)},
                      event.data,
                      kept->echoedRequestId,
                      200});
      else if (event.event == "end") kept->finish(StreamAttemptEventKind::kEnded, 200);
      else if (event.event == "error") kept->finish(StreamAttemptEventKind::kBroken, 200);
    });
  }
  static int onStreamHead(evhttp_request* request, void* argument) {
    auto* attempt = static_cast<WebClient::StreamAttempt*>(argument);
    const char* requestId =
        evhttp_find_header(evhttp_request_get_input_headers(request), "X-Request-Id");
    attempt->echoedRequestId = requestId == nullptr ? "" : requestId;
    return 0;
  }
  static void onStreamDone(evhttp_request* request, void* argument) {
    auto* attempt = static_cast<WebClient::StreamAttempt*>(argument);
    auto found = attempt->client->attempts_.find(attempt->id);
    if (found == attempt->client->attempts_.end() || found->second.get() != attempt) return;
    std::shared_ptr<WebClient::StreamAttempt> kept = found->second;
    int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (!kept->guard.written) kept->finish(StreamAttemptEventKind::kNotWritten, 0);
    else if (status != 0 && status != 200) {
      // Only this header says that the engine did not run the request; otherwise it may have.
      const char* didNotRun =
          evhttp_find_header(evhttp_request_get_input_headers(request), "X-Did-Not-Run");
      kept->finish(didNotRun != nullptr ? StreamAttemptEventKind::kDeclined
                                        : StreamAttemptEventKind::kBroken,
                   status);
    } else {
      kept->finish(StreamAttemptEventKind::kBroken,
                   status);  // ended without the end event: truncated
    }
  }
};

WebClient::WebClient(EventLoop& loop) : loop_(loop) {}

WebClient::~WebClient() {
  for (auto& [key, call] : calls_) evhttp_connection_free(call->connection);
  for (auto& [id, attempt] : attempts_) evhttp_connection_free(attempt->connection);
}

void WebClient::freeLater(evhttp_connection* connection) {
  loop_.runSoon([connection] { evhttp_connection_free(connection); });
}

void WebClient::call(const CallHttp& command, ResponseHandler handler) {
  if (blockedAddresses_.contains(command.address.value)) {
    loop_.runAfter(command.timeout, [handler = std::move(handler)] { handler({}); });
    return;
  }
  auto call = std::make_unique<Call>();
  Call* raw = call.get();
  raw->client = this;
  raw->handler = std::move(handler);
  raw->guard.writeDeadline = command.writeDeadline;
  raw->connection = connectTo(loop_, command.address, command.timeout);
  raw->guard.attach(raw->connection);
  calls_[raw] = std::move(call);
  evhttp_request* request = evhttp_request_new(&WebClientCallbacks::onCallDone, raw);
  fillRequest(request, command.address, command.headers, command.body);
  evhttp_cmd_type method = command.method == "POST" ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
  if (evhttp_make_request(raw->connection, request, method, command.path.c_str()) != 0)
    loop_.runSoon([this, raw] {
      if (calls_.contains(raw)) WebClientCallbacks::onCallDone(nullptr, raw);
    });
}

void WebClient::openStream(const OpenStreamAttempt& command, StreamHandler handler) {
  if (blockedAddresses_.contains(command.address.value)) {
    loop_.runAfter(milliseconds(500), [handler = std::move(handler), id = command.attempt] {
      handler({id, StreamAttemptEventKind::kNotWritten, {}, {}, {}, 0});
    });
    return;
  }
  auto attempt = std::make_shared<StreamAttempt>();
  attempt->client = this;
  attempt->id = command.attempt;
  attempt->handler = std::move(handler);
  attempt->guard.writeDeadline = command.writeDeadline;
  attempt->connection = connectTo(loop_, command.address, seconds(15));
  attempt->guard.attach(attempt->connection);
  attempt->guard.onWritten = [raw = attempt.get()] { raw->notifyWritten(); };
  attempt->guard.onExpired = [this, id = attempt->id] {
    loop_.runSoon([this, id] {
      if (auto found = attempts_.find(id); found != attempts_.end())
        std::shared_ptr(found->second)->finish(StreamAttemptEventKind::kNotWritten, 0);
    });
  };
  attempts_[attempt->id] = attempt;
  evhttp_request* request = evhttp_request_new(&WebClientCallbacks::onStreamDone, attempt.get());
  evhttp_request_set_chunked_cb(request, &WebClientCallbacks::onStreamChunk);
  evhttp_request_set_header_cb(request, &WebClientCallbacks::onStreamHead);
  fillRequest(request, command.address, command.headers, command.body);
  if (evhttp_make_request(attempt->connection, request, EVHTTP_REQ_POST, command.path.c_str()) != 0)
    loop_.runSoon([attempt] { attempt->finish(StreamAttemptEventKind::kNotWritten, 0); });
}

void WebClient::cancel(StreamAttemptId id) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  std::shared_ptr<StreamAttempt> attempt = found->second;
  attempts_.erase(found);
  attempt->ended = true;
  // Freed after the current callback; the attempt must outlive its connection.
  loop_.runSoon([attempt] { evhttp_connection_free(attempt->connection); });
}

void WebClient::pause(StreamAttemptId id, bool paused) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  bufferevent* connection = evhttp_connection_get_bufferevent(found->second->connection);
  if (paused) bufferevent_disable(connection, EV_READ);
  else bufferevent_enable(connection, EV_READ);
}

}  // namespace peppergate
