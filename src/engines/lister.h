#pragma once
// One lister for the fleet: whoever leads or vouches for its part asks the platform, fronts hear.
#include <optional>
#include <vector>

#include "core/membership.h"
#include "core/outbox.h"
#include "core/random.h"
#include "engines/engine.h"
#include "engines/roster_text.h"

namespace peppergate {

/// Asks for all pages, again and again, and tells the fleet. A front steps in for itself when it
/// heard nothing for too long. Example: `lister.tick(inCharge, term, now, outbox);`
///
/// A version is the term of the lister, its count of changes (24 bits), and a tag of its life, so
/// that two parts that list under one term don't give one number to two lists.
class Lister {
 public:
  Lister(const Options& options, Membership& membership, Random& random);
  /// `inCharge`: this core leads or vouches under its hold; `term` then orders its lists behind
  /// those of earlier ones. A front is never in charge. Example: each tick.
  void tick(bool inCharge, Epoch term, MonotonicTime now, Outbox& outbox);
  /// A page came; true if the ticket was its own. Example: on EnginesListed.
  bool listed(const EnginesListed& page, MonotonicTime now, Outbox& outbox);
  /// The lister's word; true if the list changed here. Example: on a DiscoveredEnginesUpdate.
  bool hear(const Address& from, const DiscoveredEnginesUpdate& news, MonotonicTime now,
            Outbox& outbox);
  /// Someone lacks this list, or has one that should be older. Example: on a
  /// DiscoveredEnginesRequest.
  void hear(const Address& from, const DiscoveredEnginesRequest& ask, MonotonicTime now,
            Outbox& outbox);
  /// Engines that take no requests since weights are being loaded there: part of the news. Has to
  /// be said again each tick; what nobody says for 5 s ends. Example: by the roll-out.
  void loading(std::vector<EngineId> engines, MonotonicTime now, Outbox& outbox);

  /// The engines, ordered by id. Example: `book.take(lister.engines(), lister.version(), now)`.
  const std::vector<Engine>& engines() const { return roster_.engines; }
  /// Engines under orders now, ordered by id. Example: `book.loading(lister.loadingNow())`.
  const std::vector<EngineId>& loadingNow() const { return roster_.loading; }
  /// Changes whenever the list or its loading engines do. Example: compare, then take it.
  ListVersion version() const { return version_; }
  /// When the newest word on the list began. Example: `now - lister.seen() < seconds(2)`.
  MonotonicTime seen() const { return seen_; }
  /// Whether this front asks for itself, as no lister is heard. Example: for the status page.
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
  ListVersion version_;  // of what is held here
  ListVersion fleet_;    // the newest that any lister told of
  bool local_ = false;   // what is held is this front's own and no fleet version
  MonotonicTime seen_ = kNever;
  MonotonicTime fleetSeen_ = kNever;  // the same, by a lister's word alone
  Duration wordsGap_;                 // between its last two words
  bool inCharge_ = false;
  bool wasOnItsOwn_ = false;
  bool restate_ = false;  // another lister's number has to be stepped over
  Epoch term_;
  std::uint64_t tag_ = 0;
  MonotonicTime loadingSaid_ = kNever, lastTold_ = kNever;
  // The list that is being gathered, page by page.
  std::vector<Engine> gathering_;
  std::optional<TicketId> ticket_;
  MonotonicTime askedAt_ = kNever, gatherSince_ = kNever, nextAsk_ = kNever;
  std::size_t pagesSoFar_ = 0, pages_ = 1;
  Duration backoff_;
};

}  // namespace peppergate
