#pragma once
// The orders that were taken last, so that one sent again is acknowledged again.
//
// Bound by count: at least the last `limit` orders are kept, and fewer than a block more. Bound by
// age, in versions: what is older is forgotten for good, and two marks tell how far. An order that
// a mark covers may have been taken and forgotten; it has to be left without a clear answer.
// There is no bound in seconds: no clock is shared by the machines that lead in turn.
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

/// An order that was taken.
struct RememberedChange {
  std::string id;
  SectionVersion version;  // that its acknowledgement names
  ConfigVersion config;    // the configuration that it brought; 0: it brought none
};

/// How far the memory of orders reaches back; zero: everything is remembered.
struct ForgottenChanges {
  SectionVersion version;  // the highest that a forgotten order made
  ConfigVersion config;    // the highest configuration that a forgotten order brought
};

/// Copies share all but the newest orders, so a copy costs little.
class RememberedChanges {
 public:
  /// The version that an order was acknowledged with; null if it isn't remembered.
  const SectionVersion* find(const std::string& id) const;
  /// Adds an order that isn't remembered yet, then forgets the oldest beyond the limit.
  void add(RememberedChange change, std::size_t limit);
  const ForgottenChanges& forgotten() const { return forgotten_; }
  std::size_t size() const;

  /// The orders as a JSON list, oldest first, as `read` takes it.
  std::string text() const;
  /// The marks as a JSON object, as `read` takes it.
  std::string forgottenText() const;
  /// Reads both; throws nlohmann's typed exceptions when the shape is wrong. Also takes the list
  /// of objects that earlier releases wrote, which had no marks.
  static RememberedChanges read(const Json& changes, const Json& forgotten);

 private:
  /// Orders that were taken in a row; a full one never changes.
  struct Block {
    std::unordered_map<std::string, SectionVersion> versions;
    std::string text;  // of the JSON list, without its brackets
    ForgottenChanges highest;
    void add(const RememberedChange& change);
  };
  static constexpr std::size_t kBlockSize = 64;

  std::vector<std::shared_ptr<const Block>> full_;
  Block newest_;
  ForgottenChanges forgotten_;
};

}  // namespace peppergate
