#pragma once
// A test harness: one core with its real acceptor and leadership; all other cores are simulated.
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "core/leadership.h"
#include "tests/testing.h"

namespace peppergate {

inline constexpr CoreId kSelf{1};

inline Address addressOfCore(CoreId core) {
  return {"10.0.0." + std::to_string(core.value) + ":1"};
}

inline MemberRecord coreRecord(CoreId core, std::uint64_t heartbeat) {
  MemberRecord record;
  record.member = {100 + core.value};
  record.address = record.pages = addressOfCore(core);
  record.role = Role::kCore;
  record.core = core;
  record.heartbeat = heartbeat;
  return record;
}

inline View viewOf(std::uint64_t epoch, CoreId primary, std::vector<CoreId> backups,
                   std::uint64_t voters) {
  View view{{epoch}, primary, std::move(backups), {epoch}, {}};
  for (std::uint64_t voter = 1; voter <= voters; ++voter) view.voters.push_back({voter});
  return view;
}

/// The content of a core's disk at its start.
struct StartDisk {
  AcceptorRecord record;
  ReplicaOnDisk replica;
};

/// One core with its real acceptor and leadership; all other cores are simulated.
class OneCore {
 public:
  explicit OneCore(StartDisk disk, std::int64_t backups = 1)
      : options(optionsWith(backups)),
        acceptor(options, disk.record, at(0)),
        membership(options, coreRecord(kSelf, 1), {}, random),
        leadership(options, acceptor, membership, random, std::move(disk.replica)),
        accepted_(disk.record.accepted) {}

  /// Advances the time with a tick each 50 ms, and delivers heartbeats of the reachable cores.
  void run(double length) {
    for (MonotonicTime end = now + seconds(length); now < end;) {
      now = now + milliseconds(50);
      for (CoreId core : heard) {
        Shuffle shuffle;
        shuffle.sender = coreRecord(core, ++heartbeat_);
        shuffle.sender.leaving = leaving.contains(core);
        membership.hear(shuffle, now, outbox);
      }
      acceptor.notice(now);
      leadership.tick(now, outbox);
      carryOut();
    }
  }
  /// Runs until the condition holds, at most `length` seconds; returns whether it holds.
  bool runUntil(const std::function<bool()>& holds, double length) {
    for (MonotonicTime end = now + seconds(length); now < end && !holds();) run(0.05);
    return holds();
  }
  void carryOut() {
    for (auto commands = outbox.take(); !commands.empty(); commands = outbox.take())
      for (const auto& command : commands) {
        if (auto* write = std::get_if<WriteFile>(&command)) wrote(*write);
        if (auto* send = std::get_if<Send>(&command)) sent(*send);
      }
  }
  void finishWrites() {
    for (auto& ticket : std::exchange(pendingWrites, {})) finish(ticket);
    carryOut();
  }

  Options options;
  Random random{1};
  Outbox outbox;
  Acceptor acceptor;
  Membership membership;
  Leadership leadership;
  MonotonicTime now = at(10);
  std::set<CoreId> heard;           // send heartbeats to the membership
  std::set<CoreId> answering;       // their acceptors and disks answer
  std::set<CoreId> leaving;         // announce in heartbeats that they leave
  std::map<Address, CoreId> moved;  // cores at an address that another core had
  bool othersCopy = true;           // the others confirm replicas
  bool diskWorks = true;            // else writes don't complete
  bool othersAccept = true;         // the others accept proposed views
  std::vector<TicketId> pendingWrites;
  std::vector<PrepareRequest> prepares;  // sent by this core to others
  std::vector<View> proposals;           // views that it asked others to accept
  std::vector<std::pair<Address, ReplicateReply>> replicateReplies;

 private:
  static Options optionsWith(std::int64_t backups) {
    Options options;
    options.backups = backups;
    return options;
  }
  void finish(TicketId ticket) {
    FileWritten event{ticket, true};
    if (!acceptor.written(event, now, outbox)) leadership.written(event, now, outbox);
  }
  void wrote(const WriteFile& write) {
    if (diskWorks) finish(write.ticket);
    else pendingWrites.push_back(write.ticket);
  }
  void sent(const Send& send) {
    if (send.to == addressOfCore(kSelf)) {
      toSelf(send.message);
      return;
    }
    CoreId other;
    for (const auto& cores : {heard, answering})
      for (CoreId core : cores)
        if (addressOfCore(core) == send.to) other = core;
    if (moved.contains(send.to)) other = moved.at(send.to);
    if (auto* reply = std::get_if<ReplicateReply>(&send.message))
      replicateReplies.emplace_back(send.to, *reply);
    if (auto* ask = std::get_if<PrepareRequest>(&send.message);
        ask && ask->kind != PrepareKind::kRelease)
      prepares.push_back(*ask);
    if (auto* ask = std::get_if<AcceptRequest>(&send.message)) proposals.push_back(ask->view);
    if (answering.contains(other)) answer(other, send.message);
  }
  void toSelf(const Message& message) {
    Address self = addressOfCore(kSelf);
    if (auto* ask = std::get_if<PrepareRequest>(&message)) acceptor.ask(self, *ask, now, outbox);
    if (auto* ask = std::get_if<AcceptRequest>(&message)) acceptor.ask(self, *ask, now, outbox);
    if (auto* reply = std::get_if<PrepareReply>(&message)) leadership.hear(*reply, now, outbox);
    if (auto* reply = std::get_if<AcceptReply>(&message)) leadership.hear(*reply, now, outbox);
  }
  void answer(CoreId other, const Message& message) {
    if (auto* ask = std::get_if<PrepareRequest>(&message)) {
      if (ask->kind == PrepareKind::kRelease) return;
      leadership.hear(PrepareReply{ask->epoch, other, ask->sentAt, true, ask->epoch, accepted_},
                      now, outbox);
    }
    if (auto* ask = std::get_if<AcceptRequest>(&message); ask && othersAccept) {
      accepted_ = ask->view;
      leadership.hear(AcceptReply{ask->view.epoch, other, true, ask->view.epoch}, now, outbox);
    }
    if (auto* ask = std::get_if<ReplicateRequest>(&message); ask && othersCopy)
      leadership.hear(ReplicateReply{ask->epoch, other, ask->version, true}, now, outbox);
    if (auto* ask = std::get_if<WitnessUpdateRequest>(&message))
      leadership.hear(WitnessUpdateReply{ask->epoch, other, ask->version, ask->now}, now, outbox);
  }

  View accepted_;
  std::uint64_t heartbeat_ = 1;
};

inline StartDisk diskIn(const View& view) {
  StartDisk disk;
  disk.record = {kSelf, view.epoch, view.primary, view};
  disk.replica = {view.epoch, ControlState::founded({1})};
  return disk;
}

}  // namespace peppergate
