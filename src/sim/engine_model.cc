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

std::string fieldAfter(const std::string& text, const std::string& prefix) {
  auto at = text.find(prefix);
  if (at == std::string::npos) return {};
  auto start = at + prefix.size();
  return text.substr(start, text.find(';', start) - start);
}

}  // namespace

std::string promptDigest(const std::vector<std::string>& texts) {
  std::string all;
  for (const auto& text : texts) all += digestText(text);
  return digestText(all);
}

std::string expectedPieceText(const std::string& digest, WeightsVersion weights, PieceIndex piece) {
  return "w" + std::to_string(weights.value) + "-" + digest.substr(0, 12) + "-" +
         std::to_string(piece.value);
}

std::string_view runIdOf(std::string_view pieceText) {
  auto mark = pieceText.find('#');
  return mark == std::string_view::npos ? std::string_view{} : pieceText.substr(mark + 1);
}

RunRequest parseRun(const std::map<std::string, std::string>& headers, const std::string& body) {
  RunRequest request;
  request.requestId = valueOf(headers, "x-request-id");
  request.attempt = static_cast<int>(numberOf(valueOf(headers, "x-shot")));
  request.tenant = valueOf(headers, "x-tenant");
  request.cacheDomain = {valueOf(headers, "x-wall")};
  request.weights = {numberOf(valueOf(headers, "x-weights"))};
  request.life = {numberOf(valueOf(headers, "if-match"))};
  request.anyLife = valueOf(headers, "if-match") == "*";
  request.resumable = valueOf(headers, "x-resumable") == "1";
  request.firstPiece = {numberOf(valueOf(headers, "x-resume-from"))};
  request.depositAddress = {valueOf(headers, "x-deposit-at")};
  std::string collect = valueOf(headers, "x-collect-from");
  if (!collect.empty()) {
    request.fetchSource = {collect.substr(0, collect.find(';'))};
    request.fetchRate = std::strtod(fieldAfter(collect, ";rate=").c_str(), nullptr);
    std::string names = fieldAfter(collect, ";parts=");
    for (std::size_t start = 0; start < names.size();) {
      auto comma = std::min(names.find(',', start), names.size());
      request.blocksToFetch.push_back({names.substr(start, comma - start)});
      start = comma + 1;
    }
  }
  Json document = Json::parse(body, nullptr, false);
  if (!document.is_object()) return request;
  request.pieces = document.value("pieces", std::int64_t{8});
  std::vector<std::string> texts;
  for (const auto& part : document.value("parts", Json::array())) {
    texts.push_back(part.at("text"));
    request.parts.push_back(
        {{part.at("name").get<std::string>()}, texts.back().size(), part.value("shared", false)});
  }
  request.promptDigest = promptDigest(texts);
  return request;
}

EngineModel::EngineModel(EngineModelOptions options, EngineId id, WeightsVersion weights,
                         std::uint64_t seed)
    : options_(options),
      id_(std::move(id)),
      random_(seed),
      life_{random_.next() >> 1},
      weights_(weights) {}

void EngineModel::recordViolation(const std::string& kind) { ++violations_[kind]; }

EngineModel::Response EngineModel::begin(const RunRequest& request, MonotonicTime now) {
  if (request.life != life_ && !request.anyLife) return {412, "other-life"};
  if (isLoading_) return {503, "loading"};
  if (drained_) return {503, "draining"};
  if (running_ >= options_.slots) return {503, "full"};
  (request.attempt > 1 ? secondAttemptTimes_ : firstAttemptTimes_).push_back(now);
  // From here on the request runs: violations are recorded, not refused.
  startedIds_.insert(request.requestId);
  if (!request.resumable && !startedOnceIds_.insert(request.requestId).second)
    recordViolation("ran-twice");
  if (request.weights != weights_) recordViolation("other-weights");
  bool drains = drainMarkedAt_ != kForever && !request.listUnreachable;
  if (drains && now - drainMarkedAt_ > options_.drainGrace) recordViolation("work-while-draining");
  auto newerWeights = acknowledgedWeights_.upper_bound(weights_);
  if (newerWeights != acknowledgedWeights_.end())
    maxOldWeightsStart_ = std::max(maxOldWeightsStart_, now - newerWeights->second);
  if (drains) maxDrainingStart_ = std::max(maxDrainingStart_, now - drainMarkedAt_);
  if (newerWeights != acknowledgedWeights_.end() &&
      now - newerWeights->second > options_.weightsGrace)
    recordViolation("old-weights-started");
  auto domains = tenantDomains_.find(request.tenant);
  if (request.attempt == 1 && domains != tenantDomains_.end() &&
      domains->second.earlier.contains(request.cacheDomain)) {
    Duration delay = now - domains->second.since;
    maxOldDomainStart_ = std::max(maxOldDomainStart_, delay);
    if (delay > options_.cacheDomainGrace) recordViolation("older-setup-used");
  }
  ++running_;
  return {200, {}};
}

