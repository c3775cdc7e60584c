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
struct Holding {
  EngineId engine;
  std::int64_t tokens = 0;
};

/// The position up to which the changes of one engine are known.
struct PartMark {
  std::uint64_t epoch = 0, next = 0;
};

/// The time of a lookup depends on the number of its blocks and their holders, not on the size of
/// the index.
class PartIndex final : public KeptParts {
 public:
  /// Applies a watcher's update; false if earlier changes are missing here.
  bool hear(const PrefixBlockUpdate& news);
  /// Records the blocks that an engine is expected to cache after a request's first event.
  void expect(const EngineId& engine, const std::string& salt,
              std::span<const PartSize> parts) override;
  /// Removes all entries of an engine that restarted or left the list.
  void forget(const EngineId& engine);
  /// The prefix tokens that the engine caches: complete blocks in order, and the available tokens
  /// of the first incomplete one.
  std::int64_t keptTokens(const EngineId& engine, const std::string& salt,
                          std::span<const PartSize> parts) const;
  /// The same for all engines that cache any of it, in no order.
  std::vector<Holding> holdings(const std::string& salt, std::span<const PartSize> parts) const;
  /// The engines that cache any tokens of a block.
  std::vector<EngineId> holders(const std::string& salt, const std::string& part) const;
  /// The number of engines that cache any tokens of a block.
  std::size_t holderCount(const std::string& salt, const std::string& part) const;
  /// The position up to which an engine's changes are known, from which a new watcher continues
  /// polling; nothing if no update of the engine was received.
  std::optional<PartMark> known(const EngineId& engine) const;
  /// A complete update for a router that lacks changes.
  PrefixBlockUpdate whole(const EngineId& engine) const;
  /// Engines with entries or a known position.
  std::vector<EngineId> engines() const;
  /// The number of entries, each one a block at one engine.
  std::size_t size() const { return size_; }

 private:
  struct PartKey {
    std::uint32_t salt = 0;
    std::string part;
  };
  struct PartView {
    std::uint32_t salt = 0;
    std::string_view part;
  };
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(const PartView& view) const {
      return std::hash<std::string_view>{}(view.part) * 31 + view.salt;
    }
    std::size_t operator()(const PartKey& key) const {
      return (*this)(PartView{key.salt, key.part});
    }
  };
  struct Same {
    using is_transparent = void;
    static PartView view(const PartKey& key) { return {key.salt, key.part}; }
    static PartView view(const PartView& key) { return key; }
    template <class A, class B>
    bool operator()(const A& a, const B& b) const {
      return view(a).salt == view(b).salt && view(a).part == view(b).part;
    }
  };
  struct Entry {
    std::uint32_t engine = 0;  // index of its slot
    std::int32_t tokens = 0;
    std::uint32_t place = 0;  // position in the slot's block list
  };
  using Kept = std::unordered_map<PartKey, std::vector<Entry>, Hash, Same>;
  struct Slot {
    EngineId engine;
    bool told = false;  // an update was received from a watcher
    PartMark mark;
    std::vector<Kept::value_type*> parts;
  };

  std::uint32_t slotOf(const EngineId& engine);
  std::uint32_t saltNumber(std::string_view salt);
  const std::vector<Entry>* entries(std::string_view salt, std::string_view part) const;
  void put(std::uint32_t slot, std::string_view salt, std::string_view part, std::int64_t tokens);
  void drop(std::uint32_t slot, Kept::iterator found);
  void clear(std::uint32_t slot);

  Kept kept_;
  std::map<std::string, std::uint32_t, std::less<>> salts_;  // few: domains times versions
  std::vector<const std::string*> saltTexts_;
  std::map<EngineId, std::uint32_t> slotOf_;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> freeSlots_;
  std::size_t size_ = 0;
};

}  // namespace peppergate
