#include "core/read_only_leader.h"

#include <algorithm>

#include "core/quorum.h"

namespace peppergate {
namespace {

constexpr Duration kRoom = seconds(1);  // for an election after another read-only leader yielded

}  // namespace

ReadOnlyLeader::ReadOnlyLeader(const Options& options, Acceptor& acceptor, Leadership& leadership,
                               Membership& membership, Follower& follower, Random& random,
                               MonotonicTime started)
    : ReadOnlyLeaderCollaborators(acceptor, leadership, membership, follower, random),
      options_(options),
      started_(started),
      yieldFor_(options.readLeaseYield) {}

bool ReadOnlyLeader::blocks(const std::set<CoreId>& voters) const {
  View view = acceptor_.record().accepted;
  if (!leadership_.asksFormerVoters(view)) view.formerVoters.clear();
  return blocksMajorities(voters, view);
}

bool ReadOnlyLeader::able() const {
  const View& view = acceptor_.record().accepted;
  bool seat = votesIn(view, self());
  bool newest = leadership_.view().epoch <= view.epoch || !options_.guards(Guard::kEqualViews);
  return view.epoch.value != 0 && seat && newest && acceptor_.votes() && !leadership_.isSuspect() &&
         !leadership_.isStalled() && !leadership_.leadsHere();
}

void ReadOnlyLeader::quit(std::string_view why, Outbox& outbox) {
  bool asked = !rounds_.empty();
  MonotonicTime last{asked ? rounds_.rbegin()->first : 0};
  rounds_.clear();
  leaseUntil_ = kNever;
  // It is no longer a read-only leader, so the votes are free; a candidate keeps its own vote.
  if (asked && leadership_.idle()) acceptor_.release(self());
  if (asked)
    for (CoreId voter : allVoters(acceptor_.record().accepted))
      if (voter != self())
        outbox.send(membership_.addressOf(voter),
                    PrepareRequest{{}, self(), last, PrepareKind::kRelease});
  wants_ = false;
  if (!attesting_) return;
  attesting_ = false;
  outbox.count("caretakers.ended");
  outbox.push(NoteState{"core: read-only leadership ended: " + std::string(why)});
}

void ReadOnlyLeader::yield(MonotonicTime now, std::string_view why, Outbox& outbox) {
  quit(why, outbox);
  outbox.count("caretakers.yielded");
  yieldUntil_ = now + yieldFor_;
  // Proofs outlast one such pause. If elections fail repeatedly, they get more time.
  mayYieldAgain_ = yieldUntil_ + yieldFor_ * 2;
  yieldFor_ = std::min(yieldFor_ * 1.5, seconds(8));
  lookingSince_ = sightSince_ = kForever;
}

std::set<CoreId> ReadOnlyLeader::inSight(MonotonicTime now) const {
  std::set<CoreId> sight{self()};
  for (const auto& [voter, when] : seen_)
    if (now - when < options_.readLeaseProbe) sight.insert(voter);
  return sight;
}

void ReadOnlyLeader::adoptOwnReplica(MonotonicTime now, Outbox& outbox) {
  const ControlState* copy = leadership_.intactReplica(acceptor_.record().accepted);
  if (copy == nullptr || leadership_.hasPublished()) return;
  StateReply news;
  news.now = copy->sections();
  const SectionVersions& have = follower_.have();
  if (news.now.setup <= have.setup && news.now.keys <= have.keys &&
      news.now.weights <= have.weights)
    return;
  news.setup = copy->setupText();
  news.keys = copy->keysText();
  news.weights = copy->weightsText();
  follower_.adopt(news, now, outbox);
}

void ReadOnlyLeader::tick(MonotonicTime now, Outbox& outbox) {
  MonotonicTime heard = std::max(follower_.primaryOrigin(), started_);
  Duration silent = now - heard;
  if (silent < options_.readLeaseAfter - options_.readLeaseProbe || !able()) {
    if (silent < options_.lease) yieldFor_ = options_.readLeaseYield;
    lookingSince_ = sightSince_ = kForever;
    quit("a leader is reachable", outbox);
    return;
  }
  if (attesting_ && !attests(now)) {
    outbox.count("caretakers.lapsed");
    attesting_ = false;
    outbox.push(NoteState{"core: read-only leadership ended: the lease ran out"});
  }
  if (lookingSince_ == kForever) lookingSince_ = now;
  if (!leadership_.idle()) {  // its campaign shows which voters answer
    quit("this core campaigns", outbox);
    return;
  }
  if (attests(now) && now >= nextNote_) {
    nextNote_ = now + seconds(0.5);
    for (const auto& member : membership_.live())
      if (member.member != membership_.self().member)
        outbox.send(member.address,
                    ReadLeaderNotification{self(), acceptor_.record().accepted.epoch});
  }
  if (now < yieldUntil_) {
    wants_ = false;  // this core may campaign during the pause, too
    return;
  }
  if (now < nextAsk_) return;
  std::set<CoreId> sight = inSight(now);
  bool more = !std::ranges::includes(lastSight_, sight);  // an election may succeed now
  lastSight_ = sight;
  const View& accepted = acceptor_.record().accepted;
  if (leadership_.quorum(sight, accepted)) {
    // Enough voters to elect a leader: time for an election, but only a limited one.
    if (sightSince_ == kForever) sightSince_ = now;
    bool patient = now - sightSince_ < options_.readLeaseYield;
    if (!rounds_.empty() && (more || now >= mayYieldAgain_)) {
      yield(now, "more voters are reachable", outbox);
      return;
    }
    if (rounds_.empty() && patient) {
      wants_ = false;  // may be set since fewer voters were reachable
      sendRound(false, now, outbox);
      return;
    }
  } else {
    sightSince_ = kForever;
  }
  bool looked = now - lookingSince_ >= options_.readLeaseProbe;
  bool grant = silent >= options_.readLeaseAfter && looked && blocks(sight);
  wants_ = looked;  // without a reachable majority it couldn't win an election
  sendRound(grant, now, outbox);
}

void ReadOnlyLeader::sendRound(bool grant, MonotonicTime now, Outbox& outbox) {
  nextAsk_ = now + options_.leaseRenewal;
  const View& view = acceptor_.record().accepted;
  adoptOwnReplica(now, outbox);
  bool bound = grant && acceptor_.grantReadLease(self(), view, now, now);
  if (bound) {
    Round& round = rounds_[now.microseconds];
    count(round, self(), leadership_.intactReplica(view) != nullptr, proven());
    while (rounds_.size() > 8) rounds_.erase(rounds_.begin());
  } else if (!rounds_.empty()) {
    quit("this voter granted a lease to another core", outbox);
  }
  // Only voters that answer are asked for a lease: a grant whose reply doesn't arrive would block
  // its voter for nothing.
  std::set<CoreId> sight = inSight(now);
  ReadLeaseRequest ask{view, self(), now, follower_.have(), bound};
  for (CoreId voter : allVoters(view)) {
    if (voter == self()) continue;
    ask.grant = bound && sight.contains(voter);
    outbox.send(membership_.addressOf(voter), ask);
  }
}

void ReadOnlyLeader::count(Round& round, CoreId voter, bool intact, bool isProven) const {
  round.voters.insert(voter);
  round.intact = round.intact || intact;
  round.allProven = round.allProven && isProven;
}

void ReadOnlyLeader::ask(const Address& from, const ReadLeaseRequest& ask, MonotonicTime now,
                         Outbox& outbox) {
  const View& mine = acceptor_.record().accepted;
  bool unaware = ask.view.epoch == mine.epoch && !ask.view.formerVoters.empty();
  if (unaware && mine.formerVoters.empty()) outbox.send(from, AcceptRequest{mine, false});
  ReadLeaseReply answer;
  answer.voter = self();
  answer.sentAt = ask.sentAt;
  answer.votes = acceptor_.votes() && !leadership_.isStalled();
  bool free = !leadership_.leadsHere() && rounds_.empty();
  bool other = !free && options_.guards(Guard::kOneGrant);
  if (ask.grant && answer.votes && !other)
    answer.granted = acceptor_.grantReadLease(ask.readOnlyLeader, ask.view, ask.sentAt, now);
  answer.grantedTo = acceptor_.grantedTo(now);
  answer.intact = leadership_.intactReplica(acceptor_.record().accepted) != nullptr;
  answer.proven = proven();
  // The state is read after the grant: from then on no change can be acknowledged.
  adoptOwnReplica(now, outbox);
  follower_.fill(answer, ask.have);
  outbox.send(from, std::move(answer));
}

void ReadOnlyLeader::hear(const ReadLeaseReply& answer, MonotonicTime now, Outbox& outbox) {
  if (answer.votes) seen_[answer.voter] = now;
  auto round = rounds_.find(answer.sentAt.microseconds);
  if (round == rounds_.end()) return;
  if (!answer.granted) {
    // Of two cores that ask each other, the one with the lower id goes on.
    bool yields = answer.grantedTo == answer.voter && answer.voter < self() && !attests(now);
    if (yields) {
      quit("another core asks for read leases, too", outbox);
      nextAsk_ = now + options_.lease + milliseconds(static_cast<std::int64_t>(random_.below(300)));
    }
    return;
  }
  StateReply news;
  news.now = answer.now;
  news.setup = answer.setup;
  news.keys = answer.keys;
  news.weights = answer.weights;
  follower_.adopt(news, now, outbox);
  highest_.setup = std::max(highest_.setup, answer.now.setup);
  highest_.keys = std::max(highest_.keys, answer.now.keys);
  highest_.weights = std::max(highest_.weights, answer.now.weights);
  count(round->second, answer.voter, answer.intact, answer.proven);
  const SectionVersions& have = follower_.have();
  bool covers = have.setup >= highest_.setup && have.keys >= highest_.keys &&
                have.weights >= highest_.weights && follower_.installed();
  bool knows =
      round->second.intact || round->second.allProven || !options_.guards(Guard::kProvenGrant);
  bool enough = blocks(round->second.voters);
  if (!enough || !covers || !knows) return;
  leaseUntil_ = std::max(leaseUntil_, answer.sentAt + options_.leaseStop);
  if (attesting_ || !attests(now)) return;
  attesting_ = true;
  nextNote_ = now;
  outbox.count("caretakers.began");
  outbox.push(NoteState{"core: read-only leader of its side of the partition"});
}

void ReadOnlyLeader::allowElection(MonotonicTime now) {
  if (rounds_.empty()) yieldUntil_ = std::max(yieldUntil_, now + kRoom);
}

void ReadOnlyLeader::candidateHeard(MonotonicTime now, Outbox& outbox) {
  if (rounds_.empty() || now < mayYieldAgain_) return;
  yield(now, "another core campaigns", outbox);
}

}  // namespace peppergate
