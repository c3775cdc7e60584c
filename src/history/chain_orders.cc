#include "history/chain_orders.h"

#include <algorithm>
#include <map>
#include <set>

namespace peppergate::history {
namespace {

class Collector {
 public:
  Collector() { candidates_[Contents{}]; }

  ChainOrders collect(const std::vector<OperatorCall>& calls) {
    for (const auto& call : calls)
      if (call.kind == CallKind::kChange) takeChange(call);
    for (const auto& call : calls)
      if (call.kind == CallKind::kRead && call.outcome == Outcome::kDone) takeRead(call);
    for (auto& [contents, candidate] : candidates_) {
      candidate.contents = contents;
      orders_.candidates.push_back(std::move(candidate));
    }
    return std::move(orders_);
  }

 private:
  void fail(ViolationKind kind, std::string detail) {
    orders_.impossible.push_back({kind, {}, std::move(detail)});
  }

  void takeChange(const OperatorCall& call) {
    const Contents contents{*call.version, call.digest};
    const bool proper = call.proper && *call.version > *call.base;
    if (!proper) {
      improper_.insert(contents);
      if (call.outcome == Outcome::kDone)
        fail(ViolationKind::kImproperAcknowledged,
             "change " + call.order + " is invalid but was acknowledged");
      return;
    }
    if (call.outcome == Outcome::kRefused) {
      refused_.insert(contents);
      orders_.refusals.push_back({contents, *call.base, call.start, call.end, call.order});
      return;
    }
    Candidate& candidate = candidates_[contents];
    ChainLink& link = linkOf(candidate, call);
    link.earliest = std::min(link.earliest, call.start);
    if (call.outcome != Outcome::kDone) return;
    candidate.needed = true;
    candidate.acknowledged = true;
    candidate.latest = std::min(candidate.latest, call.end);
  }

  ChainLink& linkOf(Candidate& candidate, const OperatorCall& call) {
    auto found = std::ranges::find(candidate.links, *call.base, &ChainLink::base);
    if (found != candidate.links.end()) return *found;
    return candidate.links.emplace_back(ChainLink{*call.base, kNoEnd, call.order});
  }

  void takeRead(const OperatorCall& read) {
    orders_.reads.push_back(read);
    Contents contents{*read.version, read.digest};
    if (contents.version == Version{}) contents.digest.clear();
    auto found = candidates_.find(contents);
    if (found == candidates_.end()) {
      failRead(contents);
      return;
    }
    Candidate& candidate = found->second;
    candidate.needed = true;
    candidate.latest = std::min(candidate.latest, read.end);
    candidate.readFrom = std::max(candidate.readFrom, read.start);
  }

  void failRead(const Contents& contents) {
    const std::string version = "version " + versionText(contents.version);
    if (refused_.contains(contents))
      fail(ViolationKind::kRefusedContents,
           version + " was read although every attempt was refused");
    else if (improper_.contains(contents))
      fail(ViolationKind::kImproperAcknowledged, version + " was read although it is invalid");
    else if (numberWasSent(contents.version))
      fail(ViolationKind::kTwoContents, version + " was read with contents that were not sent");
    else fail(ViolationKind::kUnknownContents, version + " was read but no operator sent it");
  }

  bool numberWasSent(const Version& version) const {
    return std::ranges::any_of(candidates_,
                               [&](const auto& entry) { return entry.first.version == version; });
  }

  std::map<Contents, Candidate> candidates_;
  std::set<Contents> improper_, refused_;
  ChainOrders orders_;
};

class Explainer {
 public:
  explicit Explainer(const ChainOrders& orders) : orders_(orders) {}

  Verdict explain() {
    explainPairs();
    for (const auto& refusal : orders_.refusals) explainRefusal(refusal);
    for (const auto& read : orders_.reads) explainRead(read);
    return std::move(verdict_);
  }

 private:
  void fail(ViolationKind kind, std::string detail) {
    verdict_.push_back({kind, {}, std::move(detail)});
  }

  static bool onOneBase(const Candidate& one, const Candidate& other) {
    return one.links.size() == 1 && other.links.size() == 1 &&
           one.links[0].base == other.links[0].base;
  }

  void explainPairs() {
    std::map<Version, const Candidate*> byVersion, byBase;
    for (const auto& candidate : orders_.candidates) {
      if (!candidate.needed || candidate.links.empty()) continue;
      auto [same, first] = byVersion.try_emplace(candidate.contents.version, &candidate);
      if (!first)
        fail(ViolationKind::kTwoContents,
             "version " + versionText(candidate.contents.version) + " has two contents");
      auto [base, firstOn] = byBase.try_emplace(candidate.links[0].base, &candidate);
      if (!firstOn && onOneBase(*base->second, candidate))
        fail(ViolationKind::kTwoOnOneBase,
             "versions " + versionText(base->second->contents.version) + " and " +
                 versionText(candidate.contents.version) + " both took effect on " +
                 versionText(candidate.links[0].base));
    }
  }

  const Candidate* knownAs(const Contents& contents) const {
    auto found = std::ranges::find(orders_.candidates, contents, &Candidate::contents);
    return found == orders_.candidates.end() ? nullptr : &*found;
  }

  bool othersMayFollow(const Refusal& refusal) const {
    return std::ranges::any_of(orders_.candidates, [&](const Candidate& candidate) {
      return std::ranges::any_of(candidate.links, [&](const ChainLink& link) {
        return link.base == refusal.base && link.earliest <= refusal.end;
      });
    });
  }

  bool baseWasInForce(const Refusal& refusal) const {
    if (refusal.base == Version{}) return true;
    return std::ranges::any_of(orders_.candidates, [&](const Candidate& candidate) {
      return candidate.contents.version == refusal.base && candidate.latest < refusal.start;
    });
  }

  void explainRefusal(const Refusal& refusal) {
    const Candidate* taken = knownAs(refusal.contents);
    const bool sameBase =
        taken != nullptr &&
        std::ranges::find(taken->links, refusal.base, &ChainLink::base) != taken->links.end();
    if (sameBase && taken->needed && taken->latest < refusal.start)
      fail(ViolationKind::kRefusedRepeat,
           "change " + refusal.order + " took effect and was refused later");
    else if (baseWasInForce(refusal) && !othersMayFollow(refusal))
      fail(ViolationKind::kRefusedOnNewest,
           "change " + refusal.order + " was refused although it is based on the newest version");
  }

  void explainRead(const OperatorCall& read) {
    for (const auto& candidate : orders_.candidates) {
      const bool newer = candidate.contents.version > *read.version;
      if (!newer || !candidate.needed || candidate.latest >= read.start) continue;
      fail(read.final ? ViolationKind::kLostChange : ViolationKind::kStaleRead,
           "version " + versionText(*read.version) + " was read after " +
               versionText(candidate.contents.version) + " was acknowledged or read");
      return;
    }
  }

  const ChainOrders& orders_;
  Verdict verdict_;
};

}  // namespace

ChainOrders collectChainOrders(const std::vector<OperatorCall>& calls) {
  return Collector().collect(calls);
}

Verdict explainChain(const ChainOrders& orders) { return Explainer(orders).explain(); }

}  // namespace peppergate::history
