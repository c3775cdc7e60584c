// The part of Leadership that bootstraps a new fleet. See docs/design-views.md for the proof.
#include <algorithm>

#include "core/leadership.h"

namespace peppergate {
namespace {

constexpr Duration kBootstrapperTurn =
    seconds(2);  // delay of each listed core after the one before
constexpr Duration kMissingBootstrapperWait =
    seconds(2);  // wait for listed cores that aren't known yet

}  // namespace

void Leadership::setBootstrap(const Bootstrap& bootstrap) {
  bootstrap_ = bootstrap;
  if (bootstrap_.voters.size() > 3) bootstrap_.voters.resize(3);
}

bool Leadership::mayBootstrap() const {
  bool listed =
      std::ranges::find(bootstrap_.voters, membership_.self().address) != bootstrap_.voters.end();
  // A core that leads a bootstrap view, or may lead it, keeps it; all others may replace it.
  return bootstrap_.createsFleet && listed && isBootstrap(view_) && view_.primary != self();
}

void Leadership::bootstrapByCount(MonotonicTime now, Outbox& outbox) {
  std::vector<CoreId> cores;
  for (const auto& record : membership_.liveCores()) cores.push_back(record.core);
  std::ranges::sort(cores);
  cores.erase(std::unique(cores.begin(), cores.end()), cores.end());
  if (cores.size() != bootstrap_.expectedCores) return;
  nextView_ = View{{1}, self(), {}, {1}, cores};
  acceptedVoters_.clear();
  phase_ = LeaderPhase::kBootstrapping;
  phaseSince_ = now;
  writeReplica({{1}, ControlState::initial({1}), now, {}, {}, true}, outbox);
}

void Leadership::startBootstrapElection(MonotonicTime now, Outbox& outbox) {
  if (bootstrapBegan_ == kNever) bootstrapBegan_ = now;
  if (acceptor_.leasedToOther(self(), now)) {
    votesFreeSince_ = now;
    return;
  }
  std::vector<CoreId> bootstrappers;
  for (const auto& address : bootstrap_.voters)
    if (CoreId core = membership_.coreAt(address); core.value != 0) bootstrappers.push_back(core);
  if (bootstrappers.size() < bootstrapQuorum()) return;
  auto turn =
      std::ranges::find(bootstrap_.voters, membership_.self().address) - bootstrap_.voters.begin();
  Duration wait = kBootstrapperTurn * static_cast<double>(turn);
  if (bootstrappers.size() < bootstrap_.voters.size()) wait = wait + kMissingBootstrapperWait;
  if (now - std::max(bootstrapBegan_, votesFreeSince_) < wait) return;
  startPrepare(View{{}, self(), {}, {}, std::move(bootstrappers)}, now, outbox, true);
}

void Leadership::handleBootstrapPromise(const PrepareReply& reply, MonotonicTime now,
                                        Outbox& outbox) {
  if (!isBootstrap(reply.accepted)) {  // the fleet exists already
    releaseVotes(outbox);
    return;
  }
  promisedVoters_.insert(reply.voter);
  if (promisedVoters_.size() == previousView_.voters.size()) bootstrapWithPromised(now, outbox);
}

void Leadership::bootstrapWithPromised(MonotonicTime now, Outbox& outbox) {
  // Any bootstrap view that a voter may have accepted has the same initial state.
  nextView_.baseEpoch = nextView_.epoch;
  nextView_.voters.assign(promisedVoters_.begin(), promisedVoters_.end());
  acceptedVoters_.clear();
  ownSynced_ = false;
  phase_ = LeaderPhase::kBootstrapping;
  phaseSince_ = now;
  writeReplica({nextView_.epoch, ControlState::initial({1}), now, {}, {}, true}, outbox);
}

void Leadership::requestBootstrapAcceptance(Outbox& outbox) {
  for (CoreId voter : nextView_.voters)
    if (!acceptedVoters_.contains(voter))
      outbox.send(membership_.addressOf(voter), AcceptRequest{nextView_, true});
}

}  // namespace peppergate
