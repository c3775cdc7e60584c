#include "requests/router_node.h"

#include "core/broadcast_interval.h"

namespace peppergate {
namespace {

// Paces of usage broadcasts, by the number of routers. Unchanged usage is sent only every second
// time and expires at its receivers after two seconds (`EngineRegistry`), so twice the longest
// interval has to be shorter than that.
//
// Usage of links:
constexpr BroadcastInterval kLinkUsagePace{seconds(0.5), milliseconds(10), seconds(0.95)};
// Requests of this router per engine, which are useful for about as long as a prompt waits for its
// prefill:
constexpr BroadcastInterval kEngineUsePace{seconds(0.2), milliseconds(5), seconds(0.5)};
// The fraction of the interval within which a round is sent.
constexpr double kBroadcastSendFraction = 0.9;
// The time from the drain request until no more clients are sent here.
constexpr Duration kDrainNoticeTime = seconds(3.2);

}  // namespace

RouterNode::RouterNode(const Options& options, MemberRecord self, std::vector<Address> seeds,
                       std::map<Zone, std::string> regions, std::uint64_t seed)
    : options_(options), random_(seed) {
  membership_ = std::make_unique<Membership>(options_, self, std::move(seeds), random_);
  follower_ = std::make_unique<Follower>(options_, *membership_, random_);
  operatorHandler_ = std::make_unique<OperatorHandler>(options_, *membership_, *follower_);
  lister_ = std::make_unique<EngineDiscovery>(options_, *membership_, random_);
  book_ = std::make_unique<EngineRegistry>(options_);
  watch_ = std::make_unique<PrefixCacheWatcher>(options_, *membership_, index_);
  fetches_ = std::make_unique<FetchPlanner>(options_);
  fetches_->setRegions(std::move(regions));
  placement_ = std::make_unique<Placement>(options_, *book_, index_, *fetches_, random_);
  placement_->setZone(membership_->self().zone);
  fleetState_ = std::make_unique<FollowerStateView>(options_, *follower_, *membership_);
  requestRouter_ = std::make_unique<RequestRouter>(
      RequestDependencies{options_, *fleetState_, *book_, index_, *placement_, random_});
  membership_->setShuffleExtension([this](Shuffle& shuffle) {
    shuffle.withdrawn = follower_->recentlyWithdrawn();
    shuffle.engineList = lister_->version();
  });
}

void RouterNode::step(const Event& event, MonotonicTime now) {
  if (std::holds_alternative<Tick>(event)) tick(now);
  else if (auto* attemptEvent = std::get_if<AttemptEvent>(&event))
    requestRouter_->handleAttemptEvent(*attemptEvent, now, outbox_);
  else if (auto* arrival = std::get_if<RequestArrived>(&event))
    requestRouter_->handleRequest(*arrival, now, outbox_);
  else if (auto* message = std::get_if<MessageReceived>(&event)) handleMessage(*message, now);
  else if (auto* cancelled = std::get_if<RequestCancelled>(&event))
    requestRouter_->handleCancelled(cancelled->request, now, outbox_);
  else if (auto* backpressure = std::get_if<RequestBackpressure>(&event))
    requestRouter_->handleBackpressure(*backpressure, now, outbox_);
  else if (auto* operatorRequest = std::get_if<OperatorRequest>(&event))
    handleOperatorRequest(*operatorRequest, now);
  else if (std::holds_alternative<DrainRequest>(event)) {
    if (drainingSince_ == kForever) drainingSince_ = now;
    requestRouter_->startDraining(now);
    membership_->announceLeaving(outbox_);
  } else if (!handleReply(event, now)) {
    outbox_.count("events.unexpected");
  }
}

bool RouterNode::handleReply(const Event& event, MonotonicTime now) {
  if (auto* polled = std::get_if<PrefixBlocksPolled>(&event))
    return watch_->handlePoll(*polled, now, outbox_);
  if (auto* listed = std::get_if<PrefixBlocksListed>(&event))
    return watch_->handleListing(*listed, now, outbox_);
  if (auto* page = std::get_if<EnginesListed>(&event)) {
    bool accepted = lister_->handlePage(*page, now, outbox_);
    applyEngineList(now);
    return accepted;
  }
  return false;
}

void RouterNode::tick(MonotonicTime now) {
  membership_->tick(now, outbox_);
  follower_->tick(now, outbox_);
  operatorHandler_->tick(now, outbox_);
  lister_->tick(false, Epoch{}, now, outbox_);
  applyEngineList(now);
  applyControlState(now);
  detectControlOutage(now);
  book_->tick(now);
  const FleetConfig& fleet = follower_->setup().fleetConfig;
  watch_->tick(*book_, fleet, now, outbox_);
  placement_->tick(fleet, now, outbox_);
  requestRouter_->tick(now, outbox_);
  broadcastUsage(now);
}

void RouterNode::applyEngineList(MonotonicTime now) {
  book_->confirm(lister_->confirmedAt());
  if (lister_->version() == appliedListVersion_) return;
  appliedListVersion_ = lister_->version();
  book_->update(lister_->engines(), appliedListVersion_, now);
  book_->setLoading(lister_->loadingEngines(), now);
  placement_->updateLinks(follower_->setup().fleetConfig);
  outbox_.count("lists.taken");
}

void RouterNode::applyControlState(MonotonicTime now) {
  if (follower_->changeCount() == appliedChanges_) return;
  appliedChanges_ = follower_->changeCount();
  placement_->setOperatorSetup(follower_->setup());
  placement_->updateLinks(follower_->setup().fleetConfig);
  placement_->setTargetWeights(follower_->weights(), follower_->weightsPublishedSince(), now);
}

// Engines can't be moved to new weights while the control plane is down, so older weights stay
// usable for longer.
void RouterNode::detectControlOutage(MonotonicTime now) {
  Duration outage =
      leaderOutage_.tick(follower_->leaderProofOrigin(), follower_->leaderProofEpoch(), now);
  if (outage > Duration{}) placement_->addLeaderOutage(outage);
  if (controlRestarts_.detectRestart(membership_->liveCores())) placement_->restartGraceTime(now);
}

void RouterNode::broadcastUsage(MonotonicTime now) {
  linkUsageBroadcast_.tick(now, outbox_);
  engineUseBroadcast_.tick(now, outbox_);
  zoneRelay_.tick(now, outbox_);
  if (!follower_->hasConfiguration()) return;
  if (now >= nextEngineUseBroadcast_) broadcastEngineUse(now);
  if (now >= nextLinkBroadcast_) broadcastLinkUsage(now);
}

/// Broadcasts this router's requests per engine, the data that goes stale fastest.
void RouterNode::broadcastEngineUse(MonotonicTime now) {
  Duration interval = kEngineUsePace.forMembers(membership_->routerCount());
  nextEngineUseBroadcast_ = now + interval;
  // Receivers count the routers that report a failure by sender address, so reports aren't relayed.
  std::vector<Message> troubles;
  for (auto& trouble : book_->takeFailureReports()) troubles.emplace_back(std::move(trouble));
  engineUseBroadcast_.begin(membership_->otherRouterAddresses(), std::move(troubles),
                            interval * kBroadcastSendFraction, now);
  auto use = book_->loadReport(membership_->self().member);
  std::vector<Message> messages;
  if (use) messages.emplace_back(std::move(*use));
  auto routers = membership_->liveRouters();
  engineUseBroadcast_.beginRelayed(relayTargets(routers, membership_->self(), ++relayRound_),
                                   std::move(messages), interval * kBroadcastSendFraction, now);
  engineUseBroadcast_.tick(now, outbox_);
}

void RouterNode::broadcastLinkUsage(MonotonicTime now) {
  Duration interval = kLinkUsagePace.forMembers(membership_->routerCount());
  nextLinkBroadcast_ = now + interval;
  std::vector<Message> messages;
  LinkUsageNotification note = placement_->usageReport(membership_->self().member, now);
  if (!note.links.empty() || !note.streamMixes.empty()) messages.emplace_back(std::move(note));
  auto routers = membership_->liveRouters();
  linkUsageBroadcast_.beginRelayed(relayTargets(routers, membership_->self(), ++relayRound_),
                                   std::move(messages), interval * kBroadcastSendFraction, now);
  linkUsageBroadcast_.tick(now, outbox_);
}

/// Relays a message from a router in another zone to the routers of this zone.
template <class Note>
void RouterNode::relayToZone(Note note, MonotonicTime now) {
  note.relay = false;
  outbox_.count("notes.relayed");
  std::vector<Message> messages;
  messages.emplace_back(std::move(note));
  zoneRelay_.begin(zonePeers(membership_->liveRouters(), membership_->self()), std::move(messages),
                   kRelaySpan, now);
}

void RouterNode::handleMessage(const MessageReceived& event, MonotonicTime now) {
  const Address& from = event.from;
  const Message& message = event.message;
  if (auto* shuffle = std::get_if<Shuffle>(&message)) {
    for (const auto& digest : shuffle->withdrawn) follower_->withdrawKey(digest, outbox_);
    membership_->handle(*shuffle, now, outbox_);
  } else if (auto* stateRequest = std::get_if<StateRequest>(&message)) {
    outbox_.send(from, follower_->relayReply(*stateRequest, now));
  } else if (auto* stateReply = std::get_if<StateReply>(&message)) {
    follower_->handle(from, *stateReply, now, outbox_);
    applyControlState(
        now);  // applied at once, so that each change of named weights keeps its own time
  } else if (auto* changeReply = std::get_if<ChangeReply>(&message)) {
    operatorHandler_->handleReply(*changeReply, now, outbox_);
  } else if (auto* enginesUpdate = std::get_if<DiscoveredEnginesUpdate>(&message)) {
    lister_->handle(from, *enginesUpdate, now, outbox_);
    applyEngineList(now);
  } else if (auto* enginesRequest = std::get_if<DiscoveredEnginesRequest>(&message)) {
    lister_->handle(from, *enginesRequest, now, outbox_);
  } else if (auto* blockUpdate = std::get_if<PrefixBlockUpdate>(&message)) {
    watch_->handle(from, *blockUpdate, now, outbox_);
  } else if (auto* blockRequest = std::get_if<PrefixBlockRequest>(&message)) {
    watch_->handle(from, *blockRequest, now, outbox_);
  } else if (auto* use = std::get_if<EngineUsageNotification>(&message)) {
    if (use->relay) relayToZone(*use, now);
    book_->handle(*use, now);
  } else if (auto* trouble = std::get_if<EngineFailureReport>(&message)) {
    book_->handle(from, *trouble, now);
  } else if (auto* usage = std::get_if<LinkUsageNotification>(&message)) {
    if (usage->relay) relayToZone(*usage, now);
    placement_->handle(*usage, now);
  } else if (std::holds_alternative<ReadLeaderNotification>(message)) {
    follower_->noteReadOnlyLeader(from, now, outbox_);
  } else {
    outbox_.count("messages.unexpected");
  }
}

void RouterNode::handleOperatorRequest(const OperatorRequest& request, MonotonicTime now) {
  if (request.path == "/status") {
    outbox_.push(AnswerHttp{
        request.ticket, 200, {{"Content-Type", "application/json"}}, status(now).dump()});
  } else if (!operatorHandler_->handle(request, now, outbox_)) {
    outbox_.push(AnswerHttp{request.ticket, 404, {}, R"({"outcome":"no-such-page"})"});
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
  return drainingSince_ == kForever && follower_->setup().fleetConfig.version.value != 0 &&
         follower_->isFresh(now) && book_->size() > 0;
}

bool RouterNode::drained(MonotonicTime now) const {
  // The load balancer takes some health checks to notice the draining; requests arrive until then.
  return drainingSince_ != kForever && now - drainingSince_ > kDrainNoticeTime;
}

Json RouterNode::status(MonotonicTime now) const {
  Json counters = Json::object();
  for (const auto& [name, value] : outbox_.counters()) counters[name] = value;
  return {{"role", "router"},
          {"member", membership_->self().member.value},
          {"address", membership_->self().address.value},
          {"district", membership_->self().zone.value},
          {"ready", ready(now)},
          {"fresh", follower_->isFresh(now)},
          {"proofFrom", follower_->proofSource(now)},
          {"proofAgeMilliseconds", inMilliseconds(follower_->proofAge(now))},
          {"sections", toJson(follower_->installedVersions())},
          {"configVersion", follower_->setup().fleetConfig.version.value},
          {"engineList", lister_->version().value},
          {"engineListAgeMilliseconds", inMilliseconds(now - lister_->confirmedAt())},
          {"engines", book_->size()},
          {"members", membership_->liveMembers().size()},
          {"requests", requestRouter_->activeRequests()},
          {"draining", drainingSince_ != kForever},
          {"keptParts", index_.size()},
          {"counters", counters}};
}

}  // namespace peppergate
