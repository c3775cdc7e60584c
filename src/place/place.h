#pragma once
// Solves placements of engines and tenants in zones from constraints in a file.
#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peppergate {

/// Where everything goes, or the names of the constraints that can't all be kept.
struct PlacementSolution {
  bool possible = false;
  std::map<std::string, std::string> engines;  // engine to zone
  std::map<std::string, std::string> tenants;  // tenant to its home zone
  std::vector<std::string> conflict;
};

/// Reads a file's text and solves it; a wrong file is an error that names the field.
/// Example: `solvePlacement(R"({"zones":[...],"engines":[...],"constraints":[...]})")`.
absl::StatusOr<PlacementSolution> solvePlacement(std::string_view text);

}  // namespace peppergate
