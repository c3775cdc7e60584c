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

enum class CallerEnd : std::uint8_t { kOpen, kWhole, kCut, kDeclined, kLost };

/// One stream as its client sees it, over all its attempts.
struct CallerStream {
  std::uint64_t id = 0;
  std::string host;  // of the router that it was last sent to
  std::string firstHost;
  std::string key;
  std::string tenant;
  std::vector<std::string> texts;
  bool unary = false;
  bool resumable = false;
  std::uint64_t pieces = 8;
  std::uint64_t next = 0;
  std::uint64_t weights = 0;
  std::string requestId;
  std::string run;                      // identifier of the engine's run that sent its pieces
  std::vector<std::string> toldNotRun;  // request ids that were reported as not run
  MonotonicTime asked, deadline, first = kForever, ended = kForever;
  CallerEnd end = CallerEnd::kOpen;
  std::string kind;
  int tries = 1;
  bool resumed = false;
};

/// Generates the load of a scenario and checks each answer.
class Callers {
 public:
  explicit Callers(World& world);
  /// Sends the streams that are due. Called every tick of the world.
  void tick();
  void started(const StartAnswer& answer);
  void piece(const SendPiece& piece);
  void ended(const EndAnswer& answer);
  void declined(const DeclineStream& answer);
  /// The process of a router ended: its open streams break.
  void lost(const std::string& host);
  /// Multiplies the request rate by a factor.
  void traffic(double factor) { factor_ = factor; }
  const std::string& flooding() const { return floodTenant_; }
  /// Adds a number of streams per second of one tenant.
  void flood(const std::string& tenant, double rate);
  const std::map<std::uint64_t, CallerStream>& streams() const { return streams_; }
  /// The API key of a tenant.
  static std::string keyOf(const std::string& tenant) { return exampleKey(tenant); }

 private:
  void sendOne(const std::string& onlyTenant);
  void send(CallerStream& stream);
  void resume(CallerStream& stream);
  CallerStream* find(StreamId stream);

  World& world_;
  Random random_;
  std::map<std::uint64_t, CallerStream> streams_;
  std::map<StreamId, std::uint64_t> byAsk_;  // each attempt has an id of its own
  std::uint64_t lastAsk_ = 0;
  double factor_ = 1;
  double due_ = 0, floodDue_ = 0, floodRate_ = 0;
  std::string floodTenant_;
  MonotonicTime last_{};
};

}  // namespace peppergate
