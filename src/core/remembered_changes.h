#pragma once
// Deduplication records of the most recently applied changes, so that a repeated change is
// acknowledged again instead of being applied twice.
//
// At least the last `limit` changes are kept, and fewer than one block more. Older records are
// evicted, and two high-water marks record the highest versions among them. A change that a mark
// covers may have been applied and evicted, so it must get neither an acknowledgement nor a
// refusal. There is no limit in seconds, because successive leaders share no clock.
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/fleet_config.h"
#include "core/types.h"
#include "wire/json_fields.h"

namespace peppergate {

/// The record of an applied change.
struct RememberedChange {
  std::string id;
  SectionVersion version;       // as acknowledged
  ConfigVersion configVersion;  // of the fleet's configuration that it carried; 0 if none
};

/// High-water marks of the evicted records; zero if none was evicted.
struct EvictionMarks {
  SectionVersion version;       // the highest that an evicted change created
  ConfigVersion configVersion;  // the highest configuration that an evicted change carried
};

/// Copies share all blocks but the newest one, so copying is cheap.
class RememberedChanges {
 public:
  /// The version that a change was acknowledged with; null if there is no record of it.
  const SectionVersion* find(const std::string& id) const;
  /// Adds a change that has no record yet, then evicts the oldest records beyond the limit.
  void add(RememberedChange change, std::size_t limit);
  const EvictionMarks& evictionMarks() const { return evictionMarks_; }
  std::size_t size() const;

  /// The records as a JSON list, oldest first, in the stored format.
  std::string recordsText() const;
  /// The high-water marks as a JSON object, in the stored format.
  std::string evictionMarksText() const;
  /// Parses records and marks; throws a Json::exception if the format is wrong. Also accepts the
  /// list of objects without marks that earlier releases wrote.
  static RememberedChanges parse(const Json& changes, const Json& forgotten);

 private:
  /// Consecutive records; a full block is immutable.
  struct Block {
    std::unordered_map<std::string, SectionVersion> versions;
    std::string text;  // the JSON list without its brackets
    EvictionMarks highest;
    void add(const RememberedChange& change);
  };
  static constexpr std::size_t kRecordsPerBlock = 64;

  std::vector<std::shared_ptr<const Block>> fullBlocks_;
  Block newestBlock_;
  EvictionMarks evictionMarks_;
};

}  // namespace peppergate
