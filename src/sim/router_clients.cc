#include "sim/router_clients.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "sim/router_checker.h"
#include "sim/router_operators.h"

namespace peppergate {
namespace {

constexpr Duration kLookEvery = seconds(1);     // between refreshes of the ready routers
constexpr Duration kProbeEvery = seconds(0.2);  // between requests with the marker tenant's key
constexpr Duration kPatience = seconds(1);      // that a client waits beyond its timeout
constexpr int kLargestTries = 4;
constexpr std::array<std::string_view, 5> kTenants{"first", "second", "third", "walled1",
                                                   "walled2"};

bool promises(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

RouterClients::RouterClients(RouterWorld& world) : world_(world) {}

RouterProcess* RouterClients::chooseRouter(bool sticky) {
  // Some clients keep their connection to a router that is no longer ready.
  std::vector<RouterProcess*> routers;
  for (auto& process : world_.processes()) {
    bool ready = sticky || std::ranges::find(ready_, process.get()) != ready_.end();
    // A kept connection reaches a router that accepts no new connections.
    bool open = process->alive && (sticky || !world_.closed(*process));
    if (process->role == Role::kFront && open && ready) routers.push_back(process.get());
  }
  return routers.empty() ? nullptr : routers[world_.random().below(routers.size())];
}

void RouterClients::tick() {
  MonotonicTime now = world_.now();
  if (now >= nextLook_) {
    nextLook_ = now + kLookEvery;
    ready_.clear();
    for (auto& process : world_.processes())
      if (process->role == Role::kFront && process->alive && !process->frozen &&
          process->router().ready(process->local(now)))
        ready_.push_back(process.get());
  }
  bool traffic = now >= MonotonicTime{} && now < MonotonicTime{} + world_.scenario().run;
  if (traffic) {
    owed_ += world_.scenario().requests * factor_ * 0.01 * 2 * world_.random().fraction();
    for (; owed_ >= 1; owed_ -= 1) {
      auto tenant = std::string(kTenants[world_.random().below(kTenants.size())]);
      std::string key = "key-" + tenant + "-" + (world_.random().below(4) == 0 ? "1" : "2");
      wish(key, world_.operators().withdrawnAt(key) == kForever);
    }
    if (now >= nextProbe_) {
      nextProbe_ = now + kProbeEvery;
      wish("key-mark", false);
    }
  }
  for (auto entry = requests_.begin(); entry != requests_.end() && entry->second.giveUp <= now;
       ++entry) {
    // Requests are ordered by id and so by time.
    ClientRequest& request = entry->second;
    if (request.over) continue;
    bool excused = !request.router->alive || request.router->frozen ||
                   now - request.router->disturbed < kClientTimeout + kPatience;
    if (!excused) world_.checker().fail("no-answer", request.asked.clientId);
    if (request.router->life == request.routerLife)
      world_.deliver(*request.router, RequestGone{request.asked.request});
    end(request, false);
  }
}

void RouterClients::wish(const std::string& key, bool counts) {
  Random& random = world_.random();
  ClientWish wish;
  wish.at = world_.now();
  wish.until = wish.at + kClientTimeout;
  wish.key = key;
  wish.counts = counts;
  double point = random.fraction();
  for (; point >= kClientRoutes[wish.route].share && wish.route + 1 < kClientRoutes.size();
       ++wish.route)
    point -= kClientRoutes[wish.route].share;
  if (key == "key-mark" && kClientRoutes[wish.route].open) wish.route = 0;
  wish.model = {random.below(3) == 0 ? "brief" : "deep"};
  // Skewed popularity: a few documents appear in most prompts.
  auto document = static_cast<std::uint64_t>(std::pow(60.0, random.fraction()));
  wish.parts = {{"common", 800},
                {"document-" + std::to_string(document),
                 2000 + static_cast<std::int64_t>(document % 7) * 500},
                {"own-" + std::to_string(++lastPart_), 50}};
  wish.tokensOut = 20 + static_cast<std::int64_t>(random.below(150));
  wishes_.push_back(std::move(wish));
  ask(wishes_.size() - 1, random.below(10) == 0);
}

void RouterClients::ask(std::size_t index, bool sticky) {
  ClientWish& wish = wishes_[index];
  MonotonicTime now = world_.now();
  if (wish.until - now < milliseconds(200) || wish.tries >= kLargestTries) return;
  RouterProcess* router = chooseRouter(sticky);
  if (router == nullptr) {
    world_.after(milliseconds(300), [this, index] { ask(index, false); });
    return;
  }
  ++wish.tries;
  const ClientRoute& route = kClientRoutes[wish.route];
  ClientRequest request;
  RequestArrived& asked = request.asked;
  asked.request = {++last_};
  asked.clientId = "client-" + std::to_string(last_);
  asked.host = wish.model.value == "brief" ? "small.example" : "large.example";
  asked.path = std::string(route.prefix) + "x";
  if (!route.open) asked.key = wish.key;
  asked.timeLeft = wish.until - now;
  asked.resumeAfter = wish.has;
  asked.model = wish.model;
  for (const auto& part : wish.parts) asked.tokensIn += part.tokens;
  asked.tokensOut = wish.tokensOut;
  asked.parts = wish.parts;
  asked.wire = std::make_shared<WireRequest>();
  request.wish = index;
  request.route = wish.route;
  request.lastEvent = wish.has.value_or(0);
  request.router = router;
  request.routerLife = router->life;
  request.sent = now;
  request.giveUp = now + kClientTimeout + kPatience;
  byClientId_[asked.clientId] = last_;
  world_.checker().sent(request);
  requests_.emplace(last_, std::move(request));
  world_.after(world_.latency(), [this, id = last_] {
    ClientRequest& sent = requests_.at(id);
    if (sent.over) return;
    if (sent.router->life != sent.routerLife) return again(sent, milliseconds(50));
    sent.arrived = true;
    world_.deliver(*sent.router, sent.asked);
    bool slow = kClientRoutes[sent.route].kind == RouteKind::kStream && id % 40 == 0;
    for (bool begins : {true, false})  // a slow reader: backpressure begins, then ends
      if (slow)
        world_.after(milliseconds(begins ? 150 : 1200), [this, id, begins] {
          ClientRequest& reader = requests_.at(id);
          if (!reader.over && reader.router->life == reader.routerLife)
            world_.deliver(*reader.router, ClientSlow{reader.asked.request, begins});
        });
  });
}

void RouterClients::end(ClientRequest& request, bool served) {
  request.over = true;
  ClientWish& wish = wishes_[request.wish];
  if (served && world_.now() <= wish.until + milliseconds(100)) wish.served = true;
}

void RouterClients::again(ClientRequest& request, Duration wait) {
  end(request, false);
  world_.after(wait, [this, wish = request.wish] { ask(wish, false); });
}

ClientRequest* RouterClients::find(const std::string& clientId) {
  auto found = byClientId_.find(clientId);
  return found == byClientId_.end() ? nullptr : &requests_.at(found->second);
}

void RouterClients::lost(const RouterProcess& process) {
  for (auto& [id, request] : requests_) {
    if (request.over || request.router != &process) continue;
    if (request.arrived) world_.checker().ended(request);
    bool mayRepeat = kClientRoutes[request.route].kind == RouteKind::kSafe;
    if (mayRepeat) again(request, milliseconds(50));
    else end(request, false);
  }
}

void RouterClients::head(const AnswerHead& command) {
  ClientRequest& request = requests_.at(command.request.value);
  if (request.over) return;
  if (request.status != 0) world_.checker().fail("two-heads", request.asked.clientId);
  request.status = command.head->status;
  if (promises(request.status)) world_.checker().promised(request, true);
}

void RouterClients::body(const AnswerBody& command) {
  ClientRequest& request = requests_.at(command.request.value);
  if (request.over) return;
  if (request.status == 0) world_.checker().fail("body-without-head", request.asked.clientId);
  if (kClientRoutes[request.route].kind != RouteKind::kStream) {
    request.body += command.bytes;
    return;
  }
  std::istringstream words(command.bytes);
  std::string word, clientId, run;
  std::uint64_t before = 0, id = 0;
  while (words >> word >> clientId >> run >> before >> id) {
    if (clientId != request.asked.clientId)
      world_.checker().fail("foreign", request.asked.clientId + " got " + clientId);
    world_.checker().event(request, before, id, run);
  }
}

void RouterClients::done(const AnswerDone& command) {
  ClientRequest& request = requests_.at(command.request.value);
  if (request.over) return;
  if (request.status == 0) world_.checker().fail("end-without-head", request.asked.clientId);
  bool good = request.status >= 200 && request.status < 300;
  if (command.whole && good) {
    world_.checker().whole(request);
    return end(request, true);
  }
  const ClientRoute& route = kClientRoutes[request.route];
  if (good) world_.checker().ended(request);
  ClientWish& wish = wishes_[request.wish];
  if (route.resumable && good && request.lastEvent > 0) {
    wish.has = request.lastEvent;
    return again(request, milliseconds(100));
  }
  if (route.kind == RouteKind::kSafe) return again(request, milliseconds(200));
  end(request, false);
}

void RouterClients::refused(const RefuseRequest& command) {
  ClientRequest& request = requests_.at(command.request.value);
  if (request.over) return;
  if (request.status != 0) world_.checker().fail("refused-after-head", request.asked.clientId);
  request.status = command.status;
  bool safe = kClientRoutes[request.route].kind == RouteKind::kSafe ||
              kClientRoutes[request.route].resumable;
  if (promises(command.status)) {
    world_.checker().promised(request, false);
    return again(request, command.retryAfter.value_or(milliseconds(300)));
  }
  if (command.status == 401 || command.status == 403 || command.status == 404)
    world_.checker().denied(request);
  if (command.status == 502) world_.checker().ended(request);
  if (safe && command.status >= 500) return again(request, milliseconds(200));
  end(request, false);
}

double RouterClients::served(MonotonicTime from, MonotonicTime to) const {
  double all = 0, good = 0;
  for (const auto& wish : wishes_) {
    if (!wish.counts || wish.at < from || wish.at >= to) continue;
    all += 1;
    if (wish.served) good += 1;
  }
  return all > 0 ? good / all : 1;
}

}  // namespace peppergate
