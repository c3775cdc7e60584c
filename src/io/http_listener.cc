#include "io/http_listener.h"

#include <errno.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>

#include "io/http_listener_connection.h"
#include "io/member_hub.h"

namespace peppergate {
namespace {

constexpr int kBacklog = 1024;
constexpr Duration kTick = milliseconds(100);
constexpr Duration kLeavingIdle = milliseconds(300);  // a request may be in transit
constexpr Duration kLinger = seconds(1);

}  // namespace

struct HttpListener::State {
  State(Loop& loop, const Dialect& dialect, Hooks hooks)
      : context(loop, dialect, std::move(hooks)) {}
  ListenerContext context;
  evconnlistener* listener = nullptr;
  bool listening = true;

  static void onFlush(evutil_socket_t, short, void* argument) {
    auto& context = static_cast<State*>(argument)->context;
    std::vector<std::shared_ptr<ListenerConnection>> dirty;
    dirty.swap(context.dirty);
    for (auto& connection : dirty) connection->flush();
  }
  static void onTick(evutil_socket_t, short, void* argument) {
    static_cast<State*>(argument)->tick();
  }
  static void onAccept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
                       void* argument) {
    auto& context = static_cast<State*>(argument)->context;
    HttpSocket::setAccepted(descriptor);
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
    if (!idle.empty()) return idle.front().overdue();
    evconnlistener_disable(listener);
    state->listening = false;
    startTick(state->context);
  }
  static void startTick(ListenerContext& context) {
    timeval pace{0, static_cast<suseconds_t>(kTick.microseconds)};
    event_add(&context.tickEvent, &pace);
  }
  void tick() {
    if (!listening) {
      listening = true;
      evconnlistener_enable(listener);
    }
    MonotonicTime now = bootNow();
    for (std::size_t kind = 0; kind < context.waits.size(); ++kind) {
      auto longest = context.longest(static_cast<ConnectionWait>(kind));
      auto& list = context.waits[kind];
      while (!list.empty() && now - list.front().since >= longest) list.front().overdue();
    }
    if (context.connections.empty()) event_del(&context.tickEvent);
  }
  ListenerConnection* of(RequestId request) {
    auto found = context.answering.find(request.value);
    return found == context.answering.end() ? nullptr : found->second;
  }
};

void ListenerContext::flushSoon(ListenerConnection& connection) {
  if (!connection.markDirty()) return;
  dirty.push_back(connection.shared_from_this());
  event_active(&flushEvent, EV_TIMEOUT, 0);
}

Duration ListenerContext::longest(ConnectionWait wait) const {
  switch (wait) {
    case ConnectionWait::kIdle:
      return leaving ? kLeavingIdle : limits.idle;
    case ConnectionWait::kHead:
      return limits.headerWait;
    case ConnectionWait::kBody:
    case ConnectionWait::kWrite:
      return limits.idle;
    case ConnectionWait::kLinger:
    case ConnectionWait::kNothing:
      break;
  }
  return kLinger;
}

HttpListener::HttpListener(Loop& loop, const Dialect& dialect, Hooks hooks)
    : state_(std::make_unique<State>(loop, dialect, std::move(hooks))) {
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
  sockaddr_in place{};
  if (!parseAddress(address.value, place))
    return absl::InvalidArgumentError("'" + address.value + "' is not a valid address");
  state_->listener =
      evconnlistener_new_bind(state_->context.loop.base(), &State::onAccept, state_.get(),
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                              kBacklog, reinterpret_cast<sockaddr*>(&place), sizeof place);
  if (state_->listener == nullptr)
    return absl::UnavailableError("cannot listen on " + address.value + ": " + strerror(errno));
  evconnlistener_set_error_cb(state_->listener, &State::onAcceptError);
  return absl::OkStatus();
}

void HttpListener::limits(const RequestLimits& limits) { state_->context.limits = limits; }

void HttpListener::answer(const AnswerHead& command) {
  if (auto* connection = state_->of(command.request); connection != nullptr && command.head)
    connection->answerHead(*command.head);
}
void HttpListener::answer(const AnswerBody& command) {
  if (auto* connection = state_->of(command.request)) connection->answerBody(command.bytes);
}
void HttpListener::answer(const AnswerDone& command) {
  if (auto* connection = state_->of(command.request)) connection->answerDone(command.whole);
}
void HttpListener::answer(const RefuseRequest& command) {
  if (auto* connection = state_->of(command.request)) connection->refuse(command);
}

bool HttpListener::clientPresent(RequestId request) {
  auto* connection = state_->of(request);
  return connection != nullptr && connection->clientPresent();
}

void HttpListener::leave() { state_->context.leaving = true; }

void HttpListener::close() {
  if (state_->listener != nullptr) evconnlistener_free(state_->listener);
  state_->listener = nullptr;
}

std::size_t HttpListener::connections() const { return state_->context.connections.size(); }

}  // namespace peppergate
