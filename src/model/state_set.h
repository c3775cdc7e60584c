#pragma once
/// The states that a search has been to, with how many departures were left there; for threads.
#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace peppergate::model {

class StateSet {
 public:
  /// Whether a state has to be gone on from: it is new, or was met with fewer departures left.
  bool enter(std::uint64_t fingerprint, int departuresLeft) {
    Shard& shard = shards_[fingerprint % kShards];
    std::lock_guard lock(shard.mutex);
    auto [entry, fresh] =
        shard.left.try_emplace(fingerprint, static_cast<std::int8_t>(departuresLeft));
    if (fresh) {
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
    std::unordered_map<std::uint64_t, std::int8_t> left;
  };
  std::array<Shard, kShards> shards_;
  std::atomic<std::uint64_t> size_{0};
};

}  // namespace peppergate::model
