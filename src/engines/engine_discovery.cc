#include "engines/engine_discovery.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr Duration kPageTimeout = seconds(1);
constexpr Duration kUpdateTimeout = seconds(1.5);  // after which a router polls the platform itself
constexpr Duration kLongestUpdateTimeout = seconds(2.6);  // upper bound, for lists with many pages
constexpr Duration kConfirmInterval = seconds(0.5);       // confirms that the list is unchanged
constexpr Duration kLoadingLifetime = seconds(5);         // unless it is repeated
constexpr Duration kLargestBackoff = seconds(4);
constexpr std::size_t kMaxPages = 10'000;
constexpr std::uint64_t kVersionTagCount = 256;

Epoch termOf(ListVersion version) { return {version.value >> 32}; }

}  // namespace

EngineDiscovery::EngineDiscovery(const Options& options, Membership& membership, Random& random)
    : options_(options),
      membership_(membership),
      random_(random),
      versionTag_(random.below(kVersionTagCount)) {}

bool EngineDiscovery::isSelfPolling(MonotonicTime now) const {
  Duration timeout =
      std::clamp(updateGap_ * 1.3 + seconds(0.2), kUpdateTimeout, kLongestUpdateTimeout);
  return membership_.self().role == Role::kRouter && now - fleetConfirmedAt_ > timeout;
}

void EngineDiscovery::recordFleetUpdate(MonotonicTime confirmedAt) {
  if (confirmedAt <= fleetConfirmedAt_) return;
  if (fleetConfirmedAt_ != kNever) updateGap_ = confirmedAt - fleetConfirmedAt_;
  fleetConfirmedAt_ = confirmedAt;
  confirmedAt_ = std::max(confirmedAt_, confirmedAt);
}

ListVersion EngineDiscovery::nextVersion() const {
  ListVersion last = std::max(version_, fleetVersion_);
  Epoch term = std::max(term_, termOf(last));
  std::uint64_t count = termOf(last) == term ? (last.value & 0xffffffffULL) / kVersionTagCount : 0;
  return {(term.value << 32) | ((count + 1) * kVersionTagCount + versionTag_)};
}

Duration EngineDiscovery::selfPollInterval() const {
  // All routers together stay below a third of the platform's rate limit.
  auto calls = static_cast<double>(membership_.liveRouters().size() * lastPageCount_);
  return std::max(seconds(1), seconds(3 * calls / options_.listRate));
}

Duration EngineDiscovery::pollInterval() {
  Duration interval =
      isPoller_ ? std::max(options_.listEvery,
                           seconds(3 * static_cast<double>(lastPageCount_) / options_.listRate))
                : selfPollInterval() * (0.9 + 0.3 * random_.fraction());
  return interval + backoff_ * (0.75 + 0.5 * random_.fraction());
}

void EngineDiscovery::tick(bool isPoller, Epoch term, MonotonicTime now, Outbox& outbox) {
  if (isPoller && (!isPoller_ || term != term_)) {
    nextPollAt_ = now;
    loadingSetAt_ = now;  // what an earlier leader announced stays until this one updates it
    mustRepublish_ = true;
    outbox.count("lister.terms");
  }
  isPoller_ = isPoller;
  if (isPoller) term_ = term;
  if (ticket_ && now - pageRequestedAt_ > kPageTimeout + seconds(0.5))
    handleFailure(0, now, outbox);
  if (!list_.loading.empty()) {
    bool expired = now - (isPoller_ ? loadingSetAt_ : fleetConfirmedAt_) > kLoadingLifetime;
    if (expired && isPoller_) publish({list_.engines, {}}, now, outbox);
    if (expired && !isPoller_) {
      list_.loading.clear();
      version_ = nextVersion();
      isOwnList_ = true;
    }
  }
  bool selfPolling = !isPoller_ && isSelfPolling(now);
  if (selfPolling && !wasSelfPolling_) {
    double spread = std::clamp(inSeconds(selfPollInterval()) / 2, 0.2, 1.0);
    nextPollAt_ = std::max(nextPollAt_, now + seconds(spread * random_.fraction()));
    outbox.count("lister.onItsOwn");
  }
  wasSelfPolling_ = selfPolling;
  if (!ticket_ && now >= nextPollAt_ && (isPoller_ || selfPolling)) {
    polledEngines_.clear();
    pagesRequested_ = 0;
    pollStartedAt_ = now;
    requestPage({}, now, outbox);
  }
}

void EngineDiscovery::requestPage(std::string page, MonotonicTime now, Outbox& outbox) {
  ticket_ = outbox.newTicket();
  pageRequestedAt_ = now;
  ++pagesRequested_;
  outbox.count("lister.calls");
  outbox.push(ListEngines{*ticket_, std::move(page), kPageTimeout});
}

void EngineDiscovery::handleFailure(int status, MonotonicTime now, Outbox& outbox) {
  ticket_.reset();
  outbox.count(status == 429 ? "lister.tooOften" : "lister.failed");
  if (status == 429) backoff_ = std::clamp(backoff_ * 2, seconds(0.5), kLargestBackoff);
  // A lost call is retried at once; a rate limit rejection is followed by a backoff.
  nextPollAt_ =
      status == 429 ? now + pollInterval() : std::max(now, pollStartedAt_ + pollInterval());
  // Another member may have a newer list, or may reach the platform.
  if (!isPoller_) requestCompleteList(membership_.randomMember(), outbox);
}

