#pragma once
// Candidate, primary and backup of the control state. See docs/design-views.md for the proof.
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "core/control_state.h"
#include "core/membership.h"
#include "core/random.h"
#include "core/voter.h"

namespace peppergate {

/// A change that waits for its yes.
struct WaitingChange {
  Address from;
  ChangeAsk ask;
  MonotonicTime since;
};

/// The copy of the state on this machine's disk.
struct CopyOnDisk {
  Epoch tag;  // the view this copy was made for; 0: none
  ControlState state;
};

enum class LeaderPhase : std::uint8_t {
  kFollowing, kFounding, kGathering, kCopying, kAccepting, kLeading,
};

/// Example: `leadership.tick(now, outbox); if (leadership.leads(now)) answerNews();`
class Leadership {
 public:
  Leadership(const Props& props, Voter& voter, Membership& membership, Random& random,
             CopyOnDisk copy);

  /// Takes part in the founding of a new fleet, if this core has no view yet that came after one.
  /// Example: `leadership.found(foundingOn(disk));`
  void found(const Founding& founding);
  /// Renews, stands, recruits as due. Example: `leadership.tick(now, outbox);`
  void tick(MonotonicTime now, Outbox& outbox);
  void hear(const PromiseAnswer& answer, MonotonicTime now, Outbox& outbox);
  void hear(const AcceptAnswer& answer, MonotonicTime now, Outbox& outbox);
  void hear(const Address& from, const CopyAsk& ask, MonotonicTime now, Outbox& outbox);
  void hear(const CopyAnswer& answer, MonotonicTime now, Outbox& outbox);
  void hear(const HolderAnswer& answer, MonotonicTime now, Outbox& outbox);
  /// Takes an operator's change. Example: `leadership.take(from, ask, now, outbox);`
  void take(const Address& from, const ChangeAsk& ask, MonotonicTime now, Outbox& outbox);
  /// Ends a write; true if the ticket was one of the copies'. Example: on FileWritten.
  bool written(const FileWritten& event, MonotonicTime now, Outbox& outbox);
  /// Says yes to what is published once every front is sure to follow it within its bound.
  /// `inForce` tells whether all live fronts have these sections. Example: each tick.
  void sayYes(const std::function<bool(const SectionVersions&)>& inForce, MonotonicTime now,
              Outbox& outbox);
  /// A front holds something newer that was never acknowledged: stamp over it.
  void sawNewer(const SectionVersions& seen);
  /// Takes a view that is known to be settled. Example: one that came with a proof.
  void noteSettled(const View& view, MonotonicTime now, Outbox& outbox);
  /// Steps down for good, with a suspect disk. Example: a write that failed.
  void suspect(Outbox& outbox);
  /// Ends what is under way, gives up the duty and stands no more. Example: on SIGTERM.
  void leave(MonotonicTime now);
  /// Whether it leads no more, and said so twice. Example: the process may end.
  bool gone() const { return leavingSince_ != kForever && !settledHere_ && !releasing_; }
  /// A core gave up its votes; if it was the primary, the first backup stands at once.
  /// Example: on a PromiseAsk of the kind kRelease.
  void released(CoreId candidate, MonotonicTime now);

  /// Whether this core leads under its hold. Example: `leads(now)` before each proof.
  bool leads(MonotonicTime now) const;
  /// Whether it may name its state in proofs, too: a majority of the voters holds it.
  /// Example: `names(now)` before each proof.
  bool names(MonotonicTime now) const { return leads(now) && named_; }
  /// Whether it may stand for election now; a caretaker in charge says no. Example: each tick.
  void mayStand(bool may) { mayStand_ = may; }
  /// The copy on this disk, if this core is a member of the view with a copy made for it.
  /// Example: `intactCopy(voter.record().accepted)`.
  const ControlState* intactCopy(const View& view) const;
  /// Whether anything acknowledged in this life is known for certain. Example: a former primary.
  bool hasPublished() const { return hasPublished_; }
  /// Whether the phase leaves room for a caretaker. Example: `idle()` in its tick.
  bool leadsHere() const { return settledHere_; }
  bool idle() const { return phase_ == LeaderPhase::kFollowing && !settledHere_; }
  /// Whether so many of these voters are a majority. Example: `majority(granted, view.voters)`.
  static bool majority(const std::set<CoreId>& yes, const std::vector<CoreId>& voters);
  /// What was acknowledged, for fronts. Example: `published().sections()`.
  const ControlState& published() const { return published_; }
  /// The newest view that this core knows of. Example: `view().primary`.
  const View& view() const { return view_; }
  LeaderPhase phase() const { return phase_; }
  /// The end of the primary's own hold. Example: for the status page.
  MonotonicTime holdUntil() const { return holdUntil_; }
  bool isSuspect() const { return suspect_; }
  bool isStalled() const { return stalled_; }
  Epoch copyTag() const { return copy_.tag; }

