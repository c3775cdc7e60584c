#include "sim/batch_engine.h"

#include <algorithm>

namespace peppergate {
namespace {

std::string keyOf(const std::string& salt, const std::string& part) { return salt + '\n' + part; }

}  // namespace

BatchEngine::BatchEngine(BatchOptions options, EngineId id, std::uint64_t seed)
    : options_(options), id_(std::move(id)), random_(seed) {}

BatchVerdict BatchEngine::take(const OpenAttempt& attempt, const RequestArrived& request,
                               MonotonicTime now, BatchRun& run) {
  tick(now);
  if (attempt.engine != id_) return BatchVerdict::kOtherEngine;
  auto version = models_.try_emplace(request.model, WeightsVersion{1}).first->second;
  if (attempt.expect && *attempt.expect != version) return BatchVerdict::kOtherVersion;
  if (loading() && loadModel_ == request.model) return BatchVerdict::kLoading;
  if (running_ >= options_.slots + options_.queue) return BatchVerdict::kFull;
  run.number = nextRun_++;
  run.clientId = attempt.clientId;
  run.tenant = attempt.tenant;
  run.salt = attempt.salt;
  run.model = request.model;
  run.parts = request.parts;
  run.tokensOut = request.tokensOut;
  run.version = version;
  run.last = static_cast<std::uint64_t>(
      std::max<std::int64_t>(1, (request.tokensOut + options_.stride - 1) / options_.stride));
  // Event ids count tokens.
  run.next = attempt.resumeAfter
                 ? (*attempt.resumeAfter / static_cast<std::uint64_t>(options_.stride)) + 1
                 : 1;
  ++running_;
  return BatchVerdict::kTaken;
}

std::int64_t BatchEngine::kept(const std::string& salt, std::span<const PartSize> parts) const {
  std::int64_t tokens = 0;
  for (const auto& part : parts) {
    auto found = parts_.find(keyOf(salt, part.id));
    if (found == parts_.end()) break;
    tokens += std::min(found->second.tokens, part.tokens);
    if (found->second.tokens < part.tokens) break;
  }
  return tokens;
}

Duration BatchEngine::read(const BatchRun& run, BatchEngine* source, double distance,
                           MonotonicTime now) {
  std::int64_t own = kept(run.salt, run.parts), whole = 0;
  for (const auto& part : run.parts) {
    whole += part.tokens;
    auto found = parts_.find(keyOf(run.salt, part.id));
    if (found == parts_.end()) continue;
    this->found(found->second, run);
    found->second.used = now;
    byUse_.splice(byUse_.end(), byUse_, found->second.place);
  }
  MonotonicTime ready = now;
  if (source != nullptr && source != this) {
    std::int64_t theirs = source->kept(run.salt, run.parts);
    if (theirs > own) {
      double bits = static_cast<double>((theirs - own) * options_.tokenBytes) * 8;
      Duration move{static_cast<std::int64_t>(
          bits * distance / std::min(options_.linkMbps, source->options_.linkMbps))};
      MonotonicTime start = std::max({now, linkFree_, source->linkFree_});
      if (start - now < seconds(2)) {
        linkFree_ = source->linkFree_ = ready = start + move;
        tokensMoved_ += theirs - own;
        for (const auto& part : run.parts) {
          auto found = source->parts_.find(keyOf(run.salt, part.id));
          if (found == source->parts_.end()) continue;
          keep(run.salt, run.model, std::span(&part, 1), found->second.madeUnder,
               found->second.tenant, now);
          this->found(found->second, run);
        }
        own = theirs;
      }
    }
  }
  std::int64_t missing = whole - own;
  tokensRead_ += missing;
  MonotonicTime start = std::max(ready, readFree_);
  readFree_ = start + Duration{static_cast<std::int64_t>(static_cast<double>(missing) /
                                                         options_.tokensPerMs * 1000)};
  keep(run.salt, run.model, run.parts, run.version, run.tenant.value, now);
  return readFree_ - now + options_.firstStep;
}

/// A cached block is used whatever tenant and weights version it comes from, as engines do; misuse
/// is recorded.
void BatchEngine::found(const Kept& part, const BatchRun& run) {
  if (part.madeUnder != run.version) ++violations_["stale-memory"];
  bool walled = isolated_.contains(part.tenant) || isolated_.contains(run.tenant.value);
  if (walled && part.tenant != run.tenant.value) ++violations_["across-a-wall"];
}

Duration BatchEngine::pace() const {
  Duration one = options_.step + options_.stepEach * static_cast<double>(running_);
  return one * static_cast<double>(options_.stride);
}

void BatchEngine::began(const BatchRun& run, MonotonicTime) { ++beganIds_[run.clientId]; }

void BatchEngine::ended(const BatchRun&) { running_ = std::max<std::int64_t>(0, running_ - 1); }

void BatchEngine::note(bool isKept, const std::string& key, std::int64_t tokens,
                       const ModelName& model, MonotonicTime now) {
  auto line = key.find('\n');
  PartChange change{nextNumber_++,        isKept, key.substr(0, line),
                    key.substr(line + 1), tokens, model};
  if (random_.fraction() < options_.eventsLost) return;
  told_.push_back({std::move(change), now + options_.eventsLate});
  if (told_.size() > options_.eventsKept) told_.pop_front();
}

void BatchEngine::allowElection(std::int64_t tokens, MonotonicTime now) {
  while (keptTokens_ + tokens > options_.kvTokens && !byUse_.empty()) {
    std::string key = byUse_.front();
    byUse_.pop_front();
    auto found = parts_.find(key);
    keptTokens_ -= found->second.tokens;
    note(false, key, 0, found->second.model, now);
    parts_.erase(found);
  }
}

void BatchEngine::keep(const std::string& salt, const ModelName& model,
                       std::span<const PartSize> parts, WeightsVersion madeUnder,
                       const std::string& tenant, MonotonicTime now) {
  for (const auto& part : parts) {
    std::string key = keyOf(salt, part.id);
    auto found = parts_.find(key);
    if (found != parts_.end() && found->second.tokens >= part.tokens) continue;
    if (found != parts_.end()) {
      keptTokens_ -= found->second.tokens;
      byUse_.erase(found->second.place);
      parts_.erase(found);
    }
    allowElection(part.tokens, now);
    if (keptTokens_ + part.tokens > options_.kvTokens) return;
    byUse_.push_back(key);
    parts_[key] = {part.tokens, model, madeUnder, tenant, now, std::prev(byUse_.end())};
    keptTokens_ += part.tokens;
    note(true, key, part.tokens, model, now);
  }
}

OrderOutcome BatchEngine::order(const OrderWeights& order, bool fenced, MonotonicTime now) {
  tick(now);
  if (order.engine != id_) return OrderOutcome::kOtherEngine;
  if (order.fence < fence_) {
    if (fenced) return OrderOutcome::kFenced;
    ++violations_["lower-fence"];
  }
  if (order.fence == fence_ && !holder_.empty() && order.holder != holder_)
    ++violations_["two-holders"];
  if (!holder_.empty() && order.holder != holder_ && now - orderedAt_ < seconds(3))
    ++violations_["holders-in-turns"];
  fence_ = std::max(fence_, order.fence);
  holder_ = order.holder;
  orderedAt_ = now;
  auto version = models_.try_emplace(order.model, WeightsVersion{1}).first->second;
  if (version == order.version) return OrderOutcome::kHolds;
  if (loading() || (order.expectedCalls && *order.expectedCalls != orderCount_))
    return OrderOutcome::kBusy;
  ++orderCount_;
  loadModel_ = order.model;
  loadVersion_ = order.version;
  loadEnds_ = now + options_.loadTime;
  cuts_ = order.mode == LoadMode::kCut;
  return OrderOutcome::kTaken;
}

void BatchEngine::tick(MonotonicTime now) {
  if (!loading() || now < loadEnds_) return;
  if (running_ > 0) {  // the load waits for running requests
    loadEnds_ = now;
    return;
  }
  loadEnds_ = kForever;
  models_[loadModel_] = loadVersion_;
  std::vector<std::string> gone;
  for (const auto& [key, part] : parts_)
    if (part.model == loadModel_) gone.push_back(key);
  for (const auto& key : gone) {
    auto found = parts_.find(key);
    keptTokens_ -= found->second.tokens;
    byUse_.erase(found->second.place);
    note(false, key, 0, found->second.model, now);
    parts_.erase(found);
  }
}

PartsPolled BatchEngine::poll(std::uint64_t since, MonotonicTime now) const {
  PartsPolled answer;
  answer.status = 200;
  answer.epoch = epoch_;
  answer.next = since;
  answer.lost = !told_.empty() && since + 1 < told_.front().change.number && since > 0;
  for (const auto& told : told_) {
    if (told.change.number <= since || told.at > now) continue;
    answer.changes.push_back(told.change);
    answer.next = told.change.number;
  }
  return answer;
}

PartsListed BatchEngine::list(MonotonicTime) const {
  PartsListed answer;
  answer.status = 200;
  answer.epoch = epoch_;
  answer.next = nextNumber_ - 1;
  for (const auto& [key, part] : parts_) {
    auto line = key.find('\n');
    answer.held.push_back(
        {0, true, key.substr(0, line), key.substr(line + 1), part.tokens, part.model});
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
  parts_.clear();
  byUse_.clear();
  told_.clear();
  keptTokens_ = runningTokens_ = running_ = waiting_ = 0;
  orderCount_ = fence_ = 0;
  holder_.clear();
  loadEnds_ = kForever;
  readFree_ = linkFree_ = {};
}

}  // namespace peppergate
