#pragma once
// Keeps a daemon's copy of setup, keys and weights fresh, and knows how fresh it is.
#include <deque>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "core/collaborators.h"
#include "core/control_state.h"
#include "core/membership.h"

namespace peppergate {

/// When a version was told here and put in force. Example: read by `peppergate trace`.
struct InstallRecord {
  std::string section;
  SectionVersion version;
  MonotonicTime told;
  MonotonicTime inForce;
};

/// Example: `if (!follower.fresh(now)) decline("stale");` before each shot.
class Follower : private FollowerCollaborators {
 public:
  Follower(const Options& options, Membership& membership, Random& random);

  /// Asks the primary, or members that relay. Example: `follower.tick(now, outbox);`
  void tick(MonotonicTime now, Outbox& outbox);
  /// Asks the primary for a proof at once, and members for the newest view where it is silent.
  /// Example: an operator wants the newest configuration: `askNow(now, outbox)`.
  void askNow(MonotonicTime now, Outbox& outbox);
  /// Installs what is newer and counts the proof. Example: on a StateReply.
  void hear(const Address& from, const StateReply& answer, MonotonicTime now, Outbox& outbox);
  /// Answers a question from what is known here, with the age it has. Example: as a relay.
  StateReply relay(const StateRequest& ask, MonotonicTime now) const;
  /// The primary itself: its own published state is in force here at once.
  void lead(const ControlState& state, const View& view, MonotonicTime now, Outbox& outbox);
  /// Installs what is newer in texts that are known to last, without any proof.
  /// Example: what a primary asks this voter to hold.
  void adopt(const StateReply& news, MonotonicTime now, Outbox& outbox) {
    install(news, now, outbox);
  }
  /// This core vouches for its part under its hold. Example: `vouch(now)` in a read-only leader.
  void attest(MonotonicTime now) { proofOrigin_ = std::max(proofOrigin_, now); }
  /// A read-only leader said where it is. Example: on a ReadLeaderNotification.
  void noteReadOnlyLeader(const Address& from, MonotonicTime now, Outbox& outbox);
  /// Its newer sections for someone who has less. Example: `fill(answer, ask.have)`.
  template <class Answer>
  void fill(Answer& answer, const SectionVersions& have) const {
    answer.now = have_;
    if (have_.setup > have.setup) answer.setup = setupText_;
    if (have_.keys > have.keys) answer.keys = keysText_;
    if (have_.weights > have.weights) answer.weights = weightsText_;
  }
  /// Applies a withdrawal at once and passes it on. Example: `withdraw(digest, outbox)`.
  bool withdraw(const KeyDigest& digest, Outbox& outbox);
  /// The tombstones to carry in shuffles. Example: `shuffle.withdrawn = recentWithdrawn()`.
  std::vector<KeyDigest> recentWithdrawn() const {
    return {recentWithdrawn_.begin(), recentWithdrawn_.end()};
  }
  /// Takes a view heard of elsewhere. Example: from the local voter.
  void noteView(const View& view);

