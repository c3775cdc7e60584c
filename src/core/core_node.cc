#include "core/core_node.h"

#include <algorithm>

namespace peppergate {
namespace {

std::string newestFile(const DiskContents& disk, std::string_view prefix) {
  std::string newest;
  for (const auto& [name, content] : disk.files)
    if (name.starts_with(prefix) && name > newest) newest = name;
  return newest;
}

/// The JSON document of a sealed file; null if its seal is broken, discarded if it is not JSON.
Json parseSealedFile(const std::string& file) {
  auto content = verifiedContent(file);
  return content ? Json::parse(*content, nullptr, false) : Json();
}

/// Parses a document into a value. Returns false, and leaves the value unchanged, if the document
/// doesn't have the expected fields.
template <class T>
bool parseInto(const Json& document, T& value) {
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
void addMissingFields(Json& record) {
  if (!record.is_object() || !record.contains("accepted") || !record["accepted"].is_object())
    return;
  record["accepted"].emplace("formerVoters", Json::array());
}

struct LoadedAcceptor {
  AcceptorRecord record;
  bool unreadable = false;  // a record exists but cannot be parsed
};

LoadedAcceptor loadAcceptor(const DiskContents& disk, CoreId core) {
  LoadedAcceptor acceptor;
  acceptor.record.identity = core;
  std::string name = newestFile(disk, "voter.");
  if (name.empty()) return acceptor;
  Json document = parseSealedFile(disk.files.at(name));
  addMissingFields(document);
  acceptor.unreadable = !parseInto(document, acceptor.record);
  return acceptor;
}

StoredReplica loadReplica(const DiskContents& disk) {
  // Only the newest file is used: an older one may lack acknowledged changes.
  std::string name = newestFile(disk, "state.");
  if (name.empty()) return {};
  Json document = parseSealedFile(disk.files.at(name));
  if (!document.is_object() || !document.contains("state") || !document["state"].is_string())
    return {};
  auto state = ControlState::parse(document["state"]);
  std::uint64_t tag = 0;
  if (!state.ok() || (document.contains("tag") && !parseInto(document["tag"], tag))) return {};
  return {{tag}, std::move(*state)};
}

Json identityDocument(const DiskContents& disk) {
  auto file = disk.files.find("identity");
  return file == disk.files.end() ? Json() : parseSealedFile(file->second);
}

}  // namespace

CoreId readIdentity(const DiskContents& disk) {
  Json document = identityDocument(disk);
  CoreId core;
  if (document.is_object() && document.contains("core")) parseInto(document["core"], core);
  return core;
}

std::string identityFileContent(CoreId core, const Bootstrap& bootstrap) {
  return withChecksum(Json{{"core", core.value}, {"founding", toJson(bootstrap)}}.dump());
}

Bootstrap readBootstrap(const DiskContents& disk) {
  Bootstrap bootstrap;
  Json document = identityDocument(disk);
  if (document.is_object() && document.contains("founding"))
    parseInto(document["founding"], bootstrap);
  return bootstrap;
}

CoreNode::CoreNode(const Options& options, MemberRecord self, std::vector<Address> seeds,
                   const DiskContents& disk, std::uint64_t seed, MonotonicTime now,
                   const Bootstrap& bootstrap)
    : options_(options), random_(seed), startedAt_(now) {
  self.core = readIdentity(disk);
  membership_ = std::make_unique<Membership>(options, self, std::move(seeds), random_);
  Bootstrap storedBootstrap = readBootstrap(disk);
  storedBootstrap.expectedCores = bootstrap.expectedCores;
  LoadedAcceptor acceptor = loadAcceptor(disk, self.core);
  acceptor_ =
      std::make_unique<Acceptor>(options, acceptor.record, now, storedBootstrap.createsFleet);
  leadership_ =
      std::make_unique<Leadership>(options, *acceptor_, *membership_, random_, loadReplica(disk));
  follower_ = std::make_unique<Follower>(options, *membership_, random_);
  readOnlyLeader_ = std::make_unique<ReadOnlyLeader>(options, *acceptor_, *leadership_,
                                                     *membership_, *follower_, random_, now);
  operatorHandler_ = std::make_unique<OperatorHandler>(options, *membership_, *follower_);
  if (acceptor.unreadable) leadership_->markDiskSuspect(outbox_);
  leadership_->setBootstrap(storedBootstrap);
  membership_->setShuffleExtension(
      [this](Shuffle& shuffle) { shuffle.withdrawn = follower_->recentlyWithdrawn(); });
}

std::unique_ptr<CoreNode> CoreNode::clone() const {
  auto copy = std::make_unique<CoreNode>(options_, membership_->self(), std::vector<Address>{},
                                         DiskContents{}, 0, startedAt_);
  copy->random_ = random_;
  copy->outbox_ = outbox_;
  *copy->membership_ = *membership_;
  *copy->acceptor_ = *acceptor_;
  *copy->leadership_ = *leadership_;
  *copy->follower_ = *follower_;
  *copy->readOnlyLeader_ = *readOnlyLeader_;
  *copy->operatorHandler_ = *operatorHandler_;
  copy->requesters_ = requesters_;
  copy->engineLeaseGrants_ = engineLeaseGrants_;
  copy->notifiedSections_ = notifiedSections_;
  copy->notifiedEpoch_ = notifiedEpoch_;
  copy->lastTimeNotedAt_ = lastTimeNotedAt_;
  copy->routerSections_ = routerSections_;
  copy->draining_ = draining_;
  return copy;
}

void CoreNode::step(const Event& event, MonotonicTime now) {
  if (std::holds_alternative<Tick>(event)) {
    tick(now);
  } else if (auto* message = std::get_if<MessageReceived>(&event)) {
    handleMessage(*message, now);
  } else if (auto* written = std::get_if<FileWritten>(&event)) {
    if (!acceptor_->completeWrite(*written, now, outbox_))
      leadership_->completeWrite(*written, now, outbox_);
    if (!acceptor_->canVote()) leadership_->markDiskSuspect(outbox_);
  } else if (auto* request = std::get_if<OperatorRequest>(&event)) {
    installOwnState(now);  // a primary's own published state is current without a request
    if (request->path == "/status")
      outbox_.push(AnswerHttp{
          request->ticket, 200, {{"Content-Type", "application/json"}}, status(now).dump()});
    else if (!operatorHandler_->handle(*request, now, outbox_))
      outbox_.push(AnswerHttp{request->ticket, 404, {}, R"({"outcome":"no-such-page"})"});
  } else if (std::holds_alternative<DrainRequest>(event)) {
    draining_ = true;
    leadership_->beginLeaving(now);
    membership_->announceLeaving(outbox_);
  } else if (duties_) {
    duties_->handle(event, now, outbox_);
  }
}

void CoreNode::enableEngineDuties() {
  duties_ = std::make_unique<EngineManager>(
      options_, *membership_, random_, "core-" + std::to_string(membership_->self().core.value));
}

void CoreNode::noteTime(MonotonicTime now) {
  acceptor_->extendLeaseAfterClockJump(now);
  // After a stall or a clock leap it is unknown how much time really passed, so grants that may
  // still be in use are extended by a full lease.
  bool clockLeapt = lastTimeNotedAt_ != kNever && now - lastTimeNotedAt_ > seconds(0.4);
  if (clockLeapt && options_.isGuardEnabled(SafetyGuard::kClockLeap))
    for (auto& [engine, grant] : engineLeaseGrants_)
      if (lastTimeNotedAt_ < grant.until + options_.engineLeaseGap)
        grant.until = std::max(grant.until, now + options_.engineLease);
  lastTimeNotedAt_ = now;
}

void CoreNode::installOwnState(MonotonicTime now) {
  if (leadership_->mayShowState(now)) {
    follower_->installOwnState(leadership_->published(), leadership_->view(), now, outbox_);
    // This machine itself may have installed an unacknowledged change of an earlier view.
    const SectionVersions mine = leadership_->published().sections();
    const SectionVersions& have = follower_->installedVersions();
    if (have.setup > mine.setup || have.keys > mine.keys || have.weights > mine.weights)
      leadership_->noteNewerVersions(have);
  } else if (readOnlyLeader_->hasReadLease(now)) follower_->proveAsReadOnlyLeader(now);
}

void CoreNode::tick(MonotonicTime now) {
  noteTime(now);
  membership_->tick(now, outbox_);
  leadership_->noteSettledView(follower_->settledView(), now, outbox_);
  leadership_->noteReportedView(follower_->view(), now, outbox_);
  leadership_->noteProvenVersions(follower_->provenVersions());
  readOnlyLeader_->tick(now, outbox_);
  leadership_->allowCampaign(!readOnlyLeader_->wantsReadLease());
  leadership_->tick(now, outbox_);
  follower_->noteView(leadership_->view());
  installOwnState(now);
  if (!leadership_->mayShowState(now)) follower_->tick(now, outbox_);
  operatorHandler_->tick(now, outbox_);
  if (duties_)
    duties_->tick({leadership_->mayShowState(now), readOnlyLeader_->hasReadLease(now),
                   leadership_->view().epoch, leadership_->leaseUntil(), &follower_->weights()},
                  now, outbox_);
  replyToStateRequests(now);
}

void CoreNode::handleMessage(const MessageReceived& event, MonotonicTime now) {
  const Address& from = event.from;
  const Message& message = event.message;
  noteTime(now);
  if (auto* shuffle = std::get_if<Shuffle>(&message)) handle(*shuffle, now);
  else if (auto* prepare = std::get_if<PrepareRequest>(&message)) {
    bool release = prepare->kind == PrepareKind::kRelease;
    bool fromOther = prepare->candidate != acceptor_->record().identity;
    if (fromOther && !release) readOnlyLeader_->handleCandidate(now, outbox_);
    acceptor_->handle(from, *prepare, now, outbox_);
    if (fromOther && release && prepare->epoch.value == 0) readOnlyLeader_->pauseForElection(now);
    else if (fromOther && release) leadership_->handleRelease(prepare->candidate, now);
  } else if (auto* prepareReply = std::get_if<PrepareReply>(&message)) {
    readOnlyLeader_->noteReachableVoter(prepareReply->voter, now);
    leadership_->handle(*prepareReply, now, outbox_);
  } else if (auto* accept = std::get_if<AcceptRequest>(&message))
    acceptor_->handle(from, *accept, now, outbox_);
  else if (auto* acceptReply = std::get_if<AcceptReply>(&message))
    leadership_->handle(*acceptReply, now, outbox_);
  else if (auto* replicate = std::get_if<ReplicateRequest>(&message))
    leadership_->handle(from, *replicate, now, outbox_);
  else if (auto* replicateReply = std::get_if<ReplicateReply>(&message))
    leadership_->handle(*replicateReply, now, outbox_);
  else if (auto* stateRequest = std::get_if<StateRequest>(&message))
    handle(from, *stateRequest, now);
  else if (auto* stateReply = std::get_if<StateReply>(&message))
    follower_->handle(from, *stateReply, now, outbox_);
  else if (auto* change = std::get_if<ChangeRequest>(&message))
    leadership_->submitChange(from, *change, now, outbox_);
  else if (auto* changeReply = std::get_if<ChangeReply>(&message))
    operatorHandler_->handleReply(*changeReply, now, outbox_);
  else if (auto* engineLease = std::get_if<EngineLeaseRequest>(&message))
    grantEngineLeases(from, *engineLease, now);
  else if (auto* witnessUpdate = std::get_if<WitnessUpdateRequest>(&message))
    handle(from, *witnessUpdate, now);
  else if (auto* witnessReply = std::get_if<WitnessUpdateReply>(&message))
    leadership_->handle(*witnessReply, now, outbox_);
  else if (auto* readLease = std::get_if<ReadLeaseRequest>(&message))
    readOnlyLeader_->handleRequest(from, *readLease, now, outbox_);
  else if (auto* readLeaseReply = std::get_if<ReadLeaseReply>(&message))
    readOnlyLeader_->handleReply(*readLeaseReply, now, outbox_);
  else if (std::holds_alternative<ReadLeaderNotification>(message))
    follower_->noteReadOnlyLeader(from, now, outbox_);
  else if (!duties_ || !duties_->handleMessage(from, message, now, outbox_))
    outbox_.count("messages.unexpected");
  installOwnState(now);
  operatorHandler_->answerReaders(now, outbox_);
  if (leadership_->mayShowState(now)) replyToStateRequests(now);
}

void CoreNode::handle(const Address& from, const WitnessUpdateRequest& request, MonotonicTime now) {
  if (leadership_->isDiskSuspect()) return;
  StateReply update;
  update.now = request.now;
  update.setup = request.setup;
  update.keys = request.keys;
  update.weights = request.weights;
  follower_->installDurable(update, now, outbox_);
  outbox_.send(from, WitnessUpdateReply{request.epoch, acceptor_->record().identity,
                                        request.version, follower_->installedVersions()});
}

void CoreNode::handle(const Shuffle& shuffle, MonotonicTime now) {
  for (const auto& digest : shuffle.withdrawn) follower_->withdrawKey(digest, outbox_);
  membership_->handle(shuffle, now, outbox_);
}

void CoreNode::handle(const Address& from, const StateRequest& request, MonotonicTime now) {
  if (!leadership_->mayShowState(now)) {
    StateReply answer = follower_->relayReply(request, now);
    if (!answer.proof && leadership_->view().epoch > answer.view.epoch)
      answer.view = leadership_->view();
    outbox_.send(from, std::move(answer));
    return;
  }
  SectionVersions mine = leadership_->published().sections();
  if (request.have.setup > mine.setup || request.have.keys > mine.keys ||
      request.have.weights > mine.weights)
    leadership_->noteNewerVersions(request.have);
  bool first = !routerSections_.contains(request.requester);  // its current proof may be too old
  requesters_[request.requester] = {from, request, now, first};
  routerSections_[request.requester] = request.have;
}

void CoreNode::replyToStateRequests(MonotonicTime now) {
  if (!leadership_->mayShowState(now)) {
    requesters_.clear();
    routerSections_.clear();
    notifiedEpoch_ = {};
    return;
  }
  notifyRouters();
  leadership_->acknowledge(
      [this](const SectionVersions& sections) { return isInstalledOnAllRouters(sections); }, now,
      outbox_);
  const SectionVersions sections = leadership_->published().sections();
  int largeReplies = 0;
  for (auto entry = requesters_.begin(); entry != requesters_.end();) {
    const StateRequester& requester = entry->second;
    const SectionVersions& have = requester.request.have;
    bool hasNewerSections =
        sections.setup > have.setup || sections.keys > have.keys || sections.weights > have.weights;
    bool due = requester.isFirstRequest || requester.request.relayed ||
               now - requester.receivedAt >= options_.stateRequestWait;
    if ((!hasNewerSections && !due) || (hasNewerSections && largeReplies >= 8)) {
      ++entry;
      continue;
    }
    StateReply answer;
    answer.sentAt = requester.request.sentAt;
    answer.proof = true;
    answer.view = leadership_->view();
    answer.now = answer.publishedByLeader = sections;
    if (sections.setup > have.setup) answer.setup = leadership_->published().setupText();
    if (sections.keys > have.keys) answer.keys = leadership_->published().keysText();
    if (sections.weights > have.weights) answer.weights = leadership_->published().weightsText();
    if (hasNewerSections) ++largeReplies;
    outbox_.count("news.answered");
    outbox_.send(requester.from, std::move(answer));
    entry = requesters_.erase(entry);
  }
}

bool CoreNode::isInstalledOnAllRouters(const SectionVersions& sections) const {
  // A router that was silent until membership dropped it has no valid proof any more, so it doesn't
  // act on an older state and need not be counted.
  for (const auto& front : membership_->liveRouters()) {
    auto have = routerSections_.find(front.member);
    if (have == routerSections_.end() || have->second.setup < sections.setup ||
        have->second.keys < sections.keys || have->second.weights < sections.weights)
      return false;
  }
  return true;
}

void CoreNode::notifyRouters() {
  // Routers without a pending request are notified as well: this machine may fail right after it
  // sends the acknowledgement.
  const ControlState& state = leadership_->published();
  bool newView = leadership_->view().epoch != notifiedEpoch_;
  if (state.sections() == notifiedSections_ && !newView) return;
  StateReply update;
  update.sentAt = kUnsolicited;
  update.view = leadership_->view();
  update.now = state.sections();
  // A new primary announces itself; members that lack a section then request it.
  if (notifiedEpoch_.value == 0) notifiedSections_ = update.now;
  notifiedEpoch_ = update.view.epoch;
  if (update.now.setup > notifiedSections_.setup) update.setup = state.setupText();
  if (update.now.keys > notifiedSections_.keys) update.keys = state.keysText();
  if (update.now.weights > notifiedSections_.weights) update.weights = state.weightsText();
  notifiedSections_ = update.now;
  auto hasNoPendingRequest = [this](MemberId front) { return !requesters_.contains(front); };
  outbox_.broadcast(membership_->otherRouterAddresses(hasNoPendingRequest), std::move(update));
}

void CoreNode::grantEngineLeases(const Address& from, const EngineLeaseRequest& request,
                                 MonotonicTime now) {
  EngineLeaseReply answer{acceptor_->record().identity, request.sentAt, {}};
  // Grants are not persisted, so after a restart it waits for a lease and the gap before granting.
  bool afterRestart = now - startedAt_ < options_.engineLease + options_.engineLeaseGap;
  if (afterRestart || leadership_->isDiskSuspect()) return;
  for (const auto& engine : request.engines) {
    EngineLeaseGrant& grant = engineLeaseGrants_[engine];
    bool otherHolder = grant.holder != request.holder && grant.holder.value != 0;
    if (otherHolder && now < grant.until + options_.engineLeaseGap &&
        options_.isGuardEnabled(SafetyGuard::kEngineLease))
      continue;
    grant = {request.holder, now + options_.engineLease};
    answer.granted.push_back(engine);
  }
  outbox_.count("engineHolds.granted", answer.granted.size());
  outbox_.send(from, std::move(answer));
}

}  // namespace peppergate
