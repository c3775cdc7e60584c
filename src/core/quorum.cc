#include "core/quorum.h"

#include <algorithm>

namespace peppergate {
namespace {

/// How many common voters a majority of a set contains at least, if it includes all voters outside
/// of the common ones.
std::size_t minCommonVotersInMajority(std::size_t voters, std::size_t common) {
  std::size_t outside = voters - common;
  std::size_t majority = majoritySize(voters);
  return majority > outside ? majority - outside : 0;
}

bool includesHalf(const std::set<CoreId>& cores, const std::vector<CoreId>& voters) {
  auto count = std::ranges::count_if(voters, [&](CoreId voter) { return cores.contains(voter); });
  return static_cast<std::size_t>(count) * 2 >= voters.size();
}

}  // namespace

bool majoritiesIntersect(const std::vector<CoreId>& left, const std::vector<CoreId>& right) {
  auto common = static_cast<std::size_t>(std::ranges::count_if(
      left, [&](CoreId voter) { return std::ranges::find(right, voter) != right.end(); }));
  return minCommonVotersInMajority(left.size(), common) +
             minCommonVotersInMajority(right.size(), common) >
         common;
}

std::set<CoreId> allVoters(const View& view) {
  std::set<CoreId> voters(view.voters.begin(), view.voters.end());
  voters.insert(view.formerVoters.begin(), view.formerVoters.end());
  return voters;
}

bool isVoterIn(const View& view, CoreId core) {
  return std::ranges::find(view.voters, core) != view.voters.end() ||
         std::ranges::find(view.formerVoters, core) != view.formerVoters.end();
}

bool blocksMajorities(const std::set<CoreId>& cores, const View& view) {
  return includesHalf(cores, view.voters) && includesHalf(cores, view.formerVoters);
}

}  // namespace peppergate
