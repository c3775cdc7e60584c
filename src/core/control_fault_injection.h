#pragma once
/// Faults that tests and the model checker put into the control code, to show that they would be
/// found. All are off; no flag or settings file of a daemon can switch one on.
#include <absl/status/statusor.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peppergate {

enum class ControlFault : std::uint8_t {
  kMajorityOffByOne,         ///< half of the voters count as a majority
  kLeaseNotWaitedOut,        ///< an acceptor grants a lease while another one still runs
  kSyncSkipped,              ///< answers are given before the write behind them is done
  kCopyTagIgnored,           ///< a machine with any copy of the state may lead
  kRememberedOrdersDropped,  ///< a replica forgets the orders that were taken before its snapshot
  kOneMajorityOfVoters,      ///< new voters are settled without a majority of the old ones
  kTailShown,                ///< a leader shows a state before its view is confirmed
  kFormerVotersIgnored,      ///< a view that may not be settled is followed by its voters alone
  kLeaverEndsEarly,          ///< a machine that leaves doesn't wait until its duties are others'
};
inline constexpr std::array<std::string_view, 9> kControlFaultNames{
    "majority-off-by-one", "lease-not-waited-out",      "sync-skipped",
    "copy-tag-ignored",    "remembered-orders-dropped", "one-majority-of-voters",
    "tail-shown",          "former-voters-ignored",     "leaver-ends-early"};

/// The fault with this name; NotFound for an unknown one.
inline absl::StatusOr<ControlFault> controlFaultNamed(std::string_view name) {
  auto found = std::ranges::find(kControlFaultNames, name);
  if (found == kControlFaultNames.end())
    return absl::NotFoundError("unknown fault '" + std::string(name) + "'");
  return static_cast<ControlFault>(found - kControlFaultNames.begin());
}

/// The faults that are on in one machine; a value, part of its settings.
class ControlFaultInjection {
 public:
  void set(ControlFault fault) { on_ |= bit(fault); }
  bool has(ControlFault fault) const { return (on_ & bit(fault)) != 0; }
  std::vector<std::string_view> names() const {
    std::vector<std::string_view> names;
    for (std::size_t index = 0; index < kControlFaultNames.size(); ++index)
      if (has(static_cast<ControlFault>(index))) names.push_back(kControlFaultNames.at(index));
    return names;
  }

 private:
  static std::uint32_t bit(ControlFault fault) { return 1U << static_cast<unsigned>(fault); }
  std::uint32_t on_ = 0;
};

}  // namespace peppergate
