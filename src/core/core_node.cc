#include "core/core_node.h"

#include <algorithm>

namespace peppergate {
namespace {

std::string newestFile(const DiskFound& found, std::string_view prefix) {
  std::string newest;
  for (const auto& [name, content] : found.files)
    if (name.starts_with(prefix) && name > newest) newest = name;
  return newest;
}

/// The JSON document of a sealed file; null if its seal is broken, discarded if it is not JSON.
Json documentIn(const std::string& file) {
  auto content = opened(file);
  return content ? Json::parse(*content, nullptr, false) : Json();
}

/// Parses a document into a value. Returns false, and leaves the value unchanged, if the document
/// doesn't have the expected fields.
template <class T>
bool readInto(const Json& document, T& value) {
  try {
    T read = value;
    fromJson(document, read);
    value = std::move(read);
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

/// Adds fields that files of earlier releases lack. In those releases a view was succeeded by its
/// own voters alone, so there are no former voters.
void addLaterFields(Json& record) {
  if (!record.is_object() || !record.contains("accepted") || !record["accepted"].is_object())
    return;
  record["accepted"].emplace("formerVoters", Json::array());
}

struct FoundAcceptor {
  AcceptorRecord record;
  bool torn = false;  // a record exists but cannot be parsed
};

FoundAcceptor loadAcceptor(const DiskFound& found, CoreId core) {
  FoundAcceptor acceptor;
  acceptor.record.identity = core;
  std::string name = newestFile(found, "voter.");
  if (name.empty()) return acceptor;
  Json document = documentIn(found.files.at(name));
  addLaterFields(document);
  acceptor.torn = !readInto(document, acceptor.record);
  return acceptor;
}

ReplicaOnDisk loadReplica(const DiskFound& found) {
  // Only the newest file is used: an older one may lack acknowledged changes.
  std::string name = newestFile(found, "state.");
  if (name.empty()) return {};
  Json document = documentIn(found.files.at(name));
  if (!document.is_object() || !document.contains("state") || !document["state"].is_string())
    return {};
  auto state = ControlState::parse(document["state"]);
  std::uint64_t tag = 0;
  if (!state.ok() || (document.contains("tag") && !readInto(document["tag"], tag))) return {};
  return {{tag}, std::move(*state)};
}

Json identityDocument(const DiskFound& found) {
  auto file = found.files.find("identity");
  return file == found.files.end() ? Json() : documentIn(file->second);
}

}  // namespace

CoreId identityOn(const DiskFound& found) {
  Json document = identityDocument(found);
  CoreId core;
  if (document.is_object() && document.contains("core")) readInto(document["core"], core);
  return core;
}

std::string identityFile(CoreId core, const Bootstrap& bootstrap) {
  return sealed(Json{{"core", core.value}, {"founding", toJson(bootstrap)}}.dump());
}

Bootstrap bootstrapOn(const DiskFound& found) {
  Bootstrap bootstrap;
  Json document = identityDocument(found);
  if (document.is_object() && document.contains("founding"))
    readInto(document["founding"], bootstrap);
  return bootstrap;
}

CoreNode::CoreNode(const Options& options, MemberRecord self, std::vector<Address> seeds,
                   const DiskFound& found, std::uint64_t seed, MonotonicTime now,
                   const Bootstrap& bootstrap)
    : options_(options), random_(seed), started_(now) {
  self.core = identityOn(found);
  membership_ = std::make_unique<Membership>(options, self, std::move(seeds), random_);
  Bootstrap born = bootstrapOn(found);
  born.cores = bootstrap.cores;
  FoundAcceptor acceptor = loadAcceptor(found, self.core);
  acceptor_ = std::make_unique<Acceptor>(options, acceptor.record, now, born.first);
  leadership_ =
      std::make_unique<Leadership>(options, *acceptor_, *membership_, random_, loadReplica(found));
  follower_ = std::make_unique<Follower>(options, *membership_, random_);
  readOnlyLeader_ = std::make_unique<ReadOnlyLeader>(options, *acceptor_, *leadership_,
                                                     *membership_, *follower_, random_, now);
  operatorHandler_ = std::make_unique<OperatorHandler>(options, *membership_, *follower_);
  if (acceptor.torn) leadership_->suspect(outbox_);
  leadership_->found(born);
  membership_->carry(
      [this](Shuffle& shuffle) { shuffle.withdrawn = follower_->recentWithdrawn(); });
}

std::unique_ptr<CoreNode> CoreNode::clone() const {
  auto copy = std::make_unique<CoreNode>(options_, membership_->self(), std::vector<Address>{},
                                         DiskFound{}, 0, started_);
  copy->random_ = random_;
  copy->outbox_ = outbox_;
  *copy->membership_ = *membership_;
  *copy->acceptor_ = *acceptor_;
  *copy->leadership_ = *leadership_;
  *copy->follower_ = *follower_;
  *copy->readOnlyLeader_ = *readOnlyLeader_;
  *copy->operatorHandler_ = *operatorHandler_;
  copy->requesters_ = requesters_;
  copy->engineGrants_ = engineGrants_;
  copy->told_ = told_;
  copy->toldView_ = toldView_;
  copy->lastNotice_ = lastNotice_;
  copy->frontsHave_ = frontsHave_;
  copy->draining_ = draining_;
  return copy;
}

void CoreNode::step(const Event& event, MonotonicTime now) {
  if (std::holds_alternative<Ticked>(event)) {
    tick(now);
  } else if (auto* message = std::get_if<Arrived>(&event)) {
    arrived(*message, now);
  } else if (auto* written = std::get_if<FileWritten>(&event)) {
    if (!acceptor_->written(*written, now, outbox_)) leadership_->written(*written, now, outbox_);
    if (!acceptor_->votes()) leadership_->suspect(outbox_);
  } else if (auto* asked = std::get_if<OperatorRequest>(&event)) {
    putInForce(now);  // a primary's own published state is current without a request
    if (asked->path == "/status")
      outbox_.push(AnswerWeb{
          asked->ticket, 200, {{"Content-Type", "application/json"}}, status(now).dump()});
    else if (!operatorHandler_->take(*asked, now, outbox_))
      outbox_.push(AnswerWeb{asked->ticket, 404, {}, R"({"outcome":"no-such-page"})"});
  } else if (std::holds_alternative<DrainRequest>(event)) {
    draining_ = true;
    leadership_->leave(now);
    membership_->leave(outbox_);
  } else if (duties_) {
    duties_->take(event, now, outbox_);
  }
}

void CoreNode::takeEngineDuties() {
  duties_ = std::make_unique<EngineDuties>(
      options_, *membership_, random_, "core-" + std::to_string(membership_->self().core.value));
}

void CoreNode::noticeTime(MonotonicTime now) {
  acceptor_->notice(now);
  // After a stall or a clock leap it is unknown how much time really passed, so grants that may
  // still be in use are extended by a full lease.
  bool leapt = lastNotice_ != kNever && now - lastNotice_ > seconds(0.4);
  if (leapt && options_.guards(Guard::kClockLeap))
    for (auto& [engine, grant] : engineGrants_)
      if (lastNotice_ < grant.until + options_.engineLeaseGap)
        grant.until = std::max(grant.until, now + options_.engineLease);
  lastNotice_ = now;
}

void CoreNode::putInForce(MonotonicTime now) {
  if (leadership_->names(now)) {
    follower_->lead(leadership_->published(), leadership_->view(), now, outbox_);
    // This machine itself may have installed an unacknowledged change of an earlier view.
    const SectionVersions mine = leadership_->published().sections();
    const SectionVersions& have = follower_->have();
    if (have.setup > mine.setup || have.keys > mine.keys || have.weights > mine.weights)
      leadership_->sawNewer(have);
  } else if (readOnlyLeader_->attests(now)) follower_->attest(now);
}

void CoreNode::tick(MonotonicTime now) {
  noticeTime(now);
  membership_->tick(now, outbox_);
  leadership_->noteChosen(follower_->chosenView(), now, outbox_);
  leadership_->noteHeardOf(follower_->view(), now, outbox_);
  leadership_->noteShown(follower_->shown());
  readOnlyLeader_->tick(now, outbox_);
  leadership_->mayCampaign(!readOnlyLeader_->wants());
  leadership_->tick(now, outbox_);
  follower_->noteView(leadership_->view());
  putInForce(now);
  if (!leadership_->names(now)) follower_->tick(now, outbox_);
  operatorHandler_->tick(now, outbox_);
  if (duties_)
    duties_->tick({leadership_->names(now), readOnlyLeader_->attests(now),
                   leadership_->view().epoch, leadership_->leaseUntil(), &follower_->weights()},
                  now, outbox_);
  replyToStateRequests(now);
}

void CoreNode::arrived(const Arrived& event, MonotonicTime now) {
  const Address& from = event.from;
  const Message& message = event.message;
  noticeTime(now);
  if (auto* shuffle = std::get_if<Shuffle>(&message)) heard(*shuffle, now);
  else if (auto* promise = std::get_if<PrepareRequest>(&message)) {
    bool release = promise->kind == PrepareKind::kRelease;
    bool other = promise->candidate != acceptor_->record().identity;
    if (other && !release) readOnlyLeader_->candidateHeard(now, outbox_);
    acceptor_->ask(from, *promise, now, outbox_);
    if (other && release && promise->epoch.value == 0) readOnlyLeader_->allowElection(now);
    else if (other && release) leadership_->released(promise->candidate, now);
  } else if (auto* promised = std::get_if<PrepareReply>(&message)) {
    readOnlyLeader_->heardVoter(promised->voter, now);
    leadership_->hear(*promised, now, outbox_);
  } else if (auto* accept = std::get_if<AcceptRequest>(&message))
    acceptor_->ask(from, *accept, now, outbox_);
  else if (auto* accepted = std::get_if<AcceptReply>(&message))
    leadership_->hear(*accepted, now, outbox_);
  else if (auto* copy = std::get_if<ReplicateRequest>(&message))
    leadership_->hear(from, *copy, now, outbox_);
  else if (auto* copied = std::get_if<ReplicateReply>(&message))
    leadership_->hear(*copied, now, outbox_);
  else if (auto* news = std::get_if<StateRequest>(&message)) heard(from, *news, now);
  else if (auto* answer = std::get_if<StateReply>(&message))
    follower_->hear(from, *answer, now, outbox_);
  else if (auto* change = std::get_if<ChangeRequest>(&message))
    leadership_->take(from, *change, now, outbox_);
  else if (auto* changed = std::get_if<ChangeReply>(&message))
    operatorHandler_->hear(*changed, now, outbox_);
  else if (auto* lease = std::get_if<EngineLeaseRequest>(&message)) grantEngines(from, *lease, now);
  else if (auto* holder = std::get_if<WitnessUpdateRequest>(&message)) heard(from, *holder, now);
  else if (auto* witnessed = std::get_if<WitnessUpdateReply>(&message))
    leadership_->hear(*witnessed, now, outbox_);
  else if (auto* care = std::get_if<ReadLeaseRequest>(&message))
    readOnlyLeader_->ask(from, *care, now, outbox_);
  else if (auto* cared = std::get_if<ReadLeaseReply>(&message))
    readOnlyLeader_->hear(*cared, now, outbox_);
  else if (std::holds_alternative<ReadLeaderNotification>(message))
    follower_->noteReadOnlyLeader(from, now, outbox_);
  else if (!duties_ || !duties_->hear(from, message, now, outbox_))
    outbox_.count("messages.unexpected");
  putInForce(now);
  operatorHandler_->settle(now, outbox_);
  if (leadership_->names(now)) replyToStateRequests(now);
}

void CoreNode::heard(const Address& from, const WitnessUpdateRequest& ask, MonotonicTime now) {
  if (leadership_->isSuspect()) return;
  StateReply news;
  news.now = ask.now;
  news.setup = ask.setup;
  news.keys = ask.keys;
  news.weights = ask.weights;
  follower_->adopt(news, now, outbox_);
  outbox_.send(from, WitnessUpdateReply{ask.epoch, acceptor_->record().identity, ask.version,
                                        follower_->have()});
}

void CoreNode::heard(const Shuffle& shuffle, MonotonicTime now) {
  for (const auto& digest : shuffle.withdrawn) follower_->withdraw(digest, outbox_);
  membership_->hear(shuffle, now, outbox_);
}

void CoreNode::heard(const Address& from, const StateRequest& ask, MonotonicTime now) {
  if (!leadership_->names(now)) {
    StateReply answer = follower_->relay(ask, now);
    if (!answer.proof && leadership_->view().epoch > answer.view.epoch)
      answer.view = leadership_->view();
    outbox_.send(from, std::move(answer));
    return;
  }
  SectionVersions mine = leadership_->published().sections();
  if (ask.have.setup > mine.setup || ask.have.keys > mine.keys || ask.have.weights > mine.weights)
    leadership_->sawNewer(ask.have);
  bool first = !frontsHave_.contains(ask.asker);  // its current proof may be too old
  requesters_[ask.asker] = {from, ask, now, first};
  frontsHave_[ask.asker] = ask.have;
}

void CoreNode::replyToStateRequests(MonotonicTime now) {
  if (!leadership_->names(now)) {
    requesters_.clear();
    frontsHave_.clear();
    toldView_ = {};
    return;
  }
  notifyOthers();
  leadership_->acknowledge(
      [this](const SectionVersions& sections) { return inForceEverywhere(sections); }, now,
      outbox_);
  const SectionVersions sections = leadership_->published().sections();
  int large = 0;
  for (auto entry = requesters_.begin(); entry != requesters_.end();) {
    const StateRequester& asker = entry->second;
    const SectionVersions& have = asker.ask.have;
    bool news =
        sections.setup > have.setup || sections.keys > have.keys || sections.weights > have.weights;
    bool due = asker.first || asker.ask.relayed || now - asker.since >= options_.stateRequestWait;
    if ((!news && !due) || (news && large >= 8)) {
      ++entry;
      continue;
    }
    StateReply answer;
    answer.sentAt = asker.ask.sentAt;
    answer.proof = true;
    answer.view = leadership_->view();
    answer.now = answer.named = sections;
    if (sections.setup > have.setup) answer.setup = leadership_->published().setupText();
    if (sections.keys > have.keys) answer.keys = leadership_->published().keysText();
    if (sections.weights > have.weights) answer.weights = leadership_->published().weightsText();
    if (news) ++large;
    outbox_.count("news.answered");
    outbox_.send(asker.from, std::move(answer));
    entry = requesters_.erase(entry);
  }
}

bool CoreNode::inForceEverywhere(const SectionVersions& sections) const {
  // A router that was silent until membership dropped it has no valid proof any more, so it doesn't
  // act on an older state and need not be counted.
  for (const auto& front : membership_->liveFronts()) {
    auto have = frontsHave_.find(front.member);
    if (have == frontsHave_.end() || have->second.setup < sections.setup ||
        have->second.keys < sections.keys || have->second.weights < sections.weights)
      return false;
  }
  return true;
}

void CoreNode::notifyOthers() {
  // Routers without a pending request are notified as well: this machine may fail right after it
  // sends the acknowledgement.
  const ControlState& state = leadership_->published();
  bool newView = leadership_->view().epoch != toldView_;
  if (state.sections() == told_ && !newView) return;
  StateReply news;
  news.sentAt = kUnsolicited;
  news.view = leadership_->view();
  news.now = state.sections();
  // A new primary announces itself; members that lack a section then request it.
  if (toldView_.value == 0) told_ = news.now;
  toldView_ = news.view.epoch;
  if (news.now.setup > told_.setup) news.setup = state.setupText();
  if (news.now.keys > told_.keys) news.keys = state.keysText();
  if (news.now.weights > told_.weights) news.weights = state.weightsText();
  told_ = news.now;
  auto quiet = [this](MemberId front) { return !requesters_.contains(front); };
  outbox_.broadcast(membership_->otherFronts(quiet), std::move(news));
}

void CoreNode::grantEngines(const Address& from, const EngineLeaseRequest& ask, MonotonicTime now) {
  EngineLeaseReply answer{acceptor_->record().identity, ask.sentAt, {}};
  // Grants are not persisted, so after a restart it waits for a lease and the gap before granting.
  bool quiet = now - started_ < options_.engineLease + options_.engineLeaseGap;
  if (quiet || leadership_->isSuspect()) return;
  for (const auto& engine : ask.engines) {
    EngineGrant& grant = engineGrants_[engine];
    bool other = grant.holder != ask.holder && grant.holder.value != 0;
    if (other && now < grant.until + options_.engineLeaseGap &&
        options_.guards(Guard::kEngineLease))
      continue;
    grant = {ask.holder, now + options_.engineLease};
    answer.granted.push_back(engine);
  }
  outbox_.count("engineHolds.granted", answer.granted.size());
  outbox_.send(from, std::move(answer));
}

}  // namespace peppergate
