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
  bool losesAnswers = false;  // its answers are lost; orders still arrive
  bool unreachable = false;   // orders and report requests don't arrive
  LoadOrderOutcome forcedOutcome =
      LoadOrderOutcome::kAccepted;       // any other value is the answer to every order
  MonotonicTime requestsEndAt = kNever;  // end of its running requests, for which a load waits
  std::vector<LoadMode> modes;
  std::deque<std::pair<MonotonicTime, EngineReport>>
      pastReports;  // reports by time, for delayed answers
  EngineReport report() const {
    EngineReport report;
    report.models[kModel] = version;
    report.busy = coming.value != 0;
    report.callCount = calls;
    return report;
  }
};

struct ScheduledAnswer {
  MonotonicTime due;
  Event event;
};

/// A leader's engine discovery and rollout, and the simulated engines.
struct RolloutSimulation {
  explicit RolloutSimulation(int count, int zones = 4) {
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
  FakeEngine* engineAt(const Address& address) {
    for (auto& [id, engine] : engines)
      if (engine.listed.address == address) return &engine;
    return nullptr;
  }
  /// Number of engines that are loading, without those that still wait for running requests.
  std::size_t loadingCount() const {
    return static_cast<std::size_t>(std::ranges::count_if(engines, [&](const auto& entry) {
      return entry.second.coming.value != 0 && now >= entry.second.requestsEndAt;
    }));
  }
  LoadOrderOutcome handleOrder(FakeEngine& engine, const OrderWeightsLoad& order) {
    if (engine.lastHolder != order.holder && !engine.lastHolder.empty())
      shortestHolderGap = std::min(shortestHolderGap, now - engine.lastOrder);
    engine.lastHolder = order.holder;
    engine.lastOrder = now;
    engine.modes.push_back(order.mode);
    ++orders;
    if (engine.forcedOutcome != LoadOrderOutcome::kAccepted) return engine.forcedOutcome;
    if (order.fencingToken < engine.fence) return LoadOrderOutcome::kFenced;
    engine.fence = order.fencingToken;
    if (order.expectedCallCount && *order.expectedCallCount != engine.calls)
      return LoadOrderOutcome::kBusy;
    if (engine.coming.value != 0) return LoadOrderOutcome::kBusy;
    if (engine.version >= order.version) return LoadOrderOutcome::kAlreadyLoaded;
    ++engine.calls;
    engine.coming = order.version;
    MonotonicTime from =
        order.mode == LoadMode::kDrainRequests ? std::max(now, engine.requestsEndAt) : now;
    double slower =
        std::pow(std::max(1.0, static_cast<double>(loadingCount()) / 3), slowdownExponent);
    engine.busyUntil = from + loadTime * slower;
    return LoadOrderOutcome::kAccepted;
  }
  void run(const ListEngines& list) {
    EnginesListed page{list.ticket, 200, {}, {}};
    for (const auto& [id, engine] : engines) {
      page.engines.push_back(engine.listed);
      if (now - engine.busyUntil > seconds(0.8) && engine.busyUntil != kNever)
        page.engines.back().models[kModel] = engine.version;
    }
    scheduled.push_back({now + milliseconds(5), page});
  }
  void run(const RequestEngineReport& ask) {
    FakeEngine* engine = engineAt(ask.address);
    EngineReportAnswered answer{ask.ticket, 0, {}};
    if (!engine || engine->losesAnswers || engine->unreachable) {
      scheduled.push_back({now + ask.timeout, answer});
      return;
    }
    answer.status = 200;
    answer.report = engine->report();
    for (const auto& [when, report] : engine->pastReports)
      if (now - when >= reportDelay) answer.report = report;
    scheduled.push_back({now + milliseconds(5), answer});
  }
  void run(const OrderWeightsLoad& order) {
    CHECK(now < order.writeBefore);
    FakeEngine* engine = engineAt(order.address);
    WeightsLoadAnswered answer{order.ticket, LoadOrderOutcome::kUnknown};
    bool arrives = engine && !engine->unreachable;
    LoadOrderOutcome outcome = LoadOrderOutcome::kUnknown;
    if (arrives)
      outcome = engine->listed.id == order.engine ? handleOrder(*engine, order)
                                                  : LoadOrderOutcome::kWrongEngine;
    bool lost = !arrives || engine->losesAnswers;
    if (!lost) answer.outcome = outcome;
    scheduled.push_back({now + (lost ? order.timeout : milliseconds(5)), answer});
  }
  void step(EngineDiscovery& discovery, Rollout& rollout) {
    for (auto& [id, engine] : engines) {
      if (engine.coming.value != 0 && now >= engine.busyUntil)
        engine.version = std::exchange(engine.coming, {});
      engine.pastReports.push_back({now, engine.report()});
      if (engine.pastReports.size() > 50) engine.pastReports.pop_front();
    }
    std::vector<ScheduledAnswer> due;
    std::erase_if(scheduled, [&](const ScheduledAnswer& answer) {
      if (answer.due > now) return false;
      due.push_back(answer);
      return true;
    });
    for (const auto& answer : due) {
      if (auto* page = std::get_if<EnginesListed>(&answer.event))
        discovery.handlePage(*page, now, outbox);
      if (auto* report = std::get_if<EngineReportAnswered>(&answer.event))
        rollout.handle(*report, now, outbox);
      if (auto* order = std::get_if<WeightsLoadAnswered>(&answer.event))
        rollout.handle(*order, now, outbox);
    }
    discovery.tick(isLeader, epoch, now, outbox);
    rollout.tick(isLeader, epoch, now + seconds(0.9), weights, holder, now, outbox);
    for (const auto& command : outbox.takeCommands()) {
      if (auto* list = std::get_if<ListEngines>(&command)) run(*list);
      if (auto* ask = std::get_if<RequestEngineReport>(&command)) run(*ask);
      if (auto* order = std::get_if<OrderWeightsLoad>(&command)) run(*order);
    }
    maxConcurrentLoads = std::max(maxConcurrentLoads, loadingCount());
    now = now + milliseconds(20);
  }
  /// Runs until the rollout is done or the time is reached.
  void run(double until) { run(until, discovery, rollout); }
  void run(double until, EngineDiscovery& withDiscovery, Rollout& withRollout) {
    while (now < peppergate::at(until)) {
      step(withDiscovery, withRollout);
      if (stopWhenDone && withRollout.done()) return;
    }
  }
  bool allOnVersion(std::uint64_t version) const {
    return std::ranges::all_of(
        engines, [&](const auto& entry) { return entry.second.version.value == version; });
  }

  Options options = withHighListRate();
  static Options withHighListRate() {
    Options options;
    options.listRate = 47;
    return options;
  }
  Random random{7};
  Membership membership{options, record(), {}, random};
  EngineDiscovery discovery{options, membership, random};
  Rollout rollout{options, discovery};
  Outbox outbox;
  std::map<EngineId, FakeEngine> engines;
  std::vector<ScheduledAnswer> scheduled;
  Weights weights{{}, {}, {{kModel, {2}}}};
  MonotonicTime now = peppergate::at(0);
  bool isLeader = true, stopWhenDone = true;
  Epoch epoch{1};
  std::string holder = "core-1";
  Duration loadTime = seconds(1.1);
  Duration reportDelay;
  double slowdownExponent =
      1;  // exponent by which more than three concurrent loads slow each other
  Duration shortestHolderGap = seconds(1000);
  std::size_t maxConcurrentLoads = 0;
  int orders = 0;
};

}  // namespace peppergate
