#pragma once
// The platform's list of engines, racks and the store.
#include <absl/status/statusor.h>

#include <map>
#include <string>

#include "core/types.h"

namespace peppergate {

enum class Service : std::uint8_t { kModel = 0, kDesk = 1, kStore = 2 };
inline constexpr std::size_t kServices = 2;  // those that serve callers

/// One engine as the platform lists it; links are told in megabytes a second.
struct EngineEntry {
  EngineId id;
  Address address;
  Service service = Service::kModel;
  std::string rack;
  Zone zone;
  double link = 100;
  bool draining = false;
};

/// Example: `auto list = parseEngineList(body); list->engines.at({"e1"}).draining`.
struct EngineList {
  ListVersion version;
  std::map<EngineId, EngineEntry> engines;  // the store is in it, as {"store"}
  std::map<std::string, double> racks;
  std::string text;
};

/// The id under which the store is kept. Example: `list.engines.contains(storeId())`.
inline EngineId storeId() { return {"store"}; }
/// Reads and checks a list. Example: see EngineList.
absl::StatusOr<EngineList> parseEngineList(const std::string& text);

}  // namespace peppergate
