#pragma once
// Keeps a process's copy of the configuration, keys and weights up to date, and tracks its age.
#include <deque>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "core/collaborators.h"
#include "core/control_state.h"
#include "core/membership.h"

namespace peppergate {

/// When a version arrived at this process and was applied; shown by `peppergate trace`.
struct InstallRecord {
  std::string section;
  SectionVersion version;
  MonotonicTime receivedAt;
  MonotonicTime appliedAt;
};

/// Follows the control state: asks the leader, or other members as relays, for proofs that the copy
/// here is the newest, and installs newer sections. Without a fresh proof no new stream may start.
class Follower : private FollowerCollaborators {
 public:
  Follower(const Options& options, Membership& membership, Random& random);

  /// Asks the leader, or members as relays, when due.
  void tick(MonotonicTime now, Outbox& outbox);
  /// Asks the leader for a proof at once, and also relays if it is silent; used when an operator
  /// reads the configuration.
  void requestProofNow(MonotonicTime now, Outbox& outbox);
  /// Installs newer sections of a reply and takes its proof.
  void handle(const Address& from, const StateReply& reply, MonotonicTime now, Outbox& outbox);
  /// Answers another member's request from the state here, with the age of its proof.
  StateReply relayReply(const StateRequest& request, MonotonicTime now) const;
  /// Installs the leader's own published state; called on the leader itself.
  void installOwnState(const ControlState& state, const View& view, MonotonicTime now,
                       Outbox& outbox);
  /// Installs newer sections that are known to be durable, without a proof: for instance those that
  /// a leader asks this voter to store.
  void installDurable(const StateReply& reply, MonotonicTime now, Outbox& outbox) {
    install(reply, now, outbox);
  }
  /// Counts as a proof of now: this core is a read-only leader with a valid lease.
  void proveAsReadOnlyLeader(MonotonicTime now) { proofOrigin_ = std::max(proofOrigin_, now); }
  /// Notes the address of a read-only leader that announced itself.
  void noteReadOnlyLeader(const Address& from, MonotonicTime now, Outbox& outbox);
  /// Adds the sections that are newer than `have`.
  template <class Answer>
  void addNewerSections(Answer& reply, const SectionVersions& have) const {
    reply.now = installedVersions_;
    if (installedVersions_.setup > have.setup) reply.setup = setupText_;
    if (installedVersions_.keys > have.keys) reply.keys = keysText_;
    if (installedVersions_.weights > have.weights) reply.weights = weightsText_;
  }
  /// Applies the withdrawal of a key at once and passes it on; returns whether it was new here.
  bool withdrawKey(const KeyDigest& digest, Outbox& outbox);
  /// The withdrawn keys to gossip.
  std::vector<KeyDigest> recentlyWithdrawn() const {
    return {recentlyWithdrawn_.begin(), recentlyWithdrawn_.end()};
  }
  /// Takes a newer view without a proof, as from the acceptor of this core.
  void noteView(const View& view);

  /// Whether the newest proof is young enough for new streams.
  bool isFresh(MonotonicTime now) const {
    return now - proofOrigin_ < options_.proofLimit ||
           !options_.isGuardEnabled(SafetyGuard::kFreshness);
  }
  /// The origin of the newest proof of a leader, not of a read-only one.
  MonotonicTime leaderProofOrigin() const { return leaderProofOrigin_; }
  /// The highest epoch of a view in which a leader gave a proof; 0 before the first one.
  Epoch leaderProofEpoch() const { return leaderProofEpoch_; }
  /// The versions in the newest proof of a leader; empty before the first one.
  const SectionVersions& provenVersions() const { return provenVersions_; }
  /// Whether the configuration here is the newest acknowledged one as of `since`: a leader proved
  /// its state at or after that time, and exactly that state is installed. A replica may have a
  /// change that was never acknowledged; it isn't readable before a leader shows it.
  bool isReadable(MonotonicTime since) const {
    return leaderProofOrigin_ >= since && installedVersions_.setup == provenVersions_.setup;
  }
  /// Whether the newest proof is young enough for open streams to continue: a key may have been
  /// withdrawn since.
  bool mayContinueStreams(MonotonicTime now) const {
    return now - proofOrigin_ < options_.liveLimit ||
           !options_.isGuardEnabled(SafetyGuard::kStaleStreamEnd) ||
           !options_.isGuardEnabled(SafetyGuard::kFreshness);  // it backs up this check
  }
  /// Who gave the newest proof: "primary", "caretaker" for a read-only leader, or "nobody" if the
  /// proof is too old.
  std::string_view proofSource(MonotonicTime now) const;
  /// The age of the newest proof.
  Duration proofAge(MonotonicTime now) const { return now - proofOrigin_; }
  bool hasConfiguration() const { return installedVersions_.setup.epoch.value != 0; }
  const SectionVersions& installedVersions() const { return installedVersions_; }
  const Setup& setup() const { return setup_; }
  const Keys& keys() const { return keys_; }
  const Weights& weights() const { return weights_; }
  /// The earliest time at which these weights may have been published: a leader still showed the
  /// previous ones then. `kNever` for the first weights that this process saw.
  MonotonicTime weightsPublishedSince() const { return weightsPublishedSince_; }
  const View& view() const { return view_; }
  /// The newest view that came with a proof, so that it is settled.
  const View& settledView() const { return settledView_; }
  const std::string& setupText() const { return setupText_; }
  /// The tenant of a key; null if the key is unknown or withdrawn.
  const TenantId* tenantOf(const KeyDigest& digest) const;
  /// When a newer version of the weights became known; `kForever` if this one is the newest.
  MonotonicTime outdatedSince(WeightsVersion version) const;
  /// Whether work may still start on this version of the weights.
  bool weightsAllowed(WeightsVersion version, MonotonicTime now) const;
  /// Incremented by each installed section and each withdrawal.
  std::uint64_t changeCount() const { return changeCount_; }
  const std::deque<InstallRecord>& installs() const { return installs_; }
  void reload(const Options& options) { options_ = options; }

