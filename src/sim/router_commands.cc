// Runs the commands of processes: messages, files, calls to the platform and to engines.
#include <algorithm>

#include "sim/router_checker.h"
#include "sim/router_clients.h"
#include "sim/router_operators.h"
#include "sim/router_world.h"

namespace peppergate {

namespace {
constexpr std::size_t kPageSize = 4;         // engines on a page of the platform's list
constexpr Duration kListLag = seconds(0.6);  // the platform returns a list of this age
}  // namespace

/// Dispatches each command to the part of the simulation that runs it.
struct RouterCommandRunner {
  RouterWorld& world;
  RouterProcess& process;
  void operator()(const Send& command) const { world.send(process, command); }
  void operator()(const Broadcast& command) const { world.broadcast(process, command); }
  void operator()(const WriteFile& command) const { world.write(process, command); }
  void operator()(const RemoveOlderFiles& command) const {
    world.removeOlderFiles(process, command);
  }
  void operator()(const ListEngines& command) const { world.listEngines(process, command); }
  void operator()(const RequestEngineReport& command) const {
    world.callEngine<EngineReportAnswered>(
        process, command.address, command.timeout, kForever, {command.ticket, 0, {}},
        [ticket = command.ticket](RouterEngine& engine) {
          return EngineReportAnswered{ticket, 200, engine.batchEngine->report()};
        });
  }
  void operator()(const OrderWeightsLoad& command) const {
    auto handler = [world = &world, command](RouterEngine& engine) {
      return WeightsLoadAnswered{command.ticket,
                                 engine.batchEngine->handleLoadOrder(
                                     command, world->scenario().checksFencingToken, world->now())};
    };
    world.callEngine<WeightsLoadAnswered>(process, command.address, command.timeout,
                                          command.writeBefore,
                                          {command.ticket, LoadOrderOutcome::kUnknown}, handler);
  }
  void operator()(const PollPrefixBlocks& command) const {
    auto handler = [world = &world, command](RouterEngine& engine) {
      PrefixBlocksPolled answer = engine.batchEngine->pollBlocks(command.since, world->now());
      answer.ticket = command.ticket;
      return answer;
    };
    PrefixBlocksPolled failure;
    failure.ticket = command.ticket;
    world.callEngine<PrefixBlocksPolled>(process, command.address, command.timeout, kForever,
                                         failure, handler);
  }
  void operator()(const ListPrefixBlocks& command) const {
    auto handler = [world = &world, command](RouterEngine& engine) {
      PrefixBlocksListed answer = engine.batchEngine->listBlocks(world->now());
      answer.ticket = command.ticket;
      return answer;
    };
    PrefixBlocksListed failure;
    failure.ticket = command.ticket;
    world.callEngine<PrefixBlocksListed>(process, command.address, command.timeout, kForever,
                                         failure, handler);
  }
  void operator()(const OpenAttempt& command) const { world.openAttempt(process, command); }
  void operator()(const CancelAttempt& command) const {
    world.cancelAttempt(process, command.attempt);
  }
  void operator()(const PauseAttempt& command) const { world.pauseAttempt(process, command); }
  void operator()(const ForwardResponseHead& command) const { world.clients().handleHead(command); }
  void operator()(const ForwardResponseBody& command) const { world.clients().handleBody(command); }
  void operator()(const FinishResponse& command) const { world.clients().handleFinished(command); }
  void operator()(const RejectRequest& command) const { world.clients().handleRejected(command); }
  void operator()(const AnswerHttp& command) const { world.operators().handleAnswer(command); }
  void operator()(const LogState& command) const { world.printLog(process, command); }
  /// Other commands belong to fronts of the streams interface; a fleet of routers has none.
  template <class Other>
  void operator()(const Other&) const {
    world.checker().fail("unknown-command", process.host);
  }
};

void RouterWorld::runCommands(RouterProcess& process) {
  for (const auto& command : process.node->outbox().takeCommands())
    std::visit(RouterCommandRunner{*this, process}, command);
}

template <class Answer>
void RouterWorld::callEngine(RouterProcess& process, const Address& address, Duration timeout,
                             MonotonicTime writeBefore, Answer failure,
                             std::function<Answer(RouterEngine&)> handler) {
  auto reply = [this, &process, incarnation = process.incarnation](Duration delay, Answer answer) {
    scheduleAfter(delay, [this, &process, incarnation, answer = std::move(answer)] {
      if (process.incarnation == incarnation) deliver(process, answer);
    });
  };
  if (process.localTime(now()) >= writeBefore) {
    if constexpr (std::is_same_v<Answer, WeightsLoadAnswered>)
      failure.outcome = LoadOrderOutcome::kNotWritten;
    return reply(Duration{1}, std::move(failure));
  }
  RouterEngine* engine = engineByAddress(address);
  if (engine == nullptr || engine->unreachable || !reachable(process.host, engine->host))
    return reply(timeout, std::move(failure));
  if (!engine->alive) return reply(drawLatency(), std::move(failure));
  scheduleAfter(drawLatency(),
                [this, engine, reply, timeout, failure, handler, host = process.host] {
                  if (!engine->alive || engine->unreachable || !reachable(host, engine->host))
                    return reply(timeout, failure);
                  Answer answer = handler(*engine);
                  bool lost = random_.fraction() < network_.lossShare();
                  if (lost) reply(timeout, failure);
                  else reply(drawLatency(), std::move(answer));
                });
}

void RouterWorld::recordEngineList() {
  std::vector<Engine> list;
  for (auto& engine : engines_) {
    if (engine->isStore || !engine->listed) continue;
    Engine entry;
    entry.id = engine->batchEngine->id();
    entry.service = engine->service;
    entry.address = engine->address;
    entry.zone = engine->zone;
    entry.slots = engine->batchEngine->options().slots;
    entry.draining = engine->draining;
    entry.models = engine->batchEngine->models();
    list.push_back(std::move(entry));
  }
  // Past lists are kept so that readers get one of the age of the platform's list.
  if (engineLists_.empty() || engineLists_.back().second != list)
    engineLists_.emplace_back(now(), std::move(list));
  while (engineLists_.size() > 1 && engineLists_[1].first + kListLag <= now()) {
    engineLists_.pop_front();
    for (auto& engine : engines_)
      for (const auto& entry : engineLists_.front().second)
        if (entry.id == engine->batchEngine->id() && entry.draining)
          engine->drainingSince = std::min(engine->drainingSince, now());
  }
}

void RouterWorld::listEngines(RouterProcess& process, const ListEngines& command) {
  auto reply = [this, &process, incarnation = process.incarnation](Duration delay,
                                                                   EnginesListed answer) {
    scheduleAfter(delay, [this, &process, incarnation, answer = std::move(answer)] {
      if (process.incarnation == incarnation) deliver(process, answer);
    });
  };
  EnginesListed answer;
  answer.ticket = command.ticket;
  if (listUnavailable_ || !reachable(process.host, "platform"))
    return reply(command.timeout, answer);
  while (!listCalls_.empty() && now() - listCalls_.front() >= seconds(1)) listCalls_.pop_front();
  if (static_cast<double>(listCalls_.size()) >= options_.listRate) {
    answer.status = 429;
    return reply(drawLatency(), answer);
  }
  listCalls_.push_back(now());
  answer.status = 200;
  const auto& list = engineLists_.front().second;
  std::size_t from = command.page.empty() ? 0 : std::strtoull(command.page.c_str(), nullptr, 10);
  for (std::size_t index = from; index < std::min(list.size(), from + kPageSize); ++index)
    answer.engines.push_back(list[index]);
  if (from + kPageSize < list.size()) answer.nextPage = std::to_string(from + kPageSize);
  reply(drawLatency() + drawLatency(), answer);
}

}  // namespace peppergate
