#include "history/version_chain.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "history/chain_evidence.h"

namespace peppergate::history {
namespace {

/// Searches for a chain of candidates, with a point in time for each.
class ChainSearch {
 public:
  explicit ChainSearch(const ChainEvidence& evidence) : evidence_(evidence) {
    for (std::size_t index = 0; index < evidence.candidates.size(); ++index) {
      const Candidate& candidate = evidence.candidates[index];
      for (const auto& link : candidate.links)
        stepsByBase_[link.base].push_back({index, link.earliestStart});
      if (candidate.required && !candidate.links.empty()) required_.push_back(index);
    }
    for (const auto& refusal : evidence.refusals) refusalsByBase_[refusal.base].push_back(&refusal);
  }

  bool findChain() { return extend(0, INT64_MIN); }
  /// The highest version that any chain reached, for the report.
  const Version& highestVersion() const { return highestVersion_; }

 private:
  struct Step {
    std::size_t candidate;
    Microseconds earliestStart;
  };

  const Version& versionOf(std::size_t index) const {
    return evidence_.candidates[index].contents.version;
  }

  /// The first candidate above a version that must be in the chain; the end iterator if none.
  std::vector<std::size_t>::const_iterator firstRequiredAfter(const Version& version) const {
    return std::ranges::upper_bound(required_, version, {},
                                    [this](std::size_t index) { return versionOf(index); });
  }

  /// Whether a step skips no candidate that must be in the chain.
  bool skipsNoneRequired(std::size_t from, std::size_t to) const {
    auto first = firstRequiredAfter(versionOf(from));
    if (first == required_.end() || versionOf(*first) > versionOf(to)) return true;
    if (*first != to) return false;
    auto second = std::next(first);  // two with the same version can't be in one chain
    return second == required_.end() || versionOf(*second) > versionOf(to);
  }

  /// Whether the refusals on this base are consistent with a chain that continues with `next`, or
  /// ends here if `next` is null.
  bool refusalsAreConsistent(std::size_t current, Microseconds inForceSince, const Candidate* next,
                             Microseconds until) const {
    auto found = refusalsByBase_.find(versionOf(current));
    if (found == refusalsByBase_.end()) return true;
    return std::ranges::all_of(found->second, [&](const Refusal* refusal) {
      if (refusal->start <= inForceSince) return true;  // its base was not yet the newest version
      if (next == nullptr || refusal->contents == next->contents) return false;
      return until <= refusal->end;
    });
  }

  /// The times to try for a candidate: the earliest one, and the starts of refused attempts on it,
  /// because a refusal that starts no later than its base takes effect is consistent.
  std::vector<Microseconds> candidateTimes(const Candidate& candidate,
                                           Microseconds earliest) const {
    std::vector<Microseconds> times{earliest};
    if (auto found = refusalsByBase_.find(candidate.contents.version);
        found != refusalsByBase_.end())
      for (const Refusal* refusal : found->second)
        if (refusal->start > earliest) times.push_back(refusal->start);
    std::ranges::sort(times);
    times.erase(std::ranges::upper_bound(times, candidate.inForceBy), times.end());
    return times;
  }

  bool extend(std::size_t current, Microseconds inForceSince) {
    if (deadEnds_.contains({current, inForceSince})) return false;
    highestVersion_ = std::max(highestVersion_, versionOf(current));
    const bool complete = firstRequiredAfter(versionOf(current)) == required_.end();
    if (complete && refusalsAreConsistent(current, inForceSince, nullptr, kNoEnd)) return true;
    auto steps = stepsByBase_.find(versionOf(current));
    if (steps != stepsByBase_.end())
      for (const Step& step : steps->second)
        if (followStep(current, inForceSince, step)) return true;
    deadEnds_.insert({current, inForceSince});
    return false;
  }

  bool followStep(std::size_t current, Microseconds inForceSince, const Step& step) {
    const Candidate& next = evidence_.candidates[step.candidate];
    if (!skipsNoneRequired(current, step.candidate)) return false;
    const Microseconds latestReadStart = evidence_.candidates[current].latestReadStart;
    const Microseconds earliest = std::max({inForceSince, step.earliestStart, latestReadStart});
    for (Microseconds time : candidateTimes(next, earliest)) {
      if (!refusalsAreConsistent(current, inForceSince, &next, time)) continue;
      if (extend(step.candidate, time)) return true;
    }
    return false;
  }

  const ChainEvidence& evidence_;
  std::map<Version, std::vector<Step>> stepsByBase_;
  std::vector<std::size_t> required_;  // by version
  std::map<Version, std::vector<const Refusal*>> refusalsByBase_;
  std::set<std::pair<std::size_t, Microseconds>> deadEnds_;
  Version highestVersion_;
};

}  // namespace

Violations checkVersionChain(const std::vector<OperatorCall>& calls) {
  const ChainEvidence evidence = collectChainEvidence(calls);
  if (!evidence.violations.empty()) return evidence.violations;
  ChainSearch search(evidence);
  if (search.findChain()) return {};
  Violations causes = explainViolations(evidence);
  if (causes.empty())
    causes.push_back({ViolationKind::kNotLinearizable,
                      {},
                      "no chain explains all answers; the longest one ends at version " +
                          versionText(search.highestVersion())});
  return causes;
}

}  // namespace peppergate::history
