#include "core/front_node.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr int kEmptyNotifications = 2;  // empty usage notifications in a row before silence

}  // namespace

FrontNode::FrontNode(const Options& options, MemberRecord self, std::vector<Address> seeds,
                     Address platform, std::uint64_t seed)
    : options_(options), random_(seed), platform_(std::move(platform)) {
  membership_ = std::make_unique<Membership>(options_, self, std::move(seeds), random_);
  follower_ = std::make_unique<Follower>(options_, *membership_, random_);
  operatorHandler_ = std::make_unique<OperatorHandler>(options_, *membership_, *follower_);
  index_ = std::make_unique<PrefixIndex>(options_, *membership_);
  watch_ = std::make_unique<EngineWatch>(options_, *membership_, *follower_, *index_, random_);
  fetchPlanner_ = std::make_unique<FetchPlanner>(options_);
  admission_ = std::make_unique<AdmissionController>(options_);
  streams_ = std::make_unique<Streams>(FrontComponents{options_, *membership_, *follower_, *watch_,
                                                       *index_, *fetchPlanner_, *admission_,
                                                       random_, list_});
  membership_->setShuffleExtension([this](Shuffle& shuffle) {
    shuffle.withdrawn = follower_->recentlyWithdrawn();
    shuffle.engineList = list_.version;
  });
}

void FrontNode::step(const Event& event, MonotonicTime now) {
  if (std::holds_alternative<Tick>(event)) tick(now);
  else if (auto* arrival = std::get_if<MessageReceived>(&event)) handleMessage(*arrival, now);
  else if (auto* request = std::get_if<StreamRequest>(&event))
    streams_->handleRequest(*request, now, outbox_);
  else if (auto* attemptEvent = std::get_if<StreamAttemptEvent>(&event))
    streams_->handleAttemptEvent(*attemptEvent, now, outbox_);
  else if (auto* callerGone = std::get_if<StreamCallerGone>(&event))
    streams_->handleCallerGone(callerGone->stream, outbox_);
  else if (auto* answer = std::get_if<HttpCallAnswered>(&event)) handleWebAnswer(*answer, now);
  else if (auto* operatorRequest = std::get_if<OperatorRequest>(&event))
    handleOperatorRequest(*operatorRequest, now);
  else if (std::holds_alternative<DrainRequest>(event)) {
    streams_->drain();
    membership_->announceLeaving(outbox_);
    drainSince_ = now;
  }
}

void FrontNode::tick(MonotonicTime now) {
  membership_->tick(now, outbox_);
  follower_->tick(now, outbox_);
  operatorHandler_->tick(now, outbox_);
  watch_->tick(list_, now, outbox_);
  fetchPlanner_->tick(follower_->setup(), now, outbox_);
  streams_->tick(now, outbox_);
  if (now >= nextListRequest_ && !listTicket_ && !platform_.value.empty()) {
    nextListRequest_ = now + options_.listEvery;
    listTicket_ = outbox_.newTicket();
    outbox_.push(CallHttp{*listTicket_, platform_, "GET", "/engines", {}, "", seconds(1)});
  }
  if (now >= nextUsageBroadcast_ && follower_->hasConfiguration()) {
    nextUsageBroadcast_ = now + seconds(0.5);
    broadcastUsage(now);
  }
}

void FrontNode::broadcastUsage(MonotonicTime now) {
  LinkUsageNotification notification =
      fetchPlanner_->makeNotification(membership_->self().member, follower_->setup(), now);
  // Once an empty notification has replaced the last full one, silence means the same to the
  // others; the empty one is repeated in case the first was lost.
  bool empty = notification.links.empty() && notification.streamMixes.empty();
  emptyNotifications_ = empty ? std::min(emptyNotifications_ + 1, kEmptyNotifications + 1) : 0;
  if (emptyNotifications_ > kEmptyNotifications) {
    outbox_.count("usage.silent");
    return;
  }
  outbox_.count("usage.told");
  outbox_.broadcast(membership_->otherRouterAddresses(), std::move(notification));
}

void FrontNode::installEngineList(const std::string& text, MonotonicTime now) {
  auto list = parseEngineList(text);
  if (!list.ok()) {
    outbox_.count("lists.unreadable");
    return;
  }
  if (list->version <= list_.version) return;  // a list never goes back
  list_ = std::move(*list);
  fetchPlanner_->updateLinks(list_);
  outbox_.count("lists.taken");
  outbox_.push(LogState{"engine list " + std::to_string(list_.version.value) + " in force"});
  (void)now;
}

void FrontNode::handleWebAnswer(const HttpCallAnswered& answer, MonotonicTime now) {
  if (listTicket_ && answer.ticket == *listTicket_) {
    listTicket_.reset();
    if (answer.status == 200) installEngineList(answer.body, now);
    else outbox_.count("lists.failed");
    return;
  }
  if (watch_->handleAnswer(answer, list_, now, outbox_)) fetchPlanner_->requestRerun();
}

