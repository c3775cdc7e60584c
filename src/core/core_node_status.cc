// The status page of a core node.
#include <array>

#include "core/core_node.h"

namespace peppergate {

Json CoreNode::status(MonotonicTime now) const {
  static constexpr std::array<std::string_view, 6> kPhases{"following", "founding",  "gathering",
                                                           "copying",   "accepting", "leading"};
  const View& view = leadership_->view();
  Json counters = Json::object();
  for (const auto& [name, value] : outbox_.counters()) counters[name] = value;
  Json voters = Json::array();
  for (CoreId voter : view.voters)
    voters.push_back({{"core", voter.value}, {"address", membership_->addressOf(voter).value}});
  Json backups = Json::array();
  for (CoreId backup : view.backups) backups.push_back(membership_->addressOf(backup).value);
  return {{"role", "core"},
          {"core", acceptor_->record().identity.value},
          {"address", membership_->self().address.value},
          {"district", membership_->self().zone.value},
          {"phase", kPhases[static_cast<std::size_t>(leadership_->phase())]},
          {"leads", leadership_->hasLeaderLease(now)},
          {"vouches", readOnlyLeader_->hasReadLease(now)},
          {"proofFrom", follower_->proofSource(now)},
          {"diskSuspect", leadership_->isDiskSuspect()},
          {"diskStalled", leadership_->isDiskStalled()},
          {"view",
           {{"epoch", view.epoch.value},
            {"primary", membership_->addressOf(view.primary).value},
            {"backups", backups},
            {"confirmed", view.baseEpoch == view.epoch && !view.backups.empty()},
            {"voters", voters}}},
          {"copyTag", leadership_->replicaTag().value},
          {"proofAgeMilliseconds", inMilliseconds(follower_->proofAge(now))},
          {"hasPrimary", follower_->isFresh(now)},
          {"members", membership_->liveMembers().size()},
          {"sections", toJson(follower_->installedVersions())},
          {"counters", counters}};
}

}  // namespace peppergate
