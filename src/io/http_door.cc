#include "io/http_door.h"

#include <errno.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>

#include "io/http_door_connection.h"
#include "io/member_hub.h"

namespace peppergate {
namespace {

constexpr int kBacklog = 1024;
constexpr Duration kTick = milliseconds(100);
constexpr Duration kLeavingIdle = milliseconds(300);  // a request may be on its way
constexpr Duration kLinger = seconds(1);
constexpr Duration kHalfClosedLook = milliseconds(500);

}  // namespace

struct HttpDoor::State {
  State(Loop& loop, const Dialect& dialect, Hooks hooks) : room(loop, dialect, std::move(hooks)) {}
  DoorRoom room;
  evconnlistener* listener = nullptr;
  bool listening = true;

  static void onFlush(evutil_socket_t, short, void* argument) {
    auto& room = static_cast<State*>(argument)->room;
    std::vector<std::shared_ptr<DoorConnection>> dirty;
    dirty.swap(room.dirty);
    for (auto& connection : dirty) connection->flush();
  }
  static void onTick(evutil_socket_t, short, void* argument) {
    static_cast<State*>(argument)->tick();
  }
  static void onAccept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
                       void* argument) {
    auto& room = static_cast<State*>(argument)->room;
    HttpSocket::setAccepted(descriptor);
    auto connection = std::make_shared<DoorConnection>(room, descriptor);
    room.connections.emplace(connection.get(), connection);
    connection->start();
    if (event_pending(&room.tickEvent, EV_TIMEOUT, nullptr) == 0) startTick(room);
  }
  static void onAcceptError(evconnlistener* listener, void* argument) {
    auto* state = static_cast<State*>(argument);
    if (errno != EMFILE && errno != ENFILE && errno != ENOBUFS && errno != ENOMEM) return;
    // The one idle longest gives way to the one that comes; else new ones wait a little.
    auto& idle = state->room.waits[static_cast<std::size_t>(DoorWait::kIdle)];
    if (!idle.empty()) return idle.front().overdue();
    evconnlistener_disable(listener);
    state->listening = false;
    startTick(state->room);
  }
  static void startTick(DoorRoom& room) {
    timeval pace{0, static_cast<suseconds_t>(kTick.microseconds)};
    event_add(&room.tickEvent, &pace);
  }
  void tick() {
    if (!listening) {
      listening = true;
      evconnlistener_enable(listener);
    }
    MonotonicTime now = bootNow();
    for (std::size_t kind = 0; kind < room.waits.size(); ++kind) {
      auto longest = room.longest(static_cast<DoorWait>(kind));
      auto& list = room.waits[kind];
      while (!list.empty() && now - list.front().since >= longest) list.front().overdue();
    }
    if (room.connections.empty()) event_del(&room.tickEvent);
  }
  DoorConnection* of(RequestId request) {
    auto found = room.answering.find(request.value);
    return found == room.answering.end() ? nullptr : found->second;
  }
};

void DoorRoom::flushSoon(DoorConnection& connection) {
  if (!connection.markDirty()) return;
  dirty.push_back(connection.shared_from_this());
  event_active(&flushEvent, EV_TIMEOUT, 0);
}

Duration DoorRoom::longest(DoorWait wait) const {
  switch (wait) {
    case DoorWait::kIdle:
      return leaving ? kLeavingIdle : limits.idle;
    case DoorWait::kHead:
      return limits.headerWait;
    case DoorWait::kBody:
    case DoorWait::kWrite:
      return limits.idle;
    case DoorWait::kHalfClosed:
      return kHalfClosedLook;
    case DoorWait::kLinger:
    case DoorWait::kNothing:
      break;
  }
  return kLinger;
}

HttpDoor::HttpDoor(Loop& loop, const Dialect& dialect, Hooks hooks)
    : state_(std::make_unique<State>(loop, dialect, std::move(hooks))) {
  event_assign(&state_->room.flushEvent, loop.base(), -1, 0, &State::onFlush, state_.get());
  event_assign(&state_->room.tickEvent, loop.base(), -1, EV_PERSIST, &State::onTick, state_.get());
}

HttpDoor::~HttpDoor() {
  if (state_->listener != nullptr) evconnlistener_free(state_->listener);
  event_del(&state_->room.flushEvent);
  event_del(&state_->room.tickEvent);
}

absl::Status HttpDoor::listen(const Address& address) {
  sockaddr_in place{};
  if (!parseAddress(address.value, place))
    return absl::InvalidArgumentError("'" + address.value + "' is no address");
  state_->listener =
      evconnlistener_new_bind(state_->room.loop.base(), &State::onAccept, state_.get(),
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                              kBacklog, reinterpret_cast<sockaddr*>(&place), sizeof place);
  if (state_->listener == nullptr)
    return absl::UnavailableError("can't listen at " + address.value + ": " + strerror(errno));
  evconnlistener_set_error_cb(state_->listener, &State::onAcceptError);
  return absl::OkStatus();
}

void HttpDoor::limits(const RequestLimits& limits) { state_->room.limits = limits; }

void HttpDoor::answer(const AnswerHead& command) {
  if (auto* connection = state_->of(command.request); connection != nullptr && command.head)
    connection->answerHead(*command.head);
}
void HttpDoor::answer(const AnswerBody& command) {
  if (auto* connection = state_->of(command.request)) connection->answerBody(command.bytes);
}
void HttpDoor::answer(const AnswerDone& command) {
  if (auto* connection = state_->of(command.request)) connection->answerDone(command.whole);
}
void HttpDoor::answer(const RefuseRequest& command) {
  if (auto* connection = state_->of(command.request)) connection->refuse(command);
}

void HttpDoor::leave() { state_->room.leaving = true; }

void HttpDoor::close() {
  if (state_->listener != nullptr) evconnlistener_free(state_->listener);
  state_->listener = nullptr;
}

std::size_t HttpDoor::connections() const { return state_->room.connections.size(); }

}  // namespace peppergate
