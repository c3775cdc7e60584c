#pragma once
// A model of an inference engine, used by the simulator and by the stand-in process. It follows
// orders, performs only the checks of a real engine and records each violation of the protocol.
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/messages.h"
#include "core/random.h"
#include "wire/json_fields.h"

namespace peppergate {

/// One part of a prompt as received by an engine.
struct AskedPart {
  PartName name;
  std::size_t characters = 0;
  bool shared = false;
};

/// A parsed generation request.
struct RunAsk {
  std::string requestId;
  int shot = 1;
  std::string tenant;
  Wall wall;
  WeightsVersion weights;
  EngineLife life;
  bool anyLife = false;  // If-Match: *
  bool resumable = false;
  Piece from;
  std::int64_t pieces = 8;
  std::vector<AskedPart> parts;
  std::string promptDigest;
  Address source;  // X-Collect-From
  double rate = 0;
  std::vector<PartName> collect;
  Address deposit;           // X-Deposit-At
  bool withoutList = false;  // the sender had no path to the platform's list
  std::string run;           // unique per run; part of the text of each piece
};

/// Parses the headers (names in lower case) and the body of a call of /run.
RunAsk parseRun(const std::map<std::string, std::string>& headers, const std::string& body);

/// A cached prefix block with the cache domain and weights that really produced it.
struct RealPart {
  KeptPart told;  // as labelled by the request
  Wall wall;      // of the request that computed it
  WeightsVersion madeUnder;
};

struct EngineOptions {
  std::int64_t places = 32;
  std::size_t cacheParts = 400;
  Duration perCharacter{30};
  Duration start = milliseconds(20);
  Duration pieceEvery = milliseconds(60);
  Duration loadTime = seconds(1.5);
  Duration drainGrace = seconds(3);
  Duration weightsGrace = seconds(20);
  Duration wallGrace = seconds(2.5);  // 2 s, and half a second for an attempt in flight
};

/// One engine: `begin` admits a request, `prefill` computes its prompt, `pieceText` gives its
/// answer and `end` closes it.
class EngineModel {
 public:
  struct Verdict {
    int status = 200;
    std::string reason;
  };
  EngineModel(EngineOptions options, EngineId id, WeightsVersion weights, std::uint64_t seed);

  /// Starts a request. With any status but 200 it did not run.
  Verdict begin(const RunAsk& ask, MonotonicTime now);
  /// The blocks to fetch that aren't cached here yet.
  std::vector<PartName> lacking(const RunAsk& ask) const;
  /// Caches a block that came from a peer or the store.
  void collected(const RealPart& part);
  /// Uses the cached prefix and recomputes the rest. Returns the time it takes and appends the
  /// newly cached blocks to the second argument.
  Duration prefill(const RunAsk& ask, std::vector<RealPart>& made);
  /// The text of one piece of the answer.
  std::string pieceText(const RunAsk& ask, Piece piece) const;
  /// Ends a run, completed or not.
  void end(MonotonicTime now);
  /// Advances time: a load of new weights goes on once the last run ended. Called every 50 ms.
  void tick(MonotonicTime now);
  /// Handles an order to drain or to load weights.
  Verdict order(const Json& body, MonotonicTime now);
  /// The platform listed the engine as draining, or no longer does.
  void marked(bool draining, MonotonicTime now);
  /// A new weights version was acknowledged to the operators.
  void named(WeightsVersion version, MonotonicTime now);
  /// A tenant's newest cache domain was acknowledged to the operators.
  void walled(const std::string& tenant, const Wall& wall, MonotonicTime now);
  /// A new identifier, unique over all runs.
  std::string freshRun() { return id_.value + "." + std::to_string(++runs_); }
  /// Restarts the process with an empty cache and the given weights.
  void restart(WeightsVersion weights, MonotonicTime now);

  Json health() const;
  Json kept() const;
  /// A cached block as a peer would fetch it; null if it isn't cached.
  const RealPart* part(const PartName& name) const;
  /// Counts of protocol violations by kind.
  const std::map<std::string, std::uint64_t>& violations() const { return violations_; }
  /// Ids of the started requests that must not run twice.
  const std::set<std::string>& begun() const { return begun_; }
  /// Ids of all started requests, to be compared with what callers were told.
  const std::set<std::string>& began() const { return began_; }
  std::uint64_t firstShots() const { return firstShots_.size(); }
  std::uint64_t secondShots() const { return secondShots_.size(); }
  /// When each first and second attempt started, for sliding windows over the fleet.
  const std::vector<MonotonicTime>& firstTimes() const { return firstShots_; }
  const std::vector<MonotonicTime>& secondTimes() const { return secondShots_; }
  /// The longest time from an acknowledged weights version to a start on older ones, and from the
  /// draining mark to a start on this engine.
  Duration latestOldStart() const { return latestOldStart_; }
  Duration latestDrainedStart() const { return latestDrainedStart_; }
  /// The longest time from the acknowledgement of a tenant's cache domain to a first attempt under
  /// an older one.
  Duration latestOldWall() const { return latestOldWall_; }
  const EngineId& id() const { return id_; }
  WeightsVersion weights() const { return weights_; }
  std::int64_t running() const { return running_; }
  const EngineOptions& options() const { return options_; }

 private:
  void violation(const std::string& kind);
  void keep(RealPart part);

  EngineOptions options_;
  EngineId id_;
  Random random_;
  EngineLife life_;
  WeightsVersion weights_, loading_;
  MonotonicTime loadEnds_ = kForever;
  bool isLoading_ = false;
  bool drained_ = false;
  std::int64_t running_ = 0;
  std::uint64_t revision_ = 1;
  std::map<PartName, RealPart> kept_;
  std::vector<PartName> keptOrder_;
  std::map<std::string, std::uint64_t> violations_;
  std::set<std::string> begun_, began_;
  std::vector<MonotonicTime> firstShots_, secondShots_;
  struct TenantWalls {
    Wall newest;
    std::set<Wall> former;
    MonotonicTime since;
  };
  std::map<std::string, TenantWalls> walls_;
  std::uint64_t runs_ = 0;
  Duration latestOldWall_;
  std::uint64_t lastGiver_ = 0;
  MonotonicTime lastOrder_ = kNever;
  MonotonicTime markedAt_ = kForever;
  std::map<WeightsVersion, MonotonicTime> named_;
  Duration latestOldStart_, latestDrainedStart_;
};

/// The expected text of a piece of a correct answer; checkers compare with it.
std::string rightPiece(const std::string& promptDigest, WeightsVersion weights, Piece piece);
/// The run identifier in a piece's text: "e1.7" of "w1-ab-0#e1.7".
std::string_view runOf(std::string_view pieceText);
/// The digest of a prompt's parts.
std::string promptDigest(const std::vector<std::string>& texts);

}  // namespace peppergate
