// The members, clock and network of the measurement fleet.
#include "sim/measurement_fleet.h"

#include <time.h>

#include <algorithm>

#include "core/example_setup.h"
#include "wire/frame.h"

namespace peppergate {
namespace {

constexpr Duration kTick = milliseconds(50);
constexpr std::size_t kSenderAddressBytes = 32;  // bytes of the sender's address before each frame
constexpr std::string_view kDeadLogPrefix = "member dead: ";
constexpr std::string_view kJoinedLogPrefix = "member joined: ";

const Follower& followerOf(const MeasuredMember& member) {
  if (member.role == Role::kCore) return static_cast<CoreNode&>(*member.node).follower();
  return static_cast<FrontNode&>(*member.node).follower();
}

}  // namespace

double threadMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

void MemberCost::add(const MemberCost& other) {
  for (std::size_t kind = 0; kind < kMessageKinds; ++kind) {
    messagesOut[kind] += other.messagesOut[kind];
    bytesOut[kind] += other.bytesOut[kind];
    encodeMicros[kind] += other.encodeMicros[kind];
    handleMicros[kind] += other.handleMicros[kind];
  }
  for (std::size_t what = 0; what < kMemberWorkKinds; ++what)
    workMicros[what] += other.workMicros[what];
  messagesIn += other.messagesIn;
  bytesIn += other.bytesIn;
  httpCalls += other.httpCalls;
  httpBytes += other.httpBytes;
}

double MemberCost::totalMicros() const {
  double sum = 0;
  for (double one : encodeMicros) sum += one;
  for (double one : handleMicros) sum += one;
  for (double one : workMicros) sum += one;
  return sum;
}

MeasurementFleet::MeasurementFleet(const MeasurementFleetOptions& fleetOptions)
    : fleetOptions_(fleetOptions), random_(fleetOptions.seed) {
  double before = threadMicros();
  constexpr int kReads = 20000;
  for (int read = 0; read < kReads; ++read) (void)threadMicros();
  clockCost_ = (threadMicros() - before) / kReads;
  // The default size limit would refuse such a configuration. It is raised here so that the cost
  // can be measured.
  options_.backups = fleetOptions_.backups;
  options_.voterSlots = fleetOptions_.voterSlots;
  if (fleetOptions_.tenants > 2000) options_.largestSetup = 64 << 20;
  engineListJson_ = makeEngineList();
  for (int index = 0; index < fleetOptions_.cores + fleetOptions_.routers; ++index) {
    auto member = std::make_unique<MeasuredMember>();
    member->role = index < fleetOptions_.cores ? Role::kCore : Role::kRouter;
    member->zone = index % fleetOptions_.zones;
    member->address = {"10." + std::to_string(member->zone) + "." + std::to_string(index / 250) +
                       "." + std::to_string(index % 250 + 1) + ":7100"};
    byAddress_[member->address] = static_cast<std::size_t>(index);
    members_.push_back(std::move(member));
  }
  for (std::size_t index = 0; index < members_.size(); ++index) start(index);
}

void MeasurementFleet::start(std::size_t index) {
  MeasuredMember& member = *members_[index];
  if (member.node) return;
  ++member.incarnation;
  member.installedVersions = {};
  member.knownMembers.assign(members_.size(), false);
  MemberRecord self;
  self.member = {random_.next() >> 1};
  self.address = self.pagesAddress = member.address;
  self.role = member.role;
  self.zone = {"zone" + std::to_string(member.zone + 1)};
  std::vector<Address> seeds{members_[0]->address, members_[1 % members_.size()]->address,
                             members_.back()->address};
  if (member.role == Role::kCore) {
    Bootstrap bootstrap;
    if (index == 0 && member.disk.empty())
      bootstrap.expectedCores = static_cast<std::size_t>(fleetOptions_.cores);
    if (member.disk.empty())
      member.disk["identity"] = identityFileContent({random_.next() >> 1}, bootstrap);
    member.node = std::make_unique<CoreNode>(options_, self, seeds, DiskContents{member.disk},
                                             random_.next(), now_, bootstrap);
  } else {
    Address platform{fleetOptions_.engines > 0 ? "10.200.0.1:80" : ""};
    member.node = std::make_unique<FrontNode>(options_, self, seeds, platform, random_.next());
  }
  // Spreads the members' ticks over one tick period.
  schedule(Duration{static_cast<std::int64_t>(random_.below(kTick.microseconds))}, index, Tick{});
}

void MeasurementFleet::stop(std::size_t index) {
  members_[index]->node.reset();
  members_[index]->downSince = now_;
}

double MeasurementFleet::elapsedMicros(double since) const {
  return std::max(0.0, threadMicros() - since - clockCost_);
}

void MeasurementFleet::schedule(Duration delay, std::size_t to, Event event) {
  queue_.push({now_ + delay,
               ++scheduledItems_,
               to,
               members_[to]->incarnation,
               to,
               {},
               std::make_shared<Event>(std::move(event))});
}

void MeasurementFleet::run(Duration span) {
  MonotonicTime end = now_ + span;
  while (!queue_.empty() && queue_.top().at <= end) {
    ScheduledItem item = queue_.top();
    queue_.pop();
    now_ = item.at;
    if (members_[item.to]->node && members_[item.to]->incarnation == item.incarnation)
      handleItem(item);
  }
  now_ = end;
}

void MeasurementFleet::handleItem(const ScheduledItem& item) {
  MeasuredMember& member = *members_[item.to];
  if (item.frame.empty()) {
    bool isTick = std::holds_alternative<Tick>(*item.event);
    bool isHttpReply = std::holds_alternative<HttpCallAnswered>(*item.event);
    auto work = isTick        ? MemberWorkKind::kTick
                : isHttpReply ? MemberWorkKind::kHttp
                              : MemberWorkKind::kOther;
    if (isTick) schedule(kTick, item.to, Tick{});
    deliver(item.to, *item.event, member.cost.workMicros[static_cast<std::size_t>(work)]);
    return;
  }
  if (!canReach(*members_[item.from], member)) return;
  double before = threadMicros();
  std::span<const char> bytes(item.frame);
  FrameHead head = readFrameHead(1, bytes);
  auto body = bytes.subspan(kFrameHeadBytes);
  bool isIntact = bodyMatchesHead(head, body);
  auto message = decodeBody(head.kind, body);
  double& cost = member.cost.handleMicros[head.kind];
  cost += elapsedMicros(before);
  ++member.cost.messagesIn;
  member.cost.bytesIn += item.frame.size() + kSenderAddressBytes;
  if (isIntact && message.ok())
    deliver(item.to, MessageReceived{members_[item.from]->address, std::move(*message)}, cost);
}

/// Dispatches each command of a member to the fleet.
struct MeasurementCommandRunner {
  MeasurementFleet& fleet;
  std::size_t index;
  void operator()(const Send& command) const { fleet.send(index, command); }
  void operator()(const Broadcast& command) const { fleet.broadcast(index, command); }
  void operator()(const WriteFile& command) const { fleet.write(index, command); }
  void operator()(const RemoveOlderFiles& command) const { fleet.removeOlderFiles(index, command); }
  void operator()(const CallHttp& command) const { fleet.callHttp(index, command); }
  void operator()(const AnswerHttp& command) const { fleet.handleReply(command); }
  void operator()(const LogState& command) const { fleet.handleLogLine(index, command.text); }
  /// Ignores request commands: this fleet has no client requests.
  template <class Other>
  void operator()(const Other&) const {}
};

void MeasurementFleet::deliver(std::size_t index, const Event& event, double& cost) {
  MeasuredMember& member = *members_[index];
  double before = threadMicros();
  member.node->step(event, now_);
  auto commands = member.node->outbox().takeCommands();
  cost += elapsedMicros(before);
  const SectionVersions& versions = followerOf(member).installedVersions();
  if (versions != member.installedVersions) {
    member.installedVersions = versions;
    member.installedAt = now_;
  }
  for (const auto& command : commands) std::visit(MeasurementCommandRunner{*this, index}, command);
}

bool MeasurementFleet::canReach(const MeasuredMember& one, const MeasuredMember& other) const {
  return (std::ranges::find(partitionedZones_, one.zone) == partitionedZones_.end()) ==
         (std::ranges::find(partitionedZones_, other.zone) == partitionedZones_.end());
}

Duration MeasurementFleet::delay(const MeasuredMember& one, const MeasuredMember& other) {
  Duration base = one.zone == other.zone ? fleetOptions_.sameZoneDelay
                  : one.zone % fleetOptions_.regions == other.zone % fleetOptions_.regions
                      ? fleetOptions_.otherZoneDelay
                      : fleetOptions_.otherRegionDelay;
  return base * (0.9 + 0.4 * random_.fraction());
}

void MeasurementFleet::send(std::size_t from, const Send& command) {
  MeasuredMember& member = *members_[from];
  if (command.to == member.address) {
    schedule(Duration{1}, from, MessageReceived{member.address, command.message});
    return;
  }
  transmit(from, command.to, command.message.index(), encode(from, command.message));
}

void MeasurementFleet::broadcast(std::size_t from, const Broadcast& command) {
  std::string frame = encode(from, *command.message);
  for (const auto& to : command.to) transmit(from, to, command.message->index(), frame);
}

std::string MeasurementFleet::encode(std::size_t from, const Message& message) {
  double before = threadMicros();
  std::string frame = encodeFrame(1, message);
  members_[from]->cost.encodeMicros[message.index()] += elapsedMicros(before);
  return frame;
}

void MeasurementFleet::transmit(std::size_t from, const Address& receiver, std::size_t kind,
                                std::string frame) {
  MeasuredMember& member = *members_[from];
  ++member.cost.messagesOut[kind];
  member.cost.bytesOut[kind] += frame.size() + kSenderAddressBytes;
  auto to = byAddress_.find(receiver);
  if (to == byAddress_.end()) return;
  const MeasuredMember& target = *members_[to->second];
  if (!canReach(member, target)) return;
  queue_.push({now_ + delay(member, target), ++scheduledItems_, to->second, target.incarnation,
               from, std::move(frame), nullptr});
}

void MeasurementFleet::write(std::size_t index, const WriteFile& command) {
  members_[index]->disk[command.name] = command.content;
  schedule(milliseconds(2), index, FileWritten{command.ticket, true});
}

void MeasurementFleet::removeOlderFiles(std::size_t index, const RemoveOlderFiles& command) {
  auto& disk = members_[index]->disk;
  std::vector<std::string> names;
  for (const auto& [name, content] : disk)
    if (name.starts_with(command.prefix + ".")) names.push_back(name);
  for (std::size_t place = 0; place + command.keep < names.size(); ++place)
    disk.erase(names[place]);
}

void MeasurementFleet::handleLogLine(std::size_t index, const std::string& text) {
  bool dead = text.starts_with(kDeadLogPrefix);
  if (!dead && !text.starts_with(kJoinedLogPrefix)) return;
  auto found = byAddress_.find({text.substr((dead ? kDeadLogPrefix : kJoinedLogPrefix).size())});
  if (found == byAddress_.end()) return;
  const MeasuredMember& other = *members_[found->second];
  members_[index]->knownMembers[found->second] = !dead;
  if (!dead) return;
  if (!other.node) detectionSeconds_.push_back(inSeconds(now_ - other.downSince));
  else if (canReach(*members_[index], other)) ++falseDeaths_;
}

bool MeasurementFleet::membershipConverged() const {
  for (const auto& member : members_)
    for (std::size_t other = 0; member->node && other < members_.size(); ++other)
      if (members_[other] != member &&
          member->knownMembers[other] != (members_[other]->node != nullptr))
        return false;
  return true;
}

std::optional<std::size_t> MeasurementFleet::leaderIndex() const {
  for (std::size_t index = 0; index < static_cast<std::size_t>(fleetOptions_.cores); ++index)
    if (members_[index]->node &&
        static_cast<CoreNode&>(*members_[index]->node).leadership().hasLeaderLease(now_))
      return index;
  return std::nullopt;
}

std::vector<std::size_t> MeasurementFleet::backupIndices() const {
  auto leader = leaderIndex();
  if (!leader) return {};
  const View& view = static_cast<CoreNode&>(*members_[*leader]->node).leadership().view();
  std::vector<std::size_t> found;
  for (std::size_t index = 0; index < static_cast<std::size_t>(fleetOptions_.cores); ++index) {
    if (!members_[index]->node) continue;
    CoreId coreId = static_cast<CoreNode&>(*members_[index]->node).acceptor().record().identity;
    if (std::ranges::find(view.backups, coreId) != view.backups.end()) found.push_back(index);
  }
  return found;
}

std::vector<int> MeasurementFleet::zonesOf(int region) const {
  std::vector<int> zones;
  for (int zone = 0; zone < fleetOptions_.zones; ++zone)
    if (zone % fleetOptions_.regions == region) zones.push_back(zone);
  return zones;
}

std::optional<MonotonicTime> MeasurementFleet::installedEverywhereAt(
    const SectionVersion& version) const {
  MonotonicTime latest = kNever;
  for (const auto& member : members_) {
    if (!member->node) continue;
    if (member->installedVersions.setup < version) return std::nullopt;
    latest = std::max(latest, member->installedAt);
  }
  return latest;
}

std::uint64_t MeasurementFleet::counter(std::string_view name) const {
  std::uint64_t sum = 0;
  for (const auto& member : members_) {
    if (!member->node) continue;
    const auto& counters = member->node->outbox().counters();
    auto found = counters.find(name);
    if (found != counters.end()) sum += found->second;
  }
  return sum;
}

double MeasurementFleet::freshRouterShare() const {
  double routers = 0, fresh = 0;
  for (const auto& member : members_) {
    if (!member->node || member->role != Role::kRouter) continue;
    ++routers;
    if (followerOf(*member).isFresh(now_)) ++fresh;
  }
  return routers > 0 ? fresh / routers : 0;
}

MemberCost MeasurementFleet::total() const {
  MemberCost sum;
  for (const auto& member : members_) sum.add(member->cost);
  return sum;
}

}  // namespace peppergate
