#include "core/caretaker.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr Duration kRoom = seconds(1);  // for an election after another caretaker gave up

}  // namespace

Caretaker::Caretaker(const Props& props, Voter& voter, Leadership& leadership,
                     Membership& membership, Follower& follower, Random& random,
                     MonotonicTime started)
    : props_(props), voter_(voter), leadership_(leadership), membership_(membership),
      follower_(follower), random_(random), started_(started), yieldFor_(props.caretakerYield) {}

std::size_t Caretaker::needed() const {
  // So many that no majority can be without one of them: two of four.
  return (voter_.record().accepted.voters.size() + 1) / 2;
}

bool Caretaker::able() const {
  const View& view = voter_.record().accepted;
  bool seat = std::ranges::find(view.voters, self()) != view.voters.end();
  bool newest = leadership_.view().epoch <= view.epoch || !props_.guards(Guard::kEqualViews);
  return view.epoch.value != 0 && seat && newest && voter_.votes() && !leadership_.isSuspect() &&
         !leadership_.isStalled() && !leadership_.leadsHere();
}

void Caretaker::quit(std::string_view why, Outbox& outbox) {
  bool asked = !rounds_.empty();
  MonotonicTime last{asked ? rounds_.rbegin()->first : 0};
  rounds_.clear();
  holdUntil_ = kNever;
  // It vouches for nothing any more, so the votes are free; a candidate's own vote stays bound.
  if (asked && leadership_.idle()) voter_.release(self());
  if (asked)
    for (CoreId voter : voter_.record().accepted.voters)
      if (voter != self())
        outbox.send(membership_.addressOf(voter),
                    PromiseAsk{{}, self(), last, PromiseKind::kRelease});
  wants_ = false;
  if (!vouching_) return;
  vouching_ = false;
  outbox.count("caretakers.ended");
  outbox.push(NoteState{"core: vouches no more, " + std::string(why)});
}

void Caretaker::yield(MonotonicTime now, std::string_view why, Outbox& outbox) {
  quit(why, outbox);
  outbox.count("caretakers.yielded");
  yieldUntil_ = now + yieldFor_;
  // Proofs outlast one such pause; where elections fail again and again they get more room.
  mayYieldAgain_ = yieldUntil_ + yieldFor_ * 2;
  yieldFor_ = std::min(yieldFor_ * 1.5, seconds(8));
  lookingSince_ = sightSince_ = kForever;
}

std::set<CoreId> Caretaker::inSight(MonotonicTime now) const {
  std::set<CoreId> sight{self()};
  for (const auto& [voter, when] : seen_)
    if (now - when < props_.caretakerLook) sight.insert(voter);
  return sight;
}

