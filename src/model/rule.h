#pragma once
/// The rules that a modelled fleet is judged by.
#include <absl/status/statusor.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace peppergate::model {

enum class Rule : std::uint8_t {
  kOneLeader,            ///< one leader in an epoch, and one lease at a moment
  kAcknowledgedLasts,    ///< an acknowledged order is in every later leader's state
  kOneAcknowledgement,   ///< one acknowledgement for a version number and for a base
  kTakenNotRefused,      ///< an order that was taken is never refused
  kLeaverNotOnlyHolder,  ///< a member that leaves is never the only holder
  kFreshReads,           ///< no read is older than what was acknowledged before the question
  kToldLasts,            ///< a version that a read or a refusal told is not undone
  kRecovery,             ///< some time after all trouble there is a leader
};
inline constexpr std::array<std::string_view, 8> kRuleNames{"one-leader",
                                                            "acknowledged-lasts",
                                                            "one-acknowledgement",
                                                            "taken-not-refused",
                                                            "leaver-not-only-holder",
                                                            "fresh-reads",
                                                            "told-lasts",
                                                            "recovery"};

/// The rule with this name; NotFound for an unknown one.
inline absl::StatusOr<Rule> ruleNamed(std::string_view name) {
  auto found = std::ranges::find(kRuleNames, name);
  if (found == kRuleNames.end())
    return absl::NotFoundError("unknown rule '" + std::string(name) + "'");
  return static_cast<Rule>(found - kRuleNames.begin());
}

/// The rules that are judged; all unless some are named.
class RuleSet {
 public:
  void add(Rule rule) { bits_ |= 1U << static_cast<unsigned>(rule); }
  bool has(Rule rule) const {
    return bits_ == 0 || ((bits_ >> static_cast<unsigned>(rule)) & 1U) != 0;
  }
  bool all() const { return bits_ == 0; }

 private:
  std::uint32_t bits_ = 0;
};

}  // namespace peppergate::model
