#include "core/follower.h"

#include <algorithm>
#include <span>

namespace peppergate {
namespace {

constexpr std::size_t kMaxOpenRequests = 32;  // open requests; answers to older ones are ignored
constexpr int kRelaysPerRound = 3;            // members asked in one round
constexpr Duration kPreferRelayFor = seconds(0.7);  // two to three rounds without an answer

}  // namespace

Follower::Follower(const Options& options, Membership& membership, Random& random)
    : FollowerCollaborators(membership, random), options_(options) {}

MonotonicTime Follower::sendRequest(const Address& to, ResponderRole responder, bool relayed,
                                    MonotonicTime now, Outbox& outbox) {
  if (to.value.empty() || to == membership_.self().address) return kNever;
  // Requests sent at the same time get different timestamps, so that each answer finds its request.
  MonotonicTime stamp = std::max(now, lastRequestStamp_ + Duration{1});
  lastRequestStamp_ = stamp;
  openRequests_[stamp] = {to, responder, now};
  while (openRequests_.size() > kMaxOpenRequests) openRequests_.erase(openRequests_.begin());
  outbox.count(relayed ? "news.askedRelay" : "news.askedPrimary");
  outbox.send(to, StateRequest{membership_.self().member, stamp, installedVersions_, relayed});
  return stamp;
}

void Follower::requestFromLeader(const Address& leader, bool relayed, MonotonicTime now,
                                 Outbox& outbox) {
  awaitsLeader_ = true;
  leaderRequestedAt_ = now;
  leaderRequestStamp_ = sendRequest(leader, ResponderRole::kLeader, relayed, now, outbox);
}

Address Follower::nextRelay() {
  // All members in turn, in random order: during a partition most known members may be as
  // unreachable as the leader, and a silent one isn't asked again before all others.
  if (relayQueue_.empty()) {
    for (const auto& record : membership_.liveMembers())
      if (record.address != membership_.self().address) relayQueue_.push_back(record.address);
    random_.shuffle(std::span(relayQueue_));
  }
  if (relayQueue_.empty()) return {};
  Address relay = std::move(relayQueue_.back());
  relayQueue_.pop_back();
  return relay;
}

void Follower::tick(MonotonicTime now, Outbox& outbox) {
  if (proofSource(now) != lastProofSource_) {
    lastProofSource_ = proofSource(now);
    outbox.count("proofs.by." + std::string(lastProofSource_));
    outbox.push(LogState{"proofs now from " + std::string(lastProofSource_)});
  }
  // Without a reachable leader, a read-only leader on this side of the partition answers instead.
  bool noPrimary = now - leaderProofOrigin_ > options_.stateRequestTimeout + milliseconds(200);
  if (noPrimary && now - readOnlyLeaderHeardAt_ < seconds(2) &&
      now - readOnlyLeaderRequestedAt_ > options_.stateRequestWait) {
    readOnlyLeaderRequestedAt_ = now;
    sendRequest(readOnlyLeader_, ResponderRole::kRelay, true, now, outbox);
  }
  if (now < nextRequestAt_) return;
  Address primary = membership_.addressOf(view_.primary);
  bool leaderIsSilent = awaitsLeader_ && now - leaderRequestedAt_ > options_.stateRequestTimeout;
  if (!primary.value.empty() && (!awaitsLeader_ || leaderIsSilent))
    requestFromLeader(primary, false, now, outbox);
  // Without a proof from the leader, other members are asked as relays, with random jitter.
  bool needsRelay = primary.value.empty() ||
                    now - proofOrigin_ > options_.stateRequestTimeout + milliseconds(200);
  if (needsRelay && now - relayRequestedAt_ > milliseconds(200)) {
    relayRequestedAt_ = now + milliseconds(static_cast<std::int64_t>(random_.below(150)));
    requestFromRelays(now, outbox);
  }
}

void Follower::requestFromRelays(MonotonicTime now, Outbox& outbox) {
  // A member that recently relayed a younger proof is asked again; else members are tried in turn.
  if (now - relayHeardAt_ < kPreferRelayFor) {
    sendRequest(preferredRelay_, ResponderRole::kRelay, true, now, outbox);
    return;
  }
  for (int turn = 0; turn < kRelaysPerRound; ++turn)
    sendRequest(nextRelay(), ResponderRole::kRelay, true, now, outbox);
}

void Follower::requestProofNow(MonotonicTime now, Outbox& outbox) {
  Address primary = membership_.addressOf(view_.primary);
  if (!primary.value.empty()) requestFromLeader(primary, true, now, outbox);
  if (primary.value.empty() || now - leaderProofOrigin_ > options_.stateRequestTimeout)
    requestFromRelays(now, outbox);
}

void Follower::requestFromLeaderAgain(MonotonicTime now, Outbox& outbox) {
  // The next request tells the leader which versions are in force here: its acknowledgement of a
  // change waits for that.
  requestFromLeader(membership_.addressOf(view_.primary), false, now, outbox);
}

void Follower::noteSettledView(const View& view) {
  bool final = view.epoch == settledView_.epoch && view.formerVoters.empty();
  if (view.epoch > settledView_.epoch || final) settledView_ = view;
}

void Follower::noteView(const View& view) {
  if (view.epoch > view_.epoch) {
    view_ = view;
    awaitsLeader_ = false;
    nextRequestAt_ = {};
  }
}

void Follower::recordInstall(std::string section, const SectionVersion& version, MonotonicTime now,
                             Outbox& outbox) {
  outbox.count("installs." + section);
  outbox.push(LogState{section + " " + versionText(version) + " in force"});
  installs_.push_back({std::move(section), version, now, now});
  if (installs_.size() > 256) installs_.pop_front();
  ++changeCount_;
}

bool Follower::isNewer(const SectionVersion& offered, const SectionVersion& installed) const {
  return offered > installed ||
         (offered != installed && !options_.isGuardEnabled(SafetyGuard::kMonotonicVersions));
}

template <class Reader, class Taker>
void Follower::installSection(std::string_view name, const OfferedSection& offered, Reader read,
                              Taker take, MonotonicTime now, Outbox& outbox) {
  // A section is only replaced by a newer one that can be parsed.
  if (offered.text.empty() || !isNewer(offered.version, offered.installedVersion)) return;
  auto section = read(offered.text);
  if (!section.ok()) {
    outbox.count("installs.unreadable");
    return;
  }
  take(std::move(*section));
  offered.installedText = offered.text;
  offered.installedVersion = offered.version;
  recordInstall(std::string(name), offered.installedVersion, now, outbox);
}

void Follower::installWeights(Weights weights) {
  // A process that just started can't know when these weights were published.
  bool isFirst = installedVersions_.weights.epoch.value == 0;
  weightsPublishedSince_ = isFirst ? kNever : leaderProofOrigin_;
  if (weights.version > weights_.version)
    weightsKnownSince_[weights.version] = weightsPublishedSince_;
  weights_ = std::move(weights);
}

void Follower::install(const StateReply& reply, MonotonicTime now, Outbox& outbox) {
  installSection(
      "setup", {reply.setup, reply.now.setup, installedVersions_.setup, setupText_}, readSetup,
      [this](Setup setup) { setup_ = std::move(setup); }, now, outbox);
  installSection(
      "keys", {reply.keys, reply.now.keys, installedVersions_.keys, keysText_}, readKeys,
      [this](Keys keys) { keys_ = std::move(keys); }, now, outbox);
  installSection(
      "weights", {reply.weights, reply.now.weights, installedVersions_.weights, weightsText_},
      readWeights, [&](Weights weights) { installWeights(std::move(weights)); }, now, outbox);
}

void Follower::handle(const Address& from, const StateReply& reply, MonotonicTime now,
                      Outbox& outbox) {
  if (reply.sentAt == kUnsolicited) {  // published state, pushed before the next request
    noteView(reply.view);              // tells whom to ask, but isn't a proof
    std::uint64_t countBefore = changeCount_;
    install(reply, now, outbox);
    if (changeCount_ != countBefore) requestFromLeaderAgain(now, outbox);
    return;
  }
  auto found = openRequests_.find(reply.sentAt);
  if (found == openRequests_.end() || found->second.to != from) {
    outbox.count("news.unasked");
    return;
  }
  const OpenRequest request = found->second;
  noteView(reply.view);
  if (reply.sentAt == leaderRequestStamp_) {
    awaitsLeader_ = false;
    if (!reply.proof) nextRequestAt_ = now + milliseconds(100);  // no longer the leader
  }
  if (!reply.proof) return;
  noteSettledView(reply.view);
  std::uint64_t countBefore = changeCount_;
  install(reply, now, outbox);
  if (changeCount_ != countBefore && !reply.attested) requestFromLeaderAgain(now, outbox);
  // The proof only counts if all versions that it names are in force here.
  bool allInstalled = installedVersions_.setup >= reply.now.setup &&
                      installedVersions_.keys >= reply.now.keys &&
                      installedVersions_.weights >= reply.now.weights;
  if (!allInstalled) {
    outbox.count("news.partial");
    return;
  }
  MonotonicTime origin = request.sentAt - reply.proofAge;
  // Two members on the same side of a partition only relay the same old proof to each other.
  bool younger = origin > proofOrigin_;
  if (request.responder == ResponderRole::kRelay && younger &&
      now - origin < options_.proofLimit * 0.7) {
    preferredRelay_ = from;
    relayHeardAt_ = now;
  }
  proofOrigin_ = std::max(proofOrigin_, origin);
  if (!reply.attested) noteLeaderProof(reply, origin);
}

void Follower::noteLeaderProof(const StateReply& reply, MonotonicTime origin) {
  if (origin < leaderProofOrigin_) return;
  leaderProofOrigin_ = origin;
  leaderProofEpoch_ = std::max(leaderProofEpoch_, reply.view.epoch);
  provenVersions_ = reply.publishedByLeader;
}

void Follower::noteReadOnlyLeader(const Address& from, MonotonicTime now, Outbox& outbox) {
  if (from != readOnlyLeader_) outbox.count("caretakers.heard");
  readOnlyLeader_ = from;
  readOnlyLeaderHeardAt_ = now;
}

std::string_view Follower::proofSource(MonotonicTime now) const {
  if (now - proofOrigin_ >= options_.proofLimit) return "nobody";
  return proofOrigin_ > leaderProofOrigin_ ? "caretaker" : "primary";
}

StateReply Follower::relayReply(const StateRequest& request, MonotonicTime now) const {
  StateReply reply;
  reply.sentAt = request.sentAt;
  reply.now = installedVersions_;
  reply.publishedByLeader = provenVersions_;
  reply.proof = hasConfiguration() && isFresh(now);
  reply.attested = proofOrigin_ > leaderProofOrigin_;
  reply.view = reply.proof ? settledView_ : view_;
  reply.proofAge = proofAge(now);
  if (reply.proof) addNewerSections(reply, request.have);
  return reply;
}

void Follower::installOwnState(const ControlState& state, const View& view, MonotonicTime now,
                               Outbox& outbox) {
  noteView(view);
  noteSettledView(view);
  if (installedVersions_ != state.sections()) {  // serializing a large state is slow
    StateReply reply;
    reply.now = state.sections();
    reply.setup = state.setupText();
    reply.keys = state.keysText();
    reply.weights = state.weightsText();
    install(reply, now, outbox);
  }
  proofOrigin_ = leaderProofOrigin_ = now;
  leaderProofEpoch_ = std::max(leaderProofEpoch_, view.epoch);
  provenVersions_ = state.sections();
}

bool Follower::withdrawKey(const KeyDigest& digest, Outbox& outbox) {
  if (!withdrawnKeys_.insert(digest).second) return false;
  recentlyWithdrawn_.push_back(digest);
  if (recentlyWithdrawn_.size() > 64) recentlyWithdrawn_.pop_front();
  ++changeCount_;
  outbox.count("keys.withdrawnHeard");
  return true;
}

const TenantId* Follower::tenantOf(const KeyDigest& digest) const {
  if (keys_.withdrawn.contains(digest) || withdrawnKeys_.contains(digest)) return nullptr;
  auto found = keys_.live.find(digest);
  return found == keys_.live.end() ? nullptr : &found->second;
}

MonotonicTime Follower::outdatedSince(WeightsVersion version) const {
  auto next = weightsKnownSince_.upper_bound(version);
  return next == weightsKnownSince_.end() ? kForever : next->second;
}

bool Follower::weightsAllowed(WeightsVersion version, MonotonicTime now) const {
  if (version > weights_.version || version.value == 0) return false;
  MonotonicTime since = outdatedSince(version);
  return since == kForever || now - since < options_.oldWeightsLimit ||
         !options_.isGuardEnabled(SafetyGuard::kOldWeights);
}

}  // namespace peppergate
