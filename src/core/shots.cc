// Streams: sends attempts to engines and handles their events.
#include <algorithm>

#include "core/streams.h"

namespace peppergate {

void Streams::planSource(Stream& stream, const Assigned& assigned,
                         const std::vector<PartName>& names, OpenShot& shot, MonotonicTime now,
                         Outbox& outbox) {
  const Setup& setup = front_.follower.setup();
  WeightsVersion weights = assigned.view.picture.weights;
  const Wall& wall = stream.options.wall;
  std::map<EngineId, std::vector<std::size_t>> keptBy;
  std::size_t firstMissing = names.size();
  for (std::size_t part = 0; part < names.size(); ++part) {
    if (front_.index.keeps(assigned.engine, names[part], wall, weights)) {
      outbox.count("parts.kept");
      continue;
    }
    if (!stream.parts[part].shared) continue;
    firstMissing = std::min(firstMissing, part);
    for (const auto& holder : front_.index.holders(names[part], wall, weights)) {
      const EngineView* view = front_.watch.usable(holder, now);
      if (view != nullptr && front_.list.engines.contains(holder)) keptBy[holder].push_back(part);
    }
  }
  std::vector<EngineId> holders;
  std::size_t most = 0;
  for (const auto& [holder, parts] : keptBy) most = std::max(most, parts.size());
  for (const auto& [holder, parts] : keptBy)
    if (parts.size() == most) holders.push_back(holder);
  auto source = front_.fetches.roomiest(holders, front_.list, assigned.engine, setup, now);
  auto storeEntry = front_.list.engines.find(storeId());
  bool anyAnew = false;
  for (std::size_t part = firstMissing; part < names.size(); ++part) {
    bool fetched = source && std::ranges::find(keptBy[*source], part) != keptBy[*source].end();
    bool kept = front_.index.keeps(assigned.engine, names[part], wall, weights);
    if (!stream.parts[part].shared || kept) continue;
    outbox.count(fetched ? "parts.fetched" : "parts.anew");
    anyAnew = anyAnew || !fetched;
  }
  // Shared parts that the engine computes anew are deposited in the store, so that they are
  // computed only once.
  if (anyAnew && storeEntry != front_.list.engines.end() && front_.watch.usable(storeId(), now))
    shot.headers["X-Deposit-At"] = storeEntry->second.address.value;
  stream.collects = source.has_value();
  if (!source) return;
  auto tenantClass = setup.classes.find(stream.options.className);
  Fetch fetch;
  fetch.want.stream = stream.id;
  fetch.want.links = FetchDesk::pathOf(front_.list, *source, assigned.engine);
  if (tenantClass != setup.classes.end()) fetch.want.tenantClass = tenantClass->second;
  std::int64_t last = static_cast<std::int64_t>(setup.rungs.size()) - 1;
  fetch.want.topRung = std::clamp<std::int64_t>(stream.topRung, 0, last);
  fetch.want.floorRung =
      std::clamp<std::int64_t>(fetch.want.tenantClass.floor, 0, fetch.want.topRung);
  fetch.tenant = stream.tenant;
  fetch.className = stream.options.className;
  fetch.source = *source;
  std::string list;
  for (std::size_t part : keptBy[*source]) {
    fetch.megabytes += static_cast<double>(stream.parts[part].text.size()) *
                       setup.partBytesPerCharacter / front_.options.rateUnit;
    list += (list.empty() ? "" : ",") + names[part].value;
  }
  std::int64_t rung = front_.fetches.begin(std::move(fetch), setup, now, outbox);
  shot.headers["X-Collect-From"] =
      front_.list.engines.at(*source).address.value + ";rung=" + std::to_string(rung) +
      ";rate=" + std::to_string(setup.rungs.at(static_cast<std::size_t>(rung)).rate) +
      ";parts=" + list;
}

void Streams::shoot(Stream& stream, const Assigned& assigned, MonotonicTime now, Outbox& outbox) {
  // Check freshness again right before sending: a process that was suspended after the request
  // was admitted must not send on a stale control state.
  if (!front_.follower.fresh(now) || front_.follower.tenantOf(stream.key) == nullptr) {
    giveUp(stream, 503, "stale", outbox);
    return;
  }
  WeightsVersion weights = assigned.view.picture.weights;
  std::vector<PartName> partNames = names(stream, weights);
  OpenShot shot;
  shot.shot = {++lastShot_};
  shot.address = front_.list.engines.at(assigned.engine).address;
  shot.path = "/run";
  shot.writeBefore = std::min(stream.deadline, now + milliseconds(500));
  shot.headers = {{"X-Request-Id", stream.requestId},
                  {"X-Shot", std::to_string(++stream.shots)},
                  {"X-Tenant", stream.tenant.value},
                  {"X-Wall", stream.options.wall.value},
                  {"X-Weights", std::to_string(weights.value)},
                  {"If-Match", front_.options.guards(Guard::kEngineLife)
                                   ? std::to_string(assigned.view.picture.life.value)
                                   : "*"},
                  {"X-Resumable", stream.resumable ? "1" : "0"},
                  {"X-Resume-From", std::to_string(stream.next.value)},
                  {"X-Deadline-Ms", std::to_string(inMilliseconds(stream.deadline - now))},
                  {"Content-Type", "application/json"}};
  planSource(stream, assigned, partNames, shot, now, outbox);
  Json parts = Json::array();
  for (std::size_t part = 0; part < stream.parts.size(); ++part)
    parts.push_back({{"name", partNames[part].value},
                     {"text", stream.parts[part].text},
                     {"shared", stream.parts[part].shared}});
  shot.body = Json{{"parts", parts}, {"pieces", stream.pieces}}.dump();
  stream.engine = assigned.engine;
  stream.weights = weights;
  stream.bound = weights;  // later attempts must use the same weights
  stream.shot = shot.shot;
  stream.sent = now;
  stream.firstCame = false;
  shots_[shot.shot] = stream.id;
  ++running_[stream.engine];
  front_.watch.noteSent(stream.engine);
  outbox.count("shots.sent");
  outbox.push(std::move(shot));
}

void Streams::turn(const ShotTurned& turned, MonotonicTime now, Outbox& outbox) {
  auto shot = shots_.find(turned.shot);
  if (shot == shots_.end()) {  // late event of an abandoned attempt
    outbox.count("shots.late");
    return;
  }
  Stream& stream = streams_.at(shot->second);
  switch (turned.turn) {
    case ShotTurn::kWritten:
      stream.mayHaveRun = true;
      break;
    case ShotTurn::kPiece:
      piece(stream, turned, now, outbox);
      break;
    case ShotTurn::kEnded:
      if (stream.next.value == static_cast<std::uint64_t>(stream.pieces)) finish(stream, outbox);
      else again(stream, "ended-early", now, outbox);
      break;
    case ShotTurn::kBroken:
      stream.mayHaveRun = true;
      front_.watch.rest(stream.engine, now);
      again(stream, "broken", now, outbox);
      break;
    case ShotTurn::kDeclined:  // the engine reports that it did not run the request
    case ShotTurn::kNotWritten:
      if (turned.turn == ShotTurn::kNotWritten || turned.status == 412)
        front_.watch.rest(stream.engine, now);
      if (stream.shots == 1) stream.mayHaveRun = false;
      again(stream, turned.turn == ShotTurn::kDeclined ? "engine-declined" : "not-written", now,
            outbox);
      break;
  }
}

void Streams::piece(Stream& stream, const ShotTurned& turned, MonotonicTime now, Outbox& outbox) {
  stream.mayHaveRun = true;
  if (!front_.follower.mayGoOn(now)) {  // no pieces on an expired proof after a suspension
    giveUp(stream, 503, "stale", outbox);
    return;
  }
  bool foreign = !turned.echo.empty() && turned.echo != stream.requestId;
  if (!front_.options.guards(Guard::kPieceOrder)) stream.next = turned.piece;
  if (foreign || turned.piece != stream.next) {  // lost, repeated or of another request
    outbox.count(foreign ? "shots.foreign" : "shots.outOfOrder");
    stream.resumable = stream.resumable && !foreign;
    again(stream, foreign ? "foreign-answer" : "out-of-order", now, outbox);
    return;
  }
  if (!stream.firstCame) {
    stream.firstCame = true;
    if (stream.collects) {
      front_.fetches.firstEvent(stream.id, base_, now, outbox);
    } else {
      Duration took = now - stream.sent;
      base_ = base_ * 0.9 + std::min(took, seconds(1)) * 0.1;
    }
  }
  ++stream.next.value;
  if (stream.unary) {
    stream.gathered += turned.text;
    return;
  }
  if (!stream.started) {
    stream.started = true;
    outbox.push(StartAnswer{stream.id, stream.requestId, stream.weights});
  }
  outbox.count("pieces.sent");
  outbox.push(SendPiece{stream.id, turned.piece, turned.text});
}

void Streams::again(Stream& stream, std::string_view why, MonotonicTime now, Outbox& outbox) {
  outbox.count("shots.failed." + std::string(why));
  if (stream.shot) {
    outbox.push(CancelShot{*stream.shot});
    shots_.erase(*stream.shot);
    stream.shot.reset();
    --running_[stream.engine];
  }
  front_.fetches.drop(stream.id);
  // A request that may have reached an engine is retried only if the stream can resume at the
  // exact piece.
  bool allowed = !stream.mayHaveRun || stream.resumable || !front_.options.guards(Guard::kNoRepeat);
  if (stream.mayHaveRun == false && stream.next.value == 0) stream.bound.reset();
  if (!allowed) {
    giveUp(stream, 502, "broken", outbox);
    return;
  }
  if (now + milliseconds(100) >= stream.deadline) {
    giveUp(stream, 504, "deadline", outbox);
    return;
  }
  auto assigned = assign(stream, now);
  if (!assigned) {
    giveUp(stream, 503, "no-engine", outbox);
    return;
  }
  if (!budget(stream.service).takeSecond(now) && front_.options.guards(Guard::kBudget)) {
    outbox.count("shots.overBudget");
    giveUp(stream, 503, "budget", outbox);
    return;
  }
  outbox.count("shots.second");
  shoot(stream, *assigned, now, outbox);
}

void Streams::finish(Stream& stream, Outbox& outbox) {
  outbox.count("streams.whole");
  if (stream.unary) {
    outbox.push(StartAnswer{stream.id, stream.requestId, stream.weights});
    outbox.push(SendPiece{stream.id, {0}, stream.gathered});
  }
  outbox.push(EndAnswer{stream.id, AnswerEnd::kWhole, "end", true, stream.next});
  if (stream.shot) {  // the attempt ended by itself: nothing to cancel
    shots_.erase(*stream.shot);
    stream.shot.reset();
    --running_[stream.engine];
  }
  end(stream.id, outbox);
}

void Streams::giveUp(Stream& stream, int status, std::string_view kind, Outbox& outbox) {
  outbox.count("streams.givenUp." + std::string(kind));
  if (stream.started) {
    outbox.push(EndAnswer{stream.id, AnswerEnd::kCut, std::string(kind), true, stream.next});
  } else {
    bool retry = status == 503 || status == 504 || status == 502;
    Duration after = retry ? Gate::retryAfter(front_.random, 0.5) : Duration{};
    bool told = stream.mayHaveRun && front_.options.guards(Guard::kHonestRejection);
    outbox.push(
        DeclineStream{stream.id, status, std::string(kind), told, after, {}, stream.requestId});
  }
  end(stream.id, outbox);
}

}  // namespace peppergate
