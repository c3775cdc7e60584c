#include "engines/lister.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr Duration kPageTimeout = seconds(1);
constexpr Duration kSilence = seconds(1.5);      // after which a router polls the platform itself
constexpr Duration kLongSilence = seconds(2.6);  // upper bound, for lists with many pages
constexpr Duration kProofEvery = seconds(0.5);   // confirms that the list is unchanged
constexpr Duration kLoadingEnds = seconds(5);    // unless it is repeated
constexpr Duration kLargestBackoff = seconds(4);
constexpr std::size_t kLargestPages = 10'000;
constexpr std::uint64_t kTags = 256;

Epoch termOf(ListVersion version) { return {version.value >> 32}; }

}  // namespace

Lister::Lister(const Options& options, Membership& membership, Random& random)
    : options_(options), membership_(membership), random_(random), tag_(random.below(kTags)) {}

bool Lister::onItsOwn(MonotonicTime now) const {
  Duration silence = std::clamp(wordsGap_ * 1.3 + seconds(0.2), kSilence, kLongSilence);
  return membership_.self().role == Role::kFront && now - fleetSeen_ > silence;
}

void Lister::noteFleetWord(MonotonicTime seen) {
  if (seen <= fleetSeen_) return;
  if (fleetSeen_ != kNever) wordsGap_ = seen - fleetSeen_;
  fleetSeen_ = seen;
  seen_ = std::max(seen_, seen);
}

ListVersion Lister::successor() const {
  ListVersion last = std::max(version_, fleet_);
  Epoch term = std::max(term_, termOf(last));
  std::uint64_t count = termOf(last) == term ? (last.value & 0xffffffffULL) / kTags : 0;
  return {(term.value << 32) | ((count + 1) * kTags + tag_)};
}

Duration Lister::ownPause() const {
  // All routers together stay below a third of the platform's rate limit.
  auto calls = static_cast<double>(membership_.liveFronts().size() * pages_);
  return std::max(seconds(1), seconds(3 * calls / options_.listRate));
}

Duration Lister::pause() {
  Duration pause = inCharge_
                       ? std::max(options_.listEvery,
                                  seconds(3 * static_cast<double>(pages_) / options_.listRate))
                       : ownPause() * (0.9 + 0.3 * random_.fraction());
  return pause + backoff_ * (0.75 + 0.5 * random_.fraction());
}

void Lister::tick(bool inCharge, Epoch term, MonotonicTime now, Outbox& outbox) {
  if (inCharge && (!inCharge_ || term != term_)) {
    nextAsk_ = now;
    loadingSaid_ = now;  // what an earlier leader announced stays until this one updates it
    restate_ = true;
    outbox.count("lister.terms");
  }
  inCharge_ = inCharge;
  if (inCharge) term_ = term;
  if (ticket_ && now - askedAt_ > kPageTimeout + seconds(0.5)) failed(0, now, outbox);
  if (!roster_.loading.empty()) {
    bool silent = now - (inCharge_ ? loadingSaid_ : fleetSeen_) > kLoadingEnds;
    if (silent && inCharge_) change({roster_.engines, {}}, now, outbox);
    if (silent && !inCharge_) {
      roster_.loading.clear();
      version_ = successor();
      local_ = true;
    }
  }
  bool own = !inCharge_ && onItsOwn(now);
  if (own && !wasOnItsOwn_) {
    double spread = std::clamp(inSeconds(ownPause()) / 2, 0.2, 1.0);
    nextAsk_ = std::max(nextAsk_, now + seconds(spread * random_.fraction()));
    outbox.count("lister.onItsOwn");
  }
  wasOnItsOwn_ = own;
  if (!ticket_ && now >= nextAsk_ && (inCharge_ || own)) {
    gathering_.clear();
    pagesSoFar_ = 0;
    gatherSince_ = now;
    askPage({}, now, outbox);
  }
}

void Lister::askPage(std::string page, MonotonicTime now, Outbox& outbox) {
  ticket_ = outbox.ticket();
  askedAt_ = now;
  ++pagesSoFar_;
  outbox.count("lister.calls");
  outbox.push(ListEngines{*ticket_, std::move(page), kPageTimeout});
}

void Lister::failed(int status, MonotonicTime now, Outbox& outbox) {
  ticket_.reset();
  outbox.count(status == 429 ? "lister.tooOften" : "lister.failed");
  if (status == 429) backoff_ = std::clamp(backoff_ * 2, seconds(0.5), kLargestBackoff);
  // A lost call is retried at once; a rate limit rejection is followed by a backoff.
  nextAsk_ = status == 429 ? now + pause() : std::max(now, gatherSince_ + pause());
  // Another member may have a newer list, or may reach the platform.
  if (!inCharge_) askWhole(membership_.randomMember(), outbox);
}

