#include "prompts/part_index.h"

#include <algorithm>

namespace peppergate {
namespace {

/// Engines allocate cache memory in pages, so the end of a block may be missing. Computing it again
/// takes almost no time.
bool isWhole(std::int64_t kept, std::int64_t tokens) {
  return kept >= tokens || tokens - kept < std::max<std::int64_t>(16, tokens / 50);
}

}  // namespace

std::uint32_t PartIndex::slotOf(const EngineId& engine) {
  auto [found, fresh] = slotOf_.try_emplace(engine, 0);
  if (!fresh) return found->second;
  if (freeSlots_.empty()) {
    found->second = static_cast<std::uint32_t>(slots_.size());
    slots_.emplace_back();
  } else {
    found->second = freeSlots_.back();
    freeSlots_.pop_back();
  }
  slots_[found->second] = Slot{engine, false, {}, {}};
  return found->second;
}

std::uint32_t PartIndex::saltNumber(std::string_view salt) {
  auto found = salts_.find(salt);
  if (found != salts_.end()) return found->second;
  found = salts_.emplace(std::string(salt), static_cast<std::uint32_t>(salts_.size())).first;
  saltTexts_.push_back(&found->first);
  return found->second;
}

const std::vector<PartIndex::Entry>* PartIndex::entries(std::string_view salt,
                                                        std::string_view part) const {
  auto number = salts_.find(salt);
  if (number == salts_.end()) return nullptr;
  auto found = kept_.find(PartView{number->second, part});
  return found == kept_.end() ? nullptr : &found->second;
}

void PartIndex::put(std::uint32_t slot, std::string_view salt, std::string_view part,
                    std::int64_t tokens) {
  PartView view{saltNumber(salt), part};
  auto found = kept_.find(view);
  if (tokens <= 0) {
    if (found != kept_.end()) drop(slot, found);
    return;
  }
  if (found == kept_.end())
    found = kept_.emplace(PartKey{view.salt, std::string(part)}, std::vector<Entry>{}).first;
  auto held = static_cast<std::int32_t>(std::min<std::int64_t>(tokens, INT32_MAX));
  auto entry = std::ranges::find(found->second, slot, &Entry::engine);
  if (entry != found->second.end()) {
    entry->tokens = held;
    return;
  }
  auto& list = slots_[slot].parts;
  found->second.push_back({slot, held, static_cast<std::uint32_t>(list.size())});
  list.push_back(&*found);
  ++size_;
}

void PartIndex::drop(std::uint32_t slot, Kept::iterator found) {
  auto entry = std::ranges::find(found->second, slot, &Entry::engine);
  if (entry == found->second.end()) return;
  auto& list = slots_[slot].parts;
  if (entry->place + 1 < list.size()) {  // the last element fills the gap
    list[entry->place] = list.back();
    auto& moved = list.back()->second;
    std::ranges::find(moved, slot, &Entry::engine)->place = entry->place;
  }
  list.pop_back();
  *entry = found->second.back();
  found->second.pop_back();
  if (found->second.empty()) kept_.erase(found);
  --size_;
}

void PartIndex::clear(std::uint32_t slot) {
  auto& list = slots_[slot].parts;
  while (!list.empty())
    drop(slot, kept_.find(PartView{list.back()->first.salt, list.back()->first.part}));
  list.shrink_to_fit();
}

bool PartIndex::hear(const PrefixBlockUpdate& news) {
  std::uint32_t number = slotOf(news.engine);
  const PartMark& mark = slots_[number].mark;
  if (slots_[number].told && mark.epoch == news.epoch && news.next < mark.next)
    return true;  // outdated
  if (news.whole || (slots_[number].told && slots_[number].mark.epoch != news.epoch)) clear(number);
  Slot& slot = slots_[number];
  if (!slot.told || slot.mark.epoch != news.epoch) slot.mark = {news.epoch, 0};
  slot.told = true;
  bool gap = !news.whole && news.from > slot.mark.next;
  slot.mark.next = news.next;
  std::size_t count = std::min({news.salts.size(), news.parts.size(), news.tokens.size()});
  std::string_view salt;
  for (std::size_t index = 0; index < count; ++index) {
    if (!news.salts[index].empty()) salt = news.salts[index];
    put(number, salt, news.parts[index], news.tokens[index]);
  }
  return !gap;
}

void PartIndex::expect(const EngineId& engine, const std::string& salt,
                       std::span<const PartSize> parts) {
  std::uint32_t slot = slotOf(engine);
  for (const auto& part : parts) put(slot, salt, part.id, part.tokens);
}

void PartIndex::forget(const EngineId& engine) {
  auto found = slotOf_.find(engine);
  if (found == slotOf_.end()) return;
  clear(found->second);
  slots_[found->second] = {};
  freeSlots_.push_back(found->second);
  slotOf_.erase(found);
}

std::int64_t PartIndex::keptTokens(const EngineId& engine, const std::string& salt,
                                   std::span<const PartSize> parts) const {
  auto slot = slotOf_.find(engine);
  if (slot == slotOf_.end()) return 0;
  std::int64_t kept = 0;
  for (const auto& part : parts) {
    const auto* found = entries(salt, part.id);
    if (found == nullptr) break;
    auto entry = std::ranges::find(*found, slot->second, &Entry::engine);
    if (entry == found->end()) break;
    kept += std::min<std::int64_t>(entry->tokens, part.tokens);
    if (!isWhole(entry->tokens, part.tokens)) break;
  }
  return kept;
}

std::vector<Holding> PartIndex::holdings(const std::string& salt,
                                         std::span<const PartSize> parts) const {
  struct Going {
    std::uint32_t slot;
    std::int64_t tokens;
    bool whole;
  };
  std::vector<Going> going;
  for (std::size_t index = 0; index < parts.size(); ++index) {
    const auto* found = entries(salt, parts[index].id);
    if (found == nullptr) break;
    bool any = false;
    for (const auto& entry : *found) {
      std::int64_t tokens = std::min<std::int64_t>(entry.tokens, parts[index].tokens);
      bool whole = isWhole(entry.tokens, parts[index].tokens);
      if (index == 0) {
        going.push_back({entry.engine, tokens, whole});
      } else {
        auto before = std::ranges::find(going, entry.engine, &Going::slot);
        if (before == going.end() || !before->whole) continue;
        before->tokens += tokens;
        // Complete up to this block only if all blocks before it were complete.
        before->whole = whole;
      }
      any = any || whole;
    }
    for (auto& one : going)  // the prefix ends for engines without this block
      if (one.whole && std::ranges::find(*found, one.slot, &Entry::engine) == found->end())
        one.whole = false;
    if (!any) break;
  }
  std::vector<Holding> holdings;
  holdings.reserve(going.size());
  for (const auto& one : going) holdings.push_back({slots_[one.slot].engine, one.tokens});
  return holdings;
}

std::vector<EngineId> PartIndex::holders(const std::string& salt, const std::string& part) const {
  std::vector<EngineId> holders;
  if (const auto* found = entries(salt, part))
    for (const auto& entry : *found) holders.push_back(slots_[entry.engine].engine);
  return holders;
}

std::size_t PartIndex::holderCount(const std::string& salt, const std::string& part) const {
  const auto* found = entries(salt, part);
  return found == nullptr ? 0 : found->size();
}

std::optional<PartMark> PartIndex::known(const EngineId& engine) const {
  auto found = slotOf_.find(engine);
  if (found == slotOf_.end() || !slots_[found->second].told) return std::nullopt;
  return slots_[found->second].mark;
}

PrefixBlockUpdate PartIndex::whole(const EngineId& engine) const {
  PrefixBlockUpdate news;
  news.engine = engine;
  news.whole = true;
  auto found = slotOf_.find(engine);
  if (found == slotOf_.end()) return news;
  const Slot& slot = slots_[found->second];
  news.epoch = slot.mark.epoch;
  news.from = news.next = slot.mark.next;
  std::uint32_t last = UINT32_MAX;
  for (const auto* part : slot.parts) {
    const auto& [key, holders] = *part;
    news.salts.push_back(key.salt == last ? std::string() : *saltTexts_[key.salt]);
    last = key.salt;
    news.parts.push_back(key.part);
    news.tokens.push_back(std::ranges::find(holders, found->second, &Entry::engine)->tokens);
  }
  return news;
}

std::vector<EngineId> PartIndex::engines() const {
  std::vector<EngineId> engines;
  for (const auto& [engine, slot] : slotOf_) engines.push_back(engine);
  return engines;
}

}  // namespace peppergate
