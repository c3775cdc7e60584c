#pragma once
/// Faults that tests and the model checker inject into the control code, to prove that they would
/// be detected. All are off by default; no flag or settings file of a daemon can enable one.
#include <absl/status/statusor.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peppergate {

enum class ControlFault : std::uint8_t {
  kMajorityOffByOne,          ///< half of the voters count as a majority
  kLeaseNotWaitedOut,         ///< an acceptor grants a lease before the previous one expired
  kSyncSkipped,               ///< replies are sent before the write they depend on is synced
  kReplicaTagIgnored,         ///< a machine with any replica, even an outdated one, may lead
  kRememberedChangesDropped,  ///< a replica drops the deduplication records of its snapshot
  kFormerMajoritySkipped,     ///< new voters are adopted without a majority of the old ones
  kUnconfirmedStateShown,     ///< a leader exposes state before its view is confirmed
  kFormerVotersIgnored,       ///< an unsettled view is succeeded with its own voters alone
  kLeaveWithoutHandover,      ///< a leaving machine exits before its roles are handed over
};
inline constexpr std::array<std::string_view, 9> kControlFaultNames{
    "majority-off-by-one", "lease-not-waited-out",      "sync-skipped",
    "copy-tag-ignored",    "remembered-orders-dropped", "one-majority-of-voters",
    "tail-shown",          "former-voters-ignored",     "leaver-ends-early"};

/// Returns the fault with this name, or NotFound.
inline absl::StatusOr<ControlFault> parseControlFault(std::string_view name) {
  auto found = std::ranges::find(kControlFaultNames, name);
  if (found == kControlFaultNames.end())
    return absl::NotFoundError("unknown fault '" + std::string(name) + "'");
  return static_cast<ControlFault>(found - kControlFaultNames.begin());
}

/// The set of faults that are enabled in one machine; a value type, part of its options.
class ControlFaultInjection {
 public:
  void set(ControlFault fault) { enabledBits_ |= bit(fault); }
  bool has(ControlFault fault) const { return (enabledBits_ & bit(fault)) != 0; }
  std::vector<std::string_view> names() const {
    std::vector<std::string_view> names;
    for (std::size_t index = 0; index < kControlFaultNames.size(); ++index)
      if (has(static_cast<ControlFault>(index))) names.push_back(kControlFaultNames.at(index));
    return names;
  }

 private:
  static std::uint32_t bit(ControlFault fault) { return 1U << static_cast<unsigned>(fault); }
  std::uint32_t enabledBits_ = 0;
};

}  // namespace peppergate
