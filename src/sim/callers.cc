#include "sim/callers.h"

#include <algorithm>

#include "sim/checker.h"
#include "sim/world.h"

namespace peppergate {

Callers::Callers(World& world) : world_(world), random_(world.random().next()) {}

void Callers::flood(const std::string& tenant, double rate) {
  floodTenant_ = tenant;
  floodRate_ = rate;
}

void Callers::tick() {
  MonotonicTime now = world_.now();
  double span = inSeconds(now - last_);
  last_ = now;
  if (now < MonotonicTime{} || span <= 0) return;
  bool over = now > MonotonicTime{} + world_.scenario().run;
  due_ += over ? 0 : span * world_.scenario().requests * factor_;
  floodDue_ += over ? 0 : span * floodRate_;
  for (; due_ >= 1; due_ -= 1) sendOne({});
  for (; floodDue_ >= 1; floodDue_ -= 1) sendOne(floodTenant_);
  for (auto& [id, stream] : streams_) {  // a client gives up 1 s after the deadline
    if (stream.end != CallerEnd::kOpen || now < stream.deadline + seconds(1)) continue;
    stream.end = CallerEnd::kLost;
    stream.kind = "no-answer";
    stream.ended = now;
  }
}

void Callers::sendOne(const std::string& onlyTenant) {
  CallerStream stream;
  stream.id = streams_.size() + 1;
  double roll = random_.fraction();
  auto rows = tenantRows(world_.scenario().profile);
  const TenantRow* row = &rows.back();
  for (const auto& candidate : rows) {
    if (!onlyTenant.empty() ? candidate.name == onlyTenant : roll < candidate.share) {
      row = &candidate;
      break;
    }
    roll -= candidate.share;
  }
  stream.tenant = row->name;
  stream.key = keyOf(stream.tenant);
  stream.unary = onlyTenant.empty() && random_.below(12) == 0;
  stream.resumable = !stream.unary && random_.below(2) == 0;
  stream.pieces = stream.unary ? 1 : 4 + random_.below(world_.scenario().pieces - 3);
  if (!stream.unary)
    stream.texts =
        sharedPrefix(row->name, row->prefix, pickDocument(random_, world_.scenario().documents));
  stream.texts.push_back("question " + std::to_string(random_.next()));
  stream.asked = world_.now();
  stream.deadline =
      world_.now() + seconds(5 + (world_.scenario().deadline - 5) * random_.fraction());
  send(streams_[stream.id] = stream);
}

void Callers::send(CallerStream& stream) {
  // The platform's load balancer selects only live routers.
  std::vector<SimProcess*> fronts;
  for (auto& process : world_.processes())
    if (process->role == Role::kFront && process->alive) fronts.push_back(process.get());
  if (fronts.empty()) {
    stream.end = CallerEnd::kLost;
    stream.kind = "no-front";
    stream.ended = world_.now();
    return;
  }
  SimProcess& front = *fronts[random_.below(fronts.size())];
  stream.host = front.host;
  if (stream.firstHost.empty()) stream.firstHost = front.host;
  StreamId ask{++lastAsk_};
  byAsk_[ask] = stream.id;
  StreamRequest asked;
  asked.stream = ask;
  asked.unary = stream.unary;
  auto left = inMilliseconds(stream.deadline - world_.now());
  asked.headers = {{"x-api-key", stream.key}, {"x-deadline-ms", std::to_string(left)}};
  Json parts = Json::array();
  for (std::size_t part = 0; part < stream.texts.size(); ++part)
    parts.push_back({{"text", stream.texts[part]}, {"shared", part + 1 < stream.texts.size()}});
  Json body{{"parts", parts}, {"pieces", stream.pieces}, {"resumable", stream.resumable}};
  if (stream.next > 0)
    body.update({{"resumeFrom", stream.next}, {"resumeWeights", stream.weights}});
  asked.body = body.dump();
  std::uint64_t life = front.life;
  world_.after(milliseconds(1), [this, &front, life, asked] {
    if (front.alive && front.life == life) world_.deliver(front, asked);
    else if (CallerStream* mine = find(asked.stream)) resume(*mine);
  });
}

CallerStream* Callers::find(StreamId ask) {
  auto found = byAsk_.find(ask);
  return found == byAsk_.end() ? nullptr : &streams_.at(found->second);
}

void Callers::started(const StartAnswer& answer) {
  CallerStream* stream = find(answer.stream);
  if (stream == nullptr) return;
  if (stream->first == kForever) stream->first = world_.now();
  stream->requestId = answer.requestId;
  if (stream->weights != 0 && stream->weights != answer.weights.value)
    world_.checker().fail("resumed-under-other-weights");
  stream->weights = answer.weights.value;
  world_.checker().startedWith(*stream);
}

void Callers::piece(const SendPiece& piece) {
  CallerStream* stream = find(piece.stream);
  if (stream == nullptr || stream->end != CallerEnd::kOpen) return;
  std::string right = rightPiece(promptDigest(stream->texts), {stream->weights}, piece.piece);
  std::string run(runOf(piece.text));
  std::string said = piece.text.substr(0, piece.text.find('#'));
  if (piece.piece.value != stream->next) world_.checker().fail("piece-lost-or-repeated");
  else if (said != right) world_.checker().fail("piece-of-another-answer");
  if (!stream->resumable && !stream->run.empty() && stream->run != run)
    world_.checker().fail("two-runs-glued");
  stream->run = run;
  world_.checker().pieceOf(*stream);
  ++stream->next;
}

void Callers::ended(const EndAnswer& answer) {
  CallerStream* stream = find(answer.stream);
  if (stream == nullptr || stream->end != CallerEnd::kOpen) return;
  stream->kind = answer.kind;
  if (answer.end == AnswerEnd::kWhole) {
    if (stream->next != stream->pieces) world_.checker().fail("cut-answer-looks-whole");
    stream->end = CallerEnd::kWhole;
    stream->ended = world_.now();
    return;
  }
  byAsk_.erase(answer.stream);
  resume(*stream);
}

void Callers::declined(const DeclineStream& answer) {
  CallerStream* stream = find(answer.stream);
  if (stream == nullptr || stream->end != CallerEnd::kOpen) return;
  byAsk_.erase(answer.stream);
  stream->kind = answer.kind;
  if (!answer.mayHaveRun && !answer.requestId.empty())
    stream->toldNotRun.push_back(answer.requestId);
  if (answer.status == 503 && answer.retryAfter.microseconds == 0)
    world_.checker().fail("decline-without-retry-after");
  stream->end = CallerEnd::kDeclined;
  stream->ended = world_.now();
}

void Callers::resume(CallerStream& stream) {
  stream.ended = world_.now();
  stream.end = CallerEnd::kCut;
  if (!stream.resumable || stream.resumed || stream.next == 0) return;
  if (stream.kind == "deadline" || stream.kind == "key-withdrawn") return;
  stream.resumed = true;  // once, at any router that the platform selects
  stream.end = CallerEnd::kOpen;
  ++stream.tries;
  std::uint64_t id = stream.id;
  world_.after(milliseconds(300), [this, id] { send(streams_.at(id)); });
}

void Callers::lost(const std::string& host) {
  for (auto entry = byAsk_.begin(); entry != byAsk_.end();) {
    CallerStream& stream = streams_.at(entry->second);
    bool here = stream.host == host && stream.end == CallerEnd::kOpen;
    if (!here) {
      ++entry;
      continue;
    }
    entry = byAsk_.erase(entry);
    stream.kind = "front-lost";
    resume(stream);
  }
}

}  // namespace peppergate
