#include "sim/router_clients.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "sim/router_checker.h"
#include "sim/router_operators.h"

namespace peppergate {
namespace {

constexpr Duration kReadyCheckInterval = seconds(1);  // between refreshes of the ready routers
constexpr Duration kProbeInterval = seconds(0.2);  // between requests with the marker tenant's key
constexpr Duration kGiveUpDelay = seconds(1);      // that a client waits beyond its timeout
constexpr int kMaxAttempts = 4;
constexpr std::array<std::string_view, 5> kTenants{"first", "second", "third", "walled1",
                                                   "walled2"};

bool impliesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

RouterClients::RouterClients(RouterWorld& world) : world_(world) {}

RouterProcess* RouterClients::chooseRouter(bool keepsConnection) {
  // Some clients keep their connection to a router that is no longer ready.
  std::vector<RouterProcess*> routers;
  for (auto& process : world_.processes()) {
    bool ready =
        keepsConnection || std::ranges::find(readyRouters_, process.get()) != readyRouters_.end();
    // A kept connection reaches a router that accepts no new connections.
    bool open = process->alive && (keepsConnection || !world_.hasClosedListener(*process));
    if (process->role == Role::kRouter && open && ready) routers.push_back(process.get());
  }
  return routers.empty() ? nullptr : routers[world_.random().below(routers.size())];
}

void RouterClients::tick() {
  MonotonicTime now = world_.now();
  if (now >= nextReadyCheck_) {
    nextReadyCheck_ = now + kReadyCheckInterval;
    readyRouters_.clear();
    for (auto& process : world_.processes())
      if (process->role == Role::kRouter && process->alive && !process->frozen &&
          process->router().ready(process->localTime(now)))
        readyRouters_.push_back(process.get());
  }
  bool hasTraffic = now >= MonotonicTime{} && now < MonotonicTime{} + world_.scenario().run;
  if (hasTraffic) {
    pendingOperations_ += world_.scenario().requestsPerSecond * trafficFactor_ * 0.01 * 2 *
                          world_.random().fraction();
    for (; pendingOperations_ >= 1; pendingOperations_ -= 1) {
      auto tenant = std::string(kTenants[world_.random().below(kTenants.size())]);
      std::string key = "key-" + tenant + "-" + (world_.random().below(4) == 0 ? "1" : "2");
      startOperation(key, world_.operators().withdrawnAt(key) == kForever);
    }
    if (now >= nextProbe_) {
      nextProbe_ = now + kProbeInterval;
      startOperation("key-mark", false);
    }
  }
  for (auto entry = requests_.begin(); entry != requests_.end() && entry->second.givesUpAt <= now;
       ++entry) {
    // Requests are ordered by id and so by time.
    ClientRequest& request = entry->second;
    if (request.finished) continue;
    bool excused = !request.router->alive || request.router->frozen ||
                   now - request.router->disturbedAt < kClientTimeout + kGiveUpDelay;
    if (!excused) world_.checker().fail("no-answer", request.arrival.clientId);
    if (request.router->incarnation == request.routerIncarnation)
      world_.deliver(*request.router, RequestCancelled{request.arrival.request});
    finishRequest(request, false);
  }
}

void RouterClients::startOperation(const std::string& key, bool countsAsServed) {
  Random& random = world_.random();
  ClientOperation operation;
  operation.startedAt = world_.now();
  operation.deadline = operation.startedAt + kClientTimeout;
  operation.key = key;
  operation.countsAsServed = countsAsServed;
  double draw = random.fraction();
  for (; draw >= kClientRoutes[operation.route].trafficShare &&
         operation.route + 1 < kClientRoutes.size();
       ++operation.route)
    draw -= kClientRoutes[operation.route].trafficShare;
  if (key == "key-mark" && kClientRoutes[operation.route].open) operation.route = 0;
  operation.model = {random.below(3) == 0 ? "brief" : "deep"};
  // Skewed popularity: a few documents appear in most prompts.
  auto document = static_cast<std::uint64_t>(std::pow(60.0, random.fraction()));
  operation.promptBlocks = {{"common", 800},
                            {"document-" + std::to_string(document),
                             2000 + static_cast<std::int64_t>(document % 7) * 500},
                            {"own-" + std::to_string(++lastBlockId_), 50}};
  operation.tokensOut = 20 + static_cast<std::int64_t>(random.below(150));
  operations_.push_back(std::move(operation));
  sendRequest(operations_.size() - 1, random.below(10) == 0);
}

void RouterClients::sendRequest(std::size_t index, bool keepsConnection) {
  ClientOperation& operation = operations_[index];
  MonotonicTime now = world_.now();
  if (operation.deadline - now < milliseconds(200) || operation.attempts >= kMaxAttempts) return;
  RouterProcess* router = chooseRouter(keepsConnection);
  if (router == nullptr) {
    world_.scheduleAfter(milliseconds(300), [this, index] { sendRequest(index, false); });
    return;
  }
  ++operation.attempts;
  const ClientRoute& route = kClientRoutes[operation.route];
  ClientRequest request;
  RequestArrived& arrival = request.arrival;
  arrival.request = {++lastRequestId_};
  arrival.clientId = "client-" + std::to_string(lastRequestId_);
  arrival.host = operation.model.value == "brief" ? "small.example" : "large.example";
  arrival.path = std::string(route.prefix) + "x";
  if (!route.open) arrival.key = operation.key;
  arrival.timeLeft = operation.deadline - now;
  arrival.resumeAfterEventId = operation.resumeAfterEventId;
  arrival.model = operation.model;
  for (const auto& block : operation.promptBlocks) arrival.tokensIn += block.tokens;
  arrival.tokensOut = operation.tokensOut;
  arrival.promptBlocks = operation.promptBlocks;
  arrival.wire = std::make_shared<WireRequest>();
  request.operation = index;
  request.route = operation.route;
  request.lastEventId = operation.resumeAfterEventId.value_or(0);
  request.router = router;
  request.routerIncarnation = router->incarnation;
  request.sentAt = now;
  request.givesUpAt = now + kClientTimeout + kGiveUpDelay;
  byClientId_[arrival.clientId] = lastRequestId_;
  world_.checker().handleRequestSent(request);
  requests_.emplace(lastRequestId_, std::move(request));
  world_.scheduleAfter(world_.drawLatency(), [this, id = lastRequestId_] {
    ClientRequest& sent = requests_.at(id);
    if (sent.finished) return;
    if (sent.router->incarnation != sent.routerIncarnation) return retry(sent, milliseconds(50));
    sent.reachedRouter = true;
    world_.deliver(*sent.router, sent.arrival);
    bool slow = kClientRoutes[sent.route].kind == RouteKind::kStream && id % 40 == 0;
    for (bool begins : {true, false})  // a slow reader: backpressure begins, then ends
      if (slow)
        world_.scheduleAfter(milliseconds(begins ? 150 : 1200), [this, id, begins] {
          ClientRequest& reader = requests_.at(id);
          if (!reader.finished && reader.router->incarnation == reader.routerIncarnation)
            world_.deliver(*reader.router, RequestBackpressure{reader.arrival.request, begins});
        });
  });
}

void RouterClients::finishRequest(ClientRequest& request, bool served) {
  request.finished = true;
  ClientOperation& operation = operations_[request.operation];
  if (served && world_.now() <= operation.deadline + milliseconds(100)) operation.served = true;
}

void RouterClients::retry(ClientRequest& request, Duration delay) {
  finishRequest(request, false);
  world_.scheduleAfter(delay,
                       [this, operation = request.operation] { sendRequest(operation, false); });
}

ClientRequest* RouterClients::find(const std::string& clientId) {
  auto found = byClientId_.find(clientId);
  return found == byClientId_.end() ? nullptr : &requests_.at(found->second);
}

void RouterClients::handleRouterExit(const RouterProcess& process) {
  for (auto& [id, request] : requests_) {
    if (request.finished || request.router != &process) continue;
    if (request.reachedRouter) world_.checker().handleLostResponse(request);
    bool repeatable = kClientRoutes[request.route].kind == RouteKind::kSafe;
    if (repeatable) retry(request, milliseconds(50));
    else finishRequest(request, false);
  }
}

void RouterClients::handleHead(const ForwardResponseHead& command) {
  ClientRequest& request = requests_.at(command.request.value);
  if (request.finished) return;
  if (request.status != 0) world_.checker().fail("two-heads", request.arrival.clientId);
  request.status = command.head->status;
  if (impliesNotRun(request.status)) world_.checker().handleNotRun(request, true);
}

void RouterClients::handleBody(const ForwardResponseBody& command) {
  ClientRequest& request = requests_.at(command.request.value);
  if (request.finished) return;
  if (request.status == 0) world_.checker().fail("body-without-head", request.arrival.clientId);
  if (kClientRoutes[request.route].kind != RouteKind::kStream) {
    request.body += command.bytes;
    return;
  }
  std::istringstream words(command.bytes);
  std::string word, clientId, runName;
  std::uint64_t previousId = 0, id = 0;
  while (words >> word >> clientId >> runName >> previousId >> id) {
    if (clientId != request.arrival.clientId)
      world_.checker().fail("foreign", request.arrival.clientId + " got " + clientId);
    world_.checker().handleStreamEvent(request, previousId, id, runName);
  }
}

void RouterClients::handleFinished(const FinishResponse& command) {
  ClientRequest& request = requests_.at(command.request.value);
  if (request.finished) return;
  if (request.status == 0) world_.checker().fail("end-without-head", request.arrival.clientId);
  bool success = request.status >= 200 && request.status < 300;
  if (command.complete && success) {
    world_.checker().handleCompleteResponse(request);
    return finishRequest(request, true);
  }
  const ClientRoute& route = kClientRoutes[request.route];
  if (success) world_.checker().handleLostResponse(request);
  ClientOperation& operation = operations_[request.operation];
  if (route.resumable && success && request.lastEventId > 0) {
    operation.resumeAfterEventId = request.lastEventId;
    return retry(request, milliseconds(100));
  }
  if (route.kind == RouteKind::kSafe) return retry(request, milliseconds(200));
  finishRequest(request, false);
}

void RouterClients::handleRejected(const RejectRequest& command) {
  ClientRequest& request = requests_.at(command.request.value);
  if (request.finished) return;
  if (request.status != 0) world_.checker().fail("refused-after-head", request.arrival.clientId);
  request.status = command.status;
  bool repeatable = kClientRoutes[request.route].kind == RouteKind::kSafe ||
                    kClientRoutes[request.route].resumable;
  if (impliesNotRun(command.status)) {
    world_.checker().handleNotRun(request, false);
    return retry(request, command.retryAfter.value_or(milliseconds(300)));
  }
  if (command.status == 401 || command.status == 403 || command.status == 404)
    world_.checker().handleDenied(request);
  if (command.status == 502) world_.checker().handleLostResponse(request);
  if (repeatable && command.status >= 500) return retry(request, milliseconds(200));
  finishRequest(request, false);
}

double RouterClients::servedShare(MonotonicTime from, MonotonicTime to) const {
  double total = 0, served = 0;
  for (const auto& operation : operations_) {
    if (!operation.countsAsServed || operation.startedAt < from || operation.startedAt >= to)
      continue;
    total += 1;
    if (operation.served) served += 1;
  }
  return total > 0 ? served / total : 1;
}

}  // namespace peppergate
