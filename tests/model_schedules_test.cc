// Regression test: schedules of control machines that once broke a rule. Each file is named after
// what happened.
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "model/schedule.h"
#include "tests/testing.h"

using namespace peppergate;
using namespace peppergate::model;

namespace {

std::vector<std::filesystem::path> scheduleFiles() {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(SOURCE_FOLDER "/tests/schedules"))
    files.push_back(entry.path());
  std::ranges::sort(files);
  return files;
}

Schedule loadSchedule(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  auto schedule = parseSchedule(text.str());
  CHECK_TEXT(schedule.ok(), path.c_str());
  return *schedule;
}

std::string brokenRule(const Schedule& schedule) {
  auto report = replay(schedule);
  CHECK(report.ok());
  return report->violation;
}

}  // namespace

TEST_GROUP(ModelSchedules){};

TEST(ModelSchedules, NoScheduleBreaksARule) {
  auto files = scheduleFiles();
  CHECK(files.size() >= 7);
  for (const auto& file : files) {
    std::string violation = brokenRule(loadSchedule(file));
    CHECK_TEXT(violation.empty(), (file.filename().string() + ": " + violation).c_str());
  }
}

TEST(ModelSchedules, FindsAShownStateThatIsNotYetConfirmed) {
  Schedule schedule = loadSchedule(SOURCE_FOLDER "/tests/schedules/tail-of-one-disk-shown.txt");
  schedule.options.faults.set(ControlFault::kUnconfirmedStateShown);
  CHECK(brokenRule(schedule).starts_with("told-lasts"));
}

TEST(ModelSchedules, FindsAViewChangeThatIgnoresTheFormerVoters) {
  Schedule schedule =
      loadSchedule(SOURCE_FOLDER "/tests/schedules/read-only-leader-beside-a-leader.txt");
  schedule.options.faults.set(ControlFault::kFormerVotersIgnored);
  CHECK(brokenRule(schedule).starts_with("one-leader"));
}