bool EngineDiscovery::handlePage(const EnginesListed& page, MonotonicTime now, Outbox& outbox) {
  if (!ticket_ || page.ticket != *ticket_) return false;
  if (page.status != 200) {
    handleFailure(page.status, now, outbox);
    return true;
  }
  ticket_.reset();
  polledEngines_.insert(polledEngines_.end(), page.engines.begin(), page.engines.end());
  if (!page.nextPage.empty() && pagesRequested_ < kMaxPages) {
    requestPage(page.nextPage, now, outbox);
    return true;
  }
  lastPageCount_ = std::max<std::size_t>(pagesRequested_, 1);
  backoff_ = {};
  nextPollAt_ = std::max(now, pollStartedAt_ + pollInterval());
  finishPoll(now, outbox);
  return true;
}

void EngineDiscovery::finishPoll(MonotonicTime now, Outbox& outbox) {
  sortById(polledEngines_);
  bool unchanged = version_.value != 0 && sameEngines(list_.engines, polledEngines_);
  if (isPoller_) {
    confirmedAt_ = fleetConfirmedAt_ = pollStartedAt_;
    if (!unchanged || mustRepublish_ || isOwnList_) {
      publish({std::move(polledEngines_), list_.loading}, now, outbox);
    } else if (now - lastBroadcastAt_ >= kConfirmInterval * 0.9) {
      broadcastUpdate({version_, now - confirmedAt_, {}}, outbox);
      lastBroadcastAt_ = now;
    }
    return;
  }
  bool front = membership_.self().role == Role::kRouter;
  if (!front || pollStartedAt_ <= fleetConfirmedAt_) return;  // a newer update arrived meanwhile
  confirmedAt_ = pollStartedAt_;
  if (unchanged) return;
  list_.engines = std::move(polledEngines_);
  version_ = nextVersion();
  isOwnList_ = true;
  outbox.count("lister.ownLists");
}

void EngineDiscovery::publish(DiscoveredEngines next, MonotonicTime now, Outbox& outbox) {
  std::string text =
      isOwnList_ || version_.value == 0 ? encodeList(next) : encodeListDelta(version_, list_, next);
  list_ = std::move(next);
  version_ = fleetVersion_ = nextVersion();
  isOwnList_ = mustRepublish_ = false;
  lastBroadcastAt_ = now;
  outbox.count("lister.changes");
  broadcastUpdate({version_, now - confirmedAt_, std::move(text)}, outbox);
}

void EngineDiscovery::broadcastUpdate(const DiscoveredEnginesUpdate& update, Outbox& outbox) {
  outbox.broadcast(membership_.otherMemberAddresses(), update);
}

void EngineDiscovery::requestCompleteList(const Address& from, Outbox& outbox) {
  outbox.count("lister.asked");
  outbox.send(from, DiscoveredEnginesRequest{isOwnList_ ? ListVersion{} : version_});
}

bool EngineDiscovery::handle(const Address& from, const DiscoveredEnginesUpdate& update,
                             MonotonicTime now, Outbox& outbox) {
  MonotonicTime confirmedAt = now - std::max(update.age, Duration{});
  if (isPoller_) {
    if (update.version > version_ && termOf(update.version) == term_) {
      fleetVersion_ = std::max(fleetVersion_, update.version);
      mustRepublish_ = true;
    }
    return false;
  }
  if (update.version < fleetVersion_) {
    // Delayed, or sent by a node that doesn't know of a higher version under its own term.
    if (termOf(update.version) == termOf(fleetVersion_) && confirmedAt > fleetConfirmedAt_)
      outbox.send(from, DiscoveredEnginesRequest{fleetVersion_});
    return false;
  }
  fleetVersion_ = update.version;
  if (!isOwnList_ && update.version == version_) {
    recordFleetUpdate(confirmedAt);
    return false;
  }
  if (update.list.empty()) {
    requestCompleteList(from, outbox);
    return false;
  }
  if (isOwnList_ && confirmedAt < confirmedAt_)
    return false;  // the own list is newer; later updates replace it
  switch (decodeList(update.list, isOwnList_ ? ListVersion{} : version_, list_)) {
    case ListDecodeResult::kApplied:
      version_ = update.version;
      isOwnList_ = false;
      recordFleetUpdate(confirmedAt);
      outbox.count("lister.taken");
      return true;
    case ListDecodeResult::kBaseMismatch:
      requestCompleteList(from, outbox);
      return false;
    case ListDecodeResult::kMalformed:
      outbox.count("lister.unreadable");
      return false;
  }
  return false;
}

void EngineDiscovery::handle(const Address& from, const DiscoveredEnginesRequest& request,
                             MonotonicTime now, Outbox& outbox) {
  if (isPoller_ && request.have > version_) {
    if (termOf(request.have) != term_) return;
    fleetVersion_ = std::max(fleetVersion_, request.have);
    if (confirmedAt_ != kNever) publish(list_, now, outbox);
    return;
  }
  if (isOwnList_ || version_.value == 0 || request.have > version_) return;
  bool same = request.have == version_;
  outbox.send(from, DiscoveredEnginesUpdate{version_, now - confirmedAt_,
                                            same ? std::string{} : encodeList(list_)});
}

void EngineDiscovery::setLoading(std::vector<EngineId> engines, MonotonicTime now, Outbox& outbox) {
  if (!isPoller_) return;
  loadingSetAt_ = now;
  std::ranges::sort(engines);
  if (engines != list_.loading && confirmedAt_ != kNever)
    publish({list_.engines, std::move(engines)}, now, outbox);
}

}  // namespace peppergate
