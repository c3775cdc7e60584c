#include "core/link_notes.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr Duration kCountsFor = seconds(3);  // a notification is in use from its arrival
constexpr Duration kForgetAfter = seconds(6);
constexpr std::size_t kMostNames = 8192;  // the table is cleared above: new engines bring new names

struct MixHash {
  std::size_t operator()(const MixNumbers& mix) const {
    std::uint64_t hash = mix.className + 31 * static_cast<std::uint64_t>(mix.topRung) +
                         1009 * static_cast<std::uint64_t>(mix.floorRung);
    for (std::uint32_t link : mix.path()) hash = (hash ^ link) * 0x9e3779b97f4a7c15ULL;
    return hash ^ (hash >> 32);
  }
};

}  // namespace

std::uint32_t LinkNotes::Names::numberOf(const std::string& name) {
  auto [found, fresh] = numbers.try_emplace(name, static_cast<std::uint32_t>(names.size()));
  if (fresh) names.push_back(name);
  return found->second;
}

std::optional<std::uint32_t> LinkNotes::Names::find(const std::string& name) const {
  auto found = numbers.find(name);
  if (found == numbers.end()) return std::nullopt;
  return found->second;
}

void LinkNotes::hear(const UsageNotification& note, MonotonicTime now) {
  if (links_.names.size() > kMostNames) renumber();
  Note& kept = notes_[note.front];
  kept.heard = now;
  kept.links.clear();
  kept.mixes.clear();
  for (const auto& usage : note.links)
    kept.links.push_back(
        {links_.numberOf(usage.link.value), usage.rate, usage.demand, usage.fraction, usage.cut});
  for (const auto& mix : note.mixes) {
    if (mix.path.empty() || mix.path.size() > MixNumbers::kMostLinks) continue;
    NotedMix noted;
    for (const auto& link : mix.path)
      noted.numbers.links[noted.numbers.linkCount++] = links_.numberOf(link.value);
    noted.numbers.className = classes_.numberOf(mix.className);
    noted.numbers.floorRung = mix.floorRung;
    noted.numbers.topRung = mix.topRung;
    noted.count = mix.count;
    kept.mixes.push_back(noted);
  }
  totalsStale_ = true;
}

// Routers repeat their notifications within a second or two; until then the plan has fewer of them.
void LinkNotes::renumber() {
  notes_.clear();
  links_ = {};
  classes_ = {};
  totalsStale_ = true;
}

void LinkNotes::expire(MonotonicTime now) {
  std::size_t erased = std::erase_if(
      notes_, [&](const auto& entry) { return now - entry.second.heard > kForgetAfter; });
  if (erased > 0) totalsStale_ = true;
}

bool LinkNotes::counts(const Note& note, MonotonicTime now) const {
  return now - note.heard <= kCountsFor;
}

void LinkNotes::refreshTotals(MonotonicTime now) const {
  if (!totalsStale_ && totalsAt_ == now) return;
  totals_.assign(links_.names.size(), {});
  for (const auto& [member, note] : notes_) {
    if (!counts(note, now)) continue;
    for (const auto& usage : note.links) {
      LinkTotal& total = totals_[usage.link];
      if (usage.fraction > 0) {
        total.fractions += usage.fraction;
        ++total.notes;
      }
      total.cut = std::max(total.cut, usage.cut);
      if (member == self_) continue;
      total.othersRate += usage.rate;
      total.othersDemand += usage.demand;
    }
  }
  totalsAt_ = now;
  totalsStale_ = false;
}

const LinkTotal* LinkNotes::total(const LinkId& link, MonotonicTime now) const {
  auto number = links_.find(link.value);
  return number ? &total(*number, now) : nullptr;
}

const LinkTotal& LinkNotes::total(std::uint32_t link, MonotonicTime now) const {
  refreshTotals(now);
  return totals_[link];
}

std::vector<NotedMix> LinkNotes::mixes(MonotonicTime now) const {
  std::vector<NotedMix> mixes;
  std::unordered_map<MixNumbers, std::size_t, MixHash> places;
  for (const auto& [member, note] : notes_) {
    if (!counts(note, now)) continue;
    for (const auto& mix : note.mixes) {
      auto [place, fresh] = places.try_emplace(mix.numbers, mixes.size());
      if (fresh) mixes.push_back(mix);
      else mixes[place->second].count += mix.count;
    }
  }
  return mixes;
}

std::optional<MixNumbers> LinkNotes::find(const std::vector<LinkId>& path,
                                          std::string_view className, std::int64_t floorRung,
                                          std::int64_t topRung) const {
  if (path.empty() || path.size() > MixNumbers::kMostLinks) return std::nullopt;
  MixNumbers mix;
  for (const auto& link : path) {
    auto number = links_.find(link.value);
    if (!number) return std::nullopt;
    mix.links[mix.linkCount++] = *number;
  }
  auto number = classes_.find(std::string(className));
  if (!number) return std::nullopt;
  mix.className = *number;
  mix.floorRung = floorRung;
  mix.topRung = topRung;
  return mix;
}

}  // namespace peppergate