  /// Whether there is a proof young enough for new streams. Example: see the class.
  bool fresh(MonotonicTime now) const {
    return now - proofOrigin_ < options_.proofLimit || !options_.guards(Guard::kFreshness);
  }
  /// When the newest proof of a primary itself began. Example: asked by read-only leaders.
  MonotonicTime primaryOrigin() const { return primaryOrigin_; }
  /// The epoch of the view in which that proof was given; 0 before the first one.
  Epoch primaryEpoch() const { return primaryEpoch_; }
  /// What the newest proof of a leader showed; empty before the first one.
  const SectionVersions& shown() const { return named_; }
  /// Whether the configuration here is the newest acknowledged one as of a moment: a leader proved
  /// its state at or after it, and what is installed is exactly what that leader showed. A replica
  /// may hold a change that was never acknowledged; it is not readable before a leader shows it.
  bool readable(MonotonicTime since) const {
    return primaryOrigin_ >= since && have_.setup == named_.setup;
  }
  /// Whether a live stream may go on: its key may have been withdrawn since the last proof.
  bool mayGoOn(MonotonicTime now) const {
    return now - proofOrigin_ < options_.liveLimit || !options_.guards(Guard::kLiveStale) ||
           !options_.guards(Guard::kFreshness);  // the second line behind it
  }
  /// Who stands behind the proof. Example: `"primary"`, `"read-only leader"`, `"nobody"`.
  std::string_view attestedBy(MonotonicTime now) const;
  /// The age of the newest proof. Example: for the status page.
  Duration proofAge(MonotonicTime now) const { return now - proofOrigin_; }
  bool installed() const { return have_.setup.epoch.value != 0; }
  const SectionVersions& have() const { return have_; }
  const Setup& setup() const { return setup_; }
  const Keys& keys() const { return keys_; }
  const Weights& weights() const { return weights_; }
  /// When these weights were named, as early as it may have been: a leader still showed the ones
  /// before them at that moment. `kNever` for the first that this process saw.
  MonotonicTime weightsNamedSince() const { return weightsNamedSince_; }
  const View& view() const { return view_; }
  /// The newest view that came with a proof, so that it is settled. Example: for candidates.
  const View& chosenView() const { return chosenView_; }
  const std::string& setupText() const { return setupText_; }
  /// Whether a key is live here and not withdrawn. Example: `tenantOf(digest)`.
  const TenantId* tenantOf(const KeyDigest& digest) const;
  /// Since when a newer version than this is known; forever away if it is the newest.
  MonotonicTime outdatedSince(WeightsVersion version) const;
  /// Whether work may still start on these weights. Example: in the roll-out.
  bool weightsAllowed(WeightsVersion version, MonotonicTime now) const;
  /// Raised by each install or withdrawal. Example: compare to end streams of dead keys.
  std::uint64_t changesSeen() const { return changesSeen_; }
  const std::deque<InstallRecord>& installs() const { return installs_; }
  void reload(const Options& options) { options_ = options; }

 private:
  /// Of whom a question was asked, and as what.
  enum class Responder : std::uint8_t { kLeader, kRelay };
  /// A question that may still be answered; its stamp on the wire is its number.
  struct Question {
    Address to;
    Responder responder = Responder::kRelay;
    MonotonicTime sentAt;
  };
  /// Sends a question with a stamp of its own, and returns the stamp; kNever if nobody is asked.
  MonotonicTime ask(const Address& to, Responder responder, bool relayed, MonotonicTime now,
                    Outbox& outbox);
  /// Asks the leader for a proof; `relayed`: to be answered without any wait.
  void askLeader(const Address& leader, bool relayed, MonotonicTime now, Outbox& outbox);
  Address nextRelay();
  void askRelay(MonotonicTime now, Outbox& outbox);
  void askAgain(MonotonicTime now, Outbox& outbox);
  /// A section as it was offered, and what is here of it.
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
  SectionVersions named_;  // by the leader's newest proof
  Epoch primaryEpoch_;     // of the view of that proof
  Setup setup_;
  Keys keys_;
  Weights weights_;
  std::string setupText_, keysText_, weightsText_;
  std::set<KeyDigest> heardWithdrawn_;
  std::deque<KeyDigest> recentWithdrawn_;
  MonotonicTime proofOrigin_ = kNever, primaryOrigin_ = kNever;
  Address readOnlyLeader_;
  Address relay_;  // the member that relayed a younger proof last
  MonotonicTime relayHeard_ = kNever;
  MonotonicTime readOnlyLeaderHeard_ = kNever, askedReadOnlyLeader_ = kNever;
  std::string_view lastAttester_ = "nobody";
  std::map<WeightsVersion, MonotonicTime> learned_;
  MonotonicTime weightsNamedSince_ = kNever;
  MonotonicTime askedPrimary_ = kNever, askedRelay_ = kNever, nextAsk_{};
  bool waiting_ = false;
  MonotonicTime leaderQuestion_ = kNever;  // the stamp of the last question to a leader
  MonotonicTime lastStamp_ = kNever;
  std::map<MonotonicTime, Question> questions_;  // by stamp; only the newest are kept
  std::vector<Address> relayTurns_;              // members not asked yet in this turn
  std::deque<InstallRecord> installs_;
  std::uint64_t changesSeen_ = 0;
};

}  // namespace peppergate