void Caretaker::adoptOwnCopy(MonotonicTime now, Outbox& outbox) {
  const ControlState* copy = leadership_.intactCopy(voter_.record().accepted);
  if (copy == nullptr || leadership_.hasPublished()) return;
  NewsAnswer news;
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

void Caretaker::tick(MonotonicTime now, Outbox& outbox) {
  MonotonicTime heard = std::max(follower_.primaryOrigin(), started_);
  Duration silent = now - heard;
  if (silent < props_.caretakerAfter - props_.caretakerLook || !able()) {
    if (silent < props_.hold) yieldFor_ = props_.caretakerYield;
    lookingSince_ = sightSince_ = kForever;
    quit("a primary is heard", outbox);
    return;
  }
  if (vouching_ && !vouches(now)) {
    outbox.count("caretakers.lapsed");
    vouching_ = false;
    outbox.push(NoteState{"core: vouches no more, the hold ran out"});
  }
  if (lookingSince_ == kForever) lookingSince_ = now;
  if (!leadership_.idle()) {  // it stands for election, and sees by that who answers
    quit("it stands for election", outbox);
    return;
  }
  if (vouches(now) && now >= nextNote_) {
    nextNote_ = now + seconds(0.5);
    for (const auto& member : membership_.live())
      if (member.member != membership_.self().member)
        outbox.send(member.address, CaretakerNote{self(), voter_.record().accepted.epoch});
  }
  if (now < yieldUntil_ || now < nextAsk_) return;
  std::set<CoreId> sight = inSight(now);
  bool more = !std::ranges::includes(lastSight_, sight);  // an election may go better than before
  lastSight_ = sight;
  const auto& voters = voter_.record().accepted.voters;
  auto count = static_cast<std::size_t>(std::ranges::count_if(
      voters, [&](CoreId core) { return sight.contains(core); }));
  if (Leadership::majority(sight, voters)) {
    // Enough voters for a primary: room for an election, but not for ever.
    if (sightSince_ == kForever) sightSince_ = now;
    bool patient = now - sightSince_ < props_.caretakerYield;
    if (!rounds_.empty() && (more || now >= mayYieldAgain_)) {
      yield(now, "a third voter is in sight", outbox);
      return;
    }
    if (rounds_.empty() && patient) {
      sendRound(false, now, outbox);
      return;
    }
  } else {
    sightSince_ = kForever;
  }
  bool looked = now - lookingSince_ >= props_.caretakerLook;
  bool grant = silent >= props_.caretakerAfter && looked && count >= needed();
  wants_ = looked;  // without a majority in sight an election could not be won
  sendRound(grant, now, outbox);
}

void Caretaker::sendRound(bool grant, MonotonicTime now, Outbox& outbox) {
  nextAsk_ = now + props_.holdRenewal;
  const View& view = voter_.record().accepted;
  adoptOwnCopy(now, outbox);
  bool bound = grant && voter_.grantCaretaker(self(), view, now, now);
  if (bound) {
    Round& round = rounds_[now.microseconds];
    count(round, self(), leadership_.intactCopy(view) != nullptr, proven());
    while (rounds_.size() > 8) rounds_.erase(rounds_.begin());
  } else if (!rounds_.empty()) {
    quit("this voter's grant went elsewhere", outbox);
  }
  // Only those that answer are asked to bind themselves: a grant that can't be heard of would
  // keep its voter from others for nothing.
  std::set<CoreId> sight = inSight(now);
  CaretakerAsk ask{view, self(), now, follower_.have(), bound};
  for (CoreId voter : view.voters) {
    if (voter == self()) continue;
    ask.grant = bound && sight.contains(voter);
    outbox.send(membership_.addressOf(voter), ask);
  }
}

void Caretaker::count(Round& round, CoreId voter, bool intact, bool isProven) const {
  round.voters.insert(voter);
  round.intact = round.intact || intact;
  round.allProven = round.allProven && isProven;
}

void Caretaker::ask(const Address& from, const CaretakerAsk& ask, MonotonicTime now,
                    Outbox& outbox) {
  CaretakerAnswer answer;
  answer.voter = self();
  answer.sentAt = ask.sentAt;
  answer.votes = voter_.votes() && !leadership_.isStalled();
  bool free = !leadership_.leadsHere() && rounds_.empty();
  bool other = !free && props_.guards(Guard::kOneGrant);
  if (ask.grant && answer.votes && !other)
    answer.granted = voter_.grantCaretaker(ask.caretaker, ask.view, ask.sentAt, now);
  answer.grantedTo = voter_.grantedTo(now);
  answer.intact = leadership_.intactCopy(voter_.record().accepted) != nullptr;
  answer.proven = proven();
  // What is told comes after the grant: from then on nothing can be acknowledged.
  adoptOwnCopy(now, outbox);
  follower_.fill(answer, ask.have);
  outbox.send(from, std::move(answer));
}

void Caretaker::hear(const CaretakerAnswer& answer, MonotonicTime now, Outbox& outbox) {
  if (answer.votes) seen_[answer.voter] = now;
  auto round = rounds_.find(answer.sentAt.microseconds);
  if (round == rounds_.end()) return;
  if (!answer.granted) {
    // Two that ask each other: the one with the lower number goes on.
    bool yields = answer.grantedTo == answer.voter && answer.voter < self() && !vouches(now);
    if (yields) {
      quit("another asks as well", outbox);
      nextAsk_ = now + props_.hold + milliseconds(static_cast<std::int64_t>(random_.below(300)));
    }
    return;
  }
  NewsAnswer news;
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
  bool knows = round->second.intact || round->second.allProven ||
               !props_.guards(Guard::kProvenGrant);
  if (round->second.voters.size() < needed() || !covers || !knows) return;
  holdUntil_ = std::max(holdUntil_, answer.sentAt + props_.holdStop);
  if (vouching_ || !vouches(now)) return;
  vouching_ = true;
  nextNote_ = now;
  outbox.count("caretakers.began");
  outbox.push(NoteState{"core: vouches for its part as a caretaker"});
}

void Caretaker::makeRoom(MonotonicTime now) {
  if (rounds_.empty()) yieldUntil_ = std::max(yieldUntil_, now + kRoom);
}

void Caretaker::candidateHeard(MonotonicTime now, Outbox& outbox) {
  if (rounds_.empty() || now < mayYieldAgain_) return;
  yield(now, "a candidate asks", outbox);
}

}  // namespace peppergate
