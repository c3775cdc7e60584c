#include "history/check_history.h"

#include <algorithm>
#include <array>
#include <map>

#include "history/assigned_versions.h"
#include "history/version_chain.h"

namespace peppergate::history {
namespace {

constexpr std::array<std::string_view, 11> kKindNames{
    "unknown-contents", "two-contents",   "two-on-one-base",   "improper-acknowledged",
    "refused-contents", "refused-repeat", "refused-on-newest", "stale-read",
    "lost-change",      "order",          "not-linearizable"};

}  // namespace

std::string_view kindName(ViolationKind kind) {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

Verdict checkHistory(const std::vector<OperatorCall>& calls) {
  std::map<std::string, std::vector<OperatorCall>> registers;
  for (const auto& call : calls) registers[call.registerName].push_back(call);
  Verdict verdict;
  for (const auto& [name, own] : registers) {
    const bool assigned = std::ranges::any_of(own, &OperatorCall::assigned);
    Verdict found = assigned ? checkAssignedVersions(own) : checkVersionChain(own);
    for (auto& violation : found) violation.registerName = name;
    verdict.insert(verdict.end(), found.begin(), found.end());
  }
  return verdict;
}

}  // namespace peppergate::history
