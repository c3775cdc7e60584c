// The rehearse-schedules subcommand: runs random schedules of mixed failures with a range of seeds,
// in parallel. The same seed always gives the same run; a failing one can be shrunk.
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

#include "app/commands.h"
#include "sim/mixed_schedule.h"

namespace peppergate {
namespace {

namespace po = boost::program_options;

constexpr int kMaxShrinkRuns = 60;              // at most, to shrink one failing schedule
constexpr std::size_t kMaxShrunkSchedules = 3;  // number of failing schedules that are shrunk

struct SeedRange {
  std::uint64_t first = 0, last = 0;
};

bool readSeeds(const std::string& text, SeedRange& seeds) {
  char* end = nullptr;
  seeds.first = seeds.last = std::strtoull(text.c_str(), &end, 10);
  if (*end == '-') seeds.last = std::strtoull(end + 1, &end, 10);
  return !text.empty() && *end == '\0' && seeds.first >= 1 && seeds.last >= seeds.first;
}

/// Runs all seeds and prints the failing schedules.
class ScheduleRunner {
 public:
  ScheduleRunner(Interface interface, SeedRange seeds, bool shrinks, bool figures)
      : interface_(interface),
        seeds_(seeds),
        shrinks_(shrinks),
        figures_(figures),
        next_(seeds.first) {}

  /// Returns the number of schedules that failed.
  std::size_t run(unsigned jobs) {
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < std::max(1U, jobs); ++index)
      threads.emplace_back([this] { work(); });
    for (auto& thread : threads) thread.join();
    return failed_;
  }

 private:
  void work() {
    for (std::uint64_t seed = next_++; seed <= seeds_.last; seed = next_++) {
      MixedSchedule day = generateMixedSchedule(seed, interface_);
      MixedScheduleReport report = runMixedSchedule(day);
      if (!report.failures.empty()) printFailure(day, report);
      if (figures_) printFigures(report);
    }
  }

  void printFailure(const MixedSchedule& day, const MixedScheduleReport& report) {
    std::size_t number = ++failed_;
    MixedSchedule smallest = day;
    bool shrunk = shrinks_ && number <= kMaxShrunkSchedules;
    if (shrunk) smallest = shrinkMixedSchedule(day, report, kMaxShrinkRuns);
    std::lock_guard lock(mutex_);
    std::printf("FAILED %s seed %llu\n", report.name.c_str(),
                static_cast<unsigned long long>(report.seed));
    for (const auto& failure : report.failures) std::printf("    %s\n", failure.c_str());
    if (shrunk) std::printf("---- shrunk schedule ----\n%s----\n", smallest.text().c_str());
    std::fflush(stdout);
  }

  void printFigures(const MixedScheduleReport& report) {
    std::lock_guard lock(mutex_);
    std::printf("%s seed %llu:", report.name.c_str(), static_cast<unsigned long long>(report.seed));
    for (const auto& [name, value] : report.figures) std::printf(" %s=%.4g", name.c_str(), value);
    std::printf("\n");
  }

  Interface interface_;
  SeedRange seeds_;
  bool shrinks_, figures_;
  std::atomic<std::uint64_t> next_;
  std::atomic<std::size_t> failed_{0};
  std::mutex mutex_;
};

}  // namespace

int scheduleRehearseCommand(const Arguments& arguments) {
  po::options_description options("peppergate rehearse-schedules streams|routers");
  options.add_options()("help", "print this help")(
      "interface", po::value<std::string>()->default_value(""), "streams or routers")(
      "print", po::bool_switch(), "only print the schedules")("shrink", po::bool_switch(),
                                                              "shrink the first failing schedules")(
      "figures", po::bool_switch(), "print the metrics of each run")(
      "seeds", po::value<std::string>()->default_value("1-20"), "FIRST-LAST, or a single seed")(
      "jobs", po::value<unsigned>()->default_value(std::thread::hardware_concurrency()),
      "number of parallel runs");
  po::variables_map values;
  if (int code = parseArguments(arguments, options, values, {"interface"}); code >= 0) return code;
  std::string name = values["interface"].as<std::string>();
  SeedRange seeds;
  if (!readSeeds(values["seeds"].as<std::string>(), seeds) ||
      (name != "streams" && name != "routers")) {
    std::fprintf(stderr, "required: streams or routers, and --seeds FIRST-LAST\n");
    return kExitUsage;
  }
  Interface interface = name == "routers" ? Interface::kRouters : Interface::kStreams;
  if (values["print"].as<bool>()) {
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed)
      std::printf("%s\n", generateMixedSchedule(seed, interface).text().c_str());
    return kExitSuccess;
  }
  std::size_t failed =
      ScheduleRunner(interface, seeds, values["shrink"].as<bool>(), values["figures"].as<bool>())

          .run(values["jobs"].as<unsigned>());
  std::printf("%llu passed, %zu failed\n",
              static_cast<unsigned long long>(seeds.last - seeds.first + 1 - failed), failed);
  return failed == 0 ? kExitSuccess : kExitFailed;
}

}  // namespace peppergate
