#pragma once
/// A schedule: a modelled fleet with the places where it departs from the default order. Its text
/// replays exactly.
#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "model/model_options.h"
#include "model/model_world.h"

namespace peppergate::model {

/// An action other than the default, at the place with this number.
struct Departure {
  int position = 0;
  Action action;
  auto operator<=>(const Departure&) const = default;
};

struct Schedule {
  ModelOptions options;
  std::vector<Departure> departures;  ///< by rising position
};

/// What a schedule came to.
struct ReplayReport {
  std::string violation;  ///< the broken rule; empty: none
  int positions = 0;      ///< places with a choice
  std::vector<std::string> steps;
};

/// Runs a schedule to its end. FailedPrecondition if its fleet can't be founded.
absl::StatusOr<ReplayReport> replay(const Schedule& schedule);

/// Runs a schedule from a settled fleet; without the text of its steps.
ModelWorld run(const ModelWorld& settled, const std::vector<Departure>& departures);

/// The schedule as text, one option or departure a line.
std::string scheduleText(const Schedule& schedule);

/// Reads what `scheduleText` wrote; lines that begin with '#' are skipped. InvalidArgument or
/// NotFound names the line that is wrong.
absl::StatusOr<Schedule> parseSchedule(const std::string& text);

/// Leaves out departures as long as the same rule breaks.
std::vector<Departure> shortened(const ModelWorld& settled, std::vector<Departure> departures,
                                 const std::string& violation);

}  // namespace peppergate::model
