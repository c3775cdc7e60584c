#pragma once
/// The safety and liveness rules that a modelled fleet is checked against.
#include <absl/status/statusor.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace peppergate::model {

enum class Rule : std::uint8_t {
  kOneLeader,  ///< at most one leader in an epoch, and one leader lease at any time
  kAcknowledgedChangesPersist,  ///< an acknowledged change is in the state of every later leader
  kUniqueAcknowledgements,   ///< one change is acknowledged for each version number and each base
  kAppliedNotRefused,        ///< a change that was applied is never refused
  kLeaverNotOnlyReplica,     ///< a member that leaves never has the only copy of a change
  kFreshReads,               ///< a read returns at least what was acknowledged before it was sent
  kReportedVersionsPersist,  ///< a version that a read or a refusal reported is not undone
  kRecovery,                 ///< there is a leader some time after all faults have ended
};
inline constexpr std::array<std::string_view, 8> kRuleNames{"one-leader",
                                                            "acknowledged-lasts",
                                                            "one-acknowledgement",
                                                            "taken-not-refused",
                                                            "leaver-not-only-holder",
                                                            "fresh-reads",
                                                            "told-lasts",
                                                            "recovery"};

/// The rule with this name; NotFound for an unknown name.
inline absl::StatusOr<Rule> parseRule(std::string_view name) {
  auto found = std::ranges::find(kRuleNames, name);
  if (found == kRuleNames.end())
    return absl::NotFoundError("unknown rule '" + std::string(name) + "'");
  return static_cast<Rule>(found - kRuleNames.begin());
}

/// The rules that are checked; all rules unless some were added.
class RuleSet {
 public:
  void add(Rule rule) { enabledBits_ |= 1U << static_cast<unsigned>(rule); }
  bool has(Rule rule) const {
    return enabledBits_ == 0 || ((enabledBits_ >> static_cast<unsigned>(rule)) & 1U) != 0;
  }
  bool includesAll() const { return enabledBits_ == 0; }

 private:
  std::uint32_t enabledBits_ = 0;
};

}  // namespace peppergate::model