void FrontNode::handleMessage(const MessageReceived& event, MonotonicTime now) {
  const Address& from = event.from;
  const Message& message = event.message;
  if (auto* shuffle = std::get_if<Shuffle>(&message)) {
    for (const auto& digest : shuffle->withdrawn) follower_->withdrawKey(digest, outbox_);
    membership_->handle(*shuffle, now, outbox_);
    if (shuffle->engineList > list_.version)
      outbox_.send(shuffle->sender.address, EngineListRequest{list_.version});
  } else if (auto* listRequest = std::get_if<EngineListRequest>(&message)) {
    if (list_.version > listRequest->have)
      outbox_.send(from, EngineListUpdate{list_.version, list_.text});
  } else if (auto* list = std::get_if<EngineListUpdate>(&message)) {
    installEngineList(list->list, now);
  } else if (auto* stateRequest = std::get_if<StateRequest>(&message)) {
    outbox_.send(from, follower_->relayReply(*stateRequest, now));
  } else if (auto* answer = std::get_if<StateReply>(&message)) {
    follower_->handle(from, *answer, now, outbox_);
    operatorHandler_->answerReaders(now, outbox_);
    streams_->tick(now, outbox_);
  } else if (auto* change = std::get_if<ChangeReply>(&message)) {
    operatorHandler_->handleReply(*change, now, outbox_);
  } else if (auto* lease = std::get_if<EngineLeaseReply>(&message)) {
    watch_->handle(*lease, outbox_);
  } else if (auto* snapshots = std::get_if<EngineSnapshotNotification>(&message)) {
    watch_->handle(*snapshots, now, outbox_);
    fetchPlanner_->requestRerun();
  } else if (auto* put = std::get_if<PrefixIndexUpdate>(&message)) {
    index_->handle(from, *put, outbox_);
  } else if (auto* indexRequest = std::get_if<PrefixIndexRequest>(&message)) {
    index_->handle(from, *indexRequest, outbox_);
  } else if (std::holds_alternative<ReadLeaderNotification>(message)) {
    follower_->noteReadOnlyLeader(from, now, outbox_);
  } else if (auto* usage = std::get_if<LinkUsageNotification>(&message)) {
    fetchPlanner_->record(*usage, now);
  } else {
    outbox_.count("messages.unexpected");
  }
}

void FrontNode::handleOperatorRequest(const OperatorRequest& request, MonotonicTime now) {
  if (request.path == "/status") {
    outbox_.push(AnswerHttp{
        request.ticket, 200, {{"Content-Type", "application/json"}}, status(now).dump()});
  } else if (!operatorHandler_->handle(request, now, outbox_)) {
    outbox_.push(AnswerHttp{request.ticket, 404, {}, R"({"outcome":"no-such-page"})"});
  }
}

void FrontNode::reload(const Options& options) {
  options_ = options;
  membership_->reload(options);
  follower_->reload(options);
  watch_->reload(options);
  fetchPlanner_->reload(options);
  admission_->reload(options);
}

bool FrontNode::drained(MonotonicTime now) const {
  return drainSince_ != kForever &&
         (streams_->activeStreams() == 0 || now - drainSince_ > options_.drainLimit);
}

Json FrontNode::status(MonotonicTime now) const {
  Json counters = Json::object();
  for (const auto& [name, value] : outbox_.counters()) counters[name] = value;
  Json engines = Json::object();
  for (const auto& [id, view] : watch_->views())
    engines[id.value] = {{"weights", view.snapshot.weights.value},
                         {"ready", view.snapshot.ready},
                         {"usage", view.snapshot.runningStreams},
                         {"seenMillisecondsAgo", inMilliseconds(now - view.seenAt)},
                         {"mine", watch_->watches(id)},
                         {"held", watch_->holdsLease(id, now)}};
  Json groups = Json::array();
  for (const auto& group : fetchPlanner_->plan().groups)
    groups.push_back({{"link", group.link.value},
                      {"ratio", group.ratio},
                      {"level", group.level},
                      {"streams", group.streams},
                      {"rounds", group.rounds},
                      {"fits", group.fits}});
  return {{"role", "front"},
          {"member", membership_->self().member.value},
          {"address", membership_->self().address.value},
          {"district", membership_->self().zone.value},
          {"fresh", follower_->isFresh(now)},
          {"proofFrom", follower_->proofSource(now)},
          {"proofAgeMilliseconds", inMilliseconds(follower_->proofAge(now))},
          {"sections", toJson(follower_->installedVersions())},
          {"weights", follower_->weights().version.value},
          {"engineList", list_.version.value},
          {"members", membership_->liveMembers().size()},
          {"streams", streams_->activeStreams()},
          {"draining", streams_->draining()},
          {"keptParts", index_->size()},
          {"engines", engines},
          {"fetchGroups", groups},
          {"counters", counters}};
}

}  // namespace peppergate
