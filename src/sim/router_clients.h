#pragma once
// Clients of a simulated fleet of routers: they send requests, retry them and check the responses.
#include <map>
#include <string>
#include <vector>

#include "sim/router_world.h"

namespace peppergate {

/// One operation of a client; it may take several requests.
struct ClientOperation {
  MonotonicTime startedAt, deadline;
  std::size_t route = 0;  // in kClientRoutes
  std::string key;
  ModelName model;
  std::vector<PromptBlock> promptBlocks;
  std::int64_t tokensOut = 0;
  int attempts = 0;
  bool served = false, countsAsServed = true;
  std::optional<std::uint64_t> resumeAfterEventId;  // id of the last event of a truncated stream
};

/// One request of a client and its outcome.
struct ClientRequest {
  RequestArrived arrival;
  std::size_t operation = 0, route = 0;
  RouterProcess* router = nullptr;
  std::uint64_t routerIncarnation = 0;
  MonotonicTime sentAt, givesUpAt;
  bool reachedRouter = false, finished = false;
  int status = 0;               // the response's status; 0: none yet
  bool declaredNotRun = false;  // the response implied that the request has not run
  std::string body;             // of a response that is no stream
  std::string lastRunName;      // the engine's run that the last event came from
  std::uint64_t lastEventId = 0;
  int acceptedAttempts = 0, writtenAttempts = 0;  // accepted by engines, written by routers
  bool engineFailed = false;                      // the last attempt failed because of its engine
  std::weak_ptr<RouterAttempt> attempt;           // the last one
};

/// A route that clients use, with its share of the traffic; an open route needs no key.
struct ClientRoute {
  std::string_view name, prefix;
  RouteKind kind;
  bool resumable, open;
  double trafficShare;
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
  double servedShare(MonotonicTime from, MonotonicTime to) const;
  /// Multiplies the scenario's request rate.
  void setTrafficFactor(double factor) { trafficFactor_ = factor; }
  /// A router's process ended, which closes its clients' connections.
  void handleRouterExit(const RouterProcess& process);
  ClientRequest* find(const std::string& clientId);
  const std::map<std::uint64_t, ClientRequest>& requests() const { return requests_; }

  // Responses of routers.
  void handleHead(const ForwardResponseHead& command);
  void handleBody(const ForwardResponseBody& command);
  void handleFinished(const FinishResponse& command);
  void handleRejected(const RejectRequest& command);

 private:
  void startOperation(const std::string& key, bool countsAsServed);
  void sendRequest(std::size_t operation, bool keepsConnection);
  void finishRequest(ClientRequest& request, bool served);
  void retry(ClientRequest& request, Duration delay);
  RouterProcess* chooseRouter(bool keepsConnection);

  RouterWorld& world_;
  std::vector<ClientOperation> operations_;
  std::map<std::uint64_t, ClientRequest> requests_;
  std::map<std::string, std::uint64_t> byClientId_;
  std::vector<RouterProcess*> readyRouters_;
  MonotonicTime nextReadyCheck_{}, nextProbe_{};
  double trafficFactor_ = 1, pendingOperations_ = 0;
  std::uint64_t lastRequestId_ = 0, lastBlockId_ = 0;
};

}  // namespace peppergate
