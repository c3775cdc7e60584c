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
  MonotonicTime told;
  MonotonicTime inForce;
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
  void askNow(MonotonicTime now, Outbox& outbox);
  /// Installs newer sections of a reply and takes its proof.
  void hear(const Address& from, const StateReply& answer, MonotonicTime now, Outbox& outbox);
  /// Answers another member's request from the state here, with the age of its proof.
  StateReply relay(const StateRequest& ask, MonotonicTime now) const;
  /// Installs the leader's own published state; called on the leader itself.
  void lead(const ControlState& state, const View& view, MonotonicTime now, Outbox& outbox);
  /// Installs newer sections that are known to be durable, without a proof: for instance those that
  /// a leader asks this voter to store.
  void adopt(const StateReply& news, MonotonicTime now, Outbox& outbox) {
    install(news, now, outbox);
  }
  /// Counts as a proof of now: this core is a read-only leader with a valid lease.
  void attest(MonotonicTime now) { proofOrigin_ = std::max(proofOrigin_, now); }
  /// Notes the address of a read-only leader that announced itself.
  void noteReadOnlyLeader(const Address& from, MonotonicTime now, Outbox& outbox);
  /// Adds the sections that are newer than `have`.
  template <class Answer>
  void fill(Answer& answer, const SectionVersions& have) const {
    answer.now = have_;
    if (have_.setup > have.setup) answer.setup = setupText_;
    if (have_.keys > have.keys) answer.keys = keysText_;
    if (have_.weights > have.weights) answer.weights = weightsText_;
  }
  /// Applies the withdrawal of a key at once and passes it on; returns whether it was new here.
  bool withdraw(const KeyDigest& digest, Outbox& outbox);
  /// The withdrawn keys to gossip.
  std::vector<KeyDigest> recentWithdrawn() const {
    return {recentWithdrawn_.begin(), recentWithdrawn_.end()};
  }
  /// Takes a newer view without a proof, as from the acceptor of this core.
  void noteView(const View& view);

  /// Whether the newest proof is young enough for new streams.
  bool fresh(MonotonicTime now) const {
    return now - proofOrigin_ < options_.proofLimit || !options_.guards(Guard::kFreshness);
  }
  /// The origin of the newest proof of a leader, not of a read-only one.
  MonotonicTime primaryOrigin() const { return primaryOrigin_; }
  /// The highest epoch of a view in which a leader gave a proof; 0 before the first one.
  Epoch primaryEpoch() const { return primaryEpoch_; }
  /// The versions in the newest proof of a leader; empty before the first one.
  const SectionVersions& shown() const { return named_; }
  /// Whether the configuration here is the newest acknowledged one as of `since`: a leader proved
  /// its state at or after that time, and exactly that state is installed. A replica may have a
  /// change that was never acknowledged; it isn't readable before a leader shows it.
  bool readable(MonotonicTime since) const {
    return primaryOrigin_ >= since && have_.setup == named_.setup;
  }
  /// Whether the newest proof is young enough for open streams to continue: a key may have been
  /// withdrawn since.
  bool mayGoOn(MonotonicTime now) const {
    return now - proofOrigin_ < options_.liveLimit || !options_.guards(Guard::kLiveStale) ||
           !options_.guards(Guard::kFreshness);  // it backs up this check
  }
  /// Who gave the newest proof: "primary", "caretaker" for a read-only leader, or "nobody" if the
  /// proof is too old.
  std::string_view attestedBy(MonotonicTime now) const;
  /// The age of the newest proof.
  Duration proofAge(MonotonicTime now) const { return now - proofOrigin_; }
  bool installed() const { return have_.setup.epoch.value != 0; }
  const SectionVersions& have() const { return have_; }
  const Setup& setup() const { return setup_; }
  const Keys& keys() const { return keys_; }
  const Weights& weights() const { return weights_; }
  /// The earliest time at which these weights may have been published: a leader still showed the
  /// previous ones then. `kNever` for the first weights that this process saw.
  MonotonicTime weightsNamedSince() const { return weightsNamedSince_; }
  const View& view() const { return view_; }
  /// The newest view that came with a proof, so that it is settled.
  const View& chosenView() const { return chosenView_; }
  const std::string& setupText() const { return setupText_; }
  /// The tenant of a key; null if the key is unknown or withdrawn.
  const TenantId* tenantOf(const KeyDigest& digest) const;
  /// When a newer version of the weights became known; `kForever` if this one is the newest.
  MonotonicTime outdatedSince(WeightsVersion version) const;
  /// Whether work may still start on this version of the weights.
  bool weightsAllowed(WeightsVersion version, MonotonicTime now) const;
  /// Incremented by each installed section and each withdrawal.
  std::uint64_t changesSeen() const { return changesSeen_; }
  const std::deque<InstallRecord>& installs() const { return installs_; }
  void reload(const Options& options) { options_ = options; }

 private:
  /// The role in which a member was asked.
  enum class Responder : std::uint8_t { kLeader, kRelay };
  /// A request that may still be answered; its timestamp on the wire identifies it.
  struct Question {
    Address to;
    Responder responder = Responder::kRelay;
    MonotonicTime sentAt;
  };
  /// Sends a request with a unique timestamp, and returns the timestamp; kNever if there is nobody
  /// to ask.
  MonotonicTime ask(const Address& to, Responder responder, bool relayed, MonotonicTime now,
                    Outbox& outbox);
  /// Asks the leader for a proof; `relayed`: to be answered without waiting for a change.
  void askLeader(const Address& leader, bool relayed, MonotonicTime now, Outbox& outbox);
  Address nextRelay();
  void askRelay(MonotonicTime now, Outbox& outbox);
  void askAgain(MonotonicTime now, Outbox& outbox);
  /// An offered section, and the version and text installed here.
  struct Offered {
    const std::string& text;
    const SectionVersion& version;
    SectionVersion& mine;
    std::string& kept;
  };
  template <class Reader, class Taker>
  void installSection(std::string_view name, const Offered& offered, Reader read, Taker take,
                      MonotonicTime now, Outbox& outbox);
  void noteChosenView(const View& view);
  void notePrimaryProof(const StateReply& answer, MonotonicTime origin);
  void takeWeights(Weights weights);
  bool newer(const SectionVersion& offered, const SectionVersion& mine) const;
  void install(const StateReply& answer, MonotonicTime now, Outbox& outbox);
  void record(std::string section, const SectionVersion& version, MonotonicTime now,
              Outbox& outbox);

  Options options_;
  View view_, chosenView_;
  SectionVersions have_;
  SectionVersions named_;  // in the newest proof of a leader
  Epoch primaryEpoch_;     // highest epoch of a leader's proof
  Setup setup_;
  Keys keys_;
  Weights weights_;
  std::string setupText_, keysText_, weightsText_;
  std::set<KeyDigest> heardWithdrawn_;
  std::deque<KeyDigest> recentWithdrawn_;
  MonotonicTime proofOrigin_ = kNever, primaryOrigin_ = kNever;
  Address readOnlyLeader_;
  Address relay_;  // the member that last relayed a younger proof
  MonotonicTime relayHeard_ = kNever;
  MonotonicTime readOnlyLeaderHeard_ = kNever, askedReadOnlyLeader_ = kNever;
  std::string_view lastAttester_ = "nobody";
  std::map<WeightsVersion, MonotonicTime> learned_;
  MonotonicTime weightsNamedSince_ = kNever;
  MonotonicTime askedPrimary_ = kNever, askedRelay_ = kNever, nextAsk_{};
  bool waiting_ = false;
  MonotonicTime leaderQuestion_ = kNever;  // timestamp of the last request to a leader
  MonotonicTime lastStamp_ = kNever;
  std::map<MonotonicTime, Question> questions_;  // by timestamp; only the newest are kept
  std::vector<Address> relayTurns_;              // members not asked yet in this round
  std::deque<InstallRecord> installs_;
  std::uint64_t changesSeen_ = 0;
};

}  // namespace peppergate
