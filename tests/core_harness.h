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
  record.address = record.pagesAddress = addressOfCore(core);
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
  StoredReplica replica;
};

/// One core with its real acceptor and leadership; all other cores are simulated.
class CoreHarness {
 public:
  explicit CoreHarness(StartDisk disk, std::int64_t backups = 1)
      : options(optionsWith(backups)),
        acceptor(options, disk.record, at(0)),
        membership(options, coreRecord(kSelf, 1), {}, random),
        leadership(options, acceptor, membership, random, std::move(disk.replica)),
        accepted_(disk.record.accepted) {}

  /// Advances the time with a tick each 50 ms, and delivers heartbeats of the reachable cores.
  void run(double length) {
    for (MonotonicTime end = now + seconds(length); now < end;) {
      now = now + milliseconds(50);
      for (CoreId core : heartbeating) {
        Shuffle shuffle;
        shuffle.sender = coreRecord(core, ++heartbeat_);
        shuffle.sender.leaving = leaving.contains(core);
        membership.handle(shuffle, now, outbox);
      }
      acceptor.extendLeaseAfterClockJump(now);
      leadership.tick(now, outbox);
      runCommands();
    }
  }
  /// Runs until the condition holds, at most `length` seconds; returns whether it holds.
  bool runUntil(const std::function<bool()>& holds, double length) {
    for (MonotonicTime end = now + seconds(length); now < end && !holds();) run(0.05);
    return holds();
  }
  void runCommands() {
    for (auto commands = outbox.takeCommands(); !commands.empty(); commands = outbox.takeCommands())
      for (const auto& command : commands) {
        if (auto* write = std::get_if<WriteFile>(&command)) handleWrite(*write);
        if (auto* send = std::get_if<Send>(&command)) handleSend(*send);
      }
  }
  void completePendingWrites() {
    for (auto& ticket : std::exchange(pendingWrites, {})) completeWrite(ticket);
    runCommands();
  }

  Options options;
  Random random{1};
  Outbox outbox;
  Acceptor acceptor;
  Membership membership;
  Leadership leadership;
  MonotonicTime now = at(10);
  std::set<CoreId> heartbeating;                  // send heartbeats to the membership
  std::set<CoreId> answering;                     // their acceptors and disks answer
  std::set<CoreId> leaving;                       // announce in heartbeats that they leave
  std::map<Address, CoreId> coresByMovedAddress;  // cores at an address that another core had
  bool othersReplicate = true;                    // the others confirm replicas
  bool diskCompletesWrites = true;                // else writes don't complete
  bool othersAccept = true;                       // the others accept proposed views
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
  void completeWrite(TicketId ticket) {
    FileWritten event{ticket, true};
    if (!acceptor.completeWrite(event, now, outbox)) leadership.completeWrite(event, now, outbox);
  }
  void handleWrite(const WriteFile& write) {
    if (diskCompletesWrites) completeWrite(write.ticket);
    else pendingWrites.push_back(write.ticket);
  }
  void handleSend(const Send& send) {
    if (send.to == addressOfCore(kSelf)) {
      deliverToSelf(send.message);
      return;
    }
    CoreId other;
    for (const auto& cores : {heartbeating, answering})
      for (CoreId core : cores)
        if (addressOfCore(core) == send.to) other = core;
    if (coresByMovedAddress.contains(send.to)) other = coresByMovedAddress.at(send.to);
    if (auto* reply = std::get_if<ReplicateReply>(&send.message))
      replicateReplies.emplace_back(send.to, *reply);
    if (auto* request = std::get_if<PrepareRequest>(&send.message);
        request && request->kind != PrepareKind::kRelease)
      prepares.push_back(*request);
    if (auto* request = std::get_if<AcceptRequest>(&send.message))
      proposals.push_back(request->view);
    if (answering.contains(other)) answerFrom(other, send.message);
  }
  void deliverToSelf(const Message& message) {
    Address self = addressOfCore(kSelf);
    if (auto* request = std::get_if<PrepareRequest>(&message))
      acceptor.handle(self, *request, now, outbox);
    if (auto* request = std::get_if<AcceptRequest>(&message))
      acceptor.handle(self, *request, now, outbox);
    if (auto* reply = std::get_if<PrepareReply>(&message)) leadership.handle(*reply, now, outbox);
    if (auto* reply = std::get_if<AcceptReply>(&message)) leadership.handle(*reply, now, outbox);
  }
  void answerFrom(CoreId other, const Message& message) {
    if (auto* request = std::get_if<PrepareRequest>(&message)) {
      if (request->kind == PrepareKind::kRelease) return;
      leadership.handle(
          PrepareReply{request->epoch, other, request->sentAt, true, request->epoch, accepted_},
          now, outbox);
    }
    if (auto* request = std::get_if<AcceptRequest>(&message); request && othersAccept) {
      accepted_ = request->view;
      leadership.handle(AcceptReply{request->view.epoch, other, true, request->view.epoch}, now,
                        outbox);
    }
    if (auto* request = std::get_if<ReplicateRequest>(&message); request && othersReplicate)
      leadership.handle(ReplicateReply{request->epoch, other, request->version, true}, now, outbox);
    if (auto* request = std::get_if<WitnessUpdateRequest>(&message))
      leadership.handle(WitnessUpdateReply{request->epoch, other, request->version, request->now},
                        now, outbox);
  }

  View accepted_;
  std::uint64_t heartbeat_ = 1;
};

inline StartDisk diskWithView(const View& view) {
  StartDisk disk;
  disk.record = {kSelf, view.epoch, view.primary, view};
  disk.replica = {view.epoch, ControlState::initial({1})};
  return disk;
}

}  // namespace peppergate
