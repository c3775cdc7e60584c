#pragma once
// What any daemon does with an operator's HTTP request: answer it or pass it to the primary.
#include <map>
#include <optional>
#include <string>

#include "core/collaborators.h"
#include "core/follower.h"
#include "core/membership.h"

namespace peppergate {

/// Example: `desk.take(asked, now, outbox)` is false for pages that the node makes itself.
class OperatorHandler : private OperatorHandlerCollaborators {
 public:
  OperatorHandler(const Options& options, Membership& membership, Follower& follower)
      : OperatorHandlerCollaborators(membership, follower), options_(options) {}

  /// Takes a change, /config, /setup or /trace. Example: see the class.
  bool take(const OperatorRequest& asked, MonotonicTime now, Outbox& outbox);
  /// Passes the primary's answer on to the operator. Example: on a ChangeReply.
  void hear(const ChangeReply& answer, MonotonicTime now, Outbox& outbox);
  /// Answers whoever waited for a proof that has now come. Example: after news.
  void settle(MonotonicTime now, Outbox& outbox);
  /// Asks again what is open and ends what waited too long. Example: each tick.
  void tick(MonotonicTime now, Outbox& outbox);

 private:
  struct Forwarded {
    MonotonicTime since;
    ChangeRequest ask;
    Address sentTo;  // empty: no primary was known yet
    MonotonicTime nextAt;
    std::optional<ChangeReply> refused;  // the last word, if nothing was sent after it
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
  std::map<TicketId, MonotonicTime> readers_;  // of the configuration, since when
  MonotonicTime lastAsk_ = kNever;
};

/// Names an outcome as operators read it. Example: `outcomeName(ChangeOutcome::kStale)`.
std::string_view outcomeName(ChangeOutcome outcome);

}  // namespace peppergate
