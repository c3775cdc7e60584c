#include "history/chain_evidence.h"

#include <algorithm>
#include <map>
#include <set>

namespace peppergate::history {
namespace {

class EvidenceCollector {
 public:
  EvidenceCollector() { candidates_[Contents{}]; }

  ChainEvidence collect(const std::vector<OperatorCall>& calls) {
    for (const auto& call : calls)
      if (call.kind == CallKind::kChange) addChange(call);
    for (const auto& call : calls)
      if (call.kind == CallKind::kRead && call.outcome == CallOutcome::kDone) addRead(call);
    for (auto& [contents, candidate] : candidates_) {
      candidate.contents = contents;
      evidence_.candidates.push_back(std::move(candidate));
    }
    return std::move(evidence_);
  }

 private:
  void addViolation(ViolationKind kind, std::string detail) {
    evidence_.violations.push_back({kind, {}, std::move(detail)});
  }

  void addChange(const OperatorCall& call) {
    const Contents contents{*call.version, call.digest};
    const bool valid = call.valid && *call.version > *call.base;
    if (!valid) {
      invalid_.insert(contents);
      if (call.outcome == CallOutcome::kDone)
        addViolation(ViolationKind::kInvalidAcknowledged,
                     "change " + call.changeKey + " is invalid but was acknowledged");
      return;
    }
    if (call.outcome == CallOutcome::kRefused) {
      refused_.insert(contents);
      evidence_.refusals.push_back({contents, *call.base, call.start, call.end, call.changeKey});
      return;
    }
    Candidate& candidate = candidates_[contents];
    ChainLink& link = findOrAddLink(candidate, call);
    link.earliestStart = std::min(link.earliestStart, call.start);
    if (call.outcome != CallOutcome::kDone) return;
    candidate.required = true;
    candidate.acknowledged = true;
    candidate.inForceBy = std::min(candidate.inForceBy, call.end);
  }

  ChainLink& findOrAddLink(Candidate& candidate, const OperatorCall& call) {
    auto found = std::ranges::find(candidate.links, *call.base, &ChainLink::base);
    if (found != candidate.links.end()) return *found;
    return candidate.links.emplace_back(ChainLink{*call.base, kNoEnd, call.changeKey});
  }

  void addRead(const OperatorCall& read) {
    evidence_.reads.push_back(read);
    Contents contents{*read.version, read.digest};
    if (contents.version == Version{}) contents.digest.clear();
    auto found = candidates_.find(contents);
    if (found == candidates_.end()) {
      addReadViolation(contents);
      return;
    }
    Candidate& candidate = found->second;
    candidate.required = true;
    candidate.inForceBy = std::min(candidate.inForceBy, read.end);
    candidate.latestReadStart = std::max(candidate.latestReadStart, read.start);
  }

  void addReadViolation(const Contents& contents) {
    const std::string version = "version " + versionText(contents.version);
    if (refused_.contains(contents))
      addViolation(ViolationKind::kRefusedContents,
                   version + " was read although every attempt was refused");
    else if (invalid_.contains(contents))
      addViolation(ViolationKind::kInvalidAcknowledged,
                   version + " was read although it is invalid");
    else if (versionWasSent(contents.version))
      addViolation(ViolationKind::kTwoContents,
                   version + " was read with contents that were not sent");
    else
      addViolation(ViolationKind::kUnknownContents, version + " was read but no operator sent it");
  }

  bool versionWasSent(const Version& version) const {
    return std::ranges::any_of(candidates_,
                               [&](const auto& entry) { return entry.first.version == version; });
  }

  std::map<Contents, Candidate> candidates_;
  std::set<Contents> invalid_, refused_;
  ChainEvidence evidence_;
};

class ViolationExplainer {
 public:
  explicit ViolationExplainer(const ChainEvidence& evidence) : evidence_(evidence) {}

  Violations explain() {
    explainConflicts();
    for (const auto& refusal : evidence_.refusals) explainRefusal(refusal);
    for (const auto& read : evidence_.reads) explainRead(read);
    return std::move(violations_);
  }

 private:
  void addViolation(ViolationKind kind, std::string detail) {
    violations_.push_back({kind, {}, std::move(detail)});
  }

  static bool haveSameBase(const Candidate& one, const Candidate& other) {
    return one.links.size() == 1 && other.links.size() == 1 &&
           one.links[0].base == other.links[0].base;
  }

  void explainConflicts() {
    std::map<Version, const Candidate*> byVersion, byBase;
    for (const auto& candidate : evidence_.candidates) {
      if (!candidate.required || candidate.links.empty()) continue;
      auto [same, isFirstOfVersion] = byVersion.try_emplace(candidate.contents.version, &candidate);
      if (!isFirstOfVersion)
        addViolation(ViolationKind::kTwoContents,
                     "version " + versionText(candidate.contents.version) + " has two contents");
      auto [base, isFirstOnBase] = byBase.try_emplace(candidate.links[0].base, &candidate);
      if (!isFirstOnBase && haveSameBase(*base->second, candidate))
        addViolation(ViolationKind::kTwoChangesOnOneBase,
                     "versions " + versionText(base->second->contents.version) + " and " +
                         versionText(candidate.contents.version) + " both took effect on " +
                         versionText(candidate.links[0].base));
    }
  }

  const Candidate* findCandidate(const Contents& contents) const {
    auto found = std::ranges::find(evidence_.candidates, contents, &Candidate::contents);
    return found == evidence_.candidates.end() ? nullptr : &*found;
  }

  bool otherChangeMayFollow(const Refusal& refusal) const {
    return std::ranges::any_of(evidence_.candidates, [&](const Candidate& candidate) {
      return std::ranges::any_of(candidate.links, [&](const ChainLink& link) {
        return link.base == refusal.base && link.earliestStart <= refusal.end;
      });
    });
  }

  bool baseWasInForce(const Refusal& refusal) const {
    if (refusal.base == Version{}) return true;
    return std::ranges::any_of(evidence_.candidates, [&](const Candidate& candidate) {
      return candidate.contents.version == refusal.base && candidate.inForceBy < refusal.start;
    });
  }

  void explainRefusal(const Refusal& refusal) {
    const Candidate* applied = findCandidate(refusal.contents);
    const bool sameBase =
        applied != nullptr &&
        std::ranges::find(applied->links, refusal.base, &ChainLink::base) != applied->links.end();
    if (sameBase && applied->required && applied->inForceBy < refusal.start)
      addViolation(ViolationKind::kRefusedAfterApplied,
                   "change " + refusal.changeKey + " took effect and was refused later");
    else if (baseWasInForce(refusal) && !otherChangeMayFollow(refusal))
      addViolation(ViolationKind::kRefusedOnNewest,
                   "change " + refusal.changeKey +
                       " was refused although it is based on the newest version");
  }

  void explainRead(const OperatorCall& read) {
    for (const auto& candidate : evidence_.candidates) {
      const bool newer = candidate.contents.version > *read.version;
      if (!newer || !candidate.required || candidate.inForceBy >= read.start) continue;
      addViolation(read.finalRead ? ViolationKind::kLostChange : ViolationKind::kStaleRead,
                   "version " + versionText(*read.version) + " was read after " +
                       versionText(candidate.contents.version) + " was acknowledged or read");
      return;
    }
  }

  const ChainEvidence& evidence_;
  Violations violations_;
};

}  // namespace

ChainEvidence collectChainEvidence(const std::vector<OperatorCall>& calls) {
  return EvidenceCollector().collect(calls);
}

Violations explainViolations(const ChainEvidence& evidence) {
  return ViolationExplainer(evidence).explain();
}

}  // namespace peppergate::history
