#pragma once
// Simulated engines that load weights when ordered, with a leader's engine discovery and rollout on
// simulated time.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "engines/rollout.h"
#include "tests/testing.h"

namespace peppergate {

inline const ModelName kModel{"m"};

/// An engine that loads weights when ordered. Its reports and its list entry are delayed.
struct FakeEngine {
  Engine listed;
  WeightsVersion version{1};
  std::uint64_t fence = 0, calls = 0;
  MonotonicTime busyUntil = kNever, lastOrder = kNever;
  WeightsVersion coming;
  std::string lastHolder;
  bool silent = false;                         // its answers are lost; orders still arrive
  bool deaf = false;                           // orders and report requests don't arrive
  OrderOutcome forced = OrderOutcome::kTaken;  // any other value is the answer to every order
  MonotonicTime runsUntil = kNever;  // end of its running requests, for which a load waits
  std::vector<LoadMode> modes;
  std::deque<std::pair<MonotonicTime, EngineReport>> past;  // reports by time, for delayed answers
  EngineReport report() const {
    EngineReport report;
    report.models[kModel] = version;
    report.busy = coming.value != 0;
    report.callCount = calls;
    return report;
  }
};

struct Answer {
  MonotonicTime due;
  Event event;
};

/// A leader's engine discovery and rollout, and the simulated engines.
struct EnginesWorld {
  explicit EnginesWorld(int count, int zones = 4) {
    for (int index = 0; index < count; ++index)
      add("e" + std::to_string(100 + index), index % zones);
  }
  void add(const std::string& id, int zone, std::uint64_t version = 1) {
    FakeEngine engine;
    engine.listed.id = {id};
    engine.listed.service = {"s"};
    engine.listed.address = {id + ":1"};
    engine.listed.zone = {"z" + std::to_string(zone)};
    engine.listed.models[kModel] = engine.version = {version};
    engines[engine.listed.id] = engine;
  }
  static MemberRecord record() {
    MemberRecord record;
    record.member = {1};
    record.address = {"core:1"};
    record.role = Role::kCore;
    return record;
  }
  FakeEngine* at(const Address& address) {
    for (auto& [id, engine] : engines)
      if (engine.listed.address == address) return &engine;
    return nullptr;
  }
  /// Number of engines that are loading, without those that still wait for running requests.
  std::size_t loadingNow() const {
    return static_cast<std::size_t>(std::ranges::count_if(engines, [&](const auto& entry) {
      return entry.second.coming.value != 0 && now >= entry.second.runsUntil;
    }));
  }
  OrderOutcome take(FakeEngine& engine, const OrderWeights& order) {
    if (engine.lastHolder != order.holder && !engine.lastHolder.empty())
      leastGap = std::min(leastGap, now - engine.lastOrder);
    engine.lastHolder = order.holder;
    engine.lastOrder = now;
    engine.modes.push_back(order.mode);
    ++orders;
    if (engine.forced != OrderOutcome::kTaken) return engine.forced;
    if (order.fence < engine.fence) return OrderOutcome::kFenced;
    engine.fence = order.fence;
    if (order.expectedCalls && *order.expectedCalls != engine.calls) return OrderOutcome::kBusy;
    if (engine.coming.value != 0) return OrderOutcome::kBusy;
    if (engine.version >= order.version) return OrderOutcome::kHolds;
    ++engine.calls;
    engine.coming = order.version;
    MonotonicTime from = order.mode == LoadMode::kWait ? std::max(now, engine.runsUntil) : now;
    double slower = std::pow(std::max(1.0, static_cast<double>(loadingNow()) / 3), slowing);
    engine.busyUntil = from + loadTime * slower;
    return OrderOutcome::kTaken;
  }
  void run(const ListEngines& list) {
    EnginesListed page{list.ticket, 200, {}, {}};
    for (const auto& [id, engine] : engines) {
      page.engines.push_back(engine.listed);
      if (now - engine.busyUntil > seconds(0.8) && engine.busyUntil != kNever)
        page.engines.back().models[kModel] = engine.version;
    }
    later.push_back({now + milliseconds(5), page});
  }
  void run(const AskReport& ask) {
    FakeEngine* engine = at(ask.address);
    ReportAnswered answer{ask.ticket, 0, {}};
    if (!engine || engine->silent || engine->deaf) {
      later.push_back({now + ask.timeout, answer});
      return;
    }
    answer.status = 200;
    answer.report = engine->report();
    for (const auto& [when, report] : engine->past)
      if (now - when >= reportsLag) answer.report = report;
    later.push_back({now + milliseconds(5), answer});
  }
  void run(const OrderWeights& order) {
    CHECK(now < order.writeBefore);
    FakeEngine* engine = at(order.address);
    OrderAnswered answer{order.ticket, OrderOutcome::kUnknown};
    bool arrives = engine && !engine->deaf;
    OrderOutcome outcome = OrderOutcome::kUnknown;
    if (arrives)
      outcome =
          engine->listed.id == order.engine ? take(*engine, order) : OrderOutcome::kOtherEngine;
    bool lost = !arrives || engine->silent;
    if (!lost) answer.outcome = outcome;
    later.push_back({now + (lost ? order.timeout : milliseconds(5)), answer});
  }
  void step(Lister& lister, Rollout& rollout) {
    for (auto& [id, engine] : engines) {
      if (engine.coming.value != 0 && now >= engine.busyUntil)
        engine.version = std::exchange(engine.coming, {});
      engine.past.push_back({now, engine.report()});
      if (engine.past.size() > 50) engine.past.pop_front();
    }
    std::vector<Answer> due;
    std::erase_if(later, [&](const Answer& answer) {
      if (answer.due > now) return false;
      due.push_back(answer);
      return true;
    });
    for (const auto& answer : due) {
      if (auto* page = std::get_if<EnginesListed>(&answer.event)) lister.listed(*page, now, outbox);
      if (auto* report = std::get_if<ReportAnswered>(&answer.event))
        rollout.answered(*report, now, outbox);
      if (auto* order = std::get_if<OrderAnswered>(&answer.event))
        rollout.answered(*order, now, outbox);
    }
    lister.tick(leads, epoch, now, outbox);
    rollout.tick(leads, epoch, now + seconds(0.9), weights, holder, now, outbox);
    for (const auto& command : outbox.take()) {
      if (auto* list = std::get_if<ListEngines>(&command)) run(*list);
      if (auto* ask = std::get_if<AskReport>(&command)) run(*ask);
      if (auto* order = std::get_if<OrderWeights>(&command)) run(*order);
    }
    mostAtOnce = std::max(mostAtOnce, loadingNow());
    now = now + milliseconds(20);
  }
  /// Runs until the rollout is done or the time is reached.
  void run(double until) { run(until, lister, rollout); }
  void run(double until, Lister& withLister, Rollout& withRollout) {
    while (now < peppergate::at(until)) {
      step(withLister, withRollout);
      if (stopWhenDone && withRollout.done()) return;
    }
  }
  bool all(std::uint64_t version) const {
    return std::ranges::all_of(
        engines, [&](const auto& entry) { return entry.second.version.value == version; });
  }

  Options options = quick();
  static Options quick() {
    Options options;
    options.listRate = 47;
    return options;
  }
  Random random{7};
  Membership membership{options, record(), {}, random};
  Lister lister{options, membership, random};
  Rollout rollout{options, lister};
  Outbox outbox;
  std::map<EngineId, FakeEngine> engines;
  std::vector<Answer> later;
  Weights weights{{}, {}, {{kModel, {2}}}};
  MonotonicTime now = peppergate::at(0);
  bool leads = true, stopWhenDone = true;
  Epoch epoch{1};
  std::string holder = "core-1";
  Duration loadTime = seconds(1.1);
  Duration reportsLag;
  double slowing = 1;  // exponent by which more than three concurrent loads slow each other
  Duration leastGap = seconds(1000);
  std::size_t mostAtOnce = 0;
  int orders = 0;
};

}  // namespace peppergate