std::vector<PrefixBlockName> EngineModel::missingBlocks(const RunRequest& request) const {
  std::vector<PrefixBlockName> names;
  for (const auto& name : request.blocksToFetch)
    if (!blocks_.contains(name)) names.push_back(name);
  return names;
}

void EngineModel::insertBlock(EngineCacheBlock block) {
  PrefixBlockName name = block.label.name;
  if (blocks_.contains(name)) return;
  blocks_[name] = std::move(block);
  insertionOrder_.push_back(name);
  ++revision_;
  if (insertionOrder_.size() <= options_.cacheBlocks) return;
  blocks_.erase(insertionOrder_.front());
  insertionOrder_.erase(insertionOrder_.begin());
}

void EngineModel::addFetchedBlock(const EngineCacheBlock& block) { insertBlock(block); }

Duration EngineModel::prefill(const RunRequest& request, std::vector<EngineCacheBlock>& newBlocks) {
  Duration time = options_.startTime;
  bool prefixIsCached = true;  // a cached block helps only if all blocks before it are cached
  for (const auto& part : request.parts) {
    auto cached = blocks_.find(part.name);
    if (prefixIsCached && cached != blocks_.end()) {
      if (cached->second.actualDomain != request.cacheDomain) recordViolation("foreign-wall-used");
      if (cached->second.actualWeights != weights_) recordViolation("other-weights-cache-used");
      continue;
    }
    prefixIsCached = false;
    time = time + Duration{options_.prefillPerCharacter.microseconds *
                           static_cast<std::int64_t>(part.characters)};
    if (!part.shared) continue;
    EngineCacheBlock real{
        {part.name, request.cacheDomain, request.weights}, request.cacheDomain, weights_};
    newBlocks.push_back(real);
    insertBlock(std::move(real));
  }
  return time;
}

std::string EngineModel::pieceText(const RunRequest& request, PieceIndex piece) const {
  return expectedPieceText(request.promptDigest, weights_, piece) + "#" + request.runId;
}

void EngineModel::end(MonotonicTime now) {
  --running_;
  tick(now);
}

void EngineModel::tick(MonotonicTime now) {
  if (!isLoading_) return;
  if (loadEndsAt_ == kForever && running_ <= 0) loadEndsAt_ = now + options_.loadTime;
  if (now < loadEndsAt_) return;
  restart(loadingWeights_, now);
}

void EngineModel::restart(WeightsVersion weights, MonotonicTime) {
  life_ = {random_.next() >> 1};
  weights_ = weights;
  blocks_.clear();
  insertionOrder_.clear();
  revision_ = 1;
  isLoading_ = false;
  loadEndsAt_ = kForever;
  if (running_ < 0) running_ = 0;
}

EngineModel::Response EngineModel::order(const Json& body, MonotonicTime now) {
  std::uint64_t sender = body.value("giver", std::uint64_t{0});
  if (lastOrderSender_ != 0 && sender != lastOrderSender_ && now - lastOrderAt_ < seconds(3))
    recordViolation("two-givers");
  lastOrderSender_ = sender;
  lastOrderAt_ = now;
  if (body.value("kind", "") == "drain") {
    drained_ = true;
    return {200, {}};
  }
  if (body.value("kind", "") != "load") return {400, "unknown order"};
  WeightsVersion target{body.value("weights", std::uint64_t{0})};
  if (target <= weights_) return {200, "loaded already"};
  isLoading_ = true;
  loadingWeights_ = target;
  tick(now);
  return {200, {}};
}

void EngineModel::noteAcknowledgedDomain(const std::string& tenant, const CacheDomain& domain,
                                         MonotonicTime now) {
  TenantDomains& domains = tenantDomains_[tenant];
  if (domains.newest == domain) return;
  domains.earlier.insert(domains.newest);
  domains.earlier.erase(domain);  // a complete setup may return to an earlier domain
  domains.newest = domain;
  domains.since = now;
}

void EngineModel::setDraining(bool draining, MonotonicTime now) {
  if (!draining) {
    drainMarkedAt_ = kForever;
    drained_ = false;
  } else if (drainMarkedAt_ == kForever) {
    drainMarkedAt_ = now;
  }
}

void EngineModel::noteAcknowledgedWeights(WeightsVersion version, MonotonicTime now) {
  acknowledgedWeights_.try_emplace(version, now);
}

Json EngineModel::health() const {
  return {{"life", life_.value},
          {"weights", weights_.value},
          {"running", std::max<std::int64_t>(0, running_)},
          {"revision", revision_},
          {"ready", !isLoading_ && !drained_}};
}

Json EngineModel::cacheReport() const {
  Json parts = Json::array();
  for (const auto& [name, part] : blocks_)
    parts.push_back({{"name", name.value},
                     {"wall", part.label.cacheDomain.value},
                     {"weights", part.label.weights.value}});
  return {{"life", life_.value}, {"revision", revision_}, {"parts", parts}};
}

const EngineCacheBlock* EngineModel::findBlock(const PrefixBlockName& name) const {
  auto found = blocks_.find(name);
  return found == blocks_.end() ? nullptr : &found->second;
}

}  // namespace peppergate
