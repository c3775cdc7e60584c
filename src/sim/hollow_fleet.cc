// The members, clock and network of the measurement fleet.
#include "sim/hollow_fleet.h"

#include <time.h>

#include <algorithm>

#include "core/example_setup.h"
#include "wire/frame.h"

namespace peppergate {
namespace {

constexpr Duration kTick = milliseconds(50);
constexpr std::size_t kAddressField = 32;  // bytes of the sender's address before each frame
constexpr std::string_view kDeadNote = "member dead: ";
constexpr std::string_view kJoinedNote = "member joined: ";

const Follower& followerOf(const HollowMember& member) {
  if (member.role == Role::kCore) return static_cast<CoreNode&>(*member.node).follower();
  return static_cast<FrontNode&>(*member.node).follower();
}

}  // namespace

double threadMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

void HollowCost::add(const HollowCost& other) {
  for (std::size_t kind = 0; kind < kMessageKinds; ++kind) {
    messages[kind] += other.messages[kind];
    bytes[kind] += other.bytes[kind];
    sending[kind] += other.sending[kind];
    taking[kind] += other.taking[kind];
  }
  for (std::size_t what = 0; what < kHollowWorks; ++what) work[what] += other.work[what];
  messagesIn += other.messagesIn;
  bytesIn += other.bytesIn;
  webCalls += other.webCalls;
  webBytes += other.webBytes;
}

double HollowCost::micros() const {
  double sum = 0;
  for (double one : sending) sum += one;
  for (double one : taking) sum += one;
  for (double one : work) sum += one;
  return sum;
}

HollowFleet::HollowFleet(const HollowShape& shape) : shape_(shape), random_(shape.seed) {
  double before = threadMicros();
  constexpr int kReads = 20000;
  for (int read = 0; read < kReads; ++read) (void)threadMicros();
  clockCost_ = (threadMicros() - before) / kReads;
  // The default size limit would refuse such a configuration. It is raised here so that the cost
  // can be measured.
  options_.backups = shape_.backups;
  options_.voterSlots = shape_.voterSlots;
  if (shape_.tenants > 2000) options_.largestSetup = 64 << 20;
  listText_ = engineList();
  for (int index = 0; index < shape_.cores + shape_.fronts; ++index) {
    auto member = std::make_unique<HollowMember>();
    member->role = index < shape_.cores ? Role::kCore : Role::kFront;
    member->zone = index % shape_.zones;
    member->address = {"10." + std::to_string(member->zone) + "." + std::to_string(index / 250) +
                       "." + std::to_string(index % 250 + 1) + ":7100"};
    byAddress_[member->address] = static_cast<std::size_t>(index);
    members_.push_back(std::move(member));
  }
  for (std::size_t index = 0; index < members_.size(); ++index) start(index);
}

void HollowFleet::start(std::size_t index) {
  HollowMember& member = *members_[index];
  if (member.node) return;
  ++member.life;
  member.have = {};
  member.knows.assign(members_.size(), false);
  MemberRecord self;
  self.member = {random_.next() >> 1};
  self.address = self.pages = member.address;
  self.role = member.role;
  self.zone = {"zone" + std::to_string(member.zone + 1)};
  std::vector<Address> seeds{members_[0]->address, members_[1 % members_.size()]->address,
                             members_.back()->address};
  if (member.role == Role::kCore) {
    Bootstrap bootstrap;
    if (index == 0 && member.disk.empty()) bootstrap.cores = static_cast<std::size_t>(shape_.cores);
    if (member.disk.empty())
      member.disk["identity"] = identityFile({random_.next() >> 1}, bootstrap);
    member.node = std::make_unique<CoreNode>(options_, self, seeds, DiskFound{member.disk},
                                             random_.next(), now_, bootstrap);
  } else {
    Address platform{shape_.engines > 0 ? "10.200.0.1:80" : ""};
    member.node = std::make_unique<FrontNode>(options_, self, seeds, platform, random_.next());
  }
  // Spreads the members' ticks over one tick period.
  push(Duration{static_cast<std::int64_t>(random_.below(kTick.microseconds))}, index, Ticked{});
}

void HollowFleet::stop(std::size_t index) {
  members_[index]->node.reset();
  members_[index]->downSince = now_;
}

double HollowFleet::spent(double since) const {
  return std::max(0.0, threadMicros() - since - clockCost_);
}

void HollowFleet::push(Duration delay, std::size_t to, Event event) {
  queue_.push({now_ + delay,
               ++orders_,
               to,
               members_[to]->life,
               to,
               {},
               std::make_shared<Event>(std::move(event))});
}

void HollowFleet::run(Duration span) {
  MonotonicTime end = now_ + span;
  while (!queue_.empty() && queue_.top().at <= end) {
    Item item = queue_.top();
    queue_.pop();
    now_ = item.at;
    if (members_[item.to]->node && members_[item.to]->life == item.life) take(item);
  }
  now_ = end;
}

void HollowFleet::take(const Item& item) {
  HollowMember& member = *members_[item.to];
  if (item.frame.empty()) {
    bool tick = std::holds_alternative<Ticked>(*item.event);
    bool web = std::holds_alternative<WebAnswered>(*item.event);
    auto work = tick ? HollowWork::kTick : web ? HollowWork::kWeb : HollowWork::kOther;
    if (tick) push(kTick, item.to, Ticked{});
    deliver(item.to, *item.event, member.cost.work[static_cast<std::size_t>(work)]);
    return;
  }
  if (!hears(*members_[item.from], member)) return;
  double before = threadMicros();
  std::span<const char> bytes(item.frame);
  FrameHead head = readFrameHead(1, bytes);
  auto body = bytes.subspan(kFrameHeadSize);
  bool good = bodyIsWhole(head, body);
  auto message = decodeBody(head.kind, body);
  double& cost = member.cost.taking[head.kind];
  cost += spent(before);
  ++member.cost.messagesIn;
  member.cost.bytesIn += item.frame.size() + kAddressField;
  if (good && message.ok())
    deliver(item.to, Arrived{members_[item.from]->address, std::move(*message)}, cost);
}

/// Dispatches each command of a member to the fleet.
struct HollowRunner {
  HollowFleet& fleet;
  std::size_t index;
  void operator()(const Send& command) const { fleet.send(index, command); }
  void operator()(const Broadcast& command) const { fleet.broadcast(index, command); }
  void operator()(const WriteFile& command) const { fleet.write(index, command); }
  void operator()(const DropOlder& command) const { fleet.drop(index, command); }
  void operator()(const CallWeb& command) const { fleet.callWeb(index, command); }
  void operator()(const AnswerWeb& command) const { fleet.answer(command); }
  void operator()(const NoteState& command) const { fleet.note(index, command.text); }
  /// Ignores request commands: this fleet has no client requests.
  template <class Other>
  void operator()(const Other&) const {}
};

void HollowFleet::deliver(std::size_t index, const Event& event, double& cost) {
  HollowMember& member = *members_[index];
  double before = threadMicros();
  member.node->step(event, now_);
  auto commands = member.node->outbox().take();
  cost += spent(before);
  const SectionVersions& have = followerOf(member).have();
  if (have != member.have) {
    member.have = have;
    member.haveSince = now_;
  }
  for (const auto& command : commands) std::visit(HollowRunner{*this, index}, command);
}

bool HollowFleet::hears(const HollowMember& one, const HollowMember& other) const {
  return (std::ranges::find(cut_, one.zone) == cut_.end()) ==
         (std::ranges::find(cut_, other.zone) == cut_.end());
}

Duration HollowFleet::delay(const HollowMember& one, const HollowMember& other) {
  Duration base = one.zone == other.zone                                     ? shape_.nearDelay
                  : one.zone % shape_.regions == other.zone % shape_.regions ? shape_.zoneDelay
                                                                             : shape_.regionDelay;
  return base * (0.9 + 0.4 * random_.fraction());
}

void HollowFleet::send(std::size_t from, const Send& command) {
  HollowMember& member = *members_[from];
  if (command.to == member.address) {
    push(Duration{1}, from, Arrived{member.address, command.message});
    return;
  }
  transmit(from, command.to, command.message.index(), encoded(from, command.message));
}

void HollowFleet::broadcast(std::size_t from, const Broadcast& command) {
  std::string frame = encoded(from, *command.message);
  for (const auto& to : command.to) transmit(from, to, command.message->index(), frame);
}

std::string HollowFleet::encoded(std::size_t from, const Message& message) {
  double before = threadMicros();
  std::string frame = encodeFrame(1, message);
  members_[from]->cost.sending[message.index()] += spent(before);
  return frame;
}

void HollowFleet::transmit(std::size_t from, const Address& receiver, std::size_t kind,
                           std::string frame) {
  HollowMember& member = *members_[from];
  ++member.cost.messages[kind];
  member.cost.bytes[kind] += frame.size() + kAddressField;
  auto to = byAddress_.find(receiver);
  if (to == byAddress_.end()) return;
  const HollowMember& target = *members_[to->second];
  if (!hears(member, target)) return;
  queue_.push({now_ + delay(member, target), ++orders_, to->second, target.life, from,
               std::move(frame), nullptr});
}

void HollowFleet::write(std::size_t index, const WriteFile& command) {
  members_[index]->disk[command.name] = command.content;
  push(milliseconds(2), index, FileWritten{command.ticket, true});
}

void HollowFleet::drop(std::size_t index, const DropOlder& command) {
  auto& disk = members_[index]->disk;
  std::vector<std::string> names;
  for (const auto& [name, content] : disk)
    if (name.starts_with(command.prefix + ".")) names.push_back(name);
  for (std::size_t place = 0; place + command.keep < names.size(); ++place)
    disk.erase(names[place]);
}

void HollowFleet::note(std::size_t index, const std::string& text) {
  bool dead = text.starts_with(kDeadNote);
  if (!dead && !text.starts_with(kJoinedNote)) return;
  auto found = byAddress_.find({text.substr((dead ? kDeadNote : kJoinedNote).size())});
  if (found == byAddress_.end()) return;
  const HollowMember& other = *members_[found->second];
  members_[index]->knows[found->second] = !dead;
  if (!dead) return;
  if (!other.node) noticed_.push_back(inSeconds(now_ - other.downSince));
  else if (hears(*members_[index], other)) ++wronglyDead_;
}

bool HollowFleet::whole() const {
  for (const auto& member : members_)
    for (std::size_t other = 0; member->node && other < members_.size(); ++other)
      if (members_[other] != member && member->knows[other] != (members_[other]->node != nullptr))
        return false;
  return true;
}

std::optional<std::size_t> HollowFleet::primary() const {
  for (std::size_t index = 0; index < static_cast<std::size_t>(shape_.cores); ++index)
    if (members_[index]->node &&
        static_cast<CoreNode&>(*members_[index]->node).leadership().leads(now_))
      return index;
  return std::nullopt;
}

std::vector<std::size_t> HollowFleet::backups() const {
  auto leader = primary();
  if (!leader) return {};
  const View& view = static_cast<CoreNode&>(*members_[*leader]->node).leadership().view();
  std::vector<std::size_t> found;
  for (std::size_t index = 0; index < static_cast<std::size_t>(shape_.cores); ++index) {
    if (!members_[index]->node) continue;
    CoreId core = static_cast<CoreNode&>(*members_[index]->node).acceptor().record().identity;
    if (std::ranges::find(view.backups, core) != view.backups.end()) found.push_back(index);
  }
  return found;
}

std::vector<int> HollowFleet::zonesOf(int region) const {
  std::vector<int> zones;
  for (int zone = 0; zone < shape_.zones; ++zone)
    if (zone % shape_.regions == region) zones.push_back(zone);
  return zones;
}

std::optional<MonotonicTime> HollowFleet::inForceSince(const SectionVersion& version) const {
  MonotonicTime last = kNever;
  for (const auto& member : members_) {
    if (!member->node) continue;
    if (member->have.setup < version) return std::nullopt;
    last = std::max(last, member->haveSince);
  }
  return last;
}

std::uint64_t HollowFleet::counter(std::string_view name) const {
  std::uint64_t sum = 0;
  for (const auto& member : members_) {
    if (!member->node) continue;
    const auto& counters = member->node->outbox().counters();
    auto found = counters.find(name);
    if (found != counters.end()) sum += found->second;
  }
  return sum;
}

double HollowFleet::freshShare() const {
  double fronts = 0, fresh = 0;
  for (const auto& member : members_) {
    if (!member->node || member->role != Role::kFront) continue;
    ++fronts;
    if (followerOf(*member).fresh(now_)) ++fresh;
  }
  return fronts > 0 ? fresh / fronts : 0;
}

HollowCost HollowFleet::total() const {
  HollowCost sum;
  for (const auto& member : members_) sum.add(member->cost);
  return sum;
}

}  // namespace peppergate
