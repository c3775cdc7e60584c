#pragma once
// A voter keeps its identity, the highest promise and the highest accepted view; nothing else.
#include <deque>
#include <optional>
#include <vector>

#include "core/options.h"
#include "core/outbox.h"

namespace peppergate {

/// How a core takes part in the bootstrap of its fleet; by default it doesn't. Only an empty disk
/// takes it, and keeps it: a core that finds its identity on disk founds as told at its birth.
/// Example: `Bootstrap{true, {{"10.0.0.1:7100"}, {"10.0.0.2:7100"}, {"10.0.0.3:7100"}}}`.
struct Bootstrap {
  bool first = false;           // the very first start of the whole fleet
  std::vector<Address> voters;  // three at most, alike at all; the first of them goes first
  std::size_t cores = 0;        // or: found as soon as exactly so many cores are seen
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(first) PEPPERGATE_FIELD(voters))
};

/// Whether a view is one that was just founded: nothing was ever acknowledged in it.
/// Example: `isBootstrap(record.accepted)`.
inline bool isBootstrap(const View& view) { return view.backups.empty(); }

/// Whether a core keeps a copy of the state in this view. Example: `isMember(view, self())`.
bool isMember(const View& view, CoreId core);

/// What is on a voter's disk.
struct AcceptorRecord {
  CoreId identity;
  Epoch promised;
  CoreId promisedTo;
  View accepted;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(identity) PEPPERGATE_FIELD(promised)
                        PEPPERGATE_FIELD(promisedTo) PEPPERGATE_FIELD(accepted))
};

/// Promises and holds are one thing here: a promise to one core shuts out all others for a hold.
/// Example: `acceptor.ask(from, PrepareRequest{...}, now, outbox);`
class Acceptor {
 public:
  /// `founder`: one of those that found the fleet, with the disk of its birth.
  Acceptor(const Options& options, AcceptorRecord record, MonotonicTime started,
           bool bootstrapper = false);

  /// Takes a request for a promise or its renewal. Example: see the class.
  void ask(const Address& from, const PrepareRequest& ask, MonotonicTime now, Outbox& outbox);
  /// Takes a view to accept. Example: `acceptor.ask(from, AcceptRequest{view}, now, outbox);`
  void ask(const Address& from, const AcceptRequest& ask, MonotonicTime now, Outbox& outbox);
  /// Ends a write; true if the ticket was the voter's. Example: on FileWritten.
  bool written(const FileWritten& event, MonotonicTime now, Outbox& outbox);

  /// Whether this is the accepted view, and news here that it is settled.
  bool nowSettled(const View& view) const;
  /// What is on disk for certain. Example: `acceptor.record().accepted.epoch`.
  const AcceptorRecord& record() const { return durable_; }
  /// Whether another core than this may hold now. Example: `acceptor.grantedToOther(self, now)`.
  bool grantedToOther(CoreId core, MonotonicTime now) const;
  /// Whether a copy of this epoch from this core may still be taken. Example: in the backup.
  bool allowsReplica(Epoch epoch, CoreId from) const;
  /// This machine's own candidate gave up and holds nothing: its vote is free at once.
  void release(CoreId core) {
    if (grantedTo_ == core) grantedUntil_ = kNever;
  }
  /// Grants this core to vouch for its part, if nobody else holds a grant and the views are equal.
  /// `sentAt` is the asker's own stamp. Example: `acceptor.grantReadLease(core, view, sentAt,
  /// now)`.
  bool grantReadLease(CoreId core, const View& view, MonotonicTime sentAt, MonotonicTime now);
  /// Who holds a live grant; 0: nobody. Example: told with a decline.
  CoreId grantedTo(MonotonicTime now) const { return now < grantedUntil_ ? grantedTo_ : CoreId{}; }
  /// Whether its disk is good. Example: told with each answer to a read-only leader.
  bool votes() const { return !suspect_; }
  /// Time passed: a clock that leapt between two ticks must not end a grant early.
  /// Example: each tick, before anything else.
  void notice(MonotonicTime now);
  /// A bad disk: it votes for nothing more in this life of the process.
  void suspect() { suspect_ = true; }
  /// Since when a write of its record is under way; `kForever` if none is.
  MonotonicTime writingSince() const { return inFlight_ ? writingSince_ : kForever; }

 private:
  struct Waiting {
    Address from;
    std::variant<PrepareRequest, AcceptRequest> ask;
  };
  bool bootstraps() const { return bootstrapper_ || !options_.guards(Guard::kBootstrappers); }
  bool mayPromise(const PrepareRequest& ask, MonotonicTime now) const;
  bool mayAccept(const AcceptRequest& ask, MonotonicTime now) const;
  void write(AcceptorRecord next, Waiting waiting, MonotonicTime now, Outbox& outbox);
  void replyToPrepare(const Address& to, const PrepareRequest& ask, bool granted, Outbox& outbox);
  void replyToAccept(const Address& to, const AcceptRequest& ask, bool accepted, Outbox& outbox);
  void grant(CoreId core, MonotonicTime now);
  void released(const PrepareRequest& ask);

  Options options_;
  bool bootstrapper_;
  AcceptorRecord durable_;
  AcceptorRecord writing_;
  std::optional<Waiting> inFlight_;
  MonotonicTime writingSince_ = kForever;
  TicketId ticket_;
  std::deque<Waiting> queue_;
  MonotonicTime grantsNothingUntil_;  // after a start it grants nothing for one hold
  CoreId grantedTo_;
  MonotonicTime grantedUntil_ = kNever;
  bool grantIsReadLease_ = false;
  MonotonicTime readLeaseSentAt_ = kNever;  // by the read-only leader's clock
  MonotonicTime lastNotice_ = kNever;
  bool suspect_ = false;
};

/// A file name that sorts by its number. Example: `numbered("voter", 7)`.
std::string numbered(std::string_view prefix, std::uint64_t number);
/// The content of a file with its checksum in front. Example: `sealed("{}")`.
std::string sealed(std::string_view content);
/// Opens a sealed content; empty if torn. Example: `opened(sealed("{}")) == "{}"`.
std::optional<std::string> opened(std::string_view file);

}  // namespace peppergate
