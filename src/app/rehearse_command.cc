// The rehearse subcommand: runs scenarios with ranges of seeds, in parallel. The same seed always
// gives the same run.
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <map>
#include <mutex>
#include <thread>

#include "app/commands.h"
#include "sim/random_schedule.h"
#include "sim/runner.h"

namespace peppergate {
namespace {

namespace po = boost::program_options;

bool readSeeds(const std::string& text, std::uint64_t& first, std::uint64_t& last) {
  auto dash = text.find('-');
  char* end = nullptr;
  first = std::strtoull(text.c_str(), &end, 10);
  if (end == text.c_str() || (*end != '\0' && *end != '-')) return false;
  last = dash == std::string::npos ? first : std::strtoull(text.c_str() + dash + 1, &end, 10);
  return *end == '\0' && first >= 1 && last >= first;
}

struct Job {
  const Scenario* scenario;  // nullptr: a random schedule
  std::uint64_t seed;
};

/// Shrinks a failing random schedule and prints it as a scenario file.
void printShrunk(const RandomSchedule& schedule, const RunReport& report) {
  std::printf("---- shrunk schedule ----\n%s----\n",
              shrinkRandomSchedule(schedule, report).text().c_str());
}

}  // namespace

int rehearseCommand(const Arguments& arguments) {
  po::options_description options("peppergate rehearse FILE|FOLDER");
  options.add_options()("help", "print this help")(
      "path", po::value<std::string>()->default_value(""), "a scenario file, or a folder of them")(
      "days", po::bool_switch(),
      "run a random schedule of failures for each seed instead of a scenario")(
      "requests", po::value<double>()->default_value(25),
      "streams per second of a random schedule")("print", po::bool_switch(),
                                                 "only print the random schedules")(
      "seeds", po::value<std::string>()->default_value("1-3"), "FIRST-LAST, or a single seed")(
      "jobs", po::value<unsigned>()->default_value(std::thread::hardware_concurrency()),
      "number of parallel runs")("bounds", po::bool_switch(),
                                 "print the worst observed value of each bound")(
      "figures", po::bool_switch(), "print the metrics of each run");
  po::variables_map values;
  if (int code = parseArguments(arguments, options, values, {"path"}); code >= 0) return code;
  std::uint64_t first = 0, last = 0;
  if (!readSeeds(values["seeds"].as<std::string>(), first, last)) {
    std::fprintf(stderr, "--seeds requires FIRST-LAST with 1 <= FIRST <= LAST\n");
    return kExitUsage;
  }
  std::string path = values["path"].as<std::string>();
  bool randomSchedules = values["days"].as<bool>();
  RandomScheduleSize size;
  size.requestsPerSecond = values["requests"].as<double>();
  if (randomSchedules == !path.empty()) {
    std::fprintf(stderr, "either a path or --days is required\n");
    return kExitUsage;
  }
  if (randomSchedules && values["print"].as<bool>()) {
    for (std::uint64_t seed = first; seed <= last; ++seed)
      std::printf("%s\n", generateRandomSchedule(seed, size).text().c_str());
    return kExitSuccess;
  }
  std::vector<std::string> files;
  if (!randomSchedules)
    files = std::filesystem::is_directory(path) ? scenarioFiles(path) : std::vector{path};
  std::vector<Scenario> scenarios;
  for (const auto& file : files) {
    auto scenario = loadScenario(file);
    if (!scenario.ok()) {
      std::fprintf(stderr, "%s\n", std::string(scenario.status().message()).c_str());
      return kExitUsage;
    }
    scenarios.push_back(std::move(*scenario));
  }
  std::vector<Job> jobs;
  for (const auto& scenario : scenarios)
    for (std::uint64_t seed = first; seed <= last; ++seed) jobs.push_back({&scenario, seed});
  if (randomSchedules)
    for (std::uint64_t seed = first; seed <= last; ++seed) jobs.push_back({nullptr, seed});
  if (jobs.empty()) {
    std::fprintf(stderr, "no scenarios found at '%s'\n", path.c_str());
    return kExitUsage;
  }
  std::atomic<std::size_t> next{0}, failed{0};
  std::mutex mutex;
  std::map<std::string, std::pair<double, std::string>> bounds;
  bool figures = values["figures"].as<bool>();
  auto work = [&] {
    for (std::size_t index = next++; index < jobs.size(); index = next++) {
      const Job& job = jobs[index];
      RunReport report = job.scenario != nullptr
                             ? runScenario(*job.scenario, job.seed)
                             : runRandomSchedule(generateRandomSchedule(job.seed, size));
      std::lock_guard lock(mutex);
      for (const auto& [name, value] : report.figures)
        if (name.starts_with("bound.") && value >= bounds[name].first)
          bounds[name] = {value, report.scenario + " seed " + std::to_string(report.seed)};
      if (!report.failures.empty()) {
        ++failed;
        std::printf("FAILED %s seed %llu\n", report.scenario.c_str(),
                    static_cast<unsigned long long>(report.seed));
        for (const auto& failure : report.failures) std::printf("    %s\n", failure.c_str());
        if (job.scenario == nullptr && failed <= 3)
          printShrunk(generateRandomSchedule(job.seed, size), report);
        std::fflush(stdout);
      }
      if (!figures) continue;
      std::printf("%s seed %llu:", report.scenario.c_str(),
                  static_cast<unsigned long long>(report.seed));
      for (const auto& [name, value] : report.figures) std::printf(" %s=%.4g", name.c_str(), value);
      std::printf("\n");
    }
  };
  std::vector<std::thread> threads;
  for (unsigned index = 0; index < std::max(1U, values["jobs"].as<unsigned>()); ++index)
    threads.emplace_back(work);
  for (auto& thread : threads) thread.join();
  if (values["bounds"].as<bool>())
    for (const auto& [name, worst] : bounds)
      std::printf("%s = %.3f s (%s)\n", name.c_str(), worst.first, worst.second.c_str());
  std::printf("%zu passed, %zu failed\n", jobs.size() - failed, failed.load());
  return failed == 0 ? kExitSuccess : kExitFailed;
}

}  // namespace peppergate
