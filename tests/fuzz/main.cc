// Runs the fuzz targets on their corpus and on mutations of it. The same seed and count produce the
// same inputs on every machine.
#include <signal.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unordered_set>

#include "tests/fuzz/mutator.h"
#include "tests/fuzz/targets.h"

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/common_interface_defs.h>
// g++ ships without the header that declares these, although its sanitizer runtime defines them.
extern "C" {
std::size_t __sanitizer_get_current_allocated_bytes();
int __sanitizer_install_malloc_and_free_hooks(void (*onMalloc)(const volatile void*, std::size_t),
                                              void (*onFree)(const volatile void*));
}
#endif

namespace peppergate::fuzz {
namespace {

namespace fs = std::filesystem;
namespace options = boost::program_options;

constexpr std::size_t kMostAdded = 4000;          // inputs added to a corpus in one run
constexpr std::size_t kLargestAdded = 16U << 10;  // bytes; longer inputs aren't added
constexpr std::size_t kLargestAllocation = 64U << 20;
constexpr std::size_t kMostAllocated = 256U << 20;  // bytes that one run may allocate
constexpr time_t kSecondsForOneRun = 10;

struct Options {
  fs::path corpus, failed;
  std::string target, input;
  std::uint64_t seed = 1, runs = 1000;
  double seconds = 0;  // per target; 0: `runs` decides
};

// ---- saving the failing input ----

std::string currentInput;
std::string failedPath;

/// Called by a signal handler or a sanitizer: saves the input of the current run.
void keepInput() {
  static volatile sig_atomic_t kept = 0;
  if (kept != 0 || failedPath.empty()) return;
  kept = 1;
  std::ofstream(failedPath, std::ios::binary) << currentInput;
  std::cerr << "the failing input is in " << failedPath << "\n";
}

void onSignal(int signal) {
  keepInput();
  if (signal == SIGVTALRM) std::cerr << "a run exceeded its time limit\n";
  ::signal(signal, SIG_DFL);
  raise(signal == SIGVTALRM ? SIGABRT : signal);
}

#if defined(__SANITIZE_ADDRESS__)
std::size_t allocatedBefore = 0;
bool measuring = false;

void onAllocation(const volatile void*, std::size_t size) {
  constexpr std::size_t kNotable = 64U << 10;
  if (!measuring || size < kNotable) return;
  std::size_t now = __sanitizer_get_current_allocated_bytes();
  if (size <= kLargestAllocation && now <= allocatedBefore + kMostAllocated) return;
  measuring = false;
  require(false, "memory in proportion to the input");
}
void onFree(const volatile void*) {}

void startMeasuring() {
  allocatedBefore = __sanitizer_get_current_allocated_bytes();
  measuring = true;
}
void stopMeasuring() { measuring = false; }
#else
void startMeasuring() {}
void stopMeasuring() {}
#endif

void watchForFailures() {
  for (int signal : {SIGABRT, SIGVTALRM}) ::signal(signal, &onSignal);
#if defined(__SANITIZE_ADDRESS__)
  __sanitizer_set_death_callback(&keepInput);
  __sanitizer_install_malloc_and_free_hooks(&onAllocation, &onFree);
#else
  for (int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL}) ::signal(signal, &onSignal);
#endif
}

/// Runs one input, with a limit on the process's CPU time.
std::uint64_t runOnce(const Target& target, std::string input) {
  currentInput = std::move(input);
  itimerval limit{{0, 0}, {kSecondsForOneRun, 0}};
  setitimer(ITIMER_VIRTUAL, &limit, nullptr);
  startMeasuring();
  std::uint64_t outcome = target.run(currentInput);
  stopMeasuring();
  return outcome;
}

// ---- a target ----

std::string readFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

std::vector<std::string> readCorpus(const fs::path& folder) {
  std::vector<fs::path> paths;
  std::error_code fault;
  for (const auto& entry : fs::directory_iterator(folder, fault)) paths.push_back(entry.path());
  std::ranges::sort(paths);
  std::vector<std::string> corpus;
  for (const auto& path : paths) corpus.push_back(readFile(path));
  return corpus;
}

/// Runs the corpus unchanged, then mutations of it and of inputs with new outcomes. Returns false
/// if there is no corpus.
bool runTarget(const Target& target, const Options& chosen) {
  auto corpus = readCorpus(chosen.corpus / target.name);
  if (corpus.empty()) {
    std::cerr << "no corpus for " << target.name << " in " << chosen.corpus << "\n";
    return false;
  }
  std::size_t files = corpus.size();
  std::unordered_set<std::uint64_t> outcomes;
  for (const auto& input : corpus) outcomes.insert(runOnce(target, input));
  Mutator mutator(chosen.seed, target.dictionary);
  auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(chosen.seconds);
  std::uint64_t runs = 0;
  auto goesOn = [&] {
    if (chosen.seconds <= 0) return runs < chosen.runs;
    return runs % 16 != 0 || std::chrono::steady_clock::now() < until;
  };
  for (; goesOn(); ++runs) {
    std::uint64_t outcome = runOnce(target, mutator.next(corpus));
    bool added = outcomes.insert(outcome).second && corpus.size() < files + kMostAdded;
    if (added && currentInput.size() <= kLargestAdded) corpus.push_back(currentInput);
  }
  std::cout << target.name << ": " << files << " corpus files, " << runs << " mutations, "
            << outcomes.size() << " outcomes" << std::endl;
  return true;
}

int run(const Options& chosen) {
  std::uint64_t passed = 0, failed = 0;
  for (const Target& target : allTargets()) {
    if (!chosen.target.empty() && target.name != chosen.target) continue;
    failedPath = (chosen.failed / ("failed-" + std::string(target.name))).string();
    if (!chosen.input.empty()) {
      failedPath.clear();
      runOnce(target, readFile(chosen.input));
      ++passed;
    } else {
      ++(runTarget(target, chosen) ? passed : failed);
    }
  }
  std::cout << passed << " passed, " << failed << " failed\n";
  return failed == 0 && passed > 0 ? 0 : 1;
}

int runCommand(int count, char** words) {
  Options chosen;
  options::options_description known("peppergate_fuzz");
  auto add = known.add_options();
  add("help", "prints this");
  add("corpus", options::value(&chosen.corpus)->default_value("tests/corpus"), "corpus folder");
  add("failed", options::value(&chosen.failed)->default_value("."), "folder for failing inputs");
  add("target", options::value(&chosen.target), "one target instead of all");
  add("input", options::value(&chosen.input), "one file to run, without mutations");
  add("seed", options::value(&chosen.seed)->default_value(chosen.seed), "seed of the mutations");
  add("runs", options::value(&chosen.runs)->default_value(chosen.runs), "mutations per target");
  add("seconds", options::value(&chosen.seconds)->default_value(0),
      "time per target, instead of a count");
  options::variables_map given;
  try {
    options::store(options::parse_command_line(count, words, known), given);
    options::notify(given);
  } catch (const options::error& wrong) {
    std::cerr << wrong.what() << "\n";
    return 2;
  }
  if (given.contains("help")) {
    std::cout << known;
    return 0;
  }
  watchForFailures();
  return run(chosen);
}

}  // namespace
}  // namespace peppergate::fuzz

int main(int count, char** words) { return peppergate::fuzz::runCommand(count, words); }
