#pragma once
// The platform's list of engines, racks and the store.
#include <absl/status/statusor.h>

#include <map>
#include <string>

#include "core/types.h"

namespace peppergate {

enum class Service : std::uint8_t { kModel = 0, kDesk = 1, kStore = 2 };
inline constexpr std::size_t kServices = 2;  // those that serve callers

/// One engine as the platform lists it; its link is in megabytes per second.
struct EngineEntry {
  EngineId id;
  Address address;
  Service service = Service::kModel;
  std::string rack;
  Zone zone;
  double linkCapacity = 100;
  bool draining = false;
};

/// A version of the platform's list.
struct EngineList {
  ListVersion version;
  std::map<EngineId, EngineEntry> engines;  // with the store, under its own id
  std::map<std::string, double> racks;
  std::string text;
};

/// The id of the store among the engines of a list.
inline EngineId storeId() { return {"store"}; }
/// Parses and validates a list.
absl::StatusOr<EngineList> parseEngineList(const std::string& text);

}  // namespace peppergate
