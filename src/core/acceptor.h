#pragma once
// The acceptor of a core: stores its identity, its highest promise and its highest accepted view.
#include <deque>
#include <optional>
#include <vector>

#include "core/options.h"
#include "core/outbox.h"

namespace peppergate {

/// How a core takes part in the bootstrap of a new fleet; by default it doesn't. The settings are
/// taken and stored only while the disk is empty: a core that finds its identity on disk uses those
/// of its first start.
/// Example: `Bootstrap{true, {{"10.0.0.1:7100"}, {"10.0.0.2:7100"}, {"10.0.0.3:7100"}}}`.
struct Bootstrap {
  bool createsFleet = false;    // the first start of the whole fleet
  std::vector<Address> voters;  // at most three, the same list at each; the first campaigns first
  std::size_t expectedCores =
      0;  // instead of a list: bootstrap once exactly so many cores are known
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD_AS(createsFleet, "first") PEPPERGATE_FIELD(voters))
};

/// Whether a view is a bootstrap view: it has no backup, so nothing was ever acknowledged in it.
inline bool isBootstrap(const View& view) { return view.backups.empty(); }

/// Whether a core keeps a replica of the state in this view.
bool isMember(const View& view, CoreId core);

/// The durable state of an acceptor.
struct AcceptorRecord {
  CoreId identity;
  Epoch promised;
  CoreId promisedTo;
  View accepted;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(identity) PEPPERGATE_FIELD(promised)
                        PEPPERGATE_FIELD(promisedTo) PEPPERGATE_FIELD(accepted))
};

/// Votes in leader elections. A promise is also a lease: it excludes all other candidates until the
/// lease ends.
class Acceptor {
 public:
  /// `bootstrapper`: listed in the bootstrap settings, with the disk of its first start.
  Acceptor(const Options& options, AcceptorRecord record, MonotonicTime started,
           bool bootstrapper = false);

  /// Answers a request for a promise or its renewal, or takes a release.
  void handle(const Address& from, const PrepareRequest& request, MonotonicTime now,
              Outbox& outbox);
  /// Answers a request to accept a view.
  void handle(const Address& from, const AcceptRequest& request, MonotonicTime now, Outbox& outbox);
  /// Completes a write; returns whether the ticket was the acceptor's.
  bool completeWrite(const FileWritten& event, MonotonicTime now, Outbox& outbox);

  /// Whether this is the accepted view in its settled form, and the acceptor doesn't have it on
  /// disk as settled yet.
  bool isNewlySettled(const View& view) const;
  /// What is on disk for certain; a write under way doesn't count.
  const AcceptorRecord& record() const { return durable_; }
  /// Whether another core than this one may have a lease now.
  bool leasedToOther(CoreId core, MonotonicTime now) const;
  /// Whether a backup may still take a replica of this epoch from this core.
  bool allowsReplica(Epoch epoch, CoreId from) const;
  /// The candidate on this machine gave up and has no lease: this vote is free at once.
  void release(CoreId core) {
    if (grantedTo_ == core) grantedUntil_ = kNever;
  }
  /// Grants a read lease to this core if no other core has a lease and the views are equal.
  /// `sentAt` is the time of the request by the requester's clock.
  bool grantReadLease(CoreId core, const View& view, MonotonicTime sentAt, MonotonicTime now);
  /// Who has an unexpired lease of this acceptor; 0: nobody. Sent along with a rejection.
  CoreId grantedTo(MonotonicTime now) const { return now < grantedUntil_ ? grantedTo_ : CoreId{}; }
  /// Whether its disk works, so that it votes. Sent along with each answer to a read-only leader.
  bool canVote() const { return !diskSuspect_; }
  /// Extends the lease if the clock jumped between two ticks, so that a jump doesn't end it early.
  /// Called first in each tick.
  void extendLeaseAfterClockJump(MonotonicTime now);
  /// The disk is bad: the acceptor doesn't vote any more until the process is restarted.
  void markDiskSuspect() { diskSuspect_ = true; }
  /// When the write under way began; `kForever` if there is none.
  MonotonicTime writingSince() const { return requestBeingWritten_ ? writingSince_ : kForever; }

 private:
  struct PendingRequest {
    Address from;
    std::variant<PrepareRequest, AcceptRequest> request;
  };
  bool mayBootstrap() const {
    return bootstrapper_ || !options_.isGuardEnabled(SafetyGuard::kBootstrappers);
  }
  bool mayPromise(const PrepareRequest& request, MonotonicTime now) const;
  bool mayAccept(const AcceptRequest& request, MonotonicTime now) const;
  void startWrite(AcceptorRecord next, PendingRequest pending, MonotonicTime now, Outbox& outbox);
  void replyToPrepare(const Address& to, const PrepareRequest& request, bool granted,
                      Outbox& outbox);
  void replyToAccept(const Address& to, const AcceptRequest& request, bool accepted,
                     Outbox& outbox);
  void grantLease(CoreId core, MonotonicTime now);
  void handleRelease(const PrepareRequest& request);

  Options options_;
  bool bootstrapper_;
  AcceptorRecord durable_;
  AcceptorRecord recordBeingWritten_;
  std::optional<PendingRequest> requestBeingWritten_;
  MonotonicTime writingSince_ = kForever;
  TicketId ticket_;
  std::deque<PendingRequest> queuedRequests_;
  MonotonicTime noGrantsUntil_;  // one lease from the start of the process
  CoreId grantedTo_;
  MonotonicTime grantedUntil_ = kNever;
  bool grantIsReadLease_ = false;
  MonotonicTime readLeaseSentAt_ = kNever;  // by the read-only leader's clock
  MonotonicTime lastTick_ = kNever;
  bool diskSuspect_ = false;
};

/// A file name with a zero-padded number, so that names sort by it. Example: `numbered("voter",
/// 7)`.
std::string numberedFileName(std::string_view prefix, std::uint64_t number);
/// The content of a file with its checksum in front.
std::string withChecksum(std::string_view content);
/// The content without its checksum; empty if the checksum doesn't match, as after a torn write.
std::optional<std::string> verifiedContent(std::string_view file);

}  // namespace peppergate
