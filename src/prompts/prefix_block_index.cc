#include "prompts/prefix_block_index.h"

#include <algorithm>

namespace peppergate {
namespace {

/// Engines allocate cache memory in pages, so the end of a block may be missing. Computing it again
/// takes almost no time.
bool isComplete(std::int64_t cachedTokens, std::int64_t tokens) {
  return cachedTokens >= tokens || tokens - cachedTokens < std::max<std::int64_t>(16, tokens / 50);
}

}  // namespace

std::uint32_t PrefixBlockIndex::slotFor(const EngineId& engine) {
  auto [found, fresh] = slotByEngine_.try_emplace(engine, 0);
  if (!fresh) return found->second;
  if (freeSlots_.empty()) {
    found->second = static_cast<std::uint32_t>(slots_.size());
    slots_.emplace_back();
  } else {
    found->second = freeSlots_.back();
    freeSlots_.pop_back();
  }
  slots_[found->second] = EngineSlot{engine, false, {}, {}};
  return found->second;
}

std::uint32_t PrefixBlockIndex::saltId(std::string_view salt) {
  auto found = saltIds_.find(salt);
  if (found != saltIds_.end()) return found->second;
  found = saltIds_.emplace(std::string(salt), static_cast<std::uint32_t>(saltIds_.size())).first;
  saltTexts_.push_back(&found->first);
  return found->second;
}

const std::vector<PrefixBlockIndex::Entry>* PrefixBlockIndex::entries(
    std::string_view salt, std::string_view block) const {
  auto number = saltIds_.find(salt);
  if (number == saltIds_.end()) return nullptr;
  auto found = blocks_.find(BlockKeyView{number->second, block});
  return found == blocks_.end() ? nullptr : &found->second;
}

void PrefixBlockIndex::setTokens(std::uint32_t slot, std::string_view salt, std::string_view block,
                                 std::int64_t tokens) {
  BlockKeyView view{saltId(salt), block};
  auto found = blocks_.find(view);
  if (tokens <= 0) {
    if (found != blocks_.end()) removeEntry(slot, found);
    return;
  }
  if (found == blocks_.end())
    found = blocks_.emplace(BlockKey{view.salt, std::string(block)}, std::vector<Entry>{}).first;
  auto stored = static_cast<std::int32_t>(std::min<std::int64_t>(tokens, INT32_MAX));
  auto entry = std::ranges::find(found->second, slot, &Entry::engine);
  if (entry != found->second.end()) {
    entry->tokens = stored;
    return;
  }
  auto& list = slots_[slot].blocks;
  found->second.push_back({slot, stored, static_cast<std::uint32_t>(list.size())});
  list.push_back(&*found);
  ++size_;
}

void PrefixBlockIndex::removeEntry(std::uint32_t slot, BlockMap::iterator found) {
  auto entry = std::ranges::find(found->second, slot, &Entry::engine);
  if (entry == found->second.end()) return;
  auto& list = slots_[slot].blocks;
  if (entry->position + 1 < list.size()) {  // the last element fills the gap
    list[entry->position] = list.back();
    auto& moved = list.back()->second;
    std::ranges::find(moved, slot, &Entry::engine)->position = entry->position;
  }
  list.pop_back();
  *entry = found->second.back();
  found->second.pop_back();
  if (found->second.empty()) blocks_.erase(found);
  --size_;
}

void PrefixBlockIndex::removeEntries(std::uint32_t slot) {
  auto& list = slots_[slot].blocks;
  while (!list.empty())
    removeEntry(slot, blocks_.find(BlockKeyView{list.back()->first.salt, list.back()->first.part}));
  list.shrink_to_fit();
}

bool PrefixBlockIndex::apply(const PrefixBlockUpdate& update) {
  std::uint32_t slotNumber = slotFor(update.engine);
  const ChangePosition& position = slots_[slotNumber].position;
  if (slots_[slotNumber].hasPosition && position.epoch == update.epoch &&
      update.nextSequence < position.next)
    return true;  // outdated
  if (update.isComplete ||
      (slots_[slotNumber].hasPosition && slots_[slotNumber].position.epoch != update.epoch))
    removeEntries(slotNumber);
  EngineSlot& slot = slots_[slotNumber];
  if (!slot.hasPosition || slot.position.epoch != update.epoch) slot.position = {update.epoch, 0};
  slot.hasPosition = true;
  bool gap = !update.isComplete && update.firstSequence > slot.position.next;
  slot.position.next = update.nextSequence;
  std::size_t count = std::min({update.salts.size(), update.blocks.size(), update.tokens.size()});
  std::string_view salt;
  for (std::size_t index = 0; index < count; ++index) {
    if (!update.salts[index].empty()) salt = update.salts[index];
    setTokens(slotNumber, salt, update.blocks[index], update.tokens[index]);
  }
  return !gap;
}

void PrefixBlockIndex::recordExpected(const EngineId& engine, const std::string& salt,
                                      std::span<const PromptBlock> blocks) {
  std::uint32_t slot = slotFor(engine);
  for (const auto& part : blocks) setTokens(slot, salt, part.id, part.tokens);
}

void PrefixBlockIndex::removeEngine(const EngineId& engine) {
  auto found = slotByEngine_.find(engine);
  if (found == slotByEngine_.end()) return;
  removeEntries(found->second);
  slots_[found->second] = {};
  freeSlots_.push_back(found->second);
  slotByEngine_.erase(found);
}

std::int64_t PrefixBlockIndex::cachedTokens(const EngineId& engine, const std::string& salt,
                                            std::span<const PromptBlock> blocks) const {
  auto slot = slotByEngine_.find(engine);
  if (slot == slotByEngine_.end()) return 0;
  std::int64_t cached = 0;
  for (const auto& part : blocks) {
    const auto* found = entries(salt, part.id);
    if (found == nullptr) break;
    auto entry = std::ranges::find(*found, slot->second, &Entry::engine);
    if (entry == found->end()) break;
    cached += std::min<std::int64_t>(entry->tokens, part.tokens);
    if (!isComplete(entry->tokens, part.tokens)) break;
  }
  return cached;
}

std::vector<CachedPrefix> PrefixBlockIndex::cachedPrefixes(
    const std::string& salt, std::span<const PromptBlock> blocks) const {
  struct PrefixMatch {
    std::uint32_t slot;
    std::int64_t tokens;
    bool complete;
  };
  std::vector<PrefixMatch> matches;
  for (std::size_t index = 0; index < blocks.size(); ++index) {
    const auto* found = entries(salt, blocks[index].id);
    if (found == nullptr) break;
    bool anyComplete = false;
    for (const auto& entry : *found) {
      std::int64_t tokens = std::min<std::int64_t>(entry.tokens, blocks[index].tokens);
      bool whole = isComplete(entry.tokens, blocks[index].tokens);
      if (index == 0) {
        matches.push_back({entry.engine, tokens, whole});
      } else {
        auto previous = std::ranges::find(matches, entry.engine, &PrefixMatch::slot);
        if (previous == matches.end() || !previous->complete) continue;
        previous->tokens += tokens;
        // Complete up to this block only if all blocks before it were complete.
        previous->complete = whole;
      }
      anyComplete = anyComplete || whole;
    }
    for (auto& match : matches)  // the prefix ends for engines without this block
      if (match.complete && std::ranges::find(*found, match.slot, &Entry::engine) == found->end())
        match.complete = false;
    if (!anyComplete) break;
  }
  std::vector<CachedPrefix> prefixes;
  prefixes.reserve(matches.size());
  for (const auto& match : matches) prefixes.push_back({slots_[match.slot].engine, match.tokens});
  return prefixes;
}

std::vector<EngineId> PrefixBlockIndex::enginesWithBlock(const std::string& salt,
                                                         const std::string& block) const {
  std::vector<EngineId> engines;
  if (const auto* found = entries(salt, block))
    for (const auto& entry : *found) engines.push_back(slots_[entry.engine].engine);
  return engines;
}

std::size_t PrefixBlockIndex::engineCount(const std::string& salt, const std::string& block) const {
  const auto* found = entries(salt, block);
  return found == nullptr ? 0 : found->size();
}

std::optional<ChangePosition> PrefixBlockIndex::knownPosition(const EngineId& engine) const {
  auto found = slotByEngine_.find(engine);
  if (found == slotByEngine_.end() || !slots_[found->second].hasPosition) return std::nullopt;
  return slots_[found->second].position;
}

PrefixBlockUpdate PrefixBlockIndex::completeUpdate(const EngineId& engine) const {
  PrefixBlockUpdate update;
  update.engine = engine;
  update.isComplete = true;
  auto found = slotByEngine_.find(engine);
  if (found == slotByEngine_.end()) return update;
  const EngineSlot& slot = slots_[found->second];
  update.epoch = slot.position.epoch;
  update.firstSequence = update.nextSequence = slot.position.next;
  std::uint32_t last = UINT32_MAX;
  for (const auto* part : slot.blocks) {
    const auto& [key, holders] = *part;
    update.salts.push_back(key.salt == last ? std::string() : *saltTexts_[key.salt]);
    last = key.salt;
    update.blocks.push_back(key.part);
    update.tokens.push_back(std::ranges::find(holders, found->second, &Entry::engine)->tokens);
  }
  return update;
}

std::vector<EngineId> PrefixBlockIndex::engines() const {
  std::vector<EngineId> engines;
  for (const auto& [engine, slot] : slotByEngine_) engines.push_back(engine);
  return engines;
}

}  // namespace peppergate
