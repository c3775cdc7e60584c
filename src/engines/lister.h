#pragma once
// One lister for the fleet: whoever leads or vouches for its part asks the platform, fronts hear.
#include <optional>
#include <vector>

#include "core/membership.h"
#include "core/outbox.h"
#include "core/random.h"
#include "engines/engine.h"

namespace peppergate {

/// Asks for all pages, again and again, and tells the fleet. A front steps in for itself when it
/// heard nothing for too long. Example: `lister.tick(inCharge, now, outbox);`
class Lister {
 public:
  Lister(const Props& props, Membership& membership, Random& random);
  /// `inCharge`: this core leads or vouches under its hold; `term` then orders its lists behind
  /// those of earlier ones. A front is never in charge. Example: each tick.
  void tick(bool inCharge, Epoch term, MonotonicTime now, Outbox& outbox);
  /// A page came; true if the ticket was its own. Example: on EnginesListed.
  bool listed(const EnginesListed& page, MonotonicTime now, Outbox& outbox);
  /// The lister's word; true if the list changed here. Example: on a RosterNews.
  bool hear(const Address& from, const RosterNews& news, MonotonicTime now, Outbox& outbox);
  void hear(const Address& from, const RosterAsk& ask, Outbox& outbox);
  /// Engines that take no requests since weights are being loaded there: part of the news.
  void loading(std::vector<EngineId> engines, MonotonicTime now, Outbox& outbox);

  const std::vector<Engine>& engines() const { return engines_; }
  const std::vector<EngineId>& loadingNow() const { return loading_; }
  ListVersion version() const { return version_; }
  /// When the newest word on the list began. Example: `now - lister.seen() < seconds(2)`.
  MonotonicTime seen() const { return seen_; }

 private:
  Props props_;
  Membership& membership_;
  Random& random_;
  std::vector<Engine> engines_, gathering_;
  std::vector<EngineId> loading_;
  ListVersion version_;
  MonotonicTime seen_ = kNever;
};

}  // namespace peppergate
