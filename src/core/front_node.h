#pragma once
// A data-plane node: a member of the fleet that follows the control state, watches its share of the
// engines and serves callers.
#include <memory>

#include "core/core_node.h"
#include "core/streams.h"

namespace peppergate {

/// Owns the components of a front node and dispatches events to them.
class FrontNode final : public Node {
 public:
  FrontNode(const Options& options, MemberRecord self, std::vector<Address> seeds, Address platform,
            std::uint64_t seed);

  void step(const Event& event, MonotonicTime now) override;
  Outbox& outbox() override { return outbox_; }
  Json status(MonotonicTime now) const override;
  void reload(const Options& options) override;
  bool drained(MonotonicTime now) const override;
  /// The components, for checkers and tests.
  const Follower& follower() const { return *follower_; }
  const EngineWatch& watch() const { return *watch_; }
  const EngineList& list() const { return list_; }
  const FetchPlanner& fetchPlanner() const { return *fetchPlanner_; }
  /// The running attempt of a stream, if it has one; used to throttle it for a slow caller.
  std::optional<StreamAttemptId> attemptOf(StreamId stream) const {
    return streams_->attemptOf(stream);
  }

 private:
  void tick(MonotonicTime now);
  void broadcastUsage(MonotonicTime now);
  void handleMessage(const MessageReceived& event, MonotonicTime now);
  void installEngineList(const std::string& text, MonotonicTime now);
  void handleOperatorRequest(const OperatorRequest& request, MonotonicTime now);
  void handleWebAnswer(const HttpCallAnswered& answer, MonotonicTime now);

  Options options_;
  Random random_;
  Outbox outbox_;
  Address platform_;
  EngineList list_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<Follower> follower_;
  std::unique_ptr<OperatorHandler> operatorHandler_;
  std::unique_ptr<PrefixIndex> index_;
  std::unique_ptr<EngineWatch> watch_;
  std::unique_ptr<FetchPlanner> fetchPlanner_;
  std::unique_ptr<AdmissionController> admission_;
  std::unique_ptr<Streams> streams_;
  std::optional<TicketId> listTicket_;
  int emptyNotifications_ = 0;  // consecutive ones
  MonotonicTime nextListRequest_{}, nextUsageBroadcast_{}, drainSince_ = kForever;
};

}  // namespace peppergate
