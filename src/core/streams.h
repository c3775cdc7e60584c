#pragma once
// Caller streams and the attempts that serve them: what was sent to a caller, and whether an
// engine may have run its request.
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

/// One part of a prompt. A shared part (a system prompt, say) occurs in many streams, so an engine
/// may fetch it from another engine's prefix cache.
struct PromptPart {
  std::string text;
  bool shared = false;
};

/// A caller's stream after its request was parsed and validated.
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
  std::optional<WeightsVersion> bound;  // weights that further attempts must use
  // State while the stream runs:
  Piece next;               // the next piece to pass to the caller
  bool started = false;     // the response head was sent to the caller
  bool mayHaveRun = false;  // an attempt may have reached an engine
  int shots = 0;
  std::optional<ShotId> shot;
  EngineId engine;
  WeightsVersion weights;
  MonotonicTime sent;
  bool firstCame = false;
  bool collects = false;
  std::string gathered;  // response text of a unary call
};

/// The components of a front node that its streams use.
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

/// The streams of one front node: admits requests, chooses engines, sends attempts, and retries
/// failed attempts within the retry budget.
class Streams {
 public:
  explicit Streams(FrontParts parts);
  /// Handles a caller's request: admits it and sends a first attempt, or declines it at once.
  void ask(const StreamRequest& asked, MonotonicTime now, Outbox& outbox);
  /// Handles an event of an attempt, such as a piece that arrived or a failure.
  void turn(const ShotTurned& turned, MonotonicTime now, Outbox& outbox);
  /// Handles a caller's disconnect: cancels its attempt and does not retry.
  void gone(StreamId stream, Outbox& outbox);
  /// Ends streams that are past their deadline, whose key was withdrawn or whose proof of the
  /// control state is too old; retries those whose first piece is overdue. Called on each tick.
  void tick(MonotonicTime now, Outbox& outbox);
  /// Declines new streams from now on; called on SIGTERM.
  void drain() { draining_ = true; }
  std::size_t live() const { return streams_.size(); }
  bool draining() const { return draining_; }
  /// The running attempt of a stream, if it has one.
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
  Duration base_ = milliseconds(60);  // of streams without a fetch
  bool draining_ = false;
};

}  // namespace peppergate
