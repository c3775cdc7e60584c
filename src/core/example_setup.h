#pragma once
// The two deployments' example setups, as `peppergate setup example` applies them; stand-ins and
// the simulator send the streams that go with them.
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"

namespace peppergate {

/// The tenants of both deployments: name, rank, share of the traffic, size class.
struct TenantRow {
  std::string_view name;
  int rank;
  double share;
  int prefix;
};
/// Example: `for (const auto& row : tenantRows("hutline")) ...`
std::vector<TenantRow> tenantRows(std::string_view profile);
/// The shared prefix of a size class: house rules and one of the tenant's documents.
/// Example: `sharedPrefix("rescue", 2, 0)`.
std::vector<std::string> sharedPrefix(std::string_view tenant, int size, std::uint64_t document);
/// Picks a document; the first ones are asked for more. Example: `pickDocument(random, 4)`.
std::uint64_t pickDocument(Random& random, std::uint64_t documents);
/// The whole first setup of a deployment, as an operator would apply it.
/// Example: `firstSetupBody("hutline", "1.1")`.
std::string firstSetupBody(std::string_view profile, const std::string& basedOn);
/// The key that an example tenant's callers use. Example: `exampleKey("rescue")`.
inline std::string exampleKey(const std::string& tenant) { return "secret-of-" + tenant; }

}  // namespace peppergate
