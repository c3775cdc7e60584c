#pragma once
/// The states that a search has visited, each with the number of departures left there.
#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace peppergate::model {

/// Thread-safe: split into shards with a lock each.
class VisitedStates {
 public:
  /// Adds a state; returns whether to explore it: it is new, or was visited with fewer departures
  /// left.
  bool visit(std::uint64_t fingerprint, int departuresLeft) {
    Shard& shard = shards_[fingerprint % kShards];
    std::lock_guard lock(shard.mutex);
    auto [entry, isNew] = shard.departuresLeftByState.try_emplace(
        fingerprint, static_cast<std::int8_t>(departuresLeft));
    if (isNew) {
      ++size_;
      return true;
    }
    if (entry->second >= departuresLeft) return false;
    entry->second = static_cast<std::int8_t>(departuresLeft);
    return true;
  }
  std::uint64_t size() const { return size_; }

 private:
  static constexpr std::size_t kShards = 64;
  struct Shard {
    std::mutex mutex;
    std::unordered_map<std::uint64_t, std::int8_t> departuresLeftByState;
  };
  std::array<Shard, kShards> shards_;
  std::atomic<std::uint64_t> size_{0};
};

}  // namespace peppergate::model
