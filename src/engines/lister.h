#pragma once
// Engine discovery: the leader, or a read-only leader in its partition, polls the platform and
// distributes the engine list to the routers.
#include <optional>
#include <vector>

#include "core/membership.h"
#include "core/outbox.h"
#include "core/random.h"
#include "engines/engine.h"
#include "engines/roster_text.h"

namespace peppergate {

/// Polls all pages of the platform's engine list periodically and broadcasts changes. A router that
/// received no update for too long polls the platform itself.
///
/// A list version consists of the term of the polling node, a change counter (24 bits) and a random
/// tag chosen at its start, so that two partitions that poll under the same term don't give the
/// same version to different lists.
class Lister {
 public:
  Lister(const Options& options, Membership& membership, Random& random);
  /// Polls when due. `inCharge`: this control node is the leader, or the read-only leader of its
  /// partition, under a lease; `term` then orders its lists after those of earlier leaders. A
  /// router never polls for the fleet.
  void tick(bool inCharge, Epoch term, MonotonicTime now, Outbox& outbox);
  /// Handles a page of the list; false if the ticket isn't this object's.
  bool listed(const EnginesListed& page, MonotonicTime now, Outbox& outbox);
  /// Handles an update from the polling node; true if the list changed here.
  bool hear(const Address& from, const DiscoveredEnginesUpdate& news, MonotonicTime now,
            Outbox& outbox);
  /// Handles a request from a member that lacks this list, or holds a version that this node must
  /// supersede.
  void hear(const Address& from, const DiscoveredEnginesRequest& ask, MonotonicTime now,
            Outbox& outbox);
  /// Sets the engines that take no requests because they are loading weights; they are part of the
  /// updates. The rollout repeats this on each tick: the set is cleared after 5 s without a repeat.
  void loading(std::vector<EngineId> engines, MonotonicTime now, Outbox& outbox);

  /// The engines, ordered by id.
  const std::vector<Engine>& engines() const { return roster_.engines; }
  /// The engines that are loading weights, ordered by id.
  const std::vector<EngineId>& loadingNow() const { return roster_.loading; }
  /// The version of the list. Changes whenever the list or the set of loading engines does.
  ListVersion version() const { return version_; }
  /// When the poll that last confirmed the list was started.
  MonotonicTime seen() const { return seen_; }
  /// Whether this router polls for itself because it receives no updates.
  bool onItsOwn(MonotonicTime now) const;
  void reload(const Options& options) { options_ = options; }

 private:
  void askPage(std::string page, MonotonicTime now, Outbox& outbox);
  void failed(int status, MonotonicTime now, Outbox& outbox);
  void complete(MonotonicTime now, Outbox& outbox);
  void change(Roster next, MonotonicTime now, Outbox& outbox);
  void tell(const DiscoveredEnginesUpdate& news, Outbox& outbox);
  void askWhole(const Address& from, Outbox& outbox);
  Duration pause();
  Duration ownPause() const;
  void noteFleetWord(MonotonicTime seen);
  ListVersion successor() const;

  Options options_;
  Membership& membership_;
  Random& random_;
  Roster roster_;
  ListVersion version_;  // of the list held here
  ListVersion fleet_;    // the newest announced by any polling node
  bool local_ = false;   // the list was polled by this router itself
  MonotonicTime seen_ = kNever;
  MonotonicTime fleetSeen_ = kNever;  // the same, by updates from a polling node only
  Duration wordsGap_;                 // between the last two updates
  bool inCharge_ = false;
  bool wasOnItsOwn_ = false;
  bool restate_ = false;  // a version above another polling node's has to be announced
  Epoch term_;
  std::uint64_t tag_ = 0;
  MonotonicTime loadingSaid_ = kNever, lastTold_ = kNever;
  // The poll in progress.
  std::vector<Engine> gathering_;
  std::optional<TicketId> ticket_;
  MonotonicTime askedAt_ = kNever, gatherSince_ = kNever, nextAsk_ = kNever;
  std::size_t pagesSoFar_ = 0, pages_ = 1;
  Duration backoff_;
};

}  // namespace peppergate
