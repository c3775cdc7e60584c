// Executes the nodes' commands: files, HTTP calls, attempts and answers.
#include <algorithm>

#include "sim/callers.h"
#include "sim/checker.h"
#include "sim/world.h"

namespace peppergate {

/// Dispatches each command of a process to the world.
struct CommandRunner {
  World& world;
  SimProcess& process;
  void operator()(const Send& command) const { world.send(process, command); }
  void operator()(const Broadcast& command) const { world.broadcast(process, command); }
  void operator()(const WriteFile& command) const { world.write(process, command); }
  void operator()(const RemoveOlderFiles& command) const {
    world.removeOlderFiles(process, command);
  }
  void operator()(const CallHttp& command) const { world.callHttp(process, command); }
  void operator()(const OpenStreamAttempt& command) const { world.openAttempt(process, command); }
  void operator()(const CancelStreamAttempt& command) const {
    world.cancelAttempt(process, command.attempt);
  }
  void operator()(const StartStreamAnswer& command) const { world.callers().handleStart(command); }
  void operator()(const SendPiece& command) const { world.callers().handlePiece(command); }
  void operator()(const EndStreamAnswer& command) const { world.callers().handleEnd(command); }
  void operator()(const DeclineStream& command) const { world.callers().handleDecline(command); }
  void operator()(const AnswerHttp& command) const { world.handleChangeReply(command); }
  void operator()(const LogState& command) const { world.printLog(process, command); }
  /// Commands of the other interface aren't expected here.
  template <class Other>
  void operator()(const Other&) const {
    process.node->outbox().count("commands.unknown");
  }
};

void World::runCommands(SimProcess& process) {
  for (const auto& command : process.node->outbox().takeCommands())
    std::visit(CommandRunner{*this, process}, command);
}

std::string World::hostAt(const Address& address) {
  if (SimEngine* engine = engineByAddress(address)) return engine->host;
  return "platform";
}

void World::callHttp(SimProcess& process, const CallHttp& command) {
  std::uint64_t incarnation = process.incarnation;
  auto answer = [this, &process, incarnation](Duration delay, HttpCallAnswered result) {
    scheduleAfter(delay, [this, &process, incarnation, result] {
      if (process.incarnation == incarnation) deliver(process, result);
    });
  };
  std::string host = hostAt(command.address);
  if (process.localTime(now()) >= command.writeDeadline) {
    answer(Duration{1}, {command.ticket, 0, {}});
    return;
  }
  if (!reachable(process.host, host)) {
    answer(command.timeout, {command.ticket, 0, {}});
    return;
  }
  SimEngine* engine = engineByAddress(command.address);
  if (engine != nullptr && !engine->alive) {
    answer(drawLatency(), {command.ticket, 0, {}});
    return;
  }
  scheduleAfter(drawLatency(), [this, command, host, answer, &process] {
    SimEngine* target = engineByAddress(command.address);
    bool there = reachable(process.host, host) && (target == nullptr || target->alive);
    if (!there) {
      answer(command.timeout, {command.ticket, 0, {}});
      return;
    }
    HttpCallAnswered result = answerHttp(host, command);
    Duration delay = drawLatency();
    if (target != nullptr && command.path == "/kept") {
      delay = delay + target->reportDelay;
      if (target->reportsDisabled) result.status = 503;
    }
    if (delay > command.timeout) result = {command.ticket, 0, {}};
    answer(delay, result);
  });
}

HttpCallAnswered World::answerHttp(const std::string& host, const CallHttp& command) {
  HttpCallAnswered result{command.ticket, 200, {}};
  if (host == "platform") {
    result.body = engineListJson();
    return result;
  }
  EngineModel& model = *engineByAddress(command.address)->model;
  if (command.path == "/health") result.body = model.health().dump();
  else if (command.path == "/kept") result.body = model.cacheReport().dump();
  else if (command.path == "/order")
    result.status = model.order(Json::parse(command.body), now()).status;
  else result.status = 404;
  return result;
}

void World::requestChange(Json body, bool retry, const std::string& tenant,
                          const std::string& key) {
  SimChange change;
  change.id = "change-" + std::to_string(changes_.size() + 1);
  change.body = std::move(body);
  change.requestedAt = change.nextAttemptAt = now();
  change.retriesIfStale = retry;
  change.tenant = tenant;
  change.key = key;
  changes_.push_back(std::move(change));
}

void World::sendDueChanges() {
  for (auto& change : changes_) {
    if (!change.outcome.empty() || now() < change.nextAttemptAt) continue;
    if (change.attempts >= 150) {
      change.outcome = "no-answer";
      continue;
    }
    std::vector<SimProcess*> candidates;
    for (auto& process : processes_)
      if (process->alive && process->role == Role::kRouter) candidates.push_back(process.get());
    if (candidates.empty()) continue;
    SimProcess& target = *candidates[random_.below(candidates.size())];
    change.nextAttemptAt = now() + seconds(4);
    ++change.attempts;
    change.lastAttemptAt = now();
    Json body = change.body;
    body["changeId"] = change.id;
    bool needsBase = !body["kind"].get<std::string>().starts_with("key");
    if (needsBase && !body.contains("basedOn")) {
      const SectionVersions& versions =
          static_cast<FrontNode&>(*target.node).follower().installedVersions();
      body["basedOn"] = versionText(body["kind"] == "weights" ? versions.weights : versions.setup);
      if (!change.retriesIfStale)
        change.body["basedOn"] = body["basedOn"];  // a racing change keeps its base version
    }
    change.ticket = ++lastTicket_;
    deliver(target, OperatorRequest{{change.ticket}, "POST", "/change", body.dump()});
  }
}

void World::handleChangeReply(const AnswerHttp& answer) {
  for (auto& change : changes_) {
    if (change.ticket != answer.ticket.value || !change.outcome.empty()) continue;
    Json body = Json::parse(answer.body);
    std::string outcome = body.value("outcome", "?");
    bool retryLater = answer.status == 503 || answer.status == 504 ||
                      (outcome == "stale" && change.retriesIfStale);
    if (retryLater) {
      change.nextAttemptAt =
          now() + milliseconds(300 + static_cast<std::int64_t>(random_.below(400)));
      return;
    }
    change.outcome = outcome;
    if (outcome != "done") return;
    change.acknowledgedAt = now();
    std::string version = body["version"];
    auto dot = version.find('.');
    change.version = {{std::stoull(version.substr(0, dot))},
                      {std::stoull(version.substr(dot + 1))}};
    if (change.body["kind"] == "weights") notifyEnginesOfWeights({0});
    if (change.body["kind"] == "apply")
      for (const auto& [tenant, entry] : change.body["setup"]["tenants"].items())
        for (auto& engine : engines_)
          engine->model->noteAcknowledgedDomain(
              tenant, {entry["parameters"]["wall"].get<std::string>()}, now());
    if (change.body["kind"] == "stamp")
      for (auto& engine : engines_)
        engine->model->noteAcknowledgedDomain(
            change.body["tenant"], {change.body["parameters"]["wall"].get<std::string>()}, now());
    return;
  }
}

void World::notifyEnginesOfWeights(WeightsVersion) {
  // The engine models learn the acknowledged version from the operator, not from the fleet.
  std::uint64_t version = 1;
  for (const auto& change : changes_)
    if (change.outcome == "done" && change.body["kind"] == "weights") ++version;
  for (auto& engine : engines_) engine->model->noteAcknowledgedWeights({version}, now());
}

}  // namespace peppergate
