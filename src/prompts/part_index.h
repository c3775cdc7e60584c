#pragma once
// Which engine or store keeps which prompt part. Entries are guesses: a wrong one costs a read.
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/messages.h"
#include "core/types.h"
#include "requests/events.h"

namespace peppergate {

/// Example: `index.keptTokens(engine, salt, parts)` is how much of a prompt it needs not read.
class PartIndex {
 public:
  /// A watcher's word; false if changes before it are missing here. Example: on a PartNews.
  bool hear(const PartNews& news);
  /// What this front expects once a request's first event came. Example: after a read.
  void expect(const EngineId& engine, const std::string& salt, std::span<const PartSize> parts);
  /// The engine's life ended, or it left. Example: `index.forget(engine)`.
  void forget(const EngineId& engine);
  /// Tokens of the prompt's beginning that it keeps: whole parts in order, and of the first one
  /// that isn't whole what there is. Example: see the class.
  std::int64_t keptTokens(const EngineId& engine, const std::string& salt,
                          std::span<const PartSize> parts) const;
  /// Who keeps any of the first part. Example: candidates for a source.
  std::vector<EngineId> holders(const std::string& salt, const std::string& part) const;
  std::size_t size() const;

 private:
  struct Engine {
    std::uint64_t epoch = 0, next = 0;
  };
  std::unordered_map<std::string, std::map<EngineId, std::int64_t>> kept_;  // "salt/part"
  std::map<EngineId, Engine> engines_;
};

}  // namespace peppergate
