#include "core/follower.h"

#include <algorithm>
#include <span>

namespace peppergate {
namespace {

constexpr std::size_t kMostQuestions = 32;      // open requests; answers to older ones are ignored
constexpr int kRelaysAtOnce = 3;                // members asked in one round
constexpr Duration kRelayTrust = seconds(0.7);  // two to three rounds without an answer

}  // namespace

Follower::Follower(const Options& options, Membership& membership, Random& random)
    : FollowerCollaborators(membership, random), options_(options) {}

MonotonicTime Follower::ask(const Address& to, Responder responder, bool relayed, MonotonicTime now,
                            Outbox& outbox) {
  if (to.value.empty() || to == membership_.self().address) return kNever;
  // Requests sent at the same time get different timestamps, so that each answer finds its request.
  MonotonicTime stamp = std::max(now, lastStamp_ + Duration{1});
  lastStamp_ = stamp;
  questions_[stamp] = {to, responder, now};
  while (questions_.size() > kMostQuestions) questions_.erase(questions_.begin());
  outbox.count(relayed ? "news.askedRelay" : "news.askedPrimary");
  outbox.send(to, StateRequest{membership_.self().member, stamp, have_, relayed});
  return stamp;
}

void Follower::askLeader(const Address& leader, bool relayed, MonotonicTime now, Outbox& outbox) {
  waiting_ = true;
  askedPrimary_ = now;
  leaderQuestion_ = ask(leader, Responder::kLeader, relayed, now, outbox);
}

Address Follower::nextRelay() {
  // All members in turn, in random order: during a partition most known members may be as
  // unreachable as the leader, and a silent one isn't asked again before all others.
  if (relayTurns_.empty()) {
    for (const auto& record : membership_.live())
      if (record.address != membership_.self().address) relayTurns_.push_back(record.address);
    random_.shuffle(std::span(relayTurns_));
  }
  if (relayTurns_.empty()) return {};
  Address relay = std::move(relayTurns_.back());
  relayTurns_.pop_back();
  return relay;
}

void Follower::tick(MonotonicTime now, Outbox& outbox) {
  if (attestedBy(now) != lastAttester_) {
    lastAttester_ = attestedBy(now);
    outbox.count("proofs.by." + std::string(lastAttester_));
    outbox.push(NoteState{"proofs now from " + std::string(lastAttester_)});
  }
  // Without a reachable leader, a read-only leader on this side of the partition answers instead.
  bool noPrimary = now - primaryOrigin_ > options_.stateRequestTimeout + milliseconds(200);
  if (noPrimary && now - readOnlyLeaderHeard_ < seconds(2) &&
      now - askedReadOnlyLeader_ > options_.stateRequestWait) {
    askedReadOnlyLeader_ = now;
    ask(readOnlyLeader_, Responder::kRelay, true, now, outbox);
  }
  if (now < nextAsk_) return;
  Address primary = membership_.addressOf(view_.primary);
  bool silent = waiting_ && now - askedPrimary_ > options_.stateRequestTimeout;
  if (!primary.value.empty() && (!waiting_ || silent)) askLeader(primary, false, now, outbox);
  // Without a proof from the leader, other members are asked as relays, with random jitter.
  bool needsRelay = primary.value.empty() ||
                    now - proofOrigin_ > options_.stateRequestTimeout + milliseconds(200);
  if (needsRelay && now - askedRelay_ > milliseconds(200)) {
    askedRelay_ = now + milliseconds(static_cast<std::int64_t>(random_.below(150)));
    askRelay(now, outbox);
  }
}

void Follower::askRelay(MonotonicTime now, Outbox& outbox) {
  // A member that recently relayed a younger proof is asked again; else members are tried in turn.
  if (now - relayHeard_ < kRelayTrust) {
    ask(relay_, Responder::kRelay, true, now, outbox);
    return;
  }
  for (int turn = 0; turn < kRelaysAtOnce; ++turn)
    ask(nextRelay(), Responder::kRelay, true, now, outbox);
}

void Follower::askNow(MonotonicTime now, Outbox& outbox) {
  Address primary = membership_.addressOf(view_.primary);
  if (!primary.value.empty()) askLeader(primary, true, now, outbox);
  if (primary.value.empty() || now - primaryOrigin_ > options_.stateRequestTimeout)
    askRelay(now, outbox);
}

void Follower::askAgain(MonotonicTime now, Outbox& outbox) {
  // The next request tells the leader which versions are in force here: its acknowledgement of a
  // change waits for that.
  askLeader(membership_.addressOf(view_.primary), false, now, outbox);
}

void Follower::noteChosenView(const View& view) {
  bool final = view.epoch == chosenView_.epoch && view.formerVoters.empty();
  if (view.epoch > chosenView_.epoch || final) chosenView_ = view;
}

void Follower::noteView(const View& view) {
  if (view.epoch > view_.epoch) {
    view_ = view;
    waiting_ = false;
    nextAsk_ = {};
  }
}

void Follower::record(std::string section, const SectionVersion& version, MonotonicTime now,
                      Outbox& outbox) {
  outbox.count("installs." + section);
  outbox.push(NoteState{section + " " + versionText(version) + " in force"});
  installs_.push_back({std::move(section), version, now, now});
  if (installs_.size() > 256) installs_.pop_front();
  ++changesSeen_;
}

bool Follower::newer(const SectionVersion& offered, const SectionVersion& mine) const {
  return offered > mine || (offered != mine && !options_.guards(Guard::kUpward));
}

template <class Reader, class Taker>
void Follower::installSection(std::string_view name, const Offered& offered, Reader read,
                              Taker take, MonotonicTime now, Outbox& outbox) {
  // A section is only replaced by a newer one that can be parsed.
  if (offered.text.empty() || !newer(offered.version, offered.mine)) return;
  auto section = read(offered.text);
  if (!section.ok()) {
    outbox.count("installs.unreadable");
    return;
  }
  take(std::move(*section));
  offered.kept = offered.text;
  offered.mine = offered.version;
  record(std::string(name), offered.mine, now, outbox);
}

void Follower::takeWeights(Weights weights) {
  // A process that just started can't know when these weights were published.
  bool first = have_.weights.epoch.value == 0;
  weightsNamedSince_ = first ? kNever : primaryOrigin_;
  if (weights.version > weights_.version) learned_[weights.version] = weightsNamedSince_;
  weights_ = std::move(weights);
}

void Follower::install(const StateReply& answer, MonotonicTime now, Outbox& outbox) {
  installSection(
      "setup", {answer.setup, answer.now.setup, have_.setup, setupText_}, readSetup,
      [this](Setup setup) { setup_ = std::move(setup); }, now, outbox);
  installSection(
      "keys", {answer.keys, answer.now.keys, have_.keys, keysText_}, readKeys,
      [this](Keys keys) { keys_ = std::move(keys); }, now, outbox);
  installSection(
      "weights", {answer.weights, answer.now.weights, have_.weights, weightsText_}, readWeights,
      [&](Weights weights) { takeWeights(std::move(weights)); }, now, outbox);
}

void Follower::hear(const Address& from, const StateReply& answer, MonotonicTime now,
                    Outbox& outbox) {
  if (answer.sentAt == kUnsolicited) {  // published state, pushed before the next request
    noteView(answer.view);              // tells whom to ask, but isn't a proof
    std::uint64_t before = changesSeen_;
    install(answer, now, outbox);
    if (changesSeen_ != before) askAgain(now, outbox);
    return;
  }
  auto found = questions_.find(answer.sentAt);
  if (found == questions_.end() || found->second.to != from) {
    outbox.count("news.unasked");
    return;
  }
  const Question question = found->second;
  noteView(answer.view);
  if (answer.sentAt == leaderQuestion_) {
    waiting_ = false;
    if (!answer.proof) nextAsk_ = now + milliseconds(100);  // no longer the leader
  }
  if (!answer.proof) return;
  noteChosenView(answer.view);
  std::uint64_t before = changesSeen_;
  install(answer, now, outbox);
  if (changesSeen_ != before && !answer.attested) askAgain(now, outbox);
  // The proof only counts if all versions that it names are in force here.
  bool whole = have_.setup >= answer.now.setup && have_.keys >= answer.now.keys &&
               have_.weights >= answer.now.weights;
  if (!whole) {
    outbox.count("news.partial");
    return;
  }
  MonotonicTime origin = question.sentAt - answer.age;
  // Two members on the same side of a partition only relay the same old proof to each other.
  bool younger = origin > proofOrigin_;
  if (question.responder == Responder::kRelay && younger &&
      now - origin < options_.proofLimit * 0.7) {
    relay_ = from;
    relayHeard_ = now;
  }
  proofOrigin_ = std::max(proofOrigin_, origin);
  if (!answer.attested) notePrimaryProof(answer, origin);
}

void Follower::notePrimaryProof(const StateReply& answer, MonotonicTime origin) {
  if (origin < primaryOrigin_) return;
  primaryOrigin_ = origin;
  primaryEpoch_ = std::max(primaryEpoch_, answer.view.epoch);
  named_ = answer.named;
}

void Follower::noteReadOnlyLeader(const Address& from, MonotonicTime now, Outbox& outbox) {
  if (from != readOnlyLeader_) outbox.count("caretakers.heard");
  readOnlyLeader_ = from;
  readOnlyLeaderHeard_ = now;
}

std::string_view Follower::attestedBy(MonotonicTime now) const {
  if (now - proofOrigin_ >= options_.proofLimit) return "nobody";
  return proofOrigin_ > primaryOrigin_ ? "caretaker" : "primary";
}

StateReply Follower::relay(const StateRequest& ask, MonotonicTime now) const {
  StateReply answer;
  answer.sentAt = ask.sentAt;
  answer.now = have_;
  answer.named = named_;
  answer.proof = installed() && fresh(now);
  answer.attested = proofOrigin_ > primaryOrigin_;
  answer.view = answer.proof ? chosenView_ : view_;
  answer.age = proofAge(now);
  if (answer.proof) fill(answer, ask.have);
  return answer;
}

void Follower::lead(const ControlState& state, const View& view, MonotonicTime now,
                    Outbox& outbox) {
  noteView(view);
  noteChosenView(view);
  if (have_ != state.sections()) {  // serializing a large state is slow
    StateReply answer;
    answer.now = state.sections();
    answer.setup = state.setupText();
    answer.keys = state.keysText();
    answer.weights = state.weightsText();
    install(answer, now, outbox);
  }
  proofOrigin_ = primaryOrigin_ = now;
  primaryEpoch_ = std::max(primaryEpoch_, view.epoch);
  named_ = state.sections();
}

bool Follower::withdraw(const KeyDigest& digest, Outbox& outbox) {
  if (!heardWithdrawn_.insert(digest).second) return false;
  recentWithdrawn_.push_back(digest);
  if (recentWithdrawn_.size() > 64) recentWithdrawn_.pop_front();
  ++changesSeen_;
  outbox.count("keys.withdrawnHeard");
  return true;
}

const TenantId* Follower::tenantOf(const KeyDigest& digest) const {
  if (keys_.withdrawn.contains(digest) || heardWithdrawn_.contains(digest)) return nullptr;
  auto found = keys_.live.find(digest);
  return found == keys_.live.end() ? nullptr : &found->second;
}

MonotonicTime Follower::outdatedSince(WeightsVersion version) const {
  auto next = learned_.upper_bound(version);
  return next == learned_.end() ? kForever : next->second;
}

bool Follower::weightsAllowed(WeightsVersion version, MonotonicTime now) const {
  if (version > weights_.version || version.value == 0) return false;
  MonotonicTime since = outdatedSince(version);
  return since == kForever || now - since < options_.oldWeightsLimit ||
         !options_.guards(Guard::kOldWeights);
}

}  // namespace peppergate
