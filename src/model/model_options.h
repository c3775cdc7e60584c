#pragma once
/// What is modelled: the fleet, the operators' calls, and the limits on faults in one schedule.
#include <absl/status/statusor.h>

#include <array>
#include <cstdint>

#include "core/control_fault_injection.h"
#include "core/types.h"
#include "model/action.h"
#include "model/rule.h"

namespace peppergate::model {

/// Where a schedule may depart from the default order.
enum class Granularity : std::uint8_t {
  kCoarse,  ///< only where nothing is pending
  kFine,    ///< before every control message, write, call and answer
  kFull,    ///< also before steady-state lease renewals and freshness checks
};

std::string_view granularityName(Granularity granularity);
/// The granularity with this name; NotFound for an unknown name.
absl::StatusOr<Granularity> parseGranularity(std::string_view name);

struct ModelOptions {
  int machines = 3;        ///< core machines at the start, 3 to 9
  int voters = 0;          ///< voter slots; fewer than machines leaves spares; 0: one each
  int tolerate = 1;        ///< machines whose disks may be lost at the same time
  int changes = 3;         ///< changes that both operators request together, 1 to 8
  std::uint64_t seed = 1;  ///< seed of the machines' random number generators
  Duration tick = milliseconds(300);
  Duration horizon = seconds(4.5);  ///< modelled time of one schedule, after the fleet has settled
  /// All faults end at the horizon; there must be a leader this long afterwards. 0: not checked.
  Duration recovery{};
  Duration catchUp = seconds(4);  ///< how long a lost disk counts against `tolerate`
  Granularity granularity = Granularity::kFine;
  /// How often each kind of action may occur in one schedule.
  std::array<int, kActionKindCount> limits = defaultLimits();
  ControlFaultInjection faults;
  RuleSet rules;

  static std::array<int, kActionKindCount> defaultLimits();
  int& limit(ActionKind kind) { return limits.at(static_cast<std::size_t>(kind)); }
  int limit(ActionKind kind) const { return limits.at(static_cast<std::size_t>(kind)); }
};

/// Checks that a fleet can be modelled; InvalidArgument names the option that is out of range.
absl::Status checkOptions(const ModelOptions& options);

}  // namespace peppergate::model
