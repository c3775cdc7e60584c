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
  bool take(const OperatorRequest& asked, MonotonicTime now, Outbox& outbox);
  /// Handles the primary's reply to a forwarded change.
  void hear(const ChangeReply& answer, MonotonicTime now, Outbox& outbox);
  /// Answers pending /config readers whose freshness proof has arrived.
  void settle(MonotonicTime now, Outbox& outbox);
  /// Retries pending requests and answers those that timed out.
  void tick(MonotonicTime now, Outbox& outbox);

 private:
  struct Forwarded {
    MonotonicTime since;
    ChangeRequest ask;
    Address sentTo;  // empty if not sent yet
    MonotonicTime nextAt;
    std::optional<ChangeReply> refused;  // the last refusal, reset by a retry
  };
  enum class Progress : std::uint8_t { kWaits, kEnded };

  void forward(const OperatorRequest& asked, MonotonicTime now, Outbox& outbox);
  Progress advance(Forwarded& change, const Address& primary, MonotonicTime now, Outbox& outbox);
  void pass(const ChangeReply& change, Outbox& outbox);
  void showSetup(TicketId ticket, Outbox& outbox);
  void showTrace(TicketId ticket, MonotonicTime now, Outbox& outbox);
  void readConfig(TicketId ticket, MonotonicTime now, Outbox& outbox);
  void askNow(MonotonicTime now, Outbox& outbox);
  Address primary() const { return membership_.addressOf(follower_.view().primary); }
  void answer(TicketId ticket, int status, const Json& body, Outbox& outbox, bool retry = false);

  Options options_;
  std::map<TicketId, Forwarded> forwarded_;
  std::size_t forwardedBytes_ = 0;
  std::map<TicketId, MonotonicTime> readers_;  // pending /config requests and their start
  MonotonicTime lastAsk_ = kNever;
};

/// The name of an outcome in the operators' API.
std::string_view outcomeName(ChangeOutcome outcome);

}  // namespace peppergate
