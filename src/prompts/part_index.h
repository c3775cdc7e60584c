#pragma once
// Which engine or store keeps which prompt part. Entries are guesses: a wrong one costs a read.
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

/// How much of a prompt's beginning an engine keeps.
struct Holding {
  EngineId engine;
  std::int64_t tokens = 0;
};

/// How far the changes of one engine are known.
struct PartMark {
  std::uint64_t epoch = 0, next = 0;
};

/// A look-up takes time by the number of parts and of their holders, whatever else is kept.
/// Example: `index.keptTokens(engine, salt, parts)` is how much of a prompt it needs not read.
class PartIndex final : public KeptParts {
 public:
  /// A watcher's word; false if changes before it are missing here. Example: on a
  /// PrefixBlockUpdate.
  bool hear(const PrefixBlockUpdate& news);
  /// What this front expects once a request's first event came. Example: after a read.
  void expect(const EngineId& engine, const std::string& salt,
              std::span<const PartSize> parts) override;
  /// The engine's life ended, or it left. Example: `index.forget(engine)`.
  void forget(const EngineId& engine);
  /// Tokens of the prompt's beginning that it keeps: whole parts in order, and of the first one
  /// that isn't whole what there is. Example: see the class.
  std::int64_t keptTokens(const EngineId& engine, const std::string& salt,
                          std::span<const PartSize> parts) const;
  /// The same for all that keep any of it, in no order. Example: before a request is placed.
  std::vector<Holding> holdings(const std::string& salt, std::span<const PartSize> parts) const;
  /// Who keeps any of the first part. Example: candidates for a source.
  std::vector<EngineId> holders(const std::string& salt, const std::string& part) const;
  /// How many keep any of a part. Example: `index.holderCount("/llm.1", "5c1e") > engines / 2`.
  std::size_t holderCount(const std::string& salt, const std::string& part) const;
  /// How far an engine's changes are known; nothing if it was never told of. Example: to go on
  /// with the polls of another watcher.
  std::optional<PartMark> known(const EngineId& engine) const;
  /// All that is kept there, for a front that lacks it. Example: `outbox.send(to, index.whole(e))`.
  PrefixBlockUpdate whole(const EngineId& engine) const;
  /// Engines with entries or marks. Example: to forget those that left the list.
  std::vector<EngineId> engines() const;
  /// Entries, each a part at one engine. Example: for the status page.
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
    std::uint32_t engine = 0;  // its slot
    std::int32_t tokens = 0;
    std::uint32_t place = 0;  // in the engine's list
  };
  using Kept = std::unordered_map<PartKey, std::vector<Entry>, Hash, Same>;
  struct Slot {
    EngineId engine;
    bool told = false;  // by a watcher
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
  std::map<std::string, std::uint32_t, std::less<>> salts_;  // few: walls times versions
  std::vector<const std::string*> saltTexts_;
  std::map<EngineId, std::uint32_t> slotOf_;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> freeSlots_;
  std::size_t size_ = 0;
};

}  // namespace peppergate
