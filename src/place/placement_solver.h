#pragma once
// Assigns engines and tenants to zones under the constraints of a file, with an SMT solver.
#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peppergate {

/// The zone of each engine and tenant, or the names of constraints that can't hold together.
struct PlacementSolution {
  bool possible = false;
  std::map<std::string, std::string> engines;  // engine to zone
  std::map<std::string, std::string> tenants;  // tenant to its home zone
  std::vector<std::string> conflict;
};

/// Parses a file's text and solves it; an invalid file is an error that names the field.
/// Example: `solvePlacement(R"({"districts":[...],"engines":[...],"constraints":[...]})")`.
absl::StatusOr<PlacementSolution> solvePlacement(std::string_view text);

}  // namespace peppergate
