#pragma once
// The simulated callers: what they ask, what they hear, and how they judge it.
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

/// One stream as its caller knows it, over all its tries.
struct CallerStream {
  std::uint64_t id = 0;
  std::string host;  // of the front that it was sent to
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
  std::string run;                      // the engine's mark of the run that its pieces came from
  std::vector<std::string> toldNotRun;  // request ids that surely did not run, it was said
  MonotonicTime asked, deadline, first = kForever, ended = kForever;
  CallerEnd end = CallerEnd::kOpen;
  std::string kind;
  int tries = 1;
  bool resumed = false;
};

/// Example: `callers.tick()` sends what is due; `callers.heard(command)` takes answers.
class Callers {
 public:
  explicit Callers(World& world);
  /// Sends the streams that are due by now. Example: each tick of the world.
  void tick();
  void started(const StartAnswer& answer);
  void piece(const SendPiece& piece);
  void ended(const EndAnswer& answer);
  void declined(const DeclineStream& answer);
  /// The front died under its callers. Example: on a kill.
  void lost(const std::string& host);
  /// Changes the traffic by a factor. Example: `callers.traffic(2)`.
  void traffic(double factor) { factor_ = factor; }
  const std::string& flooding() const { return floodTenant_; }
  /// One tenant alone sends so many more streams a second. Example: `flood("tenant1", 100)`.
  void flood(const std::string& tenant, double rate);
  const std::map<std::uint64_t, CallerStream>& streams() const { return streams_; }
  /// The keys as they are given out, by tenant. Example: `keyOf("tenant1")`.
  static std::string keyOf(const std::string& tenant) { return exampleKey(tenant); }

 private:
  void sendOne(const std::string& onlyTenant);
  void send(CallerStream& stream);
  void resume(CallerStream& stream);
  CallerStream* find(StreamId stream);

  World& world_;
  Random random_;
  std::map<std::uint64_t, CallerStream> streams_;
  std::map<StreamId, std::uint64_t> byAsk_;  // each try has an id of its own
  std::uint64_t lastAsk_ = 0;
  double factor_ = 1;
  double due_ = 0, floodDue_ = 0, floodRate_ = 0;
  std::string floodTenant_;
  MonotonicTime last_{};
};

}  // namespace peppergate
