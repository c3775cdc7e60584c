#include "sim/sim_cluster.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "wire/frame.h"

namespace peppergate {
namespace {

constexpr std::size_t kMaxQueuedWhileFrozen = 20000;  // events
constexpr Duration kLoopbackLatency = Duration{1};    // latency of a message within one process
constexpr Duration kStallPollInterval = milliseconds(20);  // polling interval of stalled bytes
constexpr Duration kTickPeriod = milliseconds(50);
constexpr Duration kBurstWindow = milliseconds(10);  // broadcasts within this time are one burst
constexpr Duration kFreezePollInterval = milliseconds(20);
constexpr Duration kDiskPollInterval = milliseconds(200);  // how often a start retries
constexpr Duration kMaxBacklogDelay = seconds(5);  // of a slowed process; later messages are lost
constexpr std::uint64_t kFleetMark = 1;

Duration eventCost(const SimProcess& process) {
  return seconds(process.eventCostMilliseconds / 1000);
}

/// Whether a process can start from a disk. A full one can be read, but not given an identity.
bool isReadable(const SimDrive& drive) {
  if (drive.mode == DiskMode::kFull) return !drive.disk.empty();
  return drive.mode == DiskMode::kGood || drive.mode == DiskMode::kSlow;
}

}  // namespace

SimCluster::SimCluster(std::uint64_t seed, MonotonicTime begin)
    : queue_(begin), random_(seed), network_(random_), begin_(begin) {}

SimCluster::~SimCluster() = default;

SimProcess& SimCluster::addProcess(Role role, int number, const Zone& zone) {
  auto process = std::make_unique<SimProcess>();
  bool core = role == Role::kCore;
  process->host = (core ? "core" : routerWord()) + std::to_string(number);
  process->address = {(core ? "10.0.0." : "10.0.1.") + std::to_string(number) + ":7100"};
  process->role = role;
  process->zone = zone;
  processes_.push_back(std::move(process));
  return *processes_.back();
}

void SimCluster::addCore(int number, const Zone& zone, bool spare) {
  SimProcess& process = addProcess(Role::kCore, number, zone);
  process.spare = spare;
  process.mayBootstrap = !spare;
}

SimProcess* SimCluster::processAt(const Address& address) {
  for (auto& process : processes_)
    if (process->address == address) return process.get();
  return nullptr;
}

SimProcess* SimCluster::processOf(Role role, int number) {
  for (auto& process : processes_)
    if (process->role == role && --number == 0) return process.get();
  return nullptr;
}

SimProcess* SimCluster::leader() {
  for (auto& process : processes_) {
    if (!process->alive || process->frozen || process->role != Role::kCore) continue;
    if (process->core().leadership().hasLeaderLease(process->localTime(now())))
      return process.get();
  }
  return nullptr;
}

void SimCluster::noteDisturbance(SimProcess& process) {
  process.disturbedAt = now();
  if (process.role == Role::kCore) coreDisturbedAt_ = now();
}

void SimCluster::start(SimProcess& process) {
  if (process.alive || process.retired) return;
  if (process.role == Role::kCore &&
      !isReadable(process.drive)) {  // its loader would fail or block
    scheduleAfter(kDiskPollInterval, [this, &process, incarnation = process.incarnation] {
      if (process.incarnation == incarnation) start(process);
    });
    return;
  }
  process.alive = true;
  process.spare = false;
  process.frozen = process.stopping = false;
  process.stoppedAt = kForever;
  ++process.incarnation;
  noteDisturbance(process);
  // Boot clocks of different machines aren't comparable, only differences on one machine are.
  process.clock = seconds(1000 + 100000 * random_.fraction());
  process.clockRate = 0.995 + 0.01 * random_.fraction();  // cheap clocks differ by about 1 %
  MemberRecord self;
  self.member = {random_.next() >> 1};
  self.address = self.pagesAddress = process.address;
  self.role = process.role;
  self.zone = process.zone;
  DiskContents found;
  Bootstrap bootstrap;
  if (process.role == Role::kCore) {
    bootstrap = process.mayBootstrap ? bootstrapOf(process) : Bootstrap{};
    found = load(process, bootstrap);
  }
  process.node = makeNode(process, self, found, bootstrap);
}

DiskContents SimCluster::load(SimProcess& process, const Bootstrap& bootstrap) {
  SimDisk& disk = process.drive.disk;
  DiskContents found{loadFiles(disk)};
  if (readIdentity(found).value == 0) {
    // Only the first disk carries the founding configuration.
    std::string identity = identityFileContent({random_.next() >> 1},
                                               process.diskInitialized ? Bootstrap{} : bootstrap);
    process.diskInitialized = true;
    disk.truncate("identity");
    disk.append("identity", identity);
    found.files = loadFiles(disk);
  }
  process.diskTask = std::make_shared<SimDiskTask>(
      queue_, random_, process.drive, [&process] { return process.frozen; },
      [this, &process](const FileWritten& written) { deliver(process, written); });
  return found;
}

void SimCluster::startAll(Duration spread) {
  for (auto& process : processes_) {
    if (process->spare) continue;
    if (spread == Duration{}) start(*process);
    else
      scheduleAfter(spread * random_.fraction(), [this, &process = *process] { start(process); });
  }
}

void SimCluster::kill(SimProcess& process, bool planned) {
  if (!process.alive) return;
  if (!planned || process.frozen) process.disturbedAt = now();
  if (process.role == Role::kCore) coreDisturbedAt_ = now();
  process.alive = process.frozen = false;
  process.queuedWhileFrozen.clear();
  process.backlog.clear();
  process.node.reset();
  process.diskTask.reset();
  ++process.incarnation;
  handleProcessEnd(process, planned);
}

void SimCluster::losePower(SimProcess& process) {
  kill(process);
  network_.reset(process.host, now());
  process.drive.disk.losePower(random_);
}

void SimCluster::wipe(SimProcess& process) {
  kill(process);
  process.drive.disk.wipe();
  process.mayBootstrap = false;
}

void SimCluster::replace(SimProcess& process) {
  wipe(process);
  auto number = std::ranges::find(processes_, &process, &std::unique_ptr<SimProcess>::get) -
                processes_.begin() + 1;
  process.address = {"10.0.9." + std::to_string(number) + ":" +
                     std::to_string(7200 + process.incarnation)};
  start(process);
}

void SimCluster::stop(SimProcess& process) {
  if (!process.alive) return;
  process.stopping = true;  // a frozen process handles the signal only if it thaws in time
  process.stoppedAt = now();
  deliver(process, DrainRequest{});
  if (process.role == Role::kCore) noteDisturbance(process);
  scheduleAfter(graceTime(), [this, &process, incarnation = process.incarnation] {
    if (process.incarnation == incarnation) kill(process, true);
  });
}

void SimCluster::thaw(SimProcess& process) {
  if (!process.alive || !process.frozen) return;
  process.frozen = false;
  noteDisturbance(process);
  for (const auto& action : std::exchange(process.queuedWhileFrozen, {})) action();
}

void SimCluster::deliver(SimProcess& process, const Event& event) {
  if (!process.alive) return;
  if (process.frozen) {
    if (std::holds_alternative<Tick>(event) ||
        process.queuedWhileFrozen.size() >= kMaxQueuedWhileFrozen)
      return;
    process.queuedWhileFrozen.push_back([this, &process, event] { deliver(process, event); });
    return;
  }
  if (process.eventCostMilliseconds > 0 || !process.backlog.empty()) return enqueue(process, event);
  handle(process, event);
}

void SimCluster::handle(SimProcess& process, const Event& event) {
  process.node->step(event, process.localTime(now()));
  runCommands(process);
}

void SimCluster::enqueue(SimProcess& process, const Event& event) {
  Duration wait = eventCost(process) * static_cast<double>(process.backlog.size());
  // A tick that would be late by more than one period is dropped: the next one does its work.
  if (std::holds_alternative<Tick>(event) && wait > kTickPeriod) return;
  if (std::holds_alternative<MessageReceived>(event) && wait > kMaxBacklogDelay) return;
  process.backlog.push_back(event);
  if (process.backlog.size() == 1) serveBacklog(process, eventCost(process));
}

void SimCluster::serveBacklog(SimProcess& process, Duration delay) {
  scheduleAfter(delay, [this, &process, incarnation = process.incarnation] {
    if (process.incarnation != incarnation) return;
    if (process.frozen) return serveBacklog(process, kFreezePollInterval);
    Event event = std::move(process.backlog.front());
    process.backlog.pop_front();
    // Schedules the next event first: handling this one may add more.
    if (!process.backlog.empty()) serveBacklog(process, eventCost(process));
    handle(process, event);
  });
}

void SimCluster::tickProcesses() {
  for (auto& process : processes_) {
    deliver(*process, Tick{});
    bool isLeaving = process->alive && process->stopping && !process->frozen;
    if (isLeaving && mayExit(*process)) kill(*process, true);
  }
}

/// A message in flight.
struct SimCluster::Frame {
  std::string from, to;  // hosts
  Address sender;
  SimProcess* receiver;
  std::uint64_t receiverIncarnation;
  std::uint64_t connection;
  std::shared_ptr<const std::string> bytes;
};

void SimCluster::sendToSelf(SimProcess& process, const Message& message) {
  ++messages_;
  scheduleAfter(kLoopbackLatency, [this, &process, incarnation = process.incarnation, message] {
    if (process.incarnation == incarnation)
      deliver(process, MessageReceived{process.address, message});
  });
}

void SimCluster::send(SimProcess& from, const Send& command) {
  if (command.to == from.address) return sendToSelf(from, command.message);
  // Every message is encoded and decoded, as between real processes.
  transmitFrame(from, command.to,
                std::make_shared<const std::string>(encodeFrame(kFleetMark, command.message)));
}

void SimCluster::broadcast(SimProcess& from, const Broadcast& command) {
  auto bytes = std::make_shared<const std::string>(encodeFrame(kFleetMark, *command.message));
  if (now() - from.burstStartedAt >= kBurstWindow) {
    from.burstStartedAt = now();
    from.burstBytes = 0;
  }
  from.burstBytes += bytes->size() * command.to.size();
  from.largestBurst = std::max(from.largestBurst, from.burstBytes);
  for (const auto& to : command.to) {
    if (to == from.address) sendToSelf(from, *command.message);
    else transmitFrame(from, to, bytes);
  }
}

void SimCluster::transmitFrame(SimProcess& from, const Address& receiver,
                               const std::shared_ptr<const std::string>& bytes) {
  ++messages_;
  countBytes(bytes->size());
  SimProcess* to = processAt(receiver);
  if (to == nullptr || !reachable(from.host, to->host)) return;
  if (network_.waitsToReconnect(from.host, to->host, now())) return;
  std::optional<Duration> delay = network_.drawTransitTime();
  if (!delay) return;
  auto frame = std::make_shared<Frame>();
  frame->bytes = bytes;
  frame->from = from.host;
  frame->to = to->host;
  frame->sender = from.address;
  frame->receiver = to;
  frame->receiverIncarnation = to->incarnation;
  frame->connection = network_.connection(from.host, to->host);
  scheduleAfter(*delay, [this, frame] { deliverFrame(frame); });
}

void SimCluster::deliverFrame(const std::shared_ptr<Frame>& frame) {
  SimProcess& to = *frame->receiver;
  if (!to.alive || to.incarnation != frame->receiverIncarnation) return;
  if (frame->connection != network_.connection(frame->from, frame->to)) return;
  if (network_.isStalled(frame->from, frame->to)) {
    scheduleAfter(kStallPollInterval, [this, frame] { deliverFrame(frame); });
    return;
  }
  if (!reachable(frame->from, frame->to)) return;
  std::span<const char> bytes(*frame->bytes);
  FrameHead head = readFrameHead(kFleetMark, bytes);
  std::span<const char> body = bytes.subspan(kFrameHeadBytes);
  auto message = decodeBody(head.kind, body);
  if (message.ok() && bodyMatchesHead(head, body))
    deliver(to, MessageReceived{frame->sender, std::move(*message)});
  else handleUnreadableFrame(frame->from);
}

void SimCluster::printLog(const SimProcess& process, const LogState& command) const {
  static const bool kLogEnabled = std::getenv("PEPPERGATE_SIM_LOG") != nullptr;
  if (!kLogEnabled) return;
  std::fprintf(stderr, "%9.3f %s: %s\n", inSeconds(now() - MonotonicTime{}), process.host.c_str(),
               command.text.c_str());
}

void SimCluster::countBytes(std::size_t bytes) {
  messageBytes_ += bytes;
  auto second = static_cast<std::size_t>((now() - begin_).microseconds / 1'000'000);
  if (bytesBySecond_.size() <= second) bytesBySecond_.resize(second + 1);
  bytesBySecond_[second] += bytes;
}

std::uint64_t SimCluster::bytesBetween(MonotonicTime from, MonotonicTime to) const {
  std::uint64_t bytes = 0;
  for (std::size_t second = 0; second < bytesBySecond_.size(); ++second) {
    MonotonicTime at = begin_ + seconds(static_cast<double>(second));
    if (at >= from && at < to) bytes += bytesBySecond_[second];
  }
  return bytes;
}

}  // namespace peppergate
