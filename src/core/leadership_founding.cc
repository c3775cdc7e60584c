// The part of Leadership that founds a fleet. The argument is in docs/design-views.md.
#include <algorithm>

#include "core/leadership.h"

namespace peppergate {
namespace {

constexpr Duration kFounderTurn = seconds(2);      // so long the next founder leaves to the one before
constexpr Duration kMissedFounder = seconds(2);    // so long one is waited for that is not seen

}  // namespace

void Leadership::found(const Founding& founding) {
  founding_ = founding;
  if (founding_.voters.size() > 3) founding_.voters.resize(3);
}

bool Leadership::mayFound() const {
  bool listed = std::ranges::find(founding_.voters, membership_.self().address) !=
                founding_.voters.end();
  // Who leads a founding view, or may, goes on with it; all others may replace it.
  return founding_.first && listed && isFounding(view_) && view_.primary != self();
}

void Leadership::foundByNumber(MonotonicTime now, Outbox& outbox) {
  std::vector<CoreId> cores;
  for (const auto& record : membership_.liveCores()) cores.push_back(record.core);
  std::ranges::sort(cores);
  cores.erase(std::unique(cores.begin(), cores.end()), cores.end());
  if (cores.size() != founding_.cores) return;
  wanted_ = View{{1}, self(), {}, {1}, cores};
  accepted_.clear();
  phase_ = LeaderPhase::kFounding;
  phaseSince_ = now;
  writeCopy({{1}, ControlState::founded({1}), now, {}, {}, true}, outbox);
}

void Leadership::standToFound(MonotonicTime now, Outbox& outbox) {
  if (born_ == kNever) born_ = now;
  if (voter_.grantedToOther(self(), now)) {
    freeSince_ = now;
    return;
  }
  std::vector<CoreId> founders;
  for (const auto& address : founding_.voters)
    if (CoreId core = membership_.coreAt(address); core.value != 0) founders.push_back(core);
  if (founders.size() < foundersNeeded()) return;
  auto turn = std::ranges::find(founding_.voters, membership_.self().address) -
              founding_.voters.begin();
  Duration wait = kFounderTurn * static_cast<double>(turn);
  if (founders.size() < founding_.voters.size()) wait = wait + kMissedFounder;
  if (now - std::max(born_, freeSince_) < wait) return;
  gather(View{{}, self(), {}, {}, std::move(founders)}, now, outbox, true);
}

void Leadership::heardFounder(const PromiseAnswer& answer, MonotonicTime now, Outbox& outbox) {
  if (!isFounding(answer.accepted)) {  // a fleet is there already
    yieldVotes(outbox);
    return;
  }
  promised_.insert(answer.voter);
  if (promised_.size() == old_.voters.size()) foundWithPromised(now, outbox);
}

void Leadership::foundWithPromised(MonotonicTime now, Outbox& outbox) {
  // Whatever founding view a voter may have accepted, its state is the founded one.
  wanted_.base = wanted_.epoch;
  wanted_.voters.assign(promised_.begin(), promised_.end());
  accepted_.clear();
  ownSynced_ = false;
  phase_ = LeaderPhase::kFounding;
  phaseSince_ = now;
  writeCopy({wanted_.epoch, ControlState::founded({1}), now, {}, {}, true}, outbox);
}

void Leadership::askFounders(Outbox& outbox) {
  for (CoreId voter : wanted_.voters)
    if (!accepted_.contains(voter))
      outbox.send(membership_.addressOf(voter), AcceptAsk{wanted_, true});
}

}  // namespace peppergate
