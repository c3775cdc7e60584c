#include "requests/router_node.h"

#include "core/fleet_pace.h"

namespace peppergate {
namespace {

// Paces of usage broadcasts, by the number of routers. Unchanged usage is sent only every second
// time and expires at its receivers after two seconds (`EngineBook`), so twice the longest interval
// has to be shorter than that.
//
// Usage of links:
constexpr FleetPace kTell{seconds(0.5), milliseconds(10), seconds(0.95)};
// Requests of this router per engine, which are useful for about as long as a prompt waits for its
// prefill:
constexpr FleetPace kTellUse{seconds(0.2), milliseconds(5), seconds(0.5)};
// The fraction of the interval within which a round is sent.
constexpr double kToldWithin = 0.9;
// The time from the drain request until no more clients are sent here.
constexpr Duration kNoticed = seconds(3.2);

}  // namespace

RouterNode::RouterNode(const Options& options, MemberRecord self, std::vector<Address> seeds,
                       std::map<Zone, std::string> regions, std::uint64_t seed)
    : options_(options), random_(seed) {
  membership_ = std::make_unique<Membership>(options_, self, std::move(seeds), random_);
  follower_ = std::make_unique<Follower>(options_, *membership_, random_);
  operatorHandler_ = std::make_unique<OperatorHandler>(options_, *membership_, *follower_);
  lister_ = std::make_unique<Lister>(options_, *membership_, random_);
  book_ = std::make_unique<EngineBook>(options_);
  watch_ = std::make_unique<PartWatch>(options_, *membership_, index_);
  fetches_ = std::make_unique<FetchDesk>(options_);
  fetches_->regions(std::move(regions));
  placement_ = std::make_unique<Placement>(options_, *book_, index_, *fetches_, random_);
  placement_->in(membership_->self().zone);
  facts_ = std::make_unique<FollowerFacts>(options_, *follower_, *membership_);
  requests_ = std::make_unique<Requests>(
      RequestParts{options_, *facts_, *book_, index_, *placement_, random_});
  membership_->carry([this](Shuffle& shuffle) {
    shuffle.withdrawn = follower_->recentWithdrawn();
    shuffle.engineList = lister_->version();
  });
}

void RouterNode::step(const Event& event, MonotonicTime now) {
  if (std::holds_alternative<Ticked>(event)) tick(now);
  else if (auto* turned = std::get_if<AttemptTurned>(&event))
    requests_->turn(*turned, now, outbox_);
  else if (auto* asked = std::get_if<RequestArrived>(&event)) requests_->ask(*asked, now, outbox_);
  else if (auto* arrival = std::get_if<Arrived>(&event)) arrived(*arrival, now);
  else if (auto* gone = std::get_if<RequestGone>(&event))
    requests_->gone(gone->request, now, outbox_);
  else if (auto* slow = std::get_if<ClientSlow>(&event)) requests_->slow(*slow, now, outbox_);
  else if (auto* page = std::get_if<OperatorRequest>(&event)) operatorAsked(*page, now);
  else if (std::holds_alternative<DrainRequest>(event)) {
    if (drainSince_ == kForever) drainSince_ = now;
    requests_->leave(now);
    membership_->leave(outbox_);
  } else if (!answered(event, now)) {
    outbox_.count("events.unexpected");
  }
}

bool RouterNode::answered(const Event& event, MonotonicTime now) {
  if (auto* polled = std::get_if<PartsPolled>(&event)) return watch_->polled(*polled, now, outbox_);
  if (auto* listed = std::get_if<PartsListed>(&event)) return watch_->listed(*listed, now, outbox_);
  if (auto* page = std::get_if<EnginesListed>(&event)) {
    bool mine = lister_->listed(*page, now, outbox_);
    takeList(now);
    return mine;
  }
  return false;
}

void RouterNode::tick(MonotonicTime now) {
  membership_->tick(now, outbox_);
  follower_->tick(now, outbox_);
  operatorHandler_->tick(now, outbox_);
  lister_->tick(false, Epoch{}, now, outbox_);
  takeList(now);
  takeChanges(now);
  noteCoreTrouble(now);
  book_->tick(now);
  const FleetConfig& fleet = follower_->setup().fleet;
  watch_->tick(*book_, fleet, now, outbox_);
  placement_->tick(fleet, now, outbox_);
  requests_->tick(now, outbox_);
  tellOthers(now);
}

void RouterNode::takeList(MonotonicTime now) {
  book_->confirmed(lister_->seen());
  if (lister_->version() == bookVersion_) return;
  bookVersion_ = lister_->version();
  book_->take(lister_->engines(), bookVersion_, now);
  book_->loading(lister_->loadingNow(), now);
  placement_->links(follower_->setup().fleet);
  outbox_.count("lists.taken");
}

void RouterNode::takeChanges(MonotonicTime now) {
  if (follower_->changesSeen() == changesSeen_) return;
  changesSeen_ = follower_->changesSeen();
  placement_->take(follower_->setup());
  placement_->links(follower_->setup().fleet);
  placement_->named(follower_->weights(), follower_->weightsNamedSince(), now);
}

// Engines can't be moved to new weights while the control plane is down, so older weights stay
// usable for longer.
void RouterNode::noteCoreTrouble(MonotonicTime now) {
  Duration silence =
      leaderSilence_.tick(follower_->primaryOrigin(), follower_->primaryEpoch(), now);
  if (silence > Duration{}) placement_->withoutLeader(silence);
  if (coreLives_.restarted(membership_->liveCores())) placement_->coreRestarted(now);
}

void RouterNode::tellOthers(MonotonicTime now) {
  told_.tick(now, outbox_);
  toldUse_.tick(now, outbox_);
  relayed_.tick(now, outbox_);
  if (!follower_->installed()) return;
  if (now >= nextTellUse_) tellUse(now);
  if (now >= nextTell_) tellLinks(now);
}

/// Broadcasts this router's requests per engine, the data that goes stale fastest.
void RouterNode::tellUse(MonotonicTime now) {
  Duration interval = kTellUse.between(membership_->frontCount());
  nextTellUse_ = now + interval;
  // Receivers count the routers that report a failure by sender address, so reports aren't relayed.
  std::vector<Message> troubles;
  for (auto& trouble : book_->troubles()) troubles.emplace_back(std::move(trouble));
  toldUse_.begin(membership_->otherFronts(), std::move(troubles), interval * kToldWithin, now);
  auto use = book_->use(membership_->self().member);
  std::vector<Message> messages;
  if (use) messages.emplace_back(std::move(*use));
  auto routers = membership_->liveFronts();
  toldUse_.beginRelayed(relayTargets(routers, membership_->self(), ++relayTurn_),
                        std::move(messages), interval * kToldWithin, now);
  toldUse_.tick(now, outbox_);
}

void RouterNode::tellLinks(MonotonicTime now) {
  Duration interval = kTell.between(membership_->frontCount());
  nextTell_ = now + interval;
  std::vector<Message> messages;
  UsageNotification note = placement_->note(membership_->self().member, now);
  if (!note.links.empty() || !note.mixes.empty()) messages.emplace_back(std::move(note));
  auto routers = membership_->liveFronts();
  told_.beginRelayed(relayTargets(routers, membership_->self(), ++relayTurn_), std::move(messages),
                     interval * kToldWithin, now);
  told_.tick(now, outbox_);
}

/// Relays a message from a router in another zone to the routers of this zone.
template <class Note>
void RouterNode::passOn(Note note, MonotonicTime now) {
  note.relay = false;
  outbox_.count("notes.relayed");
  std::vector<Message> messages;
  messages.emplace_back(std::move(note));
  relayed_.begin(zonePeers(membership_->liveFronts(), membership_->self()), std::move(messages),
                 kRelaySpan, now);
}

void RouterNode::arrived(const Arrived& event, MonotonicTime now) {
  const Address& from = event.from;
  const Message& message = event.message;
  if (auto* shuffle = std::get_if<Shuffle>(&message)) {
    for (const auto& digest : shuffle->withdrawn) follower_->withdraw(digest, outbox_);
    membership_->hear(*shuffle, now, outbox_);
  } else if (auto* news = std::get_if<StateRequest>(&message)) {
    outbox_.send(from, follower_->relay(*news, now));
  } else if (auto* answer = std::get_if<StateReply>(&message)) {
    follower_->hear(from, *answer, now, outbox_);
    takeChanges(now);  // applied at once, so that each change of named weights keeps its own time
  } else if (auto* change = std::get_if<ChangeReply>(&message)) {
    operatorHandler_->hear(*change, now, outbox_);
  } else if (auto* roster = std::get_if<DiscoveredEnginesUpdate>(&message)) {
    lister_->hear(from, *roster, now, outbox_);
    takeList(now);
  } else if (auto* rosterAsk = std::get_if<DiscoveredEnginesRequest>(&message)) {
    lister_->hear(from, *rosterAsk, now, outbox_);
  } else if (auto* parts = std::get_if<PrefixBlockUpdate>(&message)) {
    watch_->hear(from, *parts, now, outbox_);
  } else if (auto* partAsk = std::get_if<PrefixBlockRequest>(&message)) {
    watch_->hear(from, *partAsk, now, outbox_);
  } else if (auto* use = std::get_if<EngineUse>(&message)) {
    if (use->relay) passOn(*use, now);
    book_->hear(*use, now);
  } else if (auto* trouble = std::get_if<EngineTrouble>(&message)) {
    book_->hear(from, *trouble, now);
  } else if (auto* usage = std::get_if<UsageNotification>(&message)) {
    if (usage->relay) passOn(*usage, now);
    placement_->hear(*usage, now);
  } else if (std::holds_alternative<ReadLeaderNotification>(message)) {
    follower_->noteReadOnlyLeader(from, now, outbox_);
  } else {
    outbox_.count("messages.unexpected");
  }
}

void RouterNode::operatorAsked(const OperatorRequest& asked, MonotonicTime now) {
  if (asked.path == "/status") {
    outbox_.push(
        AnswerWeb{asked.ticket, 200, {{"Content-Type", "application/json"}}, status(now).dump()});
  } else if (!operatorHandler_->take(asked, now, outbox_)) {
    outbox_.push(AnswerWeb{asked.ticket, 404, {}, R"({"outcome":"no-such-page"})"});
  }
}

void RouterNode::reload(const Options& options) {
  options_ = options;
  membership_->reload(options);
  follower_->reload(options);
  book_->reload(options);
  fetches_->reload(options);
}

bool RouterNode::ready(MonotonicTime now) const {
  return drainSince_ == kForever && follower_->setup().fleet.version.value != 0 &&
         follower_->fresh(now) && book_->size() > 0;
}

bool RouterNode::drained(MonotonicTime now) const {
  // The load balancer takes some health checks to notice the draining; requests arrive until then.
  return drainSince_ != kForever && now - drainSince_ > kNoticed;
}

Json RouterNode::status(MonotonicTime now) const {
  Json counters = Json::object();
  for (const auto& [name, value] : outbox_.counters()) counters[name] = value;
  return {{"role", "router"},
          {"member", membership_->self().member.value},
          {"address", membership_->self().address.value},
          {"district", membership_->self().zone.value},
          {"ready", ready(now)},
          {"fresh", follower_->fresh(now)},
          {"proofFrom", follower_->attestedBy(now)},
          {"proofAgeMilliseconds", inMilliseconds(follower_->proofAge(now))},
          {"sections", toJson(follower_->have())},
          {"configVersion", follower_->setup().fleet.version.value},
          {"engineList", lister_->version().value},
          {"engineListAgeMilliseconds", inMilliseconds(now - lister_->seen())},
          {"engines", book_->size()},
          {"members", membership_->live().size()},
          {"requests", requests_->live()},
          {"draining", drainSince_ != kForever},
          {"keptParts", index_.size()},
          {"counters", counters}};
}

}  // namespace peppergate
