#include "io/http_listener.h"

#include <errno.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>

#include "io/http_listener_connection.h"
#include "io/member_transport.h"

namespace peppergate {
namespace {

constexpr int kBacklog = 1024;
constexpr Duration kTickInterval = milliseconds(100);
constexpr Duration kDrainIdleTimeout = milliseconds(300);  // a request may be in transit
constexpr Duration kLingerTimeout = seconds(1);

}  // namespace

struct HttpListener::State {
  State(EventLoop& loop, const Dialect& dialect, Handlers handlers)
      : context(loop, dialect, std::move(handlers)) {}
  ListenerContext context;
  evconnlistener* listener = nullptr;
  bool accepting = true;

  static void onFlush(evutil_socket_t, short, void* argument) {
    auto& context = static_cast<State*>(argument)->context;
    std::vector<std::shared_ptr<ListenerConnection>> connections;
    connections.swap(context.flushQueue);
    for (auto& connection : connections) connection->flush();
  }
  static void onTick(evutil_socket_t, short, void* argument) {
    static_cast<State*>(argument)->tick();
  }
  static void onAccept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
                       void* argument) {
    auto& context = static_cast<State*>(argument)->context;
    HttpSocket::configureAccepted(descriptor);
    auto connection = std::make_shared<ListenerConnection>(context, descriptor);
    context.connections.emplace(connection.get(), connection);
    connection->start();
    if (event_pending(&context.tickEvent, EV_TIMEOUT, nullptr) == 0) startTick(context);
  }
  static void onAcceptError(evconnlistener* listener, void* argument) {
    auto* state = static_cast<State*>(argument);
    if (errno != EMFILE && errno != ENFILE && errno != ENOBUFS && errno != ENOMEM) return;
    // Closes the longest idle connection for the new one; without any, accepting pauses for a tick.
    auto& idle = state->context.waits[static_cast<std::size_t>(ConnectionWait::kIdle)];
    if (!idle.empty()) return idle.front().onTimeout();
    evconnlistener_disable(listener);
    state->accepting = false;
    startTick(state->context);
  }
  static void startTick(ListenerContext& context) {
    timeval interval{0, static_cast<suseconds_t>(kTickInterval.microseconds)};
    event_add(&context.tickEvent, &interval);
  }
  void tick() {
    if (!accepting) {
      accepting = true;
      evconnlistener_enable(listener);
    }
    MonotonicTime now = bootNow();
    for (std::size_t kind = 0; kind < context.waits.size(); ++kind) {
      auto timeout = context.timeoutOf(static_cast<ConnectionWait>(kind));
      auto& list = context.waits[kind];
      while (!list.empty() && now - list.front().waitingSince >= timeout) list.front().onTimeout();
    }
    if (context.connections.empty()) event_del(&context.tickEvent);
  }
  ListenerConnection* connectionOf(RequestId request) {
    auto found = context.activeRequests.find(request.value);
    return found == context.activeRequests.end() ? nullptr : found->second;
  }
};

void ListenerContext::scheduleFlush(ListenerConnection& connection) {
  if (!connection.markFlushScheduled()) return;
  flushQueue.push_back(connection.shared_from_this());
  event_active(&flushEvent, EV_TIMEOUT, 0);
}

Duration ListenerContext::timeoutOf(ConnectionWait wait) const {
  switch (wait) {
    case ConnectionWait::kIdle:
      return draining ? kDrainIdleTimeout : limits.idle;
    case ConnectionWait::kHead:
      return limits.headerWait;
    case ConnectionWait::kBody:
    case ConnectionWait::kWrite:
      return limits.idle;
    case ConnectionWait::kLinger:
    case ConnectionWait::kNone:
      break;
  }
  return kLingerTimeout;
}

HttpListener::HttpListener(EventLoop& loop, const Dialect& dialect, Handlers handlers)
    : state_(std::make_unique<State>(loop, dialect, std::move(handlers))) {
  event_assign(&state_->context.flushEvent, loop.base(), -1, 0, &State::onFlush, state_.get());
  event_assign(&state_->context.tickEvent, loop.base(), -1, EV_PERSIST, &State::onTick,
               state_.get());
}

HttpListener::~HttpListener() {
  if (state_->listener != nullptr) evconnlistener_free(state_->listener);
  event_del(&state_->context.flushEvent);
  event_del(&state_->context.tickEvent);
}

absl::Status HttpListener::listen(const Address& address) {
  sockaddr_in socketAddress{};
  if (!parseAddress(address.value, socketAddress))
    return absl::InvalidArgumentError("'" + address.value + "' is not a valid address");
  state_->listener = evconnlistener_new_bind(
      state_->context.loop.base(), &State::onAccept, state_.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, kBacklog,
      reinterpret_cast<sockaddr*>(&socketAddress), sizeof socketAddress);
  if (state_->listener == nullptr)
    return absl::UnavailableError("cannot listen on " + address.value + ": " + strerror(errno));
  evconnlistener_set_error_cb(state_->listener, &State::onAcceptError);
  return absl::OkStatus();
}

void HttpListener::setLimits(const RequestLimits& limits) { state_->context.limits = limits; }

void HttpListener::respond(const ForwardResponseHead& command) {
  if (auto* connection = state_->connectionOf(command.request);
      connection != nullptr && command.head)
    connection->sendHead(*command.head);
}
void HttpListener::respond(const ForwardResponseBody& command) {
  if (auto* connection = state_->connectionOf(command.request)) connection->sendBody(command.bytes);
}
void HttpListener::respond(const FinishResponse& command) {
  if (auto* connection = state_->connectionOf(command.request))
    connection->finishResponse(command.complete);
}
void HttpListener::respond(const RejectRequest& command) {
  if (auto* connection = state_->connectionOf(command.request)) connection->refuse(command);
}

bool HttpListener::isClientConnected(RequestId request) {
  auto* connection = state_->connectionOf(request);
  return connection != nullptr && connection->isClientConnected();
}

void HttpListener::drain() { state_->context.draining = true; }

void HttpListener::stopAccepting() {
  if (state_->listener != nullptr) evconnlistener_free(state_->listener);
  state_->listener = nullptr;
}

std::size_t HttpListener::connectionCount() const { return state_->context.connections.size(); }

}  // namespace peppergate
