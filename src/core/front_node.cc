#include "core/front_node.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr int kEmptyNotes = 2;  // empty usage notifications in a row before silence

}  // namespace

FrontNode::FrontNode(const Options& options, MemberRecord self, std::vector<Address> seeds,
                     Address platform, std::uint64_t seed)
    : options_(options), random_(seed), platform_(std::move(platform)) {
  membership_ = std::make_unique<Membership>(options_, self, std::move(seeds), random_);
  follower_ = std::make_unique<Follower>(options_, *membership_, random_);
  operatorHandler_ = std::make_unique<OperatorHandler>(options_, *membership_, *follower_);
  index_ = std::make_unique<PrefixIndex>(options_, *membership_);
  watch_ = std::make_unique<EngineWatch>(options_, *membership_, *follower_, *index_, random_);
  fetches_ = std::make_unique<FetchDesk>(options_);
  gate_ = std::make_unique<Gate>(options_);
  streams_ = std::make_unique<Streams>(FrontParts{options_, *membership_, *follower_, *watch_,
                                                  *index_, *fetches_, *gate_, random_, list_});
  membership_->carry([this](Shuffle& shuffle) {
    shuffle.withdrawn = follower_->recentWithdrawn();
    shuffle.engineList = list_.version;
  });
}

void FrontNode::step(const Event& event, MonotonicTime now) {
  if (std::holds_alternative<Ticked>(event)) tick(now);
  else if (auto* arrival = std::get_if<Arrived>(&event)) arrived(*arrival, now);
  else if (auto* asked = std::get_if<StreamRequest>(&event)) streams_->ask(*asked, now, outbox_);
  else if (auto* turned = std::get_if<ShotTurned>(&event)) streams_->turn(*turned, now, outbox_);
  else if (auto* gone = std::get_if<CallerGone>(&event)) streams_->gone(gone->stream, outbox_);
  else if (auto* answer = std::get_if<WebAnswered>(&event)) webAnswered(*answer, now);
  else if (auto* page = std::get_if<OperatorRequest>(&event)) operatorAsked(*page, now);
  else if (std::holds_alternative<DrainRequest>(event)) {
    streams_->drain();
    membership_->leave(outbox_);
    drainSince_ = now;
  }
}

void FrontNode::tick(MonotonicTime now) {
  membership_->tick(now, outbox_);
  follower_->tick(now, outbox_);
  operatorHandler_->tick(now, outbox_);
  watch_->tick(list_, now, outbox_);
  fetches_->tick(follower_->setup(), now, outbox_);
  streams_->tick(now, outbox_);
  if (now >= nextList_ && !listTicket_ && !platform_.value.empty()) {
    nextList_ = now + options_.listEvery;
    listTicket_ = outbox_.ticket();
    outbox_.push(CallWeb{*listTicket_, platform_, "GET", "/engines", {}, "", seconds(1)});
  }
  if (now >= nextUsage_ && follower_->installed()) {
    nextUsage_ = now + seconds(0.5);
    tellUsage(now);
  }
}

void FrontNode::tellUsage(MonotonicTime now) {
  UsageNotification note = fetches_->note(membership_->self().member, follower_->setup(), now);
  // Once an empty notification has replaced the last full one, silence means the same to the
  // others; the empty one is repeated in case the first was lost.
  bool empty = note.links.empty() && note.mixes.empty();
  emptyNotes_ = empty ? std::min(emptyNotes_ + 1, kEmptyNotes + 1) : 0;
  if (emptyNotes_ > kEmptyNotes) {
    outbox_.count("usage.silent");
    return;
  }
  outbox_.count("usage.told");
  outbox_.broadcast(membership_->otherFronts(), std::move(note));
}

void FrontNode::takeList(const std::string& text, MonotonicTime now) {
  auto list = parseEngineList(text);
  if (!list.ok()) {
    outbox_.count("lists.unreadable");
    return;
  }
  if (list->version <= list_.version) return;  // a list never goes back
  list_ = std::move(*list);
  fetches_->links(list_);
  outbox_.count("lists.taken");
  outbox_.push(NoteState{"engine list " + std::to_string(list_.version.value) + " in force"});
  (void)now;
}

void FrontNode::webAnswered(const WebAnswered& answer, MonotonicTime now) {
  if (listTicket_ && answer.ticket == *listTicket_) {
    listTicket_.reset();
    if (answer.status == 200) takeList(answer.body, now);
    else outbox_.count("lists.failed");
    return;
  }
  if (watch_->answered(answer, list_, now, outbox_)) fetches_->touch();
}

