#include "io/web_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <vector>

namespace peppergate {

void EventReader::feed(std::string_view text, const std::function<void(const OneEvent&)>& take) {
  rest_ += text;
  std::size_t start = 0;
  for (auto end = rest_.find("\n\n"); end != std::string::npos; end = rest_.find("\n\n", start)) {
    OneEvent event;
    std::string block = rest_.substr(start, end - start);
    for (std::size_t line = 0; line < block.size();) {
      auto stop = std::min(block.find('\n', line), block.size());
      std::string_view one = std::string_view(block).substr(line, stop - line);
      if (one.starts_with("id: ")) event.id = one.substr(4);
      else if (one.starts_with("event: ")) event.event = one.substr(7);
      else if (one.starts_with("data: ")) event.data += one.substr(6);
      line = stop + 1;
    }
    take(event);
    start = end + 2;
  }
  rest_.erase(0, start);
}

namespace {

struct Place {
  std::string host;
  std::uint16_t port = 0;
};

Place placeOf(const Address& address) {
  auto colon = address.value.find(':');
  if (colon == std::string::npos) return {};
  return {address.value.substr(0, colon),
          static_cast<std::uint16_t>(std::atoi(address.value.c_str() + colon + 1))};
}

evhttp_connection* connectTo(Loop& loop, const Address& address, Duration timeout) {
  Place place = placeOf(address);
  evhttp_connection* connection =
      evhttp_connection_base_new(loop.base(), nullptr, place.host.c_str(), place.port);
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
  MonotonicTime writeBefore = kForever;
  bool written = false;
  bool late = false;
  std::function<void()> onWritten, onLate;

  static void onOutput(evbuffer*, const evbuffer_cb_info* info, void* argument) {
    auto* guard = static_cast<WriteGuard*>(argument);
    if (info->n_added == 0 || guard->written || guard->late) return;
    if (bootNow() >= guard->writeBefore) {
      guard->late = true;  // the buffered request is never sent
      bufferevent_disable(guard->connection, EV_WRITE);
      if (guard->onLate) guard->onLate();
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

std::string drained(evbuffer* buffer) {
  std::string text(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, text.data(), text.size());
  return text;
}

}  // namespace

struct WebClient::Call {
  WebClient* client = nullptr;
  evhttp_connection* connection = nullptr;
  WriteGuard guard;
  Taker taker;
};

struct WebClient::Shot {
  WebClient* client = nullptr;
  ShotId id;
  evhttp_connection* connection = nullptr;
  WriteGuard guard;
  ShotTaker taker;
  EventReader events;
  bool ended = false;
  std::string echo;

  // From now on the engine may have received the request, whatever happens next.
  void tellWritten() { tell({id, ShotTurn::kWritten, {}, {}, {}, 0}); }
  void tell(const ShotTurned& turned) {
    if (!ended) taker(turned);
  }
  void finish(ShotTurn turn, int status) {
    if (ended) return;
    tell({id, turn, {}, {}, echo, status});
    if (!ended) client->cancel(id);
  }
};

/// libevent callbacks with access to the client's private members.
struct CallBacks {
  static void callDone(evhttp_request* request, void* argument) {
    auto* call = static_cast<WebClient::Call*>(argument);
    WebResult result;
    if (request != nullptr && !call->guard.late) {
      result.status = evhttp_request_get_response_code(request);
      result.body = drained(evhttp_request_get_input_buffer(request));
      evkeyvalq* headers = evhttp_request_get_input_headers(request);
      for (evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next)
        result.headers[header->key] = header->value;
    }
    WebClient* client = call->client;
    auto owned = client->calls_.extract(call);
    client->release(call->connection);
    call->taker(result);
    // The connection's buffer refers to the write guard until the connection is freed.
    auto kept = std::make_shared<std::unique_ptr<WebClient::Call>>(std::move(owned.mapped()));
    client->loop_.after(milliseconds(1), [kept] {});
  }
  static void shotEvents(evhttp_request* request, void* argument) {
    auto shot = static_cast<WebClient::Shot*>(argument)->client->shots_.find(
        static_cast<WebClient::Shot*>(argument)->id);
    if (shot == static_cast<WebClient::Shot*>(argument)->client->shots_.end()) return;
    std::shared_ptr<WebClient::Shot> alive = shot->second;
    std::string text = drained(evhttp_request_get_input_buffer(request));
    if (evhttp_request_get_response_code(request) != 200) return;
    alive->events.feed(text, [&](const EventReader::OneEvent& event) {
      if (event.event == "piece")
        alive->tell({alive->id,
                     ShotTurn::kPiece,
                     {std::strtoull(event.id.c_str(), nullptr, 10)},
                     event.data,
                     alive->echo,
                     200});
      else if (event.event == "end") alive->finish(ShotTurn::kEnded, 200);
      else if (event.event == "error") alive->finish(ShotTurn::kBroken, 200);
    });
  }
  static int shotHeaders(evhttp_request* request, void* argument) {
    auto* shot = static_cast<WebClient::Shot*>(argument);
    const char* echo =
        evhttp_find_header(evhttp_request_get_input_headers(request), "X-Request-Id");
    shot->echo = echo == nullptr ? "" : echo;
    return 0;
  }
  static void shotDone(evhttp_request* request, void* argument) {
    auto* shot = static_cast<WebClient::Shot*>(argument);
    auto found = shot->client->shots_.find(shot->id);
    if (found == shot->client->shots_.end() || found->second.get() != shot) return;
    std::shared_ptr<WebClient::Shot> alive = found->second;
    int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (!alive->guard.written) alive->finish(ShotTurn::kNotWritten, 0);
    else if (status != 0 && status != 200) {
      // Only this header says that the engine did not run the request; otherwise it may have.
      const char* word =
          evhttp_find_header(evhttp_request_get_input_headers(request), "X-Did-Not-Run");
      alive->finish(word != nullptr ? ShotTurn::kDeclined : ShotTurn::kBroken, status);
    } else {
      alive->finish(ShotTurn::kBroken, status);  // ended without the end event: truncated
    }
  }
};

WebClient::WebClient(Loop& loop) : loop_(loop) {}

WebClient::~WebClient() {
  for (auto& [key, call] : calls_) evhttp_connection_free(call->connection);
  for (auto& [id, shot] : shots_) evhttp_connection_free(shot->connection);
}

void WebClient::release(evhttp_connection* connection) {
  loop_.soon([connection] { evhttp_connection_free(connection); });
}

void WebClient::call(const CallWeb& command, Taker taker) {
  if (cut_.contains(command.address.value)) {
    loop_.after(command.timeout, [taker = std::move(taker)] { taker({}); });
    return;
  }
  auto call = std::make_unique<Call>();
  Call* raw = call.get();
  raw->client = this;
  raw->taker = std::move(taker);
  raw->guard.writeBefore = command.writeBefore;
  raw->connection = connectTo(loop_, command.address, command.timeout);
  raw->guard.attach(raw->connection);
  calls_[raw] = std::move(call);
  evhttp_request* request = evhttp_request_new(&CallBacks::callDone, raw);
  fillRequest(request, command.address, command.headers, command.body);
  evhttp_cmd_type method = command.method == "POST" ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
  if (evhttp_make_request(raw->connection, request, method, command.path.c_str()) != 0)
    loop_.soon([this, raw] {
      if (calls_.contains(raw)) CallBacks::callDone(nullptr, raw);
    });
}

void WebClient::shoot(const OpenShot& command, ShotTaker taker) {
  if (cut_.contains(command.address.value)) {
    loop_.after(milliseconds(500), [taker = std::move(taker), id = command.shot] {
      taker({id, ShotTurn::kNotWritten, {}, {}, {}, 0});
    });
    return;
  }
  auto shot = std::make_shared<Shot>();
  shot->client = this;
  shot->id = command.shot;
  shot->taker = std::move(taker);
  shot->guard.writeBefore = command.writeBefore;
  shot->connection = connectTo(loop_, command.address, seconds(15));
  shot->guard.attach(shot->connection);
  shot->guard.onWritten = [raw = shot.get()] { raw->tellWritten(); };
  shot->guard.onLate = [this, id = shot->id] {
    loop_.soon([this, id] {
      if (auto late = shots_.find(id); late != shots_.end())
        std::shared_ptr(late->second)->finish(ShotTurn::kNotWritten, 0);
    });
  };
  shots_[shot->id] = shot;
  evhttp_request* request = evhttp_request_new(&CallBacks::shotDone, shot.get());
  evhttp_request_set_chunked_cb(request, &CallBacks::shotEvents);
  evhttp_request_set_header_cb(request, &CallBacks::shotHeaders);
  fillRequest(request, command.address, command.headers, command.body);
  if (evhttp_make_request(shot->connection, request, EVHTTP_REQ_POST, command.path.c_str()) != 0)
    loop_.soon([shot] { shot->finish(ShotTurn::kNotWritten, 0); });
}

void WebClient::cancel(ShotId id) {
  auto found = shots_.find(id);
  if (found == shots_.end()) return;
  std::shared_ptr<Shot> shot = found->second;
  shots_.erase(found);
  shot->ended = true;
  // Freed after the current callback; the attempt must outlive its connection.
  loop_.soon([shot] { evhttp_connection_free(shot->connection); });
}

void WebClient::pause(ShotId id, bool paused) {
  auto found = shots_.find(id);
  if (found == shots_.end()) return;
  bufferevent* connection = evhttp_connection_get_bufferevent(found->second->connection);
  if (paused) bufferevent_disable(connection, EV_READ);
  else bufferevent_enable(connection, EV_READ);
}

}  // namespace peppergate
