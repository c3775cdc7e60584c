#pragma once
/// What is modelled: the fleet, the operators' calls, and how much trouble one schedule may hold.
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
  kCoarse,  ///< only where nothing is under way
  kFine,    ///< before every control message, write, call and answer
  kFull,    ///< also before lease renewals in steady state and freshness questions
};

std::string_view granularityName(Granularity granularity);
/// The granularity with this name; NotFound for an unknown one.
absl::StatusOr<Granularity> granularityNamed(std::string_view name);

struct ModelOptions {
  int machines = 3;        ///< core machines at the start, 3 to 9
  int voters = 0;          ///< voter slots, fewer than machines leaves spare ones; 0: one each
  int tolerate = 1;        ///< machines whose disks may be lost at once
  int orders = 3;          ///< orders of both operators together, 1 to 8
  std::uint64_t seed = 1;  ///< of the machines' own random numbers
  Duration tick = milliseconds(300);
  Duration horizon = seconds(4.5);  ///< modelled time of one schedule after the fleet is settled
  /// After the horizon all trouble ends; so long later there must be a leader. 0: not checked.
  Duration recovery{};
  Duration catchUp = seconds(4);  ///< so long a lost disk counts against `tolerate`
  Granularity granularity = Granularity::kFine;
  /// How often each kind of action may occur in one schedule.
  std::array<int, kActionKinds> limits = defaultLimits();
  ControlFaultInjection faults;
  RuleSet rules;

  static std::array<int, kActionKinds> defaultLimits();
  int& limit(ActionKind kind) { return limits.at(static_cast<std::size_t>(kind)); }
  int limit(ActionKind kind) const { return limits.at(static_cast<std::size_t>(kind)); }
};

/// Whether a fleet can be modelled so; InvalidArgument names the option that is wrong.
absl::Status checkOptions(const ModelOptions& options);

}  // namespace peppergate::model
