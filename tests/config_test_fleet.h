#pragma once
// A test harness: three cores and a router that exchange messages without delay, for end-to-end
// tests of configuration changes.
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core_node.h"
#include "core/front_node.h"
#include "tests/testing.h"

namespace peppergate {

inline constexpr int kCores = 3;
inline constexpr int kFront = kCores;  // index of the router

inline Address machineAddress(int index) { return {"10.0.0." + std::to_string(index + 1) + ":1"}; }

/// The machines, their disks and their messages, with a simulated clock.
class Machines {
 public:
  Machines() {
    for (int index = 0; index <= kFront; ++index) {
      MemberRecord self;
      self.member = {static_cast<std::uint64_t>(100 + index)};
      self.address = self.pagesAddress = machineAddress(index);
      self.role = index == kFront ? Role::kRouter : Role::kCore;
      DiskContents disk;
      disk.files["identity"] = identityFileContent({static_cast<std::uint64_t>(1 + index)});
      std::vector<Address> seeds{machineAddress(0)};
      Bootstrap bootstrap;
      if (index == 0) bootstrap.expectedCores = kCores;
      if (index == kFront)
        nodes_.push_back(std::make_unique<FrontNode>(options_, self, seeds, Address{}, 9));
      else
        nodes_.push_back(
            std::make_unique<CoreNode>(options_, self, seeds, disk, 5 + index, now_, bootstrap));
    }
  }

  void run(double length) {
    MonotonicTime end = now_ + seconds(length);
    for (; now_ < end; now_ = now_ + milliseconds(50))
      for (int index = 0; index <= kFront; ++index) step(index, Tick{});
  }

  /// Sends an operator's request to one machine and waits for the answer.
  AnswerHttp ask(int index, const std::string& method, const std::string& path,
                 const std::string& body = "") {
    TicketId ticket = send(index, method, path, body);
    for (int turn = 0; turn < 200 && !answers_.contains(ticket); ++turn) run(0.05);
    return answers_.contains(ticket) ? answers_.at(ticket) : AnswerHttp{ticket, 0, {}, ""};
  }
  TicketId send(int index, const std::string& method, const std::string& path,
                const std::string& body = "") {
    TicketId ticket{++lastTicket_};
    now_ = now_ + milliseconds(1);  // a request takes some time to arrive
    step(index, OperatorRequest{ticket, method, path, body});
    return ticket;
  }
  const AnswerHttp* answerTo(TicketId ticket) const {
    auto found = answers_.find(ticket);
    return found == answers_.end() ? nullptr : &found->second;
  }

  std::optional<int> primary() const {
    for (int index = 0; index < kCores; ++index)
      if (!dead_.contains(index) && static_cast<CoreNode&>(*nodes_[static_cast<std::size_t>(index)])
                                        .leadership()
                                        .mayShowState(now_))
        return index;
    return std::nullopt;
  }
  void kill(int index) { dead_.insert(index); }
  /// From now on writes on this machine's disk don't complete until they are released.
  void holdWrites(int index) { holdingWrites_.insert(index); }
  /// Completes the held writes; later ones are held again unless `andLater`.
  void releaseWrites(int index, bool andLater) {
    if (andLater) holdingWrites_.erase(index);
    auto held = std::exchange(heldWrites_[index], {});
    for (const auto& written : held) step(index, written);
  }

 private:
  void step(int index, const Event& event) {
    queue_.push_back({index, event});
    while (!queue_.empty()) {
      auto [to, next] = std::move(queue_.front());
      queue_.pop_front();
      if (dead_.contains(to)) continue;
      Node& node = *nodes_[static_cast<std::size_t>(to)];
      node.step(next, now_);
      for (auto& command : node.outbox().takeCommands()) runCommand(to, command);
    }
  }
  void runCommand(int from, Command& command) {
    if (auto* send = std::get_if<Send>(&command)) {
      for (int index = 0; index <= kFront; ++index)
        if (machineAddress(index) == send->to)
          queue_.push_back(
              {index, MessageReceived{machineAddress(from), std::move(send->message)}});
    } else if (auto* broadcast = std::get_if<Broadcast>(&command)) {
      for (const auto& to : broadcast->to) {
        Command one = Send{to, *broadcast->message};
        runCommand(from, one);
      }
    } else if (auto* write = std::get_if<WriteFile>(&command)) {
      FileWritten written{write->ticket, true};
      if (holdingWrites_.contains(from)) heldWrites_[from].push_back(written);
      else queue_.push_back({from, written});
    } else if (auto* web = std::get_if<AnswerHttp>(&command)) {
      answers_[web->ticket] = *web;
    }
  }

  Options options_;
  MonotonicTime now_ = at(100);
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<int> dead_, holdingWrites_;
  std::map<int, std::vector<FileWritten>> heldWrites_;
  std::deque<std::pair<int, Event>> queue_;
  std::map<TicketId, AnswerHttp> answers_;
  std::uint64_t lastTicket_ = 0;
};

/// A change to a configuration that contains only its version and the id of the change.
inline std::string replaceChangeBody(const char* id, int base, int version) {
  return Json{{"changeId", id},
              {"kind", "replace"},
              {"basedOnVersion", base},
              {"config", {{"version", version}, {"by", id}}}}
      .dump();
}

inline Json bodyOf(const AnswerHttp& web) { return Json::parse(web.body, nullptr, false); }

}  // namespace peppergate
