#pragma once
// Load generator: sends a deployment's mix of requests to real routers and checks every answer.
#include <map>
#include <set>

#include "core/random.h"
#include "io/web_client.h"
#include "sim/callers.h"
#include "wire/json_fields.h"

namespace peppergate {

struct RequesterConfig {
  std::string profile = "hutline";
  double rate = 50;
  Duration duration = seconds(10);
  std::vector<Address> routers;
  std::uint64_t seed = 1;
  std::uint64_t documentCount = 4;
  std::set<std::string> withdrawnTenants;  // tenants whose key was withdrawn
};

/// Sends requests at a constant rate and reports outcomes, latencies and violated guarantees.
class RequesterProcess {
 public:
  RequesterProcess(EventLoop& loop, RequesterConfig config);
  /// Starts to send; calls `done` with the report after the last answer.
  void start(std::function<void(const Json&)> onDone);

 private:
  struct PendingRequest {
    std::uint64_t id = 0;
    std::string tenant;
    std::vector<std::string> texts;
    bool isUnary = false, resumable = false, resumed = false;
    std::uint64_t pieceCount = 8, nextPiece = 0, weights = 0;
    MonotonicTime startTime, deadline, firstEventTime = kForever;
    std::string body;
    std::string runId;  // id of the engine's run that produced the pieces
  };
  struct Stream;
  friend struct RequesterCallbacks;
  void tick();
  void sendNewRequest();
  void send(const std::shared_ptr<PendingRequest>& pending);
  void onResponseHead(Stream& stream, int status, const Headers& headers);
  void onEvent(Stream& stream, const ServerSentEventParser::ServerSentEvent& event);
  void onResponseEnd(const std::shared_ptr<Stream>& stream, int status, const std::string& body);
  void recordOutcome(const std::string& outcome);
  void recordViolation(const std::string& kind) { ++violations_[kind]; }
  Json makeReport();

  EventLoop& loop_;
  RequesterConfig config_;
  Random random_;
  MonotonicTime startTime_, lastTick_;
  double dueRequests_ = 0;
  std::uint64_t sentRequests_ = 0, openRequests_ = 0;
  std::map<std::string, std::uint64_t> outcomes_, violations_;
  std::vector<double> firstEventSeconds_;
  std::vector<std::string> reportedNotRun_;
  std::function<void(const Json&)> onDone_;
  std::map<std::uint64_t, std::shared_ptr<Stream>> streams_;
  std::uint64_t lastStreamId_ = 0;
  bool finished_ = false;
};

}  // namespace peppergate
