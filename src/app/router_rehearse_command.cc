// The rehearse-routers subcommand: runs scenarios of router fleets with ranges of seeds, in
// parallel. The same seed always gives the same run.
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

#include "app/commands.h"
#include "sim/router_scenario.h"
#include "sim/runner.h"

namespace peppergate {
namespace {

namespace po = boost::program_options;

bool readSeeds(const std::string& text, std::uint64_t& first, std::uint64_t& last) {
  char* end = nullptr;
  first = last = std::strtoull(text.c_str(), &end, 10);
  if (*end == '-') last = std::strtoull(end + 1, &end, 10);
  return !text.empty() && *end == '\0' && first >= 1 && last >= first;
}

struct Job {
  RouterScenario scenario;
  std::uint64_t seed;
};

/// Makes one job for each scenario of a path and each seed; false if a scenario can't be read.
bool collectJobs(const std::string& path, std::uint64_t first, std::uint64_t last,
                 std::vector<Job>& jobs) {
  auto files = std::filesystem::is_directory(path) ? scenarioFiles(path) : std::vector{path};
  for (const auto& file : files) {
    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    auto scenario = parseRouterScenario(text.str());
    if (!scenario.ok()) {
      std::fprintf(stderr, "%s: %s\n", file.c_str(),
                   std::string(scenario.status().message()).c_str());
      return false;
    }
    for (std::uint64_t seed = first; seed <= last; ++seed) jobs.push_back({*scenario, seed});
  }
  return true;
}

void printReport(const RouterReport& report, bool figures) {
  auto seed = static_cast<unsigned long long>(report.seed);
  if (!report.failures.empty()) {
    std::printf("FAILED %s seed %llu\n", report.scenario.c_str(), seed);
    for (const auto& failure : report.failures) std::printf("    %s\n", failure.c_str());
  }
  if (figures) {
    std::printf("%s seed %llu:", report.scenario.c_str(), seed);
    for (const auto& [name, value] : report.figures) std::printf(" %s=%.4g", name.c_str(), value);
    std::printf("\n");
  }
  std::fflush(stdout);
}

}  // namespace

int routerRehearseCommand(const Arguments& arguments) {
  po::options_description options("peppergate rehearse-routers FILE|FOLDER");
  options.add_options()("help", "print this help")(
      "path", po::value<std::string>()->default_value(""), "a scenario file, or a folder of them")(
      "days", po::bool_switch(),
      "run a random schedule of failures for each seed instead of a scenario")(
      "print", po::bool_switch(), "only print the random schedules")(
      "seeds", po::value<std::string>()->default_value("1-2"), "FIRST-LAST, or a single seed")(
      "jobs", po::value<unsigned>()->default_value(std::thread::hardware_concurrency()),
      "number of parallel runs")("figures", po::bool_switch(), "print the metrics of each run");
  po::variables_map values;
  if (int code = parseArguments(arguments, options, values, {"path"}); code >= 0) return code;
  std::uint64_t first = 0, last = 0;
  std::string path = values["path"].as<std::string>();
  bool randomSchedules = values["days"].as<bool>();
  if (!readSeeds(values["seeds"].as<std::string>(), first, last) ||
      randomSchedules == !path.empty()) {
    std::fprintf(stderr, "required: either a path or --days, and --seeds FIRST-LAST\n");
    return kExitUsage;
  }
  std::vector<Job> jobs;
  if (randomSchedules)
    for (std::uint64_t seed = first; seed <= last; ++seed)
      jobs.push_back({generateRouterScenario(seed), seed});
  else if (!collectJobs(path, first, last, jobs)) return kExitUsage;
  if (randomSchedules && values["print"].as<bool>()) {
    for (const auto& job : jobs) std::printf("%s\n", job.scenario.text().c_str());
    return kExitSuccess;
  }
  std::atomic<std::size_t> next{0}, failed{0};
  std::mutex mutex;
  bool figures = values["figures"].as<bool>();
  auto work = [&] {
    for (std::size_t index = next++; index < jobs.size(); index = next++) {
      RouterReport report = runRouterScenario(jobs[index].scenario, jobs[index].seed);
      std::lock_guard lock(mutex);
      if (!report.failures.empty()) ++failed;
      printReport(report, figures);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned index = 0; index < std::max(1U, values["jobs"].as<unsigned>()); ++index)
    threads.emplace_back(work);
  for (auto& thread : threads) thread.join();
  std::printf("%zu passed, %zu failed\n", jobs.size() - failed, failed.load());
  return failed == 0 ? kExitSuccess : kExitFailed;
}

}  // namespace peppergate
