// The part of Leadership that bootstraps a new fleet. See docs/design-views.md for the proof.
#include <algorithm>

#include "core/leadership.h"

namespace peppergate {
namespace {

constexpr Duration kFounderTurn = seconds(2);    // delay of each listed core after the one before
constexpr Duration kMissedFounder = seconds(2);  // wait for listed cores that aren't known yet

}  // namespace

void Leadership::found(const Bootstrap& bootstrap) {
  bootstrap_ = bootstrap;
  if (bootstrap_.voters.size() > 3) bootstrap_.voters.resize(3);
}

bool Leadership::mayBootstrap() const {
  bool listed =
      std::ranges::find(bootstrap_.voters, membership_.self().address) != bootstrap_.voters.end();
  // A core that leads a bootstrap view, or may lead it, keeps it; all others may replace it.
  return bootstrap_.first && listed && isBootstrap(view_) && view_.primary != self();
}

void Leadership::bootstrapByCount(MonotonicTime now, Outbox& outbox) {
  std::vector<CoreId> cores;
  for (const auto& record : membership_.liveCores()) cores.push_back(record.core);
  std::ranges::sort(cores);
  cores.erase(std::unique(cores.begin(), cores.end()), cores.end());
  if (cores.size() != bootstrap_.cores) return;
  wanted_ = View{{1}, self(), {}, {1}, cores};
  accepted_.clear();
  phase_ = LeaderPhase::kBootstrapping;
  phaseSince_ = now;
  writeReplica({{1}, ControlState::founded({1}), now, {}, {}, true}, outbox);
}

void Leadership::startBootstrapElection(MonotonicTime now, Outbox& outbox) {
  if (born_ == kNever) born_ = now;
  if (acceptor_.grantedToOther(self(), now)) {
    freeSince_ = now;
    return;
  }
  std::vector<CoreId> bootstrappers;
  for (const auto& address : bootstrap_.voters)
    if (CoreId core = membership_.coreAt(address); core.value != 0) bootstrappers.push_back(core);
  if (bootstrappers.size() < bootstrapQuorum()) return;
  auto turn =
      std::ranges::find(bootstrap_.voters, membership_.self().address) - bootstrap_.voters.begin();
  Duration wait = kFounderTurn * static_cast<double>(turn);
  if (bootstrappers.size() < bootstrap_.voters.size()) wait = wait + kMissedFounder;
  if (now - std::max(born_, freeSince_) < wait) return;
  prepare(View{{}, self(), {}, {}, std::move(bootstrappers)}, now, outbox, true);
}

void Leadership::heardBootstrapper(const PrepareReply& answer, MonotonicTime now, Outbox& outbox) {
  if (!isBootstrap(answer.accepted)) {  // the fleet exists already
    yieldVotes(outbox);
    return;
  }
  promised_.insert(answer.voter);
  if (promised_.size() == old_.voters.size()) bootstrapWithPromised(now, outbox);
}

void Leadership::bootstrapWithPromised(MonotonicTime now, Outbox& outbox) {
  // Any bootstrap view that a voter may have accepted has the same initial state.
  wanted_.base = wanted_.epoch;
  wanted_.voters.assign(promised_.begin(), promised_.end());
  accepted_.clear();
  ownSynced_ = false;
  phase_ = LeaderPhase::kBootstrapping;
  phaseSince_ = now;
  writeReplica({wanted_.epoch, ControlState::founded({1}), now, {}, {}, true}, outbox);
}

void Leadership::prepareBootstrappers(Outbox& outbox) {
  for (CoreId voter : wanted_.voters)
    if (!accepted_.contains(voter))
      outbox.send(membership_.addressOf(voter), AcceptRequest{wanted_, true});
}

}  // namespace peppergate
