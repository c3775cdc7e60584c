// The configuration through whole machines: three cores and a front that talk without delay.
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/core_node.h"
#include "core/front_node.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

constexpr int kCores = 3;
constexpr int kFront = kCores;  // the index of the front

Address addressOf(int index) { return {"10.0.0." + std::to_string(index + 1) + ":1"}; }

/// Machines, their disks and the messages between them, on a clock of its own.
class Machines {
 public:
  Machines() {
    for (int index = 0; index <= kFront; ++index) {
      MemberRecord self;
      self.member = {static_cast<std::uint64_t>(100 + index)};
      self.address = self.pages = addressOf(index);
      self.role = index == kFront ? Role::kFront : Role::kCore;
      DiskFound disk;
      disk.files["identity"] = identityFile({static_cast<std::uint64_t>(1 + index)});
      std::vector<Address> seeds{addressOf(0)};
      Bootstrap bootstrap;
      if (index == 0) bootstrap.cores = kCores;
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
      for (int index = 0; index <= kFront; ++index) step(index, Ticked{});
  }

  /// Asks a page of one machine and waits for the answer. Example: `ask(0, "GET", "/config")`.
  AnswerWeb ask(int index, const std::string& method, const std::string& path,
                const std::string& body = "") {
    TicketId ticket = send(index, method, path, body);
    for (int turn = 0; turn < 200 && !answers_.contains(ticket); ++turn) run(0.05);
    return answers_.contains(ticket) ? answers_.at(ticket) : AnswerWeb{ticket, 0, {}, ""};
  }
  TicketId send(int index, const std::string& method, const std::string& path,
                const std::string& body = "") {
    TicketId ticket{++lastTicket_};
    now_ = now_ + milliseconds(1);  // a request takes some time to come
    step(index, OperatorRequest{ticket, method, path, body});
    return ticket;
  }
  const AnswerWeb* answerTo(TicketId ticket) const {
    auto found = answers_.find(ticket);
    return found == answers_.end() ? nullptr : &found->second;
  }

  std::optional<int> primary() const {
    for (int index = 0; index < kCores; ++index)
      if (!dead_.contains(index) &&
          static_cast<CoreNode&>(*nodes_[static_cast<std::size_t>(index)]).leadership().names(now_))
        return index;
    return std::nullopt;
  }
  void kill(int index) { dead_.insert(index); }

 private:
  void step(int index, const Event& event) {
    queue_.push_back({index, event});
    while (!queue_.empty()) {
      auto [to, next] = std::move(queue_.front());
      queue_.pop_front();
      if (dead_.contains(to)) continue;
      Node& node = *nodes_[static_cast<std::size_t>(to)];
      node.step(next, now_);
      for (auto& command : node.outbox().take()) carryOut(to, command);
    }
  }
  void carryOut(int from, Command& command) {
    if (auto* send = std::get_if<Send>(&command)) {
      for (int index = 0; index <= kFront; ++index)
        if (addressOf(index) == send->to)
          queue_.push_back({index, Arrived{addressOf(from), std::move(send->message)}});
    } else if (auto* write = std::get_if<WriteFile>(&command)) {
      queue_.push_back({from, FileWritten{write->ticket, true}});
    } else if (auto* web = std::get_if<AnswerWeb>(&command)) {
      answers_[web->ticket] = *web;
    }
  }

  Options options_;
  MonotonicTime now_ = at(100);
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<int> dead_;
  std::deque<std::pair<int, Event>> queue_;
  std::map<TicketId, AnswerWeb> answers_;
  std::uint64_t lastTicket_ = 0;
};

std::string change(const char* id, int base, int version) {
  return Json{{"changeId", id},
              {"kind", "replace"},
              {"basedOnVersion", base},
              {"config", {{"version", version}, {"by", id}}}}
      .dump();
}

Json bodyOf(const AnswerWeb& web) { return Json::parse(web.body, nullptr, false); }

}  // namespace

TEST_GROUP(ConfigCores) {
  Machines machines;
  void settle() {
    for (int turn = 0; turn < 100 && !machines.primary(); ++turn) machines.run(0.1);
    CHECK(machines.primary().has_value());
    machines.run(2);  // until there is a backup and the front is in touch
  }
};

TEST(ConfigCores, WhatIsAcknowledgedIsReadBackAtEveryListener) {
  settle();
  for (int index = 0; index <= kFront; ++index)
    LONGS_EQUAL(404, machines.ask(index, "GET", "/config").status);
  LONGS_EQUAL(200, machines.ask(kFront, "POST", "/change", change("a", 0, 5)).status);
  for (int index = 0; index <= kFront; ++index) {
    AnswerWeb web = machines.ask(index, "GET", "/config");
    LONGS_EQUAL(200, web.status);
    STRCMP_EQUAL(R"({"config":{"by":"a","version":5},"version":5})", web.body.c_str());
  }
  // The primary needs no question.
  TicketId ticket = machines.send(*machines.primary(), "GET", "/config");
  CHECK(machines.answerTo(ticket) != nullptr && machines.answerTo(ticket)->status == 200);
}

TEST(ConfigCores, TwoAtOnceOnOneBaseAreOneDoneAndOneStale) {
  settle();
  LONGS_EQUAL(200, machines.ask(0, "POST", "/change", change("a", 0, 5)).status);
  TicketId one = machines.send(1, "POST", "/change", change("b", 5, 7));
  TicketId other = machines.send(kFront, "POST", "/change", change("c", 5, 9));
  machines.run(3);
  const AnswerWeb *first = machines.answerTo(one), *second = machines.answerTo(other);
  CHECK(first != nullptr && second != nullptr);
  LONGS_EQUAL(200 + 409, first->status + second->status);
  const AnswerWeb& stale = first->status == 409 ? *first : *second;
  int newest = first->status == 409 ? 9 : 7;
  LONGS_EQUAL(newest, bodyOf(stale)["newest"].get<int>());
  LONGS_EQUAL(newest, bodyOf(machines.ask(2, "GET", "/config"))["version"].get<int>());
  LONGS_EQUAL(200, machines.ask(2, "POST", "/change", change("a", 0, 5)).status);  // again
}

TEST(ConfigCores, ARepeatedOrderWaitsForRoutersAfterAChangeOfLeader) {
  settle();
  LONGS_EQUAL(200, machines.ask(0, "POST", "/change", change("a", 0, 5)).status);
  machines.kill(kFront);  // not counted as dead yet: it may act on an older proof
  machines.kill(*machines.primary());
  for (int turn = 0; turn < 100 && !machines.primary(); ++turn) machines.run(0.05);
  CHECK(machines.primary().has_value());
  TicketId ticket = machines.send(*machines.primary(), "POST", "/change", change("a", 0, 5));
  machines.run(1);
  CHECK(machines.answerTo(ticket) == nullptr);
  machines.run(2);
  CHECK(machines.answerTo(ticket) != nullptr && machines.answerTo(ticket)->status == 200);
}

TEST(ConfigCores, AChangeAndAReadingOutlastAPrimary) {
  settle();
  LONGS_EQUAL(200, machines.ask(0, "POST", "/change", change("a", 0, 5)).status);
  int lost = *machines.primary();
  machines.kill(lost);
  TicketId ticket = machines.send(kFront, "POST", "/change", change("b", 5, 7));
  machines.run(5);
  CHECK(machines.primary().has_value());
  CHECK(machines.answerTo(ticket) != nullptr);
  LONGS_EQUAL(200, machines.answerTo(ticket)->status);
  LONGS_EQUAL(7, bodyOf(machines.ask(kFront, "GET", "/config"))["version"].get<int>());
}
