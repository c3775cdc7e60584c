#pragma once
// Index of the prompt prefix blocks that engines and the store cache. Entries are estimates: a
// wrong one costs a repeated prefill, nothing more.
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/messages.h"
#include "core/types.h"
#include "requests/events.h"
#include "requests/placer.h"

namespace peppergate {

/// The length of a prompt's prefix that an engine caches.
struct CachedPrefix {
  EngineId engine;
  std::int64_t tokens = 0;
};

/// The position up to which the changes of one engine are known.
struct ChangePosition {
  std::uint64_t epoch = 0, next = 0;
};

/// The time of a lookup depends on the number of its blocks and their holders, not on the size of
/// the index.
class PrefixBlockIndex final : public PrefixBlockRecorder {
 public:
  /// Applies a watcher's update; false if earlier changes are missing here.
  bool apply(const PrefixBlockUpdate& update);
  /// Records the blocks that an engine is expected to cache after a request's first event.
  void recordExpected(const EngineId& engine, const std::string& salt,
                      std::span<const PromptBlock> blocks) override;
  /// Removes all entries of an engine that restarted or left the list.
  void removeEngine(const EngineId& engine);
  /// The prefix tokens that the engine caches: complete blocks in order, and the available tokens
  /// of the first incomplete one.
  std::int64_t cachedTokens(const EngineId& engine, const std::string& salt,
                            std::span<const PromptBlock> blocks) const;
  /// The same for all engines that cache any of it, in no order.
  std::vector<CachedPrefix> cachedPrefixes(const std::string& salt,
                                           std::span<const PromptBlock> blocks) const;
  /// The engines that cache any tokens of a block.
  std::vector<EngineId> enginesWithBlock(const std::string& salt, const std::string& block) const;
  /// The number of engines that cache any tokens of a block.
  std::size_t engineCount(const std::string& salt, const std::string& block) const;
  /// The position up to which an engine's changes are known, from which a new watcher continues
  /// polling; nothing if no update of the engine was received.
  std::optional<ChangePosition> knownPosition(const EngineId& engine) const;
  /// A complete update for a router that lacks changes.
  PrefixBlockUpdate completeUpdate(const EngineId& engine) const;
  /// Engines with entries or a known position.
  std::vector<EngineId> engines() const;
  /// The number of entries, each one a block at one engine.
  std::size_t size() const { return size_; }

 private:
  struct BlockKey {
    std::uint32_t salt = 0;
    std::string part;
  };
  struct BlockKeyView {
    std::uint32_t salt = 0;
    std::string_view part;
  };
  struct BlockKeyHash {
    using is_transparent = void;
    std::size_t operator()(const BlockKeyView& view) const {
      return std::hash<std::string_view>{}(view.part) * 31 + view.salt;
    }
    std::size_t operator()(const BlockKey& key) const {
      return (*this)(BlockKeyView{key.salt, key.part});
    }
  };
  struct BlockKeyEqual {
    using is_transparent = void;
    static BlockKeyView view(const BlockKey& key) { return {key.salt, key.part}; }
    static BlockKeyView view(const BlockKeyView& key) { return key; }
    template <class A, class B>
    bool operator()(const A& a, const B& b) const {
      return view(a).salt == view(b).salt && view(a).part == view(b).part;
    }
  };
  struct Entry {
    std::uint32_t engine = 0;  // index of its slot
    std::int32_t tokens = 0;
    std::uint32_t position = 0;  // position in the slot's block list
  };
  using BlockMap = std::unordered_map<BlockKey, std::vector<Entry>, BlockKeyHash, BlockKeyEqual>;
  struct EngineSlot {
    EngineId engine;
    bool hasPosition = false;  // an update was received from a watcher
    ChangePosition position;
    std::vector<BlockMap::value_type*> blocks;
  };

  std::uint32_t slotFor(const EngineId& engine);
  std::uint32_t saltId(std::string_view salt);
  const std::vector<Entry>* entries(std::string_view salt, std::string_view block) const;
  void setTokens(std::uint32_t slot, std::string_view salt, std::string_view block,
                 std::int64_t tokens);
  void removeEntry(std::uint32_t slot, BlockMap::iterator found);
  void removeEntries(std::uint32_t slot);

  BlockMap blocks_;
  std::map<std::string, std::uint32_t, std::less<>> saltIds_;  // few: domains times versions
  std::vector<const std::string*> saltTexts_;
  std::map<EngineId, std::uint32_t> slotByEngine_;
  std::vector<EngineSlot> slots_;
  std::vector<std::uint32_t> freeSlots_;
  std::size_t size_ = 0;
};

}  // namespace peppergate
