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
  void operator()(const DropOlder& command) const { world.dropOlder(process, command); }
  void operator()(const CallWeb& command) const { world.callWeb(process, command); }
  void operator()(const OpenShot& command) const { world.openShot(process, command); }
  void operator()(const CancelShot& command) const { world.cancelShot(process, command.shot); }
  void operator()(const StartAnswer& command) const { world.callers().started(command); }
  void operator()(const SendPiece& command) const { world.callers().piece(command); }
  void operator()(const EndAnswer& command) const { world.callers().ended(command); }
  void operator()(const DeclineStream& command) const { world.callers().declined(command); }
  void operator()(const AnswerWeb& command) const { world.answeredOperator(command); }
  void operator()(const NoteState& command) const { world.noteState(process, command); }
  /// Commands of the other interface aren't expected here.
  template <class Other>
  void operator()(const Other&) const {
    process.node->outbox().count("commands.unknown");
  }
};

void World::runCommands(SimProcess& process) {
  for (const auto& command : process.node->outbox().take())
    std::visit(CommandRunner{*this, process}, command);
}

std::string World::hostAt(const Address& address) {
  if (SimEngine* engine = engineAt(address)) return engine->host;
  return "platform";
}

void World::callWeb(SimProcess& process, const CallWeb& command) {
  std::uint64_t life = process.life;
  auto answer = [this, &process, life](Duration delay, WebAnswered result) {
    after(delay, [this, &process, life, result] {
      if (process.life == life) deliver(process, result);
    });
  };
  std::string host = hostAt(command.address);
  if (process.local(now()) >= command.writeBefore) {
    answer(Duration{1}, {command.ticket, 0, {}});
    return;
  }
  if (!reachable(process.host, host)) {
    answer(command.timeout, {command.ticket, 0, {}});
    return;
  }
  SimEngine* engine = engineAt(command.address);
  if (engine != nullptr && !engine->alive) {
    answer(latency(), {command.ticket, 0, {}});
    return;
  }
  after(latency(), [this, command, host, answer, &process] {
    SimEngine* target = engineAt(command.address);
    bool there = reachable(process.host, host) && (target == nullptr || target->alive);
    if (!there) {
      answer(command.timeout, {command.ticket, 0, {}});
      return;
    }
    WebAnswered result = answerWeb(host, command);
    Duration delay = latency();
    if (target != nullptr && command.path == "/kept") {
      delay = delay + target->reportDelay;
      if (target->reportsOff) result.status = 503;
    }
    if (delay > command.timeout) result = {command.ticket, 0, {}};
    answer(delay, result);
  });
}

WebAnswered World::answerWeb(const std::string& host, const CallWeb& command) {
  WebAnswered result{command.ticket, 200, {}};
  if (host == "platform") {
    result.body = listText();
    return result;
  }
  EngineModel& model = *engineAt(command.address)->model;
  if (command.path == "/health") result.body = model.health().dump();
  else if (command.path == "/kept") result.body = model.kept().dump();
  else if (command.path == "/order")
    result.status = model.order(Json::parse(command.body), now()).status;
  else result.status = 404;
  return result;
}

void World::change(Json body, bool retry, const std::string& tenant, const std::string& key) {
  SimChange change;
  change.id = "change-" + std::to_string(changes_.size() + 1);
  change.body = std::move(body);
  change.asked = change.nextTry = now();
  change.retry = retry;
  change.tenant = tenant;
  change.key = key;
  changes_.push_back(std::move(change));
}

void World::askOperators() {
  for (auto& change : changes_) {
    if (!change.outcome.empty() || now() < change.nextTry) continue;
    if (change.tries >= 150) {
      change.outcome = "no-answer";
      continue;
    }
    std::vector<SimProcess*> candidates;
    for (auto& process : processes_)
      if (process->alive && process->role == Role::kFront) candidates.push_back(process.get());
    if (candidates.empty()) continue;
    SimProcess& target = *candidates[random_.below(candidates.size())];
    change.nextTry = now() + seconds(4);
    ++change.tries;
    change.lastAsked = now();
    Json body = change.body;
    body["changeId"] = change.id;
    bool base = !body["kind"].get<std::string>().starts_with("key");
    if (base && !body.contains("basedOn")) {
      const SectionVersions& have = static_cast<FrontNode&>(*target.node).follower().have();
      body["basedOn"] = versionText(body["kind"] == "weights" ? have.weights : have.setup);
      if (!change.retry)
        change.body["basedOn"] = body["basedOn"];  // a racing change keeps its base version
    }
    change.ticket = ++lastTicket_;
    deliver(target, OperatorRequest{{change.ticket}, "POST", "/change", body.dump()});
  }
}

void World::answeredOperator(const AnswerWeb& answer) {
  for (auto& change : changes_) {
    if (change.ticket != answer.ticket.value || !change.outcome.empty()) continue;
    Json body = Json::parse(answer.body);
    std::string outcome = body.value("outcome", "?");
    bool again =
        answer.status == 503 || answer.status == 504 || (outcome == "stale" && change.retry);
    if (again) {
      change.nextTry = now() + milliseconds(300 + static_cast<std::int64_t>(random_.below(400)));
      return;
    }
    change.outcome = outcome;
    if (outcome != "done") return;
    change.done = now();
    std::string version = body["version"];
    auto dot = version.find('.');
    change.version = {{std::stoull(version.substr(0, dot))},
                      {std::stoull(version.substr(dot + 1))}};
    if (change.body["kind"] == "weights") namedToEngines({0});
    if (change.body["kind"] == "apply")
      for (const auto& [tenant, entry] : change.body["setup"]["tenants"].items())
        for (auto& engine : engines_)
          engine->model->walled(tenant, {entry["parameters"]["wall"].get<std::string>()}, now());
    if (change.body["kind"] == "stamp")
      for (auto& engine : engines_)
        engine->model->walled(change.body["tenant"],
                              {change.body["parameters"]["wall"].get<std::string>()}, now());
    return;
  }
}

void World::namedToEngines(WeightsVersion) {
  // The engine models learn the acknowledged version from the operator, not from the fleet.
  std::uint64_t version = 1;
  for (const auto& change : changes_)
    if (change.outcome == "done" && change.body["kind"] == "weights") ++version;
  for (auto& engine : engines_) engine->model->named({version}, now());
}

}  // namespace peppergate
