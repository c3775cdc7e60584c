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
  void operator()(const DropOlder& command) const { world.dropOlder(process, command); }
  void operator()(const ListEngines& command) const { world.listEngines(process, command); }
  void operator()(const AskReport& command) const {
    world.callEngine<ReportAnswered>(process, command.address, command.timeout, kForever,
                                     {command.ticket, 0, {}},
                                     [ticket = command.ticket](RouterEngine& engine) {
                                       return ReportAnswered{ticket, 200, engine.model->report()};
                                     });
  }
  void operator()(const OrderWeights& command) const {
    auto ask = [world = &world, command](RouterEngine& engine) {
      return OrderAnswered{command.ticket,
                           engine.model->order(command, world->scenario().fenced, world->now())};
    };
    world.callEngine<OrderAnswered>(process, command.address, command.timeout, command.writeBefore,
                                    {command.ticket, OrderOutcome::kUnknown}, ask);
  }
  void operator()(const PollParts& command) const {
    auto ask = [world = &world, command](RouterEngine& engine) {
      PartsPolled answer = engine.model->poll(command.since, world->now());
      answer.ticket = command.ticket;
      return answer;
    };
    PartsPolled none;
    none.ticket = command.ticket;
    world.callEngine<PartsPolled>(process, command.address, command.timeout, kForever, none, ask);
  }
  void operator()(const ListParts& command) const {
    auto ask = [world = &world, command](RouterEngine& engine) {
      PartsListed answer = engine.model->list(world->now());
      answer.ticket = command.ticket;
      return answer;
    };
    PartsListed none;
    none.ticket = command.ticket;
    world.callEngine<PartsListed>(process, command.address, command.timeout, kForever, none, ask);
  }
  void operator()(const OpenAttempt& command) const { world.openAttempt(process, command); }
  void operator()(const CancelAttempt& command) const {
    world.cancelAttempt(process, command.attempt);
  }
  void operator()(const PauseAttempt& command) const { world.pauseAttempt(process, command); }
  void operator()(const AnswerHead& command) const { world.clients().head(command); }
  void operator()(const AnswerBody& command) const { world.clients().body(command); }
  void operator()(const AnswerDone& command) const { world.clients().done(command); }
  void operator()(const RefuseRequest& command) const { world.clients().refused(command); }
  void operator()(const AnswerWeb& command) const { world.operators().answered(command); }
  void operator()(const NoteState& command) const { world.noteState(process, command); }
  /// Other commands belong to fronts of the streams interface; a fleet of routers has none.
  template <class Other>
  void operator()(const Other&) const {
    world.checker().fail("unknown-command", process.host);
  }
};

void RouterWorld::runCommands(RouterProcess& process) {
  for (const auto& command : process.node->outbox().take())
    std::visit(RouterCommandRunner{*this, process}, command);
}

template <class Answer>
void RouterWorld::callEngine(RouterProcess& process, const Address& address, Duration timeout,
                             MonotonicTime writeBefore, Answer none,
                             std::function<Answer(RouterEngine&)> ask) {
  auto give = [this, &process, life = process.life](Duration delay, Answer answer) {
    after(delay, [this, &process, life, answer = std::move(answer)] {
      if (process.life == life) deliver(process, answer);
    });
  };
  if (process.local(now()) >= writeBefore) {
    if constexpr (std::is_same_v<Answer, OrderAnswered>) none.outcome = OrderOutcome::kNotWritten;
    return give(Duration{1}, std::move(none));
  }
  RouterEngine* engine = engineAt(address);
  if (engine == nullptr || engine->dark || !reachable(process.host, engine->host))
    return give(timeout, std::move(none));
  if (!engine->alive) return give(latency(), std::move(none));
  after(latency(), [this, engine, give, timeout, none, ask, host = process.host] {
    if (!engine->alive || engine->dark || !reachable(host, engine->host))
      return give(timeout, none);
    Answer answer = ask(*engine);
    bool lost = random_.fraction() < network_.loss();
    if (lost) give(timeout, none);
    else give(latency(), std::move(answer));
  });
}

void RouterWorld::noteList() {
  std::vector<Engine> list;
  for (auto& engine : engines_) {
    if (engine->store || !engine->listed) continue;
    Engine entry;
    entry.id = engine->model->id();
    entry.service = engine->service;
    entry.address = engine->address;
    entry.zone = engine->zone;
    entry.slots = engine->model->options().slots;
    entry.draining = engine->draining;
    entry.models = engine->model->models();
    list.push_back(std::move(entry));
  }
  // Past lists are kept so that readers get one of the age of the platform's list.
  if (lists_.empty() || lists_.back().second != list) lists_.emplace_back(now(), std::move(list));
  while (lists_.size() > 1 && lists_[1].first + kListLag <= now()) {
    lists_.pop_front();
    for (auto& engine : engines_)
      for (const auto& entry : lists_.front().second)
        if (entry.id == engine->model->id() && entry.draining)
          engine->drainingSince = std::min(engine->drainingSince, now());
  }
}

void RouterWorld::listEngines(RouterProcess& process, const ListEngines& command) {
  auto give = [this, &process, life = process.life](Duration delay, EnginesListed answer) {
    after(delay, [this, &process, life, answer = std::move(answer)] {
      if (process.life == life) deliver(process, answer);
    });
  };
  EnginesListed answer;
  answer.ticket = command.ticket;
  if (listDown_ || !reachable(process.host, "platform")) return give(command.timeout, answer);
  while (!listCalls_.empty() && now() - listCalls_.front() >= seconds(1)) listCalls_.pop_front();
  if (static_cast<double>(listCalls_.size()) >= options_.listRate) {
    answer.status = 429;
    return give(latency(), answer);
  }
  listCalls_.push_back(now());
  answer.status = 200;
  const auto& list = lists_.front().second;
  std::size_t from = command.page.empty() ? 0 : std::strtoull(command.page.c_str(), nullptr, 10);
  for (std::size_t index = from; index < std::min(list.size(), from + kPageSize); ++index)
    answer.engines.push_back(list[index]);
  if (from + kPageSize < list.size()) answer.nextPage = std::to_string(from + kPageSize);
  give(latency() + latency(), answer);
}

}  // namespace peppergate