 private:
  struct Write {  // one copy on its way to this disk
    Epoch tag;
    ControlState state;
    MonotonicTime since;
    Address answerTo;   // a primary elsewhere
    CopyAsk ask;        // what is answered
    bool own = false;
  };
  struct Sight {  // what this core saw of another one
    MonotonicTime first, last = kNever;
    Address address;
    District district;
    bool known = false;  // a member now
    bool leaving = false;
  };
  void watchDisk(MonotonicTime now, Outbox& outbox);
  void giveWay(MonotonicTime now, Outbox& outbox);
  void stand(MonotonicTime now, Outbox& outbox);
  bool standsNow(MonotonicTime now);
  std::size_t place() const;
  void giveUpPhase(MonotonicTime now, Outbox& outbox);
  void gather(View wanted, MonotonicTime now, Outbox& outbox, bool founds = false);
  void gathered(MonotonicTime now, Outbox& outbox);
  void heardDecline(const PromiseAnswer& answer, MonotonicTime now, Outbox& outbox);
  void yieldVotes(Outbox& outbox);
  void sendRelease(const PromiseAsk& release, Outbox& outbox);
  bool holds(const std::set<CoreId>& round) const;
  void startCopies(MonotonicTime now, Outbox& outbox);
  void copiesDone(MonotonicTime now, Outbox& outbox);
  void askAcceptance(Outbox& outbox);
  void repeat(Outbox& outbox);
  void propose(MonotonicTime now, Outbox& outbox);
  void settled(MonotonicTime now, Outbox& outbox);
  void renew(MonotonicTime now, Outbox& outbox);
  void stepDown(MonotonicTime now, Outbox& outbox, std::string_view why);
  // Founding, see leadership_founding.cc.
  bool mayFound() const;
  void foundByNumber(MonotonicTime now, Outbox& outbox);
  void standToFound(MonotonicTime now, Outbox& outbox);
  void heardFounder(const PromiseAnswer& answer, MonotonicTime now, Outbox& outbox);
  void foundWithPromised(MonotonicTime now, Outbox& outbox);
  void askFounders(Outbox& outbox);
  std::size_t foundersNeeded() const { return founding_.voters.size() / 2 + 1; }
  // Copies and batches, see leadership_copies.cc.
  void writeCopy(Write write, Outbox& outbox);
  void sendCopy(Outbox& outbox, bool recruiting);
  void heardCopyDecline(const CopyAnswer& answer, MonotonicTime now);
  bool allSynced(const View& view) const;
  bool stuck(MonotonicTime now) const;
  void startBatch(MonotonicTime now, Outbox& outbox);
  void finishBatch(MonotonicTime now, Outbox& outbox);
  void refuseWaiting(ChangeOutcome outcome, Outbox& outbox);
  void answerChange(const Address& to, ChangeAnswer answer, Outbox& outbox);
  // Backups and seats, see leadership_seats.cc.
  void look(MonotonicTime now);
  Duration silent(CoreId core, MonotonicTime now) const;
  std::vector<CoreId> wantedBackups(MonotonicTime now) const;
  std::vector<CoreId> wantedVoters(MonotonicTime now) const;
  View wantedView(MonotonicTime now) const;
  bool changeDue(const View& wanted, MonotonicTime now) const;
  void considerViewChange(MonotonicTime now, Outbox& outbox);
  // Holders, see leadership_holders.cc.
  void askHolders(const ControlState& state, Outbox& outbox);
  void tellHolders(bool whole, Outbox& outbox);
  bool held(const ControlState& state) const;
  CoreId self() const { return voter_.record().identity; }

  Props props_;
  Voter& voter_;
  Membership& membership_;
  Random& random_;
  CopyOnDisk copy_;
  ControlState published_;
  bool hasPublished_ = false;
  LeaderPhase phase_ = LeaderPhase::kFollowing;
  View view_;          // highest known
  View wanted_;        // being settled
  View old_;           // the view that the wanted one follows
  bool settledHere_ = false;  // this core leads view_
  bool unconfirmed_ = false;  // without a confirmed backup: acknowledges nothing
  bool standing_ = false;     // gathers to take over, not to change its own view
  bool recapture_ = false;    // a voter promised a higher epoch elsewhere
  Epoch holdEpoch_;           // the epoch that renewals name
  Epoch seen_;         // highest epoch heard
  std::set<CoreId> promised_, accepted_, declined_;
  std::vector<std::vector<CoreId>> proposed_;  // voters of views that may be settled unheard
  std::set<CoreId> holders_;       // voters that surely have heldState_
  std::optional<ControlState> heldState_;
  bool named_ = false;             // a majority holds what is published
  bool mayStand_ = true;
  MonotonicTime phaseSince_{}, nextTry_{}, nextRenewal_{};
  std::map<std::int64_t, std::set<CoreId>> renewals_;  // by send time
  MonotonicTime holdUntil_ = kNever;
  std::map<TicketId, Write> writes_;
  std::optional<Write> queuedWrite_;
  std::deque<WaitingChange> waiting_;
  std::vector<std::pair<Address, ChangeAnswer>> batch_;
  struct Yes {  // published, and soon told
    SectionVersions sections;
    MonotonicTime since;
    std::vector<std::pair<Address, ChangeAnswer>> answers;
  };
  std::deque<Yes> yeses_;
  MonotonicTime publishedAt_ = kNever;
  std::optional<ControlState> batchState_;
  bool ownSynced_ = false;
  std::set<CoreId> synced_;   // backups that have what is being copied on disk
  bool yieldsBatch_ = false;  // no new batch before the view has changed
  MonotonicTime batchSince_{};
  SectionVersions newerSeen_;
  std::map<CoreId, Sight> sights_;
  std::map<CoreId, MonotonicTime> failedRecruits_;
  Founding founding_;
  bool founds_ = false;  // gathers to found
  std::optional<PromiseAsk> releasing_;  // said again at the next tick, for words get lost
  MonotonicTime born_ = kNever, freeSince_ = kNever, leavingSince_ = kForever;
  bool suspect_ = false;
  bool stalled_ = false;
  bool started_ = false;
};

}  // namespace peppergate