void FrontNode::arrived(const Arrived& event, MonotonicTime now) {
  const Address& from = event.from;
  const Message& message = event.message;
  if (auto* shuffle = std::get_if<Shuffle>(&message)) {
    for (const auto& digest : shuffle->withdrawn) follower_->withdraw(digest, outbox_);
    membership_->hear(*shuffle, now, outbox_);
    if (shuffle->engineList > list_.version)
      outbox_.send(shuffle->sender.address, EngineListRequest{list_.version});
  } else if (auto* listAsk = std::get_if<EngineListRequest>(&message)) {
    if (list_.version > listAsk->have)
      outbox_.send(from, EngineListUpdate{list_.version, list_.text});
  } else if (auto* list = std::get_if<EngineListUpdate>(&message)) {
    takeList(list->list, now);
  } else if (auto* news = std::get_if<StateRequest>(&message)) {
    outbox_.send(from, follower_->relay(*news, now));
  } else if (auto* answer = std::get_if<StateReply>(&message)) {
    follower_->hear(from, *answer, now, outbox_);
    operatorHandler_->settle(now, outbox_);
    streams_->tick(now, outbox_);
  } else if (auto* change = std::get_if<ChangeReply>(&message)) {
    operatorHandler_->hear(*change, now, outbox_);
  } else if (auto* lease = std::get_if<EngineLeaseReply>(&message)) {
    watch_->hear(*lease, outbox_);
  } else if (auto* picture = std::get_if<EngineSnapshotNotification>(&message)) {
    watch_->hear(*picture, now, outbox_);
    fetches_->touch();
  } else if (auto* put = std::get_if<IndexPut>(&message)) {
    index_->hear(from, *put, outbox_);
  } else if (auto* ask = std::get_if<IndexRequest>(&message)) {
    index_->hear(from, *ask, outbox_);
  } else if (std::holds_alternative<ReadLeaderNotification>(message)) {
    follower_->noteReadOnlyLeader(from, now, outbox_);
  } else if (auto* usage = std::get_if<UsageNotification>(&message)) {
    fetches_->hear(*usage, now);
  } else {
    outbox_.count("messages.unexpected");
  }
}

void FrontNode::operatorAsked(const OperatorRequest& asked, MonotonicTime now) {
  if (asked.path == "/status") {
    outbox_.push(
        AnswerWeb{asked.ticket, 200, {{"Content-Type", "application/json"}}, status(now).dump()});
  } else if (!operatorHandler_->take(asked, now, outbox_)) {
    outbox_.push(AnswerWeb{asked.ticket, 404, {}, R"({"outcome":"no-such-page"})"});
  }
}

void FrontNode::reload(const Options& options) {
  options_ = options;
  membership_->reload(options);
  follower_->reload(options);
  watch_->reload(options);
  fetches_->reload(options);
  gate_->reload(options);
}

bool FrontNode::drained(MonotonicTime now) const {
  return drainSince_ != kForever &&
         (streams_->live() == 0 || now - drainSince_ > options_.drainLimit);
}

Json FrontNode::status(MonotonicTime now) const {
  Json counters = Json::object();
  for (const auto& [name, value] : outbox_.counters()) counters[name] = value;
  Json engines = Json::object();
  for (const auto& [id, view] : watch_->views())
    engines[id.value] = {{"weights", view.picture.weights.value},
                         {"ready", view.picture.ready},
                         {"usage", view.picture.usage},
                         {"seenMillisecondsAgo", inMilliseconds(now - view.seen)},
                         {"mine", watch_->mine(id)},
                         {"held", watch_->holds(id, now)}};
  Json groups = Json::array();
  for (const auto& group : fetches_->plan().groups)
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
          {"fresh", follower_->fresh(now)},
          {"proofFrom", follower_->attestedBy(now)},
          {"proofAgeMilliseconds", inMilliseconds(follower_->proofAge(now))},
          {"sections", toJson(follower_->have())},
          {"weights", follower_->weights().version.value},
          {"engineList", list_.version.value},
          {"members", membership_->live().size()},
          {"streams", streams_->live()},
          {"draining", streams_->draining()},
          {"keptParts", index_->size()},
          {"engines", engines},
          {"fetchGroups", groups},
          {"counters", counters}};
}

}  // namespace peppergate
