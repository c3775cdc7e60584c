#pragma once
/// A schedule: a modelled fleet and its departures from the default order. A schedule written as
/// text replays exactly.
#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "model/model_options.h"
#include "model/model_world.h"

namespace peppergate::model {

/// An action other than the default, taken at this choice point.
struct Departure {
  int position = 0;
  Action action;
  auto operator<=>(const Departure&) const = default;
};

struct Schedule {
  ModelOptions options;
  std::vector<Departure> departures;  ///< in ascending order of position
};

/// The outcome of a schedule.
struct ReplayReport {
  std::string violation;  ///< the broken rule; empty if none
  int choicePoints = 0;   ///< number of choice points
  std::vector<std::string> steps;
};

/// Runs a schedule to its end and records its steps. FailedPrecondition if its fleet doesn't
/// settle.
absl::StatusOr<ReplayReport> replay(const Schedule& schedule);

/// Runs a schedule from a settled fleet, without recording its steps.
ModelWorld runSchedule(const ModelWorld& settled, const std::vector<Departure>& departures);

/// The schedule as text, one option or departure per line.
std::string scheduleText(const Schedule& schedule);

/// Parses the output of `scheduleText`; lines that begin with '#' are skipped. InvalidArgument or
/// NotFound names the line that is invalid.
absl::StatusOr<Schedule> parseSchedule(const std::string& text);

/// Removes departures for as long as the violation stays the same.
std::vector<Departure> minimizeDepartures(const ModelWorld& settled,
                                          std::vector<Departure> departures,
                                          const std::string& violation);

}  // namespace peppergate::model