 private:
  /// The role in which a member was asked.
  enum class ResponderRole : std::uint8_t { kLeader, kRelay };
  /// A request that may still be answered; its timestamp on the wire identifies it.
  struct OpenRequest {
    Address to;
    ResponderRole responder = ResponderRole::kRelay;
    MonotonicTime sentAt;
  };
  /// Sends a request with a unique timestamp, and returns the timestamp; kNever if there is nobody
  /// to ask.
  MonotonicTime sendRequest(const Address& to, ResponderRole responder, bool relayed,
                            MonotonicTime now, Outbox& outbox);
  /// Asks the leader for a proof; `relayed`: to be answered without waiting for a change.
  void requestFromLeader(const Address& leader, bool relayed, MonotonicTime now, Outbox& outbox);
  Address nextRelay();
  void requestFromRelays(MonotonicTime now, Outbox& outbox);
  void requestFromLeaderAgain(MonotonicTime now, Outbox& outbox);
  /// An offered section, and the version and text installed here.
  struct OfferedSection {
    const std::string& text;
    const SectionVersion& version;
    SectionVersion& installedVersion;
    std::string& installedText;
  };
  template <class Reader, class Taker>
  void installSection(std::string_view name, const OfferedSection& offered, Reader read, Taker take,
                      MonotonicTime now, Outbox& outbox);
  void noteSettledView(const View& view);
  void noteLeaderProof(const StateReply& reply, MonotonicTime origin);
  void installWeights(Weights weights);
  bool isNewer(const SectionVersion& offered, const SectionVersion& installed) const;
  void install(const StateReply& reply, MonotonicTime now, Outbox& outbox);
  void recordInstall(std::string section, const SectionVersion& version, MonotonicTime now,
                     Outbox& outbox);

  Options options_;
  View view_, settledView_;
  SectionVersions installedVersions_;
  SectionVersions provenVersions_;  // in the newest proof of a leader
  Epoch leaderProofEpoch_;          // highest epoch of a leader's proof
  Setup setup_;
  Keys keys_;
  Weights weights_;
  std::string setupText_, keysText_, weightsText_;
  std::set<KeyDigest> withdrawnKeys_;
  std::deque<KeyDigest> recentlyWithdrawn_;
  MonotonicTime proofOrigin_ = kNever, leaderProofOrigin_ = kNever;
  Address readOnlyLeader_;
  Address preferredRelay_;  // the member that last relayed a younger proof
  MonotonicTime relayHeardAt_ = kNever;
  MonotonicTime readOnlyLeaderHeardAt_ = kNever, readOnlyLeaderRequestedAt_ = kNever;
  std::string_view lastProofSource_ = "nobody";
  std::map<WeightsVersion, MonotonicTime> weightsKnownSince_;
  MonotonicTime weightsPublishedSince_ = kNever;
  MonotonicTime leaderRequestedAt_ = kNever, relayRequestedAt_ = kNever, nextRequestAt_{};
  bool awaitsLeader_ = false;
  MonotonicTime leaderRequestStamp_ = kNever;  // timestamp of the last request to a leader
  MonotonicTime lastRequestStamp_ = kNever;
  std::map<MonotonicTime, OpenRequest> openRequests_;  // by timestamp; only the newest are kept
  std::vector<Address> relayQueue_;                    // members not asked yet in this round
  std::deque<InstallRecord> installs_;
  std::uint64_t changeCount_ = 0;
};

}  // namespace peppergate
