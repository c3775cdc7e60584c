#pragma once
// Checks the rules of a simulated fleet of routers against what clients, engines and operators
// observe.
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "sim/router_world.h"

namespace peppergate {

struct ClientRequest;

/// Receives events of the simulation and records broken rules and unmet expectations.
class RouterChecker {
 public:
  explicit RouterChecker(RouterWorld& world) : world_(world) {}
  /// Records that a rule was broken; only the first detail of each rule is kept.
  void fail(const std::string& rule, const std::string& detail);
  /// A client sent a request; the retry budget is a share of these.
  void handleRequestSent(const ClientRequest& request);
  /// A router wrote an attempt to an engine.
  void handleAttemptWritten(const RouterAttempt& attempt, ClientRequest& request);
  /// An engine accepted an attempt.
  void handleAttemptAccepted(const RouterAttempt& attempt, ClientRequest& request);
  /// A client received a stream event, which names the id of the previous event of its run.
  void handleStreamEvent(ClientRequest& request, std::uint64_t previousId, std::uint64_t id,
                         const std::string& runName);
  /// A client received a response that was marked complete.
  void handleCompleteResponse(ClientRequest& request);
  /// A response implied that the request has not run and never will. The router's own responses
  /// must be right; an engine's error that it forwards is exempt for repeatable requests.
  void handleNotRun(ClientRequest& request, bool fromEngine);
  /// A router rejected a request with a 401, 403 or 404 of its own.
  void handleDenied(const ClientRequest& request);
  /// A response was truncated, failed with 502, or lost its connection.
  void handleLostResponse(const ClientRequest& request);
  /// Checks what can be checked only at the end of the run.
  void finish();
  std::vector<std::string> failures() const;
  const std::vector<std::pair<std::string, double>>& figures() const { return figures_; }

 private:
  struct Violation {
    std::size_t count = 0;
    std::string firstDetail;
  };
  void checkRetryBudget(const ServiceName& service);
  void checkExpectations();
  RouterWorld& world_;
  std::map<std::string, Violation> violations_;
  // When attempts were made, and whether each is a retry.
  std::map<ServiceName, std::deque<std::pair<MonotonicTime, bool>>> attempts_;
  std::vector<std::string> unmetExpectations_;
  std::vector<std::pair<std::string, double>> figures_;
  struct ConfigUse {
    std::uint64_t incarnation = 0, newestVersion = 0;
    MonotonicTime since{};
  };
  std::map<const RouterProcess*, ConfigUse> configUses_;  // the newest configuration used
  std::size_t acceptedAttempts_ = 0, retries_ = 0;
  std::uint64_t largestBurst_ = 0;
};

}  // namespace peppergate
