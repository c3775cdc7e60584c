#include "sim/batch_engine.h"

#include <algorithm>

namespace peppergate {
namespace {

std::string cacheKey(const std::string& salt, const std::string& block) {
  return salt + '\n' + block;
}

}  // namespace

BatchEngine::BatchEngine(BatchOptions options, EngineId id, std::uint64_t seed)
    : options_(options), id_(std::move(id)), random_(seed) {}

BatchAdmission BatchEngine::admit(const OpenAttempt& attempt, const RequestArrived& request,
                                  MonotonicTime now, BatchRun& run) {
  tick(now);
  if (attempt.engine != id_) return BatchAdmission::kWrongEngine;
  auto version = models_.try_emplace(request.model, WeightsVersion{1}).first->second;
  if (attempt.expectedVersion && *attempt.expectedVersion != version)
    return BatchAdmission::kWrongVersion;
  if (loading() && loadingModel_ == request.model) return BatchAdmission::kLoading;
  if (running_ >= options_.slots + options_.queueLimit) return BatchAdmission::kFull;
  run.number = nextRun_++;
  run.clientId = attempt.clientId;
  run.tenant = attempt.tenant;
  run.salt = attempt.salt;
  run.model = request.model;
  run.promptBlocks = request.promptBlocks;
  run.tokensOut = request.tokensOut;
  run.version = version;
  run.lastEvent = static_cast<std::uint64_t>(
      std::max<std::int64_t>(1, (request.tokensOut + options_.stride - 1) / options_.stride));
  // Event ids count tokens.
  run.nextEvent =
      attempt.resumeAfterEventId
          ? (*attempt.resumeAfterEventId / static_cast<std::uint64_t>(options_.stride)) + 1
          : 1;
  ++running_;
  return BatchAdmission::kAccepted;
}

std::int64_t BatchEngine::cachedTokens(const std::string& salt,
                                       std::span<const PromptBlock> blocks) const {
  std::int64_t tokens = 0;
  for (const auto& block : blocks) {
    auto found = blocks_.find(cacheKey(salt, block.id));
    if (found == blocks_.end()) break;
    tokens += std::min(found->second.tokens, block.tokens);
    if (found->second.tokens < block.tokens) break;
  }
  return tokens;
}

Duration BatchEngine::prefill(const BatchRun& run, BatchEngine* source, double distance,
                              MonotonicTime now) {
  std::int64_t cachedHere = cachedTokens(run.salt, run.promptBlocks), total = 0;
  for (const auto& block : run.promptBlocks) {
    total += block.tokens;
    auto found = blocks_.find(cacheKey(run.salt, block.id));
    if (found == blocks_.end()) continue;
    this->checkCacheHit(found->second, run);
    found->second.lastUsed = now;
    lru_.splice(lru_.end(), lru_, found->second.lruPosition);
  }
  MonotonicTime ready = now;
  if (source != nullptr && source != this) {
    std::int64_t cachedAtSource = source->cachedTokens(run.salt, run.promptBlocks);
    if (cachedAtSource > cachedHere) {
      double bits =
          static_cast<double>((cachedAtSource - cachedHere) * options_.kvBytesPerToken) * 8;
      Duration transferTime{static_cast<std::int64_t>(
          bits * distance / std::min(options_.linkMbps, source->options_.linkMbps))};
      MonotonicTime start = std::max({now, linkFreeAt_, source->linkFreeAt_});
      if (start - now < seconds(2)) {
        linkFreeAt_ = source->linkFreeAt_ = ready = start + transferTime;
        transferredTokens_ += cachedAtSource - cachedHere;
        for (const auto& block : run.promptBlocks) {
          auto found = source->blocks_.find(cacheKey(run.salt, block.id));
          if (found == source->blocks_.end()) continue;
          insertBlocks(run.salt, run.model, std::span(&block, 1), found->second.version,
                       found->second.tenant, now);
          this->checkCacheHit(found->second, run);
        }
        cachedHere = cachedAtSource;
      }
    }
  }
  std::int64_t missing = total - cachedHere;
  computedTokens_ += missing;
  MonotonicTime start = std::max(ready, prefillFreeAt_);
  prefillFreeAt_ = start + Duration{static_cast<std::int64_t>(static_cast<double>(missing) /
                                                              options_.prefillTokensPerMs * 1000)};
  insertBlocks(run.salt, run.model, run.promptBlocks, run.version, run.tenant.value, now);
  return prefillFreeAt_ - now + options_.firstEventTime;
}

/// A cached block is used whatever tenant and weights version it comes from, as engines do; misuse
/// is recorded.
void BatchEngine::checkCacheHit(const CachedBlock& block, const BatchRun& run) {
  if (block.version != run.version) ++violations_["stale-memory"];
  bool isolated =
      isolatedTenants_.contains(block.tenant) || isolatedTenants_.contains(run.tenant.value);
  if (isolated && block.tenant != run.tenant.value) ++violations_["across-a-wall"];
}

Duration BatchEngine::eventInterval() const {
  Duration one = options_.tokenTime + options_.tokenTimePerRun * static_cast<double>(running_);
  return one * static_cast<double>(options_.stride);
}

void BatchEngine::recordFirstEvent(const BatchRun& run, MonotonicTime) {
  ++startedIds_[run.clientId];
}

void BatchEngine::endRun(const BatchRun&) { running_ = std::max<std::int64_t>(0, running_ - 1); }

void BatchEngine::recordChange(bool cached, const std::string& key, std::int64_t tokens,
                               const ModelName& model, MonotonicTime now) {
  auto line = key.find('\n');
  PrefixBlockChange change{nextSequence_++,      cached, key.substr(0, line),
                           key.substr(line + 1), tokens, model};
  if (random_.fraction() < options_.eventLossRate) return;
  changeLog_.push_back({std::move(change), now + options_.eventDelay});
  if (changeLog_.size() > options_.eventLogCapacity) changeLog_.pop_front();
}

void BatchEngine::evictFor(std::int64_t tokens, MonotonicTime now) {
  while (cachedTokens_ + tokens > options_.kvTokens && !lru_.empty()) {
    std::string key = lru_.front();
    lru_.pop_front();
    auto found = blocks_.find(key);
    cachedTokens_ -= found->second.tokens;
    recordChange(false, key, 0, found->second.model, now);
    blocks_.erase(found);
  }
}

void BatchEngine::insertBlocks(const std::string& salt, const ModelName& model,
                               std::span<const PromptBlock> blocks, WeightsVersion version,
                               const std::string& tenant, MonotonicTime now) {
  for (const auto& block : blocks) {
    std::string key = cacheKey(salt, block.id);
    auto found = blocks_.find(key);
    if (found != blocks_.end() && found->second.tokens >= block.tokens) continue;
    if (found != blocks_.end()) {
      cachedTokens_ -= found->second.tokens;
      lru_.erase(found->second.lruPosition);
      blocks_.erase(found);
    }
    evictFor(block.tokens, now);
    if (cachedTokens_ + block.tokens > options_.kvTokens) return;
    lru_.push_back(key);
    blocks_[key] = {block.tokens, model, version, tenant, now, std::prev(lru_.end())};
    cachedTokens_ += block.tokens;
    recordChange(true, key, block.tokens, model, now);
  }
}

LoadOrderOutcome BatchEngine::handleLoadOrder(const OrderWeightsLoad& order, bool fenced,
                                              MonotonicTime now) {
  tick(now);
  if (order.engine != id_) return LoadOrderOutcome::kWrongEngine;
  if (order.fencingToken < fencingToken_) {
    if (fenced) return LoadOrderOutcome::kFenced;
    ++violations_["lower-fence"];
  }
  if (order.fencingToken == fencingToken_ && !leaseHolder_.empty() && order.holder != leaseHolder_)
    ++violations_["two-holders"];
  if (!leaseHolder_.empty() && order.holder != leaseHolder_ && now - lastOrderAt_ < seconds(3))
    ++violations_["holders-in-turns"];
  fencingToken_ = std::max(fencingToken_, order.fencingToken);
  leaseHolder_ = order.holder;
  lastOrderAt_ = now;
  auto version = models_.try_emplace(order.model, WeightsVersion{1}).first->second;
  if (version == order.version) return LoadOrderOutcome::kAlreadyLoaded;
  if (loading() || (order.expectedCallCount && *order.expectedCallCount != orderCount_))
    return LoadOrderOutcome::kBusy;
  ++orderCount_;
  loadingModel_ = order.model;
  loadingVersion_ = order.version;
  loadEndsAt_ = now + options_.loadTime;
  loadAbortsRuns_ = order.mode == LoadMode::kAbortRequests;
  return LoadOrderOutcome::kAccepted;
}

void BatchEngine::tick(MonotonicTime now) {
  if (!loading() || now < loadEndsAt_) return;
  if (running_ > 0) {  // the load waits for running requests
    loadEndsAt_ = now;
    return;
  }
  loadEndsAt_ = kForever;
  models_[loadingModel_] = loadingVersion_;
  std::vector<std::string> staleKeys;
  for (const auto& [key, block] : blocks_)
    if (block.model == loadingModel_) staleKeys.push_back(key);
  for (const auto& key : staleKeys) {
    auto found = blocks_.find(key);
    cachedTokens_ -= found->second.tokens;
    lru_.erase(found->second.lruPosition);
    recordChange(false, key, 0, found->second.model, now);
    blocks_.erase(found);
  }
}

PrefixBlocksPolled BatchEngine::pollBlocks(std::uint64_t since, MonotonicTime now) const {
  PrefixBlocksPolled answer;
  answer.status = 200;
  answer.epoch = epoch_;
  answer.next = since;
  answer.lost = !changeLog_.empty() && since + 1 < changeLog_.front().change.sequence && since > 0;
  for (const auto& logged : changeLog_) {
    if (logged.change.sequence <= since || logged.visibleAt > now) continue;
    answer.changes.push_back(logged.change);
    answer.next = logged.change.sequence;
  }
  return answer;
}

PrefixBlocksListed BatchEngine::listBlocks(MonotonicTime) const {
  PrefixBlocksListed answer;
  answer.status = 200;
  answer.epoch = epoch_;
  answer.next = nextSequence_ - 1;
  for (const auto& [key, block] : blocks_) {
    auto line = key.find('\n');
    answer.blocks.push_back(
        {0, true, key.substr(0, line), key.substr(line + 1), block.tokens, block.model});
  }
  return answer;
}

EngineReport BatchEngine::report() const {
  EngineReport report;
  report.models = models_;
  report.busy = loading();
  report.callCount = orderCount_;
  report.running = running_;
  report.kvCapacity = options_.kvTokens;
  return report;
}

void BatchEngine::restart(EngineId id, std::uint64_t epoch) {
  id_ = std::move(id);
  epoch_ = epoch;
  blocks_.clear();
  lru_.clear();
  changeLog_.clear();
  cachedTokens_ = runningTokens_ = running_ = waiting_ = 0;
  orderCount_ = fencingToken_ = 0;
  leaseHolder_.clear();
  loadEndsAt_ = kForever;
  prefillFreeAt_ = linkFreeAt_ = {};
}

}  // namespace peppergate
