#pragma once
// JSON encoding of the engine list between daemons: complete, or as a delta to an earlier version.
#include <string>
#include <string_view>
#include <vector>

#include "engines/engine.h"

namespace peppergate {

/// The engines, ordered by id, and those of them that are loading weights.
struct DiscoveredEngines {
  std::vector<Engine> engines;
  std::vector<EngineId> loading;
};

/// Sorts by id and removes duplicates, which occur when an engine moves between two pages of the
/// platform's list; the later entry wins.
void sortById(std::vector<Engine>& engines);

/// Whether an engine's entry is unchanged. A warm-up time that only counted down is no change.
bool sameEntry(const Engine& before, const Engine& after);
bool sameEngines(const std::vector<Engine>& before, const std::vector<Engine>& after);

/// Encodes the complete list. Example: `{"engines":[{"id":"e1",...}],"loading":["e2"]}`.
std::string encodeList(const DiscoveredEngines& list);
/// Encodes the delta to a version that others hold; both lists are ordered by id.
/// Example: `{"base":17,"engines":[],"gone":["e1"],"loading":[]}`.
std::string encodeListDelta(ListVersion base, const DiscoveredEngines& before,
                            const DiscoveredEngines& after);

enum class ListDecodeResult : std::uint8_t { kApplied = 0, kBaseMismatch, kMalformed };
/// Applies either encoding to a list that has the version `have`. The list is unchanged unless the
/// result is kTaken.
ListDecodeResult decodeList(std::string_view text, ListVersion heldVersion,
                            DiscoveredEngines& list);

}  // namespace peppergate
