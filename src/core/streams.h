#pragma once
// Caller streams and the attempts that serve them: what was sent to a caller, and whether an
// engine may have run its request.
#include <array>
#include <map>
#include <optional>
#include <vector>

#include "core/admission_controller.h"
#include "core/digest.h"
#include "core/engine_watch.h"
#include "core/fetch_planner.h"
#include "core/retry_budget.h"

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
  std::optional<WeightsVersion> requiredWeights;  // weights that further attempts must use
  // State while the stream runs:
  PieceIndex nextPiece;     // the next piece to pass to the caller
  bool headSent = false;    // the response head was sent to the caller
  bool mayHaveRun = false;  // an attempt may have reached an engine
  int attemptCount = 0;
  std::optional<StreamAttemptId> attempt;
  EngineId engine;
  WeightsVersion weights;
  MonotonicTime sentAt;
  bool firstPieceReceived = false;
  bool fetchesParts = false;
  std::string unaryText;  // response text of a unary call
};

/// The components of a front node that its streams use.
struct FrontComponents {
  const Options& options;
  Membership& membership;
  Follower& follower;
  EngineWatch& watch;
  PrefixIndex& index;
  FetchPlanner& fetchPlanner;
  AdmissionController& admission;
  Random& random;
  const EngineList& list;
};

/// The streams of one front node: admits requests, chooses engines, sends attempts, and retries
/// failed attempts within the retry budget.
class Streams {
 public:
  explicit Streams(FrontComponents components);
  /// Handles a caller's request: admits it and sends a first attempt, or declines it at once.
  void handleRequest(const StreamRequest& request, MonotonicTime now, Outbox& outbox);
  /// Handles an event of an attempt, such as a piece that arrived or a failure.
  void handleAttemptEvent(const StreamAttemptEvent& event, MonotonicTime now, Outbox& outbox);
  /// Handles a caller's disconnect: cancels its attempt and does not retry.
  void handleCallerGone(StreamId stream, Outbox& outbox);
  /// Ends streams that are past their deadline, whose key was withdrawn or whose proof of the
  /// control state is too old; retries those whose first piece is overdue. Called on each tick.
  void tick(MonotonicTime now, Outbox& outbox);
  /// Declines new streams from now on; called on SIGTERM.
  void drain() { draining_ = true; }
  std::size_t activeStreams() const { return streams_.size(); }
  bool draining() const { return draining_; }
  /// The running attempt of a stream, if it has one.
  std::optional<StreamAttemptId> attemptOf(StreamId stream) const {
    auto found = streams_.find(stream);
    return found == streams_.end() ? std::nullopt : found->second.attempt;
  }

 private:
  struct Assignment {
    EngineId engine;
    EngineView view;
  };
  void decline(const StreamRequest& request, int status, std::string_view kind, Outbox& outbox,
               bool retry = false, std::string field = {}, std::string requestId = {});
  bool parseRequest(const StreamRequest& request, Stream& stream, MonotonicTime now,
                    Outbox& outbox);
  bool parseBody(const StreamRequest& request, Stream& stream, Outbox& outbox);
  ServiceLoad serviceLoad(Service service, MonotonicTime now) const;
  std::optional<Assignment> chooseEngine(const Stream& stream, MonotonicTime now);
  std::vector<PrefixBlockName> partNamesOf(const Stream& stream, WeightsVersion weights) const;
  void sendAttempt(Stream& stream, const Assignment& assignment, MonotonicTime now, Outbox& outbox);
  void planFetch(Stream& stream, const Assignment& assignment,
                 const std::vector<PrefixBlockName>& names, OpenStreamAttempt& attempt,
                 MonotonicTime now, Outbox& outbox);
  void retryStream(Stream& stream, std::string_view reason, MonotonicTime now, Outbox& outbox);
  void handlePiece(Stream& stream, const StreamAttemptEvent& event, MonotonicTime now,
                   Outbox& outbox);
  void finish(Stream& stream, Outbox& outbox);
  void giveUp(Stream& stream, int status, std::string_view kind, Outbox& outbox);
  void removeStream(StreamId stream, Outbox& outbox);
  RetryBudget& retryBudget(Service service) {
    return retryBudgets_[static_cast<std::size_t>(service)];
  }

  FrontComponents front_;
  std::map<StreamId, Stream> streams_;
  std::map<StreamAttemptId, StreamId> attempts_;
  std::map<EngineId, std::int64_t> runningByEngine_;
  std::array<RetryBudget, kServices> retryBudgets_;
  std::uint64_t lastRequest_ = 0;
  std::uint64_t lastAttempt_ = 0;
  std::uint64_t changesSeen_ = 0;
  Duration meanFirstPieceTime_ = milliseconds(60);  // of streams without a fetch
  bool draining_ = false;
};

}  // namespace peppergate
