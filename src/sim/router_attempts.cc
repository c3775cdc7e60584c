// Attempts of routers at engines: connections, runs and faulty responses.
#include <algorithm>

#include "sim/router_checker.h"
#include "sim/router_clients.h"
#include "sim/router_world.h"

namespace peppergate {
namespace {

constexpr double kGarbled = 0.3;  // share of faulty responses of an engine with a response fault

std::shared_ptr<const WireHead> wireHead(int status) {
  auto head = std::make_shared<WireHead>();
  head->status = status;
  return head;
}

AttemptTurned bare(AttemptTurn turn) {
  AttemptTurned turned;
  turned.turn = turn;
  return turned;
}

std::uint64_t idOf(const RouterRun& run, std::uint64_t event) {
  auto tokens = static_cast<std::uint64_t>(run.run.tokensOut);
  return std::min(event * static_cast<std::uint64_t>(run.engine->model->options().stride), tokens);
}

std::string runName(const RouterRun& run) {
  return run.engine->model->id().value + "." + std::to_string(run.run.number);
}

}  // namespace

RouterEngine* RouterWorld::engineAt(const Address& address) {
  for (auto& engine : engines_)
    if (engine->address == address) return engine.get();
  return nullptr;
}

void RouterWorld::turn(const RunPointer& run, AttemptTurned turned) {
  if (run->over) return;
  if (run->paused) return run->waiting.push_back(std::move(turned));
  bool last = turned.turn == AttemptTurn::kEnded || turned.turn == AttemptTurn::kBroken ||
              turned.turn == AttemptTurn::kNotWritten;
  bool local = turned.turn == AttemptTurn::kNotWritten || turned.turn == AttemptTurn::kWritten;
  if (!local && !reachable(run->process->host, run->engine->host)) {
    run->over = true;  // the connection hangs: the router receives nothing more
    return;
  }
  turned.attempt = run->open.attempt;
  if (last) run->over = true;
  MonotonicTime at = std::max(now() + (local ? Duration{1} : latency()), run->lastTurn);
  run->lastTurn = at;
  after(at - now(), [this, run, turned = std::move(turned)] {
    if (run->process->life != run->processLife) return;
    deliver(*run->process, turned);
    if (run->over) runs_.erase({run->process, run->open.attempt.value});
  });
}

void RouterWorld::openAttempt(RouterProcess& process, const OpenAttempt& command) {
  auto run = std::make_shared<RouterRun>();
  run->process = &process;
  run->processLife = process.life;
  run->open = command;
  run->engine = engineAt(command.address);
  ClientRequest* request = clients_->find(command.clientId);
  if (run->engine == nullptr || request == nullptr)
    return checker_->fail("attempt-nowhere", command.address.value);
  run->asked = request->asked;
  request->engineBroke = false;  // from now on this attempt decides how the request ends
  request->attempt = run;
  run->engineLife = run->engine->life;
  runs_[{&process, command.attempt.value}] = run;
  allRuns_.push_back(run);
  bool there = reachable(process.host, run->engine->host);
  bool kept = random_.below(2) == 0;  // an idle connection is reused
  if (!run->engine->alive || ((run->engine->dark || !there) && !kept)) {
    Duration wait = run->engine->alive || !there ? command.connectTimeout : latency();
    after(wait, [this, run] {
      if (!run->over) turn(run, bare(AttemptTurn::kNotWritten));
    });
    return;
  }
  after(kept ? Duration{1} : latency() + latency(), [this, run] {
    auto writes = [this, run] {
      if (run->over || run->process->life != run->processLife) return;
      if (run->process->local(now()) >= run->open.writeBefore)
        return turn(run, bare(AttemptTurn::kNotWritten));
      turn(run, bare(AttemptTurn::kWritten));
      checker_->wrote(*run, *clients_->find(run->open.clientId));
      bool lost = run->engine->dark || !reachable(run->process->host, run->engine->host);
      if (lost) {  // no response and no error
        clients_->find(run->open.clientId)->engineBroke = true;
        return;
      }
      after(latency(), [this, run] { arrive(run); });
    };
    // A frozen process continues once it thaws.
    if (run->process->frozen) run->process->held.push_back(writes);
    else writes();
  });
}

void RouterWorld::arrive(const RunPointer& run) {
  RouterEngine& engine = *run->engine;
  if (!engine.alive || engine.life != run->engineLife) {
    // The connection ended with the process, unless a restarted one listens at the address.
    if (!engine.alive || random_.below(2) == 0) return turn(run, bare(AttemptTurn::kBroken));
    run->engineLife = engine.life;
  }
  BatchVerdict verdict = engine.model->take(run->open, run->asked, now(), run->run);
  if (verdict != BatchVerdict::kTaken) return declineRun(run, verdict);
  run->taken = true;
  run->garbles = !engine.garble.empty() && random_.fraction() < kGarbled;
  checker_->took(*run, *clients_->find(run->open.clientId));
  BatchEngine* source = nullptr;
  if (run->open.collectFrom) {
    RouterEngine* keeper = engineAt(*run->open.collectFrom);
    if (keeper != nullptr && keeper->alive && !keeper->dark) source = keeper->model.get();
  }
  Duration first = engine.model->read(run->run, source, 1, now()) * engine.slow;
  if (run->open.depositAt) {
    after(first, [this, run] {
      RouterEngine* store = engineAt(*run->open.depositAt);
      if (store != nullptr && store->store && store->alive && run->taken)
        store->model->keep(run->run.salt, run->run.model, run->run.parts, run->run.version,
                           run->run.tenant.value, now());
    });
  }
  // The engine stops a run at its caller's deadline.
  after(run->open.timeLeft, [this, run] {
    if (run->taken) breakOff(run);
  });
  if (run->open.stream) return after(first, [this, run] { streamNext(run); });
  double events = static_cast<double>(run->run.last);
  after(first + engine.model->pace() * (events * engine.slow), [this, run] { answerWhole(run); });
}

void RouterWorld::declineRun(const RunPointer& run, BatchVerdict verdict) {
  bool busy = verdict == BatchVerdict::kFull || verdict == BatchVerdict::kLoading;
  AttemptTurned head = headOf(run, busy ? 503 : 421, false);
  head.notRun = true;
  if (verdict == BatchVerdict::kOtherEngine) {
    head.versions.clear();
    head.load.reset();
  }
  turn(run, head);
  after(Duration{2000}, [this, run] { turn(run, bare(AttemptTurn::kEnded)); });
}

AttemptTurned RouterWorld::headOf(const RunPointer& run, int status, bool success) const {
  AttemptTurned head;
  head.turn = AttemptTurn::kHead;
  head.head = wireHead(status);
  head.success = success;
  head.load = run->engine->model->load();
  head.versions = run->engine->model->models();
  return head;
}

void RouterWorld::leaveEngine(const RunPointer& run) {
  if (!run->taken) return;
  run->taken = false;
  if (run->engine->life == run->engineLife) run->engine->model->ended(run->run);
}

void RouterWorld::breakOff(const RunPointer& run) {
  if (ClientRequest* request = clients_->find(run->open.clientId)) request->engineBroke = true;
  leaveEngine(run);
  turn(run, bare(AttemptTurn::kBroken));
}

void RouterWorld::answerWhole(const RunPointer& run) {
  if (!run->taken) return;
  const std::string& garble = run->engine->garble;
  if (run->garbles && (garble == "lost" || garble == "foreign" || garble == "short"))
    return breakOff(run);  // the connection's reader rejects the malformed or foreign response
  if (run->garbles) clients_->find(run->open.clientId)->engineBroke = true;
  if (run->garbles && (garble == "fails" || garble == "busy")) {
    leaveEngine(run);
    turn(run, headOf(run, garble == "busy" ? 503 : 500, false));
    after(Duration{2000}, [this, run] { turn(run, bare(AttemptTurn::kEnded)); });
    return;
  }
  bool stamped = !(run->garbles && garble == "unstamped");
  leaveEngine(run);
  turn(run, headOf(run, 200, stamped));
  after(Duration{2000}, [this, run] {
    AttemptTurned body;
    body.turn = AttemptTurn::kBody;
    body.bytes = "whole " + run->open.clientId + " " + runName(*run) + "\n";
    turn(run, body);
  });
  after(Duration{4000}, [this, run] { turn(run, bare(AttemptTurn::kEnded)); });
}

void RouterWorld::streamNext(const RunPointer& run) {
  if (!run->taken) return;
  const std::string& garble = run->engine->garble;
  if (run->garbles) clients_->find(run->open.clientId)->engineBroke = true;
  if (run->events == 0) {
    bool stamped = true;
    if (run->garbles) {
      if (garble == "lost" || garble == "foreign") return breakOff(run);
      if (garble == "fails" || garble == "busy") return answerWhole(run);
      stamped = garble != "unstamped";
    }
    run->engine->model->began(run->run, now());
    turn(run, headOf(run, 200, stamped));
    // Fault: a run that the router resumes at another engine skips an event.
    bool joined = run->open.resumeAfter && run->open.resumeAfter != run->asked.resumeAfter;
    if (run->garbles && garble == "skip" && joined) ++run->run.next;
  }
  ++run->events;
  if (run->garbles && garble == "short" && run->events > 2) return breakOff(run);
  std::uint64_t event = std::min(run->run.next, run->run.last);
  bool repeats = run->garbles && garble == "repeat" && run->events == 3 && event > 1;
  if (repeats) --event;
  AttemptTurned body;
  body.turn = AttemptTurn::kBody;
  body.firstEvent = body.lastEvent = idOf(*run, event);
  body.bytes = "event " + run->open.clientId + " " + runName(*run) + " " +
               std::to_string(idOf(*run, event - 1)) + " " + std::to_string(*body.lastEvent) + "\n";
  turn(run, body);
  if (!repeats) ++run->run.next;
  if (run->run.next > run->run.last) {
    leaveEngine(run);
    after(Duration{3000}, [this, run] { turn(run, bare(AttemptTurn::kEnded)); });
    return;
  }
  after(run->engine->model->pace() * run->engine->slow, [this, run] { streamNext(run); });
}

void RouterWorld::pauseAttempt(RouterProcess& process, const PauseAttempt& command) {
  auto found = runs_.find({&process, command.attempt.value});
  if (found == runs_.end()) return;
  RunPointer run = found->second;
  run->paused = command.paused;
  if (!run->paused)
    for (auto& turned : std::exchange(run->waiting, {})) turn(run, std::move(turned));
}

void RouterWorld::cancelAttempt(RouterProcess& process, AttemptId attempt) {
  auto found = runs_.find({&process, attempt.value});
  if (found == runs_.end()) return;
  RunPointer run = found->second;
  runs_.erase(found);
  run->over = true;
  after(latency(), [this, run] {
    if (reachable(run->process->host, run->engine->host)) leaveEngine(run);
  });
}

void RouterWorld::endRuns(const std::function<bool(const RouterRun&)>& which) {
  for (auto& weak : std::exchange(allRuns_, {})) {
    RunPointer run = weak.lock();
    if (run == nullptr || (run->over && !run->taken)) continue;
    if (which(*run) && run->taken) breakOff(run);
    else allRuns_.push_back(run);
  }
}

}  // namespace peppergate
