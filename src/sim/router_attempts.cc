// Attempts of routers at engines: connections, runs and faulty responses.
#include <algorithm>

#include "sim/router_checker.h"
#include "sim/router_clients.h"
#include "sim/router_world.h"

namespace peppergate {
namespace {

constexpr double kResponseFaultShare =
    0.3;  // share of faulty responses of an engine with a response fault

std::shared_ptr<const WireHead> wireHead(int status) {
  auto head = std::make_shared<WireHead>();
  head->status = status;
  return head;
}

AttemptEvent attemptEvent(AttemptEventKind kind) {
  AttemptEvent event;
  event.kind = kind;
  return event;
}

std::uint64_t eventId(const RouterAttempt& attempt, std::uint64_t event) {
  auto tokens = static_cast<std::uint64_t>(attempt.engineRun.tokensOut);
  return std::min(event * static_cast<std::uint64_t>(attempt.engine->batchEngine->options().stride),
                  tokens);
}

std::string runName(const RouterAttempt& attempt) {
  return attempt.engine->batchEngine->id().value + "." + std::to_string(attempt.engineRun.number);
}

}  // namespace

RouterEngine* RouterWorld::engineByAddress(const Address& address) {
  for (auto& engine : engines_)
    if (engine->address == address) return engine.get();
  return nullptr;
}

void RouterWorld::sendAttemptEvent(const AttemptPointer& attempt, AttemptEvent event) {
  if (attempt->closed) return;
  if (attempt->paused) return attempt->heldEvents.push_back(std::move(event));
  bool isLast = event.kind == AttemptEventKind::kComplete ||
                event.kind == AttemptEventKind::kBroken ||
                event.kind == AttemptEventKind::kNotWritten;
  bool isLocal =
      event.kind == AttemptEventKind::kNotWritten || event.kind == AttemptEventKind::kWritten;
  if (!isLocal && !reachable(attempt->process->host, attempt->engine->host)) {
    attempt->closed = true;  // the connection hangs: the router receives nothing more
    return;
  }
  event.attempt = attempt->command.attempt;
  if (isLast) attempt->closed = true;
  MonotonicTime at =
      std::max(now() + (isLocal ? Duration{1} : drawLatency()), attempt->lastDelivery);
  attempt->lastDelivery = at;
  scheduleAfter(at - now(), [this, attempt, event = std::move(event)] {
    if (attempt->process->incarnation != attempt->processIncarnation) return;
    deliver(*attempt->process, event);
    if (attempt->closed) attempts_.erase({attempt->process, attempt->command.attempt.value});
  });
}

void RouterWorld::openAttempt(RouterProcess& process, const OpenAttempt& command) {
  auto attempt = std::make_shared<RouterAttempt>();
  attempt->process = &process;
  attempt->processIncarnation = process.incarnation;
  attempt->command = command;
  attempt->engine = engineByAddress(command.address);
  ClientRequest* request = clients_->find(command.clientId);
  if (attempt->engine == nullptr || request == nullptr)
    return checker_->fail("attempt-nowhere", command.address.value);
  attempt->arrival = request->arrival;
  request->engineFailed = false;  // from now on this attempt decides how the request ends
  request->attempt = attempt;
  attempt->engineIncarnation = attempt->engine->incarnation;
  attempts_[{&process, command.attempt.value}] = attempt;
  allAttempts_.push_back(attempt);
  bool engineReachable = reachable(process.host, attempt->engine->host);
  bool reusesConnection = random_.below(2) == 0;  // an idle connection is reused
  if (!attempt->engine->alive ||
      ((attempt->engine->unreachable || !engineReachable) && !reusesConnection)) {
    Duration wait =
        attempt->engine->alive || !engineReachable ? command.connectTimeout : drawLatency();
    scheduleAfter(wait, [this, attempt] {
      if (!attempt->closed) sendAttemptEvent(attempt, attemptEvent(AttemptEventKind::kNotWritten));
    });
    return;
  }
  scheduleAfter(reusesConnection ? Duration{1} : drawLatency() + drawLatency(), [this, attempt] {
    auto writeRequest = [this, attempt] {
      if (attempt->closed || attempt->process->incarnation != attempt->processIncarnation) return;
      if (attempt->process->localTime(now()) >= attempt->command.writeBefore)
        return sendAttemptEvent(attempt, attemptEvent(AttemptEventKind::kNotWritten));
      sendAttemptEvent(attempt, attemptEvent(AttemptEventKind::kWritten));
      checker_->handleAttemptWritten(*attempt, *clients_->find(attempt->command.clientId));
      bool lost =
          attempt->engine->unreachable || !reachable(attempt->process->host, attempt->engine->host);
      if (lost) {  // no response and no error
        clients_->find(attempt->command.clientId)->engineFailed = true;
        return;
      }
      scheduleAfter(drawLatency(), [this, attempt] { beginRun(attempt); });
    };
    // A frozen process continues once it thaws.
    if (attempt->process->frozen) attempt->process->queuedWhileFrozen.push_back(writeRequest);
    else writeRequest();
  });
}

void RouterWorld::beginRun(const AttemptPointer& attempt) {
  RouterEngine& engine = *attempt->engine;
  if (!engine.alive || engine.incarnation != attempt->engineIncarnation) {
    // The connection ended with the process, unless a restarted one listens at the address.
    if (!engine.alive || random_.below(2) == 0)
      return sendAttemptEvent(attempt, attemptEvent(AttemptEventKind::kBroken));
    attempt->engineIncarnation = engine.incarnation;
  }
  BatchAdmission admission =
      engine.batchEngine->admit(attempt->command, attempt->arrival, now(), attempt->engineRun);
  if (admission != BatchAdmission::kAccepted) return declineAttempt(attempt, admission);
  attempt->running = true;
  attempt->faulty = !engine.responseFault.empty() && random_.fraction() < kResponseFaultShare;
  checker_->handleAttemptAccepted(*attempt, *clients_->find(attempt->command.clientId));
  BatchEngine* source = nullptr;
  if (attempt->command.collectFrom) {
    RouterEngine* sourceEngine = engineByAddress(*attempt->command.collectFrom);
    if (sourceEngine != nullptr && sourceEngine->alive && !sourceEngine->unreachable)
      source = sourceEngine->batchEngine.get();
  }
  Duration firstEventDelay =
      engine.batchEngine->prefill(attempt->engineRun, source, 1, now()) * engine.slowdown;
  if (attempt->command.depositAt) {
    scheduleAfter(firstEventDelay, [this, attempt] {
      RouterEngine* store = engineByAddress(*attempt->command.depositAt);
      if (store != nullptr && store->isStore && store->alive && attempt->running)
        store->batchEngine->insertBlocks(
            attempt->engineRun.salt, attempt->engineRun.model, attempt->engineRun.promptBlocks,
            attempt->engineRun.version, attempt->engineRun.tenant.value, now());
    });
  }
  // The engine stops a run at its caller's deadline.
  scheduleAfter(attempt->command.timeLeft, [this, attempt] {
    if (attempt->running) breakConnection(attempt);
  });
  if (attempt->command.stream)
    return scheduleAfter(firstEventDelay, [this, attempt] { sendNextEvent(attempt); });
  double events = static_cast<double>(attempt->engineRun.lastEvent);
  scheduleAfter(firstEventDelay + engine.batchEngine->eventInterval() * (events * engine.slowdown),
                [this, attempt] { sendWholeResponse(attempt); });
}

void RouterWorld::declineAttempt(const AttemptPointer& attempt, BatchAdmission admission) {
  bool busy = admission == BatchAdmission::kFull || admission == BatchAdmission::kLoading;
  AttemptEvent head = responseHead(attempt, busy ? 503 : 421, false);
  head.notRun = true;
  if (admission == BatchAdmission::kWrongEngine) {
    head.versions.clear();
    head.load.reset();
  }
  sendAttemptEvent(attempt, head);
  scheduleAfter(Duration{2000}, [this, attempt] {
    sendAttemptEvent(attempt, attemptEvent(AttemptEventKind::kComplete));
  });
}

AttemptEvent RouterWorld::responseHead(const AttemptPointer& attempt, int status,
                                       bool success) const {
  AttemptEvent head;
  head.kind = AttemptEventKind::kHead;
  head.head = wireHead(status);
  head.success = success;
  head.load = attempt->engine->batchEngine->load();
  head.versions = attempt->engine->batchEngine->models();
  return head;
}

void RouterWorld::endRun(const AttemptPointer& attempt) {
  if (!attempt->running) return;
  attempt->running = false;
  if (attempt->engine->incarnation == attempt->engineIncarnation)
    attempt->engine->batchEngine->endRun(attempt->engineRun);
}

void RouterWorld::breakConnection(const AttemptPointer& attempt) {
  if (ClientRequest* request = clients_->find(attempt->command.clientId))
    request->engineFailed = true;
  endRun(attempt);
  sendAttemptEvent(attempt, attemptEvent(AttemptEventKind::kBroken));
}

void RouterWorld::sendWholeResponse(const AttemptPointer& attempt) {
  if (!attempt->running) return;
  const std::string& fault = attempt->engine->responseFault;
  if (attempt->faulty && (fault == "lost" || fault == "foreign" || fault == "short"))
    return breakConnection(
        attempt);  // the connection's reader rejects the malformed or foreign response
  if (attempt->faulty) clients_->find(attempt->command.clientId)->engineFailed = true;
  if (attempt->faulty && (fault == "fails" || fault == "busy")) {
    endRun(attempt);
    sendAttemptEvent(attempt, responseHead(attempt, fault == "busy" ? 503 : 500, false));
    scheduleAfter(Duration{2000}, [this, attempt] {
      sendAttemptEvent(attempt, attemptEvent(AttemptEventKind::kComplete));
    });
    return;
  }
  bool stamped = !(attempt->faulty && fault == "unstamped");
  endRun(attempt);
  sendAttemptEvent(attempt, responseHead(attempt, 200, stamped));
  scheduleAfter(Duration{2000}, [this, attempt] {
    AttemptEvent body;
    body.kind = AttemptEventKind::kBody;
    body.bytes = "whole " + attempt->command.clientId + " " + runName(*attempt) + "\n";
    sendAttemptEvent(attempt, body);
  });
  scheduleAfter(Duration{4000}, [this, attempt] {
    sendAttemptEvent(attempt, attemptEvent(AttemptEventKind::kComplete));
  });
}

void RouterWorld::sendNextEvent(const AttemptPointer& attempt) {
  if (!attempt->running) return;
  const std::string& fault = attempt->engine->responseFault;
  if (attempt->faulty) clients_->find(attempt->command.clientId)->engineFailed = true;
  if (attempt->sentEvents == 0) {
    bool stamped = true;
    if (attempt->faulty) {
      if (fault == "lost" || fault == "foreign") return breakConnection(attempt);
      if (fault == "fails" || fault == "busy") return sendWholeResponse(attempt);
      stamped = fault != "unstamped";
    }
    attempt->engine->batchEngine->recordFirstEvent(attempt->engineRun, now());
    sendAttemptEvent(attempt, responseHead(attempt, 200, stamped));
    // Fault: a run that the router resumes at another engine skips an event.
    bool resumed = attempt->command.resumeAfterEventId &&
                   attempt->command.resumeAfterEventId != attempt->arrival.resumeAfterEventId;
    if (attempt->faulty && fault == "skip" && resumed) ++attempt->engineRun.nextEvent;
  }
  ++attempt->sentEvents;
  if (attempt->faulty && fault == "short" && attempt->sentEvents > 2)
    return breakConnection(attempt);
  std::uint64_t event = std::min(attempt->engineRun.nextEvent, attempt->engineRun.lastEvent);
  bool repeats = attempt->faulty && fault == "repeat" && attempt->sentEvents == 3 && event > 1;
  if (repeats) --event;
  AttemptEvent body;
  body.kind = AttemptEventKind::kBody;
  body.firstEventId = body.lastEventId = eventId(*attempt, event);
  body.bytes = "event " + attempt->command.clientId + " " + runName(*attempt) + " " +
               std::to_string(eventId(*attempt, event - 1)) + " " +
               std::to_string(*body.lastEventId) + "\n";
  sendAttemptEvent(attempt, body);
  if (!repeats) ++attempt->engineRun.nextEvent;
  if (attempt->engineRun.nextEvent > attempt->engineRun.lastEvent) {
    endRun(attempt);
    scheduleAfter(Duration{3000}, [this, attempt] {
      sendAttemptEvent(attempt, attemptEvent(AttemptEventKind::kComplete));
    });
    return;
  }
  scheduleAfter(attempt->engine->batchEngine->eventInterval() * attempt->engine->slowdown,
                [this, attempt] { sendNextEvent(attempt); });
}

void RouterWorld::pauseAttempt(RouterProcess& process, const PauseAttempt& command) {
  auto found = attempts_.find({&process, command.attempt.value});
  if (found == attempts_.end()) return;
  AttemptPointer attempt = found->second;
  attempt->paused = command.paused;
  if (!attempt->paused)
    for (auto& event : std::exchange(attempt->heldEvents, {}))
      sendAttemptEvent(attempt, std::move(event));
}

void RouterWorld::cancelAttempt(RouterProcess& process, AttemptId id) {
  auto found = attempts_.find({&process, id.value});
  if (found == attempts_.end()) return;
  AttemptPointer attempt = found->second;
  attempts_.erase(found);
  attempt->closed = true;
  scheduleAfter(drawLatency(), [this, attempt] {
    if (reachable(attempt->process->host, attempt->engine->host)) endRun(attempt);
  });
}

void RouterWorld::breakAttempts(const std::function<bool(const RouterAttempt&)>& affected) {
  for (auto& weak : std::exchange(allAttempts_, {})) {
    AttemptPointer attempt = weak.lock();
    if (attempt == nullptr || (attempt->closed && !attempt->running)) continue;
    if (affected(*attempt) && attempt->running) breakConnection(attempt);
    else allAttempts_.push_back(attempt);
  }
}

}  // namespace peppergate
