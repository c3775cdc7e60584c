#include "sim/engine_model.h"

#include <algorithm>

#include "core/digest.h"

namespace peppergate {
namespace {

std::string valueOf(const std::map<std::string, std::string>& headers, const std::string& name) {
  auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

std::uint64_t numberOf(const std::string& text) {
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

std::string afterMark(const std::string& text, const std::string& mark) {
  auto at = text.find(mark);
  if (at == std::string::npos) return {};
  auto start = at + mark.size();
  return text.substr(start, text.find(';', start) - start);
}

}  // namespace

std::string promptDigest(const std::vector<std::string>& texts) {
  std::string all;
  for (const auto& text : texts) all += digestText(text);
  return digestText(all);
}

std::string rightPiece(const std::string& digest, WeightsVersion weights, Piece piece) {
  return "w" + std::to_string(weights.value) + "-" + digest.substr(0, 12) + "-" +
         std::to_string(piece.value);
}

std::string_view runOf(std::string_view pieceText) {
  auto mark = pieceText.find('#');
  return mark == std::string_view::npos ? std::string_view{} : pieceText.substr(mark + 1);
}

RunAsk parseRun(const std::map<std::string, std::string>& headers, const std::string& body) {
  RunAsk ask;
  ask.requestId = valueOf(headers, "x-request-id");
  ask.shot = static_cast<int>(numberOf(valueOf(headers, "x-shot")));
  ask.tenant = valueOf(headers, "x-tenant");
  ask.wall = {valueOf(headers, "x-wall")};
  ask.weights = {numberOf(valueOf(headers, "x-weights"))};
  ask.life = {numberOf(valueOf(headers, "if-match"))};
  ask.anyLife = valueOf(headers, "if-match") == "*";
  ask.resumable = valueOf(headers, "x-resumable") == "1";
  ask.from = {numberOf(valueOf(headers, "x-resume-from"))};
  ask.deposit = {valueOf(headers, "x-deposit-at")};
  std::string collect = valueOf(headers, "x-collect-from");
  if (!collect.empty()) {
    ask.source = {collect.substr(0, collect.find(';'))};
    ask.rate = std::strtod(afterMark(collect, ";rate=").c_str(), nullptr);
    std::string names = afterMark(collect, ";parts=");
    for (std::size_t start = 0; start < names.size();) {
      auto comma = std::min(names.find(',', start), names.size());
      ask.collect.push_back({names.substr(start, comma - start)});
      start = comma + 1;
    }
  }
  Json document = Json::parse(body, nullptr, false);
  if (!document.is_object()) return ask;
  ask.pieces = document.value("pieces", std::int64_t{8});
  std::vector<std::string> texts;
  for (const auto& part : document.value("parts", Json::array())) {
    texts.push_back(part.at("text"));
    ask.parts.push_back(
        {{part.at("name").get<std::string>()}, texts.back().size(), part.value("shared", false)});
  }
  ask.promptDigest = promptDigest(texts);
  return ask;
}

EngineModel::EngineModel(EngineOptions options, EngineId id, WeightsVersion weights,
                         std::uint64_t seed)
    : options_(options),
      id_(std::move(id)),
      random_(seed),
      life_{random_.next() >> 1},
      weights_(weights) {}

void EngineModel::violation(const std::string& kind) { ++violations_[kind]; }

EngineModel::Verdict EngineModel::begin(const RunAsk& ask, MonotonicTime now) {
  if (ask.life != life_ && !ask.anyLife) return {412, "other-life"};
  if (isLoading_) return {503, "loading"};
  if (drained_) return {503, "draining"};
  if (running_ >= options_.places) return {503, "full"};
  (ask.shot > 1 ? secondShots_ : firstShots_).push_back(now);
  // From here on the request runs: violations are recorded, not refused.
  began_.insert(ask.requestId);
  if (!ask.resumable && !begun_.insert(ask.requestId).second) violation("ran-twice");
  if (ask.weights != weights_) violation("other-weights");
  bool drains = markedAt_ != kForever && !ask.withoutList;
  if (drains && now - markedAt_ > options_.drainGrace) violation("work-while-draining");
  auto newer = named_.upper_bound(weights_);
  if (newer != named_.end()) latestOldStart_ = std::max(latestOldStart_, now - newer->second);
  if (drains) latestDrainedStart_ = std::max(latestDrainedStart_, now - markedAt_);
  if (newer != named_.end() && now - newer->second > options_.weightsGrace)
    violation("old-weights-started");
  auto wall = walls_.find(ask.tenant);
  if (ask.shot == 1 && wall != walls_.end() && wall->second.former.contains(ask.wall)) {
    Duration late = now - wall->second.since;
    latestOldWall_ = std::max(latestOldWall_, late);
    if (late > options_.wallGrace) violation("older-setup-used");
  }
  ++running_;
  return {200, {}};
}

std::vector<PartName> EngineModel::lacking(const RunAsk& ask) const {
  std::vector<PartName> names;
  for (const auto& name : ask.collect)
    if (!kept_.contains(name)) names.push_back(name);
  return names;
}

void EngineModel::keep(RealPart part) {
  PartName name = part.told.name;
  if (kept_.contains(name)) return;
  kept_[name] = std::move(part);
  keptOrder_.push_back(name);
  ++revision_;
  if (keptOrder_.size() <= options_.cacheParts) return;
  kept_.erase(keptOrder_.front());
  keptOrder_.erase(keptOrder_.begin());
}

void EngineModel::collected(const RealPart& part) { keep(part); }

Duration EngineModel::prefill(const RunAsk& ask, std::vector<RealPart>& made) {
  Duration time = options_.start;
  bool prefix = true;  // a cached block helps only if all blocks before it are cached
  for (const auto& part : ask.parts) {
    auto kept = kept_.find(part.name);
    if (prefix && kept != kept_.end()) {
      if (kept->second.wall != ask.wall) violation("foreign-wall-used");
      if (kept->second.madeUnder != weights_) violation("other-weights-cache-used");
      continue;
    }
    prefix = false;
    time = time + Duration{options_.perCharacter.microseconds *
                           static_cast<std::int64_t>(part.characters)};
    if (!part.shared) continue;
    RealPart real{{part.name, ask.wall, ask.weights}, ask.wall, weights_};
    made.push_back(real);
    keep(std::move(real));
  }
  return time;
}

std::string EngineModel::pieceText(const RunAsk& ask, Piece piece) const {
  return rightPiece(ask.promptDigest, weights_, piece) + "#" + ask.run;
}

void EngineModel::end(MonotonicTime now) {
  --running_;
  tick(now);
}

void EngineModel::tick(MonotonicTime now) {
  if (!isLoading_) return;
  if (loadEnds_ == kForever && running_ <= 0) loadEnds_ = now + options_.loadTime;
  if (now < loadEnds_) return;
  restart(loading_, now);
}

void EngineModel::restart(WeightsVersion weights, MonotonicTime) {
  life_ = {random_.next() >> 1};
  weights_ = weights;
  kept_.clear();
  keptOrder_.clear();
  revision_ = 1;
  isLoading_ = false;
  loadEnds_ = kForever;
  if (running_ < 0) running_ = 0;
}

EngineModel::Verdict EngineModel::order(const Json& body, MonotonicTime now) {
  std::uint64_t giver = body.value("giver", std::uint64_t{0});
  if (lastGiver_ != 0 && giver != lastGiver_ && now - lastOrder_ < seconds(3))
    violation("two-givers");
  lastGiver_ = giver;
  lastOrder_ = now;
  if (body.value("kind", "") == "drain") {
    drained_ = true;
    return {200, {}};
  }
  if (body.value("kind", "") != "load") return {400, "unknown order"};
  WeightsVersion wanted{body.value("weights", std::uint64_t{0})};
  if (wanted <= weights_) return {200, "loaded already"};
  isLoading_ = true;
  loading_ = wanted;
  tick(now);
  return {200, {}};
}

void EngineModel::walled(const std::string& tenant, const Wall& wall, MonotonicTime now) {
  TenantWalls& walls = walls_[tenant];
  if (walls.newest == wall) return;
  walls.former.insert(walls.newest);
  walls.former.erase(wall);  // a complete setup may return to an earlier domain
  walls.newest = wall;
  walls.since = now;
}

void EngineModel::marked(bool draining, MonotonicTime now) {
  if (!draining) {
    markedAt_ = kForever;
    drained_ = false;
  } else if (markedAt_ == kForever) {
    markedAt_ = now;
  }
}

void EngineModel::named(WeightsVersion version, MonotonicTime now) {
  named_.try_emplace(version, now);
}

Json EngineModel::health() const {
  return {{"life", life_.value},
          {"weights", weights_.value},
          {"running", std::max<std::int64_t>(0, running_)},
          {"revision", revision_},
          {"ready", !isLoading_ && !drained_}};
}

Json EngineModel::kept() const {
  Json parts = Json::array();
  for (const auto& [name, part] : kept_)
    parts.push_back({{"name", name.value},
                     {"wall", part.told.wall.value},
                     {"weights", part.told.weights.value}});
  return {{"life", life_.value}, {"revision", revision_}, {"parts", parts}};
}

const RealPart* EngineModel::part(const PartName& name) const {
  auto found = kept_.find(name);
  return found == kept_.end() ? nullptr : &found->second;
}

}  // namespace peppergate
