#pragma once
// Operator HTTP requests at any daemon: answered locally or forwarded to the primary.
#include <map>
#include <optional>
#include <string>

#include "core/collaborators.h"
#include "core/follower.h"
#include "core/membership.h"

namespace peppergate {

/// Serves /change, /config, /setup and /trace. Changes are forwarded to the primary and retried
/// while the primary changes; /config is answered once a proof shows that the local copy is
/// current.
class OperatorHandler : private OperatorHandlerCollaborators {
 public:
  OperatorHandler(const Options& options, Membership& membership, Follower& follower)
      : OperatorHandlerCollaborators(membership, follower), options_(options) {}

  /// Handles a request. Returns false for paths that the node itself serves.
  bool handle(const OperatorRequest& request, MonotonicTime now, Outbox& outbox);
  /// Handles the primary's reply to a forwarded change.
  void handleReply(const ChangeReply& answer, MonotonicTime now, Outbox& outbox);
  /// Answers pending /config readers whose freshness proof has arrived.
  void answerReaders(MonotonicTime now, Outbox& outbox);
  /// Retries pending requests and answers those that timed out.
  void tick(MonotonicTime now, Outbox& outbox);

 private:
  struct ForwardedChange {
    MonotonicTime receivedAt;
    ChangeRequest request;
    Address sentTo;  // empty if not sent yet
    MonotonicTime nextSendAt;
    std::optional<ChangeReply> lastRefusal;  // the last refusal, reset by a retry
  };
  enum class ForwardState : std::uint8_t { kPending, kAnswered };

  void forwardChange(const OperatorRequest& request, MonotonicTime now, Outbox& outbox);
  ForwardState retryOrExpire(ForwardedChange& change, const Address& primary, MonotonicTime now,
                             Outbox& outbox);
  void answerChange(const ChangeReply& change, Outbox& outbox);
  void answerSetup(TicketId ticket, Outbox& outbox);
  void answerTrace(TicketId ticket, MonotonicTime now, Outbox& outbox);
  void readConfig(TicketId ticket, MonotonicTime now, Outbox& outbox);
  void requestStateNow(MonotonicTime now, Outbox& outbox);
  Address primary() const { return membership_.addressOf(follower_.view().primary); }
  void answer(TicketId ticket, int status, const Json& body, Outbox& outbox, bool retry = false);

  Options options_;
  std::map<TicketId, ForwardedChange> forwarded_;
  std::size_t forwardedBytes_ = 0;
  std::map<TicketId, MonotonicTime> configReaders_;  // pending /config requests and their start
  MonotonicTime lastStateRequestAt_ = kNever;
};

/// The name of an outcome in the operators' API.
std::string_view outcomeName(ChangeOutcome outcome);

}  // namespace peppergate
