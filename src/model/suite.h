#pragma once
/// The fixed searches and random schedules of every test run; they take well under a minute.
#include <string>
#include <vector>

#include "model/search.h"

namespace peppergate::model {

/// The result of one part of the suite.
struct SuiteResult {
  std::string name;
  std::string summary;                      ///< its counts, or why it could not run
  bool passed = false;                      ///< no rule was broken, and the search was finished
  std::optional<Schedule> failingSchedule;  ///< set if a rule was broken
};

/// Runs the parts of the suite one after the other, each on this many threads.
std::vector<SuiteResult> runSuite(unsigned threads);

/// A search's counts as one line.
std::string summaryLine(const SearchReport& report);

/// The counts of random schedules as one line.
std::string summaryLine(const WalkReport& report);

}  // namespace peppergate::model
