#pragma once
// Simulated clients of the streaming interface: their requests and checks of the answers.
#include <map>
#include <string>
#include <vector>

#include "core/example_setup.h"
#include "core/outbox.h"
#include "core/random.h"

namespace peppergate {

class World;
struct SimProcess;

enum class CallerEnd : std::uint8_t { kOpen, kComplete, kTruncated, kDeclined, kLost };

/// One stream as its client sees it, over all its attempts.
struct CallerStream {
  std::uint64_t id = 0;
  std::string host;  // of the router that it was last sent to
  std::string firstHost;
  std::string key;
  std::string tenant;
  std::vector<std::string> promptTexts;
  bool unary = false;
  bool resumable = false;
  std::uint64_t pieces = 8;
  std::uint64_t nextPiece = 0;
  std::uint64_t weights = 0;
  std::string requestId;
  std::string runId;                        // identifier of the engine's run that sent its pieces
  std::vector<std::string> reportedNotRun;  // request ids that were reported as not run
  MonotonicTime requestedAt, deadline, firstEventAt = kForever, endedAt = kForever;
  CallerEnd end = CallerEnd::kOpen;
  std::string endKind;
  int attempts = 1;
  bool resumed = false;
};

/// Generates the load of a scenario and checks each answer.
class Callers {
 public:
  explicit Callers(World& world);
  /// Sends the streams that are due. Called every tick of the world.
  void tick();
  void handleStart(const StartStreamAnswer& answer);
  void handlePiece(const SendPiece& piece);
  void handleEnd(const EndStreamAnswer& answer);
  void handleDecline(const DeclineStream& answer);
  /// The process of a router ended: its open streams break.
  void handleRouterExit(const std::string& host);
  /// Multiplies the request rate by a factor.
  void setTrafficFactor(double factor) { trafficFactor_ = factor; }
  const std::string& floodingTenant() const { return floodTenant_; }
  /// Adds a number of streams per second of one tenant.
  void flood(const std::string& tenant, double rate);
  const std::map<std::uint64_t, CallerStream>& streams() const { return streams_; }
  /// The API key of a tenant.
  static std::string keyOf(const std::string& tenant) { return exampleKey(tenant); }

 private:
  void startStream(const std::string& onlyTenant);
  void send(CallerStream& stream);
  void resume(CallerStream& stream);
  CallerStream* find(StreamId stream);

  World& world_;
  Random random_;
  std::map<std::uint64_t, CallerStream> streams_;
  std::map<StreamId, std::uint64_t> streamIdsByAttempt_;  // each attempt has an id of its own
  std::uint64_t lastAttemptId_ = 0;
  double trafficFactor_ = 1;
  double dueStreams_ = 0, dueFloodStreams_ = 0, floodRate_ = 0;
  std::string floodTenant_;
  MonotonicTime lastTickAt_{};
};

}  // namespace peppergate
