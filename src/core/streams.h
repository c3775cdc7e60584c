#pragma once
// Streams and their shots: what was promised to a caller, and what may have reached an engine.
#include <array>
#include <map>
#include <optional>
#include <vector>

#include "core/budget.h"
#include "core/digest.h"
#include "core/engine_watch.h"
#include "core/fetch_desk.h"
#include "core/gate.h"

namespace peppergate {

/// One part of a prompt. Example: a hut rulebook, shared by many streams.
struct PromptPart {
  std::string text;
  bool shared = false;
};

/// A caller's stream once its request was read and found good.
struct Stream {
  StreamId id;
  std::string requestId;
  TenantId tenant;
  KeyDigest key;
  Tenant options;
  Service service = Service::kModel;
  MonotonicTime deadline;
  std::vector<PromptPart> parts;
  std::int64_t pieces = 8;
  std::int64_t topRung = 0;
  bool resumable = false;
  bool unary = false;
  std::optional<WeightsVersion> bound;  // weights that a resumed stream has to keep
  // As it runs:
  Piece next;               // the next piece that the caller wants
  bool started = false;     // the caller got its head
  bool mayHaveRun = false;  // a shot left "not written"
  int shots = 0;
  std::optional<ShotId> shot;
  EngineId engine;
  WeightsVersion weights;
  MonotonicTime sent;
  bool firstCame = false;
  bool collects = false;
  std::string gathered;  // of a unary call
};

/// What the streams need of the rest of the front.
struct FrontParts {
  const Options& options;
  Membership& membership;
  Follower& follower;
  EngineWatch& watch;
  PrefixIndex& index;
  FetchDesk& fetches;
  Gate& gate;
  Random& random;
  const EngineList& list;
};

/// Example: `streams.ask(event, now, outbox)`, then `streams.turn(shotTurned, now, outbox)`.
class Streams {
 public:
  explicit Streams(FrontParts parts);
  /// A caller asks. It is allowed and sent, or declined at once. Example: see the class.
  void ask(const StreamRequest& asked, MonotonicTime now, Outbox& outbox);
  /// A shot went on. Example: a piece came.
  void turn(const ShotTurned& turned, MonotonicTime now, Outbox& outbox);
  /// The caller went away: its shot ends and nothing is sent again.
  void gone(StreamId stream, Outbox& outbox);
  /// Ends what is over its deadline or whose key was withdrawn. Example: each tick.
  void tick(MonotonicTime now, Outbox& outbox);
  /// Declines new streams from now on. Example: on SIGTERM.
  void drain() { draining_ = true; }
  std::size_t live() const { return streams_.size(); }
  bool draining() const { return draining_; }
  /// The live shot of a stream. Example: `streams.shotOf(stream)`.
  std::optional<ShotId> shotOf(StreamId stream) const {
    auto found = streams_.find(stream);
    return found == streams_.end() ? std::nullopt : found->second.shot;
  }

 private:
  struct Assigned {
    EngineId engine;
    EngineView view;
  };
  void decline(const StreamRequest& asked, int status, std::string_view kind, Outbox& outbox,
               bool retry = false, std::string field = {}, std::string requestId = {});
  bool readAsk(const StreamRequest& asked, Stream& stream, MonotonicTime now, Outbox& outbox);
  bool readBody(const StreamRequest& asked, Stream& stream, Outbox& outbox);
  GateUsage usage(Service service, MonotonicTime now) const;
  std::optional<Assigned> assign(const Stream& stream, MonotonicTime now);
  std::vector<PartName> names(const Stream& stream, WeightsVersion weights) const;
  void shoot(Stream& stream, const Assigned& assigned, MonotonicTime now, Outbox& outbox);
  void planSource(Stream& stream, const Assigned& assigned, const std::vector<PartName>& names,
                  OpenShot& shot, MonotonicTime now, Outbox& outbox);
  void again(Stream& stream, std::string_view why, MonotonicTime now, Outbox& outbox);
  void piece(Stream& stream, const ShotTurned& turned, MonotonicTime now, Outbox& outbox);
  void finish(Stream& stream, Outbox& outbox);
  void giveUp(Stream& stream, int status, std::string_view kind, Outbox& outbox);
  void end(StreamId stream, Outbox& outbox);
  Budget& budget(Service service) { return budgets_[static_cast<std::size_t>(service)]; }

  FrontParts front_;
  std::map<StreamId, Stream> streams_;
  std::map<ShotId, StreamId> shots_;
  std::map<EngineId, std::int64_t> running_;
  std::array<Budget, kServices> budgets_;
  std::uint64_t lastRequest_ = 0;
  std::uint64_t lastShot_ = 0;
  std::uint64_t changesSeen_ = 0;
  Duration base_ = milliseconds(60);  // usual time to a first event without a source
  bool draining_ = false;
};

}  // namespace peppergate
