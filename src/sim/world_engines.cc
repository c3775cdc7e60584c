// Attempts in flight, the engines' generation, and prefix fetches over shared links.
#include <algorithm>

#include "sim/callers.h"
#include "sim/checker.h"
#include "sim/world.h"

namespace peppergate {

void World::openAttempt(SimProcess& process, const OpenStreamAttempt& command) {
  auto run = std::make_shared<EngineRun>();
  run->process = &process;
  run->processIncarnation = process.incarnation;
  run->attempt = command.attempt;
  Headers headers;
  for (const auto& [name, value] : command.headers) {
    std::string lower = name;
    std::ranges::transform(lower, lower.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
    headers[lower] = value;
  }
  run->request = parseRun(headers, command.body);
  run->request.listUnreachable = now() - process.listUnreachableAt < seconds(3);
  for (std::size_t index = 0; index < engines_.size(); ++index)
    if (engines_[index]->address == command.address) run->engine = index;
  SimEngine& engine = *engines_[run->engine];
  run->engineIncarnation = engine.incarnation;
  runs_.push_back(run);
  if (process.localTime(now()) >= command.writeDeadline) {
    endRun(run, StreamAttemptEventKind::kNotWritten);
    return;
  }
  if (!reachable(process.host, engine.host)) {
    scheduleAfter(milliseconds(500),
                  [this, run] { endRun(run, StreamAttemptEventKind::kNotWritten); });
    return;
  }
  if (!engine.alive) {
    scheduleAfter(drawLatency(), [this, run] { endRun(run, StreamAttemptEventKind::kNotWritten); });
    return;
  }
  scheduleAfter(drawLatency(), [this, run] {
    if (run->ended) return;
    sendAttemptEvent(run, {run->attempt, StreamAttemptEventKind::kWritten, {}, {}, {}, 0});
    scheduleAfter(drawLatency(), [this, run] { beginRun(run); });
  });
}

void World::beginRun(const std::shared_ptr<EngineRun>& run) {
  SimEngine& engine = *engines_[run->engine];
  if (!reachable(run->process->host, engine.host)) return;  // the bytes never arrive
  if (!engine.alive || engine.incarnation != run->engineIncarnation) {
    endRun(run, StreamAttemptEventKind::kBroken);
    return;
  }
  // A cancellation by the caller doesn't recall bytes that were already sent.
  auto response = engine.model->begin(run->request, now());
  if (response.status != 200) {
    if (!run->ended) endRun(run, StreamAttemptEventKind::kDeclined, response.status);
    return;
  }
  run->request.runId = engine.model->newRunId();
  run->fetchRate = 0;
  Duration fetchTime{};
  SimEngine* source = engineByAddress(run->request.fetchSource);
  if (source != nullptr && source->alive && reachable(engine.host, source->host)) {
    double megabytes = 0;
    for (const auto& name : engine.model->missingBlocks(run->request)) {
      const EngineCacheBlock* block = source->model->findBlock(name);
      if (block == nullptr) continue;  // not at the source any more: it is computed instead
      for (const auto& promptPart : run->request.parts)
        if (promptPart.name == name)
          megabytes += static_cast<double>(promptPart.characters) * 200 / 1e6;
      engine.model->addFetchedBlock(*block);
    }
    if (megabytes > 0) {
      run->fetchRate = run->request.fetchRate;
      run->linkFetchRates = {&engine.fetchRate, &source->fetchRate};
      if (source->entry.rack != engine.entry.rack) {
        for (const auto& rack : {source->entry.rack, engine.entry.rack})
          if (!rack.empty()) run->linkFetchRates.push_back(&rackFetchRates_[rack]);
      }
      double share = 1;
      for (double* link : run->linkFetchRates) {
        *link += run->fetchRate;
        bool rack = link != &engine.fetchRate && link != &source->fetchRate;
        double size = rack || source->entry.service == Service::kStore
                          ? scenario_.uplinkMegabytesPerSecond
                          : scenario_.linkMegabytesPerSecond;
        if (link == &engine.fetchRate) size = scenario_.linkMegabytesPerSecond * engine.linkFactor;
        if (link == &source->fetchRate) size *= source->linkFactor;
        share = std::min(share, size / *link);
      }
      fetchTime = seconds(megabytes / (run->fetchRate * share));
      fetchStatistics_.count += 1;
      fetchStatistics_.overbookedCount += share < 1 ? 1 : 0;
      fetchStatistics_.excessSum += 1 / share - 1;
      fetchStatistics_.secondsSum += inSeconds(fetchTime);
      fetchStatistics_.megabytes += megabytes;
      fetchStatistics_.rateSum += run->fetchRate;
    }
  }
  std::vector<EngineCacheBlock> newBlocks;
  Duration time = fetchTime + engine.model->prefill(run->request, newBlocks);
  if (!run->request.depositAddress.value.empty() && store().alive &&
      reachable(engine.host, store().host))
    for (const auto& block : newBlocks) store().model->addFetchedBlock(block);
  scheduleAfter(fetchTime, [run] {
    for (double* link : run->linkFetchRates) *link -= run->fetchRate;
    run->linkFetchRates.clear();
  });
  scheduleAfter(time, [this, run] { generatePiece(run, run->request.firstPiece); });
}

void World::generatePiece(const std::shared_ptr<EngineRun>& run, PieceIndex piece) {
  SimEngine& engine = *engines_[run->engine];
  if (!engine.alive || engine.incarnation != run->engineIncarnation) return;
  if (run->ended) {  // cancelled: the engine notices at its next piece
    engine.model->end(now());
    return;
  }
  bool last = piece.value + 1 >= static_cast<std::uint64_t>(run->request.pieces);
  StreamAttemptEvent attemptEvent{run->attempt,
                                  StreamAttemptEventKind::kPiece,
                                  piece,
                                  engine.model->pieceText(run->request, piece),
                                  run->request.requestId,
                                  200};
  if (!engine.responseFault.empty() && random_.below(6) == 0) {
    if (engine.responseFault == "repeat" && piece.value > 0) --attemptEvent.piece.value;
    else if (engine.responseFault == "skip") ++attemptEvent.piece.value;
    else if (engine.responseFault == "foreign") attemptEvent.echoedRequestId = "another-request";
    else if (engine.responseFault == "early") last = true;  // ends before its last piece
  }
  Duration delay = drawLatency();
  scheduleAfter(delay, [this, run, attemptEvent, last] {
    if (run->ended || !reachable(run->process->host, engines_[run->engine]->host)) return;
    sendAttemptEvent(run, attemptEvent);
    if (last) endRun(run, StreamAttemptEventKind::kEnded);
  });
  if (last) {
    engine.model->end(now());
    return;
  }
  scheduleAfter(engine.model->options().pieceInterval,
                [this, run, piece] { generatePiece(run, {piece.value + 1}); });
}

void World::sendAttemptEvent(const std::shared_ptr<EngineRun>& run,
                             StreamAttemptEvent attemptEvent) {
  if (run->process->incarnation != run->processIncarnation) return;
  deliver(*run->process, attemptEvent);
}

void World::endRun(const std::shared_ptr<EngineRun>& run, StreamAttemptEventKind kind, int status) {
  if (run->ended) return;
  run->ended = true;
  sendAttemptEvent(run, {run->attempt, kind, {}, {}, {}, status});
  if (runs_.size() > 4000) std::erase_if(runs_, [](const auto& other) { return other->ended; });
}

void World::cancelAttempt(SimProcess& process, StreamAttemptId shot) {
  for (auto& run : runs_)
    if (run->process == &process && run->processIncarnation == process.incarnation &&
        run->attempt == shot)
      run->ended = true;
}

void World::killEngine(SimEngine& engine) {
  if (!engine.alive) return;
  engine.alive = false;
  ++engine.incarnation;
  for (auto& run : std::vector(runs_)) {
    if (run->ended || engines_[run->engine].get() != &engine) continue;
    scheduleAfter(drawLatency(), [this, run] { endRun(run, StreamAttemptEventKind::kBroken); });
  }
}

void World::breakRuns(const std::function<bool(std::size_t, const SimProcess&)>& isAffected) {
  for (auto& run : std::vector(runs_))
    if (!run->ended && isAffected(run->engine, *run->process)) {
      scheduleAfter(drawLatency(), [this, run] { endRun(run, StreamAttemptEventKind::kBroken); });
    }
}

}  // namespace peppergate
