#pragma once
// The text under which an engine finds kept parts again: wall and weights are in it, so that no
// part is found across them, whatever an index believes.
#include <string>

#include "config/fleet_config.h"

namespace peppergate {

/// The wall's length goes before it, so that no two walls and models give the same text. Example:
/// `saltOf({"desk"}, {"llm"}, {2}) == "4:desk/llm.2"`, `saltOf({""}, {"llm"}, {2}) == "/llm.2"`.
inline std::string saltOf(const Wall& wall, const ModelName& model, WeightsVersion version) {
  std::string salt;
  if (!wall.value.empty()) salt = std::to_string(wall.value.size()) + ":" + wall.value;
  return salt + "/" + model.value + "." + std::to_string(version.value);
}

/// The wall of a request: the tenant's own if it shares nothing. Example: `wallOf({"a"}, false)`.
inline Wall wallOf(const TenantId& tenant, bool isolated) {
  return isolated ? Wall{tenant.value} : Wall{};
}

}  // namespace peppergate
