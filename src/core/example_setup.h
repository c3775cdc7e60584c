#pragma once
// The example setups of the two deployments, as `peppergate setup example` applies them. The
// stand-in processes and the simulator generate matching traffic.
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"

namespace peppergate {

/// An example tenant: name, load shedding rank, share of the traffic, and prefix size class.
struct ExampleTenant {
  std::string_view name;
  int rank;
  double trafficShare;
  int prefixSizeClass;
};
/// The tenants of a profile, "hutline" or "fjordsyn".
std::vector<ExampleTenant> exampleTenants(std::string_view profile);
/// The prompt prefix blocks of a size class: one that the tenant's requests share, and one of the
/// tenant's documents.
std::vector<std::string> sharedPrefix(std::string_view tenant, int sizeClass,
                                      std::uint64_t document);
/// Picks a document at random; those with lower numbers are picked more often.
std::uint64_t pickDocument(Random& random, std::uint64_t documents);
/// The change with which an operator applies the initial setup of a profile.
std::string initialSetupChange(std::string_view profile, const std::string& basedOn);
/// The API key of an example tenant's clients.
inline std::string exampleKey(const std::string& tenant) { return "secret-of-" + tenant; }

}  // namespace peppergate
