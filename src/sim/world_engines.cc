// Attempts in flight, the engines' generation, and prefix fetches over shared links.
#include <algorithm>

#include "sim/callers.h"
#include "sim/checker.h"
#include "sim/world.h"

namespace peppergate {

void World::openShot(SimProcess& process, const OpenShot& command) {
  auto run = std::make_shared<Run>();
  run->process = &process;
  run->processLife = process.life;
  run->shot = command.shot;
  Headers headers;
  for (const auto& [name, value] : command.headers) {
    std::string lower = name;
    std::ranges::transform(lower, lower.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
    headers[lower] = value;
  }
  run->ask = parseRun(headers, command.body);
  run->ask.withoutList = now() - process.withoutList < seconds(3);
  for (std::size_t index = 0; index < engines_.size(); ++index)
    if (engines_[index]->address == command.address) run->engine = index;
  SimEngine& engine = *engines_[run->engine];
  run->engineLife = engine.life;
  runs_.push_back(run);
  if (process.local(now()) >= command.writeBefore) {
    endRun(run, ShotTurn::kNotWritten);
    return;
  }
  if (!reachable(process.host, engine.host)) {
    after(milliseconds(500), [this, run] { endRun(run, ShotTurn::kNotWritten); });
    return;
  }
  if (!engine.alive) {
    after(latency(), [this, run] { endRun(run, ShotTurn::kNotWritten); });
    return;
  }
  after(latency(), [this, run] {
    if (run->ended) return;
    turnShot(run, {run->shot, ShotTurn::kWritten, {}, {}, {}, 0});
    after(latency(), [this, run] { arriveRun(run); });
  });
}

void World::arriveRun(const std::shared_ptr<Run>& run) {
  SimEngine& engine = *engines_[run->engine];
  if (!reachable(run->process->host, engine.host)) return;  // the bytes never arrive
  if (!engine.alive || engine.life != run->engineLife) {
    endRun(run, ShotTurn::kBroken);
    return;
  }
  // A cancellation by the caller doesn't recall bytes that were already sent.
  auto verdict = engine.model->begin(run->ask, now());
  if (verdict.status != 200) {
    if (!run->ended) endRun(run, ShotTurn::kDeclined, verdict.status);
    return;
  }
  run->ask.run = engine.model->freshRun();
  run->rate = 0;
  Duration collecting{};
  SimEngine* source = engineAt(run->ask.source);
  if (source != nullptr && source->alive && reachable(engine.host, source->host)) {
    double megabytes = 0;
    for (const auto& name : engine.model->lacking(run->ask)) {
      const RealPart* part = source->model->part(name);
      if (part == nullptr) continue;  // not at the source any more: it is computed instead
      for (const auto& asked : run->ask.parts)
        if (asked.name == name) megabytes += static_cast<double>(asked.characters) * 200 / 1e6;
      engine.model->collected(*part);
    }
    if (megabytes > 0) {
      run->rate = run->ask.rate;
      run->fetching = {&engine.fetching, &source->fetching};
      if (source->entry.rack != engine.entry.rack) {
        for (const auto& rack : {source->entry.rack, engine.entry.rack})
          if (!rack.empty()) run->fetching.push_back(&rackFetching_[rack]);
      }
      double share = 1;
      for (double* link : run->fetching) {
        *link += run->rate;
        bool rack = link != &engine.fetching && link != &source->fetching;
        double size =
            rack || source->entry.service == Service::kStore ? scenario_.uplink : scenario_.link;
        if (link == &engine.fetching) size = scenario_.link * engine.linkFactor;
        if (link == &source->fetching) size *= source->linkFactor;
        share = std::min(share, size / *link);
      }
      collecting = seconds(megabytes / (run->rate * share));
      fetchFigures_.count += 1;
      fetchFigures_.over += share < 1 ? 1 : 0;
      fetchFigures_.excess += 1 / share - 1;
      fetchFigures_.took += inSeconds(collecting);
      fetchFigures_.megabytes += megabytes;
      fetchFigures_.rates += run->rate;
    }
  }
  std::vector<RealPart> made;
  Duration time = collecting + engine.model->prefill(run->ask, made);
  if (!run->ask.deposit.value.empty() && store().alive && reachable(engine.host, store().host))
    for (const auto& part : made) store().model->collected(part);
  after(collecting, [run] {
    for (double* link : run->fetching) *link -= run->rate;
    run->fetching.clear();
  });
  after(time, [this, run] { generate(run, run->ask.from); });
}

void World::generate(const std::shared_ptr<Run>& run, Piece piece) {
  SimEngine& engine = *engines_[run->engine];
  if (!engine.alive || engine.life != run->engineLife) return;
  if (run->ended) {  // cancelled: the engine notices at its next piece
    engine.model->end(now());
    return;
  }
  bool last = piece.value + 1 >= static_cast<std::uint64_t>(run->ask.pieces);
  ShotTurned turned{run->shot,
                    ShotTurn::kPiece,
                    piece,
                    engine.model->pieceText(run->ask, piece),
                    run->ask.requestId,
                    200};
  if (!engine.garble.empty() && random_.below(6) == 0) {
    if (engine.garble == "repeat" && piece.value > 0) --turned.piece.value;
    else if (engine.garble == "skip") ++turned.piece.value;
    else if (engine.garble == "foreign") turned.echo = "another-request";
    else if (engine.garble == "early") last = true;  // ends before its last piece
  }
  Duration delay = latency();
  after(delay, [this, run, turned, last] {
    if (run->ended || !reachable(run->process->host, engines_[run->engine]->host)) return;
    turnShot(run, turned);
    if (last) endRun(run, ShotTurn::kEnded);
  });
  if (last) {
    engine.model->end(now());
    return;
  }
  after(engine.model->options().pieceEvery,
        [this, run, piece] { generate(run, {piece.value + 1}); });
}

void World::turnShot(const std::shared_ptr<Run>& run, ShotTurned turned) {
  if (run->process->life != run->processLife) return;
  deliver(*run->process, turned);
}

void World::endRun(const std::shared_ptr<Run>& run, ShotTurn turn, int status) {
  if (run->ended) return;
  run->ended = true;
  turnShot(run, {run->shot, turn, {}, {}, {}, status});
  if (runs_.size() > 4000) std::erase_if(runs_, [](const auto& other) { return other->ended; });
}

void World::cancelShot(SimProcess& process, ShotId shot) {
  for (auto& run : runs_)
    if (run->process == &process && run->processLife == process.life && run->shot == shot)
      run->ended = true;
}

void World::killEngine(SimEngine& engine) {
  if (!engine.alive) return;
  engine.alive = false;
  ++engine.life;
  for (auto& run : std::vector(runs_)) {
    if (run->ended || engines_[run->engine].get() != &engine) continue;
    after(latency(), [this, run] { endRun(run, ShotTurn::kBroken); });
  }
}

void World::breakRuns(const std::function<bool(std::size_t, const SimProcess&)>& which) {
  for (auto& run : std::vector(runs_))
    if (!run->ended && which(run->engine, *run->process)) {
      after(latency(), [this, run] { endRun(run, ShotTurn::kBroken); });
    }
}

}  // namespace peppergate
