#include "model/model_options.h"

#include <algorithm>
#include <string>

namespace peppergate::model {
namespace {

constexpr int kMinMachines = 3;
constexpr int kMaxMachines = 9;
constexpr int kMaxChanges = 8;
constexpr std::array<std::string_view, 3> kGranularityNames{"coarse", "fine", "full"};

}  // namespace

std::string_view granularityName(Granularity granularity) {
  return kGranularityNames.at(static_cast<std::size_t>(granularity));
}

absl::StatusOr<Granularity> parseGranularity(std::string_view name) {
  auto found = std::ranges::find(kGranularityNames, name);
  if (found == kGranularityNames.end())
    return absl::NotFoundError("unknown granularity '" + std::string(name) + "'");
  return static_cast<Granularity>(found - kGranularityNames.begin());
}

std::array<int, kActionKindCount> ModelOptions::defaultLimits() {
  std::array<int, kActionKindCount> limits;
  limits.fill(2);
  auto limit = [&](ActionKind kind) -> int& { return limits.at(static_cast<std::size_t>(kind)); };
  limit(ActionKind::kContinue) = 1'000'000;
  limit(ActionKind::kRelease) = 1'000'000;  // as often as messages are held
  limit(ActionKind::kFailSync) = 1;
  limit(ActionKind::kStallDisk) = 1;
  return limits;
}

absl::Status checkOptions(const ModelOptions& options) {
  if (options.machines < kMinMachines || options.machines > kMaxMachines)
    return absl::InvalidArgumentError("machines: must be 3 to 9");
  int voters = options.voters == 0 ? options.machines : options.voters;
  if (voters < kMinMachines || voters > options.machines)
    return absl::InvalidArgumentError(
        "voters: must be 3 to the number of machines, or 0 for one each");
  if (options.tolerate < 1 || 2 * options.tolerate + 1 > voters)
    return absl::InvalidArgumentError(
        "tolerate: must be at least 1, with 2 * tolerate + 1 <= voters");
  if (options.changes < 1 || options.changes > kMaxChanges)
    return absl::InvalidArgumentError("orders: must be 1 to 8");
  if (options.tick < milliseconds(10) || options.tick > milliseconds(300))
    return absl::InvalidArgumentError(
        "tick: must be 10 to 300 ms; a longer one counts as a clock leap");
  if (options.horizon < options.tick || options.horizon > seconds(600))
    return absl::InvalidArgumentError("horizon: must be one tick to 600 s");
  for (std::size_t kind = 0; kind < kActionKindCount; ++kind)
    if (options.limits.at(kind) < 0)
      return absl::InvalidArgumentError("limit of " +
                                        std::string(actionName(static_cast<ActionKind>(kind))) +
                                        ": must not be negative");
  return absl::OkStatus();
}

}  // namespace peppergate::model
