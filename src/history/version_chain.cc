#include "history/version_chain.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "history/chain_orders.h"

namespace peppergate::history {
namespace {

/// Searches for a chain of candidates, with a point in time for each.
class ChainSearch {
 public:
  explicit ChainSearch(const ChainOrders& orders) : orders_(orders) {
    for (std::size_t index = 0; index < orders.candidates.size(); ++index) {
      const Candidate& candidate = orders.candidates[index];
      for (const auto& link : candidate.links) next_[link.base].push_back({index, link.earliest});
      if (candidate.needed && !candidate.links.empty()) needed_.push_back(index);
    }
    for (const auto& refusal : orders.refusals) refusals_[refusal.base].push_back(&refusal);
  }

  bool found() { return extend(0, INT64_MIN); }
  /// The highest version that any chain reached, for the report.
  const Version& deepest() const { return deepest_; }

 private:
  struct Step {
    std::size_t candidate;
    Microseconds earliest;
  };

  const Version& versionOf(std::size_t index) const {
    return orders_.candidates[index].contents.version;
  }

  /// The first candidate above a version that must be in the chain; the end iterator if none.
  std::vector<std::size_t>::const_iterator neededAfter(const Version& version) const {
    return std::ranges::upper_bound(needed_, version, {},
                                    [this](std::size_t index) { return versionOf(index); });
  }

  /// Whether a step skips no candidate that must be in the chain.
  bool leavesNoneOut(std::size_t from, std::size_t to) const {
    auto first = neededAfter(versionOf(from));
    if (first == needed_.end() || versionOf(*first) > versionOf(to)) return true;
    if (*first != to) return false;
    auto second = std::next(first);  // two with the same version can't be in one chain
    return second == needed_.end() || versionOf(*second) > versionOf(to);
  }

  /// Whether the refusals on this base are consistent with a chain that continues with `next`, or
  /// ends here if `next` is null.
  bool refusalsFit(std::size_t current, Microseconds since, const Candidate* next,
                   Microseconds until) const {
    auto found = refusals_.find(versionOf(current));
    if (found == refusals_.end()) return true;
    return std::ranges::all_of(found->second, [&](const Refusal* refusal) {
      if (refusal->start <= since) return true;  // its base was not yet the newest version
      if (next == nullptr || refusal->contents == next->contents) return false;
      return until <= refusal->end;
    });
  }

  /// The times to try for a candidate: the earliest one, and the starts of refused attempts on it,
  /// because a refusal that starts no later than its base takes effect is consistent.
  std::vector<Microseconds> timesFor(const Candidate& candidate, Microseconds earliest) const {
    std::vector<Microseconds> times{earliest};
    if (auto found = refusals_.find(candidate.contents.version); found != refusals_.end())
      for (const Refusal* refusal : found->second)
        if (refusal->start > earliest) times.push_back(refusal->start);
    std::ranges::sort(times);
    times.erase(std::ranges::upper_bound(times, candidate.latest), times.end());
    return times;
  }

  bool extend(std::size_t current, Microseconds since) {
    if (failed_.contains({current, since})) return false;
    deepest_ = std::max(deepest_, versionOf(current));
    const bool complete = neededAfter(versionOf(current)) == needed_.end();
    if (complete && refusalsFit(current, since, nullptr, kNoEnd)) return true;
    auto steps = next_.find(versionOf(current));
    if (steps != next_.end())
      for (const Step& step : steps->second)
        if (follow(current, since, step)) return true;
    failed_.insert({current, since});
    return false;
  }

  bool follow(std::size_t current, Microseconds since, const Step& step) {
    const Candidate& next = orders_.candidates[step.candidate];
    if (!leavesNoneOut(current, step.candidate)) return false;
    const Microseconds readFrom = orders_.candidates[current].readFrom;
    const Microseconds earliest = std::max({since, step.earliest, readFrom});
    for (Microseconds time : timesFor(next, earliest)) {
      if (!refusalsFit(current, since, &next, time)) continue;
      if (extend(step.candidate, time)) return true;
    }
    return false;
  }

  const ChainOrders& orders_;
  std::map<Version, std::vector<Step>> next_;
  std::vector<std::size_t> needed_;  // by version
  std::map<Version, std::vector<const Refusal*>> refusals_;
  std::set<std::pair<std::size_t, Microseconds>> failed_;
  Version deepest_;
};

}  // namespace

Verdict checkVersionChain(const std::vector<OperatorCall>& calls) {
  const ChainOrders orders = collectChainOrders(calls);
  if (!orders.impossible.empty()) return orders.impossible;
  ChainSearch search(orders);
  if (search.found()) return {};
  Verdict causes = explainChain(orders);
  if (causes.empty())
    causes.push_back({ViolationKind::kNotLinearizable,
                      {},
                      "no chain explains all answers; the longest one ends at version " +
                          versionText(search.deepest())});
  return causes;
}

}  // namespace peppergate::history
