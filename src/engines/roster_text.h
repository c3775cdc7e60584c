#pragma once
// The engine list as daemons tell it to each other: whole, or as changes on a version before.
#include <string>
#include <string_view>
#include <vector>

#include "engines/engine.h"

namespace peppergate {

/// The engines, ordered by id, and those of them under orders to load weights.
struct Roster {
  std::vector<Engine> engines;
  std::vector<EngineId> loading;
};

/// Orders by id and drops doubles; the later entry of an engine wins.
/// Example: an engine that moved between two pages of the platform's list.
void orderById(std::vector<Engine>& engines);

/// Whether an engine is listed as before. That its start-up slowness ran down is no change.
/// Example: `sameEntry(before, after)`.
bool sameEntry(const Engine& before, const Engine& after);
bool sameEngines(const std::vector<Engine>& before, const std::vector<Engine>& after);

/// The whole list as JSON. Example: `{"engines":[{"id":"e1",...}],"loading":["e2"]}`.
std::string wholeText(const Roster& roster);
/// What differs from a version that others hold; both ordered by id.
/// Example: `{"base":17,"engines":[],"gone":["e1"],"loading":[]}`.
std::string changeText(ListVersion base, const Roster& before, const Roster& after);

enum class RosterRead : std::uint8_t { kTaken = 0, kOtherBase, kUnreadable };
/// Reads either text into a roster that has the version `have`; untouched unless taken.
/// Example: `readRoster(news.list, version, roster) == RosterRead::kTaken`.
RosterRead readRoster(std::string_view text, ListVersion have, Roster& roster);

}  // namespace peppergate
