#include "history/check_history.h"

#include <algorithm>
#include <array>
#include <map>

#include "history/assigned_versions.h"
#include "history/version_chain.h"

namespace peppergate::history {
namespace {

constexpr std::array<std::string_view, 11> kViolationKindNames{
    "unknown-contents", "two-contents",   "two-on-one-base",   "improper-acknowledged",
    "refused-contents", "refused-repeat", "refused-on-newest", "stale-read",
    "lost-change",      "order",          "not-linearizable"};

}  // namespace

std::string_view violationKindName(ViolationKind kind) {
  return kViolationKindNames.at(static_cast<std::size_t>(kind));
}

Violations checkHistory(const std::vector<OperatorCall>& calls) {
  std::map<std::string, std::vector<OperatorCall>> registers;
  for (const auto& call : calls) registers[call.registerName].push_back(call);
  Violations violations;
  for (const auto& [name, registerCalls] : registers) {
    const bool versionsAreAssigned =
        std::ranges::any_of(registerCalls, &OperatorCall::versionIsAssigned);
    Violations registerViolations = versionsAreAssigned ? checkAssignedVersions(registerCalls)
                                                        : checkVersionChain(registerCalls);
    for (auto& violation : registerViolations) violation.registerName = name;
    violations.insert(violations.end(), registerViolations.begin(), registerViolations.end());
  }
  return violations;
}

}  // namespace peppergate::history
