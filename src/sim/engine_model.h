#pragma once
// A model engine as the stand-in plays it, in the simulator and as a process alike. It does what
// it is told, checks nothing that real engines don't check, and writes down what was wrong.
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/messages.h"
#include "core/random.h"
#include "wire/json_fields.h"

namespace peppergate {

/// One part of a prompt as an engine gets it.
struct AskedPart {
  PartName name;
  std::size_t characters = 0;
  bool shared = false;
};

/// A request as it reached the engine.
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
  bool withoutList = false;  // no way to the platform's list led to the asker lately
  std::string run;           // the engine's own mark of this run, in each piece
};

/// Reads the headers (in lower case) and the body of a /run. Example: `parseRun(headers, body)`.
RunAsk parseRun(const std::map<std::string, std::string>& headers, const std::string& body);

/// A kept part and under what it was really made.
struct RealPart {
  KeptPart told;  // as the requests labelled it
  Wall wall;      // of the request that made it
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
  Duration wallGrace = seconds(2.5);  // 2 s, and half a second for a shot on its way
};

/// Example: `if (engine.begin(ask, now).status == 200) { engine.prefill(ask, now); ... }`
class EngineModel {
 public:
  struct Verdict {
    int status = 200;
    std::string reason;
  };
  EngineModel(EngineOptions options, EngineId id, WeightsVersion weights, std::uint64_t seed);

  /// Whether a request starts; if not, it did not run. Example: see the class.
  Verdict begin(const RunAsk& ask, MonotonicTime now);
  /// Which of the parts to collect are not kept here yet. Example: the parts to fetch.
  std::vector<PartName> lacking(const RunAsk& ask) const;
  /// A part came from a peer or the store. Example: `engine.collected(part)`.
  void collected(const RealPart& part);
  /// Reads anew what is lacking, uses what is kept, and says how long that takes.
  Duration prefill(const RunAsk& ask, std::vector<RealPart>& made);
  /// One piece of the answer. Example: `pieceText(ask, Piece{3})`.
  std::string pieceText(const RunAsk& ask, Piece piece) const;
  /// A run ended, one way or another. Example: `engine.end(now)`.
  void end(MonotonicTime now);
  /// Lets time pass: a load goes on once the last run ended. Example: each 50 ms.
  void tick(MonotonicTime now);
  /// An order from a watcher. Example: `engine.order(Json::parse(body), now)`.
  Verdict order(const Json& body, MonotonicTime now);
  /// The platform listed it as draining, or took that back. Example: `marked(true, now)`.
  void marked(bool draining, MonotonicTime now);
  /// New weights were named to the operators. Example: `named({3}, now)`.
  void named(WeightsVersion version, MonotonicTime now);
  /// A tenant's newest wall was acknowledged to the operators. Example: `walled("t", {"w"}, now)`.
  void walled(const std::string& tenant, const Wall& wall, MonotonicTime now);
  /// A mark that no other run has. Example: `ask.run = engine.freshRun()`.
  std::string freshRun() { return id_.value + "." + std::to_string(++runs_); }
  /// The process starts again, empty, under the given weights. Example: after a crash.
  void restart(WeightsVersion weights, MonotonicTime now);

  Json health() const;
  Json kept() const;
  /// A part as a peer would collect it; nothing if it isn't kept. Example: `part(name)`.
  const RealPart* part(const PartName& name) const;
  /// What went wrong here, by kind. Example: `violations().at("two-givers")`.
  const std::map<std::string, std::uint64_t>& violations() const { return violations_; }
  /// Ids of the requests that began here and may not run twice. Example: for the verdict.
  const std::set<std::string>& begun() const { return begun_; }
  /// All ids that began here. Example: to compare with what callers were told.
  const std::set<std::string>& began() const { return began_; }
  std::uint64_t firstShots() const { return firstShots_.size(); }
  std::uint64_t secondShots() const { return secondShots_.size(); }
  /// When each first and second shot began here. Example: for sliding windows over the fleet.
  const std::vector<MonotonicTime>& firstTimes() const { return firstShots_; }
  const std::vector<MonotonicTime>& secondTimes() const { return secondShots_; }
  /// The latest start on outdated weights, and on a drained engine, since it was named or marked.
  Duration latestOldStart() const { return latestOldStart_; }
  Duration latestDrainedStart() const { return latestDrainedStart_; }
  /// The latest first shot under an older wall of its tenant, since the yes to the newer.
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

/// The text that a whole, right answer has at a piece. Example: checkers compare with it.
std::string rightPiece(const std::string& promptDigest, WeightsVersion weights, Piece piece);
/// The run's mark in a piece: pieces of two runs differ in it. Example: `runOf("w1-ab-0#e1.7")`.
std::string_view runOf(std::string_view pieceText);
/// The digest of a prompt's text. Example: `promptDigest({"rulebook", "question"})`.
std::string promptDigest(const std::vector<std::string>& texts);

}  // namespace peppergate
