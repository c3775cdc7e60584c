#pragma once
// Clients of a simulated fleet of routers: they send requests, retry them and check the responses.
#include <map>
#include <string>
#include <vector>

#include "sim/router_world.h"

namespace peppergate {

/// One operation of a client; it may take several requests.
struct ClientWish {
  MonotonicTime at, until;
  std::size_t route = 0;  // in kClientRoutes
  std::string key;
  ModelName model;
  std::vector<PartSize> parts;
  std::int64_t tokensOut = 0;
  int tries = 0;
  bool served = false, counts = true;
  std::optional<std::uint64_t> has;  // id of the last event of a truncated stream
};

/// One request of a client and its outcome.
struct ClientRequest {
  RequestArrived asked;
  std::size_t wish = 0, route = 0;
  RouterProcess* router = nullptr;
  std::uint64_t routerLife = 0;
  MonotonicTime sent, giveUp;
  bool arrived = false, over = false;
  int status = 0;        // the response's status; 0: none yet
  bool refused = false;  // the response implied that the request has not run
  std::string body;      // of a response that is no stream
  std::string lastRun;   // the engine's run that the last event came from
  std::uint64_t lastEvent = 0;
  int takes = 0, writes = 0;         // accepted by engines, written by routers
  bool engineBroke = false;          // the last attempt failed because of its engine
  std::weak_ptr<RouterRun> attempt;  // the last one
};

/// A route that clients use, with its share of the traffic; an open route needs no key.
struct ClientRoute {
  std::string_view name, prefix;
  RouteKind kind;
  bool resumable, open;
  double share;
};
inline constexpr std::array<ClientRoute, 5> kClientRoutes{{
    {"safe", "/safe/", RouteKind::kSafe, false, false, 0.25},
    {"unsafe", "/unsafe/", RouteKind::kUnsafe, false, false, 0.2},
    {"stream", "/stream/", RouteKind::kStream, false, false, 0.2},
    {"resume", "/resume/", RouteKind::kStream, true, false, 0.25},
    {"open", "/open/", RouteKind::kSafe, false, true, 0.1},
}};
inline constexpr Duration kClientTimeout = seconds(8);

/// All clients. `tick` is called every 10 ms; the other calls pass on responses of routers.
class RouterClients {
 public:
  explicit RouterClients(RouterWorld& world);
  void tick();
  /// The share of operations begun in [from, to) that were served in time; 1 if there were none.
  double served(MonotonicTime from, MonotonicTime to) const;
  /// Multiplies the scenario's request rate.
  void traffic(double factor) { factor_ = factor; }
  /// A router's process ended, which closes its clients' connections.
  void lost(const RouterProcess& process);
  ClientRequest* find(const std::string& clientId);
  const std::map<std::uint64_t, ClientRequest>& requests() const { return requests_; }

  // Responses of routers.
  void head(const AnswerHead& command);
  void body(const AnswerBody& command);
  void done(const AnswerDone& command);
  void refused(const RefuseRequest& command);

 private:
  void wish(const std::string& key, bool counts);
  void ask(std::size_t wish, bool sticky);
  void end(ClientRequest& request, bool served);
  void again(ClientRequest& request, Duration wait);
  RouterProcess* chooseRouter(bool sticky);

  RouterWorld& world_;
  std::vector<ClientWish> wishes_;
  std::map<std::uint64_t, ClientRequest> requests_;
  std::map<std::string, std::uint64_t> byClientId_;
  std::vector<RouterProcess*> ready_;
  MonotonicTime nextLook_{}, nextProbe_{};
  double factor_ = 1, owed_ = 0;
  std::uint64_t last_ = 0, lastPart_ = 0;
};

}  // namespace peppergate