bool Lister::listed(const EnginesListed& page, MonotonicTime now, Outbox& outbox) {
  if (!ticket_ || page.ticket != *ticket_) return false;
  if (page.status != 200) {
    failed(page.status, now, outbox);
    return true;
  }
  ticket_.reset();
  gathering_.insert(gathering_.end(), page.engines.begin(), page.engines.end());
  if (!page.nextPage.empty() && pagesSoFar_ < kLargestPages) {
    askPage(page.nextPage, now, outbox);
    return true;
  }
  pages_ = std::max<std::size_t>(pagesSoFar_, 1);
  backoff_ = {};
  nextAsk_ = std::max(now, gatherSince_ + pause());
  complete(now, outbox);
  return true;
}

void Lister::complete(MonotonicTime now, Outbox& outbox) {
  orderById(gathering_);
  bool same = version_.value != 0 && sameEngines(roster_.engines, gathering_);
  if (inCharge_) {
    seen_ = fleetSeen_ = gatherSince_;
    if (!same || restate_ || local_) {
      change({std::move(gathering_), roster_.loading}, now, outbox);
    } else if (now - lastTold_ >= kProofEvery * 0.9) {
      tell({version_, now - seen_, {}}, outbox);
      lastTold_ = now;
    }
    return;
  }
  bool front = membership_.self().role == Role::kFront;
  if (!front || gatherSince_ <= fleetSeen_) return;  // a newer update arrived meanwhile
  seen_ = gatherSince_;
  if (same) return;
  roster_.engines = std::move(gathering_);
  version_ = successor();
  local_ = true;
  outbox.count("lister.ownLists");
}

void Lister::change(Roster next, MonotonicTime now, Outbox& outbox) {
  std::string text =
      local_ || version_.value == 0 ? wholeText(next) : changeText(version_, roster_, next);
  roster_ = std::move(next);
  version_ = fleet_ = successor();
  local_ = restate_ = false;
  lastTold_ = now;
  outbox.count("lister.changes");
  tell({version_, now - seen_, std::move(text)}, outbox);
}

void Lister::tell(const DiscoveredEnginesUpdate& news, Outbox& outbox) {
  outbox.broadcast(membership_.otherMembers(), news);
}

void Lister::askWhole(const Address& from, Outbox& outbox) {
  outbox.count("lister.asked");
  outbox.send(from, DiscoveredEnginesRequest{local_ ? ListVersion{} : version_});
}

bool Lister::hear(const Address& from, const DiscoveredEnginesUpdate& news, MonotonicTime now,
                  Outbox& outbox) {
  MonotonicTime seen = now - std::max(news.age, Duration{});
  if (inCharge_) {
    if (news.version > version_ && termOf(news.version) == term_) {
      fleet_ = std::max(fleet_, news.version);
      restate_ = true;
    }
    return false;
  }
  if (news.version < fleet_) {
    // Delayed, or sent by a node that doesn't know of a higher version under its own term.
    if (termOf(news.version) == termOf(fleet_) && seen > fleetSeen_)
      outbox.send(from, DiscoveredEnginesRequest{fleet_});
    return false;
  }
  fleet_ = news.version;
  if (!local_ && news.version == version_) {
    noteFleetWord(seen);
    return false;
  }
  if (news.list.empty()) {
    askWhole(from, outbox);
    return false;
  }
  if (local_ && seen < seen_) return false;  // the own list is newer; later updates replace it
  switch (readRoster(news.list, local_ ? ListVersion{} : version_, roster_)) {
    case RosterRead::kTaken:
      version_ = news.version;
      local_ = false;
      noteFleetWord(seen);
      outbox.count("lister.taken");
      return true;
    case RosterRead::kOtherBase:
      askWhole(from, outbox);
      return false;
    case RosterRead::kUnreadable:
      outbox.count("lister.unreadable");
      return false;
  }
  return false;
}

void Lister::hear(const Address& from, const DiscoveredEnginesRequest& ask, MonotonicTime now,
                  Outbox& outbox) {
  if (inCharge_ && ask.have > version_) {
    if (termOf(ask.have) != term_) return;
    fleet_ = std::max(fleet_, ask.have);
    if (seen_ != kNever) change(roster_, now, outbox);
    return;
  }
  if (local_ || version_.value == 0 || ask.have > version_) return;
  bool same = ask.have == version_;
  outbox.send(from, DiscoveredEnginesUpdate{version_, now - seen_,
                                            same ? std::string{} : wholeText(roster_)});
}

void Lister::loading(std::vector<EngineId> engines, MonotonicTime now, Outbox& outbox) {
  if (!inCharge_) return;
  loadingSaid_ = now;
  std::ranges::sort(engines);
  if (engines != roster_.loading && seen_ != kNever)
    change({roster_.engines, std::move(engines)}, now, outbox);
}

}  // namespace peppergate
