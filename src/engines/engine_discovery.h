#pragma once
// Engine discovery: the leader, or a read-only leader in its partition, polls the platform and
// distributes the engine list to the routers.
#include <optional>
#include <vector>

#include "core/membership.h"
#include "core/outbox.h"
#include "core/random.h"
#include "engines/engine.h"
#include "engines/engine_list_codec.h"

namespace peppergate {

/// Polls all pages of the platform's engine list periodically and broadcasts changes. A router that
/// received no update for too long polls the platform itself.
///
/// A list version consists of the term of the polling node, a change counter (24 bits) and a random
/// tag chosen at its start, so that two partitions that poll under the same term don't give the
/// same version to different lists.
class EngineDiscovery {
 public:
  EngineDiscovery(const Options& options, Membership& membership, Random& random);
  /// Polls when due. `isPoller`: this control node is the leader, or the read-only leader of its
  /// partition, under a lease; `term` then orders its lists after those of earlier leaders. A
  /// router never polls for the fleet.
  void tick(bool isPoller, Epoch term, MonotonicTime now, Outbox& outbox);
  /// Handles a page of the list; false if the ticket isn't this object's.
  bool handlePage(const EnginesListed& page, MonotonicTime now, Outbox& outbox);
  /// Handles an update from the polling node; true if the list changed here.
  bool handle(const Address& from, const DiscoveredEnginesUpdate& update, MonotonicTime now,
              Outbox& outbox);
  /// Handles a request from a member that lacks this list, or holds a version that this node must
  /// supersede.
  void handle(const Address& from, const DiscoveredEnginesRequest& request, MonotonicTime now,
              Outbox& outbox);
  /// Sets the engines that take no requests because they are loading weights; they are part of the
  /// updates. The rollout repeats this on each tick: the set is cleared after 5 s without a repeat.
  void setLoading(std::vector<EngineId> engines, MonotonicTime now, Outbox& outbox);

  /// The engines, ordered by id.
  const std::vector<Engine>& engines() const { return list_.engines; }
  /// The engines that are loading weights, ordered by id.
  const std::vector<EngineId>& loadingEngines() const { return list_.loading; }
  /// The version of the list. Changes whenever the list or the set of loading engines does.
  ListVersion version() const { return version_; }
  /// When the poll that last confirmed the list was started.
  MonotonicTime confirmedAt() const { return confirmedAt_; }
  /// Whether this router polls for itself because it receives no updates.
  bool isSelfPolling(MonotonicTime now) const;
  void reload(const Options& options) { options_ = options; }

 private:
  void requestPage(std::string page, MonotonicTime now, Outbox& outbox);
  void handleFailure(int status, MonotonicTime now, Outbox& outbox);
  void finishPoll(MonotonicTime now, Outbox& outbox);
  void publish(DiscoveredEngines next, MonotonicTime now, Outbox& outbox);
  void broadcastUpdate(const DiscoveredEnginesUpdate& update, Outbox& outbox);
  void requestCompleteList(const Address& from, Outbox& outbox);
  Duration pollInterval();
  Duration selfPollInterval() const;
  void recordFleetUpdate(MonotonicTime confirmedAt);
  ListVersion nextVersion() const;

  Options options_;
  Membership& membership_;
  Random& random_;
  DiscoveredEngines list_;
  ListVersion version_;       // of the list held here
  ListVersion fleetVersion_;  // the newest announced by any polling node
  bool isOwnList_ = false;    // the list was polled by this router itself
  MonotonicTime confirmedAt_ = kNever;
  MonotonicTime fleetConfirmedAt_ = kNever;  // the same, by updates from a polling node only
  Duration updateGap_;                       // between the last two updates
  bool isPoller_ = false;
  bool wasSelfPolling_ = false;
  bool mustRepublish_ = false;  // a version above another polling node's has to be announced
  Epoch term_;
  std::uint64_t versionTag_ = 0;
  MonotonicTime loadingSetAt_ = kNever, lastBroadcastAt_ = kNever;
  // The poll in progress.
  std::vector<Engine> polledEngines_;
  std::optional<TicketId> ticket_;
  MonotonicTime pageRequestedAt_ = kNever, pollStartedAt_ = kNever, nextPollAt_ = kNever;
  std::size_t pagesRequested_ = 0, lastPageCount_ = 1;
  Duration backoff_;
};

}  // namespace peppergate
