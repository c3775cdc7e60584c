#pragma once
/// The fixed searches and random schedules that every test run makes, in well under a minute.
#include <string>
#include <vector>

#include "model/search.h"

namespace peppergate::model {

/// How one part of the suite ended.
struct SuiteResult {
  std::string name;
  std::string line;                 ///< its counts, or why it couldn't run
  bool passed = false;              ///< no rule was broken, and the search was finished
  std::optional<Schedule> failing;  ///< where a rule was broken
};

/// Runs the suite's parts one after the other, each on so many threads.
std::vector<SuiteResult> runSuite(unsigned threads);

/// A search's counts as one line.
std::string reportLine(const SearchReport& report);

/// The counts of random schedules as one line.
std::string reportLine(const WalkReport& report);

}  // namespace peppergate::model
